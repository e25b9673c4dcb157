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

// recordApplier applies the changes of the replica to the controller's state. It decodes each
// stored value by the kind of its key and triggers the actions that follow from the change.
type recordApplier struct{ *controller }

// PutValue applies a new or changed value.
func (a recordApplier) PutValue(key string, value json.RawMessage, revision uint64) {
	if err := a.decodeRecord(key, value, revision); err != nil {
		a.reportUndecodable(key, err)
	}
}

// DeleteValue applies the deletion of a value at revision.
func (a recordApplier) DeleteValue(key string, revision uint64) {
	kind, name := parseKey(key)
	switch {
	case kind == groupKind:
		a.deleteGroup(key)
	case kind == tombstoneKind:
		a.deleteTombstone(key)
	case kind == loanKind:
		a.deleteLoan(name, revision)
	case key == rollout.StateKey:
		a.setRolloutState(rollout.InitialState, 0, nil)
	case strings.HasPrefix(key, rollout.RegistrationPrefix):
		delete(a.rollout.registrations, strings.TrimPrefix(key, rollout.RegistrationPrefix))
	default:
		a.election.ObserveVacancy(key)
	}
}

// ChangesApplied records the time that it took to apply the changes of a watch response.
func (a recordApplier) ChangesApplied(begun time.Time) {
	a.metrics.addBusyTime(activityReplica, begun)
}

// decodeRecord decodes a stored value by the kind of its key and applies it. It returns an
// error if the value can't be decoded.
func (a recordApplier) decodeRecord(key string, raw json.RawMessage, revision uint64) error {
	kind, name := parseKey(key)
	switch kind {
	case groupKind:
		return a.putGroupValue(key, raw, revision)
	case jobKind:
		return a.putJobValue(key, name, raw, revision)
	case machineTypesKind:
		return decodeInto(raw, func(list []wire.MachineType) {
			a.setMachineTypes(list)
			a.autoscaler.MarkMachineTypesStored()
		})
	case tombstoneKind:
		a.putTombstone(key, tombstoneNames(name, raw))
		return nil
	case loanKind:
		return decodeInto(raw, func(loan record.MachineLoan) { a.putLoan(name, &loan, revision) })
	case otherKind:
	}
	return a.decodeOther(key, raw, revision)
}

// decodeOther decodes and applies the records of a rollout and the holders of leased keys.
func (a recordApplier) decodeOther(key string, raw json.RawMessage, revision uint64) error {
	if key == rollout.StateKey {
		return a.putRolloutState(raw, revision)
	}
	if name, ok := strings.CutPrefix(key, rollout.RegistrationPrefix); ok {
		return a.putRegistration(name, raw, revision)
	}
	return decodeInto(raw, func(holder record.LeaseHolder) {
		a.election.ObserveHolder(key, holder, revision)
	})
}

// decodeInto decodes a value and passes it to apply. It returns an error, without calling
// apply, if the value can't be decoded.
func decodeInto[T any](raw json.RawMessage, apply func(T)) error {
	var v T
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	apply(v)
	return nil
}

// reportUndecodable logs and counts a record that this version can't decode. Nothing is assumed
// about its content: the job concerned is neither assigned nor completed, and its user is asked
// to retry later.
func (a recordApplier) reportUndecodable(key string, err error) {
	a.log.Error("stored record can't be decoded; it is left alone", "key", key, "err", err)
	a.metrics.count(countUndecodableValues, 1)
	var job *job
	switch kind, name := parseKey(key); kind {
	case jobKind:
		job = a.getOrAddJob(name)
	case groupKind:
		a.rollout.unreadableGroups[key] = true
		if id, _, ok := parseGroupKey(key); ok {
			job = a.getOrAddJob(id)
		}
	default:
	}
	if job != nil {
		job.markUnreadable(key)
	}
}

