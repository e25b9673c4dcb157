package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"eiderhitch/internal/peer"
	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/wire"

	"github.com/google/go-cmp/cmp"
)

// The stored forms as the version in production declares them: what it reads of ours.
// Its decoder ignores fields that it does not know and drops them when it writes, so a
// field that is not here must not matter to us.
type (
	productionJob struct {
		FinalState   int       `json:"f"`
		AcceptedAtMS int64     `json:"at,omitempty"`
		Spec         *wire.Job `json:"j,omitempty"`
	}
	productionGroup struct {
		Partition  int    `json:"p"`
		Zone       string `json:"z,omitempty"`
		Guaranteed bool   `json:"o,omitempty"`
		Done       int    `json:"d,omitempty"`
		Throttle   int    `json:"c,omitempty"`
		Tasks      []struct {
			Num     int32  `json:"i"`
			Attempt uint64 `json:"a,omitempty"`
			Machine string `json:"m,omitempty"`
			Session uint64 `json:"s,omitempty"`
			Addr    string `json:"h,omitempty"`
		} `json:"t"`
	}
	productionHolder struct {
		Node      string `json:"n"`
		ProcessID string `json:"b"`
	}
	productionLoan struct {
		Job          string `json:"j"`
		Priority     int    `json:"l"`
		Guaranteed   bool   `json:"o,omitempty"`
		Team         string `json:"t"`
		Acknowledged bool   `json:"a,omitempty"`
	}
)

// earlier are the versions that operators may upgrade from: the one in production, which
// has no gangs of the protocol's kind, and the first that has. Their records and frames
// were written by their own code.
var earlierVersions = []string{"production", "0da4f63"}

