package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/config"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/simulation"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// cluster is a few controllers in a simulated environment, all on fake time.
type cluster struct {
	t     *testing.T
	ctx   context.Context
	env   *simulation.Environment
	nodes []*node
	user  *network.Transport
	mu    sync.Mutex // of what several users share
	// foreign are keys whose values a test has written itself.
	foreign map[string]bool
	// boots are the ranges of the versions that processes were of, by what they drew.
	boots map[string]rollout.Range
	// frameObserver is called with each frame between controllers; nil: nobody is.
	frameObserver atomic.Pointer[frameObserver]
	// upgrades: the controllers take part in staged upgrades.
	upgrades bool
	// looks: until then users ask everywhere as soon as they were told something.
	looks atomic.Pointer[time.Time]
}

// frameObserver is called with the sender, the receiver and the version of a frame.
type frameObserver func(from, to string, version peer.Version)

// node is a place at which controller processes run, one after the other. Its settings
// and its version are those of its next process: the test that drives the cluster may
// change them, since no process reads them once it has started.
type node struct {
	cfg *config.Platform
	net *network.Transport
	// op are the operators' settings; nil: the defaults.
	op      *config.Operator
	version softwareVersion
	// process runs now; nil: none. Other nodes and clients read it at any time.
	process atomic.Pointer[process]
	meshCut atomic.Bool
	deaf    atomic.Bool // to workers
	shut    atomic.Bool // to users
}

// process is one run of a controller on a node. Its fields are set before it is published
// and never change: what sees the process sees the version that it is of.
type process struct {
	controller *controller
	version    softwareVersion
	cancel     context.CancelFunc
	running    *sync.WaitGroup
}

// controller is the node's controller; nil: none runs.
func (n *node) controller() *controller {
	if p := n.process.Load(); p != nil {
		return p.controller
	}
	return nil
}

// isRunning tells whether a process runs on the node.
func (n *node) isRunning() bool { return n.process.Load() != nil }

var testTypes = []wire.MachineType{
	{Name: "small", CPUs: 4, RAM: 16, CacheGB: 20, FetchGBPS: 1, Price: 0.4, SpotPrice: 0.1, BootS: 5, Zones: []string{"a", "b"}},
	{Name: "large", CPUs: 16, RAM: 64, CacheGB: 50, FetchGBPS: 1, Price: 1.2, SpotPrice: 0.3, BootS: 8, Zones: []string{"a"}},
}

// inWorld runs f with a started cluster and checks afterwards that no rule and
// no limit of the state service was broken.
func inWorld(t *testing.T, f func(c *cluster)) {
	inWorldWith(t, func(*node) {}, f)
}

// inWorldWith is inWorld with nodes that are set up otherwise.
func inWorldWith(t *testing.T, setUp func(*node), f func(c *cluster)) {
	inCluster(t, 3, setUp, f)
}

// inCluster is inWorldWith with that many controllers.
func inCluster(t *testing.T, controllers int, setUp func(*node), f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, t, controllers)
		for i, n := range c.nodes {
			setUp(n)
			c.start(i)
			time.Sleep(137 * time.Microsecond) // their ticks are not at one time
		}
		defer func() {
			for i := range c.nodes {
				c.kill(i)
			}
			cancel()
			time.Sleep(time.Minute) // whatever still waits ends on the bubble's clock
		}()
		f(c)
		c.checkAll()
	})
}

// checkAll checks that no rule and no limit of the state service was broken.
func (c *cluster) checkAll() {
	c.t.Helper()
	for i := range c.nodes {
		c.checkClaims(i)
	}
	for _, b := range c.env.Violations() {
		c.t.Error(b)
	}
	c.checkStored()
	if c.env.Store.OverLimits > 0 {
		c.t.Errorf("%d transactions were beyond the limits", c.env.Store.OverLimits)
	}
}

