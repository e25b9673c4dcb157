package planning

import "math"

// Headroom returns for how many additional services of a class capacity is kept free while the
// given number of services run: factor times the square root of that number, rounded up. The
// number of services that run at a time varies by about its square root.
func Headroom(services int, factor float64) int {
	return int(math.Ceil(factor * math.Sqrt(float64(services))))
}

// FreeCPUHistory records how much CPU was free in the recent past, in thousandths of a CPU. The tasks
// of arrays spread over all machines, so that machines rarely become idle. If more CPUs than a
// machine has were free throughout a window, a machine without services can be drained. The
// zero value is an empty history.
type FreeCPUHistory struct {
	samples []freeSample
}

// freeSample is the number of free CPUs at one time.
type freeSample struct {
	atS       float64 // time in seconds
	milliCPUs int64
}

// minCoveredTenths is the number of tenths of a window that the samples must cover. It is less
// than ten because the oldest sample kept is younger than the start of the window, by up to the
// time between two samples.
const minCoveredTenths = 9

// Reset removes all samples. It is called when there is a shortage.
func (h *FreeCPUHistory) Reset() { h.samples = nil }

// Add records how many thousandths of a CPU are free at a time, and returns the least number in
// the window that ends at that time. It reports whether the samples cover the window. Times
// are in seconds.
func (h *FreeCPUHistory) Add(atS float64, freeMilliCPUs int64, windowS float64) (leastMilliCPUs int64, covered bool) {
	h.samples = append(h.samples, freeSample{atS, freeMilliCPUs})
	for atS-h.samples[0].atS > windowS {
		h.samples = h.samples[1:]
	}
	leastMilliCPUs = freeMilliCPUs
	for _, sample := range h.samples {
		leastMilliCPUs = min(leastMilliCPUs, sample.milliCPUs)
	}
	return leastMilliCPUs, atS-h.samples[0].atS >= windowS*minCoveredTenths/10
}

// Subtract lowers all samples by a number of thousandths of a CPU. It is called when a machine with
// that much free CPU is drained.
func (h *FreeCPUHistory) Subtract(milliCPUs int64) {
	for i := range h.samples {
		h.samples[i].milliCPUs -= milliCPUs
	}
}

// LeastUsedMachine returns the on-demand machine with the smallest share of its CPUs in use,
// among those whose size is at most maxMilliCPUs, that run no task of the given or a higher
// priority, and that pass the filter. It returns nil if there is none.
func LeastUsedMachine(
	machines []*MachineSummary, maxMilliCPUs int64, priority int, allowed MachineFilter,
) *MachineSummary {
	var best *MachineSummary
	bestUsed := int64(0)
	for _, machine := range machines {
		if machine.Spot || machine.Size.CPU > maxMilliCPUs || !allowed(machine) || machine.runsTaskOfPriority(priority) {
			continue
		}
		// The shares are compared without division: used/size < bestUsed/bestSize.
		used := machine.UsedResources().CPU
		if best == nil || used*best.Size.CPU < bestUsed*machine.Size.CPU {
			best, bestUsed = machine, used
		}
	}
	return best
}
