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

const (
	tickInterval     = 100 * time.Millisecond
	statusInterval   = 500 * time.Millisecond
	metricsInterval  = 30 * time.Second
	usageLogInterval = 10 * time.Second
	watchWait        = 1500 * time.Millisecond
	// pauseThreshold is how late a tick is when it is we who did not run.
	pauseThreshold  = time.Second
	minPassInterval = 50 * time.Millisecond
	// passRestFactor is how many times a step's duration passes before the next.
	passRestFactor = 5
)

// clients is how a controller reaches the world.
type clients struct {
	state, cloud, workers http.RoundTripper
	// send hands a status frame to a sibling.
	send func(sibling string, frame []byte)
	// jitter draws a duration below the given one; nil: at random.
	jitter func(time.Duration) time.Duration
}

func newController(ctx context.Context, cfg *config.Platform, op *config.Operator, log *slog.Logger, out clients) *controller {
	s := &cfg.Settings
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
	state.replica = replica.New(c)
	state.reader = replica.NewReader(ctx, replica.Config{
		Prefix: keyPrefix, Controllers: s.Count, RequestsPerSecond: s.Store.RPS, Jitter: out.jitter, Loaded: func() { c.archiveFinished(c.replica) }, Log: c.log,
	}, state.replica, state.stateClient, loopAt{state, priorityState})
	state.election = election.New(ctx, election.Config{
		Node: cfg.Name, ProcessID: c.processID, Nodes: cfg.Nodes(), TTL: op.LeaseTTL, StartedAt: c.startedAt,
		HeartbeatInterval: config.Seconds(s.Workers.ReportS), WorkLifetime: c.maxStaleness + c.leaseExpiry, Log: c.log,
	}, election.Services{
		Store: state.stateClient, Replica: state.replica, Reader: state.reader, Writer: c, Loop: loopAt{state, priorityState}, Listener: c,
	}, leaseKeys(c.rollout.keys, s.Count))
	state.autoscaler = newAutoscaler(c, cloud.NewClient(cfg.External.Cloud, s.Cloud.RPS, out.cloud))
	c.Frontend = frontend.New(frontend.Config{
		JobKey: jobKey, LeaseTTL: op.LeaseTTL, MaxValueBytes: c.maxValueBytes(), Quotas: s.Teams, Log: c.log,
	}, clusterView{c}, loopAt{state, priorityUsers}, c.metrics)
	return c
}

// loop is the actor: it alone touches the brain's state.
//
// The order of its duties when there is too little processor time for all: first the
// tick, which takes rights and notices their loss, then the lanes of the inbox in
// their order, then the decisions of the parts, which start services before arrays,
// and last the leader's planning. Each decision rests for several times as long as
// it took, so that with less processor time it is taken less often, and what comes
// later in the order still gets a share.
func (c *controller) loop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var due schedule
	due.metrics = time.Now().Add(metricsInterval)
	for c.ctx.Err() == nil {
		f, ticked := c.events.take(c.ctx.Done(), t.C)
		if ticked {
			c.onTick(&due)
		}
		if f == nil {
			continue
		}
		c.now = time.Now()
		f()
		c.metrics.observe(latencyEvent, time.Since(c.now))
		if c.passDue && c.now.After(due.pass) && !c.events.hasBefore(priorityUsers) {
			c.runPass(&due, time.Now())
		}
	}
}
