package controller

import (
	"context"
	"net/http"
	"slices"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/config"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerclient"
)

// machine is what a controller knows of one machine.
type machine struct {
	name, addr, machineType, zone string
	spot                          bool
	index                         scheduling.MachineIndex
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
	directQueued         bool   // for its turn, see queueDirect
	pingQueued           bool   // to be told our token
	unansweredStartToken uint64 // term of a start that went unanswered
	// startInResponse: an answer to a report carries a start, and no later report has
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

	// Looked up once in a step, see controller.schedulable and pinnedBy.
	schedulable, runsService         bool
	schedulableStep, runsServiceStep uint64
}

// machineBindings are the tasks that are bound to a machine: few, and gone through in every
// step and with every report.
type machineBindings []machineBinding

type machineBinding struct {
	task  scheduling.Task
	group *taskGroup
}

func (s *machineBindings) add(t scheduling.Task, group *taskGroup) {
	s.remove(t)
	*s = append(*s, machineBinding{t, group})
}

func (s *machineBindings) remove(t scheduling.Task) {
	*s = slices.DeleteFunc(*s, func(x machineBinding) bool { return x.task == t })
}

func (c *clusterState) machineNamed(name string) *machine {
	m := c.machines[name]
	if m == nil {
		m = &machine{name: name, index: scheduling.MachineIndex(len(c.machineByIndex)), hashPartition: partitionOf(name, c.cfg.Settings.Count), images: map[string]bool{}, fetching: map[string]time.Time{}, failedJobs: map[string]time.Time{}}
		m.terminated = c.terminated[name]
		m.partition = c.partitionOfMachine(m)
		c.machines[name] = m
		c.machineByIndex = append(c.machineByIndex, m)
		c.addToPartition(m)
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

// expectsHeartbeat tells whether a machine should report to its part's owner: it has of
// late, or work is bound to it and it has not reported since a take-over.
func (c *clusterState) expectsHeartbeat(m *machine, within time.Duration) bool {
	if m.heartbeatAt.IsZero() {
		return len(m.bindings) > 0
	}
	return c.now.Sub(m.heartbeatAt) <= within
}

// setMachineSize makes a machine's cells known to its part once its type is.
func (c *clusterState) setMachineSize(m *machine) {
	p := c.partitions[m.partition]
	t := c.machineTypes[m.machineType]
	if p.token == 0 || t == nil || m.terminated || m.heartbeatAt.IsZero() {
		return
	}
	p.cells.SetMachine(m.index, scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB))
}

// partitionOfMachine is the part that a machine is in by what is stored.
func (c *clusterState) partitionOfMachine(m *machine) int {
	if loan := c.loans[m.name]; loan != nil && loan.Acknowledged {
		return c.loanPartition()
	}
	return m.hashPartition
}

// addToPartition puts a machine among those of its part.
func (c *clusterState) addToPartition(m *machine) {
	if !m.listed {
		m.listed = true
		p := c.partitions[m.partition]
		p.machines = append(p.machines, m)
	}
}

// removeMachines takes machines out of a part's list.
func (p *partition) removeMachines(out func(*machine) bool) {
	p.machines = slices.DeleteFunc(p.machines, func(m *machine) bool {
		if !out(m) {
			return false
		}
		m.listed = false
		return true
	})
}

// ownsMachineSince is since when a part's owner has had a machine.
func (p *partition) ownsMachineSince(m *machine) time.Time {
	if m.inPartitionSince.After(p.ownedSince) {
		return m.inPartitionSince
	}
	return p.ownedSince
}

// heartbeatOverdueAfter is how long a machine may be quiet before it is asked directly: the
// longest usual pause between two reports and some time on the way.
func (c *clusterState) heartbeatOverdueAfter() time.Duration {
	return config.Seconds(1.25*c.cfg.Settings.Workers.ReportS) + 500*time.Millisecond
}

// unreachableAfter is how long a machine may be quiet before it counts as silent, if
// it can't be asked. It is well above what a worker needs to find its node's
// successor (an answer outstanding for 4 s, then 1 s to the next).
func (c *clusterState) unreachableAfter() time.Duration {
	w := &c.cfg.Settings.Workers
	return max(3*config.Seconds(w.ReportS), config.Seconds(0.6*w.LeaseS), 7*time.Second)
}

// unansweredLimit is how many direct commands in a row go unanswered by a machine that
// can't be reached.
const unansweredLimit = 2

// notReceiving tells whether a machine seems to hear nothing of us, whatever it reports.
// Nothing is placed on it, and it is replaced if it stays so. When that seems so
// of most machines, it is we who can't be heard: they are all alike then.
func (m *machine) notReceiving(p *partition) bool {
	return (m.leaseExpiredUnheard || m.unanswered >= unansweredLimit) && !p.mostNotReceiving
}

// heardSince is when a machine was last heard, or since when it could have been. While
// this controller answers no reports (MaxStaleness) it hears none: after a long outage all
// machines would else be found silent at once, and returned with all that they run.
func (c *clusterState) heardSince(m *machine, p *partition) time.Time {
	t := p.ownsMachineSince(m)
	if c.heartbeatsResumedAt.After(t) {
		t = c.heartbeatsResumedAt
	}
	if m.heartbeatAt.After(t) {
		return m.heartbeatAt
	}
	return t
}

// usable tells whether an owner may place on its machine. It must have shown a token
// of ours: a report without may be a copy that comes late, after a take-over even
// of a machine that died long ago, and nothing is known yet to compare it with.
func (c *clusterState) usable(m *machine, p *partition) bool {
	return !m.terminated && m.heartbeatAt.After(p.ownsMachineSince(m)) && m.incarnation > 0 && m.token >= p.firstToken && !m.notReceiving(p) &&
		c.now.Sub(m.heartbeatAt) < max(2*config.Seconds(c.cfg.Settings.Workers.ReportS), 3*time.Second)
}

// leaseExpired tells whether a machine's lease has surely ended: nobody has sent
// it an answer that could renew it for a whole lease, a former owner included.
func (c *clusterState) leaseExpired(m *machine, p *partition) bool {
	last := p.ownsMachineSince(m).Add(p.formerOwnerStaleness)
	if m.leaseRenewedAt.After(last) {
		last = m.leaseRenewedAt
	}
	return c.now.Sub(last) > c.leaseExpiry
}

// handleHeartbeat takes a worker's report in and answers it.
func (c *controller) handleHeartbeat(heartbeat *wire.Heartbeat) api.Response {
	c.metrics.count(countHeartbeats, 1)
	c.lastHeartbeatAt = c.now
	defer c.metrics.addBusyTime(activityHeartbeat, time.Now())
	if !c.replica.Loaded() {
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "starting"}
	}
	if refusal, refused := c.refusal(); refused {
		return refusal
	}
	p := c.partitions[c.machineNamed(heartbeat.Machine).partition]
	if p.token == 0 {
		h, ok := c.election.Holder(p.key)
		if !ok || h.Node == c.cfg.Name {
			return api.Response{Status: http.StatusServiceUnavailable, Reason: "no owner"}
		}
		c.metrics.count(countRedirected, 1)
		return api.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{Node: h.Node}}
	}
	if heartbeat.Token > p.token {
		// A later owner has spoken to it: we have been replaced.
		return api.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{}}
	}
	if !c.isFresh(c.maxStaleness) {
		// See MaxStaleness: a user may have been told "cancelled" meanwhile.
		return api.Response{Status: http.StatusServiceUnavailable, Reason: "state service out of reach"}
	}
	m := c.machineNamed(heartbeat.Machine)
	told := m.answeredAt
	newer := c.applyHeartbeat(m, heartbeat, p, true)
	ans := wire.HeartbeatResponse{Token: p.token, Commands: []wire.Command{}}
	// The answer renews the lease from when the report was sent. One that is not
	// new was sent before the newest came in; it may be a copy that comes long
	// after its machine died, which must not put off the proof of that.
	if newer {
		told = c.now
	}
	if told.After(m.leaseRenewedAt) {
		m.leaseRenewedAt = told
	}
	if newer && !m.terminated && p.active {
		ans.Commands = append(ans.Commands, c.commands(m, p)...)
		for _, command := range ans.Commands {
			m.startInResponse = m.startInResponse || command.Op == wire.OpStart
		}
	}
	return api.Response{Status: http.StatusOK, Body: ans}
}

