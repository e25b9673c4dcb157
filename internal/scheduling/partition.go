package scheduling

import "fmt"

// partitionMachine is a machine of a partition, with its allocated and reserved cells.
type partitionMachine struct {
	index MachineIndex
	// position is the machine's index in Partition.machineList.
	position int
	// size and freeResources are the machine's total and its unallocated resources. Until the
	// machine is registered, size is zero and freeResources is negative if it has cells.
	size, freeResources Resources
	// isRegistered is set by SetMachine. Bindings may be applied to a machine earlier, before
	// its first report; nothing new is placed on it until then.
	isRegistered bool
	cells        []*Cell
}

// Partition holds the machines of one partition with their cells, and the Preempting groups.
type Partition struct {
	machines map[MachineIndex]*partitionMachine
	// machineList holds the same machines as a slice, which Schedule scans.
	machineList []*partitionMachine
	// cellByTask holds the Used or Reserving cell of each task that has one.
	cellByTask map[TaskID]*Cell
	// preemptingGroups maps each task of a Preempting group to its group.
	preemptingGroups map[TaskID]*AffinityGroup
	// lastSequence is the sequence number of the most recently allocated cell.
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

// SetMachine adds a machine to the partition, or changes its size. Its cells stay.
func (p *Partition) SetMachine(index MachineIndex, size Resources) {
	machine := p.getOrAddMachine(index)
	machine.freeResources = machine.freeResources.Plus(size.Minus(machine.size))
	machine.size, machine.isRegistered = size, true
}

// getOrAddMachine returns the machine with an index. It adds an unregistered machine if there
// is none.
func (p *Partition) getOrAddMachine(index MachineIndex) *partitionMachine {
	machine := p.machines[index]
	if machine == nil {
		machine = &partitionMachine{index: index, position: len(p.machineList)}
		p.machines[index] = machine
		p.machineList = append(p.machineList, machine)
	}
	return machine
}

// RemoveMachine cancels all reservations on a machine and removes it, unless a task still
// holds a cell on it.
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

// FreeResources returns the free resources of a machine, zero if the partition doesn't have it.
func (p *Partition) FreeResources(index MachineIndex) Resources {
	if machine := p.machines[index]; machine != nil {
		return machine.freeResources
	}
	return Resources{}
}

// Cell returns the Used or Reserving cell of a task, or nil if the task has none.
func (p *Partition) Cell(task TaskID) *Cell { return p.cellByTask[task] }

// AllocatedTasks returns the tasks that hold a Used or Reserving cell, in no particular order.
func (p *Partition) AllocatedTasks() []TaskID {
	tasks := make([]TaskID, 0, len(p.cellByTask))
	for task := range p.cellByTask {
		tasks = append(tasks, task)
	}
	return tasks
}

// PreemptingGroup returns the Preempting group that a task belongs to, or nil.
func (p *Partition) PreemptingGroup(task TaskID) *AffinityGroup { return p.preemptingGroups[task] }

// ApplyBinding allocates a Used cell for a stored binding. After a failover, the cells are
// rebuilt this way from the persistent state. It releases a cell that the task holds on
// another machine, and cancels the reservations of the task's group. It does nothing if the
// task already holds a cell on the machine.
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

// Release releases the cell of a task that is proven to have ended. A Used cell becomes Free
// (e1), a Reserving one becomes Reserved (e9). If a Preempting group was waiting only for this
// cell, Release allocates the group and returns it; else it returns nil.
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

// CancelReservations cancels the reservations of a Preempting group, which becomes Pending (e5
// and e7 of the group): Reserving cells return to their victims (e4), Reserved ones become
// Free (e7). It does nothing if the group is in another state.
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

// allocateGroup turns a Preempting group whose cells are all Reserved into an Allocated one
// (e2 of the group, e8 of its cells). It replaces the reserved cells with one Used cell for
// each task. What the victims held beyond that becomes Free.
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

// allocateCell allocates a Used cell for a task from a machine's free resources (e0).
func (p *Partition) allocateCell(task TaskID, index MachineIndex, size Resources, claim Claim) {
	p.lastSequence++
	cell := &Cell{
		Machine: index, Size: size, State: CellUsed,
		Task: task, claim: claim, sequence: p.lastSequence,
	}
	p.cellByTask[task] = cell
	p.addCell(cell)
}

// addCell adds a cell to its machine and subtracts it from the free resources.
func (p *Partition) addCell(cell *Cell) {
	machine := p.getOrAddMachine(cell.Machine)
	machine.cells = append(machine.cells, cell)
	machine.freeResources = machine.freeResources.Minus(cell.Size)
}

// removeCell removes a cell from its machine and adds it to the free resources.
func (p *Partition) removeCell(cell *Cell) {
	machine := p.machines[cell.Machine]
	for i, other := range machine.cells {
		if other == cell {
			machine.cells = append(machine.cells[:i], machine.cells[i+1:]...)
			machine.freeResources = machine.freeResources.Plus(cell.Size)
			return
		}
	}
	panic(fmt.Sprintf("scheduling: cell to remove is not among the cells of machine %d", cell.Machine))
}
