package planning

import (
	"cmp"
	"slices"

	"eiderhitch/internal/scheduling"
)

// MachineSummary is a machine as the leader sees it: what is free on it, and what could
// be had by preemption.
type MachineSummary struct {
	// ID is the machine's index, or UnassignedIndex.
	Index               scheduling.MachineIndex
	Type, Zone          string
	Spot                bool
	Partition           int
	Size, FreeResources scheduling.Resources
	// Usages are those of the tasks that run on it.
	Usages []TaskUsage
	// sorted is set once the usages are in the order of sortUsagesForPreemption.
	usagesSorted bool
	// Booting machines have been launched, or are to be, and are not up yet.
	Booting bool
	// InUse is set by planning if something is placed on the machine: it is not surplus.
	InUse bool
	// RunsService is set if a service runs on the machine. It stays for as long as that
	// does, so what is placed beside it keeps no other machine from being terminated.
	RunsService bool
}

// UnassignedIndex is the ID of machines that have no index yet.
const UnassignedIndex scheduling.MachineIndex = -1

// TaskUsage is a task's use of a machine.
type TaskUsage struct {
	Claim scheduling.Claim
	Size  scheduling.Resources
}

// MachineFilter tells whether a task may be placed on a machine.
type MachineFilter func(*MachineSummary) bool

// CloneSummaries copies machines, so that a plan can be tried on them.
func CloneSummaries(machines []*MachineSummary) []*MachineSummary {
	copies := make([]MachineSummary, len(machines))
	clones := make([]*MachineSummary, len(machines))
	for i, machine := range machines {
		copies[i] = *machine
		clones[i] = &copies[i]
	}
	return clones
}

// UsedResources returns what tasks use of a machine.
func (m *MachineSummary) UsedResources() scheduling.Resources {
	used := scheduling.Resources{}
	for _, usage := range m.Usages {
		used = used.Plus(usage.Size)
	}
	return used
}

// offer is the kind of machine that it was launched as.
func (m *MachineSummary) offer() Offer { return Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot} }

// runsTaskOfPriority reports whether a task of that priority or a higher one runs on a machine.
func (m *MachineSummary) runsTaskOfPriority(priority int) bool {
	return slices.ContainsFunc(m.Usages, func(usage TaskUsage) bool { return usage.Claim.Priority >= priority })
}

// sortUsagesForPreemption sorts a machine's usages into the order in which they are preempted.
// Once is enough: usages are only taken away from the front. The usages are copied, as
// clones of the machine share them.
func (m *MachineSummary) sortUsagesForPreemption() {
	if m.usagesSorted {
		return
	}
	m.usagesSorted, m.Usages = true, slices.Clone(m.Usages)
	slices.SortStableFunc(m.Usages, func(a, b TaskUsage) int {
		return cmp.Or(cmp.Compare(a.Claim.Priority, b.Claim.Priority), cmp.Compare(b.Size.CPU, a.Size.CPU))
	})
}

// TreatLowerPriorityAsFree counts what tasks below a priority use as free, since work of
// that priority would preempt them.
func TreatLowerPriorityAsFree(machines []*MachineSummary, priority int) {
	for _, machine := range machines {
		for _, usage := range machine.Usages {
			if usage.Claim.Priority < priority {
				machine.FreeResources = machine.FreeResources.Plus(usage.Size)
			}
		}
	}
}
