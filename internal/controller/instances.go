package controller

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// autoscaler launches and terminates machines for the leader, and terminates those of this
// controller's partitions that nobody reaches while no leader is heard.
type autoscaler struct {
	*leader
	cloudClient *cloud.Client
	// cloudCalls are calls to the cloud that wait for their turn.
	cloudCalls chan func()
	// toTerminate are machines of which the cloud has not been asked yet.
	toTerminate       []string
	terminateInFlight bool
}

// launchInstances asks the cloud for machines. The name is unique for all time: the
// leader's term never comes again.
func (c *autoscaler) launchInstances(o planning.Offer, n int) {
	if c.leadership.launching[o] > 0 {
		return
	}
	c.leadership.launchRequests++
	epoch := c.leadership.epoch
	req := wire.LaunchRequest{IdempotencyKey: fmt.Sprintf("r-%d-%d", epoch, c.leadership.launchRequests), Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: n}
	c.leadership.launching[o] = n
	started := c.now
	c.queueCloudCall(func() {
		names, err := c.cloudClient.Launch(c.ctx, req)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) && !errors.Is(err, cloud.ErrRefused) {
			names, err = c.cloudClient.Launch(c.ctx, req) // unanswered: the same name rents nothing twice
		}
		c.enqueue(priorityWorkers, func() {
			if c.leadership.epoch != epoch {
				return
			}
			delete(c.leadership.launching, o)
			if err == nil {
				for _, name := range names {
					if c.leadership.instances[name] == nil {
						c.leadership.instances[name] = &instance{machineType: o.Type, zone: o.Zone, spot: o.Spot, launchedAt: started}
					}
				}
				c.log.Info("machines rented", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", n, "got", len(names))
			}
			if err == nil && len(names) == n {
				delete(c.leadership.backoff, o)
				return
			}
			// Each type, zone and kind is refused apart from the others.
			d := min(max(2*c.leadership.backoff[o], 5*time.Second), 40*time.Second)
			if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
				d = 3 * time.Second
			}
			c.leadership.backoff[o], c.leadership.refusedUntil[o] = d, c.now.Add(d)
			c.log.Debug("rental not filled", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", n, "err", err)
		})
	})
}

// queueCloudCall queues a call to the cloud; false if too many wait.
func (c *autoscaler) queueCloudCall(f func()) bool {
	select {
	case c.cloudCalls <- f:
		return true
	default:
		return false
	}
}

// terminateInstances returns machines. Once the cloud has answered they are gone with all
// that was on them, which is stored for their parts' owners to act on. One call
// is on its way at a time, and the next takes all that have come up meanwhile:
// the cloud allows few calls, and a call for each machine had the last of forty
// dead ones wait for twenty seconds.
func (c *autoscaler) terminateInstances(names []string) {
	for _, n := range names {
		if !c.terminating[n] {
			c.terminating[n] = true
			c.toTerminate = append(c.toTerminate, n)
		}
	}
	if c.terminateInFlight || len(c.toTerminate) == 0 {
		return
	}
	batch := c.toTerminate[:min(len(c.toTerminate), cloud.MaxTerminate)]
	c.toTerminate = c.toTerminate[len(batch):]
	c.terminateInFlight = c.queueCloudCall(func() {
		err := c.cloudClient.Terminate(c.ctx, batch)
		c.enqueue(priorityWorkers, func() {
			c.terminateInFlight = false
			if err != nil {
				c.log.Debug("release failed", "machines", len(batch), "err", err)
				c.cancelTermination(batch)
			} else {
				c.log.Info("machines released", "machines", batch)
				c.storeTombstones(batch)
			}
			c.terminateInstances(nil)
		})
	})
	if !c.terminateInFlight {
		c.cancelTermination(batch)
	}
}

// cancelTermination forgets that machines were to be released: if need be they are again.
func (c *clusterState) cancelTermination(names []string) {
	for _, n := range names {
		delete(c.terminating, n)
	}
}

