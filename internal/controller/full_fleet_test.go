package controller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/wire"
)

// unresponsiveTransport is a network on which no request is answered.
type unresponsiveTransport struct{}

// RoundTrip blocks until the request is cancelled.
func (unresponsiveTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// Dimensions of the full fleet.
const (
	fullFleetControllers = 5
	tasksPerMachine      = 8 // with 2 CPUs each, which fill a large machine
	// ownPartitionToken is the fencing token of the partition that the controller owns.
	ownPartitionToken = 11
)

// fullFleet builds the state of a controller in a fully loaded cluster.
type fullFleet struct {
	*controller
	revision uint64
	jobCount int
}

// newFullFleetController returns the leader of a fleet of the given size, which also owns
// partition 0 of five. Half of the machines run services and half run tasks of one array. All
// machines are full, and more arrays, of two teams and two task sizes, wait for room.
func newFullFleetController(tb testing.TB, machines int) *controller {
	tb.Helper()
	f := &fullFleet{controller: newIsolatedController(tb), revision: 10}
	f.addPeers()
	f.takeLeadership()
	f.bindTasks(f.addMachines(machines))
	for i := range machines / 10 {
		f.addJob(&wire.Job{Class: "clean", Team: []string{"red", "blue"}[i%2], Priority: 1, TaskCount: 40, CPUs: []float64{1, 2}[i/2%2]})
	}
	f.replica.Apply(&wire.WatchResponse{Revision: f.revision})
	return f.controller
}

// newIsolatedController returns a controller of a cluster of five whose requests are never
// answered.
func newIsolatedController(tb testing.TB) *controller {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	cfg := &config.PlatformSettings{Name: "n0", Zone: "a", APIAddr: "10.0.0.1:80"}
	for i := 1; i < fullFleetControllers; i++ {
		cfg.Peers = append(cfg.Peers, config.Peer{Name: fmt.Sprintf("n%d", i), Addr: "10.0.0.2:80"})
	}
	cfg.External.Store, cfg.External.Cloud = "state:1", "cloud:1"
	s := &cfg.Settings
	s.ControllerCount, s.Zones = fullFleetControllers, []string{"a", "b"}
	s.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 800}, {Name: "blue"}}
	s.Workers.HeartbeatIntervalS, s.Workers.LeaseDurationS, s.Workers.CancelDeadlineS = 4, 24, 54
	s.Store.RPS, s.Store.WriteRPS, s.Store.ValueKB, s.Store.TxnOps = 150, 60, 8, 32
	s.Cloud.RPS, s.Cloud.ListLagS = 6, 3
	c := newController(ctx, cfg, config.DefaultOperatorSettings(), newTestLogger(io.Discard), dependencies{store: unresponsiveTransport{}, cloud: unresponsiveTransport{}, workers: unresponsiveTransport{}, sendFrame: func(string, []byte) {}})
	c.replica.Load(nil, 0, &wire.WatchResponse{})
	c.replica.AdvanceReadTime(c.now)
	c.startedAt = c.now.Add(-time.Hour)
	c.setMachineTypes(testMachineTypes)
	return c
}

// put stores a record at the next revision.
func (f *fullFleet) put(key string, value any) {
	f.revision++
	f.replica.Put(key, record.JSON(value), f.revision)
}

// addPeers makes each controller the owner of the partition with its index.
func (f *fullFleet) addPeers() {
	for i := range fullFleetControllers {
		node := fmt.Sprintf("n%d", i)
		f.put(rollout.InitialState.LeaseKeys().Partition(i), record.LeaseHolder{Node: node, ProcessID: "x"})
		f.addOwnerStatus(node, i)
	}
}

// addOwnerStatus records a status of a peer that lists a partition as its own and stays valid
// for an hour.
func (c *controller) addOwnerStatus(node string, partition int) {
	status := &peer.Status{Node: node, ReplicaIsFresh: true, CanTakePartitions: true, Partitions: []uint64{uint64(partition)}}
	c.peers.Update(status, 1, c.now.Add(time.Hour))
}

// takeLeadership makes the controller the owner of partition 0 and the leader, both since an
// hour ago.
func (f *fullFleet) takeLeadership() {
	p := f.partitions[0]
	f.takeOverPartition(p, ownPartitionToken)
	p.takeoverComplete, p.ownedSince = true, f.now.Add(-time.Hour)
	f.becomeLeader(f.revision)
	f.leadership.isActive, f.leadership.startedAt = true, f.now.Add(-time.Hour)
}

// addMachines adds machines that have just sent a heartbeat, each to its hash partition.
func (f *fullFleet) addMachines(count int) []*machine {
	var all []*machine
	for i := range count {
		m := f.getOrAddMachine(fmt.Sprintf("host-%06d", i))
		m.machineType, m.zone, m.addr = "large", "a", "10.1.0.1:1"
		m.incarnation, m.sequence, m.heartbeatAt, m.lastMessageAt = 1, 1, f.now, f.now
		m.lease.Renew(f.now)
		f.setMachineSize(m)
		all = append(all, m)
		if m.partition != 0 {
			status := f.peers.Peer(fmt.Sprintf("n%d", m.partition)).Status
			status.Machines = append(status.Machines, peer.Machine{Name: m.name, Addr: m.addr, Type: m.machineType, Zone: m.zone, Incarnation: 1, Flags: peer.FlagReachable})
		}
	}
	return all
}

// addJob adds an accepted job and returns its ID.
func (f *fullFleet) addJob(spec *wire.Job) string {
	f.jobCount++
	spec.ID = fmt.Sprintf("wk-%06d", f.jobCount)
	spec.RAMGB, spec.Image, spec.EstimateS, spec.DeadlineS = 2, "img", 40, 200
	f.put(jobKey(spec.ID), record.Job{AcceptedAtMS: f.now.UnixMilli(), Spec: spec})
	return spec.ID
}

// bindTasks fills every other machine with services and the rest with tasks of one array.
func (f *fullFleet) bindTasks(machines []*machine) {
	array := f.addJob(&wire.Job{Class: "clean", Team: "blue", Priority: 1, TaskCount: len(machines) * tasksPerMachine / 2, CPUs: 2})
	arrayTasks := map[int][]record.Binding{} // by partition index
	number := int32(0)
	for i, m := range machines {
		for range tasksPerMachine {
			if i%2 == 0 {
				f.bindService(m)
				continue
			}
			arrayTasks[m.partition] = append(arrayTasks[m.partition], record.Binding{Task: number, Attempt: 1, Machine: m.name, Incarnation: 1})
			number++
		}
	}
	groups := 0
	for partition, tasks := range arrayTasks {
		for len(tasks) > 0 {
			n := min(len(tasks), f.maxGroupTasks)
			f.put(groupKey(array, groups), record.TaskGroup{Partition: partition, Tasks: tasks[:n]})
			tasks, groups = tasks[n:], groups+1
		}
	}
}

// bindService adds a service with one task that runs on a machine.
func (f *fullFleet) bindService(m *machine) {
	id := f.addJob(&wire.Job{Class: "feed", Team: "red", Service: true, Priority: 2, TaskCount: 1, CPUs: 2})
	f.put(groupKey(id, 0), record.TaskGroup{Partition: m.partition, Guaranteed: true, Tasks: []record.Binding{{Attempt: 1, Machine: m.name, Incarnation: 1}}})
}
