package wire

import (
	"encoding/json"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// drawSubmission draws the fields of a valid submission and an unknown field. The optional fields may
// be set, null or missing.
func drawSubmission(t *rapid.T) map[string]any {
	amount := rapid.Float64Range(0, 1000)
	b := map[string]any{
		"nameId": rapid.StringMatching(`wk-[0-9]{1,12}`).Draw(t, "id"), "flock": "c", "crew": "t",
		"shape": rapid.SampledFrom([]string{KindArray, KindService, KindGang}).Draw(t, "shape"),
		"rank":  rapid.SampledFrom([]string{"low", "normal", "urgent", "production"}).Draw(t, "rank"),
		"eggs":  rapid.IntRange(1, MaxTasks).Draw(t, "eggs"), "plumage": "i",
		"samePlace": rapid.Bool().Draw(t, "same"), "spread": rapid.Bool().Draw(t, "spread"), "driftwood": rapid.Bool().Draw(t, "spot"),
		"unheardOf": map[string]any{"x": 1},
	}
	for _, f := range []string{"cpus", "cards", "ramGb", "imageGb", "reckonS", "moultS", "stowS"} {
		b[f] = amount.Draw(t, f)
	}
	if rapid.Bool().Draw(t, "optional") {
		b["hulls"], b["shore"], b["dueS"] = []string{"g8"}, "a", 90.5
	} else if rapid.Bool().Draw(t, "null") {
		b["hulls"], b["shore"], b["dueS"] = nil, nil, nil
	}
	return b
}

// A valid submission must be accepted and keep its values, also when the job is stored and read
// again.
func TestValidSubmissionsAreParsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawSubmission(t)
		raw, _ := json.Marshal(b)
		j, err := ParseJob(raw)
		if err != nil {
			t.Fatalf("%s was rejected: %v", raw, err)
		}
		if j.ID != b["nameId"] || j.TaskCount != b["eggs"] || j.CPUs != b["cpus"] || j.AllowsSpot != b["driftwood"] || j.NoDeadline != (b["dueS"] == nil) {
			t.Fatalf("%s was parsed as %+v", raw, j)
		}
		// The stored form must be decoded as the same job.
		var decoded Job
		stored, _ := json.Marshal(j)
		if err := json.Unmarshal(stored, &decoded); err != nil || decoded.ID != j.ID || decoded.Gang != j.Gang || decoded.EstimateS != j.EstimateS {
			t.Fatalf("job is stored as %s and decoded as %+v", stored, decoded)
		}
	})
}

// A submission without a required field, or with an invalid value, must be rejected.
func TestInvalidSubmissionsAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawSubmission(t)
		required := []string{"nameId", "flock", "crew", "shape", "rank", "eggs", "cpus", "cards", "ramGb", "plumage", "imageGb",
			"samePlace", "spread", "driftwood", "reckonS", "moultS", "stowS"}
		field := rapid.SampledFrom(required).Draw(t, "field")
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			delete(b, field)
		case 1:
			b[field] = nil
		case 2:
			b[field] = []int{1}
		}
		raw, _ := json.Marshal(b)
		if _, err := ParseJob(raw); err == nil {
			t.Fatalf("%s was accepted", raw)
		}
	})
	good := map[string]any{"nameId": "wk-1", "flock": "c", "crew": "t", "shape": KindArray, "rank": "low", "eggs": 1, "cpus": 1, "cards": 0,
		"ramGb": 1, "plumage": "i", "imageGb": 1, "samePlace": false, "spread": false, "driftwood": false, "reckonS": 1, "moultS": 0, "stowS": 0}
	for field, values := range map[string][]any{
		"nameId": {"wk-", "wk-1x", "job-1", ""}, "eggs": {0, -1, 1.5, MaxTasks + 1}, "cpus": {-1, 1e300}, "rank": {"high"}, "shape": {"x"},
		"hulls": {[]string{}, []string{""}}, "shore": {""}, "dueS": {-1},
	} {
		for _, v := range values {
			b := maps.Clone(good)
			b[field] = v
			raw, _ := json.Marshal(b)
			if _, err := ParseJob(raw); err == nil {
				t.Errorf("%s: %v was accepted", field, v)
			}
		}
	}
	for _, raw := range []string{"", "[]", "null", "7", "{", `"x"`, "{} {}"} {
		if _, err := ParseJob([]byte(raw)); err == nil {
			t.Errorf("%q was accepted", raw)
		}
	}
}

// ParseHeartbeat must return either a heartbeat or an error for any body.
func TestParseHeartbeatNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := ParseHeartbeat([]byte(rapid.String().Draw(t, "body")))
		if (r == nil) == (err == nil) {
			t.Fatalf("heartbeat %v and error %v, want exactly one of them", r, err)
		}
	})
}
