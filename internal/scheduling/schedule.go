package scheduling

// ScoreFunc rates a machine, of which that much is free, for a task of a group: lower is
// better, negative means that the task must not be placed there.
type ScoreFunc func(machine MachineIndex, free Resources) float64

// scoredMachine is a machine with its rating for a group's task.
type scoredMachine struct {
	index MachineIndex
	score float64
}

// isWorseThan orders machines by score; of equal ones the lower index is preferred, so that
// choices are repeatable.
func (m scoredMachine) isWorseThan(other scoredMachine) bool {
	return m.score > other.score || m.score == other.score && m.index > other.index
}

// placement is what is chosen for one task: a machine, and the cells of others that the
// task is to take there. Without victims it takes free room.
type placement struct {
	machine MachineIndex
	victims []*Cell
}

// request is a Request in progress, with what is chosen for the group's tasks so far.
type schedulingRequest struct {
	partition  *Partition
	group      *AffinityGroup
	score      ScoreFunc
	placements []placement
}

// promises are what the group's tasks before are to take. They are no part of request, so
// that the maps need not be allocated on the heap.
type plannedAllocations struct {
	// room is the free room promised on machines.
	resources map[MachineIndex]Resources
	// cells are the cells of others that are promised.
	cells map[*Cell]bool
}

// Schedule asks for cells for all tasks of a Pending group. Free room is preferred; a task
// that finds none takes the cells of the fewest victims of the lowest weight. Afterwards
// the group is Allocated (e0: all cells were Free, or Reserved for groups that it may
// preempt) or Preempting (e1), or still Pending, in which case nothing has changed.
func (p *Partition) Schedule(g *AffinityGroup, score ScoreFunc) {
	r := schedulingRequest{
		partition: p, group: g, score: score,
		placements: make([]placement, 0, len(g.Tasks)),
	}
	planned := plannedAllocations{resources: map[MachineIndex]Resources{}, cells: map[*Cell]bool{}}
	for range g.Tasks {
		if !r.placeTask(&planned) {
			return
		}
	}
	r.overwriteReservations()
	r.reserveAll()
	if g.victimCount == 0 {
		p.allocateGroup(g)
	}
}

// placeTask chooses the machine of the group's next task. It reports false if there is
// none.
func (r *schedulingRequest) placeTask(planned *plannedAllocations) bool {
	size := r.group.TaskSize
	if machine, found := r.chooseFreeMachine(planned); found {
		planned.resources[machine] = planned.resources[machine].Plus(size)
		r.placements = append(r.placements, placement{machine: machine})
		return true
	}
	if r.group.NoPreemption {
		return false
	}
	chosen, found := r.choosePreemption(planned)
	if !found {
		return false
	}
	taken := Resources{}
	for _, victim := range chosen.victims {
		planned.cells[victim] = true
		taken = taken.Plus(victim.Size)
	}
	fromFreeRoom := size.Minus(taken).clampToZero()
	planned.resources[chosen.machine] = planned.resources[chosen.machine].Plus(fromFreeRoom)
	r.placements = append(r.placements, chosen)
	return true
}

// chooseFreeMachine returns the best machine with free room for a task.
func (r *schedulingRequest) chooseFreeMachine(planned *plannedAllocations) (machine MachineIndex, found bool) {
	size := r.group.TaskSize
	var best scoredMachine
	for _, machine := range r.partition.machineList {
		if !machine.isRegistered || !machine.freeResources.Contains(size) {
			continue
		}
		free := machine.freeResources
		if len(planned.resources) > 0 {
			free = free.Minus(planned.resources[machine.index])
			if !free.Contains(size) {
				continue
			}
		}
		candidate := scoredMachine{machine.index, r.score(machine.index, free)}
		if candidate.score < 0 || found && candidate.isWorseThan(best) {
			continue
		}
		best, found = candidate, true
	}
	return best.index, found
}

// choosePreemption returns the machine on which preempting for a task costs least, and the
// victims there.
func (r *schedulingRequest) choosePreemption(planned *plannedAllocations) (chosen placement, found bool) {
	var best scoredMachine
	bestCost := 0.0
	for _, machine := range r.partition.machineList {
		free := machine.freeResources.Minus(planned.resources[machine.index])
		if !machine.isRegistered || !r.canFitByPreemption(machine, free, planned) {
			continue
		}
		candidate := scoredMachine{machine.index, r.score(machine.index, machine.freeResources)}
		if candidate.score < 0 {
			continue
		}
		victims, cost, enough := r.chooseVictims(machine, free, planned)
		if !enough || found && (cost > bestCost || cost == bestCost && candidate.isWorseThan(best)) {
			continue
		}
		best, bestCost, found = candidate, cost, true
		chosen = placement{machine.index, victims}
	}
	return chosen, found
}

// overwriteReservations sends the Preempting groups whose cells are taken back to Pending
// (e3, e6 and e8 of the cells, e5 of their groups).
func (r *schedulingRequest) overwriteReservations() {
	for _, chosen := range r.placements {
		for _, victim := range chosen.victims {
			if victim.reservedBy != nil {
				r.partition.CancelReservations(victim.reservedBy)
			}
		}
	}
}

// reserve makes the group Preempting on the machines that were chosen.
func (r *schedulingRequest) reserveAll() {
	g := r.group
	g.State = GroupPreempting
	g.Machines = g.Machines[:0]
	for _, chosen := range r.placements {
		g.Machines = append(g.Machines, chosen.machine)
	}
	for _, task := range g.Tasks {
		r.partition.preemptingGroups[task] = g
	}
	for _, chosen := range r.placements {
		r.reserveCells(chosen)
	}
}

// reserveCells reserves the cells of one task: those of its victims, and a slice of the
// machine's free room for what these lack (e5).
func (r *schedulingRequest) reserveCells(chosen placement) {
	taken := Resources{}
	for _, victim := range chosen.victims {
		if victim.State != CellUsed {
			continue // it was Reserved, and is Free since its group was cancelled
		}
		victim.reserve(r.group)
		taken = taken.Plus(victim.Size)
	}
	rest := r.group.TaskSize.Minus(taken).clampToZero()
	if rest == (Resources{}) {
		return
	}
	cell := &Cell{Machine: chosen.machine, Size: rest, State: CellReserved, reservedBy: r.group}
	r.group.cells = append(r.group.cells, cell)
	r.partition.addCell(cell)
}
