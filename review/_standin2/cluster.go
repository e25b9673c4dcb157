package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Cluster is a small deployment: three controllers as processes of their own, and the stand-ins.
type Cluster struct {
	site  *Site
	log   *Log
	state *State
	cloud *Cloud
	fleet *Fleet
	dir   string
	run   []string

	names, api, mesh []string
	filters          []*filter
	processes        []*exec.Cmd
	logs             []*os.File
	users            *Users
}

// host is a loopback address of this run's own, so that the ports of other runs and of outgoing
// connections are not in the way.
var host = fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))

// lastPort is the last port of host that was given away. The ports lie below those of outgoing
// connections.
var lastPort atomic.Int32

// listen opens a listener on a port of host that was not given away before.
func listen() net.Listener {
	const firstPort, ports = 20000, 8000
	for lastPort.Load() < ports {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, firstPort+lastPort.Add(1)))
		if err == nil {
			return l
		}
	}
	fail(errors.New("no free port"))
	return nil
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

func serve(h http.Handler) string {
	l := listen()
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// filter is the way to a controller's mesh address. While it is closed, connections are refused.
type filter struct {
	to   string
	addr string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newFilter(to string) *filter {
	f := &filter{to: to, addr: freeAddr(), conns: map[net.Conn]bool{}}
	f.open()
	return f
}

func (f *filter) open() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		return
	}
	l, err := net.Listen("tcp", f.addr)
	if err != nil {
		fail(err)
	}
	f.listener = l
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", f.to)
			if err != nil {
				_ = in.Close()
				continue
			}
			f.mu.Lock()
			f.conns[in], f.conns[out] = true, true
			f.mu.Unlock()
			pipe := func(a, b net.Conn) {
				_, _ = io.Copy(a, b)
				_ = a.Close()
				_ = b.Close()
				f.mu.Lock()
				delete(f.conns, a)
				delete(f.conns, b)
				f.mu.Unlock()
			}
			go pipe(in, out)
			go pipe(out, in)
		}
	}()
}

// shut refuses connections from now on and resets the open ones.
func (f *filter) shut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener == nil {
		return
	}
	_ = f.listener.Close()
	f.listener = nil
	for c := range f.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// runLine returns the run line of the deploy file.
func runLine() []string {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		fail(err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(rest, "\" "))
		}
	}
	fail(fmt.Errorf("deploy/service.toml has no run line"))
	return nil
}

// newCluster prepares a deployment; start starts its controllers.
func newCluster(site *Site, recordPath string) *Cluster {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail(err)
	}
	log := newLog(recordPath)
	c := &Cluster{site: site, log: log, dir: dir, run: runLine(), processes: make([]*exec.Cmd, 3), logs: make([]*os.File, 3)}
	c.names = []string{"perch-0", "perch-1", "perch-2"}
	c.fleet = newFleet(site, log)
	c.state = newState(site, log)
	cloud := newCloud(site, log, c.fleet)
	c.cloud = cloud
	cloudAddr := serve(cloud)
	var peers []string
	for range c.names {
		c.api = append(c.api, freeAddr())
		c.mesh = append(c.mesh, freeAddr())
	}
	for i := range c.names {
		f := newFilter(c.mesh[i])
		c.filters = append(c.filters, f)
		peers = append(peers, f.addr)
	}
	c.fleet.names, c.fleet.addrs = c.names, c.api
	for i, name := range c.names {
		text := site.settings(i, c.names, c.api, c.mesh, peers, cloudAddr, serve(c.state.handler(name)))
		if err := os.WriteFile(c.path(i), []byte(text), 0o600); err != nil {
			fail(err)
		}
	}
	c.users = newUsers(c)
	return c
}

func (c *Cluster) path(i int) string { return filepath.Join(c.dir, c.names[i]+".toml") }

func (c *Cluster) start(i int) {
	if c.logs[i] == nil {
		path := filepath.Join(c.dir, c.names[i]+".log")
		if keep := os.Getenv("LOGS"); keep != "" {
			path = filepath.Join(keep, c.names[i]+".log")
		}
		file, err := os.Create(path)
		if err != nil {
			fail(err)
		}
		c.logs[i] = file
	}
	cmd := exec.Command(c.run[0], append(append([]string(nil), c.run[1:]...), c.path(i))...)
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = "info"
	}
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	cmd.Stderr = c.logs[i]
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail(err)
	}
	c.processes[i] = cmd
	c.log.printf("controller %s: started", c.names[i])
}

