package controller

import (
	"eiderhitch/internal/peer"
)

// buildPeerStatus returns the status that is sent to the peers: what they need to know about this
// controller, its partitions and their machines.
func (c *controller) buildPeerStatus() *peer.Status {
	status := &peer.Status{Node: c.cfg.Name, ProcessID: c.processID, ReplicaIsFresh: c.isFresh(c.operator.LeaseTTL), CanTakePartitions: c.isEligible(), DrainingMachines: c.autoscaler.DrainingMachines()}
	for _, p := range c.partitions {
		if p.token == 0 || !p.takeoverComplete {
			continue
		}
		status.Partitions = append(status.Partitions, uint64(p.index))
		for _, m := range p.machines {
			if c.isReportedToPeers(m, p) {
				status.Machines = append(status.Machines, peer.Machine{Name: m.name, Addr: m.addr, Type: m.machineType, Zone: m.zone, Incarnation: m.incarnation, Flags: c.machineFlags(m, p)})
			}
		}
	}
	return status
}

// isReportedToPeers reports whether the status includes a machine of an owned partition: one that
// has sent a heartbeat to this owner or has tasks bound to it, and whose incarnation is known,
// unless it is terminated or has sent no heartbeat for longer than unresponsiveMachineRetention.
func (c *clusterState) isReportedToPeers(m *machine, p *partition) bool {
	if m.terminated || m.incarnation == 0 || c.now.Sub(c.noHeartbeatSince(m, p)) > unresponsiveMachineRetention {
		return false
	}
	return m.heartbeatAt.After(p.ownedSince) || len(m.bindings) > 0
}

// machineFlags returns the flags of a machine in its owner's status.
func (c *clusterState) machineFlags(m *machine, p *partition) uint8 {
	var flags uint8
	if c.isUsable(m, p) {
		flags |= peer.FlagReachable
	}
	if !m.terminationAt.IsZero() {
		flags |= peer.FlagTerminationNotice
	}
	if m.cordoned {
		flags |= peer.FlagCordoned
	}
	if m.spot {
		flags |= peer.FlagSpot
	}
	if c.isUnreachable(m, p) {
		flags |= peer.FlagUnreachable
	}
	if !m.heartbeatAt.After(p.machineOwnedSince(m)) {
		flags |= peer.FlagAwaitingFirstHeartbeat
	}
	return flags
}

// handlePeerStatus applies a status received from a peer on a connection. The list of draining
// machines is taken from the leader only.
func (c *controller) handlePeerStatus(status *peer.Status, connection peer.ConnectionNumber) {
	if !c.peers.Update(status, connection, c.now) || c.ownerOf(c.leaderKey()) != status.Node {
		return
	}
	c.autoscaler.ObserveDraining(status.DrainingMachines)
}
