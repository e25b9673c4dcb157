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
func (b *brain) reset(items []wire.Item, rev uint64, since *wire.WatchResponse) {
	seen := make(map[string]bool, len(items))
	for i := range items {
		seen[items[i].Key] = true
	}
	for key, v := range b.vers {
		if !seen[key] && v <= rev {
			b.drop(key, rev)
		}
	}
	for i := range items {
		b.put(items[i].Key, items[i].Value, items[i].Revision)
	}
	b.cursor = max(b.cursor, rev)
	b.events(since)
	b.layDown() // most of what is read after a start
	b.loaded = true
}

func (b *brain) events(ev *wire.WatchResponse) {
	defer b.metrics.spend(dReplica, time.Now())
	if ev.Revision <= b.cursor {
		return
	}
	for _, e := range ev.Events {
		if e.Delete != "" {
			b.drop(e.Delete, e.Revision)
		} else {
			b.put(e.Put, e.Value, e.Revision)
		}
	}
	b.cursor = ev.Revision
	for k, v := range b.dropped {
		if v <= b.cursor {
			delete(b.dropped, k)
		}
	}
}

// applied takes the changes of a successful transaction of ours into the replica.
func (b *brain) applied(u *store.Write, rev uint64) {
	for _, c := range u.Changes {
		if c.Delete != "" {
			b.drop(c.Delete, rev)
		} else {
			b.put(c.Put, c.Value, rev)
		}
	}
}

func (b *brain) put(key string, raw json.RawMessage, stamp uint64) {
	if b.vers[key] >= stamp || b.dropped[key] >= stamp {
		return
	}
	if b.vers[key] == 0 && stamp <= b.cursor {
		// All changes up to the cursor are known, and the key is not there: it
		// was deleted after this, which is the late result of a write of ours.
		return
	}
	b.vers[key] = stamp
	if err := b.putValue(key, raw, stamp); err != nil {
		b.undecodable(key, err)
	}
}

// putValue takes a stored value in by the kind of its key. An error means that the value
// can't be read.
func (b *brain) putValue(key string, raw json.RawMessage, stamp uint64) error {
	switch {
	case strings.HasPrefix(key, preGroup):
		v, form, err := record.DecodeTaskGroup(key, raw)
		if err != nil {
			return err
		}
		return b.putGroup(key, v, stored{stamp: stamp, size: len(raw), form: form})
	case strings.HasPrefix(key, preJob):
		return b.putJobValue(key, raw, stamp)
	case key == keyTypes:
		return decoded(raw, func(v []wire.MachineType) { b.putTypes(v); b.typesKey = true })
	case strings.HasPrefix(key, preGone):
		names := []string{strings.TrimPrefix(key, preGone)} // of an older version: true
		var more []string
		if wire.Decode(raw, &more) == nil && len(more) > 0 {
			names = more
		}
		b.putGone(key, names)
		return nil
	case strings.HasPrefix(key, preLend):
		return decoded(raw, func(v record.MachineLoan) { b.putLend(strings.TrimPrefix(key, preLend), &v, stamp) })
	case key == rollout.StateKey:
		return b.putLevel(raw, stamp)
	case strings.HasPrefix(key, rollout.ControllerPrefix):
		return b.putController(strings.TrimPrefix(key, rollout.ControllerPrefix), raw, stamp)
	}
	return decoded(raw, func(v record.LeaseHolder) {
		b.holders[key] = v
		b.rightSeen(key, v, stamp)
	})
}

// decoded takes a value in if it can be read.
func decoded[T any](raw json.RawMessage, take func(T)) error {
	var v T
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	take(v)
	return nil
}

func (b *brain) putJobValue(key string, raw json.RawMessage, stamp uint64) error {
	var v record.Job
	if err := wire.Decode(raw, &v); err != nil {
		return err
	}
	id := strings.TrimPrefix(key, preJob)
	if _, over := b.over[id]; over {
		delete(b.vers, key) // it stays so, whatever comes late
		return nil
	}
	b.putJob(id, &v, stamp)
	b.job(id).readable(key)
	return nil
}

