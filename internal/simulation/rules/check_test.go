package rules

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// epoch is when the traces begin.
var epoch = time.Unix(1_000_000, 0)

// timeAt returns the time that is the given number of seconds after epoch.
func timeAt(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// respond returns the response to a request about a job that is made at the given second. The
// response arrives half a second later.
func respond(seconds float64, id string, operation trace.Operation, status int, state string) trace.Response {
	return trace.Response{At: timeAt(seconds + 0.5), RequestedAt: timeAt(seconds), Operation: operation, Job: id, Status: status, State: state}
}

// query returns the response to a query of a job's state.
func query(seconds float64, id string, status int, state string) trace.Response {
	return respond(seconds, id, trace.Query, status, state)
}

// cancel returns the successful response to a cancellation.
func cancel(seconds float64, id string) trace.Response {
	return respond(seconds, id, trace.Cancel, http.StatusOK, wire.StateCancelled)
}

// submit returns the successful response to a submission that is made at second 1.
func submit(spec *wire.Job) trace.Response {
	e := respond(1, spec.ID, trace.Submit, http.StatusCreated, wire.StateQueued)
	e.Spec = spec
	return e
}

// completed returns the event that a task's result was saved.
func completed(seconds float64, task string) trace.Event {
	return trace.TaskCompleted{At: timeAt(seconds), Task: task}
}

// runAttempt returns the events of a task attempt that runs on a machine from one second to
// another.
func runAttempt(attempt uint64, task, machine string, from, to float64) []trace.Event {
	return []trace.Event{
		trace.TaskAccepted{At: timeAt(from), Task: task, Machine: machine, Attempt: attempt},
		trace.TaskStarted{At: timeAt(from), Task: task, Machine: machine},
		trace.TaskStopped{At: timeAt(to), Task: task, Machine: machine},
	}
}

// run is runAttempt for attempt 0.
func run(task, machine string, from, to float64) []trace.Event {
	return runAttempt(0, task, machine, from, to)
}

// testJob returns a job with two tasks, which together use all CPUs of a machine.
func testJob(id string) *wire.Job {
	return &wire.Job{ID: id, Team: "red", TaskCount: 2, CPUs: 2, RAMGB: 1}
}

// testMachines returns the boot events of m1 and m3, two on-demand machines in zone a, and of
// the spot machine m2 in zone b.
func testMachines() []trace.Event {
	machine := func(name, typ, zone string, spot bool) trace.Event {
		return trace.MachineBooted{At: timeAt(0), Machine: name, Type: typ, Zone: zone, Spot: spot, Capacity: scheduling.NewResources(4, 0, 64)}
	}
	return []trace.Event{machine("m1", "small", "a", false), machine("m2", "small", "b", true), machine("m3", "large", "a", false)}
}

// ended is the last event of the traces that need one.
var recordingEnded = trace.RecordingEnded{At: timeAt(400)}

// ruleCase is a trace without violations and events that, once added, violate at most one
// rule.
type ruleCase struct {
	name          string
	violated      Rule    // the rule that the added events violate; "" means none
	faultsEndedAt float64 // when all faults have ended, in seconds; 0 means never
	baseEvents    []trace.Event
	addedEvents   []trace.Event
}

// check checks the trace of a case without and with the added events.
func (x *ruleCase) check(t *testing.T) {
	t.Helper()
	expected := Expectations{CancellationTimeout: 35 * time.Second, Quotas: map[string]scheduling.Resources{"red": scheduling.NewResources(4, 0, 0)}}
	if x.faultsEndedAt > 0 {
		expected.FaultsEndedAt = timeAt(x.faultsEndedAt)
	}
	events := slices.Concat([]trace.Event{submit(testJob("wk-1"))}, testMachines(), x.baseEvents)
	if got := Check(events, expected); len(got) > 0 && x.violated != NoTaskStarted {
		t.Errorf("violations without the added events: %v, want none", got)
	}
	got := Check(append(events, x.addedEvents...), expected)
	if x.violated == "" && len(got) > 0 {
		t.Errorf("violations: %v, want none", got)
	}
	if x.violated != "" && (len(got) == 0 || got[0].Rule != x.violated) {
		t.Errorf("violations: %v, want %s first", got, x.violated)
	}
}

// Each rule reports a trace that violates it, and doesn't report the same trace without the
// events that violate it.
func TestEachRuleIsChecked(t *testing.T) {
	for _, group := range [][]ruleCase{placementCases(), cancellationCases(), availabilityCases(), responseCases(), waitingCases()} {
		for _, x := range group {
			t.Run(x.name, x.check)
		}
	}
}

func placementCases() []ruleCase {
	oneRun := run("wk-1/0", "m1", 2, 9)
	twoRuns := slices.Concat(oneRun, run("wk-1/1", "m1", 2, 9))
	otherJob := slices.Concat([]trace.Event{submit(testJob("wk-2"))}, run("wk-2/0", "m3", 4, 6))
	forgotten := func(attempt uint64) []trace.Event {
		return append(runAttempt(attempt, "wk-1/0", "m1", 2, 9), trace.TaskForgotten{At: timeAt(10), Task: "wk-1/0", Machine: "m1", Attempt: attempt})
	}
	return []ruleCase{
		{"on two machines at a time", RanOnTwoMachines, 0, oneRun, run("wk-1/0", "m3", 5, 8)},
		{"on two machines one after the other", "", 0, oneRun, run("wk-1/0", "m3", 9.5, 12)},
		{"limit", QuotaExceeded, 0, twoRuns, otherJob},
		{"team within its quota after a task stopped", "", 0, slices.Concat(run("wk-1/0", "m1", 2, 3), run("wk-1/1", "m1", 2, 9)), otherJob},
		{"forgotten attempt started again", StartedAfterForget, 0, forgotten(1), runAttempt(1, "wk-1/0", "m1", 12, 14)},
		{"earlier attempt than the forgotten one", StartedAfterForget, 0, forgotten(2), runAttempt(1, "wk-1/0", "m3", 12, 14)},
		{"next attempt after the forgotten one", "", 0, forgotten(1), runAttempt(2, "wk-1/0", "m1", 12, 14)},
		{"spot machine", WrongPlacement, 0, oneRun, run("wk-1/1", "m2", 3, 5)},
	}
}

func cancellationCases() []ruleCase {
	oneRun := run("wk-1/0", "m1", 2, 9)
	cancelledThen := func(events ...trace.Event) []trace.Event {
		return append([]trace.Event{cancel(3, "wk-1")}, events...)
	}
	neverStopped := run("wk-1/1", "m1", 4, 500)[:2]
	return []ruleCase{
		{"cancelled and still on its machine", RanAfterCancellation, 0, oneRun, cancelledThen(run("wk-1/1", "m1", 4, 50)...)},
		{"cancelled and started late", RanAfterCancellation, 0, oneRun, cancelledThen(run("wk-1/1", "m1", 40, 41)...)},
		{"cancelled and never stopped", RanAfterCancellation, 0, oneRun, cancelledThen(append(neverStopped, recordingEnded)...)},
		{"cancelled and stopped in time", "", 0, oneRun, cancelledThen(run("wk-1/1", "m1", 4, 30)...)},
	}
}

func availabilityCases() []ruleCase {
	oneRun := run("wk-1/0", "m1", 2, 9)
	var unanswered, othersAnswered []trace.Event
	for s := 10.0; s < 110; s += 5 {
		unanswered = append(unanswered, query(s, "wk-1", http.StatusServiceUnavailable, ""))
		othersAnswered = append(othersAnswered, query(s, "wk-2", http.StatusOK, wire.StateRunning))
	}
	submitOther := submit(testJob("wk-2"))
	submitOther.At, submitOther.RequestedAt = timeAt(2.5), timeAt(2)
	return []ruleCase{
		{"unanswered", AcceptedJobLost, 0, slices.Concat(oneRun, []trace.Event{submitOther}, othersAnswered), unanswered},
		{"all unanswered", "", 0, oneRun, unanswered},
		{"all unanswered after the faults", AcceptedJobLost, 15, oneRun, unanswered},
	}
}

func responseCases() []ruleCase {
	oneRun := run("wk-1/0", "m1", 2, 9)
	oneCompleted := append(slices.Clone(oneRun), completed(9, "wk-1/0"))
	bothCompleted := append(slices.Clone(oneCompleted), completed(9, "wk-1/1"))
	cancelledEvents := append(slices.Clone(oneRun), cancel(3, "wk-1"))
	doneResponse := query(10, "wk-1", http.StatusOK, wire.StateDone)
	refusedResponse := respond(4, "wk-1", trace.Submit, http.StatusUnprocessableEntity, "")
	refusedResponse.Spec = testJob("wk-1")
	oneEvent := func(e trace.Event) []trace.Event { return []trace.Event{e} }
	return []ruleCase{
		{"accepted, then unknown", AcceptedJobLost, 0, oneRun, oneEvent(query(4, "wk-1", http.StatusNotFound, ""))},
		{"accepted, then refused", AcceptedJobLost, 0, oneRun, oneEvent(refusedResponse)},
		{"never submitted", UnsubmittedJob, 0, oneRun, oneEvent(query(4, "wk-7", http.StatusOK, wire.StateQueued))},
		{"queried before it was submitted", "", 0, oneRun, oneEvent(query(0, "wk-1", http.StatusNotFound, ""))},
		{"done too early", DoneTooEarly, 0, oneCompleted, oneEvent(doneResponse)},
		{"same result reported twice", DoneTooEarly, 0, oneCompleted, []trace.Event{completed(9.5, "wk-1/0"), doneResponse}},
		{"done", "", 0, bothCompleted, oneEvent(doneResponse)},
		{"cancelled, then running", FinalStateChanged, 0, cancelledEvents, oneEvent(query(4, "wk-1", http.StatusOK, wire.StateRunning))},
		{"queried before the cancellation was answered", "", 0, cancelledEvents, oneEvent(query(3.1, "wk-1", http.StatusOK, wire.StateRunning))},
		{"done and cancelled", FinalStateChanged, 0, append(slices.Clone(bothCompleted), doneResponse), oneEvent(cancel(10, "wk-1"))},
		{"cancelled without a request", FinalStateChanged, 0, oneRun, oneEvent(query(4, "wk-1", http.StatusOK, wire.StateCancelled))},
		{"nothing", NoTaskStarted, 0, nil, oneEvent(recordingEnded)},
	}
}

func waitingCases() []ruleCase {
	oneRun := run("wk-1/0", "m1", 2, 9)
	runningResponse := func(seconds float64) trace.Event { return query(seconds, "wk-1", http.StatusOK, wire.StateRunning) }
	cancelledEvents := []trace.Event{cancel(25, "wk-1"), query(50, "wk-1", http.StatusOK, wire.StateCancelled), recordingEnded}
	return []ruleCase{
		{"waits despite room", WaitsDespiteCapacity, 20, oneRun, []trace.Event{runningResponse(30), runningResponse(50), runningResponse(200), recordingEnded}},
		{"waits after cancellation", "", 20, oneRun, cancelledEvents},
	}
}

// Starting a task of a gang while a task of the previous attempt is on its machine is a
// violation.
func TestOverlappingGangAttempts(t *testing.T) {
	gang := testJob("wk-1")
	gang.Gang = true
	for _, x := range []struct {
		name     string
		started  float64 // when task 1 starts as attempt 2, in seconds
		violated bool
	}{
		{"during the first attempt", 5, true},
		{"after the first attempt", 10, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			events := slices.Concat([]trace.Event{submit(gang)}, testMachines(), run("wk-1/0", "m1", 2, 9), runAttempt(2, "wk-1/1", "m3", x.started, x.started+2))
			checkSingleRule(t, events, OverlappingAttempts, x.violated)
		})
	}
}

