package autoscaler

import (
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	// tombstoneValueShare: a tombstone takes up at most half of what a value may hold.
	tombstoneValueShare = 2
	// nameOverheadBytes are a name's quotes and comma in a tombstone.
	nameOverheadBytes = 3
	// tombstoneLifetime and tombstoneListLags are how long a tombstone is kept at least:
	// until no list of the cloud, and no late heartbeat, shows its machines any more.
	tombstoneLifetime = 2 * time.Minute
	tombstoneListLags = 4
	// tombstoneChangesShare: deleting tombstones takes up at most a quarter of the
	// changes of a transaction.
	tombstoneChangesShare = 4
	// maxCleanUpBacklog is the backlog of writes at which deleting can wait.
	maxCleanUpBacklog = time.Second
)

// tombstoneBatch are terminated machines that share a tombstone.
type tombstoneBatch struct {
	names []string
	bytes int
}

// storeTombstones stores that machines are gone, under the leader's token or that of the
// machine's partition. All that are terminated together share a tombstone: with one for
// each, some hundred machines that die together took up what the key-value store allows
// while their tasks waited for it.
func (a *Autoscaler) storeTombstones(names []string) {
	batches := map[wire.Condition]*tombstoneBatch{}
	maxBytes := a.MaxValueBytes / tombstoneValueShare
	for _, name := range names {
		condition, needed := a.tombstoneCondition(name)
		if !needed {
			continue
		}
		batch := batches[condition]
		if batch == nil {
			batch = &tombstoneBatch{}
			batches[condition] = batch
		}
		batch.names = append(batch.names, name)
		batch.bytes += len(name) + nameOverheadBytes
		if batch.bytes > maxBytes {
			a.storeTombstone(condition, batch.names)
			delete(batches, condition)
		}
	}
	for condition, batch := range batches {
		a.storeTombstone(condition, batch.names)
	}
}

// tombstoneCondition forgets a terminated instance and returns under which condition its
// tombstone is stored; false: it needs none, or somebody else has to store it.
func (a *Autoscaler) tombstoneCondition(name string) (wire.Condition, bool) {
	inst, m := a.term.instances[name], a.Machines.GetOrAdd(name)
	delete(a.term.instances, name)
	delete(a.term.idleSince, name)
	delete(a.term.draining, name)
	if inst != nil && !inst.reported && !m.HasBoundTasks {
		a.Machines.MarkTerminated(name) // it never was: nobody needs to know
		delete(a.terminating, name)
		return wire.Condition{}, false
	}
	leadership := a.Cluster.Leadership()
	condition := leadership.FencingCondition
	if owned := a.Cluster.PartitionFencingCondition(m.Partition); !leadership.Active && owned.Revision != 0 {
		condition = owned
	}
	if condition.Revision == 0 {
		a.cancelTermination([]string{name}) // whoever may store it by now terminates it again
		return wire.Condition{}, false
	}
	return condition, true
}

// storeTombstone stores one tombstone for machines.
func (a *Autoscaler) storeTombstone(condition wire.Condition, names []string) {
	key := a.TombstoneKeyPrefix + names[0]
	a.Writer.SubmitWrite(&store.Write{
		MediumPriority: true,
		Conditions:     []wire.Condition{condition, {Key: key}},
		Changes:        []wire.Change{{Put: key, Value: record.JSON(names)}},
	}, func(error) { a.cancelTermination(names) })
}

// deleteTombstones deletes tombstones once nothing is bound to their machines any more and
// no list can show them. One transaction at a time: asked for again at each tick until the
// first was stored, a hundred tombstones took up all that the key-value store allows.
func (a *Autoscaler) deleteTombstones() {
	if a.term.deletingTombstones || a.Writer.Backlog() > maxCleanUpBacklog {
		return
	}
	changes := a.obsoleteTombstones(a.MaxTransactionChanges / tombstoneChangesShare)
	if len(changes) == 0 {
		return
	}
	a.term.deletingTombstones = true
	epoch := a.epoch()
	a.Writer.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{a.Cluster.Leadership().FencingCondition},
		Changes:    changes,
	}, func(error) {
		if a.epoch() == epoch {
			a.term.deletingTombstones = false
		}
	})
}

// obsoleteTombstones are the deletions of tombstones that nobody needs, at most limit.
func (a *Autoscaler) obsoleteTombstones(limit int) []wire.Change {
	var changes []wire.Change
	keep := tombstoneLifetime + tombstoneListLags*config.Seconds(a.CloudSettings.ListLagS)
	for tombstone := range a.Cluster.Tombstones() {
		if len(changes) == limit {
			break
		}
		if a.Loop.Now().Sub(tombstone.FirstSeenAt) > keep && !slices.ContainsFunc(tombstone.MachineNames, a.inUse) {
			changes = append(changes, wire.Change{Delete: tombstone.Key})
		}
	}
	return changes
}

// inUse tells whether tasks are bound to a machine.
func (a *Autoscaler) inUse(name string) bool {
	m, known := a.Machines.Lookup(name)
	return known && m.HasBoundTasks
}
