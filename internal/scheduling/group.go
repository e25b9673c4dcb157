package scheduling

// GroupState is a state of the affinity group state machine of the paper that the package
// comment names.
type GroupState uint8

// The states of a group. Pending, Allocated and Deleted are persistent; the others are lost
// when a controller fails. BeingPreempted and Deleted complete the paper's state machine: a
// Partition assigns neither.
const (
	// GroupPending means that the group waits to be scheduled.
	GroupPending GroupState = iota
	// GroupPreempting means that the group has reserved cells and waits until their victims
	// have ended.
	GroupPreempting
	// GroupAllocated means that each task of the group has a Used cell.
	GroupAllocated
	// GroupBeingPreempted means that the group is a victim of a Preempting group.
	GroupBeingPreempted
	// GroupDeleted means that the group has released all of its cells.
	GroupDeleted
)

func (s GroupState) String() string {
	return [...]string{"Pending", "Preempting", "Allocated", "BeingPreempted", "Deleted"}[s]
}

// AffinityGroup is a gang: tasks of one size that are started together or not at all.
type AffinityGroup struct {
	Tasks    []TaskID
	TaskSize Resources
	Claim    Claim
	State    GroupState
	// Machines holds the machine of each task, in the order of Tasks, while the group is
	// Preempting or Allocated.
	Machines []MachineIndex
	// NoPreemption limits the group to free resources: it doesn't preempt other groups.
	NoPreemption bool
	// cells holds the group's Reserved and Reserving cells while it is Preempting.
	cells []*Cell
	// victimCount is the number of Reserving cells among them.
	victimCount int
}

// VictimCount returns the number of tasks of other groups that must end before a Preempting
// group is allocated. It is zero in other states.
func (g *AffinityGroup) VictimCount() int { return g.victimCount }
