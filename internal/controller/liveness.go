package controller

import (
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/workerclient"
	"eiderhitch/internal/workerlease"
)

// A machine is called silent while none of its heartbeats arrive, whether or not it answers direct
// commands.
const (
	// maxHeartbeatIntervalFactor is the longest time between two heartbeats, in heartbeat
	// intervals. Workers vary their interval by a quarter.
	maxHeartbeatIntervalFactor = 1.25
	// maxHeartbeatTransit bounds the time that a heartbeat takes to arrive.
	maxHeartbeatTransit = 500 * time.Millisecond

	// A machine counts as unreachable once it has neither sent a heartbeat nor answered a direct
	// command for the longest of these times: unreachableIntervals heartbeat intervals,
	// unreachableLeaseFraction of its lease, and minUnreachableTimeout. The last one is well above
	// the time in which a worker finds the successor of its controller: 4 s until a response
	// times out, and 1 s until it tries the next controller.
	unreachableIntervals     = 3
	unreachableLeaseFraction = 0.6
	minUnreachableTimeout    = 7 * time.Second

	// No task is placed on a machine that has been silent for usableIntervals heartbeat intervals
	// or for minUsableTimeout, whichever is longer. Two intervals tolerate the loss of one
	// heartbeat.
	usableIntervals  = 2
	minUsableTimeout = 3 * time.Second

	// unresponsiveMachineRetention is how long after its last heartbeat a machine is still
	// pinged and reported to peers. It is well above the time after which a machine without
	// heartbeats is terminated or proven dead.
	unresponsiveMachineRetention = 3 * time.Minute
	// majorityCountWindow is how long after its last heartbeat a machine is counted when the
	// controller determines whether most machines of a partition are unreachable.
	majorityCountWindow = 2 * time.Minute
)

// expectsHeartbeat reports whether the owner of a machine's partition should be receiving
// heartbeats from it: the machine has sent one within the given time, or it has sent none at
// all and tasks are bound to it.
func (c *clusterState) expectsHeartbeat(m *machine, within time.Duration) bool {
	if m.heartbeatAt.IsZero() {
		return len(m.bindings) > 0
	}
	return c.now.Sub(m.heartbeatAt) <= within
}

// heartbeatTimeout returns how long a machine may be silent before it is pinged.
func (c *clusterState) heartbeatTimeout() time.Duration {
	return config.Seconds(maxHeartbeatIntervalFactor*c.cfg.Settings.Workers.HeartbeatIntervalS) + maxHeartbeatTransit
}

// unreachableTimeout returns how long a machine may neither send heartbeats nor answer direct
// commands before it counts as unreachable. Unanswered direct commands shorten this time; see
// seemsUnreachable.
func (c *clusterState) unreachableTimeout() time.Duration {
	w := &c.cfg.Settings.Workers
	return max(unreachableIntervals*config.Seconds(w.HeartbeatIntervalS), config.Seconds(unreachableLeaseFraction*w.LeaseDurationS), minUnreachableTimeout)
}

// usableTimeout returns how long after its last heartbeat a machine may be given tasks.
func (c *clusterState) usableTimeout() time.Duration {
	return max(usableIntervals*config.Seconds(c.cfg.Settings.Workers.HeartbeatIntervalS), minUsableTimeout)
}

// seemsNotReceiving reports whether the machine lost its lease although its heartbeats were
// answered, or does not answer direct commands.
func (m *machine) seemsNotReceiving() bool {
	return m.hasMissedResponses || m.commandState.unanswered >= unansweredLimit
}

// isNotReceiving reports whether the machine receives no messages, even if it sends some. No
// task is placed on such a machine, and it is replaced if the state persists. If most machines
// of the partition seem not to receive, the messages of this controller are being lost, and all
// of these machines remain usable.
func (m *machine) isNotReceiving(p *partition) bool {
	return m.seemsNotReceiving() && !p.mostNotReceiving
}

// noHeartbeatSince returns the time of the machine's last heartbeat, or the earliest time at
// which this controller could have received one, whichever is later. A controller that does not
// answer heartbeats (see config.MaxStaleness) receives none: if that time counted as time
// without a heartbeat, all machines would become unreachable at once after a long outage, and
// would be terminated with all their tasks.
func (c *clusterState) noHeartbeatSince(m *machine, p *partition) time.Time {
	since := p.machineOwnedSince(m)
	if c.heartbeatsResumedAt.After(since) {
		since = c.heartbeatsResumedAt
	}
	if m.heartbeatAt.After(since) {
		return m.heartbeatAt
	}
	return since
}

// isUsable reports whether the owner of the partition may place tasks on the machine. The
// machine's heartbeat must carry a token of this owner. A heartbeat with an earlier token may be a
// late copy, after a failover even one of a machine that died long ago, and a new owner has no
// earlier heartbeat to compare it with.
func (c *clusterState) isUsable(m *machine, p *partition) bool {
	hasCurrentHeartbeat := m.heartbeatAt.After(p.machineOwnedSince(m)) && m.incarnation > 0 && p.isOwnToken(m, m.token)
	return hasCurrentHeartbeat && !m.terminated && !m.isNotReceiving(p) && c.now.Sub(m.heartbeatAt) < c.usableTimeout()
}

