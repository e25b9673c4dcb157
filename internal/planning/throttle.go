package planning

import "eiderhitch/internal/scheduling"

// GroupQuotaUsage holds how many tasks of a stored task group count toward its team's quota.
type GroupQuotaUsage struct {
	Priority int
	// RunningTasks is the number of tasks that hold cells.
	RunningTasks int
	// AllowedTasks is the number of tasks that may run, including the running ones.
	AllowedTasks int
	TaskSize     scheduling.Resources
	// WaitingTasksExempt is set if assigned tasks that don't run yet must not be throttled now,
	// unless the group has a lower priority than the job.
	WaitingTasksExempt bool
}

// limitUnchanged is the result of Throttle for a group that it doesn't throttle.
const limitUnchanged = -1

// Throttle reduces the usage of a team's limit by the shortfall of a job with the given priority,
// as far as possible. It first throttles assigned tasks that don't run yet, then stops running
// tasks of lower priority. usages holds the team's groups, the least urgent first. For each of
// them, the result holds how many tasks may run from now on, or -1 if that doesn't change.
func Throttle(usages []GroupQuotaUsage, priority int, shortfall scheduling.Resources) []int {
	t := throttler{usages: usages, allowedTasks: make([]int, len(usages)), shortfall: shortfall}
	for i := range t.allowedTasks {
		t.allowedTasks[i] = limitUnchanged
	}
	for i, use := range usages {
		if !use.WaitingTasksExempt {
			t.reduce(i, use.RunningTasks)
		}
	}
	for i, use := range usages {
		if use.Priority < priority {
			t.reduce(i, 0)
		}
	}
	return t.allowedTasks
}

// throttler holds the state of one call of Throttle. allowedTasks is the result so far, and
// shortfall the part of the shortfall that is left.
type throttler struct {
	usages       []GroupQuotaUsage
	allowedTasks []int
	shortfall    scheduling.Resources
}

// reduce lowers the allowed tasks of a group until the shortfall is covered, but not below least.
func (t *throttler) reduce(i, least int) {
	allowed := t.allowedTasks[i]
	if allowed == limitUnchanged {
		allowed = t.usages[i].AllowedTasks
	}
	for allowed > least && (t.shortfall.CPU > 0 || t.shortfall.GPU > 0) {
		allowed--
		t.shortfall = t.shortfall.Minus(t.usages[i].TaskSize)
		t.allowedTasks[i] = allowed
	}
}
