package controller

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/core"
	"eiderhitch/internal/mesh"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// leader is what only the leader knows. It is rebuilt after a take-over.
type leader struct {
	epoch    uint64 // version of the write that gave the lead: tells one lead from another
	term     uint64 // present version of the key; rises with each new term
	active   bool
	since    time.Time
	writes   int // in flight
	ahead    []int
	loggedAt time.Time
	// since when, and by whom, each part is vouched for without a gap
	vouchedAt []time.Time
	vouchedBy []string
	closing   map[string]bool // being emptied
	spare     []sample        // free CPUs of late, see closeSpare
	rented    map[string]*rented
	leaving   map[string]bool // being released
	idle      map[string]time.Time
	refused   map[core.Offer]time.Time // no requests before then
	backoff   map[core.Offer]time.Duration
	renting   map[core.Offer]int
	rentals   int
	listAt    time.Time
	listBusy  bool
	clearing  bool // of gone markers
	listed    bool // the list has been read since the lead was taken
	typesAt   time.Time
}

// rented is a machine that the cloud has given us, as far as the leader knows.
type rented struct {
	typ, zone string
	spot      bool
	since     time.Time
	up        bool      // it has reported to its owner
	seen      time.Time // when its owner last told of it
	listed    bool
}

func (b *brain) leaderGained(stamp uint64) {
	b.lead = leader{epoch: stamp, term: stamp, since: b.now, rented: map[string]*rented{}, leaving: map[string]bool{}, idle: map[string]time.Time{},
		refused: map[core.Offer]time.Time{}, backoff: map[core.Offer]time.Duration{}, renting: map[core.Offer]int{}}
	// A former leader's late writes fail by its key's version; what it did
	// store is read before anything is dealt.
	b.readThen(func() {
		if b.lead.epoch == stamp {
			b.lead.active = true
		}
	})
}

// leads tells whether this controller acts as the leader now.
func (b *brain) leads() bool { return b.lead.active && b.fresh(b.op.RightTTL) }

// unheardOwner is how long the leader deals by what an owner told last when it
// hears nothing of it, unless the owner loses its part.
const unheardOwner = 90 * time.Second

// hosts are the machines that owners vouch for, with what is bound on them.
func (b *brain) hosts() []*core.Host {
	var out []*core.Host
	add := func(m *machine, flags uint8) {
		t := b.types[m.typ]
		if t == nil || m.gone || b.lead.leaving[m.name] {
			return
		}
		r := b.lead.rented[m.name]
		if r == nil {
			r = &rented{typ: m.typ, zone: m.zone, spot: m.spot, since: b.now}
			b.lead.rented[m.name] = r
		}
		r.up, r.seen = true, b.now
		if flags&mesh.Up == 0 || flags&(mesh.Warned|mesh.Suspect|mesh.Silent) != 0 {
			return
		}
		size := core.Amount(t.CPUs, t.GPUs, t.RAM)
		if l := b.lends[m.name]; l != nil && !l.Ack {
			return // on its way to the leader
		}
		h := &core.Host{ID: m.idx, Type: m.typ, Zone: m.zone, Spot: m.spot, Part: b.home(m), Size: size, Free: size}
		h.Touched = b.lends[m.name] != nil // wanted, even before it is in use
		for _, r := range m.bound {
			if r.job.spec == nil {
				continue
			}
			h.Free = h.Free.Minus(r.job.need)
			h.Claims = append(h.Claims, core.HeldCell{Claim: r.claim(), Size: r.job.need})
			h.Pinned = h.Pinned || r.job.spec.Whole()
		}
		if b.lead.closing[m.name] {
			h.Free, h.Claims = core.Res{}, nil // no room for anybody
		}
		out = append(out, h)
	}
	for _, p := range b.parts {
		if p.term != 0 {
			if !p.active {
				continue
			}
			for _, m := range b.byIdx {
				if b.home(m) == p.n && m.heard.After(p.since) {
					add(m, b.flags(m, p))
				}
			}
			continue
		}
		h := b.holders[p.key]
		s := b.siblings[h.Node]
		if s == nil || s.status == nil {
			continue
		}
		// An owner that we don't hear, though it holds its part, works on: the
		// connections between controllers say nothing of who lives. Its machines
		// are taken for what they were last, with what the records bind there.
		if b.now.Sub(s.at) > unheardOwner {
			continue
		}
		for i := range s.status.Machines {
			x := &s.status.Machines[i]
			if b.home(b.machine(x.Name)) != p.n {
				continue
			}
			m := b.machine(x.Name)
			m.typ, m.zone, m.spot, m.addr = x.Type, x.Zone, x.Flags&mesh.Spot != 0, x.Addr
			add(m, x.Flags)
		}
	}
	return out
}

// flags are what an owner says of its machine.
func (b *brain) flags(m *machine, p *part) uint8 {
	var f uint8
	if b.up(m, p) {
		f |= mesh.Up
	}
	if !m.notice.IsZero() {
		f |= mesh.Warned
	}
	if m.suspect {
		f |= mesh.Suspect
	}
	if m.spot {
		f |= mesh.Spot
	}
	if b.silent(m, p) {
		f |= mesh.Silent
	}
	return f
}

// silent: the machine neither reports nor answers direct commands, while most
// others of the part do, or it reports and hears nothing.
func (b *brain) silent(m *machine, p *part) bool {
	if m.gone || !b.quiet(m, p) {
		return false
	}
	quiet, all := 0, 0
	for _, o := range b.byIdx {
		if o.gone || o.heard.IsZero() || b.home(o) != p.n || b.now.Sub(o.heard) > 2*time.Minute {
			continue
		}
		all++
		if b.quiet(o, p) {
			quiet++
		}
	}
	// A machine whose lease is over has lost its tasks anyhow.
	return quiet*2 <= all || b.leaseOver(m, p)
}

func (b *brain) quiet(m *machine, p *part) bool {
	if m.deaf(p) && b.now.Sub(p.took(m)) > b.silentAfter() && b.now.Sub(m.heard) < b.quietAfter() {
		return true // it reports all the same, so that commands can't be late
	}
	since := b.heardSince(m, p)
	if m.probeOK.After(since) {
		since = m.probeOK
	}
	if m.unanswered >= deafAfter {
		return b.now.Sub(since) > b.quietAfter()
	}
	return b.now.Sub(since) > b.silentAfter()
}

