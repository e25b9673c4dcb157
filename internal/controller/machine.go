package controller

import (
	"context"
	"net/http"
	"slices"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/config"
	"eiderhitch/internal/core"
	"eiderhitch/internal/fleet"
	"eiderhitch/internal/wire"
)

// machine is what a controller knows of one machine.
type machine struct {
	name, addr, typ, zone string
	spot                  bool
	idx                   int32
	hash                  int             // its part, unless it is lent
	home                  int             // the part that it is in now
	listed                bool            // among that part's machines
	homeAt                time.Time       // when it last came to another part
	usedAt                time.Time       // when a task was last bound to it there, of one that is lent
	bound                 machineBindings // by stored bindings
	gone                  bool

	// Known to the owner, from reports.
	session, seq uint64
	token        uint64
	heard        time.Time // last report
	answered     time.Time // last time we sent a 200, which may have renewed its lease
	notice       time.Time // when the cloud takes it; zero: no notice
	tasks        []wire.TaskStatus
	images       map[string]bool
	fetching     map[string]time.Time // images that are being fetched, since when
	cooling      time.Time            // nothing is placed on it before then
	failed       map[string]time.Time // jobs of which a task failed here, and when
	suspect      bool
	suspectAt    time.Time

	// Direct commands.
	doBusy  bool
	doStart bool   // the one in flight carries a start
	doAgain bool   // more came up while one was in flight
	doWaits bool   // for its turn, see doLater
	doPing  bool   // to be told our token
	openDo  uint64 // term of a start that went unanswered
	// respOpen: an answer to a report carries a start, and no later report has
	// come yet. The worker handles one report at a time, so the next one proves
	// that the answer was executed or dropped; until then the start may still
	// arrive, and neither absence nor a reap is safe.
	respOpen bool
	doRest   time.Time // no direct commands before then
	probeOK  time.Time
	// A machine may report and yet hear nothing: neither our answers nor direct
	// commands. unanswered counts the latter since the last that was answered;
	// lapsed means that it lost its lease although we answered its reports, and
	// has not answered us since.
	unanswered int
	lapsed     bool

	// Looked up once in a step, see brain.open and pinnedBy.
	open, pinned     bool
	openAt, pinnedAt uint64
}

// boundTasks are the tasks that are bound to a machine: few, and gone through in every
// step and with every report.
type machineBindings []machineBinding

type machineBinding struct {
	task  core.Task
	group *taskGroup
}

func (s *machineBindings) add(t core.Task, r *taskGroup) {
	s.remove(t)
	*s = append(*s, machineBinding{t, r})
}

func (s *machineBindings) remove(t core.Task) {
	*s = slices.DeleteFunc(*s, func(x machineBinding) bool { return x.task == t })
}

func (b *brain) machine(name string) *machine {
	m := b.machines[name]
	if m == nil {
		m = &machine{name: name, idx: int32(len(b.byIdx)), hash: partitionOf(name, b.cfg.Settings.Count), images: map[string]bool{}, fetching: map[string]time.Time{}, failed: map[string]time.Time{}}
		m.gone = b.terminated[name]
		m.home = b.homeOf(m)
		b.machines[name] = m
		b.byIdx = append(b.byIdx, m)
		b.enlist(m)
	}
	return m
}

// introduce notes what others have said of a machine: its address, and a session
// that it has begun. Only the machine's own reports tell more.
func (m *machine) introduce(addr string, session uint64) {
	if m.addr == "" {
		m.addr = addr
	}
	if session > m.session {
		m.session, m.seq = session, 0
	}
}

// expected tells whether a machine should report to its part's owner: it has of
// late, or work is bound to it and it has not reported since a take-over.
func (b *brain) expected(m *machine, within time.Duration) bool {
	if m.heard.IsZero() {
		return len(m.bound) > 0
	}
	return b.now.Sub(m.heard) <= within
}

// sizeMachine makes a machine's cells known to its part once its type is.
func (b *brain) sizeMachine(m *machine) {
	p := b.partitions[m.home]
	t := b.machineTypes[m.typ]
	if p.token == 0 || t == nil || m.gone || m.heard.IsZero() {
		return
	}
	p.cells.SetMachine(m.idx, core.NewResources(t.CPUs, t.GPUs, t.RAM))
}

// homeOf is the part that a machine is in by what is stored.
func (b *brain) homeOf(m *machine) int {
	if l := b.lends[m.name]; l != nil && l.Acknowledged {
		return b.loanPartition()
	}
	return m.hash
}

