package wire

// States of a job in responses to users. StateRunning is also a state of tasks and instances.
const (
	StateQueued    = "queued" // no task is running
	StateRunning   = "running"
	StateDone      = "done"
	StateCancelled = "withdrawn"
)

// States of a task on its machine, besides StateRunning.
const (
	StateFetchingImage    = "fetching"  // waiting for its image
	StateAwaitingGang     = "gathering" // waiting for the other tasks of its gang
	StateSavingCheckpoint = "flushing"  // stopping and saving a checkpoint
	StateExited           = "ended"
)

// Reasons why a task exited or why a worker did not start it.
const (
	ReasonDone         = "done"
	ReasonStopped      = "halted"
	ReasonError        = "error"
	ReasonNoCapacity   = "no_room"
	ReasonOtherAttempt = "in_use"  // the machine has another attempt of the same task
	ReasonUnknownTask  = "no_such" // the job or task was never submitted

	ReasonGangTaskEnded  = "mates_gone" // another task of the gang is no longer running
	ReasonIncompleteGang = "incomplete" // not all tasks of the gang were started in time
)

// Operation is what a command requests of a worker.
type Operation string

// Operations of commands.
const (
	OpStart  Operation = "start"
	OpStop   Operation = "stop"
	OpForget Operation = "reap" // stop reporting an exited task in heartbeats
)

// Kinds of jobs.
const (
	KindArray   = "batch"
	KindService = "daemon"
	KindGang    = "gang"
)

// States of an instance in the cloud's list, besides StateRunning.
const (
	InstanceStarting = "starting"
	InstanceFailed   = "failed" // the instance stopped without being terminated
)
