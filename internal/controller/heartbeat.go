package controller

import (
	"net/http"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/config"
	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerlease"
)

// heartbeatSource says how a heartbeat reached the controller.
type heartbeatSource int

const (
	// workerRequest is a heartbeat that the worker sent on its own. The response may renew the
	// worker's lease.
	workerRequest heartbeatSource = iota
	// directCommandResponse is a heartbeat in the answer to a direct command. It proves that
	// the machine receives requests, but renews no lease.
	directCommandResponse
)

// String returns the text of the source in log lines.
func (s heartbeatSource) String() string {
	if s == directCommandResponse {
		return "direct answer"
	}
	return "heartbeat"
}

// sighting returns how a heartbeat from this source shows a session.
func (s heartbeatSource) sighting() workerlease.Sighting {
	if s == directCommandResponse {
		return workerlease.SeenInDirectAnswer
	}
	return workerlease.SeenInHeartbeat
}

// handleHeartbeat applies a worker's heartbeat and returns the response. The response carries
// commands only if the heartbeat is newer than all earlier ones, the machine is not terminated and
// the takeover of its partition is complete.
func (c *controller) handleHeartbeat(heartbeat *wire.Heartbeat) api.Response {
	c.metrics.count(countHeartbeats, 1)
	c.lastHeartbeatAt = c.now
	defer c.metrics.addBusyTime(activityHeartbeat, time.Now())
	if !c.replica.IsLoaded() {
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "starting"}
	}
	if refusal, refused := c.servingErrorResponse(); refused {
		return refusal
	}
	m := c.getOrAddMachine(heartbeat.Machine)
	p := c.partitions[m.partition]
	if refusal, refused := c.refuseHeartbeat(heartbeat, m, p); refused {
		return refusal
	}
	// The response renews the lease from the time the heartbeat was sent. An outdated heartbeat
	// was sent before the newest one arrived. It may be a copy that arrives long after its
	// machine died, and must not delay the proof that the machine's lease has expired.
	sentBefore := m.lastMessageAt
	newer := c.applyHeartbeat(m, heartbeat, p, workerRequest)
	if newer {
		sentBefore = c.now
	}
	m.lease.Renew(sentBefore)
	response := wire.HeartbeatResponse{Commands: []wire.Command{}}
	if newer && !m.terminated && p.takeoverComplete {
		response.Commands = append(response.Commands, c.commandsFor(m, p)...)
		for _, command := range response.Commands {
			m.responseCarriesStart = m.responseCarriesStart || isStartCommand(command)
		}
		if len(response.Commands) > 0 {
			c.log.Debug("commands in a heartbeat response", "machine", m.name, "incarnation", m.incarnation, "token", p.commandToken(m),
				"revision", c.replica.Cursor(), "read_age_ms", c.replica.ReadAge(c.now).Milliseconds(), "commands", response.Commands)
		}
	}
	response.FencingToken = p.commandToken(m) // the commands may have raised it
	return api.Response{Status: http.StatusOK, Body: response}
}

// refuseHeartbeat returns the response to a heartbeat that this controller must not act on.
// refused is false if it may act on it.
func (c *controller) refuseHeartbeat(heartbeat *wire.Heartbeat, m *machine, p *partition) (refusal api.Response, refused bool) {
	if p.token == 0 {
		holder, ok := c.election.Holder(p.key)
		if !ok || holder.Node == c.cfg.Name {
			return api.Response{Status: http.StatusServiceUnavailable, Reason: "no owner"}, true
		}
		c.metrics.count(countRedirectedHeartbeats, 1)
		return api.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{Node: holder.Node}}, true
	}
	if !c.coversToken(m, p, heartbeat.FencingToken) {
		// A later owner has contacted the machine, so this controller has been replaced.
		return api.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{}}, true
	}
	if !c.isFresh(c.maxStaleness) {
		// Another controller may have confirmed a cancellation to a user since the last read;
		// see config.MaxStaleness.
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "state service out of reach"}, true
	}
	return api.Response{}, false
}

