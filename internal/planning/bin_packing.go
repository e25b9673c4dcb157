package planning

import "eiderhitch/internal/scheduling"

// PlaceWithoutPreemption has up to count tasks of a size take free room on the machines that the
// filter allows, the fullest first, and returns how many each machine got.
func PlaceWithoutPreemption(
	machines []*MachineSummary, allowed MachineFilter, size scheduling.Resources, count int,
) map[*MachineSummary]int {
	placed := map[*MachineSummary]int{}
	for count > 0 {
		var best *MachineSummary
		for _, machine := range machines {
			if !machine.FreeResources.Contains(size) || !allowed(machine) {
				continue
			}
			if best == nil || isBetterFit(machine, best) {
				best = machine
			}
		}
		if best == nil {
			return placed
		}
		fitting := best.FreeResources.CountFitting(size, count)
		best.FreeResources = best.FreeResources.Minus(size.Times(fitting))
		best.InUse = true
		placed[best] += fitting
		count -= fitting
	}
	return placed
}

// isBetterFit reports whether placing a task on a rather than on b keeps more machines
// empty, or cheaper ones in use.
func isBetterFit(a, b *MachineSummary) bool {
	if a.Booting != b.Booting {
		return !a.Booting
	}
	if a.Spot != b.Spot {
		return a.Spot
	}
	if a.RunsService != b.RunsService {
		return a.RunsService
	}
	if emptyA, emptyB := a.FreeResources == a.Size, b.FreeResources == b.Size; emptyA != emptyB {
		return emptyB
	}
	if a.FreeResources.CPU != b.FreeResources.CPU {
		return a.FreeResources.CPU < b.FreeResources.CPU
	}
	return a.Index < b.Index
}

// The cost of preempting a task is that of the stop itself and that of its priority. A
// thousand stops cost as much as one step of priority, so that whatever a machine runs,
// lower victims go before fewer ones.
const (
	victimCost   = 1
	priorityCost = 1000
)

// preemption is what preempting for one task on a machine costs, and what is left there.
type preemptionPlan struct {
	machine *MachineSummary
	cost    float64
	// free and usages are those of the machine afterwards.
	free   scheduling.Resources
	usages []TaskUsage
}

// PlaceByPreemption finds the machine on which preempting the fewest tasks of the lowest
// priority makes room for one task, and takes that room. It returns nil if there is none.
func PlaceByPreemption(
	machines []*MachineSummary, allowed MachineFilter, size scheduling.Resources, claim scheduling.Claim,
) *MachineSummary {
	var best preemptionPlan
	for _, machine := range machines {
		if machine.Booting || !allowed(machine) {
			continue
		}
		free, usages, cost := machine.planPreemption(size, claim)
		if !free.Contains(size) {
			continue
		}
		candidate := preemptionPlan{machine, cost, free, usages}
		if best.machine == nil || candidate.isBetterThan(&best) {
			best = candidate
		}
	}
	if best.machine == nil {
		return nil
	}
	best.machine.FreeResources = best.free.Minus(size)
	best.machine.Usages = best.usages
	best.machine.InUse = true
	return best.machine
}

// planPreemption preempts usages until the size fits, as far as the claim may, and returns what
// would be free and used on the machine then. The machine keeps them for now.
func (m *MachineSummary) planPreemption(
	size scheduling.Resources, claim scheduling.Claim,
) (free scheduling.Resources, usages []TaskUsage, cost float64) {
	m.sortUsagesForPreemption()
	free, usages = m.FreeResources, m.Usages
	for len(usages) > 0 && !free.Contains(size) && claim.CanPreempt(usages[0].Claim) {
		free = free.Plus(usages[0].Size)
		cost += victimCost + priorityCost*float64(usages[0].Claim.Priority)
		usages = usages[1:]
	}
	return free, usages, cost
}

// isBetterThan orders preemptions by cost; of equal ones a machine that runs a service is
// preferred, as it stays anyway, then the lower index.
func (p *preemptionPlan) isBetterThan(other *preemptionPlan) bool {
	if p.cost != other.cost {
		return p.cost < other.cost
	}
	if p.machine.RunsService != other.machine.RunsService {
		return p.machine.RunsService
	}
	return p.machine.Index < other.machine.Index
}
