package store

import (
	"sync/atomic"
	"time"

	"eiderhitch/internal/wire"
)

// Write is a set of changes that apply together or not at all.
type Write struct {
	Conditions []wire.Condition
	Changes    []wire.Change
	// Urgent units (submissions, cancellations) go first.
	Urgent bool
	// Prompt units go with the urgent ones, but are tried until their outcome is known:
	// few, on which others' work waits.
	Prompt bool
	// Early units go before usual ones: many others' work waits for them.
	Early bool
	// Contested units may well find a condition failed, since others write the
	// same keys. They share a transaction with few: what a failed one carries is
	// counted against the limit, and all the others in it must be sent again.
	Contested bool
	// Expires: if not zero, the unit is given up after this time.
	Expires time.Time
	// Done is called once, with the revision on success, ErrConflict when a
	// condition failed (perhaps since an earlier try of this very unit was
	// applied: the caller reads back), or ErrOutcomeUnknown when given up.
	Done      func(revision uint64, err error)
	size      int
	tries     int
	cancelled atomic.Bool
}

// Cancel says that a condition of the unit is known to have failed meanwhile. It is
// not tried any more: each that is found out by the state service fails all that
// shares its transaction, which is sent, and counted, once more.
func (u *Write) Cancel() { u.cancelled.Store(true) }

// ahead tells whether a unit goes before all others and doesn't wait for the pace.
func (u *Write) ahead() bool { return u.Urgent || u.Prompt }

// MaxTxnBytes leaves room below the 64 KiB that a transaction may have.
const MaxTxnBytes = 56 << 10
