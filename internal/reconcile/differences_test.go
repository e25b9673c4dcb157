package reconcile_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/wire"
)

// withStaleRecords returns the machine with records that are too old to start tasks.
func withStaleRecords(machine reconcile.MachineState) reconcile.MachineState {
	machine.StartsAllowed = false
	return machine
}

// differenceTest holds a machine and the records, with the expected differences.
type differenceTest struct {
	name    string
	machine reconcile.MachineState
	records records
	want    []reconcile.Difference
}

var differenceTests = []differenceTest{
	{"no tasks", confirmedMachine(), records{}, nil},
	{"all bound tasks run", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}}, nil},
	{"a task that is not bound", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning)), records{},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"a task that is not bound, with a start in flight", machineWithStartInFlight(taskStatus("wk-1/0", 2, wire.StateFetchingImage)), records{},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"a task that is not bound is stopped while it saves", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateSavingCheckpoint)), records{},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"an earlier attempt is stopped and the current one started", confirmedMachine(taskStatus("wk-1/0", 1, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, graceS: 4}}},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-1/0", Attempt: 1}, {Kind: reconcile.TaskToStart, TaskName: "wk-1/0", Attempt: 2}}},
	{"a task bound to an earlier incarnation", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 2}}},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"an unbound exited task when no start can arrive", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonStopped)), records{},
		[]reconcile.Difference{{Kind: reconcile.ForgettableExitedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"an unbound exited task with a start in flight", machineWithStartInFlight(exitedTask("wk-1/0", 2, wire.ReasonStopped)), records{},
		[]reconcile.Difference{{Kind: reconcile.RetainedExitedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"an unbound exited task before the token is confirmed", machineWithoutToken(exitedTask("wk-1/0", 2, wire.ReasonStopped)), records{},
		[]reconcile.Difference{{Kind: reconcile.RetainedExitedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"the next attempt starts when the exited one is forgotten", confirmedMachine(exitedTask("wk-1/0", 1, wire.ReasonError)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]reconcile.Difference{{Kind: reconcile.ForgettableExitedTask, TaskName: "wk-1/0", Attempt: 1}, {Kind: reconcile.TaskToStart, TaskName: "wk-1/0", Attempt: 2}}},
	{"the next attempt doesn't start while the exited one is retained", machineWithStartInFlight(exitedTask("wk-1/0", 1, wire.ReasonError)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}, {name: "wk-1/1", attempt: 1}}},
		[]reconcile.Difference{{Kind: reconcile.RetainedExitedTask, TaskName: "wk-1/0", Attempt: 1}, {Kind: reconcile.TaskToStart, TaskName: "wk-1/1", Attempt: 1}}},
	{"tasks that an unreadable record may bind", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning), exitedTask("wk-1/1", 1, wire.ReasonDone)),
		records{unreadable: []string{"wk-1/0", "wk-1/1"}},
		[]reconcile.Difference{{Kind: reconcile.UnreadableRecord, TaskName: "wk-1/0", Attempt: 2}, {Kind: reconcile.UnreadableRecord, TaskName: "wk-1/1", Attempt: 1}}},
	{"a bound task that has exited", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}}, nil},
	{"a cancelled task", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStop, TaskName: "wk-1/0", Attempt: 2}}},
	{"a preempted task with time to save", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true, graceS: 4}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStop, TaskName: "wk-1/0", Attempt: 2, GraceS: 4}}},
	{"a stopped task that is already saving", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateSavingCheckpoint)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true, graceS: 4}}}, nil},
	{"a saving task without time left to save", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateSavingCheckpoint)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStop, TaskName: "wk-1/0", Attempt: 2}}},
	{"a bound task that is missing", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStart, TaskName: "wk-1/0", Attempt: 2}}},
	{"a start that may be in flight is repeated", machineWithStartInFlight(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStart, TaskName: "wk-1/0", Attempt: 2}}},
	{"a missing task that must stop", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}}, nil},
	{"a missing task bound to an earlier incarnation", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 2}}}, nil},
	{"a missing task bound to a later incarnation", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 4}}}, nil},
	{"a missing task whose attempt has ended", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, ended: true}}}, nil},
	{"a missing task of a partially bound gang", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, gangIncomplete: true}}}, nil},
	{"a missing task that is no longer bound", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, unbound: true}}}, nil},
	{"stale records start no task", withStaleRecords(confirmedMachine()), records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}}, nil},
	{"stale records stop tasks", withStaleRecords(confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning), taskStatus("wk-9/0", 1, wire.StateRunning))),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}, {name: "wk-1/1", attempt: 1}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStop, TaskName: "wk-1/0", Attempt: 2}, {Kind: reconcile.UnexpectedTask, TaskName: "wk-9/0", Attempt: 1}}},
	{"a task that is listed twice doesn't hide a missing one", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning), taskStatus("wk-1/0", 2, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}, {name: "wk-1/1", attempt: 1}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStart, TaskName: "wk-1/1", Attempt: 1}}},
	{"stops in the order of the heartbeat, then starts in the order of the bindings",
		confirmedMachine(taskStatus("wk-9/0", 1, wire.StateRunning), exitedTask("wk-8/0", 1, wire.ReasonDone), taskStatus("wk-1/2", 1, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/1", attempt: 1}, {name: "wk-1/2", attempt: 1, mustStop: true, graceS: 2}, {name: "wk-1/0", attempt: 2}}},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-9/0", Attempt: 1}, {Kind: reconcile.ForgettableExitedTask, TaskName: "wk-8/0", Attempt: 1},
			{Kind: reconcile.TaskToStop, TaskName: "wk-1/2", Attempt: 1, GraceS: 2}, {Kind: reconcile.TaskToStart, TaskName: "wk-1/1", Attempt: 1}, {Kind: reconcile.TaskToStart, TaskName: "wk-1/0", Attempt: 2}}},
}