// newCluster is a cluster of which no controller runs yet.
func newCluster(ctx context.Context, t *testing.T, controllers int) *cluster {
	var members []agent.Controller
	for i := range controllers {
		members = append(members, agent.Controller{Name: fmt.Sprintf("n%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i+1)})
	}
	env := simulation.New(ctx, members, testTypes)
	c := &cluster{t: t, ctx: ctx, env: env, user: env.Network.NewTransport()}
	for i, member := range members {
		cfg := &config.Platform{Name: member.Name, Zone: "a", APIAddr: member.Addr}
		for k, other := range members {
			if k != i {
				cfg.Peers = append(cfg.Peers, config.Peer{Name: other.Name, Addr: other.Addr})
			}
		}
		cfg.External.State, cfg.External.Cloud = simulation.StoreAddr, simulation.CloudAddr
		s := &cfg.Settings
		s.Count, s.Zones = controllers, []string{"a", "b"}
		s.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 24}, {Name: "blue"}}
		s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = env.HeartbeatInterval.Seconds(), env.LeaseTTL.Seconds(), env.CancelWithin.Seconds()
		s.Workers.GangWaitS, s.Workers.GangPeerS = env.GangWait.Seconds(), env.GangPeerTimeout.Seconds()
		s.State.RPS, s.State.WriteRPS, s.State.ValueKB, s.State.TxnOps = 250, 60, 8, 32
		s.Cloud.RPS, s.Cloud.ListLagS = 6, 3
		c.nodes = append(c.nodes, &node{cfg: cfg, net: env.Network.NewTransport(), version: presentVersion})
	}
	env.SetQuota("red", 24)
	return c
}

// checkClaims looks into a controller: its cells are consistent, and everything
// that holds one is a task of a record.
func (c *cluster) checkClaims(i int) {
	n := c.nodes[i]
	if !n.isRunning() {
		return
	}
	ctl := n.controller()
	if !ctl.call(c.ctx, priorityState, func() {
		for _, p := range ctl.partitions {
			if p.token == 0 || !p.active {
				continue
			}
			if err := p.cells.CheckInvariants(); err != nil {
				c.t.Errorf("node %d part %d: %v", i, p.index, err)
			}
			for _, t := range p.cells.Tasks() {
				if group := ctl.groups[t.Group]; group == nil || group.binding(t.Number) == nil {
					c.t.Errorf("node %d part %d: cell of %v, which no record has", i, p.index, t)
				}
			}
			for t := range p.reservations {
				if p.cells.CellOf(t) == nil {
					c.t.Errorf("node %d part %d: %v is allocated without a cell", i, p.index, t)
				}
			}
		}
	}) {
		c.t.Errorf("node %d does not answer", i)
	}
}

func (c *cluster) start(i int) {
	n := c.nodes[i]
	if n.isRunning() {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	out := io.Writer(io.Discard)
	if testing.Verbose() && os.Getenv("LOG_LEVEL") == "debug" {
		out = os.Stderr
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
	cfg := *n.cfg // tests change the node's settings for its next process
	ctl := newController(ctx, &cfg, n.operator(), log, clients{state: n.stateTransport(), cloud: n.net, workers: n.net, jitter: func(most time.Duration) time.Duration {
		return time.Duration(network.Draw(uint64(i), n.cfg.Name) * float64(most))
	}, send: func(sibling string, frame []byte) { c.sendFrame(n, sibling, frame) }})
	ctl.rollout.supported = n.version.supported
	p := &process{controller: ctl, version: n.version, cancel: cancel, running: &sync.WaitGroup{}}
	c.noteProcess(p)
	n.process.Store(p)
	ctl.start(p.running)
	h := api.Handler(ctl, api.Limits{Connections: 100, Requests: 50})
	c.env.Network.Serve(n.cfg.APIAddr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if report := r.URL.Path == "/v1/report"; report && n.deaf.Load() || !report && n.shut.Load() {
			<-r.Context().Done()
			return
		}
		h.ServeHTTP(w, r)
	}))
}

// sendFrame delivers a frame of a node's controller to the process that runs on another.
func (c *cluster) sendFrame(from *node, to string, frame []byte) {
	version := peer.Version(frame[2])
	for _, n := range c.nodes {
		receiver := n.process.Load()
		if n.cfg.Name != to || receiver == nil || n.meshCut.Load() || from.meshCut.Load() {
			continue
		}
		if observe := c.frameObserver.Load(); observe != nil {
			(*observe)(from.cfg.Name, to, version)
		}
		if receiver.version.unaware && version != peer.PlainFrame {
			continue // refused by name
		}
		status, err := peer.ReadStatus(bytes.NewReader(frame))
		if err != nil {
			c.t.Errorf("frame from %s to %s: %v", from.cfg.Name, to, err)
			return
		}
		go receiver.controller.enqueue(priorityWorkers, func() { receiver.controller.handlePeerStatus(status) })
	}
}

func (c *cluster) kill(i int) {
	n := c.nodes[i]
	if !n.isRunning() {
		return
	}
	c.env.Network.Serve(n.cfg.APIAddr, nil)
	p := n.process.Swap(nil)
	p.cancel()
	p.running.Wait()
}

// ask makes one call to a node and notes the answer for the rule checker.
func (c *cluster) ask(node int, call trace.Operation, id string, body map[string]any, spec *wire.Job) (int, map[string]any) {
	method, path := http.MethodPost, "/v1/jobs"
	switch call {
	case trace.Query:
		method, path = http.MethodGet, "/v1/jobs/"+id
	case trace.Cancel:
		path = "/v1/jobs/" + id + "/abort"
	}
	raw, _ := json.Marshal(body)
	limit := 5 * time.Second
	if call == trace.Query {
		limit = 2 * time.Second
	}
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[node].cfg.APIAddr+path, bytes.NewReader(raw))
	e := trace.Response{RequestedAt: time.Now(), Operation: call, Job: id, Spec: spec}
	var out map[string]any
	if resp, err := c.user.RoundTrip(req); err == nil {
		e.Status = resp.StatusCode
		_ = json.NewDecoder(resp.Body).Decode(&out)
		e.State, _ = out["tide"].(string)
	}
	e.At = time.Now()
	c.env.Trace.Record(e)
	if until := c.looks.Load(); until != nil && time.Now().Before(*until) && call != trace.Query && e.Status/100 == 2 {
		for i := range c.nodes {
			go c.ask(i, trace.Query, id, nil, nil)
		}
	}
	return e.Status, out
}

