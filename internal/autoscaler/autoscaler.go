// Package autoscaler launches and terminates the cluster's machines. The leader scales the
// fleet out and in. While no leader responds, the owner of a partition terminates the
// unreachable machines of that partition.
//
// An Autoscaler holds the instances that the cloud has launched, the queued and running calls
// to the cloud, the machines that are being terminated, the machines that are being drained,
// and the zones that seem isolated. Package planning computes how many machines the demands
// need. The Cluster indexes the stored tombstones of terminated machines.
//
// Apart from the machines being terminated and the announced draining machines, all of this
// state belongs to one leadership term. StartTerm and EndTerm discard it, and the results of
// calls that an earlier term made are dropped. After a failover, the instance list of the
// cloud and the machines' heartbeats show which machines are up. A new leader launches nothing
// until it has the instance list and every partition's owner responds, or until a timeout.
// The idempotency key of a launch request is unique across all terms and requests.
//
// Machines are terminated in two steps. Once the cloud has confirmed the termination, a
// tombstone is stored under the fencing token of the leader or of the partition's owner. Only
// the tombstone proves to other controllers that the tasks on the machine have ended. A
// tombstone is deleted when nothing refers to its machines any more.
//
// An Autoscaler is confined to the event loop's goroutine and has no lock. The exception is
// Run, which makes the calls to the cloud on goroutines of its own and passes their results
// back through EventLoop.Enqueue.
package autoscaler

