package controller

import (
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

// minEndBatchingDelay and maxEndBatchingDelay are the bounds of endBatchingDelay. The upper bound
// is below the 3 s within which a completed job must be known as done; the last task of a group
// is not delayed at all.
const (
	minEndBatchingDelay = time.Second
	maxEndBatchingDelay = 2500 * time.Millisecond
	// endDelayPerBacklog is the multiple of the write queue's backlog that is added to the delay.
	endDelayPerBacklog = 2
)

// endBatchingDelay returns how long the ended attempts of a task group wait for others, so that
// one write stores them together. The rate of writes is limited, and the longer the backlog of
// writes is, the more each should store. The cells of ended attempts are free in the meantime.
func (c *clusterState) endBatchingDelay() time.Duration {
	return min(minEndBatchingDelay+endDelayPerBacklog*c.storeWriter.BacklogDuration(), maxEndBatchingDelay)
}

// minBindingBatchingDelay and maxBindingBatchingDelay are the bounds of bindingBatchingDelay.
// Users hardly notice a delay of this length in the start of a task.
const (
	minBindingBatchingDelay = 400 * time.Millisecond
	maxBindingBatchingDelay = time.Second
)

// bindingBatchingDelay returns how long the new bindings of an array's group wait for others
// while tasks of the group remain unplaced. Cells become free one by one, many times a second,
// and one write for each would use up the key-value store's write limit.
func (c *partitionOwner) bindingBatchingDelay() time.Duration {
	return min(minBindingBatchingDelay+c.storeWriter.BacklogDuration(), maxBindingBatchingDelay)
}

// invalidWriteBackoff is how long a task group is not written after the key-value store has
// refused its write as invalid.
const invalidWriteBackoff = 10 * time.Second

// groupUpdate is what the next write of a task group stores, and what it changes.
type groupUpdate struct {
	bindings        []binding           // of the tasks that are not done after the write
	doneTasks       int                 // number of completed tasks, after the write
	endedTasks      []endedTask         // proven ends that the write stores
	newlyBoundTasks []scheduling.TaskID // tasks that the write binds
	unplacedTasks   int                 // tasks that remain pending after the write
	hasChanges      bool                // whether there are ended attempts, new bindings or a completed gang to store
	gangDone        bool                // the group's gang has completed and is not stored as done yet
	isOversized     bool                // the stored form exceeds the current value limit
}

// endedTask is a task with the proven end of its attempt.
type endedTask struct {
	task       scheduling.TaskID
	attemptEnd attemptEnd
}

// storeGroup writes the changes of a task group, if there are any and they are due.
func (c *partitionOwner) storeGroup(p *partition, group *taskGroup) {
	update := c.planUpdate(p, group)
	if c.now.Before(group.retryWriteAt) {
		return
	}
	if !update.hasChanges && !update.isOversized {
		group.hasUnstoredEnds = false
		group.clearPendingTimes()
		return
	}
	if !update.isOversized && c.canDelayUpdate(group, &update) {
		return
	}
	// Thousands of tasks that are lost at the same time cause more writes than the queue holds. A
	// refused write releases its reservations and forces a read of the records, while an update
	// that waits loses nothing.
	if c.storeWriter.IsNearlyFull(group.job.spec.IsAllOrNothing()) {
		return
	}
	group.clearPendingTimes()
	c.writeUpdate(p, group, &update)
}

// clearPendingTimes records that no update of the group waits to be stored.
func (group *taskGroup) clearPendingTimes() {
	group.endsPendingSince, group.bindingsPendingSince = time.Time{}, time.Time{}
}

// updatePlan computes the update of one task group.
type updatePlan struct {
	owner     *partitionOwner
	partition *partition
	group     *taskGroup
	// canBind is set if the group's tasks may be bound. gangAttempt is the attempt to bind them
	// for if they belong to a gang.
	canBind     bool
	gangAttempt uint64
	update      groupUpdate
}

// planUpdate computes what to store of a task group: ended attempts and new bindings.
func (c *partitionOwner) planUpdate(p *partition, group *taskGroup) groupUpdate {
	job := group.job
	plan := updatePlan{
		owner: c, partition: p, group: group,
		canBind: job.finalState == record.StateUnfinished,
		update:  groupUpdate{doneTasks: group.doneTasks, isOversized: group.storedSize > c.maxValueBytes()},
	}
	if job.spec.Gang {
		plan.update.gangDone = plan.canBind && job.isGangDone()
		plan.update.hasChanges = plan.update.gangDone
		plan.gangAttempt = p.nextBindingAttempt(group)
		plan.canBind = plan.canBind && plan.gangAttempt > 0 && !plan.update.gangDone
	}
	for _, bound := range group.bindings {
		plan.planTask(bound)
	}
	return plan.update
}

// nextBindingAttempt returns the attempt number for the next bindings of a gang's group. It
// returns 0 if none may be made yet because not all of the group's tasks have cells.
func (p *partition) nextBindingAttempt(group *taskGroup) uint64 {
	attempt, bound := group.job.gangAttempt()
	if bound {
		return attempt // the missing tasks complete the current attempt
	}
	for i := range group.bindings {
		if _, ok := p.reservations[group.task(group.bindings[i].task)]; !ok {
			return 0
		}
	}
	return attempt + 1
}

// planTask adds one task to the update.
func (plan *updatePlan) planTask(bound binding) {
	if plan.planEnd(&bound) {
		return // a completed task has no binding
	}
	if plan.update.gangDone && bound.machine == nil {
		plan.update.doneTasks++ // all tasks of a gang complete together
		return
	}
	if plan.canBind && bound.machine == nil && plan.planBinding(&bound) {
		plan.update.newlyBoundTasks = append(plan.update.newlyBoundTasks, plan.group.task(bound.task))
		plan.update.hasChanges = true
	}
	if bound.machine == nil {
		plan.update.unplacedTasks++
	}
	plan.update.bindings = append(plan.update.bindings, bound)
}

// planEnd adds the proven end of a bound task's attempt to the update, if there is one. done
// reports whether the task completed; a task whose attempt was lost becomes pending again.
func (plan *updatePlan) planEnd(bound *binding) (done bool) {
	task := plan.group.task(bound.task)
	end, ended := plan.owner.unstoredEnds[task]
	if !ended || bound.machine == nil || end.attempt != bound.boundAttempt() {
		return false
	}
	plan.update.endedTasks = append(plan.update.endedTasks, endedTask{task, end})
	plan.update.hasChanges = true
	if end.done {
		plan.update.doneTasks++
		return true
	}
	bound.machine, bound.incarnation = nil, 0
	return false
}

// planBinding binds a task to the machine on which a cell is reserved for it. It returns false if
// there is no reservation, or if the machine is no longer usable, in which case the reservation
// is released.
func (plan *updatePlan) planBinding(bound *binding) bool {
	p, task := plan.partition, plan.group.task(bound.task)
	reserved, ok := p.reservations[task]
	if !ok {
		return false
	}
	if reserved.machine.terminated || !plan.owner.isUsable(reserved.machine, p) {
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

// canDelayUpdate reports whether the update of an array's group may wait for further changes, to
// be stored in one write with them.
func (c *partitionOwner) canDelayUpdate(group *taskGroup, update *groupUpdate) bool {
	if group.job.spec.IsAllOrNothing() {
		return false
	}
	if len(update.newlyBoundTasks) > 0 {
		return update.unplacedTasks > 0 && c.pendingDuration(&group.bindingsPendingSince) < c.bindingBatchingDelay()
	}
	if len(update.bindings) == 0 || group.job.finalState != record.StateUnfinished {
		return false
	}
	// Ends without new bindings wait briefly for further ends, because the rate of writes is
	// limited.
	delay := c.endBatchingDelay()
	if update.doneTasks == group.doneTasks {
		// No user or controller waits for the ends of lost tasks. They are stored with the tasks'
		// next bindings, or once the backlog of more urgent writes is gone.
		delay = max(delay, c.storeWriter.BacklogDuration())
	}
	return c.pendingDuration(&group.endsPendingSince) < delay
}

// pendingDuration returns how long an update has been waiting. A zero since is set to the current
// time.
func (c *partitionOwner) pendingDuration(since *time.Time) time.Duration {
	if since.IsZero() {
		*since = c.now
	}
	return c.now.Sub(*since)
}