// call tries the nodes in turn until one gives a final answer.
func (c *cluster) call(call trace.Operation, id string, body map[string]any, spec *wire.Job, within time.Duration) (int, map[string]any) {
	until := time.Now().Add(within)
	node := int(network.Draw(uint64(call), id) * float64(len(c.nodes)))
	for time.Now().Before(until) {
		node = (node + 1) % len(c.nodes)
		status, out := c.ask(node, call, id, body, spec)
		if status != 0 && status < 500 && status != http.StatusTooManyRequests {
			return status, out
		}
		time.Sleep(time.Second)
	}
	return 0, nil
}

func jobBody(id, kind, team, priority string, tasks int, cpus, estimate float64) map[string]any {
	return map[string]any{"nameId": id, "flock": "x", "crew": team, "shape": kind, "rank": priority, "eggs": tasks,
		"cpus": cpus, "cards": 0, "ramGb": 1, "plumage": "img", "imageGb": 1, "samePlace": false, "spread": false, "driftwood": false,
		"reckonS": estimate, "moultS": 0, "stowS": 0}
}

func (c *cluster) submit(body map[string]any) {
	c.t.Helper()
	if !c.trySubmit(body) {
		c.t.Fatalf("%v is not accepted", body)
	}
}

func (c *cluster) trySubmit(body map[string]any) bool {
	c.t.Helper()
	raw, _ := json.Marshal(body)
	spec, err := wire.ParseJob(raw)
	if err != nil {
		c.t.Error(err)
		return false
	}
	c.env.Upload(spec)
	status, _ := c.call(trace.Submit, spec.ID, body, spec, 20*time.Second)
	if status != 0 && status != http.StatusCreated && status != http.StatusOK {
		c.t.Errorf("submission of %s: status %d", spec.ID, status)
		return false
	}
	return status != 0
}

func (c *cluster) state(id string) string {
	status, out := c.call(trace.Query, id, nil, nil, 40*time.Second)
	if status != http.StatusOK {
		c.t.Fatalf("poll of %s: status %d", id, status)
	}
	s, _ := out["tide"].(string)
	return s
}

