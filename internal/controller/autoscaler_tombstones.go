package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

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