// enlist puts a machine among those of its part.
func (b *brain) enlist(m *machine) {
	if !m.listed {
		m.listed = true
		p := b.partitions[m.home]
		p.machines = append(p.machines, m)
	}
}

// delist takes machines out of a part's list.
func (p *partition) removeMachines(out func(*machine) bool) {
	p.machines = slices.DeleteFunc(p.machines, func(m *machine) bool {
		if !out(m) {
			return false
		}
		m.listed = false
		return true
	})
}

// took is since when a part's owner has had a machine.
func (p *partition) ownsMachineSince(m *machine) time.Time {
	if m.homeAt.After(p.ownedSince) {
		return m.homeAt
	}
	return p.ownedSince
}

// quietAfter is how long a machine may be quiet before it is asked directly: the
// longest usual pause between two reports and some time on the way.
func (b *brain) quietAfter() time.Duration {
	return config.Seconds(1.25*b.cfg.Settings.Workers.ReportS) + 500*time.Millisecond
}

// silentAfter is how long a machine may be quiet before it counts as silent, if
// it can't be asked. It is well above what a worker needs to find its node's
// successor (an answer outstanding for 4 s, then 1 s to the next).
func (b *brain) silentAfter() time.Duration {
	w := &b.cfg.Settings.Workers
	return max(3*config.Seconds(w.ReportS), config.Seconds(0.6*w.LeaseS), 7*time.Second)
}

// deafAfter is how many direct commands in a row go unanswered by a machine that
// can't be reached.
const deafAfter = 2

// deaf tells whether a machine seems to hear nothing of us, whatever it reports.
// Nothing is placed on it, and it is replaced if it stays so. When that seems so
// of most machines, it is we who can't be heard: they are all alike then.
func (m *machine) deaf(p *partition) bool {
	return (m.lapsed || m.unanswered >= deafAfter) && !p.mostNotReceiving
}

// heardSince is when a machine was last heard, or since when it could have been. While
// this controller answers no reports (HoldTime) it hears none: after a long outage all
// machines would else be found silent at once, and returned with all that they run.
func (b *brain) heardSince(m *machine, p *partition) time.Time {
	t := p.ownsMachineSince(m)
	if b.resumedAt.After(t) {
		t = b.resumedAt
	}
	if m.heard.After(t) {
		return m.heard
	}
	return t
}

// up tells whether an owner may place on its machine. It must have shown a token
// of ours: a report without may be a copy that comes late, after a take-over even
// of a machine that died long ago, and nothing is known yet to compare it with.
func (b *brain) up(m *machine, p *partition) bool {
	return !m.gone && m.heard.After(p.ownsMachineSince(m)) && m.session > 0 && m.token >= p.firstToken && !m.deaf(p) &&
		b.now.Sub(m.heard) < max(2*config.Seconds(b.cfg.Settings.Workers.ReportS), 3*time.Second)
}

// leaseOver tells whether a machine's lease has surely ended: nobody has sent
// it an answer that could renew it for a whole lease, a former owner included.
func (b *brain) leaseOver(m *machine, p *partition) bool {
	last := p.ownsMachineSince(m).Add(p.formerOwnerStaleness)
	if m.answered.After(last) {
		last = m.answered
	}
	return b.now.Sub(last) > b.leaseExpiry
}

// report takes a worker's report in and answers it.
func (b *brain) report(r *wire.Heartbeat) api.Response {
	b.metrics.count(cReports, 1)
	b.reportAt = b.now
	defer b.metrics.spend(dReport, time.Now())
	if !b.loaded {
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "starting"}
	}
	if refusal, refused := b.refusal(); refused {
		return refusal
	}
	p := b.partitions[b.machine(r.Machine).home]
	if p.token == 0 {
		h, ok := b.holders[p.key]
		if !ok || h.Node == b.cfg.Name {
			return api.Response{Status: http.StatusServiceUnavailable, Reason: "no owner"}
		}
		b.metrics.count(cRedirected, 1)
		return api.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{Node: h.Node}}
	}
	if r.Token > p.token {
		// A later owner has spoken to it: we have been replaced.
		return api.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{}}
	}
	if !b.isFresh(b.maxStaleness) {
		// See HoldTime: a user may have been told "cancelled" meanwhile.
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "state service out of reach"}
	}
	m := b.machine(r.Machine)
	told := m.probeOK
	newer := b.takeReport(m, r, p, true)
	ans := wire.HeartbeatResponse{Token: p.token, Commands: []wire.Command{}}
	// The answer renews the lease from when the report was sent. One that is not
	// new was sent before the newest came in; it may be a copy that comes long
	// after its machine died, which must not put off the proof of that.
	if newer {
		told = b.now
	}
	if told.After(m.answered) {
		m.answered = told
	}
	if newer && !m.gone && p.active {
		ans.Commands = append(ans.Commands, b.commands(m, p)...)
		for _, c := range ans.Commands {
			m.respOpen = m.respOpen || c.Op == wire.OpStart
		}
	}
	return api.Response{Status: http.StatusOK, Body: ans}
}