// status tells the siblings about this controller and its machines.
func (b *brain) status() *mesh.Status {
	s := &mesh.Status{Node: b.cfg.Name, Boot: b.boot, Fresh: b.fresh(b.op.RightTTL), Able: b.able()}
	for name := range b.lead.closing {
		s.Closing = append(s.Closing, name)
	}
	for _, p := range b.parts {
		if p.term == 0 || !p.active {
			continue
		}
		s.Parts = append(s.Parts, uint64(p.n))
		for _, m := range b.byIdx {
			if m.gone || !m.heard.After(p.since) && len(m.bound) == 0 || m.session == 0 || b.home(m) != p.n ||
				b.now.Sub(b.heardSince(m, p)) > 3*time.Minute {
				continue
			}
			s.Machines = append(s.Machines, mesh.Machine{Name: m.name, Addr: m.addr, Type: m.typ, Zone: m.zone, Session: m.session, Flags: b.flags(m, p)})
		}
	}
	return s
}

// takeStatus takes a sibling's status in.
func (b *brain) takeStatus(s *mesh.Status) {
	x := b.siblings[s.Node]
	if x == nil {
		return // not one of ours
	}
	if x.status != nil && x.status.Boot != s.Boot {
		if x.former == s.Boot {
			return // of a process that is dead
		}
		x.former = x.status.Boot
	}
	if b.now.Sub(x.at) > 2500*time.Millisecond {
		x.since = b.now
	}
	x.status, x.at = s, b.now
	if b.holders[keyLeader].Node == s.Node {
		b.closing = map[string]bool{}
		for _, name := range s.Closing {
			b.closing[name] = true
		}
	}
}

// want is a number of like tasks that found no room: one decision for all.
type want struct {
	job     *wire.Job
	zone    string
	need    core.Res
	count   int
	service bool
	windowS float64
	slackS  float64 // until the deadline
}

// lead deals work to parts and rents and returns machines.
func (b *brain) leadStep() {
	if !b.leads() {
		return
	}
	defer b.metrics.spend(dLead, time.Now())
	b.finishJobs()
	b.noteVouching()
	if b.lead.writes > 0 {
		return
	}
	hosts := b.hosts()
	b.logFleet(hosts)
	b.tendLends(hosts)
	wants := b.deal(hosts)
	b.provision(hosts, wants)
}

// logFleet logs now and then how full the machines are.
func (b *brain) logFleet(hosts []*core.Host) {
	if b.now.Sub(b.lead.loggedAt) < fleetEvery {
		return
	}
	b.lead.loggedAt = b.now
	var size, free, spot, spotFree core.Res
	for _, h := range hosts {
		size, free = size.Plus(h.Size), free.Plus(h.Free)
		if h.Spot {
			spot, spotFree = spot.Plus(h.Size), spotFree.Plus(h.Free)
		}
	}
	waiting, dealt := 0, 0
	for _, j := range b.jobs {
		if j.fate == live && j.spec != nil {
			n, _ := j.dealt()
			waiting += j.spec.Tasks - n
			for _, r := range j.recs {
				dealt += len(r.entries) - r.bound()
			}
		}
	}
	b.log.Info("fleet", "up", len(hosts), "booting", len(b.booting()), "cpus", size.CPU/1000, "free_cpus", free.CPU/1000,
		"spot_cpus", spot.CPU/1000, "spot_free_cpus", spotFree.CPU/1000, "closing", len(b.lead.closing),
		"tasks_waiting", waiting, "tasks_dealt", dealt)
}

// finishJobs ends jobs whose tasks are all done and clears up behind final ones.
func (b *brain) finishJobs() {
	budget := 8
	// What is over can wait while the state service has more to do.
	clear := b.wr.Backlog() < time.Second
	for _, j := range b.jobs {
		if budget == 0 {
			return
		}
		if j.stamp == 0 || len(j.recs) == 0 {
			continue
		}
		if j.fate == live && j.bad {
			continue
		}
		if j.fate == live {
			n, finished := j.dealt()
			if j.spec != nil && !j.spec.Service && !j.ending && n == finished && finished == j.spec.Tasks {
				budget--
				j.ending = true
				b.write(&store.Unit{
					If:   []wire.Condition{{Key: keyLeader, Version: b.lead.term}, {Key: jobKey(j.id), Version: j.stamp}},
					Then: []wire.Change{{Put: jobKey(j.id), Value: mustJSON(jobValue{Fate: done})}},
				}, func(error) { j.ending = false })
			}
			continue
		}
		for _, r := range j.recs {
			if budget == 0 || !clear || r.writing || r.bound() > 0 {
				continue
			}
			budget--
			r.writing = true
			b.write(&store.Unit{
				If:   []wire.Condition{{Key: keyLeader, Version: b.lead.term}, {Key: r.key, Version: r.stamp}},
				Then: []wire.Change{{Delete: r.key}},
			}, func(err error) {
				if err != nil { // its owner wrote it meanwhile: not before that is known
					b.readThen(func() { r.writing = false })
					return
				}
				r.writing = false
				b.retire(j)
			})
		}
	}
}

func (b *brain) limits() []core.Limit {
	out := make([]core.Limit, len(b.teams))
	for i := range b.cfg.Settings.Teams {
		t := &b.cfg.Settings.Teams[i]
		out[b.team(t.Name)] = core.Limit{Guarantee: core.Amount(t.CPUs, t.GPUs, 0), Max: core.Amount(t.CPUsMax, t.GPUsMax, 0)}
	}
	for _, r := range b.recs {
		if r == nil || r.job.spec == nil {
			continue
		}
		// A dealt task counts for its team's limit whether it runs or not; one
		// of a cancelled job until it is proven gone.
		n := r.counts()
		l := &out[r.job.team]
		use := r.job.need.Times(n)
		l.Used = l.Used.Plus(use)
		if r.own {
			l.OwnUsed = l.OwnUsed.Plus(use)
		}
	}
	return out
}

