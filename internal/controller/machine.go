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
	name, addr, machineType, zone string
	spot                          bool
	index                         int32
	hashPartition                 int             // its part, unless it is lent
	partition                     int             // the part that it is in now
	listed                        bool            // among that part's machines
	inPartitionSince              time.Time       // when it last came to another part
	lastBoundAt                   time.Time       // when a task was last bound to it there, of one that is lent
	bindings                      machineBindings // by stored bindings
	terminated                    bool

	// Known to the owner, from reports.
	incarnation, sequence uint64
	token                 uint64
	heartbeatAt           time.Time // last report
	leaseRenewedAt        time.Time // last time we sent a 200, which may have renewed its lease
	terminationAt         time.Time // when the cloud takes it; zero: no notice
	tasks                 []wire.TaskStatus
	images                map[string]bool
	fetching              map[string]time.Time // images that are being fetched, since when
	avoidUntil            time.Time            // nothing is placed on it before then
	failedJobs            map[string]time.Time // jobs of which a task failed here, and when
	cordoned              bool
	cordonedAt            time.Time

	// Direct commands.
	directInFlight       bool
	directCarriesStart   bool   // the one in flight carries a start
	directAgain          bool   // more came up while one was in flight
	directQueued         bool   // for its turn, see doLater
	pingQueued           bool   // to be told our token
	unansweredStartToken uint64 // term of a start that went unanswered
	// respOpen: an answer to a report carries a start, and no later report has
	// come yet. The worker handles one report at a time, so the next one proves
	// that the answer was executed or dropped; until then the start may still
	// arrive, and neither absence nor a reap is safe.
	startInResponse    bool
	directBackoffUntil time.Time // no direct commands before then
	answeredAt         time.Time
	// A machine may report and yet hear nothing: neither our answers nor direct
	// commands. unanswered counts the latter since the last that was answered;
	// lapsed means that it lost its lease although we answered its reports, and
	// has not answered us since.
	unanswered          int
	leaseExpiredUnheard bool

	// Looked up once in a step, see brain.open and pinnedBy.
	schedulable, runsService         bool
	schedulableStep, runsServiceStep uint64
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

func (b *controller) machineNamed(name string) *machine {
	m := b.machines[name]
	if m == nil {
		m = &machine{name: name, index: int32(len(b.machineByIndex)), hashPartition: partitionOf(name, b.cfg.Settings.Count), images: map[string]bool{}, fetching: map[string]time.Time{}, failedJobs: map[string]time.Time{}}
		m.terminated = b.terminated[name]
		m.partition = b.partitionOfMachine(m)
		b.machines[name] = m
		b.machineByIndex = append(b.machineByIndex, m)
		b.addToPartition(m)
	}
	return m
}

// introduce notes what others have said of a machine: its address, and a session
// that it has begun. Only the machine's own reports tell more.
func (m *machine) introduce(addr string, session uint64) {
	if m.addr == "" {
		m.addr = addr
	}
	if session > m.incarnation {
		m.incarnation, m.sequence = session, 0
	}
}

// expected tells whether a machine should report to its part's owner: it has of
// late, or work is bound to it and it has not reported since a take-over.
func (b *controller) expectsHeartbeat(m *machine, within time.Duration) bool {
	if m.heartbeatAt.IsZero() {
		return len(m.bindings) > 0
	}
	return b.now.Sub(m.heartbeatAt) <= within
}

// sizeMachine makes a machine's cells known to its part once its type is.
func (b *controller) setMachineSize(m *machine) {
	p := b.partitions[m.partition]
	t := b.machineTypes[m.machineType]
	if p.token == 0 || t == nil || m.terminated || m.heartbeatAt.IsZero() {
		return
	}
	p.cells.SetMachine(m.index, core.NewResources(t.CPUs, t.GPUs, t.RAM))
}

// homeOf is the part that a machine is in by what is stored.
func (b *controller) partitionOfMachine(m *machine) int {
	if l := b.loans[m.name]; l != nil && l.Acknowledged {
		return b.loanPartition()
	}
	return m.hashPartition
}

