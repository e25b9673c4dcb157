package network

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	testAddr  = "service:1"
	testDelay = 3 * time.Second
	// callerTimeout is how long callers wait for a response. It is shorter than testDelay.
	callerTimeout = 2 * time.Second
)

// faultOutcome is the observed effect of a fault on a request.
type faultOutcome struct {
	answered         bool          // the caller received a response
	elapsed          time.Duration // how long RoundTrip took, truncated to seconds
	executedOnReturn bool          // the handler had run when RoundTrip returned
	executions       int64         // how often the handler had run a minute later
	wantError        error
}

// Each fault has its documented effect on the caller and on the execution of the request.
func TestTransportFaults(t *testing.T) {
	for _, x := range []struct {
		name    string
		fault   Fault
		timeout time.Duration
		want    faultOutcome
	}{
		{"deliver", Deliver, callerTimeout, faultOutcome{true, 0, true, 1, nil}},
		{"refuse", Refuse, callerTimeout, faultOutcome{false, 0, false, 0, ErrConnectionRefused}},
		{"drop", Drop, callerTimeout, faultOutcome{false, callerTimeout, false, 0, context.DeadlineExceeded}},
		{"execute late", ExecuteLate, callerTimeout, faultOutcome{false, callerTimeout, false, 1, context.DeadlineExceeded}},
		{"drop response", DropResponse, callerTimeout, faultOutcome{false, callerTimeout, true, 1, context.DeadlineExceeded}},
		{"delay", Delay, 2 * testDelay, faultOutcome{true, testDelay, true, 1, nil}},
		{"delay beyond the timeout", Delay, callerTimeout, faultOutcome{false, callerTimeout, false, 0, context.DeadlineExceeded}},
		{"repeat", Repeat, callerTimeout, faultOutcome{true, 0, true, 2, nil}},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkFault(t, x.fault, x.timeout, x.want) })
		})
	}
}

// checkFault checks the outcome of one request with the given fault and timeout.
func checkFault(t *testing.T, fault Fault, timeout time.Duration, want faultOutcome) {
	t.Helper()
	var executions atomic.Int64
	network := New(t.Context())
	network.Serve(testAddr, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { executions.Add(1) }))
	transport := network.NewTransport()
	transport.SetDelay(testDelay, 0)
	transport.SetRepeatDelay(testDelay, 0)
	transport.SetFaultPolicy(func(*http.Request) Fault { return fault })
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+testAddr, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	resp, err := transport.RoundTrip(req)
	got := faultOutcome{answered: resp != nil, elapsed: time.Since(startedAt).Truncate(time.Second), executedOnReturn: executions.Load() > 0, wantError: want.wantError}
	if resp != nil {
		resp.Body.Close()
	}
	if !errors.Is(err, want.wantError) {
		t.Errorf("RoundTrip error: %v, want %v", err, want.wantError)
	}
	time.Sleep(time.Minute)
	got.executions = executions.Load()
	if got != want {
		t.Errorf("outcome %+v, want %+v", got, want)
	}
}

// An address whose handler was removed refuses connections.
func TestRemovedHandlerRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(t.Context())
		network.Serve(testAddr, http.NotFoundHandler())
		network.Serve(testAddr, nil)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+testAddr, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := network.NewTransport().RoundTrip(req); !errors.Is(err, ErrConnectionRefused) {
			t.Errorf("RoundTrip error: %v, want %v", err, ErrConnectionRefused)
		}
	})
}
