package scheduling

import "fmt"

// CheckInvariants returns an error if the partition's data is inconsistent or violates the
// paper's state machines. Tests call it after every event.
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

// checkMachine checks a machine's cells and free resources, and adds the cells that tasks hold
// to cellsOfTask.
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
		return fmt.Errorf("free resources are %v, but the cells leave %v", machine.freeResources, free)
	}
	return nil
}

// checkCell checks a cell's state against its task and the group that has reserved it.
func (p *Partition) checkCell(cell *Cell) error {
	used := cell.State == CellUsed || cell.State == CellReserving
	if used && p.cellByTask[cell.Task] != cell {
		return fmt.Errorf("task %v holds the cell, but another cell is recorded for it", cell.Task)
	}
	reserved := cell.State == CellReserved || cell.State == CellReserving
	if reserved != (cell.reservedBy != nil) {
		return fmt.Errorf("cell is %v, but whether a group has reserved it is %v", cell.State, cell.reservedBy != nil)
	}
	if !reserved {
		return nil
	}
	if cell.reservedBy.State != GroupPreempting {
		return fmt.Errorf("cell is reserved by a group in state %v, want Preempting", cell.reservedBy.State)
	}
	if used && !cell.reservedBy.Claim.CanPreempt(cell.claim) {
		return fmt.Errorf("claim %v has reserved a cell of claim %v, which it may not preempt", cell.reservedBy.Claim, cell.claim)
	}
	return nil
}

// checkUsedCells checks that each task with a recorded cell holds exactly one cell, and that
// it is the recorded one.
func (p *Partition) checkUsedCells(cellsOfTask map[TaskID]int) error {
	for task, cell := range p.cellByTask {
		if cellsOfTask[task] != 1 {
			return fmt.Errorf("task %v holds %d cells, want 1", task, cellsOfTask[task])
		}
		if cell.Task != task {
			return fmt.Errorf("cell of task %v is recorded for task %v", cell.Task, task)
		}
	}
	return nil
}

// checkPreemptingGroups checks that the tasks of Preempting groups hold no cells, and that
// each of these groups has victims and counts them correctly.
func (p *Partition) checkPreemptingGroups() error {
	for task, group := range p.preemptingGroups {
		if p.cellByTask[task] != nil {
			return fmt.Errorf("task %v of a Preempting group holds a cell", task)
		}
		reserving := 0
		for _, cell := range group.cells {
			if cell.State == CellReserving {
				reserving++
			}
		}
		if reserving != group.victimCount || reserving == 0 {
			return fmt.Errorf("group of task %v counts %d victims, but has %d Reserving cells; want equal numbers above zero",
				task, group.victimCount, reserving)
		}
	}
	return nil
}
