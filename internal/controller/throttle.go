package controller

import (
	"cmp"
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// throttleTeam makes room for a job within its team's limit. It stops tasks of the team's
// jobs of lower priority, and throttles tasks of lower or equal priority that are assigned
// but don't run yet. Otherwise the assigned tasks of an array could use up the limit for
// minutes while a service waits.
func (c *leader) throttleTeam(j *job, shortfall scheduling.Resources) {
	groups, releasedResources := c.groupsToThrottle(j)
	byUrgency := c.urgencyComparator()
	slices.SortFunc(groups, func(first, second *taskGroup) int {
		return cmp.Or(byUrgency(second.job, first.job), cmp.Compare(second.number, first.number))
	})
	uses := make([]planning.GroupQuotaUsage, len(groups))
	for i, group := range groups {
		equal := group.job.spec.Priority == j.spec.Priority
		uses[i] = planning.GroupQuotaUsage{
			Priority:           group.job.spec.Priority,
			RunningTasks:       group.boundTaskCount(),
			AllowedTasks:       group.bindLimit(),
			TaskSize:           group.job.taskSize,
			WaitingTasksExempt: equal && (byUrgency(j, group.job) >= 0 || c.now.Sub(group.throttleChangedAt) < c.throttleInterval()),
		}
	}
	for i, mayRun := range planning.Throttle(uses, j.spec.Priority, shortfall.Minus(releasedResources)) {
		if mayRun >= 0 {
			c.setThrottle(groups[i], mayRun)
		}
	}
}

// groupsToThrottle returns the groups of the team's other jobs that may be throttled for a
// job, and the resources that throttled groups are about to release.
func (r *machineRegistry) groupsToThrottle(j *job) (groups []*taskGroup, releasedResources scheduling.Resources) {
	for group := range r.allGroups() {
		other := group.job
		if other == j || other.spec == nil || other.team != j.team || other.finalState != record.StateUnfinished || other.spec.IsAllOrNothing() || other.spec.Priority > j.spec.Priority {
			continue
		}
		if group.throttle != 0 {
			releasedResources = releasedResources.Plus(other.taskSize.Times(max(0, group.boundTaskCount()-group.bindLimit())))
		}
		if !group.writeInFlight {
			groups = append(groups, group)
		}
	}
	return groups, releasedResources
}

// minThrottleInterval is the minimum time between two changes of a group's throttle while the
// key-value store has no backlog.
const minThrottleInterval = 2 * time.Second

// throttleInterval returns the minimum time between two changes of a group's throttle that
// are not made for a more urgent job. In a team at its limit, tasks end many times a second
// and make room for others; a change for each would use up the key-value store's rate limit.
func (c *clusterState) throttleInterval() time.Duration { return minThrottleInterval + c.reuseDelay() }

// unthrottle lets throttled tasks of a job run again, as far as the quota permits.
func (c *leader) unthrottle(j *job, quota *planning.Quota) {
	for _, group := range j.groups {
		if group.throttle == 0 || group.writeInFlight || group.bindLimit() == len(group.bindings) || c.now.Sub(group.throttleChangedAt) < c.throttleInterval() {
			continue
		}
		countedTasks := group.quotaTaskCount(c.replica.Cursor())
		if additionalTasks := quota.RemainingTasks(j.taskSize, len(group.bindings)-countedTasks); additionalTasks > 0 {
			quota.Usage = quota.Usage.Plus(j.taskSize.Times(additionalTasks))
			c.setThrottle(group, countedTasks+additionalTasks)
		}
	}
}

// setThrottle stores that at most the given number of a group's tasks may run.
func (c *leader) setThrottle(group *taskGroup, tasks int) {
	changed := *group
	changed.throttle = tasks + 1 // 0 means no throttle
	if tasks >= len(group.bindings) {
		changed.throttle = 0
	}
	group.throttleChangedAt = c.now
	c.metrics.count(countThrottledGroups, 1)
	write := &store.Write{
		MediumPriority: true, ConflictProne: true,
		Conditions: []wire.Condition{c.leaderCondition(), {Key: group.key, Revision: group.revision}},
		Changes:    []wire.Change{{Put: group.key, Value: c.encodeGroup(&changed, group.doneTasks, group.bindings).ValueForKey(group.key)}},
	}
	c.submitDecision(write, group)
}