// storeTombstones stores that machines are gone, by whatever right is held: the lead, or
// the machine's part. All of a release share a marker: with one for each, some
// hundred machines that die together took up what the state service allows while
// their tasks waited for it.
func (c *leader) storeTombstones(names []string) {
	type batch struct {
		names []string
		size  int
	}
	batches := map[wire.Condition]*batch{}
	flush := func(right wire.Condition) {
		names := batches[right].names
		delete(batches, right)
		key := tombstonePrefix + names[0]
		c.SubmitWrite(&store.Write{Early: true, Conditions: []wire.Condition{right, {Key: key}}, Changes: []wire.Change{{Put: key, Value: record.JSON(names)}}},
			func(error) { c.cancelTermination(names) })
	}
	most := int(c.cfg.Settings.Store.ValueKB*1024) / 2
	for _, n := range names {
		inst, m := c.leadership.instances[n], c.machineNamed(n)
		delete(c.leadership.instances, n)
		delete(c.leadership.idleSince, n)
		delete(c.leadership.draining, n)
		if inst != nil && !inst.reported && len(m.bindings) == 0 {
			m.terminated = true // it never was: nobody needs to know
			delete(c.terminating, n)
			continue
		}
		right := c.leaderCondition()
		if p := c.partitions[m.partition]; !c.leadership.active && p.token != 0 {
			right = wire.Condition{Key: p.key, Revision: p.token}
		}
		if right.Revision == 0 {
			c.cancelTermination([]string{n}) // whoever has the right by now asks again
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

// terminateUnreachable has an owner that hears nothing of the leader return its silent
// machines itself. The leader could not know of them, and their tasks would wait
// for the whole lease.
func (c *autoscaler) terminateUnreachable() {
	if c.leadership.active {
		return
	}
	if leader := c.peers.Peer(c.ownerOf(c.leaderKey())); leader != nil && c.now.Sub(leader.HeardAt) < 4*time.Second {
		return
	}
	var names []string
	for _, p := range c.partitions {
		if !p.active || !c.isFresh(c.operator.LeaseTTL) {
			continue
		}
		for _, m := range p.machines {
			if len(m.bindings) > 0 && c.unreachable(m, p) {
				names = append(names, m.name)
			}
		}
	}
	c.terminateInstances(names)
}

// listCallShare is the share of the cloud's calls that lists may take.
const listCallShare = 0.15

// syncCloud keeps the list of machines and the types current.
func (c *autoscaler) syncCloud() {
	if c.now.Sub(c.leadership.machineTypesFetchedAt) > time.Minute || len(c.machineTypes) == 0 && c.now.Sub(c.leadership.machineTypesFetchedAt) > 2*time.Second {
		if c.isLeader() || len(c.machineTypes) == 0 && c.replica.Loaded() {
			c.leadership.machineTypesFetchedAt = c.now
			c.queueCloudCall(c.fetchMachineTypes)
		}
	}
	if !c.isLeader() {
		return
	}
	// A list of many machines is many calls, which must not crowd out rentals.
	limits := &c.cfg.Settings.Cloud
	pages := 1 + len(c.leadership.instances)/cloud.MaxList
	every := max(config.Seconds(limits.ListLagS/2), 2*time.Second, config.Seconds(float64(pages)/(listCallShare*limits.RPS)))
	if !c.leadership.listInFlight && c.now.Sub(c.leadership.listedAt) > every {
		c.leadership.listInFlight, c.leadership.listedAt = true, c.now
		epoch := c.leadership.epoch
		if !c.queueCloudCall(func() {
			list, err := c.cloudClient.List(c.ctx)
			c.enqueue(priorityWorkers, func() {
				if c.leadership.epoch != epoch {
					return
				}
				c.leadership.listInFlight = false
				if err != nil {
					c.log.Debug("machine list", "err", err)
					return
				}
				c.applyInstanceList(list)
			})
		}) {
			c.leadership.listInFlight = false
		}
	}
	c.deleteTombstones()
}

// deleteTombstones deletes markers of machines that are gone, once nothing is bound to
// the machine any more and no list can show it. One transaction at a time: asked
// for again at each tick until the first was stored, a hundred markers took up
// all that the state service allows.
func (c *leader) deleteTombstones() {
	if c.leadership.deletingTombstones || c.stateWriter.Backlog() > time.Second {
		return
	}
	write := &store.Write{Conditions: []wire.Condition{c.leaderCondition()}}
	keep := 2*time.Minute + 4*config.Seconds(c.cfg.Settings.Cloud.ListLagS)
	for key, g := range c.tombstones {
		if len(write.Changes) == c.cfg.Settings.Store.TxnOps/4 {
			break
		}
		bound := slices.ContainsFunc(g.names, func(n string) bool {
			m := c.machines[n]
			return m != nil && len(m.bindings) > 0
		})
		if c.now.Sub(g.at) > keep && !bound {
			write.Changes = append(write.Changes, wire.Change{Delete: key})
		}
	}
	if len(write.Changes) == 0 {
		return
	}
	epoch := c.leadership.epoch
	c.leadership.deletingTombstones = true
	c.SubmitWrite(write, func(error) {
		if c.leadership.epoch == epoch {
			c.leadership.deletingTombstones = false
		}
	})
}

func (c *autoscaler) fetchMachineTypes() {
	list, err := c.cloudClient.MachineTypes(c.ctx)
	c.enqueue(priorityWorkers, func() {
		if err != nil || len(list) == 0 {
			c.log.Debug("machine types", "err", err)
			return
		}
		c.putMachineTypes(list)
		if !c.machineTypesStored {
			c.machineTypesStored = true
			c.SubmitWrite(&store.Write{Conditions: []wire.Condition{{Key: machineTypesKey}}, Changes: []wire.Change{{Put: machineTypesKey, Value: record.JSON(list)}}}, func(error) {})
		}
	})
}

// applyInstanceList takes the cloud's list in: machines that failed are gone, ones that
// nobody knows of are used.
func (c *autoscaler) applyInstanceList(list []wire.Instance) {
	c.leadership.listed = true
	var failed []string
	lag := config.Seconds(2 * c.cfg.Settings.Cloud.ListLagS)
	listed := map[string]bool{}
	for i := range list {
		x := &list[i]
		listed[x.Name] = true
		if m := c.machines[x.Name]; m != nil && m.terminated || c.terminating[x.Name] {
			continue
		}
		if x.State == wire.InstanceFailed {
			failed = append(failed, x.Name)
			continue
		}
		inst := c.leadership.instances[x.Name]
		if inst == nil {
			inst = &instance{machineType: x.Type, zone: x.Zone, spot: x.Spot, launchedAt: c.now.Add(-config.Seconds(x.AgeS))}
			c.leadership.instances[x.Name] = inst
		}
		inst.listed = true
	}
	for name, inst := range c.leadership.instances {
		// One that was listed and is no more has been taken; one that never was
		// after twice the lag does not exist.
		if !listed[name] && (inst.listed || c.now.Sub(inst.launchedAt) > lag+10*time.Second) && !inst.reported {
			delete(c.leadership.instances, name)
		}
	}
	c.terminateInstances(failed)
}
