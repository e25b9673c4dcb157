package rules

import "eiderhitch/internal/scheduling"

// exceedsQuota reports whether the resources used exceed a team's quota. A quota of 0 for CPUs
// or GPUs means no limit.
func (c *checker) exceedsQuota(team string, used scheduling.Resources) bool {
	quota, limited := c.Quotas[team]
	if !limited {
		return false
	}
	return quota.CPU > 0 && used.CPU > quota.CPU || quota.GPU > 0 && used.GPU > quota.GPU
}

// checkQuota checks that the team of a started task doesn't exceed its quota.
func (c *checker) checkQuota(started *task) {
	team := started.job.spec.Team
	var used scheduling.Resources
	for _, t := range c.tasks {
		if t.startedOn != nil && t.job.spec.Team == team {
			used = used.Plus(t.job.taskResources())
		}
	}
	if c.exceedsQuota(team, used) {
		c.addViolation(QuotaExceeded, "team %s uses %v, quota %v", team, used, c.Quotas[team])
	}
}
