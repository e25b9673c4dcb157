package autoscaler

const (
	// minIsolatedMachines is the number of machines of a zone that must not be reachable before
	// the zone can seem isolated. A few machines may fail at the same time for other reasons.
	minIsolatedMachines = 5
)

// zoneReachability counts the machines of a zone and those of them that are not reachable.
type zoneReachability struct{ total, notReachable int }

// isMostlyReachable reports whether at least half of the machines are reachable.
func (r zoneReachability) isMostlyReachable() bool { return r.notReachable*2 <= r.total }

// machineZone returns the zone of a machine from its heartbeats or, failing that, from its
// launch or the instance list. It returns "" if the zone is not known.
func (a *Autoscaler) machineZone(m *Machine) string {
	if inst := a.term.instances[m.Name]; m.Zone == "" && inst != nil {
		return inst.zone
	}
	return m.Zone
}

// IsolatedZones returns the names of the zones that seem isolated, in no particular order.
func (a *Autoscaler) IsolatedZones() []string {
	var zones []string
	for zone := range a.term.isolatedZones {
		zones = append(zones, zone)
	}
	return zones
}

// DetectIsolatedZones finds zones that seem isolated: most of their machines are not reachable
// while at least half of the machines of some other zone are.
//
// Tasks in an isolated zone keep running as long as the controllers in the zone may answer
// heartbeats, and after that until the leases of their workers expire. Terminating the machines
// would stop these tasks, and the other zones may have no capacity for them. The machines are
// therefore kept until the tasks must have ended in any case, and no machines are launched in
// the zone. Whether a task in the zone has ended is still decided only by leases and by the
// agents' incarnations.
func (a *Autoscaler) DetectIsolatedZones() {
	zones := a.countMachinesByZone()
	anyZoneReachable := false
	for zone, count := range zones {
		anyZoneReachable = anyZoneReachable || zone != "" && count.isMostlyReachable()
	}
	a.term.isolatedZones = map[string]bool{}
	for zone, count := range zones {
		if zone == "" || !anyZoneReachable || count.isMostlyReachable() || count.notReachable < minIsolatedMachines {
			delete(a.term.isolatedSince, zone)
			continue
		}
		since, known := a.term.isolatedSince[zone]
		if !known {
			since = a.Loop.Now()
			a.term.isolatedSince[zone] = since
			a.Log.Info("zone seems isolated", "zone", zone, "machines", count.total, "out_of_reach", count.notReachable)
		}
		a.term.isolatedZones[zone] = a.Loop.Now().Sub(since) < a.MaxUnreachableWorkDuration
	}
}

// countMachinesByZone counts the reported machines of each zone. Machines whose owner has only
// just taken over their partition, and has neither received a heartbeat nor found them
// unreachable, are left out: after a crash of all controllers, this is true of all machines.
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
			count.notReachable++
		}
		zones[zone] = count
	})
	return zones
}
