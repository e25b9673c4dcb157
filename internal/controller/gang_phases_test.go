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

// The clauses of the protocol on gangs; docs/design.md lists them with their tests.

// gangPhase is a phase of a gang's life, and how a gang that was just submitted comes to it.
type gangPhase struct {
	name       string
	awaitPhase func(*cluster)
}

// gangTasks is how many tasks the gangs of these tests have.
const gangTasks = 4

// phasedGangSubmission is a gang that fetches for 4 s, gathers for 4 more if a machine is slow, and
// takes 3 s to save.
func phasedGangSubmission() *submission {
	b := gangSubmission("wk-9", "blue", "normal", gangTasks, 20)
	b.SaveS, b.ImageGB, b.Image, b.MachineTypes, b.SingleZone = 3, 4, "gang", []string{"small"}, true
	return b
}

// awaitGangState waits until enough tasks of the gang are in a state.
func (c *cluster) awaitGangState(state string, least int) {
	c.t.Helper()
	for until := time.Now().Add(time.Minute); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if c.env.TaskStates("wk-9")[state] >= least {
			return
		}
	}
	c.t.Fatalf("tasks by state: %v, want %d %s", c.env.TaskStates("wk-9"), least, state)
}

var gangPhases = []gangPhase{
	{"fetching", func(c *cluster) { c.awaitGangState(wire.Fetching, gangTasks) }},
	{"gathering", func(c *cluster) {
		c.awaitGangState(wire.Fetching, gangTasks)
		c.agentWithJob("wk-9").SetImageDelay(4 * time.Second)
		c.awaitGangState(wire.Gathering, 1)
	}},
	{"running", func(c *cluster) {
		c.awaitGangState(wire.Running, gangTasks)
		time.Sleep(6 * time.Second)
	}},
	{"saving", func(c *cluster) {
		c.awaitGangState(wire.Running, gangTasks)
		time.Sleep(6 * time.Second)
		c.cordonMachine(c.agentWithJob("wk-9"))
		c.awaitGangState(wire.Saving, 1)
	}},
	{"ended", func(c *cluster) { // and not known to have: nothing can be stored
		c.awaitGangState(wire.Running, gangTasks)
		time.Sleep(18 * time.Second)
		c.env.Store.SetDown(true)
		c.awaitGangState(wire.Exited, gangTasks)
		time.AfterFunc(2*time.Second, func() { c.env.Store.SetDown(false) })
	}},
}

