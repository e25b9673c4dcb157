package controller

import (
	"cmp"
	"slices"
	"time"

	"eiderhitch/internal/core"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// zonePatience is how long a samePlace job of which nothing runs waits for room in the
// zone that it was dealt to before it goes to another.
const zonePatience = 15 * time.Second

// otherZone has a samePlace job of which no task is anywhere go to another zone, if
// there is no room in the one that it was dealt to, perhaps since that has lost its
// machines. Bound to it for good, the job waited beside other zones' empty machines
// for as long as the first one had none. Its tasks are all proven gone, so that nothing
// is in two zones; an owner that binds one meanwhile loses by its record's version.
func (b *brain) otherZone(hosts []*core.MachineSummary, r *rec) bool {
	j, spec := r.job, r.job.spec
	if !spec.SingleZone || r.zone == "" || b.now.Sub(r.since) < zonePatience || !spec.Gang && len(j.recs) > b.cfg.Settings.State.TxnOps {
		return false
	}
	need := 1
	for _, o := range j.recs {
		if o.writing || o.zone != r.zone || o.bound() > 0 {
			return false // one has moved already in this step, and others follow it
		}
		if spec.AllOrNothing() {
			need = max(need, len(o.entries))
		}
	}
	room := map[string]int{}
	for _, h := range hosts {
		if !h.Booting && b.poolOpen(j, h) && allowed(spec, "", h.Type, h.Zone, h.Spot) {
			room[h.Zone] += h.Free.CountFitting(j.need, need)
		}
	}
	best := r.zone
	for z, n := range room {
		if n > room[best] || n == room[best] && z < best {
			best = z
		}
	}
	if best == r.zone || room[best] < need || room[r.zone] >= need {
		return false
	}
	b.log.Info("job goes to another zone", "job", j.id, "from", r.zone, "to", best)
	if spec.Gang {
		return b.relocate(j, j.firstRec().part, best)
	}
	u := &store.Write{Early: true, Contested: true, Conditions: []wire.Condition{b.leaderCondition(), {Key: jobKey(j.id), Revision: j.stamp}}}
	for _, o := range j.recs {
		moved := *o
		moved.zone = best
		u.Conditions = append(u.Conditions, wire.Condition{Key: o.key, Revision: o.stamp})
		u.Changes = append(u.Changes, wire.Change{Put: o.key, Value: b.content(&moved, o.done, o.entries).At(o.key)})
	}
	b.lead.writes++
	epoch := b.lead.epoch
	b.write(u, func(err error) { b.leadWrote(epoch, err) })
	return true
}

// moveStuck gives waiting tasks of a record whose part has no room to a part
// that has. Its owner's writes lose by the record's version.
func (b *brain) moveStuck(hosts []*core.MachineSummary, r *rec, n int) bool {
	spec := r.job.spec
	if spec.Gang {
		return b.moveGang(hosts, r.job)
	}
	if spec.AllOrNothing() && n < len(r.entries) && r.bound() == 0 {
		n = len(r.entries) // a group that has not started moves whole
	}
	perPart := make([]int, len(b.parts))
	can := func(h *core.MachineSummary) bool {
		return !h.Booting && h.Partition != r.part && (b.now.Sub(r.since) > poolYields || b.poolOpen(r.job, h)) && allowed(spec, r.zone, h.Type, h.Zone, h.Spot)
	}
	trial := core.CloneSummaries(hosts)
	for h, k := range core.PlaceInFreeRoom(trial, can, r.job.need, n) {
		perPart[h.Partition] += k
	}
	best, most := -1, 0
	for p, k := range perPart {
		if k > most {
			best, most = p, k
		}
	}
	if best < 0 && n == 1 {
		if h := core.PlaceByPreemption(trial, can, r.job.need, r.claim()); h != nil {
			best, most = h.Partition, 1
		}
	}
	taken := false
	if spec.AllOrNothing() && r.bound() == 0 && most < n {
		// A group that has not started, or lost all, may evict where it goes.
		if best, taken = (&core.Assignment{TaskSize: r.job.need, Count: n, Claim: r.claim(), Allowed: can}).OnePartition(hosts, len(b.parts)); !taken {
			return n > 1 && b.borrow(hosts, r.job, r.zone, n, r.claim())
		}
		most = n
	}
	if best < 0 {
		return false
	}
	var move, stay []entry
	for _, e := range r.entries {
		if e.m == nil && len(move) < most {
			move = append(move, e)
		} else {
			stay = append(stay, e)
		}
	}
	if len(move) == 0 {
		return false
	}
	in := func(h *core.MachineSummary) bool { return h.Partition == best && can(h) }
	if !taken {
		core.PlaceInFreeRoom(hosts, in, r.job.need, len(move))
	}
	u := &store.Write{Early: true, Contested: true, Conditions: []wire.Condition{b.leaderCondition(), {Key: jobKey(r.job.id), Revision: r.job.stamp}, {Key: r.key, Revision: r.stamp}}}
	left, moved := r.split(stay, move)
	moved.part = best
	if len(stay) == 0 {
		u.Changes = []wire.Change{{Put: r.key, Value: b.content(&moved, r.done, move).At(r.key)}}
	} else {
		key := groupKey(r.job.id, r.job.newRec())
		u.Conditions = append(u.Conditions, wire.Condition{Key: key})
		u.Changes = []wire.Change{{Put: r.key, Value: b.content(&left, r.done, stay).At(r.key)}, {Put: key, Value: b.content(&moved, 0, move).At(key)}}
	}
	b.metrics.count(cMoved, 1)
	b.log.Debug("tasks move to another part", "job", r.job.id, "tasks", len(move), "part", best)
	b.lead.writes++
	epoch := b.lead.epoch
	b.write(u, func(err error) { b.leadWrote(epoch, err) })
	return true
}

// moveGang has a gang of which nothing is bound go whole to a part that has room for it.
// Where none has, machines of several parts are borrowed for it: a gang that was dealt
// to a part which then lost its room waited for ever beside machines that had room for
// it together.
func (b *brain) moveGang(hosts []*core.MachineSummary, j *job) bool {
	first, tasks := j.firstRec(), 0
	for _, r := range j.recs {
		if r.bound() > 0 {
			return false // its present attempt is completed, or ends, where it is
		}
		tasks += len(r.entries)
	}
	if tasks < j.spec.Tasks {
		return false // the rest is dealt first
	}
	can := func(h *core.MachineSummary) bool {
		return !h.Booting && h.Partition != first.part && allowed(j.spec, first.zone, h.Type, h.Zone, h.Spot)
	}
	d := &core.Assignment{TaskSize: j.need, Count: tasks, Claim: first.claim(), Allowed: can}
	part, ok := d.OnePartition(hosts, len(b.parts))
	if !ok {
		return tasks > 1 && b.borrow(hosts, j, first.zone, tasks, first.claim())
	}
	b.metrics.count(cMoved, 1)
	b.log.Debug("gang moves to another part", "job", j.id, "tasks", tasks, "part", part)
	return b.relocate(j, part, first.zone)
}

// relocate has a gang's records go to a part and zone, the first record first and as many
// as one transaction holds. The others follow (gatherGangs); the gang is reserved when
// all are together. False if it can't be now.
func (b *brain) relocate(j *job, part int, zone string) bool {
	u := &store.Write{Early: true, Contested: true, Conditions: []wire.Condition{b.leaderCondition(), {Key: jobKey(j.id), Revision: j.stamp}}}
	size := 0
	for _, r := range j.recsInOrder() {
		if r.part == part && r.zone == zone {
			continue
		}
		if r.writing || r.bound() > 0 || r.size > b.maxValue() {
			return false // its owner ends bindings, or splits it, first
		}
		moved := *r
		moved.part, moved.zone = part, zone
		value := b.content(&moved, r.done, r.entries).At(r.key)
		size += len(value) + recordOverhead
		if n := len(u.Changes); n > 0 && (n == b.cfg.Settings.State.TxnOps || size > store.MaxTxnBytes) {
			break
		}
		u.Conditions = append(u.Conditions, wire.Condition{Key: r.key, Revision: r.stamp})
		u.Changes = append(u.Changes, wire.Change{Put: r.key, Value: value})
	}
	if len(u.Changes) == 0 {
		return false
	}
	b.lead.writes++
	epoch := b.lead.epoch
	b.write(u, func(err error) { b.leadWrote(epoch, err) })
	return true
}

// gatherGangs has the records of gangs that moved in part, by this leader or one before
// it, follow their first one.
func (b *brain) gatherGangs() {
	for _, j := range b.atHand {
		if j.fate != live || j.spec == nil || !j.spec.Gang || j.stamp == 0 || len(j.recs) < 2 {
			continue
		}
		if first := j.firstRec(); !j.together(first.part, first.zone) {
			b.relocate(j, first.part, first.zone)
		}
	}
}

// recsInOrder are a job's records by their numbers.
func (j *job) recsInOrder() []*rec {
	out := slices.Clone(j.recs)
	slices.SortFunc(out, func(x, y *rec) int { return cmp.Compare(x.k, y.k) })
	return out
}

// firstRec is the record by which a gang's others go.
func (j *job) firstRec() *rec {
	return slices.MinFunc(j.recs, func(x, y *rec) int { return cmp.Compare(x.k, y.k) })
}

// together tells whether all records of a job are in one part and zone.
func (j *job) together(part int, zone string) bool {
	for _, r := range j.recs {
		if r.part != part || r.zone != zone {
			return false
		}
	}
	return true
}