// applyHeartbeat takes in the newest that a machine told; false if it was not new.
func (c *partitionOwner) applyHeartbeat(m *machine, heartbeat *wire.Heartbeat, p *partition, viaReport bool) bool {
	if heartbeat.Incarnation < m.incarnation || heartbeat.Incarnation == m.incarnation && heartbeat.Sequence <= m.sequence {
		return false
	}
	if heartbeat.Incarnation > m.incarnation && m.incarnation > 0 {
		c.log.Info("machine begins a new session", "machine", m.name, "session", heartbeat.Incarnation)
		m.images, m.fetching = map[string]bool{}, map[string]time.Time{}
		m.unansweredStartToken, m.startInResponse = 0, false // commands of an earlier session are refused
		m.leaseExpiredUnheard = !m.leaseRenewedAt.IsZero()   // it lost its lease: did it hear us at all?
	}
	// Most reports say nothing that changes a decision: a tick comes soon enough.
	news := heartbeat.Incarnation != m.incarnation || heartbeat.Token != m.token || (heartbeat.NoticeS == nil) != m.terminationAt.IsZero() || viaReport && !c.usable(m, p)
	m.incarnation, m.sequence, m.token = heartbeat.Incarnation, heartbeat.Sequence, heartbeat.Token
	m.addr, m.machineType, m.zone, m.spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	first := m.heartbeatAt.Before(p.ownedSince)
	m.answeredAt = c.now
	if !viaReport {
		m.leaseExpiredUnheard, m.unanswered = false, 0
	}
	if viaReport {
		m.heartbeatAt = c.now
		m.startInResponse = false
		c.setMachineSize(m)
	}
	if first && viaReport {
		c.log.Debug("machine reports", "machine", m.name, "type", m.machineType, "part", p.index)
	}
	if heartbeat.NoticeS == nil {
		m.terminationAt = time.Time{}
	} else {
		if m.terminationAt.IsZero() {
			c.log.Info("machine will be taken", "machine", m.name, "notice_s", *heartbeat.NoticeS)
		}
		m.terminationAt = c.now.Add(config.Seconds(*heartbeat.NoticeS))
	}
	m.tasks = heartbeat.Tasks
	if p.active && !m.terminated {
		c.reconcile(m, p)
	}
	if viaReport && (m.leaseExpiredUnheard || m.token < p.firstToken) {
		c.ping(m, p) // it answers, and shows our token, if it hears us
	}
	if news {
		c.requestPass()
	}
	return true
}

