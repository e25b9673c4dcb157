// Package replica keeps a controller's local copy of the key-value store: which revision of
// each key is known, up to which revision all changes are known, and how fresh that is.
//
// A Replica owns the order of changes. Results of a controller's own writes, pages of a
// full read and the responses of watches reach it in any order; it hands each change to a
// Handler once, oldest first for a key, and drops what a later change has overtaken. It
// does not know what the values mean: the Handler decodes and indexes them.
//
// A Replica and a Reader belong to the event loop's goroutine. They hold no lock. Only
// Reader.Follow runs on a goroutine of its own; it reaches the state by EventLoop.Call.
package replica

import (
	"encoding/json"
	"time"

	"eiderhitch/internal/wire"
)

// Handler takes in the changes of stored values.
type Handler interface {
	// PutValue takes in a value that is new or has changed.
	PutValue(key string, value json.RawMessage, revision uint64)
	// DeleteValue forgets a value that PutValue has told of before.
	DeleteValue(key string)
	// ChangesApplied is told when the changes of a watch have been taken in, and when
	// that began.
	ChangesApplied(begun time.Time)
}

// Replica is the local copy of the key-value store. The zero value is not ready for use.
type Replica struct {
	handler Handler
	// revisions has the revision of each key that is known to exist.
	revisions map[string]uint64
	// deleted has the revision at which a key was deleted, until the cursor has passed
	// it: an older put may still arrive before that.
	deletedAt map[string]uint64
	// cursor is the revision up to which all changes are known.
	cursor uint64
	// loaded is set once a full read has been taken in.
	loaded bool
	// lastReadStartedAt is when the last successful read began.
	lastReadStartedAt time.Time
}

// New returns an empty replica, which is not loaded.
func New(handler Handler) *Replica {
	return &Replica{handler: handler, revisions: map[string]uint64{}, deletedAt: map[string]uint64{}}
}

// IsLoaded reports whether a full read has been taken in: before that a key's absence says
// nothing.
func (r *Replica) IsLoaded() bool { return r.loaded }

// Cursor is the revision up to which all changes are known.
func (r *Replica) Cursor() uint64 { return r.cursor }

// Revision is the revision of a key's last known change; 0 if it is not known to exist.
func (r *Replica) Revision(key string) uint64 { return r.revisions[key] }

// IsFreshWithin reports whether the last successful read began less than limit before now.
// A replica that is not loaded is never fresh.
func (r *Replica) IsFreshWithin(limit time.Duration, now time.Time) bool {
	return r.loaded && now.Sub(r.lastReadStartedAt) < limit
}

// AdvanceReadTime notes that a read that began at start has been taken in.
func (r *Replica) AdvanceReadTime(start time.Time) {
	if start.After(r.lastReadStartedAt) {
		r.lastReadStartedAt = start
	}
}

// Load takes in a full read: pages that were read at different revisions, of which the
// first was at revision, and the changes since. Only both together are a state that ever
// existed: a value that moved from one key to another between two pages would else be
// seen twice, or not at all.
func (r *Replica) Load(items []wire.Item, revision uint64, changes *wire.WatchResponse) {
	listed := make(map[string]bool, len(items))
	for i := range items {
		listed[items[i].Key] = true
	}
	for key, knownRevision := range r.revisions {
		if !listed[key] && knownRevision <= revision {
			r.Delete(key, revision)
		}
	}
	for i := range items {
		r.Put(items[i].Key, items[i].Value, items[i].Revision)
	}
	r.cursor = max(r.cursor, revision)
	r.Apply(changes)
	r.loaded = true
}

// Apply takes in the response of a watch that began at or before the cursor.
func (r *Replica) Apply(changes *wire.WatchResponse) {
	defer r.handler.ChangesApplied(time.Now())
	if changes.Revision <= r.cursor {
		return
	}
	for _, event := range changes.Events {
		if event.Delete != "" {
			r.Delete(event.Delete, event.Revision)
		} else {
			r.Put(event.Put, event.Value, event.Revision)
		}
	}
	r.cursor = changes.Revision
	for key, revision := range r.deletedAt {
		if revision <= r.cursor {
			delete(r.deletedAt, key)
		}
	}
}

// ApplyTxn takes in the changes of a transaction that succeeded at revision.
func (r *Replica) ApplyTxn(changes []wire.Change, revision uint64) {
	for _, change := range changes {
		if change.Delete != "" {
			r.Delete(change.Delete, revision)
		} else {
			r.Put(change.Put, change.Value, revision)
		}
	}
}

// Put takes in a value that was stored at revision, unless a later change of its key is
// known.
func (r *Replica) Put(key string, value json.RawMessage, revision uint64) {
	if r.revisions[key] >= revision || r.deletedAt[key] >= revision {
		return
	}
	if r.revisions[key] == 0 && revision <= r.cursor {
		// All changes up to the cursor are known, and the key does not exist: it was
		// deleted after this put, which is the late result of a write of our own.
		return
	}
	r.revisions[key] = revision
	r.handler.PutValue(key, value, revision)
}

// Delete takes in that a key was deleted at revision, unless a later change is known.
func (r *Replica) Delete(key string, revision uint64) {
	if r.revisions[key] > revision {
		return
	}
	if revision > r.cursor {
		r.deletedAt[key] = revision
	}
	if _, ok := r.revisions[key]; !ok {
		return
	}
	delete(r.revisions, key)
	r.handler.DeleteValue(key)
}

// Forget drops a key that is never written again from the replica's own books, so that
// memory does not grow with all that has ever been stored. The handler is not told.
func (r *Replica) Forget(key string) { delete(r.revisions, key) }
