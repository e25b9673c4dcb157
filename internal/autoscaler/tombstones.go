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
	// tombstoneValueDivisor limits tombstones to half of the maximum size of a value.
	tombstoneValueDivisor = 2
	// nameOverheadBytes is the size of the quotes and the comma of a name in a tombstone.
	nameOverheadBytes = 3
	// A tombstone is kept for at least minTombstoneAge plus tombstoneListLagFactor times the
	// lag of the instance list. After that neither the list nor a late heartbeat can refer to
	// its machines.
	minTombstoneAge        = 2 * time.Minute
	tombstoneListLagFactor = 4
	// tombstoneChangesDivisor limits the deletion of tombstones to a quarter of the changes
	// of a transaction.
	tombstoneChangesDivisor = 4
	// maxCleanupBacklog is the backlog of writes above which tombstones are not deleted.
	maxCleanupBacklog = time.Second
)

// tombstoneBatch collects terminated machines that share a tombstone.
type tombstoneBatch struct {
	names        []string
	encodedBytes int
}

// storeTombstones stores tombstones for terminated machines, fenced by the leader's token or by
// the token of the machine's partition. Machines that are terminated together share a tombstone.
// With a tombstone for each machine, a few hundred machines that died together used up the write
// rate that the key-value store allows, which delayed the replacement of their tasks.
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

// prepareTombstone drops a terminated instance from the leader's state and returns the fencing
// condition under which its tombstone is to be stored. It returns false if the machine needs no
// tombstone or if this controller may not store it.
func (a *Autoscaler) prepareTombstone(name string) (wire.Condition, bool) {
	inst, m := a.term.instances[name], a.Machines.GetOrAdd(name)
	delete(a.term.instances, name)
	delete(a.term.idleSince, name)
	delete(a.term.drainingMachines, name)
	if inst != nil && !inst.hasReported && !m.HasBoundTasks {
		a.Machines.MarkTerminated(name) // it has never come up, so no other controller refers to it
		delete(a.terminatingMachines, name)
		return wire.Condition{}, false
	}
	leadership := a.Cluster.Leadership()
	condition := leadership.FencingCondition
	if partitionCondition := a.Cluster.PartitionFencingCondition(m.Partition); !leadership.Active && partitionCondition.Revision != 0 {
		condition = partitionCondition
	}
	if condition.Revision == 0 {
		a.cancelTermination([]string{name}) // the controller that may store it terminates the machine again
		return wire.Condition{}, false
	}
	return condition, true
}

// storeTombstone stores one tombstone for several machines. Its key contains the first name.
func (a *Autoscaler) storeTombstone(condition wire.Condition, names []string) {
	key := a.TombstoneKeyPrefix + names[0]
	a.Writer.SubmitWrite(&store.Write{
		MediumPriority: true,
		Conditions:     []wire.Condition{condition, {Key: key}},
		Changes:        []wire.Change{{Put: key, Value: record.JSON(names)}},
	}, func(error) { a.cancelTermination(names) })
}

// deleteTombstones deletes tombstones once no tasks are bound to their machines and the instance
// list can't contain them any more. Only one transaction is pending at a time. When the deletion
// of a hundred tombstones was submitted again at each tick until the first transaction was
// stored, it used up all changes that the key-value store allows.
func (a *Autoscaler) deleteTombstones() {
	if a.term.tombstoneDeletionInFlight || a.Writer.BacklogDuration() > maxCleanupBacklog {
		return
	}
	obsolete := a.obsoleteTombstones(a.MaxTransactionChanges / tombstoneChangesDivisor)
	if len(obsolete) == 0 {
		return
	}
	write := &store.Write{Conditions: []wire.Condition{a.Cluster.Leadership().FencingCondition}}
	for _, tombstone := range obsolete {
		// The revision keeps a repeat of the transaction from deleting a later tombstone at the key.
		write.Conditions = append(write.Conditions, wire.Condition{Key: tombstone.Key, Revision: tombstone.Revision})
		write.Changes = append(write.Changes, wire.Change{Delete: tombstone.Key})
	}
	a.term.tombstoneDeletionInFlight = true
	epoch := a.epoch()
	a.Writer.SubmitWrite(write, func(error) {
		if a.epoch() == epoch {
			a.term.tombstoneDeletionInFlight = false
		}
	})
}

// obsoleteTombstones returns tombstones that are no longer needed, at most limit.
func (a *Autoscaler) obsoleteTombstones(limit int) []Tombstone {
	var obsolete []Tombstone
	minAge := minTombstoneAge + tombstoneListLagFactor*config.Seconds(a.CloudSettings.ListLagS)
	for tombstone := range a.Cluster.Tombstones() {
		if len(obsolete) == limit {
			break
		}
		if a.Loop.Now().Sub(tombstone.FirstSeenAt) > minAge && !slices.ContainsFunc(tombstone.MachineNames, a.hasBoundTasks) {
			obsolete = append(obsolete, tombstone)
		}
	}
	return obsolete
}

// hasBoundTasks reports whether tasks are bound to a machine. It is false for unknown machines.
func (a *Autoscaler) hasBoundTasks(name string) bool {
	m, known := a.Machines.Lookup(name)
	return known && m.HasBoundTasks
}
