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

// gangSubmission is a gang that saves.
func gangSubmission(id, team, priority string, tasks int, estimate float64) *submission {
	b := newSubmission(submission{ID: id, Kind: wire.Gang, Team: team, Priority: priority, Tasks: tasks, CPUs: 2, EstimateS: estimate})
	b.CheckpointS, b.SaveS = 4, 1.5
	return b
}

// attemptCounts are the attempts that a job's records name.
func (c *cluster) attemptCounts(id string) map[uint64]int {
	out := map[uint64]int{}
	for _, n := range c.nodes {
		if !n.isRunning() {
			continue
		}
		n.controller().call(c.ctx, priorityStore, func() {
			if job := n.controller().jobs[id]; job != nil {
				for _, group := range job.groups {
					for i := range group.bindings {
						out[group.bindings[i].attempt]++
					}
				}
			}
		})
		break
	}
	return out
}

// agentWithJob is a machine that a job is bound to.
func (c *cluster) agentWithJob(id string) *agent.Agent {
	c.t.Helper()
	for _, w := range c.env.Cloud.Agents() {
		for _, n := range c.nodes {
			found := false
			n.controller().call(c.ctx, priorityStore, func() {
				for _, x := range n.controller().getOrAddMachine(w.Name()).bindings {
					found = found || x.group.job.id == id
				}
			})
			if found {
				return w
			}
		}
	}
	c.t.Fatalf("%s is on no machine, want one", id)
	return nil
}

// A gang loses a machine. Before it has run the lost tasks are replaced under the same
// attempt, which completes it; after that the whole stops and starts again, under one
// new number for all.
func TestGangLosesMember(t *testing.T) {
	for _, x := range []lostMemberCase{
		{"dies while waiting", false, 1, (*agent.Agent).Terminate},
		{"dies while running", true, 2, (*agent.Agent).Terminate},
		{"back at once while waiting", false, 1, (*agent.Agent).Restart},
		{"back at once while running", true, 2, (*agent.Agent).Restart},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkLostMember(x) })
		})
	}
}

// lostMemberCase is a row of TestGangLosesMember.
type lostMemberCase struct {
	name    string
	runs    bool   // when it loses the machine
	attempt uint64 // that runs in the end
	lose    func(*agent.Agent)
}

func (c *cluster) checkLostMember(x lostMemberCase) {
	c.t.Helper()
	// Room in all partitions, beside the gang and what is kept in reserve: where the gang's
	// own had none left, it rightly began a new attempt in another one.
	const services, left = 18, 2
	c.runServices(services, 2)
	for i := range services - left {
		c.cancelJob(fmt.Sprintf("wk-%d", i+1))
	}
	gang := gangSubmission("wk-99", "blue", "urgent", 4, 20)
	gang.ImageGB, gang.Image, gang.MachineTypes = 7, "gang", []string{"small"}
	c.submit(gang)
	c.await("it is placed", time.Minute, func() bool { return c.attemptCounts("wk-99")[1] == 4 })
	if x.runs {
		c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-99") == 4 })
		time.Sleep(6 * time.Second)
	} else {
		time.Sleep(3 * time.Second)
	}
	x.lose(c.agentWithJob("wk-99"))
	c.await("it runs again", time.Minute, func() bool {
		return c.env.Running("wk-99") == 4 && c.attemptCounts("wk-99")[x.attempt] == 4
	})
	c.env.SetSettled()
	c.awaitDone("wk-99", 2*time.Minute)
}

// A gang that has to make room is stopped in order, all of it at once, with time to save,
// and goes on from there.
func TestPreemptedGangSavesItsProgress(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(gangSubmission("wk-1", "blue", "low", 4, 60))
		c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-1") == 4 })
		time.Sleep(25 * time.Second)
		c.env.Cloud.SetCapacity(0)
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.Array, Team: "blue", Priority: "urgent", Tasks: 40, CPUs: 2, EstimateS: 5}))
		c.await("it has left", 20*time.Second, func() bool { return c.env.Running("wk-1") == 0 })
		if p := c.env.Checkpoint("wk-1"); p < 20*time.Second {
			t.Errorf("%v of progress are saved, want at least 20 s", p)
		}
		c.awaitDone("wk-1", 3*time.Minute)
		if n := c.env.Completed("wk-1"); n != 4 {
			t.Errorf("%d tasks are done, want 4", n)
		}
	})
}

// A task whose machine hangs while it fetches leaves the others waiting: the gang ends
// incomplete, and starts whole again elsewhere.
func TestIncompleteGangRestarts(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.runServices(4, 2)
		b := gangSubmission("wk-9", "blue", "urgent", 4, 10)
		b.ImageGB, b.Image, b.MachineTypes = 3, "gang", []string{"small"}
		c.submit(b)
		c.await("it is placed", time.Minute, func() bool { return c.attemptCounts("wk-9")[1] == 4 })
		w := c.agentWithJob("wk-9")
		w.SetIsolated(true) // it fetches on, and is heard of no more
		time.Sleep(25 * time.Second)
		w.SetIsolated(false)
		c.env.SetSettled()
		c.awaitDone("wk-9", 2*time.Minute)
	})
}