// seemsSilent reports whether the machine's next heartbeat is overdue, or only the answer to a direct
// command has shown its incarnation.
func (c *clusterState) seemsSilent(m *machine) bool {
	return m.heartbeatIncarnation != m.incarnation || c.now.Sub(m.heartbeatAt) > c.heartbeatTimeout()
}

// leaseExpiration returns the state of the lease of an owned machine.
func (c *clusterState) leaseExpiration(m *machine, p *partition) workerlease.Expiration {
	ownership := workerlease.Ownership{Since: p.machineOwnedSince(m), FormerOwnerAnswers: p.formerOwnerMaxStaleness}
	return m.lease.Expiration(c.now, ownership, c.leaseExpiry)
}

// isUnreachable reports whether the machine neither sends heartbeats nor answers direct
// commands while most other machines of its partition do, or whether it sends heartbeats but
// receives nothing.
func (c *clusterState) isUnreachable(m *machine, p *partition) bool {
	// All machines are silent while no heartbeats are answered. The leader may recover from the
	// same outage slightly earlier, and would terminate the machines that its peers report as
	// unreachable.
	if m.terminated || !c.isFresh(c.maxStaleness) || !c.seemsUnreachable(m, p) {
		return false
	}
	// A machine whose lease has expired has lost its tasks in any case.
	return !c.areMostUnreachable(p) || c.leaseExpiration(m, p).IsCertain()
}

// areMostUnreachable reports whether most machines of a partition seem unreachable. The count
// is taken once per event: if it were repeated for each silent machine, hundreds of machines
// that fall silent together would exhaust the processor.
func (c *clusterState) areMostUnreachable(p *partition) bool {
	if p.unreachableCountedAt != c.now {
		p.unreachableCountedAt = c.now
		unreachable, all := 0, 0
		for _, m := range p.machines {
			if m.terminated || !c.expectsHeartbeat(m, majorityCountWindow) {
				continue
			}
			// While heartbeats arrive, also from machines of other partitions, a machine that
			// has sent none since a failover does not indicate a fault of this controller. A
			// small partition may have lost most of its machines.
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

// seemsUnreachable reports whether the machine looks unreachable on its own, without regard to
// the other machines of the partition.
func (c *clusterState) seemsUnreachable(m *machine, p *partition) bool {
	if c.sendsWithoutReceiving(m, p) || c.isHeartbeatOlderThanLease(m, p) {
		return true
	}
	since := c.noHeartbeatSince(m, p)
	if m.lastMessageAt.After(since) {
		since = m.lastMessageAt
	}
	if m.commandState.unanswered < unansweredLimit {
		return c.now.Sub(since) > c.unreachableTimeout()
	}
	after := c.heartbeatTimeout()
	if !m.heartbeatAt.After(p.machineOwnedSince(m)) {
		// A machine is pinged right after a failover. It must not count as unreachable sooner
		// than under an owner that has not changed, because an outage of its whole zone is not
		// detected any sooner either.
		after += unansweredLimit * workerclient.PingTimeout
	}
	return c.now.Sub(since) > after
}

// sendsWithoutReceiving reports whether the machine sends heartbeats but receives nothing, and
// has been owned for long enough to have received something.
func (c *clusterState) sendsWithoutReceiving(m *machine, p *partition) bool {
	return m.isNotReceiving(p) && c.now.Sub(p.machineOwnedSince(m)) > c.unreachableTimeout() && c.now.Sub(m.heartbeatAt) < c.heartbeatTimeout()
}

// isHeartbeatOlderThanLease reports whether the machine has sent no heartbeat for so long that
// its lease has expired, while heartbeats of other machines arrive. No tasks are placed on such
// a machine even if it answers direct commands.
func (c *clusterState) isHeartbeatOlderThanLease(m *machine, p *partition) bool {
	expired := c.now.Sub(c.noHeartbeatSince(m, p)) > c.leaseExpiry+c.unreachableTimeout()
	return expired && c.now.Sub(c.resumedFromPauseAt) > c.unreachableTimeout() && c.now.Sub(c.lastHeartbeatAt) < c.heartbeatTimeout()
}

// probeMachines pings the machines whose heartbeats are overdue or that seem not to receive
// messages.
func (c *partitionOwner) probeMachines() {
	for _, p := range c.partitions {
		if !p.takeoverComplete {
			continue
		}
		all, notReceiving := 0, 0
		for _, m := range p.machines {
			if m.terminated || !c.expectsHeartbeat(m, unresponsiveMachineRetention) {
				continue
			}
			all++
			if m.seemsNotReceiving() {
				notReceiving++
			}
			overdue := c.now.Sub(c.noHeartbeatSince(m, p)) > c.heartbeatTimeout()
			if m.hasMissedResponses || m.commandState.unanswered > 0 || overdue {
				c.ping(m, p)
			}
		}
		p.mostNotReceiving = notReceiving*2 > all
	}
}
