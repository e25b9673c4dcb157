package controller

import (
	"testing"
	"time"
)

// The timeouts follow the workers' settings, but stay above the time that a lost heartbeat or a
// worker's search for another controller takes.
func TestLivenessTimeouts(t *testing.T) {
	for _, x := range []struct {
		intervalS, leaseS            float64
		overdue, unreachable, usable time.Duration
	}{
		{1, 10, 1750 * time.Millisecond, 7 * time.Second, 3 * time.Second},
		{2, 60, 3 * time.Second, 36 * time.Second, 4 * time.Second},
		{5, 10, 6750 * time.Millisecond, 15 * time.Second, 10 * time.Second},
		{10, 50, 13 * time.Second, 30 * time.Second, 20 * time.Second},
	} {
		c := newTestController(t)
		c.cfg.Settings.Workers.HeartbeatIntervalS, c.cfg.Settings.Workers.LeaseDurationS = x.intervalS, x.leaseS
		if got := c.heartbeatTimeout(); got != x.overdue {
			t.Errorf("interval %v s, lease %v s: heartbeat timeout %v, want %v", x.intervalS, x.leaseS, got, x.overdue)
		}
		if got := c.unreachableTimeout(); got != x.unreachable {
			t.Errorf("interval %v s, lease %v s: unreachable timeout %v, want %v", x.intervalS, x.leaseS, got, x.unreachable)
		}
		if got := c.usableTimeout(); got != x.usable {
			t.Errorf("interval %v s, lease %v s: usable timeout %v, want %v", x.intervalS, x.leaseS, got, x.usable)
		}
	}
}

// newReachableMachine returns a machine of the test controller that has just sent a heartbeat,
// and its partition.
func newReachableMachine(c *controller) (*machine, *partition) {
	p := c.partitions[0]
	p.firstToken = p.token
	m := c.getOrAddMachine("host-1")
	m.incarnation, m.sequence, m.token = 1, 1, p.token
	m.heartbeatAt, m.lastMessageAt, c.lastHeartbeatAt = c.now, c.now, c.now
	m.lease.Renew(c.now)
	return m, p
}

// A machine is usable if its owner has recently received a heartbeat with one of its own tokens,
// and if the machine neither is terminated nor seems not to receive messages.
func TestUsableMachine(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(c *controller, m *machine, p *partition)
		want   bool
	}{
		{"heartbeat just received", func(*controller, *machine, *partition) {}, true},
		{"last heartbeat 2.9 s ago", func(c *controller, _ *machine, _ *partition) { c.now = c.now.Add(2900 * time.Millisecond) }, true},
		{"last heartbeat 3 s ago", func(c *controller, _ *machine, _ *partition) { c.now = c.now.Add(3 * time.Second) }, false},
		{"last heartbeat before the failover", func(c *controller, _ *machine, p *partition) { p.ownedSince = c.now }, false},
		{"last heartbeat before it moved to the partition", func(c *controller, m *machine, _ *partition) { m.partitionChangedAt = c.now }, false},
		{"a late copy with a former owner's token", func(_ *controller, _ *machine, p *partition) { p.firstToken++ }, false},
		{"known only from records", func(_ *controller, m *machine, _ *partition) { m.incarnation = 0 }, false},
		{"terminated", func(_ *controller, m *machine, _ *partition) { m.terminated = true }, false},
		{"one command unanswered", func(_ *controller, m *machine, _ *partition) { m.commandState.unanswered = 1 }, true},
		{"two commands unanswered", func(_ *controller, m *machine, _ *partition) { m.commandState.unanswered = 2 }, false},
		{"two commands unanswered, as for most machines", func(_ *controller, m *machine, p *partition) { m.commandState.unanswered, p.mostNotReceiving = 2, true }, true},
		{"lost its lease although its heartbeats were answered", func(_ *controller, m *machine, _ *partition) { m.hasMissedResponses = true }, false},
	} {
		c := newTestController(t)
		m, p := newReachableMachine(c)
		x.change(c, m, p)
		if got := c.isUsable(m, p); got != x.want {
			t.Errorf("%s: usable %v, want %v", x.name, got, x.want)
		}
	}
}