// fixture is a record or frame as an earlier version wrote it.
func readFixture(t *testing.T, version, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", version, name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// newStoredValue is what a fixture of a record is read into; nil: it is none.
func newStoredValue(name string) any {
	switch kind, _, _ := strings.Cut(strings.TrimSuffix(name, ".json"), "-"); kind {
	case "job":
		return &record.Job{}
	case "group":
		return &record.TaskGroup{}
	case "lend":
		return &record.MachineLoan{}
	case "holder":
		return &record.LeaseHolder{}
	case "gone":
		return &[]string{}
	case "types":
		return &[]wire.MachineType{}
	}
	return nil
}

// Each record that an earlier version wrote is read, and written again to the byte: so that
// version reads what this one writes, and rewriting by either loses nothing.
func TestRecordsOfEarlierVersions(t *testing.T) {
	for _, version := range earlierVersions {
		files, err := os.ReadDir(filepath.Join("testdata", version))
		if err != nil || len(files) < 10 {
			t.Fatalf("%d fixtures of %s: %v", len(files), version, err)
		}
		for _, f := range files {
			v := newStoredValue(f.Name())
			if v == nil {
				continue
			}
			raw := readFixture(t, version, f.Name())
			if err := wire.Decode(raw, v); err != nil {
				t.Errorf("%s of %s: %v", f.Name(), version, err)
			}
			if again := record.JSON(v); !bytes.Equal(again, raw) {
				t.Errorf("%s of %s: read and written again it is\n%s, not\n%s", f.Name(), version, again, raw)
			}
		}
	}
}

// checkReadableByProduction tells what the version in production can't read of a stored value, or
// would lose when it writes it again; and whether what it takes for a gang is one.
func checkReadableByProduction(key string, raw []byte) error {
	var v any
	switch {
	case isRolloutKey(key) || strings.HasPrefix(key, "e/epoch/"):
		// It takes these for holders of rights that it has no use for, and never writes them.
		return wire.Decode(raw, &productionHolder{})
	case record.EncodingOf(raw) == record.Checksummed:
		if err := wire.Decode(raw, &productionGroup{}); err == nil {
			return fmt.Errorf("%s: the version in production takes %s for a group", key, raw)
		}
		return nil
	case strings.HasPrefix(key, groupPrefix):
		v = &productionGroup{}
	case strings.HasPrefix(key, jobPrefix):
		v = &productionJob{}
	case strings.HasPrefix(key, loanPrefix):
		v = &productionLoan{}
	case strings.HasPrefix(key, tombstonePrefix):
		v = &[]string{}
	case key == machineTypesKey:
		v = &[]wire.MachineType{}
	default:
		v = &productionHolder{}
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%s: %s: %w", key, raw, err)
	}
	again, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if !bytes.Equal(again, raw) {
		return fmt.Errorf("%s: the version in production makes %s of %s", key, again, raw)
	}
	return nil
}

// checkStoredRecords checks that the version in production can read all that was ever written, and
// that tasks of a gang that are bound in one record have one attempt.
func (c *cluster) checkStoredRecords() {
	c.t.Helper()
	gangs := map[string]bool{}
	history := levelHistoryChecker{cluster: c, state: rollout.Initial, checksummedGroups: map[string]bool{}}
	for _, e := range c.env.Store.History() {
		history.checkEvent(e)
		if e.Put == "" {
			continue
		}
		if err := checkReadableByProduction(e.Put, e.Value); err != nil && !c.writtenByTest[e.Put] {
			c.t.Error(err)
			return
		}
		if id, ok := strings.CutPrefix(e.Put, jobPrefix); ok {
			var v productionJob
			_ = json.Unmarshal(e.Value, &v)
			gangs[id] = gangs[id] || v.Spec != nil && v.Spec.Gang
		}
		id, _, ok := parseGroupKey(e.Put)
		if !ok || !strings.HasPrefix(e.Put, groupPrefix) || !gangs[id] {
			continue
		}
		if v, _, err := record.DecodeTaskGroup(e.Put, e.Value); err == nil {
			if err := checkSameAttempt(v); err != nil {
				c.t.Errorf("%s: %v", e.Put, err)
			}
		}
	}
}

// checkSameAttempt checks that bound tasks of a gang's record have one attempt.
func checkSameAttempt(v *record.TaskGroup) error {
	attempt := uint64(0)
	for _, task := range v.Tasks {
		if task.Machine == "" {
			continue
		}
		if attempt != 0 && task.Attempt != attempt {
			return fmt.Errorf("attempts %d and %d are bound together", attempt, task.Attempt)
		}
		attempt = task.Attempt
	}
	return nil
}

// And the other way: whatever this version writes, the one in production has a field for
// all of it. That it takes a gang's attempts, a pool's lending and pieces of a record for
// what it knows is in docs/design.md.
func TestProductionReadsOurRecords(t *testing.T) {
	c := newTestController(t)
	c.cfg.Settings.Store.ValueKB = 0.5
	m := c.getOrAddMachine("host-000231")
	m.addr = "10.1.0.232:9000"
	spec := &wire.Job{ID: "wk-2", Team: "t", Gang: true, Tasks: 3, CPUs: 2, CheckpointS: 4, MachineTypes: []string{"small"}}
	group := &taskGroup{partition: 1, zone: "a", guaranteed: true, throttle: 3}
	entries := []binding{{task: 0, attempt: 2, machine: m, incarnation: 2}, {task: 1, attempt: 2}, {task: 2, attempt: 2, machine: m, incarnation: 2}}
	strict := func(key string, raw []byte) {
		t.Helper()
		if err := checkReadableByProduction(key, raw); err != nil {
			t.Error(err)
		}
	}
	strict(jobKey("wk-2"), record.JSON(record.Job{AcceptedAtMS: 5, Spec: spec}))
	strict(jobKey("wk-2"), record.CancelledJob(spec, c.now, c.maxValueBytes()))
	for _, piece := range c.splitToFit(group, 2, append(entries, make([]binding, 60)...)) {
		strict(groupKey("wk-2", 0), piece.At(groupKey("wk-2", 0)))
	}
	strict(loanPrefix+"host-1", record.JSON(record.MachineLoan{Job: gangReserveJobID, Acknowledged: true}))
}

// Frames between controllers are the same in both versions, to the byte.
func TestFramesOfEarlierVersions(t *testing.T) {
	for _, version := range earlierVersions {
		checkFrameFixture(t, version)
	}
}

func checkFrameFixture(t *testing.T, version string) {
	t.Helper()
	raw := readFixture(t, version, "status.bin")
	s, err := peer.ReadStatus(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	want := &peer.Status{Node: "perch-0", ProcessID: "00ff00ff00ff00ff", Fresh: true, Eligible: true, Partitions: []uint64{0, 3},
		Machines: []peer.Machine{{Name: "host-000231", Addr: "10.1.0.232:9000", Type: "small", Zone: "a", Incarnation: 2, Flags: peer.Reachable | peer.Spot}}, Draining: []string{"host-000232"}}
	if d := cmp.Diff(want, s); d != "" {
		t.Error(d)
	}
	if again := peer.AppendStatus(nil, s, peer.PlainFrame); !bytes.Equal(again, raw) {
		t.Errorf("written again: % x", again)
	}
}