// reconcile draws proofs from a machine's newest report.
func (c *clusterState) reconcile(m *machine, p *partition) {
	// An older owner's start may still be under way until the machine has
	// shown our token; one of ours while a direct command is unanswered.
	settled := m.token == p.token && m.unansweredStartToken != p.token && !m.directCarriesStart && !m.startInResponse
	if m.unansweredStartToken == p.token && m.unansweredStartToken != 0 && !m.directInFlight {
		p.tokenRaiseDue = true
	}
	shown := make(shownTasks, 0, len(m.tasks))
	for i := range m.tasks {
		t := &m.tasks[i]
		job, group, bound := c.lookup(t.Task)
		if bound == nil || bound.machine != m || bound.attempt != t.Attempt || bound.incarnation != m.incarnation {
			continue
		}
		shown.add(group.task(bound.task))
		if job.spec != nil && job.spec.Gang {
			job.noteGangTask(t)
		}
		if job.spec != nil && (t.State == wire.Running || t.State == wire.Gathering || t.State == wire.Saving) && job.spec.Image != "" {
			m.images[job.spec.Image] = true
			delete(m.fetching, job.spec.Image)
		}
		if t.State != wire.Exited {
			continue
		}
		o := attemptEnd{attempt: bound.attempt, done: t.Reason == wire.ReasonDone && job.spec != nil && !job.spec.Service, failed: t.Reason == wire.ReasonError}
		if old, ok := c.attemptEnds[group.task(bound.task)]; !ok || old.attempt != bound.attempt {
			c.noteTaskEnd(m, job, t.Reason)
		}
		c.endAttempt(group, bound, o)
	}
	if len(shown) == len(m.bindings) {
		return
	}
	stop := stopDecider{b: c}
	for _, x := range m.bindings {
		t, group := x.task, x.group
		bound := group.binding(t.Number)
		if bound == nil || bound.machine != m {
			continue
		}
		if bound.incarnation < m.incarnation {
			c.endAttempt(group, bound, attemptEnd{attempt: bound.attempt}) // the earlier session killed all
			continue
		}
		if settled && !shown.has(t) && stop.shouldStop(group, t, m, p) {
			c.endAttempt(group, bound, attemptEnd{attempt: bound.attempt})
		}
	}
}

