// Package autoscaler launches and terminates the cluster's machines: for the leader what to
// scale out and in, and for the owner of a partition those that nobody reaches while no
// leader is heard.
//
// An Autoscaler owns the instances that the cloud has given, the calls to the cloud that
// wait or are under way, the machines that are being terminated, those that are drained, and
// the zones that seem isolated. How much room demands need is planned by package planning;
// what is stored of terminated machines, their tombstones, is indexed by the Cluster.
//
// All of it but the machines being terminated, and what the leader announced of draining, is
// of one term as the leader: StartTerm and EndTerm forget it, and results of calls that a
// former term made are dropped. After a failover the list of the cloud and the machines'
// heartbeats tell what is up; nothing is launched before both are known, or the time for
// that is over. A launch has an idempotency key that no other term or launch ever has.
//
// Machines are terminated in two steps. Once the cloud has confirmed, a tombstone is stored
// under the fencing token of the leader or of the machine's owner; only that proves to
// everybody that the machine's tasks are gone. A tombstone is deleted when nothing refers to
// its machines any more.
//
// An Autoscaler belongs to the event loop's goroutine and holds no lock. Run alone runs
// elsewhere: it makes the calls to the cloud, whose results come back by EventLoop.Enqueue.
package autoscaler

import (
	"context"
	"iter"
	"log/slog"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/outage"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// Cloud is the client of the cloud. Its methods are called by Run's goroutines.
type Cloud interface {
	// Launch is idempotent by its request's key. It may launch fewer than asked.
	Launch(ctx context.Context, request wire.LaunchRequest) (names []string, err error)
	// Terminate takes at most cloud.MaxTerminateNames machines. Without an error they are gone.
	Terminate(ctx context.Context, names []string) error
	// List may lag.
	List(ctx context.Context) ([]wire.Instance, error)
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
}

// Machine is what is known of a machine.
type Machine struct {
	Name string
	// Type and Zone are empty as long as nobody has told them.
	Type, Zone string
	Spot       bool
	// Partition is the index of the one that the machine is in now.
	Partition int
	// Bound: tasks are bound to it.
	HasBoundTasks bool
	// Terminated: a tombstone says so.
	Terminated bool
}

// ReportedMachine is a machine with what its owner says of it.
type ReportedMachine struct {
	Machine
	// Reachable: heartbeats are arriving. Unreachable: neither do they, nor does it answer.
	Reachable, Unreachable bool
	// FlagNoHeartbeatYet: no heartbeat has come since its owner took its partition over.
	AwaitingFirstHeartbeat bool
	Cordoned               bool
	CordonedAt             time.Time
}

// Machines are all that are known, and the types on offer.
type Machines interface {
	// Machine is the machine of that name, which is known from then on.
	GetOrAdd(name string) Machine
	// Lookup is the machine of that name, if it is known.
	Lookup(name string) (Machine, bool)
	// At is the machine with an index, as in planning.MachineSummary.
	At(index scheduling.MachineIndex) Machine
	// EachReportedMachine calls f for each machine that its owner tells about.
	EachReportedMachine(f func(ReportedMachine))
	// UnreachableMachinesWithTasks names the machines of own partitions that can't be reached and have
	// tasks bound to them.
	UnreachableMachinesWithTasks() []string
	// MarkTerminated takes a machine that never was for terminated, without a tombstone.
	MarkTerminated(name string)
	// Types are the machine types by name; empty while they are not known.
	Types() map[string]*wire.MachineType
	// SetTypes replaces them.
	SetTypes(types []wire.MachineType)
}

// Leadership is how far this controller leads.
type Leadership struct {
	// Epoch tells one term from another; 0: there is none.
	Epoch uint64
	// Since is when the term began.
	StartedAt time.Time
	// Active: all that was stored before the term has been read. Acting: besides, the
	// replica is fresh enough to decide by.
	Active, CanAct bool
	// Condition has a write fail once the term is over.
	FencingCondition wire.Condition
}

// Tombstone is a stored one.
type Tombstone struct {
	Key string
	// Names are those of the terminated machines.
	MachineNames []string
	// FirstSeenAt is when this controller first saw it.
	FirstSeenAt time.Time
}

// Cluster is the cluster around the machines.
type Cluster interface {
	// Loaded reports whether the records have been read since the start.
	HasLoadedRecords() bool
	// Leadership is this controller's.
	Leadership() Leadership
	// LeaderLastHeardAt is when the leader was last heard; zero: never, or it is no peer.
	LeaderLastHeardAt() time.Time
	// PartitionFencingCondition has a write fail once a partition is owned by somebody else; its
	// revision is 0 if this controller does not own it.
	PartitionFencingCondition(partition int) wire.Condition
	// AreAllOwnersResponsive reports whether the leader hears every partition's owner, and
	// HasCompleteView whether it has heard one's for so long that all machines of the
	// partition must have reported.
	AreAllOwnersResponsive() bool
	HasCompleteView(partition int) bool
	// HeartbeatsResumedAt is when heartbeats were last accepted again after an outage.
	HeartbeatsResumedAt() time.Time
	// HasUnreadableRecords reports whether some record can't be decoded, so that machines
	// that seem idle may be in use.
	HasUnreadableRecords() bool
	// Tombstones are all that are stored.
	Tombstones() iter.Seq[Tombstone]
}

// Writer submits transactions.
type Writer interface {
	// SubmitWrite runs done on the event loop with the result.
	SubmitWrite(write *store.Write, done func(err error))
	// Backlog is about how long it takes until what has been submitted is stored.
	Backlog() time.Duration
}

// EventLoop runs functions on the goroutine that owns the Autoscaler.
type EventLoop interface {
	// Now is the time of the event that the loop works on.
	Now() time.Time
	// Enqueue queues f.
	Enqueue(f func())
}

// Config is what does not change while the process lives.
type Config struct {
	config.CloudSettings
	Operator *config.Operator
	// TombstoneKeyPrefix is that of tombstones' keys, MachineTypesKey the types' key.
	TombstoneKeyPrefix, MachineTypesKey string
	// MaxValueBytes is how large a stored value may be, MaxTransactionChanges how many changes a
	// transaction may have.
	MaxValueBytes, MaxTransactionChanges int
	// LoanPartition is the partition of machines on loan, none of which is drained.
	LoanPartition int
	// HeartbeatTimeout is the longest usual pause between a machine's heartbeats.
	HeartbeatTimeout time.Duration
	// MaxUnreachableWorkTime is how long the work of machines that nobody reaches goes on at most:
	// after it every worker's lease has expired, whoever renewed it last.
	MaxUnreachableWorkDuration time.Duration
	Log                        *slog.Logger
}

// Services are what an Autoscaler works with.
type Services struct {
	Cloud    Cloud
	Machines Machines
	Cluster  Cluster
	Writer   Writer
	Loop     EventLoop
}

// Autoscaler launches and terminates machines.
type Autoscaler struct {
	Config
	Services
	// calls are calls to the cloud that wait for their turn.
	queuedCalls chan cloudCall
	// term is what is known and decided in the present term as the leader.
	term termState
	// announcedDraining are the machines that the leader, this controller or another,
	// last said to be draining.
	announcedDraining map[string]bool
	// terminating are the machines of which the cloud has been, or is to be, asked for
	// that; queuedTerminations those of which it is to be.
	terminating         map[string]bool
	queuedTerminations  []string
	terminationInFlight bool
	// outage tells of the cloud's outages.
	outage *outage.Monitor
	// machineTypesStored: the types are in the key-value store.
	machineTypesStored bool
}

// term is what only the leader knows. It is rebuilt after each failover.
type termState struct {
	instances map[string]*instance
	// idleSince is since when a machine has been idle without a gap.
	idleSince map[string]time.Time
	// draining are the machines that are drained.
	draining map[string]bool
	// freeHistory are the free CPUs of late.
	freeHistory planning.FreeCPUHistory

	// launching is how many machines have been asked for in calls under way, and
	// launchRequests how many of those calls there were.
	pendingLaunches    map[planning.Offer]int
	launchRequestCount int
	// backoffUntil is until when an offer is not asked for again, and backoff how long
	// that was, for offers that were refused.
	backoffUntil  map[planning.Offer]time.Time
	backoffDelays map[planning.Offer]time.Duration

	// listed: the cloud's list has been read in this term.
	hasInstanceList           bool
	listInFlight              bool
	listRequestedAt           time.Time
	machineTypesRequestedAt   time.Time
	tombstoneDeletionInFlight bool

	// isolatedSince is since when most machines of a zone have been out of reach.
	isolatedSince map[string]time.Time
	// isolatedZones are the zones that seem isolated; true: their machines are kept.
	isolatedZones map[string]bool
}

// New returns an autoscaler without a term.
func New(config Config, services Services) *Autoscaler {
	return &Autoscaler{Config: config, Services: services, queuedCalls: make(chan cloudCall, callQueueLength),
		terminating: map[string]bool{}, outage: outage.NewMonitor(config.Log, "cloud", outageThreshold)}
}

// StartTerm begins a term as the leader.
func (a *Autoscaler) StartTerm() {
	a.term = termState{
		instances:       map[string]*instance{},
		idleSince:       map[string]time.Time{},
		draining:        map[string]bool{},
		pendingLaunches: map[planning.Offer]int{},
		backoffUntil:    map[planning.Offer]time.Time{},
		backoffDelays:   map[planning.Offer]time.Duration{},
		isolatedSince:   map[string]time.Time{},
	}
}

// EndTerm forgets what only the leader may decide by.
func (a *Autoscaler) EndTerm() {
	a.term = termState{}
	a.outage.Reset() // who does not lead asks the cloud for nothing
}

// epoch tells the present term from all others. Results of what a former term began are
// dropped by it.
func (a *Autoscaler) epoch() uint64 { return a.Cluster.Leadership().Epoch }
