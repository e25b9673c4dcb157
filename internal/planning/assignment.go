package planning

import "eiderhitch/internal/scheduling"

// MinTasksPerPartition is how many tasks of an array a partition is assigned at least, if
// there are that many. Each stored group costs writes of its own, to assign it, to bind
// and to end its tasks and to clear it up, and writes are what the key-value store allows
// least of.
const MinTasksPerPartition = 24

// Assignment asks for room for tasks of one job, which are all alike.
type Assignment struct {
	TaskSize      scheduling.Resources
	Count         int
	Claim         scheduling.Claim
	AllowsMachine MachineFilter
	// QuotaLimited is set if the team's limit is short. Tasks that are assigned but can't
	// run yet would hold the limit against others of the team.
	QuotaLimited bool
	// Forced tasks are assigned where they may run, room or not, to take the next cells
	// that become free.
	Force bool
}

// SplitAmongPartitions decides how many tasks of an array each partition is assigned: for what
// room is free, for what becomes free soon (ahead, which it counts down), then for what
// may be preempted. It takes that room from the machines.
func (a *Assignment) SplitAmongPartitions(machines []*MachineSummary, tasksAhead []int) []int {
	s := arraySplit{
		Assignment: a, machines: machines, tasksAhead: tasksAhead,
		assigned: make([]int, len(tasksAhead)), remaining: a.Count,
	}
	s.assignFreeCapacity()
	s.assignAhead()
	s.assignByPreemption()
	if a.Force && s.remaining == a.Count {
		s.assignForced()
	}
	s.enlargeSmallShares()
	return s.assigned
}

// spread is a SplitAmongPartitions in progress.
type arraySplit struct {
	*Assignment
	machines   []*MachineSummary
	tasksAhead []int
	// tasks is how many each partition is assigned, remaining how many are not yet.
	assigned  []int
	remaining int
}

func (s *arraySplit) assign(partition, count int) {
	s.assigned[partition] += count
	s.remaining -= count
}

// assignFreeCapacity assigns tasks to the partitions of machines that have free room.
func (s *arraySplit) assignFreeCapacity() {
	for machine, count := range PlaceWithoutPreemption(s.machines, s.AllowsMachine, s.TaskSize, s.remaining) {
		s.assign(machine.Partition, count)
	}
}

// assignAhead assigns tasks for what becomes free soon.
func (s *arraySplit) assignAhead() {
	if s.QuotaLimited {
		return
	}
	for partition := range s.tasksAhead {
		count := min(s.remaining, s.tasksAhead[partition])
		if count <= 0 || !s.allowsPartition(s.machines, partition) {
			continue
		}
		s.tasksAhead[partition] -= count
		s.assign(partition, count)
	}
}

// assignByPreemption assigns tasks where their owner can preempt others for them.
func (s *arraySplit) assignByPreemption() {
	for s.remaining > 0 {
		machine := PlaceByPreemption(s.machines, s.AllowsMachine, s.TaskSize, s.Claim)
		if machine == nil {
			return
		}
		s.assign(machine.Partition, 1)
	}
}

// assignForced assigns all tasks to the partition where most becomes free soon.
func (s *arraySplit) assignForced() {
	best, found := 0, false
	for partition := range s.tasksAhead {
		if (!found || s.tasksAhead[partition] > s.tasksAhead[best]) && s.allowsPartition(s.machines, partition) {
			best, found = partition, true
		}
	}
	if found {
		s.tasksAhead[best] -= s.remaining
		s.assign(best, s.remaining)
	}
}

// enlargeSmallShares raises shares to MinTasksPerPartition: few large groups are stored
// rather than many small ones. What is assigned too much now is assigned less ahead later.
func (s *arraySplit) enlargeSmallShares() {
	if s.QuotaLimited {
		return
	}
	for partition, count := range s.assigned {
		more := min(MinTasksPerPartition-count, s.remaining)
		if count > 0 && more > 0 {
			s.tasksAhead[partition] -= more
			s.assign(partition, more)
		}
	}
}

// allowsPartition reports whether a partition has a machine that the tasks may be on.
func (a *Assignment) allowsPartition(machines []*MachineSummary, partition int) bool {
	for _, machine := range machines {
		if machine.Partition == partition && a.AllowsMachine(machine) {
			return true
		}
	}
	return false
}

// ChoosePartition chooses the partition for a gang, whose cells are reserved together, and
// takes its room there. It reports false if no partition can hold it, in which case
// nothing has changed.
func (a *Assignment) ChoosePartition(machines []*MachineSummary, partitions int) (partition int, found bool) {
	if a.Count == 1 {
		return a.choosePartitionForTask(machines)
	}
	partition, free := a.freestPartition(machines, partitions)
	if free >= a.Count {
		PlaceWithoutPreemption(machines, a.filterPartition(partition), a.TaskSize, a.Count)
		return partition, true
	}
	for partition := range partitions {
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

// choosePartitionForTask chooses the partition for a single task: that of the fullest machine with room
// for it, which keeps machines packed.
func (a *Assignment) choosePartitionForTask(machines []*MachineSummary) (partition int, found bool) {
	for machine := range PlaceWithoutPreemption(machines, a.AllowsMachine, a.TaskSize, 1) {
		return machine.Partition, true
	}
	if machine := PlaceByPreemption(machines, a.AllowsMachine, a.TaskSize, a.Claim); machine != nil {
		return machine.Partition, true
	}
	return 0, false
}

// freestPartition returns the partition with free room for the most tasks, and for how
// many; no machine counts for more than all of them.
func (a *Assignment) freestPartition(machines []*MachineSummary, partitions int) (partition, tasks int) {
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

// within restricts the machines that are allowed to those of one partition.
func (a *Assignment) filterPartition(partition int) MachineFilter {
	return func(machine *MachineSummary) bool {
		return machine.Partition == partition && a.AllowsMachine(machine)
	}
}

// placeAll places all tasks on machines, by preemption where no room is free. It reports
// false if not all find room.
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
	// aheadTurnarounds is for how many turnarounds of a cell tasks are assigned ahead: for
	// one a cell would wait whenever more tasks than usual end.
	aheadTurnarounds = 2
	// maxAheadShare limits the tasks assigned ahead to a share of those that run. Without
	// it, short tasks would have more assigned than run.
	maxAheadShare = 0.5
	// minEstimateS is the least run time of a task that is counted on, in seconds.
	minEstimateS = 1
)

// MaxTasksAhead returns how many tasks a partition may be assigned beyond its free room:
// what ends there while a cell would wait for its next task, twice over. bound tasks of
// the given estimated run time run there.
func MaxTasksAhead(bound int, estimateS, turnaroundS float64) float64 {
	return float64(bound) * min(maxAheadShare, aheadTurnarounds*turnaroundS/max(estimateS, minEstimateS))
}
