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

// recordApplier applies the changes of the replica to a controller's state: it decodes stored
// values by the kind of their keys, and has done what follows from their changes.
type recordApplier struct{ *controller }

// PutValue takes in a value that is new or has changed.
func (a recordApplier) PutValue(key string, value json.RawMessage, revision uint64) {
	if err := a.decodeRecord(key, value, revision); err != nil {
		a.reportUndecodable(key, err)
	}
}

// DeleteValue forgets a stored value.
func (a recordApplier) DeleteValue(key string) {
	kind, name := parseKey(key)
	switch {
	case kind == groupKind:
		a.deleteGroup(key)
	case kind == tombstoneKind:
		a.deleteTombstone(key)
	case kind == loanKind:
		a.deleteLoan(name)
	case key == rollout.StateKey:
		a.setRolloutState(rollout.Initial, 0, nil)
	case strings.HasPrefix(key, rollout.ControllerPrefix):
		delete(a.rollout.registrations, strings.TrimPrefix(key, rollout.ControllerPrefix))
	default:
		a.election.ObserveVacancy(key)
	}
}

// ChangesApplied counts the time that the changes of a watch took.
func (a recordApplier) ChangesApplied(begun time.Time) {
	a.metrics.addBusyTime(activityReplica, begun)
}

// decodeRecord takes a stored value in by the kind of its key. An error means that the value
// can't be decoded.
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
			a.autoscaler.MachineTypesStored()
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

// decodeOther takes in the records of a rollout and the holders of leased keys.
func (a recordApplier) decodeOther(key string, raw json.RawMessage, revision uint64) error {
	if key == rollout.StateKey {
		return a.putRolloutState(raw, revision)
	}
	if name, ok := strings.CutPrefix(key, rollout.ControllerPrefix); ok {
		return a.putRegistration(name, raw, revision)
	}
	return decodeInto(raw, func(holder record.LeaseHolder) {
		a.election.ObserveHolder(key, holder, revision)
	})
}

// decodeInto takes a value in if it can be decoded.
func decodeInto[T any](raw json.RawMessage, apply func(T)) error {
	var v T
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	apply(v)
	return nil
}

// reportUndecodable names a record that this version can't decode. Nothing is guessed: its job
// is neither assigned nor ended, and its user is told to come back.
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

// putJobValue takes a job in, unless it is archived: a final job stays so, whatever comes
// late.
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

// putJob takes a job in.
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
	if job.finalState != record.Unfinished {
		job.releaseDetails(a.replica.Cursor())
		a.stopFinalJob(job, before)
	}
	a.requestSchedulingPass()
}

// setSpec notes what a job asks for, and what follows from that.
func (a recordApplier) setSpec(job *job, v *record.Job) {
	spec := v.Spec
	job.spec = spec
	job.acceptedAt = time.UnixMilli(v.AcceptedAtMS)
	job.taskSize = scheduling.NewResources(spec.CPUs, spec.GPUs, spec.RAMGB)
	job.equivalenceClass = equivalenceClass(spec)
	job.team = a.getOrAddTeam(spec.Team)
}

// equivalenceClass is the same for jobs of which any task can be placed where another's can.
func equivalenceClass(spec *wire.Job) string {
	return fmt.Sprint(
		spec.CPUs, spec.GPUs, spec.RAMGB,
		spec.MachineTypes, spec.Zone, spec.Spot,
		spec.Priority, spec.AllOrNothing(), spec.Team)
}

// stopFinalJob gives up what a final job has reserved, and has its tasks stopped.
func (a recordApplier) stopFinalJob(job *job, before record.FinalState) {
	for _, group := range job.groups {
		if before == record.Unfinished {
			group.cancelWrite() // it has the former version of the job among its conditions
		}
		a.cancelReservations(group, !group.writeInFlight)
		for i := range group.bindings {
			if m := group.bindings[i].machine; m != nil {
				a.sendCommandsNow(m)
			}
		}
	}
}

// setMachineTypes takes in the list of machine types.
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
func (a recordApplier) putTombstone(key string, names []string) {
	a.tombstones[key] = tombstone{names, a.now}
	for _, name := range names {
		a.terminatedMachines[name] = true
		if m := a.machines[name]; m != nil {
			m.terminated = true
			a.endAllAttempts(m, "machine is gone")
		}
	}
	a.requestSchedulingPass()
}

// deleteTombstone forgets that machines are terminated: nothing refers to them any more.
func (a recordApplier) deleteTombstone(key string) {
	for _, name := range a.tombstones[key].names {
		delete(a.terminatedMachines, name)
	}
	delete(a.tombstones, key)
}
