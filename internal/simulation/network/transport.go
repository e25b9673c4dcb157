package network

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault is what happens to a request on its way.
type Fault int

// The faults.
const (
	Deliver      Fault = iota // none
	Refuse                    // the connection is refused at once
	Drop                      // the request is lost: it is neither executed nor answered
	ExecuteLate               // it is executed after a delay; the caller has given up by then
	DropResponse              // it is executed at once, and the response is lost
	Delay                     // it is executed and answered after a delay
)

// FaultPolicy decides what happens to a request. It may be called from several goroutines.
type FaultPolicy func(*http.Request) Fault

const (
	// defaultDelay is by how much requests are late unless SetDelay says otherwise.
	defaultDelay = 5 * time.Second
	// minLatency is the least time that a request takes.
	minLatency = 2 * time.Millisecond
)

// ErrConnectionRefused is returned for an address that nothing serves.
var ErrConnectionRefused = errors.New("network: connection refused")

// Transport carries one caller's requests. It implements http.RoundTripper.
type Transport struct {
	network *Network
	seed    uint64

	mu     sync.Mutex
	policy FaultPolicy
	delay  time.Duration
	jitter time.Duration
}

// SetDelay sets by how much requests are late, and how much more they may be.
func (t *Transport) SetDelay(delay, jitter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay, t.jitter = delay, jitter
}

// SetFaultPolicy sets what decides about each request; nil: all are delivered.
func (t *Transport) SetFaultPolicy(policy FaultPolicy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy = policy
}

// decide is what happens to a request, and the delay if it has one.
func (t *Transport) decide(r *http.Request) (Fault, time.Duration) {
	t.mu.Lock()
	policy, delay, jitter := t.policy, t.delay, t.jitter
	t.mu.Unlock()
	if jitter > 0 {
		delay += time.Duration(SeededFloat64(t.seed, "late"+r.URL.String()) * float64(jitter))
	}
	if policy == nil {
		return Deliver, delay
	}
	return policy(r), delay
}

// RoundTrip delivers a request, unless a fault happens to it.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	fault, delay := t.decide(r)
	switch fault {
	case Refuse:
		return nil, ErrConnectionRefused
	case Drop:
		return waitForCaller(r)
	case ExecuteLate:
		go t.executeAfter(delay, r, body)
		return waitForCaller(r)
	case DropResponse:
		go t.network.execute(t.network.ctx, r, body)
		return waitForCaller(r)
	case Delay:
		return t.deliverAfter(delay, r, body)
	}
	return t.deliverAfter(t.network.drawLatency(t.seed, r.Method+r.URL.String()+string(body)), r, body)
}

// readBody takes over a request's body, as a transport has to.
func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer r.Body.Close()
	return io.ReadAll(r.Body)
}

// waitForCaller waits until the caller gives its request up.
func waitForCaller(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// executeAfter has a request executed after a delay, whatever its caller does.
func (t *Transport) executeAfter(delay time.Duration, r *http.Request, body []byte) {
	select {
	case <-time.After(delay):
		t.network.execute(t.network.ctx, r, body)
	case <-t.network.ctx.Done():
	}
}

// deliverAfter has a request executed after a while, and returns the response.
func (t *Transport) deliverAfter(latency time.Duration, r *http.Request, body []byte) (*http.Response, error) {
	select {
	case <-time.After(latency):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	return t.deliver(r.Context(), r, body)
}

// deliver has a request executed and returns the response, or what became of the caller.
func (t *Transport) deliver(ctx context.Context, r *http.Request, body []byte) (*http.Response, error) {
	response := make(chan *http.Response, 1)
	go func() { response <- t.network.execute(ctx, r, body) }()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case resp := <-response:
		if resp != nil {
			return resp, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, ErrConnectionRefused
	}
}
