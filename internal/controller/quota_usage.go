package controller

import (
	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

// quotas returns the teams' quotas with what their tasks use of them, by team index.
func (c *clusterState) quotas() []planning.Quota {
	quotas := c.configuredQuotas()
	for group := range c.allGroups() {
		if group.job.spec == nil {
			continue
		}
		// An assigned task counts for its team's limit whether it runs or not; one of a
		// cancelled job until it is proven gone.
		use := group.job.taskSize.Times(group.quotaTaskCount(c.replica.Cursor()))
		quotas[group.job.team].Charge(use, group.guaranteed)
	}
	for _, job := range c.activeJobs {
		if job.finalState == record.Unfinished && job.spec != nil {
			chargeUnknownTasks(&quotas[job.team], job)
			chargeUnassignedMembers(&quotas[job.team], job)
		}
	}
	return quotas
}

// configuredQuotas returns the teams' quotas as they are set, without any use.
func (c *clusterState) configuredQuotas() []planning.Quota {
	quotas := make([]planning.Quota, len(c.teamIndexes))
	for i := range c.cfg.Settings.Teams {
		team := &c.cfg.Settings.Teams[i]
		quotas[c.getOrAddTeam(team.Name)] = planning.Quota{
			Guarantee: scheduling.NewResources(team.CPUs, team.GPUs, 0),
			Limit:     scheduling.NewResources(team.CPUsMax, team.GPUsMax, 0),
		}
	}
	return quotas
}

// chargeUnknownTasks counts what groups that can't be decoded may bind: it may run, and
// counts until it is known.
func chargeUnknownTasks(quota *planning.Quota, j *job) {
	if !j.hasUnreadableRecords() {
		return
	}
	assigned, _ := j.countAssignedTasks()
	unknown := min(j.spec.Tasks-assigned, len(j.unreadableKeys)*maxGroupBindings)
	quota.Charge(j.taskSize.Times(unknown), false)
}

// chargeUnassignedMembers counts a gang that is assigned in several transactions whole from
// the first on: it can't start without the rest.
func chargeUnassignedMembers(quota *planning.Quota, j *job) {
	if !j.spec.Gang {
		return
	}
	if assigned, _ := j.countAssignedTasks(); assigned > 0 && assigned < j.spec.Tasks {
		quota.Charge(j.taskSize.Times(j.spec.Tasks-assigned), j.firstGroup().guaranteed)
	}
}
