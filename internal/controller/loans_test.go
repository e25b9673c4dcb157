package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

// A service that no partition can hold alone gets machines from several partitions, runs
// whole, and the machines are handed back, whatever dies on the way.
func TestServiceAcrossPartitions(t *testing.T) {
	restart := func(node int) func(*cluster) {
		return func(c *cluster) {
			time.Sleep(time.Duration((node+1)*400) * time.Millisecond)
			c.kill(node)
			time.Sleep(9 * time.Second)
			c.start(node)
		}
	}
	for _, x := range []struct {
		name   string
		happen func(*cluster) // once machines are lent; nil: nothing
	}{
		{"nothing ends", nil},
		{"controller 0 ends", restart(0)},
		{"controller 1 ends", restart(1)},
		{"controller 2 ends", restart(2)},
		{"a machine dies", func(c *cluster) { c.env.Cloud.Agents()[0].Terminate() }},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkLoans(x.happen) })
		})
	}
}

func (c *cluster) checkLoans(happen func(*cluster)) {
	c.t.Helper()
	c.env.Cloud.SetCapacity(8)
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Array, Team: "blue", Priority: "low", Tasks: 60, CPUs: 2, EstimateS: 10}))
	c.await("machines are up", time.Minute, func() bool { return c.env.Running("wk-1") >= 10 })
	service := newSubmission(submission{ID: "wk-2", Kind: wire.Service, Team: "blue", Priority: "production", Tasks: 6, CPUs: 3})
	service.MachineTypes = []string{"small"}
	c.submit(service)
	lent := func() bool { return len(c.env.Store.Keys(loanPrefix)) > 0 }
	if happen != nil {
		c.await("machines are lent", 2*time.Minute, lent)
		happen(c)
	}
	c.await("the service runs whole", 3*time.Minute, func() bool { return c.env.Running("wk-2") == 6 })
	c.cancelJob("wk-2")
	c.await("nothing stays lent", time.Minute, func() bool { return !lent() })
	c.awaitDone("wk-1", 10*time.Minute)
}
