package controller

import (
	"encoding/json"
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"
	"time"

	"eiderhitch/internal/core"
	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// The replica: what the state service has, as far as this controller has read it.

// reset takes a whole reading in: pages read at different revisions, and the
// changes since the first. Only both together are a state that ever was; a count
// of done tasks that moved between two pages would else be seen twice.
func (b *controller) resetReplica(items []wire.Item, rev uint64, since *wire.WatchResponse) {
	seen := make(map[string]bool, len(items))
	for i := range items {
		seen[items[i].Key] = true
	}
	for key, v := range b.revisions {
		if !seen[key] && v <= rev {
			b.deleteRecord(key, rev)
		}
	}
	for i := range items {
		b.putRecord(items[i].Key, items[i].Value, items[i].Revision)
	}
	b.cursor = max(b.cursor, rev)
	b.applyEvents(since)
	b.archiveFinished() // most of what is read after a start
	b.loaded = true
}

func (b *controller) applyEvents(ev *wire.WatchResponse) {
	defer b.metrics.addBusyTime(activityReplica, time.Now())
	if ev.Revision <= b.cursor {
		return
	}
	for _, e := range ev.Events {
		if e.Delete != "" {
			b.deleteRecord(e.Delete, e.Revision)
		} else {
			b.putRecord(e.Put, e.Value, e.Revision)
		}
	}
	b.cursor = ev.Revision
	for k, v := range b.deletedRevisions {
		if v <= b.cursor {
			delete(b.deletedRevisions, k)
		}
	}
}

// applied takes the changes of a successful transaction of ours into the replica.
func (b *controller) applyWrite(u *store.Write, rev uint64) {
	for _, c := range u.Changes {
		if c.Delete != "" {
			b.deleteRecord(c.Delete, rev)
		} else {
			b.putRecord(c.Put, c.Value, rev)
		}
	}
}

func (b *controller) putRecord(key string, raw json.RawMessage, stamp uint64) {
	if b.revisions[key] >= stamp || b.deletedRevisions[key] >= stamp {
		return
	}
	if b.revisions[key] == 0 && stamp <= b.cursor {
		// All changes up to the cursor are known, and the key is not there: it
		// was deleted after this, which is the late result of a write of ours.
		return
	}
	b.revisions[key] = stamp
	if err := b.decodeRecord(key, raw, stamp); err != nil {
		b.noteUndecodable(key, err)
	}
}

// putValue takes a stored value in by the kind of its key. An error means that the value
// can't be read.
func (b *controller) decodeRecord(key string, raw json.RawMessage, stamp uint64) error {
	switch {
	case strings.HasPrefix(key, groupPrefix):
		v, form, err := record.DecodeTaskGroup(key, raw)
		if err != nil {
			return err
		}
		return b.putGroup(key, v, storedValue{revision: stamp, size: len(raw), encoding: form})
	case strings.HasPrefix(key, jobPrefix):
		return b.putJobValue(key, raw, stamp)
	case key == machineTypesKey:
		return decodeInto(raw, func(v []wire.MachineType) { b.putMachineTypes(v); b.machineTypesStored = true })
	case strings.HasPrefix(key, tombstonePrefix):
		names := []string{strings.TrimPrefix(key, tombstonePrefix)} // of an older version: true
		var more []string
		if wire.Decode(raw, &more) == nil && len(more) > 0 {
			names = more
		}
		b.putTombstone(key, names)
		return nil
	case strings.HasPrefix(key, loanPrefix):
		return decodeInto(raw, func(v record.MachineLoan) { b.putLoan(strings.TrimPrefix(key, loanPrefix), &v, stamp) })
	case key == rollout.StateKey:
		return b.putRolloutState(raw, stamp)
	case strings.HasPrefix(key, rollout.ControllerPrefix):
		return b.putRegistration(strings.TrimPrefix(key, rollout.ControllerPrefix), raw, stamp)
	}
	return decodeInto(raw, func(v record.LeaseHolder) {
		b.holders[key] = v
		b.observeHolder(key, v, stamp)
	})
}

// decoded takes a value in if it can be read.
func decodeInto[T any](raw json.RawMessage, take func(T)) error {
	var v T
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	take(v)
	return nil
}

func (b *controller) putJobValue(key string, raw json.RawMessage, stamp uint64) error {
	var v record.Job
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	id := strings.TrimPrefix(key, jobPrefix)
	if _, over := b.finished[id]; over {
		delete(b.revisions, key) // it stays so, whatever comes late
		return nil
	}
	b.putJob(id, &v, stamp)
	b.job(id).markReadable(key)
	return nil
}

// undecodable names a record that this version can't read. Nothing is guessed:
// its job is neither dealt nor ended, and its user is told to come back.
func (b *controller) noteUndecodable(key string, err error) {
	b.log.Error("stored record can't be decoded; it is left alone", "key", key, "err", err)
	b.metrics.count(countUndecodable, 1)
	id, ok := strings.CutPrefix(key, jobPrefix)
	if strings.HasPrefix(key, groupPrefix) {
		id, _, ok = splitGroupKey(key)
		b.rollout.unreadable[key] = true
	}
	if !ok {
		return
	}
	j := b.job(id)
	if j.unreadable == nil {
		j.unreadable = map[string]bool{}
	}
	j.unreadable[key] = true
}

// readable notes that a record of the job can be decoded, or is gone.
func (j *job) markReadable(key string) { delete(j.unreadable, key) }

// bad tells whether a record of the job can't be decoded.
func (j *job) hasUnreadableRecords() bool { return len(j.unreadable) > 0 }

func (b *controller) deleteRecord(key string, stamp uint64) {
	if b.revisions[key] > stamp {
		return
	}
	if stamp > b.cursor {
		b.deletedRevisions[key] = stamp
	}
	if _, ok := b.revisions[key]; !ok {
		return
	}
	delete(b.revisions, key)
	switch {
	case strings.HasPrefix(key, groupPrefix):
		b.markGroupReadable(key)
		if r := b.groupByKey[key]; r != nil {
			b.rollout.groupsByEncoding[r.encoding]--
			b.releaseCells(r, nil)
			b.unlinkBindings(r)
			b.moveToPartition(r, -1)
			r.job.groups = slices.DeleteFunc(r.job.groups, func(x *taskGroup) bool { return x == r })
			delete(b.groupByKey, key)
			b.groups[r.index] = nil
		}
	case strings.HasPrefix(key, tombstonePrefix):
		for _, n := range b.tombstones[key].names {
			delete(b.terminated, n)
		}
		delete(b.tombstones, key)
	case strings.HasPrefix(key, loanPrefix):
		b.deleteLoan(strings.TrimPrefix(key, loanPrefix))
	case key == rollout.StateKey:
		b.setRolloutState(rollout.Initial, 0, nil)
	case strings.HasPrefix(key, rollout.ControllerPrefix):
		delete(b.rollout.controllers, strings.TrimPrefix(key, rollout.ControllerPrefix))
	default:
		delete(b.holders, key)
		b.observeVacancy(key)
	}
}

func (b *controller) job(id string) *job {
	j := b.jobs[id]
	if j == nil {
		if j = b.lookupJob(id); j == nil {
			j = &job{id: id}
		}
		b.jobs[id] = j
		b.restoreJob(j)
	}
	return j
}

// takeUp puts a job among those that the leader goes through. Jobs are remembered
// for ever: a step must not cost more for each that has ever been.
func (b *controller) restoreJob(j *job) {
	if !j.inUnfinished {
		j.inUnfinished = true
		b.unfinished = append(b.unfinished, j)
	}
}

// layDown takes jobs that are over and cleared up out of those at hand. Of each no
// more is kept than its fate, which is for ever: some fifty bytes a job. That nothing
// of it is left is known only once all changes before its last one are: a record that
// was stored before a cancellation of ours may be seen after it, and its tasks count
// for the team's limit.
func (b *controller) archiveFinished() {
	b.unfinished = slices.DeleteFunc(b.unfinished, func(j *job) bool {
		if j.finalState == unfinishedJob || len(j.groups) > 0 || j.revision > b.cursor || j.hasUnreadableRecords() {
			return false
		}
		j.inUnfinished = false
		b.finished[j.id] = uint8(j.finalState)
		delete(b.jobs, j.id)
		delete(b.revisions, jobKey(j.id)) // never written again
		return true
	})
}

func (b *controller) putJob(id string, v *record.Job, stamp uint64) {
	j := b.job(id)
	if j.revision != 0 && j.finalState != v.FinalState {
		b.log.Info("job is over", "job", id, "fate", finalStateNames[v.FinalState])
	}
	before := j.finalState
	j.revision, j.finalState = stamp, v.FinalState
	if v.Spec != nil {
		j.spec = v.Spec
		j.acceptedAt = time.UnixMilli(v.AcceptedAtMS)
		j.taskSize = core.NewResources(v.Spec.CPUs, v.Spec.GPUs, v.Spec.RAM)
		j.equivalenceClass = fmt.Sprint(v.Spec.CPUs, v.Spec.GPUs, v.Spec.RAM, v.Spec.MachineTypes, v.Spec.Zone, v.Spec.Spot, v.Spec.Priority, v.Spec.AllOrNothing(), v.Spec.Team)
		j.team = b.team(v.Spec.Team)
	}
	if j.finalState != unfinishedJob {
		b.releaseJobDetails(j)
		for _, r := range j.groups {
			if before == unfinishedJob {
				r.cancelWrite() // it has the former version of the job among its conditions
			}
			b.cancelReservations(r, !r.writing)
			for i := range r.bindings {
				if m := r.bindings[i].machine; m != nil {
					b.sendCommandsNow(m)
				}
			}
		}
	}
	b.requestPass()
}

// retire drops what a final job needs no more; its fate is kept for ever.
func (b *controller) releaseJobDetails(j *job) {
	if j.finalState != unfinishedJob && len(j.groups) == 0 && j.revision <= b.cursor {
		j.spec, j.groups, j.groupOfTask = nil, nil, nil
	}
}

func (b *controller) team(name string) int32 {
	t, ok := b.teamIndex[name]
	if !ok {
		t = int32(len(b.teamIndex))
		b.teamIndex[name] = t
	}
	return t
}

func (b *controller) putMachineTypes(list []wire.MachineType) {
	b.machineTypes = map[string]*wire.MachineType{}
	for i := range list {
		b.machineTypes[list[i].Name] = &list[i]
	}
	for _, m := range b.machines {
		b.setMachineSize(m)
	}
	b.requestPass()
}

func (b *controller) putTombstone(key string, names []string) {
	b.tombstones[key] = tombstone{names, b.now}
	for _, name := range names {
		b.terminated[name] = true
		if m := b.machines[name]; m != nil {
			m.terminated = true
			b.endAllAttempts(m, "machine is gone")
		}
	}
	b.requestPass()
}

// splitGroupKey takes a group record's key apart.
func splitGroupKey(key string) (id string, k int, ok bool) {
	id, num, ok := strings.Cut(strings.TrimPrefix(key, groupPrefix), "/")
	k, err := strconv.Atoi(num)
	return id, k, ok && err == nil
}

// stored is what is known of a value besides its content.
type storedValue struct {
	revision uint64
	size     int
	encoding record.Encoding
}

// groupReadable notes that a group's record can be decoded, or is gone.
func (b *controller) markGroupReadable(key string) {
	delete(b.rollout.unreadable, key)
	if id, _, ok := splitGroupKey(key); ok {
		if j := b.jobs[id]; j != nil {
			j.markReadable(key)
		}
	}
}

// newRec begins a record that has not been seen before.
func (b *controller) newGroup(key, id string, k int) *taskGroup {
	j := b.job(id)
	r := &taskGroup{key: key, index: int32(len(b.groups)), number: k, job: j, inPartitionSince: b.now, partition: -1}
	b.groups = append(b.groups, r)
	b.groupByKey[key] = r
	b.restoreJob(j)
	if j.groupOfTask == nil {
		j.groupOfTask = map[int32]*taskGroup{}
	}
	j.groups = append(j.groups, r)
	return r
}

// putEntries takes a record's tasks in, with the machines that they are bound to.
func (b *controller) putBindings(r *taskGroup, tasks []record.Binding) {
	entries := make([]binding, 0, len(tasks))
	placed := 0
	for _, x := range tasks {
		e := binding{task: x.Task, attempt: x.Attempt, incarnation: x.Incarnation}
		if x.Machine != "" {
			e.machine = b.machineNamed(x.Machine)
			if e.machine.partition == b.loanPartition() && !r.binds(x.Task, x.Attempt, e.machine) {
				e.machine.lastBoundAt = b.now
			}
			e.machine.bindings.add(r.task(x.Task), r)
			e.machine.introduce(x.Addr, x.Incarnation)
			b.addToPartition(e.machine) // one that is gone may have been forgotten
			placed++
		}
		entries = append(entries, e)
		r.job.groupOfTask[x.Task] = r
	}
	r.bindings, r.boundCount = entries, placed
}

// putGroup takes a placement record in.
func (b *controller) putGroup(key string, v *record.TaskGroup, as storedValue) error {
	id, k, ok := splitGroupKey(key)
	if !ok {
		b.log.Error("stored key is malformed; it is left alone", "key", key)
		return nil
	}
	if v.Partition < 0 || v.Partition >= len(b.partitions) {
		return fmt.Errorf("part %d does not exist", v.Partition)
	}
	b.markGroupReadable(key)
	r := b.groupByKey[key]
	if r == nil {
		r = b.newGroup(key, id, k)
	} else {
		b.rollout.groupsByEncoding[r.encoding]--
	}
	b.rollout.groupsByEncoding[as.encoding]++
	if r.partition != v.Partition || r.zone != v.Zone {
		if r.partition >= 0 {
			// A binding of ours that is being stored fails, or came before. What waits
			// for cells in another zone must not get them there.
			b.cancelReservations(r, true)
		}
		r.inPartitionSince = b.now
	}
	if r.partition >= 0 {
		kept := make(map[int32]bool, len(v.Tasks))
		for _, x := range v.Tasks {
			kept[x.Task] = true
		}
		b.releaseCells(r, kept)
	}
	b.unlinkBindings(r)
	b.moveToPartition(r, v.Partition)
	r.size, r.encoding = as.size, as.encoding
	r.revision, r.partition, r.zone, r.guaranteed, r.done, r.throttle = as.revision, v.Partition, v.Zone, v.Guaranteed, v.Done, v.Throttle
	b.putBindings(r, v.Tasks)
	b.adoptBindings(r)
	for i := range r.bindings {
		if m := r.bindings[i].machine; m != nil && r.exceedsThrottle(r.bindings[i].task) {
			b.sendCommandsNow(m)
		}
	}
	b.requestPass()
	return nil
}

// records goes through all records there are.
func (b *controller) allGroups() iter.Seq[*taskGroup] {
	return func(yield func(*taskGroup) bool) {
		for _, p := range b.partitions {
			for _, r := range p.groups {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// file moves a record to another part's list; -1: to none.
func (b *controller) moveToPartition(r *taskGroup, part int) {
	if r.listPosition > 0 && r.partition == part {
		return
	}
	if r.listPosition > 0 {
		l := b.partitions[r.partition].groups
		last := l[len(l)-1]
		l[r.listPosition-1], last.listPosition = last, r.listPosition
		l[len(l)-1] = nil
		b.partitions[r.partition].groups, r.listPosition = l[:len(l)-1], 0
	}
	if part >= 0 {
		b.partitions[part].groups = append(b.partitions[part].groups, r)
		r.listPosition = len(b.partitions[part].groups)
	}
}

func (b *controller) unlinkBindings(r *taskGroup) {
	for i := range r.bindings {
		e := &r.bindings[i]
		if e.machine != nil {
			e.machine.bindings.remove(r.task(e.task))
			// Of a machine that is in another part than the record, as one that was lent
			// and died: adopted there, the cell would stay taken for good.
			if p := b.partitions[e.machine.partition]; e.machine.partition != r.partition && p.token != 0 {
				b.freeCell(p, r.task(e.task))
			}
		}
		if r.job.groupOfTask[e.task] == r {
			delete(r.job.groupOfTask, e.task)
		}
	}
}
