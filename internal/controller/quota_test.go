package controller

import (
	"fmt"
	"testing"
	"time"

	"eiderhitch/internal/wire"
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
func TestQuotaIsGivenToHigherPriority(t *testing.T) {
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
func TestLargestIsServedInAFlood(t *testing.T) {
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
			t.Errorf("%d of %d tasks done in ten minutes are the largest job's", done, all)
		}
	})
}
