package scheduling

// MachineIndex is the dense index that a controller gives a machine. It is not stored,
// and another controller gives the same machine another one.
type MachineIndex int32

// TaskGroupIndex is the dense index that a controller gives a stored group of tasks.
type TaskGroupIndex int32

// TeamIndex is the dense index that a controller gives a team.
type TeamIndex int32

// TaskID identifies a task by its stored group and its number within the job.
type TaskID struct {
	Group  TaskGroupIndex
	Number int32
}
