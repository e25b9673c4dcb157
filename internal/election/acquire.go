package election

import (
	"context"
	"errors"
	"time"

	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	// resignBackoff is the time for which this process does not acquire a key after resigning it.
	resignBackoff = 2 * time.Second
	// acquireRetryDelay is the time after a failed attempt to acquire a key for which no other
	// attempt is made.
	acquireRetryDelay = 200 * time.Millisecond
	// renewalsPerTTL is the number of renewals of a lease within its TTL. It is above 1 so
	// that single renewals may fail.
	renewalsPerTTL = 4
)

// tryAcquire begins to acquire a key that has been vacant for delay. A key that is held by a
// former process of this controller is acquired at once, since that process has ended.
func (e *Elector) tryAcquire(key string, delay time.Duration) {
	now, leased := e.Loop.Now(), e.keys[key]
	if leased.writeInFlight || leased.token != 0 || now.Before(leased.backoffUntil) {
		return
	}
	holder, held := e.holders[key]
	if held && holder.Node != e.Node {
		leased.vacantSince = time.Time{}
		return
	}
	if !held {
		if leased.vacantSince.IsZero() {
			leased.vacantSince = now
		}
		if now.Sub(leased.vacantSince) < delay {
			return
		}
	}
	leased.writeInFlight = true
	go e.acquire(leased, key, e.Replica.Revision(key))
}

// acquire acquires a key by compare-and-swap, on condition that it is still at revision.
func (e *Elector) acquire(leased *leasedKey, key string, revision uint64) {
	lease, err := e.Store.GrantLease(e.ctx, e.TTL)
	var response *wire.TxnResponse
	if err == nil {
		response, err = e.Store.Txn(e.ctx, &wire.Txn{
			Conditions: []wire.Condition{{Key: key, Revision: revision}},
			Changes:    []wire.Change{{Put: key, Value: e.holderValue(), Lease: lease}},
		})
		if err != nil {
			// The transaction may have been applied. Revoking the lease deletes the key and
			// makes the transaction fail if it arrives later.
			e.revoke(lease)
		}
	}
	e.Loop.Enqueue(func() {
		leased.writeInFlight = false
		if e.keys[key] != leased { // SetKeys was called in the meantime
			go e.revoke(lease)
			return
		}
		if err != nil {
			leased.vacantSince = e.Loop.Now().Add(acquireRetryDelay)
			return
		}
		e.handleAcquired(leased, key, lease, response.Revision)
	})
}

// handleAcquired records that a key was acquired at revision, unless the replica shows that it
// has been lost again already.
func (e *Elector) handleAcquired(leased *leasedKey, key string, lease, revision uint64) {
	leased.token, leased.lease, leased.vacantSince = revision, lease, time.Time{}
	e.Replica.Put(key, e.holderValue(), revision)
	if e.Replica.Revision(key) != revision {
		leased.token, leased.lease, leased.vacantSince = 0, 0, e.Loop.Now()
		return
	}
	e.Log.Info("leased key acquired", "key", key, "token", revision)
	e.Listener.KeyAcquired(key, revision)
	go e.keepAlive(e.ctx, leased, key, lease)
}

// keepAlive renews the lease of a key until the key is lost. A controller with a slow event
// loop keeps its keys, since another controller would hardly be faster and a failover takes
// time on both. If the event loop has not run for a whole TTL, the controller can't serve, and
// the lease is left to expire. To detect that, each renewal enqueues a check on the event loop.
func (e *Elector) keepAlive(ctx context.Context, leased *leasedKey, key string, lease uint64) {
	ticker := time.NewTicker(e.TTL / renewalsPerTTL)
	defer ticker.Stop()
	checkResult := make(chan bool, 1)
	checkStartedAt := time.Time{} // start of the check whose result is awaited; zero if none is
	for {
		select {
		case <-ctx.Done():
			return
		case lost := <-checkResult:
			if lost {
				return
			}
			checkStartedAt = time.Time{}
			continue
		case <-ticker.C:
		}
		if !checkStartedAt.IsZero() && time.Since(checkStartedAt) > e.TTL {
			continue // don't renew until the event loop runs again
		}
		err := e.Store.RenewLease(ctx, lease)
		leaseExpired := errors.Is(err, store.ErrLeaseExpired)
		if !checkStartedAt.IsZero() && !leaseExpired {
			continue
		}
		checkStartedAt = time.Now()
		go e.Loop.Enqueue(func() {
			if leased.lease == lease && leaseExpired {
				e.markLost(key, "lease expired")
			}
			select {
			case checkResult <- leased.lease != lease:
			default: // an earlier result is unread; if it is false, a later renewal checks again
			}
		})
	}
}
