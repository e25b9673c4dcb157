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

// This file implements the interfaces through which package autoscaler accesses the controller.

// newAutoscaler returns the autoscaler of a controller.
func newAutoscaler(c *controller, client autoscaler.Cloud) *autoscaler.Autoscaler {
	return autoscaler.New(autoscaler.Config{
		CloudSettings: c.cfg.Settings.Cloud, Operator: c.operator,
		TombstoneKeyPrefix: tombstonePrefix, MachineTypesKey: machineTypesKey,
		MaxValueBytes: c.maxValueBytes(), MaxTransactionChanges: c.cfg.Settings.Store.TxnOps,
		LoanPartition: c.loanPartition(), HeartbeatTimeout: c.heartbeatTimeout(),
		MaxUnreachableWorkDuration: c.maxStaleness + c.leaseExpiry, Clock: time.Now, Log: c.log,
	}, autoscaler.Dependencies{
		Cloud: client, Machines: machineView{c}, Cluster: leadershipView{c}, Writer: writeQueue{c.clusterState},
		Loop: priorityLoop{c.eventLoop, priorityWorkers},
	})
}

// autoscalerMachine returns the machine in the form that package autoscaler uses.
func (m *machine) autoscalerMachine() autoscaler.Machine {
	return autoscaler.Machine{Name: m.name, Type: m.machineType, Zone: m.zone, Spot: m.spot, Partition: m.partition, HasBoundTasks: len(m.bindings) > 0, Terminated: m.terminated}
}

// machineView implements autoscaler.Machines.
type machineView struct{ *controller }

// GetOrAdd returns the machine with a name. If it is unknown, it is added first.
func (v machineView) GetOrAdd(name string) autoscaler.Machine {
	return v.getOrAddMachine(name).autoscalerMachine()
}

// Lookup returns the machine with a name and whether it is known.
func (v machineView) Lookup(name string) (autoscaler.Machine, bool) {
	m := v.machines[name]
	if m == nil {
		return autoscaler.Machine{}, false
	}
	return m.autoscalerMachine(), true
}

// At returns the machine with an index.
func (v machineView) At(index scheduling.MachineIndex) autoscaler.Machine {
	return v.machineByIndex[index].autoscalerMachine()
}

// EachReportedMachine calls f for each machine that the owner of its partition reports.
func (v machineView) EachReportedMachine(f func(autoscaler.ReportedMachine)) {
	v.eachReportedMachine(func(m *machine, flags uint8) {
		f(autoscaler.ReportedMachine{
			Machine:                m.autoscalerMachine(),
			Reachable:              flags&peer.FlagReachable != 0,
			Unreachable:            flags&peer.FlagUnreachable != 0,
			AwaitingFirstHeartbeat: flags&peer.FlagAwaitingFirstHeartbeat != 0,
			Cordoned:               flags&peer.FlagCordoned != 0,
			CordonedAt:             m.cordonedAt,
		})
	})
}