// cordonMachine has a machine cordoned, as one on which tasks fail is.
func (c *cluster) cordonMachine(a *agent.Agent) {
	for _, n := range c.nodes {
		ctl := n.controller()
		ctl.call(c.ctx, priorityStore, func() {
			m := ctl.getOrAddMachine(a.Name())
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
		c.submit(newSubmission(submission{ID: "wk-91", Kind: wire.Array, Team: "blue", Priority: "production", Tasks: 40, CPUs: 2, EstimateS: 3}))
	}},
	{"spot notice", func(c *cluster) { c.agentWithJob("wk-9").TerminateAfter(8 * time.Second) }},
	{"taken without notice", func(c *cluster) { c.agentWithJob("wk-9").Terminate() }},
	{"drained", func(c *cluster) { c.cordonMachine(c.agentWithJob("wk-9")) }},
	{"machine hangs", func(c *cluster) {
		a := c.agentWithJob("wk-9")
		a.SetHanging(true)
		time.AfterFunc(8*time.Second, func() { a.SetHanging(false) })
	}},
	{"machine cut off", func(c *cluster) {
		a := c.agentWithJob("wk-9")
		a.SetIsolated(true)
		time.AfterFunc(25*time.Second, func() { a.SetIsolated(false) })
	}},
	{"commands late", func(c *cluster) {
		for _, n := range c.nodes {
			n.transport.SetDelay(3*time.Second, 4*time.Second)
		}
		c.setPolicies(onlyWhen(isAgentRequest, network.ExecuteLate))
		time.AfterFunc(15*time.Second, func() { c.setPolicies(nil) })
	}},
	{"all controllers end", (*cluster).restartAll},
	{"leader ends", func(c *cluster) {
		c.kill(0)
		time.Sleep(7 * time.Second)
		c.start(0)
	}},
	{"done and cancelled", func(c *cluster) {
		go c.ask(1, submitRequest(phasedGangSubmission(), nil))
		c.tryCancelJob("wk-9")
	}},
}

// A gang meets each of what may happen to it in each phase of its life: no rule breaks, and
// it is done in the end, or gone soon if it was cancelled.
func TestGangEventsInEachPhase(t *testing.T) {
	for _, phase := range gangPhases {
		for _, event := range gangEvents {
			t.Run(phase.name+", "+event.name, func(t *testing.T) {
				runCluster(t, func(c *cluster) { c.checkGangEvent(phase, event) })
			})
		}
	}
}

func (c *cluster) checkGangEvent(phase gangPhase, event gangEvent) {
	c.t.Helper()
	c.runServices(2, 2)
	c.submit(phasedGangSubmission())
	phase.awaitPhase(c)
	event.trigger(c)
	time.Sleep(40 * time.Second)
	c.env.Cloud.SetCapacity(20)
	c.env.SetSettled()
	c.await("it is finished", 3*time.Minute, func() bool {
		s := c.state("wk-9")
		return s == wire.Done || s == wire.Cancelled
	})
	if n := c.env.Completed("wk-9"); n != 0 && n != gangTasks {
		c.t.Errorf("%d of %d tasks are done, want none or all", n, gangTasks)
	}
}

// stopInterference keeps members of a gang from hearing of a stop.
type stopInterference struct {
	name   string
	inject func(c *cluster, a *agent.Agent) (end func())
	saves  bool // the gang saves its progress all the same
}

var stopInterferences = []stopInterference{
	{"all are reached", func(*cluster, *agent.Agent) func() { return doNothing }, true},
	{"one hears by its heartbeat", func(c *cluster, a *agent.Agent) func() {
		c.setPolicies(onlyWhen(func(r *http.Request) bool { return r.URL.Host == a.Addr() }, network.Drop))
		return func() { c.setPolicies(nil) }
	}, true},
	{"none sends heartbeats for a while", func(c *cluster, _ *agent.Agent) func() {
		set := func(notSending bool) {
			for _, a := range c.env.Cloud.Agents() {
				a.SetNotSending(notSending)
			}
		}
		set(true)
		return func() { set(false) }
	}, true},
	{"one is cut off", func(_ *cluster, a *agent.Agent) func() {
		a.SetIsolated(true)
		return func() { a.SetIsolated(false) }
	}, false},
}

// An orderly stop with a member that hears of it late, by its next heartbeat, saves; with one
// that can't be reached nothing is saved, and the gang goes on from its last checkpoint.
func TestOrderlyStopNeedsAllMembers(t *testing.T) {
	for _, x := range stopInterferences {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkOrderlyStop(x) })
		})
	}
}

func (c *cluster) checkOrderlyStop(x stopInterference) {
	c.t.Helper()
	gang := phasedGangSubmission()
	gang.Priority, gang.EstimateS = "low", 60
	c.submit(gang)
	c.awaitGangState(wire.Running, gangTasks)
	time.Sleep(21 * time.Second)
	a := c.agentWithJob("wk-9")
	end := x.inject(c, a)
	c.cordonMachine(a)
	if x.saves {
		time.Sleep(6 * time.Second) // to hear and to save, and less than a lease
		if n := c.env.Running("wk-9"); n > 0 {
			c.t.Errorf("%d tasks have not stopped in time, want none", n)
		}
		end()
	}
	c.await("it has left", 40*time.Second, func() bool { return c.env.Running("wk-9") == 0 })
	if checkpoint := c.env.Checkpoint("wk-9"); (checkpoint >= 20*time.Second) != x.saves {
		c.t.Errorf("%v of progress are saved; saved at all: want %v", checkpoint, x.saves)
	}
	if !x.saves {
		end()
	}
	c.awaitDone("wk-9", 4*time.Minute)
}

// A team at its limit with a gang whose machine can't be reached: what is cancelled counts
// until it is proved gone, so another gang of the team begins only then. The rule checker
// counts what is on machines at each instant.
func TestCancelledGangCountsTowardQuotaUntilTasksEnd(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(gangSubmission("wk-9", "red", "normal", 12, 200)) // 24 of 24 CPUs
		c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-9") == 12 })
		c.agentWithJob("wk-9").SetIsolated(true)
		cancelled := time.Now()
		c.cancelJob("wk-9")
		c.submit(gangSubmission("wk-10", "red", "normal", 12, 10))
		c.await("the next one runs", time.Minute, func() bool { return c.env.Running("wk-10") == 12 })
		if after := time.Since(cancelled); after < 5*time.Second {
			t.Errorf("it began %v after the cancellation, with a machine that nobody has heard; want at least 5 s", after)
		}
	})
}

