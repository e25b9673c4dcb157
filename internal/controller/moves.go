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
func (b *controller) moveToOtherZone(hosts []*core.MachineSummary, r *taskGroup) bool {
	j, spec := r.job, r.job.spec
	if !spec.SingleZone || r.zone == "" || b.now.Sub(r.inPartitionSince) < zonePatience || !spec.Gang && len(j.groups) > b.cfg.Settings.State.TxnOps {
		return false
	}
	need := 1
	for _, o := range j.groups {
		if o.writing || o.zone != r.zone || o.boundTasks() > 0 {
			return false // one has moved already in this step, and others follow it
		}
		if spec.AllOrNothing() {
			need = max(need, len(o.bindings))
		}
	}
	room := map[string]int{}
	for _, h := range hosts {
		if !h.Booting && b.reserveAllows(j, h) && allowed(spec, "", h.Type, h.Zone, h.Spot) {
			room[h.Zone] += h.Free.CountFitting(j.taskSize, need)
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
		return b.relocate(j, j.firstGroup().partition, best)
	}
	u := &store.Write{Early: true, Contested: true, Conditions: []wire.Condition{b.leaderCondition(), {Key: jobKey(j.id), Revision: j.revision}}}
	for _, o := range j.groups {
		moved := *o
		moved.zone = best
		u.Conditions = append(u.Conditions, wire.Condition{Key: o.key, Revision: o.revision})
		u.Changes = append(u.Changes, wire.Change{Put: o.key, Value: b.encodeGroup(&moved, o.done, o.bindings).At(o.key)})
	}
	b.leadership.writesInFlight++
	epoch := b.leadership.epoch
	b.submitWrite(u, func(err error) { b.leaderWriteDone(epoch, err) })
	return true
}

// moveStuck gives waiting tasks of a record whose part has no room to a part
// that has. Its owner's writes lose by the record's version.
func (b *controller) moveUnplaced(hosts []*core.MachineSummary, r *taskGroup, n int) bool {
	spec := r.job.spec
	if spec.Gang {
		return b.moveGang(hosts, r.job)
	}
	if spec.AllOrNothing() && n < len(r.bindings) && r.boundTasks() == 0 {
		n = len(r.bindings) // a group that has not started moves whole
	}
	perPart := make([]int, len(b.partitions))
	can := func(h *core.MachineSummary) bool {
		return !h.Booting && h.Partition != r.partition && (b.now.Sub(r.inPartitionSince) > reserveOpensAfter || b.reserveAllows(r.job, h)) && allowed(spec, r.zone, h.Type, h.Zone, h.Spot)
	}
	trial := core.CloneSummaries(hosts)
	for h, k := range core.PlaceInFreeRoom(trial, can, r.job.taskSize, n) {
		perPart[h.Partition] += k
	}
	best, most := -1, 0
	for p, k := range perPart {
		if k > most {
			best, most = p, k
		}
	}
	if best < 0 && n == 1 {
		if h := core.PlaceByPreemption(trial, can, r.job.taskSize, r.claim()); h != nil {
			best, most = h.Partition, 1
		}
	}
	taken := false
	if spec.AllOrNothing() && r.boundTasks() == 0 && most < n {
		// A group that has not started, or lost all, may evict where it goes.
		if best, taken = (&core.Assignment{TaskSize: r.job.taskSize, Count: n, Claim: r.claim(), Allowed: can}).OnePartition(hosts, len(b.partitions)); !taken {
			return n > 1 && b.borrow(hosts, r.job, r.zone, n, r.claim())
		}
		most = n
	}
	if best < 0 {
		return false
	}
	var move, stay []binding
	for _, e := range r.bindings {
		if e.machine == nil && len(move) < most {
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
		core.PlaceInFreeRoom(hosts, in, r.job.taskSize, len(move))
	}
	u := &store.Write{Early: true, Contested: true, Conditions: []wire.Condition{b.leaderCondition(), {Key: jobKey(r.job.id), Revision: r.job.revision}, {Key: r.key, Revision: r.revision}}}
	left, moved := r.split(stay, move)
	moved.partition = best
	if len(stay) == 0 {
		u.Changes = []wire.Change{{Put: r.key, Value: b.encodeGroup(&moved, r.done, move).At(r.key)}}
	} else {
		key := groupKey(r.job.id, r.job.newGroupNumber())
		u.Conditions = append(u.Conditions, wire.Condition{Key: key})
		u.Changes = []wire.Change{{Put: r.key, Value: b.encodeGroup(&left, r.done, stay).At(r.key)}, {Put: key, Value: b.encodeGroup(&moved, 0, move).At(key)}}
	}
	b.metrics.count(countMoved, 1)
	b.log.Debug("tasks move to another part", "job", r.job.id, "tasks", len(move), "part", best)
	b.leadership.writesInFlight++
	epoch := b.leadership.epoch
	b.submitWrite(u, func(err error) { b.leaderWriteDone(epoch, err) })
	return true
}

// moveGang has a gang of which nothing is bound go whole to a part that has room for it.
// Where none has, machines of several parts are borrowed for it: a gang that was dealt
// to a part which then lost its room waited for ever beside machines that had room for
// it together.
func (b *controller) moveGang(hosts []*core.MachineSummary, j *job) bool {
	first, tasks := j.firstGroup(), 0
	for _, r := range j.groups {
		if r.boundTasks() > 0 {
			return false // its present attempt is completed, or ends, where it is
		}
		tasks += len(r.bindings)
	}
	if tasks < j.spec.Tasks {
		return false // the rest is dealt first
	}
	can := func(h *core.MachineSummary) bool {
		return !h.Booting && h.Partition != first.partition && allowed(j.spec, first.zone, h.Type, h.Zone, h.Spot)
	}
	d := &core.Assignment{TaskSize: j.taskSize, Count: tasks, Claim: first.claim(), Allowed: can}
	part, ok := d.OnePartition(hosts, len(b.partitions))
	if !ok {
		return tasks > 1 && b.borrow(hosts, j, first.zone, tasks, first.claim())
	}
	b.metrics.count(countMoved, 1)
	b.log.Debug("gang moves to another part", "job", j.id, "tasks", tasks, "part", part)
	return b.relocate(j, part, first.zone)
}

// relocate has a gang's records go to a part and zone, the first record first and as many
// as one transaction holds. The others follow (gatherGangs); the gang is reserved when
// all are together. False if it can't be now.
func (b *controller) relocate(j *job, part int, zone string) bool {
	u := &store.Write{Early: true, Contested: true, Conditions: []wire.Condition{b.leaderCondition(), {Key: jobKey(j.id), Revision: j.revision}}}
	size := 0
	for _, r := range j.groupsInOrder() {
		if r.partition == part && r.zone == zone {
			continue
		}
		if r.writing || r.boundTasks() > 0 || r.size > b.maxValueBytes() {
			return false // its owner ends bindings, or splits it, first
		}
		moved := *r
		moved.partition, moved.zone = part, zone
		value := b.encodeGroup(&moved, r.done, r.bindings).At(r.key)
		size += len(value) + recordOverhead
		if n := len(u.Changes); n > 0 && (n == b.cfg.Settings.State.TxnOps || size > store.MaxTxnBytes) {
			break
		}
		u.Conditions = append(u.Conditions, wire.Condition{Key: r.key, Revision: r.revision})
		u.Changes = append(u.Changes, wire.Change{Put: r.key, Value: value})
	}
	if len(u.Changes) == 0 {
		return false
	}
	b.leadership.writesInFlight++
	epoch := b.leadership.epoch
	b.submitWrite(u, func(err error) { b.leaderWriteDone(epoch, err) })
	return true
}

// gatherGangs has the records of gangs that moved in part, by this leader or one before
// it, follow their first one.
func (b *controller) completeGangMoves() {
	for _, j := range b.unfinished {
		if j.finalState != unfinishedJob || j.spec == nil || !j.spec.Gang || j.revision == 0 || len(j.groups) < 2 {
			continue
		}
		if first := j.firstGroup(); !j.groupsTogether(first.partition, first.zone) {
			b.relocate(j, first.partition, first.zone)
		}
	}
}

// recsInOrder are a job's records by their numbers.
func (j *job) groupsInOrder() []*taskGroup {
	out := slices.Clone(j.groups)
	slices.SortFunc(out, func(x, y *taskGroup) int { return cmp.Compare(x.number, y.number) })
	return out
}

// firstRec is the record by which a gang's others go.
func (j *job) firstGroup() *taskGroup {
	return slices.MinFunc(j.groups, func(x, y *taskGroup) int { return cmp.Compare(x.number, y.number) })
}

// together tells whether all records of a job are in one part and zone.
func (j *job) groupsTogether(part int, zone string) bool {
	for _, r := range j.groups {
		if r.partition != part || r.zone != zone {
			return false
		}
	}
	return true
}
