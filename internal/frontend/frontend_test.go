package frontend

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// fakeCluster is a Cluster with preset state. It is also the EventLoop, which runs functions at
// once, and the Recorder, which records nothing.
type fakeCluster struct {
	notLoaded, stale, queueFull bool
	servingErr                  error
	jobs                        map[string]*Job
	unreadableJobs              map[string]bool
	types                       map[string]*wire.MachineType
	peerReachable, peerFresh    bool
	// readErr is the result of all reads. If onRead is not nil, each read calls it to apply
	// changes.
	readErr error
	onRead  func()
	// writeErr is the result of all writes. Submitted writes are kept in writes.
	writeErr error
	writes   []*store.Write
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{jobs: map[string]*Job{}, unreadableJobs: map[string]bool{},
		types: map[string]*wire.MachineType{"small": {Name: "small", CPUs: 4, RAMGB: 8, Zones: []string{"a"}}}}
}

func (c *fakeCluster) HasLoadedRecords() bool                     { return !c.notLoaded }
func (c *fakeCluster) IsFreshWithin(time.Duration) bool           { return !c.stale }
func (c *fakeCluster) ServingError() error                        { return c.servingErr }
func (c *fakeCluster) Job(id string) *Job                         { return c.jobs[id] }
func (c *fakeCluster) HasUnreadableRecord(id string) bool         { return c.unreadableJobs[id] }
func (c *fakeCluster) MachineTypes() map[string]*wire.MachineType { return c.types }
func (c *fakeCluster) PeerFreshness() (reachable, fresh bool)     { return c.peerReachable, c.peerFresh }
func (c *fakeCluster) Now() time.Time                             { return time.Now() }
func (c *fakeCluster) RetryAfterS() int                           { return 7 }
func (c *fakeCluster) CountSubmission(int, time.Duration)         {}
func (c *fakeCluster) CountPoll()                                 {}

func (c *fakeCluster) Call(_ context.Context, f func()) bool {
	if c.queueFull {
		return false
	}
	f()
	return true
}

func (c *fakeCluster) AfterRead(f func(error)) {
	if c.onRead != nil {
		c.onRead()
	}
	f(c.readErr)
}

func (c *fakeCluster) SubmitWrite(write *store.Write, done func(error)) {
	c.writes = append(c.writes, write)
	done(c.writeErr)
}

func (c *fakeCluster) frontend() *Frontend {
	return New(Config{JobKey: func(id string) string { return "e/job/" + id }, LeaseTTL: time.Second, MaxValueBytes: 8 << 10,
		Quotas: Quotas{{Name: "red", MaxCPUs: 8}}, Log: slog.New(slog.DiscardHandler)}, c, c, c)
}

func runningJob(id string) *Job {
	return &Job{State: wire.JobState{ID: id, State: wire.StateRunning}, Revision: 5, Spec: &wire.Job{ID: id, Team: "red"}}
}

func finalJob(id, state string) *Job {
	return &Job{State: wire.JobState{ID: id, State: state}, IsFinal: true, Revision: 5}
}

var testJob = &wire.Job{ID: "wk-1", Team: "red", TaskCount: 1, CPUs: 2, RAMGB: 1}

// Each state of the cluster determines the status of a submission, a poll and a cancellation.
func TestResponsesByClusterState(t *testing.T) {
	const created, ok, notFound, unprocessable, unavailable = http.StatusCreated, http.StatusOK, http.StatusNotFound, http.StatusUnprocessableEntity, http.StatusServiceUnavailable
	for _, test := range []struct {
		name                 string
		setUp                func(c *fakeCluster)
		submit, poll, cancel int
	}{
		{"new job", func(*fakeCluster) {}, created, notFound, notFound},
		{"known job", func(c *fakeCluster) { c.jobs["wk-1"] = runningJob("wk-1") }, ok, ok, ok},
		{"done job", func(c *fakeCluster) { c.jobs["wk-1"] = finalJob("wk-1", wire.StateDone) }, ok, ok, ok},
		{"job that another controller has stored", func(c *fakeCluster) {
			c.writeErr, c.onRead = store.ErrConflict, func() { c.jobs["wk-1"] = runningJob("wk-1") }
		}, ok, ok, unavailable},
		{"starting", func(c *fakeCluster) { c.notLoaded = true }, unavailable, unavailable, unavailable},
		{"must not serve", func(c *fakeCluster) { c.servingErr = errors.New("level 3 is active") }, unavailable, unavailable, unavailable},
		{"queue is full", func(c *fakeCluster) { c.queueFull = true }, unavailable, unavailable, unavailable},
		{"machine types unknown", func(c *fakeCluster) { c.types = nil }, unavailable, notFound, notFound},
		{"machine types unknown, job known", func(c *fakeCluster) { c.types, c.jobs["wk-1"] = nil, runningJob("wk-1") }, ok, ok, ok},
		{"store unreachable", func(c *fakeCluster) { c.stale, c.readErr = true, store.ErrNotExecuted }, unavailable, unavailable, unavailable},
		{"store unreachable, job done", func(c *fakeCluster) {
			c.stale, c.readErr, c.jobs["wk-1"] = true, store.ErrNotExecuted, finalJob("wk-1", wire.StateDone)
		}, ok, ok, ok},
		{"write has no known outcome", func(c *fakeCluster) { c.writeErr, c.jobs["wk-1"] = store.ErrOutcomeUnknown, runningJob("wk-1") }, ok, ok, unavailable},
		{"record can't be decoded", func(c *fakeCluster) { c.jobs["wk-1"], c.unreadableJobs["wk-1"] = runningJob("wk-1"), true }, unavailable, unavailable, unavailable},
		{"record of a done job can't be decoded", func(c *fakeCluster) {
			c.jobs["wk-1"], c.unreadableJobs["wk-1"] = finalJob("wk-1", wire.StateDone), true
		}, ok, ok, ok},
		{"unsatisfiable job", func(c *fakeCluster) { c.types["small"].CPUs = 1 }, unprocessable, notFound, notFound},
		{"unsatisfiable job that was accepted before", func(c *fakeCluster) {
			c.types["small"].CPUs, c.jobs["wk-1"] = 1, runningJob("wk-1")
		}, ok, ok, ok},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkStatus := func(what string, want int, f func(f *Frontend) int) {
				t.Helper()
				c := newFakeCluster()
				test.setUp(c)
				if got := f(c.frontend()); got != want {
					t.Errorf("%s: status %d, want %d", what, got, want)
				}
			}
			checkStatus("submission", test.submit, func(f *Frontend) int { return f.Submit(t.Context(), testJob).Status })
			checkStatus("poll", test.poll, func(f *Frontend) int { return f.Poll(t.Context(), "wk-1").Status })
			cancelLimit, stop := context.WithTimeout(t.Context(), 50*time.Millisecond) // a conflict is retried until the context ends
			defer stop()
			checkStatus("cancellation", test.cancel, func(f *Frontend) int { return f.Cancel(cancelLimit, "wk-1").Status })
		})
	}
}

