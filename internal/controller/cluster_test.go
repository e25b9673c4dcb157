package controller

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
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

// cluster runs several controllers in a simulated environment. Tests run it on the fake clock of
// testing/synctest, unless its controllers are real processes.
type cluster struct {
	t               *testing.T
	ctx             context.Context
	env             *simulation.Environment
	nodes           []*node
	clientTransport *network.Transport
	// keysWrittenByTest are store keys whose values the test has written itself. The checks of
	// stored records skip them.
	keysWrittenByTest map[string]bool
	// upgradesEnabled says that the controllers take part in staged upgrades.
	upgradesEnabled bool
	// frameObserver is called with each frame between controllers; nil: none.
	frameObserver atomic.Pointer[frameObserver]
	// logs holds the log lines of the controllers for the report of a failure.
	logs *logBuffer
	// alwaysKeepLogs makes controllers that start later write to logs even without -failure-dir.
	alwaysKeepLogs bool
	// queryAllUntil is the time until which users query all controllers after each successful
	// change; nil: they never do.
	queryAllUntil atomic.Pointer[time.Time]

	// frames delivers the frames between controllers.
	frames frameNetwork

	mu sync.Mutex // guards the fields that several goroutines of a test share
	// readableLevels holds the range of levels that each process reads, by process ID.
	readableLevels map[string]rollout.LevelRange
}

// frameObserver is called with the sender, the receiver and the version of a frame.
type frameObserver func(from, to string, version peer.Version)

// node runs controller processes, one after the other. cfg, operatorConfig and version apply to its
// next process: the test may change them at any time, since a process does not read them once it has
// started.
type node struct {
	cfg            *config.PlatformSettings
	transport      *network.Transport
	operatorConfig *config.OperatorSettings // nil: the defaults apply
	version        softwareVersion
	// process is the running process; nil: none. Other nodes and clients read it concurrently.
	process atomic.Pointer[process]
	// While peersBlocked is set, frames to and from the node are dropped. While agentsBlocked or
	// usersBlocked is set, requests of agents or users hang until the caller gives up.
	peersBlocked, agentsBlocked, usersBlocked atomic.Bool
}

// process is one run of a controller on a node. Its fields are set before it is published and never
// change, so every reader of a process sees the matching version.
type process struct {
	controller *controller
	version    softwareVersion
	cancel     context.CancelFunc
	running    *sync.WaitGroup
}

// controller returns the node's controller, or nil if none runs.
func (n *node) controller() *controller {
	if p := n.process.Load(); p != nil {
		return p.controller
	}
	return nil
}

// isRunning reports whether a process runs on the node.
func (n *node) isRunning() bool { return n.process.Load() != nil }

// isLeader reports whether the node's controller is the leader.
func (n *node) isLeader(ctx context.Context) bool {
	leads := false
	if p := n.process.Load(); p != nil {
		p.controller.call(ctx, priorityStore, func() { leads = p.controller.isLeader() })
	}
	return leads
}

// maxStaleness returns how long the node's controller may answer heartbeats after the start of its
// last read of the key-value store.
func (n *node) maxStaleness() time.Duration {
	return config.MaxStaleness(n.cfg.Settings.Workers.CancelDeadlineS, n.cfg.Settings.Workers.LeaseDurationS)
}

// testMachineTypes are the machine types that the simulated cloud offers.
var testMachineTypes = []wire.MachineType{
	{Name: "small", CPUs: 4, RAMGB: 16, ImageCacheGB: 20, ImageFetchGBPS: 1, Price: 0.4, SpotPrice: 0.1, BootS: 5, Zones: []string{"a", "b"}},
	{Name: "large", CPUs: 16, RAMGB: 64, ImageCacheGB: 50, ImageFetchGBPS: 1, Price: 1.2, SpotPrice: 0.3, BootS: 8, Zones: []string{"a"}},
}

// defaultControllerCount is the number of controllers of most clusters.
const defaultControllerCount = 3

// startInterval is the time between the starts of controllers. It keeps their periodic work from
// running at the same instant.
const startInterval = 137 * time.Microsecond

// runCluster runs f with a started cluster and then checks that no rule and no limit of the key-value
// store was broken.
func runCluster(t *testing.T, f func(c *cluster)) {
	t.Helper()
	runClusterWithSetup(t, func(*node) {}, f)
}

// runClusterWithSetup is like runCluster, but calls setUp for each node before the node starts.
func runClusterWithSetup(t *testing.T, setUp func(*node), f func(c *cluster)) {
	t.Helper()
	runClusterOfSize(t, defaultControllerCount, setUp, f)
}

// runClusterOfSize is like runClusterWithSetup, with the given number of controllers.
func runClusterOfSize(t *testing.T, controllers int, setUp func(*node), f func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, t, controllers)
		for i, n := range c.nodes {
			setUp(n)
			c.start(i)
			time.Sleep(startInterval)
		}
		defer func() {
			for i := range c.nodes {
				c.kill(i)
			}
			cancel()
			c.reportFailure()
			time.Sleep(time.Minute) // lets the remaining goroutines of the synctest bubble end
		}()
		f(c)
		c.checkInvariants()
	})
}

