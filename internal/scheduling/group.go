package scheduling

// GroupState is a state of the paper's affinity group state machine.
type GroupState uint8

// The states of a group. Pending, Allocated and Deleted are the persistent ones; the
// others are lost when a controller fails.
const (
	// Pending groups wait to be scheduled.
	Pending GroupState = iota
	// Preempting groups have reserved cells and wait for their victims to end.
	Preempting
	// Allocated groups have a Used cell for each task.
	Allocated
	// BeingPreempted groups are victims of a Preempting group.
	BeingPreempted
	// Deleted groups have released all of their cells.
	Deleted
)

func (s GroupState) String() string {
	return [...]string{"Pending", "Preempting", "Allocated", "BeingPreempted", "Deleted"}[s]
}

// Group is an affinity group, or gang: tasks of one size that are started together or not
// at all.
type Group struct {
	Tasks    []Task
	TaskSize Resources
	Claim    Claim
	State    GroupState
	// Machines has the machine of each task while the group is Preempting or Allocated.
	Machines []MachineIndex
	// NoPreemption restricts the group to free cells.
	NoPreemption bool
	// cells are the group's Reserved and Reserving cells while it is Preempting.
	cells []*Cell
	// victims counts the Reserving ones among them.
	victims int
}

// Victims returns how many tasks of other groups a Preempting group waits for.
func (g *Group) Victims() int { return g.victims }
