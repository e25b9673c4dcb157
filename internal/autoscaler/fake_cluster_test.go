package autoscaler

import (
	"context"
	"fmt"
	"io"
	"iter"
	"log/slog"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// fakeCloud is a Cloud that returns what the test sets and records the calls.
type fakeCloud struct {
	// launchFunc implements Launch. If it is nil, all requested machines are launched.
	launchFunc        func(wire.LaunchRequest) ([]string, error)
	launchRequests    []wire.LaunchRequest
	terminateErr      error
	terminations      [][]string
	duringTerminate   func() // called while a call of Terminate is in flight; nil: nothing is
	instances         []wire.Instance
	listErr           error
	listCalls         int
	machineTypes      []wire.MachineType
	typesErr          error
	machineTypesCalls int
}

func (c *fakeCloud) Launch(ctx context.Context, request wire.LaunchRequest) ([]string, error) {
	if err := cloud.CheckSend(ctx); err != nil {
		return nil, err
	}
	c.launchRequests = append(c.launchRequests, request)
	if c.launchFunc != nil {
		return c.launchFunc(request)
	}
	var names []string
	for i := range request.Count {
		names = append(names, fmt.Sprintf("%s-%d", request.IdempotencyKey, i))
	}
	return names, nil
}

func (c *fakeCloud) Terminate(ctx context.Context, names []string) error {
	if err := cloud.CheckSend(ctx); err != nil {
		return err
	}
	if c.duringTerminate != nil {
		c.duringTerminate()
	}
	c.terminations = append(c.terminations, slices.Clone(names))
	return c.terminateErr
}

func (c *fakeCloud) List(context.Context) ([]wire.Instance, error) {
	c.listCalls++
	return c.instances, c.listErr
}

func (c *fakeCloud) MachineTypes(context.Context) ([]wire.MachineType, error) {
	c.machineTypesCalls++
	return c.machineTypes, c.typesErr
}

// fakeCluster implements the components that an Autoscaler depends on: Machines, Cluster, Writer
// and EventLoop. Calls to its fakeCloud stay queued until the test calls runQueuedCalls.
type fakeCluster struct {
	cloud                fakeCloud
	now                  time.Time
	machines             []*ReportedMachine // by machine index
	terminated           []string           // the arguments of MarkTerminated
	unreachableWithTasks []string
	types                map[string]*wire.MachineType

	loadingRecords       bool
	leadership           Leadership
	leaderLastStatusAt   time.Time
	partitionCondition   wire.Condition
	ownersUnresponsive   bool
	heartbeatsResumedAt  time.Time
	hasUnreadableRecords bool
	tombstones           map[string]Tombstone

	writes         []*store.Write
	writeCallbacks []func(error)
	writer         *store.Writer
}

const (
	leaderEpoch   = 5
	loanPartition = 1
	hour          = time.Hour
)

var (
	leaderCondition    = wire.Condition{Key: "e/leader", Revision: 7}
	partitionCondition = wire.Condition{Key: "e/partition/0", Revision: 3}
	smallOffer         = planning.Offer{Type: "small", Zone: "a"}
)

// newFakeCluster returns a cluster that this controller has led for an hour. It has no machines.
func newFakeCluster() *fakeCluster {
	now := time.Unix(1_000_000_000, 0)
	return &fakeCluster{
		now:        now,
		types:      map[string]*wire.MachineType{"small": {Name: "small", CPUs: 4, RAMGB: 16, Price: 0.4, SpotPrice: 0.1, BootS: 40, Zones: []string{"a"}}},
		leadership: Leadership{Epoch: leaderEpoch, StartedAt: now.Add(-hour), Active: true, CanAct: true, FencingCondition: leaderCondition},
		tombstones: map[string]Tombstone{},
		writer:     store.NewWriter(nil, 32, 40, 1, nil),
	}
}

// demote makes this controller a follower.
func (c *fakeCluster) demote() {
	c.leadership = Leadership{FencingCondition: wire.Condition{Key: leaderCondition.Key}}
}

// newAutoscaler returns an Autoscaler for the cluster. Its term has started if this controller is
// the leader.
func (c *fakeCluster) newAutoscaler(t *testing.T) *Autoscaler {
	t.Helper()
	a := New(Config{
		CloudSettings: config.CloudSettings{RPS: 6, ListLagS: 3}, Operator: config.DefaultOperatorSettings(),
		TombstoneKeyPrefix: "e/gone/", MachineTypesKey: "e/types", MaxValueBytes: 8 << 10, MaxTransactionChanges: 32, LoanPartition: loanPartition,
		HeartbeatTimeout: time.Second, MaxUnreachableWorkDuration: time.Minute, Clock: c.Now, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}, Dependencies{Cloud: &c.cloud, Machines: c, Cluster: c, Writer: c, Loop: c})
	if c.leadership.Epoch != 0 {
		a.StartTerm()
	}
	return a
}

// addMachines adds reachable machines of type small in zone a.
func (c *fakeCluster) addMachines(count int) {
	for range count {
		name := fmt.Sprintf("host-%06d", len(c.machines))
		c.machines = append(c.machines, &ReportedMachine{Machine: Machine{Name: name, Type: "small", Zone: "a"}, Reachable: true})
	}
}

// machineSummaries returns summaries of all machines. A machine with bound tasks is fully used.
func (c *fakeCluster) machineSummaries() []*planning.MachineSummary {
	var all []*planning.MachineSummary
	for i, m := range c.machines {
		size := machineTypeSize(c.types[m.Type])
		summary := &planning.MachineSummary{Index: scheduling.MachineIndex(i), Type: m.Type, Zone: m.Zone, Spot: m.Spot, Partition: m.Partition, Size: size, FreeResources: size}
		if m.HasBoundTasks {
			summary.FreeResources, summary.Usages = scheduling.Resources{}, []planning.TaskUsage{{Size: size}}
		}
		all = append(all, summary)
	}
	return all
}

// newWorkload returns a workload with unplaced demands and no services.
func (c *fakeCluster) newWorkload(waiting ...planning.Demand) *Workload {
	return &Workload{Machines: c.machineSummaries(), UnplacedDemands: waiting, Services: slices.Values([]Service(nil))}
}

// newDemand returns a demand for tasks that each fill an on-demand machine of type small.
func (c *fakeCluster) newDemand(tasks int) planning.Demand {
	return planning.Demand{Class: "c", TaskSize: machineTypeSize(c.types["small"]), Count: tasks, AllOrNothing: true,
		AllowsOffer: func(offer planning.Offer) bool { return !offer.Spot }}
}

// runQueuedCalls makes the queued calls to the cloud, and the calls that they queue in turn.
func (c *fakeCluster) runQueuedCalls(a *Autoscaler) {
	for len(a.queuedCalls) > 0 {
		a.makeCall(context.Background(), <-a.queuedCalls)
	}
}

func (c *fakeCluster) findMachine(name string) *ReportedMachine {
	for _, m := range c.machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (c *fakeCluster) GetOrAdd(name string) Machine {
	if m := c.findMachine(name); m != nil {
		return m.Machine
	}
	return Machine{Name: name}
}

func (c *fakeCluster) Lookup(name string) (Machine, bool) {
	return c.GetOrAdd(name), c.findMachine(name) != nil
}

func (c *fakeCluster) At(index scheduling.MachineIndex) Machine { return c.machines[index].Machine }

func (c *fakeCluster) EachReportedMachine(f func(ReportedMachine)) {
	for _, m := range c.machines {
		f(*m)
	}
}

func (c *fakeCluster) UnreachableMachinesWithTasks() []string       { return c.unreachableWithTasks }
func (c *fakeCluster) MarkTerminated(name string)                   { c.terminated = append(c.terminated, name) }
func (c *fakeCluster) Types() map[string]*wire.MachineType          { return c.types }
func (c *fakeCluster) HasLoadedRecords() bool                       { return !c.loadingRecords }
func (c *fakeCluster) Leadership() Leadership                       { return c.leadership }
func (c *fakeCluster) LeaderLastStatusAt() time.Time                { return c.leaderLastStatusAt }
func (c *fakeCluster) PartitionFencingCondition(int) wire.Condition { return c.partitionCondition }
func (c *fakeCluster) AreAllOwnersResponsive() bool                 { return !c.ownersUnresponsive }
func (c *fakeCluster) HasCompleteView(int) bool                     { return !c.ownersUnresponsive }
func (c *fakeCluster) HeartbeatsResumedAt() time.Time               { return c.heartbeatsResumedAt }
func (c *fakeCluster) HasUnreadableRecords() bool                   { return c.hasUnreadableRecords }
func (c *fakeCluster) Now() time.Time                               { return c.now }
func (c *fakeCluster) Enqueue(f func())                             { f() }
func (c *fakeCluster) BacklogDuration() time.Duration               { return c.writer.BacklogDuration() }

func (c *fakeCluster) SetTypes(types []wire.MachineType) {
	c.types = map[string]*wire.MachineType{}
	for i := range types {
		c.types[types[i].Name] = &types[i]
	}
}

func (c *fakeCluster) Tombstones() iter.Seq[Tombstone] {
	return func(yield func(Tombstone) bool) {
		for _, tombstone := range c.tombstones {
			if !yield(tombstone) {
				return
			}
		}
	}
}

// SubmitWrite records a write. It is queued but never stored.
func (c *fakeCluster) SubmitWrite(write *store.Write, done func(error)) {
	c.writes, c.writeCallbacks = append(c.writes, write), append(c.writeCallbacks, done)
	c.writer.Submit(write)
}
