package controller

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

func TestTakeOver(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "blue", "normal", 40, 2, 8))
		c.await("the array runs", time.Minute, func() bool { return c.env.Running("wk-1") > 4 })
		for i := range 3 {
			c.kill(i)
			time.Sleep(9 * time.Second)
			c.start(i)
			time.Sleep(4 * time.Second)
		}
		c.awaitDone("wk-1", 3*time.Minute)
	})
}

func TestAllControllersRestart(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "blue", "normal", 40, 2, 8))
		c.submit(jobBody("wk-2", wire.Array, "blue", "normal", 2, 2, 1))
		c.awaitDone("wk-2", time.Minute)
		for i := range c.nodes {
			c.kill(i)
		}
		time.Sleep(3 * time.Second)
		c.env.Cloud.SetDown(true) // the stored types must do
		for i := range c.nodes {
			c.start(i)
		}
		time.Sleep(5 * time.Second)
		if s := c.state("wk-2"); s != wire.Done {
			t.Errorf("a done job is %s", s)
		}
		c.submit(jobBody("wk-3", wire.Array, "blue", "normal", 1, 1, 1))
		c.env.Cloud.SetDown(false)
		c.awaitDone("wk-1", 3*time.Minute)
		c.awaitDone("wk-3", time.Minute)
	})
}

// An owner that only the state service refuses can't learn of a cancellation;
// the tasks must be gone in time all the same (see config.MaxStaleness).
func TestCancelDuringOutageOfOne(t *testing.T) {
	inWorld(t, func(c *cluster) {
		for i := range 6 {
			c.submit(jobBody(fmt.Sprintf("wk-%d", i+1), wire.Service, "blue", "urgent", 2, 2, 0))
		}
		c.await("the services run", time.Minute, func() bool { return c.env.Starts() >= 12 })
		c.nodes[1].net.SetPolicy(func(r *http.Request) network.Fault {
			if r.URL.Host == "state:1" {
				return network.Refuse
			}
			return network.Deliver
		})
		time.Sleep(500 * time.Millisecond)
		for i := range 6 {
			c.abort(fmt.Sprintf("wk-%d", i+1))
		}
		time.Sleep(40 * time.Second)
		for i := range 6 {
			if n := c.env.Running(fmt.Sprintf("wk-%d", i+1)); n != 0 {
				t.Errorf("%d tasks of cancelled service %d run", n, i+1)
			}
		}
	})
}

// A new leader and new owners must not take machines that they have not heard
// yet for ones that never came up.
func TestTakeOverKeepsBusyMachines(t *testing.T) {
	inWorld(t, func(c *cluster) {
		for i := range 4 {
			c.submit(jobBody(fmt.Sprintf("wk-%d", i+1), wire.Service, "blue", "urgent", 2, 2, 0))
		}
		c.await("the services run", time.Minute, func() bool { return c.env.Starts() == 8 })
		time.Sleep(time.Minute) // older than any boot limit
		for i := range 3 {
			c.kill(i)
			time.Sleep(12 * time.Second)
			c.start(i)
			time.Sleep(8 * time.Second)
		}
		if n := c.env.Starts(); n != 8 {
			t.Errorf("%d starts of 8 replicas", n)
		}
	})
}

// holdersOf tells who holds the lead and the parts, with the versions that gave
// them.
func (c *cluster) holdersOf() map[string]string {
	out := map[string]string{}
	ctl := c.nodes[0].controller()
	ctl.call(c.ctx, priorityState, func() {
		for key, h := range ctl.holders {
			out[key] = fmt.Sprint(h.Node, ctl.replica.Revision(key))
		}
	})
	return out
}

// dealtTo counts the parts of which the leader deals to a machine.
func (c *cluster) dealtTo() int {
	parts := map[int]bool{}
	for _, n := range c.nodes {
		n.controller().call(c.ctx, priorityState, func() {
			if n.controller().isLeader() {
				for _, summary := range n.controller().machineSummaries() {
					parts[summary.Partition] = true
				}
			}
		})
	}
	return len(parts)
}

