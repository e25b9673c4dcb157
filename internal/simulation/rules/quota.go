package rules

import "eiderhitch/internal/scheduling"

// exceedsQuota tells whether a use is more than a team may have.
func (c *checker) exceedsQuota(team string, used scheduling.Resources) bool {
	quota, limited := c.Quotas[team]
	if !limited {
		return false
	}
	return quota.CPU > 0 && used.CPU > quota.CPU || quota.GPU > 0 && used.GPU > quota.GPU
}

// checkQuota checks that a started task's team keeps to its limit.
func (c *checker) checkQuota(started *task) {
	team := started.job.spec.Team
	var used scheduling.Resources
	for _, t := range c.tasks {
		if t.startedOn != nil && t.job.spec.Team == team {
			used = used.Plus(t.job.need())
		}
	}
	if c.exceedsQuota(team, used) {
		c.violate(QuotaExceeded, "%s uses %v of %v", team, used, c.Quotas[team])
	}
}
