package httpjson_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/httpjson"
)

// roundTripFunc is an HTTP transport that calls a function for each request.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

var errReset = errors.New("connection reset")

// Do returns a NoResponseError exactly if the server may have executed the request.
func TestDoReportsOutcome(t *testing.T) {
	answer := func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusTeapot, Body: io.NopCloser(strings.NewReader("0123456789"))}, nil
	}
	for _, test := range []struct {
		name           string
		transport      roundTripFunc
		body           any
		limit          int64
		want           string
		outcomeUnknown bool
		failed         bool
	}{
		{name: "any status is a response", transport: answer, want: "0123456789"},
		{name: "a long response is truncated", transport: answer, limit: 4, want: "0123"},
		{name: "a body that can't be encoded", transport: answer, body: func() {}, failed: true},
		{name: "no response", transport: func(*http.Request) (*http.Response, error) { return nil, errReset }, outcomeUnknown: true, failed: true},
		{name: "a response that breaks off", transport: func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(io.MultiReader(strings.NewReader("01"), failingReader{}))}, nil
		}, outcomeUnknown: true, failed: true},
	} {
		response, err := httpjson.Do(t.Context(), &http.Client{Transport: test.transport},
			httpjson.Request{Method: http.MethodPost, URL: "http://x/", Body: test.body, Timeout: time.Second, MaxResponseBytes: test.limit})
		_, outcomeUnknown := errors.AsType[*httpjson.NoResponseError](err)
		if (err != nil) != test.failed || outcomeUnknown != test.outcomeUnknown || outcomeUnknown && !errors.Is(err, errReset) {
			t.Errorf("%s: unexpected error %v", test.name, err)
		}
		if err == nil && (response.Status != http.StatusTeapot || string(response.Body) != test.want) {
			t.Errorf("%s: unexpected status %d or body %q", test.name, response.Status, response.Body)
		}
	}
}

// failingReader is a response body whose first read fails.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errReset }
