package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"eiderhitch/internal/httpjson"
	"eiderhitch/internal/wire"
)

const (
	// callTimeout is the timeout of each call. The store usually responds within 10 ms.
	callTimeout = 1500 * time.Millisecond
	// listTimeout is the timeout for reading one page of keys.
	listTimeout = 2 * callTimeout
	// listPageSize is the number of keys on a page, as a query parameter: the largest that the store
	// allows. Fewer keys are on a page if they exceed its limit of bytes.
	listPageSize = "1000"
)

// noSuchLeaseMessage is the error text in the store's response to a put under an expired lease.
const noSuchLeaseMessage = "no such lease"

// Client is a client of the key-value store. Its methods may be called concurrently.
type Client struct {
	baseURL    string
	httpClient *http.Client

	// Counters for TakeStats.
	watches, txns, changes, appliedChanges, renewals, refusedRequests, conflicts atomic.Int64
}

// Stats holds the numbers of calls, and of changes in transactions, between two calls of
// TakeStats. RefusedRequests counts responses with status 429 or 503, AppliedChanges the changes of
// successful transactions, and Conflicts the transactions with a failed condition.
type Stats struct{ Watches, Txns, Changes, AppliedChanges, Renewals, RefusedRequests, Conflicts int64 }

// TakeStats returns the numbers since its last call and resets them to zero.
func (c *Client) TakeStats() Stats {
	return Stats{
		Watches:         c.watches.Swap(0),
		Txns:            c.txns.Swap(0),
		Changes:         c.changes.Swap(0),
		AppliedChanges:  c.appliedChanges.Swap(0),
		Renewals:        c.renewals.Swap(0),
		RefusedRequests: c.refusedRequests.Swap(0),
		Conflicts:       c.conflicts.Swap(0),
	}
}

// NewClient returns a client of the key-value store at addr (host:port) that sends its requests
// through transport.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: &http.Client{Transport: transport}}
}

// request describes one call of the store.
type request struct {
	method  string
	path    string
	body    any // encoded as JSON; nil if the request has no body
	timeout time.Duration
	// statusErrors maps response statuses to errors that are specific to this call.
	statusErrors map[int]error
}

// errKeyNotFound reports that a key does not exist.
var errKeyNotFound = errors.New("key-value store: no such key")

