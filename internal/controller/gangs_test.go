package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/wire"
)

// gangSubmission returns a submission of a gang that saves its progress every 4 s.
func gangSubmission(id, team, priority string, tasks int, estimate float64) *submission {
	gang := newSubmission(submission{ID: id, Kind: wire.KindGang, Team: team, Priority: priority, Tasks: tasks, CPUs: 2, EstimateS: estimate})
	gang.CheckpointS, gang.SaveS = 4, 1.5
	return gang
}

// attemptCounts returns the number of a job's tasks by attempt number, according to the first
// running controller.
func (c *cluster) attemptCounts(id string) map[uint64]int {
	counts := map[uint64]int{}
	for _, n := range c.nodes {
		if !n.isRunning() {
			continue
		}
		n.controller().call(c.ctx, priorityStore, func() {
			if job := n.controller().jobs[id]; job != nil {
				for _, group := range job.groups {
					for i := range group.bindings {
						counts[group.bindings[i].attempt]++
					}
				}
			}
		})
		break
	}
	return counts
}

// agentWithJob returns the agent of a machine that a job is bound to.
func (c *cluster) agentWithJob(id string) *agent.Agent {
	c.t.Helper()
	for _, candidate := range c.env.Cloud.Agents() {
		for _, n := range c.nodes {
			found := false
			n.controller().call(c.ctx, priorityStore, func() {
				for _, x := range n.controller().getOrAddMachine(candidate.Name()).bindings {
					found = found || x.group.job.id == id
				}
			})
			if found {
				return candidate
			}
		}
	}
	c.t.Fatalf("%s is bound to no machine, want at least one", id)
	return nil
}

// If a gang loses a machine before it has run, the lost tasks are replaced under the same attempt
// number. After it has run, the whole gang stops and starts again under one new number.
func TestGangLosesMember(t *testing.T) {
	for _, x := range []lostMemberCase{
		{"machine terminated before the gang runs", false, 1, (*agent.Agent).Terminate},
		{"machine terminated while the gang runs", true, 2, (*agent.Agent).Terminate},
		{"machine restarts before the gang runs", false, 1, (*agent.Agent).Restart},
		{"machine restarts while the gang runs", true, 2, (*agent.Agent).Restart},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkLostMember(x) })
		})
	}
}

// lostMemberCase is a row of TestGangLosesMember.
type lostMemberCase struct {
	name         string
	whileRunning bool   // whether the gang runs when it loses the machine
	wantAttempt  uint64 // the attempt that runs in the end
	failMachine  func(*agent.Agent)
}

// checkLostMember has a gang lose a machine and checks in which attempt it runs afterwards.
func (c *cluster) checkLostMember(x lostMemberCase) {
	c.t.Helper()
	// Leave room in all partitions in addition to that for the gang and the gang reserve. If the
	// gang's own partition had no room left, the gang would begin a new attempt in another
	// partition, which is correct.
	const services, remaining = 18, 2
	c.startServices(services, 2)
	for i := range services - remaining {
		c.cancelJob(fmt.Sprintf("wk-%d", i+1))
	}
	gang := gangSubmission("wk-99", "blue", "urgent", 4, 20)
	gang.ImageGB, gang.Image, gang.MachineTypes = 7, "gang", []string{"small"}
	c.submit(gang)
	c.await("the gang is bound", time.Minute, func() bool { return c.attemptCounts("wk-99")[1] == 4 })
	if x.whileRunning {
		c.await("the gang runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-99") == 4 })
		time.Sleep(6 * time.Second)
	} else {
		time.Sleep(3 * time.Second)
	}
	x.failMachine(c.agentWithJob("wk-99"))
	c.await("the gang runs in the expected attempt", time.Minute, func() bool {
		return c.env.CountRunningTasks("wk-99") == 4 && c.attemptCounts("wk-99")[x.wantAttempt] == 4
	})
	c.env.MarkFaultsEnded()
	c.awaitDone("wk-99", 2*time.Minute)
}

