package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

const (
	// minArrayAssignmentInterval is the least time between two assignments of one array: its tasks
	// are stored in few groups.
	minArrayAssignmentInterval = time.Second
	// quotaHoldTimeout is how long a job that starts whole, and for which there is no machine,
	// holds its team's limit back for a machine that may come.
	quotaHoldTimeout = 45 * time.Second
)

// assign gives waiting tasks to partitions that have room for them, the most urgent jobs
// first, and returns what found no room.
func (c *leader) assignWaitingTasks(summaries []*planning.MachineSummary) []planning.Demand {
	byUrgency := c.urgencyComparator()
	demands, unplaced := c.placeAssignedTasks(summaries, byUrgency)
	waiting := c.jobsToAssign(byUrgency)
	pass := assignmentPass{
		leader:               c,
		summaries:            summaries,
		teamQuotas:           c.quotas(),
		demands:              demands,
		tasksAhead:           c.maxTasksAhead(unplaced),
		exhaustedClasses:     map[string]bool{},
		replicaDemandIndexes: map[string]int{},
		quotaLimitedTeams:    map[scheduling.TeamIndex]bool{},
		placeableClasses:     map[string]bool{},
	}
	for _, job := range waiting {
		pass.assignJob(job)
	}
	return pass.demands
}

// jobsToAssign returns the jobs with tasks that wait, the most urgent first.
func (c *catalog) jobsToAssign(byUrgency func(x, y *job) int) []*job {
	var jobs []*job
	for _, j := range c.activeJobs {
		if j.finalState == record.Unfinished && j.spec != nil && j.revision != 0 && !j.hasUnreadableRecords() && j.hasWaitingTasks() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, byUrgency)
	return jobs
}

// assignmentPass is one round of assigning waiting tasks to partitions. What a job is
// assigned is taken from the summaries and quotas, so that the jobs after it get the rest.
type assignmentPass struct {
	*leader
	summaries []*planning.MachineSummary
	// teamQuotas are the teams' quotas, by team index.
	teamQuotas []planning.Quota
	// demands are the tasks that found no room so far.
	demands []planning.Demand
	// ahead is how many tasks each partition may be assigned beyond its free room.
	tasksAhead []int
	// exhaustedClasses are the equivalence classes of jobs that found too little room.
	exhaustedClasses map[string]bool
	// replicaDemandIndexes is, by equivalence class, the index in demands of the services of one
	// replica that found no room.
	replicaDemandIndexes map[string]int
	// quotaLimitedTeams are the teams of which a job waits for the team's limit.
	quotaLimitedTeams map[scheduling.TeamIndex]bool
	// placeableClasses tells whether jobs of a class find, or can make, any room at all.
	placeableClasses map[string]bool
}

// assignJob decides about the tasks of one job that are not assigned yet.
func (a *assignmentPass) assignJob(j *job) {
	// While somebody more urgent waits within the team's limit, nothing that is throttled
	// runs again: it would be stopped and started for ever.
	if !a.quotaLimitedTeams[j.team] {
		a.unthrottle(j, &a.teamQuotas[j.team])
	}
	assigned, _ := j.countAssignedTasks()
	remaining := j.spec.Tasks - assigned
	switch {
	case remaining <= 0:
	case j.spec.Gang && assigned > 0:
		a.assignRemainingGangTasks(j, assigned)
	case !j.spec.AllOrNothing() && a.now.Sub(j.assignedAt) < minArrayAssignmentInterval:
		a.deferArray(j, remaining)
	default:
		a.assignTasks(j, assigned, remaining)
	}
}

// deferArray notes the demand of an array that was assigned tasks a moment ago.
func (a *assignmentPass) deferArray(j *job, remaining int) {
	count := a.teamQuotas[j.team].RemainingTasks(j.taskSize, remaining)
	if !a.quotaLimitedTeams[j.team] && count < remaining && a.isPlaceable(j) {
		a.quotaLimitedTeams[j.team] = true
	}
	a.demands = append(a.demands, a.demand(j, "", count))
}

// assignTasks assigns as many of a job's remaining tasks as its team's quota and the
// machines have room for, and notes the demand of the others.
func (a *assignmentPass) assignTasks(j *job, assigned, remaining int) {
	quota := &a.teamQuotas[j.team]
	forced := a.jobOrder(j).ForcedTaskCount(j.countUnplacedTasks())
	if forced > 0 {
		remaining = min(remaining, forced)
	}
	if a.exhaustedClasses[j.equivalenceClass] && !j.spec.AllOrNothing() && forced == 0 {
		// Jobs of a class are decided about together: where one found no room, none behind
		// it will.
		a.demands = append(a.demands, a.demand(j, "", quota.RemainingTasks(j.taskSize, remaining)))
		return
	}
	if a.joinReplicaDemand(j) {
		return
	}
	usedBefore := quota.Usage
	a.throttleForQuota(j, remaining)
	unassigned := a.assignWithinQuota(j, assignmentRequest{assignedTasks: assigned, remainingTasks: remaining, force: forced > 0})
	a.recordDemand(j, unassigned)
	if j.spec.AllOrNothing() && quota.Usage == usedBefore && (a.now.Sub(j.acceptedAt) < quotaHoldTimeout || a.isPlaceable(j)) {
		// What such a job waits for is not for those behind it, unless no machine has come
		// for it in good time: none may ever.
		quota.Usage = usedBefore.Plus(j.taskSize.Times(remaining))
	}
}

// joinReplicaDemand adds a service of one replica to the demand of its class, if another
// service of the class found no room: there are many of them after a loss of machines. It
// reports whether it did.
func (a *assignmentPass) joinReplicaDemand(j *job) bool {
	index, found := a.replicaDemandIndexes[j.equivalenceClass]
	quota := &a.teamQuotas[j.team]
	if !found || j.spec.Tasks != 1 || quota.RemainingTasks(j.taskSize, 1) < 1 {
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
	if quota.RemainingTasks(j.taskSize, remaining) < remaining && a.isPlaceable(j) {
		a.quotaLimitedTeams[j.team] = true
		a.throttleTeam(j, quota.Shortfall(j.taskSize.Times(remaining)))
	}
}

// recordDemand notes what an assignment of a job left without room.
func (a *assignmentPass) recordDemand(j *job, unassigned planning.Demand) {
	if unassigned.Count <= 0 {
		return
	}
	if j.spec.AllOrNothing() && j.spec.Tasks == 1 && !a.hasLoanFor(j) {
		a.replicaDemandIndexes[j.equivalenceClass], unassigned.GroupCount = len(a.demands), 1
	}
	a.demands = append(a.demands, unassigned)
	a.exhaustedClasses[j.equivalenceClass] = true
}

// isPlaceable is placeable, evaluated once for all jobs of a class.
func (a *assignmentPass) isPlaceable(j *job) bool {
	class := j.equivalenceClass
	if j.spec.SingleZone {
		class += "/" + a.zoneOfJob(j)
	}
	placeable, known := a.placeableClasses[class]
	if !known {
		placeable = a.canPlaceTask(a.summaries, j)
		a.placeableClasses[class] = placeable
	}
	return placeable
}

// placeable tells whether there is a machine on which a task of a job finds room, or may
// make some. Where there is none, nothing of its team is held back or stopped for it: the
// room that came of that went to others, who were stopped for it in turn, several times a
// second.
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
