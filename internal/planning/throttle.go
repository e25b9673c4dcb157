package planning

import "eiderhitch/internal/scheduling"

// GroupQuotaUsage is how many tasks of a stored group count for its team's quota.
type GroupQuotaUsage struct {
	Priority int
	// Running tasks hold cells.
	RunningTasks int
	// Allowed is how many tasks may run: at least those that do, or are to.
	AllowedTasks int
	TaskSize     scheduling.Resources
	// Fixed is set if tasks that are assigned but don't run can't be throttled now.
	WaitingTasksExempt bool
}

// unthrottled marks a group for which Throttle changes nothing.
const limitUnchanged = -1

// Throttle makes room within a team's limit for a job of that priority, which lacks the
// given amount. Assigned tasks that don't run yet are held back first, then running tasks
// of lower priority are stopped. uses lists the team's groups, the least urgent first; the
// result has for each how many of its tasks may run from now on, or -1 where nothing
// changes.
func Throttle(uses []GroupQuotaUsage, priority int, shortfall scheduling.Resources) []int {
	t := throttler{uses: uses, allowed: make([]int, len(uses)), shortfall: shortfall}
	for i := range t.allowed {
		t.allowed[i] = limitUnchanged
	}
	for i, use := range uses {
		if !use.WaitingTasksExempt {
			t.reduce(i, use.RunningTasks)
		}
	}
	for i, use := range uses {
		if use.Priority < priority {
			t.reduce(i, 0)
		}
	}
	return t.allowed
}

// throttling is a Throttle in progress.
type throttler struct {
	uses      []GroupQuotaUsage
	allowed   []int
	shortfall scheduling.Resources
}

// lower allows a group fewer tasks, as far as that is needed, but no fewer than least.
func (t *throttler) reduce(i, least int) {
	allowed := t.allowed[i]
	if allowed == limitUnchanged {
		allowed = t.uses[i].AllowedTasks
	}
	for allowed > least && (t.shortfall.CPU > 0 || t.shortfall.GPU > 0) {
		allowed--
		t.shortfall = t.shortfall.Minus(t.uses[i].TaskSize)
		t.allowed[i] = allowed
	}
}