// A preempted gang is stopped in order: all tasks at once, with time to save. It resumes from the
// saved progress.
func TestPreemptedGangSavesItsProgress(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(gangSubmission("wk-1", "blue", "low", 4, 60))
		c.await("the gang runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 4 })
		time.Sleep(25 * time.Second)
		c.env.Cloud.SetCapacity(0)
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "blue", Priority: "urgent", Tasks: 40, CPUs: 2, EstimateS: 5}))
		c.await("no task of the gang runs", 20*time.Second, func() bool { return c.env.CountRunningTasks("wk-1") == 0 })
		if p := c.env.SavedProgress("wk-1"); p < 20*time.Second {
			t.Errorf("%v of progress are saved, want at least 20 s", p)
		}
		c.awaitDone("wk-1", 3*time.Minute)
		if n := c.env.CountCompletedTasks("wk-1"); n != 4 {
			t.Errorf("%d tasks are done, want 4", n)
		}
	})
}

// A task on a machine that is isolated while it fetches leaves the others waiting. The attempt
// ends as incomplete, and the whole gang starts again elsewhere.
func TestIncompleteGangRestarts(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startServices(4, 2)
		gang := gangSubmission("wk-9", "blue", "urgent", 4, 10)
		gang.ImageGB, gang.Image, gang.MachineTypes = 3, "gang", []string{"small"}
		c.submit(gang)
		c.await("the gang is bound", time.Minute, func() bool { return c.attemptCounts("wk-9")[1] == 4 })
		isolatedAgent := c.agentWithJob("wk-9")
		isolatedAgent.SetIsolated(true) // the task goes on fetching
		time.Sleep(25 * time.Second)
		isolatedAgent.SetIsolated(false)
		c.env.MarkFaultsEnded()
		c.awaitDone("wk-9", 2*time.Minute)
	})
}

// At different times in a gang's life, a cancellation ends it, and a restart of controllers does
// not start a new attempt.
func TestGangUnderCancellationAndControllerRestarts(t *testing.T) {
	for after := range 6 {
		for _, x := range []struct {
			name  string
			check func(c *cluster)
		}{
			{"cancel", (*cluster).checkGangCancelled},
			{"kill all", func(c *cluster) {
				c.restartAll()
				c.checkGangCompletes()
			}},
			{"kill leader", func(c *cluster) {
				c.kill(0)
				time.Sleep(5 * time.Second)
				c.start(0)
				c.checkGangCompletes()
			}},
		} {
			t.Run(fmt.Sprint(x.name, after), func(t *testing.T) {
				runCluster(t, func(c *cluster) {
					c.startServices(3, 2)
					gang := gangSubmission("wk-9", "blue", "urgent", 5, 15)
					gang.ImageGB, gang.SingleZone = 4, true
					c.submit(gang)
					time.Sleep(time.Duration(after*2500+300) * time.Millisecond)
					x.check(c)
				})
			})
		}
	}
}

// checkGangCancelled cancels the gang and checks that none of its tasks runs 4 s later.
func (c *cluster) checkGangCancelled() {
	c.t.Helper()
	c.cancelJob("wk-9")
	time.Sleep(4 * time.Second)
	if n := c.env.CountRunningTasks("wk-9"); n > 0 {
		c.t.Errorf("%d tasks of the cancelled gang run, want none", n)
	}
}

// checkGangCompletes checks that the gang completes, with all tasks in one attempt.
func (c *cluster) checkGangCompletes() {
	c.t.Helper()
	c.awaitDone("wk-9", 2*time.Minute)
	if attempts := c.attemptCounts("wk-9"); len(attempts) > 1 {
		c.t.Errorf("tasks by attempt: %v, want one attempt", attempts)
	}
}

// Among a continuous load of small tasks, each gang begins within 100 s, and none waits for cells
// that another gang holds.
func TestGangsAmongSmallTasks(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(6)
		for i := range 12 {
			c.submit(newSubmission(submission{ID: fmt.Sprintf("wk-%d", i+1), Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 40, CPUs: 1, EstimateS: 9}))
		}
		time.Sleep(30 * time.Second)
		for i := range 3 {
			gang := gangSubmission(fmt.Sprintf("wk-10%d", i), "blue", "normal", 6, 10)
			gang.SingleZone = i == 0
			c.submit(gang)
		}
		begunGangs := map[int]bool{}
		for until := time.Now().Add(100 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
			for i := range 3 {
				id := fmt.Sprintf("wk-10%d", i)
				if c.env.CountRunningTasks(id) == 6 || c.env.CountCompletedTasks(id) == 6 {
					begunGangs[i] = true
				}
			}
		}
		if len(begunGangs) < 3 {
			t.Errorf("gangs that began within 100 s: %v, want all three", begunGangs)
		}
		for i := range 3 {
			c.awaitDone(fmt.Sprintf("wk-10%d", i), 5*time.Minute)
		}
	})
}

