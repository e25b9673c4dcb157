package store

import "context"

const (
	// MaxTxnBytes is the largest estimated size of a transaction. It leaves a margin below the
	// store's limit of 64 KiB.
	MaxTxnBytes = 56 << 10
	// maxConflictProneChanges is the largest number of changes in a transaction that contains a
	// conflict-prone write.
	maxConflictProneChanges = 4
	// conditionsPerChange, times the limit on changes, is the largest number of conditions in a
	// transaction. The store allows four conditions per change.
	conditionsPerChange = 3
)

// batch collects writes for one transaction, with their total numbers and sizes.
type batch struct {
	writes        []*Write
	changes       int             // total number of changes
	conditions    int             // total number of conditions
	bytes         int             // total estimated size
	conflictProne bool            // whether any write is conflict-prone
	changedKeys   map[string]bool // the keys that the writes change
	// hasOverlap is set if a write reads or changes a key that an earlier write changes. Such
	// writes must not share a transaction: the conditions of both would hold, so that for
	// example both the cancellation and the completion of a job could succeed.
	hasOverlap bool
}

func newBatch(first *Write) *batch {
	b := &batch{changedKeys: map[string]bool{}}
	b.add(first)
	return b
}

// add appends a write.
func (b *batch) add(write *Write) {
	b.hasOverlap = b.hasOverlap || b.overlaps(write)
	for i := range write.Changes {
		b.changedKeys[write.Changes[i].Key()] = true
	}
	b.writes = append(b.writes, write)
	b.changes += len(write.Changes)
	b.conditions += len(write.Conditions)
	b.bytes += write.estimatedBytes
	b.conflictProne = b.conflictProne || write.ConflictProne
}

// overlaps reports whether a write reads or changes a key that the batch changes.
func (b *batch) overlaps(write *Write) bool {
	for i := range write.Conditions {
		if b.changedKeys[write.Conditions[i].Key] {
			return true
		}
	}
	for i := range write.Changes {
		if b.changedKeys[write.Changes[i].Key()] {
			return true
		}
	}
	return false
}

// fits reports whether the writes may share a transaction of at most maxChanges changes.
func (b *batch) fits(maxChanges int) bool {
	if b.conflictProne {
		maxChanges = min(maxChanges, maxConflictProneChanges)
	}
	return !b.hasOverlap && b.changes <= maxChanges && b.conditions <= conditionsPerChange*maxChanges && b.bytes <= MaxTxnBytes
}

// queues holds the queues from which one committer takes writes, in the order of priority. A
// queue that is nil is not used.
type queues struct{ highPriority, mediumPriority, normalPriority <-chan *Write }

// gatherBatch takes writes from the queues as long as they fit into a transaction of at most
// maxChanges changes together with the first one. It returns these writes and, if it took one
// that no longer fits, that one as next.
func (q *queues) gatherBatch(first *Write, maxChanges int) (writes []*Write, next *Write) {
	b := newBatch(first)
	for b.fits(maxChanges) {
		write := q.nextForBatch(first)
		if write == nil {
			return b.writes, nil
		}
		b.add(write)
	}
	last := len(b.writes) - 1
	if last == 0 {
		return b.writes, nil // a single write is sent even if it exceeds the limits of a batch
	}
	return b.writes[:last], b.writes[last]
}

// wait returns the next write in the order of priority. It waits for one if all queues are empty,
// and returns nil if ctx ends first.
func (q *queues) wait(ctx context.Context) *Write {
	if write := receiveFirst(q.highPriority, q.mediumPriority, q.normalPriority); write != nil {
		return write
	}
	select {
	case write := <-q.highPriority:
		return write
	case write := <-q.mediumPriority:
		return write
	case write := <-q.normalPriority:
		return write
	case <-ctx.Done():
		return nil
	}
}

// nextForBatch returns the next queued write that may share a transaction with the first one, or
// nil if none is queued. Immediate writes share transactions only with each other, because other
// transactions wait for the rate limit.
func (q *queues) nextForBatch(first *Write) *Write {
	if first.isImmediate() {
		return receiveFirst(q.highPriority)
	}
	return receiveFirst(q.mediumPriority, q.normalPriority)
}

// receiveFirst takes a write from the first queue that has one. It returns nil if all are empty.
func receiveFirst(queues ...<-chan *Write) *Write {
	for _, queue := range queues {
		select {
		case write := <-queue:
			return write
		default:
		}
	}
	return nil
}
