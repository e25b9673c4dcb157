package reconcile_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/wire"
)

// observedTask is a finding as the rows state it.
type observedTask struct {
	kind        reconcile.ObservationKind
	task        string
	attempt     uint64
	inHeartbeat bool // by the heartbeat
}

// observationTest is a machine and the records, with the findings that follow.
type observationTest struct {
	name    string
	machine reconcile.MachineState
	records records
	want    []observedTask
}

var observationTests = []observationTest{
	{"nothing", confirmedMachine(), records{}, nil},
	{"a task that runs", confirmedMachine(taskStatus("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"a task that fetches its image", confirmedMachine(taskStatus("wk-1/0", 2, wire.Fetching)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"a task that saves, and has to stop", confirmedMachine(taskStatus("wk-1/0", 2, wire.Saving)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]observedTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"a task that completed", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskCompleted, "wk-1/0", 2, true}}},
	{"a replica of a service that exited by itself", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, service: true}}},
		[]observedTask{{reconcile.TaskExited, "wk-1/0", 2, true}}},
	{"a task that failed", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonError)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskFailed, "wk-1/0", 2, true}}},
	{"starts that are refused", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonNoRoom), exitedTask("wk-1/1", 1, wire.ReasonInUse), exitedTask("wk-1/2", 1, wire.ReasonUnknownTask)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}, {name: "wk-1/1", attempt: 1}, {name: "wk-1/2", attempt: 1}}},
		[]observedTask{{reconcile.StartRefused, "wk-1/0", 2, true}, {reconcile.StartRefused, "wk-1/1", 1, true}, {reconcile.StartRefused, "wk-1/2", 1, true}}},
	{"a task that was stopped", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonStopped)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskExited, "wk-1/0", 2, true}}},
	{"a gang's task whose peers are gone", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonPeersGone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskExited, "wk-1/0", 2, true}}},
	{"an exit is a proof whatever may arrive", machineWithStartInFlight(exitedTask("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskCompleted, "wk-1/0", 2, true}}},
	{"an exit of an earlier attempt, in a late copy of a heartbeat", confirmedMachine(exitedTask("wk-1/0", 1, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}}, nil},
	{"an exit of a task that is not bound", confirmedMachine(exitedTask("wk-1/0", 1, wire.ReasonDone)), records{}, nil},
	{"an exit, bound to an earlier incarnation", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 2}}},
		[]observedTask{{reconcile.IncarnationReplaced, "wk-1/0", 2, false}}},
	{"an earlier incarnation, whatever may arrive", machineWithStartInFlight(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 2}}},
		[]observedTask{{reconcile.IncarnationReplaced, "wk-1/0", 2, false}}},
	{"a later incarnation than that of the heartbeat", confirmedMachine(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 4}}}, nil},
	{"absent and wanted", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}}, nil},
	{"absent and cancelled", confirmedMachine(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]observedTask{{reconcile.TaskAbsent, "wk-1/0", 2, false}}},
	{"cancelled and still running, another is missing", confirmedMachine(taskStatus("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}, {name: "wk-1/1", attempt: 1}}},
		[]observedTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"absent and cancelled, another attempt is there", confirmedMachine(taskStatus("wk-1/0", 1, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]observedTask{{reconcile.TaskAbsent, "wk-1/0", 2, false}}},
	{"absent without proof: a start is under way or unanswered", machineWithStartInFlight(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}}, nil},
	{"absent without proof: the token has not been shown", machineWithoutToken(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}}, nil},
	{"bound no more", confirmedMachine(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true, unbound: true}}}, nil},
	{"a task that a heartbeat names twice hides no other", confirmedMachine(taskStatus("wk-1/0", 2, wire.Running), taskStatus("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}, {name: "wk-1/1", attempt: 1, mustStop: true}}},
		[]observedTask{{reconcile.TaskPresent, "wk-1/0", 2, true}, {reconcile.TaskPresent, "wk-1/0", 2, true}, {reconcile.TaskAbsent, "wk-1/1", 1, false}}},
	{"in the order of the heartbeat, then of the bindings", confirmedMachine(exitedTask("wk-1/3", 1, wire.ReasonError), taskStatus("wk-1/1", 1, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}, {name: "wk-1/1", attempt: 1}, {name: "wk-1/2", attempt: 1, incarnation: 1}, {name: "wk-1/3", attempt: 1}}},
		[]observedTask{{reconcile.TaskFailed, "wk-1/3", 1, true}, {reconcile.TaskPresent, "wk-1/1", 1, true}, {reconcile.TaskAbsent, "wk-1/0", 2, false}, {reconcile.IncarnationReplaced, "wk-1/2", 1, false}}},
}

func TestObservations(t *testing.T) {
	for _, x := range observationTests {
		t.Run(x.name, func(t *testing.T) {
			var got []observedTask
			for f := range reconcile.Observations(x.machine, &x.records) {
				got = append(got, observedTask{f.Kind, x.records.TaskName(f.Binding.Task), f.Binding.Attempt, f.Status != nil})
				if ends := f.Kind != reconcile.TaskPresent; f.ProvesEnd() != ends {
					t.Errorf("case %d ends the attempt: %v, want %v", f.Kind, f.ProvesEnd(), ends)
				}
			}
			if d := cmp.Diff(x.want, got, cmp.AllowUnexported(observedTask{})); d != "" {
				t.Error(d)
			}
		})
	}
}

// The end of one attempt may be why the next one has to stop: whether it does is asked after
// the first has been handled.
func TestObservationsQueryRecordsLazily(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1, incarnation: 2}, {name: "wk-1/1", attempt: 1}}}
	var got []string
	for f := range reconcile.Observations(confirmedMachine(), r) {
		got = append(got, r.TaskName(f.Binding.Task))
		r.bound[1].mustStop = true
	}
	if want := []string{"wk-1/0", "wk-1/1"}; !slices.Equal(got, want) {
		t.Errorf("ends %v, want %v", got, want)
	}
}

// Who has seen enough asks for nothing more.
func TestObservationsStopWhenLoopBreaks(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1, incarnation: 2}, {name: "wk-1/1", attempt: 1, mustStop: true}, {name: "wk-1/2", attempt: 1}}}
	for range reconcile.Observations(confirmedMachine(taskStatus("wk-1/2", 1, wire.Running)), r) {
		break
	}
	for f := range reconcile.Observations(confirmedMachine(), r) {
		if f.Kind == reconcile.IncarnationReplaced {
			break
		}
	}
	if len(r.mustStopQueries) > 0 {
		t.Errorf("asked whether %v must stop", r.mustStopQueries)
	}
}

// What a machine shows is enough where nothing is missing: whether a task must stop may be
// costly to tell, and heartbeats come hundreds of times a second.
func TestObservationsSkipQueriesWhenAllTasksAreShown(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1}, {name: "wk-1/1", attempt: 1}}}
	for range reconcile.Observations(confirmedMachine(taskStatus("wk-1/0", 1, wire.Running), taskStatus("wk-1/1", 1, wire.Running)), r) {
	}
	if len(r.mustStopQueries) > 0 || r.bindingQueries > 0 {
		t.Errorf("asked whether %v must stop, and for %d bindings", r.mustStopQueries, r.bindingQueries)
	}
}
