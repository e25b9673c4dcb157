package controller

import (
	"context"
	"time"

	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerclient"
)

// sendCommandsNow sends a machine's commands at once, without waiting for its report.
func (c *partitionOwner) sendCommandsNow(m *machine) {
	p := c.partitions[m.partition]
	if p.token == 0 || !p.active || m.terminated || m.addr == "" || !m.heartbeatAt.After(p.ownedSince) {
		return
	}
	if m.direct.inFlight {
		m.direct.repeat = true
		return
	}
	if c.now.Before(m.direct.backoffUntil) || !c.isFresh(c.maxStaleness) {
		return
	}
	if c.directsInFlight >= c.maxDirects {
		c.queueDirect(m)
		return
	}
	if cmds := c.commands(m, p); len(cmds) > 0 {
		c.sendDirect(m, p, cmds)
	}
}

// queueDirect has a machine wait for its turn: so many direct commands are open that
// more would take the sockets of workers and users, since each to a machine that
// is silent holds one until it times out.
func (c *partitionOwner) queueDirect(m *machine) {
	if !m.direct.queued {
		m.direct.queued = true
		c.directQueue = append(c.directQueue, m)
	}
}

// sendQueuedDirect gives those that wait for direct commands their turn.
func (c *partitionOwner) sendQueuedDirect() {
	for n := len(c.directQueue); n > 0 && c.directsInFlight < c.maxDirects; n-- {
		m := c.directQueue[0]
		c.directQueue = c.directQueue[1:]
		m.direct.queued = false
		if ping := m.direct.pingQueued; ping {
			m.direct.pingQueued = false
			if p := c.partitions[m.partition]; p.token != 0 && !m.terminated {
				c.ping(m, p)
			}
			continue
		}
		c.sendCommandsNow(m)
	}
}

// ping tells a machine our token, whether it has something to do or not.
func (c *partitionOwner) ping(m *machine, p *partition) {
	if m.direct.inFlight || c.now.Before(m.direct.backoffUntil) || m.incarnation == 0 || m.addr == "" || !c.isFresh(c.maxStaleness) {
		return
	}
	if c.directsInFlight >= c.maxDirects/2 { // the rest is for commands
		m.direct.pingQueued = true
		c.queueDirect(m)
		return
	}
	c.sendDirect(m, p, nil)
}

func (c *partitionOwner) sendDirect(m *machine, p *partition, cmds []wire.Command) {
	m.direct.inFlight, m.direct.repeat, m.direct.pingQueued = true, false, false
	c.directsInFlight++
	for _, command := range cmds {
		if command.Op == wire.OpStart {
			m.direct.carriesStart = true
		}
	}
	term, addr := p.token, m.addr
	d := &wire.CommandRequest{Token: term, Incarnation: m.incarnation, Commands: cmds}
	// Counted from the decision, not from when it is sent: a process that stood
	// still in between has no right to send it any more.
	limit := workerclient.Timeout
	if len(cmds) == 0 {
		limit = workerclient.PingTimeout
	}
	begun := c.now
	ctx, cancel := context.WithDeadline(c.ctx, begun.Add(limit))
	go func() {
		defer cancel()
		heartbeat, ok, err := c.workerClient.Send(ctx, addr, d)
		c.enqueue(priorityWorkers, func() {
			c.directsInFlight--
			defer c.sendQueuedDirect()
			started := m.direct.carriesStart
			m.direct.inFlight, m.direct.carriesStart = false, false
			if err != nil {
				// The commands may be executed minutes from now, as long as
				// token and session match: until a higher token is seen, no
				// absence from a report proves anything.
				if started {
					m.direct.unansweredStartToken = term
				}
				// With too little processor time it is we who were late: a hundred
				// machines asked at a take-over would all seem dead.
				if !c.laggedSince(begun) {
					m.direct.unanswered++
				}
				if m.direct.unanswered >= unansweredLimit {
					m.direct.backoffUntil = c.now.Add(3 * time.Second)
				}
				c.log.Debug("direct command unanswered", "machine", m.name, "err", err)
				return
			}
			if heartbeat.Machine != m.name {
				return
			}
			if p.token != 0 && heartbeat.Token <= p.token {
				c.applyHeartbeat(m, heartbeat, p, false)
			}
			if m.direct.repeat || !ok {
				m.direct.repeat = false
				c.sendCommandsNow(m)
			}
		})
	}()
}
