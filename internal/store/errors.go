package store

import (
	"errors"
	"fmt"
)

// Errors that callers handle. The methods of Client wrap them with the operation and the key, so
// they must be compared with errors.Is.
var (
	// ErrConflict reports that a condition of a transaction failed. Nothing was changed.
	ErrConflict = errors.New("key-value store: a condition failed")
	// ErrLeaseExpired reports that the lease has expired or was revoked. Its keys have been
	// deleted.
	ErrLeaseExpired = errors.New("key-value store: no such lease")
	// ErrCompacted reports that the store no longer keeps the changes since a revision. The
	// keys must be listed again.
	ErrCompacted = errors.New("key-value store: revision too old")
	// ErrInvalid reports that the request is malformed or exceeds a limit of the store. The
	// same request would be refused again.
	ErrInvalid = errors.New("key-value store: refused as invalid")
	// ErrNotExecuted reports that the request was definitely not executed. It may be retried.
	ErrNotExecuted = errors.New("key-value store: refused")
	// ErrThrottled reports that the controllers together have reached the store's rate limit.
	// It is also an ErrNotExecuted.
	ErrThrottled = fmt.Errorf("%w: rate limit reached", ErrNotExecuted)
	// ErrOutcomeUnknown reports that the store may have executed the request or may still
	// execute it.
	ErrOutcomeUnknown = errors.New("key-value store: no answer")
)

// Errors of writes that a Writer resolved without a response from the store.
var (
	errWriteCancelled = fmt.Errorf("write cancelled: %w", ErrConflict)
	errWriteExpired   = fmt.Errorf("write expired: %w", ErrOutcomeUnknown)
	errWriterStopped  = fmt.Errorf("writer stopped: %w", ErrOutcomeUnknown)
)
