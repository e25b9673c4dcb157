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
const yieldFor = 15 * time.Second

// preferred is the node that a part should be with, so that parts spread evenly.
func (b *brain) preferred(n int) string {
	names := b.cfg.Nodes()
	return names[n%len(names)]
}

func (b *brain) siblingAble(name string) bool {
	s := b.siblings[name]
	return s != nil && s.status != nil && s.status.Eligible && b.now.Sub(s.at) < 2500*time.Millisecond
}

// able tells whether this controller should hold rights.
func (b *brain) able() bool {
	return b.fresh(b.op.LeaseTTL) && !b.now.Before(b.yieldUntil) && b.levels.refusal == nil
}

// tendRights takes vacant rights and hands parts back to their preferred node.
func (b *brain) tendRights() {
	if !b.able() {
		return
	}
	for _, p := range b.parts[:b.lentPart()] {
		key := p.key
		pref := b.preferred(p.n)
		if p.term == 0 {
			wait := 300 * time.Millisecond
			if pref == b.cfg.Name {
				wait = 0
			} else if b.siblingAble(pref) || b.now.Sub(b.startedAt) < 2*time.Second {
				wait = 2 * time.Second
			}
			b.tryTake(key, wait)
			continue
		}
		if pref != b.cfg.Name && b.siblingAble(pref) && b.now.Sub(p.since) > 5*time.Second {
			if s := b.siblings[pref]; b.now.Sub(s.since) > 4*time.Second && p.settled() {
				b.log.Info("part handed back", "part", p.n, "to", pref)
				b.yield(key)
			}
		}
	}
	wait := 100 * time.Millisecond * time.Duration(slices.Index(b.cfg.Nodes(), b.cfg.Name))
	b.tryTake(b.leaderKey(), wait)
}

// settled tells whether every machine of a part on which something is bound has been
// heard since it was taken. Each change of hands begins the wait for leases anew: a part
// whose machines had all died went back and forth between its preferred node, which
// heard no worker, and another, and their tasks were never proven gone.
func (p *part) settled() bool {
	for _, m := range p.machines {
		if len(m.bound) > 0 && !m.heard.After(p.since) {
			return false
		}
	}
	return true
}

// tryTake takes a right that is vacant since wait, or that our own former
// process holds: that one is surely dead.
func (b *brain) tryTake(key string, wait time.Duration) {
	r := b.rights[key]
	if r.busy || r.stamp != 0 || b.now.Before(r.rest) {
		return
	}
	h, held := b.holders[key]
	if held && h.Node != b.cfg.Name {
		r.freeAt = time.Time{}
		return
	}
	if !held {
		if r.freeAt.IsZero() {
			r.freeAt = b.now
		}
		if b.now.Sub(r.freeAt) < wait {
			return
		}
	}
	r.busy = true
	expect := b.vers[key]
	go b.take(r, key, expect)
}

// holderValue is what this process stores at the key of a right that it holds.
func (b *brain) holderValue() json.RawMessage {
	return record.JSON(record.LeaseHolder{Node: b.cfg.Name, ProcessID: b.boot})
}

func (b *brain) take(r *right, key string, expect uint64) {
	lease, err := b.st.GrantLease(b.ctx, b.op.LeaseTTL)
	var ans *wire.TxnResponse
	if err == nil {
		ans, err = b.st.Txn(b.ctx, &wire.Txn{
			If:   []wire.Condition{{Key: key, Revision: expect}},
			Then: []wire.Change{{Put: key, Value: b.holderValue(), Lease: lease}},
		})
		if err != nil {
			// Perhaps it was applied: ending the lease takes the key along, and
			// a late write under it is refused.
			_ = b.st.RevokeLease(b.ctx, lease)
		}
	}
	b.post(laneState, func() {
		r.busy = false
		if b.rights[key] != r { // rights have other keys meanwhile
			go func() { _ = b.st.RevokeLease(b.ctx, lease) }()
			return
		}
		if err != nil {
			r.freeAt = b.now.Add(200 * time.Millisecond)
			return
		}
		r.stamp, r.lease, r.freeAt = ans.Revision, lease, time.Time{}
		b.put(key, b.holderValue(), ans.Revision)
		if b.vers[key] != ans.Revision { // lost again before the answer came
			r.stamp, r.lease, r.freeAt = 0, 0, b.now
			return
		}
		b.gained(key, ans.Revision)
		go b.keep(r, key, lease)
	})
}

