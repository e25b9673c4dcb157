// Package workerclient sends commands directly to workers instead of waiting for their next
// heartbeat. Client sends them. Slots limits how many are in progress and queues the machines that
// wait for a slot.
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
	// Timeout is the timeout of a direct command. Workers normally respond within milliseconds.
	Timeout = 2 * time.Second
	// PingTimeout is the timeout of a ping, a direct command that only checks whether the machine
	// responds.
	PingTimeout = time.Second

	// maxResponseBytes is the maximum size of the heartbeat in a response. It is ample, since a
	// machine holds few tasks.
	maxResponseBytes = 8 << 20
)

// Client sends commands to workers. Its methods may be called concurrently.
type Client struct{ httpClient *http.Client }

// NewClient returns a Client that sends its requests through transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{httpClient: &http.Client{Transport: transport}}
}

// Send sends commands to the worker at addr (host:port). It returns the worker's heartbeat and
// whether the worker executed the commands. The worker doesn't execute them if it has seen a higher
// fencing token or has a different incarnation. If Send returns an error, the commands may have been
// executed already, or may still be executed later.
func (c *Client) Send(ctx context.Context, addr string, commands *wire.CommandRequest) (*wire.Heartbeat, bool, error) {
	heartbeat, executed, err := c.send(ctx, addr, commands)
	if err != nil {
		return nil, false, fmt.Errorf("worker %s: %w", addr, err)
	}
	return heartbeat, executed, nil
}

// send does the work of Send, without naming the worker in its errors.
func (c *Client) send(ctx context.Context, addr string, commands *wire.CommandRequest) (*wire.Heartbeat, bool, error) {
	if commands.Commands == nil {
		commands.Commands = []wire.Command{}
	}
	response, err := httpjson.Do(ctx, c.httpClient, httpjson.Request{Method: http.MethodPost, URL: "http://" + addr + "/do", Body: commands,
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