func (c *cluster) abort(id string) {
	c.t.Helper()
	if !c.tryAbort(id) {
		c.t.Fatalf("%s can't be cancelled", id)
	}
}

func (c *cluster) tryAbort(id string) bool {
	c.t.Helper()
	status, _ := c.call(trace.Cancel, id, nil, nil, 20*time.Second)
	if status != 0 && status != http.StatusOK {
		c.t.Fatalf("abort of %s: status %d", id, status)
	}
	return status != 0
}

func (c *cluster) await(what string, limit time.Duration, ok func() bool) {
	c.t.Helper()
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Second) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("%s: not within %v", what, limit)
}

func (c *cluster) awaitDone(id string, limit time.Duration) {
	c.t.Helper()
	c.await(id+" is done", limit, func() bool { return c.state(id) == wire.Done })
}

func TestArraysServicesAndGangsRun(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "blue", "normal", 30, 2, 5))
		c.submit(jobBody("wk-2", wire.Service, "blue", "urgent", 3, 2, 0))
		c.submit(jobBody("wk-3", wire.Gang, "blue", "normal", 4, 2, 5))
		c.await("the service runs", 40*time.Second, func() bool { return c.env.Running("wk-2") == 3 })
		c.awaitDone("wk-1", 2*time.Minute)
		c.awaitDone("wk-3", 2*time.Minute)
		c.abort("wk-2")
		c.await("the service is gone", 10*time.Second, func() bool { return c.env.Running("wk-2") == 0 })
		c.await("records are cleared up", time.Minute, func() bool { return len(c.env.Store.Keys(groupPrefix)) == 0 })
		c.await("machines are returned", time.Minute, func() bool { return len(c.env.Cloud.Agents()) == 0 })
		if s := c.state("wk-2"); s != wire.Cancelled {
			t.Errorf("the service is %s", s)
		}
	})
}

func TestUsersAreAnswered(t *testing.T) {
	inWorld(t, func(c *cluster) {
		time.Sleep(5 * time.Second)
		good := jobBody("wk-7", wire.Array, "red", "low", 2, 1, 1)
		for _, x := range []struct {
			change func(map[string]any)
			status int
		}{
			{func(b map[string]any) { b["crew"] = "green" }, 422},
			{func(b map[string]any) { b["cpus"] = 17 }, 422},
			{func(b map[string]any) { b["shape"], b["eggs"], b["cpus"] = wire.Service, 13, 2 }, 422},
			{func(b map[string]any) { b["shore"] = "c" }, 422},
			{func(b map[string]any) { b["eggs"] = 0 }, 400},
			{func(b map[string]any) { delete(b, "stowS") }, 400},
			{func(b map[string]any) { b["nameId"] = "job-1" }, 400},
			{func(b map[string]any) { b["plumage"] = strings.Repeat("x", 70_000) }, 400},
			{func(map[string]any) {}, 201},
			{func(map[string]any) {}, 200},
			{func(b map[string]any) { b["crew"] = "green" }, 200}, // known already: never refused
		} {
			body := map[string]any{}
			for k, v := range good {
				body[k] = v
			}
			x.change(body)
			raw, _ := json.Marshal(body)
			spec, err := wire.ParseJob(raw)
			if err == nil && x.status == 201 {
				c.env.Upload(spec)
			}
			id, _ := body["nameId"].(string)
			if status, _ := c.call(trace.Submit, id, body, spec, 10*time.Second); status != x.status {
				t.Errorf("%v: status %d, not %d", body, status, x.status)
			}
		}
		if status, _ := c.call(trace.Query, "wk-99", nil, nil, 10*time.Second); status != 404 {
			t.Errorf("unknown job: %d", status)
		}
		c.awaitDone("wk-7", time.Minute)
	})
}

