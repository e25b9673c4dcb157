package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"eiderhitch/internal/core"
	"eiderhitch/internal/record"
	"eiderhitch/internal/wire"
)

// Gangs need room for all of their tasks in one part, and often in one zone, within
// seconds, among arrays that take every cell as it comes free and that a gang of their
// priority must not stop. So the leader keeps a few machines in its own part, by the
// lending that groups across parts have anyway: room for one gang of each class, as large
// as the largest of late. Only gangs are dealt there.

// poolJob stands for the pool where a lending names the job that it is for.
const reserveLoanJob = ""

const (
	// poolForgets is how long a class of gangs is reckoned with after its last one.
	reserveClassTTL = 30 * time.Second
	// poolPatience is how long a machine may take to come empty.
	reserveLoanTimeout = 40 * time.Second
	// poolSettles is how long one that has come is kept in any case.
	reserveMinHold = 10 * time.Second
	// poolYields is how long others wait before they may use it all the same: nobody
	// should wait much longer beside a machine that has room.
	reserveOpensAfter = time.Minute
	// poolUnused is for how long room of it is kept that nothing uses: a third of the 90 s
	// that nobody may wait beside a machine with room, since gangs may gather room one
	// after the other. What is lent for one group is kept for longer, while that gathers.
	reserveMaxUnused = 30 * time.Second
	loanMaxUnused    = time.Minute
	// poolShare is the largest part of all machines that the pool may be.
	reserveMaxShare = 0.15
)

// pool is what the leader keeps for gangs.
type gangReserve struct {
	classes map[string]*gangClass
	// missing is what it lacks, to be rented if nothing comes free.
	shortfall []core.Demand
	keep      map[int32]bool // machines of it that are wanted
}

// gangClass is the largest gang of a class of late.
type gangClass struct {
	spec *wire.Job
	need core.Resources
	seen time.Time
	live int // gangs of it that there are now
}

// room is for how many tasks the pool should have room: the next gang, and as many more as
// may come before it is filled again, about the square root of those that there are.
func (c *gangClass) room() int {
	return c.spec.Tasks * (1 + int(math.Ceil(math.Sqrt(float64(c.live)))))
}

// mayUsePool tells whether a job may be placed on machines that the leader has in its
// own part: those that are there for it, and gangs; others only after a long wait.
func (b *controller) mayUseReserve(j *job) bool {
	since := j.acceptedAt
	if j.assignedAt.After(since) {
		since = j.assignedAt
	}
	return j.spec.Gang || b.hasLoanFor(j) || b.now.Sub(since) > reserveOpensAfter && b.now.Sub(b.leadership.since) > reserveOpensAfter
}

// poolOpen tells whether a job may be placed on a machine as far as that is kept for
// others: one of the leader's own part is, until its room has been unused for long.
// However long a job waits, it is dealt tasks now and then, and began to wait anew each time.
func (b *controller) reserveAllows(j *job, h *core.MachineSummary) bool {
	return h.Partition != b.loanPartition() || b.mayUseReserve(j) || b.unusedForLong(h)
}

// unusedForLong tells whether nothing has been placed for long on a machine of the
// leader's own part.
func (b *controller) unusedForLong(h *core.MachineSummary) bool {
	m := b.machineByIndex[h.ID]
	limit := reserveMaxUnused
	if l := b.loans[m.name]; l != nil && l.Job != reserveLoanJob {
		limit = loanMaxUnused
	}
	unused := b.leadership.since
	for _, at := range []time.Time{m.inPartitionSince, m.lastBoundAt} {
		if at.After(unused) {
			unused = at
		}
	}
	return b.now.Sub(unused) > limit
}

// outranksPool tells whether a job goes before gangs.
func (b *controller) outranksReserve(j *job) bool {
	for _, c := range b.leadership.gangReserve.classes {
		if j.spec.Priority > c.spec.Priority {
			return true
		}
	}
	return false
}

