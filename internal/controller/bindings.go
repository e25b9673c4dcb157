package controller

import (
	"errors"
	"slices"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// leastGather and mostGather bound how long ended attempts of a record may wait
// for others. The most is below the 3 s within which a done job must be known as
// done, and a record's last task does not wait at all.
const (
	minEndsDelay = time.Second
	maxEndsDelay = 2500 * time.Millisecond
)

// endsDelay is how long ended attempts of a record wait for others now: writes
// are scarce, and the more of them wait, the more one should carry. Their cells
// are free meanwhile.
func (c *clusterState) endsDelay() time.Duration {
	return min(minEndsDelay+2*c.stateWriter.Backlog(), maxEndsDelay)
}

// bindingsDelay is how long the new bindings of an array's record wait for others
// while more of its tasks are to come: cells come free one by one, many times a
// second, and a change for each would take up what the state service allows.
func (c *partitionOwner) bindingsDelay() time.Duration {
	return min(400*time.Millisecond+c.stateWriter.Backlog(), time.Second)
}

// invalidWriteBackoff is how long a record that was refused as invalid is not written.
const invalidWriteBackoff = 10 * time.Second

// groupUpdate is what the next write of a record changes.
type groupUpdate struct {
	bindings   []binding         // as they will be stored
	done       int               // tasks done, as it will be stored
	ended      []endedTask       // proven ends that are stored with it
	newlyBound []scheduling.Task // new bindings
	unplaced   int               // tasks that stay without a cell
	changed    bool
	oversized  bool // the stored form is beyond what is allowed now
}

// endedTask is a task with the proven end of its attempt.
type endedTask struct {
	task scheduling.Task
	end  attemptEnd
}

// storeGroup writes what has changed of a record, if anything.
func (c *partitionOwner) storeGroup(p *partition, group *taskGroup) {
	update := c.planUpdate(p, group)
	if c.now.Before(group.retryWriteAt) {
		return
	}
	if !update.changed && !update.oversized {
		group.hasUnstoredEnds = false
		group.endsPendingSince, group.bindingsPendingSince = time.Time{}, time.Time{}
		return
	}
	if !update.oversized && c.updateCanWait(group, &update) {
		return
	}
	// Thousands of tasks that are lost together are more than may queue. A write that is
	// refused gives up its claims and has all be read again; what waits loses nothing.
	if c.stateWriter.NearlyFull(group.job.spec.AllOrNothing()) {
		return
	}
	group.endsPendingSince, group.bindingsPendingSince = time.Time{}, time.Time{}
	c.writeUpdate(p, group, &update)
}

// bindingAttempt is the attempt of the next bindings of a gang's record; 0: none may be
// made, since not all of its tasks have cells.
func (c *partitionOwner) bindingAttempt(p *partition, group *taskGroup) uint64 {
	attempt, there := group.job.gangAttempt()
	if there {
		return attempt // what is missing of it
	}
	for i := range group.bindings {
		if _, ok := p.reservations[group.task(group.bindings[i].task)]; !ok {
			return 0
		}
	}
	return attempt + 1
}

// planUpdate works out what is to be stored of a record: ended attempts, new bindings.
func (c *partitionOwner) planUpdate(p *partition, group *taskGroup) groupUpdate {
	update := groupUpdate{done: group.done, oversized: group.size > c.maxValueBytes()}
	job := group.job
	gang := job.spec.Gang
	if gang && job.gangIsDone() && job.finalState == record.Unfinished {
		c.planGangDone(group, &update)
		return update
	}
	attempt := uint64(0)
	if gang {
		attempt = c.bindingAttempt(p, group)
	}
	for _, bound := range group.bindings {
		t := group.task(bound.task)
		if o, ok := c.attemptEnds[t]; ok && bound.machine != nil && o.attempt == bound.attempt {
			update.ended = append(update.ended, endedTask{t, o})
			update.changed = true
			if o.done {
				update.done++
				continue
			}
			bound.machine, bound.incarnation = nil, 0
		}
		if a, ok := p.reservations[t]; ok && bound.machine == nil && job.finalState == record.Unfinished && (!gang || attempt > 0) {
			if a.machine.terminated || !c.usable(a.machine, p) {
				delete(p.reservations, t)
				c.freeCell(p, t)
			} else {
				bound.machine, bound.incarnation = a.machine, a.machine.incarnation
				bound.attempt++
				if gang {
					bound.attempt = attempt
				}
				update.newlyBound = append(update.newlyBound, t)
				update.changed = true
			}
		}
		if bound.machine == nil {
			update.unplaced++
		}
		update.bindings = append(update.bindings, bound)
	}
	return update
}

// planGangDone has all tasks of a gang's record done: one of the gang is.
func (c *partitionOwner) planGangDone(group *taskGroup, update *groupUpdate) {
	for i := range group.bindings {
		t := group.task(group.bindings[i].task)
		if o, ok := c.attemptEnds[t]; ok {
			update.ended = append(update.ended, endedTask{t, o})
		}
	}
	update.done += len(group.bindings)
	update.changed = len(group.bindings) > 0
}

// updateCanWait tells whether an array's update can wait for more to come.
func (c *partitionOwner) updateCanWait(group *taskGroup, update *groupUpdate) bool {
	if group.job.spec.AllOrNothing() {
		return false
	}
	if len(update.newlyBound) > 0 {
		if update.unplaced == 0 {
			return false
		}
		if group.bindingsPendingSince.IsZero() {
			group.bindingsPendingSince = c.now
		}
		return c.now.Sub(group.bindingsPendingSince) < c.bindingsDelay()
	}
	if len(update.bindings) == 0 || group.job.finalState != record.Unfinished {
		return false
	}
	// Ends alone can wait a little for each other: writes are scarce.
	if group.endsPendingSince.IsZero() {
		group.endsPendingSince = c.now
	}
	gather := c.endsDelay()
	if update.done == group.done {
		// Of tasks that were lost nobody waits to hear: they are stored with
		// their next bindings, or when there is nothing more urgent.
		gather = max(gather, c.stateWriter.Backlog())
	}
	return c.now.Sub(group.endsPendingSince) < gather
}

// writeUpdate has the state service carry an update out.
func (c *partitionOwner) writeUpdate(p *partition, group *taskGroup, update *groupUpdate) {
	job := group.job
	// Services first: when hundreds of machines are lost together, or all leases have
	// ended in an outage, what is to be stored takes longer than users wait.
	write := &store.Write{Prompt: job.spec.Gang && len(update.newlyBound) > 0, Early: job.spec.AllOrNothing(), Conditions: []wire.Condition{{Key: p.key, Revision: p.token}, {Key: group.key, Revision: group.revision}}}
	if job.finalState == record.Unfinished {
		// Binding and completing race with a cancellation: only one can hold.
		write.Conditions = append(write.Conditions, wire.Condition{Key: jobKey(job.id), Revision: job.revision})
	}
	pieces := c.splitToFit(group, update.done, update.bindings)
	var elsewhere []*machine // of tasks that are bound and move to another piece
	if len(pieces) > 1 {
		for _, t := range update.newlyBound {
			elsewhere = append(elsewhere, p.reservations[t].machine)
		}
	}
	// New records first: what moves to them is adopted there before it is given up here.
	for _, piece := range pieces[1:] {
		key := groupKey(job.id, job.newGroupNumber())
		write.Conditions = append(write.Conditions, wire.Condition{Key: key})
		write.Changes = append(write.Changes, wire.Change{Put: key, Value: piece.At(key)})
	}
	write.Changes = append(write.Changes, wire.Change{Put: group.key, Value: pieces[0].At(group.key)})
	ending := c.endsJob(group, update)
	if ending {
		job.finishing = true
		write.Changes = append(write.Changes, wire.Change{Put: jobKey(job.id), Value: record.JSON(record.Job{FinalState: record.Done})})
	}
	group.writing, group.write = true, write
	c.metrics.count(countStored, 1)
	term := p.token
	c.SubmitWrite(write, func(err error) {
		group.writing, group.write = false, nil
		if ending {
			job.finishing = false
		}
		if job.finalState != record.Unfinished && group.partition == p.index {
			c.cancelReservations(group, true) // what came to it while the write was on its way
		}
		switch {
		case err != nil:
			c.updateFailed(p, group, update, err)
		case p.token == term:
			c.updateStored(group, update, elsewhere)
		}
	})
}

// endsJob tells whether an update completes the last tasks of a job.
func (c *partitionOwner) endsJob(group *taskGroup, update *groupUpdate) bool {
	job := group.job
	if job.finalState != record.Unfinished || job.finishing || update.done == group.done {
		return false
	}
	_, finished := job.assignedTasks()
	return finished+update.done-group.done == job.spec.Tasks
}

// updateFailed gives up the claims of an update that is not stored as far as we know; what
// the state service really has is read before anything else is done.
func (c *partitionOwner) updateFailed(p *partition, group *taskGroup, update *groupUpdate, err error) {
	c.log.Debug("record write failed", "key", group.key, "err", err)
	if errors.Is(err, store.ErrInvalid) {
		c.log.Error("record is refused as invalid", "key", group.key, "entries", len(update.bindings))
		group.retryWriteAt = c.now.Add(invalidWriteBackoff)
	}
	if p.token != 0 {
		for _, t := range update.newlyBound {
			if _, ok := p.reservations[t]; ok {
				delete(p.reservations, t)
				c.freeCell(p, t)
			}
		}
	}
	group.writing = true
	c.reader.AfterSuccessfulRead(func() { group.writing = false; c.requestPass() })
}

// updateStored has what an update binds started, and forgets the ends that it stored.
func (c *partitionOwner) updateStored(group *taskGroup, update *groupUpdate, elsewhere []*machine) {
	job := group.job
	c.metrics.count(countBound, len(update.newlyBound))
	for _, t := range update.newlyBound {
		if bound := group.binding(t.Number); bound != nil && bound.machine != nil {
			c.log.Debug("task bound", "task", taskName(job.id, t.Number), "attempt", bound.attempt, "machine", bound.machine.name)
			if bound.attempt == 1 {
				c.metrics.observe(latencyBind, c.now.Sub(job.acceptedAt))
			}
		}
	}
	for _, x := range update.ended {
		if c.attemptEnds[x.task] == x.end {
			delete(c.attemptEnds, x.task)
		}
	}
	kicked := map[*machine]bool{}
	kickOnce := func(m *machine) {
		if !kicked[m] {
			kicked[m] = true
			c.sendCommandsNow(m)
		}
	}
	for _, m := range elsewhere {
		kickOnce(m)
	}
	if len(update.newlyBound) > 0 && job.spec != nil && job.spec.Gang && job.gangBound() {
		for m := range job.machines() { // also those that were bound before the last
			kickOnce(m)
		}
	}
	for i := range group.bindings {
		if m := group.bindings[i].machine; m != nil && slices.Contains(update.newlyBound, group.task(group.bindings[i].task)) {
			kickOnce(m)
		}
	}
	c.requestPass()
}