// Whatever a gang is at, a cancellation ends it, and a change of controllers does not
// harm it.
func TestGangCancelledOrControllersRestartedAtEachTime(t *testing.T) {
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
					c.runServices(3, 2)
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

// checkGangCancelled cancels the gang, whose tasks are soon gone.
func (c *cluster) checkGangCancelled() {
	c.t.Helper()
	c.cancelJob("wk-9")
	time.Sleep(4 * time.Second)
	if n := c.env.Running("wk-9"); n > 0 {
		c.t.Errorf("%d tasks of the cancelled gang run, want none", n)
	}
}

// checkGangCompletes checks that the gang is done, in one attempt.
func (c *cluster) checkGangCompletes() {
	c.t.Helper()
	c.awaitDone("wk-9", 2*time.Minute)
	if attempts := c.attemptCounts("wk-9"); len(attempts) > 1 {
		c.t.Errorf("tasks by attempt: %v, want one attempt", attempts)
	}
}

// Gangs among endless small work: each begins before long, none waits for another's cells.
func TestGangsAmongSmallTasks(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(6)
		for i := range 12 {
			c.submit(newSubmission(submission{ID: fmt.Sprintf("wk-%d", i+1), Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: 40, CPUs: 1, EstimateS: 9}))
		}
		time.Sleep(30 * time.Second)
		for i := range 3 {
			b := gangSubmission(fmt.Sprintf("wk-10%d", i), "blue", "normal", 6, 10)
			b.SingleZone = i == 0
			c.submit(b)
		}
		begun := map[int]bool{}
		for until := time.Now().Add(100 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
			for i := range 3 {
				id := fmt.Sprintf("wk-10%d", i)
				if c.env.Running(id) == 6 || c.env.Completed(id) == 6 {
					begun[i] = true
				}
			}
		}
		if len(begun) < 3 {
			t.Errorf("gangs begun: %v, want all three", begun)
		}
		for i := range 3 {
			c.awaitDone(fmt.Sprintf("wk-10%d", i), 5*time.Minute)
		}
	})
}

// A gang that can never run is refused, also when it is sent again; each of its tasks
// alone would do.
func TestInfeasibleGangsAreRejected(t *testing.T) {
	runCluster(t, func(c *cluster) {
		time.Sleep(5 * time.Second)
		for range 2 {
			b := gangSubmission("wk-1", "red", "normal", 13, 5) // 26 of 24 CPUs
			if answer := c.call(submitRequest(b, nil), 10*time.Second); answer.status != http.StatusUnprocessableEntity {
				t.Errorf("beyond the limit: status %d, want 422", answer.status)
			}
		}
		b := gangSubmission("wk-1", "red", "normal", 12, 5)
		c.submit(b)
		c.awaitDone("wk-1", 2*time.Minute)
	})
}

// What users send for gangs and may get back: malformed ones are refused as such, one that
// is known is never refused, whatever the settings say by now, and one that is cancelled
// stays so.
func TestGangAPIResponses(t *testing.T) {
	runCluster(t, func(c *cluster) {
		time.Sleep(5 * time.Second)
		for i, x := range []struct {
			name   string
			change func(*submission)
			status int
		}{
			{"unknown shape", func(b *submission) { b.Kind = "herd" }, http.StatusBadRequest},
			{"no number of tasks", func(b *submission) { b.omitted = "eggs" }, http.StatusBadRequest},
			{"negative time to save", func(b *submission) { b.SaveS = -1 }, http.StatusBadRequest},
			{"all tasks are beyond the limit", func(b *submission) { b.Team, b.Tasks = "red", 13 }, http.StatusUnprocessableEntity},
			{"a task fits no allowed type", func(b *submission) { b.MachineTypes, b.CPUs = []string{"small"}, 5 }, http.StatusUnprocessableEntity},
			{"no allowed type is in its zone", func(b *submission) { b.MachineTypes, b.Zone = []string{"large"}, "b" }, http.StatusUnprocessableEntity},
			{"an unknown team", func(b *submission) { b.Team = "green" }, http.StatusUnprocessableEntity},
			{"more than there are machines of", func(b *submission) { b.Tasks = 900 }, http.StatusCreated},
		} {
			id := fmt.Sprintf("wk-5%d", i)
			b := gangSubmission(id, "blue", "normal", 3, 5)
			x.change(b)
			if answer := c.call(submitRequest(b, nil), 10*time.Second); answer.status != x.status {
				t.Errorf("%s: status %d, want %d", x.name, answer.status, x.status)
			}
		}
		c.submit(gangSubmission("wk-7", "blue", "normal", 3, 200))
		c.cancelJob("wk-7")
		c.submit(gangSubmission("wk-6", "red", "normal", 10, 200))
		c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-6") == 10 })
		for _, n := range c.nodes { // by now it could never run
			n.cfg.Settings.Teams = []config.Team{{Name: "blue"}, {Name: "red", CPUs: 2, CPUsMax: 4}}
		}
		c.restartAll()
		if answer := c.call(submitRequest(gangSubmission("wk-6", "red", "normal", 10, 200), nil), 20*time.Second); answer.status != http.StatusOK || answer.state != wire.Running {
			t.Errorf("repeated after a restart with lower limits: status %d, %q; want 200, %q", answer.status, answer.state, wire.Running)
		}
		if answer := c.call(submitRequest(gangSubmission("wk-7", "blue", "normal", 3, 200), nil), 20*time.Second); answer.status != http.StatusOK || answer.state != wire.Cancelled {
			t.Errorf("a cancelled one, repeated: status %d, %q; want 200, %q", answer.status, answer.state, wire.Cancelled)
		}
		if answer := c.call(queryRequest("wk-77"), 10*time.Second); answer.status != http.StatusNotFound {
			t.Errorf("an unknown one: status %d, want 404", answer.status)
		}
		c.cancelJob("wk-6")
		c.await("it is gone", 30*time.Second, func() bool { return c.env.Running("wk-6") == 0 })
	})
}