// kill kills a controller with no signal that it could handle.
func (c *Cluster) kill(i int) {
	if cmd := c.processes[i]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		c.processes[i] = nil
		c.log.printf("controller %s: killed", c.names[i])
	}
}

func (c *Cluster) startAll() {
	for i := range c.names {
		c.start(i)
	}
}

// stop ends all controllers and writes what is stored into the record. It returns the controllers that
// had ended by themselves.
func (c *Cluster) stop() (ended []string) {
	for i, cmd := range c.processes {
		if cmd != nil {
			var status syscall.WaitStatus
			if pid, err := syscall.Wait4(cmd.Process.Pid, &status, syscall.WNOHANG, nil); err != nil || pid != 0 {
				c.log.printf("controller %s ended by itself: %v", c.names[i], status)
				ended = append(ended, c.names[i])
				c.processes[i] = nil
				continue
			}
		}
		c.kill(i)
	}
	for _, line := range c.state.stored("e/") {
		c.log.printf("state at the end: %s", line)
	}
	_ = os.RemoveAll(c.dir)
	return ended
}

// await waits until a condition holds, and reports whether it did.
func (c *Cluster) await(what string, timeout time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			c.log.printf("seen: %s", what)
			return true
		}
	}
	c.log.printf("NOT seen within %v: %s", timeout, what)
	return false
}

// need ends the run as one that couldn't be made unless the condition holds in time.
func (c *Cluster) need(what string, timeout time.Duration, holds func() bool) {
	if !c.await(what, timeout, holds) {
		c.stop()
		fail(fmt.Errorf("%s: not within %v", what, timeout))
	}
}

// Users sends the users' requests through a stand-in of the load balancer.
type Users struct {
	c      *Cluster
	client *http.Client

	mu      sync.Mutex
	healthy []bool
	next    int
}

func newUsers(c *Cluster) *Users {
	u := &Users{c: c, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, healthy: make([]bool, len(c.names))}
	for i := range c.names {
		go u.probe(i)
	}
	return u
}

// probe asks a controller once a second whether it is ready.
func (u *Users) probe(i int) {
	failures := 0
	for {
		status, _ := request(u.client, http.MethodGet, "http://"+u.c.api[i]+"/ready", nil, time.Second)
		u.mu.Lock()
		if status == 200 {
			failures = 0
			u.healthy[i] = true
		} else if failures++; failures >= 2 {
			u.healthy[i] = false
		}
		u.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// pick returns a healthy controller, or -1.
func (u *Users) pick() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for range u.healthy {
		u.next = (u.next + 1) % len(u.healthy)
		if u.healthy[u.next] {
			return u.next
		}
	}
	return -1
}

func (u *Users) send(method, path string, body []byte, timeout time.Duration) (int, []byte) {
	i := u.pick()
	if i < 0 {
		return 0, nil
	}
	return u.sendTo(i, method, path, body, timeout)
}

func (u *Users) sendTo(i int, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	status, raw := request(u.client, method, "http://"+u.c.api[i]+path, body, timeout)
	u.c.log.printf("user: %s %s at %s -> %d %s", method, path, u.c.names[i], status, strings.TrimSpace(string(raw)))
	return status, raw
}

// submit submits a job as users do, and returns the last status.
func (u *Users) submit(j *Job) int {
	u.c.fleet.upload(j)
	raw, _ := json.Marshal(j)
	for begun := time.Now(); ; {
		status, _ := u.send(http.MethodPost, "/v1/jobs", raw, 5*time.Second)
		if status == 201 || status == 200 || status == 400 || status == 422 || time.Since(begun) > 60*time.Second {
			return status
		}
		time.Sleep(time.Second)
	}
}

// poll asks for a job's state. The answer is in the record.
func (u *Users) poll(id string) { u.send(http.MethodGet, "/v1/jobs/"+id, nil, 2*time.Second) }
