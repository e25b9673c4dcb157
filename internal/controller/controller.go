// Package controller runs a controller of the cluster: it wires the components together and
// runs the event loop that owns their state. Goroutines for connections, for the key-value
// store and for calls to the cloud and to workers talk to the event loop through its queue
// of events.
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

// controller runs the event loop and wires the components together. Only the event loop's
// goroutine touches its state and that of the components, but for the methods of frontend
// and election that say otherwise.
type controller struct {
	*clusterState
	*partitionOwner
	*leader
	*frontend.Frontend

	sendFrame func(peer string, frame []byte)
}

// isFresh tells whether the replica is current enough to act on: see MaxStaleness.
func (c *clusterState) isFresh(limit time.Duration) bool {
	return c.replica.FreshWithin(limit, c.now)
}

// SubmitWrite submits a write; done runs on the event loop with the result, after the replica
// has taken the changes in.
func (c *clusterState) SubmitWrite(write *store.Write, done func(err error)) {
	startedAt := c.now
	write.Done = func(revision uint64, err error) {
		// The writer never waits for a full queue of events that waits for the writer.
		go c.enqueue(priorityStore, func() {
			c.metrics.observeLatency(latencyCommit, c.now.Sub(startedAt))
			if err == nil {
				c.replica.ApplyTxn(write.Changes, revision)
			}
			done(err)
		})
	}
	if !c.stateWriter.Submit(write) {
		c.log.Error("write queue is full")
		write.Done(0, store.ErrNotExecuted)
	}
}

// clients is how a controller reaches the world.
type dependencies struct {
	store, cloud, workers http.RoundTripper
	// send hands a status frame to a peer.
	sendFrame func(peer string, frame []byte)
	// jitter draws a duration below the given one; nil: at random.
	jitter func(time.Duration) time.Duration
}

// newController makes the components of a controller and connects them. Calls to other
// systems end with ctx.
func newController(ctx context.Context, cfg *config.Platform, op *config.Operator, log *slog.Logger, deps dependencies) *controller {
	if deps.jitter == nil {
		deps.jitter = rand.N[time.Duration]
	}
	state := newClusterState(ctx, cfg, op, log, deps)
	c := &controller{
		clusterState: state,
		partitionOwner: &partitionOwner{
			clusterState: state,
			workerClient: workerclient.NewClient(deps.workers),
			directSlots:  workerclient.NewSlots[*machine](cfg.DirectCommands()),
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

// newReader makes the reader that keeps the replica up to date.
func (c *controller) newReader(ctx context.Context, jitter func(time.Duration) time.Duration) *replica.Reader {
	s := &c.cfg.Settings
	return replica.NewReader(ctx, replica.Config{
		Prefix:            keyPrefix,
		Controllers:       s.Count,
		RequestsPerSecond: s.Store.RPS,
		Jitter:            jitter,
		Loaded:            func() { c.archiveFinishedJobs(c.replica) },
		Log:               c.log,
	}, c.replica, c.stateClient, priorityLoop{c.eventLoop, priorityStore})
}

// newElector makes the elector of the partitions' leases and the leader's.
func (c *controller) newElector(ctx context.Context) *election.Elector {
	s := &c.cfg.Settings
	return election.New(ctx, election.Config{
		Node:              c.cfg.Name,
		ProcessID:         c.processID,
		Nodes:             c.cfg.Nodes(),
		TTL:               c.operator.LeaseTTL,
		StartedAt:         c.startedAt,
		HeartbeatInterval: config.Seconds(s.Workers.ReportS),
		WorkLifetime:      c.maxStaleness + c.leaseExpiry,
		Log:               c.log,
	}, election.Services{
		Store:    c.stateClient,
		Replica:  c.replica,
		Reader:   c.reader,
		Writer:   c,
		Loop:     priorityLoop{c.eventLoop, priorityStore},
		Listener: c,
	}, leaseKeys(c.rollout.leaseKeys, s.Count))
}
