package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
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
			runCluster(t, func(c *cluster) { c.checkServiceAcrossPartitions(x.happen) })
		})
	}
}

func (c *cluster) checkServiceAcrossPartitions(happen func(*cluster)) {
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

// A task of a record that another partition is in charge of ends on a machine of ours, which
// was lent and is back: its cell is free again, and its end is stored by us, since nobody
// else will ever know. Its job waited for ever.
func TestTaskEndOfAnotherPartitionsGroup(t *testing.T) {
	c := newTestController(t)
	c.partitions = append([]*partition{c.partitions[0], {index: 1, key: rollout.Initial.Keys().Partition(1)}}, &partition{index: 2, key: rollout.Initial.Keys().Leader()})
	p := c.partitions[0]
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{Spec: &wire.Job{ID: "wk-1", Tasks: 2, CPUs: 1, Team: "t", NoDeadline: true}}), 6)
	key := groupKey("wk-1", 0)
	value := func(machine string) record.TaskGroup {
		return record.TaskGroup{Partition: 2, Tasks: []record.Binding{{Attempt: 1, Machine: machine, Incarnation: 1}, {Task: 1}}}
	}
	c.replica.Put(key, marshalJSON(t, value("host-1")), 7)
	group := c.groupByKey[key]
	m := c.getOrAddMachine("host-1")
	if m.partition != 0 || p.cells.Cell(group.task(0)) == nil {
		t.Fatalf("partition %d, cell %v; want 0 and a cell", m.partition, p.cells.Cell(group.task(0)))
	}
	m.heartbeatAt, m.incarnation = c.now, 2 // a later incarnation: the first one's task is gone
	c.reconcile(m, p)
	c.schedulePartition(p)
	c.now = c.now.Add(maxEndBatchingDelay + time.Second) // ends wait for each other
	c.schedulePartition(p)
	if !group.writeInFlight || c.stateWriter.Backlog() == 0 {
		t.Error("its end is not stored")
	}
	// The same where the record's own partition has stored the end.
	group.writeInFlight = false
	key = groupKey("wk-1", 1)
	c.replica.Put(key, marshalJSON(t, value("host-2")), 8)
	c.replica.Put(key, marshalJSON(t, value("")), 9)
	if len(p.cells.AllocatedTasks()) != 0 {
		t.Errorf("cells %v are left, want none", p.cells.AllocatedTasks())
	}
}
