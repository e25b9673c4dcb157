package standin

import (
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

var zero = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }

// told is what a user asked at a time and was answered half a second later.
func told(s float64, id string, call Call, status int, state string, spec *wire.Job) Event {
	return Event{At: at(s + 0.5), Kind: Answered, Job: id, Call: call, Asked: at(s), Status: status, State: state, Spec: spec}
}

func up(name, typ, zone string, spot bool, cpus float64) Event {
	return Event{At: at(0), Kind: MachineUp, Machine: name, Type: typ, Zone: zone, Spot: spot, Size: scheduling.NewResources(cpus, 0, 64)}
}

// run has a task on a machine from one time to another.
func run(from, to float64, task, machine string) []Event {
	return []Event{{At: at(from), Kind: TaskHeld, Task: task, Machine: machine}, {At: at(from), Kind: TaskOn, Task: task, Machine: machine},
		{At: at(to), Kind: TaskOff, Task: task, Machine: machine}}
}

// Each rule has a trace that breaks it and is caught; the same trace without what
// breaks it is clean.
func TestEachRuleIsCaught(t *testing.T) {
	job := func(change func(*wire.Job)) *wire.Job {
		j := &wire.Job{ID: "wk-1", Team: "red", Tasks: 2, CPUs: 2, RAM: 1}
		if change != nil {
			change(j)
		}
		return j
	}
	plain := job(nil)
	submit := func(j *wire.Job) Event { return told(1, j.ID, Submit, 201, wire.Queued, j) }
	two := &wire.Job{ID: "wk-2", Team: "red", Tasks: 2, CPUs: 2, RAM: 1}
	machines := []Event{up("m1", "small", "a", false, 4), up("m2", "small", "b", true, 4), up("m3", "large", "a", false, 4)}
	ended := Event{At: at(400), Kind: Ended}
	done := func(s float64, task string) Event { return Event{At: at(s), Kind: TaskDone, Task: task} }
	one := run(2, 9, "wk-1/0", "m1")
	var silent, answered []Event
	for s := 10.0; s < 110; s += 5 {
		silent = append(silent, told(s, "wk-1", Poll, 503, "", nil))
		answered = append(answered, told(s, "wk-2", Poll, 200, wire.Running, nil))
	}
	for _, x := range []struct {
		name, breaks string
		quiet        float64
		good, bad    []Event
	}{
		{"two places", "ran_twice", 0, one, run(5, 8, "wk-1/0", "m3")},
		{"one after the other", "", 0, one, run(9.5, 12, "wk-1/0", "m3")},
		{"limit", "quota", 0, append(run(2, 9, "wk-1/0", "m1"), run(2, 9, "wk-1/1", "m1")...), append([]Event{told(1, "wk-2", Submit, 201, wire.Queued, two)}, run(4, 6, "wk-2/0", "m3")...)},
		{"at the limit, then below", "", 0, append(run(2, 3, "wk-1/0", "m1"), run(2, 9, "wk-1/1", "m1")...), append([]Event{told(1, "wk-2", Submit, 201, wire.Queued, two)}, run(4, 6, "wk-2/0", "m3")...)},
		{"spot machine", "wrong_place", 0, one, run(3, 5, "wk-1/1", "m2")},
		{"cancelled and there", "ran_cancelled", 0, one, append([]Event{told(3, "wk-1", Cancel, 200, wire.Cancelled, nil)}, run(4, 50, "wk-1/1", "m1")...)},
		{"cancelled and starts", "ran_cancelled", 0, one, append([]Event{told(3, "wk-1", Cancel, 200, wire.Cancelled, nil)}, run(40, 41, "wk-1/1", "m1")...)},
		{"cancelled and never gone", "ran_cancelled", 0, one, append([]Event{told(3, "wk-1", Cancel, 200, wire.Cancelled, nil), ended}, run(4, 500, "wk-1/1", "m1")[:2]...)},
		{"cancelled and gone in time", "", 0, one, append([]Event{told(3, "wk-1", Cancel, 200, wire.Cancelled, nil)}, run(4, 30, "wk-1/1", "m1")...)},
		{"accepted, then unknown", "forgotten", 0, one, []Event{told(4, "wk-1", Poll, 404, "", nil)}},
		{"accepted, then refused", "forgotten", 0, one, []Event{told(4, "wk-1", Submit, 422, "", plain)}},
		{"unanswered", "forgotten", 0, append(append(one, told(2, "wk-2", Submit, 201, wire.Queued, two)), answered...), silent},
		{"all unanswered", "", 0, one, silent},
		{"all unanswered after the troubles", "forgotten", 15, one, silent},
		{"never submitted", "invented", 0, one, []Event{told(4, "wk-7", Poll, 200, wire.Queued, nil)}},
		{"asked before it was submitted", "", 0, one, []Event{told(0, "wk-1", Poll, 404, "", nil)}},
		{"done too early", "not_done", 0, append(one, done(9, "wk-1/0")), []Event{told(10, "wk-1", Poll, 200, wire.Done, nil)}},
		{"a result twice", "not_done", 0, append(one, done(9, "wk-1/0")), []Event{done(9.5, "wk-1/0"), told(10, "wk-1", Poll, 200, wire.Done, nil)}},
		{"done", "", 0, append(one, done(9, "wk-1/0"), done(9, "wk-1/1")), []Event{told(10, "wk-1", Poll, 200, wire.Done, nil)}},
		{"cancelled, then running", "went_back", 0, append(one, told(3, "wk-1", Cancel, 200, wire.Cancelled, nil)), []Event{told(4, "wk-1", Poll, 200, wire.Running, nil)}},
		{"asked before the cancellation was told", "", 0, append(one, told(3, "wk-1", Cancel, 200, wire.Cancelled, nil)), []Event{told(3.1, "wk-1", Poll, 200, wire.Running, nil)}},
		{"done and cancelled", "went_back", 0, append(one, done(9, "wk-1/0"), done(9, "wk-1/1"), told(10, "wk-1", Poll, 200, wire.Done, nil)), []Event{told(10, "wk-1", Cancel, 200, wire.Cancelled, nil)}},
		{"cancelled by nobody", "went_back", 0, one, []Event{told(4, "wk-1", Poll, 200, wire.Cancelled, nil)}},
		{"nothing", "nothing_ran", 0, nil, []Event{ended}},
		{"waits beside room", "waits", 20, one, []Event{told(30, "wk-1", Poll, 200, wire.Running, nil), told(50, "wk-1", Poll, 200, wire.Running, nil), told(200, "wk-1", Poll, 200, wire.Running, nil), ended}},
		{"waits, cancelled", "", 20, one, []Event{told(25, "wk-1", Cancel, 200, wire.Cancelled, nil), told(50, "wk-1", Poll, 200, wire.Cancelled, nil), ended}},
	} {
		t.Run(x.name, func(t *testing.T) {
			rules := Rules{Cancel: 35 * time.Second, Limits: map[string]scheduling.Resources{"red": scheduling.NewResources(4, 0, 0)}}
			if x.quiet > 0 {
				rules.Quiet = at(x.quiet)
			}
			trace := append(append([]Event{submit(plain)}, machines...), x.good...)
			if got := Check(trace, rules); len(got) > 0 && x.breaks != "nothing_ran" {
				t.Errorf("without the breach: %v", got)
			}
			got := Check(append(trace, x.bad...), rules)
			if x.breaks == "" && len(got) > 0 || x.breaks != "" && (len(got) == 0 || !strings.HasPrefix(got[0], x.breaks+":")) {
				t.Errorf("found %v, not %q", got, x.breaks)
			}
		})
	}
	// Attempts of a gang.
	gang := job(func(j *wire.Job) { j.Gang = true })
	for _, x := range []struct {
		name    string
		started float64 // task 1 as attempt 2
		bad     bool
	}{{"beside the first attempt", 5, true}, {"after it", 10, false}} {
		again := run(x.started, x.started+2, "wk-1/1", "m3")
		again[0].Attempt = 2
		got := Check(append(append([]Event{submit(gang)}, machines...), append(run(2, 9, "wk-1/0", "m1"), again...)...), Rules{Cancel: time.Minute})
		if x.bad != (len(got) == 1 && strings.HasPrefix(got[0], "two_attempts:")) {
			t.Errorf("%s: found %v", x.name, got)
		}
	}
	// What depends on the job.
	for name, x := range map[string]struct {
		change func(*wire.Job)
		tasks  []Event
		bad    bool
	}{
		"type":              {func(j *wire.Job) { j.MachineTypes = []string{"large"} }, run(2, 3, "wk-1/0", "m1"), true},
		"type allowed":      {func(j *wire.Job) { j.MachineTypes = []string{"large"} }, run(2, 3, "wk-1/0", "m3"), false},
		"zone":              {func(j *wire.Job) { j.Spot, j.Zone = true, "a" }, run(2, 3, "wk-1/0", "m2"), true},
		"same place":        {func(j *wire.Job) { j.Spot, j.SingleZone = true, true }, append(run(2, 9, "wk-1/0", "m1"), run(3, 9, "wk-1/1", "m2")...), true},
		"same place, later": {func(j *wire.Job) { j.Spot, j.SingleZone = true, true }, append(run(2, 3, "wk-1/0", "m1"), run(4, 9, "wk-1/1", "m2")...), false},
		"spread":            {func(j *wire.Job) { j.Spot, j.Spread = true, true }, append(run(2, 9, "wk-1/0", "m1"), run(3, 9, "wk-1/1", "m3")...), true},
		"spread out":        {func(j *wire.Job) { j.Spot, j.Spread = true, true }, append(run(2, 9, "wk-1/0", "m1"), run(3, 9, "wk-1/1", "m2")...), false},
	} {
		got := Check(append(append([]Event{submit(job(x.change))}, machines...), x.tasks...), Rules{Cancel: time.Minute})
		if x.bad != (len(got) == 1 && strings.HasPrefix(got[0], "wrong_place:")) {
			t.Errorf("%s: found %v", name, got)
		}
	}
}
