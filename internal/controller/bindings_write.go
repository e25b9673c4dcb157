package controller

import (
	"encoding/json"
	"errors"
	"slices"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// updateWrite is the write of a task group's update on its way to the key-value store.
type updateWrite struct {
	owner     *partitionOwner
	partition *partition
	group     *taskGroup
	update    *groupUpdate
	// token is the fencing token that the write is made under.
	token uint64
	// finishesJob: the write also makes the job final.
	finishesJob bool
	// newlyBoundMachines are those of new bindings of a group that is stored in several pieces:
	// a task may have moved to another piece, where the group does not show its machine.
	newlyBoundMachines []*machine
}

// writeUpdate submits the write that carries an update out.
func (c *partitionOwner) writeUpdate(p *partition, group *taskGroup, update *groupUpdate) {
	job := group.job
	w := &updateWrite{
		owner: c, partition: p, group: group, update: update,
		token: p.token, finishesJob: c.completesJob(group, update),
	}
	write := &store.Write{
		Prompt: job.spec.Gang && len(update.newlyBoundTasks) > 0,
		// Services first: when hundreds of machines are lost together, or all leases have
		// expired in an outage, what is to be stored takes longer than users wait.
		Early:      job.spec.AllOrNothing(),
		Conditions: updateConditions(p, group),
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

// updateConditions have a write fail if the partition has another owner by then, or the task
// group has been written by somebody else.
func updateConditions(p *partition, group *taskGroup) []wire.Condition {
	conditions := []wire.Condition{
		{Key: p.key, Revision: p.token},
		{Key: group.key, Revision: group.revision},
	}
	if job := group.job; job.finalState == record.Unfinished {
		// Binding and completing race with a cancellation: only one can hold.
		conditions = append(conditions, wire.Condition{Key: jobKey(job.id), Revision: job.revision})
	}
	return conditions
}

// addPieces adds a task group's content to its write, in new groups what does not fit into one
// value. New groups come first: what moves to them is adopted there before it is given up
// here.
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
		write.Changes = append(write.Changes, wire.Change{Put: key, Value: piece.At(key)})
	}
	write.Changes = append(write.Changes, wire.Change{Put: w.group.key, Value: pieces[0].At(w.group.key)})
}

// doneJobRecord is the record of a job that is done. Tasks of a gang may still be on machines.
func (c *partitionOwner) doneJobRecord(j *job) json.RawMessage {
	if j.spec.Gang {
		return record.DoneGang(j.spec, j.acceptedAt, c.maxValueBytes())
	}
	return record.JSON(record.Job{FinalState: record.Done})
}

// completesJob tells whether an update completes the last tasks of a job. A gang's tasks complete
// together: with the first that is shown as done the job is, and the bindings of the others
// stay until they are proven to have ended. A task whose machine hangs is still there.
func (c *partitionOwner) completesJob(group *taskGroup, update *groupUpdate) bool {
	job := group.job
	if job.finalState != record.Unfinished || job.finalWriteInFlight {
		return false
	}
	if update.gangDone {
		return true
	}
	if update.doneTasks == group.doneTasks {
		return false
	}
	_, finished := job.countAssignedTasks()
	return finished+update.doneTasks-group.doneTasks == job.spec.Tasks
}

// completed takes in the result of the write.
func (w *updateWrite) handleResult(err error) {
	group, job := w.group, w.group.job
	group.writeInFlight, group.pendingWrite = false, nil
	if w.finishesJob {
		job.finalWriteInFlight = false
	}
	if job.finalState != record.Unfinished && group.partition == w.partition.index {
		w.owner.cancelReservations(group, true) // what came to it while the write was on its way
	}
	switch {
	case err != nil:
		w.handleFailure(err)
	case w.partition.token == w.token:
		w.handleSuccess()
	}
}

// failed gives up the reservations of an update that is not stored as far as is known; what the key-value store really has is read before anything else is done.
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

// stored has what the update binds started, and forgets the ends that it stored.
func (w *updateWrite) handleSuccess() {
	c := w.owner
	w.reportNewBindings()
	for _, x := range w.update.endedTasks {
		if c.unstoredEnds[x.task] == x.end {
			delete(c.unstoredEnds, x.task)
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

// machinesToCommand lists, each once, the machines on which a stored update has something
// started. A gang starts when all of it is bound, also on machines that were bound before
// the last.
func (w *updateWrite) machinesToCommand() []*machine {
	group, job := w.group, w.group.job
	listed := map[*machine]bool{}
	var machines []*machine
	add := func(m *machine) {
		if !listed[m] {
			listed[m] = true
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
