package store

import (
	"sync/atomic"
	"time"

	"eiderhitch/internal/wire"
)

// Write is a compare-and-swap of several keys: a set of changes that are applied together, or not at
// all if a condition fails. After it has been submitted, only Cancel may modify it.
type Write struct {
	// Conditions are the revisions that keys must have for the changes to be applied.
	Conditions []wire.Condition
	// Changes are the puts and deletes.
	Changes []wire.Change
	// Interactive is set for submissions and cancellations by users. Such writes go first. They
	// are given up after few attempts instead of being retried for long, because users wait for
	// them.
	Interactive bool
	// HighPriority writes use the queue of the interactive ones but are retried until their
	// outcome is known. There must be few of them; they are writes that block other work.
	HighPriority bool
	// MediumPriority writes go before those of normal priority because they block much other
	// work.
	MediumPriority bool
	// ConflictProne is set if a condition is likely to fail because other controllers write the
	// same keys. Such writes share a transaction with few others: the changes of a failed
	// transaction count against the rate limit, and all its other writes must be sent again.
	ConflictProne bool
	// ExpiresAt is the time after which the write is no longer attempted. If it is zero, the
	// write does not expire.
	ExpiresAt time.Time
	// OnDone is called exactly once, on a goroutine of the Writer, unless the Writer stops while
	// the write is queued. On success it gets the revision. Otherwise the error is ErrConflict if
	// a condition failed, ErrOutcomeUnknown if the write was given up with an unknown outcome, or
	// the error with which the store refused it. After ErrConflict the caller must read the keys,
	// because an earlier attempt of the same write may have been applied.
	OnDone func(revision uint64, err error)

	estimatedBytes int         // set by Submit
	attempts       int         // number of attempts without an outcome
	cancelled      atomic.Bool // set by Cancel
}

// Cancel marks the write as one whose conditions are known to fail, so that it is no longer
// attempted and ends with ErrConflict. If the store had to detect the failed condition, the whole
// transaction would fail, and its other writes would be sent again and counted twice against the
// rate limit. It may be called concurrently.
func (w *Write) Cancel() { w.cancelled.Store(true) }

// isImmediate reports whether the write goes before all others and does not wait for the rate
// limit.
func (w *Write) isImmediate() bool { return w.Interactive || w.HighPriority }

// Upper estimates of the bytes that the JSON encoding adds to a change and to a condition.
const (
	changeOverheadBytes    = 64
	conditionOverheadBytes = 40
)

// estimateBytes returns an upper estimate of the write's size in a transaction. Keys of changes
// count twice, to allow for characters that JSON escapes.
func (w *Write) estimateBytes() int {
	total := 0
	for i := range w.Changes {
		total += len(w.Changes[i].Value) + 2*len(w.Changes[i].Key()) + changeOverheadBytes
	}
	for i := range w.Conditions {
		total += len(w.Conditions[i].Key) + conditionOverheadBytes
	}
	return total
}
