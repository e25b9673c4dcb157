package controller

import (
	"time"

	"eiderhitch/internal/election"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/scheduling"
)

// This file implements what the controller does when it gains or loses leased keys. The keys
// themselves are managed by package election.

const (
	// minTokenRaiseInterval is the minimum time between two token raises of a partition.
	minTokenRaiseInterval = 4 * time.Second
	// recentHeartbeatWindow is how long after its last heartbeat a machine is expected to send
	// another one.
	recentHeartbeatWindow = time.Minute
	// peerStatusTimeout is how long a peer's status report about its workers is relied on.
	peerStatusTimeout = 4 * time.Second
)

// leaseKeys returns the keys that controllers campaign for: the leader's and those of all
// partitions.
func leaseKeys(keys rollout.LeaseKeys, partitions int) []string {
	list := []string{keys.Leader()}
	for n := range partitions {
		list = append(list, keys.Partition(n))
	}
	return list
}

// isEligible reports whether this controller should hold leased keys.
func (c *clusterState) isEligible() bool {
	return c.isFresh(c.operator.LeaseTTL) && !c.election.IsBackingOff() && c.rollout.servingError == nil
}

// campaign acquires vacant keys and hands partitions over to their preferred owners.
func (c *controller) campaign() {
	if !c.isEligible() {
		return
	}
	hashPartitions := c.partitions[:c.loanPartition()]
	candidates := make([]election.Partition, len(hashPartitions))
	for i, p := range hashPartitions {
		candidates[i] = election.Partition{Index: p.index, Key: p.key, IsOwned: p.token != 0, OwnedSince: p.ownedSince, HasHeartbeatsFromAllMachines: p.hasHeartbeatsFromAllMachines}
	}
	c.election.Campaign(candidates, c.leaderKey(), peerView{c})
}

// stepDownIfUnreachable gives up keys that other controllers are in a better position to hold.
func (c *controller) stepDownIfUnreachable() {
	workers, peers := workerContact{c}, peerView{c}
	c.election.StepDownIfNoHeartbeats(workers, peers)
	var keys []string
	for _, p := range c.partitions[:c.loanPartition()] {
		keys = append(keys, p.key)
	}
	c.election.StepDownIfIsolated(c.leaderKey(), c.leadership.startedAt, keys, workers, peers)
}

// KeyAcquired starts acting as the owner of a partition or as the leader.
func (c *controller) KeyAcquired(key string, token uint64) {
	if key == c.leaderKey() {
		c.becomeLeader(token)
	}
	for _, p := range c.partitions {
		if p.key == key {
			c.takeOverPartition(p, token)
		}
	}
}

// KeyLost drops the state that only the holder of the key may use.
func (c *controller) KeyLost(key string) {
	if key == c.leaderKey() {
		c.leadership = leadership{}
		c.autoscaler.EndTerm()
	}
	for _, p := range c.partitions {
		if p.key == key {
			p.token, p.takeoverComplete = 0, false
			p.cells, p.reservations = nil, nil
			p.cancelWrites()
		}
	}
}

// TokenRaised sends a partition's new token to its machines, which fences the commands that
// were sent under the previous token.
func (c *controller) TokenRaised(key string, token uint64) {
	for _, p := range c.partitions {
		if p.key != key {
			continue
		}
		p.token = token
		p.cancelWrites()
		if key == c.leaderKey() {
			c.leadership.token = token
		}
		c.log.Info("fencing token raised", "partition", p.index, "token", token)
		for _, m := range p.machines {
			if !m.terminated {
				c.ping(m, p)
			}
		}
	}
}

// raiseToken rewrites a partition's key to obtain a higher token, which fences commands that
// may still be in flight. It does nothing within minTokenRaiseInterval of the previous raise.
func (c *partitionOwner) raiseToken(p *partition) {
	if c.now.Sub(p.tokenRaiseRequestedAt) < minTokenRaiseInterval {
		return
	}
	if c.election.RaiseToken(p.key) {
		p.tokenRaiseDue, p.tokenRaiseRequestedAt = false, c.now
	}
}

// takeOverPartition prepares a newly acquired partition. The key-value store is read once more so
// that the replica has everything that former owners stored; then activatePartition rebuilds the
// cells from it.
func (c *controller) takeOverPartition(p *partition, token uint64) {
	p.firstToken, p.ownedSince, p.takeoverComplete = token, c.now, false
	p.token = token
	p.cells, p.reservations = scheduling.NewPartition(), map[scheduling.TaskID]reservation{}
	// A former owner's last read may have begun just before it lost the key, and it may go on
	// answering heartbeats for the maximum staleness after that read. This process can't know
	// whether there was a former owner, not even after its own restart: the process before it
	// may itself have taken the partition over from another one.
	p.formerOwnerMaxStaleness = c.maxStaleness
	c.reader.AfterSuccessfulRead(func() { c.activatePartition(p, token) })
}

