package controller

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/core"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// rent asks the cloud for machines. The name is unique for all time: the
// leader's term never comes again.
func (b *brain) rent(o core.Offer, n int) {
	if b.leadership.renting[o] > 0 {
		return
	}
	b.leadership.rentals++
	epoch := b.leadership.epoch
	req := wire.LaunchRequest{Request: fmt.Sprintf("r-%d-%d", epoch, b.leadership.rentals), Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: n}
	b.leadership.renting[o] = n
	started := b.now
	b.cloudCall(func() {
		names, err := b.cl.Launch(b.ctx, req)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) && !errors.Is(err, cloud.ErrRefused) {
			names, err = b.cl.Launch(b.ctx, req) // unanswered: the same name rents nothing twice
		}
		b.post(laneWorkers, func() {
			if b.leadership.epoch != epoch {
				return
			}
			delete(b.leadership.renting, o)
			if err == nil {
				for _, name := range names {
					if b.leadership.rented[name] == nil {
						b.leadership.rented[name] = &rented{typ: o.Type, zone: o.Zone, spot: o.Spot, since: started}
					}
				}
				b.log.Info("machines rented", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", n, "got", len(names))
			}
			if err == nil && len(names) == n {
				delete(b.leadership.backoff, o)
				return
			}
			// Each type, zone and kind is refused apart from the others.
			d := min(max(2*b.leadership.backoff[o], 5*time.Second), 40*time.Second)
			if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
				d = 3 * time.Second
			}
			b.leadership.backoff[o], b.leadership.refused[o] = d, b.now.Add(d)
			b.log.Debug("rental not filled", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", n, "err", err)
		})
	})
}

// cloudCall queues a call to the cloud; false if too many wait.
func (b *brain) cloudCall(f func()) bool {
	select {
	case b.cloudQ <- f:
		return true
	default:
		return false
	}
}

// release returns machines. Once the cloud has answered they are gone with all
// that was on them, which is stored for their parts' owners to act on. One call
// is on its way at a time, and the next takes all that have come up meanwhile:
// the cloud allows few calls, and a call for each machine had the last of forty
// dead ones wait for twenty seconds.
func (b *brain) release(names []string) {
	for _, n := range names {
		if !b.leaving[n] {
			b.leaving[n] = true
			b.toRelease = append(b.toRelease, n)
		}
	}
	if b.releasing || len(b.toRelease) == 0 {
		return
	}
	batch := b.toRelease[:min(len(b.toRelease), cloud.MaxTerminate)]
	b.toRelease = b.toRelease[len(batch):]
	b.releasing = b.cloudCall(func() {
		err := b.cl.Terminate(b.ctx, batch)
		b.post(laneWorkers, func() {
			b.releasing = false
			if err != nil {
				b.log.Debug("release failed", "machines", len(batch), "err", err)
				b.stay(batch)
			} else {
				b.log.Info("machines released", "machines", batch)
				b.markGone(batch)
			}
			b.release(nil)
		})
	})
	if !b.releasing {
		b.stay(batch)
	}
}

// stay forgets that machines were to be released: if need be they are again.
func (b *brain) stay(names []string) {
	for _, n := range names {
		delete(b.leaving, n)
	}
}

// markGone stores that machines are gone, by whatever right is held: the lead, or
// the machine's part. All of a release share a marker: with one for each, some
// hundred machines that die together took up what the state service allows while
// their tasks waited for it.
func (b *brain) markGone(names []string) {
	type batch struct {
		names []string
		size  int
	}
	batches := map[wire.Condition]*batch{}
	flush := func(right wire.Condition) {
		names := batches[right].names
		delete(batches, right)
		key := tombstonePrefix + names[0]
		b.submitWrite(&store.Write{Early: true, Conditions: []wire.Condition{right, {Key: key}}, Changes: []wire.Change{{Put: key, Value: record.JSON(names)}}},
			func(error) { b.stay(names) })
	}
	most := int(b.cfg.Settings.State.ValueKB*1024) / 2
	for _, n := range names {
		r, m := b.leadership.rented[n], b.machine(n)
		delete(b.leadership.rented, n)
		delete(b.leadership.idle, n)
		delete(b.leadership.closing, n)
		if r != nil && !r.up && len(m.bound) == 0 {
			m.gone = true // it never was: nobody needs to know
			delete(b.leaving, n)
			continue
		}
		right := b.leaderCondition()
		if p := b.partitions[m.home]; !b.leadership.active && p.token != 0 {
			right = wire.Condition{Key: p.key, Revision: p.token}
		}
		if right.Revision == 0 {
			b.stay([]string{n}) // whoever has the right by now asks again
			continue
		}
		x := batches[right]
		if x == nil {
			x = &batch{}
			batches[right] = x
		}
		x.names, x.size = append(x.names, n), x.size+len(n)+3
		if x.size > most {
			flush(right)
		}
	}
	for right := range batches {
		flush(right)
	}
}

