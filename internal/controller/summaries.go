package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
)

// maxOwnerSilence is how long the leader deals by what an owner told last when it
// hears nothing of it, unless the owner loses its part.
const maxOwnerSilence = 90 * time.Second

// ownerTimeout is how long after its last status an owner counts as in touch.
const ownerTimeout = 3 * time.Second

// ownerOf is the controller that holds a leased key; "" if nobody does.
func (c *clusterState) ownerOf(key string) string {
	holder, _ := c.election.Holder(key)
	return holder.Node
}

// machineSummaries are the machines that owners vouch for, with what is bound on them.
func (c *leader) machineSummaries() []*planning.MachineSummary {
	var out []*planning.MachineSummary
	add := func(m *machine, flags uint8) {
		t := c.machineTypes[m.machineType]
		if t == nil || m.terminated || c.autoscaler.Terminating(m.name) {
			return
		}
		c.autoscaler.MachineUp(m.forAutoscaler())
		if flags&peer.Reachable == 0 || flags&(peer.TerminationNotice|peer.Cordoned|peer.Unreachable) != 0 {
			return
		}
		size := scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB)
		if loan := c.loans[m.name]; loan != nil && !loan.Acknowledged {
			return // on its way to the leader
		}
		summary := &planning.MachineSummary{ID: m.index, Type: m.machineType, Zone: m.zone, Spot: m.spot, Partition: m.partition, Size: size, Free: size}
		summary.InUse = c.loans[m.name] != nil // wanted, even before it is in use
		for _, x := range m.bindings {
			group := x.group
			if group.job.spec == nil {
				continue
			}
			summary.Free = summary.Free.Minus(group.job.taskSize)
			summary.Usages = append(summary.Usages, planning.Usage{Claim: group.claim(), Size: group.job.taskSize})
			summary.RunsService = summary.RunsService || group.job.spec.AllOrNothing()
		}
		if c.autoscaler.DrainedByLeader(m.name) {
			summary.Free, summary.Usages = scheduling.Resources{}, nil // no room for anybody
		}
		out = append(out, summary)
	}
	for _, p := range c.partitions {
		if p.token != 0 {
			if !p.active {
				continue
			}
			for _, m := range p.machines {
				if m.heartbeatAt.After(p.ownedSince) {
					add(m, c.machineFlags(m, p))
				}
			}
			continue
		}
		s := c.peers.Peer(c.ownerOf(p.key))
		if s == nil || s.Status == nil {
			continue
		}
		// An owner that we don't hear, though it holds its part, works on: the
		// connections between controllers say nothing of who lives. Its machines
		// are taken for what they were last, with what the records bind there.
		if c.now.Sub(s.HeardAt) > maxOwnerSilence {
			continue
		}
		for i := range s.Status.Machines {
			x := &s.Status.Machines[i]
			m := c.machineNamed(x.Name)
			if m.partition != p.index {
				continue
			}
			if x.Type != "" { // its owner has heard it
				m.machineType, m.zone, m.spot, m.addr = x.Type, x.Zone, x.Flags&peer.Spot != 0, x.Addr
			}
			add(m, x.Flags)
		}
	}
	return out
}

// machineFlags are what an owner says of its machine.
func (c *clusterState) machineFlags(m *machine, p *partition) uint8 {
	var f uint8
	if c.usable(m, p) {
		f |= peer.Reachable
	}
	if !m.terminationAt.IsZero() {
		f |= peer.TerminationNotice
	}
	if m.cordoned {
		f |= peer.Cordoned
	}
	if m.spot {
		f |= peer.Spot
	}
	if c.unreachable(m, p) {
		f |= peer.Unreachable
	}
	if !m.heartbeatAt.After(p.ownsMachineSince(m)) {
		f |= peer.NotHeardYet
	}
	return f
}

