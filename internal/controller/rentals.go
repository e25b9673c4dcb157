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
func (b *controller) launchInstances(o core.Offer, n int) {
	if b.leadership.launching[o] > 0 {
		return
	}
	b.leadership.launchRequests++
	epoch := b.leadership.epoch
	req := wire.LaunchRequest{Request: fmt.Sprintf("r-%d-%d", epoch, b.leadership.launchRequests), Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: n}
	b.leadership.launching[o] = n
	started := b.now
	b.queueCloudCall(func() {
		names, err := b.cloudClient.Launch(b.ctx, req)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) && !errors.Is(err, cloud.ErrRefused) {
			names, err = b.cloudClient.Launch(b.ctx, req) // unanswered: the same name rents nothing twice
		}
		b.enqueue(priorityWorkers, func() {
			if b.leadership.epoch != epoch {
				return
			}
			delete(b.leadership.launching, o)
			if err == nil {
				for _, name := range names {
					if b.leadership.instances[name] == nil {
						b.leadership.instances[name] = &instance{machineType: o.Type, zone: o.Zone, spot: o.Spot, launchedAt: started}
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
			b.leadership.backoff[o], b.leadership.refusedUntil[o] = d, b.now.Add(d)
			b.log.Debug("rental not filled", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", n, "err", err)
		})
	})
}

// cloudCall queues a call to the cloud; false if too many wait.
func (b *controller) queueCloudCall(f func()) bool {
	select {
	case b.cloudCalls <- f:
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
func (b *controller) terminateInstances(names []string) {
	for _, n := range names {
		if !b.terminating[n] {
			b.terminating[n] = true
			b.toTerminate = append(b.toTerminate, n)
		}
	}
	if b.terminateInFlight || len(b.toTerminate) == 0 {
		return
	}
	batch := b.toTerminate[:min(len(b.toTerminate), cloud.MaxTerminate)]
	b.toTerminate = b.toTerminate[len(batch):]
	b.terminateInFlight = b.queueCloudCall(func() {
		err := b.cloudClient.Terminate(b.ctx, batch)
		b.enqueue(priorityWorkers, func() {
			b.terminateInFlight = false
			if err != nil {
				b.log.Debug("release failed", "machines", len(batch), "err", err)
				b.cancelTermination(batch)
			} else {
				b.log.Info("machines released", "machines", batch)
				b.storeTombstones(batch)
			}
			b.terminateInstances(nil)
		})
	})
	if !b.terminateInFlight {
		b.cancelTermination(batch)
	}
}

// stay forgets that machines were to be released: if need be they are again.
func (b *controller) cancelTermination(names []string) {
	for _, n := range names {
		delete(b.terminating, n)
	}
}

// markGone stores that machines are gone, by whatever right is held: the lead, or
// the machine's part. All of a release share a marker: with one for each, some
// hundred machines that die together took up what the state service allows while
// their tasks waited for it.
func (b *controller) storeTombstones(names []string) {
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
			func(error) { b.cancelTermination(names) })
	}
	most := int(b.cfg.Settings.State.ValueKB*1024) / 2
	for _, n := range names {
		r, m := b.leadership.instances[n], b.machineNamed(n)
		delete(b.leadership.instances, n)
		delete(b.leadership.idleSince, n)
		delete(b.leadership.draining, n)
		if r != nil && !r.reported && len(m.bindings) == 0 {
			m.terminated = true // it never was: nobody needs to know
			delete(b.terminating, n)
			continue
		}
		right := b.leaderCondition()
		if p := b.partitions[m.partition]; !b.leadership.active && p.token != 0 {
			right = wire.Condition{Key: p.key, Revision: p.token}
		}
		if right.Revision == 0 {
			b.cancelTermination([]string{n}) // whoever has the right by now asks again
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
func (b *controller) terminateUnreachable() {
	if b.leadership.active {
		return
	}
	if s := b.peers[b.holders[b.leaderKey()].Node]; s != nil && b.now.Sub(s.heardAt) < 4*time.Second {
		return
	}
	var names []string
	for _, p := range b.partitions {
		if !p.active || !b.isFresh(b.operator.LeaseTTL) {
			continue
		}
		for _, m := range p.machines {
			if len(m.bindings) > 0 && b.unreachable(m, p) {
				names = append(names, m.name)
			}
		}
	}
	b.terminateInstances(names)
}

// listShare is the share of the cloud's calls that lists may take.
const listCallShare = 0.15

// tendCloud keeps the list of machines and the types current.
func (b *controller) syncCloud() {
	if b.now.Sub(b.leadership.machineTypesFetchedAt) > time.Minute || len(b.machineTypes) == 0 && b.now.Sub(b.leadership.machineTypesFetchedAt) > 2*time.Second {
		if b.isLeader() || len(b.machineTypes) == 0 && b.loaded {
			b.leadership.machineTypesFetchedAt = b.now
			b.queueCloudCall(b.fetchMachineTypes)
		}
	}
	if !b.isLeader() {
		return
	}
	// A list of many machines is many calls, which must not crowd out rentals.
	c := &b.cfg.Settings.Cloud
	pages := 1 + len(b.leadership.instances)/cloud.MaxList
	every := max(config.Seconds(c.ListLagS/2), 2*time.Second, config.Seconds(float64(pages)/(listCallShare*c.RPS)))
	if !b.leadership.listInFlight && b.now.Sub(b.leadership.listedAt) > every {
		b.leadership.listInFlight, b.leadership.listedAt = true, b.now
		epoch := b.leadership.epoch
		if !b.queueCloudCall(func() {
			list, err := b.cloudClient.List(b.ctx)
			b.enqueue(priorityWorkers, func() {
				if b.leadership.epoch != epoch {
					return
				}
				b.leadership.listInFlight = false
				if err != nil {
					b.log.Debug("machine list", "err", err)
					return
				}
				b.applyInstanceList(list)
			})
		}) {
			b.leadership.listInFlight = false
		}
	}
	b.deleteTombstones()
}

// clearGone deletes markers of machines that are gone, once nothing is bound to
// the machine any more and no list can show it. One transaction at a time: asked
// for again at each tick until the first was stored, a hundred markers took up
// all that the state service allows.
func (b *controller) deleteTombstones() {
	if b.leadership.deletingTombstones || b.stateWriter.Backlog() > time.Second {
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
			return m != nil && len(m.bindings) > 0
		})
		if b.now.Sub(g.at) > keep && !bound {
			u.Changes = append(u.Changes, wire.Change{Delete: key})
		}
	}
	if len(u.Changes) == 0 {
		return
	}
	epoch := b.leadership.epoch
	b.leadership.deletingTombstones = true
	b.submitWrite(u, func(error) {
		if b.leadership.epoch == epoch {
			b.leadership.deletingTombstones = false
		}
	})
}

func (b *controller) fetchMachineTypes() {
	list, err := b.cloudClient.MachineTypes(b.ctx)
	b.enqueue(priorityWorkers, func() {
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
func (b *controller) applyInstanceList(list []wire.Instance) {
	b.leadership.listed = true
	var failed []string
	lag := config.Seconds(2 * b.cfg.Settings.Cloud.ListLagS)
	listed := map[string]bool{}
	for i := range list {
		x := &list[i]
		listed[x.Name] = true
		if m := b.machines[x.Name]; m != nil && m.terminated || b.terminating[x.Name] {
			continue
		}
		if x.State == wire.InstanceFailed {
			failed = append(failed, x.Name)
			continue
		}
		r := b.leadership.instances[x.Name]
		if r == nil {
			r = &instance{machineType: x.Type, zone: x.Zone, spot: x.Spot, launchedAt: b.now.Add(-config.Seconds(x.AgeS))}
			b.leadership.instances[x.Name] = r
		}
		r.listed = true
	}
	for name, r := range b.leadership.instances {
		// One that was listed and is no more has been taken; one that never was
		// after twice the lag does not exist.
		if !listed[name] && (r.listed || b.now.Sub(r.launchedAt) > lag+10*time.Second) && !r.reported {
			delete(b.leadership.instances, name)
		}
	}
	b.terminateInstances(failed)
}
