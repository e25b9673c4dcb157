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

// heartbeatOf returns the heartbeat of a machine of an owned partition on which every bound task is
// running.
func (c *controller) heartbeatOf(m *machine) *wire.Heartbeat {
	p := c.partitions[m.partition]
	heartbeat := &wire.Heartbeat{Machine: m.name, Addr: m.addr, Type: m.machineType, Zone: m.zone, Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: p.token}
	for _, x := range m.bindings {
		t, rec := x.task, x.group
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: taskName(rec.job.id, t.Number), Attempt: rec.binding(t.Number).attempt, State: wire.StateRunning})
	}
	return heartbeat
}

// ownMachineWithTasks returns the first machine in partition 0 that has tasks bound to it, or nil.
func (c *controller) ownMachineWithTasks() *machine {
	for _, m := range c.partitions[0].machines {
		if len(m.bindings) > 0 {
			return m
		}
	}
	return nil
}

// Operations that run hundreds of times a second must allocate little, and not more with ten times as
// many machines. A controller may have only a fraction of a core, which leaves hardly any time for
// garbage collection.
func TestHotPathAllocations(t *testing.T) {
	for _, x := range []struct {
		name      string
		maxAllocs float64
		// newOperation returns the operation whose allocations are counted.
		newOperation func(t *testing.T, c *controller) func()
	}{
		{"a heartbeat without changes", 4, heartbeatOperation},
		{"a heartbeat decoded", 24, decodeOperation},
		{"a scheduling pass with nothing to do", 2, idlePassOperation},
		{"a record stored by another controller", 8, replicaOperation},
		{"a query of a finished job", 2, queryOperation},
	} {
		for _, machines := range []int{50, 500} {
			t.Run(fmt.Sprintf("%s, %d machines", x.name, machines), func(t *testing.T) {
				got := testing.AllocsPerRun(50, x.newOperation(t, newFullFleetController(t, machines)))
				t.Logf("%v allocations", got)
				if got > x.maxAllocs {
					t.Errorf("%v allocations, want at most %v", got, x.maxAllocs)
				}
			})
		}
	}
}

// heartbeatOperation returns an operation that handles a heartbeat of a machine whose tasks are all
// running.
func heartbeatOperation(_ *testing.T, c *controller) func() {
	heartbeat := c.heartbeatOf(c.ownMachineWithTasks())
	return func() {
		heartbeat.Sequence++
		c.handleHeartbeat(heartbeat)
	}
}

// decodeOperation returns an operation that decodes a heartbeat.
func decodeOperation(t *testing.T, c *controller) func() {
	raw := record.JSON(c.heartbeatOf(c.ownMachineWithTasks()))
	return func() {
		if _, err := wire.ParseHeartbeat(raw); err != nil {
			t.Error(err)
		}
	}
}

// idlePassOperation returns an operation that runs a scheduling pass in which no task is due for
// placement.
func idlePassOperation(_ *testing.T, c *controller) func() {
	for _, job := range c.activeJobs { // no job is due for placement
		if job.spec.Class == "clean" {
			job.retryAt = c.now.Add(time.Hour)
		}
	}
	return c.schedulePartitions
}

// replicaOperation returns an operation that applies a new revision of a record that another
// controller has written.
func replicaOperation(_ *testing.T, c *controller) func() {
	var group *taskGroup
	for g := range c.allGroups() {
		if g.partition != 0 && g.boundCount > 0 && len(g.bindings) == 1 {
			group = g
		}
	}
	raw, revision := c.encodeGroup(group, group.doneTasks, group.bindings).ValueForKey(group.key), group.revision
	return func() {
		revision++
		c.replica.Put(group.key, raw, revision)
	}
}

// queryOperation returns an operation that looks up the state of an archived job.
func queryOperation(t *testing.T, c *controller) func() {
	c.finalStates["wk-1"] = record.StateDone
	return func() {
		if state := c.lookupJob("wk-1").jobState().State; state != wire.StateDone {
			t.Errorf("state of the finished job is %q, want %q", state, wire.StateDone)
		}
	}
}

// Building and encoding a status must take a number of allocations that does not depend on the number
// of machines, since encoding grows a single buffer. The frame must have at most 64 bytes for each
// machine. Decoding, which allocates four strings for each machine, is not checked here.
func TestStatusFrameAllocations(t *testing.T) {
	for _, machines := range []int{50, 500} {
		c := newFullFleetController(t, machines)
		n := float64(len(c.partitions[0].machines))
		var frame []byte
		if got := testing.AllocsPerRun(20, func() { frame = peer.AppendStatus(nil, c.buildPeerStatus(), peer.PlainFrame) }); got > 30 {
			t.Errorf("%d machines: %v allocations to encode a status, want at most 30", machines, got)
		}
		s := &peer.Status{}
		if got := testing.AllocsPerRun(20, func() { *s = *c.buildPeerStatus() }); got > 20 {
			t.Errorf("%d machines: %v allocations to build a status, want at most 20", machines, got)
		}
		if len(frame) > int(n)*64+64 {
			t.Errorf("%d machines: the frame has %d bytes, want at most %d", machines, len(frame), int(n)*64+64)
		}
	}
}

// The bindings of an array must be written in batches, so that there are far fewer changes and
// transactions than tasks.
func TestArrayWritesAreBatched(t *testing.T) {
	runCluster(t, func(c *cluster) {
		const tasks = 240
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: tasks, CPUs: 1, EstimateS: 6}))
		c.awaitDone("wk-1", 10*time.Minute)
		var all store.Stats
		for _, n := range c.nodes {
			s := n.controller().storeClient.TakeStats()
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
			raw, revision := c.encodeGroup(group, group.doneTasks, group.bindings).ValueForKey(group.key), group.revision+1<<32
			for b.Loop() {
				revision++
				c.replica.Put(group.key, raw, revision)
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
