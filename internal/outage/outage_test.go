package outage_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/outage"
)

// observation is a success or failure that is reported to a monitor.
type observation struct {
	atS       float64 // seconds after the start of the test
	succeeded bool
}

// An outage is logged once it exceeds the grace period, and with its duration when it ends.
func TestOutageLogLines(t *testing.T) {
	for _, test := range []struct {
		name         string
		observations []observation
		wantLines    []string
	}{
		{"no failures", []observation{{0, true}, {60, true}}, nil},
		{"single failures", []observation{{0, false}, {1, true}, {9, false}, {10, true}}, nil},
		{"failures without a success between them", []observation{{0, false}, {4, false}, {5, false}, {60, false}}, []string{"outage began"}},
		{"outage that ends", []observation{{0, true}, {2, false}, {8, false}, {40.5, true}, {41, true}}, []string{"outage began", "lasted=38.5s"}},
		{"two outages", []observation{{0, false}, {6, false}, {7, true}, {8, false}, {20, false}, {30, true}},
			[]string{"outage began", "lasted=7s", "outage began", "lasted=22s"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			out := logOutput(test.observations)
			lines := strings.Split(strings.TrimSpace(out), "\n")
			if out == "" {
				lines = nil
			}
			if len(lines) != len(test.wantLines) {
				t.Fatalf("got %d log lines, want %d:\n%s", len(lines), len(test.wantLines), out)
			}
			for i, wantText := range test.wantLines {
				if !strings.Contains(lines[i], wantText) || !strings.Contains(lines[i], "of=store") {
					t.Errorf("log line %d is %q, want it to contain %q and of=store", i, lines[i], wantText)
				}
			}
		})
	}
}

// logOutput returns what a monitor logs for the observations.
func logOutput(observations []observation) string {
	var out bytes.Buffer
	monitor := outage.NewMonitor(slog.New(slog.NewTextHandler(&out, nil)), "store", 5*time.Second)
	start := time.Unix(1e9, 0)
	for _, o := range observations {
		now := start.Add(time.Duration(o.atS * float64(time.Second)))
		if o.succeeded {
			monitor.ReportSuccess(now)
		} else {
			monitor.ReportFailure(now)
		}
	}
	return out.String()
}

// A monitor that was reset during an outage does not log the end of that outage.
func TestResetSuppressesOutageEnd(t *testing.T) {
	var out bytes.Buffer
	monitor := outage.NewMonitor(slog.New(slog.NewTextHandler(&out, nil)), "cloud", time.Second)
	now := time.Unix(1e9, 0)
	monitor.ReportFailure(now)
	monitor.ReportFailure(now.Add(time.Minute))
	monitor.Reset()
	monitor.ReportSuccess(now.Add(time.Hour))
	if got := strings.Count(out.String(), "\n"); got != 1 {
		t.Errorf("got %d log lines, want only the one of the beginning:\n%s", got, out.String())
	}
}
