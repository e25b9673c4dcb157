package controller

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// A transaction that the key-value store executes after the controller has given up on it must
// not change records that have been written since.
func TestLateTransactions(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 40, CPUs: 2, EstimateS: 6}))
		c.await("the array runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") > 4 })
		rng := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		for _, n := range c.nodes {
			n.transport.SetDelay(3*time.Second, 0)
			n.transport.SetFaultPolicy(func(r *http.Request) network.Fault {
				mu.Lock()
				defer mu.Unlock()
				if r.URL.Path == "/txn" && rng.IntN(4) == 0 {
					return network.ExecuteLate
				}
				return network.Deliver
			})
		}
		time.Sleep(10 * time.Second)
		c.kill(0)
		time.Sleep(15 * time.Second)
		c.start(0)
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "red", Priority: "normal", Tasks: 10, CPUs: 2, EstimateS: 3}))
		time.Sleep(20 * time.Second)
		for _, n := range c.nodes {
			n.transport.SetFaultPolicy(nil)
		}
		c.awaitDone("wk-1", 3*time.Minute)
		c.awaitDone("wk-2", 3*time.Minute)
	})
}

// A direct start command that arrives 30 s late must not run a task that has been cancelled or
// placed elsewhere since.
func TestLateDirectStart(t *testing.T) {
	runCluster(t, func(c *cluster) {
		for _, n := range c.nodes {
			n.transport.SetDelay(30*time.Second, 0)
			n.transport.SetFaultPolicy(func(r *http.Request) network.Fault {
				if r.URL.Path == "/do" {
					return network.ExecuteLate
				}
				return network.Deliver
			})
		}
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 30, CPUs: 2, EstimateS: 3}))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindService, Team: "blue", Priority: "production", Tasks: 2, CPUs: 4}))
		c.await("the service runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-2") == 2 })
		c.cancelJob("wk-2")
		c.awaitDone("wk-1", 3*time.Minute)
		time.Sleep(time.Minute)
		if n := c.env.CountRunningTasks("wk-2"); n != 0 {
			t.Errorf("%d cancelled tasks run, want none", n)
		}
	})
}

// The conditions of a transaction that is executed 40 s late must no longer hold: no key that may
// be created under the condition that it does not exist is deleted while the other conditions can
// still hold. Otherwise a deleted assignment could be recreated, which assigned tasks twice and
// declared a job done too early.
func TestTransactionsDelayedByFortySeconds(t *testing.T) {
	runCluster(t, func(c *cluster) {
		rng := rand.New(rand.NewPCG(3, 4))
		var mu sync.Mutex
		for _, n := range c.nodes {
			n.transport.SetDelay(40*time.Second, 0)
			n.transport.SetFaultPolicy(func(r *http.Request) network.Fault {
				mu.Lock()
				defer mu.Unlock()
				if r.URL.Path == "/txn" && rng.IntN(5) == 0 {
					return network.ExecuteLate
				}
				return network.Deliver
			})
		}
		c.env.Cloud.SetCapacity(4)
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 700, CPUs: 1, EstimateS: 1}))
		c.awaitDone("wk-1", 20*time.Minute)
		time.Sleep(time.Minute)
		c.await("all task group records are deleted", 2*time.Minute, func() bool { return len(c.env.Store.Keys(groupPrefix)) == 0 })
	})
}
