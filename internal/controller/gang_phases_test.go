package controller

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// These tests cover the protocol's requirements on gangs. docs/design.md lists the requirements
// with their tests.

// gangPhase is a phase in the life of a gang. awaitPhase waits until a gang that was just
// submitted is in the phase, and causes the phase where needed.
type gangPhase struct {
	name       string
	awaitPhase func(*cluster)
}

// gangTasks is the number of tasks of each gang in these tests.
const gangTasks = 4

// phasedGangSubmission returns a gang that fetches its image for 4 s, gathers for 4 s more if a
// machine is slow, and takes 3 s to save.
func phasedGangSubmission() *submission {
	gang := gangSubmission("wk-9", "blue", "normal", gangTasks, 20)
	gang.SaveS, gang.ImageGB, gang.Image, gang.MachineTypes, gang.SingleZone = 3, 4, "gang", []string{"small"}, true
	return gang
}

// awaitGangState waits until at least count tasks of the gang are in a state.
func (c *cluster) awaitGangState(state string, count int) {
	c.t.Helper()
	for until := time.Now().Add(time.Minute); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if c.env.CountTasksByState("wk-9")[state] >= count {
			return
		}
	}
	c.t.Fatalf("tasks by state: %v, want %d %s", c.env.CountTasksByState("wk-9"), count, state)
}

var gangPhases = []gangPhase{
	{"fetching", func(c *cluster) { c.awaitGangState(wire.StateFetchingImage, gangTasks) }},
	{"gathering", func(c *cluster) {
		c.awaitGangState(wire.StateFetchingImage, gangTasks)
		c.agentWithJob("wk-9").SetImageFetchDelay(4 * time.Second)
		c.awaitGangState(wire.StateAwaitingGang, 1)
	}},
	{"running", func(c *cluster) {
		c.awaitGangState(wire.StateRunning, gangTasks)
		time.Sleep(6 * time.Second)
	}},
	{"saving", func(c *cluster) {
		c.awaitGangState(wire.StateRunning, gangTasks)
		time.Sleep(6 * time.Second)
		c.cordonMachine(c.agentWithJob("wk-9"))
		c.awaitGangState(wire.StateSavingCheckpoint, 1)
	}},
	{"ended", func(c *cluster) { // with the end not stored yet, because the store is down
		c.awaitGangState(wire.StateRunning, gangTasks)
		time.Sleep(18 * time.Second)
		c.env.Store.SetUnavailable(true)
		c.awaitGangState(wire.StateExited, gangTasks)
		time.AfterFunc(2*time.Second, func() { c.env.Store.SetUnavailable(false) })
	}},
}

// cordonMachine cordons a machine, as controllers do when tasks keep failing on it.
func (c *cluster) cordonMachine(target *agent.Agent) {
	for _, n := range c.nodes {
		ctl := n.controller()
		ctl.call(c.ctx, priorityStore, func() {
			m := ctl.getOrAddMachine(target.Name())
			m.cordoned, m.cordonedAt = true, ctl.now
		})
	}
}

// gangEvent is something that happens to a gang.
type gangEvent struct {
	name    string
	trigger func(c *cluster)
}