// A team never exceeds its limit, and a preemptor takes room from lower work.
func TestLimitAndPreemption(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(3)
		c.submit(jobBody("wk-1", wire.Array, "red", "low", 40, 2, 6))
		c.await("the array runs", time.Minute, func() bool { return c.env.Running("wk-1") > 2 })
		c.submit(jobBody("wk-2", wire.Array, "blue", "low", 40, 2, 6))
		time.Sleep(30 * time.Second)
		c.submit(jobBody("wk-3", wire.Service, "blue", "production", 2, 4, 0))
		c.await("the service has preempted", 20*time.Second, func() bool { return c.env.Running("wk-3") == 2 })
		c.awaitDone("wk-1", 10*time.Minute)
		c.awaitDone("wk-2", 10*time.Minute)
	})
}

// A service whose team's limit is taken up by the team's own lower array gets
// its share at once, and the array goes on with the rest.
func TestLimitIsGivenToHigherWork(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "red", "low", 60, 2, 30))
		c.await("the array fills the limit", time.Minute, func() bool { return c.env.Running("wk-1") == 12 })
		c.submit(jobBody("wk-2", wire.Service, "red", "urgent", 2, 4, 0))
		c.await("the service runs", 10*time.Second, func() bool { return c.env.Running("wk-2") == 2 })
		c.await("the array has the rest", 20*time.Second, func() bool { return c.env.Running("wk-1") == 8 })
		c.abort("wk-2")
		c.await("the array has all again", 20*time.Second, func() bool { return c.env.Running("wk-1") == 12 })
		c.awaitDone("wk-1", 10*time.Minute)
	})
}

func TestTakeOver(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "blue", "normal", 40, 2, 8))
		c.await("the array runs", time.Minute, func() bool { return c.env.Running("wk-1") > 4 })
		for i := range 3 {
			c.kill(i)
			time.Sleep(9 * time.Second)
			c.start(i)
			time.Sleep(4 * time.Second)
		}
		c.awaitDone("wk-1", 3*time.Minute)
	})
}

func TestAllControllersRestart(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "blue", "normal", 40, 2, 8))
		c.submit(jobBody("wk-2", wire.Array, "blue", "normal", 2, 2, 1))
		c.awaitDone("wk-2", time.Minute)
		for i := range c.nodes {
			c.kill(i)
		}
		time.Sleep(3 * time.Second)
		c.env.Cloud.SetDown(true) // the stored types must do
		for i := range c.nodes {
			c.start(i)
		}
		time.Sleep(5 * time.Second)
		if s := c.state("wk-2"); s != wire.Done {
			t.Errorf("a done job is %s", s)
		}
		c.submit(jobBody("wk-3", wire.Array, "blue", "normal", 1, 1, 1))
		c.env.Cloud.SetDown(false)
		c.awaitDone("wk-1", 3*time.Minute)
		c.awaitDone("wk-3", time.Minute)
	})
}

// Transactions that are applied long after the caller gave up change nothing
// that has moved on.
func TestLateTransactions(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "blue", "normal", 40, 2, 6))
		c.await("the array runs", time.Minute, func() bool { return c.env.Running("wk-1") > 4 })
		rng := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		for _, n := range c.nodes {
			n.net.SetDelay(3*time.Second, 0)
			n.net.SetPolicy(func(r *http.Request) network.Fault {
				mu.Lock()
				defer mu.Unlock()
				if r.URL.Path == "/txn" && rng.IntN(4) == 0 {
					return network.ExecuteLate
				}
				return network.Deliver
			})
		}
		time.Sleep(10 * time.Second)
		c.kill(0)
		time.Sleep(15 * time.Second)
		c.start(0)
		c.submit(jobBody("wk-2", wire.Array, "red", "normal", 10, 2, 3))
		time.Sleep(20 * time.Second)
		for _, n := range c.nodes {
			n.net.SetPolicy(nil)
		}
		c.awaitDone("wk-1", 3*time.Minute)
		c.awaitDone("wk-2", 3*time.Minute)
	})
}

