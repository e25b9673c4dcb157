package scheduling

// GroupState is a state of the paper's affinity group state machine.
type GroupState uint8

// The states of a group. Pending, Allocated and Deleted are the persistent ones; the
// others are lost when a controller fails.
const (
	// Pending groups wait to be scheduled.
	GroupPending GroupState = iota
	// Preempting groups have reserved cells and wait for their victims to end.
	GroupPreempting
	// Allocated groups have a Used cell for each task.
	GroupAllocated
	// GroupBeingPreempted groups are victims of a Preempting group.
	GroupBeingPreempted
	// Deleted groups have released all of their cells.
	GroupDeleted
)

func (s GroupState) String() string {
	return [...]string{"Pending", "Preempting", "Allocated", "BeingPreempted", "Deleted"}[s]
}

// AffinityGroup is an affinity group, or gang: tasks of one size that are started together or not
// at all.
type AffinityGroup struct {
	Tasks    []TaskID
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
	victimCount int
}

// VictimCount returns how many tasks of other groups a Preempting group waits for.
func (g *AffinityGroup) VictimCount() int { return g.victimCount }
