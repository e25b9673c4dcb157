package controller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
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
		cfg.External.Store, cfg.External.Cloud = simulation.StoreAddr, simulation.CloudAddr
		s := &cfg.Settings
		s.Count, s.Zones = controllers, []string{"a", "b"}
		s.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 24}, {Name: "blue"}}
		s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = env.HeartbeatInterval.Seconds(), env.LeaseTTL.Seconds(), env.CancelWithin.Seconds()
		s.Workers.GangWaitS, s.Workers.GangPeerS = env.GangWait.Seconds(), env.GangPeerTimeout.Seconds()
		s.Store.RPS, s.Store.WriteRPS, s.Store.ValueKB, s.Store.TxnOps = 250, 60, 8, 32
		s.Cloud.RPS, s.Cloud.ListLagS = 6, 3
		c.nodes = append(c.nodes, &node{cfg: cfg, net: env.Network.NewTransport(), version: presentVersion})
	}
	env.SetQuota("red", 24)
	return c
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

func (n *node) brainHold() time.Duration {
	return config.MaxStaleness(n.cfg.Settings.Workers.CancelS, n.cfg.Settings.Workers.LeaseS)
}
