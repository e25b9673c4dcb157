package wire

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func drawHeartbeat(t *rapid.T) Heartbeat {
	text := rapid.OneOf(rapid.StringMatching(`[a-z]{1,6}-[0-9]{1,6}`), rapid.String())
	r := Heartbeat{Machine: text.Draw(t, "machine"), Addr: "10.0.0.1:9000", Type: text.Draw(t, "type"), Zone: text.Draw(t, "zone"),
		Spot: rapid.Bool().Draw(t, "spot"), Incarnation: rapid.Uint64().Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence"), FencingToken: rapid.Uint64().Draw(t, "token")}
	if rapid.Bool().Draw(t, "noticed") {
		n := rapid.Float64Range(0, 1e6).Draw(t, "notice")
		r.TerminationNoticeS = &n
	}
	for range rapid.IntRange(0, 4).Draw(t, "tasks") {
		r.Tasks = append(r.Tasks, TaskStatus{Task: text.Draw(t, "task"), Attempt: rapid.Uint64().Draw(t, "attempt"),
			State: rapid.SampledFrom([]string{StateFetchingImage, StateRunning, StateSavingCheckpoint, StateExited}).Draw(t, "state"), Reason: text.Draw(t, "why"), CheckpointSaved: rapid.Bool().Draw(t, "saved")})
	}
	return r
}

// Decode must give the same result as the standard library's decoder, and must reject a damaged
// document exactly if the standard decoder does.
func TestDecodeMatchesStandardLibrary(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		raw, err := json.Marshal(drawHeartbeat(t))
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "damaged") {
			at := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
			raw[at] = rapid.SampledFrom([]byte(`{}[]",:x0-. \n`)).Draw(t, "byte")
		}
		var want, got Heartbeat
		wantErr, gotErr := json.Unmarshal(raw, &want), Decode(raw, &got)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("%s: Decode returned error %v, the standard decoder %v", raw, gotErr, wantErr)
		}
		if wantErr != nil {
			refused++
		} else if d := cmp.Diff(want, got); d != "" {
			t.Fatalf("%s: decoded heartbeat differs (-standard +Decode):\n%s", raw, d)
		}
	})
	if refused == 0 {
		t.Error("the standard decoder rejected none of the damaged documents")
	}
}

// A heartbeat of four million opening brackets overflowed the decoder's stack, which ends the process.
func TestNestedHeartbeatEndsProcess(t *testing.T) {
	const opening = 4_000_000
	for _, document := range []string{
		`{"perch":"host-1","watch":1,"x":` + strings.Repeat("[", opening),
		`{"perch":"host-1","watch":1,"x":` + strings.Repeat("[", opening/2) + strings.Repeat("]", opening/2) + "}",
		`{"perch":"host-1","watch":1,"x":` + strings.Repeat(`{"a":`, opening/5),
		`{"perch":"host-1","watch":1,"x":"\"` + strings.Repeat(`\\`, 9) + `",` + strings.Repeat(`"b":[`, opening/5),
	} {
		if _, err := ParseHeartbeat([]byte(document)); err == nil {
			t.Errorf("%.60s...: accepted, want an error", document)
		}
	}
}

func TestNestingInUnknownFieldsIsIgnored(t *testing.T) {
	brackets := strings.Repeat("[", 2*maxHeartbeatNesting)
	for _, unknown := range []string{
		strings.Repeat("[", maxHeartbeatNesting/2) + strings.Repeat("]", maxHeartbeatNesting/2),
		`"` + brackets + `"`,
		`"\\\"` + brackets + `"`,
		"[" + strings.Repeat("[],{},", 2*maxHeartbeatNesting) + "0]",
	} {
		if _, err := ParseHeartbeat([]byte(`{"perch":"host-1","watch":1,"x":` + unknown + "}")); err != nil {
			t.Errorf("%.60s...: %v, want no error", unknown, err)
		}
	}
}

func FuzzParseHeartbeat(f *testing.F) {
	for _, seed := range []string{
		`{"perch":"host-1","addr":"10.1.0.1:9","hull":"g8","watch":1,"tally":2,"baton":3,"warningS":null,"eggs":[{"egg":"wk-1/0","launch":1,"tide":"running"}]}`,
		`{"perch":"host-1","watch":18446744073709551615,"tally":-1}`, `{"perch":"\ud800","watch":1e0}`, `[]`, `{"Watch":1}`, `{"perch":1}`, "\x00", `{"perch":"a","watch":1}{}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := ParseHeartbeat(body)
		if err == nil && (heartbeat.Machine == "" || heartbeat.Incarnation == 0) {
			t.Error("accepted without a machine or an incarnation")
		}
		if err == nil && !json.Valid(body) {
			t.Error("accepted although it is not JSON")
		}
	})
}

func FuzzParseJob(f *testing.F) {
	for _, seed := range []string{exampleSubmission, `{}`, `null`, ` []`, `{"nameId":"wk-000412","NameId":"wk-2"}`, `{"eggs":1e400}`, `{"hulls":[null]}`, "\ufeff{}", `{"cpus":NaN}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := ParseJob(body)
		if err != nil {
			return
		}
		if !json.Valid(body) || !IsValidJobID(job.ID) || job.TaskCount < 1 {
			t.Errorf("accepted as %+v", job)
		}
		raw, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		var stored Job
		if err := Decode(raw, &stored); err != nil {
			t.Fatalf("the stored form can't be decoded: %v", err)
		}
		if d := cmp.Diff(*job, stored); d != "" {
			t.Errorf("the stored form differs (-accepted +stored):\n%s", d)
		}
	})
}