// call sends a request and decodes the response into out. If out is nil, the response body is
// ignored.
func (c *Client) call(ctx context.Context, r request, out any) error {
	response, err := httpjson.Do(ctx, c.httpClient, httpjson.Request{Method: r.method, URL: c.baseURL + r.path, Body: r.body, Timeout: r.timeout})
	if _, noResponse := errors.AsType[*httpjson.NoResponseError](err); noResponse {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if err != nil {
		return err
	}
	switch response.Status {
	case http.StatusTooManyRequests:
		c.refusedRequests.Add(1)
		return ErrThrottled
	case http.StatusServiceUnavailable:
		c.refusedRequests.Add(1)
		return fmt.Errorf("%w: status %d", ErrNotExecuted, response.Status)
	case http.StatusBadRequest:
		return badRequestError(response.Body)
	case http.StatusOK, http.StatusConflict:
		if out == nil {
			break
		}
		if err := wire.Decode(response.Body, out); err != nil {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
	return r.statusError(response.Status)
}

// badRequestError returns the error for a response with status 400 and this body.
func badRequestError(body []byte) error {
	var answer struct {
		Error string `json:"error"`
	}
	if wire.Decode(body, &answer) == nil && answer.Error == noSuchLeaseMessage {
		return ErrLeaseExpired
	}
	return ErrInvalid
}

// statusError returns the error, or nil, for a status that call does not handle itself.
func (r *request) statusError(status int) error {
	if err, known := r.statusErrors[status]; known {
		return err
	}
	if status == http.StatusOK {
		return nil
	}
	if status >= http.StatusInternalServerError {
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
	}
	return &httpjson.StatusError{Status: status}
}

// Txn executes one transaction. With ErrConflict it also returns a response, which names the keys
// whose conditions failed; with any other error the response is nil.
func (c *Client) Txn(ctx context.Context, txn *wire.Txn) (*wire.TxnResponse, error) {
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{}
	}
	changes := int64(len(txn.Changes))
	c.txns.Add(1)
	c.changes.Add(changes)
	var response wire.TxnResponse
	err := c.call(ctx, request{method: http.MethodPost, path: "/txn", body: txn, timeout: callTimeout,
		statusErrors: map[int]error{http.StatusConflict: ErrConflict}}, &response)
	switch {
	case err == nil:
		c.appliedChanges.Add(changes)
		return &response, nil
	case errors.Is(err, ErrConflict):
		c.conflicts.Add(1)
		return &response, fmt.Errorf("transaction: %w on %q", err, response.FailedKeys)
	default:
		return nil, fmt.Errorf("transaction of %d changes: %w", changes, err)
	}
}

// List reads all keys below a prefix, page by page, in the order of the keys. It returns the
// revision of the first page; a Watch from this revision returns the changes that later pages may
// have missed.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Item, uint64, error) {
	var items []wire.Item
	var revision uint64
	after := ""
	for {
		page, err := c.ListPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, fmt.Errorf("list keys below %q: %w", prefix, err)
		}
		if after == "" {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// ListPage reads one page of the keys below a prefix that follow the key after. If after is "", the
// page starts at the first key.
func (c *Client) ListPage(ctx context.Context, prefix, after string) (*wire.ItemPage, error) {
	query := url.Values{"starts": {prefix}, "most": {listPageSize}}
	if after != "" {
		query.Set("since", after)
	}
	var page wire.ItemPage
	err := c.call(ctx, request{method: http.MethodGet, path: "/kv?" + query.Encode(), timeout: listTimeout}, &page)
	return &page, err
}

// Revision returns the revision of a key's last change, or 0 if the key does not exist.
func (c *Client) Revision(ctx context.Context, key string) (uint64, error) {
	item, err := c.Get(ctx, key)
	if err != nil || item == nil {
		return 0, err
	}
	return item.Revision, nil
}

// Get reads a key. It returns nil without an error if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (*wire.Item, error) {
	var item wire.Item
	err := c.call(ctx, request{method: http.MethodGet, path: "/kv/" + key, timeout: callTimeout,
		statusErrors: map[int]error{http.StatusNotFound: errKeyNotFound}}, &item)
	if errors.Is(err, errKeyNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read key %q: %w", key, err)
	}
	return &item, nil
}

// Watch returns the changes below a prefix after the revision since. If there are none, it waits up
// to wait for one, and returns none after that.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (*wire.WatchResponse, error) {
	query := url.Values{
		"starts": {prefix},
		"since":  {strconv.FormatUint(since, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	c.watches.Add(1)
	var response wire.WatchResponse
	err := c.call(ctx, request{method: http.MethodGet, path: "/watch?" + query.Encode(), timeout: wait + callTimeout,
		statusErrors: map[int]error{http.StatusGone: ErrCompacted}}, &response)
	if err != nil {
		return nil, fmt.Errorf("watch %q since revision %d: %w", prefix, since, err)
	}
	return &response, nil
}

// GrantLease creates a lease and returns its id. The lease expires when it has not been renewed for
// ttl.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var response wire.LeaseResponse
	err := c.call(ctx, request{method: http.MethodPost, path: "/leases", body: wire.LeaseRequest{TTLMS: ttl.Milliseconds()}, timeout: callTimeout}, &response)
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return response.Lease, nil
}

// RenewLease restarts the time to live of a lease. It returns ErrLeaseExpired if the lease has
// expired or was revoked.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	c.renewals.Add(1)
	err := c.call(ctx, request{method: http.MethodPost, path: fmt.Sprintf("/leases/%d/extend", id), body: struct{}{}, timeout: callTimeout,
		statusErrors: map[int]error{http.StatusNotFound: ErrLeaseExpired}}, nil)
	if err != nil {
		return fmt.Errorf("renew lease %d: %w", id, err)
	}
	return nil
}

// RevokeLease ends a lease and deletes its keys. It returns nil if the lease has already ended. It
// also returns nil after an unexpected status, because the lease then expires by itself.
func (c *Client) RevokeLease(ctx context.Context, id uint64) error {
	err := c.call(ctx, request{method: http.MethodDelete, path: fmt.Sprintf("/leases/%d", id), timeout: callTimeout}, nil)
	if _, unexpected := errors.AsType[*httpjson.StatusError](err); unexpected {
		return nil // status 404 means that the lease has ended
	}
	if err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}
