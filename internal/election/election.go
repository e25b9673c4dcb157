// Package election manages the leased keys of a controller: one for each partition of the
// machines and one for the leadership. The process that holds a partition's key owns that
// partition, and the process that holds the leader key is the leader. The revision of the
// write that acquired a key is its fencing token.
//
// An Elector keeps track of the keys that this process holds, their tokens and leases, and
// the holders of all keys as the replica shows them. It acquires vacant keys by
// compare-and-swap under a lease of the key-value store, renews the leases, detects their
// loss, hands partitions over to their preferred owners, and steps down when other
// controllers are more likely to reach the workers.
//
// After a failover the new holder of a key has a higher token than all its former holders,
// so that their late transactions and commands fail. A key counts as held only while the
// replica shows this process as its holder: it is lost as soon as the replica reads that the
// lease expired or that another process acquired the key.
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

// Store contains the calls of the key-value store's client that the Elector makes.
type Store interface {
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Txn(ctx context.Context, txn *wire.Txn) (*wire.TxnResponse, error)
}

// Replica is the local copy of the store. Its owner calls ObserveHolder and ObserveVacancy
// for each change of a leased key.
type Replica interface {
	Revision(key string) uint64
	Put(key string, value json.RawMessage, revision uint64)
}

// Reader reads changes from the store into the replica.
type Reader interface {
	// AfterSuccessfulRead runs f once the replica has all changes made before this call.
	AfterSuccessfulRead(f func())
}

// Writer submits transactions.
type Writer interface {
	// SubmitWrite runs done on the event loop with the result, after the replica has
	// applied the changes.
	SubmitWrite(write *store.Write, done func(err error))
}

// EventLoop runs functions on the goroutine that owns the Elector.
type EventLoop interface {
	// Now returns the time of the event that the loop is processing.
	Now() time.Time
	// Enqueue queues f to be run by the event loop.
	Enqueue(f func())
}

// Listener is notified, on the event loop, of changes to the keys that this process holds.
type Listener interface {
	// KeyAcquired reports that this process now holds the key under the given token.
	KeyAcquired(key string, token uint64)
	// KeyLost reports that this process no longer holds the key. Its token must not be
	// used for any further decision.
	KeyLost(key string)
	// TokenRaised reports that a held key now has the given, higher token.
	TokenRaised(key string, token uint64)
}

// Config identifies the controller that campaigns and sets its timeouts.
type Config struct {
	// Node is this controller's name. ProcessID differs for each process of the controller.
	Node, ProcessID string
	// Nodes are the names of all controllers, in the same order on every controller.
	Nodes []string
	// TTL is the time after which a lease expires unless it is renewed.
	TTL time.Duration
	// StartedAt is the time at which this process started.
	StartedAt time.Time
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval time.Duration
	// MaxUnreachableWorkDuration is the maximum time for which tasks keep running on machines
	// that no controller can reach. After it the leases of all their workers have expired, no
	// matter which controller renewed them last.
	MaxUnreachableWorkDuration time.Duration
	Log                        *slog.Logger
}

// Dependencies are the components that an Elector uses.
type Dependencies struct {
	Store    Store
	Replica  Replica
	Reader   Reader
	Writer   Writer
	Loop     EventLoop
	Listener Listener
}

// leasedKey is the state of a key that this process holds or campaigns for.
type leasedKey struct {
	token uint64 // 0 if the key is not held
	lease uint64
	// writeInFlight is set while a transaction on the key is in flight.
	writeInFlight bool
	// vacantSince is the time since which the key is known to have no holder, or zero if it
	// is not known to be vacant. After a failed attempt it lies acquireRetryDelay in the
	// future.
	vacantSince time.Time
	// backoffUntil is the time before which the key is not acquired, since this process
	// resigned it.
	backoffUntil time.Time
}

// Elector manages the leased keys of one process.
type Elector struct {
	ctx context.Context // ends renewals and transactions in flight
	Config
	Dependencies
	keys    map[string]*leasedKey
	holders map[string]record.LeaseHolder
	// backoffUntil is the time before which no key is acquired after a step-down.
	backoffUntil time.Time
	// steppedDownAt is the time of the last step-down for lack of heartbeats; zero if none.
	steppedDownAt time.Time
}

// New returns an Elector that campaigns for the given keys and holds none of them yet.
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

// SetKeys replaces the set of leased keys. All keys that are held are lost.
func (e *Elector) SetKeys(keys []string) {
	for key := range e.keys {
		e.markLost(key, "other keys are used from now on")
	}
	e.keys = newLeasedKeys(keys)
}

// Token returns the fencing token under which this process holds a key, or 0 if it does not.
func (e *Elector) Token(key string) uint64 {
	if leased := e.keys[key]; leased != nil {
		return leased.token
	}
	return 0
}

// Holder returns the process that holds a key according to the replica. held is false if the
// key is vacant.
func (e *Elector) Holder(key string) (holder record.LeaseHolder, held bool) {
	holder, held = e.holders[key]
	return holder, held
}

// Holders iterates over all keys that have a holder, in no particular order.
func (e *Elector) Holders() iter.Seq2[string, record.LeaseHolder] {
	return func(yield func(string, record.LeaseHolder) bool) {
		for key, holder := range e.holders {
			if !yield(key, holder) {
				return
			}
		}
	}
}

// ObserveHolder records that a key has had the given holder since revision.
func (e *Elector) ObserveHolder(key string, holder record.LeaseHolder, revision uint64) {
	e.holders[key] = holder
	leased := e.keys[key]
	if leased != nil && leased.token != 0 && revision > leased.token && holder.ProcessID != e.ProcessID {
		e.markLost(key, "taken by "+holder.Node)
	}
}

// ObserveVacancy records that a key has no holder any more.
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

// ResignAll resigns all keys that this process holds.
func (e *Elector) ResignAll() {
	for key := range e.keys {
		e.Resign(key)
	}
}

// Resign gives a key up at once by revoking its lease, if this process holds it.
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

// revoke revokes a lease. If that fails, the lease expires by itself within its TTL.
func (e *Elector) revoke(lease uint64) {
	if err := e.Store.RevokeLease(e.ctx, lease); err != nil {
		e.Log.Debug("lease not revoked, it will expire", "lease", lease, "err", err)
	}
}

// markLost marks a key as no longer held and notifies the listener, if the key was held.
func (e *Elector) markLost(key, why string) {
	leased := e.keys[key]
	if leased.token == 0 {
		return
	}
	e.Log.Info("leased key lost", "key", key, "why", why)
	leased.token, leased.lease = 0, 0
	e.Listener.KeyLost(key)
}

// holderValue returns the value that this process stores at the keys it holds.
func (e *Elector) holderValue() json.RawMessage {
	return record.JSON(record.LeaseHolder{Node: e.Node, ProcessID: e.ProcessID})
}

// RaiseToken rewrites a held key so that it gets a higher token, which fences commands of
// this process that may still be in flight. The listener is notified once that is done.
// RaiseToken returns false if the key is not held or a transaction on it is in flight.
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
		e.Reader.AfterSuccessfulRead(func() { // a transaction without a response may have been applied
			if leased.token == oldToken && e.Replica.Revision(key) != oldToken {
				e.handleTokenRaised(key, leased)
			}
		})
	})
	return true
}

// handleTokenRaised uses the key's current revision as its token if this process wrote it.
func (e *Elector) handleTokenRaised(key string, leased *leasedKey) {
	if e.holders[key].ProcessID != e.ProcessID {
		return
	}
	leased.token = e.Replica.Revision(key)
	e.Listener.TokenRaised(key, leased.token)
}
