package controller

import (
	"time"

	"eiderhitch/internal/core"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// leader is what only the leader knows. It is rebuilt after a take-over.
type leadership struct {
	epoch    uint64 // version of the write that gave the lead: tells one lead from another
	token    uint64 // present version of the key; rises with each new term
	active   bool
	since    time.Time
	writes   int // in flight
	ahead    []int
	loggedAt time.Time
	// since when, and by whom, each part is vouched for without a gap
	vouchedAt []time.Time
	vouchedBy []string
	closing   map[string]bool  // being emptied
	surplus   core.FreeHistory // free CPUs of late
	rented    map[string]*rented
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
	pool      pool
	// since when most of a zone's machines are out of reach, see cutZones
	quietZones map[string]time.Time
	cut        map[string]bool
}

func (b *brain) becomeLeader(stamp uint64) {
	b.leadership = leadership{epoch: stamp, token: stamp, since: b.now, rented: map[string]*rented{}, idle: map[string]time.Time{},
		refused: map[core.Offer]time.Time{}, backoff: map[core.Offer]time.Duration{}, renting: map[core.Offer]int{}, quietZones: map[string]time.Time{}}
	// A former leader's late writes fail by its key's version; what it did
	// store is read before anything is dealt.
	b.readThen(func() {
		if b.leadership.epoch == stamp {
			b.leadership.active = true
		}
	})
}

// leads tells whether this controller acts as the leader now.
func (b *brain) isLeader() bool { return b.leadership.active && b.isFresh(b.op.LeaseTTL) }

// lead deals work to parts and rents and returns machines.
func (b *brain) runLeader() {
	if !b.isLeader() {
		return
	}
	defer b.metrics.spend(dLead, time.Now())
	b.finishJobs()
	b.noteVouching()
	hosts := b.hosts() // first: it notes which machines are up
	b.cutZones()
	// What is lost goes back at once, however long it takes until what is dealt is
	// stored: others' tasks wait for the proof.
	b.returnLost()
	if b.leadership.writes > 0 {
		return
	}
	b.logFleet(hosts)
	b.notePool(hosts)
	b.tendLends()
	b.fillPool(hosts)
	b.gatherGangs()
	if b.leadership.writes > 0 {
		return
	}
	wants := b.deal(hosts)
	b.provision(hosts, wants)
}

// logFleet logs now and then how full the machines are.
func (b *brain) logFleet(hosts []*core.MachineSummary) {
	if b.now.Sub(b.leadership.loggedAt) < fleetEvery {
		return
	}
	b.leadership.loggedAt = b.now
	var size, free, spot, spotFree core.Resources
	for _, h := range hosts {
		size, free = size.Plus(h.Size), free.Plus(h.Free)
		if h.Spot {
			spot, spotFree = spot.Plus(h.Size), spotFree.Plus(h.Free)
		}
	}
	waiting, dealt := 0, 0
	for _, j := range b.unfinished {
		if j.finalState == unfinishedJob && j.spec != nil {
			n, _ := j.assignedTasks()
			waiting += j.spec.Tasks - n
			for _, r := range j.groups {
				dealt += len(r.bindings) - r.boundTasks()
			}
		}
	}
	b.log.Info("fleet", "up", len(hosts), "booting", len(b.booting()), "cpus", size.CPU/1000, "free_cpus", free.CPU/1000,
		"spot_cpus", spot.CPU/1000, "spot_free_cpus", spotFree.CPU/1000, "closing", len(b.leadership.closing),
		"tasks_waiting", waiting, "tasks_dealt", dealt)
}

// finishJobs ends jobs whose tasks are all done and clears up behind final ones.
func (b *brain) finishJobs() {
	b.archiveFinished()
	budget := 8
	// What is over can wait while the state service has more to do.
	clear := b.wr.Backlog() < time.Second
	for _, j := range b.unfinished {
		if budget == 0 {
			return
		}
		if j.revision == 0 || len(j.groups) == 0 {
			continue
		}
		if j.finalState == unfinishedJob && j.hasUnreadableRecords() {
			continue
		}
		if j.finalState == unfinishedJob {
			n, finished := j.assignedTasks()
			if j.spec != nil && !j.spec.Service && !j.finishing && n == finished && finished == j.spec.Tasks {
				budget--
				j.finishing = true
				b.submitWrite(&store.Write{
					Conditions: []wire.Condition{b.leaderCondition(), {Key: jobKey(j.id), Revision: j.revision}},
					Changes:    []wire.Change{{Put: jobKey(j.id), Value: record.JSON(record.Job{FinalState: doneJob})}},
				}, func(error) { j.finishing = false })
			}
			continue
		}
		for _, r := range j.groups {
			if budget == 0 || !clear || r.writing || r.boundTasks() > 0 {
				continue
			}
			budget--
			r.writing = true
			b.submitWrite(&store.Write{
				Conditions: []wire.Condition{b.leaderCondition(), {Key: r.key, Revision: r.revision}},
				Changes:    []wire.Change{{Delete: r.key}},
			}, func(err error) {
				if err != nil { // its owner wrote it meanwhile: not before that is known
					b.readThen(func() { r.writing = false })
					return
				}
				r.writing = false
				b.releaseJobDetails(j)
			})
		}
	}
}

// leadWrote counts a leader's write off. After a failed one the replica is
// read before anything more is dealt: it may have been applied all the same.
func (b *brain) leaderWriteDone(epoch uint64, err error) {
	if b.leadership.epoch != epoch {
		return
	}
	if err == nil {
		b.leadership.writes--
		return
	}
	b.readThen(func() {
		if b.leadership.epoch == epoch {
			b.leadership.writes--
		}
	})
}