// releaseSilent has an owner that hears nothing of the leader return its silent
// machines itself. The leader could not know of them, and their tasks would wait
// for the whole lease.
func (b *brain) releaseSilent() {
	if b.leadership.active {
		return
	}
	if s := b.peers[b.holders[b.leaderKey()].Node]; s != nil && b.now.Sub(s.heardAt) < 4*time.Second {
		return
	}
	var names []string
	for _, p := range b.partitions {
		if !p.active || !b.isFresh(b.op.LeaseTTL) {
			continue
		}
		for _, m := range p.machines {
			if len(m.bound) > 0 && b.silent(m, p) {
				names = append(names, m.name)
			}
		}
	}
	b.release(names)
}

// listShare is the share of the cloud's calls that lists may take.
const listShare = 0.15

// tendCloud keeps the list of machines and the types current.
func (b *brain) tendCloud() {
	if b.now.Sub(b.leadership.typesAt) > time.Minute || len(b.machineTypes) == 0 && b.now.Sub(b.leadership.typesAt) > 2*time.Second {
		if b.isLeader() || len(b.machineTypes) == 0 && b.loaded {
			b.leadership.typesAt = b.now
			b.cloudCall(b.fetchTypes)
		}
	}
	if !b.isLeader() {
		return
	}
	// A list of many machines is many calls, which must not crowd out rentals.
	c := &b.cfg.Settings.Cloud
	pages := 1 + len(b.leadership.rented)/cloud.MaxList
	every := max(config.Seconds(c.ListLagS/2), 2*time.Second, config.Seconds(float64(pages)/(listShare*c.RPS)))
	if !b.leadership.listBusy && b.now.Sub(b.leadership.listAt) > every {
		b.leadership.listBusy, b.leadership.listAt = true, b.now
		epoch := b.leadership.epoch
		if !b.cloudCall(func() {
			list, err := b.cl.List(b.ctx)
			b.post(laneWorkers, func() {
				if b.leadership.epoch != epoch {
					return
				}
				b.leadership.listBusy = false
				if err != nil {
					b.log.Debug("machine list", "err", err)
					return
				}
				b.takeList(list)
			})
		}) {
			b.leadership.listBusy = false
		}
	}
	b.clearGone()
}

// clearGone deletes markers of machines that are gone, once nothing is bound to
// the machine any more and no list can show it. One transaction at a time: asked
// for again at each tick until the first was stored, a hundred markers took up
// all that the state service allows.
func (b *brain) clearGone() {
	if b.leadership.clearing || b.wr.Backlog() > time.Second {
		return
	}
	u := &store.Write{Conditions: []wire.Condition{b.leaderCondition()}}
	keep := 2*time.Minute + 4*config.Seconds(b.cfg.Settings.Cloud.ListLagS)
	for key, g := range b.tombstones {
		if len(u.Changes) == b.cfg.Settings.State.TxnOps/4 {
			break
		}
		bound := slices.ContainsFunc(g.names, func(n string) bool {
			m := b.machines[n]
			return m != nil && len(m.bound) > 0
		})
		if b.now.Sub(g.at) > keep && !bound {
			u.Changes = append(u.Changes, wire.Change{Delete: key})
		}
	}
	if len(u.Changes) == 0 {
		return
	}
	epoch := b.leadership.epoch
	b.leadership.clearing = true
	b.submitWrite(u, func(error) {
		if b.leadership.epoch == epoch {
			b.leadership.clearing = false
		}
	})
}

func (b *brain) fetchTypes() {
	list, err := b.cl.MachineTypes(b.ctx)
	b.post(laneWorkers, func() {
		if err != nil || len(list) == 0 {
			b.log.Debug("machine types", "err", err)
			return
		}
		b.putMachineTypes(list)
		if !b.machineTypesStored {
			b.machineTypesStored = true
			b.submitWrite(&store.Write{Conditions: []wire.Condition{{Key: machineTypesKey}}, Changes: []wire.Change{{Put: machineTypesKey, Value: record.JSON(list)}}}, func(error) {})
		}
	})
}

// takeList takes the cloud's list in: machines that failed are gone, ones that
// nobody knows of are used.
func (b *brain) takeList(list []wire.Instance) {
	b.leadership.listed = true
	var failed []string
	lag := config.Seconds(2 * b.cfg.Settings.Cloud.ListLagS)
	listed := map[string]bool{}
	for i := range list {
		x := &list[i]
		listed[x.Name] = true
		if m := b.machines[x.Name]; m != nil && m.gone || b.leaving[x.Name] {
			continue
		}
		if x.State == wire.InstanceFailed {
			failed = append(failed, x.Name)
			continue
		}
		r := b.leadership.rented[x.Name]
		if r == nil {
			r = &rented{typ: x.Type, zone: x.Zone, spot: x.Spot, since: b.now.Add(-config.Seconds(x.AgeS))}
			b.leadership.rented[x.Name] = r
		}
		r.listed = true
	}
	for name, r := range b.leadership.rented {
		// One that was listed and is no more has been taken; one that never was
		// after twice the lag does not exist.
		if !listed[name] && (r.listed || b.now.Sub(r.since) > lag+10*time.Second) && !r.up {
			delete(b.leadership.rented, name)
		}
	}
	b.release(failed)
}
