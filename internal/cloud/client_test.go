package cloud_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/wire"
)

// fakeTransport gives the same response to every request and records the last request.
type fakeTransport struct {
	status            int
	body, lastRequest string
}

func (s *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body) // a read error makes the comparison with the expected request fail
	}
	s.lastRequest = strings.TrimSpace(fmt.Sprintf("%s %s %s", r.Method, r.URL, body))
	return &http.Response{StatusCode: s.status, Body: io.NopCloser(strings.NewReader(s.body)), Header: http.Header{}}, nil
}

// Each call must send exactly the listed request, and each response must give the error by which
// callers decide what to do.
func TestRequestsAndErrors(t *testing.T) {
	for _, x := range []struct {
		name, sent string
		call       func(context.Context, *cloud.Client) error
	}{
		{"types", "GET http://cloud:1/machine_types", func(ctx context.Context, c *cloud.Client) error { _, err := c.MachineTypes(ctx); return err }},
		{"launch", `POST http://cloud:1/rentals {"charter":"r","hull":"g8","shore":"a","driftwood":false,"howMany":2}`,
			func(ctx context.Context, c *cloud.Client) error {
				_, err := c.Launch(ctx, wire.LaunchRequest{IdempotencyKey: "r", Type: "g8", Zone: "a", Count: 2})
				return err
			}},
		{"terminate", `POST http://cloud:1/rentals/release {"perches":["m"]}`,
			func(ctx context.Context, c *cloud.Client) error { return c.Terminate(ctx, []string{"m"}) }},
		{"list", "GET http://cloud:1/rentals?most=500", func(ctx context.Context, c *cloud.Client) error { _, err := c.List(ctx); return err }},
	} {
		for _, y := range []struct {
			status int
			body   string
			want   error
			text   string
		}{
			{200, `{}`, nil, ""},
			{503, `{"error":"no capacity"}`, cloud.ErrNoCapacity, ""},
			{503, `{"error":"trouble"}`, cloud.ErrRefused, ""},
			{429, ``, cloud.ErrRefused, ""},
			{404, ``, nil, "status 404"},
			{500, ``, nil, "status 500"},
		} {
			rt := &fakeTransport{status: y.status, body: y.body}
			err := x.call(t.Context(), cloud.NewClient("cloud:1", 100, rt))
			if rt.lastRequest != x.sent {
				t.Errorf("%s: sent\n%s, want\n%s", x.name, rt.lastRequest, x.sent)
			}
			ok := err == nil
			if y.text != "" {
				ok = err != nil && strings.Contains(err.Error(), y.text)
			} else if y.want != nil {
				ok = errors.Is(err, y.want)
			}
			if !ok || y.want == nil && (errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrRefused)) {
				t.Errorf("%s: unexpected error for response %d %s: %v", x.name, y.status, y.body, err)
			}
		}
	}
}
