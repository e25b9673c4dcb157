package controller

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// stepDownBackoff is how long a controller that gave its rights up takes none.
const stepDownBackoff = 15 * time.Second

// preferredOwner is the node that a part should be with, so that parts spread evenly.
func (c *controller) preferredOwner(n int) string {
	names := c.cfg.Nodes()
	return names[n%len(names)]
}

func (c *controller) peerEligible(name string) bool {
	s := c.peers[name]
	return s != nil && s.status != nil && s.status.Eligible && c.now.Sub(s.heardAt) < 2500*time.Millisecond
}

// eligible tells whether this controller should hold rights.
func (c *controller) eligible() bool {
	return c.isFresh(c.operator.LeaseTTL) && !c.now.Before(c.backoffUntil) && c.rollout.refusal == nil
}

// campaign takes vacant rights and hands parts back to their preferred node.
func (c *controller) campaign() {
	if !c.eligible() {
		return
	}
	for _, p := range c.partitions[:c.loanPartition()] {
		key := p.key
		pref := c.preferredOwner(p.index)
		if p.token == 0 {
			wait := 300 * time.Millisecond
			if pref == c.cfg.Name {
				wait = 0
			} else if c.peerEligible(pref) || c.now.Sub(c.startedAt) < 2*time.Second {
				wait = 2 * time.Second
			}
			c.tryAcquire(key, wait)
			continue
		}
		if pref != c.cfg.Name && c.peerEligible(pref) && c.now.Sub(p.ownedSince) > 5*time.Second {
			if s := c.peers[pref]; c.now.Sub(s.heardSince) > 4*time.Second && p.allMachinesHeard() {
				c.log.Info("part handed back", "part", p.index, "to", pref)
				c.resign(key)
			}
		}
	}
	wait := 100 * time.Millisecond * time.Duration(slices.Index(c.cfg.Nodes(), c.cfg.Name))
	c.tryAcquire(c.leaderKey(), wait)
}

// allMachinesHeard tells whether every machine of a part on which something is bound has been
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

// tryAcquire takes a right that is vacant since wait, or that our own former
// process holds: that one is surely dead.
func (c *controller) tryAcquire(key string, wait time.Duration) {
	leased := c.leasedKeys[key]
	if leased.pending || leased.token != 0 || c.now.Before(leased.backoffUntil) {
		return
	}
	h, held := c.holders[key]
	if held && h.Node != c.cfg.Name {
		leased.vacantSince = time.Time{}
		return
	}
	if !held {
		if leased.vacantSince.IsZero() {
			leased.vacantSince = c.now
		}
		if c.now.Sub(leased.vacantSince) < wait {
			return
		}
	}
	leased.pending = true
	expect := c.replica.Revision(key)
	go c.acquire(leased, key, expect)
}

// holderValue is what this process stores at the key of a right that it holds.
func (c *controller) holderValue() json.RawMessage {
	return record.JSON(record.LeaseHolder{Node: c.cfg.Name, ProcessID: c.processID})
}

func (c *controller) acquire(leased *leasedKey, key string, expect uint64) {
	lease, err := c.stateClient.GrantLease(c.ctx, c.operator.LeaseTTL)
	var ans *wire.TxnResponse
	if err == nil {
		ans, err = c.stateClient.Txn(c.ctx, &wire.Txn{
			Conditions: []wire.Condition{{Key: key, Revision: expect}},
			Changes:    []wire.Change{{Put: key, Value: c.holderValue(), Lease: lease}},
		})
		if err != nil {
			// Perhaps it was applied: ending the lease takes the key along, and
			// a late write under it is refused.
			_ = c.stateClient.RevokeLease(c.ctx, lease)
		}
	}
	c.enqueue(priorityState, func() {
		leased.pending = false
		if c.leasedKeys[key] != leased { // rights have other keys meanwhile
			go func() { _ = c.stateClient.RevokeLease(c.ctx, lease) }()
			return
		}
		if err != nil {
			leased.vacantSince = c.now.Add(200 * time.Millisecond)
			return
		}
		leased.token, leased.lease, leased.vacantSince = ans.Revision, lease, time.Time{}
		c.replica.Put(key, c.holderValue(), ans.Revision)
		if c.replica.Revision(key) != ans.Revision { // lost again before the answer came
			leased.token, leased.lease, leased.vacantSince = 0, 0, c.now
			return
		}
		c.onAcquired(key, ans.Revision)
		go c.keepAlive(leased, key, lease)
	})
}

