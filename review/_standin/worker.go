package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	reportS = 3.0
	leaseS  = 24.0
	cancelS = 54.0
)

// worker is a stand-in for a machine's agent.
type worker struct {
	w      *world
	name   string
	kind   string
	zone   string
	isSpot bool
	addr   string
	server *http.Server

	mu       sync.Mutex
	dead     bool
	silent   bool // the machine has stopped: connections to it hang
	session  uint64
	tally    uint64
	token    uint64
	answered time.Time // when the last answered report was sent
	tasks    []*task
	images   map[string]bool
	wake     chan struct{}
	direct   []*directCommand // that were carried out
}

// directCommand is a direct command as it arrived.
type directCommand struct {
	at    time.Time
	body  []byte
	calls []command
}

func (d *directCommand) starts(task string) bool {
	for _, c := range d.calls {
		if c.Call == "start" && c.Egg == task {
			return true
		}
	}
	return false
}

// commands returns the direct commands that were carried out.
func (a *worker) commands() []*directCommand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*directCommand(nil), a.direct...)
}

// holds returns the number of tasks that the worker holds, exited ones included.
func (a *worker) holds() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tasks)
}

type task struct {
	job     *jobSpec
	number  int
	attempt uint64
	state   string
	cause   string
	timer   *time.Timer
}

func (t *task) name() string { return fmt.Sprintf("%s/%d", t.job.ID, t.number) }

func newWorker(w *world, name, kind, zone string, isSpot bool) *worker {
	a := &worker{w: w, name: name, kind: kind, zone: zone, isSpot: isSpot, session: 1, images: map[string]bool{}, wake: make(chan struct{}, 1)}
	listener := listen()
	a.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/do", a.do)
	mux.HandleFunc("/inspect", func(rw http.ResponseWriter, r *http.Request) {
		a.hang(r)
		a.mu.Lock()
		defer a.mu.Unlock()
		reply(rw, 200, a.report())
	})
	a.server = &http.Server{Handler: mux}
	go a.serve(listener)
	return a
}

func (a *worker) serve(l net.Listener) { _ = a.server.Serve(l) }

// start begins to report.
func (a *worker) start() {
	a.mu.Lock()
	a.answered = time.Now()
	a.mu.Unlock()
	a.w.log.add("worker %s: up", a.name)
	go a.reportLoop()
}

// die ends the machine with all that is on it.
func (a *worker) die() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dead = true
	for _, t := range a.tasks {
		if t.state != "ended" {
			a.w.log.add("worker %s: %s launch %d is gone with the machine (was %s)", a.name, t.name(), t.attempt, t.state)
			a.leave(t)
			t.timer.Stop()
		}
	}
	go a.server.Close()
}

// stop stops the machine with all that is on it. Connections to it hang from then on.
func (a *worker) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dead, a.silent = true, true
	for _, t := range a.tasks {
		if t.state != "ended" {
			a.w.log.add("worker %s: %s launch %d is gone, the machine has stopped (was %s)", a.name, t.name(), t.attempt, t.state)
			t.timer.Stop()
			a.leave(t)
		}
	}
	a.tasks = nil
}

// hang waits until the sender gives up if the machine has stopped.
func (a *worker) hang(r *http.Request) {
	a.mu.Lock()
	silent := a.silent
	a.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
}

// report returns the current report. The caller holds the lock.
func (a *worker) report() object {
	a.tally++
	eggs := []object{}
	for _, t := range a.tasks {
		egg := object{"egg": t.name(), "launch": t.attempt, "tide": t.state}
		if t.cause != "" {
			egg["cause"] = t.cause
		}
		eggs = append(eggs, egg)
	}
	return object{"perch": a.name, "addr": a.addr, "hull": a.kind, "shore": a.zone, "driftwood": a.isSpot, "watch": a.session,
		"tally": a.tally, "baton": a.token, "warningS": nil, "eggs": eggs}
}

func (a *worker) change() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *worker) reportLoop() {
	node := rand.IntN(len(a.w.nodes))
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for {
		a.mu.Lock()
		if a.dead {
			a.mu.Unlock()
			return
		}
		a.checkLease()
		session, sent := a.session, time.Now()
		body, _ := json.Marshal(a.report())
		a.mu.Unlock()
		next, wait := a.send(client, node, session, sent, body)
		node = next
		a.pause(sent, wait)
	}
}

// send sends a report and returns the node for the next one and the time until then; 0 means the
// usual interval.
func (a *worker) send(client *http.Client, node int, session uint64, sent time.Time, body []byte) (int, time.Duration) {
	following := (node + 1) % len(a.w.nodes)
	response, err := client.Post("http://"+a.w.nodes[node].api+"/v1/report", "application/json", bytes.NewReader(body))
	if err != nil {
		return following, time.Second
	}
	raw, err := io.ReadAll(response.Body)
	response.Body.Close()
	var answer struct {
		Baton   uint64    `json:"baton"`
		Harbour string    `json:"harbour"`
		Calls   []command `json:"calls"`
	}
	if err != nil || json.Unmarshal(raw, &answer) != nil {
		return following, time.Second
	}
	switch response.StatusCode {
	case 200:
		a.mu.Lock()
		defer a.mu.Unlock()
		if answer.Baton < a.token || session != a.session || a.dead {
			return node, 0
		}
		a.token, a.answered = answer.Baton, sent
		a.execute(answer.Calls, "answer of "+a.w.nodes[node].name)
		return node, 0
	case 421:
		for i, n := range a.w.nodes {
			if n.name == answer.Harbour && i != node {
				client.CloseIdleConnections()
				return i, 50 * time.Millisecond
			}
		}
	}
	return following, time.Second
}

