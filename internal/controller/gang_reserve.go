package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// Gangs need room for all of their tasks in one part, and often in one zone, within
// seconds, among arrays that take every cell as it comes free and that a gang of their
// priority must not stop. So the leader keeps a few machines in its own part, by the
// lending that groups across parts have anyway: room for one gang of each class, as large
// as the largest of late. Only gangs are dealt there.

// reserveLoanJob stands for the pool where a lending names the job that it is for.
const reserveLoanJob = ""

const (
	// reserveClassTTL is how long a class of gangs is reckoned with after its last one.
	reserveClassTTL = 30 * time.Second
	// reserveLoanTimeout is how long a machine may take to come empty.
	reserveLoanTimeout = 40 * time.Second
	// reserveMinHold is how long one that has come is kept in any case.
	reserveMinHold = 10 * time.Second
	// reserveOpensAfter is how long others wait before they may use it all the same: nobody
	// should wait much longer beside a machine that has room.
	reserveOpensAfter = time.Minute
	// reserveMaxUnused is for how long room of it is kept that nothing uses: a third of the 90 s
	// that nobody may wait beside a machine with room, since gangs may gather room one
	// after the other. What is lent for one group is kept for longer, while that gathers.
	reserveMaxUnused = 30 * time.Second
	loanMaxUnused    = time.Minute
	// reserveMaxShare is the largest part of all machines that the pool may be.
	reserveMaxShare = 0.15
)

// gangReserve is what the leader keeps for gangs.
type gangReserve struct {
	classes map[string]*gangClass
	// shortfall is what it lacks, to be rented if nothing comes free.
	shortfall []planning.Demand
	keep      map[scheduling.MachineIndex]bool // machines of it that are wanted
}

// gangClass is the largest gang of a class of late.
type gangClass struct {
	spec *wire.Job
	need scheduling.Resources
	seen time.Time
	live int // gangs of it that there are now
}

// room is for how many tasks the pool should have room: the next gang, and as many more as
// may come before it is filled again, about the square root of those that there are.
func (class *gangClass) room() int {
	return class.spec.Tasks * (1 + int(math.Ceil(math.Sqrt(float64(class.live)))))
}

// mayUseReserve tells whether a job may be placed on machines that the leader has in its
// own part: those that are there for it, and gangs; others only after a long wait.
func (c *leader) mayUseReserve(j *job) bool {
	since := j.acceptedAt
	if j.assignedAt.After(since) {
		since = j.assignedAt
	}
	return j.spec.Gang || c.hasLoanFor(j) || c.now.Sub(since) > reserveOpensAfter && c.now.Sub(c.leadership.since) > reserveOpensAfter
}

// reserveAllows tells whether a job may be placed on a machine as far as that is kept for
// others: one of the leader's own part is, until its room has been unused for long.
// However long a job waits, it is dealt tasks now and then, and began to wait anew each time.
func (c *leader) reserveAllows(j *job, summary *planning.MachineSummary) bool {
	return summary.Partition != c.loanPartition() || c.mayUseReserve(j) || c.unusedForLong(summary)
}

// unusedForLong tells whether nothing has been placed for long on a machine of the
// leader's own part.
func (c *leader) unusedForLong(summary *planning.MachineSummary) bool {
	m := c.machineByIndex[summary.ID]
	limit := reserveMaxUnused
	if loan := c.loans[m.name]; loan != nil && loan.Job != reserveLoanJob {
		limit = loanMaxUnused
	}
	unused := c.leadership.since
	for _, at := range []time.Time{m.inPartitionSince, m.lastBoundAt} {
		if at.After(unused) {
			unused = at
		}
	}
	return c.now.Sub(unused) > limit
}

// outranksReserve tells whether a job goes before gangs.
func (c *leader) outranksReserve(j *job) bool {
	for _, class := range c.leadership.gangReserve.classes {
		if j.spec.Priority > class.spec.Priority {
			return true
		}
	}
	return false
}

