package reconcile_test

import (
	"slices"

	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// incarnation is that of the machine's agent in all rows.
const currentIncarnation = 3

// boundTask is a bound task of the rows. Its number is its place among the bound tasks.
type boundTask struct {
	name    string
	attempt uint64
	// incarnation is what it is bound to; 0: the present one.
	incarnation    uint64
	service        bool
	mustStop       bool
	graceS         float64
	ended          bool
	gangIncomplete bool
	// unbound: the machine's list of bindings still has it, its record no more.
	unbound bool
}

// records are the stored records of a row.
type records struct {
	bound      []boundTask
	unreadable []string // tasks that a record may have that can't be decoded
	// mustStopQueries are the tasks for which MustStop was asked.
	mustStopQueries []string
	// bindingQueries counts the calls of Binding.
	bindingQueries int
}

func (r *records) binding(i int) reconcile.Binding {
	since := r.bound[i].incarnation
	if since == 0 {
		since = currentIncarnation
	}
	return reconcile.Binding{Task: scheduling.TaskID{Group: 7, Number: int32(i)}, Attempt: r.bound[i].attempt, Incarnation: since}
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

// settled is a machine of which no start can arrive any more, with the tasks of its newest
// heartbeat.
func confirmedMachine(tasks ...wire.TaskStatus) reconcile.MachineState {
	return reconcile.MachineState{Incarnation: currentIncarnation, TokenConfirmed: true, StartsAllowed: true, Tasks: tasks}
}

// machineWithStartInFlight is a machine to which a start may be under way.
func machineWithStartInFlight(tasks ...wire.TaskStatus) reconcile.MachineState {
	machine := confirmedMachine(tasks...)
	machine.StartInFlight = true
	return machine
}

// machineWithoutToken is a machine that has not shown its owner's token.
func machineWithoutToken(tasks ...wire.TaskStatus) reconcile.MachineState {
	machine := confirmedMachine(tasks...)
	machine.TokenConfirmed = false
	return machine
}

func taskStatus(name string, attempt uint64, state string) wire.TaskStatus {
	return wire.TaskStatus{Task: name, Attempt: attempt, State: state}
}

func exitedTask(name string, attempt uint64, reason string) wire.TaskStatus {
	return wire.TaskStatus{Task: name, Attempt: attempt, State: wire.Exited, Reason: reason}
}
