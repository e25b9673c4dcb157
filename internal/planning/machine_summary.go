package planning

import (
	"cmp"
	"slices"

	"eiderhitch/internal/scheduling"
)

// MachineSummary is the leader's view of a machine: its free resources, and the tasks that could
// be preempted.
type MachineSummary struct {
	// Index is the machine's index, or UnassignedIndex.
	Index               scheduling.MachineIndex
	Type, Zone          string
	Spot                bool
	Partition           int
	Size, FreeResources scheduling.Resources
	// Usages holds an entry for each task on the machine.
	Usages []TaskUsage
	// CompletingUsage is what the tasks of arrays and gangs use. It becomes free when they
	// complete, unlike what the replicas of services use.
	CompletingUsage scheduling.Resources
	// usagesSorted is set if sortUsagesForPreemption has sorted the usages.
	usagesSorted bool
	// Booting is set if the machine is not up yet: it is booting, or its launch is requested or
	// planned.
	Booting bool
	// InUse is set when a plan places a task on the machine, so that it isn't surplus.
	InUse bool
	// RunsServiceOrGang is set if a service or gang runs on the machine. The machine is needed until
	// it ends, so tasks that are placed there don't delay the termination of other machines.
	RunsServiceOrGang bool
}

// UnassignedIndex is the index of machines that don't have one yet.
const UnassignedIndex scheduling.MachineIndex = -1

// TaskUsage holds the resources that a task uses on a machine, and its claim to them.
type TaskUsage struct {
	Claim scheduling.Claim
	Size  scheduling.Resources
}

// MachineFilter reports whether a task may be placed on a machine.
type MachineFilter func(*MachineSummary) bool

// CloneSummaries returns copies of the machines, on which a plan can be tried. The copies share
// the Usages slices, which this package never modifies in place.
func CloneSummaries(machines []*MachineSummary) []*MachineSummary {
	copies := make([]MachineSummary, len(machines))
	clones := make([]*MachineSummary, len(machines))
	for i, machine := range machines {
		copies[i] = *machine
		clones[i] = &copies[i]
	}
	return clones
}

// UsedResources returns the sum of what the tasks on the machine use.
func (m *MachineSummary) UsedResources() scheduling.Resources {
	used := scheduling.Resources{}
	for _, usage := range m.Usages {
		used = used.Plus(usage.Size)
	}
	return used
}

// offer returns the offer under which the machine was launched.
func (m *MachineSummary) offer() Offer { return Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot} }

// runsTaskOfPriority reports whether a task of the given or a higher priority is on the machine.
func (m *MachineSummary) runsTaskOfPriority(priority int) bool {
	return slices.ContainsFunc(m.Usages, func(usage TaskUsage) bool { return usage.Claim.Priority >= priority })
}

// sortUsagesForPreemption sorts the usages into the order in which they are preempted: by
// priority, then the larger ones first. They stay sorted, since usages are only removed from the
// front. The slice is copied first, since clones of the machine share it.
func (m *MachineSummary) sortUsagesForPreemption() {
	if m.usagesSorted {
		return
	}
	m.usagesSorted, m.Usages = true, slices.Clone(m.Usages)
	slices.SortStableFunc(m.Usages, func(a, b TaskUsage) int {
		return cmp.Or(cmp.Compare(a.Claim.Priority, b.Claim.Priority), cmp.Compare(b.Size.CPU, a.Size.CPU))
	})
}

// TreatLowerPriorityAsFree adds the resources of tasks below a priority to the free resources of
// their machines, since tasks of that priority can preempt them.
func TreatLowerPriorityAsFree(machines []*MachineSummary, priority int) {
	for _, machine := range machines {
		for _, usage := range machine.Usages {
			if usage.Claim.Priority < priority {
				machine.FreeResources = machine.FreeResources.Plus(usage.Size)
			}
		}
	}
}