// shownTasks are the bound tasks that a machine's report shows: few, so that a list
// serves better than a map would.
type shownTasks []scheduling.Task

func (s *shownTasks) add(t scheduling.Task) {
	if !s.has(t) { // a report may name one twice
		*s = append(*s, t)
	}
}

func (s shownTasks) has(t scheduling.Task) bool { return slices.Contains(s, t) }

func (c *clusterState) lookup(name string) (*job, *taskGroup, *binding) {
	id, num, ok := parseTask(name)
	if !ok {
		return nil, nil, nil
	}
	j := c.jobs[id]
	if j == nil {
		return nil, nil, nil
	}
	group := j.groupOfTask[num]
	if group == nil {
		return j, nil, nil
	}
	return j, group, group.binding(num)
}

// noteTaskEnd learns from how a task ended.
func (c *clusterState) noteTaskEnd(m *machine, j *job, why string) {
	switch why {
	case wire.ReasonDone:
		clear(m.failedJobs)
	case wire.ReasonError:
		// A machine that fails tasks of several jobs is sick; a job that fails
		// on several machines is its user's mistake. Until it is clear which,
		// both rest a while: a sick machine fails what it gets at once and
		// would else eat a whole array.
		m.failedJobs[j.id] = c.now
		if j.failedOn == nil {
			j.failedOn = map[string]bool{}
		}
		j.failedOn[m.name] = true
		if n := len(j.failedOn); n >= failedMachinesLimit {
			j.retryAt = c.now.Add(min(time.Second<<min(n-failedMachinesLimit, 5), 30*time.Second))
		}
		m.avoidUntil = c.now.Add(5 * time.Second)
		c.updateCordon(m)
		if j.failsEverywhere() {
			for name := range j.failedOn {
				c.updateCordon(c.machineNamed(name))
			}
		}
		c.log.Info("task failed", "job", j.id, "machine", m.name)
	case wire.ReasonNoRoom, wire.ReasonInUse, wire.ReasonUnknownTask:
		m.avoidUntil = c.now.Add(time.Second)
		c.log.Info("start refused", "job", j.id, "machine", m.name, "why", why)
	}
}

// failedMachinesLimit is on how many machines a job's tasks have failed when that begins to
// speak against the job.
const failedMachinesLimit = 3

// jobAvoidance is how long a machine that failed a job's task gets none of it. It may be
// the only one that fits, and have been sick for a while only: barred for good, the
// job waited beside an empty machine for ever.
const jobAvoidance = time.Minute

// failsEverywhere tells whether a job fails wherever it is put, as one does that its user
// submitted with a mistake. Nothing of it has ever got done.
func (j *job) failsEverywhere() bool {
	if len(j.failedOn) < failedMachinesLimit {
		return false
	}
	_, finished := j.assignedTasks()
	return finished == 0
}

// updateCordon decides whether a machine is sick: it has failed tasks of several jobs
// of late. Mistaken jobs say nothing of it: two of them, failing on each machine in
// turn, would else have the whole fleet emptied and returned.
func (c *clusterState) updateCordon(m *machine) {
	n := 0
	for id, at := range m.failedJobs {
		if job := c.jobs[id]; job == nil || c.now.Sub(at) > jobAvoidance {
			delete(m.failedJobs, id)
		} else if !job.failsEverywhere() {
			n++
		}
	}
	if sick := n >= 2; sick != m.cordoned {
		m.cordoned, m.cordonedAt = sick, c.now
		c.log.Info("machine fails tasks of several jobs", "machine", m.name, "sick", sick)
	}
}

// avoidsJob tells whether a machine gets none of a job just now.
func (c *clusterState) avoidsJob(m *machine, j *job) bool {
	at, ok := m.failedJobs[j.id]
	return ok && c.now.Sub(at) < jobAvoidance
}

// endAttempt notes the proven end of an attempt; the record is rewritten in step.
func (c *clusterState) endAttempt(group *taskGroup, bound *binding, o attemptEnd) {
	t := group.task(bound.task)
	if old, ok := c.attemptEnds[t]; ok && old.attempt == bound.attempt {
		return
	}
	c.attemptEnds[t] = o
	group.hasUnstoredEnds = true
	if o.done {
		c.metrics.count(countDone, 1)
	} else {
		c.metrics.count(countLost, 1)
	}
	c.log.Debug("attempt over", "task", taskName(group.job.id, bound.task), "attempt", bound.attempt, "machine", bound.machine.name, "done", o.done)
	p := c.partitions[bound.machine.partition]
	if p.index != group.partition {
		if p.foreignGroups == nil {
			p.foreignGroups = map[*taskGroup]bool{}
		}
		p.foreignGroups[group] = true
	}
	p.countFreedCell(c.now)
	c.freeCell(p, t)
	c.requestPass()
}

