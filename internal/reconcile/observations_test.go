package reconcile_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/wire"
)

// foundTask is a finding as the rows state it.
type foundTask struct {
	outcome reconcile.ObservationKind
	task    string
	attempt uint64
	shown   bool // by the heartbeat
}

// findingRow is a machine and the records, with the findings that follow.
type findingRow struct {
	name    string
	machine reconcile.MachineState
	records records
	want    []foundTask
}

var findingRows = []findingRow{
	{"nothing", settled(), records{}, nil},
	{"a task that runs", settled(status("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]foundTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"a task that fetches its image", settled(status("wk-1/0", 2, wire.Fetching)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]foundTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"a task that saves, and has to stop", settled(status("wk-1/0", 2, wire.Saving)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]foundTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"a task that completed", settled(exited("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]foundTask{{reconcile.TaskCompleted, "wk-1/0", 2, true}}},
	{"a replica of a service that exited by itself", settled(exited("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, service: true}}},
		[]foundTask{{reconcile.TaskExited, "wk-1/0", 2, true}}},
	{"a task that failed", settled(exited("wk-1/0", 2, wire.ReasonError)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]foundTask{{reconcile.TaskFailed, "wk-1/0", 2, true}}},
	{"starts that are refused", settled(exited("wk-1/0", 2, wire.ReasonNoRoom), exited("wk-1/1", 1, wire.ReasonInUse), exited("wk-1/2", 1, wire.ReasonUnknownTask)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}, {name: "wk-1/1", attempt: 1}, {name: "wk-1/2", attempt: 1}}},
		[]foundTask{{reconcile.StartRefused, "wk-1/0", 2, true}, {reconcile.StartRefused, "wk-1/1", 1, true}, {reconcile.StartRefused, "wk-1/2", 1, true}}},
	{"a task that was stopped", settled(exited("wk-1/0", 2, wire.ReasonStopped)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]foundTask{{reconcile.TaskExited, "wk-1/0", 2, true}}},
	{"a gang's task whose peers are gone", settled(exited("wk-1/0", 2, wire.ReasonPeersGone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]foundTask{{reconcile.TaskExited, "wk-1/0", 2, true}}},
	{"an exit is a proof whatever may arrive", awaitingStart(exited("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}},
		[]foundTask{{reconcile.TaskCompleted, "wk-1/0", 2, true}}},
	{"an exit of an earlier attempt, in a late copy of a heartbeat", settled(exited("wk-1/0", 1, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}}, nil},
	{"an exit of a task that is not bound", settled(exited("wk-1/0", 1, wire.ReasonDone)), records{}, nil},
	{"an exit, bound to an earlier incarnation", settled(exited("wk-1/0", 2, wire.ReasonDone)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, sinceIncarnation: 2}}},
		[]foundTask{{reconcile.IncarnationReplaced, "wk-1/0", 2, false}}},
	{"an earlier incarnation, whatever may arrive", awaitingStart(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, sinceIncarnation: 2}}},
		[]foundTask{{reconcile.IncarnationReplaced, "wk-1/0", 2, false}}},
	{"a later incarnation than that of the heartbeat", settled(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, sinceIncarnation: 4}}}, nil},
	{"absent and wanted", settled(), records{bound: []boundTask{{name: "wk-1/0", attempt: 2}}}, nil},
	{"absent and cancelled", settled(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]foundTask{{reconcile.TaskAbsent, "wk-1/0", 2, false}}},
	{"cancelled and still running, another is missing", settled(status("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}, {name: "wk-1/1", attempt: 1}}},
		[]foundTask{{reconcile.TaskPresent, "wk-1/0", 2, true}}},
	{"absent and cancelled, another attempt is there", settled(status("wk-1/0", 1, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}},
		[]foundTask{{reconcile.TaskAbsent, "wk-1/0", 2, false}}},
	{"absent without proof: a start is under way or unanswered", awaitingStart(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}}, nil},
	{"absent without proof: the token has not been shown", withoutToken(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}}}, nil},
	{"bound no more", settled(),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true, unbound: true}}}, nil},
	{"a task that a heartbeat names twice hides no other", settled(status("wk-1/0", 2, wire.Running), status("wk-1/0", 2, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2}, {name: "wk-1/1", attempt: 1, mustStop: true}}},
		[]foundTask{{reconcile.TaskPresent, "wk-1/0", 2, true}, {reconcile.TaskPresent, "wk-1/0", 2, true}, {reconcile.TaskAbsent, "wk-1/1", 1, false}}},
	{"in the order of the heartbeat, then of the bindings", settled(exited("wk-1/3", 1, wire.ReasonError), status("wk-1/1", 1, wire.Running)),
		records{bound: []boundTask{{name: "wk-1/0", attempt: 2, mustStop: true}, {name: "wk-1/1", attempt: 1}, {name: "wk-1/2", attempt: 1, sinceIncarnation: 1}, {name: "wk-1/3", attempt: 1}}},
		[]foundTask{{reconcile.TaskFailed, "wk-1/3", 1, true}, {reconcile.TaskPresent, "wk-1/1", 1, true}, {reconcile.TaskAbsent, "wk-1/0", 2, false}, {reconcile.IncarnationReplaced, "wk-1/2", 1, false}}},
}

