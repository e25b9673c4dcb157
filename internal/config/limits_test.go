package config

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Whatever the limits are, what the runtime may hold and what it does not count are
// within the memory, and without a warning all connections and the records fit, with
// as much garbage as is let stand.
func TestMemoryFits(t *testing.T) {
	warned, silent := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		p := &PlatformSettings{}
		l := &p.Settings.Limits
		l.MemMB = rapid.Float64Range(1, 1000).Draw(t, "mem_mb")
		l.MaxSockets = rapid.IntRange(1, 5000).Draw(t, "max_sockets")
		l.CPUShare, p.Settings.ControllerCount = 1, 1
		m := p.MemoryBudget()
		all := int64(l.MemMB * (1 << 20))
		if m.GCPercent < minGCPercent || m.GCPercent > maxGCPercent || m.LimitBytes <= 0 {
			t.Fatalf("%+v", m)
		}
		if l.MemMB > 8 && m.LimitBytes+NonGoBytes > all {
			t.Fatalf("%+v is more than %d", m, all)
		}
		if strings.Contains(strings.Join(p.Warnings(), "\n"), "mem_mb") {
			warned++
			l.MemMB = float64(1 + m.NeededBytes>>20)
			if strings.Contains(strings.Join(p.Warnings(), "\n"), "mem_mb") {
				t.Fatalf("%v MB are said to do and don't", l.MemMB)
			}
			return
		}
		silent++
		sockets := int64(p.MaxConnections()+p.MaxDirectCommands()) * ConnectionBytes
		if held := sockets + LiveHeapBytes*int64(100+m.GCPercent)/100; held > m.LimitBytes+1 {
			t.Fatalf("%d sockets and the records hold %d of %d bytes", l.MaxSockets, held, m.LimitBytes)
		}
	})
	if warned == 0 || silent == 0 {
		t.Errorf("%d limits warned of, %d not", warned, silent)
	}
}

func TestLimitsThatAreSmallAreSaid(t *testing.T) {
	for _, x := range []struct {
		share, mem float64
		sockets    int
		said       []string
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
		if len(got) != len(x.said) {
			t.Errorf("%+v: %q", x, got)
			continue
		}
		for i, field := range x.said {
			if !strings.Contains(got[i], field) {
				t.Errorf("%+v: %q", x, got)
			}
		}
	}
}
