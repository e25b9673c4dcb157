package scheduling

// MachineIndex is the dense index that a controller gives a machine. It is not stored,
// and another controller gives the same machine another one.
type MachineIndex int32

// GroupIndex is the dense index that a controller gives a stored group of tasks.
type GroupIndex int32

// TeamIndex is the dense index that a controller gives a team.
type TeamIndex int32

// Task identifies a task by its stored group and its number within the job.
type Task struct {
	Group  GroupIndex
	Number int32
}