// A controller that loses the state service and its siblings, not its workers,
// can't know of a cancellation: it stops answering in time, and the work passes
// to the others.
func TestCutFromStateAndSiblings(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.services(6, 2)
		own := c.env.Cloud.Agents()
		c.nodes[1].meshCut.Store(true)
		c.nodes[1].net.SetPolicy(func(r *http.Request) network.Fault {
			if r.URL.Host == "state:1" {
				return network.Drop
			}
			return network.Deliver
		})
		time.Sleep(time.Second)
		for i := range 3 {
			c.abort(fmt.Sprintf("wk-%d", i+1))
		}
		time.Sleep(40 * time.Second)
		for _, w := range own { // also one that no other owner has spoken to
			old := regexp.MustCompile(`"baton":\d+`).ReplaceAll(w.LastHeartbeat(), []byte(`"baton":0`))
			req, _ := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+c.nodes[1].cfg.APIAddr+"/v1/report", bytes.NewReader(old))
			if resp, err := c.user.RoundTrip(req); err != nil || resp.StatusCode < 400 {
				t.Errorf("a report is answered long after the last read: %v", err)
			}
		}
		for i := range 3 {
			if n := c.env.Running(fmt.Sprintf("wk-%d", i+1)); n != 0 {
				t.Errorf("%d tasks of cancelled service %d run", n, i+1)
			}
			if n := c.env.Running(fmt.Sprintf("wk-%d", i+4)); n != 2 {
				t.Errorf("%d replicas of service %d run", n, i+4)
			}
		}
		c.submit(jobBody("wk-9", wire.Array, "blue", "normal", 12, 2, 2))
		c.awaitDone("wk-9", time.Minute)
		c.nodes[1].net.SetPolicy(nil)
		c.nodes[1].meshCut.Store(false)
	})
}

// Controllers that refuse each other's connections say nothing about who lives:
// no right changes hands, and what comes in is dealt and runs.
func TestRefusedPeers(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.services(4, 2)
		time.Sleep(10 * time.Second)
		before, parts := c.holdersOf(), c.dealtTo()
		for _, n := range c.nodes {
			n.meshCut.Store(true)
		}
		time.Sleep(15 * time.Second)
		// A machine of an owner that the leader can't hear dies: it is returned,
		// and its replicas run elsewhere, before its lease alone would prove it.
		var lost *agent.Agent
		for _, w := range c.env.Cloud.Agents() {
			for _, n := range c.nodes {
				n.controller().call(c.ctx, priorityState, func() {
					m := n.controller().machineNamed(w.Name())
					if p := n.controller().partitions[m.partition]; p.token != 0 && !n.controller().isLeader() && len(m.bindings) > 0 {
						lost = w
					}
				})
			}
		}
		if lost == nil {
			t.Fatal("all replicas are in the leader's part")
		}
		lost.Terminate()
		time.Sleep(9 * time.Second)
		if slices.Contains(c.env.Cloud.Agents(), lost) {
			t.Error("a dead machine is still rented")
		}
		c.submit(jobBody("wk-8", wire.Service, "blue", "urgent", 2, 2, 0))
		c.submit(jobBody("wk-9", wire.Array, "blue", "normal", 12, 2, 2))
		c.await("the service runs", 30*time.Second, func() bool { return c.env.Running("wk-8") == 2 })
		c.awaitDone("wk-9", time.Minute)
		for _, n := range c.nodes {
			if !n.controller().Ready() {
				t.Error("a controller is not ready")
			}
		}
		if now := c.dealtTo(); now != parts {
			t.Errorf("the leader deals to machines of %d parts, before of %d", now, parts)
		}
		after := c.holdersOf()
		for key, h := range before {
			// A higher term of the same holder is no change of hands.
			if strings.TrimRight(h, "0123456789")[:1] != strings.TrimRight(after[key], "0123456789")[:1] || h[:2] != after[key][:2] {
				t.Errorf("%s passed from %s to %s", key, h, after[key])
			}
		}
		for _, n := range c.nodes {
			n.meshCut.Store(false)
		}
	})
}

// Processes and machines that are back in a fraction of a second, also in the
// middle of an election.
func TestBackAtOnce(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.services(3, 2)
		c.submit(jobBody("wk-9", wire.Array, "blue", "normal", 60, 1, 4))
		for i := range 9 {
			c.kill(i % 3)
			time.Sleep(time.Duration(50+100*(i%4)) * time.Millisecond)
			c.start(i % 3)
			ws := c.env.Cloud.Agents()
			ws[i%len(ws)].Restart()
			time.Sleep(time.Duration(100+700*(i%3)) * time.Millisecond)
		}
		c.await("the services run", 40*time.Second, func() bool { return c.allRun(3, 2) })
		c.awaitDone("wk-9", 2*time.Minute)
	})
}

// A process that is back at once takes what its former self held right away, in a
// term of its own: nothing waits for a lease that nobody renews any more.
func TestRightsOfTheFormerSelf(t *testing.T) {
	inWorld(t, func(c *cluster) {
		time.Sleep(10 * time.Second)
		terms := func(i int) (n int, sum uint64) {
			ctl := c.nodes[i].controller()
			ctl.call(c.ctx, priorityState, func() {
				for _, p := range ctl.partitions {
					if p.token != 0 && p.active {
						n, sum = n+1, sum+p.token
					}
				}
			})
			return n, sum
		}
		for i := range c.nodes {
			before, sum := terms(i)
			c.kill(i)
			time.Sleep(100 * time.Millisecond)
			c.start(i)
			c.await("its rights are back", 2500*time.Millisecond, func() bool {
				now, later := terms(i)
				return now >= before && later > sum
			})
		}
	})
}
