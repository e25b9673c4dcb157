package controller

import (
	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

// quotas returns the teams' quotas with their current usage, by team index.
func (c *clusterState) quotas() []planning.Quota {
	quotas := c.configuredQuotas()
	for group := range c.allGroups() {
		if group.job.spec == nil {
			continue
		}
		// An assigned task counts toward its team's limit whether it runs or not. A task of a
		// cancelled job counts until it is proven to be gone.
		use := group.job.taskSize.Times(group.quotaTaskCount(c.replica.Cursor()))
		quotas[group.job.team].Charge(use, group.guaranteed)
		if group.job.spec.Service && group.job.finalState == record.StateUnfinished {
			quotas[group.job.team].ChargeService(use)
		}
	}
	for _, job := range c.activeJobs {
		if job.finalState == record.StateUnfinished && job.spec != nil {
			chargeUnknownTasks(&quotas[job.team], job)
			chargeUnassignedMembers(&quotas[job.team], job)
		}
	}
	return quotas
}

// configuredQuotas returns the teams' quotas as configured, without any usage.
func (c *clusterState) configuredQuotas() []planning.Quota {
	quotas := make([]planning.Quota, len(c.teamIndexes))
	for i := range c.cfg.Settings.Teams {
		team := &c.cfg.Settings.Teams[i]
		quotas[c.getOrAddTeam(team.Name)] = planning.Quota{
			Guarantee: scheduling.NewResources(team.GuaranteedCPUs, team.GuaranteedGPUs, 0),
			Limit:     scheduling.NewResources(team.MaxCPUs, team.MaxGPUs, 0),
		}
	}
	return quotas
}

// chargeUnknownTasks charges the tasks that groups which can't be decoded may bind. Such
// tasks may be running, so they count until the groups can be read.
func chargeUnknownTasks(quota *planning.Quota, j *job) {
	if !j.hasUnreadableRecords() {
		return
	}
	assigned, _ := j.countAssignedTasks()
	unknownTasks := min(j.spec.TaskCount-assigned, len(j.unreadableKeys)*maxGroupBindings)
	quota.Charge(j.taskSize.Times(unknownTasks), false)
}

// chargeUnassignedMembers charges the tasks of a partially assigned gang that are not
// assigned yet. A gang that takes several transactions to assign can't start without all of
// its tasks, so it counts as a whole from the first one.
func chargeUnassignedMembers(quota *planning.Quota, j *job) {
	if !j.spec.Gang {
		return
	}
	if assigned, _ := j.countAssignedTasks(); assigned > 0 && assigned < j.spec.TaskCount {
		quota.Charge(j.taskSize.Times(j.spec.TaskCount-assigned), j.firstGroup().guaranteed)
	}
}
