// Package reconcile compares the tasks that a machine's newest heartbeat shows with the
// bindings that the stored records have of it.
//
// It answers two questions. Findings tells what has become of the bound attempts: which of
// them are proven to have ended, and why. Differences tells what the machine must do so that
// it runs what is bound to it and nothing else.
//
// Both are functions of their arguments alone: no clock, no I/O, no state. What follows from
// their results (attempts are ended, commands are sent) is the caller's.
//
// The proofs rest on the protocol of the workers. A heartbeat shows all tasks of a machine.
// So a bound task that it does not show is not there, but may come yet, as long as a start
// for it can still arrive: in a direct command that was sent by a former owner of the
// machine, or has no answer, or in a response to a heartbeat that the worker may not have
// handled. A machine that has shown a fencing token executes nothing with a lower one, and
// an agent refuses what was sent to an earlier incarnation of it.
package reconcile

import (
	"slices"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// MachineState is what its owner knows of a machine.
type MachineState struct {
	// Incarnation is that of its agent, by the newest heartbeat.
	Incarnation uint64
	// TokenConfirmed: its newest heartbeat shows the owner's present fencing token. It executes
	// no command of any former owner, however late.
	TokenConfirmed bool
	// StartInFlight: a start that the present owner has sent may still arrive.
	StartInFlight bool
	// StartsAllowed: the records are recent enough to start tasks by them.
	StartsAllowed bool
	// Tasks are those of the newest heartbeat, in its order.
	Tasks []wire.TaskStatus
}

// settled reports whether no start can arrive any more.
func (m *MachineState) isStartRuledOut() bool { return m.TokenConfirmed && !m.StartInFlight }

// Binding is an attempt of a task that a record binds to the machine.
type Binding struct {
	Task    scheduling.TaskID
	Attempt uint64
	// Incarnation is that of the machine's agent that the attempt is bound to.
	Incarnation uint64
}

// TaskRecord is what the records have of a task that a heartbeat shows.
type TaskRecord struct {
	// Bound: the task is bound to the machine, by Binding.
	Bound   bool
	Binding Binding
	// RunsToCompletion: it is known to be no replica of a service, which has to run on.
	RunsToCompletion bool
	// Unreadable: the task may be bound to the machine by a record that can't be decoded.
	Unreadable bool
}

// Records are the stored records, as far as they concern one machine. Their methods are
// asked only where the answer matters, since some are costly: whether a gang stops, or is
// bound whole, is known from thousands of tasks.
type Records interface {
	// Lookup returns what the records have of a task.
	Lookup(task string) TaskRecord
	// BindingCount returns how many tasks are bound to the machine.
	BindingCount() int
	// Binding returns the one at an index below that; false: it is bound no more.
	Binding(index int) (Binding, bool)
	// TaskName returns the name of a bound task.
	TaskName(task scheduling.TaskID) string
	// MustStop reports whether a bound task has to leave the machine: its job is final, or
	// it is preempted, or its gang stops.
	MustStop(task scheduling.TaskID) bool
	// StopGraceS returns how many seconds a bound task has to save when it is stopped.
	StopGraceS(task scheduling.TaskID) float64
	// Ended reports whether an attempt is proven to have ended already.
	HasEnded(binding Binding) bool
	// IsGangComplete reports whether a bound task is of no gang, or all tasks of its gang are
	// bound.
	IsGangComplete(task scheduling.TaskID) bool
}

// matches reports whether a task of the heartbeat is the attempt that is bound.
func (m *MachineState) matches(status *wire.TaskStatus, record *TaskRecord) bool {
	return record.Bound && record.Binding.Attempt == status.Attempt && record.Binding.Incarnation == m.Incarnation
}

// taskSet is the bound tasks that a heartbeat shows: few, so that a list serves better than
// a map would.
type taskSet []scheduling.TaskID

func (s *taskSet) add(task scheduling.TaskID) {
	if !s.has(task) { // a heartbeat may name one twice
		*s = append(*s, task)
	}
}

func (s taskSet) has(task scheduling.TaskID) bool { return slices.Contains(s, task) }
