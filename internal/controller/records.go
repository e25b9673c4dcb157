package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// What the stored values mean: their decoding and the indices over them.

// decodeRecord takes a stored value in by the kind of its key. An error means that the value
// can't be read.
func (c *controller) decodeRecord(key string, raw json.RawMessage, stamp uint64) error {
	switch {
	case strings.HasPrefix(key, groupPrefix):
		v, form, err := record.DecodeTaskGroup(key, raw)
		if err != nil {
			return err
		}
		return c.putGroup(key, v, storedValue{revision: stamp, size: len(raw), encoding: form})
	case strings.HasPrefix(key, jobPrefix):
		return c.putJobValue(key, raw, stamp)
	case key == machineTypesKey:
		return decodeInto(raw, func(v []wire.MachineType) { c.putMachineTypes(v); c.autoscaler.MachineTypesStored() })
	case strings.HasPrefix(key, tombstonePrefix):
		names := []string{strings.TrimPrefix(key, tombstonePrefix)} // of an older version: true
		var more []string
		if wire.Decode(raw, &more) == nil && len(more) > 0 {
			names = more
		}
		c.putTombstone(key, names)
		return nil
	case strings.HasPrefix(key, loanPrefix):
		return decodeInto(raw, func(v record.MachineLoan) { c.putLoan(strings.TrimPrefix(key, loanPrefix), &v, stamp) })
	case key == rollout.StateKey:
		return c.putRolloutState(raw, stamp)
	case strings.HasPrefix(key, rollout.ControllerPrefix):
		return c.putRegistration(strings.TrimPrefix(key, rollout.ControllerPrefix), raw, stamp)
	}
	return decodeInto(raw, func(v record.LeaseHolder) {
		c.election.ObserveHolder(key, v, stamp)
	})
}

// decodeInto takes a value in if it can be read.
func decodeInto[T any](raw json.RawMessage, take func(T)) error {
	var v T
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	take(v)
	return nil
}

func (c *controller) putJobValue(key string, raw json.RawMessage, stamp uint64) error {
	var v record.Job
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	id := strings.TrimPrefix(key, jobPrefix)
	if _, over := c.finished[id]; over {
		c.replica.Forget(key) // it stays so, whatever comes late
		return nil
	}
	c.putJob(id, &v, stamp)
	c.job(id).markReadable(key)
	return nil
}

// noteUndecodable names a record that this version can't read. Nothing is guessed:
// its job is neither dealt nor ended, and its user is told to come back.
func (c *controller) noteUndecodable(key string, err error) {
	c.log.Error("stored record can't be decoded; it is left alone", "key", key, "err", err)
	c.metrics.count(countUndecodable, 1)
	id, ok := strings.CutPrefix(key, jobPrefix)
	if strings.HasPrefix(key, groupPrefix) {
		id, _, ok = splitGroupKey(key)
		c.rollout.unreadable[key] = true
	}
	if !ok {
		return
	}
	job := c.job(id)
	if job.unreadable == nil {
		job.unreadable = map[string]bool{}
	}
	job.unreadable[key] = true
}

// PutValue takes in a value that is new or has changed.
func (c *controller) PutValue(key string, value json.RawMessage, revision uint64) {
	if err := c.decodeRecord(key, value, revision); err != nil {
		c.noteUndecodable(key, err)
	}
}

// ChangesApplied counts the time that the changes of a watch took.
func (c *controller) ChangesApplied(begun time.Time) {
	c.metrics.addBusyTime(activityReplica, begun)
}

// DeleteValue forgets a stored value.
func (c *controller) DeleteValue(key string) {
	switch {
	case strings.HasPrefix(key, groupPrefix):
		c.markGroupReadable(key)
		if group := c.groupByKey[key]; group != nil {
			c.rollout.groupsByEncoding[group.encoding]--
			c.releaseCells(group, nil)
			c.unlinkBindings(group)
			c.moveToPartition(group, -1)
			group.job.groups = slices.DeleteFunc(group.job.groups, func(first *taskGroup) bool { return first == group })
			delete(c.groupByKey, key)
			c.groups[group.index] = nil
		}
	case strings.HasPrefix(key, tombstonePrefix):
		for _, n := range c.tombstones[key].names {
			delete(c.terminated, n)
		}
		delete(c.tombstones, key)
	case strings.HasPrefix(key, loanPrefix):
		c.deleteLoan(strings.TrimPrefix(key, loanPrefix))
	case key == rollout.StateKey:
		c.setRolloutState(rollout.Initial, 0, nil)
	case strings.HasPrefix(key, rollout.ControllerPrefix):
		delete(c.rollout.controllers, strings.TrimPrefix(key, rollout.ControllerPrefix))
	default:
		c.election.ObserveVacancy(key)
	}
}

