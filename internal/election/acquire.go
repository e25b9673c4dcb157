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
	// retryAcquireAfter is how long a key that could not be acquired counts as taken.
	retryAcquireAfter = 200 * time.Millisecond
	// renewalsPerTTL is how often a lease is renewed within its lifetime, so that a few
	// renewals may fail.
	renewalsPerTTL = 4
)

// tryAcquire acquires a key that has been vacant for wait, or that a former process of
// this controller holds: that process is surely dead.
func (e *Elector) tryAcquire(key string, wait time.Duration) {
	now, leased := e.Loop.Now(), e.keys[key]
	if leased.busy || leased.token != 0 || now.Before(leased.backoffUntil) {
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
		if now.Sub(leased.vacantSince) < wait {
			return
		}
	}
	leased.busy = true
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
		leased.busy = false
		if e.keys[key] != leased { // other keys are used meanwhile
			go e.revoke(lease)
			return
		}
		if err != nil {
			leased.vacantSince = e.Loop.Now().Add(retryAcquireAfter)
			return
		}
		e.acquired(leased, key, lease, response.Revision)
	})
}

// acquired notes that a key was taken at revision, unless it is lost again already.
func (e *Elector) acquired(leased *leasedKey, key string, lease, revision uint64) {
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
	lost := make(chan bool, 1)
	askedAt := time.Time{} // since when the event loop's answer is awaited; zero: it is not
	for {
		select {
		case <-ctx.Done():
			return
		case gone := <-lost:
			if gone {
				return
			}
			askedAt = time.Time{}
			continue
		case <-ticker.C:
		}
		if !askedAt.IsZero() && time.Since(askedAt) > e.TTL {
			continue // not renewed before the event loop is back
		}
		err := e.Store.RenewLease(ctx, lease)
		expired := errors.Is(err, store.ErrLeaseExpired)
		if !askedAt.IsZero() && !expired {
			continue
		}
		askedAt = time.Now()
		go e.Loop.Enqueue(func() {
			if leased.lease == lease && expired {
				e.lose(key, "lease expired")
			}
			select {
			case lost <- leased.lease != lease:
			default: // an earlier answer says the same
			}
		})
	}
}
