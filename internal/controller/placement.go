package controller

import (
	"cmp"
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerclient"
)

// partitionOwner places tasks on the machines of the partitions that this controller owns,
// and sends commands to them.
type partitionOwner struct {
	*clusterState
	workerClient *workerclient.Client
	// directsInFlight direct commands are under way, of maxDirects at most; directQueue
	// are the machines that wait for one.
	directsInFlight, maxDirects int
	directQueue                 []*machine
}

// requestPass has the decisions taken soon: events in a burst share one pass.
func (c *clusterState) requestPass() { c.passDue = true }

// schedulePartitions takes the decisions of all parts that are ours.
func (c *partitionOwner) schedulePartitions() {
	defer c.metrics.addBusyTime(activityPartitions, time.Now())
	for _, p := range c.partitions {
		if p.active && c.isFresh(c.operator.LeaseTTL) {
			c.schedulePartition(p)
		}
	}
}

// schedulePartition lets the pending tasks of a part claim cells, highest claims first,
// and stores what changed: ended attempts and new bindings.
func (c *partitionOwner) schedulePartition(p *partition) {
	p.removeMachines(func(m *machine) bool { return m.terminated && len(m.bindings) == 0 })
	for _, m := range p.machines {
		if len(m.bindings) > 0 && (m.terminated || c.leaseExpired(m, p)) {
			c.endAllAttempts(m, "its lease is over")
		}
	}
	c.schedulingPass++
	byUrgency := c.byUrgency()
	// Most records have nothing to do: all their tasks run.
	var mine []*taskGroup
	for _, group := range p.groups {
		if group.job.spec != nil && (group.hasUnstoredEnds || group.size > c.maxValueBytes() || group.job.finalState == record.Unfinished && group.boundCount < len(group.bindings)) {
			mine = append(mine, group)
		}
	}
	slices.SortFunc(mine, func(first, second *taskGroup) int {
		cx, cy := first.claim(), second.claim()
		return cmp.Or(cmp.Compare(cy.Priority, cx.Priority), compareBool(cy.Guaranteed, cx.Guaranteed), byUrgency(first.job, second.job), cmp.Compare(first.number, second.number))
	})
	full := map[placementClass]bool{}
	p.unplaced = 0
	for _, group := range mine {
		if !group.writing && group.job.finalState == record.Unfinished && !c.now.Before(group.job.retryAt) {
			c.placeGroup(p, group, full)
		}
	}
	for _, group := range mine {
		if !group.writing {
			c.storeGroup(p, group)
		}
	}
	for group := range p.foreignGroups {
		if c.groups[group.index] != group || !group.hasUnstoredEnds || group.partition == p.index {
			delete(p.foreignGroups, group)
		} else if !group.writing && group.job.spec != nil {
			c.storeGroup(p, group)
		}
	}
	c.rewriteGroups(p)
	c.stopGangs(p)
	c.acknowledgeLoans(p)
	if p.tokenRaiseDue {
		c.raiseToken(p)
	}
}

// placementClass is what decides where tasks may be placed: where there is no room for one,
// there is none for all others of the same shape.
type placementClass struct {
	equivalenceClass, zone string
	claim                  scheduling.Claim
	noPreemption           bool
}

// jobOrder is what a job's place among others depends on.
func (c *clusterState) jobOrder(j *job) *planning.JobOrder {
	_, finished := j.assignedTasks()
	return &planning.JobOrder{AllOrNothing: j.spec.AllOrNothing(), NoDeadline: j.spec.NoDeadline, Started: j.hasStarted(), OverdueTurn: planning.IsOverdueTurn(c.now.Unix()),
		AgeS: c.now.Sub(j.acceptedAt).Seconds(), EstimateS: j.spec.EstimateS, DeadlineS: j.spec.DeadlineS, ObjectiveS: c.objectiveSeconds[j.spec.Class],
		RemainingWork: float64(j.spec.Tasks-finished) * j.spec.EstimateS * j.spec.CPUs}
}

// arrivalBucketS is within how many seconds jobs count as coming at the same time.
const arrivalBucketS = 10

// byUrgency compares jobs by priority and urgency, each looked at once.
func (c *clusterState) byUrgency() func(x, y *job) int {
	known := map[*job]planning.Urgency{}
	of := func(j *job) planning.Urgency {
		u, ok := known[j]
		if !ok {
			u = c.jobOrder(j).Urgency()
			known[j] = u
		}
		return u
	}
	return func(x, y *job) int {
		// Of those that come at about the same time the ones with one image go
		// together: a machine that comes up fetches one for all that it takes.
		return cmp.Or(cmp.Compare(y.spec.Priority, x.spec.Priority), of(x).Compare(of(y)), cmp.Compare(x.acceptedAt.Unix()/arrivalBucketS, y.acceptedAt.Unix()/arrivalBucketS),
			cmp.Compare(x.spec.Image, y.spec.Image), x.acceptedAt.Compare(y.acceptedAt), cmp.Compare(x.id, y.id))
	}
}