// Members that exit since others are gone, or never came, are not to blame: neither the machine
// nor the job is barred, rested or counted as failing.
func TestMissingGangMembersAreNotFailures(t *testing.T) {
	c := newTestController(t)
	m := c.getOrAddMachine("host-1")
	j := &job{id: "wk-1", spec: &wire.Job{ID: "wk-1", Gang: true, Tasks: 2}}
	c.jobs["wk-1"] = j
	for _, why := range []string{wire.ReasonPeersGone, wire.ReasonIncompleteGang} {
		for range 5 {
			c.handleTaskEnd(m, j, why)
		}
	}
	if len(m.failedJobs) > 0 || len(j.failedMachines) > 0 || !m.placementBackoffUntil.IsZero() || !j.retryAt.IsZero() || m.cordoned {
		t.Errorf("machine: %v %v %v, job: %v %v", m.failedJobs, m.placementBackoffUntil, m.cordoned, j.failedMachines, j.retryAt)
	}
	c.handleTaskEnd(m, j, wire.ReasonError)
	if len(m.failedJobs) != 1 || len(j.failedMachines) != 1 {
		t.Error("a failure is not noted")
	}
}

// An attempt that has run and lost a task, or can't be completed, is broken: the others are
// stopped at once, without time to save, rather than when they find out. One that waits is
// not: its task is replaced.
func TestBrokenGangAttempts(t *testing.T) {
	for _, x := range []struct {
		name   string
		state  string
		why    string
		lost   bool
		broken bool
	}{
		{"all wait", wire.Gathering, "", false, false}, {"one is lost while they wait", wire.Gathering, "", true, false},
		{"all run", wire.Running, "", false, false}, {"one is lost while they run", wire.Running, "", true, true},
		{"one is lost while they save", wire.Saving, "", true, true},
		{"one was not joined in time", wire.Exited, wire.ReasonIncompleteGang, false, true},
		{"one has failed", wire.Exited, wire.ReasonError, false, true},
		{"one has found out", wire.Exited, wire.ReasonPeersGone, false, true},
	} {
		c := newTestController(t)
		p := c.partitions[0]
		m := c.getOrAddMachine("host-1")
		c.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, Token: 1}, p, workerRequest)
		c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: &wire.Job{ID: "wk-1", Gang: true, Tasks: 2, CPUs: 1, CheckpointS: 5, SaveS: 2, Team: "t"}}), 2)
		tasks := []record.Binding{{Task: 0, Attempt: 1, Machine: "host-1", Incarnation: 1}, {Task: 1, Attempt: 1, Machine: "host-1", Incarnation: 1}}
		if x.lost {
			tasks[1] = record.Binding{Task: 1, Attempt: 1}
		}
		c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: tasks}), 3)
		heartbeat := &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 2, Token: 1, Tasks: []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: x.state, Reason: x.why}}}
		if !x.lost {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: "wk-1/1", Attempt: 1, State: wire.Running})
			if x.state == wire.Gathering || x.why == wire.ReasonIncompleteGang {
				heartbeat.Tasks[1].State = wire.Gathering
			}
		}
		c.applyHeartbeat(m, heartbeat, p, workerRequest)
		job := c.jobs["wk-1"]
		if got := c.isGangBroken(job); got != x.broken {
			t.Errorf("%s: broken is %v", x.name, got)
		}
		if grace := c.stopGraceS(job); (grace > 0) == x.broken {
			t.Errorf("%s: %v s to save", x.name, grace)
		}
	}
}

// runningGang is a controller with a gang of four on one machine, stored in so many groups.
func runningGang(t *testing.T, records int) (*controller, *partition, []*taskGroup) {
	t.Helper()
	ctl := newTestController(t)
	p := ctl.partitions[0]
	m := ctl.getOrAddMachine("host-1")
	ctl.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, Token: 1}, p, workerRequest)
	ctl.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: ctl.now.UnixMilli(), Spec: &wire.Job{ID: "wk-1", Gang: true, Tasks: 4, CPUs: 1, Team: "t"}}), 2)
	var groups []*taskGroup
	for k := range records {
		var tasks []record.Binding
		for n := k * 4 / records; n < (k+1)*4/records; n++ {
			tasks = append(tasks, record.Binding{Task: int32(n), Attempt: 1, Machine: "host-1", Incarnation: 1})
		}
		key := groupKey("wk-1", k)
		ctl.replica.Put(key, marshalJSON(t, record.TaskGroup{Tasks: tasks}), uint64(3+k))
		groups = append(groups, ctl.groupByKey[key])
	}
	return ctl, p, groups
}