// takeReport takes in the newest that a machine told; false if it was not new.
func (b *brain) takeReport(m *machine, r *wire.Heartbeat, p *partition, viaReport bool) bool {
	if r.Incarnation < m.session || r.Incarnation == m.session && r.Sequence <= m.seq {
		return false
	}
	if r.Incarnation > m.session && m.session > 0 {
		b.log.Info("machine begins a new session", "machine", m.name, "session", r.Incarnation)
		m.images, m.fetching = map[string]bool{}, map[string]time.Time{}
		m.openDo, m.respOpen = 0, false // commands of an earlier session are refused
		m.lapsed = !m.answered.IsZero() // it lost its lease: did it hear us at all?
	}
	// Most reports say nothing that changes a decision: a tick comes soon enough.
	news := r.Incarnation != m.session || r.Token != m.token || (r.NoticeS == nil) != m.notice.IsZero() || viaReport && !b.up(m, p)
	m.session, m.seq, m.token = r.Incarnation, r.Sequence, r.Token
	m.addr, m.typ, m.zone, m.spot = r.Addr, r.Type, r.Zone, r.Spot
	first := m.heard.Before(p.ownedSince)
	m.probeOK = b.now
	if !viaReport {
		m.lapsed, m.unanswered = false, 0
	}
	if viaReport {
		m.heard = b.now
		m.respOpen = false
		b.sizeMachine(m)
	}
	if first && viaReport {
		b.log.Debug("machine reports", "machine", m.name, "type", m.typ, "part", p.index)
	}
	if r.NoticeS == nil {
		m.notice = time.Time{}
	} else {
		if m.notice.IsZero() {
			b.log.Info("machine will be taken", "machine", m.name, "notice_s", *r.NoticeS)
		}
		m.notice = b.now.Add(config.Seconds(*r.NoticeS))
	}
	m.tasks = r.Tasks
	if p.active && !m.gone {
		b.judge(m, p)
	}
	if viaReport && (m.lapsed || m.token < p.firstToken) {
		b.ping(m, p) // it answers, and shows our token, if it hears us
	}
	if news {
		b.step()
	}
	return true
}

// judge draws proofs from a machine's newest report.
func (b *brain) judge(m *machine, p *partition) {
	// An older owner's start may still be under way until the machine has
	// shown our token; one of ours while a direct command is unanswered.
	settled := m.token == p.token && m.openDo != p.token && !m.doStart && !m.respOpen
	if m.openDo == p.token && m.openDo != 0 && !m.doBusy {
		p.tokenRaiseDue = true
	}
	shown := make(shownTasks, 0, len(m.tasks))
	for i := range m.tasks {
		t := &m.tasks[i]
		j, r, e := b.lookup(t.Task)
		if e == nil || e.machine != m || e.attempt != t.Attempt || e.incarnation != m.session {
			continue
		}
		shown.add(r.task(e.task))
		if j.spec != nil && j.spec.Gang {
			j.gangSeen(t)
		}
		if j.spec != nil && (t.State == wire.Running || t.State == wire.Gathering || t.State == wire.Saving) && j.spec.Image != "" {
			m.images[j.spec.Image] = true
			delete(m.fetching, j.spec.Image)
		}
		if t.State != wire.Exited {
			continue
		}
		o := outcome{attempt: e.attempt, done: t.Reason == wire.ReasonDone && j.spec != nil && !j.spec.Service, err: t.Reason == wire.ReasonError}
		if old, ok := b.outcomes[r.task(e.task)]; !ok || old.attempt != e.attempt {
			b.taskEnded(m, j, t.Reason)
		}
		b.end(r, e, o)
	}
	if len(shown) == len(m.bound) {
		return
	}
	stop := stopCheck{b: b}
	for _, x := range m.bound {
		t, r := x.task, x.group
		e := r.binding(t.Num)
		if e == nil || e.machine != m {
			continue
		}
		if e.incarnation < m.session {
			b.end(r, e, outcome{attempt: e.attempt}) // the earlier session killed all
			continue
		}
		if settled && !shown.has(t) && stop.wants(r, t, m, p) {
			b.end(r, e, outcome{attempt: e.attempt})
		}
	}
}

