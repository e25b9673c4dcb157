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

// RegistrarStore is what a registration needs of the key-value store.
type RegistrarStore interface {
	Revision(ctx context.Context, key string) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, id uint64) error
	RevokeLease(ctx context.Context, id uint64) error
	Txn(ctx context.Context, t *wire.Txn) (*wire.TxnResponse, error)
}

// Registrar keeps a controller registered, under a lease, while the process lives.
type Registrar struct {
	Store        RegistrarStore
	Registration Registration
	// TTL is how long the registration outlives its process.
	TTL time.Duration
	Log *slog.Logger
}

const (
	// renewalsPerTTL is how often a registration is renewed within its lease.
	renewalsPerTTL = 4
	// registerRetryInterval is the pause after an attempt to register that failed.
	registerRetryInterval = time.Second
	// revokeTimeout bounds the call that ends a registration.
	revokeTimeout = time.Second
)

// Run registers the controller, renews its lease, and registers it anew when the lease has
// expired, as after a pause of the process. When ctx ends so does the registration.
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

// register stores the registration in place of a former process's of the same name, and
// returns the lease that it is under.
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
	c.RegisteredAt = time.Now().UnixMilli()
	_, err = r.Store.Txn(ctx, &wire.Txn{
		Conditions: []wire.Condition{{Key: key, Revision: revision}},
		Changes:    []wire.Change{{Put: key, Value: c.Encode(), Lease: lease}},
	})
	if err != nil {
		// Perhaps it was applied: ending the lease takes the record along.
		r.revoke(ctx, lease)
		return 0, fmt.Errorf("register: %w", err)
	}
	return lease, nil
}

// renew renews the lease until it has expired. While the key-value store can't be reached it
// goes on: an outage ends no lease.
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

// revoke ends a lease, and the registration with it.
func (r *Registrar) revoke(ctx context.Context, lease uint64) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	_ = r.Store.RevokeLease(ctx, lease) // if it fails the lease expires
}

// pause waits; it returns false if ctx ended meanwhile.
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
