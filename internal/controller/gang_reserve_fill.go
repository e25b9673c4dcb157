package controller

import (
	"cmp"
	"math"
	"slices"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
)

// fillReserve borrows machines for the gang reserve if it has too little room. It chooses
// machines that are empty or are expected to become empty soon.
func (c *leader) fillReserve(summaries []*planning.MachineSummary) {
	reserve := &c.leadership.gangReserve
	reserve.shortfall = nil
	if len(reserve.classes) == 0 {
		return
	}
	fill := reserveFill{
		leader:            c,
		reserve:           reserve,
		summaries:         planning.CloneSummaries(summaries),
		remainingMachines: max(reserveMinMachines, int(reserveMaxShare*float64(len(summaries)))) - len(c.loans),
	}
	for _, class := range reserve.sortedClasses() {
		fill.addClass(class)
	}
	if len(fill.chosenMachines) == 0 {
		return
	}
	machines := fill.chosenMachines[:min(len(fill.chosenMachines), c.cfg.Settings.Store.TxnOps/2)]
	c.log.Debug("machines borrowed for the gang reserve", "machines", len(machines))
	c.borrowMachines(machines, record.MachineLoan{Job: gangReserveJobID})
}

// reserveFill is the state of one call of fillReserve.
type reserveFill struct {
	*leader
	reserve *gangReserve
	// summaries are copies of the machine summaries, from which the room for earlier classes
	// has been subtracted.
	summaries []*planning.MachineSummary
	// remainingMachines is how many more machines may be borrowed.
	remainingMachines int
	// chosenMachines are the machines to borrow.
	chosenMachines []*planning.MachineSummary
}

// addClass selects machines for the next gangs of a class. It adds to the reserve's shortfall
// what neither free room in the reserve nor the machines being loaned to it cover.
func (f *reserveFill) addClass(class *gangClass) {
	zone := f.reserveZone(f.summaries, class)
	lackingTasks := class.targetTasks() - f.allocateFreeRoom(class, zone)
	emptyRoom, busyRoom := f.incomingReserveRoom(class, zone)
	if lackingTasks-emptyRoom <= 0 {
		return
	}
	if count := lackingTasks - emptyRoom - busyRoom; count > 0 {
		f.reserve.shortfall = append(f.reserve.shortfall, class.demand(zone, count))
	}
	candidates := f.reserveCandidates(class, zone)
	firstBusy := slices.IndexFunc(candidates, func(summary *planning.MachineSummary) bool { return len(summary.Usages) > 0 })
	if firstBusy < 0 {
		firstBusy = len(candidates)
	}
	// Empty machines are borrowed even if the machines being loaned will be empty later:
	// otherwise arrays would fill the empty machines, and gangs would wait most of a minute
	// for the others.
	selected := f.selectMachines(candidates[:firstBusy], class, lackingTasks-emptyRoom)
	room := 0
	for _, summary := range selected {
		room += summary.Size.CountFitting(class.taskSize, class.spec.TaskCount)
	}
	f.selectMachines(candidates[firstBusy:], class, lackingTasks-emptyRoom-busyRoom-room)
}

// selectMachines selects machines with room for a number of tasks of a class.
func (f *reserveFill) selectMachines(candidates []*planning.MachineSummary, class *gangClass, tasks int) []*planning.MachineSummary {
	selected, _ := planning.SelectMachines(candidates, tasks, f.remainingMachines, func(summary *planning.MachineSummary, tasks int) int {
		return summary.Size.CountFitting(class.taskSize, tasks)
	})
	for _, summary := range selected {
		summary.InUse = true
	}
	f.remainingMachines -= len(selected)
	f.chosenMachines = append(f.chosenMachines, selected...)
	return selected
}

// allocateFreeRoom allocates the free room of the reserve to the next gangs of a class, and
// returns for how many tasks there is room.
func (f *reserveFill) allocateFreeRoom(class *gangClass, zone string) int {
	found := 0
	for _, summary := range f.summaries {
		if summary.Partition != f.loanPartition() || summary.Booting || !allowsMachine(class.spec, zone, summary.Type, summary.Zone, summary.Spot) {
			continue
		}
		count := summary.FreeResources.CountFitting(class.taskSize, class.targetTasks()-found)
		summary.FreeResources = summary.FreeResources.Minus(class.taskSize.Times(count))
		found += count
	}
	return found
}

// reserveCandidates returns the machines that may be borrowed for the reserve and run no task
// of a service or gang, those with the fewest tasks first, and the largest first among equals.
func (f *reserveFill) reserveCandidates(class *gangClass, zone string) []*planning.MachineSummary {
	candidates := slices.DeleteFunc(f.loanableMachines(f.summaries, class.spec, zone), func(summary *planning.MachineSummary) bool {
		return summary.RunsServiceOrGang
	})
	slices.SortFunc(candidates, func(x, y *planning.MachineSummary) int {
		return cmp.Or(cmp.Compare(len(x.Usages), len(y.Usages)), cmp.Compare(y.Size.CPU, x.Size.CPU), cmp.Compare(x.Index, y.Index))
	})
	return candidates
}

// incomingReserveRoom returns for how many tasks of a class there will be room on the machines
// that are being loaned to the reserve: on those that are empty, and on those that still run
// tasks.
func (r *machineRegistry) incomingReserveRoom(class *gangClass, zone string) (emptyRoom, busyRoom int) {
	for loan, m := range r.loansFor(gangReserveJobID, class.spec, zone) {
		if loan.Acknowledged {
			continue
		}
		count := r.machineSize(m).CountFitting(class.taskSize, class.spec.TaskCount)
		if len(m.bindings) == 0 {
			emptyRoom += count
		} else {
			busyRoom += count
		}
	}
	return emptyRoom, busyRoom
}

// demand returns the demand for count tasks of the next gangs of a class.
func (class *gangClass) demand(zone string, count int) planning.Demand {
	spec := class.spec
	return planning.Demand{
		Class:        spec.Class,
		TaskSize:     class.taskSize,
		Count:        count,
		AllOrNothing: true,
		SingleZone:   spec.SingleZone,
		EstimateS:    spec.EstimateS,
		SlackS:       math.Inf(1),
		AllowsOffer: func(offer planning.Offer) bool {
			return allowsMachine(spec, zone, offer.Type, offer.Zone, offer.Spot)
		},
	}
}

// reserveZone returns the zone in which the reserve has the most room for a gang that must be
// in a single zone, or "" if the gang may be in any. Among equals it returns the zone with
// the most machines.
func (r *machineRegistry) reserveZone(summaries []*planning.MachineSummary, class *gangClass) string {
	if !class.spec.SingleZone {
		return ""
	}
	room, machines := map[string]int{}, map[string]int{}
	for _, summary := range summaries {
		if summary.Booting || !allowsMachine(class.spec, "", summary.Type, summary.Zone, summary.Spot) {
			continue
		}
		machines[summary.Zone]++
		if summary.Partition == r.loanPartition() {
			room[summary.Zone] += summary.FreeResources.CountFitting(class.taskSize, class.spec.TaskCount)
		}
	}
	best := ""
	for zone := range machines {
		order := cmp.Or(cmp.Compare(room[best], room[zone]), cmp.Compare(machines[best], machines[zone]), cmp.Compare(zone, best))
		if best == "" || order < 0 {
			best = zone
		}
	}
	return best
}
