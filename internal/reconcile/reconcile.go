// Package reconcile compares the tasks in a machine's newest heartbeat with the machine's
// bindings in the stored records.
//
// Observations returns what is known of each bound attempt: whether it is on the machine or is
// proven to have ended, and why it ended. Differences returns what the machine must start, stop
// and forget so that it runs the tasks that are bound to it and no others.
//
// Both are pure functions: they have no state, do no I/O and read no clock. The caller acts on
// the results: it ends attempts and sends commands.
//
// The proofs rest on the workers' protocol. A heartbeat lists all tasks of a machine, so a bound
// task that is missing from it is not on the machine. It may still be started as long as a
// start command for it can arrive: in a direct command from a former owner of the machine, in a
// direct command without a response, or in the response to a heartbeat that the worker may not
// have processed yet. A machine whose heartbeat has shown a fencing token executes no command
// with a lower token, and an agent refuses commands for an earlier incarnation of itself.
//
// A direct command that was executed and answered may also arrive again, unchanged, minutes later.
// It has no effect while the worker lists the attempt. After the worker has forgotten the attempt,
// it would run it again unless it has seen a higher token: a command to forget an attempt must
// carry a higher token than every direct command that may have started it.
package reconcile

import (
	"slices"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// MachineState holds what the owner of a machine knows about it.
type MachineState struct {
	// Incarnation is the incarnation of the machine's agent in the newest heartbeat.
	Incarnation uint64
	// TokenConfirmed is set if the newest heartbeat shows the owner's current fencing token. The
	// machine then executes no command of a former owner, however late it arrives.
	TokenConfirmed bool
	// StartInFlight is set if a start command from the current owner may still arrive.
	StartInFlight bool
	// StartRepeatable is set if a direct request that has started a task may be repeated and would
	// then be executed again, even after a command to forget an attempt that is sent now.
	StartRepeatable bool
	// StartsAllowed is set if the records are recent enough to start tasks based on them.
	StartsAllowed bool
	// Tasks holds the tasks of the newest heartbeat, in its order.
	Tasks []wire.TaskStatus
}

// isStartRuledOut reports whether no start command can arrive any more.
func (m *MachineState) isStartRuledOut() bool { return m.TokenConfirmed && !m.StartInFlight }

// Binding is an attempt of a task that is bound to the machine by a stored record.
type Binding struct {
	Task    scheduling.TaskID
	Attempt uint64
	// Incarnation is the incarnation of the machine's agent that the attempt is bound to.
	Incarnation uint64
}

// TaskRecord holds what the stored records say about a task in a heartbeat. Its zero value
// means that the records don't bind the task to the machine.
type TaskRecord struct {
	// Bound is set if the task is bound to the machine.
	Bound bool
	// Binding is the binding of the task if Bound is set. Else it has no meaning.
	Binding Binding
	// RunsToCompletion is set if the task is known not to be a replica of a service. Replicas
	// run until they are stopped.
	RunsToCompletion bool
	// Unreadable is set if a record that can't be decoded may bind the task to the machine.
	Unreadable bool
}

// Records gives access to the stored records that concern one machine. Its methods are called
// only where the result matters, since some are expensive: whether a gang must stop, or is
// completely bound, may depend on thousands of tasks.
type Records interface {
	// Lookup returns what the records say about the task of a name.
	Lookup(task string) TaskRecord
	// BindingCount returns the number of entries in the machine's list of bindings.
	BindingCount() int
	// Binding returns the entry at an index from zero to BindingCount()-1. It reports false if
	// the task is no longer bound to the machine.
	Binding(index int) (Binding, bool)
	// TaskName returns the name of a bound task.
	TaskName(task scheduling.TaskID) string
	// MustStop reports whether a bound task must leave the machine: because its job has a
	// final state, the task is preempted, or its gang must stop.
	MustStop(task scheduling.TaskID) bool
	// StopGraceS returns the time in seconds that a bound task has to save its progress when it
	// is stopped.
	StopGraceS(task scheduling.TaskID) float64
	// HasEnded reports whether an attempt is already proven to have ended.
	HasEnded(binding Binding) bool
	// IsGangComplete reports whether a bound task may start as far as its gang is concerned:
	// all tasks of the gang are bound, or the task belongs to no gang.
	IsGangComplete(task scheduling.TaskID) bool
}

// matches reports whether a task in the heartbeat is the attempt that its record binds to the
// machine.
func (m *MachineState) matches(status *wire.TaskStatus, record *TaskRecord) bool {
	return record.Bound && record.Binding.Attempt == status.Attempt && record.Binding.Incarnation == m.Incarnation
}

// taskSet is a set of the bound tasks that a heartbeat shows. There are few of them, so that a
// slice is faster than a map.
type taskSet []scheduling.TaskID

func (s *taskSet) add(task scheduling.TaskID) {
	if !s.has(task) { // a heartbeat may list a task twice
		*s = append(*s, task)
	}
}

func (s taskSet) has(task scheduling.TaskID) bool { return slices.Contains(s, task) }
