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

// Run runs a controller until ctx ends. It returns once all goroutines that it started have
// ended.
func Run(ctx context.Context, cfg *config.PlatformSettings, op *config.OperatorSettings, log *slog.Logger) error {
	listeners, err := listen(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel() // ends the goroutines that background.Wait waits for

	transports := newTransports(cfg)
	defer transports.closeIdleConnections()
	senders := newPeerSenders(cfg.Peers)
	c := newController(ctx, cfg, op, log, dependencies{
		store: transports.store, cloud: transports.cloud, workers: transports.workers, sendFrame: senders.offer,
	})
	c.log.Info("controller starts", "process_id", c.processID, "partitions", cfg.Settings.ControllerCount, "max_staleness", c.maxStaleness)
	background.Go(func() { peer.Serve(ctx, listeners.peers, c.log, c.enqueuePeerStatus) })
	senders.start(ctx, &background)
	c.start(ctx, &background)
	return c.serveAPI(ctx, listeners.api)
}

// listeners are the sockets on which a controller accepts connections. The server that uses a
// listener closes it.
type listeners struct{ api, peers net.Listener }

// listen opens the listeners at the addresses of the settings.
func listen(cfg *config.PlatformSettings) (*listeners, error) {
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

// Limits of the connections to other systems.
const (
	// storeConnections is the maximum number of connections to the key-value store.
	storeConnections = 16
	// cloudConnections is the maximum number of connections to the cloud API.
	cloudConnections = 4
	// workerConnections is the maximum number of connections to each worker. A worker
	// handles one command at a time.
	workerConnections = 1
	// serviceIdleTimeout is how long an idle connection to the key-value store or the cloud
	// is kept open, and workerIdleTimeout is the same for workers.
	serviceIdleTimeout = 30 * time.Second
	workerIdleTimeout  = 20 * time.Second
)

// transports holds one connection pool for each kind of system that a controller calls.
type transports struct{ store, cloud, workers *http.Transport }

// newTransports returns the connection pools for the platform's limits.
func newTransports(cfg *config.PlatformSettings) *transports {
	return &transports{
		store:   newTransport(storeConnections, storeConnections, serviceIdleTimeout),
		cloud:   newTransport(cloudConnections, cloudConnections, serviceIdleTimeout),
		workers: newTransport(workerConnections, cfg.MaxDirectCommands(), workerIdleTimeout),
	}
}

// newTransport returns a connection pool with at most perHost connections to each host and at
// most maxIdle idle connections to all hosts together.
func newTransport(perHost, maxIdle int, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		MaxConnsPerHost: perHost, MaxIdleConnsPerHost: perHost, MaxIdleConns: maxIdle,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

// closeIdleConnections closes the connections that are not in use.
func (t *transports) closeIdleConnections() {
	t.store.CloseIdleConnections()
	t.cloud.CloseIdleConnections()
	t.workers.CloseIdleConnections()
}

// peerSenders maps the name of each other controller to the sender of its status frames.
type peerSenders map[string]*peer.Sender

// newPeerSenders returns a sender for each peer. They send nothing until they are started.
func newPeerSenders(peers []config.Peer) peerSenders {
	senders := peerSenders{}
	for _, p := range peers {
		senders[p.Name] = peer.NewSender(p.Addr)
	}
	return senders
}

// offer queues a frame for the named peer. It replaces an older frame that has not been sent.
func (s peerSenders) offer(name string, frame []byte) { s[name].Offer(frame) }

// start starts the senders. They run until ctx ends; wg tracks their goroutines.
func (s peerSenders) start(ctx context.Context, wg *sync.WaitGroup) {
	for _, sender := range s {
		wg.Go(func() { sender.Run(ctx) })
	}
}

// enqueuePeerStatus queues a status received from a peer for the event loop.
func (c *controller) enqueuePeerStatus(status *peer.Status, connection peer.ConnectionNumber) {
	c.enqueue(priorityWorkers, func() { c.handlePeerStatus(status, connection) })
}

// minAPIRequests is the lowest limit of user requests that are handled concurrently, however few
// connections the process may open.
const minAPIRequests = 4

// serveAPI serves the HTTP API for users and workers until ctx ends.
func (c *controller) serveAPI(ctx context.Context, listener net.Listener) error {
	connections := c.cfg.MaxConnections()
	limits := api.Limits{MaxConnections: connections, MaxUserRequests: max(connections/2, minAPIRequests)}
	err := api.Serve(ctx, listener, c, c.log, limits)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// newProcessID returns a random ID for this process. It tells the process apart from an earlier
// process of the same controller, which has the same node name.
func newProcessID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// start starts the controller's goroutines, which run until ctx ends. ctx must be the context
// that was passed to newController.
func (c *controller) start(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { c.storeWriter.Run(ctx) })
	wg.Go(func() { c.reader.Follow(ctx) })
	wg.Go(func() { c.autoscaler.Run(ctx) })
	if c.operator.EnableFeatureLevels {
		wg.Go(func() { c.runRegistrar(ctx) })
	}
	wg.Go(func() { c.runEventLoop(ctx) })
}
