package autoscaler

import (
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/wire"
)

const (
	// bootMarginS is added to the boot time that a machine is allowed, in seconds, for the
	// launch request and the first heartbeat.
	bootMarginS = 10
	// cordonedTimeout is the time for which tasks may keep running on a cordoned machine
	// before it is terminated together with them.
	cordonedTimeout = 15 * time.Second
	// leaderTimeout is the time after the leader's last status for which owners still rely
	// on the leader to terminate unreachable machines.
	leaderTimeout = 4 * time.Second
)

// bootTimeout returns the time within which a machine of a type must come up. After that it is
// terminated.
func (a *Autoscaler) bootTimeout(machineType *wire.MachineType) time.Duration {
	return config.Seconds(a.Operator.BootTimeoutFactor*machineType.BootS + bootMarginS)
}

// TerminateLostMachines terminates machines that are overdue, unreachable or cordoned. It must
// be called on the leader only.
func (a *Autoscaler) TerminateLostMachines() {
	names := a.overdueInstances()
	a.backOffFailedBoots(names)
	a.Machines.EachReportedMachine(func(m ReportedMachine) {
		if a.isLost(&m) {
			names = append(names, m.Name)
		}
	})
	a.terminate(names)
}

// backOffFailedBoots prevents further requests, for some time, for the offers whose machines
// did not come up. Like a lack of capacity, such failures affect one offer at a time. Meanwhile
// the demand is met from another offer, if there is one.
func (a *Autoscaler) backOffFailedBoots(overdue []string) {
	failedBoots := map[planning.Offer]int{}
	for _, name := range overdue {
		inst := a.term.instances[name]
		if !inst.hasReported && !a.terminatingMachines[name] {
			failedBoots[planning.Offer{Type: inst.machineType, Zone: inst.zone, Spot: inst.spot}]++
		}
	}
	for offer, count := range failedBoots {
		a.backOff(offer, cloud.ErrNoCapacity)
		a.Log.Info("machines did not come up", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot, "machines", count)
	}
}

// overdueInstances returns the instances that have not come up in time, and those that no owner
// reports any more because they died while their partition changed its owner or while they were
// moved to another partition. Only the owner of its partition knows whether a machine is up:
// after a failover, a machine that has been running tasks for long may not have sent a heartbeat
// yet.
func (a *Autoscaler) overdueInstances() []string {
	var names []string
	types := a.Machines.Types()
	for name, inst := range a.term.instances {
		machineType := types[inst.machineType]
		if machineType == nil || a.term.isolatedZones[inst.zone] {
			continue
		}
		since := inst.launchedAt
		if inst.hasReported {
			since = inst.lastReportedAt
		}
		if a.Loop.Now().Sub(since) > a.bootTimeout(machineType) && a.Cluster.HasCompleteView(a.Machines.GetOrAdd(name).Partition) {
			names = append(names, name)
		}
	}
	return names
}

// isLost reports whether a machine is to be terminated because it is unreachable or cordoned. In
// a new term, unreachable machines are kept until the instance list has been read: only the list
// shows the zone of a machine that has not sent a heartbeat since a failover, and that zone may
// be isolated.
func (a *Autoscaler) isLost(m *ReportedMachine) bool {
	if m.Unreachable && a.term.hasInstanceList && !a.term.isolatedZones[a.machineZone(&m.Machine)] {
		return true
	}
	return m.Cordoned && (!m.HasBoundTasks || a.Loop.Now().Sub(m.CordonedAt) > cordonedTimeout)
}

// TerminateUnreachableMachines terminates the unreachable machines of this controller's own
// partitions if it receives no statuses from the leader. The leader may then not know that these
// machines are unreachable, and their tasks would be replaced only after the leases of their
// workers have expired.
func (a *Autoscaler) TerminateUnreachableMachines() {
	if a.Cluster.Leadership().Active || a.Loop.Now().Sub(a.Cluster.LeaderLastStatusAt()) < leaderTimeout {
		return
	}
	a.terminate(a.Machines.UnreachableMachinesWithTasks())
}
