package controller

import (
	"context"
	"errors"
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
	"eiderhitch/internal/core"
	"eiderhitch/internal/fleet"
	"eiderhitch/internal/mesh"
	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	tickInterval     = 100 * time.Millisecond
	statusInterval   = 500 * time.Millisecond
	metricsInterval  = 30 * time.Second
	usageLogInterval = 10 * time.Second
	watchWait        = 1500 * time.Millisecond
	cloudQueue       = 64
	// stoodStill is how late a tick is when it is we who did not run.
	pauseThreshold  = time.Second
	minPassInterval = 50 * time.Millisecond
	// restFactor is how many times a step's duration passes before the next.
	passRestFactor = 5
)

// outside is how a controller reaches the world.
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
	st := store.NewClient(cfg.External.State, out.state)
	b := &controller{
		cfg: cfg, operator: op, log: log.With("node", cfg.Name), processID: fmt.Sprintf("%016x", rand.Uint64()), ctx: ctx,
		events: newEventQueue(), cloudCalls: make(chan func(), cloudQueue),
		stateClient: st, stateWriter: store.NewWriter(st, s.State.TxnOps, s.State.WriteRPS, s.Count, out.jitter),
		cloudClient: cloud.NewClient(cfg.External.Cloud, s.Cloud.RPS, out.cloud), workerClient: fleet.NewClient(out.workers), send: out.send, jitter: out.jitter,
		maxStaleness: config.MaxStaleness(s.Workers.CancelS, s.Workers.LeaseS), leaseExpiry: config.LeaseExpiry(s.Workers.CancelS, s.Workers.LeaseS),
		revisions: map[string]uint64{}, deletedRevisions: map[string]uint64{}, jobs: map[string]*job{}, finished: map[string]uint8{}, groupByKey: map[string]*taskGroup{},
		holders: map[string]record.LeaseHolder{}, terminated: map[string]bool{}, tombstones: map[string]tombstone{}, loans: map[string]*machineLoan{}, teamIndex: map[string]int32{}, objectiveSeconds: cfg.ObjectiveSeconds(), maxGroupTasks: maxBindingsFor(s.State.ValueKB),
		leasedKeys: newLeasedKeys(rollout.Initial.Keys(), s.Count), machines: map[string]*machine{}, peers: map[string]*peer{}, terminating: map[string]bool{},
		attemptEnds: map[core.Task]attemptEnd{}, maxDirects: cfg.DirectCommands(), metrics: newMetrics(), schedulingPass: 1,
	}
	b.rollout = newRolloutState(cfg, op)
	b.now = time.Now()
	b.startedAt = b.now
	for _, t := range s.Teams {
		b.team(t.Name)
	}
	for n := range s.Count {
		b.partitions = append(b.partitions, &partition{index: n, key: b.rollout.keys.Partition(n)})
	}
	// The last one is the leader's: machines that other parts have lent.
	b.partitions = append(b.partitions, &partition{index: s.Count, key: b.leaderKey()})
	for _, x := range cfg.Siblings {
		b.peers[x.Name] = &peer{}
	}
	return b
}

// Run serves until ctx ends.
func Run(ctx context.Context, cfg *config.Platform, op *config.Operator, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	apiL, err := net.Listen("tcp", cfg.APIAddr)
	if err != nil {
		return fmt.Errorf("api_addr: %w", err)
	}
	meshL, err := net.Listen("tcp", cfg.MeshAddr)
	if err != nil {
		apiL.Close()
		return fmt.Errorf("mesh_addr: %w", err)
	}
	s := &cfg.Settings
	transport := func(perHost, idle int, keep time.Duration) *http.Transport {
		return &http.Transport{MaxConnsPerHost: perHost, MaxIdleConnsPerHost: perHost, MaxIdleConns: idle, IdleConnTimeout: keep, DisableCompression: true}
	}
	state, cl, fl := transport(16, 16, 30*time.Second), transport(4, 4, 30*time.Second), transport(1, cfg.DirectCommands(), 20*time.Second)
	senders := map[string]*mesh.Sender{}
	for _, x := range cfg.Siblings {
		senders[x.Name] = mesh.NewSender(x.Addr)
	}
	b := newController(ctx, cfg, op, log, clients{state: state, cloud: cl, workers: fl, send: func(sibling string, frame []byte) {
		senders[sibling].Offer(frame)
	}})
	b.log.Info("controller starts", "boot", b.processID, "parts", s.Count, "hold", b.maxStaleness)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	defer func() { state.CloseIdleConnections(); cl.CloseIdleConnections(); fl.CloseIdleConnections() }()
	wg.Go(func() {
		mesh.Serve(ctx, meshL, b.log, func(s *mesh.Status) { b.enqueue(priorityWorkers, func() { b.handlePeerStatus(s) }) })
	})
	for _, s := range senders {
		wg.Go(func() { s.Run(ctx) })
	}
	b.start(&wg)
	conns := cfg.Connections()
	err = api.Serve(ctx, apiL, b, b.log, api.Limits{Connections: conns, Requests: max(conns/2, 4)})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// start begins the long-lived duties.
func (b *controller) start(wg *sync.WaitGroup) {
	wg.Go(func() { b.stateWriter.Run(b.ctx) })
	wg.Go(b.follow)
	for range 2 {
		wg.Go(b.runCloudCalls)
	}
	if b.operator.FeatureLevels {
		wg.Go(b.register)
	}
	wg.Go(b.loop)
}

// loop is the actor: it alone touches the brain's state.
//
// The order of its duties when there is too little processor time for all: first the
// tick, which takes rights and notices their loss, then the lanes of the inbox in
// their order, then the decisions of the parts, which start services before arrays,
// and last the leader's planning. Each decision rests for several times as long as
// it took, so that with less processor time it is taken less often, and what comes
// later in the order still gets a share.
func (b *controller) loop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var due schedule
	due.metrics = time.Now().Add(metricsInterval)
	for b.ctx.Err() == nil {
		f, ticked := b.events.take(b.ctx.Done(), t.C)
		if ticked {
			b.onTick(&due)
		}
		if f == nil {
			continue
		}
		b.now = time.Now()
		f()
		b.metrics.observe(latencyEvent, time.Since(b.now))
		if b.passDue && b.now.After(due.pass) && !b.events.hasBefore(priorityUsers) {
			b.runPass(&due, time.Now())
		}
	}
}

