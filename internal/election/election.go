// Package election holds the leased keys of a controller: one for each partition of the
// machines and one for the leadership. Who holds a key acts for it; the revision of the
// write that took the key is its fencing token.
//
// An Elector owns which keys this process holds, their tokens and leases, and the holders
// of all keys as the replica shows them. It acquires vacant keys by compare-and-swap under
// a lease of the key-value store, renews the leases, notices their loss, hands keys over to
// the controllers that they are meant for, and steps down when others can do better.
//
// After a failover a key's new holder has a higher token than every holder before it, so
// that the transactions and commands of those fail wherever they arrive late. A key counts
// as held only while the replica shows this process as its holder: a lease that expired,
// or a key taken by somebody else, ends that at the next change that is read.
//
// An Elector belongs to the event loop's goroutine and holds no lock. Calls to the store
// run on goroutines of their own, which end with the context given to New.
package election

import (
	"context"
	"encoding/json"
	"iter"
	"log/slog"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// Store is the part of the key-value store's client that leases need.
type Store interface {
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Txn(ctx context.Context, txn *wire.Txn) (*wire.TxnResponse, error)
}

// Replica is the local copy of the store. What is put into it comes back by
// ObserveHolder.
type Replica interface {
	Revision(key string) uint64
	Put(key string, value json.RawMessage, revision uint64)
}

// Reader reads the store once more.
type Reader interface {
	// AfterSuccessfulRead runs f once the replica has all changes up to now.
	AfterSuccessfulRead(f func())
}

// Writer submits transactions.
type Writer interface {
	// SubmitWrite runs done on the event loop with the result, after the replica has
	// taken the changes in.
	SubmitWrite(write *store.Write, done func(err error))
}

// EventLoop runs functions on the goroutine that owns the Elector.
type EventLoop interface {
	// Now is the time of the event that the loop works on.
	Now() time.Time
	// Enqueue queues f.
	Enqueue(f func())
}

// Listener is told, on the event loop, what becomes of this process's keys.
type Listener interface {
	// KeyAcquired tells that the key is held from now on, under token.
	KeyAcquired(key string, token uint64)
	// KeyLost tells that it is not held any more. Nothing may be decided by its token.
	KeyLost(key string)
	// TokenRaised tells that a held key has a higher token from now on.
	TokenRaised(key string, token uint64)
}

// Config is who campaigns, and how.
type Config struct {
	// Node is this controller's name; ProcessID tells this process from former ones.
	Node, ProcessID string
	// Nodes are the names of all controllers, in an order that all of them share.
	Nodes []string
	// TTL is the lifetime of leases.
	TTL time.Duration
	// StartedAt is when this process started.
	StartedAt time.Time
	// HeartbeatInterval is that of workers.
	HeartbeatInterval time.Duration
	// MaxUnreachableWorkTime is how long the work of machines that nobody reaches goes on at most:
	// after it every worker's lease has expired, whoever renewed it last.
	MaxUnreachableWorkTime time.Duration
	Log                    *slog.Logger
}

// Dependencies are what an Elector works with.
type Dependencies struct {
	Store    Store
	Replica  Replica
	Reader   Reader
	Writer   Writer
	Loop     EventLoop
	Listener Listener
}

// leasedKey is a key that this process holds, or campaigns for.
type leasedKey struct {
	token uint64 // 0: not held
	lease uint64
	// busy: a transaction on the key is under way.
	writeInFlight bool
	// vacantSince is since when the key is known to have no holder; zero: it has one.
	vacantSince time.Time
	// backoffUntil: the key is not acquired before then, since it was handed back.
	backoffUntil time.Time
}

// Elector holds the leased keys of one process.
type Elector struct {
	ctx context.Context // ends renewals and transactions under way
	Config
	Dependencies
	keys    map[string]*leasedKey
	holders map[string]record.LeaseHolder
	// backoffUntil: no key is acquired before then, since this controller stepped down.
	backoffUntil time.Time
	// steppedDownAt is when it last did.
	steppedDownAt time.Time
}

// New returns an elector that campaigns for keys, none of which it holds yet.
func New(ctx context.Context, config Config, dependencies Dependencies, keys []string) *Elector {
	return &Elector{ctx: ctx, Config: config, Dependencies: dependencies, keys: newLeasedKeys(keys), holders: map[string]record.LeaseHolder{}}
}

func newLeasedKeys(keys []string) map[string]*leasedKey {
	leasedKeys := make(map[string]*leasedKey, len(keys))
	for _, key := range keys {
		leasedKeys[key] = &leasedKey{}
	}
	return leasedKeys
}

// SetKeys loses all keys, since others are campaigned for from now on.
func (e *Elector) SetKeys(keys []string) {
	for key := range e.keys {
		e.markLost(key, "other keys are used from now on")
	}
	e.keys = newLeasedKeys(keys)
}

// Token is the fencing token under which this process holds a key; 0: it does not.
func (e *Elector) Token(key string) uint64 {
	if leased := e.keys[key]; leased != nil {
		return leased.token
	}
	return 0
}

// Holder is the process that holds a key, as far as the replica shows it.
func (e *Elector) Holder(key string) (holder record.LeaseHolder, held bool) {
	holder, held = e.holders[key]
	return holder, held
}

// Holders goes through all keys that are held by anybody.
func (e *Elector) Holders() iter.Seq2[string, record.LeaseHolder] {
	return func(yield func(string, record.LeaseHolder) bool) {
		for key, holder := range e.holders {
			if !yield(key, holder) {
				return
			}
		}
	}
}

// ObserveHolder takes in who holds a key since revision.
func (e *Elector) ObserveHolder(key string, holder record.LeaseHolder, revision uint64) {
	e.holders[key] = holder
	leased := e.keys[key]
	if leased != nil && leased.token != 0 && revision > leased.token && holder.ProcessID != e.ProcessID {
		e.markLost(key, "taken by "+holder.Node)
	}
}

// ObserveVacancy takes in that a key has no holder any more.
func (e *Elector) ObserveVacancy(key string) {
	delete(e.holders, key)
	leased := e.keys[key]
	if leased == nil {
		return
	}
	e.markLost(key, "lease expired")
	leased.vacantSince = e.Loop.Now()
}

// IsBackingOff reports whether this controller has stepped down and acquires no key yet.
func (e *Elector) IsBackingOff() bool { return e.Loop.Now().Before(e.backoffUntil) }

// ResignAll hands all keys back.
func (e *Elector) ResignAll() {
	for key := range e.keys {
		e.Resign(key)
	}
}

// Resign hands a key back at once, if it is held.
func (e *Elector) Resign(key string) {
	leased := e.keys[key]
	if leased == nil || leased.token == 0 {
		return
	}
	lease := leased.lease
	e.markLost(key, "handed back")
	leased.backoffUntil = e.Loop.Now().Add(resignBackoff)
	go e.revoke(lease)
}

// revoke ends a lease. Where that fails the lease expires by itself, within its TTL.
func (e *Elector) revoke(lease uint64) {
	if err := e.Store.RevokeLease(e.ctx, lease); err != nil {
		e.Log.Debug("lease not revoked, it will expire", "lease", lease, "err", err)
	}
}

// lose notes that a key is not held any more, if it was.
func (e *Elector) markLost(key, why string) {
	leased := e.keys[key]
	if leased.token == 0 {
		return
	}
	e.Log.Info("leased key lost", "key", key, "why", why)
	leased.token, leased.lease = 0, 0
	e.Listener.KeyLost(key)
}

// holderValue is what this process stores at a key that it holds.
func (e *Elector) holderValue() json.RawMessage {
	return record.JSON(record.LeaseHolder{Node: e.Node, ProcessID: e.ProcessID})
}

// RaiseToken rewrites a held key, which gives it a higher token: that fences commands of
// this process that may still be under way. The listener is told when it is done. False
// means that it can't be begun now.
func (e *Elector) RaiseToken(key string) bool {
	leased := e.keys[key]
	if leased == nil || leased.writeInFlight || leased.token == 0 {
		return false
	}
	leased.writeInFlight = true
	oldToken := leased.token
	e.Writer.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{{Key: key, Revision: oldToken}},
		Changes:    []wire.Change{{Put: key, Value: e.holderValue(), Lease: leased.lease}},
	}, func(err error) {
		leased.writeInFlight = false
		if leased.token != oldToken {
			return
		}
		if err == nil {
			e.handleTokenRaised(key, leased)
			return
		}
		e.Reader.AfterSuccessfulRead(func() { // a try without an answer may have been applied
			if leased.token == oldToken && e.Replica.Revision(key) != oldToken {
				e.handleTokenRaised(key, leased)
			}
		})
	})
	return true
}

// handleTokenRaised takes the key's present revision for its token, if we wrote it.
func (e *Elector) handleTokenRaised(key string, leased *leasedKey) {
	if e.holders[key].ProcessID != e.ProcessID {
		return
	}
	leased.token = e.Replica.Revision(key)
	e.Listener.TokenRaised(key, leased.token)
}
