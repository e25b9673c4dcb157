package reconcile

import (
	"slices"

	"eiderhitch/internal/wire"
)

// DifferenceKind is a way in which a machine differs from the records.
type DifferenceKind int

const (
	// UnexpectedTask means that an attempt that is not bound to the machine is on it and has
	// not exited. It is stopped without time to save.
	UnexpectedTask DifferenceKind = iota
	// ForgettableExitedTask means that an attempt that is not bound has exited, and no start
	// command for it can be executed any more. The worker may forget it.
	ForgettableExitedTask
	// RetainedExitedTask means that an attempt that is not bound has exited, and a start command
	// for it may still arrive. If the worker had forgotten the attempt, it would run it again, so
	// the worker retains it. Meanwhile it refuses all other attempts of the task.
	RetainedExitedTask
	// UnreadableRecord means that an attempt is on the machine and may be bound to it by a record
	// that can't be decoded. No command is sent for it.
	UnreadableRecord
	// TaskToStop means that a bound attempt is on the machine and must stop.
	TaskToStop
	// TaskToStart means that a bound attempt is not on the machine and must start.
	TaskToStart
)

// Difference is a difference between a machine and the records in one attempt of a task.
type Difference struct {
	Kind     DifferenceKind
	TaskName string
	Attempt  uint64
	// GraceS is the time in seconds that a task has to save its progress when it is stopped.
	// Zero means that it is stopped without saving.
	GraceS float64
}

// Command returns the command that resolves the difference. It reports false if the difference
// must not be resolved yet.
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

// Differences returns the differences between a machine and the records: first those for tasks
// in the heartbeat, in its order, then the tasks to start, in the order of the bindings. Stops
// come before starts so that they free the resources that the new tasks need.
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
		if status.State == wire.StateExited || !records.MustStop(record.Binding.Task) {
			continue
		}
		// A task that is already saving needs another stop command only to make it stop saving.
		if grace := records.StopGraceS(record.Binding.Task); status.State != wire.StateSavingCheckpoint || grace == 0 {
			differences = append(differences, Difference{Kind: TaskToStop, TaskName: status.Task, Attempt: status.Attempt, GraceS: grace})
		}
	}
	// No task is started based on outdated records: once any controller has confirmed to a user
	// that a job is cancelled, no task of the job may start.
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

// classifyUnbound returns the kind of difference for an attempt in the heartbeat that is not
// bound to the machine.
func classifyUnbound(machine MachineState, status *wire.TaskStatus, record *TaskRecord) DifferenceKind {
	switch {
	case record.Unreadable:
		return UnreadableRecord
	case status.State != wire.StateExited:
		return UnexpectedTask
	case !machine.isStartRuledOut() || machine.StartRepeatable:
		return RetainedExitedTask
	}
	return ForgettableExitedTask
}

// canStart reports whether a bound attempt that is not on the machine may be started there.
func canStart(machine MachineState, records Records, binding Binding) bool {
	return binding.Incarnation == machine.Incarnation && !records.MustStop(binding.Task) &&
		!records.HasEnded(binding) && records.IsGangComplete(binding.Task)
}

// isBlockedBy reports whether the worker would refuse to start the task because it retains
// another attempt of it, which is the other difference.
func (d *Difference) isBlockedBy(other Difference) bool {
	return other.Kind == RetainedExitedTask && other.TaskName == d.TaskName
}
