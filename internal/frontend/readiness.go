package frontend

import "time"

// readinessGracePeriod is the time for which a controller without a successful read stays ready
// after the lifetime of a lease has passed. Short failures must not make the load balancer move
// users to other controllers and back, which costs users more than waiting.
const readinessGracePeriod = 2 * time.Second

// IsReady reports whether the load balancer should send users to this controller. It returns the
// result of the last UpdateReadiness instead of waiting for the event loop: the load balancer
// would treat a slow probe as a failure, and move the users of a slow controller to others that
// are just as slow. A result older than the lifetime of a lease counts as not ready.
func (f *Frontend) IsReady() bool {
	at := f.lastReadyAt.Load()
	return at != nil && time.Since(*at) < f.config.LeaseTTL
}

// UpdateReadiness computes the result that IsReady returns. It must be called on the event loop
// more often than once in the lifetime of a lease.
func (f *Frontend) UpdateReadiness() {
	if !f.canServeUsers() {
		f.lastReadyAt.Store(nil)
		return
	}
	now := f.loop.Now()
	f.lastReadyAt.Store(&now)
}

// canServeUsers reports whether users should be sent to this controller. A controller that can't
// reach the key-value store is not ready if a peer can reach it or if no peer is reachable. If the
// reachable peers can't reach it either, the controller is ready: taking all controllers
// out of the load balancer and back would only prolong the outage for users.
func (f *Frontend) canServeUsers() bool {
	if f.cluster.ServingError() != nil {
		return false
	}
	if f.cluster.HasLoadedRecords() && len(f.cluster.MachineTypes()) > 0 && f.cluster.IsFreshWithin(f.config.LeaseTTL+readinessGracePeriod) {
		return true
	}
	anyPeerReachable, anyPeerFresh := f.cluster.PeerFreshness()
	return anyPeerReachable && !anyPeerFresh
}