// keep renews the lease of a right until it is lost. An actor that is slow keeps its
// rights, since a sibling would hardly be faster and a change of hands costs both;
// one that has not come round for a whole right-ttl can't serve, and lets them go.
func (b *brain) keep(r *right, key string, lease uint64) {
	t := time.NewTicker(b.op.LeaseTTL / 4)
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
		if !asked.IsZero() && time.Since(asked) > b.op.LeaseTTL {
			continue // not renewed before the actor is back
		}
		err := b.st.RenewLease(b.ctx, lease)
		ended := errors.Is(err, store.ErrLeaseExpired)
		if !asked.IsZero() && !ended {
			continue
		}
		asked = time.Now()
		go b.post(laneState, func() {
			if r.lease == lease && ended {
				b.lost(key, "lease ended")
			}
			select {
			case over <- r.lease != lease:
			default: // an earlier answer says the same
			}
		})
	}
}

// rightSeen is told what the replica shows of a leased key.
func (b *brain) rightSeen(key string, h record.LeaseHolder, stamp uint64) {
	if r := b.rights[key]; r != nil && r.stamp != 0 && stamp > r.stamp && h.ProcessID != b.boot {
		b.lost(key, "taken by "+h.Node)
	}
}

func (b *brain) rightDropped(key string) {
	r := b.rights[key]
	if r == nil {
		return
	}
	if r.stamp != 0 {
		b.lost(key, "lease ended")
	}
	r.freeAt = b.now
}

func (b *brain) gained(key string, stamp uint64) {
	b.log.Info("right taken", "key", key, "term", stamp)
	if key == b.leaderKey() {
		b.leaderGained(stamp)
	}
	for _, p := range b.parts {
		if p.key == key {
			b.partGained(p, stamp)
		}
	}
}

func (b *brain) lost(key, why string) {
	r := b.rights[key]
	if r.stamp == 0 {
		return
	}
	b.log.Info("right lost", "key", key, "why", why)
	r.stamp, r.lease = 0, 0
	if key == b.leaderKey() {
		b.lead = leader{}
	}
	for _, p := range b.parts {
		if p.key == key {
			p.term, p.active = 0, false
			p.cells, p.alloc = nil, nil
			p.voidWrites()
		}
	}
}

// yield gives a right back at once.
func (b *brain) yield(key string) {
	r := b.rights[key]
	if r.stamp == 0 {
		return
	}
	lease := r.lease
	b.lost(key, "given back")
	r.rest = b.now.Add(2 * time.Second)
	go func() { _ = b.st.RevokeLease(b.ctx, lease) }()
}

// partGained takes a part over: the replica is read once more, so that it has
// all that former owners stored, then the cells are rebuilt from it.
func (b *brain) partGained(p *part, stamp uint64) {
	p.term, p.gained, p.since, p.active = stamp, stamp, b.now, false
	p.cells, p.alloc = core.NewPartition(), map[core.Task]alloc{}
	// A former owner's last read may have begun just before its key went; it
	// may go on answering reports for the hold time after that. Whether there
	// was one can't be told here, not even after our own restart: the process
	// before it may have been a successor itself.
	p.old = b.hold
	b.readThen(func() { b.activate(p, stamp) })
}

func (b *brain) activate(p *part, stamp uint64) {
	if p.term != stamp {
		return
	}
	p.active = true
	for t := range b.outcomes {
		if r := b.recs[t.Group]; r == nil || r.part == p.n {
			delete(b.outcomes, t)
		}
	}
	for r := range b.records() {
		b.adopt(r)
	}
	// Machines that know us from before, or that siblings know, hear the new
	// token at once, so that they turn to us.
	for _, s := range b.siblings {
		if s.status == nil {
			continue
		}
		for _, x := range s.status.Machines {
			m := b.machine(x.Name)
			if m.typ == "" {
				m.typ, m.zone, m.spot = x.Type, x.Zone, x.Flags&mesh.Spot != 0
			}
			m.introduce(x.Addr, x.Incarnation)
		}
	}
	for _, m := range p.machines {
		if !m.gone {
			m.doRest = time.Time{}
			b.ping(m, p)
		}
	}
	b.step()
}

