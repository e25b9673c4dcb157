package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// gangBody is a gang that saves.
func gangBody(id, team, priority string, tasks int, estimate float64) map[string]any {
	b := jobBody(id, wire.Gang, team, priority, tasks, 2, estimate)
	b["moultS"], b["stowS"] = 4, 1.5
	return b
}

// attemptsOf are the attempts that a job's records name.
func (c *cluster) attemptsOf(id string) map[uint64]int {
	out := map[uint64]int{}
	for _, n := range c.nodes {
		if !n.isRunning() {
			continue
		}
		n.controller().call(c.ctx, priorityState, func() {
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

// on is a machine that a job is bound to.
func (c *cluster) on(id string) *agent.Agent {
	c.t.Helper()
	for _, w := range c.env.Cloud.Agents() {
		for _, n := range c.nodes {
			found := false
			n.controller().call(c.ctx, priorityState, func() {
				for _, x := range n.controller().machineNamed(w.Name()).bindings {
					found = found || x.group.job.id == id
				}
			})
			if found {
				return w
			}
		}
	}
	c.t.Fatalf("%s is nowhere", id)
	return nil
}

// A gang loses a machine. Before it has run the lost tasks are replaced under the same
// attempt, which completes it; after that the whole stops and starts again, under one
// new number for all.
func TestGangLosesAMember(t *testing.T) {
	for _, x := range []struct {
		name    string
		ran     bool
		attempt uint64
		do      func(*agent.Agent)
	}{
		{"dies while waiting", false, 1, (*agent.Agent).Terminate}, {"dies while running", true, 2, (*agent.Agent).Terminate},
		{"back at once while waiting", false, 1, (*agent.Agent).Restart}, {"back at once while running", true, 2, (*agent.Agent).Restart},
	} {
		t.Run(x.name, func(t *testing.T) {
			inWorld(t, func(c *cluster) {
				c.services(8, 2)
				for i := range 6 { // room in all parts
					c.abort(fmt.Sprintf("wk-%d", i+1))
				}
				b := gangBody("wk-9", "blue", "urgent", 4, 20)
				b["imageGb"], b["plumage"], b["hulls"] = 7, "gang", []string{"small"}
				c.submit(b)
				c.await("it is placed", time.Minute, func() bool { return c.attemptsOf("wk-9")[1] == 4 })
				if x.ran {
					c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-9") == 4 })
					time.Sleep(6 * time.Second)
				} else {
					time.Sleep(3 * time.Second)
				}
				x.do(c.on("wk-9"))
				c.await("it runs again", time.Minute, func() bool {
					return c.env.Running("wk-9") == 4 && c.attemptsOf("wk-9")[x.attempt] == 4
				})
				c.env.SetSettled()
				c.awaitDone("wk-9", 2*time.Minute)
			})
		})
	}
}

// A gang that has to make room is stopped in order, all of it at once, with time to save,
// and goes on from there.
func TestGangSavesWhenItIsEvicted(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(gangBody("wk-1", "blue", "low", 4, 60))
		c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-1") == 4 })
		time.Sleep(25 * time.Second)
		c.env.Cloud.SetCapacity(0)
		c.submit(jobBody("wk-2", wire.Array, "blue", "urgent", 40, 2, 5))
		c.await("it has left", 20*time.Second, func() bool { return c.env.Running("wk-1") == 0 })
		if p := c.env.Checkpoint("wk-1"); p < 20*time.Second {
			t.Errorf("%v are saved", p)
		}
		c.awaitDone("wk-1", 3*time.Minute)
		if n := c.env.Completed("wk-1"); n != 4 {
			t.Errorf("%d tasks are done", n)
		}
	})
}

// A task whose machine hangs while it fetches leaves the others waiting: the gang ends
// incomplete, and starts whole again elsewhere.
func TestGangThatIsIncomplete(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.services(4, 2)
		b := gangBody("wk-9", "blue", "urgent", 4, 10)
		b["imageGb"], b["plumage"], b["hulls"] = 3, "gang", []string{"small"}
		c.submit(b)
		c.await("it is placed", time.Minute, func() bool { return c.attemptsOf("wk-9")[1] == 4 })
		w := c.on("wk-9")
		w.SetIsolated(true) // it fetches on, and is heard of no more
		time.Sleep(25 * time.Second)
		w.SetIsolated(false)
		c.env.SetSettled()
		c.awaitDone("wk-9", 2*time.Minute)
	})
}

// Whatever a gang is at, a cancellation ends it, and a change of controllers does not
// harm it.
func TestGangInEachPhase(t *testing.T) {
	for after := range 6 {
		for _, what := range []string{"cancel", "kill all", "kill leader"} {
			t.Run(fmt.Sprint(what, after), func(t *testing.T) {
				inWorld(t, func(c *cluster) {
					c.services(3, 2)
					b := gangBody("wk-9", "blue", "urgent", 5, 15)
					b["imageGb"], b["samePlace"] = 4, true
					c.submit(b)
					time.Sleep(time.Duration(after*2500+300) * time.Millisecond)
					switch what {
					case "cancel":
						c.abort("wk-9")
						time.Sleep(4 * time.Second)
						if n := c.env.Running("wk-9"); n > 0 {
							t.Errorf("%d tasks run", n)
						}
						return
					case "kill all":
						for i := range c.nodes {
							c.kill(i)
						}
						time.Sleep(500 * time.Millisecond)
						for i := range c.nodes {
							c.start(i)
						}
					case "kill leader":
						c.kill(0)
						time.Sleep(5 * time.Second)
						c.start(0)
					}
					c.awaitDone("wk-9", 2*time.Minute)
					if n := len(c.attemptsOf("wk-9")); n > 1 {
						t.Errorf("%v", c.attemptsOf("wk-9"))
					}
				})
			})
		}
	}
}