// UnreachableMachinesWithTasks returns the names of the unreachable machines in this controller's
// partitions that have tasks bound to them. It returns none while the replica is not fresh.
func (v machineView) UnreachableMachinesWithTasks() []string {
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

// MarkTerminated marks a machine that has never come up as terminated. No tombstone is stored.
func (v machineView) MarkTerminated(name string) { v.getOrAddMachine(name).terminated = true }

// Types returns the machine types by name. It is empty while they are unknown.
func (v machineView) Types() map[string]*wire.MachineType { return v.machineTypes }

// SetTypes replaces the machine types.
func (v machineView) SetTypes(types []wire.MachineType) { v.setMachineTypes(types) }

// leadershipView implements autoscaler.Cluster.
type leadershipView struct{ *controller }

// HasLoadedRecords reports whether all records have been read since the process started.
func (v leadershipView) HasLoadedRecords() bool { return v.replica.IsLoaded() }

// Leadership returns this controller's current term as the leader. Its epoch is 0 if this
// controller is not the leader.
func (v leadershipView) Leadership() autoscaler.Leadership {
	own := &v.leadership
	return autoscaler.Leadership{Epoch: own.epoch, StartedAt: own.startedAt, Active: own.isActive, CanAct: v.isLeader(), FencingCondition: v.leaderCondition()}
}

// LeaderLastStatusAt returns the time of the leader's last status. It is zero if there was none or
// the leader is not a peer.
func (v leadershipView) LeaderLastStatusAt() time.Time {
	if leader := v.peers.Peer(v.ownerOf(v.leaderKey())); leader != nil {
		return leader.LastStatusAt
	}
	return time.Time{}
}

// PartitionFencingCondition returns a condition that makes a write fail once another controller
// owns the partition. Its revision is 0 if this controller does not own it.
func (v leadershipView) PartitionFencingCondition(partition int) wire.Condition {
	p := v.partitions[partition]
	return wire.Condition{Key: p.key, Revision: p.token}
}

// AreAllOwnersResponsive reports whether the leader currently receives the status of every
// partition's owner.
func (v leadershipView) AreAllOwnersResponsive() bool { return v.allOwnersResponsive() }

// HasCompleteView reports whether the leader has received the status of a partition's owner for
// long enough that every live machine of the partition must have sent a heartbeat.
func (v leadershipView) HasCompleteView(partition int) bool { return v.isOwnerViewComplete(partition) }

// HeartbeatsResumedAt returns the time at which this controller last accepted heartbeats again
// after an outage. It is zero if there was none.
func (v leadershipView) HeartbeatsResumedAt() time.Time { return v.heartbeatsResumedAt }

// HasUnreadableRecords reports whether any task group's record can't be decoded.
func (v leadershipView) HasUnreadableRecords() bool { return len(v.rollout.unreadableGroups) > 0 }

// Tombstones iterates over all stored tombstones, in no particular order.
func (v leadershipView) Tombstones() iter.Seq[autoscaler.Tombstone] {
	return func(yield func(autoscaler.Tombstone) bool) {
		for key, t := range v.tombstones {
			if !yield(autoscaler.Tombstone{Key: key, Revision: v.replica.Revision(key), MachineNames: t.names, FirstSeenAt: t.firstSeenAt}) {
				return
			}
		}
	}
}

// writeQueue implements autoscaler.Writer.
type writeQueue struct{ *clusterState }

// BacklogDuration returns approximately how long it takes until all submitted writes are stored.
func (q writeQueue) BacklogDuration() time.Duration { return q.storeWriter.BacklogDuration() }

// workload returns the workload that determines how many machines are needed. summaries are the
// machines that are up; waiting is the demand for which there is no capacity.
func (c *leader) workload(summaries []*planning.MachineSummary, waiting []planning.Demand) *autoscaler.Workload {
	work := &autoscaler.Workload{Machines: summaries, UnplacedDemands: waiting, GangReserveShortfall: c.leadership.gangReserve.shortfall, RunningTasksByClass: map[string]int{}, Services: c.services()}
	for group := range c.allGroups() {
		if group.job.spec != nil {
			work.RunningTasksByClass[group.job.spec.Class] += group.boundTaskCount()
		}
	}
	return work
}

// services iterates over the unfinished services. All services of a class share the demand of the
// first one: there may be thousands of services, and the autoscaler needs one demand per class.
func (c *clusterState) services() iter.Seq[autoscaler.Service] {
	return func(yield func(autoscaler.Service) bool) {
		demands := map[string]func() planning.Demand{}
		for _, job := range c.activeJobs {
			if job.finalState != record.StateUnfinished || job.spec == nil || !job.spec.Service {
				continue
			}
			class := job.spec.Class
			if demands[class] == nil {
				demands[class] = c.serviceDemand(job)
			}
			if !yield(autoscaler.Service{Class: class, Priority: job.spec.Priority, TaskCount: job.spec.TaskCount, Demand: demands[class]}) {
				return
			}
		}
	}
}

// serviceDemand returns a function that computes the demand for services like job j, with a task
// count of zero.
func (c *clusterState) serviceDemand(j *job) func() planning.Demand {
	return func() planning.Demand { return c.demand(j, "", 0) }
}
