package store

import (
	"errors"
	"fmt"
)

// Errors that callers act on. The methods of Client wrap them with what was tried on which
// key: compare with errors.Is.
var (
	// ErrConflict says that a condition of a transaction failed: nothing was changed.
	ErrConflict = errors.New("key-value store: a condition failed")
	// ErrLeaseExpired says that the lease has expired or was revoked, and its keys are
	// deleted.
	ErrLeaseExpired = errors.New("key-value store: no such lease")
	// ErrCompacted says that the changes since a revision are no longer kept: the keys
	// must be listed again.
	ErrCompacted = errors.New("key-value store: revision too old")
	// ErrInvalid says that the request is malformed or beyond a limit of the store. The
	// same request would be refused again.
	ErrInvalid = errors.New("key-value store: refused as invalid")
	// ErrNotExecuted says that the request was surely not executed and may be retried.
	ErrNotExecuted = errors.New("key-value store: refused")
	// ErrThrottled is an ErrNotExecuted: the controllers together have reached the
	// store's rate limit.
	ErrThrottled = fmt.Errorf("%w: rate limit reached", ErrNotExecuted)
	// ErrOutcomeUnknown says that the request may have been executed, or may be executed
	// later.
	ErrOutcomeUnknown = errors.New("key-value store: no answer")
)

// Errors of writes whose Writer didn't wait for an answer of the store.
var (
	errWriteCancelled = fmt.Errorf("write cancelled: %w", ErrConflict)
	errWriteExpired   = fmt.Errorf("write expired: %w", ErrOutcomeUnknown)
	errWriterStopped  = fmt.Errorf("writer stopped: %w", ErrOutcomeUnknown)
)