// enlist puts a machine among those of its part.
func (b *controller) addToPartition(m *machine) {
	if !m.listed {
		m.listed = true
		p := b.partitions[m.partition]
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
	if m.inPartitionSince.After(p.ownedSince) {
		return m.inPartitionSince
	}
	return p.ownedSince
}

// quietAfter is how long a machine may be quiet before it is asked directly: the
// longest usual pause between two reports and some time on the way.
func (b *controller) heartbeatOverdueAfter() time.Duration {
	return config.Seconds(1.25*b.cfg.Settings.Workers.ReportS) + 500*time.Millisecond
}

// silentAfter is how long a machine may be quiet before it counts as silent, if
// it can't be asked. It is well above what a worker needs to find its node's
// successor (an answer outstanding for 4 s, then 1 s to the next).
func (b *controller) unreachableAfter() time.Duration {
	w := &b.cfg.Settings.Workers
	return max(3*config.Seconds(w.ReportS), config.Seconds(0.6*w.LeaseS), 7*time.Second)
}

// deafAfter is how many direct commands in a row go unanswered by a machine that
// can't be reached.
const unansweredLimit = 2

// deaf tells whether a machine seems to hear nothing of us, whatever it reports.
// Nothing is placed on it, and it is replaced if it stays so. When that seems so
// of most machines, it is we who can't be heard: they are all alike then.
func (m *machine) notReceiving(p *partition) bool {
	return (m.leaseExpiredUnheard || m.unanswered >= unansweredLimit) && !p.mostNotReceiving
}

// heardSince is when a machine was last heard, or since when it could have been. While
// this controller answers no reports (HoldTime) it hears none: after a long outage all
// machines would else be found silent at once, and returned with all that they run.
func (b *controller) heardSince(m *machine, p *partition) time.Time {
	t := p.ownsMachineSince(m)
	if b.heartbeatsResumedAt.After(t) {
		t = b.heartbeatsResumedAt
	}
	if m.heartbeatAt.After(t) {
		return m.heartbeatAt
	}
	return t
}

// up tells whether an owner may place on its machine. It must have shown a token
// of ours: a report without may be a copy that comes late, after a take-over even
// of a machine that died long ago, and nothing is known yet to compare it with.
func (b *controller) usable(m *machine, p *partition) bool {
	return !m.terminated && m.heartbeatAt.After(p.ownsMachineSince(m)) && m.incarnation > 0 && m.token >= p.firstToken && !m.notReceiving(p) &&
		b.now.Sub(m.heartbeatAt) < max(2*config.Seconds(b.cfg.Settings.Workers.ReportS), 3*time.Second)
}

// leaseOver tells whether a machine's lease has surely ended: nobody has sent
// it an answer that could renew it for a whole lease, a former owner included.
func (b *controller) leaseExpired(m *machine, p *partition) bool {
	last := p.ownsMachineSince(m).Add(p.formerOwnerStaleness)
	if m.leaseRenewedAt.After(last) {
		last = m.leaseRenewedAt
	}
	return b.now.Sub(last) > b.leaseExpiry
}

// report takes a worker's report in and answers it.
func (b *controller) handleHeartbeat(r *wire.Heartbeat) api.Response {
	b.metrics.count(countHeartbeats, 1)
	b.lastHeartbeatAt = b.now
	defer b.metrics.addBusyTime(activityHeartbeat, time.Now())
	if !b.loaded {
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "starting"}
	}
	if refusal, refused := b.refusal(); refused {
		return refusal
	}
	p := b.partitions[b.machineNamed(r.Machine).partition]
	if p.token == 0 {
		h, ok := b.holders[p.key]
		if !ok || h.Node == b.cfg.Name {
			return api.Response{Status: http.StatusServiceUnavailable, Reason: "no owner"}
		}
		b.metrics.count(countRedirected, 1)
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
	m := b.machineNamed(r.Machine)
	told := m.answeredAt
	newer := b.applyHeartbeat(m, r, p, true)
	ans := wire.HeartbeatResponse{Token: p.token, Commands: []wire.Command{}}
	// The answer renews the lease from when the report was sent. One that is not
	// new was sent before the newest came in; it may be a copy that comes long
	// after its machine died, which must not put off the proof of that.
	if newer {
		told = b.now
	}
	if told.After(m.leaseRenewedAt) {
		m.leaseRenewedAt = told
	}
	if newer && !m.terminated && p.active {
		ans.Commands = append(ans.Commands, b.commands(m, p)...)
		for _, c := range ans.Commands {
			m.startInResponse = m.startInResponse || c.Op == wire.OpStart
		}
	}
	return api.Response{Status: http.StatusOK, Body: ans}
}

// takeReport takes in the newest that a machine told; false if it was not new.
func (b *controller) applyHeartbeat(m *machine, r *wire.Heartbeat, p *partition, viaReport bool) bool {
	if r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Sequence <= m.sequence {
		return false
	}
	if r.Incarnation > m.incarnation && m.incarnation > 0 {
		b.log.Info("machine begins a new session", "machine", m.name, "session", r.Incarnation)
		m.images, m.fetching = map[string]bool{}, map[string]time.Time{}
		m.unansweredStartToken, m.startInResponse = 0, false // commands of an earlier session are refused
		m.leaseExpiredUnheard = !m.leaseRenewedAt.IsZero()   // it lost its lease: did it hear us at all?
	}
	// Most reports say nothing that changes a decision: a tick comes soon enough.
	news := r.Incarnation != m.incarnation || r.Token != m.token || (r.NoticeS == nil) != m.terminationAt.IsZero() || viaReport && !b.usable(m, p)
	m.incarnation, m.sequence, m.token = r.Incarnation, r.Sequence, r.Token
	m.addr, m.machineType, m.zone, m.spot = r.Addr, r.Type, r.Zone, r.Spot
	first := m.heartbeatAt.Before(p.ownedSince)
	m.answeredAt = b.now
	if !viaReport {
		m.leaseExpiredUnheard, m.unanswered = false, 0
	}
	if viaReport {
		m.heartbeatAt = b.now
		m.startInResponse = false
		b.setMachineSize(m)
	}
	if first && viaReport {
		b.log.Debug("machine reports", "machine", m.name, "type", m.machineType, "part", p.index)
	}
	if r.NoticeS == nil {
		m.terminationAt = time.Time{}
	} else {
		if m.terminationAt.IsZero() {
			b.log.Info("machine will be taken", "machine", m.name, "notice_s", *r.NoticeS)
		}
		m.terminationAt = b.now.Add(config.Seconds(*r.NoticeS))
	}
	m.tasks = r.Tasks
	if p.active && !m.terminated {
		b.reconcile(m, p)
	}
	if viaReport && (m.leaseExpiredUnheard || m.token < p.firstToken) {
		b.ping(m, p) // it answers, and shows our token, if it hears us
	}
	if news {
		b.requestPass()
	}
	return true
}

// judge draws proofs from a machine's newest report.
func (b *controller) reconcile(m *machine, p *partition) {
	// An older owner's start may still be under way until the machine has
	// shown our token; one of ours while a direct command is unanswered.
	settled := m.token == p.token && m.unansweredStartToken != p.token && !m.directCarriesStart && !m.startInResponse
	if m.unansweredStartToken == p.token && m.unansweredStartToken != 0 && !m.directInFlight {
		p.tokenRaiseDue = true
	}
	shown := make(shownTasks, 0, len(m.tasks))
	for i := range m.tasks {
		t := &m.tasks[i]
		j, r, e := b.lookup(t.Task)
		if e == nil || e.machine != m || e.attempt != t.Attempt || e.incarnation != m.incarnation {
			continue
		}
		shown.add(r.task(e.task))
		if j.spec != nil && j.spec.Gang {
			j.noteGangTask(t)
		}
		if j.spec != nil && (t.State == wire.Running || t.State == wire.Gathering || t.State == wire.Saving) && j.spec.Image != "" {
			m.images[j.spec.Image] = true
			delete(m.fetching, j.spec.Image)
		}
		if t.State != wire.Exited {
			continue
		}
		o := attemptEnd{attempt: e.attempt, done: t.Reason == wire.ReasonDone && j.spec != nil && !j.spec.Service, failed: t.Reason == wire.ReasonError}
		if old, ok := b.attemptEnds[r.task(e.task)]; !ok || old.attempt != e.attempt {
			b.noteTaskEnd(m, j, t.Reason)
		}
		b.endAttempt(r, e, o)
	}
	if len(shown) == len(m.bindings) {
		return
	}
	stop := stopDecider{b: b}
	for _, x := range m.bindings {
		t, r := x.task, x.group
		e := r.binding(t.Num)
		if e == nil || e.machine != m {
			continue
		}
		if e.incarnation < m.incarnation {
			b.endAttempt(r, e, attemptEnd{attempt: e.attempt}) // the earlier session killed all
			continue
		}
		if settled && !shown.has(t) && stop.shouldStop(r, t, m, p) {
			b.endAttempt(r, e, attemptEnd{attempt: e.attempt})
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

func (b *controller) lookup(name string) (*job, *taskGroup, *binding) {
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
func (b *controller) noteTaskEnd(m *machine, j *job, why string) {
	switch why {
	case wire.ReasonDone:
		clear(m.failedJobs)
	case wire.ReasonError:
		// A machine that fails tasks of several jobs is sick; a job that fails
		// on several machines is its user's mistake. Until it is clear which,
		// both rest a while: a sick machine fails what it gets at once and
		// would else eat a whole array.
		m.failedJobs[j.id] = b.now
		if j.failedOn == nil {
			j.failedOn = map[string]bool{}
		}
		j.failedOn[m.name] = true
		if n := len(j.failedOn); n >= failedMachinesLimit {
			j.retryAt = b.now.Add(min(time.Second<<min(n-failedMachinesLimit, 5), 30*time.Second))
		}
		m.avoidUntil = b.now.Add(5 * time.Second)
		b.updateCordon(m)
		if j.failsEverywhere() {
			for name := range j.failedOn {
				b.updateCordon(b.machineNamed(name))
			}
		}
		b.log.Info("task failed", "job", j.id, "machine", m.name)
	case wire.ReasonNoRoom, wire.ReasonInUse, wire.ReasonUnknownTask:
		m.avoidUntil = b.now.Add(time.Second)
		b.log.Info("start refused", "job", j.id, "machine", m.name, "why", why)
	}
}

// manyFailed is on how many machines a job's tasks have failed when that begins to
// speak against the job.
const failedMachinesLimit = 3

// barredFor is how long a machine that failed a job's task gets none of it. It may be
// the only one that fits, and have been sick for a while only: barred for good, the
// job waited beside an empty machine for ever.
const jobAvoidance = time.Minute

// mistaken tells whether a job fails wherever it is put, as one does that its user
// submitted with a mistake. Nothing of it has ever got done.
func (j *job) failsEverywhere() bool {
	if len(j.failedOn) < failedMachinesLimit {
		return false
	}
	_, finished := j.assignedTasks()
	return finished == 0
}

// weighFailures decides whether a machine is sick: it has failed tasks of several jobs
// of late. Mistaken jobs say nothing of it: two of them, failing on each machine in
// turn, would else have the whole fleet emptied and returned.
func (b *controller) updateCordon(m *machine) {
	n := 0
	for id, at := range m.failedJobs {
		if j := b.jobs[id]; j == nil || b.now.Sub(at) > jobAvoidance {
			delete(m.failedJobs, id)
		} else if !j.failsEverywhere() {
			n++
		}
	}
	if sick := n >= 2; sick != m.cordoned {
		m.cordoned, m.cordonedAt = sick, b.now
		b.log.Info("machine fails tasks of several jobs", "machine", m.name, "sick", sick)
	}
}

// barred tells whether a machine gets none of a job just now.
func (b *controller) avoidsJob(m *machine, j *job) bool {
	at, ok := m.failedJobs[j.id]
	return ok && b.now.Sub(at) < jobAvoidance
}

// end notes the proven end of an attempt; the record is rewritten in step.
func (b *controller) endAttempt(r *taskGroup, e *binding, o attemptEnd) {
	t := r.task(e.task)
	if old, ok := b.attemptEnds[t]; ok && old.attempt == e.attempt {
		return
	}
	b.attemptEnds[t] = o
	r.hasUnstoredEnds = true
	if o.done {
		b.metrics.count(countDone, 1)
	} else {
		b.metrics.count(countLost, 1)
	}
	b.log.Debug("attempt over", "task", taskName(r.job.id, e.task), "attempt", e.attempt, "machine", e.machine.name, "done", o.done)
	p := b.partitions[e.machine.partition]
	if p.index != r.partition {
		if p.foreignGroups == nil {
			p.foreignGroups = map[*taskGroup]bool{}
		}
		p.foreignGroups[r] = true
	}
	p.countFreedCell(b.now)
	b.freeCell(p, t)
	b.requestPass()
}

// endAll ends every attempt on a machine that is gone or whose lease is over.
func (b *controller) endAllAttempts(m *machine, why string) {
	p := b.partitions[m.partition]
	if p.token == 0 {
		return
	}
	before := len(b.attemptEnds)
	for _, x := range m.bindings {
		t, r := x.task, x.group
		if e := r.binding(t.Num); e != nil && e.machine == m {
			b.endAttempt(r, e, attemptEnd{attempt: e.attempt})
		}
	}
	if n := len(b.attemptEnds) - before; n > 0 {
		b.log.Info("tasks of a machine are lost", "machine", m.name, "tasks", n, "why", why)
	}
	for t, a := range p.reservations {
		if a.machine == m && !b.groups[t.Group].writing {
			delete(p.reservations, t)
			b.freeCell(p, t)
		}
	}
	p.cells.DropMachine(m.index)
}

// wantStop tells whether a bound task should not be there.
func (b *controller) shouldStop(r *taskGroup, t core.Task, m *machine, p *partition) bool {
	if r.job.spec != nil && r.job.spec.Gang {
		return b.gangMustStop(r.job)
	}
	return r.job.finalState != unfinishedJob || b.mustPreempt(r, t, m, p)
}

// stopCheck asks wantStop for the tasks of one machine, and once for all those of a gang:
// whether a gang stops is known only from all of its tasks, of which there may be thousands.
type stopDecider struct {
	b     *controller
	gang  *job
	stops bool
}

func (c *stopDecider) shouldStop(r *taskGroup, t core.Task, m *machine, p *partition) bool {
	if r.job.spec == nil || !r.job.spec.Gang {
		return c.b.shouldStop(r, t, m, p)
	}
	if c.gang != r.job {
		c.gang, c.stops = r.job, c.b.shouldStop(r, t, m, p)
	}
	return c.stops
}

// mustLeave tells whether a task has to leave its machine.
func (b *controller) mustPreempt(r *taskGroup, t core.Task, m *machine, p *partition) bool {
	if c := p.cells.CellOf(t); c != nil && c.State == core.Reserving || r.exceedsThrottle(t.Num) {
		return true
	}
	if l := b.loans[m.name]; l != nil && !l.Acknowledged && l.claim(b).CanPreempt(r.claim()) {
		return true
	}
	// A task that can save is stopped before its machine is taken.
	return !m.terminationAt.IsZero() && r.job.spec != nil && r.job.spec.CheckpointS > 0 || m.cordoned
}

// commands are what a machine should do, by its newest report.
func (b *controller) commands(m *machine, p *partition) []wire.Command {
	var stops, starts []wire.Command
	var there []string // tasks with an attempt that can't be reaped yet
	shown := make(shownTasks, 0, len(m.tasks))
	open := m.unansweredStartToken == p.token || m.directCarriesStart || m.startInResponse
	stop := stopDecider{b: b}
	for i := range m.tasks {
		t := &m.tasks[i]
		j, r, e := b.lookup(t.Task)
		if e == nil && j != nil && j.hasUnreadableRecords() && j.finalState == unfinishedJob {
			continue // it may well be bound there, in the record that can't be decoded
		}
		if e == nil || e.machine != m || e.attempt != t.Attempt || e.incarnation != m.incarnation {
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
		if t.State == wire.Exited || !stop.shouldStop(r, r.task(e.task), m, p) {
			continue
		}
		grace := b.stopGraceS(r.job)
		if t.State != wire.Saving || grace == 0 {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	// Nothing starts on the strength of an old read: from the moment a user is told
	// "cancelled", by whomever, no task of the job may. Reports are answered for longer
	// than that (HoldTime), so that what runs goes on.
	if len(shown) == len(m.bindings) || !b.isFresh(b.operator.LeaseTTL) {
		return stops
	}
	for _, x := range m.bindings {
		t, r := x.task, x.group
		e := r.binding(t.Num)
		if e == nil || shown.has(t) || e.incarnation != m.incarnation || stop.shouldStop(r, t, m, p) {
			continue
		}
		if o, ok := b.attemptEnds[t]; ok && o.attempt == e.attempt {
			continue
		}
		if spec := r.job.spec; spec != nil && spec.Gang && !r.job.gangBound() {
			continue
		}
		if name := taskName(r.job.id, t.Num); !slices.Contains(there, name) { // it would be refused
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: name, Attempt: e.attempt})
		}
	}
	return append(stops, starts...)
}

// kick sends a machine's commands at once, without waiting for its report.
func (b *controller) sendCommandsNow(m *machine) {
	p := b.partitions[m.partition]
	if p.token == 0 || !p.active || m.terminated || m.addr == "" || !m.heartbeatAt.After(p.ownedSince) {
		return
	}
	if m.directInFlight {
		m.directAgain = true
		return
	}
	if b.now.Before(m.directBackoffUntil) || !b.isFresh(b.maxStaleness) {
		return
	}
	if b.directsInFlight >= b.maxDirects {
		b.queueDirect(m)
		return
	}
	if cmds := b.commands(m, p); len(cmds) > 0 {
		b.sendDirect(m, p, cmds)
	}
}

// doLater has a machine wait for its turn: so many direct commands are open that
// more would take the sockets of workers and users, since each to a machine that
// is silent holds one until it times out.
func (b *controller) queueDirect(m *machine) {
	if !m.directQueued {
		m.directQueued = true
		b.directQueue = append(b.directQueue, m)
	}
}

// doNext gives those that wait for direct commands their turn.
func (b *controller) sendQueuedDirect() {
	for n := len(b.directQueue); n > 0 && b.directsInFlight < b.maxDirects; n-- {
		m := b.directQueue[0]
		b.directQueue = b.directQueue[1:]
		m.directQueued = false
		if ping := m.pingQueued; ping {
			m.pingQueued = false
			if p := b.partitions[m.partition]; p.token != 0 && !m.terminated {
				b.ping(m, p)
			}
			continue
		}
		b.sendCommandsNow(m)
	}
}

// ping tells a machine our token, whether it has something to do or not.
func (b *controller) ping(m *machine, p *partition) {
	if m.directInFlight || b.now.Before(m.directBackoffUntil) || m.incarnation == 0 || m.addr == "" || !b.isFresh(b.maxStaleness) {
		return
	}
	if b.directsInFlight >= b.maxDirects/2 { // the rest is for commands
		m.pingQueued = true
		b.queueDirect(m)
		return
	}
	b.sendDirect(m, p, nil)
}

func (b *controller) sendDirect(m *machine, p *partition, cmds []wire.Command) {
	m.directInFlight, m.directAgain, m.pingQueued = true, false, false
	b.directsInFlight++
	for _, c := range cmds {
		if c.Op == wire.OpStart {
			m.directCarriesStart = true
		}
	}
	term, addr := p.token, m.addr
	d := &wire.CommandRequest{Token: term, Incarnation: m.incarnation, Commands: cmds}
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
		r, ok, err := b.workerClient.Send(ctx, addr, d)
		b.enqueue(priorityWorkers, func() {
			b.directsInFlight--
			defer b.sendQueuedDirect()
			started := m.directCarriesStart
			m.directInFlight, m.directCarriesStart = false, false
			if err != nil {
				// The commands may be executed minutes from now, as long as
				// token and session match: until a higher token is seen, no
				// absence from a report proves anything.
				if started {
					m.unansweredStartToken = term
				}
				// With too little processor time it is we who were late: a hundred
				// machines asked at a take-over would all seem dead.
				if !b.laggedSince(begun) {
					m.unanswered++
				}
				if m.unanswered >= unansweredLimit {
					m.directBackoffUntil = b.now.Add(3 * time.Second)
				}
				b.log.Debug("direct command unanswered", "machine", m.name, "err", err)
				return
			}
			if r.Machine != m.name {
				return
			}
			if p.token != 0 && r.Token <= p.token {
				b.applyHeartbeat(m, r, p, false)
			}
			if m.directAgain || !ok {
				m.directAgain = false
				b.sendCommandsNow(m)
			}
		})
	}()
}
