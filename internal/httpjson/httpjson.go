// Package httpjson sends single HTTP requests with JSON bodies. It is what the clients of
// the key-value store, the cloud and the workers have in common; each of them maps the
// response statuses to errors of its own.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Request is one HTTP request.
type Request struct {
	Method string
	URL    string
	// Body is encoded as JSON; nil: the request has no body.
	Body any
	// Timeout bounds the whole exchange, reading of the response included.
	Timeout time.Duration
	// MaxResponseBytes bounds how much of the response's body is read; 0: all of it.
	MaxResponseBytes int64
}

// Response is the response to a request, with its body read.
type Response struct {
	Status int
	Body   []byte
}

// NoResponseError says that no complete response came. The request may have been
// executed, or may be executed later. It unwraps to the error of the HTTP client.
type NoResponseError struct{ Err error }

// Error is the text of the underlying error.
func (e *NoResponseError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *NoResponseError) Unwrap() error { return e.Err }

// StatusError is a response status that the caller did not expect.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Do sends a request and reads the response, whatever its status. A NoResponseError means
// that the outcome is unknown; after any other error nothing was sent.
func Do(ctx context.Context, client *http.Client, request Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	httpRequest, err := request.encode(ctx)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return nil, &NoResponseError{err}
	}
	defer response.Body.Close()
	var body io.Reader = response.Body
	if request.MaxResponseBytes > 0 {
		body = io.LimitReader(body, request.MaxResponseBytes)
	}
	raw, err := io.ReadAll(body)
	if err != nil {
		return nil, &NoResponseError{err}
	}
	return &Response{Status: response.StatusCode, Body: raw}, nil
}

// encode returns the request with its body encoded.
func (r *Request) encode(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if r.Body != nil {
		raw, err := json.Marshal(r.Body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(raw)
	}
	return http.NewRequestWithContext(ctx, r.Method, r.URL, body)
}
