package planning

import (
	"math"
	"slices"

	"eiderhitch/internal/scheduling"
)

// Demand describes identical tasks that lack capacity, and for which the autoscaler makes one
// decision.
type Demand struct {
	Class    string
	TaskSize scheduling.Resources
	Count    int
	// GroupCount is the number of groups of Count tasks that arrive one by one. Zero means one.
	GroupCount int
	// AllOrNothing is set if the tasks are started together or not at all.
	AllOrNothing bool
	// EstimateS is the estimated run time of one task, in seconds.
	EstimateS float64
	// CompletionWindowS is the time in seconds within which the tasks of an array should be done.
	// Zero means that all tasks should run at the same time.
	CompletionWindowS float64
	// SlackS is the time in seconds until the deadline.
	SlackS float64
	// Overdue is set if the tasks must not be left to the completion of other tasks any more.
	Overdue bool
	// RunsUntilCancelled is set for the replicas of services, which don't complete.
	RunsUntilCancelled bool
	// SingleZone is set if all tasks must be in the same zone, whichever it is.
	SingleZone bool
	// AllowsOffer reports whether the tasks may run on machines of an offer.
	AllowsOffer OfferFilter
}

func (d *Demand) allowsMachine(machine *MachineSummary) bool { return d.AllowsOffer(machine.offer()) }

// minTaskTimeS is the least time in seconds for which a task is assumed to occupy a cell, however
// short its run time.
const minTaskTimeS = 5

// totalTasks returns the number of tasks of all groups.
func (d *Demand) totalTasks() int { return d.Count * max(d.GroupCount, 1) }

// concurrentTasks returns how many of the tasks must run at the same time so that all are done
// within the completion window.
func (d *Demand) concurrentTasks() int {
	tasks := d.totalTasks()
	if d.AllOrNothing || d.CompletionWindowS <= 0 {
		return tasks
	}
	return min(tasks, int(math.Ceil(float64(tasks)*max(d.EstimateS, minTaskTimeS)/d.CompletionWindowS)))
}

// ScalingPlan accumulates demands and plans which machines to launch for them.
type ScalingPlan struct {
	// Machines holds the machines that are up or booting. Place adds the ones that it plans.
	Machines []*MachineSummary
	Offers   []PricedOffer
	// RunningTasksByClass is the number of running tasks of each class.
	RunningTasksByClass map[string]int
	// Launches is the number of machines to launch of each offer. The caller must set it to a map.
	Launches map[Offer]int
	// Shortage is set by Place if the machines lack capacity for a demand.
	Shortage bool
	// Waits counts the tasks of the placed demands by the reason for which they wait.
	Waits WaitCounts
}

const (
	// bootAmortizationS is the time in seconds over which the boot time of a machine is spread
	// when offers are compared. It is about the time for which machines are kept.
	bootAmortizationS = 100
	// expectedTasksDivisor determines the share of a class's running tasks, a quarter, that is
	// expected to arrive soon and to share the machines that are launched for the class.
	expectedTasksDivisor = 4
	// lateTasksDivisor determines the share of late tasks, an eighth, that run at the same time on
	// machines that are launched for them. They are no longer urgent.
	lateTasksDivisor = 8
)

// Place places the tasks of a demand in the free resources of the machines, and plans launches for
// the tasks that don't fit.
func (p *ScalingPlan) Place(demand Demand) {
	if demand.SingleZone && demand.AllOrNothing {
		demand.AllowsOffer = demand.offersInZone(p.chooseZone(&demand))
	}
	p.Waits[p.place(&demand)] += demand.totalTasks()
}

// place does what Place does and returns the reason for which the tasks wait.
func (p *ScalingPlan) place(demand *Demand) WaitReason {
	tasks := demand.concurrentTasks()
	timelyOffers, lateOffers := p.splitAllowedOffers(demand)
	if demand.Overdue && len(timelyOffers) == 0 {
		return p.placeOverdue(demand, lateOffers, tasks)
	}
	tasks -= placeDemand(p.Machines, demand, tasks)
	if tasks <= 0 {
		return WaitsForRoom
	}
	p.Shortage = true
	if len(timelyOffers) > 0 {
		return p.planLaunches(demand, timelyOffers, tasks)
	}
	if len(lateOffers) > 0 && p.getsRoomByCompletions(demand) {
		return WaitsForCompletion
	}
	return p.planLaunches(demand, lateOffers, divideRoundingUp(tasks, lateTasksDivisor))
}

