package peer

import (
	"iter"
	"time"
)

// Timeout is the time after its last status for which a peer still counts as reachable. It is five
// times the interval at which controllers send their status, so that a few frames may be late or
// lost.
const Timeout = 2500 * time.Millisecond

// Peer is what this controller knows about another controller. Only the Registry modifies it.
type Peer struct {
	// Status is the last status that the peer sent, or nil before the first one.
	Status *Status
	// LastStatusAt is the time at which Status arrived, or the zero time before the first one.
	LastStatusAt time.Time
	// ReachableSince is the start of the current period in which statuses have arrived without a gap
	// longer than Timeout.
	ReachableSince time.Time
	// connection is the number of the connection that Status arrived on.
	connection ConnectionNumber
}

// HasRecentStatus reports whether the peer has sent a status and the last one arrived less than
// maxAge before now.
func (p *Peer) HasRecentStatus(maxAge time.Duration, now time.Time) bool {
	return p.Status != nil && now.Sub(p.LastStatusAt) < maxAge
}

// Registry holds the other controllers of the cluster by name. It is not safe for concurrent use.
type Registry struct{ peers map[string]*Peer }

// NewRegistry returns a Registry of the controllers with the given names. None of them has sent a
// status yet.
func NewRegistry(names []string) *Registry {
	r := &Registry{peers: make(map[string]*Peer, len(names))}
	for _, name := range names {
		r.peers[name] = &Peer{}
	}
	return r
}

// Peer returns the controller with the given name, or nil if the cluster has no such controller.
func (r *Registry) Peer(name string) *Peer { return r.peers[name] }

// All iterates over the peers and their names, in no particular order.
func (r *Registry) All() iter.Seq2[string, *Peer] {
	return func(yield func(string, *Peer) bool) {
		for name, p := range r.peers {
			if !yield(name, p) {
				return
			}
		}
	}
}

// Update records a status that arrived at now on a connection. It reports whether the status was
// accepted: it is ignored if its sender is not a controller of the cluster, or if the controller has
// already sent a status on a later connection. A controller has one connection to each peer at a
// time, so such a status is a late copy, perhaps of one of the controller's former processes.
func (r *Registry) Update(status *Status, connection ConnectionNumber, now time.Time) bool {
	p := r.peers[status.Node]
	if p == nil || connection < p.connection {
		return false
	}
	if now.Sub(p.LastStatusAt) > Timeout {
		p.ReachableSince = now
	}
	p.Status, p.LastStatusAt, p.connection = status, now, connection
	return true
}

// IsIsolated reports whether there are peers and none of them has sent a status within the window
// before now.
func (r *Registry) IsIsolated(window time.Duration, now time.Time) bool {
	for _, p := range r.peers {
		if now.Sub(p.LastStatusAt) < window {
			return false
		}
	}
	return len(r.peers) > 0
}
