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

// transport answers with what a function says.
type transport func(*http.Request) (*http.Response, error)

func (f transport) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

var errReset = errors.New("connection reset")

// Whatever may have been executed is told by a NoResponseError, and nothing else is.
func TestOutcomes(t *testing.T) {
	answer := func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusTeapot, Body: io.NopCloser(strings.NewReader("0123456789"))}, nil
	}
	for _, x := range []struct {
		name      string
		transport transport
		body      any
		limit     int64
		want      string
		unknown   bool
		failed    bool
	}{
		{name: "any status is a response", transport: answer, want: "0123456789"},
		{name: "a long response is cut", transport: answer, limit: 4, want: "0123"},
		{name: "a body that can't be encoded", transport: answer, body: func() {}, failed: true},
		{name: "no response", transport: func(*http.Request) (*http.Response, error) { return nil, errReset }, unknown: true, failed: true},
		{name: "half a response", transport: func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(io.MultiReader(strings.NewReader("01"), failing{}))}, nil
		}, unknown: true, failed: true},
	} {
		response, err := httpjson.Do(t.Context(), &http.Client{Transport: x.transport},
			httpjson.Request{Method: http.MethodPost, URL: "http://x/", Body: x.body, Timeout: time.Second, MaxResponseBytes: x.limit})
		_, unknown := errors.AsType[*httpjson.NoResponseError](err)
		if (err != nil) != x.failed || unknown != x.unknown || unknown && !errors.Is(err, errReset) {
			t.Errorf("%s: %v", x.name, err)
		}
		if err == nil && (response.Status != http.StatusTeapot || string(response.Body) != x.want) {
			t.Errorf("%s: %d %s", x.name, response.Status, response.Body)
		}
	}
}

// failing is a body that breaks off.
type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errReset }
