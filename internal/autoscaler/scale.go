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
	// launchDelayAfterFailover is how long a new leader waits for the cloud's list and for
	// the partitions' owners before it launches.
	launchDelayAfterFailover = 10 * time.Second
	// launchDelayAfterOutage is how much longer than the usual pause between heartbeats a
	// leader waits after an outage in which none were accepted.
	launchDelayAfterOutage = 2 * time.Second
	// expectedBootFactor is how many of its nominal boot times a machine usually takes at
	// the most. One that takes longer is not counted on any more.
	expectedBootFactor = 1.6
)

// Service is a service that is not finished.
type Service struct {
	Class     string
	Priority  int
	TaskCount int
	// Demand is the demand for such services, of no tasks yet.
	Demand func() planning.Demand
}

// Workload is what the cluster runs and what it has no room for.
type Workload struct {
	// Machines are those that are up.
	Machines []*planning.MachineSummary
	// Waiting found no room; Reserve is what the reserve for gangs lacks.
	UnplacedDemands, GangReserveShortfall []planning.Demand
	// RunningTasksByClass is how many tasks of each class run.
	RunningTasksByClass map[string]int
	// Services are all that are not finished.
	Services iter.Seq[Service]
}

// headroom is the room that is kept for services to come.
type serviceHeadroom struct {
	demands []planning.Demand
	// priority is the least of all services: they would preempt what is below it.
	minPriority int
}

// Scale launches machines for what found no room and terminates those that are not needed.
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
	// What a record that can't be decoded binds may run on a machine that seems idle: it
	// was terminated, and the tasks were lost.
	if a.Cluster.HasUnreadableRecords() {
		return
	}
	a.drainSurplus(workload.Machines, headroom, shortage)
	a.terminateIdle(workload.Machines)
}

// plan plans launches for what found no room and for the headroom. It reports a shortage if
// there was too little room without the headroom.
func (a *Autoscaler) planLaunches(workload *Workload, headroom *serviceHeadroom) (plan *planning.ScalingPlan, shortage bool) {
	plan = &planning.ScalingPlan{
		Machines:            append(slices.Clone(workload.Machines), a.bootingMachines()...),
		Offers:              a.availableOffers(),
		RunningTasksByClass: workload.RunningTasksByClass,
		Launches:            map[planning.Offer]int{},
	}
	placeAll(plan, workload.UnplacedDemands)
	placeAll(plan, workload.GangReserveShortfall)
	shortage = plan.Shortage
	planning.TreatLowerPriorityAsFree(plan.Machines, headroom.minPriority)
	placeAll(plan, headroom.demands)
	return plan, shortage
}

// placeAll plans for demands, one after the other.
func placeAll(plan *planning.ScalingPlan, demands []planning.Demand) {
	for _, demand := range demands {
		plan.Place(demand)
	}
}

// isFleetKnown tells whether the leader knows what is up and booting. A new one does not yet,
// nor does one after a long outage, in which no heartbeats were accepted: it would launch
// all of it once more.
func (a *Autoscaler) isFleetKnown() bool {
	now := a.Loop.Now()
	known := a.term.hasInstanceList && a.Cluster.AreAllOwnersResponsive() || now.Sub(a.Cluster.Leadership().StartedAt) > launchDelayAfterFailover
	return known && now.Sub(a.Cluster.HeartbeatsResumedAt()) > a.HeartbeatTimeout+launchDelayAfterOutage
}

// computeHeadroom is the room to keep for services to come, by those there are.
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
		demand.Count = planning.Headroom(demand.Count, a.Operator.HeadroomOf(class))
		headroom.demands = append(headroom.demands, *demand)
	}
	return headroom
}

// MachineCounts is how many machines are booting, and how many are drained.
func (a *Autoscaler) MachineCounts() (booting, draining int) {
	return len(a.bootingMachines()), len(a.term.draining)
}

// booting are the machines that are launched, or asked for, and have not come up yet.
func (a *Autoscaler) bootingMachines() []*planning.MachineSummary {
	var machines []*planning.MachineSummary
	types := a.Machines.Types()
	for name, inst := range a.term.instances {
		machineType := types[inst.machineType]
		if inst.hasReported || machineType == nil || a.terminating[name] {
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

// newBootingSummary is an empty machine that is not up yet.
func newBootingSummary(machineType *wire.MachineType, offer planning.Offer) *planning.MachineSummary {
	size := machineTypeSize(machineType)
	return &planning.MachineSummary{Index: planning.UnassignedIndex, Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot, Size: size, FreeResources: size, Booting: true}
}
