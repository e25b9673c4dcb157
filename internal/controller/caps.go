package controller

import (
	"cmp"
	"slices"
	"time"

	"eiderhitch/internal/core"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// squeeze makes room within a team's limit for a job that waits for it: tasks of
// the team's lower jobs are stopped, dealt ones that don't run yet, of equal jobs
// too, stand back. Else what is dealt of an array would hold the limit against a
// service for minutes.
func (b *controller) throttleTeam(j *job, lack core.Resources) {
	level := j.spec.Priority
	var from []*taskGroup
	for r := range b.allGroups() {
		if r.job == j || r.job.spec == nil || r.job.team != j.team || r.job.finalState != unfinishedJob || r.job.spec.AllOrNothing() || r.job.spec.Priority > level {
			continue
		}
		if r.throttle != 0 { // what is on its way out already
			lack = lack.Minus(r.job.taskSize.Times(max(0, r.boundTasks()-r.allowedTasks())))
		}
		if !r.writing {
			from = append(from, r)
		}
	}
	urgent := b.byUrgency()
	slices.SortFunc(from, func(x, y *taskGroup) int { return cmp.Or(urgent(y.job, x.job), cmp.Compare(y.number, x.number)) })
	standing := make([]core.QuotaUse, len(from))
	for i, r := range from {
		standing[i] = core.QuotaUse{Priority: r.job.spec.Priority, Running: r.boundTasks(), Allowed: r.allowedTasks(), TaskSize: r.job.taskSize,
			Fixed: r.job.spec.Priority == level && (urgent(j, r.job) >= 0 || b.now.Sub(r.throttledAt) < b.throttleInterval())}
	}
	for i, may := range core.Throttle(standing, level, lack) {
		if may >= 0 {
			b.setThrottle(from[i], may)
		}
	}
}

// capEvery spaces the changes of one record's cap that are not for more urgent
// work: a team at its limit has a task end, and so room for one more, many times a
// second, and a change for each of them would take up the state service's limit.
func (b *controller) throttleInterval() time.Duration { return 2*time.Second + b.turnaround() }

// uncap lets tasks run again that had to stand back, as the limit permits.
func (b *controller) unthrottle(j *job, lim *core.Quota) {
	for _, r := range j.groups {
		if r.throttle == 0 || r.writing || r.allowedTasks() == len(r.bindings) || b.now.Sub(r.throttledAt) < b.throttleInterval() {
			continue
		}
		if k := lim.Room(j.taskSize, len(r.bindings)-r.quotaTasks(b.cursor)); k > 0 {
			lim.Used = lim.Used.Plus(j.taskSize.Times(k))
			b.setThrottle(r, r.quotaTasks(b.cursor)+k)
		}
	}
}

func (b *controller) setThrottle(r *taskGroup, n int) {
	changed := *r
	changed.throttle = n + 1
	if n >= len(r.bindings) {
		changed.throttle = 0
	}
	epoch := b.leadership.epoch
	r.writing, r.throttledAt = true, b.now
	b.metrics.count(countThrottled, 1)
	b.leadership.writesInFlight++
	b.submitWrite(&store.Write{Early: true, Contested: true,
		Conditions: []wire.Condition{b.leaderCondition(), {Key: r.key, Revision: r.revision}},
		Changes:    []wire.Change{{Put: r.key, Value: b.encodeGroup(&changed, r.done, r.bindings).At(r.key)}},
	}, func(err error) { r.writing = false; b.leaderWriteDone(epoch, err) })
}
