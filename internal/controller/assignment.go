package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

// minArrayAssignmentInterval is the minimum time between two assignments of the same array. It makes
// an array's tasks share few stored groups.
const minArrayAssignmentInterval = time.Second

// assignWaitingTasks assigns waiting tasks to partitions that have room for them, the most
// urgent jobs first. It returns the demand of the tasks that found no room.
func (c *leader) assignWaitingTasks(summaries []*planning.MachineSummary) []planning.Demand {
	byUrgency := c.urgencyComparator()
	demands, unplacedTasks := c.placeAssignedTasks(summaries, byUrgency)
	waitingJobs := c.jobsToAssign(byUrgency)
	pass := assignmentPass{
		leader:               c,
		summaries:            summaries,
		teamQuotas:           c.quotas(),
		demands:              demands,
		tasksAhead:           c.maxTasksAhead(unplacedTasks),
		exhaustedClasses:     map[assignmentClass]bool{},
		replicaDemandIndexes: map[assignmentClass]int{},
		quotaLimitedTeams:    map[scheduling.TeamIndex]bool{},
		placeableClasses:     map[assignmentClass]bool{},
	}
	c.leadership.tasksOverLimit = 0
	for _, job := range waitingJobs {
		pass.assignJob(job)
	}
	return pass.demands
}

// jobsToAssign returns the unfinished jobs that have waiting tasks, the most urgent first.
func (c *catalog) jobsToAssign(byUrgency func(x, y *job) int) []*job {
	var jobs []*job
	for _, j := range c.activeJobs {
		if j.finalState == record.StateUnfinished && j.spec != nil && j.revision != 0 && !j.hasUnreadableRecords() && j.hasWaitingTasks() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, byUrgency)
	return jobs
}

// assignmentPass is one pass of assigning waiting tasks to partitions. The room and quota that
// a job's tasks take are subtracted from the summaries and quotas, so that later jobs get what
// is left.
type assignmentPass struct {
	*leader
	summaries []*planning.MachineSummary
	// teamQuotas holds the teams' quotas, by team index.
	teamQuotas []planning.Quota
	// demands collects the tasks that have found no room.
	demands []planning.Demand
	// tasksAhead is how many tasks each partition may be assigned beyond its free room.
	tasksAhead []int
	// exhaustedClasses holds the classes of jobs for which there was too little room.
	exhaustedClasses map[assignmentClass]bool
	// replicaDemandIndexes maps a class to the index in demands of its single-replica services
	// that found no room.
	replicaDemandIndexes map[assignmentClass]int
	// quotaLimitedTeams holds the teams that have a job waiting for the team's quota.
	quotaLimitedTeams map[scheduling.TeamIndex]bool
	// placeableClasses caches the results of isPlaceable.
	placeableClasses map[assignmentClass]bool
}

// assignJob assigns the tasks of one job that are not assigned yet.
func (a *assignmentPass) assignJob(j *job) {
	// While a more urgent job waits for the team's quota, no throttled task is allowed to run
	// again: it would be stopped and started over and over.
	if !a.quotaLimitedTeams[j.team] {
		a.unthrottle(j, &a.teamQuotas[j.team])
	}
	assigned, _ := j.countAssignedTasks()
	remaining := j.spec.TaskCount - assigned
	a.leadership.tasksOverLimit += max(0, remaining-a.tasksWithinQuota(j, max(0, remaining)))
	switch {
	case remaining <= 0:
	case a.leadership.movedToOtherZone[j]:
		a.deferTasks(j, remaining)
	case j.spec.Gang && assigned > 0:
		a.assignRemainingGangTasks(j, assigned)
	case !j.spec.IsAllOrNothing() && a.now.Sub(j.assignedAt) < minArrayAssignmentInterval:
		a.deferTasks(j, remaining)
	default:
		a.assignTasks(j, assigned, remaining)
	}
}

// deferTasks records the demand of a job of which no more tasks are assigned now.
func (a *assignmentPass) deferTasks(j *job, remaining int) {
	count := a.teamQuotas[j.team].RemainingTasks(j.taskSize, remaining)
	if !a.quotaLimitedTeams[j.team] && count < remaining && a.limitsTeam(j, remaining) {
		a.quotaLimitedTeams[j.team] = true
	}
	a.demands = append(a.demands, a.demand(j, "", count))
}

// assignTasks assigns as many of a job's remaining tasks as its team's quota and the machines
// have room for, and records the demand of the rest.
func (a *assignmentPass) assignTasks(j *job, assigned, remaining int) {
	quota := &a.teamQuotas[j.team]
	forced := a.jobTiming(j).ForcedTaskCount(j.countUnplacedTasks())
	if forced > 0 {
		remaining = min(remaining, forced)
	}
	if a.exhaustedClasses[a.assignmentClass(j)] && !j.spec.IsAllOrNothing() && forced == 0 {
		// The jobs of a class are alike: if there was no room for one of them, there is none
		// for those after it.
		a.demands = append(a.demands, a.demand(j, a.requiredZone(j), quota.RemainingTasks(j.taskSize, remaining)))
		return
	}
	if a.joinReplicaDemand(j) {
		return
	}
	usedBefore := quota.Usage
	a.throttleForQuota(j, remaining)
	unassignedDemand := a.assignWithinQuota(j, assignmentRequest{previouslyAssignedTasks: assigned, remainingTasks: remaining, force: forced > 0})
	a.recordDemand(j, unassignedDemand)
	if j.spec.IsAllOrNothing() && quota.Usage == usedBefore && a.reservesQuota(j, remaining) {
		quota.Usage = usedBefore.Plus(j.taskSize.Times(remaining))
	}
}

// joinReplicaDemand adds a service with one replica to the demand of its equivalence class,
// if another service of the class found no room, and reports whether it did. A loss of many
// machines leaves many such services.
func (a *assignmentPass) joinReplicaDemand(j *job) bool {
	index, found := a.replicaDemandIndexes[a.assignmentClass(j)]
	quota := &a.teamQuotas[j.team]
	if !found || j.spec.TaskCount != 1 || quota.RemainingTasks(j.taskSize, 1) < 1 {
		return false
	}
	quota.Usage = quota.Usage.Plus(j.taskSize)
	a.demands[index].GroupCount++
	return true
}

// recordDemand records the tasks of a job for which there was no room.
func (a *assignmentPass) recordDemand(j *job, unassignedDemand planning.Demand) {
	if unassignedDemand.Count <= 0 {
		return
	}
	if j.spec.IsAllOrNothing() && j.spec.TaskCount == 1 && !a.hasLoanFor(j) {
		a.replicaDemandIndexes[a.assignmentClass(j)], unassignedDemand.GroupCount = len(a.demands), 1
	}
	a.demands = append(a.demands, unassignedDemand)
	a.exhaustedClasses[a.assignmentClass(j)] = true
}