// keepAlive renews the lease of a right until it is lost. An actor that is slow keeps its
// rights, since a sibling would hardly be faster and a change of hands costs both;
// one that has not come round for a whole right-ttl can't serve, and lets them go.
func (c *controller) keepAlive(leased *leasedKey, key string, lease uint64) {
	t := time.NewTicker(c.operator.LeaseTTL / 4)
	defer t.Stop()
	over := make(chan bool, 1)
	asked := time.Time{} // since when the actor's answer is awaited; zero: it is not
	for {
		select {
		case <-c.ctx.Done():
			return
		case o := <-over:
			if o {
				return
			}
			asked = time.Time{}
			continue
		case <-t.C:
		}
		if !asked.IsZero() && time.Since(asked) > c.operator.LeaseTTL {
			continue // not renewed before the actor is back
		}
		err := c.stateClient.RenewLease(c.ctx, lease)
		ended := errors.Is(err, store.ErrLeaseExpired)
		if !asked.IsZero() && !ended {
			continue
		}
		asked = time.Now()
		go c.enqueue(priorityState, func() {
			if leased.lease == lease && ended {
				c.onLost(key, "lease ended")
			}
			select {
			case over <- leased.lease != lease:
			default: // an earlier answer says the same
			}
		})
	}
}

// observeHolder is told what the replica shows of a leased key.
func (c *controller) observeHolder(key string, h record.LeaseHolder, stamp uint64) {
	if leased := c.leasedKeys[key]; leased != nil && leased.token != 0 && stamp > leased.token && h.ProcessID != c.processID {
		c.onLost(key, "taken by "+h.Node)
	}
}

func (c *controller) observeVacancy(key string) {
	leased := c.leasedKeys[key]
	if leased == nil {
		return
	}
	if leased.token != 0 {
		c.onLost(key, "lease ended")
	}
	leased.vacantSince = c.now
}

func (c *controller) onAcquired(key string, stamp uint64) {
	c.log.Info("right taken", "key", key, "term", stamp)
	if key == c.leaderKey() {
		c.becomeLeader(stamp)
	}
	for _, p := range c.partitions {
		if p.key == key {
			c.takeOverPartition(p, stamp)
		}
	}
}

func (c *controller) onLost(key, why string) {
	leased := c.leasedKeys[key]
	if leased.token == 0 {
		return
	}
	c.log.Info("right lost", "key", key, "why", why)
	leased.token, leased.lease = 0, 0
	if key == c.leaderKey() {
		c.leadership = leadership{}
	}
	for _, p := range c.partitions {
		if p.key == key {
			p.token, p.active = 0, false
			p.cells, p.reservations = nil, nil
			p.cancelWrites()
		}
	}
}

// resign gives a right back at once.
func (c *controller) resign(key string) {
	leased := c.leasedKeys[key]
	if leased.token == 0 {
		return
	}
	lease := leased.lease
	c.onLost(key, "given back")
	leased.backoffUntil = c.now.Add(2 * time.Second)
	go func() { _ = c.stateClient.RevokeLease(c.ctx, lease) }()
}

// takeOverPartition takes a part over: the replica is read once more, so that it has
// all that former owners stored, then the cells are rebuilt from it.
func (c *controller) takeOverPartition(p *partition, stamp uint64) {
	p.token, p.firstToken, p.ownedSince, p.active = stamp, stamp, c.now, false
	p.cells, p.reservations = scheduling.NewPartition(), map[scheduling.Task]reservation{}
	// A former owner's last read may have begun just before its key went; it
	// may go on answering reports for the hold time after that. Whether there
	// was one can't be told here, not even after our own restart: the process
	// before it may have been a successor itself.
	p.formerOwnerStaleness = c.maxStaleness
	c.reader.AfterSuccessfulRead(func() { c.activatePartition(p, stamp) })
}

func (c *controller) activatePartition(p *partition, stamp uint64) {
	if p.token != stamp {
		return
	}
	p.active = true
	for t := range c.attemptEnds {
		if group := c.groups[t.Group]; group == nil || group.partition == p.index {
			delete(c.attemptEnds, t)
		}
	}
	for group := range c.allGroups() {
		c.adoptBindings(group)
	}
	// Machines that know us from before, or that siblings know, hear the new
	// token at once, so that they turn to us.
	for _, s := range c.peers {
		if s.status == nil {
			continue
		}
		for _, x := range s.status.Machines {
			m := c.machineNamed(x.Name)
			if m.machineType == "" {
				m.machineType, m.zone, m.spot = x.Type, x.Zone, x.Flags&peer.Spot != 0
			}
			m.introduce(x.Addr, x.Incarnation)
		}
	}
	for _, m := range p.machines {
		if !m.terminated {
			m.directBackoffUntil = time.Time{}
			c.ping(m, p)
		}
	}
	c.requestPass()
}

// raiseToken rewrites a part's key: a higher token, which fences commands that
// may still be under way.
func (c *controller) raiseToken(p *partition) {
	key := p.key
	leased := c.leasedKeys[key]
	if leased.pending || leased.token == 0 || c.now.Sub(p.tokenRaisedAt) < 4*time.Second {
		return
	}
	p.tokenRaiseDue, p.tokenRaisedAt = false, c.now
	leased.pending = true
	stamp := leased.token
	c.submitWrite(&store.Write{
		Conditions: []wire.Condition{{Key: key, Revision: stamp}},
		Changes:    []wire.Change{{Put: key, Value: c.holderValue(), Lease: leased.lease}},
	}, func(err error) {
		leased.pending = false
		if leased.token != stamp {
			return
		}
		if err != nil {
			c.reader.AfterSuccessfulRead(func() { // perhaps an unanswered try was applied
				if leased.token == stamp && c.replica.Revision(key) != stamp {
					c.onTokenRaised(p, leased, c.replica.Revision(key))
				}
			})
			return
		}
		c.onTokenRaised(p, leased, c.replica.Revision(key))
	})
}

