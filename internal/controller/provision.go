package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/core"
	"eiderhitch/internal/mesh"
	"eiderhitch/internal/wire"
)

// rented is a machine that the cloud has given us, as far as the leader knows.
type instance struct {
	machineType, zone string
	spot              bool
	launchedAt        time.Time
	reported          bool      // it has reported to its owner
	seenAt            time.Time // when its owner last told of it
	listed            bool
}

// provision rents for what found no room and returns what is not wanted.
func (b *controller) scale(hosts []*core.MachineSummary, wants []core.Demand) {
	if len(b.machineTypes) == 0 {
		return
	}
	plan := core.ScalingPlan{Machines: append(slices.Clone(hosts), b.booting()...), Offers: b.offers(), RunningByClass: map[string]int{}, Launches: map[core.Offer]int{}}
	for r := range b.allGroups() {
		if r.job.spec != nil {
			plan.RunningByClass[r.job.spec.Class] += r.boundTasks()
		}
	}
	for _, w := range wants {
		plan.Place(w)
	}
	for _, w := range b.leadership.gangReserve.shortfall {
		plan.Place(w)
	}
	short := plan.Shortage
	spare, level := b.headroom()
	core.CountLowerPriorityAsFree(plan.Machines, level)
	for _, w := range spare {
		plan.Place(w)
	}
	// A new leader does not know yet what is up or booting: it would rent all
	// of it once more.
	// Nor does one after a long outage, in which no reports were taken.
	known := b.leadership.listed && b.allOwnersInTouch() || b.now.Sub(b.leadership.since) > launchDelayAfterFailover
	if known && b.now.Sub(b.heartbeatsResumedAt) > b.heartbeatOverdueAfter()+2*time.Second {
		for o, n := range plan.Launches {
			b.launchInstances(o, min(n, 50))
		}
	}
	// What a record that can't be decoded binds may run on a machine that seems idle: it
	// was returned, and the tasks were lost.
	if len(b.rollout.unreadable) > 0 {
		return
	}
	b.drainSurplus(hosts, spare, level, short)
	b.terminateIdle(hosts)
}

// settleAfter is how long a new leader waits for the list of machines and for
// the parts' owners before it rents.
const launchDelayAfterFailover = 10 * time.Second

// closeSpare empties machines that the fleet has not needed of late: one takes no
// more work, and is returned when it is empty.
func (b *controller) drainSurplus(hosts []*core.MachineSummary, spare []core.Demand, level int, short bool) {
	if b.leadership.draining == nil {
		b.leadership.draining = map[string]bool{}
	}
	b.draining = b.leadership.draining
	if short {
		clear(b.leadership.draining)
		b.leadership.freeHistory.Reset()
		return
	}
	free := int64(0)
	window := time.Duration(0)
	for _, h := range hosts {
		if !b.leadership.draining[b.machineByIndex[h.ID].name] {
			free += h.Size.CPU - h.Used().CPU
		}
		window = max(window, b.idleTimeout(b.machineTypes[h.Type], false))
	}
	for _, w := range spare {
		free -= w.TaskSize.CPU * int64(w.Count)
	}
	age := b.now.Sub(b.leadership.since)
	least, ok := b.leadership.freeHistory.Add(age.Seconds(), free, window.Seconds())
	if !ok || age < window {
		return // not seen for long enough
	}
	best := core.LeastUsed(hosts, least, level, func(h *core.MachineSummary) bool {
		return h.Partition != b.loanPartition() && !b.leadership.draining[b.machineByIndex[h.ID].name]
	})
	if best == nil {
		return
	}
	name := b.machineByIndex[best.ID].name
	b.leadership.draining[name] = true
	b.leadership.freeHistory.Subtract(best.Size.CPU - best.Used().CPU)
	b.log.Info("machine is emptied to be returned", "machine", name, "spare_cpus", least/1000)
}

// headroom keeps room for services to come.
func (b *controller) headroom() (out []core.Demand, level int) {
	level = math.MaxInt
	byClass := map[string]*core.Demand{}
	var order []string
	for _, j := range b.unfinished {
		if j.finalState != unfinishedJob || j.spec == nil || !j.spec.Service {
			continue
		}
		w := byClass[j.spec.Class]
		if w == nil {
			x := b.demand(j, "", 0)
			w = &x
			byClass[j.spec.Class] = w
			order = append(order, j.spec.Class)
		}
		w.Count += j.spec.Tasks
		level = min(level, j.spec.Priority)
	}
	slices.Sort(order)
	for _, c := range order {
		w := byClass[c]
		w.Count = core.Headroom(w.Count, b.operator.HeadroomOf(c))
		out = append(out, *w)
	}
	return out, level
}

// bootLimit is how long a machine may take to come up before it is given back.
func (b *controller) bootTimeout(t *wire.MachineType) time.Duration {
	return config.Seconds(b.operator.BootPatience*t.BootS + 10)
}

// usualBoot is how many of its nominal boot times a machine usually takes at
// the most.
const usualBootFactor = 1.6

// booting are machines that are rented and have not reported yet.
func (b *controller) booting() []*core.MachineSummary {
	var out []*core.MachineSummary
	for name, r := range b.leadership.instances {
		t := b.machineTypes[r.machineType]
		// One that is well past its usual time is not counted on any more.
		if r.reported || t == nil || b.terminating[name] || b.now.Sub(r.launchedAt) > config.Seconds(usualBootFactor*t.BootS) {
			continue
		}
		size := core.NewResources(t.CPUs, t.GPUs, t.RAM)
		out = append(out, &core.MachineSummary{ID: -1, Type: r.machineType, Zone: r.zone, Spot: r.spot, Size: size, Free: size, Booting: true})
	}
	for o, n := range b.leadership.launching {
		t := b.machineTypes[o.Type]
		for range n {
			size := core.NewResources(t.CPUs, t.GPUs, t.RAM)
			out = append(out, &core.MachineSummary{ID: -1, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Size: size, Free: size, Booting: true})
		}
	}
	return out
}

