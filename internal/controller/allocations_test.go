package controller

import (
	"fmt"
	"testing"
	"time"

	"eiderhitch/internal/peer"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// heartbeatOf is what a machine of ours reports when all that is bound to it runs.
func (c *controller) heartbeatOf(m *machine) *wire.Heartbeat {
	p := c.partitions[m.partition]
	heartbeat := &wire.Heartbeat{Machine: m.name, Addr: m.addr, Type: m.machineType, Zone: m.zone, Incarnation: m.incarnation, Sequence: m.sequence, Token: p.token}
	for _, x := range m.bindings {
		t, rec := x.task, x.group
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: taskName(rec.job.id, t.Number), Attempt: rec.binding(t.Number).attempt, State: wire.Running})
	}
	return heartbeat
}

// ours is the first of our machines in a crowded fleet on which something runs.
func (c *controller) ownMachineWithTasks() *machine {
	for _, m := range c.partitions[0].machines {
		if len(m.bindings) > 0 {
			return m
		}
	}
	return nil
}

// What comes hundreds of times a second allocates little, and no more with ten times
// as many machines: the collector's work follows from it, and with a fraction of a
// core there is hardly any time for that.
func TestHotPathAllocations(t *testing.T) {
	for _, x := range []struct {
		name  string
		bound float64
		path  func(t *testing.T, c *controller) func()
	}{
		{"a heartbeat without news", 4, heartbeatPath},
		{"a heartbeat decoded", 24, decodePath},
		{"a step of a partition with nothing to do", 2, idlePath},
		{"a record stored by another controller", 8, replicaPath},
		{"a query of a finished job", 2, queryPath},
	} {
		for _, machines := range []int{50, 500} {
			t.Run(fmt.Sprintf("%s, %d machines", x.name, machines), func(t *testing.T) {
				got := testing.AllocsPerRun(50, x.path(t, newFullFleetController(t, machines)))
				t.Logf("%v allocations", got)
				if got > x.bound {
					t.Errorf("%v allocations, want at most %v", got, x.bound)
				}
			})
		}
	}
}

func heartbeatPath(_ *testing.T, c *controller) func() {
	heartbeat := c.heartbeatOf(c.ownMachineWithTasks())
	return func() {
		heartbeat.Sequence++
		c.handleHeartbeat(heartbeat)
	}
}

func decodePath(t *testing.T, c *controller) func() {
	raw := record.JSON(c.heartbeatOf(c.ownMachineWithTasks()))
	return func() {
		if _, err := wire.ParseHeartbeat(raw); err != nil {
			t.Error(err)
		}
	}
}

func idlePath(_ *testing.T, c *controller) func() {
	for _, job := range c.activeJobs { // nothing waits
		if job.spec.Class == "clean" {
			job.retryAt = c.now.Add(time.Hour)
		}
	}
	return c.schedulePartitions
}

func replicaPath(_ *testing.T, c *controller) func() {
	var group *taskGroup
	for g := range c.allGroups() {
		if g.partition != 0 && g.boundCount > 0 && len(g.bindings) == 1 {
			group = g
		}
	}
	raw, revision := c.encodeGroup(group, group.doneTasks, group.bindings).At(group.key), group.revision
	return func() {
		revision++
		c.replica.Put(group.key, raw, revision)
	}
}

func queryPath(t *testing.T, c *controller) func() {
	c.finalStates["wk-1"] = record.Done
	return func() {
		if state := c.lookupJob("wk-1").jobState().State; state != wire.Done {
			t.Errorf("the job is %q, want %q", state, wire.Done)
		}
	}
}

// A status frame costs its sender one buffer that grows, and its reader four strings
// for each machine.
func TestStatusFrameAllocations(t *testing.T) {
	for _, machines := range []int{50, 500} {
		c := newFullFleetController(t, machines)
		n := float64(len(c.partitions[0].machines))
		var frame []byte
		if got := testing.AllocsPerRun(20, func() { frame = peer.AppendStatus(nil, c.buildPeerStatus(), peer.PlainFrame) }); got > 30 {
			t.Errorf("%d machines: %v allocations to send a status, want at most 30", machines, got)
		}
		s := &peer.Status{}
		if got := testing.AllocsPerRun(20, func() { *s = *c.buildPeerStatus() }); got > 20 {
			t.Errorf("%d machines: %v allocations to make a status, want at most 20", machines, got)
		}
		if len(frame) > int(n)*64+64 {
			t.Errorf("%d machines: a frame of %d bytes, want at most %d", machines, len(frame), int(n)*64+64)
		}
	}
}

// A transaction carries what waits for it: an array's bindings cost far less than a
// change for each task.
func TestArrayWritesAreBatched(t *testing.T) {
	runCluster(t, func(c *cluster) {
		const tasks = 240
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: tasks, CPUs: 1, EstimateS: 6}))
		c.awaitDone("wk-1", 10*time.Minute)
		var all store.Stats
		for _, n := range c.nodes {
			s := n.controller().stateClient.Stats()
			all.Changes, all.Txns = all.Changes+s.Changes, all.Txns+s.Txns
		}
		if all.Changes > tasks/4 || all.Txns > tasks/4 {
			t.Errorf("%d changes in %d transactions for %d tasks, want at most %d of each", all.Changes, all.Txns, tasks, tasks/4)
		}
		t.Logf("%d changes in %d transactions for %d tasks", all.Changes, all.Txns, tasks)
	})
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newFullFleetController(b, n)
			heartbeat := c.heartbeatOf(c.ownMachineWithTasks())
			raw := record.JSON(heartbeat)
			for b.Loop() {
				x, err := wire.ParseHeartbeat(raw)
				if err != nil {
					b.Fatal(err)
				}
				heartbeat.Sequence++
				x.Sequence = heartbeat.Sequence
				c.handleHeartbeat(x)
			}
		})
	}
}

func BenchmarkStoredRecord(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newFullFleetController(b, n)
			var group *taskGroup
			for first := range c.allGroups() {
				if group == nil || len(first.bindings) > len(group.bindings) {
					group = first
				}
			}
			raw, stamp := c.encodeGroup(group, group.doneTasks, group.bindings).At(group.key), group.revision+1<<32
			for b.Loop() {
				stamp++
				c.replica.Put(group.key, raw, stamp)
			}
		})
	}
}

func BenchmarkPeerStatus(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newFullFleetController(b, n)
			for b.Loop() {
				peer.AppendStatus(nil, c.buildPeerStatus(), peer.PlainFrame)
			}
		})
	}
}
