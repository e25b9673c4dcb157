package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/wire"

	"pgregory.net/rapid"
)

// A team never exceeds its limit, and a preemptor takes room from lower work.
func TestQuotaAndPreemption(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(3)
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Array, Team: "red", Priority: "low", Tasks: 40, CPUs: 2, EstimateS: 6}))
		c.await("the array runs", time.Minute, func() bool { return c.env.Running("wk-1") > 2 })
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.Array, Team: "blue", Priority: "low", Tasks: 40, CPUs: 2, EstimateS: 6}))
		time.Sleep(30 * time.Second)
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.Service, Team: "blue", Priority: "production", Tasks: 2, CPUs: 4}))
		c.await("the service has preempted", 20*time.Second, func() bool { return c.env.Running("wk-3") == 2 })
		c.awaitDone("wk-1", 10*time.Minute)
		c.awaitDone("wk-2", 10*time.Minute)
	})
}

// A service whose team's limit is taken up by the team's own lower array gets
// its share at once, and the array goes on with the rest.
func TestQuotaGoesToHigherPriority(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Array, Team: "red", Priority: "low", Tasks: 60, CPUs: 2, EstimateS: 30}))
		c.await("the array fills the limit", time.Minute, func() bool { return c.env.Running("wk-1") == 12 })
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.Service, Team: "red", Priority: "urgent", Tasks: 2, CPUs: 4}))
		c.await("the service runs", 10*time.Second, func() bool { return c.env.Running("wk-2") == 2 })
		c.await("the array has the rest", 20*time.Second, func() bool { return c.env.Running("wk-1") == 8 })
		c.cancelJob("wk-2")
		c.await("the array has all again", 20*time.Second, func() bool { return c.env.Running("wk-1") == 12 })
		c.awaitDone("wk-1", 10*time.Minute)
	})
}

// While more is asked than can be done, small jobs go first; the largest still
// begins within four minutes and gets done while small ones keep coming.
func TestLargestJobProgressesUnderOverload(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(2)
		late := func(id string, tasks int) {
			b := newSubmission(submission{ID: id, Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: tasks, CPUs: 4, EstimateS: 8})
			b.DueS = 60
			c.submit(b)
		}
		late("wk-1", 200)
		n := 1
		flood := func(d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(2 * time.Second) {
				n++
				late(fmt.Sprintf("wk-%d", n), 8)
			}
		}
		flood(4 * time.Minute)
		if c.env.Completed("wk-1") == 0 && c.env.Running("wk-1") == 0 {
			t.Error("the largest job has not begun")
		}
		flood(6 * time.Minute)
		all := 0
		for i := range n {
			all += c.env.Completed(fmt.Sprintf("wk-%d", i+1))
		}
		if done := c.env.Completed("wk-1"); done*12 < all {
			t.Errorf("%d of %d tasks done in ten minutes are the largest job's, want at least one in 12", done, all)
		}
	})
}

// Tasks of a record that may not run all move to a partition that has room, and take so much
// of its throttle along: no more may run than before, and none waits beside the room.
func TestSplitThrottledGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "tasks")
		may := rapid.IntRange(1, n).Draw(t, "may run")
		bound := rapid.IntRange(0, may-1).Draw(t, "are bound")
		group := &taskGroup{throttle: may + 1, boundCount: bound}
		for i := range n {
			e := binding{task: int32(i)}
			if i < bound {
				e.machine = &machine{}
			}
			group.bindings = append(group.bindings, e)
		}
		leave := rapid.IntRange(1, may-bound).Draw(t, "leave")
		left, moved := group.split(slices.Concat(group.bindings[:bound], group.bindings[bound+leave:]), group.bindings[bound:bound+leave])
		if len(left.bindings) == 0 {
			left.throttle = 1 // it is the same record
		}
		if left.bindLimit()+moved.bindLimit() != may || len(left.bindings)+len(moved.bindings) != n || moved.bindLimit() != leave || left.bindLimit() < bound {
			t.Fatalf("%d tasks of %d that stay may run, %d of %d that move; want %d in all", left.bindLimit(), len(left.bindings), moved.bindLimit(), len(moved.bindings), may)
		}
	})
}

// A job for which there is no machine has nothing of its team stopped: the room that
// came of that went to others of the team, which were stopped for it in turn.
func TestUnplaceableJobStopsNothing(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Array, Team: "red", Priority: "low", Tasks: 40, CPUs: 2, EstimateS: 60}))
		c.await("the limit is used up", time.Minute, func() bool { return c.env.Running("wk-1") == 12 })
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.Array, Team: "red", Priority: "low", Tasks: 40, CPUs: 2, EstimateS: 60}))
		c.env.Cloud.SetDown(true)
		for _, w := range c.env.Cloud.Agents() {
			if w.Zone() == "b" {
				t.Fatal("there is a machine in zone b")
			}
		}
		b := newSubmission(submission{ID: "wk-3", Kind: wire.Array, Team: "red", Priority: "normal", Tasks: 8, CPUs: 2, EstimateS: 5})
		b.Zone = "b"
		c.submit(b)
		before := c.env.Starts()
		time.Sleep(20 * time.Second)
		if n := c.env.Starts() - before; n > 0 || c.env.Running("wk-1") != 12 {
			t.Errorf("%d starts, %d tasks run; want none and 12", n, c.env.Running("wk-1"))
		}
		c.env.Cloud.SetDown(false)
		c.awaitDone("wk-3", 3*time.Minute)
	})
}
