package controller

import (
	"cmp"
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// zonePatience is how long a samePlace job of which nothing runs waits for room in the
// zone that it was dealt to before it goes to another.
const zonePatience = 15 * time.Second

// moveToOtherZone has a samePlace job of which no task is anywhere go to another zone, if
// there is no room in the one that it was dealt to, perhaps since that has lost its
// machines. Bound to it for good, the job waited beside other zones' empty machines
// for as long as the first one had none. Its tasks are all proven gone, so that nothing
// is in two zones; an owner that binds one meanwhile loses by its record's version.
func (c *leader) moveToOtherZone(summaries []*planning.MachineSummary, group *taskGroup) bool {
	job, spec := group.job, group.job.spec
	if !spec.SingleZone || group.zone == "" || c.now.Sub(group.inPartitionSince) < zonePatience || !spec.Gang && len(job.groups) > c.cfg.Settings.Store.TxnOps {
		return false
	}
	need := 1
	for _, other := range job.groups {
		if other.writing || other.zone != group.zone || other.boundTasks() > 0 {
			return false // one has moved already in this step, and others follow it
		}
		if spec.AllOrNothing() {
			need = max(need, len(other.bindings))
		}
	}
	room := map[string]int{}
	for _, summary := range summaries {
		if !summary.Booting && c.reserveAllows(job, summary) && allowed(spec, "", summary.Type, summary.Zone, summary.Spot) {
			room[summary.Zone] += summary.Free.CountFitting(job.taskSize, need)
		}
	}
	best := group.zone
	for z, n := range room {
		if n > room[best] || n == room[best] && z < best {
			best = z
		}
	}
	if best == group.zone || room[best] < need || room[group.zone] >= need {
		return false
	}
	c.log.Info("job goes to another zone", "job", job.id, "from", group.zone, "to", best)
	if spec.Gang {
		return c.relocate(job, job.firstGroup().partition, best)
	}
	write := &store.Write{Early: true, Contested: true, Conditions: []wire.Condition{c.leaderCondition(), {Key: jobKey(job.id), Revision: job.revision}}}
	for _, other := range job.groups {
		moved := *other
		moved.zone = best
		write.Conditions = append(write.Conditions, wire.Condition{Key: other.key, Revision: other.revision})
		write.Changes = append(write.Changes, wire.Change{Put: other.key, Value: c.encodeGroup(&moved, other.done, other.bindings).At(other.key)})
	}
	c.leadership.writesInFlight++
	epoch := c.leadership.epoch
	c.SubmitWrite(write, func(err error) { c.leaderWriteDone(epoch, err) })
	return true
}

// moveUnplaced gives waiting tasks of a record whose part has no room to a part
// that has. Its owner's writes lose by the record's version.
func (c *leader) moveUnplaced(summaries []*planning.MachineSummary, group *taskGroup, n int) bool {
	spec := group.job.spec
	if spec.Gang {
		return c.moveGang(summaries, group.job)
	}
	if spec.AllOrNothing() && n < len(group.bindings) && group.boundTasks() == 0 {
		n = len(group.bindings) // a group that has not started moves whole
	}
	perPart := make([]int, len(c.partitions))
	can := func(summary *planning.MachineSummary) bool {
		return !summary.Booting && summary.Partition != group.partition && (c.now.Sub(group.inPartitionSince) > reserveOpensAfter || c.reserveAllows(group.job, summary)) && allowed(spec, group.zone, summary.Type, summary.Zone, summary.Spot)
	}
	trial := planning.CloneSummaries(summaries)
	for summary, k := range planning.PlaceInFreeRoom(trial, can, group.job.taskSize, n) {
		perPart[summary.Partition] += k
	}
	best, most := -1, 0
	for p, k := range perPart {
		if k > most {
			best, most = p, k
		}
	}
	if best < 0 && n == 1 {
		if summary := planning.PlaceByPreemption(trial, can, group.job.taskSize, group.claim()); summary != nil {
			best, most = summary.Partition, 1
		}
	}
	taken := false
	if spec.AllOrNothing() && group.boundTasks() == 0 && most < n {
		// A group that has not started, or lost all, may evict where it goes.
		if best, taken = (&planning.Assignment{TaskSize: group.job.taskSize, Count: n, Claim: group.claim(), Allowed: can}).OnePartition(summaries, len(c.partitions)); !taken {
			return n > 1 && c.borrow(summaries, group.job, group.zone, n, group.claim())
		}
		most = n
	}
	if best < 0 {
		return false
	}
	var move, stay []binding
	for _, bound := range group.bindings {
		if bound.machine == nil && len(move) < most {
			move = append(move, bound)
		} else {
			stay = append(stay, bound)
		}
	}
	if len(move) == 0 {
		return false
	}
	in := func(summary *planning.MachineSummary) bool { return summary.Partition == best && can(summary) }
	if !taken {
		planning.PlaceInFreeRoom(summaries, in, group.job.taskSize, len(move))
	}
	write := &store.Write{Early: true, Contested: true, Conditions: []wire.Condition{c.leaderCondition(), {Key: jobKey(group.job.id), Revision: group.job.revision}, {Key: group.key, Revision: group.revision}}}
	left, moved := group.split(stay, move)
	moved.partition = best
	if len(stay) == 0 {
		write.Changes = []wire.Change{{Put: group.key, Value: c.encodeGroup(&moved, group.done, move).At(group.key)}}
	} else {
		key := groupKey(group.job.id, group.job.newGroupNumber())
		write.Conditions = append(write.Conditions, wire.Condition{Key: key})
		write.Changes = []wire.Change{{Put: group.key, Value: c.encodeGroup(&left, group.done, stay).At(group.key)}, {Put: key, Value: c.encodeGroup(&moved, 0, move).At(key)}}
	}
	c.metrics.count(countMoved, 1)
	c.log.Debug("tasks move to another part", "job", group.job.id, "tasks", len(move), "part", best)
	c.leadership.writesInFlight++
	epoch := c.leadership.epoch
	c.SubmitWrite(write, func(err error) { c.leaderWriteDone(epoch, err) })
	return true
}

// moveGang has a gang of which nothing is bound go whole to a part that has room for it.
// Where none has, machines of several parts are borrowed for it: a gang that was dealt
// to a part which then lost its room waited for ever beside machines that had room for
// it together.
func (c *leader) moveGang(summaries []*planning.MachineSummary, j *job) bool {
	first, tasks := j.firstGroup(), 0
	for _, group := range j.groups {
		if group.boundTasks() > 0 {
			return false // its present attempt is completed, or ends, where it is
		}
		tasks += len(group.bindings)
	}
	if tasks < j.spec.Tasks {
		return false // the rest is dealt first
	}
	can := func(summary *planning.MachineSummary) bool {
		return !summary.Booting && summary.Partition != first.partition && allowed(j.spec, first.zone, summary.Type, summary.Zone, summary.Spot)
	}
	d := &planning.Assignment{TaskSize: j.taskSize, Count: tasks, Claim: first.claim(), Allowed: can}
	part, ok := d.OnePartition(summaries, len(c.partitions))
	if !ok {
		return tasks > 1 && c.borrow(summaries, j, first.zone, tasks, first.claim())
	}
	c.metrics.count(countMoved, 1)
	c.log.Debug("gang moves to another part", "job", j.id, "tasks", tasks, "part", part)
	return c.relocate(j, part, first.zone)
}

// relocate has a gang's records go to a part and zone, the first record first and as many
// as one transaction holds. The others follow (completeGangMoves); the gang is reserved when
// all are together. False if it can't be now.
func (c *leader) relocate(j *job, part int, zone string) bool {
	write := &store.Write{Early: true, Contested: true, Conditions: []wire.Condition{c.leaderCondition(), {Key: jobKey(j.id), Revision: j.revision}}}
	size := 0
	for _, group := range j.groupsInOrder() {
		if group.partition == part && group.zone == zone {
			continue
		}
		if group.writing || group.boundTasks() > 0 || group.size > c.maxValueBytes() {
			return false // its owner ends bindings, or splits it, first
		}
		moved := *group
		moved.partition, moved.zone = part, zone
		value := c.encodeGroup(&moved, group.done, group.bindings).At(group.key)
		size += len(value) + recordOverhead
		if n := len(write.Changes); n > 0 && (n == c.cfg.Settings.Store.TxnOps || size > store.MaxTxnBytes) {
			break
		}
		write.Conditions = append(write.Conditions, wire.Condition{Key: group.key, Revision: group.revision})
		write.Changes = append(write.Changes, wire.Change{Put: group.key, Value: value})
	}
	if len(write.Changes) == 0 {
		return false
	}
	c.leadership.writesInFlight++
	epoch := c.leadership.epoch
	c.SubmitWrite(write, func(err error) { c.leaderWriteDone(epoch, err) })
	return true
}

// completeGangMoves has the records of gangs that moved in part, by this leader or one before
// it, follow their first one.
func (c *leader) completeGangMoves() {
	for _, job := range c.unfinished {
		if job.finalState != record.Unfinished || job.spec == nil || !job.spec.Gang || job.revision == 0 || len(job.groups) < 2 {
			continue
		}
		if first := job.firstGroup(); !job.groupsTogether(first.partition, first.zone) {
			c.relocate(job, first.partition, first.zone)
		}
	}
}

// groupsInOrder are a job's records by their numbers.
func (j *job) groupsInOrder() []*taskGroup {
	out := slices.Clone(j.groups)
	slices.SortFunc(out, func(first, second *taskGroup) int { return cmp.Compare(first.number, second.number) })
	return out
}

// firstGroup is the record by which a gang's others go.
func (j *job) firstGroup() *taskGroup {
	return slices.MinFunc(j.groups, func(first, second *taskGroup) int { return cmp.Compare(first.number, second.number) })
}

// groupsTogether tells whether all records of a job are in one part and zone.
func (j *job) groupsTogether(part int, zone string) bool {
	for _, group := range j.groups {
		if group.partition != part || group.zone != zone {
			return false
		}
	}
	return true
}
