package scheduling

// CellState is a state of the paper's cell state machine.
type CellState uint8

// The states of a cell. A Free cell has no Cell: it is part of its machine's free room.
const (
	// Free cells are associated with no group.
	CellFree CellState = iota
	// Used cells are held by a task of an Allocated or GroupBeingPreempted group.
	CellUsed
	// Reserved cells are associated with a Preempting group alone.
	CellReserved
	// Reserving cells are still held by the victim of a Preempting group.
	CellReserving
)

func (s CellState) String() string { return [...]string{"Free", "Used", "Reserved", "Reserving"}[s] }

// Cell is a claimed slice of a machine.
type Cell struct {
	Machine MachineIndex
	Size    Resources
	State   CellState
	// User holds the cell while it is Used or Reserving.
	Task  TaskID
	claim Claim
	// sequence orders cells by when they were allocated: later ones have larger numbers.
	sequence int64
	// reservedBy is the Preempting group while the cell is Reserved or Reserving.
	reservedBy *AffinityGroup
}

// reserve turns a Used cell into a Reserving one (e2): its user is a victim of the group.
func (c *Cell) reserve(g *AffinityGroup) {
	c.State, c.reservedBy = CellReserving, g
	g.cells = append(g.cells, c)
	g.victimCount++
}

// returnToVictim turns a Reserving cell into a Used one (e4): its user is no victim any more.
func (c *Cell) returnToVictim() {
	c.State, c.reservedBy = CellUsed, nil
}

// vacate turns a Reserving cell, whose user has ended, into a Reserved one (e9).
func (c *Cell) completeReservation() {
	c.State = CellReserved
	c.reservedBy.victimCount--
}