// peerStatus tells the siblings about this controller and its machines.
func (c *controller) peerStatus() *peer.Status {
	s := &peer.Status{Node: c.cfg.Name, ProcessID: c.processID, Fresh: c.isFresh(c.operator.LeaseTTL), Eligible: c.eligible(), Draining: c.autoscaler.DrainedMachines()}
	for _, p := range c.partitions {
		if p.token == 0 || !p.active {
			continue
		}
		s.Partitions = append(s.Partitions, uint64(p.index))
		for _, m := range p.machines {
			if m.terminated || !m.heartbeatAt.After(p.ownedSince) && len(m.bindings) == 0 || m.incarnation == 0 ||
				c.now.Sub(c.heardSince(m, p)) > silentMachineMemory {
				continue
			}
			s.Machines = append(s.Machines, peer.Machine{Name: m.name, Addr: m.addr, Type: m.machineType, Zone: m.zone, Incarnation: m.incarnation, Flags: c.machineFlags(m, p)})
		}
	}
	return s
}

// handlePeerStatus takes a sibling's status in.
func (c *controller) handlePeerStatus(s *peer.Status) {
	if !c.peers.Update(s, c.now) || c.ownerOf(c.leaderKey()) != s.Node {
		return
	}
	c.autoscaler.ObserveDraining(s.Draining)
}

// ownerLongInTouch tells whether a part has had an owner in touch with the leader for
// long enough that all machines of it must have reported.
func (c *leader) ownerLongInTouch(p int) bool {
	since := c.leadership.ownerInTouchSince[p]
	if c.heartbeatsResumedAt.After(since) && !since.IsZero() {
		since = c.heartbeatsResumedAt // machines could not report before
	}
	return !since.IsZero() && c.now.Sub(since) > 2*config.Seconds(c.cfg.Settings.Workers.ReportS)+12*time.Second
}

// allOwnersInTouch tells whether every part's owner is in touch.
func (c *leader) allOwnersInTouch() bool {
	for i := range c.partitions {
		if c.leadership.ownerInTouchSince[i].IsZero() {
			return false
		}
	}
	return true
}

// updateOwnersInTouch notes for each part since when its owner has been in touch.
func (c *leader) updateOwnersInTouch() {
	if c.leadership.ownerInTouchSince == nil {
		c.leadership.ownerInTouchSince, c.leadership.ownerInTouch = make([]time.Time, len(c.partitions)), make([]string, len(c.partitions))
	}
	for i, p := range c.partitions {
		owner := c.ownerOf(p.key)
		ok := p.active
		if p.token == 0 {
			s := c.peers.Peer(owner)
			ok = s != nil && s.Heard(ownerTimeout, c.now) && slices.Contains(s.Status.Partitions, uint64(i))
		}
		if !ok || c.leadership.ownerInTouch[i] != owner {
			c.leadership.ownerInTouchSince[i], c.leadership.ownerInTouch[i] = time.Time{}, owner
		}
		if ok && c.leadership.ownerInTouchSince[i].IsZero() {
			c.leadership.ownerInTouchSince[i] = c.now
		}
	}
}

// eachReportedMachine calls f for each machine that its owner tells about.
func (c *clusterState) eachReportedMachine(f func(*machine, uint8)) {
	for _, p := range c.partitions {
		if p.token != 0 && p.active {
			for _, m := range p.machines {
				if !m.terminated && (!m.heartbeatAt.IsZero() || len(m.bindings) > 0) && c.now.Sub(c.heardSince(m, p)) < silentMachineMemory {
					f(m, c.machineFlags(m, p))
				}
			}
			continue
		}
		if s := c.peers.Peer(c.ownerOf(p.key)); s != nil && s.Heard(ownerTimeout, c.now) {
			for i := range s.Status.Machines {
				x := &s.Status.Machines[i]
				if m := c.machineNamed(x.Name); m.partition == p.index && !m.terminated {
					if x.Flags&peer.Cordoned != 0 && m.cordonedAt.IsZero() {
						m.cordonedAt = c.now
					}
					f(m, x.Flags)
				}
			}
		}
	}
}