// A direct start that arrives half a minute late must not run a task that has
// been reaped or placed elsewhere meanwhile.
func TestLateDirectStart(t *testing.T) {
	inWorld(t, func(c *cluster) {
		for _, n := range c.nodes {
			n.net.SetDelay(30*time.Second, 0)
			n.net.SetPolicy(func(r *http.Request) network.Fault {
				if r.URL.Path == "/do" {
					return network.ExecuteLate
				}
				return network.Deliver
			})
		}
		c.submit(jobBody("wk-1", wire.Array, "blue", "normal", 30, 2, 3))
		c.submit(jobBody("wk-2", wire.Service, "blue", "production", 2, 4, 0))
		c.await("the service runs", time.Minute, func() bool { return c.env.Running("wk-2") == 2 })
		c.abort("wk-2")
		c.awaitDone("wk-1", 3*time.Minute)
		time.Sleep(time.Minute)
		if n := c.env.Running("wk-2"); n != 0 {
			t.Errorf("%d cancelled tasks run", n)
		}
	})
}

// An owner that only the state service refuses can't learn of a cancellation;
// the tasks must be gone in time all the same (see config.MaxStaleness).
func TestCancelDuringOutageOfOne(t *testing.T) {
	inWorld(t, func(c *cluster) {
		for i := range 6 {
			c.submit(jobBody(fmt.Sprintf("wk-%d", i+1), wire.Service, "blue", "urgent", 2, 2, 0))
		}
		c.await("the services run", time.Minute, func() bool { return c.env.Starts() >= 12 })
		c.nodes[1].net.SetPolicy(func(r *http.Request) network.Fault {
			if r.URL.Host == "state:1" {
				return network.Refuse
			}
			return network.Deliver
		})
		time.Sleep(500 * time.Millisecond)
		for i := range 6 {
			c.abort(fmt.Sprintf("wk-%d", i+1))
		}
		time.Sleep(40 * time.Second)
		for i := range 6 {
			if n := c.env.Running(fmt.Sprintf("wk-%d", i+1)); n != 0 {
				t.Errorf("%d tasks of cancelled service %d run", n, i+1)
			}
		}
	})
}

// A machine that is cut off or fails everything doesn't hold work up for long.
func TestBadMachines(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Service, "blue", "urgent", 3, 2, 0))
		c.await("the service runs", time.Minute, func() bool { return c.env.Running("wk-1") == 3 })
		ws := c.env.Cloud.Agents()
		ws[0].SetIsolated(true)
		time.Sleep(40 * time.Second)
		if n := c.env.Running("wk-1"); n != 3 {
			t.Errorf("%d replicas after a machine was cut off", n)
		}
		for _, w := range c.env.Cloud.Agents() {
			w.SetFailing(true)
			break
		}
		for i := range 4 {
			c.submit(jobBody(fmt.Sprintf("wk-%d", i+2), wire.Array, "blue", "normal", 8, 1, 2))
		}
		for i := range 4 {
			c.awaitDone(fmt.Sprintf("wk-%d", i+2), 3*time.Minute)
		}
	})
}