// endAllAttempts ends every attempt on a machine that is gone or whose lease is over.
func (c *clusterState) endAllAttempts(m *machine, why string) {
	p := c.partitions[m.partition]
	if p.token == 0 {
		return
	}
	before := len(c.attemptEnds)
	for _, x := range m.bindings {
		t, group := x.task, x.group
		if bound := group.binding(t.Number); bound != nil && bound.machine == m {
			c.endAttempt(group, bound, attemptEnd{attempt: bound.attempt})
		}
	}
	if n := len(c.attemptEnds) - before; n > 0 {
		c.log.Info("tasks of a machine are lost", "machine", m.name, "tasks", n, "why", why)
	}
	for t, a := range p.reservations {
		if a.machine == m && !c.groups[t.Group].writing {
			delete(p.reservations, t)
			c.freeCell(p, t)
		}
	}
	p.cells.RemoveMachine(m.index)
}

// shouldStop tells whether a bound task should not be there.
func (c *clusterState) shouldStop(group *taskGroup, t scheduling.Task, m *machine, p *partition) bool {
	if group.job.spec != nil && group.job.spec.Gang {
		return c.gangMustStop(group.job)
	}
	return group.job.finalState != record.Unfinished || c.mustPreempt(group, t, m, p)
}

// stopDecider asks shouldStop for the tasks of one machine, and once for all those of a gang:
// whether a gang stops is known only from all of its tasks, of which there may be thousands.
type stopDecider struct {
	b     *clusterState
	gang  *job
	stops bool
}

func (c *stopDecider) shouldStop(group *taskGroup, t scheduling.Task, m *machine, p *partition) bool {
	if group.job.spec == nil || !group.job.spec.Gang {
		return c.b.shouldStop(group, t, m, p)
	}
	if c.gang != group.job {
		c.gang, c.stops = group.job, c.b.shouldStop(group, t, m, p)
	}
	return c.stops
}

// mustPreempt tells whether a task has to leave its machine.
func (c *clusterState) mustPreempt(group *taskGroup, t scheduling.Task, m *machine, p *partition) bool {
	if cell := p.cells.CellOf(t); cell != nil && cell.State == scheduling.Reserving || group.exceedsThrottle(t.Number) {
		return true
	}
	if loan := c.loans[m.name]; loan != nil && !loan.Acknowledged && loan.claim(c).CanPreempt(group.claim()) {
		return true
	}
	// A task that can save is stopped before its machine is taken.
	return !m.terminationAt.IsZero() && group.job.spec != nil && group.job.spec.CheckpointS > 0 || m.cordoned
}

