package controller

import (
	"iter"
	"time"

	"eiderhitch/internal/autoscaler"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// What package autoscaler asks of the controller.

// newAutoscaler returns the autoscaler of a controller.
func newAutoscaler(c *controller, client autoscaler.Cloud) *autoscaler.Autoscaler {
	return autoscaler.New(autoscaler.Config{
		CloudSettings: c.cfg.Settings.Cloud, Operator: c.operator,
		TombstonePrefix: tombstonePrefix, MachineTypesKey: machineTypesKey,
		MaxValueBytes: c.maxValueBytes(), MaxChanges: c.cfg.Settings.Store.TxnOps,
		LoanPartition: c.loanPartition(), HeartbeatOverdueAfter: c.heartbeatTimeout(),
		WorkLifetime: c.maxStaleness + c.leaseExpiry, Log: c.log,
	}, autoscaler.Services{
		Cloud: client, Machines: machineView{c}, Cluster: leadershipView{c}, Writer: writeQueue{c.clusterState},
		Loop: priorityLoop{c.eventLoop, priorityWorkers},
	})
}

// autoscalerMachine is what the autoscaler knows of a machine.
func (m *machine) autoscalerMachine() autoscaler.Machine {
	return autoscaler.Machine{Name: m.name, Type: m.machineType, Zone: m.zone, Spot: m.spot, Partition: m.partition, Bound: len(m.bindings) > 0, Terminated: m.terminated}
}

// machineView are the machines as package autoscaler asks for them.
type machineView struct{ *controller }

// Machine is the machine of that name, which is known from then on.
func (v machineView) Machine(name string) autoscaler.Machine {
	return v.getOrAddMachine(name).autoscalerMachine()
}

// Lookup is the machine of that name, if it is known.
func (v machineView) Lookup(name string) (autoscaler.Machine, bool) {
	m := v.machines[name]
	if m == nil {
		return autoscaler.Machine{}, false
	}
	return m.autoscalerMachine(), true
}

// At is the machine with an index.
func (v machineView) At(index scheduling.MachineIndex) autoscaler.Machine {
	return v.machineByIndex[index].autoscalerMachine()
}

// EachReported calls f for each machine that its owner tells about.
func (v machineView) EachReported(f func(autoscaler.ReportedMachine)) {
	v.eachReportedMachine(func(m *machine, flags uint8) {
		f(autoscaler.ReportedMachine{
			Machine:     m.autoscalerMachine(),
			Reachable:   flags&peer.Reachable != 0,
			Unreachable: flags&peer.Unreachable != 0,
			NotHeardYet: flags&peer.NotHeardYet != 0,
			Cordoned:    flags&peer.Cordoned != 0,
			CordonedAt:  m.cordonedAt,
		})
	})
}

// UnreachableInUse names the machines of own partitions that can't be reached and have tasks
// bound to them.
func (v machineView) UnreachableInUse() []string {
	if !v.isFresh(v.operator.LeaseTTL) {
		return nil
	}
	var names []string
	for _, p := range v.partitions {
		if !p.takeoverComplete {
			continue
		}
		for _, m := range p.machines {
			if len(m.bindings) > 0 && v.isUnreachable(m, p) {
				names = append(names, m.name)
			}
		}
	}
	return names
}

// MarkTerminated takes a machine that never was for terminated.
func (v machineView) MarkTerminated(name string) { v.getOrAddMachine(name).terminated = true }

// Types are the machine types by name.
func (v machineView) Types() map[string]*wire.MachineType { return v.machineTypes }

// SetTypes replaces them.
func (v machineView) SetTypes(types []wire.MachineType) { v.setMachineTypes(types) }

// leadershipView is the cluster as package autoscaler asks for it.
type leadershipView struct{ *controller }

// Loaded reports whether the records have been read since the start.
func (v leadershipView) Loaded() bool { return v.replica.Loaded() }

// Leadership is how far this controller leads.
func (v leadershipView) Leadership() autoscaler.Leadership {
	own := &v.leadership
	return autoscaler.Leadership{Epoch: own.epoch, Since: own.startedAt, Active: own.active, Acting: v.isLeader(), Condition: v.leaderCondition()}
}

// LeaderHeardAt is when the leader was last heard; zero: never, or it is no peer.
func (v leadershipView) LeaderHeardAt() time.Time {
	if leader := v.peers.Peer(v.ownerOf(v.leaderKey())); leader != nil {
		return leader.HeardAt
	}
	return time.Time{}
}

// PartitionCondition has a write fail once a partition is owned by somebody else.
func (v leadershipView) PartitionCondition(partition int) wire.Condition {
	p := v.partitions[partition]
	return wire.Condition{Key: p.key, Revision: p.token}
}

// AllOwnersInTouch reports whether the leader hears every partition's owner.
func (v leadershipView) AllOwnersInTouch() bool { return v.allOwnersResponsive() }

// OwnerLongInTouch reports whether the leader has heard a partition's owner for so long that
// all machines of the partition must have reported.
func (v leadershipView) OwnerLongInTouch(partition int) bool { return v.isOwnerViewComplete(partition) }

// HeartbeatsResumedAt is when heartbeats were last accepted again after an outage.
func (v leadershipView) HeartbeatsResumedAt() time.Time { return v.heartbeatsResumedAt }

// HasUnreadableRecords reports whether some record can't be decoded.
func (v leadershipView) HasUnreadableRecords() bool { return len(v.rollout.unreadableGroups) > 0 }

// Tombstones are all that are stored.
func (v leadershipView) Tombstones() iter.Seq[autoscaler.Tombstone] {
	return func(yield func(autoscaler.Tombstone) bool) {
		for key, t := range v.tombstones {
			if !yield(autoscaler.Tombstone{Key: key, Names: t.names, KnownSince: t.at}) {
				return
			}
		}
	}
}

// writeQueue are the writes that wait to be stored.
type writeQueue struct{ *clusterState }

// Backlog is about how long it takes until what has been submitted is stored.
func (q writeQueue) Backlog() time.Duration { return q.stateWriter.Backlog() }

// workload is what the machines are scaled for.
func (c *leader) workload(summaries []*planning.MachineSummary, waiting []planning.Demand) *autoscaler.Workload {
	work := &autoscaler.Workload{Machines: summaries, Waiting: waiting, Reserve: c.leadership.gangReserve.shortfall, RunningByClass: map[string]int{}, Services: c.services()}
	for group := range c.allGroups() {
		if group.job.spec != nil {
			work.RunningByClass[group.job.spec.Class] += group.boundTaskCount()
		}
	}
	return work
}

// services are the services that are not finished. All of a class share the demand of the
// first one: there are thousands of them, and the autoscaler asks once for each class.
func (c *clusterState) services() iter.Seq[autoscaler.Service] {
	return func(yield func(autoscaler.Service) bool) {
		demands := map[string]func() planning.Demand{}
		for _, job := range c.activeJobs {
			if job.finalState != record.Unfinished || job.spec == nil || !job.spec.Service {
				continue
			}
			class := job.spec.Class
			if demands[class] == nil {
				demands[class] = c.serviceDemand(job)
			}
			if !yield(autoscaler.Service{Class: class, Priority: job.spec.Priority, Tasks: job.spec.Tasks, Demand: demands[class]}) {
				return
			}
		}
	}
}

// serviceDemand returns the demand for services like a job, of no tasks yet, when it is
// called.
func (c *clusterState) serviceDemand(j *job) func() planning.Demand {
	return func() planning.Demand { return c.demand(j, "", 0) }
}
