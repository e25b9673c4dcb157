package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/core"
	"eiderhitch/internal/fleet"
	"eiderhitch/internal/mesh"
)

// unheardOwner is how long the leader deals by what an owner told last when it
// hears nothing of it, unless the owner loses its part.
const maxOwnerSilence = 90 * time.Second

// hosts are the machines that owners vouch for, with what is bound on them.
func (b *controller) machineSummaries() []*core.MachineSummary {
	var out []*core.MachineSummary
	add := func(m *machine, flags uint8) {
		t := b.machineTypes[m.machineType]
		if t == nil || m.terminated || b.terminating[m.name] {
			return
		}
		r := b.leadership.instances[m.name]
		if r == nil {
			r = &instance{machineType: m.machineType, zone: m.zone, spot: m.spot, launchedAt: b.now}
			b.leadership.instances[m.name] = r
		}
		r.reported, r.seenAt = true, b.now
		if flags&mesh.Reachable == 0 || flags&(mesh.TerminationNotice|mesh.Cordoned|mesh.Unreachable) != 0 {
			return
		}
		size := core.NewResources(t.CPUs, t.GPUs, t.RAM)
		if l := b.loans[m.name]; l != nil && !l.Acknowledged {
			return // on its way to the leader
		}
		h := &core.MachineSummary{ID: m.index, Type: m.machineType, Zone: m.zone, Spot: m.spot, Partition: m.partition, Size: size, Free: size}
		h.InUse = b.loans[m.name] != nil // wanted, even before it is in use
		for _, x := range m.bindings {
			r := x.group
			if r.job.spec == nil {
				continue
			}
			h.Free = h.Free.Minus(r.job.taskSize)
			h.Usages = append(h.Usages, core.Usage{Claim: r.claim(), Size: r.job.taskSize})
			h.RunsService = h.RunsService || r.job.spec.AllOrNothing()
		}
		if b.leadership.draining[m.name] {
			h.Free, h.Usages = core.Resources{}, nil // no room for anybody
		}
		out = append(out, h)
	}
	for _, p := range b.partitions {
		if p.token != 0 {
			if !p.active {
				continue
			}
			for _, m := range p.machines {
				if m.heartbeatAt.After(p.ownedSince) {
					add(m, b.machineFlags(m, p))
				}
			}
			continue
		}
		h := b.holders[p.key]
		s := b.peers[h.Node]
		if s == nil || s.status == nil {
			continue
		}
		// An owner that we don't hear, though it holds its part, works on: the
		// connections between controllers say nothing of who lives. Its machines
		// are taken for what they were last, with what the records bind there.
		if b.now.Sub(s.heardAt) > maxOwnerSilence {
			continue
		}
		for i := range s.status.Machines {
			x := &s.status.Machines[i]
			m := b.machineNamed(x.Name)
			if m.partition != p.index {
				continue
			}
			if x.Type != "" { // its owner has heard it
				m.machineType, m.zone, m.spot, m.addr = x.Type, x.Zone, x.Flags&mesh.Spot != 0, x.Addr
			}
			add(m, x.Flags)
		}
	}
	return out
}

// flags are what an owner says of its machine.
func (b *controller) machineFlags(m *machine, p *partition) uint8 {
	var f uint8
	if b.usable(m, p) {
		f |= mesh.Reachable
	}
	if !m.terminationAt.IsZero() {
		f |= mesh.TerminationNotice
	}
	if m.cordoned {
		f |= mesh.Cordoned
	}
	if m.spot {
		f |= mesh.Spot
	}
	if b.unreachable(m, p) {
		f |= mesh.Unreachable
	}
	if !m.heartbeatAt.After(p.ownsMachineSince(m)) {
		f |= mesh.NotHeardYet
	}
	return f
}

// silent: the machine neither reports nor answers direct commands, while most
// others of the part do, or it reports and hears nothing.
func (b *controller) unreachable(m *machine, p *partition) bool {
	// While no reports are taken (HoldTime) all are quiet. The leader, back from the
	// same outage a moment earlier, returned the machines of which a sibling said so.
	if m.terminated || !b.isFresh(b.maxStaleness) || !b.seemsUnreachable(m, p) {
		return false
	}
	// A machine whose lease is over has lost its tasks anyhow.
	return !b.mostUnreachable(p) || b.leaseExpired(m, p)
}

// mostQuiet tells whether most of a part's machines are quiet. It is counted once
// for all that is decided at a time: counted anew for each quiet machine, some
// hundred of them that fall silent together would take up the processor.
func (b *controller) mostUnreachable(p *partition) bool {
	if p.countedAt != b.now {
		p.countedAt = b.now
		quiet, all := 0, 0
		for _, m := range p.machines {
			if m.terminated || !b.expectsHeartbeat(m, 2*time.Minute) {
				continue
			}
			// Where workers reach us, of other parts too, one that has not reported
			// since we came says nothing about us: a part of few machines may well
			// have lost most of them.
			if m.heartbeatAt.IsZero() && b.lastHeartbeatAt.After(p.ownsMachineSince(m)) {
				continue
			}
			all++
			if b.seemsUnreachable(m, p) {
				quiet++
			}
		}
		p.mostUnreachable = quiet*2 > all
	}
	return p.mostUnreachable
}