// A cancellation requires that the job's record is unchanged since it was read, so that it can't
// overwrite a completion. It keeps the job's spec.
func TestCancellationIsCompareAndSwap(t *testing.T) {
	c := newFakeCluster()
	c.jobs["wk-1"] = runningJob("wk-1")
	if response := c.frontend().Cancel(t.Context(), "wk-1"); response.Body != (wire.JobState{ID: "wk-1", State: wire.StateCancelled}) {
		t.Fatalf("unexpected response to the cancellation: %+v", response)
	}
	if len(c.writes) != 1 || c.writes[0].Conditions[0] != (wire.Condition{Key: "e/job/wk-1", Revision: 5}) {
		t.Fatalf("unexpected writes: %+v", c.writes)
	}
	var stored record.Job
	if err := json.Unmarshal(c.writes[0].Changes[0].Value, &stored); err != nil || stored.FinalState != record.StateCancelled || stored.Spec == nil {
		t.Errorf("unexpected job record: %+v, error %v", stored, err)
	}
}

func TestUnsatisfiableReason(t *testing.T) {
	quotas := Quotas{{Name: "red", MaxCPUs: 8, MaxGPUs: 1}, {Name: "blue"}}
	types := map[string]*wire.MachineType{"small": {Name: "small", CPUs: 4, GPUs: 1, RAMGB: 8, Zones: []string{"a"}}}
	for _, test := range []struct {
		name string
		job  wire.Job
		want string
	}{
		{"unknown team", wire.Job{Team: "green", TaskCount: 1, CPUs: 1}, "unknown team"},
		{"array of many tasks", wire.Job{Team: "red", TaskCount: 100, CPUs: 4}, ""},
		{"task above the CPU limit", wire.Job{Team: "red", TaskCount: 1, CPUs: 8.5}, "more than the team's limit"},
		{"service at the CPU limit", wire.Job{Team: "red", Service: true, TaskCount: 2, CPUs: 4}, ""},
		{"service above the CPU limit", wire.Job{Team: "red", Service: true, TaskCount: 3, CPUs: 4}, "more than the team's limit"},
		{"gang above the GPU limit", wire.Job{Team: "red", Gang: true, TaskCount: 2, CPUs: 1, GPUs: 1}, "more than the team's limit"},
		{"team without a limit", wire.Job{Team: "blue", Service: true, TaskCount: 1000, CPUs: 4}, ""},
		{"no machine is large enough", wire.Job{Team: "blue", TaskCount: 1, CPUs: 5}, "a task fits no allowed machine type"},
		{"no machine of an allowed type", wire.Job{Team: "blue", TaskCount: 1, CPUs: 1, MachineTypes: []string{"large"}}, "a task fits no allowed machine type"},
		{"no machine in the zone", wire.Job{Team: "blue", TaskCount: 1, CPUs: 1, Zone: "b"}, "a task fits no allowed machine type"},
	} {
		if got := quotas.UnsatisfiableReason(&test.job, types); got != test.want {
			t.Errorf("%s: got reason %q, want %q", test.name, got, test.want)
		}
	}
}

func TestReadiness(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(c *fakeCluster)
		want  bool
	}{
		{"fresh", func(*fakeCluster) {}, true},
		{"starting", func(c *fakeCluster) { c.notLoaded = true }, false},
		{"only this controller can't reach the store", func(c *fakeCluster) { c.stale, c.peerReachable, c.peerFresh = true, true, true }, false},
		{"no controller can reach the store", func(c *fakeCluster) { c.stale, c.peerReachable = true, true }, true},
		{"store unreachable, no peer reachable", func(c *fakeCluster) { c.stale = true }, false},
		{"must not serve", func(c *fakeCluster) { c.servingErr = errors.New("level 3 is active") }, false},
	} {
		c := newFakeCluster()
		test.setUp(c)
		f := c.frontend()
		f.UpdateReadiness()
		if got := f.IsReady(); got != test.want {
			t.Errorf("%s: ready is %v, want %v", test.name, got, test.want)
		}
	}
}