var gangEvents = []gangEvent{
	{"cancelled", func(c *cluster) { c.tryCancelJob("wk-9") }},
	{"evicted", func(c *cluster) {
		c.env.Cloud.SetCapacity(0)
		c.submit(newSubmission(submission{ID: "wk-91", Kind: wire.KindArray, Team: "blue", Priority: "production", Tasks: 40, CPUs: 2, EstimateS: 3}))
	}},
	{"spot notice", func(c *cluster) { c.agentWithJob("wk-9").TerminateAfter(8 * time.Second) }},
	{"terminated without notice", func(c *cluster) { c.agentWithJob("wk-9").Terminate() }},
	{"drained", func(c *cluster) { c.cordonMachine(c.agentWithJob("wk-9")) }},
	{"machine hangs", func(c *cluster) {
		a := c.agentWithJob("wk-9")
		a.SetHanging(true)
		time.AfterFunc(8*time.Second, func() { a.SetHanging(false) })
	}},
	{"machine isolated", func(c *cluster) {
		a := c.agentWithJob("wk-9")
		a.SetIsolated(true)
		time.AfterFunc(25*time.Second, func() { a.SetIsolated(false) })
	}},
	{"commands arrive late", func(c *cluster) {
		for _, n := range c.nodes {
			n.transport.SetDelay(3*time.Second, 4*time.Second)
		}
		c.setFaultPolicies(policyForMatching(isAgentRequest, network.ExecuteLate))
		time.AfterFunc(15*time.Second, func() { c.setFaultPolicies(nil) })
	}},
	{"all controllers restart", (*cluster).restartAll},
	{"leader ends", func(c *cluster) {
		c.kill(0)
		time.Sleep(7 * time.Second)
		c.start(0)
	}},
	{"done and cancelled", func(c *cluster) {
		go c.sendRequest(1, submitRequest(phasedGangSubmission(), nil))
		c.tryCancelJob("wk-9")
	}},
}

// Each event is applied to a gang in each phase. No invariant may be violated, and the gang must
// complete, or end soon if it was cancelled.
func TestGangEventsInEachPhase(t *testing.T) {
	for _, phase := range gangPhases {
		for _, event := range gangEvents {
			t.Run(phase.name+", "+event.name, func(t *testing.T) {
				runCluster(t, func(c *cluster) { c.checkGangEvent(phase, event) })
			})
		}
	}
}

// checkGangEvent applies an event to a gang in a phase and checks that the gang finishes with
// either all of its tasks done or none.
func (c *cluster) checkGangEvent(phase gangPhase, event gangEvent) {
	c.t.Helper()
	c.startServices(2, 2)
	c.submit(phasedGangSubmission())
	phase.awaitPhase(c)
	event.trigger(c)
	time.Sleep(40 * time.Second)
	c.env.Cloud.SetCapacity(20)
	c.env.MarkFaultsEnded()
	c.await("the gang is done or cancelled", 3*time.Minute, func() bool {
		s := c.jobState("wk-9")
		return s == wire.StateDone || s == wire.StateCancelled
	})
	if n := c.env.CountCompletedTasks("wk-9"); n != 0 && n != gangTasks {
		c.t.Errorf("%d of %d tasks are done, want none or all", n, gangTasks)
	}
}

// stopInterference keeps members of a gang from receiving a stop command. inject returns a
// function that ends it.
type stopInterference struct {
	name          string
	inject        func(c *cluster, a *agent.Agent) (end func())
	savesProgress bool // whether the gang still saves its progress
}

var stopInterferences = []stopInterference{
	{"all members are reached", func(*cluster, *agent.Agent) func() { return doNothing }, true},
	{"one member is reached by the response to its heartbeat only", func(c *cluster, a *agent.Agent) func() {
		c.setFaultPolicies(policyForMatching(func(r *http.Request) bool { return r.URL.Host == a.Addr() }, network.Drop))
		return func() { c.setFaultPolicies(nil) }
	}, true},
	{"no machine sends heartbeats for a while", func(c *cluster, _ *agent.Agent) func() {
		set := func(notSending bool) {
			for _, a := range c.env.Cloud.Agents() {
				a.SetOutboundBlocked(notSending)
			}
		}
		set(true)
		return func() { set(false) }
	}, true},
	{"one machine is isolated", func(_ *cluster, a *agent.Agent) func() {
		a.SetIsolated(true)
		return func() { a.SetIsolated(false) }
	}, false},
}

// An orderly stop saves the gang's progress also if one member is reached late, by the response
// to its next heartbeat. If one member can't be reached, nothing is saved and the gang resumes
// from its last checkpoint.
func TestOrderlyStopNeedsAllMembers(t *testing.T) {
	for _, x := range stopInterferences {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkOrderlyStop(x) })
		})
	}
}

