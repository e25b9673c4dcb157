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
	"eiderhitch/internal/config"
	"eiderhitch/internal/peer"
)

// Run serves until ctx ends, and returns when all that it started has ended.
func Run(ctx context.Context, cfg *config.Platform, op *config.Operator, log *slog.Logger) error {
	listeners, err := listen(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel() // ends what the line above waits for

	transports := newTransports(cfg)
	defer transports.closeIdleConnections()
	senders := newPeerSenders(cfg.Peers)
	c := newController(ctx, cfg, op, log, dependencies{
		store: transports.store, cloud: transports.cloud, workers: transports.workers, sendFrame: senders.offer,
	})
	c.log.Info("controller starts", "process_id", c.processID, "partitions", cfg.Settings.Count, "max_staleness", c.maxStaleness)
	background.Go(func() { peer.Serve(ctx, listeners.peers, c.log, c.enqueuePeerStatus) })
	senders.start(ctx, &background)
	c.start(ctx, &background)
	return c.serveAPI(ctx, listeners.api)
}

// sockets are what a controller listens on. Each is closed by the server that is given it.
type listeners struct{ api, peers net.Listener }

// listen opens the sockets.
func listen(cfg *config.Platform) (*listeners, error) {
	apiListener, err := net.Listen("tcp", cfg.APIAddr)
	if err != nil {
		return nil, fmt.Errorf("api_addr: %w", err)
	}
	peerListener, err := net.Listen("tcp", cfg.PeerAddr)
	if err != nil {
		apiListener.Close()
		return nil, fmt.Errorf("mesh_addr: %w", err)
	}
	return &listeners{api: apiListener, peers: peerListener}, nil
}

// Bounds of the connections to other systems.
const (
	storeConnections = 16
	cloudConnections = 4
	// workerConnections is for each worker: it handles one command at a time.
	workerConnections = 1
	// serviceIdleTimeout and workerIdleTimeout are how long unused connections are kept.
	serviceIdleTimeout = 30 * time.Second
	workerIdleTimeout  = 20 * time.Second
)

// transports are the pools of connections to other systems.
type transports struct{ store, cloud, workers *http.Transport }

func newTransports(cfg *config.Platform) *transports {
	return &transports{
		store:   newTransport(storeConnections, storeConnections, serviceIdleTimeout),
		cloud:   newTransport(cloudConnections, cloudConnections, serviceIdleTimeout),
		workers: newTransport(workerConnections, cfg.DirectCommands(), workerIdleTimeout),
	}
}

// newTransport returns a pool of at most perHost connections to each host, of which
// maxIdle may be idle together.
func newTransport(perHost, maxIdle int, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		MaxConnsPerHost: perHost, MaxIdleConnsPerHost: perHost, MaxIdleConns: maxIdle,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

func (t *transports) closeIdleConnections() {
	t.store.CloseIdleConnections()
	t.cloud.CloseIdleConnections()
	t.workers.CloseIdleConnections()
}

// peerSenders send status frames to the other controllers, by name.
type peerSenders map[string]*peer.Sender

func newPeerSenders(peers []config.Peer) peerSenders {
	senders := peerSenders{}
	for _, p := range peers {
		senders[p.Name] = peer.NewSender(p.Addr)
	}
	return senders
}

// offer has a frame sent to a peer, in place of an older one that waits.
func (s peerSenders) offer(name string, frame []byte) { s[name].Offer(frame) }

// start runs the senders until ctx ends.
func (s peerSenders) start(ctx context.Context, wg *sync.WaitGroup) {
	for _, sender := range s {
		wg.Go(func() { sender.Run(ctx) })
	}
}

// enqueuePeerStatus has the event loop take in what a peer has sent.
func (c *controller) enqueuePeerStatus(status *peer.Status) {
	c.enqueue(priorityWorkers, func() { c.handlePeerStatus(status) })
}

// minAPIRequests is how many requests are handled at a time at least.
const minAPIRequests = 4

// serveAPI answers users and workers until ctx ends.
func (c *controller) serveAPI(ctx context.Context, listener net.Listener) error {
	connections := c.cfg.Connections()
	limits := api.Limits{Connections: connections, Requests: max(connections/2, minAPIRequests)}
	err := api.Serve(ctx, listener, c, c.log, limits)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// newProcessID draws a name that no other process has: a restarted controller has the name
// of its former self.
func newProcessID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// start runs the controller's goroutines until ctx ends, which is the one that the controller
// was made with.
func (c *controller) start(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { c.stateWriter.Run(ctx) })
	wg.Go(func() { c.reader.Follow(ctx) })
	wg.Go(func() { c.autoscaler.Run(ctx) })
	if c.operator.FeatureLevels {
		wg.Go(func() { c.runRegistrar(ctx) })
	}
	wg.Go(func() { c.runEventLoop(ctx) })
}
