package api

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"eiderhitch/internal/wire"
)

// maxLargeBodies is the number of bodies of more than wire.MaxBodyBytes that are held at a time. It
// limits the memory that requests can take, since the protocol has no such bodies.
const maxLargeBodies = 4

// errTooManyLargeBodies reports that maxLargeBodies large bodies are held already.
var errTooManyLargeBodies = errors.New("body: too many large bodies at a time")

// bodyReader reads the body of each request before it passes the request on. A handler therefore
// holds no slot for a body that never ends.
type bodyReader struct {
	next           http.Handler
	largeBodySlots chan struct{} // holds one element for each large body
}

func newBodyReader(next http.Handler) *bodyReader {
	return &bodyReader{next: next, largeBodySlots: make(chan struct{}, maxLargeBodies)}
}

// requestBody is a body that was read, or the error of reading it.
type requestBody struct {
	*bytes.Reader
	raw []byte
	err error
}

// Close does nothing.
func (requestBody) Close() error { return nil }

// ServeHTTP reads the request's body and calls the next handler.
func (b *bodyReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, release, err := b.read(r)
	defer release()
	markRequestRead(r.Context())
	defer markResponseWritten(r.Context())
	r.Body = requestBody{Reader: bytes.NewReader(raw), raw: raw, err: err}
	b.next.ServeHTTP(w, r)
}

// read reads the body of a request, or the first byte beyond its limit. release must be called once
// the body is no longer needed.
func (b *bodyReader) read(r *http.Request) (raw []byte, release func(), err error) {
	release = func() {}
	limit := bodyLimit(r)
	raw, err = io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes+1))
	if err != nil || len(raw) <= wire.MaxBodyBytes || limit <= wire.MaxBodyBytes {
		return raw, release, err
	}
	select {
	case b.largeBodySlots <- struct{}{}:
		release = func() { <-b.largeBodySlots }
	default:
		return raw, release, errTooManyLargeBodies
	}
	rest, err := io.ReadAll(io.LimitReader(r.Body, limit+1-int64(len(raw))))
	return append(raw, rest...), release, err
}

// bodyLimit returns the maximum size of a request's body in bytes.
func bodyLimit(r *http.Request) int64 {
	if r.URL.Path == heartbeatPath {
		return maxHeartbeatBytes
	}
	return wire.MaxBodyBytes
}

// bodyOf returns the body of a request that a bodyReader has read. If the body is incomplete or has
// more than limit bytes, it returns the response to the request and false.
func bodyOf(r *http.Request, limit int64) (raw []byte, refusal Response, ok bool) {
	body, isRead := r.Body.(requestBody)
	switch {
	case !isRead:
		return nil, badRequest(errBodyMissing), false
	case errors.Is(body.err, errTooManyLargeBodies):
		return nil, unavailable(body.err.Error()), false
	case body.err != nil:
		return nil, badRequest(body.err), false
	case int64(len(body.raw)) > limit:
		return nil, badRequest(errBodyTooLarge), false
	}
	return body.raw, Response{}, true
}

// errBodyMissing reports that a request has not passed a bodyReader.
var errBodyMissing = errors.New("body: not read")
