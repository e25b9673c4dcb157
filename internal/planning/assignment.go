package planning

import "eiderhitch/internal/scheduling"

// MinTasksPerPartition is the least number of tasks of an array that a partition is assigned,
// unless the array has fewer tasks left or the quota is limited. Each stored task group needs
// its own writes, to assign it, to bind its tasks, to store their ends and to delete it, and the
// key-value store limits writes more than anything else.
const MinTasksPerPartition = 24

// Assignment describes identical tasks of one job that are to be assigned to partitions.
type Assignment struct {
	TaskSize scheduling.Resources
	Count    int
	Claim    scheduling.Claim
	// AllowsMachine reports whether the tasks may run on a machine.
	AllowsMachine MachineFilter
	// QuotaLimited is set if the team is close to its limit. Tasks that are assigned before
	// they can run would count toward the limit and block other jobs of the team, so only as
	// many tasks are assigned as there is capacity for, unless Force applies.
	QuotaLimited bool
	// Force is set to assign the tasks even if there is no capacity for any of them, so that
	// they take the next cells that become free.
	Force bool
}

// SplitAmongPartitions returns how many tasks of an array each partition is assigned: first as
// many as fit into free resources, then as many as tasksAhead permits for each partition, in
// cells that become free soon, then as many as fit by preemption. If these are none and Force is
// set, one partition is assigned all tasks. Last, partitions with few tasks are assigned up to
// MinTasksPerPartition. It subtracts what it assigns from the machines and from tasksAhead, which
// may become negative.
func (a *Assignment) SplitAmongPartitions(machines []*MachineSummary, tasksAhead []int) []int {
	s := arraySplit{
		Assignment: a, machines: machines, tasksAhead: tasksAhead,
		assignedTasks: make([]int, len(tasksAhead)), remainingTasks: a.Count,
	}
	s.assignFreeCapacity()
	s.assignAhead()
	s.assignByPreemption()
	if a.Force && s.remainingTasks == a.Count {
		s.assignForced()
	}
	s.enlargeSmallShares()
	return s.assignedTasks
}

// arraySplit holds the state of one call of SplitAmongPartitions.
type arraySplit struct {
	*Assignment
	machines   []*MachineSummary
	tasksAhead []int
	// assignedTasks is the number of tasks that each partition is assigned so far.
	assignedTasks []int
	// remainingTasks is the number of tasks that are not assigned yet.
	remainingTasks int
}

func (s *arraySplit) assign(partition, count int) {
	s.assignedTasks[partition] += count
	s.remainingTasks -= count
}

// assignFreeCapacity assigns the tasks that fit into free resources.
func (s *arraySplit) assignFreeCapacity() {
	for machine, count := range PlaceWithoutPreemption(s.machines, s.AllowsMachine, s.TaskSize, s.remainingTasks) {
		s.assign(machine.Partition, count)
	}
}

// assignAhead assigns tasks for cells that become free soon.
func (s *arraySplit) assignAhead() {
	if s.QuotaLimited {
		return
	}
	for partition := range s.tasksAhead {
		count := min(s.remainingTasks, s.tasksAhead[partition])
		if count <= 0 || !s.allowsPartition(s.machines, partition) {
			continue
		}
		s.tasksAhead[partition] -= count
		s.assign(partition, count)
	}
}

// assignByPreemption assigns tasks to partitions whose owners can preempt other tasks for them.
func (s *arraySplit) assignByPreemption() {
	for s.remainingTasks > 0 {
		machine := PlaceByPreemption(s.machines, s.AllowsMachine, s.TaskSize, s.Claim)
		if machine == nil {
			return
		}
		s.assign(machine.Partition, 1)
	}
}

// assignForced assigns all tasks to the allowed partition where most cells become free soon.
func (s *arraySplit) assignForced() {
	best, found := 0, false
	for partition := range s.tasksAhead {
		if (!found || s.tasksAhead[partition] > s.tasksAhead[best]) && s.allowsPartition(s.machines, partition) {
			best, found = partition, true
		}
	}
	if found {
		s.tasksAhead[best] -= s.remainingTasks
		s.assign(best, s.remainingTasks)
	}
}