func compareBool(x, y bool) int {
	if x == y {
		return 0
	}
	if x {
		return 1
	}
	return -1
}

// placeGroup asks for cells for a record's pending tasks: all of a service's first
// start together, everything else one by one. Tasks of one shape are alike, so
// the first that finds no room speaks for all behind it; full is what has found
// none in this step.
func (c *partitionOwner) placeGroup(p *partition, group *taskGroup, full map[placementClass]bool) {
	pending, busy, started := c.unplacedTasks(p, group)
	if over := len(pending) - max(0, group.allowedTasks()-(len(group.bindings)-len(pending))); over > 0 {
		pending = pending[:len(pending)-over]
	}
	if len(pending) == 0 {
		return
	}
	spec := group.job.spec
	if spec.Gang || spec.Service && !started {
		// All records of the job in this part are one group.
		for _, other := range group.job.groups {
			if other == group || other.partition != p.index {
				continue
			}
			if other.number < group.number {
				return // asked for with the first record
			}
			more, otherBusy, otherStarted := c.unplacedTasks(p, other)
			pending, busy, started = append(pending, more...), busy || otherBusy, started || otherStarted
		}
	}
	score := c.scorer(p, group)
	// An array's tasks wait a little before they stop others: cells come
	// free all the time, and what is stopped has run for nothing.
	s := placementClass{group.job.equivalenceClass, group.zone, group.claim(), !spec.AllOrNothing() && c.now.Sub(group.inPartitionSince) < c.operator.EvictAfter}
	// Where tasks end all the time, those at the head of the queue have a free cell
	// before long; only what is behind them stops others, until all have waited.
	patient := !spec.AllOrNothing() && c.now.Sub(group.inPartitionSince) < evictionPatience*c.operator.EvictAfter
	request := func(tasks ...scheduling.Task) bool {
		if patient && !s.noPreemption {
			s.noPreemption = p.unplaced < p.freedCellsWithin(c.now, c.operator.EvictAfter)
			defer func() { s.noPreemption = false }()
		}
		// Machines that failed a job are barred to it alone.
		alike := len(tasks) == 1 && len(group.job.failedOn) == 0
		if alike && full[s] {
			p.unplaced++
			return false
		}
		g := &scheduling.Group{Tasks: tasks, TaskSize: group.job.taskSize, Claim: s.claim, NoPreemption: s.noPreemption}
		p.cells.Request(g, score)
		switch g.State {
		case scheduling.Allocated:
			c.reserveCells(p, g)
		case scheduling.Preempting:
			c.metrics.count(countPreempting, g.Victims())
			c.log.Debug("group preempts", "job", group.job.id, "tasks", len(tasks))
			for _, mi := range g.Machines {
				c.sendCommandsNow(c.machineByIndex[mi])
			}
		case scheduling.Pending:
			full[s] = full[s] || alike
			p.unplaced++
		}
		return g.State != scheduling.Pending
	}
	if spec.Gang {
		c.placeGang(p, group, pending, request)
		return
	}
	if spec.Service && !started {
		request(pending...)
		return
	}
	for i, t := range pending {
		if !request(t) && (!patient || s.noPreemption || i >= p.freedCellsWithin(c.now, c.operator.EvictAfter)) {
			return
		}
	}
}

// evictionPatience is how many times evict-after a task at the head of the queue waits.
const evictionPatience = 2

// freedCellsWindow is the time over which a part's ends are counted.
const freedCellsWindow = 5 * time.Second

// countFreedCell counts a cell that came free.
func (p *partition) countFreedCell(now time.Time) {
	if now.Sub(p.freedCellsSince) > freedCellsWindow {
		p.freedCellsBefore, p.freedCells = p.freedCells, 0
		if now.Sub(p.freedCellsSince) > 2*freedCellsWindow {
			p.freedCellsBefore = 0
		}
		p.freedCellsSince = now
	}
	p.freedCells++
}

// freedCellsWithin is about how many cells come free in d.
func (p *partition) freedCellsWithin(now time.Time, d time.Duration) int {
	if now.Sub(p.freedCellsSince) > 2*freedCellsWindow {
		return 0
	}
	return int(int64(p.freedCellsBefore) * int64(d) / int64(freedCellsWindow))
}

