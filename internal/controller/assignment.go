package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

const (
	// minArrayAssignmentInterval is the minimum time between two assignments of the same
	// array. It makes an array's tasks share few stored groups.
	minArrayAssignmentInterval = time.Second
	// quotaHoldTimeout is how long an all-or-nothing job that no machine can run reserves its
	// team's quota, in case a suitable machine is launched.
	quotaHoldTimeout = 45 * time.Second
)

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

// assignmentClass identifies jobs whose unassigned tasks can be placed on the same machines: if
// there is no room for one of the jobs, there is none for the others.
type assignmentClass struct {
	equivalenceClass string
	// singleZone is set for jobs whose tasks must be in one zone: zone, or any if it is "".
	singleZone bool
	zone       string
	// spreadJob is the ID of a job that spreads over zones. How many of its tasks a zone may
	// have depends on where its other tasks are.
	spreadJob string
}

// assignmentClass returns the class of a job.
func (a *assignmentPass) assignmentClass(j *job) assignmentClass {
	class := assignmentClass{equivalenceClass: j.equivalenceClass, singleZone: j.spec.SingleZone}
	if j.spec.SingleZone {
		class.zone = a.zoneOfJob(j)
	}
	if j.spec.SpreadsZones {
		class.spreadJob = j.id
	}
	return class
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

// reservesQuota reports whether an all-or-nothing job that waits reserves its team's quota ahead of the
// jobs after it. If no machine can run it, the reservation ends after quotaHoldTimeout, since a
// suitable machine may never become available. It reserves nothing if the team's services leave it
// too little: otherwise all other jobs of the team wait until a user cancels a service.
func (a *assignmentPass) reservesQuota(j *job, remaining int) bool {
	return a.fitsBesideServices(j, remaining) && (a.now.Sub(j.acceptedAt) < quotaHoldTimeout || a.isPlaceable(j))
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

// throttleForQuota throttles less urgent jobs of a job's team if the team's limit has too
// little room for the job.
func (a *assignmentPass) throttleForQuota(j *job, remaining int) {
	quota := &a.teamQuotas[j.team]
	if quota.RemainingTasks(j.taskSize, remaining) < remaining && a.limitsTeam(j, remaining) {
		a.quotaLimitedTeams[j.team] = true
		a.throttleTeam(j, quota.Shortfall(j.taskSize.Times(remaining)))
	}
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

// fitsBesideServices reports whether the team's services leave enough of its limit for one task of an
// array, or for all remaining tasks of another job. What other jobs of the team use becomes free when
// they complete.
func (a *assignmentPass) fitsBesideServices(j *job, remaining int) bool {
	needed := j.taskSize
	if j.spec.IsAllOrNothing() {
		needed = j.taskSize.Times(remaining)
	}
	return a.teamQuotas[j.team].FitsBesideServices(needed)
}

// limitsTeam reports whether jobs of lower urgency of a job's team are throttled for it when the team's
// limit has too little room: the limit and the machines can have room for it.
func (a *assignmentPass) limitsTeam(j *job, remaining int) bool {
	return a.fitsBesideServices(j, remaining) && a.isPlaceable(j)
}

// isPlaceable reports the result of canPlaceTask, which it computes once for all jobs of a
// class.
func (a *assignmentPass) isPlaceable(j *job) bool {
	class := a.assignmentClass(j)
	placeable, known := a.placeableClasses[class]
	if !known {
		placeable = a.canPlaceTask(a.summaries, j)
		a.placeableClasses[class] = placeable
	}
	return placeable
}

// canPlaceTask reports whether there is a machine on which a task of the job has room, or
// could get it by preemption. If there is none, no quota is reserved and no task is stopped
// for the job: other jobs of the team would take what that frees and be stopped in turn,
// several times a second.
func (c *leader) canPlaceTask(summaries []*planning.MachineSummary, j *job) bool {
	zone := c.requiredZone(j)
	mayUse := func(summary *planning.MachineSummary) bool {
		return !summary.Booting && c.reserveAllows(j, summary) && allowsMachine(j.spec, zone, summary.Type, summary.Zone, summary.Spot)
	}
	for _, summary := range summaries {
		if mayUse(summary) && summary.FreeResources.Contains(j.taskSize) {
			return true
		}
	}
	return planning.PlaceByPreemption(planning.CloneSummaries(summaries), mayUse, j.taskSize, scheduling.Claim{Priority: j.spec.Priority, Team: j.team}) != nil
}