// shownTasks are the bound tasks that a machine's report shows: few, so that a list
// serves better than a map would.
type shownTasks []core.Task

func (s *shownTasks) add(t core.Task) {
	if !s.has(t) { // a report may name one twice
		*s = append(*s, t)
	}
}

func (s shownTasks) has(t core.Task) bool { return slices.Contains(s, t) }

func (b *brain) lookup(name string) (*job, *taskGroup, *binding) {
	id, num, ok := parseTask(name)
	if !ok {
		return nil, nil, nil
	}
	j := b.jobs[id]
	if j == nil {
		return nil, nil, nil
	}
	r := j.groupOfTask[num]
	if r == nil {
		return j, nil, nil
	}
	return j, r, r.binding(num)
}

// taskEnded learns from how a task ended.
func (b *brain) taskEnded(m *machine, j *job, why string) {
	switch why {
	case wire.ReasonDone:
		clear(m.failed)
	case wire.ReasonError:
		// A machine that fails tasks of several jobs is sick; a job that fails
		// on several machines is its user's mistake. Until it is clear which,
		// both rest a while: a sick machine fails what it gets at once and
		// would else eat a whole array.
		m.failed[j.id] = b.now
		if j.failedOn == nil {
			j.failedOn = map[string]bool{}
		}
		j.failedOn[m.name] = true
		if n := len(j.failedOn); n >= manyFailed {
			j.retryAt = b.now.Add(min(time.Second<<min(n-manyFailed, 5), 30*time.Second))
		}
		m.cooling = b.now.Add(5 * time.Second)
		b.weighFailures(m)
		if j.failsEverywhere() {
			for name := range j.failedOn {
				b.weighFailures(b.machine(name))
			}
		}
		b.log.Info("task failed", "job", j.id, "machine", m.name)
	case wire.ReasonNoRoom, wire.ReasonInUse, wire.ReasonUnknownTask:
		m.cooling = b.now.Add(time.Second)
		b.log.Info("start refused", "job", j.id, "machine", m.name, "why", why)
	}
}

// manyFailed is on how many machines a job's tasks have failed when that begins to
// speak against the job.
const manyFailed = 3

// barredFor is how long a machine that failed a job's task gets none of it. It may be
// the only one that fits, and have been sick for a while only: barred for good, the
// job waited beside an empty machine for ever.
const barredFor = time.Minute

// mistaken tells whether a job fails wherever it is put, as one does that its user
// submitted with a mistake. Nothing of it has ever got done.
func (j *job) failsEverywhere() bool {
	if len(j.failedOn) < manyFailed {
		return false
	}
	_, finished := j.assignedTasks()
	return finished == 0
}

// weighFailures decides whether a machine is sick: it has failed tasks of several jobs
// of late. Mistaken jobs say nothing of it: two of them, failing on each machine in
// turn, would else have the whole fleet emptied and returned.
func (b *brain) weighFailures(m *machine) {
	n := 0
	for id, at := range m.failed {
		if j := b.jobs[id]; j == nil || b.now.Sub(at) > barredFor {
			delete(m.failed, id)
		} else if !j.failsEverywhere() {
			n++
		}
	}
	if sick := n >= 2; sick != m.suspect {
		m.suspect, m.suspectAt = sick, b.now
		b.log.Info("machine fails tasks of several jobs", "machine", m.name, "sick", sick)
	}
}

// barred tells whether a machine gets none of a job just now.
func (b *brain) barred(m *machine, j *job) bool {
	at, ok := m.failed[j.id]
	return ok && b.now.Sub(at) < barredFor
}

