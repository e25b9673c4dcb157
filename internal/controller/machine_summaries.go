package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/peer"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
)

// maxOwnerStatusAge is how long the leader plans with the last status of an owner that sends
// no newer one but keeps its partition's lease.
const maxOwnerStatusAge = 90 * time.Second

// machineSummaries returns the usable machines that their owners report, with the tasks that
// are bound to them. It also reports to the autoscaler which machines are up.
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

// appendPeerSummaries appends the machines of a partition that a peer owns. An owner whose
// statuses don't arrive but that keeps its partition's lease is still working: a broken
// connection between controllers doesn't show that the owner has failed. For up to
// maxOwnerStatusAge its machines are therefore used as they were last reported, with the
// bindings that the records show.
func (c *leader) appendPeerSummaries(summaries []*planning.MachineSummary, p *partition) []*planning.MachineSummary {
	owner := c.peers.Peer(c.ownerOf(p.key))
	if owner == nil || owner.Status == nil || c.now.Sub(owner.LastStatusAt) > maxOwnerStatusAge {
		return summaries
	}
	for i := range owner.Status.Machines {
		reported := &owner.Status.Machines[i]
		m := c.getOrAddMachine(reported.Name)
		if m.partition != p.index {
			continue
		}
		if reported.Type != "" { // the owner has received a heartbeat from it
			m.machineType, m.zone, m.spot, m.addr = reported.Type, reported.Zone, reported.Flags&peer.FlagSpot != 0, reported.Addr
		}
		summaries = c.appendSummary(summaries, m, reported.Flags)
	}
	return summaries
}

// appendSummary reports a machine to the autoscaler and appends it to the summaries, unless its
// type is unknown or it is being terminated. A machine that is moving to the leader's partition,
// or that its owner can't use, is only reported.
func (c *leader) appendSummary(summaries []*planning.MachineSummary, m *machine, flags uint8) []*planning.MachineSummary {
	machineType := c.machineTypes[m.machineType]
	if machineType == nil || m.terminated || c.autoscaler.IsTerminating(m.name) {
		return summaries
	}
	c.autoscaler.ObserveMachine(m.autoscalerMachine())
	if flags&peer.FlagReachable == 0 || flags&(peer.FlagTerminationNotice|peer.FlagCordoned|peer.FlagUnreachable) != 0 {
		return summaries
	}
	loan := c.loans[m.name]
	if loan != nil && !loan.Acknowledged {
		return summaries
	}
	size := scheduling.NewResources(machineType.CPUs, machineType.GPUs, machineType.RAMGB)
	summary := &planning.MachineSummary{
		Index: m.index, Type: m.machineType, Zone: m.zone, Spot: m.spot, Partition: m.partition, Size: size, FreeResources: size,
		InUse: loan != nil, // a loaned machine is needed even before anything is placed on it
	}
	addUsages(summary, m)
	if c.autoscaler.IsDrainingAsLeader(m.name) {
		summary.FreeResources, summary.CompletingUsage, summary.Usages = scheduling.Resources{}, scheduling.Resources{}, nil // a draining machine has no room for new tasks
	}
	return append(summaries, summary)
}

// addUsages adds the tasks that are bound to a machine to its summary and subtracts them from
// its free resources.
func addUsages(summary *planning.MachineSummary, m *machine) {
	summary.Usages = slices.Grow(summary.Usages, len(m.bindings))
	for _, x := range m.bindings {
		job := x.group.job
		if job.spec == nil {
			continue
		}
		summary.FreeResources = summary.FreeResources.Minus(job.taskSize)
		summary.Usages = append(summary.Usages, planning.TaskUsage{Claim: x.group.claim(), Size: job.taskSize})
		if !job.spec.Service {
			summary.CompletingUsage = summary.CompletingUsage.Plus(job.taskSize)
		}
		summary.RunsServiceOrGang = summary.RunsServiceOrGang || job.spec.IsAllOrNothing()
	}
}

// eachReportedMachine calls visit for each machine that its partition's owner reports, with
// the flags of the report.
func (c *clusterState) eachReportedMachine(visit func(m *machine, flags uint8)) {
	for _, p := range c.partitions {
		if p.token != 0 && p.takeoverComplete {
			c.eachOwnMachine(p, visit)
		} else {
			c.eachPeerMachine(p, visit)
		}
	}
}

// eachOwnMachine calls visit for the machines of a partition that this controller owns.
func (c *clusterState) eachOwnMachine(p *partition, visit func(m *machine, flags uint8)) {
	for _, m := range p.machines {
		known := !m.heartbeatAt.IsZero() || len(m.bindings) > 0
		if !m.terminated && known && c.now.Sub(c.noHeartbeatSince(m, p)) < unresponsiveMachineRetention {
			visit(m, c.machineFlags(m, p))
		}
	}
}

// eachPeerMachine calls visit for the machines in the last status of the peer that owns a
// partition, unless that status is too old.
func (c *clusterState) eachPeerMachine(p *partition, visit func(m *machine, flags uint8)) {
	owner := c.peers.Peer(c.ownerOf(p.key))
	if owner == nil || !owner.HasRecentStatus(ownerStatusTimeout, c.now) {
		return
	}
	for i := range owner.Status.Machines {
		reported := &owner.Status.Machines[i]
		m := c.getOrAddMachine(reported.Name)
		if m.partition != p.index || m.terminated {
			continue
		}
		if reported.Flags&peer.FlagCordoned != 0 && m.cordonedAt.IsZero() {
			m.cordonedAt = c.now
		}
		visit(m, reported.Flags)
	}
}
