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
	"eiderhitch/internal/workerclient"
)

// clients is how a controller reaches the world.
type clients struct {
	state, cloud, workers http.RoundTripper
	// send hands a status frame to a peer.
	send func(peer string, frame []byte)
	// jitter draws a duration below the given one; nil: at random.
	jitter func(time.Duration) time.Duration
}

// newController makes the components of a controller and connects them. Calls to other
// systems end with ctx.
func newController(ctx context.Context, cfg *config.Platform, op *config.Operator, log *slog.Logger, out clients) *controller {
	if out.jitter == nil {
		out.jitter = rand.N[time.Duration]
	}
	state := newClusterState(ctx, cfg, op, log, out)
	c := &controller{
		clusterState:   state,
		partitionOwner: &partitionOwner{clusterState: state, workerClient: workerclient.NewClient(out.workers), directSlots: workerclient.NewSlots[*machine](cfg.DirectCommands())},
		leader:         &leader{clusterState: state},
		send:           out.send,
	}
	state.replica = replica.New(recordApplier{c})
	state.reader = c.newReader(ctx, out.jitter)
	state.election = c.newElector(ctx)
	state.autoscaler = newAutoscaler(c, cloud.NewClient(cfg.External.Cloud, cfg.Settings.Cloud.RPS, out.cloud))
	c.Frontend = frontend.New(frontend.Config{
		JobKey: jobKey, LeaseTTL: op.LeaseTTL, MaxValueBytes: c.maxValueBytes(), Quotas: cfg.Settings.Teams, Log: c.log,
	}, clusterView{c}, loopAt{state, priorityUsers}, c.metrics)
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
		Loaded:            func() { c.archiveFinished(c.replica) },
		Log:               c.log,
	}, c.replica, c.stateClient, loopAt{c.clusterState, priorityState})
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
		Loop:     loopAt{c.clusterState, priorityState},
		Listener: c,
	}, leaseKeys(c.rollout.keys, s.Count))
}

// loop is the event loop: it alone touches the controller's state.
//
// The order of work when there is too little processor time for all: first the timers, which
// acquire leases and notice their loss, then the events by their priority, then the
// scheduling passes of the partitions, which start services before arrays, and last the
// leader's planning. Each pass rests for several times as long as it took, so that with less
// processor time it is taken less often, and what comes later in the order still gets a
// share.
func (c *controller) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	due := schedule{metrics: time.Now().Add(metricsInterval)}
	for ctx.Err() == nil {
		event, ticked := c.events.take(ctx.Done(), ticker.C)
		if ticked {
			c.onTick(&due)
		}
		if event != nil {
			c.runEvent(event, &due)
		}
	}
}

// runEvent runs an event, and a scheduling pass if one is wanted and not too soon.
func (c *controller) runEvent(event func(), due *schedule) {
	c.now = time.Now()
	event()
	c.metrics.observe(latencyEvent, time.Since(c.now))
	if c.passDue && c.now.After(due.pass) && !c.events.hasBefore(priorityUsers) {
		c.runPass(due, time.Now())
	}
}
