package scheduling

// ScoreFunc returns the score of a machine with the given free resources for a task of the
// group to schedule. Lower scores are better. A negative score means that the task must not
// be placed on the machine.
type ScoreFunc func(machine MachineIndex, free Resources) float64

// scoredMachine is a machine with its score for a task of the group.
type scoredMachine struct {
	index MachineIndex
	score float64
}

// isWorseThan reports whether m has a higher score than other, or the same score and a higher
// index. The index makes choices repeatable.
func (m scoredMachine) isWorseThan(other scoredMachine) bool {
	return m.score > other.score || m.score == other.score && m.index > other.index
}

// placement is the choice for one task: its machine, and the cells of other groups that the
// task takes there. Without victims, the task takes free resources only.
type placement struct {
	machine MachineIndex
	victims []*Cell
}

// schedulingRequest holds the arguments of one call of Schedule, and the placements chosen so
// far, in the order of the group's tasks.
type schedulingRequest struct {
	partition  *Partition
	group      *AffinityGroup
	score      ScoreFunc
	placements []placement
}

// plannedAllocations holds what the placements chosen so far will take. It is not part of
// schedulingRequest so that the maps need not be allocated on the heap.
type plannedAllocations struct {
	// resources holds the free resources that will be taken on each machine.
	resources map[MachineIndex]Resources
	// cells holds the cells of other groups that will be taken.
	cells map[*Cell]bool
}

// Schedule chooses cells for all tasks of a Pending group. It prefers free resources; a task
// that finds none takes the cells of the fewest victims of the lowest weight. Afterwards the
// group is Allocated (e0: all cells were Free, or Reserved for groups that it may preempt),
// Preempting (e1), or still Pending if not all tasks can be placed. In the last case nothing
// has changed.
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

// placeTask chooses the machine of the group's next task. It reports whether there is one.
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
	fromFreeResources := size.Minus(taken).clampToZero()
	planned.resources[chosen.machine] = planned.resources[chosen.machine].Plus(fromFreeResources)
	r.placements = append(r.placements, chosen)
	return true
}

// chooseFreeMachine returns the machine with the best score among those with enough free
// resources for a task.
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

// choosePreemption returns the machine on which preemption for a task has the lowest cost, and
// the victims there. Among equal costs the score decides.
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

// overwriteReservations returns the Preempting groups whose reserved cells are taken to Pending
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

// reserveAll makes the group Preempting and reserves the cells of all placements.
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

// reserveCells reserves the cells of one placement: those of its victims, and for the
// remainder of the task's size a slice of the machine's free resources (e5).
func (r *schedulingRequest) reserveCells(chosen placement) {
	taken := Resources{}
	for _, victim := range chosen.victims {
		if victim.State != CellUsed {
			continue // it was Reserved and became Free when its reservation was cancelled
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
