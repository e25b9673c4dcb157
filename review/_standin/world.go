package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// node is one controller.
type node struct {
	name, api, mesh, stateAddr, cloudAddr, config string
	process                                       *exec.Cmd
	// meshOf is the address at which this controller reaches another one, if it is not that
	// controller's own.
	meshOf map[string]string
	done   chan struct{}
}

// world is the deployment: three controllers and the stand-ins that they need.
type world struct {
	log   *record
	dir   string
	state *storeServer
	cloud *cloudServer
	nodes []*node

	mu   sync.Mutex
	jobs map[string]*jobSpec
	// zones are the zones of the deployment.
	zones []string
	// placements says when tasks begin and cease to be on a machine, in order.
	placements []placement
}

// placement is the begin or the end of a task's time on a machine: from when it has its image until
// it exits, is killed or the machine is gone.
type placement struct {
	at            time.Time
	task, machine string
	begins        bool
}

func (w *world) place(task, machine string, begins bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.placements = append(w.placements, placement{time.Now(), task, machine, begins})
}

// jobSpec is a job that a user submits.
type jobSpec struct {
	ID, Team, Image    string
	Class, Rank        string
	Service            bool
	Tasks              int
	CPUs, RAM, ImageGB float64
	run                time.Duration
	// Zone is the only allowed zone, "" for any. SamePlace is set if all tasks must be in one zone.
	Zone      string
	SamePlace bool
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unusable("no free port: %v", err)
	}
	return l
}