// placeOverdue makes sure that there are machines for a share of the tasks, which then run one after
// the other. Only this share takes free resources: if all tasks of each overdue job did, those
// behind it would need further machines, until there are machines for all tasks at the same time.
func (p *ScalingPlan) placeOverdue(demand *Demand, offers []PricedOffer, tasks int) WaitReason {
	if CountFittingTasks(p.Machines, demand.allowsMachine, demand.TaskSize, tasks) < tasks {
		p.Shortage = true
	}
	share := divideRoundingUp(tasks, lateTasksDivisor)
	share -= placeDemand(p.Machines, demand, share)
	if share <= 0 {
		return WaitsForRoom
	}
	return p.planLaunches(demand, offers, share)
}

// placeDemand places up to count tasks in the free resources of the machines, and returns how
// many it has placed.
func placeDemand(machines []*MachineSummary, demand *Demand, count int) int {
	total := 0
	for machine, placed := range PlaceWithoutPreemption(machines, demand.allowsMachine, demand.TaskSize, count) {
		total += placed
		if !demand.RunsUntilCancelled {
			machine.CompletingUsage = machine.CompletingUsage.Plus(demand.TaskSize.Times(placed))
		}
	}
	return total
}

// getsRoomByCompletions reports whether a machine has room for a task once the tasks of arrays and
// gangs on it have completed. A machine that is full of services has not, however long the task
// waits, and neither has one that is too small.
func (p *ScalingPlan) getsRoomByCompletions(demand *Demand) bool {
	return slices.ContainsFunc(p.Machines, func(machine *MachineSummary) bool {
		return demand.allowsMachine(machine) && machine.FreeResources.Plus(machine.CompletingUsage).Contains(demand.TaskSize)
	})
}

// splitAllowedOffers returns the offers that a demand allows. lateOffers holds on-demand offers
// whose machines would be up too late for an array to meet its deadline, so that they aren't worth
// their price. timelyOffers holds the others, including all spot offers, which are cheap enough to be
// worth their price at any time.
func (p *ScalingPlan) splitAllowedOffers(demand *Demand) (timelyOffers, lateOffers []PricedOffer) {
	for _, offer := range p.Offers {
		if !demand.AllowsOffer(offer.Offer) {
			continue
		}
		if !demand.AllOrNothing && !offer.Spot && demand.SlackS < offer.BootS+demand.EstimateS {
			lateOffers = append(lateOffers, offer)
		} else {
			timelyOffers = append(timelyOffers, offer)
		}
	}
	return timelyOffers, lateOffers
}

// planLaunches plans machines for a number of tasks. For groups that arrive one by one, such as
// services, it chooses an offer for one group at a time: the cheapest offer for all groups would
// be the one with the largest machines, which take longest to boot. It returns the reason for which
// the tasks wait.
func (p *ScalingPlan) planLaunches(demand *Demand, offers []PricedOffer, tasks int) WaitReason {
	batchSize := tasks
	if demand.GroupCount > 1 {
		batchSize = demand.Count
	}
	expectedTasks := batchSize + p.RunningTasksByClass[demand.Class]/expectedTasksDivisor
	for tasks > 0 {
		offer, count := CheapestOffer(offers, demand.TaskSize, batchSize, expectedTasks, bootAmortizationS)
		if count == 0 {
			return WaitsForOffer
		}
		planned := plannedMachines(&offer, count)
		p.Machines = append(p.Machines, planned...)
		p.Launches[offer.Offer] += count
		tasks -= placeDemand(planned, demand, tasks)
	}
	return WaitsForLaunch
}

// plannedMachines returns empty machines of an offer that are not launched yet.
func plannedMachines(offer *PricedOffer, count int) []*MachineSummary {
	planned := make([]*MachineSummary, count)
	for i := range planned {
		planned[i] = &MachineSummary{
			Index: UnassignedIndex, Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot,
			Size: offer.Size, FreeResources: offer.Size, Booting: true,
		}
	}
	return planned
}
