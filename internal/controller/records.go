// Package controller wires the core to the world: one actor owns all state of
// a controller, and goroutines for connections and long-lived duties talk to
// it over a channel.
package controller

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"eiderhitch/internal/core"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// Keys of the stored records.
const (
	prefix   = "e/"
	keyTypes = "e/types"
	preJob   = "e/job/"
	preGroup = "e/group/"
	preGone  = "e/gone/"
	preLend  = "e/lend/"
)

func jobKey(id string) string            { return preJob + id }
func groupKey(id string, k int) string   { return preGroup + id + "/" + strconv.Itoa(k) }
func taskName(id string, n int32) string { return id + "/" + strconv.Itoa(int(n)) }

func parseTask(s string) (id string, num int32, ok bool) {
	id, digits, ok := strings.Cut(s, "/")
	n, err := strconv.ParseInt(digits, 10, 32)
	return id, int32(n), ok && err == nil
}

// partOf is the part that a machine belongs to.
func partOf(machine string, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine))
	// FNV's low bits alone are uneven for names that differ in a digit.
	v := h.Sum32()
	v ^= v >> 15
	v *= 0x2c1b3c6d
	v ^= v >> 12
	return int(v % uint32(parts))
}

// Fates of a job.
const (
	live = iota
	cancelled
	done
)

var fateNames = map[int]string{live: "live", cancelled: "cancelled", done: "done"}

type job struct {
	id    string
	stamp uint64
	fate  int
	at    time.Time
	spec  *wire.Job
	need  core.Resources
	team  int32
	recs  []*rec
	loc   map[int32]*rec // of each task that is dealt and not done

	atHand bool // among brain.atHand
	// unreadable are the keys of its records that can't be decoded.
	unreadable map[string]bool
	sig        string // what jobs alike in need and permissions share
	nextRec    int
	dealtAt    time.Time
	ending     bool            // a write of the fate is in flight
	failedOn   map[string]bool // machines on which tasks of it failed
	retryAt    time.Time       // nothing of it is placed before then

	// Of a gang: the last attempt that was seen to run, that can't be completed, that
	// was told to stop; and whether a task of it, and so all, got done.
	ran, spoilt, told uint64
	finished          bool
	// incompleteSince is since when only some tasks of a gang's attempt have been bound.
	incompleteSince time.Time
}

// newRec is the number of a record that the job has never had.
func (j *job) newRec() int {
	for _, r := range j.recs {
		j.nextRec = max(j.nextRec, r.k+1)
	}
	j.nextRec++
	return j.nextRec - 1
}

func (j *job) dealt() (n, finished int) {
	for _, r := range j.recs {
		n += len(r.entries) + r.done
		finished += r.done
	}
	return n, finished
}

// waits tells whether tasks of the job have not been dealt yet, or stand back.
func (j *job) waits() bool {
	n := 0
	for _, r := range j.recs {
		if r.cap != 0 {
			return true
		}
		n += len(r.entries) + r.done
	}
	return n < j.spec.Tasks
}

// pending counts the tasks that are dealt and neither placed nor done.
func (j *job) pending() int {
	n := 0
	for _, r := range j.recs {
		n += len(r.entries) - r.bound()
	}
	return n
}

// begun tells whether a task of the job has ever been placed.
func (j *job) begun() bool {
	for _, r := range j.recs {
		if r.done > 0 {
			return true
		}
		for i := range r.entries {
			if r.entries[i].attempt > 0 {
				return true
			}
		}
	}
	return false
}

type entry struct {
	num     int32
	attempt uint64
	m       *machine // nil: Pending
	session uint64
}

type rec struct {
	key      string
	idx      int32
	k        int
	job      *job
	stamp    uint64
	part     int
	zone     string
	own      bool
	done     int
	cap      int // see record.Group
	entries  []entry
	placed   int // entries that name a machine
	listed   int // one more than its place among its part's records; 0: in none
	writing  bool
	unit     *store.Write    // its owner's write, while that waits or is on its way
	dirty    bool            // attempts have ended that are not stored as ended
	endedAt  time.Time       // since when ended attempts wait to be stored
	boundAt  time.Time       // since when new bindings wait to be stored
	since    time.Time       // when it came to its part
	cappedAt time.Time       // when the leader last changed its cap
	size     int             // of its stored form
	form     record.Encoding // in which it is stored
	barredTo time.Time       // not written before then: it was refused as invalid
}

func (r *rec) task(num int32) core.Task { return core.Task{Group: r.idx, Num: num} }

func (r *rec) find(num int32) *entry {
	for i := range r.entries {
		if r.entries[i].num == num {
			return &r.entries[i]
		}
	}
	return nil
}

// binds tells whether an attempt of a task is bound to a machine already.
func (r *rec) binds(num int32, attempt uint64, m *machine) bool {
	e := r.find(num)
	return e != nil && e.m == m && e.attempt == attempt
}

