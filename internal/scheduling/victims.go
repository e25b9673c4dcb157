package scheduling

import "math"

// The cost of preempting a cell is victimCost for stopping its task, plus weightCost for each
// step of the victim's weight. One step of weight costs as much as a thousand stops: whatever
// a machine runs, victims of lower weight are preferred to fewer victims.
const (
	victimCost = 1
	weightCost = 1000
)

// The weight of a Used cell has two steps for each priority, so that a guaranteed cell weighs
// more than another one of the same priority. Taking a Reserved cell stops no task, so its
// weight is zero.
const (
	reservedWeight    = 0
	usedWeight        = 1
	weightPerPriority = 2
)

// victimWeight returns the weight of a cell. Cells of lower weight are preempted first.
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

// isBetterVictim reports whether cell a is preempted before b: the cell of lower weight first,
// then the one with more CPUs, then the one allocated later, whose task has done less work.
func isBetterVictim(a, b *Cell) bool {
	if weightA, weightB := victimWeight(a), victimWeight(b); weightA != weightB {
		return weightA < weightB
	}
	if a.Size.CPU != b.Size.CPU {
		return a.Size.CPU > b.Size.CPU
	}
	return a.sequence > b.sequence
}

// canTakeCell reports whether the group may take a cell: its claim must be able to preempt the
// claim of the cell's task, if a task holds it, and that of the group that has reserved it, if
// any. Cells that an earlier task of the group will take are excluded.
func (g *AffinityGroup) canTakeCell(cell *Cell, planned *plannedAllocations) bool {
	return (cell.reservedBy == nil || g.Claim.CanPreempt(cell.reservedBy.Claim)) &&
		(cell.State == CellReserved || g.Claim.CanPreempt(cell.claim)) &&
		!planned.cells[cell]
}

// canFitByPreemption reports whether a task fits on a machine if all cells that the group may
// take are preempted. It is a cheap check that rules out most machines before chooseVictims.
func (r *schedulingRequest) canFitByPreemption(machine *partitionMachine, free Resources, planned *plannedAllocations) bool {
	size := r.group.TaskSize
	if !machine.size.Contains(size) {
		return false
	}
	for _, cell := range machine.cells {
		if !r.group.canTakeCell(cell, planned) {
			continue
		}
		free = free.Plus(cell.Size)
		if free.Contains(size) {
			return true
		}
	}
	return false
}

// chooseVictims returns the cells that a task takes on a machine in addition to its free
// resources, and the cost of preempting them. It reports false if too few cells can be taken.
func (r *schedulingRequest) chooseVictims(
	machine *partitionMachine, free Resources, planned *plannedAllocations,
) (victims []*Cell, cost float64, enough bool) {
	var candidates []*Cell
	for _, cell := range machine.cells {
		if r.group.canTakeCell(cell, planned) {
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

// lostWorkSteps is the number of values that lostWorkCost distinguishes. It is small so that
// among victims of similar age the machine's score decides.
const lostWorkSteps = 4

// lostWorkCost estimates how much work is lost by preempting a cell, to choose among cells of
// the same weight. It is less than the cost of one more victim. Tasks whose cells were
// allocated before most others have run longest, and many of them are about to end.
func (p *Partition) lostWorkCost(cell *Cell) float64 {
	if cell.State == CellReserved {
		return 0
	}
	// The age is the number of allocations since the cell's own, relative to twice the number
	// of cells in use.
	age := float64(p.lastSequence-cell.sequence) / float64(2*len(p.cellByTask)+1)
	return min(math.Floor(age*lostWorkSteps), lostWorkSteps-1) / (2 * lostWorkSteps)
}
