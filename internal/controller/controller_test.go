package controller

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/replica"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// newTestController returns a controller that owns its only partition and has no machines, jobs
// or peers.
func newTestController(t *testing.T) *controller { return newTestControllerInCluster(t, 1) }

// newTestControllerInCluster returns a controller like newTestController in a cluster with the
// given number of controllers. It owns the first partition.
func newTestControllerInCluster(t *testing.T, controllers int) *controller {
	t.Helper()
	cfg := &config.PlatformSettings{Name: "n0"}
	cfg.Settings.ControllerCount = controllers
	cfg.Settings.Workers.HeartbeatIntervalS, cfg.Settings.Workers.LeaseDurationS, cfg.Settings.Workers.CancelDeadlineS = 1, 10, 35
	cfg.Settings.Store.RPS, cfg.Settings.Store.WriteRPS, cfg.Settings.Store.ValueKB, cfg.Settings.Store.TxnOps = 100, 40, 8, 32
	cfg.Settings.Cloud.RPS = 1
	c := newController(t.Context(), cfg, config.DefaultOperatorSettings(), slog.New(slog.NewTextHandler(io.Discard, nil)), dependencies{store: &grantingStore{}})
	c.replica.Load(nil, 0, &wire.WatchResponse{})
	c.replica.AdvanceReadTime(c.now)
	c.machineTypes = map[string]*wire.MachineType{"small": {Name: "small", CPUs: 4, RAMGB: 8}}
	p := c.partitions[0]
	p.token, p.takeoverComplete, p.ownedSince = 1, true, c.now.Add(-time.Minute)
	p.cells, p.reservations = scheduling.NewPartition(), map[scheduling.TaskID]reservation{}
	return c
}

// acquireKeys makes a test controller acquire all of its keys. It counts as having owned them
// for a minute.
func acquireKeys(t *testing.T, c *controller) {
	t.Helper()
	c.partitions[0].token = 0
	c.campaign()
	vacant := func(p *partition) bool { return c.election.Token(p.key) == 0 }
	for slices.ContainsFunc(c.partitions, vacant) { // the test's time limit ends the wait if the keys stay vacant
		f, _ := c.events.take(t.Context().Done(), nil)
		f()
	}
	for _, p := range c.partitions {
		p.takeoverComplete, p.ownedSince = true, c.now.Add(-time.Minute)
	}
}

// grantingStore is a key-value store that grants every lease and accepts every transaction. Its
// watches report no changes.
type grantingStore struct{ revision atomic.Uint64 }

// RoundTrip returns a response that fits every call: a lease and a revision.
func (s *grantingStore) RoundTrip(r *http.Request) (*http.Response, error) {
	revision := uint64(0)
	if r.Method == http.MethodPost {
		revision = 1000 + s.revision.Add(1)
	}
	body := io.NopCloser(strings.NewReader(fmt.Sprintf(`{"mooring":1,"logmark":%d}`, revision)))
	return &http.Response{StatusCode: http.StatusOK, Body: body, Header: http.Header{}}, nil
}

// marshalJSON returns the JSON encoding of a value.
func marshalJSON(t *testing.T, v any) json.RawMessage {
	t.Helper()
	out, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// A record may be deleted, or lose tasks to another record, while some of its tasks hold
// reservations that are not stored yet. The reservations are released and no cell stays
// allocated. The later loss of the machine must not cause a lookup of the deleted record, which
// used to crash the controller.
func TestReservationsEndWithTheirRecord(t *testing.T) {
	for _, change := range []string{"deleted", "moved"} {
		t.Run(change, func(t *testing.T) {
			c := newTestController(t)
			p := c.partitions[0]
			c.applyHeartbeat(c.getOrAddMachine("host-1"), &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1}, p, workerRequest)
			spec := &wire.Job{ID: "wk-1", TaskCount: 2, CPUs: 2, RAMGB: 1, Team: "t", NoDeadline: true}
			c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{Spec: spec}), 2)
			key := groupKey("wk-1", 0)
			c.replica.Put(key, marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Task: 0}, {Task: 1}}}), 3)
			c.placeGroup(p, c.groupByKey[key])
			if len(p.reservations) != 2 {
				t.Fatalf("%d tasks have reservations, want 2", len(p.reservations))
			}
			left := 0
			if change == "deleted" {
				c.replica.Delete(key, 4)
			} else {
				c.replica.Put(key, marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Task: 1}}}), 4)
				left = 1
			}
			if len(p.reservations) != left || len(p.cells.AllocatedTasks()) != left {
				t.Errorf("%d reservations and %d cells are left, want %d of each", len(p.reservations), len(p.cells.AllocatedTasks()), left)
			}
			if err := p.cells.CheckInvariants(); err != nil {
				t.Error(err)
			}
			recordApplier{c}.putTombstone(tombstonePrefix+"host-1", []string{"host-1"})
			if len(p.reservations) != 0 || len(p.cells.AllocatedTasks()) != 0 {
				t.Errorf("%d reservations and %d cells on a lost machine, want none", len(p.reservations), len(p.cells.AllocatedTasks()))
			}
		})
	}
}

