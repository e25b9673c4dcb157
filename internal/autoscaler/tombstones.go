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
	// tombstoneValueDivisor: a tombstone takes up at most half of what a value may hold.
	tombstoneValueDivisor = 2
	// nameOverheadBytes are a name's quotes and comma in a tombstone.
	nameOverheadBytes = 3
	// minTombstoneAge and tombstoneListLagFactor are how long a tombstone is kept at least:
	// until no list of the cloud, and no late heartbeat, shows its machines any more.
	minTombstoneAge        = 2 * time.Minute
	tombstoneListLagFactor = 4
	// tombstoneChangesDivisor: deleting tombstones takes up at most a quarter of the
	// changes of a transaction.
	tombstoneChangesDivisor = 4
	// maxCleanupBacklog is the backlog of writes at which deleting can wait.
	maxCleanupBacklog = time.Second
)

// tombstoneBatch are terminated machines that share a tombstone.
type tombstoneBatch struct {
	names        []string
	encodedBytes int
}

// storeTombstones stores that machines are gone, under the leader's token or that of the
// machine's partition. All that are terminated together share a tombstone: with one for
// each, some hundred machines that die together took up what the key-value store allows
// while their tasks waited for it.
func (a *Autoscaler) storeTombstones(names []string) {
	batches := map[wire.Condition]*tombstoneBatch{}
	maxBytes := a.MaxValueBytes / tombstoneValueDivisor
	for _, name := range names {
		condition, needed := a.prepareTombstone(name)
		if !needed {
			continue
		}
		batch := batches[condition]
		if batch == nil {
			batch = &tombstoneBatch{}
			batches[condition] = batch
		}
		batch.names = append(batch.names, name)
		batch.encodedBytes += len(name) + nameOverheadBytes
		if batch.encodedBytes > maxBytes {
			a.storeTombstone(condition, batch.names)
			delete(batches, condition)
		}
	}
	for condition, batch := range batches {
		a.storeTombstone(condition, batch.names)
	}
}

// prepareTombstone forgets a terminated instance and returns under which condition its
// tombstone is stored; false: it needs none, or somebody else has to store it.
func (a *Autoscaler) prepareTombstone(name string) (wire.Condition, bool) {
	inst, m := a.term.instances[name], a.Machines.GetOrAdd(name)
	delete(a.term.instances, name)
	delete(a.term.idleSince, name)
	delete(a.term.draining, name)
	if inst != nil && !inst.hasReported && !m.HasBoundTasks {
		a.Machines.MarkTerminated(name) // it never was: nobody needs to know
		delete(a.terminating, name)
		return wire.Condition{}, false
	}
	leadership := a.Cluster.Leadership()
	condition := leadership.FencingCondition
	if partitionCondition := a.Cluster.PartitionFencingCondition(m.Partition); !leadership.Active && partitionCondition.Revision != 0 {
		condition = partitionCondition
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
	if a.term.tombstoneDeletionInFlight || a.Writer.Backlog() > maxCleanupBacklog {
		return
	}
	changes := a.obsoleteTombstoneDeletions(a.MaxTransactionChanges / tombstoneChangesDivisor)
	if len(changes) == 0 {
		return
	}
	a.term.tombstoneDeletionInFlight = true
	epoch := a.epoch()
	a.Writer.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{a.Cluster.Leadership().FencingCondition},
		Changes:    changes,
	}, func(error) {
		if a.epoch() == epoch {
			a.term.tombstoneDeletionInFlight = false
		}
	})
}

// obsoleteTombstoneDeletions are the deletions of tombstones that nobody needs, at most limit.
func (a *Autoscaler) obsoleteTombstoneDeletions(limit int) []wire.Change {
	var changes []wire.Change
	minAge := minTombstoneAge + tombstoneListLagFactor*config.Seconds(a.CloudSettings.ListLagS)
	for tombstone := range a.Cluster.Tombstones() {
		if len(changes) == limit {
			break
		}
		if a.Loop.Now().Sub(tombstone.FirstSeenAt) > minAge && !slices.ContainsFunc(tombstone.MachineNames, a.hasBoundTasks) {
			changes = append(changes, wire.Change{Delete: tombstone.Key})
		}
	}
	return changes
}

// hasBoundTasks tells whether tasks are bound to a machine.
func (a *Autoscaler) hasBoundTasks(name string) bool {
	m, known := a.Machines.Lookup(name)
	return known && m.HasBoundTasks
}
