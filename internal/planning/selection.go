package planning

import "eiderhitch/internal/scheduling"

// CountFittingTasks returns for how many tasks of a size, at most count, the machines that the
// filter allows have free room.
func CountFittingTasks(machines []*MachineSummary, allowed MachineFilter, size scheduling.Resources, count int) int {
	fitting := 0
	for _, machine := range machines {
		if allowed(machine) {
			fitting += machine.FreeResources.CountFitting(size, count-fitting)
		}
	}
	return fitting
}

// CapacityFunc returns for how many tasks, at most limit, a machine has room.
type CapacityFunc func(machine *MachineSummary, limit int) int

// SelectMachines takes machines in their order, at most limit of them, until they have room
// for a number of tasks, and returns for how many tasks they lack room.
func SelectMachines(machines []*MachineSummary, tasks, limit int, capacity CapacityFunc) (selected []*MachineSummary, lacking int) {
	for _, machine := range machines {
		if tasks <= 0 || len(selected) >= limit {
			break
		}
		tasks -= capacity(machine, tasks)
		selected = append(selected, machine)
	}
	return selected, tasks
}