// readThen runs f after a successful read of the replica that begins now.
func (b *brain) readThen(f func()) {
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
func (b *brain) raiseTerm(p *part) {
	key := p.key
	r := b.rights[key]
	if r.busy || r.stamp == 0 || b.now.Sub(p.raised) < 4*time.Second {
		return
	}
	p.raise, p.raised = false, b.now
	r.busy = true
	stamp := r.stamp
	b.write(&store.Write{
		Conditions: []wire.Condition{{Key: key, Revision: stamp}},
		Changes:    []wire.Change{{Put: key, Value: b.holderValue(), Lease: r.lease}},
	}, func(err error) {
		r.busy = false
		if r.stamp != stamp {
			return
		}
		if err != nil {
			b.readThen(func() { // perhaps an unanswered try was applied
				if r.stamp == stamp && b.vers[key] != stamp {
					b.termRaised(p, r, b.vers[key])
				}
			})
			return
		}
		b.termRaised(p, r, b.vers[key])
	})
}

// voidWrites gives up what waits to be stored under a term that has ended.
func (p *part) voidWrites() {
	for _, r := range p.recs {
		r.void()
	}
}

func (b *brain) termRaised(p *part, r *right, stamp uint64) {
	if h := b.holders[p.key]; h.ProcessID != b.boot {
		return
	}
	r.stamp, p.term = stamp, stamp
	p.voidWrites()
	if p.key == b.leaderKey() {
		b.lead.term = stamp
	}
	b.log.Info("term raised", "part", p.n, "term", stamp)
	for _, m := range p.machines {
		if !m.gone {
			b.ping(m, p)
		}
	}
}

// watchHearing gives the rights up when no worker reaches this controller: the
// siblings may well be reachable.
func (b *brain) watchHearing() {
	report := config.Seconds(b.cfg.Settings.Workers.ReportS)
	window := 2*report + 6*time.Second
	known, heard, young := 0, false, false
	// Many machines that all fall silent at once say more in a short time than few
	// do in a long one: of n that report independently, none is heard for this
	// long by chance once in e to the 20th. Their leases run meanwhile, and finding
	// the successor takes them some seconds more.
	if n := b.reporting(); n > 0 {
		window = min(window, max(20*report/time.Duration(n), report/2+2*time.Second))
	}
	// What came while this process stood still waits in its sockets.
	if b.now.Sub(b.wokeAt) < window {
		return
	}
	for _, p := range b.parts {
		if p.term == 0 {
			continue
		}
		young = young || b.now.Sub(p.since) < window
		for _, m := range p.machines {
			if m.gone {
				continue
			}
			if len(m.bound) > 0 || !m.heard.IsZero() && b.now.Sub(m.heard) < time.Minute {
				known++
			}
			heard = heard || m.heard.After(p.since) && b.now.Sub(m.heard) < window
		}
	}
	if known >= 2 && !heard && !young && b.othersMayHear() {
		b.gaveUpAt = b.now
		b.log.Info("no worker reaches this controller: giving all rights up", "machines", known)
		b.yieldUntil = b.now.Add(yieldFor)
		for key := range b.rights {
			b.yield(key)
		}
		return
	}
}

// othersMayHear tells whether it may help that somebody else has our rights: a sibling
// has machines that report to it, or that is not known. Where all machines have died
// everybody hears none, and rights that go round for ever have nobody wait for the
// leases to end, so then each gives them up once in that time.
func (b *brain) othersMayHear() bool {
	known := len(b.siblings) > 0
	for _, s := range b.siblings {
		if s.status == nil || b.now.Sub(s.at) > 4*time.Second {
			known = false
			continue
		}
		for i := range s.status.Machines {
			if s.status.Machines[i].Flags&mesh.Reachable != 0 {
				return true
			}
		}
	}
	return !known && (b.gaveUpAt.IsZero() || b.reportAt.After(b.gaveUpAt) || b.now.Sub(b.gaveUpAt) > 2*(b.hold+b.lease))
}

// watchFollowers gives the lead up when neither workers nor other owners reach
// this controller. Siblings alone don't count: where connections between all
// controllers are refused, the lead would be passed round for nothing.
func (b *brain) watchFollowers() {
	if b.rights[b.leaderKey()].stamp == 0 || b.now.Sub(b.lead.since) < 8*time.Second || !b.siblingsSilent(6*time.Second) || b.reporting() > 0 {
		return
	}
	for _, p := range b.parts[:b.lentPart()] {
		if h, ok := b.holders[p.key]; ok && h.Node != b.cfg.Name {
			b.log.Info("neither workers nor other owners reach this leader: giving the lead up")
			b.yield(b.leaderKey())
			b.rights[b.leaderKey()].rest = b.now.Add(yieldFor)
			return
		}
	}
}

// reporting is how many machines of ours have reported of late.
func (b *brain) reporting() int {
	n := 0
	for _, p := range b.parts {
		if p.term == 0 {
			continue
		}
		for _, m := range p.machines {
			if !m.gone && b.now.Sub(m.heard) < time.Minute {
				n++
			}
		}
	}
	return n
}

// siblingsSilent tells whether there are siblings and none was heard for d.
func (b *brain) siblingsSilent(d time.Duration) bool {
	for _, s := range b.siblings {
		if b.now.Sub(s.at) < d {
			return false
		}
	}
	return len(b.siblings) > 0
}
