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
	// groupMoveDelay is how long a partition has to place what it was assigned before that is
	// moved to another.
	groupMoveDelay = time.Second
	// maxBacklogDelay is the longest delay of stored writes that is assigned ahead for.
	maxBacklogDelay = 5 * time.Second
	// leaderPassDelay is about how long it takes until the leader assigns the next task.
	leaderPassDelay = time.Second
)

// unplacedClass is what decides where unplaced tasks of a group may find room.
type unplacedClass struct {
	equivalenceClass, zone string
	partition              int
	claim                  scheduling.Claim
}

func (group *taskGroup) unplacedClass() unplacedClass {
	return unplacedClass{equivalenceClass: group.job.equivalenceClass, zone: group.zone, partition: group.partition, claim: group.claim()}
}

// placeAssignedTasks has the tasks that are assigned and not placed yet take the room in their
// partitions, and moves those that find none to partitions that have room. It returns what
// found no room anywhere, and how many tasks of each group found none in its partition.
func (c *leader) placeAssignedTasks(summaries []*planning.MachineSummary, byUrgency func(x, y *job) int) (demands []planning.Demand, unplaced map[*taskGroup]int) {
	unplaced = map[*taskGroup]int{}
	// Room only gets less here, so where one group of a class has found none, none behind
	// it will.
	fullClasses := map[unplacedClass]bool{}
	var stuck []*taskGroup
	for _, group := range c.groupsToPlace(byUrgency) {
		count, class := group.bindLimit()-group.boundTaskCount(), group.unplacedClass()
		if !fullClasses[class] {
			count = c.placeInPartition(summaries, group, count)
			fullClasses[class] = count > 0
		}
		if count > 0 {
			stuck = append(stuck, group)
			unplaced[group] = count
		}
	}
	return c.moveUnplacedGroups(summaries, stuck, unplaced), unplaced
}

// groupsToPlace returns the groups with tasks that may run and are not placed, the most
// urgent first.
func (c *machineRegistry) groupsToPlace(byUrgency func(x, y *job) int) []*taskGroup {
	var groups []*taskGroup
	for group := range c.allGroups() {
		if group.job.finalState == record.Unfinished && group.job.spec != nil && group.job.revision != 0 && group.bindLimit() > group.boundTaskCount() {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(first, second *taskGroup) int {
		return cmp.Or(byUrgency(first.job, second.job), cmp.Compare(first.number, second.number))
	})
	return groups
}

// placeInPartition takes room for count tasks of a group from the machines of its
// partition, and returns how many tasks found none.
func (c *leader) placeInPartition(summaries []*planning.MachineSummary, group *taskGroup, count int) int {
	spec, size := group.job.spec, group.job.taskSize
	mayUse := func(summary *planning.MachineSummary) bool {
		return summary.Partition == group.partition && !summary.Booting && allowsMachine(spec, group.zone, summary.Type, summary.Zone, summary.Spot)
	}
	if spec.Gang && group.partition == c.loanPartition() && planning.CountFittingTasks(summaries, mayUse, size, count) < count {
		// It gathers room there, but holds none for long that it can't use.
		inPartition := mayUse
		mayUse = func(summary *planning.MachineSummary) bool {
			return inPartition(summary) && !c.isReserveRoomUnused(summary)
		}
	}
	for _, placed := range planning.PlaceWithoutPreemption(summaries, mayUse, size, count) {
		count -= placed
	}
	for count > 0 && spec.Priority > 0 && planning.PlaceByPreemption(summaries, mayUse, size, group.claim()) != nil {
		count--
	}
	return count
}

// moveUnplacedGroups moves groups that found no room in their partitions to others, and
// returns the demand of those that find none there either.
func (c *leader) moveUnplacedGroups(summaries []*planning.MachineSummary, stuck []*taskGroup, unplaced map[*taskGroup]int) []planning.Demand {
	var demands []planning.Demand
	withoutRoom := map[unplacedClass]bool{}
	for _, group := range stuck {
		count, class := unplaced[group], group.unplacedClass()
		if !group.writeInFlight && c.now.Sub(group.partitionAssignedAt) > groupMoveDelay && (group.job.spec.AllOrNothing() || !withoutRoom[class]) {
			if c.moveUnplacedTasks(summaries, group, count) {
				continue
			}
			withoutRoom[class] = true
		}
		if !c.moveToOtherZone(summaries, group) {
			demands = append(demands, c.demand(group.job, group.zone, count))
		}
	}
	return demands
}

// turnaround is about how long a cell stays empty when its next task has not been assigned
// yet: the end is stored, the leader assigns, the binding is stored.
func (c *clusterState) cellTurnaround() time.Duration {
	return c.endBatchingDelay() + 2*min(c.stateWriter.Backlog(), maxBacklogDelay) + leaderPassDelay
}

// assignAhead is how many tasks each partition may be assigned beyond its free room, so
// that an ending task's cell is taken again without asking the leader. Tasks that found no
// room there count for it.
func (c *clusterState) maxTasksAhead(unplaced map[*taskGroup]int) []int {
	ahead := make([]float64, len(c.partitions))
	turnaround := c.cellTurnaround().Seconds()
	for group := range c.allGroups() {
		if group.job.spec != nil && !group.job.spec.AllOrNothing() {
			ahead[group.partition] += planning.MaxTasksAhead(group.boundTaskCount(), group.job.spec.EstimateS, turnaround)
		}
	}
	tasks := make([]int, len(c.partitions))
	for i := range tasks {
		tasks[i] = int(math.Ceil(ahead[i]))
	}
	for group, count := range unplaced {
		if group.partition >= 0 && group.partition < len(tasks) {
			tasks[group.partition] -= count
		}
	}
	return tasks
}