// Gangs among endless small work: each begins before long, none waits for another's cells.
func TestGangsAmongSmallWork(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(6)
		for i := range 12 {
			c.submit(jobBody(fmt.Sprintf("wk-%d", i+1), wire.Array, "blue", "normal", 40, 1, 9))
		}
		time.Sleep(30 * time.Second)
		for i := range 3 {
			b := gangBody(fmt.Sprintf("wk-10%d", i), "blue", "normal", 6, 10)
			b["samePlace"] = i == 0
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
			t.Errorf("gangs begun: %v", begun)
		}
		for i := range 3 {
			c.awaitDone(fmt.Sprintf("wk-10%d", i), 5*time.Minute)
		}
	})
}

// A gang that can never run is refused, also when it is sent again; each of its tasks
// alone would do.
func TestGangsThatCanNotRun(t *testing.T) {
	inWorld(t, func(c *cluster) {
		time.Sleep(5 * time.Second)
		for range 2 {
			b := gangBody("wk-1", "red", "normal", 13, 5) // 26 of 24 CPUs
			if status, _ := c.call(trace.Submit, "wk-1", b, nil, 10*time.Second); status != 422 {
				t.Errorf("beyond the limit: status %d", status)
			}
		}
		b := gangBody("wk-1", "red", "normal", 12, 5)
		c.submit(b)
		c.awaitDone("wk-1", 2*time.Minute)
	})
}

// What users send for gangs and may get back: malformed ones are refused as such, one that
// is known is never refused, whatever the settings say by now, and one that is cancelled
// stays so.
func TestAnswersForGangs(t *testing.T) {
	inWorld(t, func(c *cluster) {
		time.Sleep(5 * time.Second)
		for i, x := range []struct {
			name   string
			change func(map[string]any)
			status int
		}{
			{"unknown shape", func(b map[string]any) { b["shape"] = "herd" }, http.StatusBadRequest},
			{"no number of tasks", func(b map[string]any) { delete(b, "eggs") }, http.StatusBadRequest},
			{"negative time to save", func(b map[string]any) { b["stowS"] = -1 }, http.StatusBadRequest},
			{"all tasks are beyond the limit", func(b map[string]any) { b["crew"], b["eggs"] = "red", 13 }, http.StatusUnprocessableEntity},
			{"a task fits no allowed type", func(b map[string]any) { b["hulls"], b["cpus"] = []string{"small"}, 5 }, http.StatusUnprocessableEntity},
			{"no allowed type is in its zone", func(b map[string]any) { b["hulls"], b["shore"] = []string{"large"}, "b" }, http.StatusUnprocessableEntity},
			{"an unknown team", func(b map[string]any) { b["crew"] = "green" }, http.StatusUnprocessableEntity},
			{"more than there are machines of", func(b map[string]any) { b["eggs"] = 900 }, http.StatusCreated},
		} {
			id := fmt.Sprintf("wk-5%d", i)
			b := gangBody(id, "blue", "normal", 3, 5)
			x.change(b)
			if status, _ := c.call(trace.Submit, id, b, nil, 10*time.Second); status != x.status {
				t.Errorf("%s: status %d, not %d", x.name, status, x.status)
			}
		}
		c.submit(gangBody("wk-7", "blue", "normal", 3, 200))
		c.abort("wk-7")
		c.submit(gangBody("wk-6", "red", "normal", 10, 200))
		c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-6") == 10 })
		for _, n := range c.nodes { // by now it could never run
			n.cfg.Settings.Teams = []config.Team{{Name: "blue"}, {Name: "red", CPUs: 2, CPUsMax: 4}}
		}
		c.restartAll()
		if status, out := c.call(trace.Submit, "wk-6", gangBody("wk-6", "red", "normal", 10, 200), nil, 20*time.Second); status != http.StatusOK || out["tide"] != wire.Running {
			t.Errorf("repeated after a restart with lower limits: %d %v", status, out)
		}
		if status, out := c.call(trace.Submit, "wk-7", gangBody("wk-7", "blue", "normal", 3, 200), nil, 20*time.Second); status != http.StatusOK || out["tide"] != wire.Cancelled {
			t.Errorf("a cancelled one, repeated: %d %v", status, out)
		}
		if status, _ := c.call(trace.Query, "wk-77", nil, nil, 10*time.Second); status != http.StatusNotFound {
			t.Errorf("an unknown one: %d", status)
		}
		c.abort("wk-6")
		c.await("it is gone", 30*time.Second, func() bool { return c.env.Running("wk-6") == 0 })
	})
}