// Random troubles, overlapping: no rule breaks, and afterwards all is done.
func TestTroubles(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inWorld(t, func(c *cluster) { troubles(c, rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func troubles(c *cluster, rng *rand.Rand) {
	var heal []func()
	jobs := 0
	var cancel, accepted []string
	for range 40 {
		switch rng.IntN(11) {
		case 0, 1, 2:
			jobs++
			kind := []string{wire.Array, wire.Array, wire.Service, wire.Gang}[rng.IntN(4)]
			b := jobBody(fmt.Sprintf("wk-%d", jobs), kind, []string{"red", "blue"}[rng.IntN(2)],
				[]string{"low", "normal", "urgent", "production"}[rng.IntN(4)], 1+rng.IntN(5), 1+float64(rng.IntN(3)), 1+float64(rng.IntN(10)))
			if kind == wire.Array {
				b["eggs"] = 1 + rng.IntN(25)
				b["spread"] = rng.IntN(4) == 0
				b["driftwood"] = rng.IntN(2) == 0
			}
			b["samePlace"] = rng.IntN(4) == 0 && b["spread"] == false
			if !c.trySubmit(b) {
				break // perhaps it was stored: the rules hold for it all the same
			}
			accepted = append(accepted, fmt.Sprintf("wk-%d", jobs))
			if rng.IntN(3) == 0 || kind == wire.Service {
				cancel = append(cancel, fmt.Sprintf("wk-%d", jobs))
			}
		case 3:
			if len(cancel) > 0 && c.tryAbort(cancel[0]) {
				cancel = cancel[1:]
			}
		case 4:
			i := rng.IntN(3)
			c.kill(i)
			heal = append(heal, func() { c.start(i) })
		case 5:
			c.env.Store.SetDown(true)
			heal = append(heal, func() { c.env.Store.SetDown(false) })
		case 6:
			n := c.nodes[rng.IntN(3)]
			host := []string{"state:1", "10.1", "cloud:1"}[rng.IntN(3)]
			fate := network.Fault(1 + rng.IntN(3))
			n.net.SetPolicy(func(r *http.Request) network.Fault {
				if strings.HasPrefix(r.URL.Host, host) {
					return fate
				}
				return network.Deliver
			})
			heal = append(heal, func() { n.net.SetPolicy(nil) })
		case 7:
			n := c.nodes[rng.IntN(3)]
			n.meshCut.Store(true)
			heal = append(heal, func() { n.meshCut.Store(false) })
		case 8:
			if ws := c.env.Cloud.Agents(); len(ws) > 0 {
				w := ws[rng.IntN(len(ws))]
				if rng.IntN(2) == 0 {
					w.Terminate()
				} else {
					w.SetIsolated(true)
					heal = append(heal, func() { w.SetIsolated(false) })
				}
			}
		default:
			for _, h := range heal {
				h()
			}
			heal = nil
		}
		time.Sleep(time.Duration(rng.IntN(6000)) * time.Millisecond)
		if len(heal) > 3 {
			heal[0]()
			heal = heal[1:]
		}
	}
	for _, h := range heal {
		h()
	}
	for _, id := range cancel {
		c.abort(id)
	}
	healed := time.Now()
	for _, id := range accepted {
		c.state(id)
		if d := time.Since(healed); d > 75*time.Second {
			c.t.Errorf("%s is answered for %v after the troubles", id, d)
		}
	}
	time.Sleep(c.nodes[0].brainHold())
	for _, id := range accepted {
		c.await(id+" is over", 8*time.Minute, func() bool { s := c.state(id); return s == wire.Done || s == wire.Cancelled })
	}
}

func (n *node) brainHold() time.Duration {
	return config.MaxStaleness(n.cfg.Settings.Workers.CancelS, n.cfg.Settings.Workers.LeaseS)
}

// A group that no part can hold alone gets machines from several parts, runs
// whole, and the machines are handed back, whatever dies on the way.
func TestGroupAcrossParts(t *testing.T) {
	for kill := range 5 {
		t.Run(fmt.Sprint(kill), func(t *testing.T) {
			inWorld(t, func(c *cluster) {
				c.env.Cloud.SetCapacity(8)
				c.submit(jobBody("wk-1", wire.Array, "blue", "low", 60, 2, 10))
				c.await("machines are up", time.Minute, func() bool { return c.env.Running("wk-1") >= 10 })
				b := jobBody("wk-2", wire.Service, "blue", "production", 6, 3, 0)
				b["hulls"] = []string{"small"}
				c.submit(b)
				switch kill {
				case 1, 2, 3:
					c.await("machines are borrowed", 2*time.Minute, func() bool { return len(c.env.Store.Keys(loanPrefix)) > 0 })
					time.Sleep(time.Duration(kill*400) * time.Millisecond)
					c.kill(kill - 1)
					time.Sleep(9 * time.Second)
					c.start(kill - 1)
				case 4:
					c.await("machines are borrowed", 2*time.Minute, func() bool { return len(c.env.Store.Keys(loanPrefix)) > 0 })
					c.env.Cloud.Agents()[0].Terminate()
				}
				c.await("the service runs whole", 3*time.Minute, func() bool { return c.env.Running("wk-2") == 6 })
				c.abort("wk-2")
				c.await("nothing stays lent", time.Minute, func() bool { return len(c.env.Store.Keys(loanPrefix)) == 0 })
				c.awaitDone("wk-1", 10*time.Minute)
			})
		})
	}
}

// A new leader and new owners must not take machines that they have not heard
// yet for ones that never came up.
func TestTakeOverKeepsBusyMachines(t *testing.T) {
	inWorld(t, func(c *cluster) {
		for i := range 4 {
			c.submit(jobBody(fmt.Sprintf("wk-%d", i+1), wire.Service, "blue", "urgent", 2, 2, 0))
		}
		c.await("the services run", time.Minute, func() bool { return c.env.Starts() == 8 })
		time.Sleep(time.Minute) // older than any boot limit
		for i := range 3 {
			c.kill(i)
			time.Sleep(12 * time.Second)
			c.start(i)
			time.Sleep(8 * time.Second)
		}
		if n := c.env.Starts(); n != 8 {
			t.Errorf("%d starts of 8 replicas", n)
		}
	})
}

// A large array and a flood of small ones: records and transactions stay within
// the limits, what is done leaves little behind, reports keep being answered.
func TestFlood(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "blue", "low", 1500, 1, 1))
		for i := range 60 {
			c.submit(jobBody(fmt.Sprintf("wk-%d", i+2), wire.Array, "blue", "normal", 5, 1, 1))
		}
		most := 0
		c.await("all is done", 20*time.Minute, func() bool {
			most = max(most, len(c.env.Store.Keys(groupPrefix+"wk-1/")))
			return c.state("wk-1") == wire.Done
		})
		if most > 120 {
			t.Errorf("%d records of one array", most)
		}
		for i := range 60 {
			c.awaitDone(fmt.Sprintf("wk-%d", i+2), time.Minute)
		}
	})
}