// deal gives waiting tasks to parts that have room for them, highest claims
// first, and returns what found none.
func (b *brain) deal(hosts []*core.Host) []want {
	var wants []want
	var jobs []*job
	var stuck []*rec
	lost := map[*rec]int{}
	var recs []*rec
	for _, r := range b.recs {
		if r != nil && r.job.fate == live && r.job.spec != nil && r.job.stamp != 0 {
			recs = append(recs, r)
		}
	}
	byUrgency := b.byUrgency()
	slices.SortFunc(recs, func(x, y *rec) int { return cmp.Or(byUrgency(x.job, y.job), cmp.Compare(x.k, y.k)) })
	for _, r := range recs {
		n := r.may() - r.bound()
		if n <= 0 {
			continue
		}
		spec := r.job.spec
		in := func(h *core.Host) bool {
			return h.Part == r.part && !h.Booting && allowed(spec, r.zone, h.Type, h.Zone, h.Spot)
		}
		for _, k := range core.Take(hosts, in, r.job.need, n) {
			n -= k
		}
		for n > 0 && spec.Priority > 0 && core.Evictable(hosts, in, r.job.need, r.claim()) != nil {
			n--
		}
		if n > 0 {
			stuck = append(stuck, r)
			lost[r] = n
		}
	}
	for _, r := range stuck {
		spec := r.job.spec
		n := lost[r]
		if !r.writing && b.now.Sub(r.since) > time.Second && b.moveStuck(hosts, r, n) {
			continue
		}
		wants = append(wants, want{job: spec, zone: r.zone, need: r.job.need, count: n, service: spec.Whole(), windowS: b.window(r.job), slackS: b.slack(r.job)})
	}
	for _, j := range b.jobs {
		if j.fate == live && j.spec != nil && j.stamp != 0 && !j.bad {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, byUrgency)
	limits := b.limits()
	noRoom := map[string]bool{}
	short := map[int32]bool{} // teams in which somebody waits for the limit
	b.lead.ahead = b.dealAhead(lost)
	for _, j := range jobs {
		// While somebody more urgent waits within the team's limit, nothing that
		// stood back comes forward: it would be stopped and started for ever.
		if !short[j.team] {
			b.uncap(j, &limits[j.team])
		}
		dealt, _ := j.dealt()
		if b.now.Sub(j.dealtAt) < dealEvery && !j.spec.Whole() {
			if left := j.spec.Tasks - dealt; left > 0 {
				n := limits[j.team].Room(j.need, left)
				short[j.team] = short[j.team] || n < left
				wants = append(wants, want{job: j.spec, need: j.need, count: n, windowS: b.window(j), slackS: b.slack(j)})
			}
			continue
		}
		if left := j.spec.Tasks - dealt; left > 0 {
			if noRoom[j.sig] && !j.spec.Whole() {
				// Jobs alike are decided as a class: where one found no room,
				// none behind it will.
				n := limits[j.team].Room(j.need, left)
				wants = append(wants, want{job: j.spec, need: j.need, count: n, windowS: b.window(j), slackS: b.slack(j)})
				continue
			}
			before := limits[j.team].Used
			short[j.team] = short[j.team] || limits[j.team].Room(j.need, left) < left
			w := b.dealJob(hosts, limits, j, dealt, left)
			if w.count > 0 {
				wants = append(wants, w)
				noRoom[j.sig] = true
			}
			if j.spec.Whole() && limits[j.team].Used == before {
				// What a group waits for is not for those behind it.
				limits[j.team].Used = before.Plus(j.need.Times(left))
			}
		}
	}
	return wants
}

// slack is the time until a job's deadline.
func (b *brain) slack(j *job) float64 {
	if j.spec.NoDeadline {
		return math.Inf(1)
	}
	return j.spec.DeadlineS - b.now.Sub(j.at).Seconds()
}

// dealEvery spaces the dealings of one array: it is dealt out in few records.
const dealEvery = time.Second

// leastDealt is how many tasks of an array a part is dealt at least, if there
// are that many: each record costs changes of its own, to deal it, to bind and
// to end its tasks and to clear it up, and changes are what the state service
// allows least of.
const leastDealt = 24

// turnaround is about how long a cell stays empty when its next task has not
// been dealt yet: the end is stored, the leader deals, the binding is stored.
func (b *brain) turnaround() time.Duration {
	return b.gatherEnds() + 2*min(b.wr.Backlog(), 5*time.Second) + time.Second
}

// dealAhead is how many tasks each part may be dealt beyond its free room, so
// that an ending task's cell is taken again without asking the leader: what
// ends within twice the time that asking would take.
func (b *brain) dealAhead(lost map[*rec]int) []int {
	ahead := make([]float64, len(b.parts))
	t := 2 * b.turnaround().Seconds()
	for _, r := range b.recs {
		if r != nil && r.job.spec != nil && !r.job.spec.Whole() && r.part >= 0 && r.part < len(ahead) {
			ahead[r.part] += float64(r.bound()) * min(0.5, t/max(r.job.spec.EstimateS, 1))
		}
	}
	out := make([]int, len(b.parts))
	for p := range out {
		out[p] = int(math.Ceil(ahead[p]))
	}
	for r, n := range lost {
		if r.part >= 0 && r.part < len(out) {
			out[r.part] -= n
		}
	}
	return out
}

// partCan tells whether a part has a machine that a task may be on.
func (b *brain) partCan(hosts []*core.Host, p int, can func(*core.Host) bool) bool {
	return slices.ContainsFunc(hosts, func(h *core.Host) bool { return h.Part == p && can(h) })
}

// window is the time within which an array's waiting tasks should be through.
func (b *brain) window(j *job) float64 {
	if j.spec.Service {
		return 0
	}
	w := max(2*j.spec.EstimateS, 30)
	if !j.spec.NoDeadline {
		slack := j.spec.DeadlineS - b.now.Sub(j.at).Seconds()
		w = min(w, max(slack*0.6, 10))
	}
	return w
}

// dealJob deals as many of a job's tasks as there is room for now.
func (b *brain) dealJob(hosts []*core.Host, limits []core.Limit, j *job, dealt, left int) want {
	spec := j.spec
	lim := &limits[j.team]
	room := lim.Room(j.need, left)
	if room < left {
		b.squeeze(j, lim.Lack(j.need.Times(left)))
	}
	if spec.Whole() && room < left {
		room = 0 // it is dealt whole
	}
	if room == 0 {
		return want{}
	}
	own := lim.OwnRoom(j.need, room)
	claim := core.Claim{Level: spec.Priority, Own: own > 0, Team: j.team}
	var chunks []groupValue
	next := int32(dealt)
	add := func(part int, zone string, n int) {
		for n > 0 {
			k := min(n, b.maxRec)
			g := groupValue{Part: part, Zone: zone}
			if own > 0 {
				k = min(k, own)
				own -= k
				g.Own = true
			}
			for range k {
				g.Tasks = append(g.Tasks, entryValue{Num: next})
				next++
			}
			n -= k
			chunks = append(chunks, g)
		}
	}
	// Where a team's limit is short, what is dealt but can't run yet would hold
	// the limit against others of the team, and would have to be held back again.
	tight := lim.Room(j.need, left+leastDealt*len(b.parts)) < left+leastDealt*len(b.parts)
	got := 0
	for _, zone := range b.zonesFor(j, hosts) {
		n := room - got
		if spec.Spread {
			n = min(n, b.spreadRoom(j, zone, chunks))
		}
		if n <= 0 {
			continue
		}
		can := func(h *core.Host) bool {
			return !h.Booting && (h.Part != b.lentPart() || b.lentFor(j)) && allowed(spec, zone, h.Type, h.Zone, h.Spot)
		}
		if spec.Whole() {
			// The whole group in one part, so that its cells are reserved
			// together; its part's owner evicts where there is no free room.
			part, ok := b.servicePart(hosts, can, j.need, n, claim)
			if !ok {
				if n > 1 && b.borrow(hosts, j, zone, n, claim) {
					return want{}
				}
				continue
			}
			add(part, zone, n)
			got += n
			continue
		}
		perPart := make([]int, len(b.parts))
		for h, k := range core.Take(hosts, can, j.need, n) {
			perPart[h.Part] += k
		}
		for p := range perPart {
			if left := n - sum(perPart); left > 0 && !tight && b.lead.ahead[p] > 0 && b.partCan(hosts, p, can) {
				k := min(left, b.lead.ahead[p])
				b.lead.ahead[p] -= k
				perPart[p] += k
			}
		}
		for sum(perPart) < n {
			h := core.Evictable(hosts, can, j.need, claim)
			if h == nil {
				break
			}
			perPart[h.Part]++
		}
		for p, k := range perPart {
			// Few large records rather than many small ones; what is dealt too
			// much now is dealt less ahead later.
			if more := min(leastDealt-k, n-sum(perPart)); k > 0 && more > 0 && !tight {
				b.lead.ahead[p] -= more
				perPart[p] += more
			}
		}
		for part, k := range perPart {
			k = min(k, room-got)
			if k > 0 {
				add(part, zone, k)
				got += k
			}
		}
		if got == room {
			break
		}
	}
	if most := b.cfg.Settings.State.TxnOps / 2; len(chunks) > most {
		for _, g := range chunks[most:] {
			got -= len(g.Tasks)
		}
		chunks = chunks[:most]
	}
	lim.Used = lim.Used.Plus(j.need.Times(got))
	// All records of one dealing are written together or not at all: which
	// tasks are dealt already is known by their number alone, so a gap, left by
	// one write that failed, would have a later dealing hand out tasks twice.
	term, epoch := b.lead.term, b.lead.epoch
	u := &store.Unit{Early: true, If: []wire.Condition{{Key: keyLeader, Version: term}, {Key: jobKey(j.id), Version: j.stamp}}}
	// Records whose tasks are all done are used again, so that a large array
	// leaves few behind. None is deleted while its job lives: a dealing that is
	// applied minutes late must not find its key absent once more.
	var empty []*rec
	for _, r := range j.recs {
		if len(r.entries) == 0 && !r.writing {
			empty = append(empty, r)
		}
	}
	slices.SortFunc(empty, func(x, y *rec) int { return cmp.Compare(x.k, y.k) })
	var used []*rec
	for _, g := range chunks {
		if g.Own {
			lim.OwnUsed = lim.OwnUsed.Plus(j.need.Times(len(g.Tasks)))
		}
		key, stamp := "", uint64(0)
		if len(empty) > 0 {
			key, stamp, g.Done = empty[0].key, empty[0].stamp, empty[0].done
			empty[0].writing = true
			used, empty = append(used, empty[0]), empty[1:]
		} else {
			key = groupKey(j.id, j.newRec())
		}
		u.If = append(u.If, wire.Condition{Key: key, Version: stamp})
		u.Then = append(u.Then, wire.Change{Put: key, Value: mustJSON(g)})
	}
	if got > 0 {
		j.dealtAt = b.now
		b.lead.writes++
		b.write(u, func(err error) {
			for _, r := range used {
				r.writing = false
			}
			b.leadWrote(epoch, err)
		})
		b.metrics.count(cDealt, len(chunks))
		b.log.Debug("dealt", "job", j.id, "tasks", got, "records", len(chunks))
	}
	w := want{job: spec, need: j.need, count: room - got, service: spec.Whole(), windowS: b.window(j), slackS: b.slack(j)}
	if spec.OneZone {
		w.zone = b.pinned(j)
	}
	return w
}

// squeeze makes room within a team's limit for a job that waits for it: tasks of
// the team's lower jobs are stopped, dealt ones that don't run yet, of equal jobs
// too, stand back. Else what is dealt of an array would hold the limit against a
// service for minutes.
func (b *brain) squeeze(j *job, lack core.Res) {
	level := j.spec.Priority
	var from []*rec
	for _, r := range b.recs {
		if r == nil || r.job == j || r.job.spec == nil || r.job.team != j.team || r.job.fate != live || r.job.spec.Whole() || r.job.spec.Priority > level {
			continue
		}
		if r.cap != 0 { // what is on its way out already
			lack = lack.Minus(r.job.need.Times(max(0, r.bound()-r.may())))
		}
		if !r.writing {
			from = append(from, r)
		}
	}
	urgent := b.byUrgency()
	slices.SortFunc(from, func(x, y *rec) int { return cmp.Or(urgent(y.job, x.job), cmp.Compare(y.k, x.k)) })
	for _, running := range []bool{false, true} {
		for _, r := range from {
			if lack.CPU <= 0 && lack.GPU <= 0 {
				return
			}
			least := r.bound()
			if running && r.job.spec.Priority < level {
				least = 0
			}
			if !running && r.job.spec.Priority == level && (urgent(j, r.job) >= 0 || b.now.Sub(r.cappedAt) < b.capEvery()) {
				continue
			}
			k := 0
			for r.may()-k > least && (lack.CPU > 0 || lack.GPU > 0) {
				k++
				lack = lack.Minus(r.job.need)
			}
			if k > 0 && !r.writing {
				b.setCap(r, r.may()-k)
			}
		}
	}
}

// capEvery spaces the changes of one record's cap that are not for more urgent
// work: a team at its limit has a task end, and so room for one more, many times a
// second, and a change for each of them would take up the state service's limit.
func (b *brain) capEvery() time.Duration { return 2*time.Second + b.turnaround() }

// uncap lets tasks run again that had to stand back, as the limit permits.
func (b *brain) uncap(j *job, lim *core.Limit) {
	for _, r := range j.recs {
		if r.cap == 0 || r.writing || r.may() == len(r.entries) || b.now.Sub(r.cappedAt) < b.capEvery() {
			continue
		}
		if k := lim.Room(j.need, len(r.entries)-r.counts()); k > 0 {
			lim.Used = lim.Used.Plus(j.need.Times(k))
			b.setCap(r, r.counts()+k)
		}
	}
}

func (b *brain) setCap(r *rec, n int) {
	changed := *r
	changed.cap = n + 1
	if n >= len(r.entries) {
		changed.cap = 0
	}
	epoch := b.lead.epoch
	r.writing, r.cappedAt = true, b.now
	b.metrics.count(cCapped, 1)
	b.lead.writes++
	b.write(&store.Unit{Early: true, Contested: true,
		If:   []wire.Condition{{Key: keyLeader, Version: b.lead.term}, {Key: r.key, Version: r.stamp}},
		Then: []wire.Change{{Put: r.key, Value: changed.value(r.done, r.entries)}},
	}, func(err error) { r.writing = false; b.leadWrote(epoch, err) })
}

func sum(xs []int) int {
	n := 0
	for _, x := range xs {
		n += x
	}
	return n
}

// leadWrote counts a leader's write off. After a failed one the replica is
// read before anything more is dealt: it may have been applied all the same.
func (b *brain) leadWrote(epoch uint64, err error) {
	if b.lead.epoch != epoch {
		return
	}
	if err == nil {
		b.lead.writes--
		return
	}
	b.readThen(func() {
		if b.lead.epoch == epoch {
			b.lead.writes--
		}
	})
}

// pinned is the zone that a samePlace job's tasks are in already.
func (b *brain) pinned(j *job) string {
	for _, r := range j.recs {
		if r.zone != "" {
			return r.zone
		}
	}
	return ""
}

// zonesFor lists the zones to try; "" stands for any.
func (b *brain) zonesFor(j *job, hosts []*core.Host) []string {
	if !j.spec.OneZone && !j.spec.Spread {
		return []string{""}
	}
	if z := b.pinned(j); z != "" && j.spec.OneZone {
		return []string{z}
	}
	free := map[string]int{}
	for _, h := range hosts {
		if allowed(j.spec, "", h.Type, h.Zone, h.Spot) {
			free[h.Zone] += h.Free.Fits(j.need, j.spec.Tasks)
		}
	}
	var zones []string
	for z := range free {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(x, y string) int { return cmp.Or(cmp.Compare(free[y], free[x]), cmp.Compare(x, y)) })
	if j.spec.OneZone && len(zones) > 1 {
		return zones[:1]
	}
	return zones
}

// spreadRoom is how many more tasks may go to a zone: half of all, rounded up.
func (b *brain) spreadRoom(j *job, zone string, more []groupValue) int {
	n := (j.spec.Tasks + 1) / 2
	for _, r := range j.recs {
		if r.zone == zone {
			n -= len(r.entries)
		}
	}
	for _, g := range more {
		if g.Zone == zone {
			n -= len(g.Tasks)
		}
	}
	return n
}

// servicePart chooses the part for a whole service.
func (b *brain) servicePart(hosts []*core.Host, can func(*core.Host) bool, need core.Res, n int, c core.Claim) (int, bool) {
	free := make([]int, len(b.parts))
	for _, h := range hosts {
		if can(h) {
			free[h.Part] += h.Free.Fits(need, n)
		}
	}
	// Round robin over parts that have room would scatter; the part of the
	// fullest machine that fits keeps machines packed.
	if n == 1 {
		for h := range core.Take(hosts, can, need, 1) {
			return h.Part, true
		}
		if h := core.Evictable(hosts, can, need, c); h != nil {
			return h.Part, true
		}
		return 0, false
	}
	best := 0
	for p := range free {
		if free[p] > free[best] {
			best = p
		}
	}
	inBest := func(h *core.Host) bool { return h.Part == best && can(h) }
	if free[best] >= n {
		core.Take(hosts, inBest, need, n)
		return best, true
	}
	for p := range free {
		in := func(h *core.Host) bool { return h.Part == p && can(h) }
		trial := cloneHosts(hosts)
		got := 0
		for _, k := range core.Take(trial, in, need, n) {
			got += k
		}
		for got < n && core.Evictable(trial, in, need, c) != nil {
			got++
		}
		if got == n {
			for i := range hosts {
				*hosts[i] = *trial[i]
			}
			return p, true
		}
	}
	return 0, false
}

func cloneHosts(hosts []*core.Host) []*core.Host {
	out := make([]*core.Host, len(hosts))
	for i, h := range hosts {
		c := *h
		out[i] = &c
	}
	return out
}

// moveStuck gives waiting tasks of a record whose part has no room to a part
// that has. Its owner's writes lose by the record's version.
func (b *brain) moveStuck(hosts []*core.Host, r *rec, n int) bool {
	spec := r.job.spec
	if spec.Whole() && n < len(r.entries) && r.bound() == 0 {
		n = len(r.entries) // a group that has not started moves whole
	}
	if spec.Gang && r.bound() > 0 || r.cap != 0 {
		return false // two records with one's cap would count for more than it
	}
	perPart := make([]int, len(b.parts))
	can := func(h *core.Host) bool {
		return !h.Booting && h.Part != r.part && h.Part != b.lentPart() && allowed(spec, r.zone, h.Type, h.Zone, h.Spot)
	}
	trial := cloneHosts(hosts)
	for h, k := range core.Take(trial, can, r.job.need, n) {
		perPart[h.Part] += k
	}
	best, most := -1, 0
	for p, k := range perPart {
		if k > most {
			best, most = p, k
		}
	}
	if best < 0 && n == 1 {
		if h := core.Evictable(trial, can, r.job.need, r.claim()); h != nil {
			best, most = h.Part, 1
		}
	}
	taken := false
	if spec.Whole() && r.bound() == 0 && most < n {
		// A group that has not started, or lost all, may evict where it goes.
		if best, taken = b.servicePart(hosts, can, r.job.need, n, r.claim()); !taken {
			return false
		}
		most = n
	}
	if best < 0 {
		return false
	}
	var move, stay []entry
	for _, e := range r.entries {
		if e.m == nil && len(move) < most {
			move = append(move, e)
		} else {
			stay = append(stay, e)
		}
	}
	if len(move) == 0 {
		return false
	}
	in := func(h *core.Host) bool { return h.Part == best && can(h) }
	if !taken {
		core.Take(hosts, in, r.job.need, len(move))
	}
	moved := *r
	moved.part = best
	u := &store.Unit{Early: true, Contested: true, If: []wire.Condition{{Key: keyLeader, Version: b.lead.term}, {Key: jobKey(r.job.id), Version: r.job.stamp}, {Key: r.key, Version: r.stamp}}}
	if len(stay) == 0 {
		u.Then = []wire.Change{{Put: r.key, Value: moved.value(r.done, move)}}
	} else {
		key := groupKey(r.job.id, r.job.newRec())
		u.If = append(u.If, wire.Condition{Key: key})
		u.Then = []wire.Change{{Put: r.key, Value: r.value(r.done, stay)}, {Put: key, Value: moved.value(0, move)}}
	}
	b.metrics.count(cMoved, 1)
	b.log.Debug("tasks move to another part", "job", r.job.id, "tasks", len(move), "part", best)
	b.lead.writes++
	epoch := b.lead.epoch
	b.write(u, func(err error) { b.leadWrote(epoch, err) })
	return true
}

// provision rents for what found no room and returns what is not wanted.
func (b *brain) provision(hosts []*core.Host, wants []want) {
	if len(b.types) == 0 {
		return
	}
	all := append(slices.Clone(hosts), b.booting()...)
	offers := b.offers()
	plan := map[core.Offer]int{}
	like := map[string]int{} // tasks of each class that run now
	for _, r := range b.recs {
		if r != nil && r.job.spec != nil {
			like[r.job.spec.Class] += r.bound()
		}
	}
	unmet := false
	serve := func(w want) {
		n := w.count
		if !w.service && w.windowS > 0 {
			n = min(n, int(math.Ceil(float64(n)*max(w.job.EstimateS, 5)/w.windowS)))
		}
		ok := func(h *core.Host) bool { return allowed(w.job, w.zone, h.Type, h.Zone, h.Spot) }
		for _, k := range core.Take(all, ok, w.need, n) {
			n -= k
		}
		if n <= 0 {
			return
		}
		unmet = true
		var fitting, late []core.Priced
		for _, o := range offers {
			if !allowed(w.job, w.zone, o.Type, o.Zone, o.Spot) {
				continue
			}
			// An ordinary machine that is up too late to help an array keep its
			// deadline is dear for nothing; spot ones are worth having anyway.
			if !w.service && !o.Spot && w.slackS < o.BootS+w.job.EstimateS {
				late = append(late, o)
				continue
			}
			fitting = append(fitting, o)
		}
		if len(fitting) == 0 {
			// The work must be done some time, at leisure: once there are
			// machines for such tasks it waits for them.
			if slices.ContainsFunc(all, ok) {
				return
			}
			fitting, n = late, (n+7)/8
		}
		o, k := core.Choose(fitting, w.need, n, n+like[w.job.Class]/4, 100)
		if k == 0 {
			return
		}
		for range k {
			h := &core.Host{ID: -1, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Size: o.Size, Free: o.Size, Booting: true}
			all = append(all, h)
		}
		for _, got := range core.Take(all, ok, w.need, n) {
			n -= got
		}
		plan[o.Offer] += k
	}
	for _, w := range wants {
		serve(w)
	}
	short := unmet
	spare, level := b.headroom()
	// Room for services to come may be in use by work that they would evict.
	for _, h := range all {
		for _, c := range h.Claims {
			if c.Claim.Level < level {
				h.Free = h.Free.Plus(c.Size)
			}
		}
	}
	for _, w := range spare {
		serve(w)
	}
	// A new leader does not know yet what is up or booting: it would rent all
	// of it once more.
	if b.lead.listed && b.allVouched() || b.now.Sub(b.lead.since) > settleAfter {
		for o, n := range plan {
			b.rent(o, min(n, 50))
		}
	}
	b.closeSpare(hosts, spare, level, short)
	b.returnIdle(hosts)
}

// settleAfter is how long a new leader waits for the list of machines and for
// the parts' owners before it rents.
const settleAfter = 10 * time.Second

// allVouched tells whether every part's owner is in touch.
func (b *brain) allVouched() bool {
	for i := range b.parts {
		if b.lead.vouchedAt[i].IsZero() {
			return false
		}
	}
	return true
}

// sample is how many CPUs were free at a time.
type sample struct {
	at  time.Time
	cpu int64
}

// closeSpare empties machines that the fleet has not needed of late. Arrays are
// spread over what there is, so that few machines are ever idle by themselves:
// when more is free all the time than a machine holds, one without services
// takes no more work and is returned when it is empty.
func (b *brain) closeSpare(hosts []*core.Host, spare []want, level int, short bool) {
	if b.lead.closing == nil {
		b.lead.closing = map[string]bool{}
	}
	b.closing = b.lead.closing
	if short {
		clear(b.lead.closing)
		b.lead.spare = nil
		return
	}
	free := int64(0)
	window := time.Duration(0)
	for _, h := range hosts {
		m := b.byIdx[h.ID]
		if !b.lead.closing[m.name] {
			used := core.Res{}
			for _, c := range h.Claims {
				used = used.Plus(c.Size)
			}
			free += h.Size.CPU - used.CPU
		}
		window = max(window, b.idleFor(b.types[h.Type], false))
	}
	for _, w := range spare {
		free -= w.need.CPU * int64(w.count)
	}
	b.lead.spare = append(b.lead.spare, sample{b.now, free})
	for len(b.lead.spare) > 0 && b.now.Sub(b.lead.spare[0].at) > window {
		b.lead.spare = b.lead.spare[1:]
	}
	if b.now.Sub(b.lead.spare[0].at) < window*9/10 || b.now.Sub(b.lead.since) < window {
		return // not seen for long enough
	}
	least := free
	for _, s := range b.lead.spare {
		least = min(least, s.cpu)
	}
	var best *core.Host
	bestUsed := int64(0)
	for _, h := range hosts {
		if h.Spot || h.Part == b.lentPart() || h.Size.CPU > least || b.lead.closing[b.byIdx[h.ID].name] ||
			slices.ContainsFunc(h.Claims, func(c core.HeldCell) bool { return c.Claim.Level >= level }) {
			continue
		}
		used := int64(0)
		for _, c := range h.Claims {
			used += c.Size.CPU
		}
		if best == nil || used*best.Size.CPU < bestUsed*h.Size.CPU {
			best, bestUsed = h, used
		}
	}
	if best == nil {
		return
	}
	name := b.byIdx[best.ID].name
	b.lead.closing[name] = true
	for i := range b.lead.spare {
		b.lead.spare[i].cpu -= best.Size.CPU - bestUsed
	}
	b.log.Info("machine is emptied to be returned", "machine", name, "spare_cpus", least/1000)
}

// headroom keeps room for services to come: the number of services that run at
// a time varies by about its square root.
func (b *brain) headroom() (out []want, level int) {
	level = math.MaxInt
	byClass := map[string]*want{}
	var order []string
	for _, j := range b.jobs {
		if j.fate != live || j.spec == nil || !j.spec.Service {
			continue
		}
		w := byClass[j.spec.Class]
		if w == nil {
			w = &want{job: j.spec, need: j.need, service: true}
			byClass[j.spec.Class] = w
			order = append(order, j.spec.Class)
		}
		w.count += j.spec.Tasks
		level = min(level, j.spec.Priority)
	}
	slices.Sort(order)
	for _, c := range order {
		w := byClass[c]
		w.count = int(math.Ceil(b.op.HeadroomOf(c) * math.Sqrt(float64(w.count))))
		out = append(out, *w)
	}
	return out, level
}

// bootLimit is how long a machine may take to come up before it is given back.
func (b *brain) bootLimit(t *wire.MachineType) time.Duration {
	return config.Seconds(b.op.BootPatience*t.BootS + 10)
}

// usualBoot is how many of its nominal boot times a machine usually takes at
// the most.
const usualBoot = 1.6

// booting are machines that are rented and have not reported yet.
func (b *brain) booting() []*core.Host {
	var out []*core.Host
	for name, r := range b.lead.rented {
		t := b.types[r.typ]
		// One that is well past its usual time is not counted on any more.
		if r.up || t == nil || b.lead.leaving[name] || b.now.Sub(r.since) > config.Seconds(usualBoot*t.BootS) {
			continue
		}
		size := core.Amount(t.CPUs, t.GPUs, t.RAM)
		out = append(out, &core.Host{ID: -1, Type: r.typ, Zone: r.zone, Spot: r.spot, Size: size, Free: size, Booting: true})
	}
	for o, n := range b.lead.renting {
		t := b.types[o.Type]
		for range n {
			size := core.Amount(t.CPUs, t.GPUs, t.RAM)
			out = append(out, &core.Host{ID: -1, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Size: size, Free: size, Booting: true})
		}
	}
	return out
}

func (b *brain) offers() []core.Priced {
	var out []core.Priced
	for _, t := range b.types {
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				if spot && !b.op.Spot {
					continue
				}
				o := core.Offer{Type: t.Name, Zone: z, Spot: spot}
				if b.now.Before(b.lead.refused[o]) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, core.Priced{Offer: o, Size: core.Amount(t.CPUs, t.GPUs, t.RAM), Price: price, BootS: t.BootS})
			}
		}
	}
	slices.SortFunc(out, func(x, y core.Priced) int {
		return cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Zone, y.Zone), boolCmp(x.Spot, y.Spot))
	})
	return out
}

