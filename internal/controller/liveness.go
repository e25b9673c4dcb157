package controller

import (
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/workerclient"
)

const (
	// maxHeartbeatIntervalFactor is the longest pause between two heartbeats, in intervals:
	// workers vary theirs by a quarter.
	maxHeartbeatIntervalFactor = 1.25
	// maxHeartbeatTransit is how long a heartbeat may be on its way.
	maxHeartbeatTransit = 500 * time.Millisecond

	// A machine counts as unreachable when it has been silent for unreachableIntervals
	// intervals, for unreachableLeaseFraction of its lease, and for minUnreachableTimeout. The
	// last is well above what a worker needs to find its controller's successor: 4 s for a
	// response that does not come, and 1 s until it tries the next.
	unreachableIntervals     = 3
	unreachableLeaseFraction = 0.6
	minUnreachableTimeout    = 7 * time.Second

	// Nothing is placed on a machine that has been silent for usableIntervals intervals,
	// and for minUsableTimeout: one heartbeat may be lost.
	usableIntervals  = 2
	minUsableTimeout = 3 * time.Second

	// silentMachineRetention is for how long a silent machine is pinged and told about: well
	// beyond the time after which it is terminated or found dead.
	silentMachineRetention = 3 * time.Minute
	// majorityCountWindow is for how long it speaks for what most machines of its partition do.
	majorityCountWindow = 2 * time.Minute
)

// expectsHeartbeat tells whether a machine should send heartbeats to its partition's owner:
// it has within a time, or tasks are bound to it and it has sent none since a failover.
func (c *clusterState) expectsHeartbeat(m *machine, within time.Duration) bool {
	if m.heartbeatAt.IsZero() {
		return len(m.bindings) > 0
	}
	return c.now.Sub(m.heartbeatAt) <= within
}

// heartbeatTimeout is how long a machine may be silent before it is pinged.
func (c *clusterState) heartbeatTimeout() time.Duration {
	return config.Seconds(maxHeartbeatIntervalFactor*c.cfg.Settings.Workers.ReportS) + maxHeartbeatTransit
}

// unreachableTimeout is how long a machine may be silent before it counts as unreachable, if
// it can't be pinged.
func (c *clusterState) unreachableTimeout() time.Duration {
	w := &c.cfg.Settings.Workers
	return max(unreachableIntervals*config.Seconds(w.ReportS), config.Seconds(unreachableLeaseFraction*w.LeaseS), minUnreachableTimeout)
}

// usableTimeout is how long after its last heartbeat tasks are placed on a machine.
func (c *clusterState) usableTimeout() time.Duration {
	return max(usableIntervals*config.Seconds(c.cfg.Settings.Workers.ReportS), minUsableTimeout)
}

// seemsNotReceiving tells whether a machine lost its lease although its heartbeats were
// answered, or does not answer direct commands.
func (m *machine) seemsNotReceiving() bool {
	return m.leaseLostWhileHeard || m.commandState.unanswered >= unansweredLimit
}

// notReceiving tells whether a machine receives nothing, whatever it sends. Nothing is placed
// on it, and it is replaced if it stays so. When most machines seem to receive nothing, it is
// this controller whose messages are lost, and they are all usable.
func (m *machine) isNotReceiving(p *partition) bool {
	return m.seemsNotReceiving() && !p.mostNotReceiving
}

// silentSince is when a machine was last heard, or since when it could have been. A controller
// that answers no heartbeats (see config.MaxStaleness) hears nothing: after a long outage all
// machines would at once count as unreachable, and be terminated with all that they run.
func (c *clusterState) silentSince(m *machine, p *partition) time.Time {
	since := p.machineOwnedSince(m)
	if c.heartbeatsResumedAt.After(since) {
		since = c.heartbeatsResumedAt
	}
	if m.heartbeatAt.After(since) {
		return m.heartbeatAt
	}
	return since
}

// usable tells whether an owner may place tasks on its machine. It must have shown a token of
// this owner: a heartbeat with an earlier one may be a late copy, after a failover even of a
// machine that died long ago, and there is nothing to compare it with.
func (c *clusterState) isUsable(m *machine, p *partition) bool {
	heard := m.heartbeatAt.After(p.machineOwnedSince(m)) && m.incarnation > 0 && p.isOwnToken(m.token)
	return heard && !m.terminated && !m.isNotReceiving(p) && c.now.Sub(m.heartbeatAt) < c.usableTimeout()
}