// A stored record that can't be decoded is named and left alone: its user is
// told to come back, nothing is dealt twice, and the rest goes on.
func TestUndecodableRecord(t *testing.T) {
	inWorld(t, func(c *cluster) {
		time.Sleep(3 * time.Second)
		c.foreign = map[string]bool{}
		put := func(key, value string) {
			c.foreign[key] = true
			raw := fmt.Sprintf(`{"if":[],"then":[{"write":%q,"v":%s}]}`, key, value)
			req, _ := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://state:1/txn", strings.NewReader(raw))
			if resp, err := c.user.RoundTrip(req); err != nil || resp.StatusCode != 200 {
				t.Fatal(err)
			}
		}
		put(jobKey("wk-9"), `"what"`)
		put(groupKey("wk-8", 0), `{"p":77}`)
		put("e/odd", `[]`)
		c.submit(jobBody("wk-1", wire.Array, "blue", "normal", 3, 1, 1))
		c.awaitDone("wk-1", time.Minute)
		for i := range c.nodes {
			c.kill(i)
			c.start(i)
		}
		time.Sleep(5 * time.Second)
		for _, id := range []string{"wk-8", "wk-9"} {
			if status, _ := c.call(trace.Query, id, nil, nil, 3*time.Second); status != 0 {
				t.Errorf("%s: status %d", id, status)
			}
		}
	})
}

// A transaction that is applied a minute late finds none of its conditions true
// again: no key that may be created under "does not exist" is deleted while the
// rest of its conditions can still hold. (A dealing that came back to life handed
// tasks out twice, and a job was called done too early.)
func TestVeryLateTransactions(t *testing.T) {
	inWorld(t, func(c *cluster) {
		rng := rand.New(rand.NewPCG(3, 4))
		var mu sync.Mutex
		for _, n := range c.nodes {
			n.net.SetDelay(40*time.Second, 0)
			n.net.SetPolicy(func(r *http.Request) network.Fault {
				mu.Lock()
				defer mu.Unlock()
				if r.URL.Path == "/txn" && rng.IntN(5) == 0 {
					return network.ExecuteLate
				}
				return network.Deliver
			})
		}
		c.env.Cloud.SetCapacity(4)
		c.submit(jobBody("wk-1", wire.Array, "blue", "low", 700, 1, 1))
		c.awaitDone("wk-1", 20*time.Minute)
		time.Sleep(time.Minute)
		c.await("records are cleared up", 2*time.Minute, func() bool { return len(c.env.Store.Keys(groupPrefix)) == 0 })
	})
}
