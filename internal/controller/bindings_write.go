package controller

import (
	"encoding/json"
	"errors"
	"slices"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// updateWrite is a write of a task group's update that is queued or in flight.
type updateWrite struct {
	owner     *partitionOwner
	partition *partition
	group     *taskGroup
	update    *groupUpdate
	// token is the fencing token under which the write is made.
	token uint64
	// finishesJob is set if the write also makes the job final.
	finishesJob bool
	// newlyBoundMachines are the machines of the new bindings if the group is stored in several
	// pieces. A newly bound task may then be in another piece, so that its machine can't be found
	// through the group.
	newlyBoundMachines []*machine
}

// writeUpdate submits the write of an update.
func (c *partitionOwner) writeUpdate(p *partition, group *taskGroup, update *groupUpdate) {
	job := group.job
	w := &updateWrite{
		owner: c, partition: p, group: group, update: update,
		token: p.token, finishesJob: c.completesJob(group, update),
	}
	write := &store.Write{
		HighPriority: job.spec.Gang && len(update.newlyBoundTasks) > 0,
		// Services come first: when hundreds of machines are lost together, or all leases expire
		// in an outage, storing all changes takes longer than users wait.
		MediumPriority: job.spec.IsAllOrNothing(),
		Conditions:     updateConditions(p, group),
	}
	w.addPieces(write)
	if w.finishesJob {
		job.finalWriteInFlight = true
		write.Changes = append(write.Changes, wire.Change{Put: jobKey(job.id), Value: c.doneJobRecord(job)})
	}
	group.writeInFlight, group.pendingWrite = true, write
	c.metrics.count(countStoredGroups, 1)
	c.SubmitWrite(write, w.handleResult)
}

// updateConditions returns the conditions under which the write of a group is made. It fails if
// the partition has changed owners, or if another controller has written the group.
func updateConditions(p *partition, group *taskGroup) []wire.Condition {
	conditions := []wire.Condition{
		{Key: p.key, Revision: p.token},
		{Key: group.key, Revision: group.revision},
	}
	if job := group.job; job.finalState == record.StateUnfinished {
		// Binding and completing race with a cancellation of the job: only one of them may
		// succeed.
		conditions = append(conditions, wire.Condition{Key: jobKey(job.id), Revision: job.revision})
	}
	return conditions
}

// addPieces adds a task group's content to its write, with new groups for what does not fit into
// one value. The changes of new groups come first, so that the tasks that move to them are
// adopted there before they leave this group.
func (w *updateWrite) addPieces(write *store.Write) {
	job := w.group.job
	pieces := w.owner.splitToFit(w.group, w.update.doneTasks, w.update.bindings)
	if len(pieces) > 1 {
		for _, task := range w.update.newlyBoundTasks {
			w.newlyBoundMachines = append(w.newlyBoundMachines, w.partition.reservations[task].machine)
		}
	}
	for _, piece := range pieces[1:] {
		key := groupKey(job.id, job.newGroupNumber())
		write.Conditions = append(write.Conditions, wire.Condition{Key: key})
		write.Changes = append(write.Changes, wire.Change{Put: key, Value: piece.ValueForKey(key)})
	}
	write.Changes = append(write.Changes, wire.Change{Put: w.group.key, Value: pieces[0].ValueForKey(w.group.key)})
}

// doneJobRecord returns the record of a completed job. Tasks of a completed gang may still be on
// machines and count toward its team's quota, so its record keeps the job's description.
func (c *partitionOwner) doneJobRecord(j *job) json.RawMessage {
	if j.spec.Gang {
		return record.EncodeDoneGang(j.spec, j.acceptedAt, c.maxValueBytes())
	}
	return record.JSON(record.Job{FinalState: record.StateDone})
}

// completesJob reports whether an update completes the last tasks of a job. A gang's tasks
// complete together: the first task that a heartbeat shows as done completes the job, and the
// bindings of the others stay until their attempts are proven to have ended, because a task may
// still be on a machine that hangs.
func (c *partitionOwner) completesJob(group *taskGroup, update *groupUpdate) bool {
	job := group.job
	if job.finalState != record.StateUnfinished || job.finalWriteInFlight {
		return false
	}
	if update.gangDone {
		return true
	}
	if update.doneTasks == group.doneTasks {
		return false
	}
	_, finished := job.countAssignedTasks()
	return finished+update.doneTasks-group.doneTasks == job.spec.TaskCount
}

// handleResult is called with the result of the write; a nil err means that it was executed.
func (w *updateWrite) handleResult(err error) {
	group, job := w.group, w.group.job
	group.writeInFlight, group.pendingWrite = false, nil
	if w.finishesJob {
		job.finalWriteInFlight = false
	}
	if job.finalState != record.StateUnfinished && group.partition == w.partition.index {
		w.owner.cancelReservations(group, true) // made while the write was in flight
	}
	switch {
	case err != nil:
		w.handleFailure(err)
	case w.partition.token == w.token:
		w.handleSuccess()
	}
}

// handleFailure releases the reservations of an update whose write failed or got no response. It
// then waits for a successful read of the records before the group is written again, because the
// write may have been executed.
func (w *updateWrite) handleFailure(err error) {
	c, p, group := w.owner, w.partition, w.group
	c.log.Debug("record write failed", "key", group.key, "err", err)
	if errors.Is(err, store.ErrInvalid) {
		c.log.Error("record is refused as invalid", "key", group.key, "bindings", len(w.update.bindings))
		group.retryWriteAt = c.now.Add(invalidWriteBackoff)
	}
	if p.token != 0 {
		for _, task := range w.update.newlyBoundTasks {
			if _, ok := p.reservations[task]; ok {
				delete(p.reservations, task)
				c.freeCell(p, task)
			}
		}
	}
	group.writeInFlight = true
	c.reader.AfterSuccessfulRead(func() {
		group.writeInFlight = false
		c.requestSchedulingPass()
	})
}

// handleSuccess sends the commands that start the newly bound tasks and removes the ends that the
// write has stored.
func (w *updateWrite) handleSuccess() {
	c := w.owner
	w.reportNewBindings()
	for _, ended := range w.update.endedTasks {
		if c.unstoredEnds[ended.task] == ended.attemptEnd {
			delete(c.unstoredEnds, ended.task)
		}
	}
	for _, m := range w.machinesToCommand() {
		c.sendCommandsNow(m)
	}
	c.requestSchedulingPass()
}

// reportNewBindings counts and logs the new bindings of a stored update.
func (w *updateWrite) reportNewBindings() {
	c, job := w.owner, w.group.job
	c.metrics.count(countBoundTasks, len(w.update.newlyBoundTasks))
	for _, task := range w.update.newlyBoundTasks {
		bound := w.group.binding(task.Number)
		if bound == nil || bound.machine == nil {
			continue
		}
		name := taskName(job.id, task.Number)
		c.log.Debug("task bound", "task", name, "attempt", bound.attempt, "machine", bound.machine.name)
		if bound.attempt == 1 {
			c.metrics.observeLatency(latencyBind, c.now.Sub(job.acceptedAt))
		}
	}
}

// machinesToCommand returns the machines, without duplicates, on which a stored update starts
// tasks. A gang starts once all of its tasks are bound, including those bound by earlier writes.
func (w *updateWrite) machinesToCommand() []*machine {
	group, job := w.group, w.group.job
	seen := map[*machine]bool{}
	var machines []*machine
	add := func(m *machine) {
		if !seen[m] {
			seen[m] = true
			machines = append(machines, m)
		}
	}
	for _, m := range w.newlyBoundMachines {
		add(m)
	}
	if len(w.update.newlyBoundTasks) > 0 && job.spec != nil && job.spec.Gang && job.isGangBound() {
		for m := range job.boundMachines() {
			add(m)
		}
	}
	for i := range group.bindings {
		bound := &group.bindings[i]
		if bound.machine != nil && slices.Contains(w.update.newlyBoundTasks, group.task(bound.task)) {
			add(bound.machine)
		}
	}
	return machines
}
