package controller

import (
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/wire"
)

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
