package controller

import (
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/workerclient"
)

// expectsHeartbeat tells whether a machine should report to its part's owner: it has of
// late, or work is bound to it and it has not reported since a take-over.
func (c *clusterState) expectsHeartbeat(m *machine, within time.Duration) bool {
	if m.heartbeatAt.IsZero() {
		return len(m.bindings) > 0
	}
	return c.now.Sub(m.heartbeatAt) <= within
}

// heartbeatOverdueAfter is how long a machine may be quiet before it is asked directly: the
// longest usual pause between two reports and some time on the way.
func (c *clusterState) heartbeatOverdueAfter() time.Duration {
	return config.Seconds(1.25*c.cfg.Settings.Workers.ReportS) + 500*time.Millisecond
}

// unreachableAfter is how long a machine may be quiet before it counts as silent, if
// it can't be asked. It is well above what a worker needs to find its node's
// successor (an answer outstanding for 4 s, then 1 s to the next).
func (c *clusterState) unreachableAfter() time.Duration {
	w := &c.cfg.Settings.Workers
	return max(3*config.Seconds(w.ReportS), config.Seconds(0.6*w.LeaseS), 7*time.Second)
}

// notReceiving tells whether a machine seems to hear nothing of us, whatever it reports.
// Nothing is placed on it, and it is replaced if it stays so. When that seems so
// of most machines, it is we who can't be heard: they are all alike then.
func (m *machine) notReceiving(p *partition) bool {
	return (m.leaseExpiredUnheard || m.direct.unanswered >= unansweredLimit) && !p.mostNotReceiving
}

// heardSince is when a machine was last heard, or since when it could have been. While
// this controller answers no reports (MaxStaleness) it hears none: after a long outage all
// machines would else be found silent at once, and returned with all that they run.
func (c *clusterState) heardSince(m *machine, p *partition) time.Time {
	t := p.ownsMachineSince(m)
	if c.heartbeatsResumedAt.After(t) {
		t = c.heartbeatsResumedAt
	}
	if m.heartbeatAt.After(t) {
		return m.heartbeatAt
	}
	return t
}

// usable tells whether an owner may place on its machine. It must have shown a token
// of ours: a report without may be a copy that comes late, after a take-over even
// of a machine that died long ago, and nothing is known yet to compare it with.
func (c *clusterState) usable(m *machine, p *partition) bool {
	return !m.terminated && m.heartbeatAt.After(p.ownsMachineSince(m)) && m.incarnation > 0 && m.token >= p.firstToken && !m.notReceiving(p) &&
		c.now.Sub(m.heartbeatAt) < max(2*config.Seconds(c.cfg.Settings.Workers.ReportS), 3*time.Second)
}

// leaseExpired tells whether a machine's lease has surely ended: nobody has sent
// it an answer that could renew it for a whole lease, a former owner included.
func (c *clusterState) leaseExpired(m *machine, p *partition) bool {
	last := p.ownsMachineSince(m).Add(p.formerOwnerStaleness)
	if m.leaseRenewedAt.After(last) {
		last = m.leaseRenewedAt
	}
	return c.now.Sub(last) > c.leaseExpiry
}

// unreachable: the machine neither reports nor answers direct commands, while most
// others of the part do, or it reports and hears nothing.
func (c *clusterState) unreachable(m *machine, p *partition) bool {
	// While no reports are taken (MaxStaleness) all are quiet. The leader, back from the
	// same outage a moment earlier, returned the machines of which a sibling said so.
	if m.terminated || !c.isFresh(c.maxStaleness) || !c.seemsUnreachable(m, p) {
		return false
	}
	// A machine whose lease is over has lost its tasks anyhow.
	return !c.mostUnreachable(p) || c.leaseExpired(m, p)
}

// mostUnreachable tells whether most of a part's machines are quiet. It is counted once
// for all that is decided at a time: counted anew for each quiet machine, some
// hundred of them that fall silent together would take up the processor.
func (c *clusterState) mostUnreachable(p *partition) bool {
	if p.countedAt != c.now {
		p.countedAt = c.now
		quiet, all := 0, 0
		for _, m := range p.machines {
			if m.terminated || !c.expectsHeartbeat(m, 2*time.Minute) {
				continue
			}
			// Where workers reach us, of other parts too, one that has not reported
			// since we came says nothing about us: a part of few machines may well
			// have lost most of them.
			if m.heartbeatAt.IsZero() && c.lastHeartbeatAt.After(p.ownsMachineSince(m)) {
				continue
			}
			all++
			if c.seemsUnreachable(m, p) {
				quiet++
			}
		}
		p.mostUnreachable = quiet*2 > all
	}
	return p.mostUnreachable
}

func (c *clusterState) seemsUnreachable(m *machine, p *partition) bool {
	if m.notReceiving(p) && c.now.Sub(p.ownsMachineSince(m)) > c.unreachableAfter() && c.now.Sub(m.heartbeatAt) < c.heartbeatOverdueAfter() {
		return true // it reports all the same, so that commands can't be late
	}
	since := c.heardSince(m, p)
	if c.now.Sub(since) > c.leaseExpiry+c.unreachableAfter() && c.now.Sub(c.resumedFromPauseAt) > c.unreachableAfter() && c.now.Sub(c.lastHeartbeatAt) < c.heartbeatOverdueAfter() {
		return true // whatever it answers: its lease is over, and it takes no work
	}
	if m.answeredAt.After(since) {
		since = m.answeredAt
	}
	if m.direct.unanswered >= unansweredLimit {
		after := c.heartbeatOverdueAfter()
		if !m.heartbeatAt.After(p.ownsMachineSince(m)) {
			// It is asked as soon as the part is taken over, and must not be found
			// silent sooner than by an owner who goes on: whether its whole zone is
			// out of reach shows no earlier.
			after += unansweredLimit * workerclient.PingTimeout
		}
		return c.now.Sub(since) > after
	}
	return c.now.Sub(since) > c.unreachableAfter()
}

// probeUnreachable asks machines directly that have not reported in time, or seem not
// to hear us.
func (c *partitionOwner) probeUnreachable() {
	for _, p := range c.partitions {
		if !p.active {
			continue
		}
		all, deaf := 0, 0
		for _, m := range p.machines {
			if m.terminated || !c.expectsHeartbeat(m, 3*time.Minute) {
				continue
			}
			all++
			if m.leaseExpiredUnheard || m.direct.unanswered >= unansweredLimit {
				deaf++
			}
			if m.leaseExpiredUnheard || m.direct.unanswered > 0 || c.now.Sub(c.heardSince(m, p)) > c.heartbeatOverdueAfter() {
				c.ping(m, p)
			}
		}
		p.mostNotReceiving = deaf*2 > all
	}
}
