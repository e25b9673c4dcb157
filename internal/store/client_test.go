package store_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// fixedTransport gives the same response or error to every request and keeps the last request.
type fixedTransport struct {
	status      int
	body        string
	err         error
	sentRequest string
}

func (s *fixedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body) // after a read error the comparison of the request fails
	}
	s.sentRequest = strings.TrimSpace(fmt.Sprintf("%s %s %s", r.Method, r.URL, body))
	if s.err != nil {
		return nil, s.err
	}
	return &http.Response{StatusCode: s.status, Body: io.NopCloser(strings.NewReader(s.body)), Header: http.Header{}}, nil
}

// clientCalls are all calls of a client, with the requests that they send.
var clientCalls = []struct {
	name, sent string
	call       func(context.Context, *store.Client) error
}{
	{"txn", `POST http://kv:1/txn {"if":[],"then":[{"write":"a/b","v":1,"mooring":7}]}`, func(ctx context.Context, c *store.Client) error {
		_, err := c.Txn(ctx, &wire.Txn{Changes: []wire.Change{{Put: "a/b", Value: json.RawMessage("1"), Lease: 7}}})
		return err
	}},
	{"list", `GET http://kv:1/kv?most=1000&starts=c%2F`, func(ctx context.Context, c *store.Client) error {
		_, _, err := c.List(ctx, "c/")
		return err
	}},
	{"get", `GET http://kv:1/kv/a/b`, func(ctx context.Context, c *store.Client) error {
		_, err := c.Get(ctx, "a/b")
		return err
	}},
	{"revision", `GET http://kv:1/kv/a/b`, func(ctx context.Context, c *store.Client) error {
		_, err := c.Revision(ctx, "a/b")
		return err
	}},
	{"watch", `GET http://kv:1/watch?since=431&starts=c%2F&waitMs=10000`, func(ctx context.Context, c *store.Client) error {
		_, err := c.Watch(ctx, "c/", 431, 10*time.Second)
		return err
	}},
	{"grant", `POST http://kv:1/leases {"lifeMs":5000}`, func(ctx context.Context, c *store.Client) error {
		_, err := c.GrantLease(ctx, 5*time.Second)
		return err
	}},
	{"renew", `POST http://kv:1/leases/7/extend {}`, func(ctx context.Context, c *store.Client) error { return c.RenewLease(ctx, 7) }},
	{"revoke", `DELETE http://kv:1/leases/7`, func(ctx context.Context, c *store.Client) error { return c.RevokeLease(ctx, 7) }},
}

// errorKinds are the errors that callers distinguish.
var errorKinds = []error{store.ErrConflict, store.ErrLeaseExpired, store.ErrCompacted, store.ErrInvalid, store.ErrNotExecuted, store.ErrThrottled, store.ErrOutcomeUnknown}

// hasExactlyKinds reports whether err is of exactly the kinds in want. If want is empty or starts
// with nil, it reports whether err is nil.
func hasExactlyKinds(err error, want []error) bool {
	if len(want) == 0 || want[0] == nil {
		return err == nil
	}
	for _, kind := range errorKinds {
		if errors.Is(err, kind) != slices.Contains(want, kind) {
			return false
		}
	}
	return err != nil
}

// Each call sends exactly the expected request, and each response becomes the error by which callers
// decide whether to retry.
func TestRequestsAndErrors(t *testing.T) {
	other := errors.New("an error of none of these kinds")
	for _, test := range []struct {
		status     int
		body       string
		err        error
		want       []error          // for all calls but the exceptions; none: no error
		exceptions map[string]error // by name of the call; nil: no error
	}{
		{status: 200, body: `{}`},
		{status: 200, body: `{`, want: []error{store.ErrOutcomeUnknown}, exceptions: map[string]error{"renew": nil, "revoke": nil}},
		{status: 404, body: `{}`, want: []error{other}, exceptions: map[string]error{"get": nil, "revision": nil, "renew": store.ErrLeaseExpired, "revoke": nil}},
		{status: 409, body: `{"failed":["a/b"]}`, want: []error{other}, exceptions: map[string]error{"txn": store.ErrConflict, "revoke": nil}},
		{status: 410, body: `{}`, want: []error{other}, exceptions: map[string]error{"watch": store.ErrCompacted, "revoke": nil}},
		{status: 400, body: `{"error":"no such lease"}`, want: []error{store.ErrLeaseExpired}},
		{status: 400, body: `{}`, want: []error{store.ErrInvalid}},
		{status: 429, want: []error{store.ErrNotExecuted, store.ErrThrottled}},
		{status: 503, want: []error{store.ErrNotExecuted}},
		{status: 500, want: []error{store.ErrOutcomeUnknown}},
		{err: errors.New("reset"), want: []error{store.ErrOutcomeUnknown}},
	} {
		for _, call := range clientCalls {
			transport := &fixedTransport{status: test.status, body: test.body, err: test.err}
			err := call.call(t.Context(), store.NewClient("kv:1", transport))
			if transport.sentRequest != call.sent {
				t.Errorf("%s: sent\n%s, want\n%s", call.name, transport.sentRequest, call.sent)
			}
			want := test.want
			if e, ok := test.exceptions[call.name]; ok {
				want = []error{e}
			}
			if !hasExactlyKinds(err, want) {
				t.Errorf("%s with response %d %s: got error %v, want %v", call.name, test.status, test.body, err, want)
			}
		}
	}
}