func TestDifferences(t *testing.T) {
	for _, test := range differenceTests {
		t.Run(test.name, func(t *testing.T) {
			if d := cmp.Diff(test.want, reconcile.Differences(test.machine, &test.records)); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestDifferenceCommands(t *testing.T) {
	grace, none := 4.0, 0.0
	for _, test := range []struct {
		difference reconcile.DifferenceKind
		graceS     float64
		want       *wire.Command // nil if there is no command
	}{
		{reconcile.UnexpectedTask, 0, &wire.Command{Op: wire.OpStop, Task: "wk-1/0", Attempt: 2, GraceS: &none}},
		{reconcile.ForgettableExitedTask, 0, &wire.Command{Op: wire.OpForget, Task: "wk-1/0", Attempt: 2}},
		{reconcile.RetainedExitedTask, 0, nil},
		{reconcile.UnreadableRecord, 0, nil},
		{reconcile.TaskToStop, 4, &wire.Command{Op: wire.OpStop, Task: "wk-1/0", Attempt: 2, GraceS: &grace}},
		{reconcile.TaskToStop, 0, &wire.Command{Op: wire.OpStop, Task: "wk-1/0", Attempt: 2, GraceS: &none}},
		{reconcile.TaskToStart, 0, &wire.Command{Op: wire.OpStart, Task: "wk-1/0", Attempt: 2}},
	} {
		difference := reconcile.Difference{Kind: test.difference, TaskName: "wk-1/0", Attempt: 2, GraceS: test.graceS}
		got, ok := difference.Command()
		if ok != (test.want != nil) {
			t.Errorf("difference of kind %d has a command: %v, want %v", test.difference, ok, test.want != nil)
		}
		if test.want != nil {
			if d := cmp.Diff(*test.want, got); d != "" {
				t.Errorf("command for a difference of kind %d: %s", test.difference, d)
			}
		}
	}
}

// Differences doesn't query the bindings if the heartbeat shows all bound tasks. This is the
// usual case, and heartbeats come hundreds of times a second.
func TestDifferencesSkipQueriesWhenAllTasksAreShown(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1}, {name: "wk-1/1", attempt: 1}}}
	machine := confirmedMachine(taskStatus("wk-1/0", 1, wire.StateRunning), taskStatus("wk-1/1", 1, wire.StateRunning))
	if got := reconcile.Differences(machine, r); len(got) > 0 || r.bindingQueries > 0 {
		t.Errorf("got differences %v and %d queries of bindings, want none", got, r.bindingQueries)
	}
}