// cancelWrites gives up what waits to be stored under a term that has ended.
func (p *partition) cancelWrites() {
	for _, group := range p.groups {
		group.cancelWrite()
	}
}

func (c *controller) onTokenRaised(p *partition, leased *leasedKey, stamp uint64) {
	if h := c.holders[p.key]; h.ProcessID != c.processID {
		return
	}
	leased.token, p.token = stamp, stamp
	p.cancelWrites()
	if p.key == c.leaderKey() {
		c.leadership.token = stamp
	}
	c.log.Info("term raised", "part", p.index, "term", stamp)
	for _, m := range p.machines {
		if !m.terminated {
			c.ping(m, p)
		}
	}
}

// stepDownIfUnheard gives the rights up when no worker reaches this controller: the
// siblings may well be reachable.
func (c *controller) stepDownIfUnheard() {
	report := config.Seconds(c.cfg.Settings.Workers.ReportS)
	window := 2*report + 6*time.Second
	known, heard, young := 0, false, false
	// Many machines that all fall silent at once say more in a short time than few
	// do in a long one: of n that report independently, none is heard for this
	// long by chance once in e to the 20th. Their leases run meanwhile, and finding
	// the successor takes them some seconds more.
	if n := c.reportingMachines(); n > 0 {
		window = min(window, max(20*report/time.Duration(n), report/2+2*time.Second))
	}
	// What came while this process stood still waits in its sockets.
	if c.now.Sub(c.resumedFromPauseAt) < window {
		return
	}
	for _, p := range c.partitions {
		if p.token == 0 {
			continue
		}
		young = young || c.now.Sub(p.ownedSince) < window
		for _, m := range p.machines {
			if m.terminated {
				continue
			}
			if len(m.bindings) > 0 || !m.heartbeatAt.IsZero() && c.now.Sub(m.heartbeatAt) < time.Minute {
				known++
			}
			heard = heard || m.heartbeatAt.After(p.ownedSince) && c.now.Sub(m.heartbeatAt) < window
		}
	}
	if known >= 2 && !heard && !young && c.peersMayBeHeard() {
		c.steppedDownAt = c.now
		c.log.Info("no worker reaches this controller: giving all rights up", "machines", known)
		c.backoffUntil = c.now.Add(stepDownBackoff)
		for key := range c.leasedKeys {
			c.resign(key)
		}
		return
	}
}

// peersMayBeHeard tells whether it may help that somebody else has our rights: a sibling
// has machines that report to it, or that is not known. Where all machines have died
// everybody hears none, and rights that go round for ever have nobody wait for the
// leases to end, so then each gives them up once in that time.
func (c *controller) peersMayBeHeard() bool {
	known := len(c.peers) > 0
	for _, s := range c.peers {
		if s.status == nil || c.now.Sub(s.heardAt) > 4*time.Second {
			known = false
			continue
		}
		for i := range s.status.Machines {
			if s.status.Machines[i].Flags&peer.Reachable != 0 {
				return true
			}
		}
	}
	return !known && (c.steppedDownAt.IsZero() || c.lastHeartbeatAt.After(c.steppedDownAt) || c.now.Sub(c.steppedDownAt) > 2*(c.maxStaleness+c.leaseExpiry))
}

// stepDownIfIsolatedLeader gives the lead up when neither workers nor other owners reach
// this controller. Siblings alone don't count: where connections between all
// controllers are refused, the lead would be passed round for nothing.
func (c *controller) stepDownIfIsolatedLeader() {
	if c.leasedKeys[c.leaderKey()].token == 0 || c.now.Sub(c.leadership.since) < 8*time.Second || !c.peersSilent(6*time.Second) || c.reportingMachines() > 0 {
		return
	}
	for _, p := range c.partitions[:c.loanPartition()] {
		if h, ok := c.holders[p.key]; ok && h.Node != c.cfg.Name {
			c.log.Info("neither workers nor other owners reach this leader: giving the lead up")
			c.resign(c.leaderKey())
			c.leasedKeys[c.leaderKey()].backoffUntil = c.now.Add(stepDownBackoff)
			return
		}
	}
}

// reportingMachines is how many machines of ours have reported of late.
func (c *controller) reportingMachines() int {
	n := 0
	for _, p := range c.partitions {
		if p.token == 0 {
			continue
		}
		for _, m := range p.machines {
			if !m.terminated && c.now.Sub(m.heartbeatAt) < time.Minute {
				n++
			}
		}
	}
	return n
}

// peersSilent tells whether there are siblings and none was heard for d.
func (c *controller) peersSilent(d time.Duration) bool {
	for _, s := range c.peers {
		if c.now.Sub(s.heardAt) < d {
			return false
		}
	}
	return len(c.peers) > 0
}
