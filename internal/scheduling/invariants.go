package scheduling

import "fmt"

// CheckInvariants returns an error if the partition contradicts itself or the paper's
// state machines. Tests call it after every event.
func (p *Partition) CheckInvariants() error {
	cellsOfTask := map[TaskID]int{}
	for index, machine := range p.machines {
		if err := p.checkMachine(machine, cellsOfTask); err != nil {
			return fmt.Errorf("machine %d: %w", index, err)
		}
	}
	if err := p.checkUsedCells(cellsOfTask); err != nil {
		return err
	}
	return p.checkPreemptingGroups()
}

// checkMachine checks a machine's cells and free room, and counts the cells of each task.
func (p *Partition) checkMachine(machine *partitionMachine, cellsOfTask map[TaskID]int) error {
	free := machine.size
	for _, cell := range machine.cells {
		free = free.Minus(cell.Size)
		if err := p.checkCell(cell); err != nil {
			return err
		}
		if cell.State != CellReserved {
			cellsOfTask[cell.Task]++
		}
	}
	if free != machine.freeResources {
		return fmt.Errorf("free room is %v, its cells leave %v", machine.freeResources, free)
	}
	return nil
}

// checkCell checks a cell's state against its user and the group that has reserved it.
func (p *Partition) checkCell(cell *Cell) error {
	used := cell.State == CellUsed || cell.State == CellReserving
	if used && p.cellByTask[cell.Task] != cell {
		return fmt.Errorf("task %v has another cell than the one it uses", cell.Task)
	}
	reserved := cell.State == CellReserved || cell.State == CellReserving
	if reserved != (cell.reservedBy != nil) {
		return fmt.Errorf("%v cell, reserved by a group: %v", cell.State, cell.reservedBy != nil)
	}
	if !reserved {
		return nil
	}
	if cell.reservedBy.State != GroupPreempting {
		return fmt.Errorf("cell is reserved by a group that is %v", cell.reservedBy.State)
	}
	if used && !cell.reservedBy.Claim.CanPreempt(cell.claim) {
		return fmt.Errorf("claim %v preempts %v", cell.reservedBy.Claim, cell.claim)
	}
	return nil
}

// checkUsedCells checks that each task that uses a cell has exactly this one.
func (p *Partition) checkUsedCells(cellsOfTask map[TaskID]int) error {
	for task, cell := range p.cellByTask {
		if cellsOfTask[task] != 1 {
			return fmt.Errorf("task %v has %d cells", task, cellsOfTask[task])
		}
		if cell.Task != task {
			return fmt.Errorf("cell of task %v is listed for task %v", cell.Task, task)
		}
	}
	return nil
}

// checkPreemptingGroups checks that tasks of Preempting groups use no cells, and that
// these groups count their victims right and have some.
func (p *Partition) checkPreemptingGroups() error {
	for task, group := range p.preemptingGroups {
		if p.cellByTask[task] != nil {
			return fmt.Errorf("task %v is preempting and uses a cell", task)
		}
		reserving := 0
		for _, cell := range group.cells {
			if cell.State == CellReserving {
				reserving++
			}
		}
		if reserving != group.victimCount || reserving == 0 {
			return fmt.Errorf("group of task %v counts %d victims and has %d Reserving cells",
				task, group.victimCount, reserving)
		}
	}
	return nil
}
