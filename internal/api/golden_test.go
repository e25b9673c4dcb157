package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"eiderhitch/internal/wire"
)

// stub gives one answer to every request.
type stub struct {
	answer Response
	ready  bool
}

func (s stub) Submit(context.Context, *wire.Job) Response          { return s.answer }
func (s stub) Poll(context.Context, string) Response               { return s.answer }
func (s stub) Cancel(context.Context, string) Response             { return s.answer }
func (s stub) Heartbeat(context.Context, *wire.Heartbeat) Response { return s.answer }
func (s stub) IsReady() bool                                       { return s.ready }

// Status, headers and body of every kind of answer stay as they are.
func TestAnswersKeepTheirBytes(t *testing.T) {
	state := Response{Status: 200, Body: wire.JobState{ID: "wk-1", State: wire.StateDone}}
	for _, x := range []struct {
		request, body string
		answer        Response
		slots         int
		status        int
		retry, text   string
	}{
		{"GET /v1/jobs/wk-1", "", state, 1, 200, "", `{"nameId":"wk-1","tide":"done"}`},
		{"POST /v1/jobs/wk-1/abort", "", state, 1, 200, "", `{"nameId":"wk-1","tide":"done"}`},
		{"GET /v1/jobs/wk-1", "", Response{Status: 404, Reason: "no such job"}, 1, 404, "", `{"error":"no such job"}`},
		{"GET /v1/jobs/wk-1", "", Response{Status: 503, RetryAfterS: 2, Reason: "later"}, 1, 503, "2", `{"error":"later"}`},
		{"GET /v1/jobs/wk-1", "", Response{Status: 200, Body: func() {}}, 1, 500, "", `{}`},
		{"GET /v1/jobs/wk-1", "", state, 0, 503, "1", `{"error":"too many requests in work"}`},
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
		method, path, _ := strings.Cut(x.request, " ")
		w := httptest.NewRecorder()
		NewHandler(stub{answer: x.answer, ready: x.body == ""}, Limits{MaxUserRequests: x.slots}).
			ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(x.body)))
		if w.Code != x.status || w.Body.String() != x.text || w.Header().Get("Retry-After") != x.retry {
			t.Errorf("%s %.40s: %d, Retry-After %q, %s", x.request, x.body, w.Code, w.Header().Get("Retry-After"), w.Body)
		}
		if routed := x.status != http.StatusMethodNotAllowed && !strings.HasSuffix(path, "/"); routed && w.Header().Get("Content-Type") != "application/json" {
			t.Errorf("%s: content type %q", x.request, w.Header().Get("Content-Type"))
		}
	}
}
