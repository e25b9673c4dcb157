package controller

import (
	"math"
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

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
