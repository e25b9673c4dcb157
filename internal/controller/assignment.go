package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

func (c *clusterState) quotas() []planning.Quota {
	out := make([]planning.Quota, len(c.teamIndex))
	for i := range c.cfg.Settings.Teams {
		t := &c.cfg.Settings.Teams[i]
		out[c.team(t.Name)] = planning.Quota{Guaranteed: scheduling.NewResources(t.CPUs, t.GPUs, 0), Limit: scheduling.NewResources(t.CPUsMax, t.GPUsMax, 0)}
	}
	for group := range c.allGroups() {
		if group.job.spec == nil {
			continue
		}
		// A dealt task counts for its team's limit whether it runs or not; one
		// of a cancelled job until it is proven gone.
		n := group.quotaTasks(c.replica.Cursor())
		l := &out[group.job.team]
		use := group.job.taskSize.Times(n)
		l.Used = l.Used.Plus(use)
		if group.guaranteed {
			l.GuaranteedUsed = l.GuaranteedUsed.Plus(use)
		}
	}
	// A gang that is dealt in several transactions counts whole from the first on: it
	// can't be begun without the rest.
	for _, job := range c.unfinished {
		if job.finalState != record.Unfinished || job.spec == nil {
			continue
		}
		// What a record that can't be decoded binds may run: it counts until it is known.
		if job.hasUnreadableRecords() {
			dealt, _ := job.assignedTasks()
			l := &out[job.team]
			l.Used = l.Used.Plus(job.taskSize.Times(min(job.spec.Tasks-dealt, len(job.unreadable)*maxGroupBindings)))
		}
		if !job.spec.Gang {
			continue
		}
		if dealt, _ := job.assignedTasks(); dealt > 0 && dealt < job.spec.Tasks {
			l, use := &out[job.team], job.taskSize.Times(job.spec.Tasks-dealt)
			l.Used = l.Used.Plus(use)
			if job.firstGroup().guaranteed {
				l.GuaranteedUsed = l.GuaranteedUsed.Plus(use)
			}
		}
	}
	return out
}

// assign gives waiting tasks to parts that have room for them, highest claims
// first, and returns what found none.
func (c *leader) assign(summaries []*planning.MachineSummary) []planning.Demand {
	byUrgency := c.byUrgency()
	wants, lost := c.placeAssigned(summaries, byUrgency)
	var jobs []*job
	for _, j := range c.unfinished {
		if j.finalState == record.Unfinished && j.spec != nil && j.revision != 0 && !j.hasUnreadableRecords() && j.hasWaitingTasks() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, byUrgency)
	limits := c.quotas()
	noRoom := map[string]bool{}
	alike := map[string]int{}                // where in wants the services of a kind are
	short := map[scheduling.TeamIndex]bool{} // teams in which somebody waits for the limit
	c.leadership.assignAhead = c.assignAhead(lost)
	places := map[string]bool{} // whether jobs of a kind find any room at all
	placeable := func(j *job) bool {
		kind := j.equivalenceClass
		if j.spec.SingleZone {
			kind += "/" + c.zoneOfJob(j)
		}
		ok, known := places[kind]
		if !known {
			ok = c.placeable(summaries, j)
			places[kind] = ok
		}
		return ok
	}
	for _, j := range jobs {
		// While somebody more urgent waits within the team's limit, nothing that
		// stood back comes forward: it would be stopped and started for ever.
		if !short[j.team] {
			c.unthrottle(j, &limits[j.team])
		}
		dealt, _ := j.assignedTasks()
		if j.spec.Gang && dealt > 0 && dealt < j.spec.Tasks {
			c.assignRemainder(j, dealt)
			continue
		}
		if c.now.Sub(j.assignedAt) < arrayAssignInterval && !j.spec.AllOrNothing() {
			if left := j.spec.Tasks - dealt; left > 0 {
				n := limits[j.team].Room(j.taskSize, left)
				short[j.team] = short[j.team] || n < left && placeable(j)
				wants = append(wants, c.demand(j, "", n))
			}
			continue
		}
		if left := j.spec.Tasks - dealt; left > 0 {
			must := c.jobOrder(j).ForcedTasks(j.unplacedTasks())
			if must > 0 {
				left = min(left, must)
			}
			if noRoom[j.equivalenceClass] && !j.spec.AllOrNothing() && must == 0 {
				// Jobs alike are decided as a class: where one found no room,
				// none behind it will.
				n := limits[j.team].Room(j.taskSize, left)
				wants = append(wants, c.demand(j, "", n))
				continue
			}
			if at, ok := alike[j.equivalenceClass]; ok && j.spec.Tasks == 1 && limits[j.team].Room(j.taskSize, 1) == 1 {
				// The same for services of one replica, that are many after a loss.
				limits[j.team].Used = limits[j.team].Used.Plus(j.taskSize)
				wants[at].Groups++
				continue
			}
			before := limits[j.team].Used
			if limits[j.team].Room(j.taskSize, left) < left && placeable(j) {
				short[j.team] = true
				c.throttleTeam(j, limits[j.team].Shortfall(j.taskSize.Times(left)))
			}
			w := c.assignJob(summaries, limits, j, assignmentRequest{dealt, left, must > 0})
			if w.Count > 0 {
				if j.spec.AllOrNothing() && j.spec.Tasks == 1 && !c.hasLoanFor(j) {
					alike[j.equivalenceClass], w.Groups = len(wants), 1
				}
				wants = append(wants, w)
				noRoom[j.equivalenceClass] = true
			}
			if j.spec.AllOrNothing() && limits[j.team].Used == before && (c.now.Sub(j.acceptedAt) < quotaHoldTime || placeable(j)) {
				// What a group waits for is not for those behind it, unless no machine
				// has come for it in good time: none may ever.
				limits[j.team].Used = before.Plus(j.taskSize.Times(left))
			}
		}
	}
	return wants
}