// isLeaseExpired tells whether a machine's lease has surely expired: nobody, not even a former
// owner, has sent it a response that could renew it for the whole lease.
func (c *clusterState) isLeaseExpired(m *machine, p *partition) bool {
	renewed := p.machineOwnedSince(m).Add(p.formerOwnerMaxStaleness)
	if m.leaseRenewedAt.After(renewed) {
		renewed = m.leaseRenewedAt
	}
	return c.now.Sub(renewed) > c.leaseExpiry
}

// unreachable tells whether a machine neither sends heartbeats nor answers direct commands,
// while most others of its partition do, or sends and receives nothing.
func (c *clusterState) isUnreachable(m *machine, p *partition) bool {
	// While no heartbeats are answered all machines are silent. The leader may be back from
	// the same outage a moment earlier, and would terminate those that a peer calls
	// unreachable.
	if m.terminated || !c.isFresh(c.maxStaleness) || !c.seemsUnreachable(m, p) {
		return false
	}
	// A machine whose lease has expired has lost its tasks anyhow.
	return !c.areMostUnreachable(p) || c.isLeaseExpired(m, p)
}

// mostUnreachable tells whether most of a partition's machines seem unreachable. It is
// counted once for all decisions of one event: counted for each silent machine, hundreds that
// fall silent together would take up the processor.
func (c *clusterState) areMostUnreachable(p *partition) bool {
	if p.unreachableCountedAt != c.now {
		p.unreachableCountedAt = c.now
		unreachable, all := 0, 0
		for _, m := range p.machines {
			if m.terminated || !c.expectsHeartbeat(m, majorityCountWindow) {
				continue
			}
			// Where heartbeats arrive, also from other partitions, a machine that has sent
			// none since a failover says nothing about this controller: a partition of few
			// machines may well have lost most of them.
			if m.heartbeatAt.IsZero() && c.lastHeartbeatAt.After(p.machineOwnedSince(m)) {
				continue
			}
			all++
			if c.seemsUnreachable(m, p) {
				unreachable++
			}
		}
		p.mostUnreachable = unreachable*2 > all
	}
	return p.mostUnreachable
}

// seemsUnreachable tells the same as unreachable by the machine alone.
func (c *clusterState) seemsUnreachable(m *machine, p *partition) bool {
	if c.sendsWithoutReceiving(m, p) || c.isSilentBeyondLease(m, p) {
		return true
	}
	since := c.silentSince(m, p)
	if m.lastMessageAt.After(since) {
		since = m.lastMessageAt
	}
	if m.commandState.unanswered < unansweredLimit {
		return c.now.Sub(since) > c.unreachableTimeout()
	}
	after := c.heartbeatTimeout()
	if !m.heartbeatAt.After(p.machineOwnedSince(m)) {
		// It is pinged right after a failover, and must not count as unreachable sooner than
		// with an owner that goes on: that its whole zone is cut off shows no earlier.
		after += unansweredLimit * workerclient.PingTimeout
	}
	return c.now.Sub(since) > after
}

// sendsWithoutReceiving tells whether a machine sends heartbeats and receives nothing, with
// enough time to have received something.
func (c *clusterState) sendsWithoutReceiving(m *machine, p *partition) bool {
	return m.isNotReceiving(p) && c.now.Sub(p.machineOwnedSince(m)) > c.unreachableTimeout() && c.now.Sub(m.heartbeatAt) < c.heartbeatTimeout()
}

// isSilentBeyondLease tells whether a machine has sent no heartbeat for so long that its lease
// has expired, though others' heartbeats arrive. It takes no work, whatever it answers to
// direct commands.
func (c *clusterState) isSilentBeyondLease(m *machine, p *partition) bool {
	silent := c.now.Sub(c.silentSince(m, p)) > c.leaseExpiry+c.unreachableTimeout()
	return silent && c.now.Sub(c.resumedFromPauseAt) > c.unreachableTimeout() && c.now.Sub(c.lastHeartbeatAt) < c.heartbeatTimeout()
}

// probeMachines pings the machines whose heartbeats are overdue, or that seem to receive
// nothing.
func (c *partitionOwner) probeMachines() {
	for _, p := range c.partitions {
		if !p.takeoverComplete {
			continue
		}
		all, notReceiving := 0, 0
		for _, m := range p.machines {
			if m.terminated || !c.expectsHeartbeat(m, silentMachineRetention) {
				continue
			}
			all++
			if m.seemsNotReceiving() {
				notReceiving++
			}
			overdue := c.now.Sub(c.silentSince(m, p)) > c.heartbeatTimeout()
			if m.leaseLostWhileHeard || m.commandState.unanswered > 0 || overdue {
				c.ping(m, p)
			}
		}
		p.mostNotReceiving = notReceiving*2 > all
	}
}