// checkOrderlyStop cordons a machine of a running gang while messages are interfered with, and
// checks whether the gang saves its progress.
func (c *cluster) checkOrderlyStop(x stopInterference) {
	c.t.Helper()
	gang := phasedGangSubmission()
	gang.Priority, gang.EstimateS = "low", 60
	c.submit(gang)
	c.awaitGangState(wire.StateRunning, gangTasks)
	time.Sleep(21 * time.Second)
	a := c.agentWithJob("wk-9")
	end := x.inject(c, a)
	c.cordonMachine(a)
	if x.savesProgress {
		time.Sleep(6 * time.Second) // enough to receive the stop and to save, and less than a lease
		if n := c.env.CountRunningTasks("wk-9"); n > 0 {
			c.t.Errorf("%d tasks of the gang still run after 6 s, want none", n)
		}
		end()
	}
	c.await("no task of the gang runs", 40*time.Second, func() bool { return c.env.CountRunningTasks("wk-9") == 0 })
	if checkpoint := c.env.SavedProgress("wk-9"); (checkpoint >= 20*time.Second) != x.savesProgress {
		c.t.Errorf("%v of progress are saved; at least 20 s saved: want %v", checkpoint, x.savesProgress)
	}
	if !x.savesProgress {
		end()
	}
	c.awaitDone("wk-9", 4*time.Minute)
}

// A team is at its quota with a gang, one of whose machines can't be reached. After the
// cancellation, the gang counts toward the quota until all its tasks are proven to have ended, so
// another gang of the team starts only then. The invariant checker compares the tasks on machines
// with the quota at each instant.
func TestCancelledGangCountsTowardQuotaUntilTasksEnd(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(gangSubmission("wk-9", "red", "normal", 12, 200)) // 24 of 24 CPUs
		c.await("the first gang runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-9") == 12 })
		c.agentWithJob("wk-9").SetIsolated(true)
		cancelled := time.Now()
		c.cancelJob("wk-9")
		c.submit(gangSubmission("wk-10", "red", "normal", 12, 10))
		c.await("the second gang runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-10") == 12 })
		if after := time.Since(cancelled); after < 5*time.Second {
			t.Errorf("the second gang began %v after the cancellation of the first, one of whose machines was unreachable; want at least 5 s", after)
		}
	})
}

// Tasks that exit because other members of the gang are missing must not count as failures: the
// machine and the job are not avoided, delayed or cordoned for them.
func TestMissingGangMembersAreNotFailures(t *testing.T) {
	c := newTestController(t)
	m := c.getOrAddMachine("host-1")
	j := &job{id: "wk-1", spec: &wire.Job{ID: "wk-1", Gang: true, TaskCount: 2}}
	c.jobs["wk-1"] = j
	for _, reason := range []string{wire.ReasonGangTaskEnded, wire.ReasonIncompleteGang} {
		for range 5 {
			c.handleTaskEnd(m, j, reason)
		}
	}
	if len(m.failedJobs) > 0 || len(j.failedMachines) > 0 || !m.placementBackoffUntil.IsZero() || !j.retryAt.IsZero() || m.cordoned {
		t.Errorf("machine has failed jobs %v, backoff until %v, cordoned: %v; job has failed machines %v, retry at %v; want none", m.failedJobs, m.placementBackoffUntil, m.cordoned, j.failedMachines, j.retryAt)
	}
	c.handleTaskEnd(m, j, wire.ReasonError)
	if len(m.failedJobs) != 1 || len(j.failedMachines) != 1 {
		t.Error("an exit with an error is not recorded as a failure of the job on the machine")
	}
}

