package reconcile_test

import (
	"slices"

	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// currentIncarnation is the incarnation of the machine's agent in all tests.
const currentIncarnation = 3

// boundTask is an entry of records.bound. Its index there is the number of the task.
type boundTask struct {
	name    string
	attempt uint64
	// incarnation is the incarnation that the task is bound to. Zero means currentIncarnation.
	incarnation    uint64
	service        bool
	mustStop       bool
	graceS         float64
	ended          bool
	gangIncomplete bool
	// unbound is set if the machine's list of bindings still has the task, but its record no
	// longer binds it.
	unbound bool
}

// records implements reconcile.Records for the tests.
type records struct {
	bound      []boundTask
	unreadable []string // tasks that an unreadable record may bind
	// mustStopQueries holds the tasks for which MustStop was called.
	mustStopQueries []string
	// bindingQueries is the number of calls of Binding.
	bindingQueries int
}

func (r *records) binding(i int) reconcile.Binding {
	incarnation := r.bound[i].incarnation
	if incarnation == 0 {
		incarnation = currentIncarnation
	}
	return reconcile.Binding{Task: scheduling.TaskID{Group: 7, Number: int32(i)}, Attempt: r.bound[i].attempt, Incarnation: incarnation}
}

func (r *records) Lookup(task string) reconcile.TaskRecord {
	i := slices.IndexFunc(r.bound, func(b boundTask) bool { return b.name == task && !b.unbound })
	if i < 0 {
		return reconcile.TaskRecord{Unreadable: slices.Contains(r.unreadable, task)}
	}
	return reconcile.TaskRecord{Bound: true, Binding: r.binding(i), RunsToCompletion: !r.bound[i].service}
}

func (r *records) BindingCount() int { return len(r.bound) }

func (r *records) Binding(i int) (reconcile.Binding, bool) {
	r.bindingQueries++
	return r.binding(i), !r.bound[i].unbound
}

func (r *records) TaskName(task scheduling.TaskID) string { return r.bound[task.Number].name }

func (r *records) MustStop(task scheduling.TaskID) bool {
	r.mustStopQueries = append(r.mustStopQueries, r.bound[task.Number].name)
	return r.bound[task.Number].mustStop
}

func (r *records) StopGraceS(task scheduling.TaskID) float64 { return r.bound[task.Number].graceS }

func (r *records) HasEnded(binding reconcile.Binding) bool { return r.bound[binding.Task.Number].ended }

func (r *records) IsGangComplete(task scheduling.TaskID) bool {
	return !r.bound[task.Number].gangIncomplete
}

// confirmedMachine returns a machine with the given tasks in its newest heartbeat, for which no
// start command can arrive any more.
func confirmedMachine(tasks ...wire.TaskStatus) reconcile.MachineState {
	return reconcile.MachineState{Incarnation: currentIncarnation, TokenConfirmed: true, StartsAllowed: true, Tasks: tasks}
}

// machineWithStartInFlight returns a machine for which a start command may still arrive.
func machineWithStartInFlight(tasks ...wire.TaskStatus) reconcile.MachineState {
	machine := confirmedMachine(tasks...)
	machine.StartInFlight = true
	return machine
}

// machineWithoutToken returns a machine whose heartbeat doesn't show its owner's token.
func machineWithoutToken(tasks ...wire.TaskStatus) reconcile.MachineState {
	machine := confirmedMachine(tasks...)
	machine.TokenConfirmed = false
	return machine
}

func taskStatus(name string, attempt uint64, state string) wire.TaskStatus {
	return wire.TaskStatus{Task: name, Attempt: attempt, State: state}
}

func exitedTask(name string, attempt uint64, reason string) wire.TaskStatus {
	return wire.TaskStatus{Task: name, Attempt: attempt, State: wire.StateExited, Reason: reason}
}