// A team at its limit gets room for one more task many times a second. The throttle of a group
// is raised for several tasks at once, not for each one.
func TestThrottlesRiseInSteps(t *testing.T) {
	c := newTestController(t)
	c.becomeLeader(5)
	c.leadership.isActive = true
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{Spec: &wire.Job{ID: "wk-1", TaskCount: 9, CPUs: 1, Team: "t", NoDeadline: true}}), 6)
	g := record.TaskGroup{Throttle: 1}
	for i := range int32(9) {
		g.Tasks = append(g.Tasks, record.Binding{Task: i})
	}
	key := groupKey("wk-1", 0)
	c.replica.Put(key, marshalJSON(t, g), 7)
	group := c.groupByKey[key]
	changes, revision := 0, uint64(8)
	for free := 1; free <= 60; free++ { // a task of the team ends every 100 ms
		quota := planning.Quota{Limit: scheduling.NewResources(float64(min(free, 9)), 0, 0)}
		quota.Usage = group.job.taskSize.Times(group.quotaTaskCount(c.replica.Cursor()))
		before := group.throttleChangedAt
		c.unthrottle(group.job, &quota)
		if group.throttleChangedAt != before { // the change is stored at once
			changes++
			revision++
			g.Throttle = min(free, 9) + 1
			if g.Throttle > 9 {
				g.Throttle = 0
			}
			group.writeInFlight = false
			c.replica.Put(key, marshalJSON(t, g), revision)
		}
		c.now = c.now.Add(100 * time.Millisecond)
	}
	if changes == 0 || changes > 3 || group.bindLimit() != 9 {
		t.Errorf("%d throttle changes, bind limit %d; want 1 to 3 changes and limit 9", changes, group.bindLimit())
	}
}

// A record moves to another partition while a write of it is in flight and its tasks hold
// reservations. No cell stays allocated: a cell that no record refers to would be unusable until
// the partition gets another owner.
func TestReservationsOfMovedRecord(t *testing.T) {
	c := newTestController(t)
	p := c.partitions[0]
	c.applyHeartbeat(c.getOrAddMachine("host-1"), &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 1}, p, workerRequest)
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{Spec: &wire.Job{ID: "wk-1", TaskCount: 2, CPUs: 2, RAMGB: 1, Team: "t", NoDeadline: true}}), 2)
	key := groupKey("wk-1", 0)
	c.replica.Put(key, marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Task: 0}, {Task: 1}}}), 3)
	group := c.groupByKey[key]
	c.placeGroup(p, group)
	if len(p.reservations) != 2 {
		t.Fatalf("%d tasks have reservations, want 2", len(p.reservations))
	}
	group.writeInFlight = true // the move by the leader in this process
	c.replica.Put(key, marshalJSON(t, record.TaskGroup{Partition: 1, Tasks: []record.Binding{{Task: 0}, {Task: 1}}}), 4)
	if len(p.reservations) != 0 || len(p.cells.AllocatedTasks()) != 0 {
		t.Errorf("%d reservations and %d cells are left, want none", len(p.reservations), len(p.cells.AllocatedTasks()))
	}
}

// The result of a write by this controller may arrive after a later deletion of the record is
// known. It must not bring the record back.
func TestLateWriteResultOfDeletedRecord(t *testing.T) {
	c := newTestController(t)
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{Spec: &wire.Job{ID: "wk-1", TaskCount: 1, CPUs: 1, Team: "t"}}), 2)
	key := groupKey("wk-1", 0)
	c.replica.Put(key, marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Task: 0}}}), 3)
	c.replica.Apply(&wire.WatchResponse{Revision: 9, Events: []wire.Event{{Delete: key, Revision: 9}}})
	c.replica.Put(key, marshalJSON(t, record.TaskGroup{DoneTasks: 1}), 5)
	if c.groupByKey[key] != nil || len(c.jobs["wk-1"].groups) != 0 {
		t.Error("a late write result brought a deleted record back")
	}
}