// sendGangHeartbeat is the machine's next heartbeat: why which of the gang's tasks have exited.
func sendGangHeartbeat(ctl *controller, p *partition, whys map[int]string) {
	heartbeat := &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 2, Token: 1}
	for n := range 4 {
		if why, ok := whys[n]; ok {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: fmt.Sprint("wk-1/", n), Attempt: 1, State: wire.Exited, Reason: why})
		} else {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: fmt.Sprint("wk-1/", n), Attempt: 1, State: wire.Running})
		}
	}
	ctl.applyHeartbeat(ctl.getOrAddMachine("host-1"), heartbeat, p, workerRequest)
}

// One task that is done is all done: in one change with the job's fate, whether the others'
// heartbeats have come or say that others are gone. Tasks that are still shown on their
// machines stay bound: they count there until they are gone.
func TestGangCompletesWithItsFirstDoneTask(t *testing.T) {
	for _, x := range []struct {
		name string
		whys map[int]string
		left []int32 // tasks that stay bound
	}{
		{"only one is heard", map[int]string{2: wire.ReasonDone}, []int32{0, 1, 3}},
		{"others say mates_gone", map[int]string{0: wire.ReasonPeersGone, 1: wire.ReasonDone, 3: wire.ReasonPeersGone}, []int32{2}},
		{"others are said stopped", map[int]string{0: wire.ReasonStopped, 3: wire.ReasonDone}, []int32{1, 2}},
		{"all are heard", map[int]string{0: wire.ReasonDone, 1: wire.ReasonDone, 2: wire.ReasonStopped, 3: wire.ReasonPeersGone}, nil},
	} {
		t.Run(x.name, func(t *testing.T) { checkDoneGang(t, x.whys, x.left) })
	}
}

// What is stored of a gang decides together with its heartbeats: where none is done, none is; a
// controller that takes over when a part of the records is stored as done ends the rest.
func TestDoneGangAfterFailover(t *testing.T) {
	c, p, recs := runningGang(t, 1)
	sendGangHeartbeat(c, p, map[int]string{0: wire.ReasonPeersGone, 1: wire.ReasonPeersGone, 2: wire.ReasonPeersGone, 3: wire.ReasonPeersGone})
	if update := c.planUpdate(p, recs[0]); update.doneTasks != 0 || len(update.bindings) != 4 {
		t.Errorf("none is done: %d done, %d left", update.doneTasks, len(update.bindings))
	}
	c, p, recs = runningGang(t, 2)
	c.replica.Put(recs[0].key, marshalJSON(t, record.TaskGroup{Done: 2, Tasks: []record.Binding{}}), 9) // by the owner before
	sendGangHeartbeat(c, p, map[int]string{2: wire.ReasonPeersGone, 3: wire.ReasonPeersGone})
	if update := c.planUpdate(p, recs[1]); update.doneTasks != 2 || !c.completesJob(recs[1], &update) {
		t.Errorf("half is stored as done: %d more are", update.doneTasks)
	}
}

// checkDoneGang has a gang's heartbeat come and checks what is stored: the job is done, and the
// tasks stay bound that are left.
func checkDoneGang(t *testing.T, whys map[int]string, wantLeft []int32) {
	t.Helper()
	ctl, p, groups := runningGang(t, 1)
	sendGangHeartbeat(ctl, p, whys)
	update := ctl.planUpdate(p, groups[0])
	var left []int32
	for _, bound := range update.bindings {
		if bound.machine == nil || bound.attempt != 1 {
			t.Errorf("task %d is left as %+v, want its binding", bound.task, bound)
		}
		left = append(left, bound.task)
	}
	if update.doneTasks != 4-len(wantLeft) || !slices.Equal(left, wantLeft) || !ctl.completesJob(groups[0], &update) {
		t.Errorf("%d done, %v left, ends the job: %v; want %v left and the job ended", update.doneTasks, left, ctl.completesJob(groups[0], &update), wantLeft)
	}
}
