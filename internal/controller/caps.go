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
func (b *brain) squeeze(j *job, lack core.Resources) {
	level := j.spec.Priority
	var from []*rec
	for r := range b.records() {
		if r.job == j || r.job.spec == nil || r.job.team != j.team || r.job.fate != live || r.job.spec.AllOrNothing() || r.job.spec.Priority > level {
			continue
		}
		if r.cap != 0 { // what is on its way out already
			lack = lack.Minus(r.job.need.Times(max(0, r.bound()-r.may())))
		}
		if !r.writing {
			from = append(from, r)
		}
	}
	urgent := b.byUrgency()
	slices.SortFunc(from, func(x, y *rec) int { return cmp.Or(urgent(y.job, x.job), cmp.Compare(y.k, x.k)) })
	standing := make([]core.QuotaUse, len(from))
	for i, r := range from {
		standing[i] = core.QuotaUse{Priority: r.job.spec.Priority, Running: r.bound(), Allowed: r.may(), TaskSize: r.job.need,
			Fixed: r.job.spec.Priority == level && (urgent(j, r.job) >= 0 || b.now.Sub(r.cappedAt) < b.capEvery())}
	}
	for i, may := range core.Throttle(standing, level, lack) {
		if may >= 0 {
			b.setCap(from[i], may)
		}
	}
}

// capEvery spaces the changes of one record's cap that are not for more urgent
// work: a team at its limit has a task end, and so room for one more, many times a
// second, and a change for each of them would take up the state service's limit.
func (b *brain) capEvery() time.Duration { return 2*time.Second + b.turnaround() }

// uncap lets tasks run again that had to stand back, as the limit permits.
func (b *brain) uncap(j *job, lim *core.Quota) {
	for _, r := range j.recs {
		if r.cap == 0 || r.writing || r.may() == len(r.entries) || b.now.Sub(r.cappedAt) < b.capEvery() {
			continue
		}
		if k := lim.Room(j.need, len(r.entries)-r.counts(b.cursor)); k > 0 {
			lim.Used = lim.Used.Plus(j.need.Times(k))
			b.setCap(r, r.counts(b.cursor)+k)
		}
	}
}

func (b *brain) setCap(r *rec, n int) {
	changed := *r
	changed.cap = n + 1
	if n >= len(r.entries) {
		changed.cap = 0
	}
	epoch := b.lead.epoch
	r.writing, r.cappedAt = true, b.now
	b.metrics.count(cCapped, 1)
	b.lead.writes++
	b.write(&store.Write{Early: true, Contested: true,
		Conditions: []wire.Condition{b.leaderCondition(), {Key: r.key, Revision: r.stamp}},
		Changes:    []wire.Change{{Put: r.key, Value: b.content(&changed, r.done, r.entries).At(r.key)}},
	}, func(err error) { r.writing = false; b.leadWrote(epoch, err) })
}
