package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/core"
	"eiderhitch/internal/fleet"
	"eiderhitch/internal/mesh"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// brain is the actor's state. Only the actor's goroutine touches it.
type brain struct {
	cfg   *config.Platform
	op    *config.Operator
	log   *slog.Logger
	boot  string
	ctx   context.Context
	inbox *inbox
	// cloudQ holds calls to the cloud that wait for their turn.
	cloudQ chan func()
	st     *store.Client
	wr     *store.Writer
	cl     *cloud.Client
	fl     *fleet.Client
	now    time.Time // of the event in work
	hold   time.Duration
	lease  time.Duration // a worker's lease, with drift and margin

	// The replica.
	loaded    bool
	cursor    uint64
	freshAt   time.Time // start of the last successful read
	startedAt time.Time
	vers      map[string]uint64
	dropped   map[string]uint64 // tombstones until the cursor has passed them
	jobs      map[string]*job
	over      map[string]uint8 // fates of jobs that are over and cleared up
	atHand    []*job           // those that are not over and cleared up, and some that are
	recs      []*rec           // by dense index; nil where deleted
	recByKey  map[string]*rec
	types     map[string]*wire.MachineType
	typesKey  bool
	holders   map[string]holder
	gone      map[string]bool // machines that surely are, as long as a marker says so
	goneKeys  map[string]gone
	lends     map[string]*lend // by machine
	teams     map[string]int32
	within    map[string]float64 // by class: seconds in which its jobs should be done
	maxRec    int

	// Reads on behalf of users.
	reading   bool
	lastRead  time.Time
	readNext  []func(err error)
	readTimer bool
	// readyAt is when this controller last was ready; nil: it is not.
	readyAt   atomic.Pointer[time.Time]
	usersRead moment // the last one that succeeded

	rights   map[string]*right
	parts    []*part
	machines map[string]*machine
	byIdx    []*machine
	siblings map[string]*sibling
	send     func(frame []byte)
	jitter   func(time.Duration) time.Duration
	lead     leader
	closing  map[string]bool // machines that the leader wants to return
	// Machines that are being released, and those of them not asked for yet.
	leaving   map[string]bool
	toRelease []string
	releasing bool
	outcomes  map[core.Task]outcome
	// Direct commands that are open, the most that may be, and who waits.
	doOpen, doMost int
	doQueue        []*machine
	stepDue        bool
	steps          uint64 // decisions of parts taken so far
	// yieldUntil: this controller gave its rights up and takes none before then.
	yieldUntil time.Time
	gaveUpAt   time.Time // when it last did
	// wokeAt: this process stood still until then.
	wokeAt   time.Time
	reportAt time.Time // of any worker's last report
	// serves: reports are taken (HoldTime). resumedAt is when they last were again after
	// an outage: machines could not be heard before.
	serves    bool
	resumedAt time.Time
	// lastTick is when the actor last came to its duties, laggedAt when it last
	// came late to them: see lagging.
	lastTick, laggedAt time.Time
	metrics            *metrics
}

// sibling is what another controller told last.
type sibling struct {
	status *mesh.Status
	at     time.Time
	since  time.Time // since when it has been heard without a gap
	former string    // the process before the present one
}

// right is a leased key that this process holds or is about to.
type right struct {
	key    string
	stamp  uint64 // of the write that gave it; 0: not held
	lease  uint64
	busy   bool
	freeAt time.Time // since when the key is seen vacant
	rest   time.Time // not taken before then: it was given back
}

// part is one hash part of the machines.
type part struct {
	n      int
	key    string
	term   uint64 // stamp of our holding; 0: not ours
	gained uint64 // the first of our terms since it was last taken
	hoarse bool   // most of its machines seem not to hear us: see machine.deaf
	since  time.Time
	active bool // replica was read after the take-over
	cells  *core.Part
	alloc  map[core.Task]alloc
	raise  bool
	raised time.Time
	// machines are those that are in the part, whoever owns it.
	machines []*machine
	recs     []*rec // that it is in charge of
	// foreign are records of other parts of which tasks have ended on a machine of this
	// one, as on one that was lent and came back when its borrower ended: nobody else
	// knows, and who is in charge of the record would wait for ever.
	foreign map[*rec]bool
	queued  int // tasks that found no cell in this step so far
	// Cells that came free since endsSince, and in the time before that.
	ends, endsBefore int
	endsSince        time.Time
	// mostQuiet as counted at a time, see there.
	mostQuiet bool
	countedAt time.Time
	// old is how long a former owner may go on answering reports.
	old time.Duration
}

// alloc is a claimed cell whose binding is not stored yet.
type alloc struct {
	m       *machine
	session uint64
}

// gone is a marker of machines that are gone, and since when it is known.
type gone struct {
	names []string
	at    time.Time
}

// outcome is the proven end of an attempt.
type outcome struct {
	attempt uint64
	done    bool
	err     bool
}

// post runs f in the actor; it blocks while the lane is full.
func (b *brain) post(l lane, f func()) { b.inbox.put(b.ctx, l, f) }

