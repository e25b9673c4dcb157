package controller

import (
	"slices"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

// assignmentRequest describes which tasks of a job to assign, and how.
type assignmentRequest struct {
	// previouslyAssignedTasks is how many tasks of the job are assigned already.
	// remainingTasks is how many are to be assigned.
	previouslyAssignedTasks, remainingTasks int
	// force assigns the tasks even where there is no room.
	force bool
}

// jobAssignment is the state of assigning one job's tasks.
type jobAssignment struct {
	pass *assignmentPass
	job  *job
	// permittedTasks is how many tasks the team's quota permits. assignedTasks is how many of
	// them have been assigned to a partition so far.
	permittedTasks, assignedTasks int
	claim                         scheduling.Claim
	// remainingGuaranteedTasks is how many more tasks fit into the team's guaranteed quota.
	remainingGuaranteedTasks int
	// quotaLimited is set if the team's limit is nearly used up.
	quotaLimited bool
	// force assigns the tasks even where there is no room.
	force bool
	// nextTask is the number of the next task to assign.
	nextTask int32
	// groups are the new groups, which are not stored yet.
	groups []record.TaskGroup
}

// assignWithinQuota assigns as many of a job's tasks as there is room for now. It returns the
// demand of the tasks that the quota permits but that found no room.
func (a *assignmentPass) assignWithinQuota(j *job, request assignmentRequest) planning.Demand {
	count := a.tasksWithinQuota(j, request.remainingTasks)
	if count == 0 {
		return planning.Demand{}
	}
	assignment := a.newJobAssignment(j, request, count)
	if borrowed := assignment.assignToZones(); borrowed {
		return planning.Demand{}
	}
	assignment.truncateToTransaction()
	assignment.chargeQuota()
	a.writeAssignment(j, assignment.groups)
	return a.demand(j, a.requiredZone(j), count-assignment.assignedTasks)
}

// tasksWithinQuota returns how many of a job's remaining tasks fit into its team's limit. For
// an all-or-nothing job that is all of them or none.
func (a *assignmentPass) tasksWithinQuota(j *job, remaining int) int {
	count := a.teamQuotas[j.team].RemainingTasks(j.taskSize, remaining)
	if j.spec.IsAllOrNothing() && count < remaining {
		return 0
	}
	return count
}

// newJobAssignment prepares the assignment of count tasks of a job.
func (a *assignmentPass) newJobAssignment(j *job, request assignmentRequest, count int) jobAssignment {
	quota := &a.teamQuotas[j.team]
	guaranteed := quota.RemainingGuaranteedTasks(j.taskSize, count)
	if j.spec.Gang && guaranteed < count {
		guaranteed = 0 // a gang has a single claim for all of its tasks
	}
	// If the team's limit is nearly used up, tasks that are assigned but can't run yet would
	// take quota from other jobs of the team and have to be throttled again.
	ample := request.remainingTasks + planning.MinTasksPerPartition*len(a.partitions)
	return jobAssignment{
		pass:                     a,
		job:                      j,
		permittedTasks:           count,
		claim:                    scheduling.Claim{Priority: j.spec.Priority, Guaranteed: guaranteed > 0, Team: j.team},
		remainingGuaranteedTasks: guaranteed,
		quotaLimited:             quota.RemainingTasks(j.taskSize, ample) < ample,
		force:                    request.force,
		nextTask:                 int32(request.previouslyAssignedTasks),
	}
}

// assignToZones assigns the tasks zone by zone. It reports whether machines are borrowed for
// the job instead, in which case there is nothing to store.
func (s *jobAssignment) assignToZones() (borrowed bool) {
	zones := s.pass.candidateZones(s.job, s.pass.summaries)
	zoneCount := len(zones)
	if s.pass.outranksReserve(s.job) {
		// A job that outranks gangs may use the gang reserve, but only if there is no other
		// room.
		zones = slices.Concat(zones, zones)
	}
	for i, zone := range zones {
		count := s.remainingTasksForZone(zone)
		if count <= 0 {
			continue
		}
		request := s.planningRequest(zone, count, i >= zoneCount)
		if s.job.spec.IsAllOrNothing() {
			if s.assignToOnePartition(request, zone) {
				return true
			}
			continue
		}
		s.assignToAllPartitions(request, zone)
		if s.assignedTasks == s.permittedTasks {
			break
		}
	}
	return false
}

// remainingTasksForZone returns how many more tasks may be assigned to a zone.
func (s *jobAssignment) remainingTasksForZone(zone string) int {
	count := s.permittedTasks - s.assignedTasks
	if s.job.spec.SpreadsZones {
		count = min(count, s.pass.remainingSpreadTasks(s.job, zone, s.groups))
	}
	return count
}

// planningRequest returns a request for room for count tasks in a zone.
func (s *jobAssignment) planningRequest(zone string, count int, useReserve bool) *planning.Assignment {
	mayUse := s.pass.assignmentFilter(s.job, zone, useReserve)
	return &planning.Assignment{TaskSize: s.job.taskSize, Count: count, Claim: s.claim, AllowsMachine: mayUse, QuotaLimited: s.quotaLimited, Force: s.force}
}

// assignToOnePartition assigns the tasks of an all-or-nothing job to one partition, so that
// their cells are reserved together. The partition's owner preempts other tasks if there is
// too little free room. If no partition has room, machines are borrowed for the job; borrowed
// reports whether such a loan is under way.
func (s *jobAssignment) assignToOnePartition(request *planning.Assignment, zone string) (borrowed bool) {
	partition, ok := request.ChoosePartition(s.pass.summaries, len(s.pass.partitions))
	if !ok {
		return request.Count > 1 && s.pass.borrowForJob(s.pass.summaries, s.job, loanRequest{zone: zone, tasks: request.Count, claim: s.claim})
	}
	s.addGroups(partition, zone, request.Count)
	return false
}

// assignToAllPartitions assigns the tasks of an array to all partitions that have room.
func (s *jobAssignment) assignToAllPartitions(request *planning.Assignment, zone string) {
	for partition, count := range request.SplitAmongPartitions(s.pass.summaries, s.pass.tasksAhead) {
		count = min(count, s.permittedTasks-s.assignedTasks)
		if count > 0 {
			s.addGroups(partition, zone, count)
		}
	}
}

// addGroups assigns the next count tasks to a partition, in groups that fit the store's limit
// of a value. A group has a single claim, so tasks within the guaranteed quota get groups of
// their own.
func (s *jobAssignment) addGroups(partition int, zone string, count int) {
	s.assignedTasks += count
	for count > 0 {
		size := min(count, s.pass.maxGroupTasks)
		if s.remainingGuaranteedTasks > 0 {
			size = min(size, s.remainingGuaranteedTasks)
		}
		s.groups = append(s.groups, newTaskGroupRecord(partition, zone, s.remainingGuaranteedTasks > 0, s.nextTask, size))
		s.remainingGuaranteedTasks = max(0, s.remainingGuaranteedTasks-size)
		s.nextTask += int32(size)
		count -= size
	}
}

// truncateToTransaction drops the groups that don't fit into one transaction. The rest of a
// gang is assigned later (assignRemainingGangTasks), so the gang still counts as a whole. The
// dropped tasks of other jobs count as not assigned.
func (s *jobAssignment) truncateToTransaction() {
	if s.job.spec.Gang {
		s.groups = s.pass.groupsFittingTransaction(s.groups)
		return
	}
	limit := s.pass.cfg.Settings.Store.TxnOps / 2 // each change has a condition
	if len(s.groups) <= limit {
		return
	}
	for i := range s.groups[limit:] {
		s.assignedTasks -= len(s.groups[limit+i].Tasks)
	}
	s.groups = s.groups[:limit]
}

// chargeQuota charges the assigned tasks to the team's quota.
func (s *jobAssignment) chargeQuota() {
	quota := &s.pass.teamQuotas[s.job.team]
	quota.Usage = quota.Usage.Plus(s.job.taskSize.Times(s.assignedTasks))
	if s.job.spec.Service {
		quota.ChargeService(s.job.taskSize.Times(s.assignedTasks))
	}
	for i := range s.groups {
		if group := &s.groups[i]; group.Guaranteed {
			quota.GuaranteedUsage = quota.GuaranteedUsage.Plus(s.job.taskSize.Times(len(group.Tasks)))
		}
	}
}
