package controller

import (
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/wire"
)

// terminateInstances returns machines. Once the cloud has answered they are gone with all
// that was on them, which is stored for their parts' owners to act on. One call
// is on its way at a time, and the next takes all that have come up meanwhile:
// the cloud allows few calls, and a call for each machine had the last of forty
// dead ones wait for twenty seconds.
func (c *autoscaler) terminateInstances(names []string) {
	for _, n := range names {
		if !c.terminating[n] {
			c.terminating[n] = true
			c.toTerminate = append(c.toTerminate, n)
		}
	}
	if c.terminateInFlight || len(c.toTerminate) == 0 {
		return
	}
	batch := c.toTerminate[:min(len(c.toTerminate), cloud.MaxTerminate)]
	c.toTerminate = c.toTerminate[len(batch):]
	c.terminateInFlight = c.queueCloudCall(func() {
		err := c.cloudClient.Terminate(c.ctx, batch)
		c.enqueue(priorityWorkers, func() {
			c.terminateInFlight = false
			if err != nil {
				c.log.Debug("release failed", "machines", len(batch), "err", err)
				c.cancelTermination(batch)
			} else {
				c.log.Info("machines released", "machines", batch)
				c.storeTombstones(batch)
			}
			c.terminateInstances(nil)
		})
	})
	if !c.terminateInFlight {
		c.cancelTermination(batch)
	}
}

// cancelTermination forgets that machines were to be released: if need be they are again.
func (c *clusterState) cancelTermination(names []string) {
	for _, n := range names {
		delete(c.terminating, n)
	}
}

// terminateUnreachable has an owner that hears nothing of the leader return its silent
// machines itself. The leader could not know of them, and their tasks would wait
// for the whole lease.
func (c *autoscaler) terminateUnreachable() {
	if c.leadership.active {
		return
	}
	if leader := c.peers.Peer(c.ownerOf(c.leaderKey())); leader != nil && c.now.Sub(leader.HeardAt) < 4*time.Second {
		return
	}
	var names []string
	for _, p := range c.partitions {
		if !p.active || !c.isFresh(c.operator.LeaseTTL) {
			continue
		}
		for _, m := range p.machines {
			if len(m.bindings) > 0 && c.unreachable(m, p) {
				names = append(names, m.name)
			}
		}
	}
	c.terminateInstances(names)
}

// terminateLost releases machines that are overdue, silent or suspect. Silent ones wait
// for the first list of a new lead: only the list tells the zone of a machine that
// has not reported since a take-over, and its zone may be cut off.
func (c *autoscaler) terminateLost() {
	var names []string
	for name, inst := range c.leadership.instances {
		t := c.machineTypes[inst.machineType]
		// Only its part's owner can tell whether a machine is up: after a
		// take-over a machine may be old and busy and not have reported yet.
		// One that no owner tells of any more died while its part, or itself,
		// changed hands.
		since := inst.launchedAt
		if inst.reported {
			since = inst.seenAt
		}
		if t != nil && !c.leadership.isolatedZones[inst.zone] && c.now.Sub(since) > c.bootTimeout(t) && c.ownerLongInTouch(c.machineNamed(name).partition) {
			names = append(names, name)
		}
	}
	bad := func(m *machine, flags uint8) {
		if flags&peer.Unreachable != 0 && c.leadership.listed && !c.leadership.isolatedZones[c.zoneOf(m)] || flags&peer.Cordoned != 0 && (len(m.bindings) == 0 || c.now.Sub(m.cordonedAt) > 15*time.Second) {
			names = append(names, m.name)
		}
	}
	c.eachReportedMachine(bad)
	c.terminateInstances(names)
}

// bootTimeout is how long a machine may take to come up before it is given back.
func (c *clusterState) bootTimeout(t *wire.MachineType) time.Duration {
	return config.Seconds(c.operator.BootPatience*t.BootS + 10)
}
