package network

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault is a way in which the network treats a request.
type Fault int

// The faults. Deliver, the zero value, is the absence of a fault.
const (
	Deliver       Fault = iota // the request is delivered and answered with the network's latency
	Refuse                     // the connection is refused at once
	Drop                       // the request is lost: it is neither executed nor answered, so the caller times out
	ExecuteLate                // the request is executed after a delay and its response is lost, so the caller times out
	DropResponse               // the request is executed at once and its response is lost, so the caller times out
	Delay                      // the request is executed and answered after a delay, or not at all if the caller times out first
	DelayResponse              // the request is executed at once and answered after a delay, or not at all if the caller times out first
	Repeat                     // the request is delivered as with Deliver; if it was answered, it is executed again, unchanged, after a delay
	RepeatOften                // as Repeat, but the request is executed again and again, with the delay of Repeat in between
)

// FaultPolicy selects the fault of a request. It must be safe for concurrent use.
type FaultPolicy func(*http.Request) Fault

const (
	// defaultDelay is the delay of ExecuteLate and Delay unless SetDelay changes it.
	defaultDelay = 5 * time.Second
	// defaultRepeatDelay is the delay of Repeat unless SetRepeatDelay changes it.
	defaultRepeatDelay = 2 * time.Minute
	// repeatOftenDuration is how long RepeatOften executes a request again.
	repeatOftenDuration = 3 * time.Minute
	// minLatency is the minimum latency of a request without a fault.
	minLatency = 2 * time.Millisecond
)

// ErrConnectionRefused is returned for requests with the fault Refuse and for addresses without
// a handler.
var ErrConnectionRefused = errors.New("network: connection refused")

// Transport carries one caller's requests. It implements http.RoundTripper and is safe for
// concurrent use.
type Transport struct {
	network *Network
	seed    uint64

	mu          sync.Mutex
	policy      FaultPolicy
	delay       randomDelay // of ExecuteLate and Delay
	repeatDelay randomDelay // of Repeat
}

// randomDelay is a minimum delay and the maximum random addition to it.
type randomDelay struct{ minimum, jitter time.Duration }

// draw returns a random delay for a request at the current time.
func (d randomDelay) draw(seed uint64, request string) time.Duration {
	if d.jitter == 0 {
		return d.minimum
	}
	return d.minimum + time.Duration(SeededFloat64(seed, request)*float64(d.jitter))
}

// SetDelay sets the delay of ExecuteLate and Delay, and the maximum random addition to it.
func (t *Transport) SetDelay(delay, jitter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = randomDelay{delay, jitter}
}

// SetRepeatDelay sets the delay of Repeat, counted from the response, and the maximum random
// addition to it.
func (t *Transport) SetRepeatDelay(delay, jitter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.repeatDelay = randomDelay{delay, jitter}
}

// SetFaultPolicy sets the policy that selects the fault of each request. With a nil policy all
// requests are delivered.
func (t *Transport) SetFaultPolicy(policy FaultPolicy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy = policy
}

// selectFault returns the fault of a request, and the delay to use if the fault has one.
func (t *Transport) selectFault(r *http.Request) (Fault, time.Duration) {
	t.mu.Lock()
	policy, delay, repeatDelay := t.policy, t.delay, t.repeatDelay
	t.mu.Unlock()
	if policy == nil {
		return Deliver, 0
	}
	fault := policy(r)
	if fault == Repeat || fault == RepeatOften {
		delay = repeatDelay
	}
	return fault, delay.draw(t.seed, "late"+r.URL.String())
}

// RoundTrip delivers a request or applies the fault that the policy selects for it.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	fault, delay := t.selectFault(r)
	switch fault {
	case Refuse:
		return nil, ErrConnectionRefused
	case Drop:
		return waitForCancellation(r)
	case ExecuteLate:
		go t.executeAfter(delay, r, body)
		return waitForCancellation(r)
	case DropResponse:
		go t.network.execute(t.network.ctx, r, body)
		return waitForCancellation(r)
	case Delay:
		return t.deliverAfter(delay, r, body)
	case DelayResponse:
		return t.answerAfter(delay, r, body)
	}
	response, err := t.deliverAfter(t.network.requestLatency(t.seed, r.Method+r.URL.String()+string(body)), r, body)
	if err != nil {
		return response, err
	}
	switch fault {
	case Repeat:
		go t.executeAfter(delay, r, body)
	case RepeatOften:
		go t.executeOften(delay, r, body)
	}
	return response, nil
}

// readBody reads and closes a request's body, as the contract of http.RoundTripper demands.
func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer r.Body.Close()
	return io.ReadAll(r.Body)
}

// waitForCancellation waits until the request's context is done and returns the context's error.
func waitForCancellation(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// executeAfter executes a request after a delay, even if its caller has given up by then. It
// does nothing if the network's context is done first.
func (t *Transport) executeAfter(delay time.Duration, r *http.Request, body []byte) {
	select {
	case <-time.After(delay):
		t.network.execute(t.network.ctx, r, body)
	case <-t.network.ctx.Done():
	}
}

// executeOften executes a request again and again, with a delay before each time, for
// repeatOftenDuration or until the network's context is done.
func (t *Transport) executeOften(delay time.Duration, r *http.Request, body []byte) {
	for end := time.Now().Add(repeatOftenDuration); time.Now().Before(end) && t.network.ctx.Err() == nil; {
		t.executeAfter(delay, r, body)
	}
}

// deliverAfter executes a request after its latency and returns the response. It returns the
// context's error if the caller gives up first.
func (t *Transport) deliverAfter(latency time.Duration, r *http.Request, body []byte) (*http.Response, error) {
	select {
	case <-time.After(latency):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	return t.deliver(r.Context(), r, body)
}

// answerAfter executes a request at once, even if its caller gives up, and returns the response after
// a delay. It returns the context's error if the caller gives up first.
func (t *Transport) answerAfter(delay time.Duration, r *http.Request, body []byte) (*http.Response, error) {
	response := make(chan *http.Response, 1)
	go func() { response <- t.network.execute(t.network.ctx, r, body) }()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	select {
	case resp := <-response:
		if resp == nil {
			return nil, ErrConnectionRefused
		}
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// deliver executes a request and returns the response. It returns the context's error if the
// caller gives up first, and ErrConnectionRefused if no handler serves the address.
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
