package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const good = `
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

func TestSettingsNameTheBadField(t *testing.T) {
	if _, err := ParsePlatformSettings([]byte(good)); err != nil {
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
		_, err := ParsePlatformSettings([]byte(strings.Replace(good, x.from, x.to, 1)))
		if err == nil || !strings.Contains(err.Error(), x.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", x.to, err)
		}
	}
}

// The hold time must leave a whole lease before a cancellation's time is over,
// with clocks that drift apart, for any settings that pass the check.
func TestHoldTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := rapid.Float64Range(1, 60).Draw(t, "lease")
		cancel := rapid.Float64Range(lease*1.1, lease+200).Draw(t, "cancel")
		hold := MaxStaleness(cancel, lease)
		if hold <= 0 {
			t.Skip("refused at the start")
		}
		fast, slow := 1+clockDrift, 1-clockDrift
		// The owner's clock may be slow and so may the worker's.
		gone := hold.Seconds()/slow*fast + lease/slow
		if gone >= cancel {
			t.Fatalf("held %v, gone after %v of %v", hold, gone, cancel)
		}
		if LeaseExpiry(cancel, lease) <= time.Duration(lease*fast*float64(time.Second)) {
			t.Fatal("a lease is taken for over while it may run")
		}
	})
}

// The key-value store's next limits hold from the start where they are lower,
// and one that can't be worked with is refused by its name.
func TestNextLimits(t *testing.T) {
	with := func(next string) (*PlatformSettings, error) {
		return ParsePlatformSettings([]byte(strings.Replace(good, "[settings.cloud]", "[settings.state.next]\n"+next+"\n[settings.cloud]", 1)))
	}
	p, err := with("write_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 10")
	if err != nil {
		t.Fatal(err)
	}
	if s := p.Settings.Store; s.RPS != 100 || s.WriteRPS != 40 || s.ValueKB != 2 || s.TxnOps != 10 {
		t.Errorf("limits %+v", s)
	}
	for _, x := range []string{"rps = 0.0", "rps = -1.0", "write_rps = nan", "write_rps = inf", "value_kb = 0.1", "txn_ops = 3", "txn_ops = \"few\""} {
		field, _, _ := strings.Cut(x, " ")
		if _, err := with(x); err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", x, err)
		}
	}
}

func TestParseNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(good)-1).Draw(t, "at")
		_, _ = ParsePlatformSettings([]byte(good[:at] + fmt.Sprint(rapid.String().Draw(t, "junk")) + good[at:]))
	})
}