// enlargeSmallShares raises small numbers of assigned tasks to MinTasksPerPartition, so that a
// few large task groups are stored rather than many small ones. The added tasks count against
// tasksAhead, so that later assignments to the partition are smaller.
func (s *arraySplit) enlargeSmallShares() {
	if s.QuotaLimited {
		return
	}
	for partition, count := range s.assignedTasks {
		more := min(MinTasksPerPartition-count, s.remainingTasks)
		if count > 0 && more > 0 {
			s.tasksAhead[partition] -= more
			s.assign(partition, more)
		}
	}
}

// allowsPartition reports whether a partition has a machine on which the tasks may run.
func (a *Assignment) allowsPartition(machines []*MachineSummary, partition int) bool {
	for _, machine := range machines {
		if machine.Partition == partition && a.AllowsMachine(machine) {
			return true
		}
	}
	return false
}

// ChoosePartition chooses one partition for all tasks, as for a gang, whose cells are reserved
// together, and subtracts their resources from the machines there. It reports false if no
// partition has enough capacity, and then leaves the machines unchanged.
func (a *Assignment) ChoosePartition(machines []*MachineSummary, partitionCount int) (partition int, found bool) {
	if a.Count == 1 {
		return a.choosePartitionForTask(machines)
	}
	partition, free := a.partitionWithMostCapacity(machines, partitionCount)
	if free >= a.Count {
		PlaceWithoutPreemption(machines, a.filterPartition(partition), a.TaskSize, a.Count)
		return partition, true
	}
	for partition := range partitionCount {
		trial := CloneSummaries(machines)
		if a.placeAll(trial, a.filterPartition(partition)) {
			for i := range machines {
				*machines[i] = *trial[i]
			}
			return partition, true
		}
	}
	return 0, false
}

// choosePartitionForTask chooses the partition for a single task: that of the machine with the
// least free resources that are sufficient, so that machines stay packed.
func (a *Assignment) choosePartitionForTask(machines []*MachineSummary) (partition int, found bool) {
	for machine := range PlaceWithoutPreemption(machines, a.AllowsMachine, a.TaskSize, 1) {
		return machine.Partition, true
	}
	if machine := PlaceByPreemption(machines, a.AllowsMachine, a.TaskSize, a.Claim); machine != nil {
		return machine.Partition, true
	}
	return 0, false
}

// partitionWithMostCapacity returns the partition whose free resources hold the most tasks, and that
// number. Each machine counts for at most a.Count tasks.
func (a *Assignment) partitionWithMostCapacity(machines []*MachineSummary, partitions int) (partition, tasks int) {
	free := make([]int, partitions)
	for _, machine := range machines {
		if a.AllowsMachine(machine) {
			free[machine.Partition] += machine.FreeResources.CountFitting(a.TaskSize, a.Count)
		}
	}
	best := 0
	for partition := range free {
		if free[partition] > free[best] {
			best = partition
		}
	}
	return best, free[best]
}

// filterPartition returns a filter for the allowed machines of one partition.
func (a *Assignment) filterPartition(partition int) MachineFilter {
	return func(machine *MachineSummary) bool {
		return machine.Partition == partition && a.AllowsMachine(machine)
	}
}

// placeAll places all tasks on machines, by preemption if the free resources are insufficient.
// It reports whether all tasks are placed; if not, some of them may be.
func (a *Assignment) placeAll(machines []*MachineSummary, allowed MachineFilter) bool {
	remaining := a.Count
	for _, count := range PlaceWithoutPreemption(machines, allowed, a.TaskSize, a.Count) {
		remaining -= count
	}
	for remaining > 0 && PlaceByPreemption(machines, allowed, a.TaskSize, a.Claim) != nil {
		remaining--
	}
	return remaining == 0
}

const (
	// aheadTurnarounds is the number of turnaround times of a cell for which tasks are assigned
	// ahead. With one, cells would stay empty whenever more tasks than usual end.
	aheadTurnarounds = 2
	// maxAheadShare limits the tasks assigned ahead to a share of the running tasks. Without the
	// limit, more short tasks would be assigned ahead than run.
	maxAheadShare = 0.5
	// minEstimateS is the lower bound, in seconds, of estimated run times.
	minEstimateS = 1
)

// MaxTasksAhead returns how many tasks a partition may be assigned beyond its free resources:
// twice as many as end during the turnaround time, for which a cell would wait for its next
// task. The partition runs the given number of bound tasks with the given estimated run time.
// Times are in seconds.
func MaxTasksAhead(boundTasks int, estimateS, turnaroundS float64) float64 {
	return float64(boundTasks) * min(maxAheadShare, aheadTurnarounds*turnaroundS/max(estimateS, minEstimateS))
}
