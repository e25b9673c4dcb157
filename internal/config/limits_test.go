package config

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// For any limits, the runtime's memory limit and the memory that the runtime does not count
// must fit into the platform's memory limit. If there is no warning about memory, all
// connections and the records fit as well, with as much garbage as the GC percentage allows.
func TestMemoryBudgetFitsTheLimit(t *testing.T) {
	warnedCount, unwarnedCount := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		p := &PlatformSettings{}
		l := &p.Settings.Limits
		l.MemMB = rapid.Float64Range(1, 1000).Draw(t, "mem_mb")
		l.MaxSockets = rapid.IntRange(1, 5000).Draw(t, "max_sockets")
		l.CPUShare, p.Settings.ControllerCount = 1, 1
		m := p.MemoryBudget()
		totalBytes := int64(l.MemMB * (1 << 20))
		if m.GCPercent < minGCPercent || m.GCPercent > maxGCPercent || m.LimitBytes <= 0 {
			t.Fatalf("memory budget %+v is out of bounds", m)
		}
		if l.MemMB > 8 && m.LimitBytes+NonGoBytes > totalBytes {
			t.Fatalf("memory budget %+v exceeds the limit of %d bytes", m, totalBytes)
		}
		if strings.Contains(strings.Join(p.Warnings(), "\n"), "mem_mb") {
			warnedCount++
			l.MemMB = float64(1 + m.NeededBytes>>20)
			if strings.Contains(strings.Join(p.Warnings(), "\n"), "mem_mb") {
				t.Fatalf("the warning calls %v MB enough, but there is a warning about them too", l.MemMB)
			}
			return
		}
		unwarnedCount++
		sockets := int64(p.MaxConnections()+p.MaxDirectCommands()) * ConnectionBytes
		if used := sockets + LiveHeapBytes*int64(100+m.GCPercent)/100; used > m.LimitBytes+1 {
			t.Fatalf("%d sockets and the records use %d bytes, more than the limit of %d", l.MaxSockets, used, m.LimitBytes)
		}
	})
	if warnedCount == 0 || unwarnedCount == 0 {
		t.Errorf("%d cases with a memory warning and %d without, want some of both", warnedCount, unwarnedCount)
	}
}

func TestWarningsNameSmallLimits(t *testing.T) {
	for _, x := range []struct {
		share, mem float64
		sockets    int
		wantFields []string
	}{
		{0.1, 100, 600, nil},
		{0, 100, 600, []string{"cpu_share"}},
		{0.002, 12, 600, []string{"mem_mb", "cpu_share"}},
		{0.1, 100, 12, []string{"max_sockets"}},
	} {
		p := &PlatformSettings{}
		p.Settings.ControllerCount = 3
		p.Settings.Limits.CPUShare, p.Settings.Limits.MemMB, p.Settings.Limits.MaxSockets = x.share, x.mem, x.sockets
		got := p.Warnings()
		if len(got) != len(x.wantFields) {
			t.Errorf("%+v: warnings %q, want one for each field", x, got)
			continue
		}
		for i, field := range x.wantFields {
			if !strings.Contains(got[i], field) {
				t.Errorf("%+v: warnings %q, want them to name the fields in this order", x, got)
			}
		}
	}
}