// newCluster returns a cluster whose controllers have not been started.
func newCluster(ctx context.Context, t *testing.T, controllers int) *cluster {
	t.Helper()
	var members []agent.Controller
	for i := range controllers {
		members = append(members, agent.Controller{Name: fmt.Sprintf("n%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i+1)})
	}
	env := simulation.New(ctx, members, testMachineTypes)
	env.SetQuota("red", 24)
	env.Network.SetLatency(network.Latency{Seed: *networkSeed, Jitter: *networkJitter})
	c := &cluster{t: t, logs: &logBuffer{}, ctx: ctx, env: env, clientTransport: env.Network.NewTransport(), keysWrittenByTest: map[string]bool{}, readableLevels: map[string]rollout.LevelRange{}}
	for i := range members {
		c.nodes = append(c.nodes, &node{cfg: newTestPlatform(env, members, i), transport: env.Network.NewTransport(), version: currentVersion})
	}
	return c
}

// newTestPlatform returns the platform's settings for the member with index self.
func newTestPlatform(env *simulation.Environment, members []agent.Controller, self int) *config.PlatformSettings {
	cfg := &config.PlatformSettings{Name: members[self].Name, Zone: "a", APIAddr: members[self].Addr}
	for i, other := range members {
		if i != self {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: other.Name, Addr: other.Addr})
		}
	}
	cfg.External.Store, cfg.External.Cloud = simulation.StoreAddr, simulation.CloudAddr
	s := &cfg.Settings
	s.ControllerCount, s.Zones = len(members), []string{"a", "b"}
	s.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 8, MaxCPUs: 24}, {Name: "blue"}}
	s.Workers.HeartbeatIntervalS, s.Workers.LeaseDurationS, s.Workers.CancelDeadlineS = env.HeartbeatInterval.Seconds(), env.LeaseTTL.Seconds(), env.CancellationTimeout.Seconds()
	s.Workers.GangWaitTimeoutS, s.Workers.GangPeerTimeoutS = env.GangWaitTimeout.Seconds(), env.GangPeerTimeout.Seconds()
	s.Store.RPS, s.Store.WriteRPS, s.Store.ValueKB, s.Store.TxnOps = 250, 60, 8, 32
	s.Cloud.RPS, s.Cloud.ListLagS = 6, 3
	return cfg
}

// start starts a controller on a node, unless one is running.
func (c *cluster) start(i int) {
	n := c.nodes[i]
	if n.isRunning() {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	cfg := *n.cfg // a copy, since tests change the node's settings for its next process
	ctl := newController(ctx, &cfg, n.operatorSettings(), c.logger(), c.dependenciesOf(i))
	ctl.rollout.supportedLevels = n.version.supportedLevels
	p := &process{controller: ctl, version: n.version, cancel: cancel, running: &sync.WaitGroup{}}
	c.recordProcess(p)
	n.process.Store(p)
	ctl.start(ctx, p.running)
	c.env.Network.Serve(n.cfg.APIAddr, n.blockingHandler(api.NewHandler(ctl, api.Limits{MaxConnections: 100, MaxUserRequests: 50})))
}

// dependenciesOf returns the dependencies of a node's controller: its transports, its jitter and the
// delivery of its frames.
func (c *cluster) dependenciesOf(i int) dependencies {
	n := c.nodes[i]
	return dependencies{
		store: n.storeTransport(), cloud: n.transport, workers: n.transport,
		jitter: func(maxDelay time.Duration) time.Duration {
			return time.Duration(network.SeededFloat64(uint64(i), n.cfg.Name) * float64(maxDelay))
		},
		sendFrame: func(to string, frame []byte) { c.sendFrame(n, to, frame) },
	}
}

// blockingHandler returns a handler that passes requests on to inner, unless the node blocks their
// sender. Blocked requests hang until the caller gives up.
func (n *node) blockingHandler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		blocked := &n.usersBlocked
		if r.URL.Path == agent.HeartbeatPath {
			blocked = &n.agentsBlocked
		}
		if blocked.Load() {
			<-r.Context().Done()
			return
		}
		inner.ServeHTTP(w, r)
	})
}

// kill stops a node's controller without a graceful shutdown, if one runs.
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

// killAll kills all controllers.
func (c *cluster) killAll() {
	for i := range c.nodes {
		c.kill(i)
	}
}

// startAll starts the controllers that are not running.
func (c *cluster) startAll() {
	for i := range c.nodes {
		c.start(i)
	}
}

// restartAll kills all controllers and starts them again half a second later.
func (c *cluster) restartAll() {
	c.killAll()
	time.Sleep(500 * time.Millisecond)
	c.startAll()
}

// setFaultPolicies sets the fault policy for the requests of all controllers; nil: all requests
// are delivered.
func (c *cluster) setFaultPolicies(policy network.FaultPolicy) {
	for _, n := range c.nodes {
		n.transport.SetFaultPolicy(policy)
	}
}

// restartOneByOne kills each controller in turn and starts it again at once.
func (c *cluster) restartOneByOne() {
	for i := range c.nodes {
		c.kill(i)
		c.start(i)
	}
}

// leaderIndex returns the index of the node whose controller is the leader, or 0 if there is no
// leader at the moment.
func (c *cluster) leaderIndex() int {
	for i, n := range c.nodes {
		if n.isLeader(c.ctx) {
			return i
		}
	}
	return 0
}

// sendFrame delivers a frame of a node's controller to the process on another node. It drops the
// frame if no process runs there or one of the two nodes has its peers blocked.
func (c *cluster) sendFrame(from *node, to string, frame []byte) {
	version := peer.Version(frame[2])
	for _, n := range c.nodes {
		receiver := n.process.Load()
		if n.cfg.Name != to || receiver == nil || n.peersBlocked.Load() || from.peersBlocked.Load() {
			continue
		}
		if observe := c.frameObserver.Load(); observe != nil {
			(*observe)(from.cfg.Name, to, version)
		}
		if receiver.version.predatesLevels && version != peer.PlainFrame {
			continue // a version without levels refuses all other frame versions
		}
		status, err := peer.ReadStatus(bytes.NewReader(frame))
		if err != nil {
			c.t.Errorf("frame from %s to %s: %v", from.cfg.Name, to, err)
			return
		}
		c.frames.deliver(status, receiver)
	}
}