// putJobValue decodes and applies the record of a job, unless the job is archived: a final
// state never changes, even if an older record arrives late.
func (a recordApplier) putJobValue(key, id string, raw json.RawMessage, revision uint64) error {
	var v record.Job
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	if _, archived := a.finalStates[id]; archived {
		a.replica.Forget(key)
		return nil
	}
	a.putJob(id, &v, revision)
	a.getOrAddJob(id).markReadable(key)
	return nil
}

// putJob applies the record of a job.
func (a recordApplier) putJob(id string, v *record.Job, revision uint64) {
	job := a.getOrAddJob(id)
	if job.revision != 0 && job.finalState != v.FinalState {
		a.log.Info("job is over", "job", id, "final_state", v.FinalState.String())
	}
	before := job.finalState
	job.revision, job.finalState = revision, v.FinalState
	if v.Spec != nil {
		a.setSpec(job, v)
	}
	if job.finalState != record.StateUnfinished {
		job.releaseDetails(a.replica.Cursor())
		a.stopFinalJob(job, before)
	}
	a.requestSchedulingPass()
}

// setSpec sets the job's specification and the values derived from it.
func (a recordApplier) setSpec(job *job, v *record.Job) {
	spec := v.Spec
	job.spec = spec
	job.acceptedAt = time.UnixMilli(v.AcceptedAtMS)
	job.taskSize = scheduling.NewResources(spec.CPUs, spec.GPUs, spec.RAMGB)
	job.equivalenceClass = equivalenceClass(spec)
	job.team = a.getOrAddTeam(spec.Team)
}

// equivalenceClass returns a key that is equal for jobs whose tasks can be placed on the same
// machines.
func equivalenceClass(spec *wire.Job) string {
	return fmt.Sprint(
		spec.CPUs, spec.GPUs, spec.RAMGB,
		spec.MachineTypes, spec.Zone, spec.AllowsSpot,
		spec.Priority, spec.IsAllOrNothing(), spec.Team)
}

// stopFinalJob cancels the reservations of a final job and sends the commands that stop its
// tasks.
func (a recordApplier) stopFinalJob(job *job, before record.FinalState) {
	for _, group := range job.groups {
		if before == record.StateUnfinished {
			group.cancelWrite() // the write is conditional on the previous version of the job
		}
		a.cancelReservations(group, !group.writeInFlight)
		for i := range group.bindings {
			if m := group.bindings[i].machine; m != nil {
				a.sendCommandsNow(m)
			}
		}
	}
}

// setMachineTypes replaces the list of machine types and updates the sizes of all machines.
func (c *clusterState) setMachineTypes(list []wire.MachineType) {
	c.machineTypes = map[string]*wire.MachineType{}
	for i := range list {
		c.machineTypes[list[i].Name] = &list[i]
	}
	for _, m := range c.machines {
		c.setMachineSize(m)
	}
	c.requestSchedulingPass()
}

// tombstone is the stored marker of terminated machines.
type tombstone struct {
	names       []string
	firstSeenAt time.Time // when this process first read it
}

// tombstoneNames returns the machines that a tombstone names. Older versions stored the value
// true and named the only machine in the key.
func tombstoneNames(name string, raw json.RawMessage) []string {
	var names []string
	if wire.Decode(raw, &names) == nil && len(names) > 0 {
		return names
	}
	return []string{name}
}

// putTombstone marks machines as terminated and ends all attempts on them.
func (a recordApplier) putTombstone(key string, names []string) {
	a.tombstones[key] = tombstone{names, a.now}
	for _, name := range names {
		a.terminatedMachines[name] = true
		if m := a.machines[name]; m != nil {
			m.terminated = true
			a.endAllAttempts(m, terminationProof())
		}
	}
	a.requestSchedulingPass()
}

// deleteTombstone forgets the terminated machines that a tombstone named. It is deleted once
// nothing refers to them any more.
func (a recordApplier) deleteTombstone(key string) {
	for _, name := range a.tombstones[key].names {
		delete(a.terminatedMachines, name)
	}
	delete(a.tombstones, key)
}
