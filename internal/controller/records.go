package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// What the replica tells of stored values: their decoding by the kind of their keys, and what
// follows from their changes.

// PutValue takes in a value that is new or has changed.
func (c *controller) PutValue(key string, value json.RawMessage, revision uint64) {
	if err := c.decodeRecord(key, value, revision); err != nil {
		c.noteUndecodable(key, err)
	}
}

// DeleteValue forgets a stored value.
func (c *controller) DeleteValue(key string) {
	kind, name := parseKey(key)
	switch {
	case kind == groupKind:
		c.deleteGroup(key)
	case kind == tombstoneKind:
		c.deleteTombstone(key)
	case kind == loanKind:
		c.deleteLoan(name)
	case key == rollout.StateKey:
		c.setRolloutState(rollout.Initial, 0, nil)
	case strings.HasPrefix(key, rollout.ControllerPrefix):
		delete(c.rollout.controllers, strings.TrimPrefix(key, rollout.ControllerPrefix))
	default:
		c.election.ObserveVacancy(key)
	}
}

// ChangesApplied counts the time that the changes of a watch took.
func (c *controller) ChangesApplied(begun time.Time) {
	c.metrics.addBusyTime(activityReplica, begun)
}

// decodeRecord takes a stored value in by the kind of its key. An error means that the value
// can't be decoded.
func (c *controller) decodeRecord(key string, raw json.RawMessage, revision uint64) error {
	kind, name := parseKey(key)
	switch kind {
	case groupKind:
		return c.putGroupValue(key, raw, revision)
	case jobKind:
		return c.putJobValue(key, name, raw, revision)
	case machineTypesKind:
		return decodeInto(raw, func(list []wire.MachineType) {
			c.putMachineTypes(list)
			c.autoscaler.MachineTypesStored()
		})
	case tombstoneKind:
		c.putTombstone(key, tombstoneNames(name, raw))
		return nil
	case loanKind:
		return decodeInto(raw, func(loan record.MachineLoan) { c.putLoan(name, &loan, revision) })
	case otherKind:
	}
	return c.decodeOther(key, raw, revision)
}

// decodeOther takes in the records of a rollout and the holders of leased keys.
func (c *controller) decodeOther(key string, raw json.RawMessage, revision uint64) error {
	if key == rollout.StateKey {
		return c.putRolloutState(raw, revision)
	}
	if name, ok := strings.CutPrefix(key, rollout.ControllerPrefix); ok {
		return c.putRegistration(name, raw, revision)
	}
	return decodeInto(raw, func(holder record.LeaseHolder) {
		c.election.ObserveHolder(key, holder, revision)
	})
}

// decodeInto takes a value in if it can be decoded.
func decodeInto[T any](raw json.RawMessage, take func(T)) error {
	var v T
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	take(v)
	return nil
}

// noteUndecodable names a record that this version can't decode. Nothing is guessed: its job
// is neither assigned nor ended, and its user is told to come back.
func (c *controller) noteUndecodable(key string, err error) {
	c.log.Error("stored record can't be decoded; it is left alone", "key", key, "err", err)
	c.metrics.count(countUndecodable, 1)
	var job *job
	switch kind, name := parseKey(key); kind {
	case jobKind:
		job = c.job(name)
	case groupKind:
		c.rollout.unreadable[key] = true
		if id, _, ok := splitGroupKey(key); ok {
			job = c.job(id)
		}
	default:
	}
	if job != nil {
		job.markUnreadable(key)
	}
}

// putJobValue takes a job in, unless it is archived: a final job stays so, whatever comes
// late.
func (c *controller) putJobValue(key, id string, raw json.RawMessage, revision uint64) error {
	var v record.Job
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	if _, archived := c.finished[id]; archived {
		c.replica.Forget(key)
		return nil
	}
	c.putJob(id, &v, revision)
	c.job(id).markReadable(key)
	return nil
}

// putJob takes a job in.
func (c *controller) putJob(id string, v *record.Job, revision uint64) {
	job := c.job(id)
	if job.revision != 0 && job.finalState != v.FinalState {
		c.log.Info("job is over", "job", id, "fate", v.FinalState.String())
	}
	before := job.finalState
	job.revision, job.finalState = revision, v.FinalState
	if v.Spec != nil {
		c.setSpec(job, v)
	}
	if job.finalState != record.Unfinished {
		job.releaseDetails(c.replica.Cursor())
		c.stopFinalJob(job, before)
	}
	c.requestPass()
}

// setSpec notes what a job asks for, and what follows from that.
func (c *controller) setSpec(job *job, v *record.Job) {
	spec := v.Spec
	job.spec = spec
	job.acceptedAt = time.UnixMilli(v.AcceptedAtMS)
	job.taskSize = scheduling.NewResources(spec.CPUs, spec.GPUs, spec.RAMGB)
	job.equivalenceClass = fmt.Sprint(spec.CPUs, spec.GPUs, spec.RAMGB, spec.MachineTypes, spec.Zone, spec.Spot, spec.Priority, spec.AllOrNothing(), spec.Team)
	job.team = c.team(spec.Team)
}

// stopFinalJob gives up what a final job has reserved, and has its tasks stopped.
func (c *controller) stopFinalJob(job *job, before record.FinalState) {
	for _, group := range job.groups {
		if before == record.Unfinished {
			group.cancelWrite() // it has the former version of the job among its conditions
		}
		c.cancelReservations(group, !group.writing)
		for i := range group.bindings {
			if m := group.bindings[i].machine; m != nil {
				c.sendCommandsNow(m)
			}
		}
	}
}

// putMachineTypes takes in the list of machine types.
func (c *clusterState) putMachineTypes(list []wire.MachineType) {
	c.machineTypes = map[string]*wire.MachineType{}
	for i := range list {
		c.machineTypes[list[i].Name] = &list[i]
	}
	for _, m := range c.machines {
		c.setMachineSize(m)
	}
	c.requestPass()
}

// tombstone is a stored marker of machines that are terminated.
type tombstone struct {
	names []string
	at    time.Time // since when it is known
}

// tombstoneNames are the machines of a tombstone. One that an older version wrote has the
// value true, and its only machine in its key.
func tombstoneNames(name string, raw json.RawMessage) []string {
	var names []string
	if wire.Decode(raw, &names) == nil && len(names) > 0 {
		return names
	}
	return []string{name}
}

// putTombstone notes that machines are terminated.
func (c *controller) putTombstone(key string, names []string) {
	c.tombstones[key] = tombstone{names, c.now}
	for _, name := range names {
		c.terminated[name] = true
		if m := c.machines[name]; m != nil {
			m.terminated = true
			c.endAllAttempts(m, "machine is gone")
		}
	}
	c.requestPass()
}

// deleteTombstone forgets that machines are terminated: nothing refers to them any more.
func (c *controller) deleteTombstone(key string) {
	for _, name := range c.tombstones[key].names {
		delete(c.terminated, name)
	}
	delete(c.tombstones, key)
}
