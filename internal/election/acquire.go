package election

import (
	"context"
	"errors"
	"time"

	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	// resignBackoff is how long a key that was handed back is left to others.
	resignBackoff = 2 * time.Second
	// acquireRetryDelay is how long a key that could not be acquired counts as taken.
	acquireRetryDelay = 200 * time.Millisecond
	// renewalsPerTTL is how often a lease is renewed within its lifetime, so that a few
	// renewals may fail.
	renewalsPerTTL = 4
)

// tryAcquire acquires a key that has been vacant for wait, or that a former process of
// this controller holds: that process is surely dead.
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

// acquire takes a key by compare-and-swap: it must still be at revision.
func (e *Elector) acquire(leased *leasedKey, key string, revision uint64) {
	lease, err := e.Store.GrantLease(e.ctx, e.TTL)
	var response *wire.TxnResponse
	if err == nil {
		response, err = e.Store.Txn(e.ctx, &wire.Txn{
			Conditions: []wire.Condition{{Key: key, Revision: revision}},
			Changes:    []wire.Change{{Put: key, Value: e.holderValue(), Lease: lease}},
		})
		if err != nil {
			// Perhaps it was applied: revoking the lease deletes the key, and refuses
			// the transaction if it arrives later.
			e.revoke(lease)
		}
	}
	e.Loop.Enqueue(func() {
		leased.writeInFlight = false
		if e.keys[key] != leased { // other keys are used meanwhile
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

// acquired notes that a key was taken at revision, unless it is lost again already.
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

// keepAlive renews the lease of a key until the key is lost. A slow event loop keeps its
// keys, since another controller would hardly be faster and a failover costs both; one
// that has not come round for a whole lifetime can't serve, and lets them go.
func (e *Elector) keepAlive(ctx context.Context, leased *leasedKey, key string, lease uint64) {
	ticker := time.NewTicker(e.TTL / renewalsPerTTL)
	defer ticker.Stop()
	checkResult := make(chan bool, 1)
	checkStartedAt := time.Time{} // since when the event loop's answer is awaited; zero: it is not
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
			continue // not renewed before the event loop is back
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
			default: // an earlier answer says the same
			}
		})
	}
}