func serve(h http.Handler) string {
	l := listen()
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// freeAddr returns an address that nothing listens on.
func freeAddr() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

var current *world

// unusable ends the run because the case can't run.
func unusable(format string, args ...any) {
	finish(2, "the case could not run: "+fmt.Sprintf(format, args...))
}

// finish ends all processes and exits.
func finish(status int, verdict string) {
	fmt.Println(verdict)
	if w := current; w != nil {
		w.log.add("verdict: %s", verdict)
		for _, n := range w.nodes {
			n.kill()
		}
		os.RemoveAll(w.dir)
	}
	os.Exit(status)
}

func newWorld(recordFile string) *world {
	file, err := os.Create(recordFile)
	if err != nil {
		unusable("%v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		unusable("%v", err)
	}
	w := &world{log: &record{file: file, start: time.Now()}, dir: dir, jobs: map[string]*jobSpec{}, zones: []string{"sundarban"}}
	current = w
	w.state = newStore(w.log)
	w.cloud = newCloud(w)
	for i := range 3 {
		name := fmt.Sprintf("perch-%d", i)
		w.nodes = append(w.nodes, &node{name: name, api: freeAddr(), mesh: freeAddr(), meshOf: map[string]string{},
			stateAddr: serve(w.state.handler(name)), cloudAddr: serve(w.cloud.handler(name))})
	}
	return w
}

var teams = []struct {
	name            string
	guaranteed, max float64
}{{"mooring", 24, 56}, {"telemetry", 48, 112}, {"forecast", 40, 144}, {"archive", 16, 40}, {"calibration", 40, 112}, {"portdesk", 48, 96}}

// settings returns the settings of a controller: those of the smaller deployment.
func (w *world) settings(n *node) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nlocation = %q\napi_addr = %q\nmesh_addr = %q\n", n.name, w.zones[0], n.api, n.mesh)
	for _, other := range w.nodes {
		if other != n {
			mesh := other.mesh
			if proxy := n.meshOf[other.name]; proxy != "" {
				mesh = proxy
			}
			fmt.Fprintf(&b, "[[siblings]]\nnode_name = %q\nlocation = %q\npeer_addr = %q\n", other.name, w.zones[0], mesh)
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", n.cloudAddr, n.stateAddr)
	zones, _ := json.Marshal(w.zones)
	fmt.Fprintf(&b, "[settings]\ncount = 3\nzones = %s\nskew_ms = 1000.0\n", zones)
	for _, t := range teams {
		fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.guaranteed, t.max)
	}
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n", reportS, leaseS, cancelS)
	fmt.Fprintf(&b, "[settings.state]\nrps = 150.0\nwrite_rps = 60.0\nvalue_kb = 8.0\ntxn_ops = 32\n")
	fmt.Fprintf(&b, "[settings.cloud]\nrps = 1.5\nlist_lag_s = 12.0\n")
	fmt.Fprintf(&b, "[settings.limits]\ncpu_share = 0.24\nmem_mb = 125.0\nmax_sockets = 1500\n")
	return b.String()
}

// start starts a controller with the run line of the deploy file.
func (w *world) start(n *node) {
	n.config = filepath.Join(w.dir, n.name+".toml")
	if err := os.WriteFile(n.config, []byte(w.settings(n)), 0o600); err != nil {
		unusable("%v", err)
	}
	line := runLine()
	n.process = exec.Command(line[0], append(line[1:], n.config)...)
	n.process.Stderr = &logLines{w: w, node: n.name}
	if err := n.process.Start(); err != nil {
		unusable("%v", err)
	}
	w.log.add("test: %s started", n.name)
	n.done = make(chan struct{})
	go func(p *exec.Cmd, done chan struct{}) {
		err := p.Wait()
		w.log.add("test: process of %s ended: %v", n.name, err)
		close(done)
	}(n.process, n.done)
}

// runLine returns the run line of the deploy file.
func runLine() []string {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		unusable("deploy/service.toml can't be read")
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	unusable("deploy/service.toml has no run line")
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.process.Process.Signal(s) }

func (n *node) kill() {
	if n.process == nil || n.process.Process == nil {
		return
	}
	_ = n.process.Process.Kill()
	<-n.done
}

// logLines copies the log lines of a controller to the record.
type logLines struct {
	w    *world
	node string
	rest string
}

func (l *logLines) Write(p []byte) (int, error) {
	lines := strings.Split(l.rest+string(p), "\n")
	l.rest = lines[len(lines)-1]
	for _, line := range lines[:len(lines)-1] {
		if _, after, ok := strings.Cut(line, " level="); ok {
			line = "level=" + after
		}
		if !strings.Contains(line, "msg=counters") {
			l.w.log.add("log of %s: %s", l.node, line)
		}
	}
	return len(p), nil
}

func (w *world) job(id string) *jobSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// submit sends a submission to the given controllers, one after the other, until one accepts it.
func (w *world) submit(j *jobSpec, nodes ...*node) {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	shape := "batch"
	if j.Service {
		shape = "daemon"
	}
	var zone any
	if j.Zone != "" {
		zone = j.Zone
	}
	body, _ := json.Marshal(object{"nameId": j.ID, "flock": j.Class, "crew": j.Team, "shape": shape, "rank": j.Rank, "eggs": j.Tasks,
		"cpus": j.CPUs, "cards": 0.0, "ramGb": j.RAM, "plumage": j.Image, "imageGb": j.ImageGB, "hulls": nil, "shore": zone, "samePlace": j.SamePlace,
		"spread": false, "driftwood": false, "reckonS": j.run.Seconds(), "moultS": 0.0, "stowS": 0.0, "dueS": nil})
	for try := range 20 {
		n := nodes[try%len(nodes)]
		status, answer := w.user(n, http.MethodPost, "/v1/jobs", body)
		if status == 200 || status == 201 {
			return
		}
		if status == 400 || status == 422 {
			unusable("submission refused: %s", answer)
		}
		time.Sleep(time.Second)
	}
	unusable("submission of %s not accepted", j.ID)
}

// user sends a user's request to a controller.
func (w *world) user(n *node, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, answer := request(ctx, method, "http://"+n.api+path, body)
	w.log.add("user: %s %s at %s: %d %s", method, path, n.name, status, shorten([]byte(answer)))
	return status, answer
}

// waitFor waits until a condition holds and reports whether it did.
func waitFor(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// startAll starts all controllers and waits until each key has a holder.
func (w *world) startAll() {
	for _, n := range w.nodes {
		w.start(n)
	}
	if !waitFor(20*time.Second, func() bool {
		for _, key := range []string{"e/leader", "e/part/0", "e/part/1", "e/part/2"} {
			if name, _ := w.state.holder(key); name == "" {
				return false
			}
		}
		return true
	}) {
		unusable("the controllers did not take their keys")
	}
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// others returns the controllers but one.
func (w *world) others(n *node) []*node {
	var list []*node
	for _, other := range w.nodes {
		if other != n {
			list = append(list, other)
		}
	}
	return list
}
