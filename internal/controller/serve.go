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
	wg.Go(func() { c.autoscaler.Run(c.ctx) })
	if c.operator.FeatureLevels {
		wg.Go(c.register)
	}
	wg.Go(c.loop)
}
