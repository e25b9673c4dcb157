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
	epoch          uint64 // version of the write that gave the lead: tells one lead from another
	token          uint64 // present version of the key; rises with each new term
	active         bool
	since          time.Time
	writesInFlight int // in flight
	assignAhead    []int
	usageLoggedAt  time.Time
	// since when, and by whom, each part is vouched for without a gap
	ownerInTouchSince     []time.Time
	ownerInTouch          []string
	draining              map[string]bool  // being emptied
	freeHistory           core.FreeHistory // free CPUs of late
	instances             map[string]*instance
	idleSince             map[string]time.Time
	refusedUntil          map[core.Offer]time.Time // no requests before then
	backoff               map[core.Offer]time.Duration
	launching             map[core.Offer]int
	launchRequests        int
	listedAt              time.Time
	listInFlight          bool
	deletingTombstones    bool // of gone markers
	listed                bool // the list has been read since the lead was taken
	machineTypesFetchedAt time.Time
	gangReserve           gangReserve
	// since when most of a zone's machines are out of reach, see cutZones
	isolatedSince map[string]time.Time
	isolatedZones map[string]bool
}

func (b *controller) becomeLeader(stamp uint64) {
	b.leadership = leadership{epoch: stamp, token: stamp, since: b.now, instances: map[string]*instance{}, idleSince: map[string]time.Time{},
		refusedUntil: map[core.Offer]time.Time{}, backoff: map[core.Offer]time.Duration{}, launching: map[core.Offer]int{}, isolatedSince: map[string]time.Time{}}
	// A former leader's late writes fail by its key's version; what it did
	// store is read before anything is dealt.
	b.readThen(func() {
		if b.leadership.epoch == stamp {
			b.leadership.active = true
		}
	})
}

// leads tells whether this controller acts as the leader now.
func (b *controller) isLeader() bool { return b.leadership.active && b.isFresh(b.operator.LeaseTTL) }

// lead deals work to parts and rents and returns machines.
func (b *controller) runLeader() {
	if !b.isLeader() {
		return
	}
	defer b.metrics.addBusyTime(activityLeader, time.Now())
	b.finishJobs()
	b.updateOwnersInTouch()
	hosts := b.machineSummaries() // first: it notes which machines are up
	b.detectIsolatedZones()
	// What is lost goes back at once, however long it takes until what is dealt is
	// stored: others' tasks wait for the proof.
	b.terminateLost()
	if b.leadership.writesInFlight > 0 {
		return
	}
	b.logUsage(hosts)
	b.updateReserve(hosts)
	b.reviewLoans()
	b.fillReserve(hosts)
	b.completeGangMoves()
	if b.leadership.writesInFlight > 0 {
		return
	}
	wants := b.assign(hosts)
	b.scale(hosts, wants)
}

// logFleet logs now and then how full the machines are.
func (b *controller) logUsage(hosts []*core.MachineSummary) {
	if b.now.Sub(b.leadership.usageLoggedAt) < usageLogInterval {
		return
	}
	b.leadership.usageLoggedAt = b.now
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
		"spot_cpus", spot.CPU/1000, "spot_free_cpus", spotFree.CPU/1000, "closing", len(b.leadership.draining),
		"tasks_waiting", waiting, "tasks_dealt", dealt)
}

// finishJobs ends jobs whose tasks are all done and clears up behind final ones.
func (b *controller) finishJobs() {
	b.archiveFinished()
	budget := 8
	// What is over can wait while the state service has more to do.
	clear := b.stateWriter.Backlog() < time.Second
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
func (b *controller) leaderWriteDone(epoch uint64, err error) {
	if b.leadership.epoch != epoch {
		return
	}
	if err == nil {
		b.leadership.writesInFlight--
		return
	}
	b.readThen(func() {
		if b.leadership.epoch == epoch {
			b.leadership.writesInFlight--
		}
	})
}
