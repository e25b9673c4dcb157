package controller

import (
	"time"

	"eiderhitch/internal/election"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/scheduling"
)

// What the controller does when it gains or loses leased keys. The keys themselves are the
// business of package election.

const (
	// minTokenRaiseInterval spaces rewrites of one partition's key.
	minTokenRaiseInterval = 4 * time.Second
	// recentHeartbeatWindow is how long after its last heartbeat a machine counts as one that
	// should be heard.
	recentHeartbeatWindow = time.Minute
	// peerStatusTimeout is how long what a peer told of its workers is relied on.
	peerStatusTimeout = 4 * time.Second
)

// leaseKeys lists the keys that controllers campaign for, out of a set of names for them.
func leaseKeys(keys rollout.Keys, partitions int) []string {
	list := []string{keys.Leader()}
	for n := range partitions {
		list = append(list, keys.Partition(n))
	}
	return list
}

// eligible tells whether this controller should hold leased keys.
func (c *clusterState) isEligible() bool {
	return c.isFresh(c.operator.LeaseTTL) && !c.election.BackingOff() && c.rollout.refusal == nil
}

// campaign acquires vacant keys and hands partitions over to their preferred owners.
func (c *controller) campaign() {
	if !c.isEligible() {
		return
	}
	owned := c.partitions[:c.loanPartition()]
	candidates := make([]election.Partition, len(owned))
	for i, p := range owned {
		candidates[i] = election.Partition{Index: p.index, Key: p.key, Owned: p.token != 0, OwnedSince: p.ownedSince, Settled: p.hasHeardAllMachines}
	}
	c.election.Campaign(candidates, c.leaderKey(), peerView{c})
}

// stepDownIfUnreachable hands keys back that others can make better use of.
func (c *controller) stepDownIfUnreachable() {
	workers, peers := workerContact{c}, peerView{c}
	c.election.StepDownIfUnheard(workers, peers)
	var keys []string
	for _, p := range c.partitions[:c.loanPartition()] {
		keys = append(keys, p.key)
	}
	c.election.StepDownIfIsolated(c.leaderKey(), c.leadership.startedAt, keys, workers, peers)
}

// KeyAcquired begins to act as the owner of a partition, or as the leader.
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

// KeyLost drops all that only the holder of a key may decide on.
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

