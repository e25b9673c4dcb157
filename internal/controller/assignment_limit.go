package controller

import "time"

// This file decides which waiting jobs reserve their team's limit, and which ones throttle others.

// quotaHoldTimeout is how long an all-or-nothing job that no machine can run reserves its
// team's quota, in case a suitable machine is launched.
const quotaHoldTimeout = 45 * time.Second

// reservesQuota reports whether an all-or-nothing job that waits reserves its team's quota ahead of the
// jobs after it. If no machine can run it, the reservation ends after quotaHoldTimeout, since a
// suitable machine may never become available. It reserves nothing if the team's services leave it
// too little: otherwise all other jobs of the team wait until a user cancels a service.
func (a *assignmentPass) reservesQuota(j *job, remaining int) bool {
	return a.fitsBesideServices(j, remaining) && (a.now.Sub(j.acceptedAt) < quotaHoldTimeout || a.isPlaceable(j))
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
