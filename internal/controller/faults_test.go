package controller

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerclient"
)

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

// services submits n services and waits until they run.
func (c *cluster) services(n, tasks int) {
	c.t.Helper()
	for i := range n {
		c.submit(jobBody(fmt.Sprintf("wk-%d", i+1), wire.Service, "blue", "urgent", tasks, 2, 0))
	}
	c.await("the services run", time.Minute, func() bool { return c.allRun(n, tasks) })
}

func (c *cluster) allRun(n, tasks int) bool {
	for i := range n {
		if c.env.Running(fmt.Sprintf("wk-%d", i+1)) != tasks {
			return false
		}
	}
	return true
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

// zoned submits n services of one replica for a zone.
func (c *cluster) zoned(first, n int, zone string) {
	c.t.Helper()
	for i := range n {
		body := jobBody(fmt.Sprintf("wk-%d", first+i), wire.Service, "blue", "urgent", 1, 2, 0)
		body["shore"] = zone
		c.submit(body)
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

// Direct commands that hang hold a socket each: when hundreds of machines fall
// silent together, few are asked at a time, half of the places are kept for
// commands, and each machine has its turn.
func TestDirectCommandsAreBounded(t *testing.T) {
	c := crowded(t, 2000)
	p := c.partitions[0]
	c.maxDirects = 40
	c.now = c.now.Add(20 * time.Second)
	c.replica.NoteRead(c.now)
	c.probeUnreachable()
	if c.directsInFlight != 20 || c.directsInFlight+len(c.directQueue) != len(p.machines) || len(p.machines) < 300 {
		t.Fatalf("%d commands are open and %d machines wait, of %d", c.directsInFlight, len(c.directQueue), len(p.machines))
	}
	asked := map[string]bool{}
	for rounds := 0; len(c.directQueue) > 0; rounds++ {
		if rounds > len(p.machines)/20 {
			t.Fatal("a machine never has its turn")
		}
		c.directsInFlight = 0
		c.sendQueuedDirect()
		if c.directsInFlight > 20 {
			t.Fatalf("%d commands are open", c.directsInFlight)
		}
	}
	for _, m := range p.machines {
		if m.directInFlight {
			asked[m.name] = true
		}
	}
	if len(asked) != len(p.machines) {
		t.Errorf("%d of %d machines were asked", len(asked), len(p.machines))
	}
}

// counting counts requests that are sent.
type counting struct{ sent atomic.Int64 }

func (c *counting) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	c.sent.Add(1)
	return nil, http.ErrServerClosed
}

// A process that stands still between a decision and its sending has lost the right
// to it by the time it wakes: the command is not sent.
func TestNothingIsSentAfterStandingStill(t *testing.T) {
	for _, still := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := lone(t)
			out := &counting{}
			c.workerClient = workerclient.NewClient(out)
			m := c.machineNamed("host-1")
			m.addr, m.incarnation, m.heartbeatAt = "10.1.0.1:1", 1, c.now
			if still {
				time.Sleep(5 * time.Second) // b.now is when it was decided
			}
			c.sendDirect(m, c.partitions[0], []wire.Command{{Op: wire.OpStart, Task: "wk-1/0", Attempt: 1}})
			synctest.Wait()
			if sent := out.sent.Load() > 0; sent == still {
				t.Errorf("stood still %v: sent %v", still, sent)
			}
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