// notePool notes which gangs there are, and which machines of the pool are wanted.
func (b *controller) updateReserve(hosts []*core.MachineSummary) {
	p := &b.leadership.gangReserve
	if p.classes == nil {
		p.classes = map[string]*gangClass{}
	}
	for _, c := range p.classes {
		c.live = 0
	}
	for _, j := range b.unfinished {
		if j.spec == nil || !j.spec.Gang || j.finalState != unfinishedJob {
			continue
		}
		c := p.classes[j.spec.Class]
		if c == nil || c.spec.Tasks <= j.spec.Tasks {
			live := 0
			if c != nil {
				live = c.live
			}
			c = &gangClass{spec: j.spec, need: j.taskSize, live: live}
			p.classes[j.spec.Class] = c
		}
		c.seen = b.now
		c.live++
	}
	for name, c := range p.classes {
		if b.now.Sub(c.seen) > reserveClassTTL {
			delete(p.classes, name)
		}
	}
	p.keep = map[int32]bool{}
	// Room for one gang of each class, machine by machine, the fullest first, so that
	// the others come free. Twice as much is kept as would be borrowed, or machines
	// would go to and fro.
	ours := slices.DeleteFunc(slices.Clone(hosts), func(h *core.MachineSummary) bool { return h.Partition != b.loanPartition() })
	slices.SortFunc(ours, func(x, y *core.MachineSummary) int {
		return cmp.Or(cmp.Compare(len(y.Usages), len(x.Usages)), cmp.Compare(x.ID, y.ID))
	})
	for _, c := range p.sorted() {
		n := 2 * c.room()
		for _, h := range ours {
			if n <= 0 {
				break
			}
			if allowed(c.spec, "", h.Type, h.Zone, h.Spot) {
				n -= h.Free.CountFitting(c.need, n)
				p.keep[h.ID] = true
			}
		}
	}
}

// sorted are the classes, the largest gangs first.
func (p *gangReserve) sorted() []*gangClass {
	var out []*gangClass
	for _, c := range p.classes {
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y *gangClass) int {
		return cmp.Or(cmp.Compare(y.spec.Tasks, x.spec.Tasks), cmp.Compare(x.spec.Class, y.spec.Class))
	})
	return out
}

// poolKeeps tells whether a machine of the pool stays there.
func (b *controller) reserveKeeps(m *machine) bool {
	return len(m.bindings) > 0 || b.leadership.gangReserve.keep[m.index] || b.now.Sub(m.inPartitionSince) < reserveMinHold
}

// fillPool borrows machines for the pool while it lacks room: empty ones, or such as
// will come empty soon.
func (b *controller) fillReserve(hosts []*core.MachineSummary) {
	p := &b.leadership.gangReserve
	p.shortfall = nil
	if len(p.classes) == 0 {
		return
	}
	room := core.CloneSummaries(hosts) // what is left of it after the classes before
	left := max(2, int(reserveMaxShare*float64(len(hosts)))) - len(b.loans)
	var chosen []*core.MachineSummary
	for _, c := range p.sorted() {
		spec, zone := c.spec, b.reserveZone(room, c)
		fits := func(h *core.MachineSummary) bool {
			return !h.Booting && allowed(spec, zone, h.Type, h.Zone, h.Spot)
		}
		lacks := c.room() - reserveFreeRoom(room, c, func(h *core.MachineSummary) bool { return h.Partition == b.loanPartition() && fits(h) })
		empty, busy := b.incomingReserveRoom(c, zone)
		if lacks-empty <= 0 {
			continue
		}
		if n := lacks - empty - busy; n > 0 {
			p.shortfall = append(p.shortfall, core.Demand{Class: spec.Class, TaskSize: c.need, Count: n, AllOrNothing: true, EstimateS: spec.EstimateS, SlackS: math.Inf(1),
				Allows: func(typ, zoneOf string, spot bool) bool { return allowed(spec, zone, typ, zoneOf, spot) }})
		}
		can := b.loanCandidates(room, fits)
		// Machines that are empty are had at once, whatever else will come empty some time:
		// arrays would fill them, and gangs wait for the others for most of a minute.
		free := pickMachines(can, c, lacks-empty, left, func(h *core.MachineSummary) bool { return len(h.Usages) == 0 })
		left -= len(free)
		got := 0
		for _, h := range free {
			got += h.Size.CountFitting(c.need, spec.Tasks)
		}
		soon := pickMachines(can, c, lacks-empty-busy-got, left, func(h *core.MachineSummary) bool { return len(h.Usages) > 0 })
		left -= len(soon)
		chosen = append(append(chosen, free...), soon...)
	}
	if len(chosen) == 0 {
		return
	}
	chosen = chosen[:min(len(chosen), b.cfg.Settings.State.TxnOps/2)]
	b.log.Debug("machines are kept for gangs", "machines", len(chosen))
	b.borrowMachines(chosen, nil, record.MachineLoan{Job: reserveLoanJob})
}

