package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/peer"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
)

// maxOwnerStatusAge is how long the leader assigns by what an owner told last when it hears
// nothing of it, unless the owner loses its partition.
const maxOwnerStatusAge = 90 * time.Second

// machineSummaries are the machines that owners vouch for, with what is bound to them. It
// notes which instances are up.
func (c *leader) machineSummaries() []*planning.MachineSummary {
	var summaries []*planning.MachineSummary
	for _, p := range c.partitions {
		if p.token != 0 {
			summaries = c.appendOwnSummaries(summaries, p)
		} else {
			summaries = c.appendPeerSummaries(summaries, p)
		}
	}
	return summaries
}

// appendOwnSummaries appends the machines of a partition that this controller owns.
func (c *leader) appendOwnSummaries(summaries []*planning.MachineSummary, p *partition) []*planning.MachineSummary {
	if !p.takeoverComplete {
		return summaries
	}
	for _, m := range p.machines {
		if m.heartbeatAt.After(p.ownedSince) {
			summaries = c.appendSummary(summaries, m, c.machineFlags(m, p))
		}
	}
	return summaries
}

// appendPeerSummaries appends the machines of a partition that a peer owns. An owner that
// is not heard, though it holds its partition, works on: the connections between
// controllers say nothing of who lives. Its machines are taken for what they were last,
// with what the records bind there.
func (c *leader) appendPeerSummaries(summaries []*planning.MachineSummary, p *partition) []*planning.MachineSummary {
	owner := c.peers.Peer(c.ownerOf(p.key))
	if owner == nil || owner.Status == nil || c.now.Sub(owner.HeardAt) > maxOwnerStatusAge {
		return summaries
	}
	for i := range owner.Status.Machines {
		reported := &owner.Status.Machines[i]
		m := c.getOrAddMachine(reported.Name)
		if m.partition != p.index {
			continue
		}
		if reported.Type != "" { // its owner has heard it
			m.machineType, m.zone, m.spot, m.addr = reported.Type, reported.Zone, reported.Flags&peer.Spot != 0, reported.Addr
		}
		summaries = c.appendSummary(summaries, m, reported.Flags)
	}
	return summaries
}

// appendSummary appends a machine, unless it is on its way out or to the leader, or its
// owner can't use it.
func (c *leader) appendSummary(summaries []*planning.MachineSummary, m *machine, flags uint8) []*planning.MachineSummary {
	machineType := c.machineTypes[m.machineType]
	if machineType == nil || m.terminated || c.autoscaler.Terminating(m.name) {
		return summaries
	}
	c.autoscaler.MachineUp(m.autoscalerMachine())
	if flags&peer.Reachable == 0 || flags&(peer.TerminationNotice|peer.Cordoned|peer.Unreachable) != 0 {
		return summaries
	}
	loan := c.loans[m.name]
	if loan != nil && !loan.Acknowledged {
		return summaries
	}
	size := scheduling.NewResources(machineType.CPUs, machineType.GPUs, machineType.RAMGB)
	summary := &planning.MachineSummary{
		Index: m.index, Type: m.machineType, Zone: m.zone, Spot: m.spot, Partition: m.partition, Size: size, FreeResources: size,
		InUse: loan != nil, // there is a use for it, even before anything is placed there
	}
	addUsages(summary, m)
	if c.autoscaler.DrainedByLeader(m.name) {
		summary.FreeResources, summary.Usages = scheduling.Resources{}, nil // no room for anybody
	}
	return append(summaries, summary)
}

// addUsages adds what is bound to a machine to its summary.
func addUsages(summary *planning.MachineSummary, m *machine) {
	summary.Usages = slices.Grow(summary.Usages, len(m.bindings))
	for _, x := range m.bindings {
		job := x.group.job
		if job.spec == nil {
			continue
		}
		summary.FreeResources = summary.FreeResources.Minus(job.taskSize)
		summary.Usages = append(summary.Usages, planning.TaskUsage{Claim: x.group.claim(), Size: job.taskSize})
		summary.RunsService = summary.RunsService || job.spec.AllOrNothing()
	}
}

// eachReportedMachine calls visit for each machine that its owner tells about.
func (c *clusterState) eachReportedMachine(visit func(m *machine, flags uint8)) {
	for _, p := range c.partitions {
		if p.token != 0 && p.takeoverComplete {
			c.eachOwnMachine(p, visit)
		} else {
			c.eachPeerMachine(p, visit)
		}
	}
}

func (c *clusterState) eachOwnMachine(p *partition, visit func(m *machine, flags uint8)) {
	for _, m := range p.machines {
		known := !m.heartbeatAt.IsZero() || len(m.bindings) > 0
		if !m.terminated && known && c.now.Sub(c.silentSince(m, p)) < silentMachineRetention {
			visit(m, c.machineFlags(m, p))
		}
	}
}

func (c *clusterState) eachPeerMachine(p *partition, visit func(m *machine, flags uint8)) {
	owner := c.peers.Peer(c.ownerOf(p.key))
	if owner == nil || !owner.Heard(ownerStatusTimeout, c.now) {
		return
	}
	for i := range owner.Status.Machines {
		reported := &owner.Status.Machines[i]
		m := c.getOrAddMachine(reported.Name)
		if m.partition != p.index || m.terminated {
			continue
		}
		if reported.Flags&peer.Cordoned != 0 && m.cordonedAt.IsZero() {
			m.cordonedAt = c.now
		}
		visit(m, reported.Flags)
	}
}
