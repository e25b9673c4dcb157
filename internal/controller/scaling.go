package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// instance is a machine that the cloud has given us, as far as the leader knows.
type instance struct {
	machineType, zone string
	spot              bool
	launchedAt        time.Time
	reported          bool      // it has reported to its owner
	seenAt            time.Time // when its owner last told of it
	listed            bool
}

// scale rents for what found no room and returns what is not wanted.
func (c *autoscaler) scale(summaries []*planning.MachineSummary, wants []planning.Demand) {
	if len(c.machineTypes) == 0 {
		return
	}
	plan := planning.ScalingPlan{Machines: append(slices.Clone(summaries), c.booting()...), Offers: c.offers(), RunningByClass: map[string]int{}, Launches: map[planning.Offer]int{}}
	for group := range c.allGroups() {
		if group.job.spec != nil {
			plan.RunningByClass[group.job.spec.Class] += group.boundTasks()
		}
	}
	for _, w := range wants {
		plan.Place(w)
	}
	for _, w := range c.leadership.gangReserve.shortfall {
		plan.Place(w)
	}
	short := plan.Shortage
	spare, level := c.headroom()
	planning.CountLowerPriorityAsFree(plan.Machines, level)
	for _, w := range spare {
		plan.Place(w)
	}
	// A new leader does not know yet what is up or booting: it would rent all
	// of it once more.
	// Nor does one after a long outage, in which no reports were taken.
	known := c.leadership.listed && c.allOwnersInTouch() || c.now.Sub(c.leadership.since) > launchDelayAfterFailover
	if known && c.now.Sub(c.heartbeatsResumedAt) > c.heartbeatOverdueAfter()+2*time.Second {
		for o, n := range plan.Launches {
			c.launchInstances(o, min(n, 50))
		}
	}
	// What a record that can't be decoded binds may run on a machine that seems idle: it
	// was returned, and the tasks were lost.
	if len(c.rollout.unreadable) > 0 {
		return
	}
	c.drainSurplus(summaries, spare, level, short)
	c.terminateIdle(summaries)
}

// launchDelayAfterFailover is how long a new leader waits for the list of machines and for
// the parts' owners before it rents.
const launchDelayAfterFailover = 10 * time.Second

// drainSurplus empties machines that the fleet has not needed of late: one takes no
// more work, and is returned when it is empty.
func (c *leader) drainSurplus(summaries []*planning.MachineSummary, spare []planning.Demand, level int, short bool) {
	if c.leadership.draining == nil {
		c.leadership.draining = map[string]bool{}
	}
	c.draining = c.leadership.draining
	if short {
		clear(c.leadership.draining)
		c.leadership.freeHistory.Reset()
		return
	}
	free := int64(0)
	window := time.Duration(0)
	for _, summary := range summaries {
		if !c.leadership.draining[c.machineByIndex[summary.ID].name] {
			free += summary.Size.CPU - summary.Used().CPU
		}
		window = max(window, c.idleTimeout(c.machineTypes[summary.Type], false))
	}
	for _, w := range spare {
		free -= w.TaskSize.CPU * int64(w.Count)
	}
	age := c.now.Sub(c.leadership.since)
	least, ok := c.leadership.freeHistory.Add(age.Seconds(), free, window.Seconds())
	if !ok || age < window {
		return // not seen for long enough
	}
	best := planning.LeastUsedMachine(summaries, least, level, func(summary *planning.MachineSummary) bool {
		return summary.Partition != c.loanPartition() && !c.leadership.draining[c.machineByIndex[summary.ID].name]
	})
	if best == nil {
		return
	}
	name := c.machineByIndex[best.ID].name
	c.leadership.draining[name] = true
	c.leadership.freeHistory.Subtract(best.Size.CPU - best.Used().CPU)
	c.log.Info("machine is emptied to be returned", "machine", name, "spare_cpus", least/1000)
}