func (b *controller) seemsUnreachable(m *machine, p *partition) bool {
	if m.notReceiving(p) && b.now.Sub(p.ownsMachineSince(m)) > b.unreachableAfter() && b.now.Sub(m.heartbeatAt) < b.heartbeatOverdueAfter() {
		return true // it reports all the same, so that commands can't be late
	}
	since := b.heardSince(m, p)
	if b.now.Sub(since) > b.leaseExpiry+b.unreachableAfter() && b.now.Sub(b.resumedFromPauseAt) > b.unreachableAfter() && b.now.Sub(b.lastHeartbeatAt) < b.heartbeatOverdueAfter() {
		return true // whatever it answers: its lease is over, and it takes no work
	}
	if m.answeredAt.After(since) {
		since = m.answeredAt
	}
	if m.unanswered >= unansweredLimit {
		after := b.heartbeatOverdueAfter()
		if !m.heartbeatAt.After(p.ownsMachineSince(m)) {
			// It is asked as soon as the part is taken over, and must not be found
			// silent sooner than by an owner who goes on: whether its whole zone is
			// out of reach shows no earlier.
			after += unansweredLimit * fleet.PingTimeout
		}
		return b.now.Sub(since) > after
	}
	return b.now.Sub(since) > b.unreachableAfter()
}

// status tells the siblings about this controller and its machines.
func (b *controller) peerStatus() *mesh.Status {
	s := &mesh.Status{Node: b.cfg.Name, ProcessID: b.processID, Fresh: b.isFresh(b.operator.LeaseTTL), Eligible: b.eligible()}
	for name := range b.leadership.draining {
		s.Draining = append(s.Draining, name)
	}
	for _, p := range b.partitions {
		if p.token == 0 || !p.active {
			continue
		}
		s.Partitions = append(s.Partitions, uint64(p.index))
		for _, m := range p.machines {
			if m.terminated || !m.heartbeatAt.After(p.ownedSince) && len(m.bindings) == 0 || m.incarnation == 0 ||
				b.now.Sub(b.heardSince(m, p)) > 3*time.Minute {
				continue
			}
			s.Machines = append(s.Machines, mesh.Machine{Name: m.name, Addr: m.addr, Type: m.machineType, Zone: m.zone, Incarnation: m.incarnation, Flags: b.machineFlags(m, p)})
		}
	}
	return s
}

// takeStatus takes a sibling's status in.
func (b *controller) handlePeerStatus(s *mesh.Status) {
	x := b.peers[s.Node]
	if x == nil {
		return // not one of ours
	}
	if x.status != nil && x.status.ProcessID != s.ProcessID {
		if x.formerProcessID == s.ProcessID {
			return // of a process that is dead
		}
		x.formerProcessID = x.status.ProcessID
	}
	if b.now.Sub(x.heardAt) > 2500*time.Millisecond {
		x.heardSince = b.now
	}
	x.status, x.heardAt = s, b.now
	if b.holders[b.leaderKey()].Node == s.Node {
		b.draining = map[string]bool{}
		for _, name := range s.Draining {
			b.draining[name] = true
		}
	}
}

// vouched tells whether a part has had an owner in touch with the leader for
// long enough that all machines of it must have reported.
func (b *controller) ownerLongInTouch(p int) bool {
	since := b.leadership.ownerInTouchSince[p]
	if b.heartbeatsResumedAt.After(since) && !since.IsZero() {
		since = b.heartbeatsResumedAt // machines could not report before
	}
	return !since.IsZero() && b.now.Sub(since) > 2*config.Seconds(b.cfg.Settings.Workers.ReportS)+12*time.Second
}

// allVouched tells whether every part's owner is in touch.
func (b *controller) allOwnersInTouch() bool {
	for i := range b.partitions {
		if b.leadership.ownerInTouchSince[i].IsZero() {
			return false
		}
	}
	return true
}

// noteVouching notes for each part since when its owner has been in touch.
func (b *controller) updateOwnersInTouch() {
	if b.leadership.ownerInTouchSince == nil {
		b.leadership.ownerInTouchSince, b.leadership.ownerInTouch = make([]time.Time, len(b.partitions)), make([]string, len(b.partitions))
	}
	for i, p := range b.partitions {
		owner := b.holders[p.key].Node
		ok := p.active
		if p.token == 0 {
			s := b.peers[owner]
			ok = s != nil && s.status != nil && b.now.Sub(s.heardAt) < 3*time.Second && slices.Contains(s.status.Partitions, uint64(i))
		}
		if !ok || b.leadership.ownerInTouch[i] != owner {
			b.leadership.ownerInTouchSince[i], b.leadership.ownerInTouch[i] = time.Time{}, owner
		}
		if ok && b.leadership.ownerInTouchSince[i].IsZero() {
			b.leadership.ownerInTouchSince[i] = b.now
		}
	}
}

// eachVouched calls f for each machine that its owner tells about.
func (b *controller) eachReportedMachine(f func(*machine, uint8)) {
	for _, p := range b.partitions {
		if p.token != 0 && p.active {
			for _, m := range p.machines {
				if !m.terminated && (!m.heartbeatAt.IsZero() || len(m.bindings) > 0) && b.now.Sub(b.heardSince(m, p)) < 3*time.Minute {
					f(m, b.machineFlags(m, p))
				}
			}
			continue
		}
		if s := b.peers[b.holders[p.key].Node]; s != nil && s.status != nil && b.now.Sub(s.heardAt) < 3*time.Second {
			for i := range s.status.Machines {
				x := &s.status.Machines[i]
				if m := b.machineNamed(x.Name); m.partition == p.index && !m.terminated {
					if x.Flags&mesh.Cordoned != 0 && m.cordonedAt.IsZero() {
						m.cordonedAt = b.now
					}
					f(m, x.Flags)
				}
			}
		}
	}
}