func (b *controller) offers() []core.PricedOffer {
	var out []core.PricedOffer
	for _, t := range b.machineTypes {
		for _, z := range t.Zones {
			if b.leadership.isolatedZones[z] {
				continue // what comes up there can't be reached either
			}
			for _, spot := range []bool{false, true} {
				if spot && !b.operator.Spot {
					continue
				}
				o := core.Offer{Type: t.Name, Zone: z, Spot: spot}
				if b.now.Before(b.leadership.refusedUntil[o]) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, core.PricedOffer{Offer: o, Size: core.NewResources(t.CPUs, t.GPUs, t.RAM), Price: price, BootS: t.BootS})
			}
		}
	}
	slices.SortFunc(out, func(x, y core.PricedOffer) int {
		return cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Zone, y.Zone), compareBool(x.Spot, y.Spot))
	})
	return out
}

// idleFor is how long a machine may be unused before it is returned: as long as
// its idling costs no more than it would to boot an ordinary one in its place,
// so that waiting is never more than twice as dear as knowing the future.
func (b *controller) idleTimeout(t *wire.MachineType, spot bool) time.Duration {
	s := t.BootS * b.operator.IdleBoots
	if spot && t.SpotPrice > 0 {
		s *= max(t.Price/t.SpotPrice, 1)
	}
	return max(config.Seconds(s), 10*time.Second)
}

// returnIdle releases machines that are idle.
func (b *controller) terminateIdle(hosts []*core.MachineSummary) {
	var names []string
	wanted := map[string]bool{}
	for _, h := range hosts {
		m := b.machineByIndex[h.ID]
		if len(m.bindings) > 0 || h.InUse {
			wanted[m.name] = true
			continue
		}
		t := b.leadership.idleSince[m.name]
		if t.IsZero() || t.Before(b.heartbeatsResumedAt) { // an outage tells nothing of what is needed
			b.leadership.idleSince[m.name] = b.now
		} else if b.draining[m.name] || b.now.Sub(t) > b.idleTimeout(b.machineTypes[m.machineType], m.spot) {
			names = append(names, m.name)
		}
	}
	for name := range wanted {
		delete(b.leadership.idleSince, name)
	}
	b.terminateInstances(names)
}

// returnLost releases machines that are overdue, silent or suspect. Silent ones wait
// for the first list of a new lead: only the list tells the zone of a machine that
// has not reported since a take-over, and its zone may be cut off.
func (b *controller) terminateLost() {
	var names []string
	for name, r := range b.leadership.instances {
		t := b.machineTypes[r.machineType]
		// Only its part's owner can tell whether a machine is up: after a
		// take-over a machine may be old and busy and not have reported yet.
		// One that no owner tells of any more died while its part, or itself,
		// changed hands.
		since := r.launchedAt
		if r.reported {
			since = r.seenAt
		}
		if t != nil && !b.leadership.isolatedZones[r.zone] && b.now.Sub(since) > b.bootTimeout(t) && b.ownerLongInTouch(b.machineNamed(name).partition) {
			names = append(names, name)
		}
	}
	bad := func(m *machine, flags uint8) {
		if flags&mesh.Unreachable != 0 && b.leadership.listed && !b.leadership.isolatedZones[b.zoneOf(m)] || flags&mesh.Cordoned != 0 && (len(m.bindings) == 0 || b.now.Sub(m.cordonedAt) > 15*time.Second) {
			names = append(names, m.name)
		}
	}
	b.eachReportedMachine(bad)
	b.terminateInstances(names)
}

// fewestCut is how many machines must be out of reach together before that says
// something of their zone: some may well die at a time.
const minIsolatedMachines = 5

// zoneOf is a machine's zone, if anybody has told it.
func (b *controller) zoneOf(m *machine) string {
	if r := b.leadership.instances[m.name]; m.zone == "" && r != nil {
		return r.zone
	}
	return m.zone
}

// cutZones finds zones that seem to be cut off: most machines there are out of
// reach while those of another zone are not. What runs in such a zone goes on for
// as long as its controllers may answer, and its workers' leases after that, so
// returning the machines would stop it, and the other zones may have no room to
// take it. They are kept until it must have ended anyhow, and nothing new is rented
// there. Tasks there are still proven gone by leases and sessions alone.
func (b *controller) detectIsolatedZones() {
	out, all := map[string]int{}, map[string]int{}
	b.eachReportedMachine(func(m *machine, flags uint8) {
		if flags&mesh.NotHeardYet != 0 && flags&mesh.Unreachable == 0 {
			return // its owner has only just come; after a crash of all that is so everywhere
		}
		z := b.zoneOf(m)
		all[z]++
		if flags&mesh.Reachable == 0 {
			out[z]++
		}
	})
	heard := false // some zone is well
	for z, n := range all {
		heard = heard || z != "" && out[z]*2 <= n
	}
	b.leadership.isolatedZones = map[string]bool{}
	for z, n := range all {
		if z == "" || !heard || out[z]*2 <= n || out[z] < minIsolatedMachines {
			delete(b.leadership.isolatedSince, z)
			continue
		}
		since, ok := b.leadership.isolatedSince[z]
		if !ok {
			since = b.now
			b.leadership.isolatedSince[z] = since
			b.log.Info("zone seems to be cut off", "zone", z, "machines", n, "out_of_reach", out[z])
		}
		b.leadership.isolatedZones[z] = b.now.Sub(since) < b.maxStaleness+b.leaseExpiry
	}
}
