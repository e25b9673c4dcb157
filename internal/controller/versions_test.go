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

// These types declare the stored values as the version in production reads them. Its decoder
// ignores unknown fields, and drops them when it writes the record again, so a field that is
// missing here must not be required by this version.
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
			Task        int32  `json:"i"`
			Attempt     uint64 `json:"a,omitempty"`
			Machine     string `json:"m,omitempty"`
			Incarnation uint64 `json:"s,omitempty"`
			Addr        string `json:"h,omitempty"`
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

// earlierVersions are the versions that operators may upgrade from: the one in production,
// which does not support the protocol's gangs, and the first one that does. Their fixtures were
// written by their own code.
var earlierVersions = []string{"production", "0da4f63"}

// readFixture returns a record or frame that an earlier version wrote.
func readFixture(t *testing.T, version, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", version, name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// newStoredValue returns an empty value of the type that the fixture is decoded into, or nil if
// the fixture is not a record. The part of the name before the first "-" is the kind.
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

// Each record that an earlier version wrote can be decoded, and encodes to the same bytes
// again. The earlier version can therefore read what this one writes, and neither loses
// anything by rewriting a record.
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
				t.Errorf("%s of %s: decoded and encoded again it is\n%s, want\n%s", f.Name(), version, again, raw)
			}
		}
	}
}

// checkReadableByProduction returns an error if the version in production can't read a stored
// value completely, or would lose a part of it when writing it again.
func checkReadableByProduction(key string, raw []byte) error {
	var v any
	switch {
	case isRolloutKey(key) || strings.HasPrefix(key, "e/epoch/"):
		// Production decodes these as holders of leases that it does not use, and never writes
		// them.
		return wire.Decode(raw, &productionHolder{})
	case record.EncodingOf(raw) == record.Checksummed:
		if err := wire.Decode(raw, &productionGroup{}); err == nil {
			return fmt.Errorf("%s: the version in production decodes %s as a group", key, raw)
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
		return fmt.Errorf("%s: the version in production writes %s after reading %s", key, again, raw)
	}
	return nil
}

// checkStoredRecords checks that the version in production can read every value that was ever
// stored, and that tasks of a gang that are bound in one record have the same attempt.
func (c *cluster) checkStoredRecords() {
	c.t.Helper()
	gangs := map[string]bool{}
	history := levelHistoryChecker{cluster: c, state: rollout.InitialState, checksummedGroups: map[string]bool{}}
	for _, e := range c.env.Store.History() {
		history.checkEvent(e)
		if e.Put == "" {
			continue
		}
		if err := checkReadableByProduction(e.Put, e.Value); err != nil && !c.keysWrittenByTest[e.Put] {
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

// checkSameAttempt checks that all bound tasks in a gang's record have the same attempt.
func checkSameAttempt(v *record.TaskGroup) error {
	attempt := uint64(0)
	for _, task := range v.Tasks {
		if task.Machine == "" {
			continue
		}
		if attempt != 0 && task.Attempt != attempt {
			return fmt.Errorf("bound tasks have different attempts: %d and %d", attempt, task.Attempt)
		}
		attempt = task.Attempt
	}
	return nil
}

// The version in production has a field for everything that this version writes. docs/design.md
// describes how it interprets a gang's attempts, the loans of the gang reserve and the pieces
// of a split record.
func TestProductionReadsOurRecords(t *testing.T) {
	c := newTestController(t)
	c.cfg.Settings.Store.ValueKB = 0.5
	m := c.getOrAddMachine("host-000231")
	m.addr = "10.1.0.232:9000"
	spec := &wire.Job{ID: "wk-2", Team: "t", Gang: true, TaskCount: 3, CPUs: 2, CheckpointIntervalS: 4, MachineTypes: []string{"small"}}
	group := &taskGroup{partition: 1, zone: "a", guaranteed: true, throttle: 3}
	entries := []binding{{task: 0, attempt: 2, machine: m, incarnation: 2}, {task: 1, attempt: 2}, {task: 2, attempt: 2, machine: m, incarnation: 2}}
	checkReadable := func(key string, raw []byte) {
		t.Helper()
		if err := checkReadableByProduction(key, raw); err != nil {
			t.Error(err)
		}
	}
	checkReadable(jobKey("wk-2"), record.JSON(record.Job{AcceptedAtMS: 5, Spec: spec}))
	checkReadable(jobKey("wk-2"), record.EncodeCancelledJob(spec, c.now, c.maxValueBytes()))
	for _, piece := range c.splitToFit(group, 2, append(entries, make([]binding, 60)...)) {
		checkReadable(groupKey("wk-2", 0), piece.ValueForKey(groupKey("wk-2", 0)))
	}
	checkReadable(loanPrefix+"host-1", record.JSON(record.MachineLoan{Job: gangReserveJobID, Acknowledged: true}))
}

// Frames between controllers are identical to those of the earlier versions, byte for byte.
func TestFramesOfEarlierVersions(t *testing.T) {
	for _, version := range earlierVersions {
		checkFrameFixture(t, version)
	}
}

// checkFrameFixture checks that the status frame of an earlier version decodes to the expected
// status and encodes to the same bytes again.
func checkFrameFixture(t *testing.T, version string) {
	t.Helper()
	raw := readFixture(t, version, "status.bin")
	s, err := peer.ReadStatus(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	want := &peer.Status{Node: "perch-0", ProcessID: "00ff00ff00ff00ff", ReplicaIsFresh: true, CanTakePartitions: true, Partitions: []uint64{0, 3},
		Machines: []peer.Machine{{Name: "host-000231", Addr: "10.1.0.232:9000", Type: "small", Zone: "a", Incarnation: 2, Flags: peer.FlagReachable | peer.FlagSpot}}, DrainingMachines: []string{"host-000232"}}
	if d := cmp.Diff(want, s); d != "" {
		t.Error(d)
	}
	if again := peer.AppendStatus(nil, s, peer.PlainFrame); !bytes.Equal(again, raw) {
		t.Errorf("the frame differs after decoding and encoding: % x", again)
	}
}
