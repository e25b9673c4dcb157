package controller

import "eiderhitch/internal/peer"

// minIsolatedMachines is how many machines must be out of reach together before that says
// something of their zone: some may well die at a time.
const minIsolatedMachines = 5

// zoneOf is a machine's zone, if anybody has told it.
func (c *leader) zoneOf(m *machine) string {
	if inst := c.leadership.instances[m.name]; m.zone == "" && inst != nil {
		return inst.zone
	}
	return m.zone
}

// detectIsolatedZones finds zones that seem to be cut off: most machines there are out of
// reach while those of another zone are not. What runs in such a zone goes on for
// as long as its controllers may answer, and its workers' leases after that, so
// returning the machines would stop it, and the other zones may have no room to
// take it. They are kept until it must have ended anyhow, and nothing new is rented
// there. Tasks there are still proven gone by leases and sessions alone.
func (c *leader) detectIsolatedZones() {
	out, all := map[string]int{}, map[string]int{}
	c.eachReportedMachine(func(m *machine, flags uint8) {
		if flags&peer.NotHeardYet != 0 && flags&peer.Unreachable == 0 {
			return // its owner has only just come; after a crash of all that is so everywhere
		}
		z := c.zoneOf(m)
		all[z]++
		if flags&peer.Reachable == 0 {
			out[z]++
		}
	})
	heard := false // some zone is well
	for z, n := range all {
		heard = heard || z != "" && out[z]*2 <= n
	}
	c.leadership.isolatedZones = map[string]bool{}
	for z, n := range all {
		if z == "" || !heard || out[z]*2 <= n || out[z] < minIsolatedMachines {
			delete(c.leadership.isolatedSince, z)
			continue
		}
		since, ok := c.leadership.isolatedSince[z]
		if !ok {
			since = c.now
			c.leadership.isolatedSince[z] = since
			c.log.Info("zone seems to be cut off", "zone", z, "machines", n, "out_of_reach", out[z])
		}
		c.leadership.isolatedZones[z] = c.now.Sub(since) < c.maxStaleness+c.leaseExpiry
	}
}
