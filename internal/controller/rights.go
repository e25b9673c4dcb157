package controller

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/core"
	"eiderhitch/internal/mesh"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// yieldFor is how long a controller that gave its rights up takes none.
const stepDownBackoff = 15 * time.Second

// preferred is the node that a part should be with, so that parts spread evenly.
func (b *controller) preferredOwner(n int) string {
	names := b.cfg.Nodes()
	return names[n%len(names)]
}

func (b *controller) peerEligible(name string) bool {
	s := b.peers[name]
	return s != nil && s.status != nil && s.status.Eligible && b.now.Sub(s.heardAt) < 2500*time.Millisecond
}

// able tells whether this controller should hold rights.
func (b *controller) eligible() bool {
	return b.isFresh(b.operator.LeaseTTL) && !b.now.Before(b.backoffUntil) && b.rollout.refusal == nil
}

// tendRights takes vacant rights and hands parts back to their preferred node.
func (b *controller) campaign() {
	if !b.eligible() {
		return
	}
	for _, p := range b.partitions[:b.loanPartition()] {
		key := p.key
		pref := b.preferredOwner(p.index)
		if p.token == 0 {
			wait := 300 * time.Millisecond
			if pref == b.cfg.Name {
				wait = 0
			} else if b.peerEligible(pref) || b.now.Sub(b.startedAt) < 2*time.Second {
				wait = 2 * time.Second
			}
			b.tryAcquire(key, wait)
			continue
		}
		if pref != b.cfg.Name && b.peerEligible(pref) && b.now.Sub(p.ownedSince) > 5*time.Second {
			if s := b.peers[pref]; b.now.Sub(s.heardSince) > 4*time.Second && p.allMachinesHeard() {
				b.log.Info("part handed back", "part", p.index, "to", pref)
				b.resign(key)
			}
		}
	}
	wait := 100 * time.Millisecond * time.Duration(slices.Index(b.cfg.Nodes(), b.cfg.Name))
	b.tryAcquire(b.leaderKey(), wait)
}

// settled tells whether every machine of a part on which something is bound has been
// heard since it was taken. Each change of hands begins the wait for leases anew: a part
// whose machines had all died went back and forth between its preferred node, which
// heard no worker, and another, and their tasks were never proven gone.
func (p *partition) allMachinesHeard() bool {
	for _, m := range p.machines {
		if len(m.bindings) > 0 && !m.heartbeatAt.After(p.ownedSince) {
			return false
		}
	}
	return true
}

// tryTake takes a right that is vacant since wait, or that our own former
// process holds: that one is surely dead.
func (b *controller) tryAcquire(key string, wait time.Duration) {
	r := b.leasedKeys[key]
	if r.pending || r.token != 0 || b.now.Before(r.backoffUntil) {
		return
	}
	h, held := b.holders[key]
	if held && h.Node != b.cfg.Name {
		r.vacantSince = time.Time{}
		return
	}
	if !held {
		if r.vacantSince.IsZero() {
			r.vacantSince = b.now
		}
		if b.now.Sub(r.vacantSince) < wait {
			return
		}
	}
	r.pending = true
	expect := b.revisions[key]
	go b.acquire(r, key, expect)
}

// holderValue is what this process stores at the key of a right that it holds.
func (b *controller) holderValue() json.RawMessage {
	return record.JSON(record.LeaseHolder{Node: b.cfg.Name, ProcessID: b.processID})
}