// ask runs f in the actor and waits for it. False means that f has not been run and
// won't be, or that ctx ended meanwhile: nobody waits for what it says any more.
func (b *brain) ask(ctx context.Context, l lane, f func()) bool {
	ready := make(chan struct{})
	g := func() {
		if ctx.Err() == nil {
			f()
			close(ready)
		}
	}
	if l == laneUsers {
		if !b.inbox.putUser(g) {
			return false
		}
	} else if !b.inbox.put(ctx, l, g) {
		return false
	}
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return false
	}
}

// fresh tells whether the replica is current enough to act on: see HoldTime.
func (b *brain) fresh(limit time.Duration) bool {
	return b.loaded && b.now.Sub(b.freshAt) < limit
}

// reset takes a whole reading in: pages read at different revisions, and the
// changes since the first. Only both together are a state that ever was; a count
// of done tasks that moved between two pages would else be seen twice.
func (b *brain) reset(items []wire.Item, rev uint64, since *wire.Events) {
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
		b.put(items[i].Key, items[i].Value, items[i].Version)
	}
	b.cursor = max(b.cursor, rev)
	b.events(since)
	b.layDown() // most of what is read after a start
	b.loaded = true
}

func (b *brain) events(ev *wire.Events) {
	defer b.metrics.spend(dReplica, time.Now())
	if ev.Revision <= b.cursor {
		return
	}
	for _, e := range ev.Events {
		if e.Delete != "" {
			b.drop(e.Delete, e.Version)
		} else {
			b.put(e.Put, e.Value, e.Version)
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
func (b *brain) applied(u *store.Unit, rev uint64) {
	for _, c := range u.Then {
		if c.Delete != "" {
			b.drop(c.Delete, rev)
		} else {
			b.put(c.Put, c.Value, rev)
		}
	}
}

// write submits a unit; then runs in the actor with the result, after the
// replica has taken the changes in.
func (b *brain) write(u *store.Unit, then func(err error)) {
	begun := b.now
	u.Done = func(rev uint64, err error) {
		// Never block the writer on a full inbox that waits for the writer.
		go b.post(laneState, func() {
			b.metrics.observe(lCommit, b.now.Sub(begun))
			if err == nil {
				b.applied(u, rev)
			}
			then(err)
		})
	}
	if !b.wr.Submit(u) {
		b.log.Error("write queue is full")
		u.Done(0, store.ErrRefused)
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
	var err error
	switch {
	case strings.HasPrefix(key, preGroup):
		var v groupValue
		if err = wire.Decode(raw, &v); err == nil {
			b.putGroup(key, &v, stamp, len(raw))
		}
	case strings.HasPrefix(key, preJob):
		var v jobValue
		if err = wire.Decode(raw, &v); err == nil {
			id := strings.TrimPrefix(key, preJob)
			if _, over := b.over[id]; over {
				delete(b.vers, key) // it stays so, whatever comes late
			} else {
				b.putJob(id, &v, stamp)
			}
		}
	case key == keyTypes:
		var v []wire.MachineType
		if err = wire.Decode(raw, &v); err == nil {
			b.putTypes(v)
			b.typesKey = true
		}
	case strings.HasPrefix(key, preGone):
		names := []string{strings.TrimPrefix(key, preGone)} // of an older version: true
		var more []string
		if wire.Decode(raw, &more) == nil && len(more) > 0 {
			names = more
		}
		b.putGone(key, names)
	case strings.HasPrefix(key, preLend):
		var v lendValue
		if err = wire.Decode(raw, &v); err == nil {
			b.putLend(strings.TrimPrefix(key, preLend), &v, stamp)
		}
	default:
		var v holder
		if err = wire.Decode(raw, &v); err == nil {
			b.holders[key] = v
			b.rightSeen(key, v, stamp)
		}
	}
	if err != nil {
		b.undecodable(key, err)
	}
}

// undecodable names a record that this version can't read. Nothing is guessed:
// its job is neither dealt nor ended, and its user is told to come back.
func (b *brain) undecodable(key string, err error) {
	b.log.Error("stored record can't be decoded; it is left alone", "key", key, "err", err)
	if id, _, ok := splitGroupKey(key); ok && strings.HasPrefix(key, preGroup) {
		b.job(id).bad = true
	} else if id, ok := strings.CutPrefix(key, preJob); ok {
		b.job(id).bad = true
	}
}

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
		if r := b.recByKey[key]; r != nil {
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
		if j.fate == live || len(j.recs) > 0 || j.stamp > b.cursor || j.bad {
			return false
		}
		j.atHand = false
		b.over[j.id] = uint8(j.fate)
		delete(b.jobs, j.id)
		delete(b.vers, jobKey(j.id)) // never written again
		return true
	})
}

func (b *brain) putJob(id string, v *jobValue, stamp uint64) {
	j := b.job(id)
	if j.stamp != 0 && j.fate != v.Fate {
		b.log.Info("job is over", "job", id, "fate", fateNames[v.Fate])
	}
	before := j.fate
	j.stamp, j.fate = stamp, v.Fate
	if v.Job != nil {
		j.spec = v.Job
		j.at = time.UnixMilli(v.At)
		j.need = core.Amount(v.Job.CPUs, v.Job.GPUs, v.Job.RAM)
		j.sig = fmt.Sprint(v.Job.CPUs, v.Job.GPUs, v.Job.RAM, v.Job.Types, v.Job.Zone, v.Job.Spot, v.Job.Priority, v.Job.Whole(), v.Job.Team)
		j.team = b.team(v.Job.Team)
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

func (b *brain) putGroup(key string, v *groupValue, stamp uint64, size int) {
	id, k, ok := splitGroupKey(key)
	if !ok {
		b.log.Error("stored key is malformed; it is left alone", "key", key)
		return
	}
	if v.Part < 0 || v.Part >= len(b.parts) {
		b.undecodable(key, fmt.Errorf("part %d does not exist", v.Part))
		return
	}
	r := b.recByKey[key]
	if r == nil {
		j := b.job(id)
		r = &rec{key: key, idx: int32(len(b.recs)), k: k, job: j, since: b.now, part: -1}
		b.recs = append(b.recs, r)
		b.recByKey[key] = r
		b.takeUp(j)
		if j.loc == nil {
			j.loc = map[int32]*rec{}
		}
		j.recs = append(j.recs, r)
	}
	if r.part != v.Part || r.zone != v.Zone {
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
			kept[x.Num] = true
		}
		b.releaseClaims(r, kept)
	}
	b.unlinkGroup(r)
	b.file(r, v.Part)
	r.size = size
	r.stamp, r.part, r.zone, r.own, r.done, r.cap = stamp, v.Part, v.Zone, v.Own, v.Done, v.Cap
	entries := make([]entry, 0, len(v.Tasks))
	placed := 0
	for _, x := range v.Tasks {
		e := entry{num: x.Num, attempt: x.Attempt, session: x.Session}
		if x.Machine != "" {
			e.m = b.machine(x.Machine)
			if e.m.home == b.lentPart() && !r.binds(x.Num, x.Attempt, e.m) {
				e.m.usedAt = b.now
			}
			e.m.bound.add(r.task(x.Num), r)
			e.m.introduce(x.Addr, x.Session)
			b.enlist(e.m) // one that is gone may have been forgotten
			placed++
		}
		entries = append(entries, e)
		r.job.loc[x.Num] = r
	}
	r.entries, r.placed = entries, placed
	b.adopt(r)
	for i := range r.entries {
		if m := r.entries[i].m; m != nil && r.excess(r.entries[i].num) {
			b.kick(m)
		}
	}
	b.step()
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

// adopt brings the cells of a part of ours in line with a stored record.
func (b *brain) adopt(r *rec) {
	if r.job.spec == nil {
		return
	}
	for i := range r.entries {
		e := &r.entries[i]
		if e.m == nil {
			continue
		}
		p := b.parts[e.m.home]
		if p.term == 0 {
			continue
		}
		t := r.task(e.num)
		if o, ok := b.outcomes[t]; ok && o.attempt == e.attempt {
			continue // its cell is free already, on proof
		}
		delete(p.alloc, t)
		p.cells.Adopt(t, e.m.idx, r.job.need, r.claim())
		b.willFetch(e.m, r.job.spec.Image)
	}
}

// cancelClaims gives up what a record's tasks claim without a stored binding; of
// cells whose binding may be on its way only if those, too, are void.
func (b *brain) cancelClaims(r *rec, all bool) {
	p := b.parts[r.part]
	if p.term == 0 {
		return
	}
	for i := range r.entries {
		t := r.task(r.entries[i].num)
		if g := p.cells.Waiting(t); g != nil {
			p.cells.Cancel(g)
		}
		if _, ok := p.alloc[t]; ok && all {
			delete(p.alloc, t)
			b.freeCell(p, t)
		}
	}
}

// releaseClaims gives up whatever tasks hold in a part of ours that leave a
// record. Left behind, their cells would never be free again, and a look at
// their record would find none.
func (b *brain) releaseClaims(r *rec, kept map[int32]bool) {
	p := b.parts[r.part]
	if p.term == 0 {
		return
	}
	for i := range r.entries {
		if kept[r.entries[i].num] {
			continue
		}
		t := r.task(r.entries[i].num)
		if g := p.cells.Waiting(t); g != nil {
			p.cells.Cancel(g)
		}
		delete(p.alloc, t)
		b.freeCell(p, t)
	}
}

// freeCell ends a task's use of its cell; a group that waited for it may now
// be Allocated.
func (b *brain) freeCell(p *part, t core.Task) {
	if g := p.cells.Gone(t); g != nil {
		b.allocated(p, g)
	}
}

func (b *brain) allocated(p *part, g *core.Group) {
	for i, t := range g.Tasks {
		m := b.byIdx[g.Machines[i]]
		p.alloc[t] = alloc{m, m.session}
		b.willFetch(m, b.recs[t.Rec].job.spec.Image)
	}
	b.step()
}

// willFetch notes that a machine fetches an image for a task that it is given.
func (b *brain) willFetch(m *machine, image string) {
	if image != "" && !m.images[image] {
		m.fetching[image] = b.now
	}
}