// An attempt is broken if it has run and lost a task, or can't be completed. The remaining tasks
// are then stopped at once without time to save, before they detect it themselves. An attempt
// that has not run is not broken by a lost task, which is replaced.
func TestBrokenGangAttempts(t *testing.T) {
	for _, x := range []struct {
		name   string
		state  string
		reason string
		lost   bool
		broken bool
	}{
		{"all gather", wire.StateAwaitingGang, "", false, false}, {"one is lost while they gather", wire.StateAwaitingGang, "", true, false},
		{"all run", wire.StateRunning, "", false, false}, {"one is lost while they run", wire.StateRunning, "", true, true},
		{"one is lost while they save", wire.StateSavingCheckpoint, "", true, true},
		{"one reports an incomplete gang", wire.StateExited, wire.ReasonIncompleteGang, false, true},
		{"one has failed", wire.StateExited, wire.ReasonError, false, true},
		{"one reports that its peers have ended", wire.StateExited, wire.ReasonGangTaskEnded, false, true},
	} {
		c := newTestController(t)
		p := c.partitions[0]
		m := c.getOrAddMachine("host-1")
		c.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 1}, p, workerRequest)
		c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: &wire.Job{ID: "wk-1", Gang: true, TaskCount: 2, CPUs: 1, CheckpointIntervalS: 5, CheckpointSaveS: 2, Team: "t"}}), 2)
		tasks := []record.Binding{{Task: 0, Attempt: 1, Machine: "host-1", Incarnation: 1}, {Task: 1, Attempt: 1, Machine: "host-1", Incarnation: 1}}
		if x.lost {
			tasks[1] = record.Binding{Task: 1, Attempt: 1}
		}
		c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: tasks}), 3)
		heartbeat := &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 2, FencingToken: 1, Tasks: []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: x.state, Reason: x.reason}}}
		if !x.lost {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: "wk-1/1", Attempt: 1, State: wire.StateRunning})
			if x.state == wire.StateAwaitingGang || x.reason == wire.ReasonIncompleteGang {
				heartbeat.Tasks[1].State = wire.StateAwaitingGang
			}
		}
		c.applyHeartbeat(m, heartbeat, p, workerRequest)
		job := c.jobs["wk-1"]
		if got := c.isGangBroken(job); got != x.broken {
			t.Errorf("%s: attempt is broken: %v, want the opposite", x.name, got)
		}
		if grace := c.stopGraceS(job); (grace > 0) == x.broken {
			t.Errorf("%s: %v s to save, want more than 0 only if the attempt is not broken", x.name, grace)
		}
	}
}

// newControllerWithGang returns a controller with a gang of four tasks bound to one machine. The
// gang is stored in the given number of task groups.
func newControllerWithGang(t *testing.T, groupCount int) (*controller, *partition, []*taskGroup) {
	t.Helper()
	ctl := newTestController(t)
	p := ctl.partitions[0]
	m := ctl.getOrAddMachine("host-1")
	ctl.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 1}, p, workerRequest)
	ctl.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: ctl.now.UnixMilli(), Spec: &wire.Job{ID: "wk-1", Gang: true, TaskCount: 4, CPUs: 1, Team: "t"}}), 2)
	var groups []*taskGroup
	for groupNumber := range groupCount {
		var tasks []record.Binding
		for taskNumber := groupNumber * 4 / groupCount; taskNumber < (groupNumber+1)*4/groupCount; taskNumber++ {
			tasks = append(tasks, record.Binding{Task: int32(taskNumber), Attempt: 1, Machine: "host-1", Incarnation: 1})
		}
		key := groupKey("wk-1", groupNumber)
		ctl.replica.Put(key, marshalJSON(t, record.TaskGroup{Tasks: tasks}), uint64(3+groupNumber))
		groups = append(groups, ctl.groupByKey[key])
	}
	return ctl, p, groups
}

// applyGangHeartbeat applies the machine's next heartbeat. exitReasons has the exit reasons of the
// tasks that have exited, by task number; all others run.
func applyGangHeartbeat(ctl *controller, p *partition, exitReasons map[int]string) {
	heartbeat := &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 2, FencingToken: 1}
	for taskNumber := range 4 {
		if reason, ok := exitReasons[taskNumber]; ok {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: fmt.Sprint("wk-1/", taskNumber), Attempt: 1, State: wire.StateExited, Reason: reason})
		} else {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: fmt.Sprint("wk-1/", taskNumber), Attempt: 1, State: wire.StateRunning})
		}
	}
	ctl.applyHeartbeat(ctl.getOrAddMachine("host-1"), heartbeat, p, workerRequest)
}