// TokenRaised has a partition's machines hear its new token, which fences what was sent to
// them under the one before.
func (c *controller) TokenRaised(key string, token uint64) {
	for _, p := range c.partitions {
		if p.key != key {
			continue
		}
		p.setToken(token)
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

// raiseToken rewrites a partition's key: a higher token, which fences commands that may
// still be under way.
func (c *partitionOwner) raiseToken(p *partition) {
	if c.now.Sub(p.tokenRaiseRequestedAt) < minTokenRaiseInterval {
		return
	}
	if c.election.RaiseToken(p.key) {
		p.tokenRaiseDue, p.tokenRaiseRequestedAt = false, c.now
	}
}

// takeOverPartition takes a partition over: the replica is read once more, so that it has
// all that former owners stored, then the cells are rebuilt from it.
func (c *controller) takeOverPartition(p *partition, token uint64) {
	p.firstToken, p.ownedSince, p.takeoverComplete = token, c.now, false
	p.recentTokens = nil
	p.setToken(token)
	p.cells, p.reservations = scheduling.NewPartition(), map[scheduling.TaskID]reservation{}
	// A former owner's last read may have begun just before its key went; it may go on
	// answering heartbeats for the maximum staleness after that. Whether there was one
	// can't be told here, not even after our own restart: the process before it may have
	// been a successor itself.
	p.formerOwnerMaxStaleness = c.maxStaleness
	c.reader.AfterSuccessfulRead(func() { c.activatePartition(p, token) })
}

// activatePartition rebuilds a partition's cells from the records and begins to decide on
// them, unless the partition was lost, or taken over once more, in the meantime.
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
	c.learnMachinesFromPeers()
	// Machines that know us from before, or that peers know, hear the new token at once,
	// so that they turn to us.
	for _, m := range p.machines {
		if !m.terminated {
			m.commandState.backoffUntil = time.Time{}
			c.ping(m, p)
		}
	}
	c.requestSchedulingPass()
}

// learnMachinesFromPeers takes in what peers know of their machines.
func (c *clusterState) learnMachinesFromPeers() {
	for _, other := range c.peers.All() {
		if other.Status == nil {
			continue
		}
		for _, x := range other.Status.Machines {
			m := c.getOrAddMachine(x.Name)
			if m.machineType == "" {
				m.machineType, m.zone, m.spot = x.Type, x.Zone, x.Flags&peer.Spot != 0
			}
			m.mergeIdentity(x.Addr, x.Incarnation)
		}
	}
}

// cancelWrites gives up what waits to be stored under a token that has ended.
func (p *partition) cancelWrites() {
	for _, group := range p.groups {
		group.cancelWrite()
	}
}

// hasHeardAllMachines tells whether every machine of a partition on which something is bound
// has been heard since the partition was taken over.
func (p *partition) hasHeardAllMachines() bool {
	for _, m := range p.machines {
		if len(m.bindings) > 0 && !m.heartbeatAt.After(p.ownedSince) {
			return false
		}
	}
	return true
}

// workerContact is how workers reach this controller, as package election asks for it.
type workerContact struct{ *controller }

// Reporting is how many machines of our partitions have sent a heartbeat of late.
func (w workerContact) Reporting() int {
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

// Heard is what was heard of our partitions' machines within a time.
func (w workerContact) Heard(within time.Duration) election.Heard {
	var heard election.Heard
	for _, p := range w.partitions {
		if p.token == 0 {
			continue
		}
		heard.Young = heard.Young || w.now.Sub(p.ownedSince) < within
		for _, m := range p.machines {
			if m.terminated {
				continue
			}
			if len(m.bindings) > 0 || !m.heartbeatAt.IsZero() && w.now.Sub(m.heartbeatAt) < recentHeartbeatWindow {
				heard.Known++
			}
			heard.Any = heard.Any || m.heartbeatAt.After(p.ownedSince) && w.now.Sub(m.heartbeatAt) < within
		}
	}
	return heard
}

// LastHeartbeat is when any worker's last heartbeat came.
func (w workerContact) LastHeartbeat() time.Time { return w.lastHeartbeatAt }

// ResumedAt is when this process last went on after a pause.
func (w workerContact) ResumedAt() time.Time { return w.resumedFromPauseAt }

// peerView is what is known of the other controllers, as package election asks for it.
type peerView struct{ *controller }

// Eligible reports whether a peer would take keys over.
func (v peerView) Eligible(node string) bool {
	p := v.peers.Peer(node)
	return p != nil && p.Heard(peer.Timeout, v.now) && p.Status.Eligible
}

// HeardSince is since when a peer has been heard without a gap.
func (v peerView) HeardSince(node string) time.Time { return v.peers.Peer(node).HeardSince }

// Silent reports whether there are peers and none of them was heard for d.
func (v peerView) Silent(d time.Duration) bool { return v.peers.Silent(d, v.now) }

// HearWorkers reports whether a machine reports to any peer, and whether all peers have
// told of late.
func (v peerView) HearWorkers() (hear, allKnown bool) {
	allKnown = len(v.cfg.Peers) > 0
	for _, p := range v.peers.All() {
		if p.Status == nil || v.now.Sub(p.HeardAt) > peerStatusTimeout {
			allKnown = false
			continue
		}
		for i := range p.Status.Machines {
			if p.Status.Machines[i].Flags&peer.Reachable != 0 {
				return true, allKnown
			}
		}
	}
	return false, allKnown
}
