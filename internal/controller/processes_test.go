package controller

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/simulation"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/wire"
)

// oldVersion is a commit of the repository's history whose build shares a cluster with the
// present one. Real processes on real time: run by hand, see docs/design.md.
var oldVersion = flag.String("old-version", "", "commit whose processes share a cluster with today's")

// processes is a cluster of real processes on loopback, in a simulated environment.
type processes struct {
	*cluster
	dir       string
	running   []*exec.Cmd
	used      []time.Duration // processor time of those that have ended, by controller
	mu        sync.Mutex
	listeners map[string]net.Listener
	logs      *os.File
}

// settingsFile is a controller's settings as the platform hands them over.
const settingsFile = `node_name = %q
location = "a"
api_addr = %q
mesh_addr = %q
%s
[external]
cloud = %q
state = %q

[settings]
count = 3
zones = ["a", "b"]
skew_ms = 100.0

[[settings.teams]]
name = "red"
cpus = 8.0
cpus_max = 24.0
gpus = 0.0
gpus_max = 0.0

[[settings.teams]]
name = "blue"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 12.0
gang_peer_s = 4.0
cancel_s = 35.0

[settings.state]
rps = 250.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 32

[settings.state.next]
value_kb = 2.0
txn_ops = 10
write_rps = 40.0

[settings.cloud]
rps = 6.0
list_lag_s = 3.0

[settings.limits]
cpu_share = 0.5
mem_mb = 125.0
max_sockets = 600
`

// listen is an address on loopback with a listener that waits for its handler.
func (p *processes) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[l.Addr().String()] = l
	return l.Addr().String()
}

// free is an address on loopback that a process may take.
func (p *processes) free() string {
	addr := p.listen()
	_ = p.listeners[addr].Close()
	return addr
}

// build makes the program of a commit, or of the sources as they are.
func build(t *testing.T, commit, out string) {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	dir := root
	if commit != "" {
		dir = t.TempDir()
		archive := exec.Command("git", "-C", root, "archive", commit)
		raw, err := archive.Output()
		if err != nil {
			t.Fatalf("git archive %s: %v", commit, err)
		}
		untar := exec.Command("tar", "-x", "-C", dir)
		untar.Stdin = bytes.NewReader(raw)
		if err := untar.Run(); err != nil {
			t.Fatal(err)
		}
	}
	cmd := exec.Command("go", "build", "-o", out, "./cmd/eiderhitch")
	cmd.Dir = dir
	if raw, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, raw)
	}
}

