package autoscaler

import (
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/wire"
)

const (
	// minIdleTimeout is the minimum time for which an idle machine is kept.
	minIdleTimeout = 10 * time.Second

	milliCPUsPerCPU = 1000
)

// IsDraining reports whether a machine is draining according to the leader's last announcement.
// The owner of its partition places no tasks on it.
func (a *Autoscaler) IsDraining(name string) bool { return a.announcedDrainingMachines[name] }

// IsDrainingAsLeader reports whether this controller is the leader and is draining a machine.
func (a *Autoscaler) IsDrainingAsLeader(name string) bool { return a.term.drainingMachines[name] }

// DrainingMachines returns the names of the machines that this controller is draining, in no
// particular order. It returns none on a follower.
func (a *Autoscaler) DrainingMachines() []string {
	var names []string
	for name := range a.term.drainingMachines {
		names = append(names, name)
	}
	return names
}

// ObserveDraining records the machines that the leader announces as draining. They replace
// those announced before.
func (a *Autoscaler) ObserveDraining(names []string) {
	a.announcedDrainingMachines = map[string]bool{}
	for _, name := range names {
		a.announcedDrainingMachines[name] = true
	}
}

// idleTimeout returns how long a machine may be idle before it is terminated. An idle machine is
// kept until its idle time has cost as much as booting an on-demand machine in its place, which
// is longer for a cheaper spot instance. The total cost is then at most twice that of a decision
// with knowledge of future demand.
func (a *Autoscaler) idleTimeout(machineType *wire.MachineType, spot bool) time.Duration {
	seconds := machineType.BootS * a.Operator.IdleTimeoutFactor
	if spot && machineType.SpotPrice > 0 {
		seconds *= max(machineType.Price/machineType.SpotPrice, 1)
	}
	return max(config.Seconds(seconds), minIdleTimeout)
}

// machineName returns the name of the machine that a summary describes.
func (a *Autoscaler) machineName(summary *planning.MachineSummary) string {
	return a.Machines.At(summary.Index).Name
}

// drainSurplus starts to drain a machine whose capacity has not been needed recently. A draining
// machine gets no more tasks and is terminated once it is idle. In a shortage, no machine is
// drained, and those that are draining are used again.
func (a *Autoscaler) drainSurplus(summaries []*planning.MachineSummary, headroom *serviceHeadroom, shortage bool) {
	a.announcedDrainingMachines = a.term.drainingMachines
	if shortage {
		clear(a.term.drainingMachines)
		a.term.freeHistory.Reset()
		return
	}
	window := a.longestIdleTimeout(summaries)
	termAge := a.Loop.Now().Sub(a.Cluster.Leadership().StartedAt)
	minSurplus, covered := a.term.freeHistory.Add(termAge.Seconds(), a.surplusMilliCPUs(summaries, headroom), window.Seconds())
	if !covered || termAge < window {
		return // the surplus has not been observed for the whole window
	}
	candidate := planning.LeastUsedMachine(summaries, minSurplus, headroom.minPriority, func(summary *planning.MachineSummary) bool {
		return summary.Partition != a.LoanPartition && !a.term.drainingMachines[a.machineName(summary)]
	})
	if candidate == nil {
		return
	}
	name := a.machineName(candidate)
	a.term.drainingMachines[name] = true
	a.term.freeHistory.Subtract(candidate.Size.CPU - candidate.UsedResources().CPU)
	a.Log.Info("draining machine", "machine", name, "spare_cpus", minSurplus/milliCPUsPerCPU)
}

// longestIdleTimeout returns the longest idle timeout of the machine types of the given
// machines, as on-demand machines.
func (a *Autoscaler) longestIdleTimeout(summaries []*planning.MachineSummary) time.Duration {
	types := a.Machines.Types()
	longest := time.Duration(0)
	for _, summary := range summaries {
		longest = max(longest, a.idleTimeout(types[summary.Type], false))
	}
	return longest
}

// surplusMilliCPUs returns how much CPU is free beyond the headroom on machines that are not
// draining, in thousandths of a CPU. It is negative if the headroom is not met.
func (a *Autoscaler) surplusMilliCPUs(summaries []*planning.MachineSummary, headroom *serviceHeadroom) int64 {
	surplus := int64(0)
	for _, summary := range summaries {
		if !a.term.drainingMachines[a.machineName(summary)] {
			surplus += summary.Size.CPU - summary.UsedResources().CPU
		}
	}
	for _, demand := range headroom.demands {
		surplus -= demand.TaskSize.CPU * int64(demand.Count)
	}
	return surplus
}

// terminateIdle terminates machines that have been idle for longer than their idle timeout, and
// draining machines as soon as they are idle.
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

// exceedsIdleTimeout records that a machine is idle and reports whether it is to be terminated
// for that. The idle time starts again after an outage in which no heartbeats were accepted,
// since an outage says nothing about which machines are needed.
func (a *Autoscaler) exceedsIdleTimeout(m *Machine) bool {
	idleSince := a.term.idleSince[m.Name]
	if idleSince.IsZero() || idleSince.Before(a.Cluster.HeartbeatsResumedAt()) {
		a.term.idleSince[m.Name] = a.Loop.Now()
		return false
	}
	return a.announcedDrainingMachines[m.Name] || a.Loop.Now().Sub(idleSince) > a.idleTimeout(a.Machines.Types()[m.Type], m.Spot)
}
