// Package store deals with the state service: calls, a replica of the stored
// records' versions, group commit and leases.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"eiderhitch/internal/wire"
)

// Errors of the state service that callers decide on.
var (
	ErrConflict     = errors.New("state service: a condition failed")
	ErrLeaseExpired = errors.New("state service: no such lease")
	ErrCompacted    = errors.New("state service: revision too old")
	// ErrInvalid: it is beyond a limit of the service, or malformed. The same again
	// would be refused again.
	ErrInvalid = errors.New("state service: refused as invalid")
	// ErrNotExecuted: surely not executed (429 and 503).
	ErrNotExecuted = errors.New("state service: refused")
	// ErrThrottled is an ErrNotExecuted: the limits of all controllers together are
	// reached.
	ErrThrottled = fmt.Errorf("%w: too much", ErrNotExecuted)
	// ErrOutcomeUnknown: it may have been executed, or may be executed later.
	ErrOutcomeUnknown = errors.New("state service: no answer")
)

// noSuchLease is what a write under a lease that has ended is told.
const noSuchLease = "no such lease"

// callTimeout bounds each call; the state service mostly answers within 10 ms.
const callTimeout = 1500 * time.Millisecond

// Client calls the state service.
type Client struct {
	base string
	http *http.Client

	watches, txns, changes, taken, renewals, refused, conflicts atomic.Int64
}

// Stats are numbers of calls since the last Stats.
type Stats struct{ Watches, Txns, Changes, Taken, Renewals, Refused, Conflicts int64 }

// Stats tells how often the state service was called, and starts again at 0.
func (c *Client) Stats() Stats {
	return Stats{c.watches.Swap(0), c.txns.Swap(0), c.changes.Swap(0), c.taken.Swap(0), c.renewals.Swap(0), c.refused.Swap(0), c.conflicts.Swap(0)}
}

// NewClient returns a client that reaches the state service at addr by rt.
func NewClient(addr string, rt http.RoundTripper) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: rt}}
}

// request is one call of the state service.
type request struct {
	method, path string
	body         any // nil: none
	limit        time.Duration
}

// call carries a request out and decodes the answer into out, unless that is nil.
func (c *Client) call(ctx context.Context, q request, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, q.limit)
	defer cancel()
	var in io.Reader
	if q.body != nil {
		raw, err := json.Marshal(q.body)
		if err != nil {
			return 0, err
		}
		in = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, c.base+q.path, in)
	if err != nil {
		return 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		c.refused.Add(1)
		return resp.StatusCode, ErrThrottled
	case http.StatusServiceUnavailable:
		c.refused.Add(1)
		return resp.StatusCode, fmt.Errorf("%w: status %d", ErrNotExecuted, resp.StatusCode)
	case http.StatusBadRequest:
		var why struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &why) == nil && why.Error == noSuchLease {
			return resp.StatusCode, ErrLeaseExpired
		}
		return resp.StatusCode, ErrInvalid
	case http.StatusOK, http.StatusConflict:
		if out != nil {
			if err := wire.Decode(raw, out); err != nil {
				return resp.StatusCode, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
			}
		}
	}
	if resp.StatusCode >= 500 {
		return resp.StatusCode, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, resp.StatusCode)
	}
	return resp.StatusCode, nil
}

// Txn runs one transaction. On ErrConflict the answer names the failed keys.
func (c *Client) Txn(ctx context.Context, t *wire.Txn) (*wire.TxnResponse, error) {
	if t.If == nil {
		t.If = []wire.Condition{}
	}
	c.txns.Add(1)
	c.changes.Add(int64(len(t.Then)))
	var out wire.TxnResponse
	status, err := c.call(ctx, request{http.MethodPost, "/txn", t, callTimeout}, &out)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusOK:
		c.taken.Add(int64(len(t.Then)))
		return &out, nil
	case status == http.StatusConflict:
		c.conflicts.Add(1)
		return &out, ErrConflict
	}
	return nil, fmt.Errorf("state service: status %d", status)
}

// List reads every key below prefix and the revision to watch from.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Item, uint64, error) {
	var items []wire.Item
	var first uint64
	after := ""
	for {
		q := url.Values{"starts": {prefix}, "most": {"400"}}
		if after != "" {
			q.Set("since", after)
		}
		var page wire.Page
		status, err := c.call(ctx, request{http.MethodGet, "/kv?" + q.Encode(), nil, 2 * callTimeout}, &page)
		if err != nil {
			return nil, 0, err
		}
		if status != http.StatusOK {
			return nil, 0, fmt.Errorf("state service: range read: status %d", status)
		}
		if after == "" {
			first = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, first, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Revision is the version of a key; 0: it does not exist.
func (c *Client) Revision(ctx context.Context, key string) (uint64, error) {
	item, err := c.Get(ctx, key)
	if err != nil || item == nil {
		return 0, err
	}
	return item.Revision, nil
}

// Get reads a key; nil: it does not exist.
func (c *Client) Get(ctx context.Context, key string) (*wire.Item, error) {
	var item wire.Item
	status, err := c.call(ctx, request{http.MethodGet, "/kv/" + key, nil, callTimeout}, &item)
	if err != nil {
		return nil, err
	}
	switch status {
	case http.StatusOK:
		return &item, nil
	case http.StatusNotFound:
		return nil, nil
	}
	return nil, fmt.Errorf("state service: read of a key: status %d", status)
}

// Watch returns the changes below prefix after revision since, waiting for one.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (*wire.WatchResponse, error) {
	q := url.Values{"starts": {prefix}, "since": {strconv.FormatUint(since, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	c.watches.Add(1)
	var out wire.WatchResponse
	status, err := c.call(ctx, request{http.MethodGet, "/watch?" + q.Encode(), nil, wait + callTimeout}, &out)
	if err != nil {
		return nil, err
	}
	switch status {
	case http.StatusOK:
		return &out, nil
	case http.StatusGone:
		return nil, ErrCompacted
	}
	return nil, fmt.Errorf("state service: watch: status %d", status)
}

// GrantLease obtains a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out wire.LeaseResponse
	status, err := c.call(ctx, request{http.MethodPost, "/leases", wire.LeaseRequest{TTLMS: ttl.Milliseconds()}, callTimeout}, &out)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("state service: lease: status %d", status)
	}
	return out.Lease, nil
}

// RenewLease extends a lease; ErrLeaseExpired means that it has ended.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	c.renewals.Add(1)
	status, err := c.call(ctx, request{http.MethodPost, fmt.Sprintf("/leases/%d/extend", id), struct{}{}, callTimeout}, nil)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound {
		return ErrLeaseExpired
	}
	if status != http.StatusOK {
		return fmt.Errorf("state service: renew: status %d", status)
	}
	return nil
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, id uint64) error {
	_, err := c.call(ctx, request{http.MethodDelete, fmt.Sprintf("/leases/%d", id), nil, callTimeout}, nil)
	return err
}