// unreachableTest is a change to a machine that has just sent a heartbeat, and whether the
// machine seems unreachable after it.
type unreachableTest struct {
	name   string
	after  time.Duration // time since the heartbeat
	change func(c *controller, m *machine, p *partition)
	want   bool
}

// beyondLease is a time after which the lease of a machine that sends no heartbeats has certainly
// expired.
const beyondLease = time.Minute

var unreachableTests = []unreachableTest{
	{"no heartbeat for less than the timeout", 6900 * time.Millisecond, nil, false},
	{"no heartbeat for longer than the timeout", 7100 * time.Millisecond, nil, true},
	{"no heartbeat, answers a ping", 7100 * time.Millisecond, func(c *controller, m *machine, _ *partition) { m.lastMessageAt = c.now }, false},
	{"no heartbeat during an outage", 7100 * time.Millisecond, func(c *controller, _ *machine, _ *partition) { c.heartbeatsResumedAt = c.now }, false},
	{"one ping unanswered", 1800 * time.Millisecond, func(_ *controller, m *machine, _ *partition) { m.commandState.unanswered = 1 }, false},
	{"pings unanswered, heartbeats arrive", 1700 * time.Millisecond, func(_ *controller, m *machine, _ *partition) { m.commandState.unanswered = 2 }, true},
	{"pings unanswered by most machines, heartbeats arrive", 1700 * time.Millisecond, func(_ *controller, m *machine, p *partition) { m.commandState.unanswered, p.mostNotReceiving = 2, true }, false},
	{"pings unanswered, overdue", 1800 * time.Millisecond, func(_ *controller, m *machine, _ *partition) { m.commandState.unanswered = 2 }, true},
	{"pings unanswered right after a failover", 3700 * time.Millisecond, setUnansweredSinceFailover, false},
	{"pings unanswered a while after a failover", 3800 * time.Millisecond, setUnansweredSinceFailover, true},
	{"sends without receiving", 0, func(_ *controller, m *machine, _ *partition) { m.hasMissedResponses = true }, true},
	{"sends without receiving, as most machines do", 0, func(_ *controller, m *machine, p *partition) { m.hasMissedResponses, p.mostNotReceiving = true, true }, false},
	{"sends without receiving, right after a failover", 0, func(c *controller, m *machine, p *partition) {
		m.hasMissedResponses, p.ownedSince = true, c.now.Add(-time.Second)
	}, false},
	{"answers pings beyond its lease, other machines send heartbeats", beyondLease, setAnswersPings, true},
	{"answers pings beyond its lease, no machine sends heartbeats", beyondLease, func(c *controller, m *machine, p *partition) {
		setAnswersPings(c, m, p)
		c.lastHeartbeatAt = m.heartbeatAt
	}, false},
	{"answers pings beyond its lease, this process was suspended", beyondLease, func(c *controller, m *machine, p *partition) {
		setAnswersPings(c, m, p)
		c.resumedFromPauseAt = c.now
	}, false},
}

// setUnansweredSinceFailover changes a machine to one that has sent no heartbeat and left two
// requests unanswered since its partition's owner changed.
func setUnansweredSinceFailover(_ *controller, m *machine, p *partition) {
	p.ownedSince, m.heartbeatAt, m.commandState.unanswered = m.heartbeatAt, time.Time{}, 2
	m.lastMessageAt = time.Time{}
}

// setAnswersPings changes a machine to one that has just answered a ping, while a heartbeat of
// another machine has just arrived.
func setAnswersPings(c *controller, m *machine, _ *partition) {
	m.lastMessageAt, c.lastHeartbeatAt = c.now, c.now
}

// A machine seems unreachable after a timeout without messages, earlier if it seems not to receive
// any, and also if it answers pings but sends no heartbeat until its lease has expired. It does
// not if the cause may lie with the controller or affects most machines.
func TestMachineSeemsUnreachable(t *testing.T) {
	for _, x := range unreachableTests {
		c := newTestController(t)
		m, p := newReachableMachine(c)
		c.now = c.now.Add(x.after)
		if x.change != nil {
			x.change(c, m, p)
		}
		if got := c.seemsUnreachable(m, p); got != x.want {
			t.Errorf("%s: unreachable %v, want %v", x.name, got, x.want)
		}
	}
}