// rent asks the cloud for machines. The name is unique for all time: the
// leader's term never comes again.
func (b *brain) rent(o core.Offer, n int) {
	if b.lead.renting[o] > 0 {
		return
	}
	b.lead.rentals++
	epoch := b.lead.epoch
	req := wire.RentRequest{Request: fmt.Sprintf("r-%d-%d", epoch, b.lead.rentals), Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: n}
	b.lead.renting[o] = n
	started := b.now
	b.cloudCall(func() {
		names, err := b.cl.Rent(b.ctx, req)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) && !errors.Is(err, cloud.ErrRefused) {
			names, err = b.cl.Rent(b.ctx, req) // unanswered: the same name rents nothing twice
		}
		b.post(func() {
			if b.lead.epoch != epoch {
				return
			}
			delete(b.lead.renting, o)
			if err == nil {
				for _, name := range names {
					if b.lead.rented[name] == nil {
						b.lead.rented[name] = &rented{typ: o.Type, zone: o.Zone, spot: o.Spot, since: started}
					}
				}
				b.log.Info("machines rented", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", n, "got", len(names))
			}
			if err == nil && len(names) == n {
				delete(b.lead.backoff, o)
				return
			}
			// Each type, zone and kind is refused apart from the others.
			d := min(max(2*b.lead.backoff[o], 5*time.Second), 40*time.Second)
			if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
				d = 3 * time.Second
			}
			b.lead.backoff[o], b.lead.refused[o] = d, b.now.Add(d)
			b.log.Debug("rental not filled", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", n, "err", err)
		})
	})
}