// headroom keeps room for services to come.
func (c *clusterState) headroom() (out []planning.Demand, level int) {
	level = math.MaxInt
	byClass := map[string]*planning.Demand{}
	var order []string
	for _, job := range c.unfinished {
		if job.finalState != record.Unfinished || job.spec == nil || !job.spec.Service {
			continue
		}
		w := byClass[job.spec.Class]
		if w == nil {
			x := c.demand(job, "", 0)
			w = &x
			byClass[job.spec.Class] = w
			order = append(order, job.spec.Class)
		}
		w.Count += job.spec.Tasks
		level = min(level, job.spec.Priority)
	}
	slices.Sort(order)
	for _, class := range order {
		w := byClass[class]
		w.Count = planning.Headroom(w.Count, c.operator.HeadroomOf(class))
		out = append(out, *w)
	}
	return out, level
}

// bootTimeout is how long a machine may take to come up before it is given back.
func (c *clusterState) bootTimeout(t *wire.MachineType) time.Duration {
	return config.Seconds(c.operator.BootPatience*t.BootS + 10)
}

// usualBootFactor is how many of its nominal boot times a machine usually takes at
// the most.
const usualBootFactor = 1.6

// booting are machines that are rented and have not reported yet.
func (c *leader) booting() []*planning.MachineSummary {
	var out []*planning.MachineSummary
	for name, inst := range c.leadership.instances {
		t := c.machineTypes[inst.machineType]
		// One that is well past its usual time is not counted on any more.
		if inst.reported || t == nil || c.terminating[name] || c.now.Sub(inst.launchedAt) > config.Seconds(usualBootFactor*t.BootS) {
			continue
		}
		size := scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB)
		out = append(out, &planning.MachineSummary{ID: -1, Type: inst.machineType, Zone: inst.zone, Spot: inst.spot, Size: size, Free: size, Booting: true})
	}
	for o, n := range c.leadership.launching {
		t := c.machineTypes[o.Type]
		for range n {
			size := scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB)
			out = append(out, &planning.MachineSummary{ID: -1, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Size: size, Free: size, Booting: true})
		}
	}
	return out
}

func (c *leader) offers() []planning.PricedOffer {
	var out []planning.PricedOffer
	for _, t := range c.machineTypes {
		for _, z := range t.Zones {
			if c.leadership.isolatedZones[z] {
				continue // what comes up there can't be reached either
			}
			for _, spot := range []bool{false, true} {
				if spot && !c.operator.Spot {
					continue
				}
				o := planning.Offer{Type: t.Name, Zone: z, Spot: spot}
				if c.now.Before(c.leadership.refusedUntil[o]) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, planning.PricedOffer{Offer: o, Size: scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB), Price: price, BootS: t.BootS})
			}
		}
	}
	slices.SortFunc(out, func(x, y planning.PricedOffer) int {
		return cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Zone, y.Zone), compareBool(x.Spot, y.Spot))
	})
	return out
}

// idleTimeout is how long a machine may be unused before it is returned: as long as
// its idling costs no more than it would to boot an ordinary one in its place,
// so that waiting is never more than twice as dear as knowing the future.
func (c *clusterState) idleTimeout(t *wire.MachineType, spot bool) time.Duration {
	s := t.BootS * c.operator.IdleBoots
	if spot && t.SpotPrice > 0 {
		s *= max(t.Price/t.SpotPrice, 1)
	}
	return max(config.Seconds(s), 10*time.Second)
}

// terminateIdle releases machines that are idle.
func (c *autoscaler) terminateIdle(summaries []*planning.MachineSummary) {
	var names []string
	wanted := map[string]bool{}
	for _, summary := range summaries {
		m := c.machineByIndex[summary.ID]
		if len(m.bindings) > 0 || summary.InUse {
			wanted[m.name] = true
			continue
		}
		t := c.leadership.idleSince[m.name]
		if t.IsZero() || t.Before(c.heartbeatsResumedAt) { // an outage tells nothing of what is needed
			c.leadership.idleSince[m.name] = c.now
		} else if c.draining[m.name] || c.now.Sub(t) > c.idleTimeout(c.machineTypes[m.machineType], m.spot) {
			names = append(names, m.name)
		}
	}
	for name := range wanted {
		delete(c.leadership.idleSince, name)
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
