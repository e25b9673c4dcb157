package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"eiderhitch/internal/wire"
)

const (
	// HeartbeatPath is the path at which controllers accept heartbeats.
	HeartbeatPath = "/v1/report"
	// heartbeatTimeout is how long an agent waits for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// retryDelay is how long an agent waits before it sends to another controller after a
	// failed heartbeat.
	retryDelay = time.Second
)

// SetHeartbeatHook sets a function that gets the encoded form of each heartbeat before it is
// sent. Nil removes the hook.
func (a *Agent) SetHeartbeatHook(heartbeatHook func([]byte)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heartbeatHook = heartbeatHook
}

// LastHeartbeat returns the encoded form of the latest heartbeat. Tests resend it to simulate
// duplicates that arrive late.
func (a *Agent) LastHeartbeat() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastHeartbeat
}

// heartbeat returns a heartbeat with the current state of the machine and the next sequence
// number. The caller holds a.mu.
func (a *Agent) heartbeat() wire.Heartbeat {
	a.advance()
	a.sequence++
	h := wire.Heartbeat{Machine: a.instance.Name, Addr: a.instance.Addr, Type: a.instance.Type, Zone: a.instance.Zone, Spot: a.instance.Spot,
		Incarnation: a.incarnation, Sequence: a.sequence, FencingToken: a.fencingToken, Tasks: []wire.TaskStatus{}}
	if !a.terminatesAt.IsZero() {
		left := max(0, time.Until(a.terminatesAt).Seconds())
		h.TerminationNoticeS = &left
	}
	for _, t := range a.tasks {
		h.Tasks = append(h.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Reason: t.exitReason})
	}
	slices.SortFunc(h.Tasks, func(x, y wire.TaskStatus) int { return strings.Compare(x.Task, y.Task) })
	return h
}

// outgoingHeartbeat is a heartbeat that is about to be sent.
type outgoingHeartbeat struct {
	wire.Heartbeat
	raw        []byte // the encoded heartbeat
	controller Controller
	sentAt     time.Time
	hook       func([]byte) // the heartbeat hook; may be nil
}

// prepareHeartbeat returns the next heartbeat, or nil if the machine can't send one.
func (a *Agent) prepareHeartbeat() *outgoingHeartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.faults.isolated || a.terminated || a.faults.isHanging() {
		return nil
	}
	if a.faults.outboundBlocked { // it still tries the controllers in turn
		a.nextController++
		return nil
	}
	out := &outgoingHeartbeat{Heartbeat: a.heartbeat(), sentAt: time.Now(), controller: a.fleet.controllers[a.controllerIndex()], hook: a.heartbeatHook}
	out.raw, _ = json.Marshal(out.Heartbeat) // can't fail: it contains only strings, numbers and booleans
	a.lastHeartbeat = out.raw
	return out
}

// controllerIndex returns the index of the controller that the agent sends heartbeats to.
func (a *Agent) controllerIndex() int { return a.nextController % len(a.fleet.controllers) }

// sendHeartbeat sends a heartbeat and handles the response.
func (a *Agent) sendHeartbeat() {
	out := a.prepareHeartbeat()
	if out == nil {
		return
	}
	if out.hook != nil {
		out.hook(out.raw)
	}
	ctx, cancel := context.WithTimeout(a.fleet.ctx, heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+out.controller.Addr+HeartbeatPath, bytes.NewReader(out.raw))
	if err != nil {
		panic(err) // the controller's address is invalid
	}
	resp, err := a.transport.RoundTrip(req)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.awaitResumed() || a.terminated || a.faults.isolated || ctx.Err() != nil {
		return
	}
	if err != nil || a.faults.inboundBlocked {
		a.tryNextController()
		return
	}
	a.handleResponse(out, resp)
}

// handleResponse handles a controller's response to a heartbeat. The caller holds a.mu.
func (a *Agent) handleResponse(out *outgoingHeartbeat, resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		a.tryNextController()
	case resp.StatusCode == http.StatusOK:
		a.handleAccepted(out, body)
	case resp.StatusCode == http.StatusMisdirectedRequest:
		a.handleRedirect(body)
	default:
		a.tryNextController()
	}
}

// handleAccepted renews the lease and executes the commands in a response. It ignores a
// response to an earlier incarnation and one with an outdated fencing token. The lease is
// renewed from the time when the heartbeat was sent. The caller holds a.mu.
func (a *Agent) handleAccepted(out *outgoingHeartbeat, body []byte) {
	var response wire.HeartbeatResponse
	if json.Unmarshal(body, &response) != nil || response.FencingToken < a.fencingToken || out.Incarnation != a.incarnation {
		return
	}
	a.raiseFencingToken(response.FencingToken)
	if out.sentAt.After(a.leaseRenewedAt) {
		a.leaseRenewedAt = out.sentAt
	}
	a.execute(response.Commands)
}

// raiseFencingToken stores a fencing token if it is higher than the current one. The caller
// holds a.mu.
func (a *Agent) raiseFencingToken(token uint64) {
	if token > a.fencingToken {
		a.fencingToken = token
		a.requestReport()
	}
}

// handleRedirect switches to the controller that a redirect names. If it names no other
// known controller, the agent tries the next one. The caller holds a.mu.
func (a *Agent) handleRedirect(body []byte) {
	var redirect wire.Redirect
	if json.Unmarshal(body, &redirect) == nil {
		index := slices.IndexFunc(a.fleet.controllers, func(c Controller) bool { return c.Name == redirect.Node })
		if index >= 0 && index != a.controllerIndex() {
			a.nextController = index
			a.requestReport()
			return
		}
	}
	a.tryNextController()
}

// tryNextController switches to the next controller after a delay. The caller holds a.mu,
// which is released during the delay.
func (a *Agent) tryNextController() {
	a.nextController++
	a.mu.Unlock()
	time.Sleep(retryDelay)
	a.mu.Lock()
	a.requestReport()
}