// cloudCall queues a call to the cloud; false if too many wait.
func (b *brain) cloudCall(f func()) bool {
	select {
	case b.cloudQ <- f:
		return true
	default:
		return false
	}
}

// vouched tells whether a part has had an owner in touch with the leader for
// long enough that all machines of it must have reported.
func (b *brain) vouched(p int) bool {
	since := b.lead.vouchedAt[p]
	return !since.IsZero() && b.now.Sub(since) > 2*config.Seconds(b.cfg.Settings.Workers.ReportS)+12*time.Second
}

// noteVouching notes for each part since when its owner has been in touch.
func (b *brain) noteVouching() {
	if b.lead.vouchedAt == nil {
		b.lead.vouchedAt, b.lead.vouchedBy = make([]time.Time, len(b.parts)), make([]string, len(b.parts))
	}
	for i, p := range b.parts {
		owner := b.holders[p.key].Node
		ok := p.active
		if p.term == 0 {
			s := b.siblings[owner]
			ok = s != nil && s.status != nil && b.now.Sub(s.at) < 3*time.Second && slices.Contains(s.status.Parts, uint64(i))
		}
		if !ok || b.lead.vouchedBy[i] != owner {
			b.lead.vouchedAt[i], b.lead.vouchedBy[i] = time.Time{}, owner
		}
		if ok && b.lead.vouchedAt[i].IsZero() {
			b.lead.vouchedAt[i] = b.now
		}
	}
}

