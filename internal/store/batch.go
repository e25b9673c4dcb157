package store

import "context"

const (
	// MaxTxnBytes leaves room below the 64 KiB that a transaction may have.
	MaxTxnBytes = 56 << 10
	// maxConflictProneChanges is how many changes a transaction with contested writes may have.
	maxConflictProneChanges = 4
	// conditionsPerChange bounds the conditions of a transaction; the store allows four.
	conditionsPerChange = 3
)

// batch is the writes that are to share a transaction, and what they add up to.
type batch struct {
	writes        []*Write
	changes       int
	conditions    int
	bytes         int
	conflictProne bool
	changedKeys   map[string]bool // the keys that the writes change
	// overlapping: a write reads or changes a key that an earlier one changes. They must
	// not share a transaction: the conditions of both would hold, and "cancelled" and
	// "done" of one job could both be granted.
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

// overlaps tells whether a write reads or changes a key that the batch changes.
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

// fits tells whether the writes may share a transaction of at most maxChanges.
func (b *batch) fits(maxChanges int) bool {
	if b.conflictProne {
		maxChanges = min(maxChanges, maxConflictProneChanges)
	}
	return !b.hasOverlap && b.changes <= maxChanges && b.conditions <= conditionsPerChange*maxChanges && b.bytes <= MaxTxnBytes
}

// queues are the queues that one worker takes writes from, in this order; nil: none.
type queues struct{ highPriority, mediumPriority, normalPriority <-chan *Write }

// gather takes the writes that are queued behind the first one and fit into a transaction of
// at most maxChanges with it, and the next one, if any, that doesn't fit any more.
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
		return b.writes, nil // larger alone than a batch should be
	}
	return b.writes[:last], b.writes[last]
}

// wait returns the write whose turn it is, waiting for one until ctx ends; nil then.
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

// following returns a queued write that may go with the first one, or nil.
func (q *queues) nextForBatch(first *Write) *Write {
	if first.isImmediate() {
		return receiveFirst(q.highPriority)
	}
	return receiveFirst(q.mediumPriority, q.normalPriority)
}

// poll takes a write from the first queue that has one, or returns nil.
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
