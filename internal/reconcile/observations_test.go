package reconcile_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/wire"
)

// observedTask is an observation in the form that the tests compare.
type observedTask struct {
	kind        reconcile.ObservationKind
	task        string
	attempt     uint64
	inHeartbeat bool
}

// observationTest holds a machine and the records, with the expected observations.
type observationTest struct {
	name    string
	machine reconcile.MachineState
	records records
	want    []observedTask
}

var observationTests = []observationTest{
	{"no tasks", confirmedMachine(), records{}, nil},
	{"a task that runs", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"a task that fetches its image", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateFetchingImage)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"a task that saves and must stop", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateSavingCheckpoint)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]observedTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"a task that completed", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskCompleted, "wk-1/0", 2, true}}},
	{"a service replica that exited by itself", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, service: true}}},
		[]observedTask{{reconcile.TaskExited, "wk-1/0", 2, true}}},
	{"a task that failed", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonError)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskFailed, "wk-1/0", 2, true}}},
	{"refused starts", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonNoCapacity), exitedTask("wk-1/1", 1, wire.ReasonOtherAttempt), exitedTask("wk-1/2", 1, wire.ReasonUnknownTask)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}, {name: "wk-1/1", attempt: 1}, {name: "wk-1/2", attempt: 1}}},
		[]observedTask{{reconcile.StartRefused, "wk-1/0", 2, true}, {reconcile.StartRefused, "wk-1/1", 1, true}, {reconcile.StartRefused, "wk-1/2", 1, true}}},
	{"a task that was stopped", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonStopped)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskExited, "wk-1/0", 2, true}}},
	{"a gang's task that exited because another task of the gang did", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonGangTaskEnded)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskExited, "wk-1/0", 2, true}}},
	{"an exit proves the end even with a start in flight", machineWithStartInFlight(exitedTask("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]observedTask{{reconcile.TaskCompleted, "wk-1/0", 2, true}}},
	{"an exit of an earlier attempt in a delayed heartbeat", confirmedMachine(exitedTask("wk-1/0", 1, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}}, nil},
	{"an exit of a task that is not bound", confirmedMachine(exitedTask("wk-1/0", 1, wire.ReasonDone)), records{}, nil},
	{"an exited task bound to an earlier incarnation", confirmedMachine(exitedTask("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 2}}},
		[]observedTask{{reconcile.IncarnationReplaced, "wk-1/0", 2, false}}},
	{"a task bound to an earlier incarnation, with a start in flight", machineWithStartInFlight(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 2}}},
		[]observedTask{{reconcile.IncarnationReplaced, "wk-1/0", 2, false}}},
	{"a task bound to a later incarnation", confirmedMachine(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, incarnation: 4}}}, nil},
	{"an absent task that must run", confirmedMachine(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}}, nil},
	{"an absent task that is cancelled", confirmedMachine(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]observedTask{{reconcile.TaskAbsent, "wk-1/0", 2, false}}},
	{"a cancelled task that still runs, and another that is missing", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}, {name: "wk-1/1", attempt: 1}}},
		[]observedTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"an absent cancelled task of which another attempt is present", confirmedMachine(taskStatus("wk-1/0", 1, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]observedTask{{reconcile.TaskAbsent, "wk-1/0", 2, false}}},
	{"an absent task that a start in flight may still start", machineWithStartInFlight(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}}, nil},
	{"an absent task while the token is not confirmed", machineWithoutToken(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}}, nil},
	{"an absent task that is no longer bound", confirmedMachine(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true, unbound: true}}}, nil},
	{"a task that is listed twice doesn't hide an absent one", confirmedMachine(taskStatus("wk-1/0", 2, wire.StateRunning), taskStatus("wk-1/0", 2, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}, {name: "wk-1/1", attempt: 1, mustStop: true}}},
		[]observedTask{{reconcile.TaskPresent, "wk-1/0", 2, true}, {reconcile.TaskPresent, "wk-1/0", 2, true}, {reconcile.TaskAbsent, "wk-1/1", 1, false}}},
	{"tasks in the order of the heartbeat, then of the bindings", confirmedMachine(exitedTask("wk-1/3", 1, wire.ReasonError), taskStatus("wk-1/1", 1, wire.StateRunning)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}, {name: "wk-1/1", attempt: 1}, {name: "wk-1/2", attempt: 1, incarnation: 1}, {name: "wk-1/3", attempt: 1}}},
		[]observedTask{{reconcile.TaskFailed, "wk-1/3", 1, true}, {reconcile.TaskPresent, "wk-1/1", 1, true}, {reconcile.TaskAbsent, "wk-1/0", 2, false}, {reconcile.IncarnationReplaced, "wk-1/2", 1, false}}},
}

func TestObservations(t *testing.T) {
	for _, test := range observationTests {
		t.Run(test.name, func(t *testing.T) {
			var got []observedTask
			for observation := range reconcile.Observations(test.machine, &test.records) {
				got = append(got, observedTask{observation.Kind, test.records.TaskName(observation.Binding.Task), observation.Binding.Attempt, observation.Status != nil})
				if ends := observation.Kind != reconcile.TaskPresent; observation.ProvesEnd() != ends {
					t.Errorf("observation of kind %d proves the end: %v, want %v", observation.Kind, observation.ProvesEnd(), ends)
				}
			}
			if d := cmp.Diff(test.want, got, cmp.AllowUnexported(observedTask{})); d != "" {
				t.Error(d)
			}
		})
	}
}

// The end of one attempt may be the reason why the next one must stop, so Observations queries
// the records about the next one only after the first has been handled.
func TestObservationsQueryRecordsLazily(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1, incarnation: 2}, {name: "wk-1/1", attempt: 1}}}
	var got []string
	for observation := range reconcile.Observations(confirmedMachine(), r) {
		got = append(got, r.TaskName(observation.Binding.Task))
		r.bound[1].mustStop = true
	}
	if want := []string{"wk-1/0", "wk-1/1"}; !slices.Equal(got, want) {
		t.Errorf("observed tasks %v, want %v", got, want)
	}
}

// No records are queried after the loop over the observations has ended early.
func TestObservationsStopWhenLoopBreaks(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1, incarnation: 2}, {name: "wk-1/1", attempt: 1, mustStop: true}, {name: "wk-1/2", attempt: 1}}}
	for range reconcile.Observations(confirmedMachine(taskStatus("wk-1/2", 1, wire.StateRunning)), r) {
		break
	}
	for observation := range reconcile.Observations(confirmedMachine(), r) {
		if observation.Kind == reconcile.IncarnationReplaced {
			break
		}
	}
	if len(r.mustStopQueries) > 0 {
		t.Errorf("got queries whether tasks %v must stop, want none", r.mustStopQueries)
	}
}

// Observations doesn't query the bindings if the heartbeat shows all bound tasks: it may be
// expensive to find out whether a task must stop, and heartbeats come hundreds of times a second.
func TestObservationsSkipQueriesWhenAllTasksAreShown(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1}, {name: "wk-1/1", attempt: 1}}}
	for range reconcile.Observations(confirmedMachine(taskStatus("wk-1/0", 1, wire.StateRunning), taskStatus("wk-1/1", 1, wire.StateRunning)), r) {
	}
	if len(r.mustStopQueries) > 0 || r.bindingQueries > 0 {
		t.Errorf("got queries whether tasks %v must stop and %d queries of bindings, want none", r.mustStopQueries, r.bindingQueries)
	}
}
