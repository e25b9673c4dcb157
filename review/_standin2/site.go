package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Team is a team of the settings.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
}

// Site is a small deployment, with the settings of one of the site files.
type Site struct {
	Name, FirstZone         string
	Zones                   []string // of the controllers
	AllZones                []string
	Teams                   []Team
	Types                   []MachineType
	ReportS, LeaseS         float64
	CancelS                 float64
	GangWaitS, GangPeerS    float64
	StateRPS, StateWriteRPS float64
	StateValueKB            float64
	StateTxnOps             int
	CloudRPS, CloudListLagS float64
	CPUShare, MemMB         float64
	MaxSockets              int
	SkewMs                  float64
	Objectives              string
	FirstMachine            int
}

// trinacria returns the settings of the site trinacria-archive.
func trinacria() *Site {
	return &Site{Name: "trinacria-archive", Zones: []string{"catania", "palermo", "catania"}, AllZones: []string{"catania", "palermo"},
		Teams: []Team{{"archivio", 0, 0}},
		Types: []MachineType{
			{"carretto", 16, 0, 128, 70, 0.8, 0.9, 0.25, 35, []string{"palermo"}},
			{"ciurma", 32, 0, 64, 30, 0.2, 1.38, 0.37, 50, []string{"catania", "palermo"}},
		},
		ReportS: 1, LeaseS: 10, CancelS: 35, GangWaitS: 40, GangPeerS: 6, StateRPS: 250, StateWriteRPS: 40, StateValueKB: 8, StateTxnOps: 32,
		CloudRPS: 6, CloudListLagS: 3, CPUShare: 0.18, MemMB: 98, MaxSockets: 600, SkewMs: 100,
		Objectives: "\n[[settings.objectives]]\nkind = \"wait\"\nclass = \"ascolto\"\nwithin_s = 25.0\nshare = 0.92\n" +
			"\n[[settings.objectives]]\nkind = \"deadline\"\nclass = \"trascrizione\"\nshare = 0.96\ntimes = 1.0\n"}
}

// sengupta returns the settings of the site sengupta-buoynet.
func sengupta() *Site {
	return &Site{Name: "sengupta-buoynet", Zones: []string{"sundarban", "sundarban", "sundarban"}, AllZones: []string{"sundarban"},
		Teams: []Team{{"mooring", 24, 56}, {"telemetry", 48, 112}, {"forecast", 40, 144}, {"archive", 16, 40}, {"calibration", 40, 112}, {"portdesk", 48, 96}},
		Types: []MachineType{
			{"dinghy", 4, 0, 32, 25, 0.25, 0.32, 0.09, 50, []string{"sundarban"}},
			{"trawler", 16, 0, 32, 60, 0.8, 0.91, 0.28, 25, []string{"sundarban"}},
		},
		ReportS: 3, LeaseS: 24, CancelS: 54, GangWaitS: 35, GangPeerS: 8, StateRPS: 150, StateWriteRPS: 60, StateValueKB: 8, StateTxnOps: 32,
		CloudRPS: 1.5, CloudListLagS: 12, CPUShare: 0.24, MemMB: 125, MaxSockets: 1500, SkewMs: 1000,
		Objectives: "\n[[settings.objectives]]\nkind = \"wait\"\nclass = \"tidewatch\"\nwithin_s = 8.0\nshare = 0.85\n" +
			"\n[[settings.objectives]]\nkind = \"deadline\"\nclass = \"swellsweep\"\nshare = 0.93\ntimes = 1.0\n" +
			"\n[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = 10.0\nshare = 0.85\n"}
}

// settings returns the settings file of controller i.
func (s *Site) settings(i int, names, api, mesh []string, peers []string, cloud, state string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nlocation = %q\napi_addr = %q\nmesh_addr = %q\n", names[i], s.Zones[i], api[i], mesh[i])
	for k := range names {
		if k != i {
			fmt.Fprintf(&b, "\n[[siblings]]\nnode_name = %q\nlocation = %q\npeer_addr = %q\n", names[k], s.Zones[k], peers[k])
		}
	}
	fmt.Fprintf(&b, "\n[external]\ncloud = %q\nstate = %q\n\n[settings]\ncount = %d\nzones = [%s]\nskew_ms = %.1f\n", cloud, state, len(names), quoted(s.AllZones), s.SkewMs)
	for _, t := range s.Teams {
		fmt.Fprintf(&b, "\n[[settings.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.Name, t.CPUs, t.CPUsMax)
	}
	b.WriteString(s.Objectives)
	fmt.Fprintf(&b, "\n[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n", s.ReportS, s.LeaseS, s.GangWaitS, s.GangPeerS, s.CancelS)
	fmt.Fprintf(&b, "\n[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.StateRPS, s.StateWriteRPS, s.StateValueKB, s.StateTxnOps)
	fmt.Fprintf(&b, "\n[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n[settings.limits]\ncpu_share = %.2f\nmem_mb = %.1f\nmax_sockets = %d\n", s.CloudRPS, s.CloudListLagS, s.CPUShare, s.MemMB, s.MaxSockets)
	return b.String()
}

func quoted(names []string) string {
	var out []string
	for _, n := range names {
		out = append(out, fmt.Sprintf("%q", n))
	}
	return strings.Join(out, ", ")
}

// Log writes the record of a run.
type Log struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newLog(path string) *Log {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		fail(err)
	}
	file, err := os.Create(path)
	if err != nil {
		fail(err)
	}
	return &Log{file: file, start: time.Now()}
}

func (l *Log) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%8.3f "+format+"\n", append([]any{time.Since(l.start).Seconds()}, args...)...)
}

// fail ends a run that couldn't be made.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "could not run:", err)
	os.Exit(couldNotRun)
}

// Exit statuses of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)
