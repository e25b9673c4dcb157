package reconcile_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/wire"
)

// withStaleRecords is a machine when the records are not recent enough to start tasks.
func withStaleRecords(machine reconcile.MachineState) reconcile.MachineState {
	machine.StartsAllowed = false
	return machine
}

// differenceTest is a machine and the records, with the differences between them.
type differenceTest struct {
	name    string
	machine reconcile.MachineState
	records records
	want    []reconcile.Difference
}

var differenceTests = []differenceTest{
	{"nothing", confirmedMachine(), records{}, nil},
	{"all that is bound runs", confirmedMachine(taskStatus("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}}, nil},
	{"a task that is not bound", confirmedMachine(taskStatus("wk-1/0", 2, wire.Running)), records{},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"a task that is not bound, whatever may arrive", machineWithStartInFlight(taskStatus("wk-1/0", 2, wire.Fetching)), records{},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"a task that is not bound and saves: it is ended", confirmedMachine(taskStatus("wk-1/0", 2, wire.Saving)), records{},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"an earlier attempt is there: it is stopped, and the present one asked for", confirmedMachine(taskStatus("wk-1/0", 1, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, graceS: 4}}},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-1/0", Attempt: 1}, {Kind: reconcile.TaskToStart, TaskName: "wk-1/0", Attempt: 2}}},
	{"a task that is bound to an earlier incarnation", confirmedMachine(taskStatus("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 2}}},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"a leftover when no start can arrive", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonStopped)), records{},
		[]reconcile.Difference{{Kind: reconcile.ForgettableExitedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"a leftover while a start may arrive", machineWithStartInFlight(exitedTask("wk-1/0", 2, wire.ReasonStopped)), records{},
		[]reconcile.Difference{{Kind: reconcile.RetainedExitedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"a leftover before the token is shown", machineWithoutToken(exitedTask("wk-1/0", 2, wire.ReasonStopped)), records{},
		[]reconcile.Difference{{Kind: reconcile.RetainedExitedTask, TaskName: "wk-1/0", Attempt: 2}}},
	{"a forgotten leftover makes way for the next attempt", confirmedMachine(exitedTask("wk-1/0", 1, wire.ReasonError)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]reconcile.Difference{{Kind: reconcile.ForgettableExitedTask, TaskName: "wk-1/0", Attempt: 1}, {Kind: reconcile.TaskToStart, TaskName: "wk-1/0", Attempt: 2}}},
	{"a kept leftover has the next attempt refused", machineWithStartInFlight(exitedTask("wk-1/0", 1, wire.ReasonError)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}, {name: "wk-1/1", attempt: 1}}},
		[]reconcile.Difference{{Kind: reconcile.RetainedExitedTask, TaskName: "wk-1/0", Attempt: 1}, {Kind: reconcile.TaskToStart, TaskName: "wk-1/1", Attempt: 1}}},
	{"a record that can't be decoded may bind it", confirmedMachine(taskStatus("wk-1/0", 2, wire.Running), exitedTask("wk-1/1", 1, wire.ReasonDone)),
		records{unreadable: []string{"wk-1/0", "wk-1/1"}},
		[]reconcile.Difference{{Kind: reconcile.UnreadableRecord, TaskName: "wk-1/0", Attempt: 2}, {Kind: reconcile.UnreadableRecord, TaskName: "wk-1/1", Attempt: 1}}},
	{"an exited task whose end is to be stored", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}}, nil},
	{"a cancelled task", confirmedMachine(taskStatus("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStop, TaskName: "wk-1/0", Attempt: 2}}},
	{"a preempted task that can save", confirmedMachine(taskStatus("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true, graceS: 4}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStop, TaskName: "wk-1/0", Attempt: 2, GraceS: 4}}},
	{"a task that saves already", confirmedMachine(taskStatus("wk-1/0", 2, wire.Saving)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true, graceS: 4}}}, nil},
	{"a task that is to stop saving", confirmedMachine(taskStatus("wk-1/0", 2, wire.Saving)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStop, TaskName: "wk-1/0", Attempt: 2}}},
	{"a bound task that is not there", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStart, TaskName: "wk-1/0", Attempt: 2}}},
	{"a start that may be under way is repeated", machineWithStartInFlight(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStart, TaskName: "wk-1/0", Attempt: 2}}},
	{"a missing task that must stop", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}}, nil},
	{"a missing task of an earlier incarnation", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 2}}}, nil},
	{"a missing task of a later incarnation", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 4}}}, nil},
	{"a missing task whose attempt has ended", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, ended: true}}}, nil},
	{"a missing task of a gang that is bound in part", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, gangIncomplete: true}}}, nil},
	{"a missing task that is bound no more", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2, unbound: true}}}, nil},
	{"no start by an old read of the records", withStaleRecords(confirmedMachine()), records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}}, nil},
	{"stops by an old read of the records", withStaleRecords(confirmedMachine(taskStatus("wk-1/0", 2, wire.Running), taskStatus("wk-9/0", 1, wire.Running))),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}, {name: "wk-1/1", attempt: 1}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStop, TaskName: "wk-1/0", Attempt: 2}, {Kind: reconcile.UnexpectedTask, TaskName: "wk-9/0", Attempt: 1}}},
	{"a task that a heartbeat names twice hides no other", confirmedMachine(taskStatus("wk-1/0", 2, wire.Running), taskStatus("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}, {name: "wk-1/1", attempt: 1}}},
		[]reconcile.Difference{{Kind: reconcile.TaskToStart, TaskName: "wk-1/1", Attempt: 1}}},
	{"stops in the order of the heartbeat, then starts in the order of the bindings",
		confirmedMachine(taskStatus("wk-9/0", 1, wire.Running), exitedTask("wk-8/0", 1, wire.ReasonDone), taskStatus("wk-1/2", 1, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/1", attempt: 1}, {name: "wk-1/2", attempt: 1, mustStop: true, graceS: 2}, {name: "wk-1/0", attempt: 2}}},
		[]reconcile.Difference{{Kind: reconcile.UnexpectedTask, TaskName: "wk-9/0", Attempt: 1}, {Kind: reconcile.ForgettableExitedTask, TaskName: "wk-8/0", Attempt: 1},
			{Kind: reconcile.TaskToStop, TaskName: "wk-1/2", Attempt: 1, GraceS: 2}, {Kind: reconcile.TaskToStart, TaskName: "wk-1/1", Attempt: 1}, {Kind: reconcile.TaskToStart, TaskName: "wk-1/0", Attempt: 2}}},
}

func TestDifferences(t *testing.T) {
	for _, x := range differenceTests {
		t.Run(x.name, func(t *testing.T) {
			if d := cmp.Diff(x.want, reconcile.Differences(x.machine, &x.records)); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestDifferenceCommands(t *testing.T) {
	grace, none := 4.0, 0.0
	for _, x := range []struct {
		difference reconcile.DifferenceKind
		graceS     float64
		want       *wire.Command // nil: none
	}{
		{reconcile.UnexpectedTask, 0, &wire.Command{Op: wire.OpStop, Task: "wk-1/0", Attempt: 2, GraceS: &none}},
		{reconcile.ForgettableExitedTask, 0, &wire.Command{Op: wire.OpForget, Task: "wk-1/0", Attempt: 2}},
		{reconcile.RetainedExitedTask, 0, nil},
		{reconcile.UnreadableRecord, 0, nil},
		{reconcile.TaskToStop, 4, &wire.Command{Op: wire.OpStop, Task: "wk-1/0", Attempt: 2, GraceS: &grace}},
		{reconcile.TaskToStop, 0, &wire.Command{Op: wire.OpStop, Task: "wk-1/0", Attempt: 2, GraceS: &none}},
		{reconcile.TaskToStart, 0, &wire.Command{Op: wire.OpStart, Task: "wk-1/0", Attempt: 2}},
	} {
		difference := reconcile.Difference{Kind: x.difference, TaskName: "wk-1/0", Attempt: 2, GraceS: x.graceS}
		got, ok := difference.Command()
		if ok != (x.want != nil) {
			t.Errorf("case %d has a command: %v, want %v", x.difference, ok, x.want != nil)
		}
		if x.want != nil {
			if d := cmp.Diff(*x.want, got); d != "" {
				t.Errorf("case %d: %s", x.difference, d)
			}
		}
	}
}

// Where all that is bound is shown, nothing is asked of the bindings: it comes with every
// heartbeat.
func TestDifferencesSkipQueriesWhenAllTasksAreShown(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1}, {name: "wk-1/1", attempt: 1}}}
	machine := confirmedMachine(taskStatus("wk-1/0", 1, wire.Running), taskStatus("wk-1/1", 1, wire.Running))
	if got := reconcile.Differences(machine, r); len(got) > 0 || r.bindingQueries > 0 {
		t.Errorf("differences %v, and asked for %d bindings", got, r.bindingQueries)
	}
}
