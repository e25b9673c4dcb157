// Package cloud is the client of the cloud that machines are rented from.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"eiderhitch/internal/httpjson"
	"eiderhitch/internal/wire"
)

// Errors that callers act on. The methods of Client wrap them with the request: compare with
// errors.Is. After any other error a request may have been executed, or may be later.
var (
	// ErrNoCapacity says that the cloud has no machine of that type, zone and kind.
	ErrNoCapacity = errors.New("no capacity")
	// ErrRefused says that a call was not executed: in an outage, or above the rate limit.
	ErrRefused = errors.New("refused")
)

const (
	// MaxTerminateNames is how many machines one call may terminate.
	MaxTerminateNames = 100
	// MaxListPage is how many machines one page of the list may have.
	MaxListPage = 500

	// callTimeout bounds each call.
	callTimeout = 4 * time.Second
	// maxResponseBytes bounds a response: a page of the list has some 100 KB.
	maxResponseBytes = 8 << 20
	// rateShare is the share of the cloud's rate limit that this client uses.
	rateShare = 0.8
)

// noCapacity is the cloud's answer when it has no machine to rent.
const noCapacity = "no capacity"

// Client calls the cloud, within its rate limit: calls wait for their turn. Its methods may
// be called concurrently.
type Client struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
}

// NewClient returns a client of the cloud at addr (host:port), which allows rps requests a
// second, that sends its requests by transport.
func NewClient(addr string, rps float64, transport http.RoundTripper) *Client {
	return &Client{
		base:  "http://" + addr,
		http:  &http.Client{Transport: transport},
		limit: rate.NewLimiter(rate.Limit(rps*rateShare), max(1, int(rps))),
	}
}

// request is one call of the cloud.
type request struct {
	method string
	path   string
	body   any // nil: none
}

// call sends a request and decodes the response into out, unless that is nil.
func (c *Client) call(ctx context.Context, r request, out any) error {
	if err := c.limit.Wait(ctx); err != nil {
		return err
	}
	response, err := httpjson.Do(ctx, c.http, httpjson.Request{Method: r.method, URL: c.base + r.path, Body: r.body,
		Timeout: callTimeout, MaxResponseBytes: maxResponseBytes})
	if err == nil {
		err = responseError(response)
	}
	if err == nil && out != nil {
		err = json.Unmarshal(response.Body, out)
	}
	if err != nil {
		return fmt.Errorf("cloud: %s %s: %w", r.method, r.path, err)
	}
	return nil
}

// responseError returns what a status other than 200 means.
func responseError(response *httpjson.Response) error {
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable:
		var answer struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(response.Body, &answer) == nil && answer.Error == noCapacity {
			return ErrNoCapacity
		}
		return ErrRefused
	case http.StatusTooManyRequests:
		return ErrRefused
	default:
		return &httpjson.StatusError{Status: response.Status}
	}
}

// MachineTypes lists the machine types with current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var response wire.MachineTypes
	if err := c.call(ctx, request{http.MethodGet, "/machine_types", nil}, &response); err != nil {
		return nil, err
	}
	return response.Types, nil
}

// Launch rents machines and returns their names. It is idempotent: repeating a request that
// was granted rents nothing.
func (c *Client) Launch(ctx context.Context, launch wire.LaunchRequest) ([]string, error) {
	var response wire.MachineNames
	if err := c.call(ctx, request{http.MethodPost, "/rentals", launch}, &response); err != nil {
		return nil, err
	}
	return response.Names, nil
}

// Terminate returns at most MaxTerminateNames machines. Without an error they are gone, with all
// that was on them. Unknown names are ignored.
func (c *Client) Terminate(ctx context.Context, names []string) error {
	return c.call(ctx, request{http.MethodPost, "/rentals/release", wire.MachineNames{Names: names}}, nil)
}

// List reads the whole list of machines, page by page. It lags, and may be older than the
// one read before.
func (c *Client) List(ctx context.Context) ([]wire.Instance, error) {
	var all []wire.Instance
	after := ""
	for {
		query := url.Values{"most": {strconv.Itoa(MaxListPage)}}
		if after != "" {
			query.Set("since", after)
		}
		var page wire.InstanceList
		if err := c.call(ctx, request{http.MethodGet, "/rentals?" + query.Encode(), nil}, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Instances...)
		if !page.HasMore || len(page.Instances) == 0 {
			return all, nil
		}
		after = page.Instances[len(page.Instances)-1].Name
	}
}