// applyHeartbeat updates the state of a machine from a heartbeat and reports whether the
// heartbeat was newer than what was known.
func (c *partitionOwner) applyHeartbeat(m *machine, heartbeat *wire.Heartbeat, p *partition, source heartbeatSource) bool {
	if !m.isNewer(heartbeat) {
		return false
	}
	if heartbeat.Incarnation > m.incarnation && m.incarnation > 0 {
		c.handleNewIncarnation(m, heartbeat.Incarnation, source)
	}
	needsPass := c.affectsScheduling(m, heartbeat, p, source)
	m.updateIdentity(heartbeat)
	m.lease.SeeSession(heartbeat.Incarnation, c.now, source.sighting())
	m.tasks = heartbeat.Tasks
	m.lastMessageAt = c.now
	switch source {
	case workerRequest:
		c.recordWorkerRequest(m, p)
	case directCommandResponse:
		m.hasMissedResponses, m.commandState.unanswered = false, 0
	}
	c.updateTerminationNotice(m, heartbeat.TerminationNoticeS)
	if p.takeoverComplete && !m.terminated {
		c.reconcile(m, p)
	}
	if source == workerRequest && (m.hasMissedResponses || !p.isOwnToken(m, m.token)) {
		c.ping(m, p) // an answer proves that the machine receives requests and has seen the current token
	}
	if needsPass {
		c.requestSchedulingPass()
	}
	return true
}

// isNewer reports whether a heartbeat is newer than all heartbeats received from the machine so
// far.
func (m *machine) isNewer(heartbeat *wire.Heartbeat) bool {
	return heartbeat.Incarnation > m.incarnation ||
		heartbeat.Incarnation == m.incarnation && heartbeat.Sequence > m.sequence
}

// updateIdentity takes over what a heartbeat says about the machine and its agent.
func (m *machine) updateIdentity(heartbeat *wire.Heartbeat) {
	m.incarnation = heartbeat.Incarnation
	m.sequence = heartbeat.Sequence
	m.token = heartbeat.FencingToken
	m.addr = heartbeat.Addr
	m.machineType = heartbeat.Type
	m.zone = heartbeat.Zone
	m.spot = heartbeat.Spot
}

// handleNewIncarnation handles an agent's new incarnation, which means that its lease had
// expired: the agent has stopped and forgotten all of its tasks, and rejects commands for the
// previous incarnation.
func (c *partitionOwner) handleNewIncarnation(m *machine, incarnation uint64, source heartbeatSource) {
	c.log.Info("machine begins a new incarnation", "machine", m.name, "incarnation", incarnation, "shown_by", source)
	m.cachedImages, m.fetchStartedAt = map[string]bool{}, map[string]time.Time{}
	m.commandState.unansweredStartToken, m.commandState.directStartToken, m.responseCarriesStart = 0, 0, false
	m.hasMissedResponses = m.lease.HasBeenRenewed()
}

// affectsScheduling reports whether a heartbeat requires a scheduling pass. Most heartbeats
// change no scheduling decision and can wait for the next timer.
func (c *partitionOwner) affectsScheduling(m *machine, heartbeat *wire.Heartbeat, p *partition, source heartbeatSource) bool {
	hasNotice, hadNotice := heartbeat.TerminationNoticeS != nil, !m.terminationAt.IsZero()
	return heartbeat.Incarnation != m.incarnation || heartbeat.FencingToken != m.token || hasNotice != hadNotice ||
		source == workerRequest && !c.isUsable(m, p)
}

// recordWorkerRequest records that the machine sent a heartbeat on its own.
func (c *partitionOwner) recordWorkerRequest(m *machine, p *partition) {
	first := m.heartbeatAt.Before(p.ownedSince)
	m.heartbeatAt, m.heartbeatIncarnation = c.now, m.incarnation
	m.responseCarriesStart = false
	c.setMachineSize(m)
	if first {
		c.log.Debug("first heartbeat of a machine", "machine", m.name, "type", m.machineType, "partition", p.index)
	}
}

// updateTerminationNotice sets the time at which the cloud terminates the machine. noticeS is
// the remaining time in seconds; nil means that there is no notice.
func (c *partitionOwner) updateTerminationNotice(m *machine, noticeS *float64) {
	if noticeS == nil {
		m.terminationAt = time.Time{}
		return
	}
	if m.terminationAt.IsZero() {
		c.log.Info("machine has a termination notice", "machine", m.name, "notice_s", *noticeS)
	}
	m.terminationAt = c.now.Add(config.Seconds(*noticeS))
}
