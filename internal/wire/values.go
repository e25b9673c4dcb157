package wire

// States, shapes and other values of the protocols.
const (
	Queued    = "queued"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"

	Fetching  = "fetching"
	Gathering = "gathering" // a gang's task that waits for the others
	Saving    = "flushing"
	Exited    = "ended"

	ReasonDone        = "done"
	ReasonStopped     = "halted"
	ReasonError       = "error"
	ReasonNoRoom      = "no_room"
	ReasonInUse       = "in_use"
	ReasonUnknownTask = "no_such"
	// Of a gang's tasks: another is gone; not all came in time.
	ReasonPeersGone      = "mates_gone"
	ReasonIncompleteGang = "incomplete"

	OpStart  = "start"
	OpStop   = "stop"
	OpForget = "reap"

	Array   = "batch"
	Service = "daemon"
	Gang    = "gang"

	InstanceStarting = "starting"
	InstanceFailed   = "failed"
)