// deadlines are when the actor's duties are next due.
type schedule struct{ status, metrics, leader, pass time.Time }

// takeStep has the parts decide. Steps that take long are taken less often: reports,
// renewals and users must not wait for them.
func (b *controller) runPass(due *schedule, now time.Time) {
	b.passDue = false
	b.schedulePartitions()
	due.pass = now.Add(max(minPassInterval, passRestFactor*time.Since(now)))
}

// planPatience is how long the leader's planning waits for reports that wait.
const maxPlanningDelay = time.Second

// onTick does what is due by the time.
func (b *controller) onTick(due *schedule) {
	b.now = time.Now()
	if !b.lastTick.IsZero() {
		b.metrics.noteLag(b.now.Sub(b.lastTick) - tickInterval)
		if b.now.Sub(b.lastTick) > pauseThreshold {
			b.resumedFromPauseAt = b.now
		}
		if b.lagging() {
			b.lastLaggedAt = b.now
		}
	}
	b.lastTick = b.now
	if serves := b.isFresh(b.maxStaleness); serves != b.acceptsHeartbeats {
		b.acceptsHeartbeats = serves
		if serves && b.lastHeartbeatAt.After(b.startedAt) {
			b.heartbeatsResumedAt = b.now
		}
	}
	b.updateReadiness()
	if !b.loaded {
		return
	}
	b.campaign()
	b.advanceRollout()
	b.stepDownIfUnheard()
	b.stepDownIfIsolatedLeader()
	b.syncCloud()
	if !b.now.Before(due.pass) {
		b.runPass(due, b.now)
	}
	if wait := b.now.Sub(due.leader); wait >= 0 && (wait > maxPlanningDelay || !b.events.hasBefore(priorityUsers)) {
		begun := time.Now()
		b.runLeader()
		due.leader = b.now.Add(max(2*tickInterval, passRestFactor*time.Since(begun)))
	}
	if !b.now.Before(due.status) {
		due.status = b.now.Add(statusInterval)
		begun := time.Now()
		b.probeUnreachable()
		b.terminateUnreachable()
		b.broadcastStatus()
		b.metrics.addBusyTime(activityStatus, begun)
	}
	if b.now.After(due.metrics) {
		due.metrics = b.now.Add(metricsInterval)
		b.archiveFinished()
		b.metrics.log(b.log, len(b.jobs)+len(b.finished), len(b.machines), b.stateClient.Stats())
		b.logRollout(b.log)
	}
}

// lagLimit is how late a tick is when answers to direct commands may well be here
// and not be looked at yet.
const maxLag = fleet.PingTimeout / 4

// lagging tells whether this process gets so little processor time just now that it
// can't tell who is late: others or itself.
func (b *controller) lagging() bool {
	return !b.lastTick.IsZero() && b.now.Sub(b.lastTick) > tickInterval+maxLag
}

// laggedSince tells whether it did at any time since t.
func (b *controller) laggedSince(t time.Time) bool { return b.lagging() || b.lastLaggedAt.After(t) }

// follow keeps the replica current. While users' reads do so it stands back: both
// would ask for, and decode, the same changes.
func (b *controller) follow() {
	s := &b.cfg.Settings
	pause := max(time.Duration(float64(time.Second)*float64(s.Count)/(s.State.RPS*0.25)), 100*time.Millisecond)
	var cursor uint64
	loaded := false
	for b.ctx.Err() == nil {
		start := time.Now()
		if rest := b.lastClientRead.remaining(start, 2*b.readInterval()); loaded && rest > 0 {
			select {
			case <-b.ctx.Done():
			case <-time.After(rest):
			}
			continue
		}
		var err error
		if !loaded {
			var items []wire.Item
			var rev uint64
			items, rev, err = b.stateClient.List(b.ctx, keyPrefix)
			var ev *wire.WatchResponse
			if err == nil {
				ev, err = b.stateClient.Watch(b.ctx, keyPrefix, rev, 0)
			}
			if err == nil {
				loaded = true
				b.call(b.ctx, priorityState, func() {
					b.resetReplica(items, rev, ev)
					b.noteRead(start)
					cursor = b.cursor
				})
			}
		} else {
			ev, werr := b.stateClient.Watch(b.ctx, keyPrefix, cursor, watchWait)
			err = werr
			if err == nil {
				b.call(b.ctx, priorityState, func() {
					b.applyEvents(ev)
					b.noteRead(start)
					cursor = b.cursor
				})
			} else if errors.Is(err, store.ErrCompacted) {
				loaded = false
			}
		}
		wait := pause
		if err != nil {
			b.log.Debug("state service", "err", err)
			wait = 200*time.Millisecond + b.jitter(100*time.Millisecond)
		}
		select {
		case <-b.ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (b *controller) runCloudCalls() {
	for {
		select {
		case <-b.ctx.Done():
			return
		case f := <-b.cloudCalls:
			f()
		}
	}
}
