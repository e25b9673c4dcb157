// Package network is an in-process network for tests. It delivers HTTP requests to handlers.
// Each caller has its own transport, into which tests inject faults.
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

// Network is a set of handlers by address. It is safe for concurrent use.
type Network struct {
	// Listen, if not nil, is called by Serve with each handler and its address, so that the
	// handler can be served to other processes too. It must be set before the first Serve.
	Listen func(addr string, h http.Handler)

	ctx            context.Context
	mu             sync.Mutex
	handlers       map[string]http.Handler
	transportCount uint64
	latency        Latency
}

// Latency describes how long requests without a fault take.
type Latency struct {
	// Seed is the seed of the random latencies. A different seed leads to a different order
	// of messages.
	Seed uint64
	// Jitter is the maximum random addition to the minimum latency.
	Jitter time.Duration
}

// defaultLatencyJitter makes it very unlikely that two requests take the same time. Events at
// different times have a defined order, which is the same in every run.
const defaultLatencyJitter = 500 * time.Microsecond

// New returns a network without handlers. Requests that a fault delays beyond their caller's
// timeout are abandoned when ctx is done.
func New(ctx context.Context) *Network {
	return &Network{ctx: ctx, handlers: map[string]http.Handler{}, latency: Latency{Jitter: defaultLatencyJitter}}
}

// Serve sets the handler of an address. A nil handler removes it.
func (n *Network) Serve(addr string, h http.Handler) {
	if n.Listen != nil && h != nil {
		n.Listen(addr, h)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[addr] = h
}

// SetLatency sets the latency of later requests.
func (n *Network) SetLatency(latency Latency) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// requestLatency returns the random latency of a request that a transport with the given seed
// carries.
func (n *Network) requestLatency(transportSeed uint64, request string) time.Duration {
	n.mu.Lock()
	latency := n.latency
	n.mu.Unlock()
	drawn := SeededFloat64(transportSeed+latency.Seed*latencySeedStride, request)
	return minLatency + time.Duration(drawn*float64(latency.Jitter))
}

// latencySeedStride separates the transport seeds of different latency seeds. It exceeds the
// number of transports of a network.
const latencySeedStride = 1 << 20

// NewTransport returns a transport for one caller. Faults of a transport affect only that
// caller.
func (n *Network) NewTransport() *Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transportCount++
	return &Transport{network: n, seed: n.transportCount + 1, delay: randomDelay{minimum: defaultDelay}, repeatDelay: randomDelay{minimum: defaultRepeatDelay}}
}

// handler returns the handler of an address, or nil if there is none.
func (n *Network) handler(addr string) http.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[addr]
}

// execute calls the handler of a request's address. It returns nil if there is no handler or
// ctx is done when the handler returns.
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

// SeededFloat64 returns a pseudo-random number in [0, 1) that depends only on the seed, the
// current time and the purpose. A shared sequence of random numbers would not be reproducible:
// concurrent requests of several goroutines arrive in no defined order and would get different
// numbers in each run.
func SeededFloat64(seed uint64, purpose string) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, seed, time.Now().UnixNano(), purpose) // writes to a hash never fail
	return rand.New(rand.NewPCG(seed, h.Sum64())).Float64()
}
