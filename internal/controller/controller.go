// Package controller implements a controller of the cluster. It connects the components and
// runs the event loop that owns their state. The goroutines that serve connections and call
// the key-value store, the cloud and the workers pass their results to the event loop through
// its event queue.
package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/election"
	"eiderhitch/internal/frontend"
	"eiderhitch/internal/replica"
	"eiderhitch/internal/store"
	"eiderhitch/internal/workerclient"
)

// controller connects the components and runs the event loop. Only the event loop's goroutine
// may access its state and that of the components, except through the methods of packages
// frontend and election that are documented as safe for concurrent use.
type controller struct {
	*clusterState
	*partitionOwner
	*leader
	*frontend.Frontend

	// sendFrame sends an encoded status frame to the named peer.
	sendFrame func(peer string, frame []byte)
}

// isFresh reports whether the last successful read of the key-value store began less than limit
// ago, so that the replica is recent enough to act on.
func (c *clusterState) isFresh(limit time.Duration) bool {
	return c.replica.IsFreshWithin(limit, c.now)
}

// SubmitWrite submits a write to the key-value store. done runs on the event loop with the
// result; if the write succeeded, the replica already contains its changes.
func (c *clusterState) SubmitWrite(write *store.Write, done func(err error)) {
	startedAt := c.now
	write.OnDone = func(revision uint64, err error) {
		// A separate goroutine queues the event, so that the writer never blocks on a full
		// event queue whose events in turn wait for the writer.
		go c.enqueue(priorityStore, func() {
			c.metrics.observeLatency(latencyCommit, c.now.Sub(startedAt))
			if err == nil {
				c.replica.ApplyTxn(write.Changes, revision)
			}
			done(err)
		})
	}
	if !c.storeWriter.Submit(write) {
		c.log.Error("write queue is full")
		write.OnDone(0, store.ErrNotExecuted)
	}
}

// dependencies are the transports through which a controller reaches other systems, and its
// source of random delays.
type dependencies struct {
	store, cloud, workers http.RoundTripper
	// sendFrame sends an encoded status frame to the named peer.
	sendFrame func(peer string, frame []byte)
	// jitter returns a duration in [0, d) for a duration d. If it is nil, the duration is
	// uniformly random.
	jitter func(time.Duration) time.Duration
}

// newController creates the components of a controller and connects them. Canceling ctx ends
// the calls to other systems.
func newController(ctx context.Context, cfg *config.PlatformSettings, op *config.OperatorSettings, log *slog.Logger, deps dependencies) *controller {
	if deps.jitter == nil {
		deps.jitter = rand.N[time.Duration]
	}
	state := newClusterState(ctx, cfg, op, log, deps)
	c := &controller{
		clusterState: state,
		partitionOwner: &partitionOwner{
			clusterState: state,
			workerClient: workerclient.NewClient(deps.workers),
			directSlots:  workerclient.NewSlots[*machine](cfg.MaxDirectCommands()),
		},
		leader:    &leader{clusterState: state},
		sendFrame: deps.sendFrame,
	}
	state.replica = replica.New(recordApplier{c})
	state.reader = c.newReader(ctx, deps.jitter)
	state.election = c.newElector(ctx)
	state.autoscaler = newAutoscaler(c, cloud.NewClient(cfg.External.Cloud, cfg.Settings.Cloud.RPS, deps.cloud))
	c.Frontend = frontend.New(frontend.Config{
		JobKey: jobKey, LeaseTTL: op.LeaseTTL, MaxValueBytes: c.maxValueBytes(), Quotas: cfg.Settings.Teams, Log: c.log,
	}, clusterView{c}, priorityLoop{state.eventLoop, priorityUsers}, c.metrics)
	return c
}

// newReader returns the reader that keeps the replica up to date.
func (c *controller) newReader(ctx context.Context, jitter func(time.Duration) time.Duration) *replica.Reader {
	s := &c.cfg.Settings
	return replica.NewReader(ctx, replica.Config{
		KeyPrefix:         keyPrefix,
		ControllerCount:   s.ControllerCount,
		RequestsPerSecond: s.Store.RPS,
		Jitter:            jitter,
		Archive:           c.archiveListedJobs,
		OnLoaded:          c.endFullRead,
		Log:               c.log,
	}, c.replica, c.storeClient, priorityLoop{c.eventLoop, priorityStore})
}

// endFullRead archives the finished jobs that a full read has shown beside those of its pages.
func (c *controller) endFullRead() {
	clear(c.jobsWithListedGroups)
	c.archiveFinishedJobs(c.replica)
}

// newElector returns the elector that acquires and renews the leases of the partitions and of
// the leadership.
func (c *controller) newElector(ctx context.Context) *election.Elector {
	s := &c.cfg.Settings
	return election.New(ctx, election.Config{
		Node:                       c.cfg.Name,
		ProcessID:                  c.processID,
		Nodes:                      c.cfg.ControllerNames(),
		TTL:                        c.operator.LeaseTTL,
		StartedAt:                  c.startedAt,
		HeartbeatInterval:          config.Seconds(s.Workers.HeartbeatIntervalS),
		MaxUnreachableWorkDuration: c.maxStaleness + c.leaseExpiry,
		Log:                        c.log,
	}, election.Dependencies{
		Store:    c.storeClient,
		Replica:  c.replica,
		Reader:   c.reader,
		Writer:   c,
		Loop:     priorityLoop{c.eventLoop, priorityStore},
		Listener: c,
	}, leaseKeys(c.rollout.leaseKeys, s.ControllerCount))
}
