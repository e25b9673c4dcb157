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

// Store is what a registration needs of the state service.
type Store interface {
	Revision(ctx context.Context, key string) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, id uint64) error
	RevokeLease(ctx context.Context, id uint64) error
	Txn(ctx context.Context, t *wire.Txn) (*wire.TxnResponse, error)
}

// Registrar keeps a controller's record stored, under a lease, while the process lives.
type Registrar struct {
	Store      Store
	Controller Controller
	// TTL is how long the record outlives its process.
	TTL time.Duration
	Log *slog.Logger
}

const (
	// renewalsPerTTL is how often a registration is renewed within its lease.
	renewalsPerTTL = 4
	// registerRetry is the pause after an attempt to register that failed.
	registerRetry = time.Second
	// leaveTimeout bounds the call that ends a registration.
	leaveTimeout = time.Second
)

// Run registers the controller, renews that, and registers it anew when the lease has
// ended, as after a pause of the process. When ctx ends so does the registration.
func (r *Registrar) Run(ctx context.Context) error {
	for {
		lease, err := r.register(ctx)
		if err == nil {
			r.Log.Debug("controller registered", "levels", r.Controller.Range.String(), "build", r.Controller.Build)
			err = r.keep(ctx, lease)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.Log.Debug("controller is not registered", "err", err)
		if !pause(ctx, registerRetry) {
			return ctx.Err()
		}
	}
}

// register stores the record in place of a former process's of the same name.
func (r *Registrar) register(ctx context.Context) (uint64, error) {
	key := ControllerKey(r.Controller.Node)
	version, err := r.Store.Revision(ctx, key)
	if err != nil {
		return 0, err
	}
	lease, err := r.Store.GrantLease(ctx, r.TTL)
	if err != nil {
		return 0, err
	}
	c := r.Controller
	c.StartedAt = time.Now().UnixMilli()
	_, err = r.Store.Txn(ctx, &wire.Txn{
		Conditions: []wire.Condition{{Key: key, Revision: version}},
		Changes:    []wire.Change{{Put: key, Value: c.Encode(), Lease: lease}},
	})
	if err != nil {
		// Perhaps it was applied: ending the lease takes the record along.
		r.leave(ctx, lease)
		return 0, fmt.Errorf("register: %w", err)
	}
	return lease, nil
}

// keep renews the lease until that has ended. While the state service can't be reached
// it goes on: an outage ends no lease.
func (r *Registrar) keep(ctx context.Context, lease uint64) error {
	for {
		if !pause(ctx, r.TTL/renewalsPerTTL) {
			r.leave(context.WithoutCancel(ctx), lease)
			return ctx.Err()
		}
		if err := r.Store.RenewLease(ctx, lease); errors.Is(err, store.ErrLeaseExpired) {
			return err
		}
	}
}

func (r *Registrar) leave(ctx context.Context, lease uint64) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_ = r.Store.RevokeLease(ctx, lease)
}

// pause waits; false if ctx ended meanwhile.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
