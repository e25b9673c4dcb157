// Package workerclient sends commands straight to workers, without waiting for their next
// heartbeat. Client sends them; Slots limits how many are open, and queues the machines that
// wait.
package workerclient

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"eiderhitch/internal/httpjson"
	"eiderhitch/internal/wire"
)

const (
	// Timeout bounds a direct command; workers answer within milliseconds.
	Timeout = 2 * time.Second
	// PingTimeout bounds one that only asks whether the machine is there.
	PingTimeout = time.Second

	// maxResponseBytes bounds a heartbeat: machines hold few tasks.
	maxResponseBytes = 8 << 20
)

// Client sends commands to workers. Its methods may be called concurrently.
type Client struct{ http *http.Client }

// NewClient returns a client that sends its requests by transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Send sends commands to the worker at addr (host:port) and returns the worker's heartbeat,
// and whether the commands were executed: they are not if the fencing token is lower than
// one that the worker has seen, or the incarnation is another one. An error means that they
// may have been executed, or may be executed later.
func (c *Client) Send(ctx context.Context, addr string, commands *wire.CommandRequest) (*wire.Heartbeat, bool, error) {
	heartbeat, executed, err := c.send(ctx, addr, commands)
	if err != nil {
		return nil, false, fmt.Errorf("worker %s: %w", addr, err)
	}
	return heartbeat, executed, nil
}

func (c *Client) send(ctx context.Context, addr string, commands *wire.CommandRequest) (*wire.Heartbeat, bool, error) {
	if commands.Commands == nil {
		commands.Commands = []wire.Command{}
	}
	response, err := httpjson.Do(ctx, c.http, httpjson.Request{Method: http.MethodPost, URL: "http://" + addr + "/do", Body: commands,
		Timeout: Timeout, MaxResponseBytes: maxResponseBytes})
	if err != nil {
		return nil, false, err
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return nil, false, &httpjson.StatusError{Status: response.Status}
	}
	heartbeat, err := wire.ParseHeartbeat(response.Body)
	return heartbeat, response.Status == http.StatusOK, err
}
