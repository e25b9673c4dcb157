package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/simulation/kv"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"

	"github.com/alecthomas/kong"
)

const settingsTemplate = `node_name = "n0"
location = "a"
api_addr = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
[[siblings]]
node_name = "n1"
location = "a"
peer_addr = "127.0.0.1:3"
[external]
cloud = "127.0.0.1:4"
state = %q
[settings]
count = 2
zones = ["a"]
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

// simulatedStore is a simulated key-value store on loopback with a settings file that names it.
type simulatedStore struct {
	t      *testing.T
	store  *kv.Store
	client *store.Client
	file   string
}

func newSimulatedStore(t *testing.T) *simulatedStore {
	t.Helper()
	return newSimulatedStoreWithHandler(t, func(store http.Handler) http.Handler { return store })
}

// newSimulatedStoreWithHandler is newSimulatedStore behind what handles its calls first.
func newSimulatedStoreWithHandler(t *testing.T, wrap func(store http.Handler) http.Handler) *simulatedStore {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	state := kv.NewStore()
	server := &http.Server{Handler: wrap(state)}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	s := &simulatedStore{t: t, store: state, client: store.NewClient(l.Addr().String(), http.DefaultTransport), file: filepath.Join(t.TempDir(), "n0.toml")}
	if err := os.WriteFile(s.file, fmt.Appendf(nil, settingsTemplate, l.Addr().String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *simulatedStore) put(key string, raw []byte) {
	s.t.Helper()
	if _, err := s.client.Txn(s.t.Context(), &wire.Txn{Changes: []wire.Change{{Put: key, Value: raw}}}); err != nil {
		s.t.Fatal(err)
	}
}

func (s *simulatedStore) register(names ...string) {
	s.t.Helper()
	for _, name := range names {
		s.put(rollout.RegistrationKey(name), rollout.Registration{Node: name, Build: "test", LevelRange: rollout.SupportedLevels}.Encode())
	}
}

// flags are a command's flags.
func (s *simulatedStore) flags(asJSON bool) clusterFlags {
	return clusterFlags{Config: s.file, JSON: asJSON}
}

func TestShowStatus(t *testing.T) {
	s := newSimulatedStore(t)
	s.register("n0")
	g := &record.TaskGroup{Tasks: []record.Binding{{Task: 1}}}
	s.put("e/group/wk-1/0", g.Encode(record.PlainJSON).ValueForKey("e/group/wk-1/0"))
	s.put("e/group/wk-2/0", g.Encode(record.Checksummed).ValueForKey("e/group/wk-2/0"))
	s.put("e/group/wk-3/0", g.Encode(record.Checksummed).ValueForKey("e/group/wk-2/0"))
	flags := s.flags(false)
	var out bytes.Buffer
	if err := flags.showStatus(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"level              1 (stable)", "records, form 1    1", "records, form 2    1", "records, unreadable  1", "n1", "not registered", "n1 is not registered"} {
		if !strings.Contains(strings.Join(strings.Fields(out.String()), " "), strings.Join(strings.Fields(want), " ")) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
	flags = s.flags(true)
	out.Reset()
	if err := flags.showStatus(&out); err != nil {
		t.Fatal(err)
	}
	var status rollout.Status
	if err := json.Unmarshal(out.Bytes(), &status); err != nil || status.State != rollout.InitialState || len(status.Blockers) != 1 || status.MissingControllers[0] != "n1" {
		t.Errorf("%v: %+v", err, status)
	}
}

// What can't be carried out is refused with a status and one line of its own, and changes
// nothing.
func TestRefusedAndPendingRequests(t *testing.T) {
	s := newSimulatedStore(t)
	s.register("n0")
	active := rollout.State{Level: 1, Phase: rollout.PhaseActive}
	for _, x := range []struct {
		name    string
		state   rollout.State
		request rollout.Request
		status  int
		says    string
	}{
		{"a controller is missing", active, rollout.RequestFinalize, exitRefused, "n1 is not registered"},
		{"no level is active", rollout.InitialState, rollout.RequestFinalize, exitRefused, "no level is active"},
		{"nothing to go back to", rollout.State{Level: 1, Phase: rollout.PhaseStable, OnHold: true}, rollout.RequestAbort, exitRefused, "none before it"},
		{"a step is being completed", rollout.State{Level: 2, Phase: rollout.PhaseClosed, Epoch: 1}, rollout.RequestAbort, exitRefused, "try again"},
		{"going back already", rollout.State{Level: 2, Phase: rollout.PhaseReverting, Epoch: 1}, rollout.RequestAbort, exitRefused, "already"},
		{"nobody leads", active, rollout.RequestAbort, exitNotCompleted, "not carried out yet"},
	} {
		s.put(rollout.StateKey, x.state.Encode())
		flags := s.flags(false)
		err := flags.sendRequest(&bytes.Buffer{}, x.request, 10*time.Millisecond)
		if err == nil || exitStatusOf(err) != x.status || !strings.Contains(err.Error(), x.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", x.name, err)
		}
		var now rollout.State
		_ = json.Unmarshal(s.store.Values(rollout.StateKey)[rollout.StateKey], &now)
		if x.status == exitRefused && now != x.state {
			t.Errorf("%s: %+v became %+v", x.name, x.state, now)
		}
	}
}

// A leader that carries a request out is waited for.
func TestRequestWaitsForCompletion(t *testing.T) {
	s := newSimulatedStore(t)
	s.register("n0", "n1")
	s.put(rollout.StateKey, rollout.State{Level: 1, Phase: rollout.PhaseActive}.Encode())
	go func() {
		time.Sleep(100 * time.Millisecond)
		s.put(rollout.StateKey, rollout.State{Level: 2, Phase: rollout.PhaseStable, Epoch: 1}.Encode())
	}()
	var out bytes.Buffer
	flags := s.flags(false)
	if err := flags.sendRequest(&out, rollout.RequestFinalize, 10*time.Second); err != nil || !strings.Contains(out.String(), "2 (stable)") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// Bad input ends with a status that is not 0 and one line that says what is wrong.
func TestInvalidInputIsReportedInOneLine(t *testing.T) {
	s := newSimulatedStore(t)
	s.put(rollout.StateKey, []byte(`{"level":1,"phase":"dissolved"}`))
	flags := s.flags(false)
	if err := flags.showStatus(&bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), "dissolved") {
		t.Errorf("an unknown state: %v", err)
	}
	missing := clusterFlags{Config: filepath.Join(t.TempDir(), "none.toml")}
	if err := missing.showStatus(&bytes.Buffer{}); err == nil || exitStatusOf(err) != exitFailed || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("no settings file: %v", err)
	}
	nobody := filepath.Join(t.TempDir(), "n0.toml")
	if err := os.WriteFile(nobody, fmt.Appendf(nil, settingsTemplate, "127.0.0.1:1"), 0o600); err != nil {
		t.Fatal(err)
	}
	away := clusterFlags{Config: nobody}
	if err := away.showStatus(&bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), "external.state") || strings.Contains(err.Error(), "\n") {
		t.Errorf("no key-value store: %v", err)
	}
}

// The platform starts a controller with its settings file alone.
func TestRunIsTheDefaultCommand(t *testing.T) {
	s := newSimulatedStore(t)
	for _, args := range [][]string{{"--config", s.file}, {"run", "--config", s.file}, {"--check", "--config", s.file}} {
		var c cli
		parser, err := kong.New(&c, kong.Vars{"version": "x"})
		if err != nil {
			t.Fatal(err)
		}
		ctx, err := parser.Parse(args)
		if err != nil || ctx.Command() != "run" || c.Run.Config != s.file {
			t.Errorf("%v: %v, command %q", args, err, ctx.Command())
		}
	}
	for _, args := range [][]string{{"upgrade"}, {"upgrade", "finalise", "--config", s.file}, {"--confg", s.file}, {}} {
		var c cli
		parser, _ := kong.New(&c, kong.Vars{"version": "x"})
		if _, err := parser.Parse(args); err == nil {
			t.Errorf("%v is taken", args)
		}
	}
}
