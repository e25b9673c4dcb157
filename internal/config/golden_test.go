package config

import (
	"strings"
	"testing"
)

// Operators read these texts and may search for them in scripts, so they must not change by
// accident.
func TestRefusalsKeepTheirText(t *testing.T) {
	const last = `mem_mb = 100.0`
	for _, x := range []struct{ from, to, text string }{
		{`node_name = "n0"`, `node_name = ""`, `node_name: must not be empty`},
		{`api_addr = "127.0.0.1:1"`, `api_addr = "x"`, `api_addr: address x: missing port in address`},
		{`cloud = "127.0.0.1:4"`, ``, `external.cloud: missing port in address`},
		{`node_name = "n1"`, `node_name = "n0"`, `siblings[0].node_name: "n0" is empty or repeated`},
		{`peer_addr = "127.0.0.1:3"`, `peer_addr = "n1"`, `siblings[0].peer_addr: address n1: missing port in address`},
		{`count = 2`, `count = 3`, `settings.count: 3, but node and siblings make 2`},
		{`count = 2`, `count = "x"`, `line 15 column 9: settings.count: not a value of the right type`},
		{`count = 2`, `count = `, `line 15 column 9: toml: unexpected character U+000A at start of value`},
		{`zones = ["a"]`, `zones = []`, `settings.zones: must not be empty`},
		{`lease_s = 10.0`, `lease_s = -1.0`, `settings.workers.lease_s: must be above 0, is -1`},
		{`txn_ops = 32`, `txn_ops = 0`, `settings.state.txn_ops: must be above 0, is 0`},
		{`txn_ops = 32`, `txn_ops = 2`, `settings.state.txn_ops: 2 changes a transaction are too few, 4 are needed`},
		{`max_sockets = 100`, ``, `settings.limits.max_sockets: must be above 0, is 0`},
		{last, last + "\ncpu_share = -0.1", `settings.limits.cpu_share: must not be negative, is -0.1`},
		{`cancel_s = 35.0`, "cancel_s = 35.0\ngang_wait_s = -1.0", `settings.workers.gang_wait_s, gang_peer_s: must not be negative`},
		{`cancel_s = 35.0`, `cancel_s = 9.0`, `settings.workers.cancel_s: 9 leaves no time beyond lease_s 10`},
		{`name = "red"`, `name = ""`, `settings.teams[0].name: "" is empty or repeated`},
		{`cpus = 4.0`, `cpus = -4.0`, `settings.teams[0]: amounts must not be negative`},
		{`cpus = 4.0`, `cpus = 9.0`, `settings.teams[0]: guarantee of "red" exceeds its limit`},
		{last, last + "\n[settings.state.next]\nrps = 0.0", `settings.state.next.rps: 0 can't be worked with`},
		{last, last + "\n[settings.state.next]\ntxn_ops = 3", `settings.state.next.txn_ops: 3 changes a transaction are too few, 4 are needed`},
	} {
		if _, err := ParsePlatformSettings([]byte(strings.Replace(validSettings, x.from, x.to, 1))); err == nil || err.Error() != x.text {
			t.Errorf("platform settings with %s: error\n%v, want\n%s", x.to, err, x.text)
		}
	}
	p := parseValidSettings(t)
	for src, text := range map[string]string{
		"(eiderhitch (headroom 1) x":                                 "1:1: this ( is never closed",
		strings.Repeat("(", 70):                                      "1:66: nested deeper than 64",
		"(eiderhitch (spot \"\\q\"))":                                "1:19: malformed string",
		"(eiderhitch (idle-boots 101))":                              "1:25: idle-boots must be a number from 0 to 100",
		"(eiderhitch (boot-patience 0.5))":                           "1:28: boot-patience must be a number from 1 to 100",
		"(eiderhitch (evict-after 2h))":                              "1:26: evict-after must be a time such as 5s, from 0s to 1h0m0s",
		"(eiderhitch (right-ttl 1m))":                                "1:13: right-ttl 1m0s is longer than the 21.955s that an owner may go on without the state service",
		"(eiderhitch (finalize-after 721h))":                         "1:29: finalize-after must be a time such as 5s, from 1s to 720h0m0s",
		"(eiderhitch (highest-level 1001))":                          "1:28: highest-level must be a whole number from 1 to 1000",
		"(eiderhitch (rewrite-share 0.6))":                           "1:28: rewrite-share must be a number from 0.001 to 0.5",
		"(eiderhitch (spot))":                                        "1:13: spot takes one value",
		"(eiderhitch (class \"x\"))":                                 `1:13: (class "name" (headroom n)) is expected`,
		"(eiderhitch (class x (headroom -1)))":                       "1:32: headroom must be a number from 0 to 100",
		"(eiderhitch (class x headroom))":                            "1:22: a setting such as (headroom 1) is expected",
		"(eiderhitch (class x (headroom 1)) (class x (headroom 1)))": `1:36: class "x" is set twice`,
	} {
		if _, err := ParseOperatorSettings(src, p); err == nil || err.Error() != text {
			t.Errorf("operators' settings %.60s: error\n%v, want\n%s", src, err, text)
		}
	}
}

func TestWarningsKeepTheirText(t *testing.T) {
	p := &PlatformSettings{}
	p.Settings.ControllerCount, p.Settings.Limits.MemMB, p.Settings.Limits.MaxSockets, p.Settings.Limits.CPUShare = 3, 12, 30, 0.002
	want := `settings.limits.mem_mb: 12 is little for 22 connections, 22 would do
settings.limits.max_sockets: 30 leave hardly any for workers and users, 40 are the least
settings.limits.cpu_share: 0.002 is little, 0.01 are needed for a few dozen machines`
	if got := strings.Join(p.Warnings(), "\n"); got != want {
		t.Errorf("warnings are\n%s\nwant\n%s", got, want)
	}
	p.Settings.Limits.MemMB, p.Settings.Limits.MaxSockets, p.Settings.Limits.CPUShare = 100, 600, 0
	if got := strings.Join(p.Warnings(), "\n"); got != "settings.limits.cpu_share: not given, taken as unknown" {
		t.Error(got)
	}
	if m := p.MemoryBudget(); m != (MemoryBudget{LimitBytes: 90177536, GCPercent: 300, NeededBytes: 36472604}) {
		t.Errorf("memory budget is %+v, want a limit of 90177536 bytes, 300%% and 36472604 bytes needed", m)
	}
}
