package cloud

import "context"

// sendCheckKey is the key of the check in a context.
type sendCheckKey struct{}

// WithSendCheck returns a context for calls whose requests are sent only if check returns nil. check
// is called on the caller's goroutine after the wait for the rate limit, just before each request. A
// call whose request is not sent returns check's error.
func WithSendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// CheckSend returns the error of the context's check, or nil if there is none.
func CheckSend(ctx context.Context) error {
	check, ok := ctx.Value(sendCheckKey{}).(func() error)
	if !ok {
		return nil
	}
	return check()
}
