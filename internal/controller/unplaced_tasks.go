package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

const (
	// groupMoveDelay is how long a partition has to place the tasks it was assigned before
	// the leader moves them to another one.
	groupMoveDelay = time.Second
	// maxBacklogDelay limits how much of the write queue's backlog reuseDelay takes into account.
	maxBacklogDelay = 5 * time.Second
	// leaderPassDelay is the approximate time until the leader assigns the next task.
	leaderPassDelay = time.Second
)

// unplacedClass identifies tasks that can be placed on the same machines: if there is no room
// for one of them, there is none for the others.
type unplacedClass struct {
	equivalenceClass, zone string
	partition              int
	claim                  scheduling.Claim
}

// unplacedClass returns the class of the group's unplaced tasks.
func (group *taskGroup) unplacedClass() unplacedClass {
	return unplacedClass{equivalenceClass: group.job.equivalenceClass, zone: group.zone, partition: group.partition, claim: group.claim()}
}

// placeAssignedTasks allocates room in the summaries for the tasks that are assigned but not
// placed yet, in the partitions that they are assigned to. Groups that find no room there are
// moved to partitions that have room. It returns the demand of the tasks that find no room in
// any partition, and how many tasks of each group find none in its own.
func (c *leader) placeAssignedTasks(summaries []*planning.MachineSummary, byUrgency func(x, y *job) int) (demands []planning.Demand, unplacedTasks map[*taskGroup]int) {
	unplacedTasks = map[*taskGroup]int{}
	// Free room only shrinks in this loop, so if one group of a class finds none, neither
	// will the later ones.
	exhaustedClasses := map[unplacedClass]bool{}
	var unplacedGroups []*taskGroup
	for _, group := range c.groupsToPlace(byUrgency) {
		count, class := group.bindLimit()-group.boundTaskCount(), group.unplacedClass()
		if !exhaustedClasses[class] {
			count = c.placeInPartition(summaries, group, count)
			exhaustedClasses[class] = count > 0
		}
		if count > 0 {
			unplacedGroups = append(unplacedGroups, group)
			unplacedTasks[group] = count
		}
	}
	return c.moveUnplacedGroups(summaries, unplacedGroups, unplacedTasks), unplacedTasks
}

// groupsToPlace returns the groups that have tasks that may run and are not placed, the most
// urgent first.
func (r *machineRegistry) groupsToPlace(byUrgency func(x, y *job) int) []*taskGroup {
	var groups []*taskGroup
	for group := range r.allGroups() {
		if group.job.finalState == record.StateUnfinished && group.job.spec != nil && group.job.revision != 0 && group.bindLimit() > group.boundTaskCount() {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(first, second *taskGroup) int {
		return cmp.Or(byUrgency(first.job, second.job), cmp.Compare(first.number, second.number))
	})
	return groups
}

// placeInPartition allocates room on the machines of a group's partition for count tasks. It
// returns for how many of them there is none.
func (c *leader) placeInPartition(summaries []*planning.MachineSummary, group *taskGroup, count int) int {
	spec, size := group.job.spec, group.job.taskSize
	mayUse := func(summary *planning.MachineSummary) bool {
		return summary.Partition == group.partition && !summary.Booting && allowsMachine(spec, group.zone, summary.Type, summary.Zone, summary.Spot)
	}
	if spec.Gang && group.partition == c.loanPartition() && planning.CountFittingTasks(summaries, mayUse, size, count) < count {
		// A gang may collect room in the leader's partition while it waits, but it must not
		// block machines there that have been unused for long.
		inPartition := mayUse
		mayUse = func(summary *planning.MachineSummary) bool { return inPartition(summary) && !c.isLongUnused(summary) }
	}
	for _, placed := range planning.PlaceWithoutPreemption(summaries, mayUse, size, count) {
		count -= placed
	}
	for count > 0 && spec.Priority > 0 && planning.PlaceByPreemption(summaries, mayUse, size, group.claim()) != nil {
		count--
	}
	return count
}

// moveUnplacedGroups moves groups that found no room in their partitions to other partitions.
// It returns the demand of those for which there is no room there either.
func (c *leader) moveUnplacedGroups(summaries []*planning.MachineSummary, unplacedGroups []*taskGroup, unplacedTasks map[*taskGroup]int) []planning.Demand {
	var demands []planning.Demand
	exhaustedClasses := map[unplacedClass]bool{}
	for _, group := range unplacedGroups {
		count, class := unplacedTasks[group], group.unplacedClass()
		if !group.writeInFlight && c.now.Sub(group.partitionAssignedAt) > groupMoveDelay && (group.job.spec.IsAllOrNothing() || !exhaustedClasses[class]) {
			if c.moveUnplacedTasks(summaries, group, count) {
				continue
			}
			exhaustedClasses[class] = true
		}
		if !c.moveToOtherZone(summaries, group) {
			demands = append(demands, c.demand(group.job, c.zoneForLaunches(group), count))
		}
	}
	return demands
}

// reuseDelay returns how long a cell stays empty if its next task has not been assigned
// yet: the approximate time to store the end of the old task, to assign the new one, and to
// store its binding.
func (c *clusterState) reuseDelay() time.Duration {
	return c.endBatchingDelay() + 2*min(c.storeWriter.BacklogDuration(), maxBacklogDelay) + leaderPassDelay
}

// maxTasksAhead returns for each partition how many tasks it may be assigned beyond its free
// room. They let the partition's owner reuse the cell of an ending task without waiting for
// the leader. Tasks that already wait in the partition without room count against the number.
func (c *clusterState) maxTasksAhead(unplacedTasks map[*taskGroup]int) []int {
	ahead := make([]float64, len(c.partitions))
	reuseDelayS := c.reuseDelay().Seconds()
	for group := range c.allGroups() {
		if group.job.spec != nil && !group.job.spec.IsAllOrNothing() {
			ahead[group.partition] += planning.MaxTasksAhead(group.boundTaskCount(), group.job.spec.EstimateS, reuseDelayS)
		}
	}
	tasks := make([]int, len(c.partitions))
	for i := range tasks {
		tasks[i] = int(math.Ceil(ahead[i]))
	}
	for group, count := range unplacedTasks {
		if group.partition >= 0 && group.partition < len(tasks) {
			tasks[group.partition] -= count
		}
	}
	return tasks
}
