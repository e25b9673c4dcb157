package reconcile

import (
	"slices"

	"eiderhitch/internal/wire"
)

// DifferenceKind is in what a machine differs from the records.
type DifferenceKind int

const (
	// UnexpectedTask is an attempt on the machine that is not bound to it. It is stopped at
	// once.
	UnexpectedTask DifferenceKind = iota
	// ForgettableExitedTask is an exited attempt that is not bound, and of which no start can
	// arrive. The worker may forget it.
	ForgettableExitedTask
	// RetainedExitedTask is one of which a start may still arrive: a worker that has forgotten an
	// attempt would run it again. It is kept, and meanwhile the worker refuses all other
	// attempts of the task.
	RetainedExitedTask
	// UnreadableRecord is an attempt on the machine that may be bound to it by a record that
	// can't be decoded. It is left alone.
	UnreadableRecord
	// TaskToStop is a bound attempt on the machine that has to stop.
	TaskToStop
	// TaskToStart is a bound attempt that is not on the machine and has to start.
	TaskToStart
)

// Difference is one task in which a machine differs from the records.
type Difference struct {
	Kind     DifferenceKind
	TaskName string
	Attempt  uint64
	// GraceS is how many seconds a task that is stopped has to save its progress.
	GraceS float64
}

// Command returns the command that removes the difference; false: it has to stay for now.
func (d *Difference) Command() (wire.Command, bool) {
	command := wire.Command{Task: d.TaskName, Attempt: d.Attempt}
	switch d.Kind {
	case UnexpectedTask, TaskToStop:
		grace := d.GraceS
		command.Op, command.GraceS = wire.OpStop, &grace
	case ForgettableExitedTask:
		command.Op = wire.OpForget
	case TaskToStart:
		command.Op = wire.OpStart
	case RetainedExitedTask, UnreadableRecord:
		return wire.Command{}, false
	}
	return command, true
}

// Differences returns in what a machine differs from the records: first the tasks of the
// heartbeat, in its order, then those that have to start, in the order of the bindings, so
// that what stops makes room for what starts.
func Differences(machine MachineState, records Records) []Difference {
	var differences []Difference
	shown := make(taskSet, 0, len(machine.Tasks))
	for i := range machine.Tasks {
		status := &machine.Tasks[i]
		record := records.Lookup(status.Task)
		if !machine.matches(status, &record) {
			differences = append(differences, Difference{Kind: classifyUnbound(machine, status, &record), TaskName: status.Task, Attempt: status.Attempt})
			continue
		}
		shown.add(record.Binding.Task)
		if status.State == wire.Exited || !records.MustStop(record.Binding.Task) {
			continue
		}
		// A task that saves already is only told again when it is to stop saving.
		if grace := records.StopGraceS(record.Binding.Task); status.State != wire.Saving || grace == 0 {
			differences = append(differences, Difference{Kind: TaskToStop, TaskName: status.Task, Attempt: status.Attempt, GraceS: grace})
		}
	}
	// Nothing starts by records that are not recent: from the moment a user is told
	// "cancelled", by any controller, no task of the job may start.
	if len(shown) == records.BindingCount() || !machine.StartsAllowed {
		return differences
	}
	for i := range records.BindingCount() {
		binding, bound := records.Binding(i)
		if !bound || shown.has(binding.Task) || !canStart(machine, records, binding) {
			continue
		}
		start := Difference{Kind: TaskToStart, TaskName: records.TaskName(binding.Task), Attempt: binding.Attempt}
		if !slices.ContainsFunc(differences, start.isBlockedBy) {
			differences = append(differences, start)
		}
	}
	return differences
}

// classifyUnbound tells what becomes of an attempt in a heartbeat that is not bound.
func classifyUnbound(machine MachineState, status *wire.TaskStatus, record *TaskRecord) DifferenceKind {
	switch {
	case record.Unreadable:
		return UnreadableRecord
	case status.State != wire.Exited:
		return UnexpectedTask
	case !machine.isStartRuledOut():
		return RetainedExitedTask
	}
	return ForgettableExitedTask
}

// canStart reports whether a bound attempt that is not on the machine is to start there.
func canStart(machine MachineState, records Records, binding Binding) bool {
	return binding.Incarnation == machine.Incarnation && !records.MustStop(binding.Task) &&
		!records.HasEnded(binding) && records.IsGangComplete(binding.Task)
}

// isBlockedBy reports whether a worker would refuse the start of a task since it still knows
// another attempt of it.
func (d *Difference) isBlockedBy(other Difference) bool {
	return other.Kind == RetainedExitedTask && other.TaskName == d.TaskName
}
