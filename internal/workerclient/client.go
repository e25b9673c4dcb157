// Package workerclient sends commands straight to workers.
package workerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"eiderhitch/internal/wire"
)

// Timeout bounds a direct command; workers answer within milliseconds.
const Timeout = 2 * time.Second

// PingTimeout bounds one that only asks whether the machine is there.
const PingTimeout = time.Second

// Client sends direct commands.
type Client struct{ http *http.Client }

// NewClient returns a client that reaches workers by rt.
func NewClient(rt http.RoundTripper) *Client { return &Client{http: &http.Client{Transport: rt}} }

// Send sends commands; the worker's report comes back whether it executed them
// or not. An error means that they may yet be executed later.
func (c *Client) Send(ctx context.Context, addr string, d *wire.CommandRequest) (*wire.Heartbeat, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	if d.Commands == nil {
		d.Commands = []wire.Command{}
	}
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, false, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(raw))
	if err != nil {
		return nil, false, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, false, fmt.Errorf("worker %s: %w", addr, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return nil, false, fmt.Errorf("worker %s: %w", addr, err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, false, fmt.Errorf("worker %s: status %d", addr, resp.StatusCode)
	}
	r, err := wire.ParseHeartbeat(body)
	if err != nil {
		return nil, false, fmt.Errorf("worker %s: %w", addr, err)
	}
	return r, resp.StatusCode == http.StatusOK, nil
}
