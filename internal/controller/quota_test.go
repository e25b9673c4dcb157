package controller

import (
	"fmt"
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

// A team never exceeds its limit, and a preemptor takes room from lower work.
func TestLimitAndPreemption(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(3)
		c.submit(jobBody("wk-1", wire.Array, "red", "low", 40, 2, 6))
		c.await("the array runs", time.Minute, func() bool { return c.env.Running("wk-1") > 2 })
		c.submit(jobBody("wk-2", wire.Array, "blue", "low", 40, 2, 6))
		time.Sleep(30 * time.Second)
		c.submit(jobBody("wk-3", wire.Service, "blue", "production", 2, 4, 0))
		c.await("the service has preempted", 20*time.Second, func() bool { return c.env.Running("wk-3") == 2 })
		c.awaitDone("wk-1", 10*time.Minute)
		c.awaitDone("wk-2", 10*time.Minute)
	})
}

// A service whose team's limit is taken up by the team's own lower array gets
// its share at once, and the array goes on with the rest.
func TestLimitIsGivenToHigherWork(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "red", "low", 60, 2, 30))
		c.await("the array fills the limit", time.Minute, func() bool { return c.env.Running("wk-1") == 12 })
		c.submit(jobBody("wk-2", wire.Service, "red", "urgent", 2, 4, 0))
		c.await("the service runs", 10*time.Second, func() bool { return c.env.Running("wk-2") == 2 })
		c.await("the array has the rest", 20*time.Second, func() bool { return c.env.Running("wk-1") == 8 })
		c.abort("wk-2")
		c.await("the array has all again", 20*time.Second, func() bool { return c.env.Running("wk-1") == 12 })
		c.awaitDone("wk-1", 10*time.Minute)
	})
}

// While more is asked than can be done, small jobs go first; the largest still
// begins within four minutes and gets done while small ones keep coming.
func TestLargestIsServedInAFlood(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(2)
		late := func(id string, tasks int) {
			b := jobBody(id, wire.Array, "blue", "normal", tasks, 4, 8)
			b["dueS"] = 60
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
