package controller

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"eiderhitch/internal/mesh"
	"eiderhitch/internal/wire"

	"github.com/google/go-cmp/cmp"
)

// The stored forms as the version in production declares them: what it reads of ours.
// Its decoder ignores fields that it does not know and drops them when it writes, so a
// field that is not here must not matter to us.
type (
	oldJob struct {
		Fate int       `json:"f"`
		At   int64     `json:"at,omitempty"`
		Job  *wire.Job `json:"j,omitempty"`
	}
	oldGroup struct {
		Part  int    `json:"p"`
		Zone  string `json:"z,omitempty"`
		Own   bool   `json:"o,omitempty"`
		Done  int    `json:"d,omitempty"`
		Cap   int    `json:"c,omitempty"`
		Tasks []struct {
			Num     int32  `json:"i"`
			Attempt uint64 `json:"a,omitempty"`
			Machine string `json:"m,omitempty"`
			Session uint64 `json:"s,omitempty"`
			Addr    string `json:"h,omitempty"`
		} `json:"t"`
	}
	oldLend struct {
		Job   string `json:"j"`
		Level int    `json:"l"`
		Own   bool   `json:"o,omitempty"`
		Team  string `json:"t"`
		Ack   bool   `json:"a,omitempty"`
	}
)

// production is a record or frame as the version in production wrote it.
func production(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "production", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Each record that the version in production wrote is read, and written again to the
// byte: so that version reads what this one writes, and rewriting by either loses nothing.
func TestRecordsOfTheVersionInProduction(t *testing.T) {
	for name, v := range map[string]any{
		"job-live.json": &jobValue{}, "job-gang.json": &jobValue{}, "job-cancelled.json": &jobValue{}, "job-done.json": &jobValue{},
		"group.json": &groupValue{}, "holder.json": &holder{}, "gone.json": &[]string{}, "lend.json": &lendValue{}, "types.json": &[]wire.MachineType{},
	} {
		raw := production(t, name)
		if err := wire.Decode(raw, v); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if again := mustJSON(v); !bytes.Equal(again, raw) {
			t.Errorf("%s: read and written again it is\n%s, not\n%s", name, again, raw)
		}
	}
}

// And the other way: whatever this version writes, the one in production has a field for
// all of it. That it takes a gang's attempts, a pool's lending and pieces of a record for
// what it knows is in docs/design.md.
func TestProductionReadsOurRecords(t *testing.T) {
	b := lone(t)
	b.cfg.Settings.State.ValueKB = 0.5
	m := b.machine("host-000231")
	m.addr = "10.1.0.232:9000"
	spec := &wire.Job{ID: "wk-2", Team: "t", Gang: true, Tasks: 3, CPUs: 2, CheckS: 4, Types: []string{"small"}}
	r := &rec{part: 1, zone: "a", own: true, cap: 3}
	entries := []entry{{num: 0, attempt: 2, m: m, session: 2}, {num: 1, attempt: 2}, {num: 2, attempt: 2, m: m, session: 2}}
	strict := func(raw []byte, v any) {
		t.Helper()
		d := json.NewDecoder(bytes.NewReader(raw))
		d.DisallowUnknownFields()
		if err := d.Decode(v); err != nil {
			t.Errorf("%s: %v", raw, err)
		}
		again, _ := json.Marshal(v)
		if !bytes.Equal(again, raw) {
			t.Errorf("the version in production makes %s of %s", again, raw)
		}
	}
	strict(mustJSON(jobValue{At: 5, Job: spec}), &oldJob{})
	strict(b.cancelledValue(&job{spec: spec, at: b.now}), &oldJob{})
	for _, piece := range b.fit(r, 2, append(entries, make([]entry, 60)...)) {
		strict(piece, &oldGroup{})
	}
	strict(mustJSON(lendValue{Job: poolJob, Ack: true}), &oldLend{})
}

// Frames between controllers are the same in both versions, to the byte.
func TestFramesOfTheVersionInProduction(t *testing.T) {
	raw := production(t, "status.bin")
	s, err := mesh.ReadStatus(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	want := &mesh.Status{Node: "perch-0", Boot: "00ff00ff00ff00ff", Fresh: true, Able: true, Parts: []uint64{0, 3},
		Machines: []mesh.Machine{{Name: "host-000231", Addr: "10.1.0.232:9000", Type: "small", Zone: "a", Session: 2, Flags: mesh.Up | mesh.Spot}}, Closing: []string{"host-000232"}}
	if d := cmp.Diff(want, s); d != "" {
		t.Error(d)
	}
	if again := mesh.AppendStatus(nil, s); !bytes.Equal(again, raw) {
		t.Errorf("written again: % x", again)
	}
}
