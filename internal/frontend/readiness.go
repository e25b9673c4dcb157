package frontend

import "time"

// readinessGracePeriod is for how long beyond the lifetime of a lease a controller without a
// successful read stays ready: users who are sent elsewhere and back lose more.
const readinessGracePeriod = 2 * time.Second

// IsReady tells the load balancer whether to send users. It does not wait for the event loop,
// but goes by what that noted last: the load balancer would take a probe that waits for a
// failure, and send the users of a controller that is slow to others as slow.
func (f *Frontend) IsReady() bool {
	at := f.lastReadyAt.Load()
	return at != nil && time.Since(*at) < f.config.LeaseTTL
}

// UpdateReadiness notes for Ready what the event loop knows now.
func (f *Frontend) UpdateReadiness() {
	if !f.canServeUsers() {
		f.lastReadyAt.Store(nil)
		return
	}
	now := f.loop.Now()
	f.lastReadyAt.Store(&now)
}

// canServeUsers reports whether users should be sent here. A controller that alone can't reach
// the key-value store stands back; in an outage for all of them none does, since leaving
// and coming back would only make it longer for users.
func (f *Frontend) canServeUsers() bool {
	if f.cluster.ServingError() != nil {
		return false
	}
	if f.cluster.HasLoadedRecords() && len(f.cluster.MachineTypes()) > 0 && f.cluster.IsFreshWithin(f.config.LeaseTTL+readinessGracePeriod) {
		return true
	}
	heard, fresh := f.cluster.PeerFreshness()
	return heard && !fresh
}