// end notes the proven end of an attempt; the record is rewritten in step.
func (b *brain) end(r *taskGroup, e *binding, o outcome) {
	t := r.task(e.task)
	if old, ok := b.outcomes[t]; ok && old.attempt == e.attempt {
		return
	}
	b.outcomes[t] = o
	r.hasUnstoredEnds = true
	if o.done {
		b.metrics.count(cDone, 1)
	} else {
		b.metrics.count(cLost, 1)
	}
	b.log.Debug("attempt over", "task", taskName(r.job.id, e.task), "attempt", e.attempt, "machine", e.machine.name, "done", o.done)
	p := b.partitions[e.machine.home]
	if p.index != r.partition {
		if p.foreignGroups == nil {
			p.foreignGroups = map[*taskGroup]bool{}
		}
		p.foreignGroups[r] = true
	}
	p.countFreedCell(b.now)
	b.freeCell(p, t)
	b.step()
}

// endAll ends every attempt on a machine that is gone or whose lease is over.
func (b *brain) endAll(m *machine, why string) {
	p := b.partitions[m.home]
	if p.token == 0 {
		return
	}
	before := len(b.outcomes)
	for _, x := range m.bound {
		t, r := x.task, x.group
		if e := r.binding(t.Num); e != nil && e.machine == m {
			b.end(r, e, outcome{attempt: e.attempt})
		}
	}
	if n := len(b.outcomes) - before; n > 0 {
		b.log.Info("tasks of a machine are lost", "machine", m.name, "tasks", n, "why", why)
	}
	for t, a := range p.reservations {
		if a.machine == m && !b.groups[t.Group].writing {
			delete(p.reservations, t)
			b.freeCell(p, t)
		}
	}
	p.cells.DropMachine(m.idx)
}

// wantStop tells whether a bound task should not be there.
func (b *brain) wantStop(r *taskGroup, t core.Task, m *machine, p *partition) bool {
	if r.job.spec != nil && r.job.spec.Gang {
		return b.gangStops(r.job)
	}
	return r.job.finalState != unfinishedJob || b.mustLeave(r, t, m, p)
}

// stopCheck asks wantStop for the tasks of one machine, and once for all those of a gang:
// whether a gang stops is known only from all of its tasks, of which there may be thousands.
type stopCheck struct {
	b     *brain
	gang  *job
	stops bool
}

func (c *stopCheck) wants(r *taskGroup, t core.Task, m *machine, p *partition) bool {
	if r.job.spec == nil || !r.job.spec.Gang {
		return c.b.wantStop(r, t, m, p)
	}
	if c.gang != r.job {
		c.gang, c.stops = r.job, c.b.wantStop(r, t, m, p)
	}
	return c.stops
}

// mustLeave tells whether a task has to leave its machine.
func (b *brain) mustLeave(r *taskGroup, t core.Task, m *machine, p *partition) bool {
	if c := p.cells.CellOf(t); c != nil && c.State == core.Reserving || r.exceedsThrottle(t.Num) {
		return true
	}
	if l := b.lends[m.name]; l != nil && !l.Acknowledged && l.claim(b).CanPreempt(r.claim()) {
		return true
	}
	// A task that can save is stopped before its machine is taken.
	return !m.notice.IsZero() && r.job.spec != nil && r.job.spec.CheckpointS > 0 || m.suspect
}