func (b *controller) acquire(r *leasedKey, key string, expect uint64) {
	lease, err := b.stateClient.GrantLease(b.ctx, b.operator.LeaseTTL)
	var ans *wire.TxnResponse
	if err == nil {
		ans, err = b.stateClient.Txn(b.ctx, &wire.Txn{
			If:   []wire.Condition{{Key: key, Revision: expect}},
			Then: []wire.Change{{Put: key, Value: b.holderValue(), Lease: lease}},
		})
		if err != nil {
			// Perhaps it was applied: ending the lease takes the key along, and
			// a late write under it is refused.
			_ = b.stateClient.RevokeLease(b.ctx, lease)
		}
	}
	b.enqueue(priorityState, func() {
		r.pending = false
		if b.leasedKeys[key] != r { // rights have other keys meanwhile
			go func() { _ = b.stateClient.RevokeLease(b.ctx, lease) }()
			return
		}
		if err != nil {
			r.vacantSince = b.now.Add(200 * time.Millisecond)
			return
		}
		r.token, r.lease, r.vacantSince = ans.Revision, lease, time.Time{}
		b.putRecord(key, b.holderValue(), ans.Revision)
		if b.revisions[key] != ans.Revision { // lost again before the answer came
			r.token, r.lease, r.vacantSince = 0, 0, b.now
			return
		}
		b.onAcquired(key, ans.Revision)
		go b.keepAlive(r, key, lease)
	})
}

// keep renews the lease of a right until it is lost. An actor that is slow keeps its
// rights, since a sibling would hardly be faster and a change of hands costs both;
// one that has not come round for a whole right-ttl can't serve, and lets them go.
func (b *controller) keepAlive(r *leasedKey, key string, lease uint64) {
	t := time.NewTicker(b.operator.LeaseTTL / 4)
	defer t.Stop()
	over := make(chan bool, 1)
	asked := time.Time{} // since when the actor's answer is awaited; zero: it is not
	for {
		select {
		case <-b.ctx.Done():
			return
		case o := <-over:
			if o {
				return
			}
			asked = time.Time{}
			continue
		case <-t.C:
		}
		if !asked.IsZero() && time.Since(asked) > b.operator.LeaseTTL {
			continue // not renewed before the actor is back
		}
		err := b.stateClient.RenewLease(b.ctx, lease)
		ended := errors.Is(err, store.ErrLeaseExpired)
		if !asked.IsZero() && !ended {
			continue
		}
		asked = time.Now()
		go b.enqueue(priorityState, func() {
			if r.lease == lease && ended {
				b.onLost(key, "lease ended")
			}
			select {
			case over <- r.lease != lease:
			default: // an earlier answer says the same
			}
		})
	}
}

// rightSeen is told what the replica shows of a leased key.
func (b *controller) observeHolder(key string, h record.LeaseHolder, stamp uint64) {
	if r := b.leasedKeys[key]; r != nil && r.token != 0 && stamp > r.token && h.ProcessID != b.processID {
		b.onLost(key, "taken by "+h.Node)
	}
}

func (b *controller) observeVacancy(key string) {
	r := b.leasedKeys[key]
	if r == nil {
		return
	}
	if r.token != 0 {
		b.onLost(key, "lease ended")
	}
	r.vacantSince = b.now
}

func (b *controller) onAcquired(key string, stamp uint64) {
	b.log.Info("right taken", "key", key, "term", stamp)
	if key == b.leaderKey() {
		b.becomeLeader(stamp)
	}
	for _, p := range b.partitions {
		if p.key == key {
			b.takeOverPartition(p, stamp)
		}
	}
}

func (b *controller) onLost(key, why string) {
	r := b.leasedKeys[key]
	if r.token == 0 {
		return
	}
	b.log.Info("right lost", "key", key, "why", why)
	r.token, r.lease = 0, 0
	if key == b.leaderKey() {
		b.leadership = leadership{}
	}
	for _, p := range b.partitions {
		if p.key == key {
			p.token, p.active = 0, false
			p.cells, p.reservations = nil, nil
			p.cancelWrites()
		}
	}
}

// yield gives a right back at once.
func (b *controller) resign(key string) {
	r := b.leasedKeys[key]
	if r.token == 0 {
		return
	}
	lease := r.lease
	b.onLost(key, "given back")
	r.backoffUntil = b.now.Add(2 * time.Second)
	go func() { _ = b.stateClient.RevokeLease(b.ctx, lease) }()
}

