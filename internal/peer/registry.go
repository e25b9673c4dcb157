package peer

import (
	"iter"
	"time"
)

// Timeout is how long after its last status a peer is not counted on any more: five times
// the interval at which controllers send theirs, so that a few may be late or lost.
const Timeout = 2500 * time.Millisecond

// Peer is what is known of another controller. Nobody but the Registry changes it.
type Peer struct {
	// Status is the last that it sent; nil before the first.
	Status *Status
	// LastStatusAt is when Status came.
	LastStatusAt time.Time
	// AliveSince is since when its statuses have come without a gap of Timeout.
	AliveSince time.Time
	// previousProcessID is the process before the present one. Its frames may still come.
	previousProcessID string
}

// HasRecentStatus reports whether the peer's last status came less than limit before now.
func (p *Peer) HasRecentStatus(maxAge time.Duration, now time.Time) bool {
	return p.Status != nil && now.Sub(p.LastStatusAt) < maxAge
}

// Registry has the other controllers of the cluster by name. It belongs to one goroutine.
type Registry struct{ peers map[string]*Peer }

// NewRegistry returns a registry of the controllers of those names.
func NewRegistry(names []string) *Registry {
	r := &Registry{peers: make(map[string]*Peer, len(names))}
	for _, name := range names {
		r.peers[name] = &Peer{}
	}
	return r
}

// Peer is the controller of that name; nil if it is none of the cluster's.
func (r *Registry) Peer(name string) *Peer { return r.peers[name] }

// All goes through the peers in no order.
func (r *Registry) All() iter.Seq2[string, *Peer] {
	return func(yield func(string, *Peer) bool) {
		for name, p := range r.peers {
			if !yield(name, p) {
				return
			}
		}
	}
}

// Update takes a status in. False means that it is passed over: it comes from none of the
// cluster's controllers, or from a process that has since been replaced.
func (r *Registry) Update(status *Status, now time.Time) bool {
	p := r.peers[status.Node]
	if p == nil {
		return false
	}
	if p.Status != nil && p.Status.ProcessID != status.ProcessID {
		if p.previousProcessID == status.ProcessID {
			return false
		}
		p.previousProcessID = p.Status.ProcessID
	}
	if now.Sub(p.LastStatusAt) > Timeout {
		p.AliveSince = now
	}
	p.Status, p.LastStatusAt = status, now
	return true
}

// IsIsolated reports whether there are peers and none of them was heard within d of now.
func (r *Registry) IsIsolated(window time.Duration, now time.Time) bool {
	for _, p := range r.peers {
		if now.Sub(p.LastStatusAt) < window {
			return false
		}
	}
	return len(r.peers) > 0
}
