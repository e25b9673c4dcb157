package autoscaler

const (
	// minIsolatedMachines is how many machines must be out of reach together before that
	// says something of their zone: some may well die at a time.
	minIsolatedMachines = 5
)

// zoneReachability is how many machines there are in a zone, and how many of them can't be
// reached.
type zoneReachability struct{ total, unreachable int }

// isMostlyReachable reports whether at least half of them can be reached.
func (r zoneReachability) isMostlyReachable() bool { return r.unreachable*2 <= r.total }

// machineZone is a machine's zone, if anybody has told it; else "".
func (a *Autoscaler) machineZone(m *Machine) string {
	if inst := a.term.instances[m.Name]; m.Zone == "" && inst != nil {
		return inst.zone
	}
	return m.Zone
}

// IsolatedZones names the zones that seem isolated.
func (a *Autoscaler) IsolatedZones() []string {
	var zones []string
	for zone := range a.term.isolatedZones {
		zones = append(zones, zone)
	}
	return zones
}

// DetectIsolatedZones finds zones that seem isolated: most machines there are out of reach
// while those of another zone are not. What runs in such a zone goes on for as long as its
// controllers may answer heartbeats, and its workers' leases after that, so terminating the
// machines would stop it, and the other zones may have no room to take it. They are kept
// until it must have ended anyhow, and nothing new is launched there. Tasks there are still
// proven gone by leases and agents' incarnations alone.
func (a *Autoscaler) DetectIsolatedZones() {
	zones := a.countMachinesByZone()
	anyZoneReachable := false
	for zone, count := range zones {
		anyZoneReachable = anyZoneReachable || zone != "" && count.isMostlyReachable()
	}
	a.term.isolatedZones = map[string]bool{}
	for zone, count := range zones {
		if zone == "" || !anyZoneReachable || count.isMostlyReachable() || count.unreachable < minIsolatedMachines {
			delete(a.term.isolatedSince, zone)
			continue
		}
		since, known := a.term.isolatedSince[zone]
		if !known {
			since = a.Loop.Now()
			a.term.isolatedSince[zone] = since
			a.Log.Info("zone seems isolated", "zone", zone, "machines", count.total, "out_of_reach", count.unreachable)
		}
		a.term.isolatedZones[zone] = a.Loop.Now().Sub(since) < a.MaxUnreachableWorkDuration
	}
}

// countMachinesByZone counts the machines that owners tell about. Those whose owner has only
// just come do not count: after a crash of all controllers that is so everywhere.
func (a *Autoscaler) countMachinesByZone() map[string]zoneReachability {
	zones := map[string]zoneReachability{}
	a.Machines.EachReportedMachine(func(m ReportedMachine) {
		if m.AwaitingFirstHeartbeat && !m.Unreachable {
			return
		}
		zone := a.machineZone(&m.Machine)
		count := zones[zone]
		count.total++
		if !m.Reachable {
			count.unreachable++
		}
		zones[zone] = count
	})
	return zones
}
