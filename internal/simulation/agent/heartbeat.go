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
	// HeartbeatPath is where controllers take heartbeats.
	HeartbeatPath = "/v1/report"
	// heartbeatTimeout is for how long an agent waits for an answer.
	heartbeatTimeout = 4 * time.Second
	// retryPause is how long it waits before it tries another controller.
	retryPause = time.Second
)

// SetHeartbeatHook has f handed each heartbeat as it is sent; nil: nobody.
func (a *Agent) SetHeartbeatHook(f func([]byte)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onHeartbeat = f
}

// LastHeartbeat is the newest heartbeat as it was sent, for copies that come late.
func (a *Agent) LastHeartbeat() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastHeartbeat
}

// heartbeat is the state of the machine now; called with the lock held.
func (a *Agent) heartbeat() wire.Heartbeat {
	a.advance()
	a.sequence++
	h := wire.Heartbeat{Machine: a.instance.Name, Addr: a.instance.Addr, Type: a.instance.Type, Zone: a.instance.Zone, Spot: a.instance.Spot,
		Incarnation: a.incarnation, Sequence: a.sequence, FencingToken: a.token, Tasks: []wire.TaskStatus{}}
	if !a.terminatesAt.IsZero() {
		left := max(0, time.Until(a.terminatesAt).Seconds())
		h.TerminationNoticeS = &left
	}
	for _, t := range a.tasks {
		h.Tasks = append(h.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Reason: t.reason})
	}
	slices.SortFunc(h.Tasks, func(x, y wire.TaskStatus) int { return strings.Compare(x.Task, y.Task) })
	return h
}

// outgoing is a heartbeat on its way.
type outgoing struct {
	wire.Heartbeat
	raw    []byte
	to     Controller
	sentAt time.Time
	copyTo func([]byte)
}

// prepareHeartbeat is the next heartbeat; nil: the machine can't send one.
func (a *Agent) prepareHeartbeat() *outgoing {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.faults.isolated || a.terminated || a.faults.isHanging() {
		return nil
	}
	if a.faults.notSending { // it tries the controllers in turn
		a.controller++
		return nil
	}
	out := &outgoing{Heartbeat: a.heartbeat(), sentAt: time.Now(), to: a.fleet.controllers[a.controllerIndex()], copyTo: a.onHeartbeat}
	out.raw, _ = json.Marshal(out.Heartbeat) // it is made of strings and numbers
	a.lastHeartbeat = out.raw
	return out
}

// controllerIndex is the index of the controller that the agent reports to.
func (a *Agent) controllerIndex() int { return a.controller % len(a.fleet.controllers) }

// sendHeartbeat sends a heartbeat and does what the answer says.
func (a *Agent) sendHeartbeat() {
	out := a.prepareHeartbeat()
	if out == nil {
		return
	}
	if out.copyTo != nil {
		out.copyTo(out.raw)
	}
	ctx, cancel := context.WithTimeout(a.fleet.ctx, heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+out.to.Addr+HeartbeatPath, bytes.NewReader(out.raw))
	if err != nil {
		panic(err) // the controller's address is no address
	}
	resp, err := a.transport.RoundTrip(req)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.awaitResumed() || a.terminated || a.faults.isolated || ctx.Err() != nil {
		return
	}
	if err != nil || a.faults.notReceiving {
		a.tryNextController()
		return
	}
	a.handleResponse(out, resp)
}

// handleResponse does what a controller's answer says; called with the lock held.
func (a *Agent) handleResponse(out *outgoing, resp *http.Response) {
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

// handleAccepted renews the lease and executes the commands of an answer.
func (a *Agent) handleAccepted(out *outgoing, body []byte) {
	var answer wire.HeartbeatResponse
	if json.Unmarshal(body, &answer) != nil || answer.FencingToken < a.token || out.Incarnation != a.incarnation {
		return
	}
	a.raiseToken(answer.FencingToken)
	if out.sentAt.After(a.renewedAt) {
		a.renewedAt = out.sentAt
	}
	a.execute(answer.Commands)
}

// raiseToken notes a newer fencing token.
func (a *Agent) raiseToken(token uint64) {
	if token > a.token {
		a.token = token
		a.reportSoon()
	}
}

// handleRedirect turns to the controller that an answer names.
func (a *Agent) handleRedirect(body []byte) {
	var redirect wire.Redirect
	if json.Unmarshal(body, &redirect) == nil {
		index := slices.IndexFunc(a.fleet.controllers, func(c Controller) bool { return c.Name == redirect.Node })
		if index >= 0 && index != a.controllerIndex() {
			a.controller = index
			a.reportSoon()
			return
		}
	}
	a.tryNextController()
}

// tryNextController turns to the next controller after a pause; called with the lock held,
// which it lets go meanwhile.
func (a *Agent) tryNextController() {
	a.controller++
	a.mu.Unlock()
	time.Sleep(retryPause)
	a.mu.Lock()
	a.reportSoon()
}