// idleFor is how long a machine may be unused before it is returned: as long as
// its idling costs no more than it would to boot an ordinary one in its place,
// so that waiting is never more than twice as dear as knowing the future.
func (b *brain) idleFor(t *wire.MachineType, spot bool) time.Duration {
	s := t.BootS * b.op.IdleBoots
	if spot && t.SpotPrice > 0 {
		s *= max(t.Price/t.SpotPrice, 1)
	}
	return max(config.Seconds(s), 10*time.Second)
}

// returnIdle releases machines that are idle, overdue, silent or suspect.
func (b *brain) returnIdle(hosts []*core.Host) {
	var names []string
	wanted := map[string]bool{}
	for _, h := range hosts {
		m := b.byIdx[h.ID]
		if len(m.bound) > 0 || h.Touched {
			wanted[m.name] = true
			continue
		}
		t := b.lead.idle[m.name]
		if t.IsZero() {
			b.lead.idle[m.name] = b.now
		} else if b.closing[m.name] || b.now.Sub(t) > b.idleFor(b.types[m.typ], m.spot) {
			names = append(names, m.name)
		}
	}
	for name := range wanted {
		delete(b.lead.idle, name)
	}
	for name, r := range b.lead.rented {
		t := b.types[r.typ]
		// Only its part's owner can tell whether a machine is up: after a
		// take-over a machine may be old and busy and not have reported yet.
		// One that no owner tells of any more died while its part, or itself,
		// changed hands.
		since := r.since
		if r.up {
			since = r.seen
		}
		if t != nil && b.now.Sub(since) > b.bootLimit(t) && b.vouched(b.home(b.machine(name))) {
			names = append(names, name)
		}
	}
	bad := func(m *machine, flags uint8) {
		if flags&mesh.Silent != 0 || flags&mesh.Suspect != 0 && (len(m.bound) == 0 || b.now.Sub(m.suspectAt) > 15*time.Second) {
			names = append(names, m.name)
		}
	}
	b.eachVouched(bad)
	b.release(names)
}