// undecodable names a record that this version can't read. Nothing is guessed:
// its job is neither dealt nor ended, and its user is told to come back.
func (b *brain) undecodable(key string, err error) {
	b.log.Error("stored record can't be decoded; it is left alone", "key", key, "err", err)
	b.metrics.count(cUndecodable, 1)
	id, ok := strings.CutPrefix(key, preJob)
	if strings.HasPrefix(key, preGroup) {
		id, _, ok = splitGroupKey(key)
		b.levels.unreadable[key] = true
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
func (j *job) readable(key string) { delete(j.unreadable, key) }

// bad tells whether a record of the job can't be decoded.
func (j *job) bad() bool { return len(j.unreadable) > 0 }

func (b *brain) drop(key string, stamp uint64) {
	if b.vers[key] > stamp {
		return
	}
	if stamp > b.cursor {
		b.dropped[key] = stamp
	}
	if _, ok := b.vers[key]; !ok {
		return
	}
	delete(b.vers, key)
	switch {
	case strings.HasPrefix(key, preGroup):
		b.groupReadable(key)
		if r := b.recByKey[key]; r != nil {
			b.levels.forms[r.form]--
			b.releaseClaims(r, nil)
			b.unlinkGroup(r)
			b.file(r, -1)
			r.job.recs = slices.DeleteFunc(r.job.recs, func(x *rec) bool { return x == r })
			delete(b.recByKey, key)
			b.recs[r.idx] = nil
		}
	case strings.HasPrefix(key, preGone):
		for _, n := range b.goneKeys[key].names {
			delete(b.gone, n)
		}
		delete(b.goneKeys, key)
	case strings.HasPrefix(key, preLend):
		b.dropLend(strings.TrimPrefix(key, preLend))
	case key == rollout.StateKey:
		b.setLevel(rollout.Initial, 0, nil)
	case strings.HasPrefix(key, rollout.ControllerPrefix):
		delete(b.levels.controllers, strings.TrimPrefix(key, rollout.ControllerPrefix))
	default:
		delete(b.holders, key)
		b.rightDropped(key)
	}
}

func (b *brain) job(id string) *job {
	j := b.jobs[id]
	if j == nil {
		if j = b.known(id); j == nil {
			j = &job{id: id}
		}
		b.jobs[id] = j
		b.takeUp(j)
	}
	return j
}

// takeUp puts a job among those that the leader goes through. Jobs are remembered
// for ever: a step must not cost more for each that has ever been.
func (b *brain) takeUp(j *job) {
	if !j.atHand {
		j.atHand = true
		b.atHand = append(b.atHand, j)
	}
}

// layDown takes jobs that are over and cleared up out of those at hand. Of each no
// more is kept than its fate, which is for ever: some fifty bytes a job. That nothing
// of it is left is known only once all changes before its last one are: a record that
// was stored before a cancellation of ours may be seen after it, and its tasks count
// for the team's limit.
func (b *brain) layDown() {
	b.atHand = slices.DeleteFunc(b.atHand, func(j *job) bool {
		if j.fate == live || len(j.recs) > 0 || j.stamp > b.cursor || j.bad() {
			return false
		}
		j.atHand = false
		b.over[j.id] = uint8(j.fate)
		delete(b.jobs, j.id)
		delete(b.vers, jobKey(j.id)) // never written again
		return true
	})
}

func (b *brain) putJob(id string, v *record.Job, stamp uint64) {
	j := b.job(id)
	if j.stamp != 0 && j.fate != v.FinalState {
		b.log.Info("job is over", "job", id, "fate", fateNames[v.FinalState])
	}
	before := j.fate
	j.stamp, j.fate = stamp, v.FinalState
	if v.Spec != nil {
		j.spec = v.Spec
		j.at = time.UnixMilli(v.AcceptedAtMS)
		j.need = core.NewResources(v.Spec.CPUs, v.Spec.GPUs, v.Spec.RAM)
		j.sig = fmt.Sprint(v.Spec.CPUs, v.Spec.GPUs, v.Spec.RAM, v.Spec.MachineTypes, v.Spec.Zone, v.Spec.Spot, v.Spec.Priority, v.Spec.AllOrNothing(), v.Spec.Team)
		j.team = b.team(v.Spec.Team)
	}
	if j.fate != live {
		b.retire(j)
		for _, r := range j.recs {
			if before == live {
				r.void() // it has the former version of the job among its conditions
			}
			b.cancelClaims(r, !r.writing)
			for i := range r.entries {
				if m := r.entries[i].m; m != nil {
					b.kick(m)
				}
			}
		}
	}
	b.step()
}

// retire drops what a final job needs no more; its fate is kept for ever.
func (b *brain) retire(j *job) {
	if j.fate != live && len(j.recs) == 0 && j.stamp <= b.cursor {
		j.spec, j.recs, j.loc = nil, nil, nil
	}
}

func (b *brain) team(name string) int32 {
	t, ok := b.teams[name]
	if !ok {
		t = int32(len(b.teams))
		b.teams[name] = t
	}
	return t
}

func (b *brain) putTypes(list []wire.MachineType) {
	b.types = map[string]*wire.MachineType{}
	for i := range list {
		b.types[list[i].Name] = &list[i]
	}
	for _, m := range b.machines {
		b.sizeMachine(m)
	}
	b.step()
}

func (b *brain) putGone(key string, names []string) {
	b.goneKeys[key] = gone{names, b.now}
	for _, name := range names {
		b.gone[name] = true
		if m := b.machines[name]; m != nil {
			m.gone = true
			b.endAll(m, "machine is gone")
		}
	}
	b.step()
}

// splitGroupKey takes a group record's key apart.
func splitGroupKey(key string) (id string, k int, ok bool) {
	id, num, ok := strings.Cut(strings.TrimPrefix(key, preGroup), "/")
	k, err := strconv.Atoi(num)
	return id, k, ok && err == nil
}

// stored is what is known of a value besides its content.
type stored struct {
	stamp uint64
	size  int
	form  record.Encoding
}

// groupReadable notes that a group's record can be decoded, or is gone.
func (b *brain) groupReadable(key string) {
	delete(b.levels.unreadable, key)
	if id, _, ok := splitGroupKey(key); ok {
		if j := b.jobs[id]; j != nil {
			j.readable(key)
		}
	}
}

// newRec begins a record that has not been seen before.
func (b *brain) newRec(key, id string, k int) *rec {
	j := b.job(id)
	r := &rec{key: key, idx: int32(len(b.recs)), k: k, job: j, since: b.now, part: -1}
	b.recs = append(b.recs, r)
	b.recByKey[key] = r
	b.takeUp(j)
	if j.loc == nil {
		j.loc = map[int32]*rec{}
	}
	j.recs = append(j.recs, r)
	return r
}

// putEntries takes a record's tasks in, with the machines that they are bound to.
func (b *brain) putEntries(r *rec, tasks []record.Binding) {
	entries := make([]entry, 0, len(tasks))
	placed := 0
	for _, x := range tasks {
		e := entry{num: x.Task, attempt: x.Attempt, session: x.Incarnation}
		if x.Machine != "" {
			e.m = b.machine(x.Machine)
			if e.m.home == b.lentPart() && !r.binds(x.Task, x.Attempt, e.m) {
				e.m.usedAt = b.now
			}
			e.m.bound.add(r.task(x.Task), r)
			e.m.introduce(x.Addr, x.Incarnation)
			b.enlist(e.m) // one that is gone may have been forgotten
			placed++
		}
		entries = append(entries, e)
		r.job.loc[x.Task] = r
	}
	r.entries, r.placed = entries, placed
}

// putGroup takes a placement record in.
func (b *brain) putGroup(key string, v *record.TaskGroup, as stored) error {
	id, k, ok := splitGroupKey(key)
	if !ok {
		b.log.Error("stored key is malformed; it is left alone", "key", key)
		return nil
	}
	if v.Partition < 0 || v.Partition >= len(b.parts) {
		return fmt.Errorf("part %d does not exist", v.Partition)
	}
	b.groupReadable(key)
	r := b.recByKey[key]
	if r == nil {
		r = b.newRec(key, id, k)
	} else {
		b.levels.forms[r.form]--
	}
	b.levels.forms[as.form]++
	if r.part != v.Partition || r.zone != v.Zone {
		if r.part >= 0 {
			// A binding of ours that is being stored fails, or came before. What waits
			// for cells in another zone must not get them there.
			b.cancelClaims(r, true)
		}
		r.since = b.now
	}
	if r.part >= 0 {
		kept := make(map[int32]bool, len(v.Tasks))
		for _, x := range v.Tasks {
			kept[x.Task] = true
		}
		b.releaseClaims(r, kept)
	}
	b.unlinkGroup(r)
	b.file(r, v.Partition)
	r.size, r.form = as.size, as.form
	r.stamp, r.part, r.zone, r.own, r.done, r.cap = as.stamp, v.Partition, v.Zone, v.Guaranteed, v.Done, v.Throttle
	b.putEntries(r, v.Tasks)
	b.adopt(r)
	for i := range r.entries {
		if m := r.entries[i].m; m != nil && r.excess(r.entries[i].num) {
			b.kick(m)
		}
	}
	b.step()
	return nil
}

// records goes through all records there are.
func (b *brain) records() iter.Seq[*rec] {
	return func(yield func(*rec) bool) {
		for _, p := range b.parts {
			for _, r := range p.recs {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// file moves a record to another part's list; -1: to none.
func (b *brain) file(r *rec, part int) {
	if r.listed > 0 && r.part == part {
		return
	}
	if r.listed > 0 {
		l := b.parts[r.part].recs
		last := l[len(l)-1]
		l[r.listed-1], last.listed = last, r.listed
		l[len(l)-1] = nil
		b.parts[r.part].recs, r.listed = l[:len(l)-1], 0
	}
	if part >= 0 {
		b.parts[part].recs = append(b.parts[part].recs, r)
		r.listed = len(b.parts[part].recs)
	}
}

func (b *brain) unlinkGroup(r *rec) {
	for i := range r.entries {
		e := &r.entries[i]
		if e.m != nil {
			e.m.bound.remove(r.task(e.num))
			// Of a machine that is in another part than the record, as one that was lent
			// and died: adopted there, the cell would stay taken for good.
			if p := b.parts[e.m.home]; e.m.home != r.part && p.term != 0 {
				b.freeCell(p, r.task(e.num))
			}
		}
		if r.job.loc[e.num] == r {
			delete(r.job.loc, e.num)
		}
	}
}