func (a *worker) pause(sent time.Time, wait time.Duration) {
	if wait > 0 {
		time.Sleep(wait)
		return
	}
	interval := time.Duration(reportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
	select {
	case <-time.After(interval):
	case <-a.wake:
		if left := 500*time.Millisecond - time.Since(sent); left > 0 {
			time.Sleep(left)
		}
	}
}

// checkLease ends the session if the lease is over. The caller holds the lock.
func (a *worker) checkLease() {
	if time.Since(a.answered) <= time.Duration(leaseS*float64(time.Second)) {
		return
	}
	a.w.log.add("worker %s: lease is over, session %d begins", a.name, a.session+1)
	for _, t := range a.tasks {
		t.timer.Stop()
		a.leave(t)
	}
	a.tasks, a.session, a.answered = nil, a.session+1, time.Now()
}

type command struct {
	Call   string   `json:"call"`
	Egg    string   `json:"egg"`
	Launch uint64   `json:"launch"`
	SlackS *float64 `json:"slackS"`
}

func (a *worker) do(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Baton *uint64   `json:"baton"`
		Watch *uint64   `json:"watch"`
		Calls []command `json:"calls"`
	}
	raw, _ := io.ReadAll(r.Body)
	a.hang(r)
	if json.Unmarshal(raw, &body) != nil || body.Baton == nil || body.Watch == nil {
		reply(rw, 400, object{"error": "malformed"})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dead {
		return
	}
	if *body.Baton < a.token || *body.Watch != a.session {
		reply(rw, 409, a.report())
		return
	}
	if *body.Baton > a.token {
		a.token = *body.Baton
		a.change()
	}
	a.direct = append(a.direct, &directCommand{time.Now(), raw, body.Calls})
	a.execute(body.Calls, "direct command")
	reply(rw, 200, a.report())
}

// execute executes commands. The caller holds the lock.
func (a *worker) execute(calls []command, from string) {
	for _, c := range calls {
		a.w.log.add("worker %s: %s %s launch %d, in %s with token %d", a.name, c.Call, c.Egg, c.Launch, from, a.token)
		var held *task
		for _, t := range a.tasks {
			if t.name() == c.Egg && t.attempt == c.Launch {
				held = t
			}
		}
		switch c.Call {
		case "start":
			if held == nil {
				a.startTask(c)
			}
		case "stop":
			if held != nil && held.state != "ended" {
				a.end(held, "halted")
			}
		case "reap":
			for i, t := range a.tasks {
				if t == held && t.state == "ended" {
					a.tasks = append(a.tasks[:i:i], a.tasks[i+1:]...)
					break
				}
			}
		}
	}
	if len(calls) > 0 {
		a.change()
	}
}

func (a *worker) startTask(c command) {
	var id string
	var number int
	if i := bytes.IndexByte([]byte(c.Egg), '/'); i > 0 {
		id = c.Egg[:i]
		_, _ = fmt.Sscan(c.Egg[i+1:], &number)
	}
	job := a.w.job(id)
	t := &task{job: job, number: number, attempt: c.Launch, timer: time.NewTimer(time.Hour)}
	if job == nil {
		t.job = &jobSpec{ID: id}
		t.state, t.cause = "ended", "no_such"
		a.tasks = append(a.tasks, t)
		return
	}
	cpus, ram := job.CPUs, job.RAM
	for _, other := range a.tasks {
		if other.name() == c.Egg {
			t.state, t.cause = "ended", "in_use"
		}
		if other.state != "ended" {
			cpus, ram = cpus+other.job.CPUs, ram+other.job.RAM
		}
	}
	size := machineTypes[a.kind]
	if t.cause == "" && (cpus > size.cpus+1e-9 || ram > size.ram+1e-9) {
		t.state, t.cause = "ended", "no_room"
	}
	a.tasks = append(a.tasks, t)
	if t.cause != "" {
		a.w.log.add("worker %s: %s launch %d refused, %s", a.name, c.Egg, c.Launch, t.cause)
		return
	}
	t.state = "fetching"
	fetch := time.Duration(0)
	if !a.images[job.Image] {
		fetch = time.Duration(job.ImageGB / size.pull * float64(time.Second))
	}
	t.timer = time.AfterFunc(fetch, func() { a.run(t) })
}

func (a *worker) run(t *task) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dead || t.state != "fetching" {
		return
	}
	a.images[t.job.Image] = true
	t.state = "running"
	a.w.place(t.name(), a.name, true)
	a.w.log.add("worker %s: %s launch %d runs", a.name, t.name(), t.attempt)
	if !t.job.Service {
		t.timer = time.AfterFunc(t.job.run, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			if !a.dead && t.state == "running" {
				a.end(t, "done")
			}
		})
	}
	a.change()
}

// leave records that a task is no longer on the machine, if it was.
func (a *worker) leave(t *task) {
	if t.state == "running" {
		a.w.place(t.name(), a.name, false)
	}
}

// finish completes the tasks of a job.
func (a *worker) finish(j *jobSpec) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.tasks {
		if t.job == j && t.state == "running" && !a.dead {
			a.end(t, "done")
		}
	}
}

func (a *worker) end(t *task, cause string) {
	t.timer.Stop()
	a.leave(t)
	t.state, t.cause = "ended", cause
	a.w.log.add("worker %s: %s launch %d ended, %s", a.name, t.name(), t.attempt, cause)
	a.change()
}

// running returns the names of the tasks that run.
func (a *worker) running() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	for _, t := range a.tasks {
		if t.state == "running" && !a.dead {
			names = append(names, t.name())
		}
	}
	return names
}

// request sends a request and returns the status and the body.
func request(ctx context.Context, method, url string, body []byte) (int, string) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "no response"
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(raw)
}
