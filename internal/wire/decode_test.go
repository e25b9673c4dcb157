package wire

import (
	"encoding/json"
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