// The placement constraints of a job determine the machines and zones of its tasks.
func TestPlacementConstraints(t *testing.T) {
	large := func(j *wire.Job) { j.MachineTypes = []string{"large"} }
	zoneA := func(j *wire.Job) { j.AllowsSpot, j.Zone = true, "a" }
	single := func(j *wire.Job) { j.AllowsSpot, j.SingleZone = true, true }
	spread := func(j *wire.Job) { j.AllowsSpot, j.SpreadsZones = true, true }
	first, second := run("wk-1/0", "m1", 2, 9), run("wk-1/1", "m2", 3, 9)
	for _, x := range []struct {
		name     string
		change   func(*wire.Job)
		tasks    []trace.Event
		violated bool
	}{
		{"type", large, run("wk-1/0", "m1", 2, 3), true},
		{"allowed type", large, run("wk-1/0", "m3", 2, 3), false},
		{"zone", zoneA, run("wk-1/0", "m2", 2, 3), true},
		{"two zones, single zone required", single, slices.Concat(first, second), true},
		{"two zones one after the other", single, slices.Concat(run("wk-1/0", "m1", 2, 3), run("wk-1/1", "m2", 4, 9)), false},
		{"spread", spread, slices.Concat(first, run("wk-1/1", "m3", 3, 9)), true},
		{"spread across two zones", spread, slices.Concat(first, second), false},
	} {
		t.Run(x.name, func(t *testing.T) {
			spec := testJob("wk-1")
			x.change(spec)
			checkSingleRule(t, slices.Concat([]trace.Event{submit(spec)}, testMachines(), x.tasks), WrongPlacement, x.violated)
		})
	}
}

// checkSingleRule checks that a trace has exactly one violation, of the given rule, if violated
// is set, and none otherwise.
func checkSingleRule(t *testing.T, events []trace.Event, rule Rule, violated bool) {
	t.Helper()
	got := Check(events, Expectations{CancellationTimeout: time.Minute})
	if !violated && len(got) > 0 {
		t.Errorf("violations: %v, want none", got)
	}
	if violated && (len(got) != 1 || got[0].Rule != rule) {
		t.Errorf("violations: %v, want exactly one, of rule %s", got, rule)
	}
}
