package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/wire"

	"pgregory.net/rapid"
)

// A team never exceeds its limit, and a service preempts tasks of lower priority.
func TestQuotaAndPreemption(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(3)
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "red", Priority: "low", Tasks: 40, CPUs: 2, EstimateS: 6}))
		c.await("the array runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") > 2 })
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 40, CPUs: 2, EstimateS: 6}))
		time.Sleep(30 * time.Second)
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.KindService, Team: "blue", Priority: "production", Tasks: 2, CPUs: 4}))
		c.await("the service runs after preemption", 20*time.Second, func() bool { return c.env.CountRunningTasks("wk-3") == 2 })
		c.awaitDone("wk-1", 10*time.Minute)
		c.awaitDone("wk-2", 10*time.Minute)
	})
}

// A service gets quota at once from an array of lower priority that uses up their team's
// limit. The array continues with the rest.
func TestQuotaGoesToHigherPriority(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "red", Priority: "low", Tasks: 60, CPUs: 2, EstimateS: 30}))
		c.await("the array fills the limit", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 12 })
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindService, Team: "red", Priority: "urgent", Tasks: 2, CPUs: 4}))
		c.await("the service runs", 10*time.Second, func() bool { return c.env.CountRunningTasks("wk-2") == 2 })
		c.await("the array uses the rest of the limit", 20*time.Second, func() bool { return c.env.CountRunningTasks("wk-1") == 8 })
		c.cancelJob("wk-2")
		c.await("the array uses the whole limit again", 20*time.Second, func() bool { return c.env.CountRunningTasks("wk-1") == 12 })
		c.awaitDone("wk-1", 10*time.Minute)
	})
}

// Under overload small jobs go first, but the largest job must start within four minutes and
// progress while small ones keep arriving.
func TestLargestJobProgressesUnderOverload(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(2)
		submitArray := func(id string, tasks int) {
			b := newSubmission(submission{ID: id, Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: tasks, CPUs: 4, EstimateS: 8})
			b.DeadlineS = 60
			c.submit(b)
		}
		submitArray("wk-1", 200)
		n := 1
		submitSmallArrays := func(d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(2 * time.Second) {
				n++
				submitArray(fmt.Sprintf("wk-%d", n), 8)
			}
		}
		submitSmallArrays(4 * time.Minute)
		if c.env.CountCompletedTasks("wk-1") == 0 && c.env.CountRunningTasks("wk-1") == 0 {
			t.Error("the largest job has not started after four minutes")
		}
		submitSmallArrays(6 * time.Minute)
		all := 0
		for i := range n {
			all += c.env.CountCompletedTasks(fmt.Sprintf("wk-%d", i+1))
		}
		if done := c.env.CountCompletedTasks("wk-1"); done*12 < all {
			t.Errorf("the largest job has %d of the %d tasks completed in ten minutes, want at least one in 12", done, all)
		}
	})
}

// When tasks of a throttled group move to a partition with room, they take their share of the
// throttle along: the total number of tasks that may run stays the same, and all moved tasks may
// run.
func TestSplitThrottledGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "tasks")
		allowed := rapid.IntRange(1, n).Draw(t, "may run")
		bound := rapid.IntRange(0, allowed-1).Draw(t, "are bound")
		group := &taskGroup{throttle: allowed + 1, boundCount: bound}
		for i := range n {
			b := binding{task: int32(i)}
			if i < bound {
				b.machine = &machine{}
			}
			group.bindings = append(group.bindings, b)
		}
		moving := rapid.IntRange(1, allowed-bound).Draw(t, "leave")
		left, moved := group.split(slices.Concat(group.bindings[:bound], group.bindings[bound+moving:]), group.bindings[bound:bound+moving])
		if len(left.bindings) == 0 {
			left.throttle = 1 // the group keeps its record
		}
		if left.bindLimit()+moved.bindLimit() != allowed || len(left.bindings)+len(moved.bindings) != n || moved.bindLimit() != moving || left.bindLimit() < bound {
			t.Fatalf("%d of the %d staying tasks may run and %d of the %d moved ones, want %d in total", left.bindLimit(), len(left.bindings), moved.bindLimit(), len(moved.bindings), allowed)
		}
	})
}

// No task of a team is stopped for a job that no machine can run. Before this was checked,
// other jobs of the team took the freed quota and were stopped in turn.
func TestUnplaceableJobStopsNothing(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "red", Priority: "low", Tasks: 40, CPUs: 2, EstimateS: 60}))
		c.await("the limit is used up", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 12 })
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "red", Priority: "low", Tasks: 40, CPUs: 2, EstimateS: 60}))
		c.env.Cloud.SetUnavailable(true)
		for _, w := range c.env.Cloud.Agents() {
			if w.Zone() == "b" {
				t.Fatal("there is a machine in zone b, want none")
			}
		}
		b := newSubmission(submission{ID: "wk-3", Kind: wire.KindArray, Team: "red", Priority: "normal", Tasks: 8, CPUs: 2, EstimateS: 5})
		b.Zone = "b"
		c.submit(b)
		before := c.env.CountStartedTasks()
		time.Sleep(20 * time.Second)
		if n := c.env.CountStartedTasks() - before; n > 0 || c.env.CountRunningTasks("wk-1") != 12 {
			t.Errorf("%d tasks were started and %d run, want 0 and 12", n, c.env.CountRunningTasks("wk-1"))
		}
		c.env.Cloud.SetUnavailable(false)
		c.awaitDone("wk-3", 3*time.Minute)
	})
}
