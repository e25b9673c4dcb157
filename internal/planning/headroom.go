package planning

import "math"

// Headroom returns for how many more services of a class room is kept, with so many
// there: the number of services that run at a time varies by about its square root.
func Headroom(services int, factor float64) int {
	return int(math.Ceil(factor * math.Sqrt(float64(services))))
}

// FreeCPUHistory records how much CPU was free of late, in thousandths. Arrays spread over all machines,
// so that few are ever idle by themselves: when more is free all the time than a machine
// holds, one without services can be drained.
type FreeCPUHistory struct {
	samples []freeSample
}

type freeSample struct {
	atS            float64 // in seconds
	cpuThousandths int64   // in thousandths
}

// minCoveredTenths is how many tenths of a window the samples have to cover. Not all: the
// oldest one that is kept is younger than the window by up to the time between two.
const minCoveredTenths = 9

// Reset forgets all samples, as there is a shortage.
func (h *FreeCPUHistory) Reset() { h.samples = nil }

// Add records how much CPU is free at a time, and returns the least of the last window. It
// reports false as long as the samples don't cover the window. Times are in seconds.
func (h *FreeCPUHistory) Add(atS float64, freeCPU int64, windowS float64) (leastCPU int64, covered bool) {
	h.samples = append(h.samples, freeSample{atS, freeCPU})
	for atS-h.samples[0].atS > windowS {
		h.samples = h.samples[1:]
	}
	leastCPU = freeCPU
	for _, sample := range h.samples {
		leastCPU = min(leastCPU, sample.cpuThousandths)
	}
	return leastCPU, atS-h.samples[0].atS >= windowS*minCoveredTenths/10
}

// Subtract lowers all samples, as a machine is being drained.
func (h *FreeCPUHistory) Subtract(cpu int64) {
	for i := range h.samples {
		h.samples[i].cpuThousandths -= cpu
	}
}

// LeastUsedMachine returns the on-demand machine of which the least share is used, of
// those that have at most maxCPU thousandths of a CPU, run nothing of that priority or a
// higher one, and pass the filter; nil if there is none.
func LeastUsedMachine(
	machines []*MachineSummary, maxCPU int64, priority int, allowed MachineFilter,
) *MachineSummary {
	var best *MachineSummary
	bestUsed := int64(0)
	for _, machine := range machines {
		if machine.Spot || machine.Size.CPU > maxCPU || !allowed(machine) || machine.runsTaskOfPriority(priority) {
			continue
		}
		// Shares are compared without division: used/size < bestUsed/bestSize.
		used := machine.UsedResources().CPU
		if best == nil || used*best.Size.CPU < bestUsed*machine.Size.CPU {
			best, bestUsed = machine, used
		}
	}
	return best
}
