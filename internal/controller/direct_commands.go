package controller

import (
	"context"
	"slices"
	"time"

	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerclient"
)

const (
	// unansweredLimit is how many consecutive direct commands a machine has to leave unanswered
	// to count as not receiving. A single one may be lost to momentary congestion.
	unansweredLimit = 2
	// unansweredBackoff is how long a machine then gets no direct commands, because each of them
	// holds a slot until it times out.
	unansweredBackoff = 3 * time.Second
)

// directRequest is a request in flight that carries direct commands, or a ping.
type directRequest struct {
	machine   *machine
	partition *partition
	token     uint64 // the token that it carries
	sentAt    time.Time
}

// sendCommandsNow sends a machine's commands at once, instead of with the response to its next
// heartbeat. If a request to the machine is in flight, the commands are sent after it.
func (c *partitionOwner) sendCommandsNow(m *machine) {
	p := c.partitions[m.partition]
	if p.token == 0 || !p.takeoverComplete || m.terminated || m.addr == "" || !m.heartbeatAt.After(p.ownedSince) {
		return
	}
	if m.commandState.inFlight {
		m.commandState.sendAgain = true
		return
	}
	if c.now.Before(m.commandState.backoffUntil) || !c.isFresh(c.maxStaleness) {
		return
	}
	if !c.directSlots.HasAvailable(workerclient.PurposeCommands) {
		c.directSlots.Enqueue(m, workerclient.PurposeCommands)
		return
	}
	if commands := directCommands(c.commandsFor(m, p)); len(commands) > 0 {
		c.sendDirectRequest(m, p, commands)
	}
}

// sendQueuedRequests sends requests to the machines that wait for a slot, as long as slots are
// available.
func (c *partitionOwner) sendQueuedRequests() {
	for n := c.directSlots.QueueLength(); n > 0 && c.directSlots.HasAvailable(workerclient.PurposeCommands); n-- {
		m, purpose := c.directSlots.Dequeue()
		if purpose == workerclient.PurposeCommands {
			c.sendCommandsNow(m)
		} else if p := c.partitions[m.partition]; p.token != 0 && !m.terminated {
			c.ping(m, p)
		}
	}
}

// ping sends a machine the partition's token without commands. The machine's answer is handled
// like a heartbeat, except that it does not renew the lease.
func (c *partitionOwner) ping(m *machine, p *partition) {
	if m.commandState.inFlight || c.now.Before(m.commandState.backoffUntil) || m.incarnation == 0 || m.addr == "" || !c.isFresh(c.maxStaleness) {
		return
	}
	if !c.directSlots.HasAvailable(workerclient.PurposePing) {
		c.directSlots.Enqueue(m, workerclient.PurposePing)
		return
	}
	c.sendDirectRequest(m, p, nil)
}

// sendDirectRequest sends commands to a machine, or a ping if there are none. The result is
// handled on the event loop.
func (c *partitionOwner) sendDirectRequest(m *machine, p *partition, commands []wire.Command) {
	c.directSlots.Acquire(m)
	m.commandState.inFlight, m.commandState.sendAgain = true, false
	m.commandState.carriesStart = slices.ContainsFunc(commands, isStartCommand)
	request := directRequest{machine: m, partition: p, token: p.commandToken(m), sentAt: c.now}
	if m.commandState.carriesStart {
		m.commandState.directStartToken = request.token
	}
	body := &wire.CommandRequest{FencingToken: request.token, Incarnation: m.incarnation, Commands: commands}
	timeout := workerclient.Timeout
	if len(commands) == 0 {
		timeout = workerclient.PingTimeout
	}
	if len(commands) > 0 {
		c.log.Debug("direct commands sent", "machine", m.name, "incarnation", m.incarnation, "token", request.token,
			"revision", c.replica.Cursor(), "read_age_ms", c.replica.ReadAge(c.now).Milliseconds(), "commands", commands)
	}
	addr := m.addr
	// The deadline counts from the decision, not from the time of sending: a process that was
	// suspended in between must not send commands that may have been revoked meanwhile.
	ctx, cancel := context.WithDeadline(c.ctx, request.sentAt.Add(timeout))
	go func() {
		defer cancel()
		heartbeat, executed, err := c.workerClient.Send(ctx, addr, body)
		c.enqueue(priorityWorkers, func() {
			c.directSlots.Release()
			if err != nil {
				c.handleDirectFailure(request, err)
			} else {
				c.handleDirectAnswer(request, heartbeat, executed)
			}
			c.sendQueuedRequests()
		})
	}()
}

func isStartCommand(command wire.Command) bool  { return command.Op == wire.OpStart }
func isForgetCommand(command wire.Command) bool { return command.Op == wire.OpForget }

// directCommands returns the commands that a direct request may carry, which the network may
// repeat minutes later. A forget command is among them only if the same request starts a later
// attempt of the task: repeated, it can't make the worker forget an attempt that is bound again,
// as the replacement of a gang's task may be. All others wait for the next heartbeat response,
// which is never executed late.
func directCommands(commands []wire.Command) []wire.Command {
	return slices.DeleteFunc(slices.Clone(commands), func(command wire.Command) bool {
		startsLaterAttempt := func(other wire.Command) bool {
			return isStartCommand(other) && other.Task == command.Task && other.Attempt > command.Attempt
		}
		return isForgetCommand(command) && !slices.ContainsFunc(commands, startsLaterAttempt)
	})
}

// handleDirectFailure handles a request that got no response. Its commands may be executed
// minutes later, as long as token and incarnation match: until the machine has received a higher
// token, the absence of a task from its heartbeats proves nothing.
func (c *partitionOwner) handleDirectFailure(request directRequest, err error) {
	m := request.machine
	if m.commandState.carriesStart {
		m.commandState.unansweredStartToken = request.token
	}
	m.commandState.inFlight, m.commandState.carriesStart = false, false
	// A controller with too little processor time may not have handled the response yet. Without
	// this check, hundreds of machines that are pinged after a failover would all seem unreachable.
	if !c.hasLaggedSince(request.sentAt) {
		m.commandState.unanswered++
	}
	if m.commandState.unanswered >= unansweredLimit {
		m.commandState.backoffUntil = c.now.Add(unansweredBackoff)
	}
	c.log.Debug("direct command unanswered", "machine", m.name, "err", err)
}

// handleDirectAnswer applies the heartbeat in a machine's answer. It then sends the commands that
// were requested while the request was in flight, or that were not executed.
func (c *partitionOwner) handleDirectAnswer(request directRequest, heartbeat *wire.Heartbeat, executed bool) {
	m, p := request.machine, request.partition
	m.commandState.inFlight, m.commandState.carriesStart = false, false
	if heartbeat.Machine != m.name {
		return // the address now belongs to another machine
	}
	// The machine may have changed partitions since the request was sent.
	if p.token != 0 && m.partition == p.index && c.coversToken(m, p, heartbeat.FencingToken) {
		c.applyHeartbeat(m, heartbeat, p, directCommandResponse)
	}
	if m.commandState.sendAgain || !executed {
		m.commandState.sendAgain = false
		c.sendCommandsNow(m)
	}
}
