package election

import (
	"slices"
	"time"
)

const (
	// nonPreferredAcquireDelay is the time for which a partition's key must be vacant before a
	// controller other than the preferred owner acquires it.
	nonPreferredAcquireDelay = 300 * time.Millisecond
	// preferredOwnerHeadStart replaces nonPreferredAcquireDelay while the preferred owner can
	// acquire the key itself, or may be able to: shortly after this process's start, a status
	// of that controller may not have arrived yet.
	preferredOwnerHeadStart = 2 * time.Second
	// leaderStagger is the difference between the delays of two successive controllers in the
	// list of nodes, so that they do not all campaign for the leadership at once.
	leaderStagger = 100 * time.Millisecond
	// A partition is handed over to its preferred owner only after its current owner has held
	// it for minPartitionTenure and the preferred owner has been reachable without a gap for
	// minPeerReachableTime. Both keep partitions from moving back and forth between owners.
	minPartitionTenure   = 5 * time.Second
	minPeerReachableTime = 4 * time.Second
	// startupGracePeriod is the time after this process's start during which the preferred
	// owner of a partition is assumed to be able to acquire it, even if no status of that
	// controller has arrived yet.
	startupGracePeriod = 2 * time.Second
)

// Partition is the state of a partition that a campaign depends on.
type Partition struct {
	Index int
	Key   string
	// IsOwned is set if this process owns the partition, since OwnedSince.
	IsOwned    bool
	OwnedSince time.Time
	// HasHeartbeatsFromAllMachines reports whether each of the partition's machines with a bound
	// task has sent a heartbeat since OwnedSince. It is called only if IsOwned is set.
	HasHeartbeatsFromAllMachines func() bool
}

// Peers describes the other controllers, as far as this controller knows their state.
type Peers interface {
	// IsEligible reports whether the named controller could take over keys.
	IsEligible(node string) bool
	// ReachableSince returns the time since which the named controller has been reachable
	// without a gap.
	ReachableSince(node string) time.Time
	// IsIsolated reports whether there are other controllers and none of them has sent a
	// status for d.
	IsIsolated(d time.Duration) bool
	// HaveWorkerContact reports whether any other controller has contact with a worker, and
	// whether the status of all other controllers is known and recent.
	HaveWorkerContact() (haveContact, allKnown bool)
}

// preferredOwner returns the controller that should own a partition. Partitions are spread
// evenly over all controllers.
func (e *Elector) preferredOwner(partition int) string {
	return e.Nodes[partition%len(e.Nodes)]
}

// Campaign acquires vacant keys, and hands partitions over to their preferred owners. It
// must be called only while this controller is eligible to hold keys.
func (e *Elector) Campaign(partitions []Partition, leaderKey string, peers Peers) {
	for i := range partitions {
		if p := &partitions[i]; p.IsOwned {
			e.handOver(p, peers)
		} else {
			e.tryAcquire(p.Key, e.acquireDelay(p, peers))
		}
	}
	e.tryAcquire(leaderKey, leaderStagger*time.Duration(slices.Index(e.Nodes, e.Node)))
}

// acquireDelay returns how long a partition's key must be vacant before this process acquires it.
func (e *Elector) acquireDelay(p *Partition, peers Peers) time.Duration {
	preferred := e.preferredOwner(p.Index)
	switch {
	case preferred == e.Node:
		return 0
	case peers.IsEligible(preferred) || e.Loop.Now().Sub(e.StartedAt) < startupGracePeriod:
		return preferredOwnerHeadStart
	}
	return nonPreferredAcquireDelay
}

// handOver resigns a partition whose preferred owner is another controller, if that controller
// has been reachable for a while and all machines with bound tasks have sent a heartbeat. A
// change of owner restarts the wait for workers' leases to expire: a partition whose machines
// had all died moved back and forth between its preferred owner, which received no heartbeats,
// and another controller, and its tasks were never proven to have ended.
func (e *Elector) handOver(p *Partition, peers Peers) {
	now, preferred := e.Loop.Now(), e.preferredOwner(p.Index)
	if preferred == e.Node || !peers.IsEligible(preferred) || now.Sub(p.OwnedSince) <= minPartitionTenure {
		return
	}
	if now.Sub(peers.ReachableSince(preferred)) > minPeerReachableTime && p.HasHeartbeatsFromAllMachines() {
		e.Log.Info("partition handed over", "partition", p.Index, "to", preferred)
		e.Resign(p.Key)
	}
}
