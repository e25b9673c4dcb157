package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const validSettings = `
node_name = "n0"
location = "a"
api_addr = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
some_new_field = 7
[[siblings]]
node_name = "n1"
location = "a"
peer_addr = "127.0.0.1:3"
[external]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[settings]
count = 2
zones = ["a"]
[[settings.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[settings.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 35.0
[settings.state]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 32
[settings.cloud]
rps = 1.0
[settings.limits]
mem_mb = 100.0
max_sockets = 100
`

func TestSettingErrorsNameTheInvalidField(t *testing.T) {
	if _, err := ParsePlatformSettings([]byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ from, to, field string }{
		{`node_name = "n0"`, `node_name = ""`, "node_name"},
		{`api_addr = "127.0.0.1:1"`, `api_addr = "x"`, "api_addr"},
		{`node_name = "n1"`, `node_name = "n0"`, "siblings[0].node_name"},
		{`count = 2`, `count = 3`, "settings.count"},
		{`zones = ["a"]`, `zones = []`, "settings.zones"},
		{`lease_s = 10.0`, `lease_s = -1.0`, "settings.workers.lease_s"},
		{`cancel_s = 35.0`, `cancel_s = 9.0`, "settings.workers.cancel_s"},
		{`txn_ops = 32`, `txn_ops = 2`, "settings.state.txn_ops"},
		{`cpus = 4.0`, `cpus = 9.0`, "settings.teams[0]"},
		{`rps = 100.0`, `rps = "fast"`, "rps"},
		{`mem_mb = 100.0`, `mem_mb = nan`, "settings.limits.mem_mb"},
		{`mem_mb = 100.0`, `mem_mb = inf`, "settings.limits.mem_mb"},
		{`mem_mb = 100.0`, `mem_mb = 0`, "settings.limits.mem_mb"},
		{`mem_mb = 100.0`, `mem_mb = -65.0`, "settings.limits.mem_mb"},
		{`mem_mb = 100.0`, ``, "settings.limits.mem_mb"},
		{`mem_mb = 100.0`, `mem_mb = "much"`, "mem_mb"},
		{`mem_mb = 100.0`, "mem_mb = 100.0\ncpu_share = -0.1", "settings.limits.cpu_share"},
		{`mem_mb = 100.0`, "mem_mb = 100.0\ncpu_share = nan", "settings.limits.cpu_share"},
		{`mem_mb = 100.0`, "mem_mb = 100.0\ncpu_share = \"half\"", "cpu_share"},
	} {
		_, err := ParsePlatformSettings([]byte(strings.Replace(validSettings, x.from, x.to, 1)))
		if err == nil || !strings.Contains(err.Error(), x.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names the field", x.to, err)
		}
	}
}

// For any valid settings, a worker's full lease must end before the cancellation deadline
// when a partition owner answers heartbeats until MaxStaleness, even if the clocks of the
// owner and the worker drift.
func TestMaxStalenessAllowsForClockDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := rapid.Float64Range(1, 60).Draw(t, "lease")
		cancel := rapid.Float64Range(lease*1.1, lease+200).Draw(t, "cancel")
		staleness := MaxStaleness(cancel, lease)
		if staleness <= 0 {
			t.Skip("validation rejects these settings")
		}
		fast, slow := 1+clockDrift, 1-clockDrift
		// Both the owner's and the worker's clock may run slow.
		tasksEndAfterS := staleness.Seconds()/slow*fast + lease/slow
		if tasksEndAfterS >= cancel {
			t.Fatalf("maximum staleness %v: tasks end after %v s, want less than %v s", staleness, tasksEndAfterS, cancel)
		}
		if LeaseExpiry(cancel, lease) <= time.Duration(lease*fast*float64(time.Second)) {
			t.Fatal("a lease is considered expired while the worker may still hold it")
		}
	})
}

// The key-value store's next limits apply from the start where they are lower. An invalid next
// limit is rejected with an error that names it.
func TestNextStoreLimits(t *testing.T) {
	parseWithNext := func(next string) (*PlatformSettings, error) {
		return ParsePlatformSettings([]byte(strings.Replace(validSettings, "[settings.cloud]", "[settings.state.next]\n"+next+"\n[settings.cloud]", 1)))
	}
	p, err := parseWithNext("write_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 10")
	if err != nil {
		t.Fatal(err)
	}
	if s := p.Settings.Store; s.RPS != 100 || s.WriteRPS != 40 || s.ValueKB != 2 || s.TxnOps != 10 {
		t.Errorf("limits are %+v, want 100 requests and 40 changes per second, 2 KB and 10 changes", s)
	}
	for _, x := range []string{"rps = 0.0", "rps = -1.0", "write_rps = nan", "write_rps = inf", "value_kb = 0.1", "txn_ops = 3", "txn_ops = \"few\""} {
		field, _, _ := strings.Cut(x, " ")
		if _, err := parseWithNext(x); err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names the field", x, err)
		}
	}
}

func TestParseNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(validSettings)-1).Draw(t, "at")
		_, _ = ParsePlatformSettings([]byte(validSettings[:at] + fmt.Sprint(rapid.String().Draw(t, "junk")) + validSettings[at:]))
	})
}