// activatePartition rebuilds a partition's cells from the records and starts making decisions
// for it, unless the partition has been lost or taken over again in the meantime.
func (c *controller) activatePartition(p *partition, token uint64) {
	if p.token != token {
		return
	}
	p.takeoverComplete = true
	for t := range c.unstoredEnds {
		if group := c.groups[t.Group]; group == nil || group.partition == p.index {
			delete(c.unstoredEnds, t)
		}
	}
	for group := range c.allGroups() {
		c.adoptBindings(group)
	}
	c.addMachinesFromPeers()
	// The machines known from earlier or from peers are pinged at once with the new token, so
	// that they send their heartbeats to this controller.
	for _, m := range p.machines {
		if !m.terminated {
			m.commandState.backoffUntil = time.Time{}
			c.ping(m, p)
		}
	}
	c.requestSchedulingPass()
}

// addMachinesFromPeers adds the machines that peers report.
func (c *clusterState) addMachinesFromPeers() {
	for _, other := range c.peers.All() {
		if other.Status == nil {
			continue
		}
		for _, x := range other.Status.Machines {
			m := c.getOrAddMachine(x.Name)
			if m.machineType == "" {
				m.machineType, m.zone, m.spot = x.Type, x.Zone, x.Flags&peer.FlagSpot != 0
			}
			m.mergeIdentity(x.Addr, x.Incarnation, c.now)
		}
	}
}

// cancelWrites cancels the pending writes of the partition's groups, whose token is no longer
// valid.
func (p *partition) cancelWrites() {
	for _, group := range p.groups {
		group.cancelWrite()
	}
}

// hasHeartbeatsFromAllMachines reports whether every machine of the partition with bound tasks has
// sent a heartbeat since the partition was taken over.
func (p *partition) hasHeartbeatsFromAllMachines() bool {
	for _, m := range p.machines {
		if len(m.bindings) > 0 && !m.heartbeatAt.After(p.ownedSince) {
			return false
		}
	}
	return true
}

// workerContact implements election.WorkerContact.
type workerContact struct{ *controller }

// CountReportingMachines returns how many machines of the owned partitions have sent a heartbeat
// within recentHeartbeatWindow.
func (w workerContact) CountReportingMachines() int {
	n := 0
	for _, p := range w.partitions {
		if p.token == 0 {
			continue
		}
		for _, m := range p.machines {
			if !m.terminated && w.now.Sub(m.heartbeatAt) < recentHeartbeatWindow {
				n++
			}
		}
	}
	return n
}

// SummarizeHeartbeats summarizes the heartbeats that the owned partitions' machines sent within
// the given time.
func (w workerContact) SummarizeHeartbeats(within time.Duration) election.HeartbeatSummary {
	var summary election.HeartbeatSummary
	for _, p := range w.partitions {
		if p.token == 0 {
			continue
		}
		summary.HasNewPartition = summary.HasNewPartition || w.now.Sub(p.ownedSince) < within
		for _, m := range p.machines {
			if m.terminated {
				continue
			}
			if len(m.bindings) > 0 || !m.heartbeatAt.IsZero() && w.now.Sub(m.heartbeatAt) < recentHeartbeatWindow {
				summary.ExpectedMachines++
			}
			summary.HasHeartbeat = summary.HasHeartbeat || m.heartbeatAt.After(p.ownedSince) && w.now.Sub(m.heartbeatAt) < within
		}
	}
	return summary
}

// LastHeartbeatAt returns the time of the last heartbeat from any worker.
func (w workerContact) LastHeartbeatAt() time.Time { return w.lastHeartbeatAt }

// ResumedAt returns the time at which this process last resumed after a pause.
func (w workerContact) ResumedAt() time.Time { return w.resumedFromPauseAt }

// peerView implements election.Peers.
type peerView struct{ *controller }

// IsEligible reports whether a peer's status is recent and says that the peer can take partitions
// over.
func (v peerView) IsEligible(node string) bool {
	p := v.peers.Peer(node)
	return p != nil && p.HasRecentStatus(peer.Timeout, v.now) && p.Status.CanTakePartitions
}

// ReachableSince returns the time since which status reports from a peer have arrived without a
// gap.
func (v peerView) ReachableSince(node string) time.Time { return v.peers.Peer(node).ReachableSince }

// IsIsolated reports whether there are peers and none of them has sent a status for d.
func (v peerView) IsIsolated(d time.Duration) bool { return v.peers.IsIsolated(d, v.now) }

// HaveWorkerContact reports whether any peer with a recent status receives heartbeats from a
// machine, and whether the statuses of all peers are recent. If haveContact is true, allKnown
// covers only the peers that were examined before the first one with contact.
func (v peerView) HaveWorkerContact() (haveContact, allKnown bool) {
	allKnown = len(v.cfg.Peers) > 0
	for _, p := range v.peers.All() {
		if p.Status == nil || v.now.Sub(p.LastStatusAt) > peerStatusTimeout {
			allKnown = false
			continue
		}
		for i := range p.Status.Machines {
			if p.Status.Machines[i].Flags&peer.FlagReachable != 0 {
				return true, allKnown
			}
		}
	}
	return false, allKnown
}
