package controller

import (
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

// minEndBatchingDelay and maxEndBatchingDelay bound how long ended attempts of a task group may wait for
// others to be stored with them. The longest is below the 3 s within which a done job must be
// known as done, and a group's last task does not wait at all.
const (
	minEndBatchingDelay = time.Second
	maxEndBatchingDelay = 2500 * time.Millisecond
	// endDelayPerBacklog is how many times the write queue's backlog the delay grows by.
	endDelayPerBacklog = 2
)

// endBatchingDelay is how long ended attempts of a task group wait for others now: writes are
// scarce, and the more of them wait, the more one should carry. Their cells are free
// meanwhile.
func (c *clusterState) endBatchingDelay() time.Duration {
	return min(minEndBatchingDelay+endDelayPerBacklog*c.stateWriter.Backlog(), maxEndBatchingDelay)
}

// minBindingBatchingDelay and maxBindingBatchingDelay bound how long new bindings wait for others: a user
// hardly notices so much of a task's start.
const (
	minBindingBatchingDelay = 400 * time.Millisecond
	maxBindingBatchingDelay = time.Second
)

// bindingBatchingDelay is how long the new bindings of an array's group wait for others while more
// of its tasks are to come: cells come free one by one, many times a second, and a write for
// each would take up what the key-value store allows.
func (c *partitionOwner) bindingBatchingDelay() time.Duration {
	return min(minBindingBatchingDelay+c.stateWriter.Backlog(), maxBindingBatchingDelay)
}

// invalidWriteBackoff is how long a task group that was refused as invalid is not written.
const invalidWriteBackoff = 10 * time.Second

// groupUpdate is what the next write of a task group changes.
type groupUpdate struct {
	bindings        []binding           // as they will be stored
	doneTasks       int                 // tasks done, as it will be stored
	endedTasks      []endedTask         // proven ends that are stored with it
	newlyBoundTasks []scheduling.TaskID // new bindings
	unplacedTasks   int                 // tasks that stay without a cell
	hasChanges      bool
	gangDone        bool // the group is of a gang that is done
	isOversized     bool // the stored form is beyond what is allowed now
}

// endedTask is a task with the proven end of its attempt.
type endedTask struct {
	task scheduling.TaskID
	end  attemptEnd
}

// storeGroup writes what has changed of a task group, if anything.
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
	// Thousands of tasks that are lost together are more than may queue. A write that is
	// refused gives up its reservations and has all be read again; what waits loses nothing.
	if c.stateWriter.NearlyFull(group.job.spec.AllOrNothing()) {
		return
	}
	group.clearPendingTimes()
	c.writeUpdate(p, group, &update)
}

// clearPendingTimes notes that nothing of the group waits to be stored.
func (group *taskGroup) clearPendingTimes() {
	group.endsPendingSince, group.bindingsPendingSince = time.Time{}, time.Time{}
}

// updatePlan works out the update of one task group.
type updatePlan struct {
	owner     *partitionOwner
	partition *partition
	group     *taskGroup
	// canBind: the group's tasks may be bound; gangAttempt is their attempt if they are a
	// gang's.
	canBind     bool
	gangAttempt uint64
	update      groupUpdate
}

// planUpdate works out what is to be stored of a task group: ended attempts, new bindings.
func (c *partitionOwner) planUpdate(p *partition, group *taskGroup) groupUpdate {
	job := group.job
	plan := updatePlan{
		owner: c, partition: p, group: group,
		canBind: job.finalState == record.Unfinished,
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

// nextBindingAttempt is the attempt of the next bindings of a gang's group; 0: none may be made,
// since not all of its tasks have cells.
func (p *partition) nextBindingAttempt(group *taskGroup) uint64 {
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
func (plan *updatePlan) planTask(bound binding) {
	if plan.planEnd(&bound) {
		return // a task that is done has no binding any more
	}
	if plan.update.gangDone && bound.machine == nil {
		plan.update.doneTasks++ // a gang's tasks complete together
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

// end has the proven end of a bound task's attempt stored, if there is one; true: the task is
// done. One that is lost waits for a machine again.
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

// bind binds a task to the machine on which it has a reservation; false: it has none, or the
// machine can't be used any more, in which case the reservation is given up.
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

// canDelayUpdate tells whether an array's update can wait for more to come.
func (c *partitionOwner) canDelayUpdate(group *taskGroup, update *groupUpdate) bool {
	if group.job.spec.AllOrNothing() {
		return false
	}
	if len(update.newlyBoundTasks) > 0 {
		return update.unplacedTasks > 0 && c.pendingDuration(&group.bindingsPendingSince) < c.bindingBatchingDelay()
	}
	if len(update.bindings) == 0 || group.job.finalState != record.Unfinished {
		return false
	}
	// Ends alone can wait a little for each other: writes are scarce.
	delay := c.endBatchingDelay()
	if update.doneTasks == group.doneTasks {
		// Of tasks that were lost nobody waits to hear: they are stored with
		// their next bindings, or when there is nothing more urgent.
		delay = max(delay, c.stateWriter.Backlog())
	}
	return c.pendingDuration(&group.endsPendingSince) < delay
}

// pendingFor is for how long something has been waiting, which begins now if since is zero.
func (c *partitionOwner) pendingDuration(since *time.Time) time.Duration {
	if since.IsZero() {
		*since = c.now
	}
	return c.now.Sub(*since)
}