// commands are what a machine should do, by its newest report.
func (c *clusterState) commands(m *machine, p *partition) []wire.Command {
	var stops, starts []wire.Command
	var there []string // tasks with an attempt that can't be reaped yet
	shown := make(shownTasks, 0, len(m.tasks))
	open := m.unansweredStartToken == p.token || m.directCarriesStart || m.startInResponse
	stop := stopDecider{b: c}
	for i := range m.tasks {
		t := &m.tasks[i]
		job, group, bound := c.lookup(t.Task)
		if bound == nil && job != nil && job.hasUnreadableRecords() && job.finalState == record.Unfinished {
			continue // it may well be bound there, in the record that can't be decoded
		}
		if bound == nil || bound.machine != m || bound.attempt != t.Attempt || bound.incarnation != m.incarnation {
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
		shown.add(group.task(bound.task))
		if t.State == wire.Exited || !stop.shouldStop(group, group.task(bound.task), m, p) {
			continue
		}
		grace := c.stopGraceS(group.job)
		if t.State != wire.Saving || grace == 0 {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	// Nothing starts on the strength of an old read: from the moment a user is told
	// "cancelled", by whomever, no task of the job may. Reports are answered for longer
	// than that (MaxStaleness), so that what runs goes on.
	if len(shown) == len(m.bindings) || !c.isFresh(c.operator.LeaseTTL) {
		return stops
	}
	for _, x := range m.bindings {
		t, group := x.task, x.group
		bound := group.binding(t.Number)
		if bound == nil || shown.has(t) || bound.incarnation != m.incarnation || stop.shouldStop(group, t, m, p) {
			continue
		}
		if o, ok := c.attemptEnds[t]; ok && o.attempt == bound.attempt {
			continue
		}
		if spec := group.job.spec; spec != nil && spec.Gang && !group.job.gangBound() {
			continue
		}
		if name := taskName(group.job.id, t.Number); !slices.Contains(there, name) { // it would be refused
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: name, Attempt: bound.attempt})
		}
	}
	return append(stops, starts...)
}

// sendCommandsNow sends a machine's commands at once, without waiting for its report.
func (c *partitionOwner) sendCommandsNow(m *machine) {
	p := c.partitions[m.partition]
	if p.token == 0 || !p.active || m.terminated || m.addr == "" || !m.heartbeatAt.After(p.ownedSince) {
		return
	}
	if m.directInFlight {
		m.directAgain = true
		return
	}
	if c.now.Before(m.directBackoffUntil) || !c.isFresh(c.maxStaleness) {
		return
	}
	if c.directsInFlight >= c.maxDirects {
		c.queueDirect(m)
		return
	}
	if cmds := c.commands(m, p); len(cmds) > 0 {
		c.sendDirect(m, p, cmds)
	}
}

// queueDirect has a machine wait for its turn: so many direct commands are open that
// more would take the sockets of workers and users, since each to a machine that
// is silent holds one until it times out.
func (c *partitionOwner) queueDirect(m *machine) {
	if !m.directQueued {
		m.directQueued = true
		c.directQueue = append(c.directQueue, m)
	}
}

// sendQueuedDirect gives those that wait for direct commands their turn.
func (c *partitionOwner) sendQueuedDirect() {
	for n := len(c.directQueue); n > 0 && c.directsInFlight < c.maxDirects; n-- {
		m := c.directQueue[0]
		c.directQueue = c.directQueue[1:]
		m.directQueued = false
		if ping := m.pingQueued; ping {
			m.pingQueued = false
			if p := c.partitions[m.partition]; p.token != 0 && !m.terminated {
				c.ping(m, p)
			}
			continue
		}
		c.sendCommandsNow(m)
	}
}

// ping tells a machine our token, whether it has something to do or not.
func (c *partitionOwner) ping(m *machine, p *partition) {
	if m.directInFlight || c.now.Before(m.directBackoffUntil) || m.incarnation == 0 || m.addr == "" || !c.isFresh(c.maxStaleness) {
		return
	}
	if c.directsInFlight >= c.maxDirects/2 { // the rest is for commands
		m.pingQueued = true
		c.queueDirect(m)
		return
	}
	c.sendDirect(m, p, nil)
}

func (c *partitionOwner) sendDirect(m *machine, p *partition, cmds []wire.Command) {
	m.directInFlight, m.directAgain, m.pingQueued = true, false, false
	c.directsInFlight++
	for _, command := range cmds {
		if command.Op == wire.OpStart {
			m.directCarriesStart = true
		}
	}
	term, addr := p.token, m.addr
	d := &wire.CommandRequest{Token: term, Incarnation: m.incarnation, Commands: cmds}
	// Counted from the decision, not from when it is sent: a process that stood
	// still in between has no right to send it any more.
	limit := workerclient.Timeout
	if len(cmds) == 0 {
		limit = workerclient.PingTimeout
	}
	begun := c.now
	ctx, cancel := context.WithDeadline(c.ctx, begun.Add(limit))
	go func() {
		defer cancel()
		heartbeat, ok, err := c.workerClient.Send(ctx, addr, d)
		c.enqueue(priorityWorkers, func() {
			c.directsInFlight--
			defer c.sendQueuedDirect()
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
				if !c.laggedSince(begun) {
					m.unanswered++
				}
				if m.unanswered >= unansweredLimit {
					m.directBackoffUntil = c.now.Add(3 * time.Second)
				}
				c.log.Debug("direct command unanswered", "machine", m.name, "err", err)
				return
			}
			if heartbeat.Machine != m.name {
				return
			}
			if p.token != 0 && heartbeat.Token <= p.token {
				c.applyHeartbeat(m, heartbeat, p, false)
			}
			if m.directAgain || !ok {
				m.directAgain = false
				c.sendCommandsNow(m)
			}
		})
	}()
}
