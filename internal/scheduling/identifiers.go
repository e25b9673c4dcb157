package scheduling

// MachineIndex is the index that a controller gives a machine, counting from zero without
// gaps. It is not stored, and other controllers give the same machine other indexes.
type MachineIndex int32

// TaskGroupIndex is the index that a controller gives a stored task group, counting from zero
// without gaps.
type TaskGroupIndex int32

// TeamIndex is the index that a controller gives a team, counting from zero without gaps.
type TeamIndex int32

// TaskID identifies a task by its stored task group and its number within the job.
type TaskID struct {
	Group  TaskGroupIndex
	Number int32
}