func TestFindings(t *testing.T) {
	for _, x := range findingRows {
		t.Run(x.name, func(t *testing.T) {
			var got []foundTask
			for f := range reconcile.Observations(x.machine, &x.records) {
				got = append(got, foundTask{f.Kind, x.records.TaskName(f.Binding.Task), f.Binding.Attempt, f.Status != nil})
				if ends := f.Kind != reconcile.TaskPresent; f.ProvesEnd() != ends {
					t.Errorf("case %d ends the attempt: %v, want %v", f.Kind, f.ProvesEnd(), ends)
				}
			}
			if d := cmp.Diff(x.want, got, cmp.AllowUnexported(foundTask{})); d != "" {
				t.Error(d)
			}
		})
	}
}

// The end of one attempt may be why the next one has to stop: whether it does is asked after
// the first has been handled.
func TestFindingsAreMadeOneByOne(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1, sinceIncarnation: 2}, {name: "wk-1/1", attempt: 1}}}
	var got []string
	for f := range reconcile.Observations(settled(), r) {
		got = append(got, r.TaskName(f.Binding.Task))
		r.bound[1].mustStop = true
	}
	if want := []string{"wk-1/0", "wk-1/1"}; !slices.Equal(got, want) {
		t.Errorf("ends %v, want %v", got, want)
	}
}

// Who has seen enough asks for nothing more.
func TestFindingsEndWithTheirReader(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1, sinceIncarnation: 2}, {name: "wk-1/1", attempt: 1, mustStop: true}, {name: "wk-1/2", attempt: 1}}}
	for range reconcile.Observations(settled(status("wk-1/2", 1, wire.Running)), r) {
		break
	}
	for f := range reconcile.Observations(settled(), r) {
		if f.Kind == reconcile.IncarnationReplaced {
			break
		}
	}
	if len(r.stopsAsked) > 0 {
		t.Errorf("asked whether %v must stop", r.stopsAsked)
	}
}

// What a machine shows is enough where nothing is missing: whether a task must stop may be
// costly to tell, and heartbeats come hundreds of times a second.
func TestFindingsWithoutNewsAskForLittle(t *testing.T) {
	r := &records{bound: []boundTask{{name: "wk-1/0", attempt: 1}, {name: "wk-1/1", attempt: 1}}}
	for range reconcile.Observations(settled(status("wk-1/0", 1, wire.Running), status("wk-1/1", 1, wire.Running)), r) {
	}
	if len(r.stopsAsked) > 0 || r.bindingsAsked > 0 {
		t.Errorf("asked whether %v must stop, and for %d bindings", r.stopsAsked, r.bindingsAsked)
	}
}
