// Package cloud calls the cloud's interface.
package cloud

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
	"time"

	"golang.org/x/time/rate"

	"eiderhitch/internal/wire"
)

// ErrNoCapacity says that the cloud has no machine of that type, zone and kind.
var ErrNoCapacity = errors.New("cloud: no capacity")

// ErrRefused says that a call was not executed, in an outage or since there were too many.
var ErrRefused = errors.New("cloud: refused")

const callTimeout = 4 * time.Second

// Client calls the cloud, within its limit of calls.
type Client struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
}

// NewClient returns a client that reaches the cloud at addr by rt.
func NewClient(addr string, rps float64, rt http.RoundTripper) *Client {
	return &Client{base: "http://" + addr, limit: rate.NewLimiter(rate.Limit(rps*0.8), max(1, int(rps))), http: &http.Client{Transport: rt}}
}

func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	if err := c.limit.Wait(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var in io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return err
		}
		in = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, in)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("cloud: %s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return fmt.Errorf("cloud: %s %s: %w", method, path, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(raw, out); err != nil {
			return fmt.Errorf("cloud: %s %s: %w", method, path, err)
		}
		return nil
	case http.StatusServiceUnavailable:
		var e struct{ Error string }
		if json.Unmarshal(raw, &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
		return ErrRefused
	case http.StatusTooManyRequests:
		return ErrRefused
	}
	return fmt.Errorf("cloud: %s %s: status %d", method, path, resp.StatusCode)
}

// MachineTypes lists the machine types with current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var out wire.MachineTypes
	if err := c.call(ctx, http.MethodGet, "/machine_types", nil, &out); err != nil {
		return nil, err
	}
	return out.Types, nil
}

// Launch asks for machines. Repeating a request that was granted rents nothing.
func (c *Client) Launch(ctx context.Context, r wire.LaunchRequest) ([]string, error) {
	var out wire.MachineNames
	if err := c.call(ctx, http.MethodPost, "/rentals", r, &out); err != nil {
		return nil, err
	}
	return out.Machines, nil
}

// MaxTerminate is how many machines one call may release.
const MaxTerminate = 100

// Terminate returns machines. Without an error they are gone, with all that was on them.
func (c *Client) Terminate(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, "/rentals/release", wire.MachineNames{Machines: names}, nil)
}

// MaxList is how many machines one page of the list may have.
const MaxList = 500

// List reads the whole list of machines, which lags.
func (c *Client) List(ctx context.Context) ([]wire.Instance, error) {
	var all []wire.Instance
	after := ""
	for {
		q := url.Values{"most": {strconv.Itoa(MaxList)}}
		if after != "" {
			q.Set("since", after)
		}
		var page wire.InstanceList
		if err := c.call(ctx, http.MethodGet, "/rentals?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