// updateReserve notes which gangs there are, and which machines of the pool are wanted.
func (c *leader) updateReserve(summaries []*planning.MachineSummary) {
	reserve := &c.leadership.gangReserve
	if reserve.classes == nil {
		reserve.classes = map[string]*gangClass{}
	}
	for _, class := range reserve.classes {
		class.live = 0
	}
	for _, job := range c.unfinished {
		if job.spec == nil || !job.spec.Gang || job.finalState != record.Unfinished {
			continue
		}
		class := reserve.classes[job.spec.Class]
		if class == nil || class.spec.Tasks <= job.spec.Tasks {
			live := 0
			if class != nil {
				live = class.live
			}
			class = &gangClass{spec: job.spec, need: job.taskSize, live: live}
			reserve.classes[job.spec.Class] = class
		}
		class.seen = c.now
		class.live++
	}
	for name, class := range reserve.classes {
		if c.now.Sub(class.seen) > reserveClassTTL {
			delete(reserve.classes, name)
		}
	}
	reserve.keep = map[scheduling.MachineIndex]bool{}
	// Room for one gang of each class, machine by machine, the fullest first, so that
	// the others come free. Twice as much is kept as would be borrowed, or machines
	// would go to and fro.
	ours := slices.DeleteFunc(slices.Clone(summaries), func(summary *planning.MachineSummary) bool { return summary.Partition != c.loanPartition() })
	slices.SortFunc(ours, func(x, y *planning.MachineSummary) int {
		return cmp.Or(cmp.Compare(len(y.Usages), len(x.Usages)), cmp.Compare(x.ID, y.ID))
	})
	for _, class := range reserve.sorted() {
		n := 2 * class.room()
		for _, summary := range ours {
			if n <= 0 {
				break
			}
			if allowed(class.spec, "", summary.Type, summary.Zone, summary.Spot) {
				n -= summary.Free.CountFitting(class.need, n)
				reserve.keep[summary.ID] = true
			}
		}
	}
}

// sorted are the classes, the largest gangs first.
func (reserve *gangReserve) sorted() []*gangClass {
	var out []*gangClass
	for _, class := range reserve.classes {
		out = append(out, class)
	}
	slices.SortFunc(out, func(x, y *gangClass) int {
		return cmp.Or(cmp.Compare(y.spec.Tasks, x.spec.Tasks), cmp.Compare(x.spec.Class, y.spec.Class))
	})
	return out
}

// reserveKeeps tells whether a machine of the pool stays there.
func (c *leader) reserveKeeps(m *machine) bool {
	return len(m.bindings) > 0 || c.leadership.gangReserve.keep[m.index] || c.now.Sub(m.inPartitionSince) < reserveMinHold
}

// fillReserve borrows machines for the pool while it lacks room: empty ones, or such as
// will come empty soon.
func (c *leader) fillReserve(summaries []*planning.MachineSummary) {
	reserve := &c.leadership.gangReserve
	reserve.shortfall = nil
	if len(reserve.classes) == 0 {
		return
	}
	room := planning.CloneSummaries(summaries) // what is left of it after the classes before
	left := max(2, int(reserveMaxShare*float64(len(summaries)))) - len(c.loans)
	var chosen []*planning.MachineSummary
	for _, class := range reserve.sorted() {
		spec, zone := class.spec, c.reserveZone(room, class)
		fits := func(summary *planning.MachineSummary) bool {
			return !summary.Booting && allowed(spec, zone, summary.Type, summary.Zone, summary.Spot)
		}
		lacks := class.room() - reserveFreeRoom(room, class, func(summary *planning.MachineSummary) bool {
			return summary.Partition == c.loanPartition() && fits(summary)
		})
		empty, busy := c.incomingReserveRoom(class, zone)
		if lacks-empty <= 0 {
			continue
		}
		if n := lacks - empty - busy; n > 0 {
			reserve.shortfall = append(reserve.shortfall, planning.Demand{Class: spec.Class, TaskSize: class.need, Count: n, AllOrNothing: true, EstimateS: spec.EstimateS, SlackS: math.Inf(1),
				Allows: func(o planning.Offer) bool { return allowed(spec, zone, o.Type, o.Zone, o.Spot) }})
		}
		can := c.loanCandidates(room, fits)
		// Machines that are empty are had at once, whatever else will come empty some time:
		// arrays would fill them, and gangs wait for the others for most of a minute.
		free := pickMachines(can, class, lacks-empty, left, func(summary *planning.MachineSummary) bool { return len(summary.Usages) == 0 })
		left -= len(free)
		got := 0
		for _, summary := range free {
			got += summary.Size.CountFitting(class.need, spec.Tasks)
		}
		soon := pickMachines(can, class, lacks-empty-busy-got, left, func(summary *planning.MachineSummary) bool { return len(summary.Usages) > 0 })
		left -= len(soon)
		chosen = append(append(chosen, free...), soon...)
	}
	if len(chosen) == 0 {
		return
	}
	chosen = chosen[:min(len(chosen), c.cfg.Settings.Store.TxnOps/2)]
	c.log.Debug("machines are kept for gangs", "machines", len(chosen))
	c.borrowMachines(chosen, nil, record.MachineLoan{Job: reserveLoanJob})
}

