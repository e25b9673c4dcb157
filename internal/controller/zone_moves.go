package controller

import (
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// This file moves jobs whose tasks must all be in one zone to another zone.

// zoneMoveDelay is how long a single-zone job with no running task waits for room in its
// assigned zone before the leader moves it to another zone.
const zoneMoveDelay = 15 * time.Second

// moveToOtherZone moves a single-zone job to another zone and reports whether it did. The job
// must not have any bound task, and its zone must have no room for it, for example because
// the zone lost its machines. A job that was tied to its first zone waited for as long as
// that zone had no machines, although other zones had idle ones. All tasks of the job are
// proven to be gone, so no task ends up in a second zone. If an owner binds one meanwhile,
// its write fails on the revision of the group.
func (c *leader) moveToOtherZone(summaries []*planning.MachineSummary, group *taskGroup) bool {
	job := group.job
	if c.leadership.movedToOtherZone[job] {
		return true
	}
	if !c.canChangeZone(group) {
		return false
	}
	tasks, ok := tasksToMove(group)
	if !ok {
		return false
	}
	room := c.roomByZone(summaries, job, tasks)
	zone := zoneWithMostRoom(room, group.zone)
	if zone == group.zone || room[zone] < tasks || room[group.zone] >= tasks {
		return false
	}
	c.log.Info("job moves to another zone", "job", job.id, "from", group.zone, "to", zone)
	if job.spec.Gang {
		return c.relocateGang(job, job.firstGroup().partition, zone)
	}
	c.leadership.movedToOtherZone[job] = true
	c.submitDecision(c.newZoneMoveWrite(job, zone), job.groups...)
	return true
}

// zoneForLaunches returns the zone in which machines are launched for a group's tasks, or "" if they may
// be launched in any. A job that may change its zone moves there once they are up. The cloud may
// have no machines left in its own zone.
func (c *leader) zoneForLaunches(group *taskGroup) string {
	if c.canChangeZone(group) {
		if _, ok := tasksToMove(group); ok {
			return ""
		}
	}
	return group.zone
}

// newZoneMoveWrite returns the write that moves all groups of a job that is not a gang to another
// zone. It and an assignment of further tasks to the former zone void each other, whichever is stored
// first: the assignment creates the next group or reuses one without tasks, and this write does
// both.
func (c *leader) newZoneMoveWrite(j *job, zone string) *store.Write {
	write := c.newMoveWrite(j)
	for _, group := range j.groups {
		moved := *group
		moved.zone = zone
		addGroupUpdate(write, group, c.encodeGroup(&moved, group.doneTasks, group.bindings).ValueForKey(group.key))
	}
	if j.isAssigned() {
		return write
	}
	// A later assignment reuses the group.
	key := groupKey(j.id, j.peekGroupNumber())
	next := newTaskGroupRecord(j.firstGroup().partition, zone, false, 0, 0)
	write.Conditions = append(write.Conditions, wire.Condition{Key: key})
	write.Changes = append(write.Changes, wire.Change{Put: key, Value: next.Encode(c.writeEncoding()).ValueForKey(key)})
	return write
}

// canChangeZone reports whether the job of a group has waited for long enough in its zone and
// may move to another one. A job with more groups than one transaction can change moves only
// if it is a gang. A gang moves only once all of its tasks are assigned: before, an assignment of the
// others to the former zone may be on its way.
func (c *leader) canChangeZone(group *taskGroup) bool {
	job := group.job
	if !job.spec.SingleZone || group.zone == "" || c.now.Sub(group.partitionAssignedAt) < zoneMoveDelay {
		return false
	}
	if job.spec.Gang {
		return job.isAssigned()
	}
	return len(job.groups)+1 <= c.cfg.Settings.Store.TxnOps // one for the group that newZoneMoveWrite creates
}

// tasksToMove returns for how many tasks another zone must have room if the job of a group is
// to move there. ok is false if the job can't move now: one of its tasks is bound, one of its
// groups has a write in flight, or its groups are in different zones.
func tasksToMove(group *taskGroup) (tasks int, ok bool) {
	tasks = 1
	for _, other := range group.job.groups {
		if other.writeInFlight || other.zone != group.zone || other.boundTaskCount() > 0 {
			return 0, false
		}
		if group.job.spec.IsAllOrNothing() {
			tasks = max(tasks, len(other.bindings))
		}
	}
	return tasks, true
}

// roomByZone returns for how many tasks of a job there is free room in each zone. No machine
// counts for more than limit tasks.
func (c *leader) roomByZone(summaries []*planning.MachineSummary, j *job, limit int) map[string]int {
	room, mayUse := map[string]int{}, c.assignmentFilter(j, "", false)
	for _, summary := range summaries {
		if mayUse(summary) {
			room[summary.Zone] += summary.FreeResources.CountFitting(j.taskSize, limit)
		}
	}
	return room
}

// zoneWithMostRoom returns the zone with the most room; among equals, the first by name. If room
// is empty, it returns current.
func zoneWithMostRoom(room map[string]int, current string) string {
	best := current
	for zone, count := range room {
		if count > room[best] || count == room[best] && zone < best {
			best = zone
		}
	}
	return best
}