// One task that is done completes all tasks of the gang and, in the same write, the job, whether
// or not the heartbeats of the others have arrived and whatever reason they show. Tasks that are
// still on their machines stay bound until they are proven to have ended.
func TestGangCompletesWithItsFirstDoneTask(t *testing.T) {
	for _, x := range []struct {
		name        string
		exitReasons map[int]string
		left        []int32 // tasks that stay bound
	}{
		{"only one task has exited", map[int]string{2: wire.ReasonDone}, []int32{0, 1, 3}},
		{"others exit with mates_gone", map[int]string{0: wire.ReasonGangTaskEnded, 1: wire.ReasonDone, 3: wire.ReasonGangTaskEnded}, []int32{2}},
		{"another exits as stopped", map[int]string{0: wire.ReasonStopped, 3: wire.ReasonDone}, []int32{1, 2}},
		{"all have exited", map[int]string{0: wire.ReasonDone, 1: wire.ReasonDone, 2: wire.ReasonStopped, 3: wire.ReasonGangTaskEnded}, nil},
	} {
		t.Run(x.name, func(t *testing.T) { checkDoneGang(t, x.exitReasons, x.left) })
	}
}

// Stored completions count together with those in heartbeats. If no task is done, none is stored
// as done. A controller that takes over after part of the records were stored as done completes
// the rest.
func TestDoneGangAfterFailover(t *testing.T) {
	c, p, groups := newControllerWithGang(t, 1)
	applyGangHeartbeat(c, p, map[int]string{0: wire.ReasonGangTaskEnded, 1: wire.ReasonGangTaskEnded, 2: wire.ReasonGangTaskEnded, 3: wire.ReasonGangTaskEnded})
	if update := c.planUpdate(p, groups[0]); update.doneTasks != 0 || len(update.bindings) != 4 {
		t.Errorf("no task is done: the update has %d tasks done and %d bindings, want 0 and 4", update.doneTasks, len(update.bindings))
	}
	c, p, groups = newControllerWithGang(t, 2)
	c.replica.Put(groups[0].key, marshalJSON(t, record.TaskGroup{DoneTasks: 2, Tasks: []record.Binding{}}), 9) // written by the former owner
	applyGangHeartbeat(c, p, map[int]string{2: wire.ReasonGangTaskEnded, 3: wire.ReasonGangTaskEnded})
	if update := c.planUpdate(p, groups[1]); update.doneTasks != 2 || !c.completesJob(groups[1], &update) {
		t.Errorf("half of the gang is stored as done: the update has %d of the other tasks done, want 2 and the job completed", update.doneTasks)
	}
}

// checkDoneGang applies a gang's heartbeat and checks the resulting update: it completes the job,
// and exactly the tasks in wantLeft stay bound.
func checkDoneGang(t *testing.T, exitReasons map[int]string, wantLeft []int32) {
	t.Helper()
	ctl, p, groups := newControllerWithGang(t, 1)
	applyGangHeartbeat(ctl, p, exitReasons)
	update := ctl.planUpdate(p, groups[0])
	var left []int32
	for _, bound := range update.bindings {
		if bound.machine == nil || bound.attempt != 1 {
			t.Errorf("task %d has binding %+v, want it bound in attempt 1", bound.task, bound)
		}
		left = append(left, bound.task)
	}
	if update.doneTasks != 4-len(wantLeft) || !slices.Equal(left, wantLeft) || !ctl.completesJob(groups[0], &update) {
		t.Errorf("%d tasks done, %v still bound, completes the job: %v; want %v still bound, all others done and the job completed", update.doneTasks, left, ctl.completesJob(groups[0], &update), wantLeft)
	}
}
