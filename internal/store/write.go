package store

import (
	"sync/atomic"
	"time"

	"eiderhitch/internal/wire"
)

// Write is a set of changes that apply together or not at all: a compare-and-swap of
// several keys. It must not be changed, except by Cancel, once it has been submitted.
type Write struct {
	Conditions []wire.Condition
	Changes    []wire.Change
	// Urgent writes (submissions, cancellations) go first. Users wait for them, so that
	// they are given up, rather than retried for long, when the store refuses them.
	Interactive bool
	// Prompt writes go with the urgent ones, but are retried until their outcome is known:
	// few, on which other work waits.
	HighPriority bool
	// Early writes go before usual ones, since much other work waits for them.
	MediumPriority bool
	// Contested writes may well find a condition failed, since other controllers write the
	// same keys. They share a transaction with few: the changes of a failed transaction
	// count against the rate limit, and all other writes in it must be sent again.
	ConflictProne bool
	// Expires: if not zero, the write is given up after this time.
	ExpiresAt time.Time
	// Done is called exactly once, on a goroutine of the Writer: with the revision on
	// success; with ErrConflict when a condition failed (perhaps since an earlier attempt
	// of this very write was applied: the caller reads back); with ErrOutcomeUnknown when
	// it was given up; or with the error that the store refused it with.
	OnDone func(revision uint64, err error)

	estimatedBytes int
	attempts       int
	cancelled      atomic.Bool
}

// Cancel says that a condition of the write is known to fail by now, so that it need not be
// attempted. A failed condition that only the store finds out fails the whole transaction,
// whose other writes are then sent, and counted, once more. It may be called concurrently.
func (w *Write) Cancel() { w.cancelled.Store(true) }

// immediate tells whether a write goes before all others and doesn't wait for the rate limit.
func (w *Write) isImmediate() bool { return w.Interactive || w.HighPriority }

// Estimates of what JSON adds to the content of a change and of a condition.
const (
	changeOverheadBytes    = 64
	conditionOverheadBytes = 40
)

// estimateBytes returns about how large the write is in a transaction, and not less. Keys
// of changes count twice, for characters that JSON escapes.
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
