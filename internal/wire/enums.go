package wire

// States of a job, as users are told. Running is a state of tasks and instances, too.
const (
	StateQueued    = "queued" // no task runs
	StateRunning   = "running"
	StateDone      = "done"
	StateCancelled = "withdrawn"
)

// States of a task on its machine, besides Running.
const (
	StateFetchingImage    = "fetching"  // waits for its image
	StateAwaitingGang     = "gathering" // a gang's task that waits for the others
	StateSavingCheckpoint = "flushing"  // was told to stop and saves its progress
	StateExited           = "ended"
)

// Reasons why a task exited, or why its start was refused.
const (
	ReasonDone         = "done"
	ReasonStopped      = "halted"
	ReasonError        = "error"
	ReasonNoCapacity   = "no_room"
	ReasonOtherAttempt = "in_use"  // the machine has another attempt of this task
	ReasonUnknownTask  = "no_such" // no such job or task was submitted

	ReasonPeersGone      = "mates_gone" // another task of the gang is gone
	ReasonIncompleteGang = "incomplete" // not all tasks of the gang came in time
)

// Operation is what a command has a worker do.
type Operation string

// Operations of commands.
const (
	OpStart  Operation = "start"
	OpStop   Operation = "stop"
	OpForget Operation = "reap" // remove an exited task from the heartbeats
)

// Kinds of jobs.
const (
	KindArray   = "batch"
	KindService = "daemon"
	KindGang    = "gang"
)

// States of an instance in the cloud's list, besides Running.
const (
	InstanceStarting = "starting"
	InstanceFailed   = "failed" // it stopped on its own
)
