// Package trace records what can be seen of a simulated cluster from outside its
// controllers: by users, by machines and by the cloud.
package trace

import (
	"slices"
	"strings"
	"sync"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// Event is something that was seen at a time.
type Event interface {
	// Time is when it was seen.
	Time() time.Time
}

// MachineBooted is a machine that has booted.
type MachineBooted struct {
	At                  time.Time
	Machine, Type, Zone string
	Spot                bool
	Capacity            scheduling.Resources
}

// MachineTerminated is a machine that is gone with all that was on it.
type MachineTerminated struct {
	At      time.Time
	Machine string
}

// TaskAccepted is a task whose start a machine has accepted: it takes its place there.
type TaskAccepted struct {
	At            time.Time
	Task, Machine string
	Attempt       uint64
}

// TaskStarted is an accepted task that has its image.
type TaskStarted struct {
	At            time.Time
	Task, Machine string
}

// TaskStopped is a task that has left its machine.
type TaskStopped struct {
	At            time.Time
	Task, Machine string
}

// TaskCompleted is a task whose result is kept.
type TaskCompleted struct {
	At   time.Time
	Task string
}

// RefusalReason is why a machine can't carry out a start.
type RefusalReason int

// The refusals.
const (
	TaskInUse  RefusalReason = iota // another attempt of the task is on the machine
	UnknownJob                      // nobody uploaded its job's description
)

// StartRefused is a start that no controller should have asked for.
type StartRefused struct {
	At            time.Time
	Task, Machine string
	Reason        RefusalReason
}

// Operation is what a user asks of a controller.
type Operation int

// The users' operations.
const (
	Submit Operation = iota
	Query
	Cancel
)

// Response is a user's request with its response, or with none.
type Response struct {
	At          time.Time
	RequestedAt time.Time
	Operation   Operation
	Job         string
	Spec        *wire.Job // of a submission; nil: none, or a malformed one
	Status      int       // 0: no response
	State       string    // of the job
}

// RecordingEnded closes a trace: nothing more was seen.
type RecordingEnded struct{ At time.Time }

// Time is when the machine had booted.
func (e MachineBooted) Time() time.Time { return e.At }

// Time is when the machine was gone.
func (e MachineTerminated) Time() time.Time { return e.At }

// Time is when the start was accepted.
func (e TaskAccepted) Time() time.Time { return e.At }

// Time is when the task started.
func (e TaskStarted) Time() time.Time { return e.At }

// Time is when the task left.
func (e TaskStopped) Time() time.Time { return e.At }

// Time is when the result was kept.
func (e TaskCompleted) Time() time.Time { return e.At }

// Time is when the start was refused.
func (e StartRefused) Time() time.Time { return e.At }

// Time is when the response came, or the user gave up.
func (e Response) Time() time.Time { return e.At }

// Time is the end of the trace.
func (e RecordingEnded) Time() time.Time { return e.At }

// JobID is the ID of the job that a task belongs to.
func JobID(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}

// Recorder collects events. It may be used from several goroutines.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// Record adds an event.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// Events are the events so far, in the order in which they were recorded.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// CountAcceptedStarts counts the starts of a job's tasks that machines have accepted so far.
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
