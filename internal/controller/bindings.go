package controller

import (
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

// minEndsDelay and maxEndsDelay bound how long ended attempts of a task group may wait for
// others to be stored with them. The longest is below the 3 s within which a done job must be
// known as done, and a group's last task does not wait at all.
const (
	minEndsDelay = time.Second
	maxEndsDelay = 2500 * time.Millisecond
	// endsDelayPerBacklog is how many times the write queue's backlog the delay grows by.
	endsDelayPerBacklog = 2
)

// endsDelay is how long ended attempts of a task group wait for others now: writes are
// scarce, and the more of them wait, the more one should carry. Their cells are free
// meanwhile.
func (c *clusterState) endsDelay() time.Duration {
	return min(minEndsDelay+endsDelayPerBacklog*c.stateWriter.Backlog(), maxEndsDelay)
}

// minBindingsDelay and maxBindingsDelay bound how long new bindings wait for others: a user
// hardly notices so much of a task's start.
const (
	minBindingsDelay = 400 * time.Millisecond
	maxBindingsDelay = time.Second
)

// bindingsDelay is how long the new bindings of an array's group wait for others while more
// of its tasks are to come: cells come free one by one, many times a second, and a write for
// each would take up what the key-value store allows.
func (c *partitionOwner) bindingsDelay() time.Duration {
	return min(minBindingsDelay+c.stateWriter.Backlog(), maxBindingsDelay)
}

// invalidWriteBackoff is how long a task group that was refused as invalid is not written.
const invalidWriteBackoff = 10 * time.Second

// groupUpdate is what the next write of a task group changes.
type groupUpdate struct {
	bindings   []binding         // as they will be stored
	done       int               // tasks done, as it will be stored
	ended      []endedTask       // proven ends that are stored with it
	newlyBound []scheduling.Task // new bindings
	unplaced   int               // tasks that stay without a cell
	changed    bool
	gangDone   bool // the group is of a gang that is done
	oversized  bool // the stored form is beyond what is allowed now
}

// endedTask is a task with the proven end of its attempt.
type endedTask struct {
	task scheduling.Task
	end  attemptEnd
}

// storeGroup writes what has changed of a task group, if anything.
func (c *partitionOwner) storeGroup(p *partition, group *taskGroup) {
	update := c.planUpdate(p, group)
	if c.now.Before(group.retryWriteAt) {
		return
	}
	if !update.changed && !update.oversized {
		group.hasUnstoredEnds = false
		group.clearPendingSince()
		return
	}
	if !update.oversized && c.updateCanWait(group, &update) {
		return
	}
	// Thousands of tasks that are lost together are more than may queue. A write that is
	// refused gives up its reservations and has all be read again; what waits loses nothing.
	if c.stateWriter.NearlyFull(group.job.spec.AllOrNothing()) {
		return
	}
	group.clearPendingSince()
	c.writeUpdate(p, group, &update)
}

// clearPendingSince notes that nothing of the group waits to be stored.
func (group *taskGroup) clearPendingSince() {
	group.endsPendingSince, group.bindingsPendingSince = time.Time{}, time.Time{}
}

// updatePlan works out the update of one task group.
type updatePlan struct {
	owner     *partitionOwner
	partition *partition
	group     *taskGroup
	// mayBind: the group's tasks may be bound; gangAttempt is their attempt if they are a
	// gang's.
	mayBind     bool
	gangAttempt uint64
	update      groupUpdate
}

// planUpdate works out what is to be stored of a task group: ended attempts, new bindings.
func (c *partitionOwner) planUpdate(p *partition, group *taskGroup) groupUpdate {
	job := group.job
	plan := updatePlan{
		owner: c, partition: p, group: group,
		mayBind: job.finalState == record.Unfinished,
		update:  groupUpdate{done: group.done, oversized: group.size > c.maxValueBytes()},
	}
	if job.spec.Gang {
		plan.update.gangDone = plan.mayBind && job.gangIsDone()
		plan.update.changed = plan.update.gangDone
		plan.gangAttempt = p.bindingAttempt(group)
		plan.mayBind = plan.mayBind && plan.gangAttempt > 0 && !plan.update.gangDone
	}
	for _, bound := range group.bindings {
		plan.task(bound)
	}
	return plan.update
}

// bindingAttempt is the attempt of the next bindings of a gang's group; 0: none may be made,
// since not all of its tasks have cells.
func (p *partition) bindingAttempt(group *taskGroup) uint64 {
	attempt, bound := group.job.gangAttempt()
	if bound {
		return attempt // what is missing of it
	}
	for i := range group.bindings {
		if _, ok := p.reservations[group.task(group.bindings[i].task)]; !ok {
			return 0
		}
	}
	return attempt + 1
}

// task plans one task.
func (plan *updatePlan) task(bound binding) {
	if plan.end(&bound) {
		return // a task that is done has no binding any more
	}
	if plan.update.gangDone && bound.machine == nil {
		plan.update.done++ // a gang's tasks complete together
		return
	}
	if plan.mayBind && bound.machine == nil && plan.bind(&bound) {
		plan.update.newlyBound = append(plan.update.newlyBound, plan.group.task(bound.task))
		plan.update.changed = true
	}
	if bound.machine == nil {
		plan.update.unplaced++
	}
	plan.update.bindings = append(plan.update.bindings, bound)
}

// end has the proven end of a bound task's attempt stored, if there is one; true: the task is
// done. One that is lost waits for a machine again.
func (plan *updatePlan) end(bound *binding) (done bool) {
	task := plan.group.task(bound.task)
	end, ended := plan.owner.attemptEnds[task]
	if !ended || bound.machine == nil || end.of != bound.boundAttempt() {
		return false
	}
	plan.update.ended = append(plan.update.ended, endedTask{task, end})
	plan.update.changed = true
	if end.done {
		plan.update.done++
		return true
	}
	bound.machine, bound.incarnation = nil, 0
	return false
}

// bind binds a task to the machine on which it has a reservation; false: it has none, or the
// machine can't be used any more, in which case the reservation is given up.
func (plan *updatePlan) bind(bound *binding) bool {
	p, task := plan.partition, plan.group.task(bound.task)
	reserved, ok := p.reservations[task]
	if !ok {
		return false
	}
	if reserved.machine.terminated || !plan.owner.usable(reserved.machine, p) {
		delete(p.reservations, task)
		plan.owner.freeCell(p, task)
		return false
	}
	bound.machine, bound.incarnation = reserved.machine, reserved.machine.incarnation
	bound.attempt++
	if plan.group.job.spec.Gang {
		bound.attempt = plan.gangAttempt
	}
	return true
}

// updateCanWait tells whether an array's update can wait for more to come.
func (c *partitionOwner) updateCanWait(group *taskGroup, update *groupUpdate) bool {
	if group.job.spec.AllOrNothing() {
		return false
	}
	if len(update.newlyBound) > 0 {
		return update.unplaced > 0 && c.pendingFor(&group.bindingsPendingSince) < c.bindingsDelay()
	}
	if len(update.bindings) == 0 || group.job.finalState != record.Unfinished {
		return false
	}
	// Ends alone can wait a little for each other: writes are scarce.
	delay := c.endsDelay()
	if update.done == group.done {
		// Of tasks that were lost nobody waits to hear: they are stored with
		// their next bindings, or when there is nothing more urgent.
		delay = max(delay, c.stateWriter.Backlog())
	}
	return c.pendingFor(&group.endsPendingSince) < delay
}

// pendingFor is for how long something has been waiting, which begins now if since is zero.
func (c *partitionOwner) pendingFor(since *time.Time) time.Duration {
	if since.IsZero() {
		*since = c.now
	}
	return c.now.Sub(*since)
}
