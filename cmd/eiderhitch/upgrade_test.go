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

// simulatedStore is a simulated key-value store on the loopback interface, and a settings file
// with its address.
type simulatedStore struct {
	t            *testing.T
	store        *kv.Store
	client       *store.Client
	settingsFile string
}

func newSimulatedStore(t *testing.T) *simulatedStore {
	t.Helper()
	return newSimulatedStoreWithHandler(t, func(store http.Handler) http.Handler { return store })
}

// newSimulatedStoreWithHandler is like newSimulatedStore, but serves the handler that wrap
// returns for the store.
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
	s := &simulatedStore{t: t, store: state, client: store.NewClient(l.Addr().String(), http.DefaultTransport), settingsFile: filepath.Join(t.TempDir(), "n0.toml")}
	if err := os.WriteFile(s.settingsFile, fmt.Appendf(nil, settingsTemplate, l.Addr().String()), 0o600); err != nil {
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

// flags returns the flags of an upgrade command for this store.
func (s *simulatedStore) flags(asJSON bool) clusterFlags {
	return clusterFlags{Config: s.settingsFile, JSON: asJSON}
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
			t.Errorf("the output lacks %q:\n%s", want, out.String())
		}
	}
	flags = s.flags(true)
	out.Reset()
	if err := flags.showStatus(&out); err != nil {
		t.Fatal(err)
	}
	var status rollout.Status
	if err := json.Unmarshal(out.Bytes(), &status); err != nil || status.State != rollout.InitialState || len(status.Blockers) != 1 || status.MissingControllers[0] != "n1" {
		t.Errorf("error %v, status %+v; want the initial state, with n1 missing as the only blocker", err, status)
	}
}

// A request that can't be carried out must fail with the exit status and a one-line error for
// its reason. A refused request must not change the stored state.
func TestRefusedAndPendingRequests(t *testing.T) {
	s := newSimulatedStore(t)
	s.register("n0")
	active := rollout.State{Level: 1, Phase: rollout.PhaseActive}
	for _, x := range []struct {
		name     string
		state    rollout.State
		request  rollout.Request
		status   int
		wantText string
	}{
		{"a controller is missing", active, rollout.RequestFinalize, exitRefused, "n1 is not registered"},
		{"no level is active", rollout.InitialState, rollout.RequestFinalize, exitRefused, "no level is active"},
		{"no earlier level", rollout.State{Level: 1, Phase: rollout.PhaseStable, OnHold: true}, rollout.RequestAbort, exitRefused, "none before it"},
		{"a step is in progress", rollout.State{Level: 2, Phase: rollout.PhaseClosed, Epoch: 1}, rollout.RequestAbort, exitRefused, "try again"},
		{"already reverting", rollout.State{Level: 2, Phase: rollout.PhaseReverting, Epoch: 1}, rollout.RequestAbort, exitRefused, "already"},
		{"no leader", active, rollout.RequestAbort, exitNotCompleted, "not carried out yet"},
	} {
		s.put(rollout.StateKey, x.state.Encode())
		flags := s.flags(false)
		err := flags.sendRequest(&bytes.Buffer{}, x.request, 10*time.Millisecond)
		if err == nil || exitStatusOf(err) != x.status || !strings.Contains(err.Error(), x.wantText) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v has the wrong exit status or text", x.name, err)
		}
		var storedState rollout.State
		_ = json.Unmarshal(s.store.Values(rollout.StateKey)[rollout.StateKey], &storedState)
		if x.status == exitRefused && storedState != x.state {
			t.Errorf("%s: the refused request changed the state from %+v to %+v", x.name, x.state, storedState)
		}
	}
}

// A request must wait until the leader has carried it out and then print the new state.
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
		t.Errorf("error %v, want none and the completed state in the output:\n%s", err, out.String())
	}
}

// Invalid input must end with a nonzero exit status and a one-line error that says what is
// wrong.
func TestInvalidInputIsReportedInOneLine(t *testing.T) {
	s := newSimulatedStore(t)
	s.put(rollout.StateKey, []byte(`{"level":1,"phase":"dissolved"}`))
	flags := s.flags(false)
	if err := flags.showStatus(&bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), "dissolved") {
		t.Errorf("unknown phase in the stored state: error %v, want one that names it", err)
	}
	missingFileFlags := clusterFlags{Config: filepath.Join(t.TempDir(), "none.toml")}
	if err := missingFileFlags.showStatus(&bytes.Buffer{}); err == nil || exitStatusOf(err) != exitFailed || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("missing settings file: error %v, want one that names the file", err)
	}
	unreachableFile := filepath.Join(t.TempDir(), "n0.toml")
	if err := os.WriteFile(unreachableFile, fmt.Appendf(nil, settingsTemplate, "127.0.0.1:1"), 0o600); err != nil {
		t.Fatal(err)
	}
	unreachableStoreFlags := clusterFlags{Config: unreachableFile}
	if err := unreachableStoreFlags.showStatus(&bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), "external.state") || strings.Contains(err.Error(), "\n") {
		t.Errorf("unreachable key-value store: error %v, want one line that names external.state", err)
	}
}

// The platform starts a controller with only --config, without naming the run command.
func TestRunIsTheDefaultCommand(t *testing.T) {
	s := newSimulatedStore(t)
	for _, args := range [][]string{{"--config", s.settingsFile}, {"run", "--config", s.settingsFile}, {"--check", "--config", s.settingsFile}} {
		var c cli
		parser, err := kong.New(&c, kong.Vars{"version": "x"})
		if err != nil {
			t.Fatal(err)
		}
		ctx, err := parser.Parse(args)
		if err != nil || ctx.Command() != "run" || c.Run.Config != s.settingsFile {
			t.Errorf("%v: error %v, command %q, want run with the settings file", args, err, ctx.Command())
		}
	}
	for _, args := range [][]string{{"upgrade"}, {"upgrade", "finalise", "--config", s.settingsFile}, {"--confg", s.settingsFile}, {}} {
		var c cli
		parser, _ := kong.New(&c, kong.Vars{"version": "x"})
		if _, err := parser.Parse(args); err == nil {
			t.Errorf("invalid arguments %v are accepted", args)
		}
	}
}
