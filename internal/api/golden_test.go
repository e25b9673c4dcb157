package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"eiderhitch/internal/wire"
)

// stubService returns the same response to every request.
type stubService struct {
	response Response
	ready    bool
}

func (s stubService) Submit(context.Context, *wire.Job) Response          { return s.response }
func (s stubService) Poll(context.Context, string) Response               { return s.response }
func (s stubService) Cancel(context.Context, string) Response             { return s.response }
func (s stubService) Heartbeat(context.Context, *wire.Heartbeat) Response { return s.response }
func (s stubService) IsReady() bool                                       { return s.ready }

// Clients depend on the exact status, headers and body of every kind of response.
func TestResponsesAreUnchanged(t *testing.T) {
	state := Response{Status: 200, Body: wire.JobState{ID: "wk-1", State: wire.StateDone}}
	for _, test := range []struct {
		request, body            string
		response                 Response
		maxUserRequests          int
		status                   int
		retryAfter, responseBody string
	}{
		{"GET /v1/jobs/wk-1", "", state, 1, 200, "", `{"nameId":"wk-1","tide":"done"}`},
		{"POST /v1/jobs/wk-1/abort", "", state, 1, 200, "", `{"nameId":"wk-1","tide":"done"}`},
		{"GET /v1/jobs/wk-1", "", Response{Status: 404, Reason: "no such job"}, 1, 404, "", `{"error":"no such job"}`},
		{"GET /v1/jobs/wk-1", "", Response{Status: 503, RetryAfterS: 2, Reason: "later"}, 1, 503, "2", `{"error":"later"}`},
		{"GET /v1/jobs/wk-1", "", Response{Status: 200, Body: func() {}}, 1, 500, "", `{}`},
		{"GET /v1/jobs/wk-1", "", state, 0, 503, "1", `{"error":"too many requests in progress"}`},
		{"POST /v1/jobs", "[]", state, 1, 400, "", `{"error":"body: not a JSON object"}`},
		{"POST /v1/jobs", "{}", state, 1, 400, "", `{"error":"nameId: missing"}`},
		{"POST /v1/jobs", strings.Repeat(" ", 65537), state, 1, 400, "", `{"error":"body: too large"}`},
		{"POST /v1/report", "{}", state, 0, 400, "", `{"error":"report: machine or session is missing"}`},
		{"POST /v1/report", `{"perch":"m","watch":1}`, Response{Status: 421, Body: wire.Redirect{Node: "perch-2"}}, 0, 421, "", `{"harbour":"perch-2"}`},
		{"POST /v1/report", strings.Repeat(" ", 4<<20+1), state, 0, 400, "", `{"error":"body: too large"}`},
		{"GET /ready", "", state, 0, 200, "", `{}`},
		{"GET /ready", "not", state, 0, 503, "", `{"error":"not ready"}`},
		{"GET /v1/jobs/wk-1/", "", state, 1, 404, "", "404 page not found\n"},
		{"PUT /v1/jobs", "", state, 1, 405, "", "Method Not Allowed\n"},
	} {
		method, path, _ := strings.Cut(test.request, " ")
		recorder := httptest.NewRecorder()
		NewHandler(stubService{response: test.response, ready: test.body == ""}, Limits{MaxUserRequests: test.maxUserRequests}).
			ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(test.body)))
		if recorder.Code != test.status || recorder.Body.String() != test.responseBody || recorder.Header().Get("Retry-After") != test.retryAfter {
			t.Errorf("%s %.40s: got status %d, Retry-After %q, body %s", test.request, test.body, recorder.Code, recorder.Header().Get("Retry-After"), recorder.Body)
		}
		if routed := test.status != http.StatusMethodNotAllowed && !strings.HasSuffix(path, "/"); routed && recorder.Header().Get("Content-Type") != "application/json" {
			t.Errorf("%s: got Content-Type %q, want application/json", test.request, recorder.Header().Get("Content-Type"))
		}
	}
}
