package reconcile

import (
	"iter"

	"eiderhitch/internal/wire"
)

// ObservationKind is what has become of a bound attempt.
type ObservationKind int

const (
	// TaskPresent is an attempt that is on the machine and has not exited.
	TaskPresent ObservationKind = iota
	// TaskCompleted is one that ran to completion.
	TaskCompleted
	// TaskFailed is one that exited with an error.
	TaskFailed
	// StartRefused is one that the worker refused to start.
	StartRefused
	// TaskExited is one that exited for another reason, as when it was stopped.
	TaskExited
	// IncarnationReplaced is one that was bound to an earlier incarnation of the machine's
	// agent. The lease of that expired: the agent has ended all of its tasks.
	IncarnationReplaced
	// TaskAbsent is one that has to stop, is not on the machine, and of which no start can
	// arrive any more.
	TaskAbsent
)

// Observation is what has become of one bound attempt.
type Observation struct {
	Kind    ObservationKind
	Binding Binding
	// Status is the task in the heartbeat; nil if it does not show it.
	Status *wire.TaskStatus
}

// ProvesEnd reports whether it proves the end of the attempt.
func (f *Observation) ProvesEnd() bool { return f.Kind != TaskPresent }

// Observations yields what has become of the attempts that are bound to a machine: first those
// that the heartbeat shows, in its order, then the others that are proven to have ended, in
// the order of the bindings. Nothing is known of those that are left out.
//
// The records are asked about a binding only when its turn comes: the end of one attempt may
// be why the next one has to stop, as with the tasks of a gang.
func Observations(machine MachineState, records Records) iter.Seq[Observation] {
	return func(yield func(Observation) bool) { yieldObservations(machine, records, yield) }
}

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
		finding := Observation{Binding: binding}
		switch {
		case binding.Incarnation < machine.Incarnation:
			finding.Kind = IncarnationReplaced
		case machine.isStartRuledOut() && !shown.has(binding.Task) && records.MustStop(binding.Task):
			finding.Kind = TaskAbsent
		default:
			continue
		}
		if !yield(finding) {
			return
		}
	}
}

// classifyBound tells what a heartbeat says of a bound attempt that it shows.
func classifyBound(status *wire.TaskStatus, record *TaskRecord) ObservationKind {
	if status.State != wire.Exited {
		return TaskPresent
	}
	switch status.Reason {
	case wire.ReasonDone:
		if record.RunsToCompletion {
			return TaskCompleted
		}
	case wire.ReasonError:
		return TaskFailed
	case wire.ReasonNoRoom, wire.ReasonInUse, wire.ReasonUnknownTask:
		return StartRefused
	}
	return TaskExited
}
