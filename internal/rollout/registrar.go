package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// RegistrarStore contains the calls of the key-value store's client that a Registrar makes.
type RegistrarStore interface {
	Revision(ctx context.Context, key string) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Txn(ctx context.Context, txn *wire.Txn) (*wire.TxnResponse, error)
}

// Registrar keeps a controller registered, under a lease, while the process runs.
type Registrar struct {
	Store        RegistrarStore
	Registration Registration
	// TTL is the time for which the registration remains after the process has ended.
	TTL time.Duration
	Log *slog.Logger
}

const (
	// renewalsPerTTL is the number of renewals of a registration's lease within its TTL.
	renewalsPerTTL = 4
	// registerRetryInterval is the pause after a failed attempt to register.
	registerRetryInterval = time.Second
	// revokeTimeout limits the duration of the call that ends a registration.
	revokeTimeout = time.Second
)

// Run registers the controller and renews its lease. If the lease has expired, as happens when the
// process was paused, Run registers the controller again. It ends the registration and returns
// when ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	for {
		lease, err := r.register(ctx)
		if err == nil {
			r.Log.Debug("controller registered", "levels", r.Registration.LevelRange.String(), "build", r.Registration.Build)
			err = r.renew(ctx, lease)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.Log.Debug("controller is not registered", "err", err)
		if !sleep(ctx, registerRetryInterval) {
			return ctx.Err()
		}
	}
}

// register stores the registration, replacing that of a former process of this controller, and
// returns the lease that it is stored under.
func (r *Registrar) register(ctx context.Context) (uint64, error) {
	key := RegistrationKey(r.Registration.Node)
	revision, err := r.Store.Revision(ctx, key)
	if err != nil {
		return 0, err
	}
	lease, err := r.Store.GrantLease(ctx, r.TTL)
	if err != nil {
		return 0, err
	}
	c := r.Registration
	c.RegisteredAtMS = time.Now().UnixMilli()
	_, err = r.Store.Txn(ctx, &wire.Txn{
		Conditions: []wire.Condition{{Key: key, Revision: revision}},
		Changes:    []wire.Change{{Put: key, Value: c.Encode(), Lease: lease}},
	})
	if err != nil {
		// The transaction may have been applied. Revoking the lease deletes the record.
		r.revoke(ctx, lease)
		return 0, fmt.Errorf("register: %w", err)
	}
	return lease, nil
}

// renew renews the lease until it has expired. It continues while the key-value store can't be
// reached, since leases do not expire during an outage of the store.
func (r *Registrar) renew(ctx context.Context, lease uint64) error {
	for {
		if !sleep(ctx, r.TTL/renewalsPerTTL) {
			r.revoke(context.WithoutCancel(ctx), lease)
			return ctx.Err()
		}
		if err := r.Store.RenewLease(ctx, lease); errors.Is(err, store.ErrLeaseExpired) {
			return err
		}
	}
}

// revoke revokes a lease, which ends the registration.
func (r *Registrar) revoke(ctx context.Context, lease uint64) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	_ = r.Store.RevokeLease(ctx, lease) // on failure the lease expires by itself
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