// A gang that can never run is rejected, also when it is submitted again, even though each of its
// tasks alone could run.
func TestInfeasibleGangsAreRejected(t *testing.T) {
	runCluster(t, func(c *cluster) {
		time.Sleep(5 * time.Second)
		for range 2 {
			gang := gangSubmission("wk-1", "red", "normal", 13, 5) // 26 of 24 CPUs
			if answer := c.sendWithRetries(submitRequest(gang, nil), 10*time.Second); answer.status != http.StatusUnprocessableEntity {
				t.Errorf("gang larger than its team's quota: status %d, want 422", answer.status)
			}
		}
		gang := gangSubmission("wk-1", "red", "normal", 12, 5)
		c.submit(gang)
		c.awaitDone("wk-1", 2*time.Minute)
	})
}

// Malformed gangs are rejected with status 400, and gangs that can never run with status 422. An
// accepted gang is never rejected when it is submitted again, even if the current settings would
// not accept it, and a cancelled gang stays cancelled.
func TestGangAPIResponses(t *testing.T) {
	runCluster(t, func(c *cluster) {
		time.Sleep(5 * time.Second)
		for i, x := range []struct {
			name   string
			change func(*submission)
			status int
		}{
			{"unknown shape", func(b *submission) { b.Kind = "herd" }, http.StatusBadRequest},
			{"no number of tasks", func(b *submission) { b.omittedField = "eggs" }, http.StatusBadRequest},
			{"negative time to save", func(b *submission) { b.SaveS = -1 }, http.StatusBadRequest},
			{"all tasks together exceed the quota", func(b *submission) { b.Team, b.Tasks = "red", 13 }, http.StatusUnprocessableEntity},
			{"a task fits no allowed type", func(b *submission) { b.MachineTypes, b.CPUs = []string{"small"}, 5 }, http.StatusUnprocessableEntity},
			{"no allowed type is in its zone", func(b *submission) { b.MachineTypes, b.Zone = []string{"large"}, "b" }, http.StatusUnprocessableEntity},
			{"an unknown team", func(b *submission) { b.Team = "green" }, http.StatusUnprocessableEntity},
			{"more tasks than the current machines hold", func(b *submission) { b.Tasks = 900 }, http.StatusCreated},
		} {
			id := fmt.Sprintf("wk-5%d", i)
			b := gangSubmission(id, "blue", "normal", 3, 5)
			x.change(b)
			if answer := c.sendWithRetries(submitRequest(b, nil), 10*time.Second); answer.status != x.status {
				t.Errorf("%s: status %d, want %d", x.name, answer.status, x.status)
			}
		}
		c.submit(gangSubmission("wk-7", "blue", "normal", 3, 200))
		c.cancelJob("wk-7")
		c.submit(gangSubmission("wk-6", "red", "normal", 10, 200))
		c.await("the gang runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-6") == 10 })
		for _, n := range c.nodes { // under these settings the gang could never run
			n.cfg.Settings.Teams = []config.Team{{Name: "blue"}, {Name: "red", GuaranteedCPUs: 2, MaxCPUs: 4}}
		}
		c.restartAll()
		if answer := c.sendWithRetries(submitRequest(gangSubmission("wk-6", "red", "normal", 10, 200), nil), 20*time.Second); answer.status != http.StatusOK || answer.state != wire.StateRunning {
			t.Errorf("repeated submission after a restart with lower quotas: status %d, %q; want 200, %q", answer.status, answer.state, wire.StateRunning)
		}
		if answer := c.sendWithRetries(submitRequest(gangSubmission("wk-7", "blue", "normal", 3, 200), nil), 20*time.Second); answer.status != http.StatusOK || answer.state != wire.StateCancelled {
			t.Errorf("repeated submission of a cancelled gang: status %d, %q; want 200, %q", answer.status, answer.state, wire.StateCancelled)
		}
		if answer := c.sendWithRetries(queryRequest("wk-77"), 10*time.Second); answer.status != http.StatusNotFound {
			t.Errorf("query of an unknown job: status %d, want 404", answer.status)
		}
		c.cancelJob("wk-6")
		c.await("no task of the cancelled gang runs", 30*time.Second, func() bool { return c.env.CountRunningTasks("wk-6") == 0 })
	})
}
