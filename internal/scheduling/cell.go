package scheduling

// CellState is a state of the cell state machine of the paper that the package comment
// names.
type CellState uint8

// The states of a cell. No Cell is in state Free: the free part of a machine is represented by
// its free resources.
const (
	// CellFree means that no group holds or has reserved the cell.
	CellFree CellState = iota
	// CellUsed means that a task of an Allocated or BeingPreempted group holds the cell.
	CellUsed
	// CellReserved means that only a Preempting group is associated with the cell: no task
	// holds it.
	CellReserved
	// CellReserving means that a Preempting group has reserved the cell and its victim, a
	// task of another group, still holds it.
	CellReserving
)

func (s CellState) String() string { return [...]string{"Free", "Used", "Reserved", "Reserving"}[s] }

// Cell is an allocated or reserved slice of a machine.
type Cell struct {
	Machine MachineIndex
	Size    Resources
	State   CellState
	// Task holds the cell while its state is Used or Reserving. In other states the field has
	// no meaning.
	Task TaskID
	// claim is the claim of Task.
	claim Claim
	// sequence orders cells by their time of allocation: cells allocated later have larger
	// numbers. It is zero for cells that were reserved from free resources.
	sequence int64
	// reservedBy is the Preempting group while the state is Reserved or Reserving, else nil.
	reservedBy *AffinityGroup
}

// reserve turns a Used cell into a Reserving one (e2): its task becomes a victim of the
// group.
func (c *Cell) reserve(g *AffinityGroup) {
	c.State, c.reservedBy = CellReserving, g
	g.cells = append(g.cells, c)
	g.victimCount++
}

// returnToVictim turns a Reserving cell into a Used one (e4): its task is no longer a victim.
func (c *Cell) returnToVictim() {
	c.State, c.reservedBy = CellUsed, nil
}

// completeReservation turns a Reserving cell whose task has ended into a Reserved one (e9).
func (c *Cell) completeReservation() {
	c.State = CellReserved
	c.reservedBy.victimCount--
}
