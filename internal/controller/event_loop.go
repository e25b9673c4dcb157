package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/election"
	"eiderhitch/internal/frontend"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/replica"
	"eiderhitch/internal/workerclient"
)

const (
	tickInterval     = 100 * time.Millisecond
	statusInterval   = 500 * time.Millisecond
	metricsInterval  = 30 * time.Second
	usageLogInterval = 10 * time.Second
	watchWait        = 1500 * time.Millisecond
	cloudQueue       = 64
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
	lead := &leader{clusterState: state}
	c := &controller{
		clusterState:   state,
		partitionOwner: &partitionOwner{clusterState: state, workerClient: workerclient.NewClient(out.workers), maxDirects: cfg.DirectCommands()},
		leader:         lead,
		autoscaler:     &autoscaler{leader: lead, cloudClient: cloud.NewClient(cfg.External.Cloud, s.Cloud.RPS, out.cloud), cloudCalls: make(chan func(), cloudQueue)},
		send:           out.send,
	}
	state.replica = replica.New(c)
	state.reader = replica.NewReader(ctx, replica.Config{
		Prefix: keyPrefix, Controllers: s.Count, RequestsPerSecond: s.Store.RPS, Jitter: out.jitter, Loaded: c.archiveFinished, Log: c.log,
	}, state.replica, state.stateClient, loopAt{state, priorityState})
	state.election = election.New(ctx, election.Config{
		Node: cfg.Name, ProcessID: c.processID, Nodes: cfg.Nodes(), TTL: op.LeaseTTL, StartedAt: c.startedAt,
		HeartbeatInterval: config.Seconds(s.Workers.ReportS), WorkLifetime: c.maxStaleness + c.leaseExpiry, Log: c.log,
	}, election.Services{
		Store: state.stateClient, Replica: state.replica, Reader: state.reader, Writer: c, Loop: loopAt{state, priorityState}, Listener: c,
	}, leaseKeys(c.rollout.keys, s.Count))
	c.Frontend = frontend.New(frontend.Config{
		JobKey: jobKey, LeaseTTL: op.LeaseTTL, MaxValueBytes: c.maxValueBytes(), Quotas: s.Teams, Log: c.log,
	}, clusterView{c}, loopAt{state, priorityUsers}, c.metrics)
	return c
}

