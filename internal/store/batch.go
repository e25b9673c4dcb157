package store

import "context"

const (
	// MaxTxnBytes leaves room below the 64 KiB that a transaction may have.
	MaxTxnBytes = 56 << 10
	// maxContestedChanges is how many changes a transaction with contested writes may have.
	maxContestedChanges = 4
	// conditionsPerChange bounds the conditions of a transaction; the store allows four.
	conditionsPerChange = 3
)

// batch is the writes that are to share a transaction, and what they add up to.
type batch struct {
	writes     []*Write
	changes    int
	conditions int
	bytes      int
	contested  bool
	changed    map[string]bool // the keys that the writes change
	// overlapping: a write reads or changes a key that an earlier one changes. They must
	// not share a transaction: the conditions of both would hold, and "cancelled" and
	// "done" of one job could both be granted.
	overlapping bool
}

func newBatch(first *Write) *batch {
	b := &batch{changed: map[string]bool{}}
	b.add(first)
	return b
}

// add appends a write.
func (b *batch) add(write *Write) {
	b.overlapping = b.overlapping || b.overlaps(write)
	for i := range write.Changes {
		b.changed[write.Changes[i].Key()] = true
	}
	b.writes = append(b.writes, write)
	b.changes += len(write.Changes)
	b.conditions += len(write.Conditions)
	b.bytes += write.bytes
	b.contested = b.contested || write.ConflictProne
}

// overlaps tells whether a write reads or changes a key that the batch changes.
func (b *batch) overlaps(write *Write) bool {
	for i := range write.Conditions {
		if b.changed[write.Conditions[i].Key] {
			return true
		}
	}
	for i := range write.Changes {
		if b.changed[write.Changes[i].Key()] {
			return true
		}
	}
	return false
}

// fits tells whether the writes may share a transaction of at most maxChanges.
func (b *batch) fits(maxChanges int) bool {
	if b.contested {
		maxChanges = min(maxChanges, maxContestedChanges)
	}
	return !b.overlapping && b.changes <= maxChanges && b.conditions <= conditionsPerChange*maxChanges && b.bytes <= MaxTxnBytes
}

// queues are the queues that one worker takes writes from, in this order; nil: none.
type queues struct{ urgent, early, usual <-chan *Write }

// gather takes the writes that are queued behind the first one and fit into a transaction of
// at most maxChanges with it, and the next one, if any, that doesn't fit any more.
func (q *queues) gather(first *Write, maxChanges int) (writes []*Write, next *Write) {
	b := newBatch(first)
	for b.fits(maxChanges) {
		write := q.following(first)
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
	if write := poll(q.urgent, q.early, q.usual); write != nil {
		return write
	}
	select {
	case write := <-q.urgent:
		return write
	case write := <-q.early:
		return write
	case write := <-q.usual:
		return write
	case <-ctx.Done():
		return nil
	}
}

// following returns a queued write that may go with the first one, or nil.
func (q *queues) following(first *Write) *Write {
	if first.immediate() {
		return poll(q.urgent)
	}
	return poll(q.early, q.usual)
}

// poll takes a write from the first queue that has one, or returns nil.
func poll(queues ...<-chan *Write) *Write {
	for _, queue := range queues {
		select {
		case write := <-queue:
			return write
		default:
		}
	}
	return nil
}
