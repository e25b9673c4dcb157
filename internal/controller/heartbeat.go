package controller

import (
	"net/http"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/config"
	"eiderhitch/internal/wire"
)

// handleHeartbeat takes a worker's report in and answers it.
func (c *controller) handleHeartbeat(heartbeat *wire.Heartbeat) api.Response {
	c.metrics.count(countHeartbeats, 1)
	c.lastHeartbeatAt = c.now
	defer c.metrics.addBusyTime(activityHeartbeat, time.Now())
	if !c.replica.Loaded() {
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "starting"}
	}
	if refusal, refused := c.refusal(); refused {
		return refusal
	}
	p := c.partitions[c.machineNamed(heartbeat.Machine).partition]
	if p.token == 0 {
		h, ok := c.election.Holder(p.key)
		if !ok || h.Node == c.cfg.Name {
			return api.Response{Status: http.StatusServiceUnavailable, Reason: "no owner"}
		}
		c.metrics.count(countRedirected, 1)
		return api.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{Node: h.Node}}
	}
	if heartbeat.Token > p.token {
		// A later owner has spoken to it: we have been replaced.
		return api.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{}}
	}
	if !c.isFresh(c.maxStaleness) {
		// See MaxStaleness: a user may have been told "cancelled" meanwhile.
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "state service out of reach"}
	}
	m := c.machineNamed(heartbeat.Machine)
	told := m.answeredAt
	newer := c.applyHeartbeat(m, heartbeat, p, true)
	ans := wire.HeartbeatResponse{Token: p.token, Commands: []wire.Command{}}
	// The answer renews the lease from when the report was sent. One that is not
	// new was sent before the newest came in; it may be a copy that comes long
	// after its machine died, which must not put off the proof of that.
	if newer {
		told = c.now
	}
	if told.After(m.leaseRenewedAt) {
		m.leaseRenewedAt = told
	}
	if newer && !m.terminated && p.active {
		ans.Commands = append(ans.Commands, c.commands(m, p)...)
		for _, command := range ans.Commands {
			m.startInResponse = m.startInResponse || command.Op == wire.OpStart
		}
	}
	return api.Response{Status: http.StatusOK, Body: ans}
}

// applyHeartbeat takes in the newest that a machine told; false if it was not new.
func (c *partitionOwner) applyHeartbeat(m *machine, heartbeat *wire.Heartbeat, p *partition, viaReport bool) bool {
	if heartbeat.Incarnation < m.incarnation || heartbeat.Incarnation == m.incarnation && heartbeat.Sequence <= m.sequence {
		return false
	}
	if heartbeat.Incarnation > m.incarnation && m.incarnation > 0 {
		c.log.Info("machine begins a new session", "machine", m.name, "session", heartbeat.Incarnation)
		m.images, m.fetching = map[string]bool{}, map[string]time.Time{}
		m.direct.unansweredStartToken, m.startInResponse = 0, false // commands of an earlier session are refused
		m.leaseExpiredUnheard = !m.leaseRenewedAt.IsZero()          // it lost its lease: did it hear us at all?
	}
	// Most reports say nothing that changes a decision: a tick comes soon enough.
	news := heartbeat.Incarnation != m.incarnation || heartbeat.Token != m.token || (heartbeat.NoticeS == nil) != m.terminationAt.IsZero() || viaReport && !c.usable(m, p)
	m.incarnation, m.sequence, m.token = heartbeat.Incarnation, heartbeat.Sequence, heartbeat.Token
	m.addr, m.machineType, m.zone, m.spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	first := m.heartbeatAt.Before(p.ownedSince)
	m.answeredAt = c.now
	if !viaReport {
		m.leaseExpiredUnheard, m.direct.unanswered = false, 0
	}
	if viaReport {
		m.heartbeatAt = c.now
		m.startInResponse = false
		c.setMachineSize(m)
	}
	if first && viaReport {
		c.log.Debug("machine reports", "machine", m.name, "type", m.machineType, "part", p.index)
	}
	if heartbeat.NoticeS == nil {
		m.terminationAt = time.Time{}
	} else {
		if m.terminationAt.IsZero() {
			c.log.Info("machine will be taken", "machine", m.name, "notice_s", *heartbeat.NoticeS)
		}
		m.terminationAt = c.now.Add(config.Seconds(*heartbeat.NoticeS))
	}
	m.tasks = heartbeat.Tasks
	if p.active && !m.terminated {
		c.reconcile(m, p)
	}
	if viaReport && (m.leaseExpiredUnheard || m.token < p.firstToken) {
		c.ping(m, p) // it answers, and shows our token, if it hears us
	}
	if news {
		c.requestPass()
	}
	return true
}
