package election

import (
	"slices"
	"time"
)

const (
	// acquireDelay is how long a key must be vacant before a controller takes it that it
	// is not meant for.
	nonPreferredAcquireDelay = 300 * time.Millisecond
	// preferredOwnerHeadStart is how long it waits instead while the preferred owner can take the
	// key itself, or may only have started.
	preferredOwnerHeadStart = 2 * time.Second
	// leaderStagger is by how much longer each controller waits than the one before it
	// in the order of names, so that not all of them campaign for the leadership at once.
	leaderStagger = 100 * time.Millisecond
	// minPartitionTenure is how long a partition stays with an owner at least, and minPeerReachableTime
	// how long the preferred owner must have been heard without a gap, before the
	// partition is handed over to it: partitions must not change hands to and fro.
	minPartitionTenure   = 5 * time.Second
	minPeerReachableTime = 4 * time.Second
	// startupGracePeriod is how long after its start a controller takes the others for alive
	// although it has not heard them yet.
	startupGracePeriod = 2 * time.Second
)

// Partition is what a campaign needs to know of a partition.
type Partition struct {
	Index int
	Key   string
	// Owned: this process owns it, since OwnedSince.
	IsOwned    bool
	OwnedSince time.Time
	// Settled tells whether every machine of it on which something is bound has been
	// heard since then.
	HasHeardAllMachines func() bool
}

// Peers is what is known of the other controllers.
type Peers interface {
	// Eligible reports whether a controller would take keys over.
	IsEligible(node string) bool
	// AliveSince is since when a controller has been heard without a gap.
	ReachableSince(node string) time.Time
	// Silent reports whether there are others and none of them was heard for d.
	AreAllSilent(d time.Duration) bool
	// HaveWorkerContact reports whether a machine reports to any of the others, and whether all
	// of them have told of late.
	HaveWorkerContact() (any, allKnown bool)
}

// preferredOwner is the controller that a partition should be with, so that partitions
// spread evenly.
func (e *Elector) preferredOwner(partition int) string {
	return e.Nodes[partition%len(e.Nodes)]
}

// Campaign acquires vacant keys, and hands partitions over to their preferred owners. It
// is for a controller that is eligible to hold keys.
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

// acquireDelay is how long a partition's key must be vacant before it is taken here.
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

// handOver resigns a partition whose preferred owner is another controller, if that has
// been there for a while and nothing of the partition is unsettled. Each change of hands
// begins the wait for workers' leases anew: a partition whose machines had all died went
// back and forth between its preferred owner, which heard no worker, and another, and
// their tasks were never proven gone.
func (e *Elector) handOver(p *Partition, peers Peers) {
	now, preferred := e.Loop.Now(), e.preferredOwner(p.Index)
	if preferred == e.Node || !peers.IsEligible(preferred) || now.Sub(p.OwnedSince) <= minPartitionTenure {
		return
	}
	if now.Sub(peers.ReachableSince(preferred)) > minPeerReachableTime && p.HasHeardAllMachines() {
		e.Log.Info("partition handed over", "partition", p.Index, "to", preferred)
		e.Resign(p.Key)
	}
}
