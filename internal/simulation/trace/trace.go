// Package trace records the externally observable events of a simulated cluster: those that
// users, machines and the cloud see. It doesn't record controller state.
package trace

import (
	"slices"
	"strings"
	"sync"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// Event is an observation with the time at which it was made.
type Event interface {
	// Time returns when the event was observed.
	Time() time.Time
}

// MachineBooted records that a machine has finished booting.
type MachineBooted struct {
	At                  time.Time
	Machine, Type, Zone string
	Spot                bool
	Capacity            scheduling.Resources
}

// MachineTerminated records that a machine was terminated, along with all its tasks.
type MachineTerminated struct {
	At      time.Time
	Machine string
}

// TaskAccepted records that a machine accepted the start of a task. The task uses the
// machine's resources from then on.
type TaskAccepted struct {
	At            time.Time
	Task, Machine string
	Attempt       uint64
}

// TaskStarted records that an accepted task has fetched its image and started.
type TaskStarted struct {
	At            time.Time
	Task, Machine string
}

// TaskStopped records that a task no longer runs on its machine.
type TaskStopped struct {
	At            time.Time
	Task, Machine string
}

// TaskForgotten records that a machine has forgotten an exited attempt of a task, as a controller
// told it to.
type TaskForgotten struct {
	At            time.Time
	Task, Machine string
	Attempt       uint64
}

// TaskCompleted records that the result of a task was saved.
type TaskCompleted struct {
	At   time.Time
	Task string
}

// RefusalReason is the reason why a machine can't execute a start command.
type RefusalReason int

// The reasons for refusing a start command.
const (
	TaskInUse  RefusalReason = iota // the machine has another attempt of the task
	UnknownJob                      // no user uploaded the job's specification
)

// StartRefused records a start command that a machine refused. Correct controllers never send
// such a command.
type StartRefused struct {
	At            time.Time
	Task, Machine string
	Reason        RefusalReason
}

// Operation is the kind of a user's request to a controller.
type Operation int

// The operations that users request.
const (
	Submit Operation = iota
	Query
	Cancel
)

// Response records a user's request and the response to it, if there was one.
type Response struct {
	At          time.Time
	RequestedAt time.Time
	Operation   Operation
	Job         string
	Spec        *wire.Job // the submitted job; nil for other operations and malformed submissions
	Status      int       // HTTP status; 0 means no response
	State       string    // job state in the response
}

// RecordingEnded records the end of the trace. No event follows it.
type RecordingEnded struct{ At time.Time }

// Time returns when the machine finished booting.
func (e MachineBooted) Time() time.Time { return e.At }

// Time returns when the machine was terminated.
func (e MachineTerminated) Time() time.Time { return e.At }

// Time returns when the machine accepted the start.
func (e TaskAccepted) Time() time.Time { return e.At }

// Time returns when the task started.
func (e TaskStarted) Time() time.Time { return e.At }

// Time returns when the task stopped running on its machine.
func (e TaskStopped) Time() time.Time { return e.At }

// Time returns when the machine forgot the attempt.
func (e TaskForgotten) Time() time.Time { return e.At }

// Time returns when the result was saved.
func (e TaskCompleted) Time() time.Time { return e.At }

// Time returns when the machine refused the start.
func (e StartRefused) Time() time.Time { return e.At }

// Time returns when the response arrived or the user's request timed out.
func (e Response) Time() time.Time { return e.At }

// Time returns when the trace ended.
func (e RecordingEnded) Time() time.Time { return e.At }

// JobID returns the ID of the job that a task belongs to.
func JobID(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}

// Recorder collects events. The zero value is an empty recorder. It is safe for concurrent
// use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// Record appends an event.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// Events returns a copy of the events recorded so far, in the order of the Record calls.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// CountAcceptedStarts returns how many starts of a job's tasks machines have accepted so far.
func (r *Recorder) CountAcceptedStarts(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, e := range r.events {
		if accepted, ok := e.(TaskAccepted); ok && JobID(accepted.Task) == job {
			count++
		}
	}
	return count
}
