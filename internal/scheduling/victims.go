package scheduling

import "math"

// The cost of preempting a cell is that of the stop itself and that of its victim's
// weight. A thousand stops cost as much as one step of weight, so that whatever a machine
// holds, lower victims go before fewer ones.
const (
	victimCost = 1
	weightCost = 1000
)

// The weight of a Used cell has two steps for each priority: one that is guaranteed weighs
// more than one of the same priority that is not. Reserved cells stop nobody and weigh
// nothing.
const (
	reservedWeight    = 0
	usedWeight        = 1
	weightPerPriority = 2
)

// victimWeight orders cells by how much is lost if they are preempted.
func victimWeight(cell *Cell) float64 {
	if cell.State == CellReserved {
		return reservedWeight
	}
	weight := float64(usedWeight + weightPerPriority*cell.claim.Priority)
	if cell.claim.Guaranteed {
		weight++
	}
	return weight
}

// isBetterVictim reports whether cell a is preempted before b: the lower weight first, then
// the larger cell, then the one allocated later, whose task has the least to lose.
func isBetterVictim(a, b *Cell) bool {
	if weightA, weightB := victimWeight(a), victimWeight(b); weightA != weightB {
		return weightA < weightB
	}
	if a.Size.CPU != b.Size.CPU {
		return a.Size.CPU > b.Size.CPU
	}
	return a.sequence > b.sequence
}

// canTake reports whether the group may preempt a cell: its user and the group that has
// reserved it, as far as there are any, and the cell is not promised to a task before.
func (g *AffinityGroup) canTake(cell *Cell, planned *plannedAllocations) bool {
	return (cell.reservedBy == nil || g.Claim.CanPreempt(cell.reservedBy.Claim)) &&
		(cell.State == CellReserved || g.Claim.CanPreempt(cell.claim)) &&
		!planned.cells[cell]
}

// canFitByPreemption reports whether a task fits on a machine if all cells are preempted
// that may be. Most machines fail it and need no closer look.
func (r *schedulingRequest) canFitByPreemption(machine *partitionMachine, free Resources, planned *plannedAllocations) bool {
	size := r.group.TaskSize
	if !machine.size.Contains(size) {
		return false
	}
	for _, cell := range machine.cells {
		if !r.group.canTake(cell, planned) {
			continue
		}
		free = free.Plus(cell.Size)
		if free.Contains(size) {
			return true
		}
	}
	return false
}

// chooseVictims chooses the cells of a machine that one task is to take beside what is
// free there, and tells their cost. It reports false if there are not enough.
func (r *schedulingRequest) chooseVictims(
	machine *partitionMachine, free Resources, planned *plannedAllocations,
) (victims []*Cell, cost float64, enough bool) {
	var candidates []*Cell
	for _, cell := range machine.cells {
		if r.group.canTake(cell, planned) {
			candidates = append(candidates, cell)
		}
	}
	for !free.Contains(r.group.TaskSize) {
		if len(candidates) == 0 {
			return nil, 0, false
		}
		best := 0
		for i, cell := range candidates {
			if isBetterVictim(cell, candidates[best]) {
				best = i
			}
		}
		victim := candidates[best]
		candidates = append(candidates[:best], candidates[best+1:]...)
		victims = append(victims, victim)
		free = free.Plus(victim.Size)
		cost += victimCost + weightCost*victimWeight(victim) + r.partition.lostWorkCost(victim)
	}
	return victims, cost, true
}

// lostWorkSteps is how many steps lostWorkCost has: few, so that among similar victims the
// better machine is chosen.
const lostWorkSteps = 4

// lostWorkCost estimates how much is lost by preempting a cell, compared with others of its
// weight: it is less than the cost of one more victim. Cells that were allocated before
// most others have run longest, and many of their tasks are about to end.
func (p *Partition) lostWorkCost(cell *Cell) float64 {
	if cell.State == CellReserved {
		return 0
	}
	// A cell's age, counted in allocations since, beside twice the number of used cells.
	age := float64(p.lastSequence-cell.sequence) / float64(2*len(p.cellByTask)+1)
	return min(math.Floor(age*lostWorkSteps), lostWorkSteps-1) / (2 * lostWorkSteps)
}