// newProcesses sets the environment up; no controller runs yet.
func newProcesses(t *testing.T) *processes {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	dir := t.TempDir()
	p := &processes{cluster: &cluster{t: t, ctx: ctx}, dir: dir, listeners: map[string]net.Listener{}, running: make([]*exec.Cmd, 3), used: make([]time.Duration, 3)}
	logs, err := os.Create(filepath.Join(os.TempDir(), "eiderhitch-processes.log"))
	if err != nil {
		t.Fatal(err)
	}
	p.logs = logs
	names := []string{"n0", "n1", "n2"}
	addrs, mesh := make([]string, 3), make([]string, 3)
	members := make([]agent.Controller, 3)
	for i, name := range names {
		addrs[i], mesh[i] = p.free(), p.free()
		members[i] = agent.Controller{Name: name, Addr: addrs[i]}
	}
	p.env = simulation.New(ctx, members, testMachineTypes)
	p.clientTransport = p.env.Network.NewTransport()
	p.env.Cloud.MachineAddr = func(int) string { return p.listen() }
	p.env.Network.Listen = func(addr string, h http.Handler) {
		p.mu.Lock()
		l := p.listeners[addr]
		p.mu.Unlock()
		if l != nil {
			go func() { _ = http.Serve(l, h) }()
		}
	}
	state, cloud := p.listen(), p.listen()
	p.env.Network.Listen(state, p.env.Store)
	p.env.Network.Listen(cloud, p.env.Cloud)
	p.env.SetQuota("red", 24)
	for i, name := range names {
		target, _ := url.Parse("http://" + addrs[i])
		proxy := httputil.NewSingleHostReverseProxy(target)
		proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
		p.env.Network.Serve(addrs[i], proxy)
		p.nodes = append(p.nodes, &node{cfg: &config.Platform{Name: name, APIAddr: addrs[i]}})
		var siblings strings.Builder
		for k, other := range names {
			if k != i {
				fmt.Fprintf(&siblings, "\n[[siblings]]\nnode_name = %q\nlocation = \"a\"\npeer_addr = %q\n", other, mesh[k])
			}
		}
		text := fmt.Sprintf(settingsFile, name, addrs[i], mesh[i], siblings.String(), cloud, state)
		if err := os.WriteFile(filepath.Join(dir, name+".toml"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for i := range p.running {
			p.end(i)
		}
	})
	return p
}

// settings is the file that the platform hands to a controller.
func (p *processes) settings(i int) string {
	return filepath.Join(p.dir, p.nodes[i].cfg.Name+".toml")
}

// run starts a controller's process.
func (p *processes) run(i int, program string, more ...string) {
	p.t.Helper()
	p.end(i)
	cmd := exec.Command(program, append(more, "--config", p.settings(i))...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=debug")
	cmd.Stderr = p.logs
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.running[i] = cmd
}

// end kills a controller's process.
func (p *processes) end(i int) {
	if cmd := p.running[i]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		p.used[i] += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		p.running[i] = nil
	}
}

// Processes of an old and of today's version share a cluster: killed and brought back in
// turn while there is work, one of them coming back old; then all are new, the state
// service lowers its limits, and gangs come. No rule is broken, and all gets done.
func TestOldProcessesBesideNew(t *testing.T) {
	if *oldVersion == "" {
		t.Skip("-old-version COMMIT plays it")
	}
	bin := t.TempDir()
	older, today := filepath.Join(bin, "old"), filepath.Join(bin, "today")
	build(t, *oldVersion, older)
	build(t, "", today)
	p := newProcesses(t)
	for i := range p.nodes {
		p.run(i, older)
	}
	jobs := 0
	next := func() string {
		jobs++
		return fmt.Sprintf("wk-%d", jobs)
	}
	work := func() {
		for _, team := range []string{"red", "blue"} {
			p.submit(newSubmission(submission{ID: next(), Kind: wire.KindArray, Team: team, Priority: "normal", Tasks: 30, CPUs: 1, EstimateS: 3}))
		}
		p.submit(newSubmission(submission{ID: next(), Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 2, CPUs: 2}))
	}
	work()
	p.await("work runs", time.Minute, func() bool { return p.env.Starts() > 10 })
	for _, step := range []struct {
		node    int
		program string
	}{{0, today}, {1, today}, {1, older}, {2, today}, {0, today}, {1, today}} {
		work()
		p.end(step.node)
		time.Sleep(time.Second)
		p.run(step.node, step.program)
		time.Sleep(9 * time.Second)
	}
	p.env.Store.SetLimits(2<<10, 10)
	for range 3 {
		b := gangSubmission(next(), "blue", "normal", 6, 8)
		b.SingleZone = true
		p.submit(b)
	}
	p.end(0)
	time.Sleep(500 * time.Millisecond)
	p.run(0, today)
	p.env.SetSettled()
	for n := range jobs {
		id := fmt.Sprintf("wk-%d", n+1)
		p.await(id+" is over", 3*time.Minute, func() bool {
			s := p.jobState(id)
			return s == wire.StateDone || p.env.Running(id) == 2
		})
	}
	for _, breach := range p.env.Violations() {
		t.Error(breach)
	}
	if n := p.env.Store.Stats().OverLimits; n > 0 {
		t.Errorf("%d transactions were beyond the limits, want none", n)
	}
}
