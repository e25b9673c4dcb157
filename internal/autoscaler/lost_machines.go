package autoscaler

import (
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/wire"
)

const (
	// bootMarginS, in seconds, is added to the time that a machine may take to come up, for the call
	// and its first heartbeat.
	bootMarginS = 10
	// cordonedTimeout is how long tasks may go on on a cordoned machine before it is
	// terminated with them.
	cordonedTimeout = 15 * time.Second
	// leaderTimeout is how long after it was last heard the leader is relied on to
	// terminate machines that can't be reached.
	leaderTimeout = 4 * time.Second
)

// bootTimeout is how long a machine may take to come up before it is terminated.
func (a *Autoscaler) bootTimeout(machineType *wire.MachineType) time.Duration {
	return config.Seconds(a.Operator.BootPatience*machineType.BootS + bootMarginS)
}

// TerminateLostMachines terminates machines that are overdue, unreachable or cordoned, for the
// leader.
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

// backOffFailedBoots has the offers rest for a while of which machines did not come up. Like a lack of
// capacity it befalls one type, zone and kind at a time: meanwhile what the machines were for
// goes to another offer, if there is one.
func (a *Autoscaler) backOffFailedBoots(overdue []string) {
	failedBoots := map[planning.Offer]int{}
	for _, name := range overdue {
		inst := a.term.instances[name]
		if !inst.hasReported && !a.terminating[name] {
			failedBoots[planning.Offer{Type: inst.machineType, Zone: inst.zone, Spot: inst.spot}]++
		}
	}
	for offer, count := range failedBoots {
		a.backOff(offer, cloud.ErrNoCapacity)
		a.Log.Info("machines did not come up", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot, "machines", count)
	}
}

// overdueInstances are those that have not come up in time, and those that no owner tells
// of any more: they died while their partition, or they themselves, changed hands. Only its
// partition's owner can tell whether a machine is up: after a failover a machine may be old
// and busy and not have sent a heartbeat yet.
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

// lost tells whether a machine is no more use. Unreachable ones wait for the first list of
// a new term: only the list tells the zone of a machine that has not sent a heartbeat since
// a failover, and its zone may be isolated.
func (a *Autoscaler) isLost(m *ReportedMachine) bool {
	if m.Unreachable && a.term.hasInstanceList && !a.term.isolatedZones[a.machineZone(&m.Machine)] {
		return true
	}
	return m.Cordoned && (!m.HasBoundTasks || a.Loop.Now().Sub(m.CordonedAt) > cordonedTimeout)
}

// TerminateUnreachableMachines has an owner that hears nothing of the leader terminate its
// unreachable machines itself. The leader could not know of them, and their tasks would
// wait for the whole lease.
func (a *Autoscaler) TerminateUnreachableMachines() {
	if a.Cluster.Leadership().Active || a.Loop.Now().Sub(a.Cluster.LeaderLastHeardAt()) < leaderTimeout {
		return
	}
	a.terminate(a.Machines.UnreachableMachinesWithTasks())
}
