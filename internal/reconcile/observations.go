package reconcile

import (
	"iter"

	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerlease"
)

// ObservationKind classifies what is known of a bound attempt.
type ObservationKind int

const (
	// TaskPresent means that the attempt is on the machine and has not exited.
	TaskPresent ObservationKind = iota
	// TaskCompleted means that the attempt ran to completion.
	TaskCompleted
	// TaskFailed means that the attempt exited with an error.
	TaskFailed
	// StartRefused means that the worker refused to start the attempt.
	StartRefused
	// TaskExited means that the attempt exited for another reason, for example because it was
	// stopped.
	TaskExited
	// IncarnationReplaced means that the attempt was bound to an earlier incarnation of the
	// machine's agent. The lease of that incarnation has expired, so the agent has ended all of
	// its tasks.
	IncarnationReplaced
	// TaskAbsent means that the attempt must stop, is not on the machine, and can't be started
	// by a late command.
	TaskAbsent
)

// Observation holds what is known of one bound attempt.
type Observation struct {
	Kind    ObservationKind
	Binding Binding
	// Status is the status of the task in the heartbeat, nil if the heartbeat doesn't show it.
	Status *wire.TaskStatus
}

// ProvesEnd reports whether the observation proves that the attempt has ended.
func (o *Observation) ProvesEnd() bool { return o.Kind != TaskPresent }

// Observations yields what is known of the attempts that are bound to a machine: first those in
// the heartbeat, in its order, then the others that are proven to have ended, in the order of
// the bindings. Nothing is known of the attempts that it leaves out.
//
// It queries the records about a binding only after the loop body has handled the previous
// observation, since the end of one attempt may be the reason why the next one must stop, as
// with the tasks of a gang.
func Observations(machine MachineState, records Records) iter.Seq[Observation] {
	return func(yield func(Observation) bool) { yieldObservations(machine, records, yield) }
}

// yieldObservations calls yield for each observation until yield returns false.
func yieldObservations(machine MachineState, records Records, yield func(Observation) bool) {
	shown := make(taskSet, 0, len(machine.Tasks))
	for i := range machine.Tasks {
		status := &machine.Tasks[i]
		record := records.Lookup(status.Task)
		if !machine.matches(status, &record) {
			continue
		}
		shown.add(record.Binding.Task)
		if !yield(Observation{Kind: classifyBound(status, &record), Binding: record.Binding, Status: status}) {
			return
		}
	}
	if len(shown) == records.BindingCount() {
		return
	}
	for i := range records.BindingCount() {
		binding, bound := records.Binding(i)
		if !bound {
			continue
		}
		observation := Observation{Binding: binding}
		switch {
		case workerlease.IsReplaced(binding.Incarnation, machine.Incarnation):
			observation.Kind = IncarnationReplaced
		case machine.isStartRuledOut() && !shown.has(binding.Task) && records.MustStop(binding.Task):
			observation.Kind = TaskAbsent
		default:
			continue
		}
		if !yield(observation) {
			return
		}
	}
}

// classifyBound returns the kind of observation for a bound attempt in the heartbeat.
func classifyBound(status *wire.TaskStatus, record *TaskRecord) ObservationKind {
	if status.State != wire.StateExited {
		return TaskPresent
	}
	switch status.Reason {
	case wire.ReasonDone:
		if record.RunsToCompletion {
			return TaskCompleted
		}
	case wire.ReasonError:
		return TaskFailed
	case wire.ReasonNoCapacity, wire.ReasonOtherAttempt, wire.ReasonUnknownTask:
		return StartRefused
	}
	return TaskExited
}