// unplacedTasks lists a record's tasks that neither are nor claim to be anywhere;
// busy: others do; started: some have run before.
func (c *clusterState) unplacedTasks(p *partition, group *taskGroup) (out []scheduling.Task, busy, started bool) {
	for i := range group.bindings {
		bound := &group.bindings[i]
		t := group.task(bound.task)
		started = started || bound.attempt > 0
		there := bound.machine != nil
		if o, ok := c.attemptEnds[t]; there && ok && o.attempt == bound.attempt && !o.done && !group.job.spec.Gang {
			// Proven gone: its end and its next cell are stored together. Stored one
			// after the other, they had the replicas of some hundred dead machines
			// wait twice for the state service.
			there = false
		}
		if _, ok := p.reservations[t]; ok || there || p.cells.PreemptingGroup(t) != nil {
			busy = true
			continue
		}
		out = append(out, t)
	}
	return out, busy, started
}

// scorer rates machines for a record's tasks; negative: not allowed.
func (c *clusterState) scorer(p *partition, group *taskGroup) scheduling.ScoreFunc {
	spec := group.job.spec
	return func(mi scheduling.MachineIndex, free scheduling.Resources) float64 {
		m := c.machineByIndex[mi]
		if !c.schedulable(m, p) || !allowed(spec, group.zone, m.machineType, m.zone, m.spot) || len(m.failedJobs) > 0 && c.avoidsJob(m, group.job) {
			return -1
		}
		s := 1000.0 + c.fetchCost(m, spec)
		if m.spot {
			s -= 500 // what is dear is left to those who need it
		}
		if c.runsService(m) {
			s -= 150 // it stays anyhow
		}
		// Tight packing leaves whole machines free to be returned.
		return s + float64(min(free.CPU, 100_000))/1000
	}
}

// What a machine scores for an image that is there, and what it costs for each
// second that a fetch takes. Users notice those of a service.
const (
	cachedImageScore  = -400
	serviceFetchScore = 10
	arrayFetchScore   = 3
	maxFetchScore     = 600
	fetchTimeout      = time.Minute // a fetch that nobody waits for is given up
)

// fetchCost is what the fetch of a job's image adds to a machine's score. Images
// that are fetched at a time may share a machine's rate, so some hundred services
// that come together start far later if each machine takes one of every image.
func (c *clusterState) fetchCost(m *machine, spec *wire.Job) float64 {
	if m.images[spec.Image] {
		return cachedImageScore
	}
	t := c.machineTypes[m.machineType]
	if t == nil || !(t.FetchGBPS > 0) {
		return 0
	}
	others, part := 0, 1.0
	for image, at := range m.fetching {
		switch {
		case c.now.Sub(at) > fetchTimeout:
			delete(m.fetching, image)
		case image == spec.Image:
			part = 0.5 // some of it is there
		default:
			others++
		}
	}
	each := arrayFetchScore
	if spec.AllOrNothing() {
		each = serviceFetchScore
	}
	return min(float64(each)*part*spec.ImageGB*float64(1+others)/t.FetchGBPS, maxFetchScore)
}

// schedulable tells whether anything may be placed on a machine now. It is looked up
// once in a step, not for each task.
func (c *clusterState) schedulable(m *machine, p *partition) bool {
	if m.schedulableStep != c.schedulingPass {
		m.schedulableStep = c.schedulingPass
		m.schedulable = c.usable(m, p) && m.terminationAt.IsZero() && !m.cordoned && !c.now.Before(m.avoidUntil) &&
			(!c.draining[m.name] || p.index == c.loanPartition()) && !c.terminating[m.name] && (c.loans[m.name] == nil || p.index == c.loanPartition() && !c.loans[m.name].returning)
	}
	return m.schedulable
}

// runsService tells whether a service is bound to a machine, see planning.MachineSummary. It is
// looked up once in a step.
func (c *clusterState) runsService(m *machine) bool {
	if m.runsServiceStep != c.schedulingPass {
		m.runsServiceStep, m.runsService = c.schedulingPass, false
		for _, x := range m.bindings {
			group := x.group
			if group.job.spec != nil && group.job.spec.AllOrNothing() {
				m.runsService = true
				break
			}
		}
	}
	return m.runsService
}

// allowed tells whether a job's task may be on a machine at all.
func allowed(spec *wire.Job, pinned, typ, zone string, spot bool) bool {
	return (pinned == "" || pinned == zone) && spec.Allows(typ, zone, spot)
}

// probeUnreachable asks machines directly that have not reported in time, or seem not
// to hear us.
func (c *partitionOwner) probeUnreachable() {
	for _, p := range c.partitions {
		if !p.active {
			continue
		}
		all, deaf := 0, 0
		for _, m := range p.machines {
			if m.terminated || !c.expectsHeartbeat(m, 3*time.Minute) {
				continue
			}
			all++
			if m.leaseExpiredUnheard || m.unanswered >= unansweredLimit {
				deaf++
			}
			if m.leaseExpiredUnheard || m.unanswered > 0 || c.now.Sub(c.heardSince(m, p)) > c.heartbeatOverdueAfter() {
				c.ping(m, p)
			}
		}
		p.mostNotReceiving = deaf*2 > all
	}
}