// commands are what a machine should do, by its newest report.
func (b *brain) commands(m *machine, p *partition) []wire.Command {
	var stops, starts []wire.Command
	var there []string // tasks with an attempt that can't be reaped yet
	shown := make(shownTasks, 0, len(m.tasks))
	open := m.openDo == p.token || m.doStart || m.respOpen
	stop := stopCheck{b: b}
	for i := range m.tasks {
		t := &m.tasks[i]
		j, r, e := b.lookup(t.Task)
		if e == nil && j != nil && j.hasUnreadableRecords() && j.finalState == unfinishedJob {
			continue // it may well be bound there, in the record that can't be decoded
		}
		if e == nil || e.machine != m || e.attempt != t.Attempt || e.incarnation != m.session {
			if t.State != wire.Exited {
				zero := 0.0
				stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
			} else if open || m.token != p.token {
				there = append(there, t.Task)
			} else {
				// After a reap the worker knows the attempt no more, and a
				// late start of it would run it again: only when none can come.
				stops = append(stops, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
			}
			continue
		}
		shown.add(r.task(e.task))
		if t.State == wire.Exited || !stop.wants(r, r.task(e.task), m, p) {
			continue
		}
		grace := b.grace(r.job)
		if t.State != wire.Saving || grace == 0 {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	// Nothing starts on the strength of an old read: from the moment a user is told
	// "cancelled", by whomever, no task of the job may. Reports are answered for longer
	// than that (HoldTime), so that what runs goes on.
	if len(shown) == len(m.bound) || !b.isFresh(b.op.LeaseTTL) {
		return stops
	}
	for _, x := range m.bound {
		t, r := x.task, x.group
		e := r.binding(t.Num)
		if e == nil || shown.has(t) || e.incarnation != m.session || stop.wants(r, t, m, p) {
			continue
		}
		if o, ok := b.outcomes[t]; ok && o.attempt == e.attempt {
			continue
		}
		if spec := r.job.spec; spec != nil && spec.Gang && !r.job.complete() {
			continue
		}
		if name := taskName(r.job.id, t.Num); !slices.Contains(there, name) { // it would be refused
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: name, Attempt: e.attempt})
		}
	}
	return append(stops, starts...)
}

// kick sends a machine's commands at once, without waiting for its report.
func (b *brain) kick(m *machine) {
	p := b.partitions[m.home]
	if p.token == 0 || !p.active || m.gone || m.addr == "" || !m.heard.After(p.ownedSince) {
		return
	}
	if m.doBusy {
		m.doAgain = true
		return
	}
	if b.now.Before(m.doRest) || !b.isFresh(b.maxStaleness) {
		return
	}
	if b.doOpen >= b.doMost {
		b.doLater(m)
		return
	}
	if cmds := b.commands(m, p); len(cmds) > 0 {
		b.direct(m, p, cmds)
	}
}

// doLater has a machine wait for its turn: so many direct commands are open that
// more would take the sockets of workers and users, since each to a machine that
// is silent holds one until it times out.
func (b *brain) doLater(m *machine) {
	if !m.doWaits {
		m.doWaits = true
		b.doQueue = append(b.doQueue, m)
	}
}

// doNext gives those that wait for direct commands their turn.
func (b *brain) doNext() {
	for n := len(b.doQueue); n > 0 && b.doOpen < b.doMost; n-- {
		m := b.doQueue[0]
		b.doQueue = b.doQueue[1:]
		m.doWaits = false
		if ping := m.doPing; ping {
			m.doPing = false
			if p := b.partitions[m.home]; p.token != 0 && !m.gone {
				b.ping(m, p)
			}
			continue
		}
		b.kick(m)
	}
}

// ping tells a machine our token, whether it has something to do or not.
func (b *brain) ping(m *machine, p *partition) {
	if m.doBusy || b.now.Before(m.doRest) || m.session == 0 || m.addr == "" || !b.isFresh(b.maxStaleness) {
		return
	}
	if b.doOpen >= b.doMost/2 { // the rest is for commands
		m.doPing = true
		b.doLater(m)
		return
	}
	b.direct(m, p, nil)
}

func (b *brain) direct(m *machine, p *partition, cmds []wire.Command) {
	m.doBusy, m.doAgain, m.doPing = true, false, false
	b.doOpen++
	for _, c := range cmds {
		if c.Op == wire.OpStart {
			m.doStart = true
		}
	}
	term, addr := p.token, m.addr
	d := &wire.CommandRequest{Token: term, Incarnation: m.session, Commands: cmds}
	// Counted from the decision, not from when it is sent: a process that stood
	// still in between has no right to send it any more.
	limit := fleet.Timeout
	if len(cmds) == 0 {
		limit = fleet.PingTimeout
	}
	begun := b.now
	ctx, cancel := context.WithDeadline(b.ctx, begun.Add(limit))
	go func() {
		defer cancel()
		r, ok, err := b.fl.Send(ctx, addr, d)
		b.post(laneWorkers, func() {
			b.doOpen--
			defer b.doNext()
			started := m.doStart
			m.doBusy, m.doStart = false, false
			if err != nil {
				// The commands may be executed minutes from now, as long as
				// token and session match: until a higher token is seen, no
				// absence from a report proves anything.
				if started {
					m.openDo = term
				}
				// With too little processor time it is we who were late: a hundred
				// machines asked at a take-over would all seem dead.
				if !b.laggedSince(begun) {
					m.unanswered++
				}
				if m.unanswered >= deafAfter {
					m.doRest = b.now.Add(3 * time.Second)
				}
				b.log.Debug("direct command unanswered", "machine", m.name, "err", err)
				return
			}
			if r.Machine != m.name {
				return
			}
			if p.token != 0 && r.Token <= p.token {
				b.takeReport(m, r, p, false)
			}
			if m.doAgain || !ok {
				m.doAgain = false
				b.kick(m)
			}
		})
	}()
}