// partGained takes a part over: the replica is read once more, so that it has
// all that former owners stored, then the cells are rebuilt from it.
func (b *controller) takeOverPartition(p *partition, stamp uint64) {
	p.token, p.firstToken, p.ownedSince, p.active = stamp, stamp, b.now, false
	p.cells, p.reservations = core.NewPartition(), map[core.Task]reservation{}
	// A former owner's last read may have begun just before its key went; it
	// may go on answering reports for the hold time after that. Whether there
	// was one can't be told here, not even after our own restart: the process
	// before it may have been a successor itself.
	p.formerOwnerStaleness = b.maxStaleness
	b.readThen(func() { b.activatePartition(p, stamp) })
}

func (b *controller) activatePartition(p *partition, stamp uint64) {
	if p.token != stamp {
		return
	}
	p.active = true
	for t := range b.attemptEnds {
		if r := b.groups[t.Group]; r == nil || r.partition == p.index {
			delete(b.attemptEnds, t)
		}
	}
	for r := range b.allGroups() {
		b.adoptBindings(r)
	}
	// Machines that know us from before, or that siblings know, hear the new
	// token at once, so that they turn to us.
	for _, s := range b.peers {
		if s.status == nil {
			continue
		}
		for _, x := range s.status.Machines {
			m := b.machineNamed(x.Name)
			if m.machineType == "" {
				m.machineType, m.zone, m.spot = x.Type, x.Zone, x.Flags&mesh.Spot != 0
			}
			m.introduce(x.Addr, x.Incarnation)
		}
	}
	for _, m := range p.machines {
		if !m.terminated {
			m.directBackoffUntil = time.Time{}
			b.ping(m, p)
		}
	}
	b.requestPass()
}

// readThen runs f after a successful read of the replica that begins now.
func (b *controller) readThen(f func()) {
	b.afterRead(func(err error) {
		if err != nil {
			b.readThen(f)
			return
		}
		f()
	})
}

// raiseTerm rewrites a part's key: a higher token, which fences commands that
// may still be under way.
func (b *controller) raiseToken(p *partition) {
	key := p.key
	r := b.leasedKeys[key]
	if r.pending || r.token == 0 || b.now.Sub(p.tokenRaisedAt) < 4*time.Second {
		return
	}
	p.tokenRaiseDue, p.tokenRaisedAt = false, b.now
	r.pending = true
	stamp := r.token
	b.submitWrite(&store.Write{
		Conditions: []wire.Condition{{Key: key, Revision: stamp}},
		Changes:    []wire.Change{{Put: key, Value: b.holderValue(), Lease: r.lease}},
	}, func(err error) {
		r.pending = false
		if r.token != stamp {
			return
		}
		if err != nil {
			b.readThen(func() { // perhaps an unanswered try was applied
				if r.token == stamp && b.revisions[key] != stamp {
					b.onTokenRaised(p, r, b.revisions[key])
				}
			})
			return
		}
		b.onTokenRaised(p, r, b.revisions[key])
	})
}

// voidWrites gives up what waits to be stored under a term that has ended.
func (p *partition) cancelWrites() {
	for _, r := range p.groups {
		r.cancelWrite()
	}
}

func (b *controller) onTokenRaised(p *partition, r *leasedKey, stamp uint64) {
	if h := b.holders[p.key]; h.ProcessID != b.processID {
		return
	}
	r.token, p.token = stamp, stamp
	p.cancelWrites()
	if p.key == b.leaderKey() {
		b.leadership.token = stamp
	}
	b.log.Info("term raised", "part", p.index, "term", stamp)
	for _, m := range p.machines {
		if !m.terminated {
			b.ping(m, p)
		}
	}
}

