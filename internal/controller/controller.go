package controller

import (
	"context"
	"log/slog"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/election"
	"eiderhitch/internal/frontend"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/record"
	"eiderhitch/internal/replica"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerclient"
)

// controller is the actor's state. Only the actor's goroutine touches it.
type controller struct {
	cfg       *config.Platform
	operator  *config.Operator
	log       *slog.Logger
	processID string
	ctx       context.Context
	events    *eventQueue
	// cloudCalls holds calls to the cloud that wait for their turn.
	cloudCalls   chan func()
	stateClient  *store.Client
	stateWriter  *store.Writer
	cloudClient  *cloud.Client
	workerClient *workerclient.Client
	now          time.Time // of the event in work
	maxStaleness time.Duration
	leaseExpiry  time.Duration // a worker's lease, with drift and margin

	replica *replica.Replica
	reader  *replica.Reader

	startedAt time.Time
	// Indices over the stored records.
	jobs               map[string]*job
	finished           map[string]record.FinalState // of the jobs that are over and archived
	unfinished         []*job                       // those that are not over and cleared up, and some that are
	groups             []*taskGroup                 // by dense index; nil where deleted
	groupByKey         map[string]*taskGroup
	machineTypes       map[string]*wire.MachineType
	machineTypesStored bool
	rollout            rolloutState
	terminated         map[string]bool // machines that surely are, as long as a marker says so
	tombstones         map[string]tombstone
	loans              map[string]*machineLoan // by machine
	teamIndex          map[string]scheduling.TeamIndex
	objectiveSeconds   map[string]float64 // by class: seconds in which its jobs should be done
	maxGroupTasks      int

	*frontend.Frontend

	election       *election.Elector
	partitions     []*partition
	machines       map[string]*machine
	machineByIndex []*machine
	peers          *peer.Registry
	send           func(sibling string, frame []byte)
	jitter         func(time.Duration) time.Duration
	leadership     leadership
	draining       map[string]bool // machines that the leader wants to return
	// Machines that are being released, and those of them not asked for yet.
	terminating       map[string]bool
	toTerminate       []string
	terminateInFlight bool
	attemptEnds       map[scheduling.Task]attemptEnd
	// Direct commands that are open, the most that may be, and who waits.
	directsInFlight, maxDirects int
	directQueue                 []*machine
	passDue                     bool
	schedulingPass              uint64 // decisions of parts taken so far
	// resumedFromPauseAt: this process stood still until then.
	resumedFromPauseAt time.Time
	lastHeartbeatAt    time.Time // of any worker's last report
	// acceptsHeartbeats: reports are taken (MaxStaleness). resumedAt is when they last were again after
	// an outage: machines could not be heard before.
	acceptsHeartbeats   bool
	heartbeatsResumedAt time.Time
	// lastTick is when the actor last came to its duties, laggedAt when it last
	// came late to them: see lagging.
	lastTick, lastLaggedAt time.Time
	metrics                *metrics
}

// partition is one hash part of the machines.
type partition struct {
	index            int
	key              string
	token            uint64 // stamp of our holding; 0: not ours
	firstToken       uint64 // the first of our terms since it was last taken
	mostNotReceiving bool   // most of its machines seem not to hear us: see machine.notReceiving
	ownedSince       time.Time
	active           bool // replica was read after the take-over
	cells            *scheduling.Partition
	reservations     map[scheduling.Task]reservation
	tokenRaiseDue    bool
	tokenRaisedAt    time.Time
	// machines are those that are in the part, whoever owns it.
	machines []*machine
	groups   []*taskGroup // that it is in charge of
	// foreignGroups are records of other parts of which tasks have ended on a machine of this
	// one, as on one that was lent and came back when its borrower ended: nobody else
	// knows, and who is in charge of the record would wait for ever.
	foreignGroups map[*taskGroup]bool
	unplaced      int // tasks that found no cell in this step so far
	// Cells that came free since endsSince, and in the time before that.
	freedCells, freedCellsBefore int
	freedCellsSince              time.Time
	// mostUnreachable as counted at a time, see there.
	mostUnreachable bool
	countedAt       time.Time
	// formerOwnerStaleness is how long a former owner may go on answering reports.
	formerOwnerStaleness time.Duration
}

// reservation is a claimed cell whose binding is not stored yet.
type reservation struct {
	machine     *machine
	incarnation uint64
}

// tombstone is a marker of machines that are gone, and since when it is known.
type tombstone struct {
	names []string
	at    time.Time
}

// attemptEnd is the proven end of an attempt.
type attemptEnd struct {
	attempt uint64
	done    bool
	failed  bool
}

// enqueue runs f in the actor; it blocks while the lane is full.
func (c *controller) enqueue(l priority, f func()) { c.events.put(c.ctx, l, f) }

// call runs f in the actor and waits for it. False means that f has not been run and
// won't be, or that ctx ended meanwhile: nobody waits for what it says any more.
func (c *controller) call(ctx context.Context, l priority, f func()) bool {
	ready := make(chan struct{})
	g := func() {
		if ctx.Err() == nil {
			f()
			close(ready)
		}
	}
	if l == priorityUsers {
		if !c.events.putUserRequest(g) {
			return false
		}
	} else if !c.events.put(ctx, l, g) {
		return false
	}
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return false
	}
}

// loopAt is the event loop as components see it that queue functions at one priority.
type loopAt struct {
	*controller
	at priority
}

// Now is the time of the event that the loop works on.
func (l loopAt) Now() time.Time { return l.now }

// Enqueue queues f; it blocks while the queue is full.
func (l loopAt) Enqueue(f func()) { l.enqueue(l.at, f) }

// Call runs f and waits for it; false if ctx ended first.
func (l loopAt) Call(ctx context.Context, f func()) bool { return l.call(ctx, l.at, f) }

// RetryAfterS is in how many seconds a user who was turned away should come back.
func (l loopAt) RetryAfterS() int { return l.events.retryAfterS() }

// isFresh tells whether the replica is current enough to act on: see MaxStaleness.
func (c *controller) isFresh(limit time.Duration) bool {
	return c.replica.FreshWithin(limit, c.now)
}

// SubmitWrite submits a unit; then runs in the actor with the result, after the
// replica has taken the changes in.
func (c *controller) SubmitWrite(write *store.Write, then func(err error)) {
	begun := c.now
	write.Done = func(rev uint64, err error) {
		// Never block the writer on a full inbox that waits for the writer.
		go c.enqueue(priorityState, func() {
			c.metrics.observe(latencyCommit, c.now.Sub(begun))
			if err == nil {
				c.replica.ApplyTxn(write.Changes, rev)
			}
			then(err)
		})
	}
	if !c.stateWriter.Submit(write) {
		c.log.Error("write queue is full")
		write.Done(0, store.ErrNotExecuted)
	}
}
