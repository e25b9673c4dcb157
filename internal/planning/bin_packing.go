package planning

import "eiderhitch/internal/scheduling"

// PlaceWithoutPreemption places up to count tasks of a size in the free resources of the machines
// that the filter allows, and subtracts them there. It prefers machines as isBetterFit says. It
// returns the number of tasks that each machine gets; machines without any are left out.
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

// isBetterFit reports whether a task is better placed on a than on b, so that more machines stay
// empty and cheaper ones are used. It prefers, in this order, machines that are up, spot
// instances, machines that run a service, machines that are not empty, those with fewer free
// CPUs, and the lower index.
func isBetterFit(a, b *MachineSummary) bool {
	if a.Booting != b.Booting {
		return !a.Booting
	}
	if a.Spot != b.Spot {
		return a.Spot
	}
	if a.RunsServiceOrGang != b.RunsServiceOrGang {
		return a.RunsServiceOrGang
	}
	if emptyA, emptyB := a.FreeResources == a.Size, b.FreeResources == b.Size; emptyA != emptyB {
		return emptyB
	}
	if a.FreeResources.CPU != b.FreeResources.CPU {
		return a.FreeResources.CPU < b.FreeResources.CPU
	}
	return a.Index < b.Index
}

// The cost of preempting a task is victimCost for stopping it, plus priorityCost for each step
// of its priority. One step of priority costs as much as a thousand stops: whatever a machine
// runs, victims of lower priority are preferred to fewer victims.
const (
	victimCost   = 1
	priorityCost = 1000
)

// preemptionPlan holds the cost and the result of preempting tasks on a machine for one new task.
type preemptionPlan struct {
	machine *MachineSummary
	cost    float64
	// free and usages are the machine's free resources and remaining tasks after the preemption,
	// before the new task is placed.
	free   scheduling.Resources
	usages []TaskUsage
}

// PlaceByPreemption places one task on the machine with the lowest preemption cost, and returns
// that machine after updating its free resources and usages. It returns nil if preemption
// doesn't free enough resources on any machine that is up and that the filter allows.
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

// planPreemption returns the free resources and usages that remain on the machine, and the cost,
// if tasks are preempted until the size fits or the claim can't preempt the next one. It leaves
// the machine's free resources and usages as they are, except for sorting the usages.
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

// isBetterThan reports whether p has the lower cost. Among equal costs it prefers a machine that
// runs a service, since that machine is needed anyway, then the lower index.
func (p *preemptionPlan) isBetterThan(other *preemptionPlan) bool {
	if p.cost != other.cost {
		return p.cost < other.cost
	}
	if p.machine.RunsServiceOrGang != other.machine.RunsServiceOrGang {
		return p.machine.RunsServiceOrGang
	}
	return p.machine.Index < other.machine.Index
}