func (c *controller) putJob(id string, v *record.Job, stamp uint64) {
	job := c.job(id)
	if job.revision != 0 && job.finalState != v.FinalState {
		c.log.Info("job is over", "job", id, "fate", v.FinalState.String())
	}
	before := job.finalState
	job.revision, job.finalState = stamp, v.FinalState
	if v.Spec != nil {
		job.spec = v.Spec
		job.acceptedAt = time.UnixMilli(v.AcceptedAtMS)
		job.taskSize = scheduling.NewResources(v.Spec.CPUs, v.Spec.GPUs, v.Spec.RAMGB)
		job.equivalenceClass = fmt.Sprint(v.Spec.CPUs, v.Spec.GPUs, v.Spec.RAMGB, v.Spec.MachineTypes, v.Spec.Zone, v.Spec.Spot, v.Spec.Priority, v.Spec.AllOrNothing(), v.Spec.Team)
		job.team = c.team(v.Spec.Team)
	}
	if job.finalState != record.Unfinished {
		job.releaseDetails(c.replica.Cursor())
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
	c.requestPass()
}

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

// storedValue is what is known of a value besides its content.
type storedValue struct {
	revision uint64
	size     int
	encoding record.Encoding
}

// markGroupReadable notes that a group's record can be decoded, or is gone.
func (c *controller) markGroupReadable(key string) {
	delete(c.rollout.unreadable, key)
	if id, _, ok := splitGroupKey(key); ok {
		if job := c.jobs[id]; job != nil {
			job.markReadable(key)
		}
	}
}

// putBindings takes a record's tasks in, with the machines that they are bound to.
func (c *controller) putBindings(group *taskGroup, tasks []record.Binding) {
	entries := make([]binding, 0, len(tasks))
	placed := 0
	for _, x := range tasks {
		bound := binding{task: x.Task, attempt: x.Attempt, incarnation: x.Incarnation}
		if x.Machine != "" {
			bound.machine = c.machineNamed(x.Machine)
			if bound.machine.partition == c.loanPartition() && !group.binds(x.Task, x.Attempt, bound.machine) {
				bound.machine.lastBoundAt = c.now
			}
			bound.machine.bindings.add(group.task(x.Task), group)
			bound.machine.introduce(x.Addr, x.Incarnation)
			c.addToPartition(bound.machine) // one that is gone may have been forgotten
			placed++
		}
		entries = append(entries, bound)
		group.job.groupOfTask[x.Task] = group
	}
	group.bindings, group.boundCount = entries, placed
}

// putGroup takes a placement record in.
func (c *controller) putGroup(key string, v *record.TaskGroup, as storedValue) error {
	id, k, ok := splitGroupKey(key)
	if !ok {
		c.log.Error("stored key is malformed; it is left alone", "key", key)
		return nil
	}
	if v.Partition < 0 || v.Partition >= len(c.partitions) {
		return fmt.Errorf("part %d does not exist", v.Partition)
	}
	c.markGroupReadable(key)
	group := c.groupByKey[key]
	if group == nil {
		group = c.newGroup(key, id, k, c.now)
	} else {
		c.rollout.groupsByEncoding[group.encoding]--
	}
	c.rollout.groupsByEncoding[as.encoding]++
	if group.partition != v.Partition || group.zone != v.Zone {
		if group.partition >= 0 {
			// A binding of ours that is being stored fails, or came before. What waits
			// for cells in another zone must not get them there.
			c.cancelReservations(group, true)
		}
		group.inPartitionSince = c.now
	}
	if group.partition >= 0 {
		kept := make(map[int32]bool, len(v.Tasks))
		for _, x := range v.Tasks {
			kept[x.Task] = true
		}
		c.releaseCells(group, kept)
	}
	c.unlinkBindings(group)
	c.moveToPartition(group, v.Partition)
	group.size, group.encoding = as.size, as.encoding
	group.revision, group.partition, group.zone, group.guaranteed, group.done, group.throttle = as.revision, v.Partition, v.Zone, v.Guaranteed, v.Done, v.Throttle
	c.putBindings(group, v.Tasks)
	c.adoptBindings(group)
	for i := range group.bindings {
		if m := group.bindings[i].machine; m != nil && group.exceedsThrottle(group.bindings[i].task) {
			c.sendCommandsNow(m)
		}
	}
	c.requestPass()
	return nil
}