// quotaHoldTime is how long a group for which there is no machine holds back its team's
// limit for one that may come.
const quotaHoldTime = 45 * time.Second

// placeable tells whether there is a machine on which a task of a job finds room, or may
// make some. Where there is none, nothing of its team is held back or stopped for it: the
// room that came of that went to others, who were stopped for it in turn, several times a
// second.
func (c *leader) placeable(summaries []*planning.MachineSummary, j *job) bool {
	zone := ""
	if j.spec.SingleZone {
		zone = c.zoneOfJob(j)
	}
	can := func(summary *planning.MachineSummary) bool {
		return !summary.Booting && c.reserveAllows(j, summary) && allowed(j.spec, zone, summary.Type, summary.Zone, summary.Spot)
	}
	for _, summary := range summaries {
		if can(summary) && summary.Free.Contains(j.taskSize) {
			return true
		}
	}
	return planning.PlaceByPreemption(planning.CloneSummaries(summaries), can, j.taskSize, scheduling.Claim{Priority: j.spec.Priority, Team: j.team}) != nil
}

// placeAssigned has the tasks that are dealt and not placed yet take the room in
// their parts, and moves those that find none to parts that have it. It returns
// what found none anywhere, and how much of each record that is.
func (c *leader) placeAssigned(summaries []*planning.MachineSummary, byUrgency func(x, y *job) int) (wants []planning.Demand, lost map[*taskGroup]int) {
	var groups, stuck []*taskGroup
	for group := range c.allGroups() {
		if group.job.finalState == record.Unfinished && group.job.spec != nil && group.job.revision != 0 && group.allowedTasks() > group.boundTasks() {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(first, second *taskGroup) int {
		return cmp.Or(byUrgency(first.job, second.job), cmp.Compare(first.number, second.number))
	})
	lost = map[*taskGroup]int{}
	// Room only gets less here, so where one of a class has found none, none
	// behind it will.
	type class struct {
		sig, zone string
		part      int
		claim     scheduling.Claim
	}
	full := map[class]bool{}
	for _, group := range groups {
		spec := group.job.spec
		n := group.allowedTasks() - group.boundTasks()
		kind := class{group.job.equivalenceClass, group.zone, group.partition, group.claim()}
		if !full[kind] {
			in := func(summary *planning.MachineSummary) bool {
				return summary.Partition == group.partition && !summary.Booting && allowed(spec, group.zone, summary.Type, summary.Zone, summary.Spot)
			}
			if spec.Gang && group.partition == c.loanPartition() && roomFor(summaries, in, group.job.taskSize, n) < n {
				// It gathers room there, but holds none for long that it can't use.
				any := in
				in = func(summary *planning.MachineSummary) bool { return any(summary) && !c.unusedForLong(summary) }
			}
			for _, k := range planning.PlaceInFreeRoom(summaries, in, group.job.taskSize, n) {
				n -= k
			}
			for n > 0 && spec.Priority > 0 && planning.PlaceByPreemption(summaries, in, group.job.taskSize, group.claim()) != nil {
				n--
			}
			full[kind] = n > 0
		}
		if n > 0 {
			stuck = append(stuck, group)
			lost[group] = n
		}
	}
	nowhere := map[class]bool{}
	for _, group := range stuck {
		n := lost[group]
		kind := class{group.job.equivalenceClass, group.zone, group.partition, group.claim()}
		if !group.writing && c.now.Sub(group.inPartitionSince) > time.Second && (group.job.spec.AllOrNothing() || !nowhere[kind]) {
			if c.moveUnplaced(summaries, group, n) {
				continue
			}
			nowhere[kind] = true
		}
		if c.moveToOtherZone(summaries, group) {
			continue
		}
		wants = append(wants, c.demand(group.job, group.zone, n))
	}
	return wants, lost
}

// roomFor is for how many of n tasks hosts have free room.
func roomFor(summaries []*planning.MachineSummary, in func(*planning.MachineSummary) bool, need scheduling.Resources, n int) int {
	room := 0
	for _, summary := range summaries {
		if in(summary) {
			room += summary.Free.CountFitting(need, n-room)
		}
	}
	return room
}

// slackS is the time until a job's deadline, or until it should be done all the same.
func (c *clusterState) slackS(j *job) float64 {
	if j.spec.NoDeadline {
		return math.Inf(1)
	}
	age := c.now.Sub(j.acceptedAt).Seconds()
	slack := j.spec.DeadlineS - age
	if slack < j.spec.EstimateS { // too late for that, and perhaps not for its class's aim
		slack = max(slack, c.objectiveSeconds[j.spec.Class]-age)
	}
	return slack
}

// demand is what a job's tasks that found no room ask of the fleet.
func (c *clusterState) demand(j *job, zone string, n int) planning.Demand {
	spec, o := j.spec, c.jobOrder(j)
	return planning.Demand{Class: spec.Class, TaskSize: j.taskSize, Count: n, AllOrNothing: spec.AllOrNothing(), EstimateS: spec.EstimateS, WindowS: o.WindowS(), SlackS: c.slackS(j),
		Allows: func(o planning.Offer) bool { return allowed(spec, zone, o.Type, o.Zone, o.Spot) }}
}

// arrayAssignInterval spaces the dealings of one array: it is dealt out in few records.
const arrayAssignInterval = time.Second

// turnaround is about how long a cell stays empty when its next task has not
// been dealt yet: the end is stored, the leader deals, the binding is stored.
func (c *clusterState) turnaround() time.Duration {
	return c.endsDelay() + 2*min(c.stateWriter.Backlog(), 5*time.Second) + time.Second
}

// assignAhead is how many tasks each part may be dealt beyond its free room, so
// that an ending task's cell is taken again without asking the leader.
func (c *clusterState) assignAhead(lost map[*taskGroup]int) []int {
	ahead := make([]float64, len(c.partitions))
	t := c.turnaround().Seconds()
	for group := range c.allGroups() {
		if group.job.spec != nil && !group.job.spec.AllOrNothing() {
			ahead[group.partition] += planning.AssignAhead(group.boundTasks(), group.job.spec.EstimateS, t)
		}
	}
	out := make([]int, len(c.partitions))
	for p := range out {
		out[p] = int(math.Ceil(ahead[p]))
	}
	for group, n := range lost {
		if group.partition >= 0 && group.partition < len(out) {
			out[group.partition] -= n
		}
	}
	return out
}

// assignmentRequest is what is asked of a dealing: so many tasks after those that are dealt, and
// whether they are dealt even where there is no room.
type assignmentRequest struct {
	assigned, remaining int
	forced              bool
}

// assignJob deals as many of a job's tasks as there is room for now.
func (c *leader) assignJob(summaries []*planning.MachineSummary, limits []planning.Quota, j *job, ask assignmentRequest) planning.Demand {
	dealt, left := ask.assigned, ask.remaining
	spec := j.spec
	lim := &limits[j.team]
	room := lim.Room(j.taskSize, left)
	if spec.AllOrNothing() && room < left {
		room = 0 // it is dealt whole
	}
	if room == 0 {
		return planning.Demand{}
	}
	own := lim.GuaranteedRoom(j.taskSize, room)
	if spec.Gang && own < room {
		own = 0 // one claim for all of it, and one record
	}
	claim := scheduling.Claim{Priority: spec.Priority, Guaranteed: own > 0, Team: j.team}
	var chunks []record.TaskGroup
	next := int32(dealt)
	add := func(part int, zone string, n int) {
		for n > 0 {
			k := min(n, c.maxGroupTasks)
			if own > 0 {
				k = min(k, own)
			}
			chunks = append(chunks, newTaskGroupRecord(part, zone, own > 0, next, k))
			own = max(0, own-k)
			next += int32(k)
			n -= k
		}
	}
	// Where a team's limit is short, what is dealt but can't run yet would hold
	// the limit against others of the team, and would have to be held back again.
	tight := lim.Room(j.taskSize, left+planning.MinTasksPerPartition*len(c.partitions)) < left+planning.MinTasksPerPartition*len(c.partitions)
	got := 0
	// What is kept for gangs is for more urgent work only if there is nothing else.
	zones := c.candidateZones(j, summaries)
	pooled := len(zones)
	if c.outranksReserve(j) {
		zones = slices.Concat(zones, zones)
	}
	for i, zone := range zones {
		n := room - got
		if spec.Spread {
			n = min(n, c.zoneSpreadRoom(j, zone, chunks))
		}
		if n <= 0 {
			continue
		}
		can := func(summary *planning.MachineSummary) bool {
			return !summary.Booting && (i >= pooled || c.reserveAllows(j, summary)) && allowed(spec, zone, summary.Type, summary.Zone, summary.Spot)
		}
		d := planning.Assignment{TaskSize: j.taskSize, Count: n, Claim: claim, Allowed: can, QuotaShort: tight, Forced: ask.forced}
		if spec.AllOrNothing() {
			// The whole group in one part, so that its cells are reserved
			// together; its part's owner evicts where there is no free room.
			part, ok := d.OnePartition(summaries, len(c.partitions))
			if !ok {
				if n > 1 && c.borrow(summaries, j, zone, n, claim) {
					return planning.Demand{}
				}
				continue
			}
			add(part, zone, n)
			got += n
			continue
		}
		perPart := d.PerPartition(summaries, c.leadership.assignAhead)
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
	if spec.Gang {
		// It counts whole, also if the rest of it is dealt later (assignRemainder).
		chunks = c.fitTransaction(chunks)
	} else if most := c.cfg.Settings.Store.TxnOps / 2; len(chunks) > most {
		for _, g := range chunks[most:] {
			got -= len(g.Tasks)
		}
		chunks = chunks[:most]
	}
	lim.Used = lim.Used.Plus(j.taskSize.Times(got))
	for _, g := range chunks {
		if g.Guaranteed {
			lim.GuaranteedUsed = lim.GuaranteedUsed.Plus(j.taskSize.Times(len(g.Tasks)))
		}
	}
	c.writeAssignment(j, chunks)
	zone := ""
	if spec.SingleZone {
		zone = c.zoneOfJob(j)
	}
	return c.demand(j, zone, room-got)
}

// newTaskGroupRecord is a record of tasks that are dealt for the first time.
func newTaskGroupRecord(part int, zone string, own bool, first int32, tasks int) record.TaskGroup {
	g := record.TaskGroup{Partition: part, Zone: zone, Guaranteed: own}
	for num := first; num < first+int32(tasks); num++ {
		g.Tasks = append(g.Tasks, record.Binding{Task: num})
	}
	return g
}

// fitTransaction is how much of a list of records one transaction can create.
func (c *clusterState) fitTransaction(chunks []record.TaskGroup) []record.TaskGroup {
	size := 0
	for i := range chunks {
		size += chunks[i].Encode(c.encoding()).Size() + recordOverhead
		if i > 0 && (i == c.cfg.Settings.Store.TxnOps || size > store.MaxTxnBytes) {
			return chunks[:i]
		}
	}
	return chunks
}

// recordOverhead is about what a record adds to a transaction besides its value: its key,
// twice, and the words round it.
const recordOverhead = 200

// assignRemainder deals the tasks of a gang that did not fit into the transactions before, to
// where those are. Which tasks are dealt is known by number alone, so there is one
// transaction at a time; a new leader goes on where the last one stopped.
func (c *leader) assignRemainder(j *job, dealt int) {
	first := j.firstGroup()
	var chunks []record.TaskGroup
	for next := dealt; next < j.spec.Tasks; next += c.maxGroupTasks {
		chunks = append(chunks, newTaskGroupRecord(first.partition, first.zone, first.guaranteed, int32(next), min(c.maxGroupTasks, j.spec.Tasks-next)))
	}
	c.writeAssignment(j, c.fitTransaction(chunks))
}

// writeAssignment stores the records of one dealing. All of them are written together or
// not at all: which tasks are dealt already is known by their number alone, so a gap,
// left by one write that failed, would have a later dealing hand out tasks twice.
func (c *leader) writeAssignment(j *job, chunks []record.TaskGroup) {
	if len(chunks) == 0 {
		return
	}
	write := &store.Write{Prompt: j.spec.Gang, Early: true, Conditions: []wire.Condition{c.leaderCondition(), {Key: jobKey(j.id), Revision: j.revision}}}
	empty := j.emptyGroups()
	var used []*taskGroup
	tasks := 0
	for _, g := range chunks {
		tasks += len(g.Tasks)
		key, stamp := "", uint64(0)
		if len(empty) > 0 {
			key, stamp, g.Done = empty[0].key, empty[0].revision, empty[0].done
			empty[0].writing = true
			used, empty = append(used, empty[0]), empty[1:]
		} else {
			key = groupKey(j.id, j.newGroupNumber())
		}
		write.Conditions = append(write.Conditions, wire.Condition{Key: key, Revision: stamp})
		write.Changes = append(write.Changes, wire.Change{Put: key, Value: g.Encode(c.encoding()).At(key)})
	}
	j.assignedAt = c.now
	c.leadership.writesInFlight++
	epoch := c.leadership.epoch
	c.SubmitWrite(write, func(err error) {
		for _, group := range used {
			group.writing = false
		}
		c.leaderWriteDone(epoch, err)
	})
	c.metrics.count(countAssigned, len(chunks))
	c.log.Debug("dealt", "job", j.id, "tasks", tasks, "records", len(chunks))
}

// emptyGroups are records whose tasks are all done. They are used again, so that a large
// array leaves few behind. None is deleted while its job lives: a dealing that is applied
// minutes late must not find its key absent once more.
func (j *job) emptyGroups() []*taskGroup {
	var empty []*taskGroup
	for _, group := range j.groups {
		if len(group.bindings) == 0 && !group.writing {
			empty = append(empty, group)
		}
	}
	slices.SortFunc(empty, func(first, second *taskGroup) int { return cmp.Compare(first.number, second.number) })
	return empty
}

// zoneOfJob is the zone that a samePlace job's tasks are in already, or are to be.
func (c *clusterState) zoneOfJob(j *job) string {
	for _, group := range j.groups {
		if group.zone != "" && len(group.bindings) > 0 {
			return group.zone
		}
	}
	return ""
}

// candidateZones lists the zones to try; "" stands for any.
func (c *clusterState) candidateZones(j *job, summaries []*planning.MachineSummary) []string {
	if !j.spec.SingleZone && !j.spec.Spread {
		return []string{""}
	}
	if z := c.zoneOfJob(j); z != "" && j.spec.SingleZone {
		return []string{z}
	}
	free := map[string]int{}
	for _, summary := range summaries {
		if allowed(j.spec, "", summary.Type, summary.Zone, summary.Spot) {
			free[summary.Zone] += summary.Free.CountFitting(j.taskSize, j.spec.Tasks)
		}
	}
	var zones []string
	for z := range free {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(x, y string) int { return cmp.Or(cmp.Compare(free[y], free[x]), cmp.Compare(x, y)) })
	if j.spec.SingleZone && len(zones) > 1 {
		return zones[:1]
	}
	return zones
}

// zoneSpreadRoom is how many more tasks may go to a zone: half of all, rounded up.
func (c *clusterState) zoneSpreadRoom(j *job, zone string, more []record.TaskGroup) int {
	n := (j.spec.Tasks + 1) / 2
	for _, group := range j.groups {
		if group.zone == zone {
			n -= len(group.bindings)
		}
	}
	for _, g := range more {
		if g.Zone == zone {
			n -= len(g.Tasks)
		}
	}
	return n
}