// eachVouched calls f for each machine that its owner tells about.
func (b *brain) eachVouched(f func(*machine, uint8)) {
	for _, p := range b.parts {
		if p.term != 0 && p.active {
			for _, m := range b.byIdx {
				if b.home(m) == p.n && !m.gone && (!m.heard.IsZero() || len(m.bound) > 0) && b.now.Sub(b.heardSince(m, p)) < 3*time.Minute {
					f(m, b.flags(m, p))
				}
			}
			continue
		}
		if s := b.siblings[b.holders[p.key].Node]; s != nil && s.status != nil && b.now.Sub(s.at) < 3*time.Second {
			for i := range s.status.Machines {
				if x := &s.status.Machines[i]; b.home(b.machine(x.Name)) == p.n {
					if m := b.machine(x.Name); !m.gone {
						if x.Flags&mesh.Suspect != 0 && m.suspectAt.IsZero() {
							m.suspectAt = b.now
						}
						f(m, x.Flags)
					}
				}
			}
		}
	}
}

// release returns machines. Once the cloud has answered they are gone with all
// that was on them, which is stored for their parts' owners to act on.
func (b *brain) release(names []string) {
	names = slices.DeleteFunc(names, func(n string) bool { return b.lead.leaving[n] })
	slices.Sort(names)
	names = slices.Compact(names)
	if len(names) == 0 {
		return
	}
	names = names[:min(len(names), cloud.MaxRelease)]
	for _, n := range names {
		b.lead.leaving[n] = true
	}
	epoch := b.lead.epoch
	if !b.cloudCall(func() {
		err := b.cl.Release(b.ctx, names)
		b.post(func() {
			if b.lead.epoch != epoch {
				return
			}
			if err != nil {
				b.log.Debug("release failed", "machines", len(names), "err", err)
				for _, n := range names {
					delete(b.lead.leaving, n)
				}
				return
			}
			b.log.Info("machines released", "machines", names)
			b.markGone(names)
		})
	}) {
		for _, n := range names {
			delete(b.lead.leaving, n)
		}
	}
}

