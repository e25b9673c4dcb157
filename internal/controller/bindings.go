package controller

import (
	"errors"
	"slices"
	"time"

	"eiderhitch/internal/core"
	"eiderhitch/internal/record"
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

// gatherEnds is how long ended attempts of a record wait for others now: writes
// are scarce, and the more of them wait, the more one should carry. Their cells
// are free meanwhile.
func (b *controller) endsDelay() time.Duration {
	return min(minEndsDelay+2*b.stateWriter.Backlog(), maxEndsDelay)
}

// gatherBinds is how long the new bindings of an array's record wait for others
// while more of its tasks are to come: cells come free one by one, many times a
// second, and a change for each would take up what the state service allows.
func (b *controller) bindingsDelay() time.Duration {
	return min(400*time.Millisecond+b.stateWriter.Backlog(), time.Second)
}

// barredWrite is how long a record that was refused as invalid is not written.
const invalidWriteBackoff = 10 * time.Second

// recordUpdate is what the next write of a record changes.
type groupUpdate struct {
	bindings   []binding   // as they will be stored
	done       int         // tasks done, as it will be stored
	ended      []endedTask // proven ends that are stored with it
	newlyBound []core.Task // new bindings
	unplaced   int         // tasks that stay without a cell
	changed    bool
	oversized  bool // the stored form is beyond what is allowed now
}

// endedTask is a task with the proven end of its attempt.
type endedTask struct {
	task core.Task
	end  attemptEnd
}

// store writes what has changed of a record, if anything.
func (b *controller) storeGroup(p *partition, r *taskGroup) {
	update := b.planUpdate(p, r)
	if b.now.Before(r.retryWriteAt) {
		return
	}
	if !update.changed && !update.oversized {
		r.hasUnstoredEnds = false
		r.endsPendingSince, r.bindingsPendingSince = time.Time{}, time.Time{}
		return
	}
	if !update.oversized && b.updateCanWait(r, &update) {
		return
	}
	// Thousands of tasks that are lost together are more than may queue. A write that is
	// refused gives up its claims and has all be read again; what waits loses nothing.
	if b.stateWriter.NearlyFull(r.job.spec.AllOrNothing()) {
		return
	}
	r.endsPendingSince, r.bindingsPendingSince = time.Time{}, time.Time{}
	b.writeUpdate(p, r, &update)
}

// bindingAttempt is the attempt of the next bindings of a gang's record; 0: none may be
// made, since not all of its tasks have cells.
func (b *controller) bindingAttempt(p *partition, r *taskGroup) uint64 {
	attempt, there := b.gangAttempt(r.job)
	if there {
		return attempt // what is missing of it
	}
	for i := range r.bindings {
		if _, ok := p.reservations[r.task(r.bindings[i].task)]; !ok {
			return 0
		}
	}
	return attempt + 1
}

// planUpdate works out what is to be stored of a record: ended attempts, new bindings.
func (b *controller) planUpdate(p *partition, r *taskGroup) groupUpdate {
	update := groupUpdate{done: r.done, oversized: r.size > b.maxValueBytes()}
	job := r.job
	gang := job.spec.Gang
	if gang && job.gangIsDone() && job.finalState == unfinishedJob {
		b.planGangDone(r, &update)
		return update
	}
	attempt := uint64(0)
	if gang {
		attempt = b.bindingAttempt(p, r)
	}
	for _, e := range r.bindings {
		t := r.task(e.task)
		if o, ok := b.attemptEnds[t]; ok && e.machine != nil && o.attempt == e.attempt {
			update.ended = append(update.ended, endedTask{t, o})
			update.changed = true
			if o.done {
				update.done++
				continue
			}
			e.machine, e.incarnation = nil, 0
		}
		if a, ok := p.reservations[t]; ok && e.machine == nil && job.finalState == unfinishedJob && (!gang || attempt > 0) {
			if a.machine.terminated || !b.usable(a.machine, p) {
				delete(p.reservations, t)
				b.freeCell(p, t)
			} else {
				e.machine, e.incarnation = a.machine, a.machine.incarnation
				e.attempt++
				if gang {
					e.attempt = attempt
				}
				update.newlyBound = append(update.newlyBound, t)
				update.changed = true
			}
		}
		if e.machine == nil {
			update.unplaced++
		}
		update.bindings = append(update.bindings, e)
	}
	return update
}

// planFinished has all tasks of a gang's record done: one of the gang is.
func (b *controller) planGangDone(r *taskGroup, update *groupUpdate) {
	for i := range r.bindings {
		t := r.task(r.bindings[i].task)
		if o, ok := b.attemptEnds[t]; ok {
			update.ended = append(update.ended, endedTask{t, o})
		}
	}
	update.done += len(r.bindings)
	update.changed = len(r.bindings) > 0
}

// updateWaits tells whether an array's update can wait for more to come.
func (b *controller) updateCanWait(r *taskGroup, update *groupUpdate) bool {
	if r.job.spec.AllOrNothing() {
		return false
	}
	if len(update.newlyBound) > 0 {
		if update.unplaced == 0 {
			return false
		}
		if r.bindingsPendingSince.IsZero() {
			r.bindingsPendingSince = b.now
		}
		return b.now.Sub(r.bindingsPendingSince) < b.bindingsDelay()
	}
	if len(update.bindings) == 0 || r.job.finalState != unfinishedJob {
		return false
	}
	// Ends alone can wait a little for each other: writes are scarce.
	if r.endsPendingSince.IsZero() {
		r.endsPendingSince = b.now
	}
	gather := b.endsDelay()
	if update.done == r.done {
		// Of tasks that were lost nobody waits to hear: they are stored with
		// their next bindings, or when there is nothing more urgent.
		gather = max(gather, b.stateWriter.Backlog())
	}
	return b.now.Sub(r.endsPendingSince) < gather
}

// writeUpdate has the state service carry an update out.
func (b *controller) writeUpdate(p *partition, r *taskGroup, update *groupUpdate) {
	job := r.job
	// Services first: when hundreds of machines are lost together, or all leases have
	// ended in an outage, what is to be stored takes longer than users wait.
	u := &store.Write{Prompt: job.spec.Gang && len(update.newlyBound) > 0, Early: job.spec.AllOrNothing(), Conditions: []wire.Condition{{Key: p.key, Revision: p.token}, {Key: r.key, Revision: r.revision}}}
	if job.finalState == unfinishedJob {
		// Binding and completing race with a cancellation: only one can hold.
		u.Conditions = append(u.Conditions, wire.Condition{Key: jobKey(job.id), Revision: job.revision})
	}
	pieces := b.splitToFit(r, update.done, update.bindings)
	var elsewhere []*machine // of tasks that are bound and move to another piece
	if len(pieces) > 1 {
		for _, t := range update.newlyBound {
			elsewhere = append(elsewhere, p.reservations[t].machine)
		}
	}
	// New records first: what moves to them is adopted there before it is given up here.
	for _, piece := range pieces[1:] {
		key := groupKey(job.id, job.newGroupNumber())
		u.Conditions = append(u.Conditions, wire.Condition{Key: key})
		u.Changes = append(u.Changes, wire.Change{Put: key, Value: piece.At(key)})
	}
	u.Changes = append(u.Changes, wire.Change{Put: r.key, Value: pieces[0].At(r.key)})
	ending := b.endsJob(r, update)
	if ending {
		job.finishing = true
		u.Changes = append(u.Changes, wire.Change{Put: jobKey(job.id), Value: record.JSON(record.Job{FinalState: doneJob})})
	}
	r.writing, r.write = true, u
	b.metrics.count(countStored, 1)
	term := p.token
	b.submitWrite(u, func(err error) {
		r.writing, r.write = false, nil
		if ending {
			job.finishing = false
		}
		if job.finalState != unfinishedJob && r.partition == p.index {
			b.cancelReservations(r, true) // what came to it while the write was on its way
		}
		switch {
		case err != nil:
			b.updateFailed(p, r, update, err)
		case p.token == term:
			b.updateStored(r, update, elsewhere)
		}
	})
}

// endsJob tells whether an update completes the last tasks of a job.
func (b *controller) endsJob(r *taskGroup, update *groupUpdate) bool {
	job := r.job
	if job.finalState != unfinishedJob || job.finishing || update.done == r.done {
		return false
	}
	_, finished := job.assignedTasks()
	return finished+update.done-r.done == job.spec.Tasks
}

// updateFailed gives up the claims of an update that is not stored as far as we know; what
// the state service really has is read before anything else is done.
func (b *controller) updateFailed(p *partition, r *taskGroup, update *groupUpdate, err error) {
	b.log.Debug("record write failed", "key", r.key, "err", err)
	if errors.Is(err, store.ErrInvalid) {
		b.log.Error("record is refused as invalid", "key", r.key, "entries", len(update.bindings))
		r.retryWriteAt = b.now.Add(invalidWriteBackoff)
	}
	if p.token != 0 {
		for _, t := range update.newlyBound {
			if _, ok := p.reservations[t]; ok {
				delete(p.reservations, t)
				b.freeCell(p, t)
			}
		}
	}
	r.writing = true
	b.readThen(func() { r.writing = false; b.requestPass() })
}

// updateStored has what an update binds started, and forgets the ends that it stored.
func (b *controller) updateStored(r *taskGroup, update *groupUpdate, elsewhere []*machine) {
	job := r.job
	b.metrics.count(countBound, len(update.newlyBound))
	for _, t := range update.newlyBound {
		if e := r.binding(t.Num); e != nil && e.machine != nil {
			b.log.Debug("task bound", "task", taskName(job.id, t.Num), "attempt", e.attempt, "machine", e.machine.name)
			if e.attempt == 1 {
				b.metrics.observe(latencyBind, b.now.Sub(job.acceptedAt))
			}
		}
	}
	for _, x := range update.ended {
		if b.attemptEnds[x.task] == x.end {
			delete(b.attemptEnds, x.task)
		}
	}
	kicked := map[*machine]bool{}
	kickOnce := func(m *machine) {
		if !kicked[m] {
			kicked[m] = true
			b.sendCommandsNow(m)
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
	for i := range r.bindings {
		if m := r.bindings[i].machine; m != nil && slices.Contains(update.newlyBound, r.task(r.bindings[i].task)) {
			kickOnce(m)
		}
	}
	b.requestPass()
}
