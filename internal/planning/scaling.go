package planning

import (
	"math"
	"slices"

	"eiderhitch/internal/scheduling"
)

// Demand is a number of tasks, all alike, that found no room: one decision for all.
type Demand struct {
	Class    string
	TaskSize scheduling.Resources
	Count    int
	// Groups is how many groups of Count tasks each arrive one by one; zero means one.
	GroupCount   int
	AllOrNothing bool
	// EstimateS is the estimated run time of one task, in seconds.
	EstimateS float64
	// CompletionWindowS is the time in seconds within which an array's tasks should be done.
	CompletionWindowS float64
	// SlackS is the time in seconds until the deadline.
	SlackS float64
	// Allows tells on which kinds of machines the tasks may run.
	AllowsOffer OfferFilter
}

func (d *Demand) allowsMachine(machine *MachineSummary) bool { return d.AllowsOffer(machine.offer()) }

// minTaskTimeS is the least time in seconds that a cell is busy with a task, however short.
const minTaskTimeS = 5

// concurrentTasks is how many of the tasks have to run at a time for all to be done within the
// window.
func (d *Demand) concurrentTasks() int {
	tasks := d.Count * max(d.GroupCount, 1)
	if d.AllOrNothing || d.CompletionWindowS <= 0 {
		return tasks
	}
	return min(tasks, int(math.Ceil(float64(tasks)*max(d.EstimateS, minTaskTimeS)/d.CompletionWindowS)))
}

// ScalingPlan plans which machines to launch.
type ScalingPlan struct {
	// Machines are those that are up or booting; planned ones are added.
	Machines []*MachineSummary
	Offers   []PricedOffer
	// RunningByClass is how many tasks of each class run now.
	RunningTasksByClass map[string]int
	// Launches is how many machines of each offer are to be launched.
	Launches map[Offer]int
	// Shortage is set once a demand found too little room on the machines.
	Shortage bool
}

const (
	// bootAmortizationS is the time in seconds over which a machine's boot is spread when
	// offers are compared: about how long machines stay.
	bootAmortizationS = 100
	// expectedTasksDivisor is the part of a class's running tasks, a quarter, that is counted on
	// to share the machines launched for it before long.
	expectedTasksDivisor = 4
	// lateTasksDivisor is the part of the tasks, an eighth, for which machines are launched
	// where none can be up in time: the work is not urgent any more.
	lateTasksDivisor = 8
)

// Place has a demand take what room there is, and plans launches for the rest.
func (p *ScalingPlan) Place(demand Demand) {
	tasks := demand.concurrentTasks()
	for _, placed := range PlaceWithoutPreemption(p.Machines, demand.allowsMachine, demand.TaskSize, tasks) {
		tasks -= placed
	}
	if tasks <= 0 {
		return
	}
	p.Shortage = true
	timely, late := p.splitAllowedOffers(&demand)
	if len(timely) > 0 {
		p.planLaunches(&demand, timely, tasks)
		return
	}
	// The work has to be done some time, but it is not urgent: once there are machines
	// for such tasks it waits for them.
	if !slices.ContainsFunc(p.Machines, demand.allowsMachine) {
		p.planLaunches(&demand, late, divideRoundingUp(tasks, lateTasksDivisor))
	}
}

// splitAllowedOffers returns the offers that a demand allows: those that are timely, and those
// whose machines are up too late to help an array meet its deadline, and so not worth
// their price. Spot instances are worth having anyway.
func (p *ScalingPlan) splitAllowedOffers(demand *Demand) (timely, late []PricedOffer) {
	for _, offer := range p.Offers {
		if !demand.AllowsOffer(offer.Offer) {
			continue
		}
		if !demand.AllOrNothing && !offer.Spot && demand.SlackS < offer.BootS+demand.EstimateS {
			late = append(late, offer)
		} else {
			timely = append(timely, offer)
		}
	}
	return timely, late
}

// launch plans machines for a number of tasks. Services that arrive one by one are served
// one by one: for all at once the largest machines would be cheapest, which take longest
// to boot.
func (p *ScalingPlan) planLaunches(demand *Demand, offers []PricedOffer, tasks int) {
	batchSize := tasks
	if demand.GroupCount > 1 {
		batchSize = demand.Count
	}
	expectedTasks := batchSize + p.RunningTasksByClass[demand.Class]/expectedTasksDivisor
	for tasks > 0 {
		offer, count := CheapestOffer(offers, demand.TaskSize, batchSize, expectedTasks, bootAmortizationS)
		if count == 0 {
			return
		}
		planned := plannedMachines(&offer, count)
		p.Machines = append(p.Machines, planned...)
		p.Launches[offer.Offer] += count
		for _, placed := range PlaceWithoutPreemption(planned, demand.allowsMachine, demand.TaskSize, tasks) {
			tasks -= placed
		}
	}
}

// plannedMachines returns empty machines of an offer.
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