// Machines that died together share a tombstone. It names all of them, the encoding of older
// versions is understood, and its deletion removes all of them.
func TestSharedTombstone(t *testing.T) {
	c := newTestController(t)
	var names []string
	for i := range 240 {
		names = append(names, fmt.Sprintf("host-%06d", i))
		c.getOrAddMachine(names[i]).heartbeatAt = c.now
	}
	c.replica.Put(tombstonePrefix+"host-000001", record.JSON(names[1:4]), 20)
	c.replica.Put(tombstonePrefix+"host-000009", record.JSON(true), 21)
	for i, terminated := range map[int]bool{0: false, 1: true, 2: true, 3: true, 4: false, 9: true} {
		if c.getOrAddMachine(names[i]).terminated != terminated {
			t.Errorf("%s: terminated %v, want %v", names[i], !terminated, terminated)
		}
	}
	c.replica.Delete(tombstonePrefix+"host-000001", 22)
	if len(c.terminatedMachines) != 1 || len(c.tombstones) != 1 {
		t.Errorf("%d machines and %d tombstones are left, want one of each", len(c.terminatedMachines), len(c.tombstones))
	}
}

// A controller steps down when no agent reaches it. If many machines stop sending heartbeats at
// the same time, a few seconds rule out coincidence; with few machines it takes longer. The
// machines' leases keep running, so enough time must be left for them to find the successor. A
// process that was paused must first read the messages that are queued in its sockets.
func TestStepsDownWhenNoAgentReachesIt(t *testing.T) {
	for _, x := range []struct {
		name      string
		machines  int
		after     time.Duration
		resumed   bool // the process has just resumed after a pause
		stepsDown bool
	}{
		{"many machines, seconds", 200, 4 * time.Second, false, true},
		{"many machines, one second", 200, time.Second, false, false},
		{"many machines, resumed", 200, 4 * time.Second, true, false},
		{"few machines, seconds", 3, 4 * time.Second, false, false},
		{"few machines, many seconds", 3, 9 * time.Second, false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newTestController(t)
			acquireKeys(t, c)
			for i := range x.machines {
				c.getOrAddMachine(fmt.Sprintf("host-%d", i)).heartbeatAt = c.now
			}
			c.now = c.now.Add(x.after)
			if x.resumed {
				c.resumedFromPauseAt = c.now
			}
			c.stepDownIfUnreachable()
			if got := c.partitions[0].token == 0; got != x.stepsDown {
				t.Errorf("the controller steps down: %v, want %v", got, x.stepsDown)
			}
		})
	}
}

// A task of an array within its team's guaranteed quota preempts other tasks after a delay.
// Where cells become free all the time, it first waits longer for one of those, because the
// work of preempted tasks is lost.
func TestGuaranteedTaskWaitsBeforePreempting(t *testing.T) {
	for _, x := range []struct {
		name     string
		waited   time.Duration
		ends     int // cells that became free recently
		preempts bool
	}{
		{"waits a little", 2 * time.Second, 0, false},
		{"waits", 4 * time.Second, 0, true},
		{"waits where cells become free", 4 * time.Second, 50, false},
		{"waits long where cells become free", 7 * time.Second, 50, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newTestController(t)
			p := c.partitions[0]
			c.applyHeartbeat(c.getOrAddMachine("host-1"), &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 1}, p, workerRequest)
			for i, team := range []string{"blue", "red"} {
				id := fmt.Sprintf("wk-%d", i+1)
				c.replica.Put(jobKey(id), marshalJSON(t, record.Job{Spec: &wire.Job{ID: id, TaskCount: 1, CPUs: 4, RAMGB: 1, Team: team, Priority: 1, NoDeadline: true}}), uint64(2*i+2))
			}
			c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Attempt: 1, Machine: "host-1", Incarnation: 1}}}), 10)
			c.replica.Put(groupKey("wk-2", 0), marshalJSON(t, record.TaskGroup{Guaranteed: true, Tasks: []record.Binding{{}}}), 11)
			group := c.groupByKey[groupKey("wk-2", 0)]
			group.partitionAssignedAt = c.now.Add(-x.waited)
			p.freedInPreviousWindow, p.freedWindowStart = x.ends, c.now
			c.placeGroup(p, group)
			if got := p.cells.PreemptingGroup(group.task(0)) != nil; got != x.preempts {
				t.Errorf("the task preempts: %v, want %v", got, x.preempts)
			}
		})
	}
}

