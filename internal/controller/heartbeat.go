package controller

import (
	"net/http"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/config"
	"eiderhitch/internal/wire"
)

// heartbeatSource is how a heartbeat has come.
type heartbeatSource int

const (
	// workerRequest: the worker sent it by itself. The response may renew its lease.
	workerRequest heartbeatSource = iota
	// directCommandResponse: it is the answer to a direct command, which shows that the machine
	// receives what it is sent, and renews no lease.
	directCommandResponse
)

// handleHeartbeat takes a worker's heartbeat in and answers it.
func (c *controller) handleHeartbeat(heartbeat *wire.Heartbeat) api.Response {
	c.metrics.count(countHeartbeats, 1)
	c.lastHeartbeatAt = c.now
	defer c.metrics.addBusyTime(activityHeartbeat, time.Now())
	if !c.replica.Loaded() {
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "starting"}
	}
	if refusal, refused := c.refusalResponse(); refused {
		return refusal
	}
	m := c.getOrAddMachine(heartbeat.Machine)
	p := c.partitions[m.partition]
	if refusal, refused := c.refuseHeartbeat(heartbeat, p); refused {
		return refusal
	}
	// The response renews the lease from when the heartbeat was sent. One that is not new
	// was sent before the newest came in. It may be a copy that arrives long after its
	// machine died, and must not put off the proof that the machine's lease has expired.
	sentBefore := m.lastMessageAt
	newer := c.applyHeartbeat(m, heartbeat, p, workerRequest)
	if newer {
		sentBefore = c.now
	}
	if sentBefore.After(m.leaseRenewedAt) {
		m.leaseRenewedAt = sentBefore
	}
	response := wire.HeartbeatResponse{Token: p.token, Commands: []wire.Command{}}
	if newer && !m.terminated && p.takeoverComplete {
		response.Commands = append(response.Commands, c.commandsFor(m, p)...)
		for _, command := range response.Commands {
			m.responseCarriesStart = m.responseCarriesStart || isStartCommand(command)
		}
	}
	return api.Response{Status: http.StatusOK, Body: response}
}

// refuseHeartbeat returns the response to a heartbeat that this controller may not act on.
func (c *controller) refuseHeartbeat(heartbeat *wire.Heartbeat, p *partition) (refusal api.Response, refused bool) {
	if p.token == 0 {
		holder, ok := c.election.Holder(p.key)
		if !ok || holder.Node == c.cfg.Name {
			return api.Response{Status: http.StatusServiceUnavailable, Reason: "no owner"}, true
		}
		c.metrics.count(countRedirectedHeartbeats, 1)
		return api.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{Node: holder.Node}}, true
	}
	if heartbeat.Token > p.token {
		// A later owner has spoken to it: this one has been replaced.
		return api.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{}}, true
	}
	if !c.isFresh(c.maxStaleness) {
		// Somebody may have told a user "cancelled" meanwhile: see config.MaxStaleness.
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "state service out of reach"}, true
	}
	return api.Response{}, false
}

// applyHeartbeat takes in what a machine says, if it is newer than what is known of it, and
// tells whether it is.
func (c *partitionOwner) applyHeartbeat(m *machine, heartbeat *wire.Heartbeat, p *partition, source heartbeatSource) bool {
	if !m.isNewer(heartbeat) {
		return false
	}
	if heartbeat.Incarnation > m.incarnation && m.incarnation > 0 {
		c.handleNewIncarnation(m, heartbeat.Incarnation)
	}
	changesDecisions := c.affectsScheduling(m, heartbeat, p, source)
	m.updateIdentity(heartbeat)
	m.tasks = heartbeat.Tasks
	m.lastMessageAt = c.now
	switch source {
	case workerRequest:
		c.recordWorkerRequest(m, p)
	case directCommandResponse:
		m.leaseLostWhileHeard, m.commandState.unanswered = false, 0
	}
	c.updateTerminationNotice(m, heartbeat.NoticeS)
	if p.takeoverComplete && !m.terminated {
		c.reconcile(m, p)
	}
	if source == workerRequest && (m.leaseLostWhileHeard || !p.isOwnToken(m.token)) {
		c.ping(m, p) // if it receives anything, its answer shows the present token
	}
	if changesDecisions {
		c.requestSchedulingPass()
	}
	return true
}

// isNewer tells whether a heartbeat is newer than all that the machine has sent so far.
func (m *machine) isNewer(heartbeat *wire.Heartbeat) bool {
	return heartbeat.Incarnation > m.incarnation ||
		heartbeat.Incarnation == m.incarnation && heartbeat.Sequence > m.sequence
}

// updateIdentity takes in what a heartbeat says of the machine and its agent.
func (m *machine) updateIdentity(heartbeat *wire.Heartbeat) {
	m.incarnation = heartbeat.Incarnation
	m.sequence = heartbeat.Sequence
	m.token = heartbeat.Token
	m.addr = heartbeat.Addr
	m.machineType = heartbeat.Type
	m.zone = heartbeat.Zone
	m.spot = heartbeat.Spot
}

// beginIncarnation notes that a machine's lease expired: its agent has ended all tasks and
// forgotten them, and refuses what is sent to the earlier incarnation.
func (c *partitionOwner) handleNewIncarnation(m *machine, incarnation uint64) {
	c.log.Info("machine begins a new incarnation", "machine", m.name, "incarnation", incarnation)
	m.cachedImages, m.fetchStartedAt = map[string]bool{}, map[string]time.Time{}
	m.commandState.unansweredStartToken, m.responseCarriesStart = 0, false
	m.leaseLostWhileHeard = !m.leaseRenewedAt.IsZero()
}

// changesDecisions tells whether a heartbeat asks for a scheduling pass. Most say nothing
// that changes a decision, and for them the next timer comes soon enough.
func (c *partitionOwner) affectsScheduling(m *machine, heartbeat *wire.Heartbeat, p *partition, source heartbeatSource) bool {
	noticed, known := heartbeat.NoticeS != nil, !m.terminationAt.IsZero()
	return heartbeat.Incarnation != m.incarnation || heartbeat.Token != m.token || noticed != known ||
		source == workerRequest && !c.isUsable(m, p)
}

// recordWorkerRequest notes that a machine has sent a heartbeat by itself.
func (c *partitionOwner) recordWorkerRequest(m *machine, p *partition) {
	first := m.heartbeatAt.Before(p.ownedSince)
	m.heartbeatAt = c.now
	m.responseCarriesStart = false
	c.setMachineSize(m)
	if first {
		c.log.Debug("first heartbeat of a machine", "machine", m.name, "type", m.machineType, "partition", p.index)
	}
}

// updateTerminationNotice notes in how many seconds the cloud takes a machine; nil: it has no
// notice.
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
