// Package httpjson sends single HTTP requests with JSON bodies. The clients of the key-value
// store, the cloud and the workers share it; each of them maps the response statuses to its
// own errors.
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

// Request describes one HTTP request.
type Request struct {
	Method string
	URL    string
	// Body is encoded as JSON. If it is nil, the request has no body.
	Body any
	// Timeout limits the whole exchange, including reading the response body.
	Timeout time.Duration
	// MaxResponseBytes limits how many bytes of the response body are read; the rest is
	// dropped. If it is 0, the whole body is read.
	MaxResponseBytes int64
}

// Response holds the status and the complete body of an HTTP response.
type Response struct {
	Status int
	Body   []byte
}

// NoResponseError reports that no complete response was received. The server may have
// executed the request, or may still execute it. It wraps the error of the HTTP client.
type NoResponseError struct{ Err error }

// Error returns the text of the underlying error.
func (e *NoResponseError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *NoResponseError) Unwrap() error { return e.Err }

// StatusError reports a response status that the caller does not handle.
type StatusError struct{ Status int }

// Error returns a text with the status code.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Do sends a request and reads the response. Any status counts as success. After a
// NoResponseError the outcome of the request is unknown; after any other error the request
// was not sent.
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

// encode returns the HTTP request with the body encoded as JSON.
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
