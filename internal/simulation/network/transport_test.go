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
	// callerTimeout is for how long callers wait: for less than the delay.
	callerTimeout = 2 * time.Second
)

// faultOutcome is what becomes of a request.
type faultOutcome struct {
	answered  bool          // the caller gets a response
	after     time.Duration // when the caller knows, to the second
	executed  bool          // by that time
	inTheEnd  bool          // it is executed at some time
	wantError error
}

// Each fault does to a request what its name says.
func TestFaults(t *testing.T) {
	for _, x := range []struct {
		name    string
		fault   Fault
		timeout time.Duration
		want    faultOutcome
	}{
		{"deliver", Deliver, callerTimeout, faultOutcome{true, 0, true, true, nil}},
		{"refuse", Refuse, callerTimeout, faultOutcome{false, 0, false, false, ErrConnectionRefused}},
		{"drop", Drop, callerTimeout, faultOutcome{false, callerTimeout, false, false, context.DeadlineExceeded}},
		{"execute late", ExecuteLate, callerTimeout, faultOutcome{false, callerTimeout, false, true, context.DeadlineExceeded}},
		{"drop response", DropResponse, callerTimeout, faultOutcome{false, callerTimeout, true, true, context.DeadlineExceeded}},
		{"delay", Delay, 2 * testDelay, faultOutcome{true, testDelay, true, true, nil}},
		{"delay beyond the timeout", Delay, callerTimeout, faultOutcome{false, callerTimeout, false, false, context.DeadlineExceeded}},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkFault(t, x.fault, x.timeout, x.want) })
		})
	}
}

func checkFault(t *testing.T, fault Fault, timeout time.Duration, want faultOutcome) {
	t.Helper()
	var executed atomic.Bool
	network := New(t.Context())
	network.Serve(testAddr, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { executed.Store(true) }))
	transport := network.NewTransport()
	transport.SetDelay(testDelay, 0)
	transport.SetFaultPolicy(func(*http.Request) Fault { return fault })
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+testAddr, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	resp, err := transport.RoundTrip(req)
	got := faultOutcome{answered: resp != nil, after: time.Since(begun).Truncate(time.Second), executed: executed.Load(), wantError: want.wantError}
	if resp != nil {
		resp.Body.Close()
	}
	if !errors.Is(err, want.wantError) {
		t.Errorf("error %v, want %v", err, want.wantError)
	}
	time.Sleep(time.Minute)
	got.inTheEnd = executed.Load()
	if got != want {
		t.Errorf("outcome %+v, want %+v", got, want)
	}
}

// An address that nothing serves, or nothing serves any more, refuses connections.
func TestUnservedAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(t.Context())
		network.Serve(testAddr, http.NotFoundHandler())
		network.Serve(testAddr, nil)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+testAddr, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := network.NewTransport().RoundTrip(req); !errors.Is(err, ErrConnectionRefused) {
			t.Errorf("error %v, want %v", err, ErrConnectionRefused)
		}
	})
}
