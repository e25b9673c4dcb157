package wire

// States of a job, as users are told. Running is a state of tasks and instances, too.
const (
	Queued    = "queued" // no task runs
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// States of a task on its machine, besides Running.
const (
	Fetching  = "fetching"  // waits for its image
	Gathering = "gathering" // a gang's task that waits for the others
	Saving    = "flushing"  // was told to stop and saves its progress
	Exited    = "ended"
)

// Reasons why a task exited, or why its start was refused.
const (
	ReasonDone        = "done"
	ReasonStopped     = "halted"
	ReasonError       = "error"
	ReasonNoRoom      = "no_room"
	ReasonInUse       = "in_use"  // the machine has another attempt of this task
	ReasonUnknownTask = "no_such" // no such job or task was submitted

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
	Array   = "batch"
	Service = "daemon"
	Gang    = "gang"
)

// States of an instance in the cloud's list, besides Running.
const (
	InstanceStarting = "starting"
	InstanceFailed   = "failed" // it stopped on its own
)
