package controller

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerclient"
)

// A machine that is cut off or fails everything doesn't hold work up for long.
func TestBadMachines(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Service, "blue", "urgent", 3, 2, 0))
		c.await("the service runs", time.Minute, func() bool { return c.env.Running("wk-1") == 3 })
		ws := c.env.Cloud.Agents()
		ws[0].SetIsolated(true)
		time.Sleep(40 * time.Second)
		if n := c.env.Running("wk-1"); n != 3 {
			t.Errorf("%d replicas after a machine was cut off", n)
		}
		for _, w := range c.env.Cloud.Agents() {
			w.SetFailing(true)
			break
		}
		for i := range 4 {
			c.submit(jobBody(fmt.Sprintf("wk-%d", i+2), wire.Array, "blue", "normal", 8, 1, 2))
		}
		for i := range 4 {
			c.awaitDone(fmt.Sprintf("wk-%d", i+2), 3*time.Minute)
		}
	})
}

// boundTo counts the tasks that the records bind to a machine.
func (c *cluster) boundTo(name string) int {
	for _, n := range c.nodes {
		if !n.isRunning() {
			continue
		}
		bound := -1
		if n.controller().call(c.ctx, priorityState, func() { bound = len(n.controller().machineNamed(name).bindings) }) {
			return bound
		}
	}
	return -1
}

// A machine whose reports arrive while neither answers nor commands reach it
// looks alive. Its tasks run elsewhere soon after its lease is over, and it is
// given none again: it would take them, and lose them, time after time.
func TestMachineThatHearsNothing(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.services(4, 2)
		// More work than room, and nothing can be rented or returned.
		c.submit(jobBody("wk-9", wire.Array, "blue", "low", 600, 1, 6))
		time.Sleep(15 * time.Second)
		c.env.Cloud.SetDown(true)
		w := c.env.Cloud.Agents()[0]
		w.SetNotReceiving(true)
		time.Sleep(25 * time.Second)
		if !c.allRun(4, 2) {
			t.Error("replicas are missing long after the lease is over")
		}
		for range 20 {
			time.Sleep(time.Second)
			if n := c.boundTo(w.Name()); n > 0 {
				t.Fatalf("%d tasks are bound to a machine that hears nothing", n)
			}
		}
		w.SetNotReceiving(false)
		c.submit(jobBody("wk-8", wire.Array, "blue", "low", 600, 1, 6))
		c.await("it is used again", 20*time.Second, func() bool { return c.boundTo(w.Name()) > 0 })
		c.env.Cloud.SetDown(false)
		c.awaitDone("wk-9", 10*time.Minute)
	})
}

// A report that shows no token of ours may be a copy from before a take-over:
// until one does, nothing is placed on its machine.
func TestCopyFromBeforeATakeOver(t *testing.T) {
	c := lone(t)
	p := c.partitions[0]
	p.token, p.firstToken = 20, 20
	m := c.machineNamed("host-1")
	for _, x := range []struct {
		token, session, seq uint64
		up                  bool
	}{{0, 1, 7, false}, {12, 1, 8, false}, {20, 1, 9, true}, {12, 1, 8, true}, {12, 2, 1, false}, {21, 2, 2, true}} {
		c.now = c.now.Add(time.Second)
		c.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: x.session, Sequence: x.seq, Token: x.token}, p, true)
		if c.usable(m, p) != x.up {
			t.Errorf("after report %+v the machine is usable: %v", x, !x.up)
		}
	}
}

// Copies of the reports of a machine that is dead come for half a minute, also
// right after all controllers are new and know nothing to compare them with.
// They neither make the machine usable nor put off the proof that it is gone.
func TestLateCopiesOfReports(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprint(takeOver), func(t *testing.T) {
			inWorld(t, func(c *cluster) {
				c.submit(jobBody("wk-9", wire.Array, "blue", "low", 30, 1, 90)) // there is room to take
				c.services(4, 2)
				w := c.env.Cloud.Agents()[0]
				for c.boundTo(w.Name()) == 0 {
					t.Fatal("nothing runs on the first machine")
				}
				copies := w.LastHeartbeat()
				w.Terminate()
				c.env.Cloud.SetDown(true) // so that only the lease can prove it
				if takeOver {
					for i := range c.nodes {
						c.kill(i)
						c.start(i)
					}
				}
				for i := range 70 {
					node := c.nodes[i%3].cfg.APIAddr
					req, _ := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+node+"/v1/report", bytes.NewReader(copies))
					if resp, err := c.user.RoundTrip(req); err == nil && resp.StatusCode >= 400 && resp.StatusCode != 421 && resp.StatusCode != 503 {
						t.Errorf("status %d", resp.StatusCode)
					}
					time.Sleep(500 * time.Millisecond)
				}
				// A whole lease, and after a take-over what a former owner may
				// have answered on top of it.
				c.await("the replicas run elsewhere", c.nodes[0].brainHold(), func() bool { return c.allRun(4, 2) })
				if n := c.boundTo(w.Name()); n > 0 {
					t.Errorf("%d tasks are bound to a dead machine", n)
				}
			})
		})
	}
}

