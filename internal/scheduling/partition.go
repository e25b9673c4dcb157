package scheduling

import "fmt"

// partitionMachine is a machine of a partition with the cells carved out of it.
type partitionMachine struct {
	index MachineIndex
	// position in Partition.machineList.
	position int
	// size is zero, and free is negative, while the machine is not known: its bindings
	// may be adopted before it reports.
	size, freeResources Resources
	isRegistered        bool
	cells               []*Cell
}

// Partition holds the cells of one partition's machines.
type Partition struct {
	machines map[MachineIndex]*partitionMachine
	// machineList has the same machines, to be scanned by requests.
	machineList []*partitionMachine
	// cellByTask has the cell of each task whose cell is Used or Reserving.
	cellByTask map[TaskID]*Cell
	// preempting has the group of each task whose group is Preempting.
	preemptingGroups map[TaskID]*AffinityGroup
	// lastSequence is the sequence number of the cell allocated last.
	lastSequence int64
}

// NewPartition returns a partition without machines.
func NewPartition() *Partition {
	return &Partition{
		machines:         map[MachineIndex]*partitionMachine{},
		cellByTask:       map[TaskID]*Cell{},
		preemptingGroups: map[TaskID]*AffinityGroup{},
	}
}

// SetMachine adds a machine to the partition, or changes its size.
func (p *Partition) SetMachine(index MachineIndex, size Resources) {
	machine := p.getOrAddMachine(index)
	machine.freeResources = machine.freeResources.Plus(size.Minus(machine.size))
	machine.size, machine.isRegistered = size, true
}

// machine returns the machine of that index, which is added if it is missing.
func (p *Partition) getOrAddMachine(index MachineIndex) *partitionMachine {
	machine := p.machines[index]
	if machine == nil {
		machine = &partitionMachine{index: index, position: len(p.machineList)}
		p.machines[index] = machine
		p.machineList = append(p.machineList, machine)
	}
	return machine
}

// RemoveMachine cancels the reservations on a machine and removes it, unless a task still
// uses a cell of it.
func (p *Partition) RemoveMachine(index MachineIndex) {
	machine := p.machines[index]
	if machine == nil {
		return
	}
	for _, cell := range append([]*Cell(nil), machine.cells...) {
		if cell.reservedBy != nil {
			p.CancelReservations(cell.reservedBy)
		}
	}
	if len(machine.cells) > 0 {
		return
	}
	delete(p.machines, index)
	last := len(p.machineList) - 1
	p.machineList[machine.position] = p.machineList[last]
	p.machineList[machine.position].position = machine.position
	p.machineList[last] = nil
	p.machineList = p.machineList[:last]
}

// FreeResources returns what is free on a machine.
func (p *Partition) FreeResources(index MachineIndex) Resources {
	if machine := p.machines[index]; machine != nil {
		return machine.freeResources
	}
	return Resources{}
}

// Cell returns the cell that a task uses, or nil.
func (p *Partition) Cell(task TaskID) *Cell { return p.cellByTask[task] }

// AllocatedTasks lists the tasks that use a cell, in no particular order.
func (p *Partition) AllocatedTasks() []TaskID {
	tasks := make([]TaskID, 0, len(p.cellByTask))
	for task := range p.cellByTask {
		tasks = append(tasks, task)
	}
	return tasks
}

// PreemptingGroup returns the Preempting group of a task, or nil.
func (p *Partition) PreemptingGroup(task TaskID) *AffinityGroup { return p.preemptingGroups[task] }

// ApplyBinding makes a stored binding's cell Used. It rebuilds the cells from the persistent
// states after a failover: a cell that the task uses elsewhere is released, and a
// reservation of its group is cancelled.
func (p *Partition) ApplyBinding(task TaskID, index MachineIndex, size Resources, claim Claim) {
	if cell := p.cellByTask[task]; cell != nil {
		if cell.Machine == index {
			return
		}
		p.Release(task)
	}
	if group := p.preemptingGroups[task]; group != nil {
		p.CancelReservations(group)
	}
	p.allocateCell(task, index, size, claim)
}

// Release ends a task's use of its cell, once it is proven that the task has ended. A
// Used cell becomes Free (e1), a Reserving one Reserved (e9). If it was the last one that a
// group waited for, the group is Allocated and returned.
func (p *Partition) Release(task TaskID) *AffinityGroup {
	cell := p.cellByTask[task]
	if cell == nil {
		return nil
	}
	delete(p.cellByTask, task)
	if cell.State == CellUsed {
		p.removeCell(cell)
		return nil
	}
	cell.completeReservation()
	group := cell.reservedBy
	if group.victimCount > 0 {
		return nil
	}
	p.allocateGroup(group)
	return group
}

// CancelReservations ends the reservations of a Preempting group, which is Pending again (e5, e7 of
// the group): Reserving cells are returned to their victims (e4), Reserved ones are Free
// (e7). It does nothing to a group in another state.
func (p *Partition) CancelReservations(g *AffinityGroup) {
	if g.State != GroupPreempting {
		return
	}
	g.State = GroupPending
	for _, cell := range g.cells {
		if cell.State == CellReserving {
			cell.returnToVictim()
		} else {
			p.removeCell(cell)
		}
	}
	g.cells, g.victimCount = nil, 0
	for _, task := range g.Tasks {
		delete(p.preemptingGroups, task)
	}
}

// allocate turns a Preempting group, all of whose cells are Reserved, into an Allocated
// one (e2 of the group, e8 of its cells). Its reserved slices become one Used cell for
// each task; what its victims held beyond that is Free.
func (p *Partition) allocateGroup(g *AffinityGroup) {
	for _, cell := range g.cells {
		p.removeCell(cell)
	}
	g.cells = nil
	g.State = GroupAllocated
	for i, task := range g.Tasks {
		delete(p.preemptingGroups, task)
		p.allocateCell(task, g.Machines[i], g.TaskSize, g.Claim)
	}
}

// use carves a Used cell for a task out of a machine's free room (e0).
func (p *Partition) allocateCell(task TaskID, index MachineIndex, size Resources, claim Claim) {
	p.lastSequence++
	cell := &Cell{
		Machine: index, Size: size, State: CellUsed,
		Task: task, claim: claim, sequence: p.lastSequence,
	}
	p.cellByTask[task] = cell
	p.addCell(cell)
}

// attach takes a cell out of its machine's free room.
func (p *Partition) addCell(cell *Cell) {
	machine := p.getOrAddMachine(cell.Machine)
	machine.cells = append(machine.cells, cell)
	machine.freeResources = machine.freeResources.Minus(cell.Size)
}

// detach returns a cell to its machine's free room.
func (p *Partition) removeCell(cell *Cell) {
	machine := p.machines[cell.Machine]
	for i, other := range machine.cells {
		if other == cell {
			machine.cells = append(machine.cells[:i], machine.cells[i+1:]...)
			machine.freeResources = machine.freeResources.Plus(cell.Size)
			return
		}
	}
	panic(fmt.Sprintf("scheduling: machine %d lacks a cell that is claimed on it", cell.Machine))
}