// takeRoom takes free room for the tasks of a class's next gangs from hosts, and returns for
// how many there is.
func reserveFreeRoom(hosts []*core.MachineSummary, c *gangClass, in func(*core.MachineSummary) bool) int {
	got := 0
	for _, h := range hosts {
		if in(h) {
			k := h.Free.CountFitting(c.need, c.room()-got)
			h.Free = h.Free.Minus(c.need.Times(k))
			got += k
		}
	}
	return got
}

// roomLent is for how many tasks of a class there will be room on machines that are on
// their way to the pool: empty ones, and such as come empty some time.
func (b *controller) incomingReserveRoom(c *gangClass, zone string) (empty, busy int) {
	for name, l := range b.loans {
		m := b.machineNamed(name)
		t := b.machineTypes[m.machineType]
		if l.Job != reserveLoanJob || l.Acknowledged || t == nil || !allowed(c.spec, zone, m.machineType, m.zone, m.spot) {
			continue
		}
		n := core.NewResources(t.CPUs, t.GPUs, t.RAM).CountFitting(c.need, c.spec.Tasks)
		if len(m.bindings) == 0 {
			empty += n
		} else {
			busy += n
		}
	}
	return empty, busy
}

// mayLend are hosts of other parts that may be lent, the emptiest and largest first.
func (b *controller) loanCandidates(hosts []*core.MachineSummary, fits func(*core.MachineSummary) bool) []*core.MachineSummary {
	var can []*core.MachineSummary
	for _, h := range hosts {
		if fits(h) && h.Partition != b.loanPartition() && !h.InUse && !h.RunsService && !b.leadership.draining[b.machineByIndex[h.ID].name] {
			can = append(can, h)
		}
	}
	slices.SortFunc(can, func(x, y *core.MachineSummary) int {
		return cmp.Or(cmp.Compare(len(x.Usages), len(y.Usages)), cmp.Compare(y.Size.CPU, x.Size.CPU), cmp.Compare(x.ID, y.ID))
	})
	return can
}

// pickHosts picks, of hosts in their order, at most so many as have room for n tasks.
func pickMachines(hosts []*core.MachineSummary, c *gangClass, n, most int, in func(*core.MachineSummary) bool) []*core.MachineSummary {
	var out []*core.MachineSummary
	for _, h := range hosts {
		if n <= 0 || len(out) >= most {
			break
		}
		if h.InUse || !in(h) {
			continue
		}
		n -= h.Size.CountFitting(c.need, n)
		h.InUse = true
		out = append(out, h)
	}
	return out
}

// poolZone is the zone in which the pool has the most room for a gang that must be in
// one; "" for any.
func (b *controller) reserveZone(hosts []*core.MachineSummary, c *gangClass) string {
	if !c.spec.SingleZone {
		return ""
	}
	room, all := map[string]int{}, map[string]int{}
	for _, h := range hosts {
		if h.Booting || !allowed(c.spec, "", h.Type, h.Zone, h.Spot) {
			continue
		}
		all[h.Zone]++
		if h.Partition == b.loanPartition() {
			room[h.Zone] += h.Free.CountFitting(c.need, c.spec.Tasks)
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
