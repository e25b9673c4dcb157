package planning

import "eiderhitch/internal/scheduling"

// CountFittingTasks returns how many tasks of a size, at most count, fit into the free resources of
// the machines that the filter allows.
func CountFittingTasks(machines []*MachineSummary, allowed MachineFilter, size scheduling.Resources, count int) int {
	fitting := 0
	for _, machine := range machines {
		if allowed(machine) {
			fitting += machine.FreeResources.CountFitting(size, count-fitting)
		}
	}
	return fitting
}

// CapacityFunc returns how many tasks, at most limit, a machine can hold.
type CapacityFunc func(machine *MachineSummary, limit int) int

// SelectMachines selects machines in their order, at most limit of them, until they can hold a
// number of tasks. It also returns the number of tasks that the selected machines can't hold,
// which is zero or less if they can hold all.
func SelectMachines(machines []*MachineSummary, tasks, limit int, capacity CapacityFunc) (selected []*MachineSummary, remainingTasks int) {
	for _, machine := range machines {
		if tasks <= 0 || len(selected) >= limit {
			break
		}
		tasks -= capacity(machine, tasks)
		selected = append(selected, machine)
	}
	return selected, tasks
}
