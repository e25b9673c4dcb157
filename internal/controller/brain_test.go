package controller

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/core"
	"eiderhitch/internal/wire"
)

// lone is a brain that owns its only part, without any world around it.
func lone(t *testing.T) *brain {
	cfg := &config.Platform{Name: "n0"}
	cfg.Settings.Count = 1
	cfg.Settings.Workers.ReportS, cfg.Settings.Workers.LeaseS, cfg.Settings.Workers.CancelS = 1, 10, 35
	cfg.Settings.State.RPS, cfg.Settings.State.WriteRPS, cfg.Settings.State.ValueKB, cfg.Settings.State.TxnOps = 100, 40, 8, 32
	cfg.Settings.Cloud.RPS = 1
	b := newBrain(t.Context(), cfg, config.DefaultOperator(), slog.New(slog.NewTextHandler(io.Discard, nil)), outside{})
	b.loaded, b.freshAt = true, b.now
	b.types = map[string]*wire.MachineType{"small": {Name: "small", CPUs: 4, RAM: 8}}
	p := b.parts[0]
	p.term, p.active, p.since = 1, true, b.now.Add(-time.Minute)
	p.cells, p.alloc = core.NewPart(), map[core.Task]alloc{}
	return b
}

func raw(t *testing.T, v any) json.RawMessage {
	out, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// A record may be deleted, or lose tasks to another one, while tasks of it have
// claimed cells that are not stored yet. What they claimed is given up; a machine
// that is lost afterwards must not look for their record (which ended a
// controller), and no cell stays taken.
func TestClaimsEndWithTheirRecord(t *testing.T) {
	for _, how := range []string{"deleted", "moved"} {
		b := lone(t)
		p := b.parts[0]
		b.takeReport(b.machine("host-1"), &wire.Report{Machine: "host-1", Type: "small", Zone: "a", Session: 1, Seq: 1}, p, true)
		spec := &wire.Job{ID: "wk-1", Tasks: 2, CPUs: 2, RAM: 1, Team: "t", NoDeadline: true}
		b.put(jobKey("wk-1"), raw(t, jobValue{Job: spec}), 2)
		key := groupKey("wk-1", 0)
		b.put(key, raw(t, groupValue{Tasks: []entryValue{{Num: 0}, {Num: 1}}}), 3)
		b.place(p, b.recByKey[key])
		if len(p.alloc) != 2 {
			t.Fatalf("%d tasks have claimed cells", len(p.alloc))
		}
		left := 0
		if how == "deleted" {
			b.drop(key, 4)
		} else {
			b.put(key, raw(t, groupValue{Tasks: []entryValue{{Num: 1}}}), 4)
			left = 1
		}
		if len(p.alloc) != left || len(p.cells.Tasks()) != left {
			t.Errorf("%s: %d claims and %d cells are left", how, len(p.alloc), len(p.cells.Tasks()))
		}
		if err := p.cells.Check(); err != nil {
			t.Error(err)
		}
		b.putGone("host-1")
		if len(p.alloc) != 0 || len(p.cells.Tasks()) != 0 {
			t.Errorf("%s: %d claims and %d cells on a lost machine", how, len(p.alloc), len(p.cells.Tasks()))
		}
	}
}