// Finished jobs are kept in memory forever, with little more than their IDs. Queries return the
// same final state as before, and the memory per finished job stays within its budget.
func TestFinishedJobMemory(t *testing.T) {
	const jobs, maxBytesPerJob = 20_000, 100
	c := newTestController(t)
	heapBytes := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	spec := &wire.Job{Class: "c", Team: "t", TaskCount: 1, Image: "img"}
	before := heapBytes()
	for i := range jobs {
		spec.ID = fmt.Sprintf("wk-%08d", i)
		revision := uint64(2*i + 10)
		if i%2 == 0 { // the job ran while this controller did; the others are read after a start
			c.replica.Put(jobKey(spec.ID), marshalJSON(t, record.Job{Spec: spec}), revision)
		}
		c.replica.Put(jobKey(spec.ID), marshalJSON(t, record.Job{FinalState: record.StateCancelled + record.FinalState(i/2%2)}), revision+1)
		if i%500 != 499 {
			continue
		}
		// The replica may not have everything that was stored before the last change of a job.
		n := len(c.finalStates)
		c.archiveFinishedJobs(c.replica)
		if len(c.finalStates) > n {
			t.Fatalf("%d jobs were archived before the replica had all of their changes, want none", len(c.finalStates)-n)
		}
		c.replica.Apply(&wire.WatchResponse{Revision: revision + 1})
		c.archiveFinishedJobs(c.replica)
	}
	if n := int(heapBytes()-before) / jobs; n > maxBytesPerJob {
		t.Errorf("a finished job takes %d bytes, want at most %d", n, maxBytesPerJob)
	}
	for _, x := range []struct {
		id    string
		state string
	}{{"wk-00000000", wire.StateCancelled}, {"wk-00000001", wire.StateCancelled}, {"wk-00000002", wire.StateDone}, {"wk-00000003", wire.StateDone}} {
		if job := c.lookupJob(x.id); job == nil || job.jobState().State != x.state {
			t.Errorf("job %s is %+v, want state %s", x.id, job, x.state)
		}
	}
	if c.lookupJob("wk-99999999") != nil {
		t.Error("a job that was never submitted is known")
	}
	// A late copy of an older change does not make the job unfinished again.
	spec.ID = "wk-00000002"
	c.replica = replica.New(recordApplier{c}) // a new replica, which has no record of the job yet
	c.replica.Put(jobKey(spec.ID), marshalJSON(t, record.Job{Spec: spec}), 14)
	if job := c.lookupJob(spec.ID); job.finalState != record.StateDone || len(c.jobs) != 0 {
		t.Errorf("job %s went back to state %s", spec.ID, job.jobState().State)
	}
}

// A controller may process its own cancellation before a binding that was stored just before it.
// Until the replica has all changes up to the cancellation, the tasks count toward the team's
// quota as if the job were unfinished: the leader once gave their share of the quota to other
// jobs while one of them was running.
func TestCancelledBeforeItsBindingIsKnown(t *testing.T) {
	c := newTestController(t)
	c.cfg.Settings.Teams = []config.Team{{Name: "t", MaxCPUs: 100}}
	team := c.getOrAddTeam("t")
	spec := &wire.Job{ID: "wk-1", Team: "t", Service: true, TaskCount: 1, CPUs: 2, Image: "img"}
	checkUsed := func(when string, want int64) {
		t.Helper()
		if got := c.quotas()[team].Usage.CPU; got != want*1000 {
			t.Errorf("%s %d milli-CPUs count toward the quota, want %d", when, got, want*1000)
		}
	}
	group := func(machine string) json.RawMessage {
		return marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Attempt: 1, Machine: machine, Incarnation: 1}}})
	}
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{Spec: spec}), 10)
	c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{}}}), 11)
	c.replica.Apply(&wire.WatchResponse{Revision: 11})
	checkUsed("assigned:", 2)
	cancelled := marshalJSON(t, record.Job{FinalState: record.StateCancelled, Spec: spec})
	c.replica.Put(jobKey("wk-1"), cancelled, 20) // the result of this controller's own write
	checkUsed("cancelled here:", 2)
	c.replica.Apply(&wire.WatchResponse{Revision: 21, Events: []wire.Event{
		{Put: groupKey("wk-1", 0), Value: group("host-1"), Revision: 15}, {Put: jobKey("wk-1"), Value: cancelled, Revision: 20}}})
	checkUsed("its binding is known:", 2)
	c.replica.Apply(&wire.WatchResponse{Revision: 22, Events: []wire.Event{{Put: groupKey("wk-1", 0), Value: group(""), Revision: 22}}})
	checkUsed("proven to have ended:", 0)

	// The same if not even the assignment is known yet.
	c.replica.Put(jobKey("wk-2"), marshalJSON(t, record.Job{Spec: spec}), 30)
	c.replica.Apply(&wire.WatchResponse{Revision: 30})
	c.replica.Put(jobKey("wk-2"), cancelled, 40)
	c.replica.Apply(&wire.WatchResponse{Revision: 41, Events: []wire.Event{
		{Put: groupKey("wk-2", 0), Value: group("host-2"), Revision: 35}, {Put: jobKey("wk-2"), Value: cancelled, Revision: 40}}})
	checkUsed("assigned and bound before it was cancelled here:", 2)
}
