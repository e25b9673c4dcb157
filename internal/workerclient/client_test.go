package workerclient_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerclient"
)

// fakeTransport gives the same response to every request and records the last request.
type fakeTransport struct {
	status            int
	body, lastRequest string
}

func (s *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(r.Body) // a read error makes the comparison with the expected request fail
	s.lastRequest = fmt.Sprintf("%s %s %s", r.Method, r.URL, body)
	return &http.Response{StatusCode: s.status, Body: io.NopCloser(strings.NewReader(s.body)), Header: http.Header{}}, nil
}

// A command must be sent as exactly this request. A response must give a heartbeat and whether the
// commands were executed, or an error.
func TestCommandsAndResponses(t *testing.T) {
	for _, x := range []struct {
		status   int
		body     string
		executed bool
		text     string
	}{
		{200, `{"perch":"m","watch":1}`, true, ""},
		{409, `{"perch":"m","watch":1}`, false, ""},
		{400, `{}`, false, "worker w:1: status 400"},
		{503, `{}`, false, "worker w:1: status 503"},
		{200, `{}`, false, "worker w:1: report: machine or session is missing"},
	} {
		rt := &fakeTransport{status: x.status, body: x.body}
		heartbeat, executed, err := workerclient.NewClient(rt).Send(t.Context(), "w:1", &wire.CommandRequest{FencingToken: 41, Incarnation: 1})
		if want := `POST http://w:1/do {"baton":41,"watch":1,"calls":[]}`; rt.lastRequest != want {
			t.Errorf("sent %s, want %s", rt.lastRequest, want)
		}
		if (err == nil) != (x.text == "") || err != nil && err.Error() != x.text || executed != x.executed || (heartbeat == nil) != (err != nil) {
			t.Errorf("response %d %s: unexpected result: heartbeat %+v, executed %v, error %v", x.status, x.body, heartbeat, executed, err)
		}
	}
}
