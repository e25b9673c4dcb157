package autoscaler

import (
	"iter"
	"math"
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/wire"
)

const (
	// launchDelayAfterFailover is the maximum time for which a new leader waits for the
	// cloud's instance list and for the owners of all partitions before it launches machines.
	launchDelayAfterFailover = 10 * time.Second
	// launchDelayAfterOutage is added to the heartbeat timeout. After an outage in which no
	// heartbeats were accepted, the leader launches no machines for that time.
	launchDelayAfterOutage = 2 * time.Second
	// expectedBootFactor times its nominal boot time is the longest that a machine usually
	// takes to boot. A machine that takes longer no longer counts as capacity.
	expectedBootFactor = 1.6
)

// Service describes a service job that has not finished.
type Service struct {
	Class     string
	Priority  int
	TaskCount int
	// Demand returns the demand that a service of this class makes, with a count of zero.
	Demand func() planning.Demand
}

// Workload describes what the cluster runs and what it has no capacity for.
type Workload struct {
	// Machines describes the machines that are up.
	Machines []*planning.MachineSummary
	// UnplacedDemands lists the demands that could not be placed. GangReserveShortfall lists
	// what the capacity reserve for gangs lacks.
	UnplacedDemands, GangReserveShortfall []planning.Demand
	// RunningTasksByClass is the number of tasks of each class that run.
	RunningTasksByClass map[string]int
	// Services yields all services that have not finished.
	Services iter.Seq[Service]
}

// serviceHeadroom describes the capacity that is kept free for future services.
type serviceHeadroom struct {
	demands []planning.Demand
	// minPriority is the lowest priority of all services. Services would preempt tasks below
	// it, so the resources of such tasks count as free. It is math.MaxInt without services.
	minPriority int
}

// Scale launches machines for demands that could not be placed, and drains and terminates
// machines that are not needed. It must be called on the leader only.
func (a *Autoscaler) Scale(workload *Workload) {
	if len(a.Machines.Types()) == 0 {
		return
	}
	headroom := a.computeHeadroom(workload.Services)
	plan, shortage := a.planLaunches(workload, headroom)
	if a.isFleetKnown() {
		for offer, count := range plan.Launches {
			a.launch(offer, min(count, maxMachinesPerLaunch))
		}
	}
	// Tasks bound by a record that can't be decoded may run on a machine that seems idle.
	// Such machines have been terminated in the past, and their tasks were lost.
	if a.Cluster.HasUnreadableRecords() {
		return
	}
	a.drainSurplus(workload.Machines, headroom, shortage)
	a.terminateIdle(workload.Machines)
}

// planLaunches plans launches for the demands that could not be placed and for the headroom.
// shortage reports whether the capacity is too small even without the headroom.
func (a *Autoscaler) planLaunches(workload *Workload, headroom *serviceHeadroom) (plan *planning.ScalingPlan, shortage bool) {
	plan = &planning.ScalingPlan{
		Machines:            append(slices.Clone(workload.Machines), a.bootingMachines()...),
		Offers:              a.availableOffers(),
		RunningTasksByClass: workload.RunningTasksByClass,
		Launches:            map[planning.Offer]int{},
	}
	placeAll(plan, workload.UnplacedDemands)
	a.term.waits = plan.Waits
	placeAll(plan, workload.GangReserveShortfall)
	shortage = plan.Shortage
	planning.TreatLowerPriorityAsFree(plan.Machines, headroom.minPriority)
	placeAll(plan, headroom.demands)
	return plan, shortage
}

// placeAll adds demands to a plan, one after the other.
func placeAll(plan *planning.ScalingPlan, demands []planning.Demand) {
	for _, demand := range demands {
		plan.Place(demand)
	}
}

// isFleetKnown reports whether the leader knows which machines are up or booting. A new leader
// does not know it yet, and neither does a leader after a long outage in which no heartbeats
// were accepted. If such a leader scaled out, it would launch the whole fleet a second time.
func (a *Autoscaler) isFleetKnown() bool {
	now := a.Loop.Now()
	known := a.term.hasInstanceList && a.Cluster.AreAllOwnersResponsive() || now.Sub(a.Cluster.Leadership().StartedAt) > launchDelayAfterFailover
	return known && now.Sub(a.Cluster.HeartbeatsResumedAt()) > a.HeartbeatTimeout+launchDelayAfterOutage
}

// computeHeadroom returns the capacity to keep free for future services. It depends on how many
// services of each class there are now.
func (a *Autoscaler) computeHeadroom(services iter.Seq[Service]) *serviceHeadroom {
	headroom := &serviceHeadroom{minPriority: math.MaxInt}
	byClass := map[string]*planning.Demand{}
	var classes []string
	for service := range services {
		demand := byClass[service.Class]
		if demand == nil {
			first := service.Demand()
			demand = &first
			byClass[service.Class] = demand
			classes = append(classes, service.Class)
		}
		demand.Count += service.TaskCount
		headroom.minPriority = min(headroom.minPriority, service.Priority)
	}
	slices.Sort(classes)
	for _, class := range classes {
		demand := byClass[class]
		demand.Count = planning.Headroom(demand.Count, a.Operator.HeadroomForClass(class))
		headroom.demands = append(headroom.demands, *demand)
	}
	return headroom
}

// MachineCounts returns how many machines are booting and how many are draining. Machines whose
// launch is pending count as booting.
func (a *Autoscaler) MachineCounts() (booting, draining int) {
	return len(a.bootingMachines()), len(a.term.drainingMachines)
}

// WaitCounts returns why the tasks of the demands that Scale was last called with wait.
func (a *Autoscaler) WaitCounts() planning.WaitCounts { return a.term.waits }

// bootingMachines returns summaries of the machines that have been launched or requested and
// have not come up yet. It leaves out machines that are late or are being terminated.
func (a *Autoscaler) bootingMachines() []*planning.MachineSummary {
	var machines []*planning.MachineSummary
	types := a.Machines.Types()
	for name, inst := range a.term.instances {
		machineType := types[inst.machineType]
		if inst.hasReported || machineType == nil || a.terminatingMachines[name] {
			continue
		}
		if a.Loop.Now().Sub(inst.launchedAt) > config.Seconds(expectedBootFactor*machineType.BootS) {
			continue
		}
		machines = append(machines, newBootingSummary(machineType, planning.Offer{Type: inst.machineType, Zone: inst.zone, Spot: inst.spot}))
	}
	for offer, count := range a.term.pendingLaunches {
		for range count {
			machines = append(machines, newBootingSummary(types[offer.Type], offer))
		}
	}
	return machines
}

// newBootingSummary returns the summary of an empty machine that is not up yet.
func newBootingSummary(machineType *wire.MachineType, offer planning.Offer) *planning.MachineSummary {
	size := machineTypeSize(machineType)
	return &planning.MachineSummary{Index: planning.UnassignedIndex, Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot, Size: size, FreeResources: size, Booting: true}
}
