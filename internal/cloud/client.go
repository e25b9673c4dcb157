// Package cloud is a client of the API of the cloud, which launches and terminates machines.
package cloud

import (
	"context"
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

// Errors that callers handle. The methods of Client wrap them in an error that names the request;
// use errors.Is to compare. After any other error the request may have been executed already, or may
// still be executed later.
var (
	// ErrNoCapacity means that the cloud has no machine of the requested type, in the requested zone,
	// as a spot or on-demand instance as requested.
	ErrNoCapacity = errors.New("no capacity")
	// ErrRefused means that the cloud did not execute the request, because of an outage or because
	// the rate limit was exceeded.
	ErrRefused = errors.New("refused")
)

const (
	// MaxTerminateNames is the maximum number of machines that one call of Terminate accepts.
	MaxTerminateNames = 100
	// MaxListPage is the maximum number of machines in one page of the list.
	MaxListPage = 500

	// callTimeout is the timeout of each call.
	callTimeout = 4 * time.Second
	// maxResponseBytes is the maximum size of a response. A page of the list has about 100 KB.
	maxResponseBytes = 8 << 20
	// rateShare is the fraction of the cloud's rate limit that this client uses.
	rateShare = 0.8
)

// noCapacityText is the error text in the cloud's response if it has no machine to launch.
const noCapacityText = "no capacity"

// Client calls the API of the cloud. Calls wait as long as needed to stay within the cloud's rate
// limit. The methods of Client may be called concurrently.
type Client struct {
	baseURL    string
	httpClient *http.Client
	limiter    *rate.Limiter
}

// NewClient returns a Client that sends its requests through transport to the cloud at addr
// (host:port). The cloud allows rps requests per second.
func NewClient(addr string, rps float64, transport http.RoundTripper) *Client {
	return &Client{
		baseURL:    "http://" + addr,
		httpClient: &http.Client{Transport: transport},
		limiter:    rate.NewLimiter(rate.Limit(rps*rateShare), max(1, int(rps))),
	}
}

// request is one call of the cloud's API.
type request struct {
	method string
	path   string
	body   any // nil if the request has no body
}

// call waits for the rate limit, sends a request and decodes the response into out, unless out is
// nil.
func (c *Client) call(ctx context.Context, r request, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return err
	}
	if err := CheckSend(ctx); err != nil {
		return fmt.Errorf("cloud: %s %s not sent: %w", r.method, r.path, err)
	}
	response, err := httpjson.Do(ctx, c.httpClient, httpjson.Request{Method: r.method, URL: c.baseURL + r.path, Body: r.body,
		Timeout: callTimeout, MaxResponseBytes: maxResponseBytes})
	if err == nil {
		err = responseError(response)
	}
	if err == nil && out != nil {
		err = wire.Decode(response.Body, out)
	}
	if err != nil {
		return fmt.Errorf("cloud: %s %s: %w", r.method, r.path, err)
	}
	return nil
}

// responseError returns the error for a response with a status other than 200, or nil for 200.
func responseError(response *httpjson.Response) error {
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable:
		var body struct {
			Error string `json:"error"`
		}
		if wire.Decode(response.Body, &body) == nil && body.Error == noCapacityText {
			return ErrNoCapacity
		}
		return ErrRefused
	case http.StatusTooManyRequests:
		return ErrRefused
	default:
		return &httpjson.StatusError{Status: response.Status}
	}
}

// MachineTypes returns the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var response wire.MachineTypes
	if err := c.call(ctx, request{http.MethodGet, "/machine_types", nil}, &response); err != nil {
		return nil, err
	}
	return response.Types, nil
}

// Launch launches machines and returns their names. It is idempotent: repeating a request that has
// succeeded launches no further machines.
func (c *Client) Launch(ctx context.Context, launch wire.LaunchRequest) ([]string, error) {
	var response wire.MachineNames
	if err := c.call(ctx, request{http.MethodPost, "/rentals", launch}, &response); err != nil {
		return nil, err
	}
	return response.Names, nil
}

// Terminate terminates at most MaxTerminateNames machines. If it returns no error, the
// machines and everything that ran on them no longer exist. Unknown names are ignored.
func (c *Client) Terminate(ctx context.Context, names []string) error {
	return c.call(ctx, request{http.MethodPost, "/rentals/release", wire.MachineNames{Names: names}}, nil)
}

// List reads the whole instance list, page by page. The list lags behind the actual state
// and may even be older than the one that was read before.
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
