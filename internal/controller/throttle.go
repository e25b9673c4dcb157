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

// throttleTeam makes room within a team's limit for a job that waits for it: tasks of
// the team's lower jobs are stopped, dealt ones that don't run yet, of equal jobs
// too, stand back. Else what is dealt of an array would hold the limit against a
// service for minutes.
func (c *leader) throttleTeam(j *job, lack scheduling.Resources) {
	level := j.spec.Priority
	var from []*taskGroup
	for group := range c.allGroups() {
		if group.job == j || group.job.spec == nil || group.job.team != j.team || group.job.finalState != record.Unfinished || group.job.spec.AllOrNothing() || group.job.spec.Priority > level {
			continue
		}
		if group.throttle != 0 { // what is on its way out already
			lack = lack.Minus(group.job.taskSize.Times(max(0, group.boundTasks()-group.allowedTasks())))
		}
		if !group.writing {
			from = append(from, group)
		}
	}
	urgent := c.byUrgency()
	slices.SortFunc(from, func(first, second *taskGroup) int {
		return cmp.Or(urgent(second.job, first.job), cmp.Compare(second.number, first.number))
	})
	standing := make([]planning.QuotaUse, len(from))
	for i, group := range from {
		standing[i] = planning.QuotaUse{Priority: group.job.spec.Priority, Running: group.boundTasks(), Allowed: group.allowedTasks(), TaskSize: group.job.taskSize,
			Fixed: group.job.spec.Priority == level && (urgent(j, group.job) >= 0 || c.now.Sub(group.throttledAt) < c.throttleInterval())}
	}
	for i, may := range planning.Throttle(standing, level, lack) {
		if may >= 0 {
			c.setThrottle(from[i], may)
		}
	}
}

// throttleInterval spaces the changes of one record's cap that are not for more urgent
// work: a team at its limit has a task end, and so room for one more, many times a
// second, and a change for each of them would take up the state service's limit.
func (c *clusterState) throttleInterval() time.Duration { return 2*time.Second + c.turnaround() }

// unthrottle lets tasks run again that had to stand back, as the limit permits.
func (c *leader) unthrottle(j *job, lim *planning.Quota) {
	for _, group := range j.groups {
		if group.throttle == 0 || group.writing || group.allowedTasks() == len(group.bindings) || c.now.Sub(group.throttledAt) < c.throttleInterval() {
			continue
		}
		if k := lim.Room(j.taskSize, len(group.bindings)-group.quotaTasks(c.replica.Cursor())); k > 0 {
			lim.Used = lim.Used.Plus(j.taskSize.Times(k))
			c.setThrottle(group, group.quotaTasks(c.replica.Cursor())+k)
		}
	}
}

func (c *leader) setThrottle(group *taskGroup, n int) {
	changed := *group
	changed.throttle = n + 1
	if n >= len(group.bindings) {
		changed.throttle = 0
	}
	epoch := c.leadership.epoch
	group.writing, group.throttledAt = true, c.now
	c.metrics.count(countThrottled, 1)
	c.leadership.writesInFlight++
	c.SubmitWrite(&store.Write{Early: true, Contested: true,
		Conditions: []wire.Condition{c.leaderCondition(), {Key: group.key, Revision: group.revision}},
		Changes:    []wire.Change{{Put: group.key, Value: c.encodeGroup(&changed, group.done, group.bindings).At(group.key)}},
	}, func(err error) { group.writing = false; c.leaderWriteDone(epoch, err) })
}
