// Package replica maintains a controller's local copy of the key-value store. It tracks the known
// revision of each key, the revision up to which all changes are known, and the age of that
// information.
//
// A Replica determines the order of changes. The results of a controller's own writes, the pages
// of full reads and the responses to watches arrive in any order. The replica passes each change
// to a Handler once, in the order of revisions for each key, and drops changes that a later one
// has superseded. It does not interpret values: the Handler decodes and indexes them.
//
// A Replica and a Reader are used only on the event loop's goroutine and have no locks. Only
// Reader.Follow runs on its own goroutine; it accesses the replica through EventLoop.Call.
package replica

import (
	"encoding/json"
	"time"

	"eiderhitch/internal/wire"
)

// Handler processes changes of stored values.
type Handler interface {
	// PutValue processes a value that is new or has changed.
	PutValue(key string, value json.RawMessage, revision uint64)
	// DeleteValue removes a value that was passed to PutValue before. revision is that of the
	// deletion, or a later one if the deletion was found by a full read.
	DeleteValue(key string, revision uint64)
	// ChangesApplied is called after the changes of a watch have been applied, with the time at
	// which that began.
	ChangesApplied(begun time.Time)
}

// Replica tracks the local copy of the key-value store. The zero value is not usable.
type Replica struct {
	handler Handler
	// revisions holds the revision of each key that is known to exist.
	revisions map[string]uint64
	// deletedAt holds the revision at which a key was deleted. An entry is kept until the
	// cursor reaches that revision, because an older put may still arrive before that.
	deletedAt map[string]uint64
	// cursor is the revision up to which all changes are known.
	cursor uint64
	// loaded is set once a full read has been applied.
	loaded bool
	// lastReadStartedAt is the time at which the last successful read began.
	lastReadStartedAt time.Time
}

// New returns an empty replica that is not loaded.
func New(handler Handler) *Replica {
	return &Replica{handler: handler, revisions: map[string]uint64{}, deletedAt: map[string]uint64{}}
}

// IsLoaded reports whether a full read has been applied. Before that, a key that is absent from
// the replica may exist in the store.
func (r *Replica) IsLoaded() bool { return r.loaded }

// Cursor returns the revision up to which all changes are known.
func (r *Replica) Cursor() uint64 { return r.cursor }

// Revision returns the revision of a key's last known change, or 0 if the key is not known to
// exist.
func (r *Replica) Revision(key string) uint64 { return r.revisions[key] }

// ReadAge returns the time since the last successful read began.
func (r *Replica) ReadAge(now time.Time) time.Duration { return now.Sub(r.lastReadStartedAt) }

// IsFreshWithin reports whether the last successful read began less than limit before now.
// A replica that is not loaded is never fresh.
func (r *Replica) IsFreshWithin(limit time.Duration, now time.Time) bool {
	return r.loaded && now.Sub(r.lastReadStartedAt) < limit
}

// AdvanceReadTime records that a read that began at start has been applied. A start before that
// of an earlier call has no effect.
func (r *Replica) AdvanceReadTime(start time.Time) {
	if start.After(r.lastReadStartedAt) {
		r.lastReadStartedAt = start
	}
}

// Load applies a full read. It consists of items from pages that were read at different
// revisions, the first at revision, and of the changes since revision. Only both together are a
// state that existed at one time: a value that moved between keys from one page to the next
// would otherwise be seen twice or not at all.
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

// Apply applies the response to a watch that began at or before the cursor.
func (r *Replica) Apply(response *wire.WatchResponse) {
	defer r.handler.ChangesApplied(time.Now())
	if response.Revision <= r.cursor {
		return
	}
	for _, event := range response.Events {
		if event.Delete != "" {
			r.Delete(event.Delete, event.Revision)
		} else {
			r.Put(event.Put, event.Value, event.Revision)
		}
	}
	r.cursor = response.Revision
	for key, revision := range r.deletedAt {
		if revision <= r.cursor {
			delete(r.deletedAt, key)
		}
	}
}

// ApplyTxn applies the changes of a transaction that succeeded at revision.
func (r *Replica) ApplyTxn(changes []wire.Change, revision uint64) {
	for _, change := range changes {
		if change.Delete != "" {
			r.Delete(change.Delete, revision)
		} else {
			r.Put(change.Put, change.Value, revision)
		}
	}
}

// Put applies a value that was stored at revision, unless the replica already knows this or a
// later change of the key.
func (r *Replica) Put(key string, value json.RawMessage, revision uint64) {
	if r.revisions[key] >= revision || r.deletedAt[key] >= revision {
		return
	}
	if r.revisions[key] == 0 && revision <= r.cursor {
		// All changes up to the cursor are known and the key does not exist, so it was deleted
		// after this put. The put is the late result of one of the controller's own writes.
		return
	}
	r.revisions[key] = revision
	r.handler.PutValue(key, value, revision)
}

// Delete applies the deletion of a key at revision, unless a later change of the key is known.
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
	r.handler.DeleteValue(key, revision)
}

// Forget stops tracking a key that is never written again, so that memory does not grow with the
// number of keys that were ever stored. The handler is not called.
func (r *Replica) Forget(key string) { delete(r.revisions, key) }