import (
	"context"
	"iter"
	"log/slog"
	"sync/atomic"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/outage"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// Cloud is the client for the cloud's API. Run's goroutines call its methods concurrently.
type Cloud interface {
	// Launch launches machines and returns their names, which may be fewer than requested.
	// Requests with the same idempotency key launch machines only once.
	Launch(ctx context.Context, request wire.LaunchRequest) (names []string, err error)
	// Terminate terminates at most cloud.MaxTerminateNames machines. If it returns no error,
	// the machines no longer exist.
	Terminate(ctx context.Context, names []string) error
	// List returns all instances. It may lag behind launches and terminations.
	List(ctx context.Context) ([]wire.Instance, error)
	// MachineTypes returns the machine types on offer, with their current prices.
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
}

// Machine describes a machine as this controller knows it.
type Machine struct {
	Name string
	// Type and Zone are empty until they have been reported.
	Type, Zone string
	Spot       bool
	// Partition is the index of the machine's current partition.
	Partition int
	// HasBoundTasks is true while tasks are bound to the machine.
	HasBoundTasks bool
	// Terminated is true if a tombstone names the machine or MarkTerminated was called.
	Terminated bool
}

// ReportedMachine is a machine with the state that the owner of its partition reports.
type ReportedMachine struct {
	Machine
	// Reachable is true while heartbeats arrive. Unreachable is true if no heartbeats arrive
	// and the machine does not answer its owner either. Both may be false.
	Reachable, Unreachable bool
	// AwaitingFirstHeartbeat is true until the first heartbeat arrives after the owner has
	// taken over the partition.
	AwaitingFirstHeartbeat bool
	// Cordoned is true if no new tasks are placed on the machine because tasks of several
	// jobs have failed there. CordonedAt is the time at which that began.
	Cordoned   bool
	CordonedAt time.Time
}

// Machines gives access to all known machines and to the machine types on offer.
type Machines interface {
	// GetOrAdd returns the machine with a name, and adds it if it is not known.
	GetOrAdd(name string) Machine
	// Lookup returns the machine with a name, or false if it is not known.
	Lookup(name string) (Machine, bool)
	// At returns the machine with an index, which is that of a planning.MachineSummary.
	At(index scheduling.MachineIndex) Machine
	// EachReportedMachine calls f for each machine that the owner of its partition reports.
	EachReportedMachine(f func(ReportedMachine))
	// UnreachableMachinesWithTasks returns the names of the unreachable machines that have
	// tasks bound to them, in the partitions that this controller owns.
	UnreachableMachinesWithTasks() []string
	// MarkTerminated marks a machine that has never come up as terminated. Such a machine has
	// no tombstone.
	MarkTerminated(name string)
	// Types returns the machine types by name. The map is empty while they are not known.
	Types() map[string]*wire.MachineType
	// SetTypes replaces the machine types.
	SetTypes(types []wire.MachineType)
}

// Leadership describes the current leadership term of this controller, if it has one.
type Leadership struct {
	// Epoch is unique to the term. It is 0 while this controller is not the leader.
	Epoch uint64
	// StartedAt is the time at which the term began.
	StartedAt time.Time
	// Active is true once everything that was stored before the term has been read. CanAct
	// is true if, in addition, the replica is fresh enough to base decisions on.
	Active, CanAct bool
	// FencingCondition makes a write fail once the term has ended.
	FencingCondition wire.Condition
}

// Tombstone is a stored record of terminated machines.
type Tombstone struct {
	Key string
	// Revision is the revision of the write that stored the tombstone.
	Revision uint64
	// MachineNames lists the terminated machines.
	MachineNames []string
	// FirstSeenAt is the time at which this controller first read the tombstone.
	FirstSeenAt time.Time
}

// Cluster gives access to the state of the cluster, as seen by this controller.
type Cluster interface {
	// HasLoadedRecords reports whether all records have been read since the process started.
	HasLoadedRecords() bool
	// Leadership returns the leadership term of this controller.
	Leadership() Leadership
	// LeaderLastStatusAt returns when the leader last sent a status. It is zero if the leader
	// has never sent one or is not a peer of this controller.
	LeaderLastStatusAt() time.Time
	// PartitionFencingCondition returns a condition that makes a write fail once another
	// controller owns the partition. Its revision is 0 if this controller does not own it.
	PartitionFencingCondition(partition int) wire.Condition
	// AreAllOwnersResponsive reports whether the leader receives statuses from the owner of
	// every partition.
	AreAllOwnersResponsive() bool
	// HasCompleteView reports whether the leader has received statuses from a partition's
	// owner for so long that all running machines of the partition must have sent heartbeats.
	HasCompleteView(partition int) bool
	// HeartbeatsResumedAt returns when heartbeats were last accepted again after an outage.
	HeartbeatsResumedAt() time.Time
	// HasUnreadableRecords reports whether some record can't be decoded. While this is so, a
	// machine that seems idle may be in use.
	HasUnreadableRecords() bool
	// Tombstones returns all stored tombstones.
	Tombstones() iter.Seq[Tombstone]
}

// Writer submits writes to the key-value store.
type Writer interface {
	// SubmitWrite queues a write and later runs done with its result on the event loop.
	SubmitWrite(write *store.Write, done func(err error))
	// BacklogDuration returns the estimated time until all submitted writes are stored.
	BacklogDuration() time.Duration
}

// EventLoop runs functions on the goroutine that owns the Autoscaler.
type EventLoop interface {
	// Now returns the time of the event that is being processed.
	Now() time.Time
	// Enqueue queues f to run on the event loop. It may be called on any goroutine.
	Enqueue(f func())
}

// Config holds the settings of an Autoscaler. They do not change after New.
type Config struct {
	config.CloudSettings
	Operator *config.OperatorSettings
	// TombstoneKeyPrefix is the prefix of the keys of tombstones. MachineTypesKey is the key
	// of the stored machine types.
	TombstoneKeyPrefix, MachineTypesKey string
	// MaxValueBytes is the maximum size of a stored value. MaxTransactionChanges is the
	// maximum number of changes in a transaction.
	MaxValueBytes, MaxTransactionChanges int
	// LoanPartition is the index of the partition that holds the machines on loan. These
	// machines are never drained.
	LoanPartition int
	// HeartbeatTimeout is the longest normal interval between two heartbeats of a machine.
	HeartbeatTimeout time.Duration
	// MaxUnreachableWorkDuration is the maximum time for which tasks keep running on machines
	// that no controller can reach. After it the leases of all their workers have expired, no
	// matter which controller renewed them last.
	MaxUnreachableWorkDuration time.Duration
	// Clock returns the current time. It may be called on any goroutine.
	Clock func() time.Time
	Log   *slog.Logger
}

// Dependencies holds the components that an Autoscaler depends on.
type Dependencies struct {
	Cloud    Cloud
	Machines Machines
	Cluster  Cluster
	Writer   Writer
	Loop     EventLoop
}

// Autoscaler launches and terminates machines. Use New to create one.
type Autoscaler struct {
	Config
	Dependencies
	// queuedCalls holds the calls to the cloud that Run has not started yet.
	queuedCalls chan queuedCall
	// term holds the state of the current leadership term. It is zero on a follower.
	term termState
	// announcedDrainingMachines is the set of machines that the leader last announced as
	// draining. The leader may be this controller.
	announcedDrainingMachines map[string]bool
	// terminatingMachines is the set of machines from the decision to terminate them until their
	// tombstone is stored or the termination is cancelled. queuedTerminations lists those of
	// them that no call to the cloud includes yet.
	terminatingMachines map[string]bool
	queuedTerminations  []queuedTermination
	terminationInFlight bool
	// outage logs outages of the cloud's API.
	outage *outage.Monitor
	// machineTypesStored is true once the machine types have been written to the key-value
	// store, or are being written.
	machineTypesStored bool
}

// termState holds the state that only the leader has. A new leader starts with an empty one.
type termState struct {
	// ended is set when the term ends. The goroutines of calls to the cloud read it. It is nil on a
	// follower.
	ended *atomic.Bool
	// instances holds the machines that the cloud has launched, by name.
	instances map[string]*instance
	// idleSince records when a machine was first seen idle after it was last in use.
	idleSince map[string]time.Time
	// drainingMachines is the set of machines that this leader is draining.
	drainingMachines map[string]bool
	// freeHistory records how much CPU was free recently, beyond the headroom.
	freeHistory planning.FreeCPUHistory

	// pendingLaunches is the number of machines in the launch request that is queued or in
	// flight for an offer. launchRequestCount is the number of launch requests in this term.
	pendingLaunches    map[planning.Offer]int
	launchRequestCount int
	// backoffUntil is the time before which an offer is not requested again after a launch
	// that was not filled, and backoffDelays is the delay that was applied last.
	backoffUntil  map[planning.Offer]time.Time
	backoffDelays map[planning.Offer]time.Duration

	// waits counts the tasks without capacity by the reason for which they wait.
	waits planning.WaitCounts

	// hasInstanceList is true once the cloud's instance list has been read in this term.
	hasInstanceList           bool
	listInFlight              bool
	listRequestedAt           time.Time
	machineTypesRequestedAt   time.Time
	tombstoneDeletionInFlight bool

	// isolatedSince records when a zone first seemed isolated.
	isolatedSince map[string]time.Time
	// isolatedZones holds the zones that seem isolated. The value is true as long as the
	// machines of the zone are kept and none are launched there.
	isolatedZones map[string]bool
}

// New returns an Autoscaler that is not in a leadership term. Run must be called for its calls
// to the cloud to be made.
func New(config Config, dependencies Dependencies) *Autoscaler {
	return &Autoscaler{Config: config, Dependencies: dependencies, queuedCalls: make(chan queuedCall, callQueueLength),
		terminatingMachines: map[string]bool{}, outage: outage.NewMonitor(config.Log, "cloud", outageThreshold)}
}

// StartTerm begins a leadership term with empty state.
func (a *Autoscaler) StartTerm() {
	a.term = termState{
		ended:            &atomic.Bool{},
		instances:        map[string]*instance{},
		idleSince:        map[string]time.Time{},
		drainingMachines: map[string]bool{},
		pendingLaunches:  map[planning.Offer]int{},
		backoffUntil:     map[planning.Offer]time.Time{},
		backoffDelays:    map[planning.Offer]time.Duration{},
		isolatedSince:    map[string]time.Time{},
	}
}

// EndTerm discards the state of the leadership term and the calls to the cloud that were not sent in
// it. Terminations that were sent continue.
func (a *Autoscaler) EndTerm() {
	if a.term.ended != nil {
		a.term.ended.Store(true)
	}
	a.term = termState{}
	a.dropQueuedTerminations()
	a.outage.Reset() // a follower does not read the instance list
}

// epoch returns the epoch of the current term. A call remembers the epoch in which it was
// queued, and its result is dropped if the epoch has changed.
func (a *Autoscaler) epoch() uint64 { return a.Cluster.Leadership().Epoch }
