package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/wire"
)

// A service that no partition has room for gets machines of several partitions and runs with
// all replicas. The machines are returned afterwards, even if a controller or machine fails
// meanwhile.
func TestServiceAcrossPartitions(t *testing.T) {
	restart := func(node int) func(*cluster) {
		return func(c *cluster) {
			time.Sleep(time.Duration((node+1)*400) * time.Millisecond)
			c.kill(node)
			time.Sleep(9 * time.Second)
			c.start(node)
		}
	}
	for _, test := range []struct {
		name        string
		injectFault func(*cluster) // called once machines are on loan; nil: no fault
	}{
		{"no failure", nil},
		{"controller 0 fails", restart(0)},
		{"controller 1 fails", restart(1)},
		{"controller 2 fails", restart(2)},
		{"a machine fails", func(c *cluster) { c.env.Cloud.Agents()[0].Terminate() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkServiceAcrossPartitions(test.injectFault) })
		})
	}
}

// checkServiceAcrossPartitions runs a service that needs machines of several partitions and
// checks that all of its replicas run and that the machines are returned after its cancellation.
func (c *cluster) checkServiceAcrossPartitions(injectFault func(*cluster)) {
	c.t.Helper()
	c.env.Cloud.SetCapacity(8)
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 60, CPUs: 2, EstimateS: 10}))
	c.await("machines are up", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") >= 10 })
	service := newSubmission(submission{ID: "wk-2", Kind: wire.KindService, Team: "blue", Priority: "production", Tasks: 6, CPUs: 3})
	service.MachineTypes = []string{"small"}
	c.submit(service)
	onLoan := func() bool { return len(c.env.Store.Keys(loanPrefix)) > 0 }
	if injectFault != nil {
		c.await("machines are on loan", 2*time.Minute, onLoan)
		injectFault(c)
	}
	c.await("all replicas of the service run", 3*time.Minute, func() bool { return c.env.CountRunningTasks("wk-2") == 6 })
	c.cancelJob("wk-2")
	c.await("no machine stays on loan", time.Minute, func() bool { return !onLoan() })
	c.awaitDone("wk-1", 10*time.Minute)
}

// A task whose group is assigned to another partition ends on a machine of this controller's
// partition, as after the machine's return from a loan. Its cell must be freed, and this
// controller must store the end, since no other controller receives the machine's heartbeats.
// Otherwise the job waits forever.
func TestTaskEndOfAnotherPartitionsGroup(t *testing.T) {
	c := newTestController(t)
	c.partitions = append([]*partition{c.partitions[0], {index: 1, key: rollout.InitialState.LeaseKeys().Partition(1)}}, &partition{index: 2, key: rollout.InitialState.LeaseKeys().Leader()})
	p := c.partitions[0]
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{Spec: &wire.Job{ID: "wk-1", TaskCount: 2, CPUs: 1, Team: "t", NoDeadline: true}}), 6)
	key := groupKey("wk-1", 0)
	value := func(machine string) record.TaskGroup {
		return record.TaskGroup{Partition: 2, Tasks: []record.Binding{{Attempt: 1, Machine: machine, Incarnation: 1}, {Task: 1}}}
	}
	c.replica.Put(key, marshalJSON(t, value("host-1")), 7)
	group := c.groupByKey[key]
	m := c.getOrAddMachine("host-1")
	if m.partition != 0 || p.cells.Cell(group.task(0)) == nil {
		t.Fatalf("the machine is in partition %d and the task has cell %v, want partition 0 and a cell", m.partition, p.cells.Cell(group.task(0)))
	}
	m.heartbeatAt, m.incarnation = c.now, 2 // a newer incarnation proves that the task of the first one has ended
	c.reconcile(m, p)
	c.schedulePartition(p)
	c.now = c.now.Add(maxEndBatchingDelay + time.Second) // ends are batched before they are stored
	c.schedulePartition(p)
	if !group.writeInFlight || c.storeWriter.BacklogDuration() == 0 {
		t.Error("the end of the task is not stored")
	}
	// The cell must also be freed if the owner of the group has stored the end.
	group.writeInFlight = false
	key = groupKey("wk-1", 1)
	c.replica.Put(key, marshalJSON(t, value("host-2")), 8)
	c.replica.Put(key, marshalJSON(t, value("")), 9)
	if len(p.cells.AllocatedTasks()) != 0 {
		t.Errorf("tasks %v still have cells, want none", p.cells.AllocatedTasks())
	}
}
