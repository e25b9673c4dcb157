package autoscaler

import (
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/wire"
)

const (
	// minIdleTimeout is the least time that an idle machine is kept.
	minIdleTimeout  = 10 * time.Second
	milliCPUsPerCPU = 1000 // in a CPU
)

// IsDraining reports whether a machine is drained, as the leader announced it last. Its owner
// places nothing on it.
func (a *Autoscaler) IsDraining(name string) bool { return a.announcedDraining[name] }

// IsDrainingAsLeader reports whether this controller, as the leader, has a machine drained.
func (a *Autoscaler) IsDrainingAsLeader(name string) bool { return a.term.draining[name] }

// DrainingMachines names the machines that this controller, as the leader, has drained.
func (a *Autoscaler) DrainingMachines() []string {
	var names []string
	for name := range a.term.draining {
		names = append(names, name)
	}
	return names
}

// ObserveDraining takes in which machines the leader announces as draining.
func (a *Autoscaler) ObserveDraining(names []string) {
	a.announcedDraining = map[string]bool{}
	for _, name := range names {
		a.announcedDraining[name] = true
	}
}

// idleTimeout is how long a machine may be idle before it is terminated: as long as its
// idling costs no more than it would to boot an on-demand one in its place, so that waiting
// is never more than twice as dear as knowing the future.
func (a *Autoscaler) idleTimeout(machineType *wire.MachineType, spot bool) time.Duration {
	seconds := machineType.BootS * a.Operator.IdleBoots
	if spot && machineType.SpotPrice > 0 {
		seconds *= max(machineType.Price/machineType.SpotPrice, 1)
	}
	return max(config.Seconds(seconds), minIdleTimeout)
}

// machineName is the name of the machine that a summary is of.
func (a *Autoscaler) machineName(summary *planning.MachineSummary) string {
	return a.Machines.At(summary.Index).Name
}

// drainSurplus has a machine drained that the fleet has not needed of late: it takes no more
// work, and is terminated when it is empty. In a shortage none is.
func (a *Autoscaler) drainSurplus(summaries []*planning.MachineSummary, headroom *serviceHeadroom, shortage bool) {
	a.announcedDraining = a.term.draining
	if shortage {
		clear(a.term.draining)
		a.term.freeHistory.Reset()
		return
	}
	window := a.longestIdleTimeout(summaries)
	termAge := a.Loop.Now().Sub(a.Cluster.Leadership().StartedAt)
	minSurplus, covered := a.term.freeHistory.Add(termAge.Seconds(), a.surplusMilliCPUs(summaries, headroom), window.Seconds())
	if !covered || termAge < window {
		return // not seen for long enough
	}
	candidate := planning.LeastUsedMachine(summaries, minSurplus, headroom.minPriority, func(summary *planning.MachineSummary) bool {
		return summary.Partition != a.LoanPartition && !a.term.draining[a.machineName(summary)]
	})
	if candidate == nil {
		return
	}
	name := a.machineName(candidate)
	a.term.draining[name] = true
	a.term.freeHistory.Subtract(candidate.Size.CPU - candidate.UsedResources().CPU)
	a.Log.Info("machine is drained", "machine", name, "spare_cpus", minSurplus/milliCPUsPerCPU)
}

// longestIdleTimeout is that of the on-demand machines of any type in use.
func (a *Autoscaler) longestIdleTimeout(summaries []*planning.MachineSummary) time.Duration {
	types := a.Machines.Types()
	longest := time.Duration(0)
	for _, summary := range summaries {
		longest = max(longest, a.idleTimeout(types[summary.Type], false))
	}
	return longest
}

// surplusMilliCPUs is how much is free beyond the headroom, in thousandths of a CPU. Negative: it
// is less.
func (a *Autoscaler) surplusMilliCPUs(summaries []*planning.MachineSummary, headroom *serviceHeadroom) int64 {
	surplus := int64(0)
	for _, summary := range summaries {
		if !a.term.draining[a.machineName(summary)] {
			surplus += summary.Size.CPU - summary.UsedResources().CPU
		}
	}
	for _, demand := range headroom.demands {
		surplus -= demand.TaskSize.CPU * int64(demand.Count)
	}
	return surplus
}

// terminateIdle terminates machines that have been idle for long, and drained ones as soon
// as they are.
func (a *Autoscaler) terminateIdle(summaries []*planning.MachineSummary) {
	var names []string
	for _, summary := range summaries {
		m := a.Machines.At(summary.Index)
		switch {
		case m.HasBoundTasks || summary.InUse:
			delete(a.term.idleSince, m.Name)
		case a.exceedsIdleTimeout(&m):
			names = append(names, m.Name)
		}
	}
	a.terminate(names)
}

// exceedsIdleTimeout notes that a machine is idle, and tells whether it has been for too long. An
// outage, in which no heartbeats were accepted, tells nothing of what is needed.
func (a *Autoscaler) exceedsIdleTimeout(m *Machine) bool {
	idleSince := a.term.idleSince[m.Name]
	if idleSince.IsZero() || idleSince.Before(a.Cluster.HeartbeatsResumedAt()) {
		a.term.idleSince[m.Name] = a.Loop.Now()
		return false
	}
	return a.announcedDraining[m.Name] || a.Loop.Now().Sub(idleSince) > a.idleTimeout(a.Machines.Types()[m.Type], m.Spot)
}