// newProcessID draws a name that no other process has: a restarted controller has the name
// of its former self.
func newProcessID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Run serves until ctx ends.
func Run(ctx context.Context, cfg *config.Platform, op *config.Operator, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	apiL, err := net.Listen("tcp", cfg.APIAddr)
	if err != nil {
		return fmt.Errorf("api_addr: %w", err)
	}
	meshL, err := net.Listen("tcp", cfg.PeerAddr)
	if err != nil {
		apiL.Close()
		return fmt.Errorf("mesh_addr: %w", err)
	}
	s := &cfg.Settings
	transport := func(perHost, idle int, keep time.Duration) *http.Transport {
		return &http.Transport{MaxConnsPerHost: perHost, MaxIdleConnsPerHost: perHost, MaxIdleConns: idle, IdleConnTimeout: keep, DisableCompression: true}
	}
	state, cl, fl := transport(16, 16, 30*time.Second), transport(4, 4, 30*time.Second), transport(1, cfg.DirectCommands(), 20*time.Second)
	senders := map[string]*peer.Sender{}
	for _, x := range cfg.Peers {
		senders[x.Name] = peer.NewSender(x.Addr)
	}
	c := newController(ctx, cfg, op, log, clients{state: state, cloud: cl, workers: fl, send: func(sibling string, frame []byte) {
		senders[sibling].Offer(frame)
	}})
	c.log.Info("controller starts", "boot", c.processID, "parts", s.Count, "hold", c.maxStaleness)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	defer func() { state.CloseIdleConnections(); cl.CloseIdleConnections(); fl.CloseIdleConnections() }()
	wg.Go(func() {
		peer.Serve(ctx, meshL, c.log, func(s *peer.Status) { c.enqueue(priorityWorkers, func() { c.handlePeerStatus(s) }) })
	})
	for _, s := range senders {
		wg.Go(func() { s.Run(ctx) })
	}
	c.start(&wg)
	conns := cfg.Connections()
	err = api.Serve(ctx, apiL, c, c.log, api.Limits{Connections: conns, Requests: max(conns/2, 4)})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// start begins the long-lived duties.
func (c *controller) start(wg *sync.WaitGroup) {
	wg.Go(func() { c.stateWriter.Run(c.ctx) })
	wg.Go(func() { c.reader.Follow(c.ctx) })
	for range 2 {
		wg.Go(c.runCloudCalls)
	}
	if c.operator.FeatureLevels {
		wg.Go(c.register)
	}
	wg.Go(c.loop)
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

// schedule are when the actor's duties are next due.
type schedule struct{ status, metrics, leader, pass time.Time }

// runPass has the parts decide. Steps that take long are taken less often: reports,
// renewals and users must not wait for them.
func (c *controller) runPass(due *schedule, now time.Time) {
	c.passDue = false
	c.schedulePartitions()
	due.pass = now.Add(max(minPassInterval, passRestFactor*time.Since(now)))
}

// maxPlanningDelay is how long the leader's planning waits for reports that wait.
const maxPlanningDelay = time.Second

// onTick does what is due by the time.
func (c *controller) onTick(due *schedule) {
	c.now = time.Now()
	if !c.lastTick.IsZero() {
		c.metrics.noteLag(c.now.Sub(c.lastTick) - tickInterval)
		if c.now.Sub(c.lastTick) > pauseThreshold {
			c.resumedFromPauseAt = c.now
		}
		if c.lagging() {
			c.lastLaggedAt = c.now
		}
	}
	c.lastTick = c.now
	if serves := c.isFresh(c.maxStaleness); serves != c.acceptsHeartbeats {
		c.acceptsHeartbeats = serves
		if serves && c.lastHeartbeatAt.After(c.startedAt) {
			c.heartbeatsResumedAt = c.now
		}
	}
	c.UpdateReadiness()
	if !c.replica.Loaded() {
		return
	}
	c.campaign()
	c.advanceRollout()
	c.stepDownIfUnreachable()
	c.syncCloud()
	if !c.now.Before(due.pass) {
		c.runPass(due, c.now)
	}
	if wait := c.now.Sub(due.leader); wait >= 0 && (wait > maxPlanningDelay || !c.events.hasBefore(priorityUsers)) {
		begun := time.Now()
		c.runLeader()
		due.leader = c.now.Add(max(2*tickInterval, passRestFactor*time.Since(begun)))
	}
	if !c.now.Before(due.status) {
		due.status = c.now.Add(statusInterval)
		begun := time.Now()
		c.probeUnreachable()
		c.terminateUnreachable()
		c.broadcastStatus()
		c.metrics.addBusyTime(activityStatus, begun)
	}
	if c.now.After(due.metrics) {
		due.metrics = c.now.Add(metricsInterval)
		c.archiveFinished()
		c.metrics.log(c.log, len(c.jobs)+len(c.finished), len(c.machines), c.stateClient.Stats())
		c.logRollout(c.log)
	}
}

// maxLag is how late a tick is when answers to direct commands may well be here
// and not be looked at yet.
const maxLag = workerclient.PingTimeout / 4

// lagging tells whether this process gets so little processor time just now that it
// can't tell who is late: others or itself.
func (c *clusterState) lagging() bool {
	return !c.lastTick.IsZero() && c.now.Sub(c.lastTick) > tickInterval+maxLag
}

// laggedSince tells whether it did at any time since t.
func (c *clusterState) laggedSince(t time.Time) bool { return c.lagging() || c.lastLaggedAt.After(t) }

func (c *controller) runCloudCalls() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.cloudCalls:
			f()
		}
	}
}