// void gives up a write of the record's owner whose conditions have changed.
func (r *rec) void() {
	if r.unit != nil {
		r.unit.Cancel()
	}
}

// bound counts the tasks that are on machines by what is stored.
func (r *rec) bound() int {
	return r.placed
}

// may is how many tasks may be bound at a time.
func (r *rec) may() int {
	if r.cap == 0 {
		return len(r.entries)
	}
	return min(r.cap-1, len(r.entries))
}

// counts is how many tasks count for the team's limit: those that may be bound
// and those that still are; of a job that is over only the latter, once all changes
// up to its end are known (to cursor). A cancellation of our own is known before a
// binding that was stored just before it: counted for nothing until then, the task
// ran beside what its room was given to.
func (r *rec) counts(cursor uint64) int {
	if r.job.fate != live && r.job.stamp <= cursor {
		return r.bound()
	}
	return max(r.bound(), r.may())
}

// excess tells whether a bound task is beyond what may be bound.
func (r *rec) excess(num int32) bool {
	if r.cap == 0 {
		return false
	}
	n := 0
	for i := range r.entries {
		if r.entries[i].m == nil {
			continue
		}
		n++
		if r.entries[i].num == num {
			return n > r.cap-1
		}
	}
	return false
}

// split is the record in two, by which tasks stay and which leave. Of a record that may
// not run all of its tasks those leave that may, and with them so much of its cap: two
// records with one's cap would count, and run, more than it allows.
func (r *rec) split(stay, leave []entry) (left, moved rec) {
	left, moved = *r, *r
	left.entries, moved.entries = stay, leave
	if r.cap != 0 && len(stay) > 0 {
		left.cap, moved.cap = r.cap-len(leave), 0
	}
	return left, moved
}

func (r *rec) claim() core.Claim {
	return core.Claim{Priority: r.job.spec.Priority, Guaranteed: r.own, Team: r.job.team}
}

// group is the record's stored content with other entries.
func (r *rec) group(done int, entries []entry) *record.TaskGroup {
	v := &record.TaskGroup{Partition: r.part, Zone: r.zone, Guaranteed: r.own, Done: done, Throttle: r.cap, Tasks: make([]record.Binding, 0, len(entries))}
	for _, e := range entries {
		x := record.Binding{Task: e.num, Attempt: e.attempt}
		if e.m != nil {
			x.Machine, x.Incarnation, x.Addr = e.m.name, e.session, e.m.addr
		}
		v.Tasks = append(v.Tasks, x)
	}
	return v
}

// content is a record with other entries, in the form that records are written in now.
func (b *brain) content(r *rec, done int, entries []entry) record.Content {
	return r.group(done, entries).Encode(b.form())
}

// mostEntries is how many tasks a record has at the most.
const mostEntries = 128

// maxEntries keeps a record within the state service's limit of a value, by the usual
// form of an entry. One that gets larger all the same is split (brain.fit).
func maxEntries(valueKB float64) int {
	const perEntry = 72
	return max(1, min(mostEntries, int(valueKB*1024-128)/perEntry))
}

// maxValue is how large a stored value may be.
func (b *brain) maxValue() int { return int(b.cfg.Settings.State.ValueKB * 1024) }

// fit is a record's stored form, in as many pieces as the limit of a value asks for: one
// that was written while more was allowed, or whose names are long, is split when it is
// written again. The first piece is the record itself.
func (b *brain) fit(r *rec, done int, entries []entry) []record.Content {
	v := b.content(r, done, entries)
	if v.Size() <= b.maxValue() || len(entries) < 2 {
		return []record.Content{v}
	}
	half := len(entries) / 2
	stay, leave := entries[:half], entries[half:]
	first, second := *r, *r
	if r.cap != 0 { // together no more than before: each keeps what is bound
		bound := 0
		for i := range stay {
			if stay[i].m != nil {
				bound++
			}
		}
		rest := 0
		for i := range leave {
			if leave[i].m != nil {
				rest++
			}
		}
		free := max(0, r.cap-1-bound-rest)
		here := min(free, len(stay)-bound)
		first.cap, second.cap = 1+bound+here, 1+rest+min(free-here, len(leave)-rest)
	}
	return append(b.fit(&first, done, stay), b.fit(&second, 0, leave)...)
}

// cancelledValue is a cancelled job's stored form. The description stays: its tasks count
// for the team's limit until they are gone, also for a controller that starts later. Of
// one too large for that, what placing it would need is left out.
func (b *brain) cancelledValue(j *job) json.RawMessage {
	v := record.Job{FinalState: cancelled, AcceptedAtMS: j.at.UnixMilli(), Spec: j.spec}
	out := record.JSON(v)
	if len(out) > b.maxValue() {
		short := *j.spec
		short.MachineTypes, short.Image, short.Class = nil, "", ""
		v.Spec = &short
		out = record.JSON(v)
	}
	return out
}