// markGone stores that machines are gone.
func (b *brain) markGone(names []string) {
	for _, n := range names {
		r := b.lead.rented[n]
		delete(b.lead.rented, n)
		delete(b.lead.idle, n)
		delete(b.lead.closing, n)
		if r != nil && !r.up && len(b.machine(n).bound) == 0 {
			b.machine(n).gone = true // it never was: nobody needs to know
			continue
		}
		term, epoch := b.lead.term, b.lead.epoch
		b.write(&store.Unit{
			If:   []wire.Condition{{Key: keyLeader, Version: term}, {Key: preGone + n}},
			Then: []wire.Change{{Put: preGone + n, Value: mustJSON(true)}},
		}, func(err error) {
			if err != nil && b.lead.epoch == epoch {
				delete(b.lead.leaving, n) // it stays silent and is released again
			}
		})
	}
}

// tendCloud keeps the list of machines and the types current.
func (b *brain) tendCloud() {
	if b.now.Sub(b.lead.typesAt) > time.Minute || len(b.types) == 0 && b.now.Sub(b.lead.typesAt) > 2*time.Second {
		if b.leads() || len(b.types) == 0 && b.loaded {
			b.lead.typesAt = b.now
			b.cloudCall(b.fetchTypes)
		}
	}
	if !b.leads() {
		return
	}
	every := max(config.Seconds(b.cfg.Settings.Cloud.ListLagS)/2, 2*time.Second)
	if !b.lead.listBusy && b.now.Sub(b.lead.listAt) > every {
		b.lead.listBusy, b.lead.listAt = true, b.now
		epoch := b.lead.epoch
		if !b.cloudCall(func() {
			list, err := b.cl.List(b.ctx)
			b.post(func() {
				if b.lead.epoch != epoch {
					return
				}
				b.lead.listBusy = false
				if err != nil {
					b.log.Debug("machine list", "err", err)
					return
				}
				b.takeList(list)
			})
		}) {
			b.lead.listBusy = false
		}
	}
	b.clearGone()
}

// clearGone deletes markers of machines that are gone, once nothing is bound to
// the machine any more and no list can show it. One transaction at a time: asked
// for again at each tick until the first was stored, a hundred markers took up
// all that the state service allows.
func (b *brain) clearGone() {
	if b.lead.clearing || b.wr.Backlog() > time.Second {
		return
	}
	u := &store.Unit{If: []wire.Condition{{Key: keyLeader, Version: b.lead.term}}}
	keep := 2*time.Minute + 4*config.Seconds(b.cfg.Settings.Cloud.ListLagS)
	for n, at := range b.gone {
		if len(u.Then) == b.cfg.Settings.State.TxnOps/4 {
			break
		}
		if m := b.machines[n]; b.now.Sub(at) > keep && (m == nil || len(m.bound) == 0) {
			u.Then = append(u.Then, wire.Change{Delete: preGone + n})
		}
	}
	if len(u.Then) == 0 {
		return
	}
	epoch := b.lead.epoch
	b.lead.clearing = true
	b.write(u, func(error) {
		if b.lead.epoch == epoch {
			b.lead.clearing = false
		}
	})
}

func (b *brain) fetchTypes() {
	list, err := b.cl.Types(b.ctx)
	b.post(func() {
		if err != nil || len(list) == 0 {
			b.log.Debug("machine types", "err", err)
			return
		}
		b.putTypes(list)
		if !b.typesKey {
			b.typesKey = true
			b.write(&store.Unit{If: []wire.Condition{{Key: keyTypes}}, Then: []wire.Change{{Put: keyTypes, Value: mustJSON(list)}}}, func(error) {})
		}
	})
}

// takeList takes the cloud's list in: machines that failed are gone, ones that
// nobody knows of are used.
func (b *brain) takeList(list []wire.CloudMachine) {
	b.lead.listed = true
	var failed []string
	lag := config.Seconds(2 * b.cfg.Settings.Cloud.ListLagS)
	listed := map[string]bool{}
	for i := range list {
		x := &list[i]
		listed[x.Name] = true
		if m := b.machines[x.Name]; m != nil && m.gone || b.lead.leaving[x.Name] {
			continue
		}
		if x.State == wire.MachineFailed {
			failed = append(failed, x.Name)
			continue
		}
		r := b.lead.rented[x.Name]
		if r == nil {
			r = &rented{typ: x.Type, zone: x.Zone, spot: x.Spot, since: b.now.Add(-config.Seconds(x.AgeS))}
			b.lead.rented[x.Name] = r
		}
		r.listed = true
	}
	for name, r := range b.lead.rented {
		// One that was listed and is no more has been taken; one that never was
		// after twice the lag does not exist.
		if !listed[name] && (r.listed || b.now.Sub(r.since) > lag+10*time.Second) && !r.up {
			delete(b.lead.rented, name)
		}
	}
	b.release(failed)
}