// reserveFreeRoom takes free room for the tasks of a class's next gangs from hosts, and returns for
// how many there is.
func reserveFreeRoom(summaries []*planning.MachineSummary, class *gangClass, in func(*planning.MachineSummary) bool) int {
	got := 0
	for _, summary := range summaries {
		if in(summary) {
			k := summary.Free.CountFitting(class.need, class.room()-got)
			summary.Free = summary.Free.Minus(class.need.Times(k))
			got += k
		}
	}
	return got
}

// incomingReserveRoom is for how many tasks of a class there will be room on machines that are on
// their way to the pool: empty ones, and such as come empty some time.
func (c *machineRegistry) incomingReserveRoom(class *gangClass, zone string) (empty, busy int) {
	for name, loan := range c.loans {
		m := c.machineNamed(name)
		t := c.machineTypes[m.machineType]
		if loan.Job != reserveLoanJob || loan.Acknowledged || t == nil || !allowed(class.spec, zone, m.machineType, m.zone, m.spot) {
			continue
		}
		n := scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB).CountFitting(class.need, class.spec.Tasks)
		if len(m.bindings) == 0 {
			empty += n
		} else {
			busy += n
		}
	}
	return empty, busy
}

// loanCandidates are hosts of other parts that may be lent, the emptiest and largest first.
func (c *leader) loanCandidates(summaries []*planning.MachineSummary, fits func(*planning.MachineSummary) bool) []*planning.MachineSummary {
	var can []*planning.MachineSummary
	for _, summary := range summaries {
		if fits(summary) && summary.Partition != c.loanPartition() && !summary.InUse && !summary.RunsService && !c.autoscaler.DrainedByLeader(c.machineByIndex[summary.ID].name) {
			can = append(can, summary)
		}
	}
	slices.SortFunc(can, func(x, y *planning.MachineSummary) int {
		return cmp.Or(cmp.Compare(len(x.Usages), len(y.Usages)), cmp.Compare(y.Size.CPU, x.Size.CPU), cmp.Compare(x.ID, y.ID))
	})
	return can
}

// pickMachines picks, of hosts in their order, at most so many as have room for n tasks.
func pickMachines(summaries []*planning.MachineSummary, class *gangClass, n, most int, in func(*planning.MachineSummary) bool) []*planning.MachineSummary {
	var out []*planning.MachineSummary
	for _, summary := range summaries {
		if n <= 0 || len(out) >= most {
			break
		}
		if summary.InUse || !in(summary) {
			continue
		}
		n -= summary.Size.CountFitting(class.need, n)
		summary.InUse = true
		out = append(out, summary)
	}
	return out
}

// reserveZone is the zone in which the pool has the most room for a gang that must be in
// one; "" for any.
func (c *machineRegistry) reserveZone(summaries []*planning.MachineSummary, class *gangClass) string {
	if !class.spec.SingleZone {
		return ""
	}
	room, all := map[string]int{}, map[string]int{}
	for _, summary := range summaries {
		if summary.Booting || !allowed(class.spec, "", summary.Type, summary.Zone, summary.Spot) {
			continue
		}
		all[summary.Zone]++
		if summary.Partition == c.loanPartition() {
			room[summary.Zone] += summary.Free.CountFitting(class.need, class.spec.Tasks)
		}
	}
	best := ""
	for z := range all {
		if best == "" || room[z] > room[best] || room[z] == room[best] && (all[z] > all[best] || all[z] == all[best] && z < best) {
			best = z
		}
	}
	return best
}