// A zone that is cut off works on inside for as long as its controllers may
// answer, and its leases then run. Its machines are not returned meanwhile: that
// would stop all that runs there, and other zones may have no room for it.
func TestCutZoneIsNotReturned(t *testing.T) {
	for _, leaderGone := range []bool{false, true} {
		t.Run(fmt.Sprint(leaderGone), func(t *testing.T) {
			inWorld(t, func(c *cluster) {
				c.zoned(1, 14, "b")
				c.zoned(15, 14, "a")
				c.await("the services run", time.Minute, func() bool { return c.allRun(28, 1) })
				time.Sleep(15 * time.Second)
				var cut []*agent.Agent
				for _, w := range c.env.Cloud.Agents() {
					if w.Zone() == "b" {
						cut = append(cut, w)
						w.SetIsolated(true)
					}
				}
				for i, n := range c.nodes {
					leads := false
					n.controller().call(c.ctx, priorityState, func() { leads = n.controller().isLeader() })
					if leaderGone && leads {
						c.kill(i)
						c.start(i)
						break
					}
				}
				time.Sleep(9500 * time.Millisecond) // a lease is 10 s
				for _, w := range cut {
					if !slices.Contains(c.env.Cloud.Agents(), w) {
						t.Errorf("%s, which is only cut off, was returned", w.Name())
					}
					w.SetIsolated(false)
				}
				c.await("the services run", 30*time.Second, func() bool { return c.allRun(28, 1) })
			})
		})
	}
}

// Machines die, and all controllers with them: nobody is left who knows where the
// machines were. The records tell, so dead ones are asked and returned as soon as by an
// owner who goes on, not after the longest pause that a report may have; and that
// nothing has reported yet is not taken for a zone that is cut off.
func TestMachinesThatDiedWithAllControllers(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.zoned(1, 8, "b")
		c.zoned(9, 8, "a")
		c.await("the services run", time.Minute, func() bool { return c.allRun(16, 1) })
		time.Sleep(10 * time.Second)
		var dead *agent.Agent
		for _, w := range c.env.Cloud.Agents() {
			if dead == nil && c.boundTo(w.Name()) > 0 {
				dead = w
			}
		}
		dead.Terminate()
		for i := range c.nodes {
			c.kill(i)
		}
		time.Sleep(2 * time.Second)
		for i := range c.nodes {
			c.start(i)
		}
		limit := c.nodes[0].controller().heartbeatOverdueAfter() + unansweredLimit*workerclient.PingTimeout + 2*time.Second
		for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
			for _, n := range c.nodes {
				n.controller().call(c.ctx, priorityState, func() {
					if n.controller().isLeader() && len(n.controller().leadership.isolatedZones) > 0 {
						t.Errorf("zones %v are taken to be cut off", n.controller().leadership.isolatedZones)
					}
				})
			}
		}
		if slices.Contains(c.env.Cloud.Agents(), dead) {
			t.Errorf("a dead machine is not returned within %v", limit)
		}
		c.await("the services run", 20*time.Second, func() bool { return c.allRun(16, 1) })
	})
}

// After a crash of all the only machine of a part may be the one that died. Reports of
// other parts' machines show that it is not we who can't be reached.
func TestOnlyMachineOfAPartDied(t *testing.T) {
	c := lone(t)
	p := c.partitions[0]
	p.ownedSince, p.formerOwnerStaleness, p.firstToken = c.now, c.maxStaleness, p.token
	c.replica.Put(jobKey("wk-1"), raw(t, record.Job{Spec: &wire.Job{ID: "wk-1", Service: true, Tasks: 1, CPUs: 1}}), 5)
	c.replica.Put(groupKey("wk-1", 0), raw(t, record.TaskGroup{Tasks: []record.Binding{{Attempt: 1, Machine: "host-1", Incarnation: 1, Addr: "10.1.0.1:1"}}}), 6)
	m := c.machineNamed("host-1")
	m.unanswered = unansweredLimit
	for _, reached := range []bool{false, true} {
		c.now = c.now.Add(6 * time.Second)
		if reached {
			c.lastHeartbeatAt = c.now
		}
		if c.unreachable(m, p) != reached {
			t.Errorf("workers reach us: %v, found silent: %v", reached, !reached)
		}
	}
}
