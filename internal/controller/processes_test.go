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

// oldVersion is a commit of this repository whose build runs in a cluster with the current one. The
// tests with an old version run real processes in real time. They are started by hand; see
// docs/design.md.
var oldVersion = flag.String("old-version", "", "commit whose build runs in a cluster with the current one")

// processCluster is a cluster of three real controller processes on the loopback interface, in a
// simulated environment and in real time.
type processCluster struct {
	*cluster
	dir       string          // holds the settings files
	commands  []*exec.Cmd     // running processes by controller; nil: none
	cpuTime   []time.Duration // CPU time of the ended processes, by controller
	mu        sync.Mutex
	listeners map[string]net.Listener // by address; guarded by mu
	logFile   *os.File
}

// settingsTemplate is the format of the settings file that the platform passes to a controller.
const settingsTemplate = `node_name = %q
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

// newListenAddr opens a listener on the loopback interface and returns its address. Connections wait
// until a handler serves the listener.
func (p *processCluster) newListenAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[listener.Addr().String()] = listener
	return listener.Addr().String()
}

// unusedAddr returns an address on the loopback interface on which a process can listen.
func (p *processCluster) unusedAddr() string {
	addr := p.newListenAddr()
	_ = p.listeners[addr].Close()
	return addr
}

// buildController builds the program of a commit, or of the working tree if commit is empty, and
// writes it to out.
func buildController(t *testing.T, commit, out string) {
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

// newProcessCluster sets up the environment and the settings files. It starts no controller. The
// controllers log to one file in the directory for temporary files.
func newProcessCluster(t *testing.T) *processCluster {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	dir := t.TempDir()
	p := &processCluster{cluster: &cluster{t: t, ctx: ctx}, dir: dir, listeners: map[string]net.Listener{}, commands: make([]*exec.Cmd, 3), cpuTime: make([]time.Duration, 3)}
	logs, err := os.Create(filepath.Join(os.TempDir(), "eiderhitch-processes.log"))
	if err != nil {
		t.Fatal(err)
	}
	p.logFile = logs
	names := []string{"n0", "n1", "n2"}
	addrs, peerAddrs := make([]string, 3), make([]string, 3)
	members := make([]agent.Controller, 3)
	for i, name := range names {
		addrs[i], peerAddrs[i] = p.unusedAddr(), p.unusedAddr()
		members[i] = agent.Controller{Name: name, Addr: addrs[i]}
	}
	p.env = simulation.New(ctx, members, testMachineTypes)
	p.clientTransport = p.env.Network.NewTransport()
	p.env.Cloud.MachineAddr = func(int) string { return p.newListenAddr() }
	p.env.Network.Listen = func(addr string, h http.Handler) {
		p.mu.Lock()
		listener := p.listeners[addr]
		p.mu.Unlock()
		if listener != nil {
			go func() { _ = http.Serve(listener, h) }()
		}
	}
	storeAddr, cloudAddr := p.newListenAddr(), p.newListenAddr()
	p.env.Network.Listen(storeAddr, p.env.Store)
	p.env.Network.Listen(cloudAddr, p.env.Cloud)
	p.env.SetQuota("red", 24)
	for i, name := range names {
		target, _ := url.Parse("http://" + addrs[i])
		proxy := httputil.NewSingleHostReverseProxy(target)
		proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
		p.env.Network.Serve(addrs[i], proxy)
		p.nodes = append(p.nodes, &node{cfg: &config.PlatformSettings{Name: name, APIAddr: addrs[i]}})
		var siblings strings.Builder
		for k, other := range names {
			if k != i {
				fmt.Fprintf(&siblings, "\n[[siblings]]\nnode_name = %q\nlocation = \"a\"\npeer_addr = %q\n", other, peerAddrs[k])
			}
		}
		text := fmt.Sprintf(settingsTemplate, name, addrs[i], peerAddrs[i], siblings.String(), cloudAddr, storeAddr)
		if err := os.WriteFile(filepath.Join(dir, name+".toml"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for i := range p.commands {
			p.killProcess(i)
		}
	})
	return p
}

// settingsPath returns the path of a controller's settings file.
func (p *processCluster) settingsPath(i int) string {
	return filepath.Join(p.dir, p.nodes[i].cfg.Name+".toml")
}

// startProcess kills a controller's process, if one runs, and starts program in its place.
func (p *processCluster) startProcess(i int, program string, arguments ...string) {
	p.t.Helper()
	p.killProcess(i)
	cmd := exec.Command(program, append(arguments, "--config", p.settingsPath(i))...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=debug")
	cmd.Stderr = p.logFile
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.commands[i] = cmd
}

// killProcess kills a controller's process, if one runs, and adds its CPU time to cpuTime.
func (p *processCluster) killProcess(i int) {
	if cmd := p.commands[i]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		p.cpuTime[i] += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		p.commands[i] = nil
	}
}

// Processes of an old and the current version run in one cluster. They are replaced in turn while
// there is work, one of them by the old version again. Once all run the current version, the
// key-value store lowers its limits and gangs are submitted. No rule may be broken, and in the end
// all jobs must be done, or be services with both tasks running.
func TestOldProcessesBesideNew(t *testing.T) {
	if *oldVersion == "" {
		t.Skip("needs -old-version COMMIT")
	}
	bin := t.TempDir()
	oldBinary, newBinary := filepath.Join(bin, "old"), filepath.Join(bin, "new")
	buildController(t, *oldVersion, oldBinary)
	buildController(t, "", newBinary)
	p := newProcessCluster(t)
	for i := range p.nodes {
		p.startProcess(i, oldBinary)
	}
	jobs := 0
	nextID := func() string {
		jobs++
		return fmt.Sprintf("wk-%d", jobs)
	}
	submitWork := func() {
		for _, team := range []string{"red", "blue"} {
			p.submit(newSubmission(submission{ID: nextID(), Kind: wire.KindArray, Team: team, Priority: "normal", Tasks: 30, CPUs: 1, EstimateS: 3}))
		}
		p.submit(newSubmission(submission{ID: nextID(), Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 2, CPUs: 2}))
	}
	submitWork()
	p.await("the first tasks run", time.Minute, func() bool { return p.env.CountStartedTasks() > 10 })
	for _, step := range []struct {
		node    int
		program string
	}{{0, newBinary}, {1, newBinary}, {1, oldBinary}, {2, newBinary}, {0, newBinary}, {1, newBinary}} {
		submitWork()
		p.killProcess(step.node)
		time.Sleep(time.Second)
		p.startProcess(step.node, step.program)
		time.Sleep(9 * time.Second)
	}
	p.env.Store.SetTxnLimits(2<<10, 10)
	for range 3 {
		gang := gangSubmission(nextID(), "blue", "normal", 6, 8)
		gang.SingleZone = true
		p.submit(gang)
	}
	p.killProcess(0)
	time.Sleep(500 * time.Millisecond)
	p.startProcess(0, newBinary)
	p.env.MarkFaultsEnded()
	for n := range jobs {
		id := fmt.Sprintf("wk-%d", n+1)
		p.await(id+" is done, or is a service both of whose tasks run", 3*time.Minute, func() bool {
			s := p.jobState(id)
			return s == wire.StateDone || p.env.CountRunningTasks(id) == 2
		})
	}
	for _, violation := range p.env.Violations() {
		t.Error(violation)
	}
	if n := p.env.Store.Stats().RejectedTxns; n > 0 {
		t.Errorf("%d transactions exceeded the limits of the key-value store, want none", n)
	}
}