// watchHearing gives the rights up when no worker reaches this controller: the
// siblings may well be reachable.
func (b *controller) stepDownIfUnheard() {
	report := config.Seconds(b.cfg.Settings.Workers.ReportS)
	window := 2*report + 6*time.Second
	known, heard, young := 0, false, false
	// Many machines that all fall silent at once say more in a short time than few
	// do in a long one: of n that report independently, none is heard for this
	// long by chance once in e to the 20th. Their leases run meanwhile, and finding
	// the successor takes them some seconds more.
	if n := b.reportingMachines(); n > 0 {
		window = min(window, max(20*report/time.Duration(n), report/2+2*time.Second))
	}
	// What came while this process stood still waits in its sockets.
	if b.now.Sub(b.resumedFromPauseAt) < window {
		return
	}
	for _, p := range b.partitions {
		if p.token == 0 {
			continue
		}
		young = young || b.now.Sub(p.ownedSince) < window
		for _, m := range p.machines {
			if m.terminated {
				continue
			}
			if len(m.bindings) > 0 || !m.heartbeatAt.IsZero() && b.now.Sub(m.heartbeatAt) < time.Minute {
				known++
			}
			heard = heard || m.heartbeatAt.After(p.ownedSince) && b.now.Sub(m.heartbeatAt) < window
		}
	}
	if known >= 2 && !heard && !young && b.peersMayBeHeard() {
		b.steppedDownAt = b.now
		b.log.Info("no worker reaches this controller: giving all rights up", "machines", known)
		b.backoffUntil = b.now.Add(stepDownBackoff)
		for key := range b.leasedKeys {
			b.resign(key)
		}
		return
	}
}

// othersMayHear tells whether it may help that somebody else has our rights: a sibling
// has machines that report to it, or that is not known. Where all machines have died
// everybody hears none, and rights that go round for ever have nobody wait for the
// leases to end, so then each gives them up once in that time.
func (b *controller) peersMayBeHeard() bool {
	known := len(b.peers) > 0
	for _, s := range b.peers {
		if s.status == nil || b.now.Sub(s.heardAt) > 4*time.Second {
			known = false
			continue
		}
		for i := range s.status.Machines {
			if s.status.Machines[i].Flags&mesh.Reachable != 0 {
				return true
			}
		}
	}
	return !known && (b.steppedDownAt.IsZero() || b.lastHeartbeatAt.After(b.steppedDownAt) || b.now.Sub(b.steppedDownAt) > 2*(b.maxStaleness+b.leaseExpiry))
}

// watchFollowers gives the lead up when neither workers nor other owners reach
// this controller. Siblings alone don't count: where connections between all
// controllers are refused, the lead would be passed round for nothing.
func (b *controller) stepDownIfIsolatedLeader() {
	if b.leasedKeys[b.leaderKey()].token == 0 || b.now.Sub(b.leadership.since) < 8*time.Second || !b.peersSilent(6*time.Second) || b.reportingMachines() > 0 {
		return
	}
	for _, p := range b.partitions[:b.loanPartition()] {
		if h, ok := b.holders[p.key]; ok && h.Node != b.cfg.Name {
			b.log.Info("neither workers nor other owners reach this leader: giving the lead up")
			b.resign(b.leaderKey())
			b.leasedKeys[b.leaderKey()].backoffUntil = b.now.Add(stepDownBackoff)
			return
		}
	}
}

// reporting is how many machines of ours have reported of late.
func (b *controller) reportingMachines() int {
	n := 0
	for _, p := range b.partitions {
		if p.token == 0 {
			continue
		}
		for _, m := range p.machines {
			if !m.terminated && b.now.Sub(m.heartbeatAt) < time.Minute {
				n++
			}
		}
	}
	return n
}

// siblingsSilent tells whether there are siblings and none was heard for d.
func (b *controller) peersSilent(d time.Duration) bool {
	for _, s := range b.peers {
		if b.now.Sub(s.heardAt) < d {
			return false
		}
	}
	return len(b.peers) > 0
}
