// Package network is an in-process network for tests: it carries HTTP requests to
// handlers, each caller through a transport of its own that faults can happen to.
package network

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Network is a set of handlers by address.
type Network struct {
	// Listen, if set, is called with each handler and its address, to serve it outside of
	// this process as well.
	Listen func(addr string, h http.Handler)

	ctx        context.Context
	mu         sync.Mutex
	handlers   map[string]http.Handler
	transports uint64
	latency    Latency
}

// Latency is how long requests take that no fault happens to.
type Latency struct {
	// Seed draws each request's time: another seed has messages meet in another order.
	Seed uint64
	// Jitter is by how much the times differ.
	Jitter time.Duration
}

// defaultLatencyJitter keeps any two requests from taking the same time: what happens at
// different times has an order, which is the same in every run.
const defaultLatencyJitter = 500 * time.Microsecond

// New returns a network without handlers. Requests that faults keep back are given up when
// ctx ends.
func New(ctx context.Context) *Network {
	return &Network{ctx: ctx, handlers: map[string]http.Handler{}, latency: Latency{Jitter: defaultLatencyJitter}}
}

// Serve puts a handler at an address; nil takes it away.
func (n *Network) Serve(addr string, h http.Handler) {
	if n.Listen != nil && h != nil {
		n.Listen(addr, h)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[addr] = h
}

// SetLatency sets how long requests take from now on.
func (n *Network) SetLatency(latency Latency) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// drawLatency is how long a request of a transport takes.
func (n *Network) drawLatency(transport uint64, request string) time.Duration {
	n.mu.Lock()
	latency := n.latency
	n.mu.Unlock()
	drawn := SeededFloat64(transport+latency.Seed*latencySeedStride, request)
	return minLatency + time.Duration(drawn*float64(latency.Jitter))
}

// latencySeedStride keeps the seeds of a network's transports apart from those of another.
const latencySeedStride = 1 << 20

// NewTransport returns a transport for one caller, so that it alone can be cut off.
func (n *Network) NewTransport() *Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transports++
	return &Transport{network: n, seed: n.transports + 1, delay: defaultDelay}
}

// handler is what serves an address; nil: nothing does.
func (n *Network) handler(addr string) http.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[addr]
}

// execute has a request served; nil: nothing serves its address, or ctx ended first.
func (n *Network) execute(ctx context.Context, r *http.Request, body []byte) *http.Response {
	handler := n.handler(r.URL.Host)
	if handler == nil {
		return nil
	}
	served := r.Clone(ctx)
	served.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, served)
	if ctx.Err() != nil {
		return nil
	}
	return recorder.Result()
}

// SeededFloat64 is a number from 0 to below 1 that follows from a seed, the present time and what
// it is for. Requests that are made at one time by several goroutines come in no order,
// so numbers drawn one after the other would go to other requests in each run.
func SeededFloat64(seed uint64, purpose string) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, seed, time.Now().UnixNano(), purpose) // a hash takes all writes
	return rand.New(rand.NewPCG(seed, h.Sum64())).Float64()
}
