package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// This file is the stand-in for the workers (PROTOCOL, "Workers -> controller nodes" and
// "Controller nodes -> workers").

// Job is a submission, with what its user alone knows: how long its tasks really run.
type Job struct {
	NameID    string   `json:"nameId"`
	Flock     string   `json:"flock"`
	Crew      string   `json:"crew"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Eggs      int      `json:"eggs"`
	CPUs      float64  `json:"cpus"`
	Cards     float64  `json:"cards"`
	RAMGb     float64  `json:"ramGb"`
	Plumage   string   `json:"plumage"`
	ImageGb   float64  `json:"imageGb"`
	Hulls     []string `json:"hulls"`
	Shore     *string  `json:"shore"`
	SamePlace bool     `json:"samePlace"`
	Spread    bool     `json:"spread"`
	Driftwood bool     `json:"driftwood"`
	ReckonS   float64  `json:"reckonS"`
	MoultS    float64  `json:"moultS"`
	StowS     float64  `json:"stowS"`
	DueS      *float64 `json:"dueS"`

	RunS float64 `json:"-"`
}

// egg is a task on a machine.
type egg struct {
	Name   string `json:"egg"`
	Launch uint64 `json:"launch"`
	Tide   string `json:"tide"`
	Cause  string `json:"cause,omitempty"`
	Kept   bool   `json:"kept,omitempty"`

	job   *Job
	since time.Time // since when it has been in its state
	id    uint64
}

// onMachine reports whether the task has its image and has not exited.
func (e *egg) onMachine() bool { return e.Tide == "running" || e.Tide == "flushing" }

// Fleet holds what all workers share: the uploaded jobs, the results and where each task is.
type Fleet struct {
	site *Site
	log  *Log

	mu      sync.Mutex
	jobs    map[string]*Job
	results map[string]bool      // tasks that completed
	where   map[string][]*Worker // on which machines a task is
	starts  map[string][]time.Time
	workers []*Worker
	// nodes are the controllers' names and addresses.
	names, addrs []string
	// broken collects the rules that were broken.
	broken []string
	eggs   uint64
	// checkStart is a case's check of each start of a task. It is called with mu held.
	checkStart func(w *Worker, e *egg)
}

func newFleet(site *Site, log *Log) *Fleet {
	return &Fleet{site: site, log: log, jobs: map[string]*Job{}, results: map[string]bool{}, where: map[string][]*Worker{}, starts: map[string][]time.Time{}}
}

func (f *Fleet) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	f.log.printf("BROKEN %s", text)
	f.broken = append(f.broken, text)
}

func (f *Fleet) upload(j *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.NameID] = j
}

// running returns how many tasks of a job are on machines.
func (f *Fleet) running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, at := range f.where {
		if strings.HasPrefix(task, job+"/") {
			n += len(at)
		}
	}
	return n
}

// completed returns how many tasks of a job have completed.
func (f *Fleet) completed(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task := range f.results {
		if strings.HasPrefix(task, job+"/") {
			n++
		}
	}
	return n
}

// runsFor reports whether a task has been on its machine for a while.
func (f *Fleet) runsFor(task string, d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := f.starts[task]
	return len(f.where[task]) == 1 && time.Since(starts[len(starts)-1]) > d
}

func (f *Fleet) violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// Worker is a machine with its worker.
type Worker struct {
	fleet *Fleet
	name  string
	addr  string
	hull  string
	shore string
	spot  bool
	size  *MachineType

	listener net.Listener
	client   *http.Client
	wake     chan struct{}
	gone     chan struct{}

	mu        sync.Mutex
	up        bool
	ended     bool
	watch     uint64
	tally     uint64
	baton     uint64
	renewedAt time.Time // when the last answered report was sent, or the session began
	eggs      map[string]*egg
	images    map[string]time.Time // when the image is complete
	node      int
	// faultySince is the time from which the machine fails every task that it starts; zero if it does not.
	faultySince time.Time
}

// add adds a machine that boots for a while.
func (f *Fleet) add(m *rental, t *MachineType, boot time.Duration) *Worker {
	listener := listen()
	w := &Worker{fleet: f, name: m.name, addr: listener.Addr().String(), hull: m.hull, shore: m.shore, spot: m.spot, size: t, listener: listener,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, wake: make(chan struct{}, 1), gone: make(chan struct{}),
		watch: 1, eggs: map[string]*egg{}, images: map[string]time.Time{}, node: rand.IntN(len(f.names))}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go func() {
		select {
		case <-time.After(boot):
		case <-w.gone:
			return
		}
		w.mu.Lock()
		w.up, w.renewedAt = true, time.Now()
		w.mu.Unlock()
		f.log.printf("worker %s: up, %s in %s, address %s", w.name, w.hull, w.shore, w.addr)
		go func() { _ = http.Serve(listener, w) }()
		go w.live()
		w.report()
	}()
	return w
}

func (w *Worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// end ends the machine with all that is on it.
func (w *Worker) end(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	w.fleet.log.printf("worker %s: gone, %s", w.name, why)
	w.dropEggs("the machine is gone")
	close(w.gone)
	_ = w.listener.Close()
}

func (w *Worker) dropEggs(why string) {
	for _, e := range w.eggs {
		if e.onMachine() {
			w.off(e, why)
		}
	}
	w.eggs = map[string]*egg{}
}

// on and off record that a task is on the machine from now on, or no longer.
func (w *Worker) on(e *egg) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.printf("worker %s: %s launch %d starts", w.name, e.Name, e.Launch)
	for _, other := range f.where[e.Name] {
		f.breaks("ran_twice", "%s launch %d starts on %s while it is on %s", e.Name, e.Launch, w.name, other.name)
	}
	f.where[e.Name] = append(f.where[e.Name], w)
	f.starts[e.Name] = append(f.starts[e.Name], time.Now())
	if f.checkStart != nil {
		f.checkStart(w, e)
	}
}

func (w *Worker) off(e *egg, why string) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.printf("worker %s: %s launch %d is off the machine: %s", w.name, e.Name, e.Launch, why)
	var rest []*Worker
	for _, other := range f.where[e.Name] {
		if other != w {
			rest = append(rest, other)
		}
	}
	if len(rest) == 0 {
		delete(f.where, e.Name)
	} else {
		f.where[e.Name] = rest
	}
}

func (w *Worker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// live ends the lease and lets the tasks go on.
func (w *Worker) live() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		w.advance()
		w.mu.Unlock()
	}
}

func (w *Worker) advance() {
	now := time.Now()
	if now.Sub(w.renewedAt) > seconds(w.fleet.site.LeaseS) {
		w.fleet.log.printf("worker %s: its lease is over, session %d begins", w.name, w.watch+1)
		w.dropEggs("the lease is over")
		w.watch, w.renewedAt = w.watch+1, now
		w.changed()
	}
	for _, e := range w.eggs {
		switch e.Tide {
		case "fetching":
			if ready, ok := w.images[e.job.Plumage]; ok && now.After(ready) {
				e.Tide, e.since = "running", now
				w.on(e)
				w.changed()
			}
		case "running":
			switch {
			case w.fleet.isResult(e.Name):
				w.exit(e, "done")
			case !w.faultySince.IsZero() && e.since.After(w.faultySince) && now.Sub(e.since) > 100*time.Millisecond:
				w.exit(e, "error")
			case e.job.Shape == "batch" && now.Sub(e.since) > seconds(e.job.RunS):
				w.fleet.setResult(e.Name)
				w.exit(e, "done")
			}
		case "flushing":
			if now.Sub(e.since) > seconds(e.job.StowS) {
				e.Kept = true
				w.exit(e, "halted")
			}
		}
	}
}

// setFaulty makes the machine fail every task that it starts from now on.
func (w *Worker) setFaulty() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultySince = time.Now()
	w.fleet.log.printf("TROUBLE worker %s: fails every task that it starts from now on", w.name)
}

func (f *Fleet) isResult(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.results[task]
}

func (f *Fleet) setResult(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results[task] = true
}

func (w *Worker) exit(e *egg, cause string) {
	if e.onMachine() {
		w.off(e, cause)
	}
	e.Tide, e.Cause, e.since = "ended", cause, time.Now()
	w.changed()
}

type call struct {
	Call   string  `json:"call"`
	Egg    string  `json:"egg"`
	Launch uint64  `json:"launch"`
	SlackS float64 `json:"slackS"`
}

// execute executes commands in order.
func (w *Worker) execute(calls []call, how string) {
	for _, c := range calls {
		w.fleet.log.printf("worker %s: command %s %s launch %d (%s)", w.name, c.Call, c.Egg, c.Launch, how)
		key := fmt.Sprintf("%s#%d", c.Egg, c.Launch)
		e := w.eggs[key]
		switch c.Call {
		case "start":
			if e == nil {
				w.eggs[key] = w.start(c)
				w.changed()
			}
		case "stop":
			if e == nil || e.Tide == "ended" {
				continue
			}
			switch {
			case e.Tide == "running" && e.job.MoultS > 0 && c.SlackS >= e.job.StowS:
				e.Tide, e.since = "flushing", time.Now()
				w.changed()
			case e.Tide == "flushing" && c.SlackS > 0:
			default:
				w.exit(e, "halted")
			}
		case "reap":
			if e != nil && e.Tide == "ended" {
				delete(w.eggs, key)
				w.changed()
			}
		}
	}
}

// start returns the task of a start command, which may be refused.
func (w *Worker) start(c call) *egg {
	f := w.fleet
	f.mu.Lock()
	job := f.jobs[strings.Split(c.Egg, "/")[0]]
	f.eggs++
	id := f.eggs
	f.mu.Unlock()
	e := &egg{Name: c.Egg, Launch: c.Launch, Tide: "ended", job: job, since: time.Now(), id: id}
	if job == nil {
		e.Cause = "no_such"
		return e
	}
	cpus, ram := job.CPUs, job.RAMGb
	for _, other := range w.eggs {
		if other.Tide == "ended" {
			continue
		}
		if other.Name == c.Egg {
			e.Cause = "in_use"
			return e
		}
		cpus, ram = cpus+other.job.CPUs, ram+other.job.RAMGb
	}
	if cpus > w.size.CPUs+1e-6 || ram > w.size.RAMGb+1e-6 {
		f.log.printf("worker %s: %s launch %d refused, no room", w.name, c.Egg, c.Launch)
		e.Cause = "no_room"
		return e
	}
	e.Tide = "fetching"
	if _, ok := w.images[job.Plumage]; !ok {
		w.images[job.Plumage] = time.Now().Add(seconds(job.ImageGb / w.size.PullGbPerS))
	}
	return e
}

// body returns the worker's report. The caller holds w.mu.
func (w *Worker) body() []byte {
	w.tally++
	eggs := []*egg{}
	for _, e := range w.eggs {
		eggs = append(eggs, e)
	}
	sort.Slice(eggs, func(i, j int) bool { return eggs[i].id < eggs[j].id })
	raw, _ := json.Marshal(map[string]any{"perch": w.name, "addr": w.addr, "hull": w.hull, "shore": w.shore, "driftwood": w.spot,
		"watch": w.watch, "tally": w.tally, "baton": w.baton, "warningS": nil, "eggs": eggs})
	return raw
}

// report sends reports until the machine is gone.
func (w *Worker) report() {
	site := w.fleet.site
	var sent time.Time
	var tokenReported time.Time
	for {
		delay := seconds(site.ReportS * (0.75 + 0.5*rand.Float64()))
		if wait := time.Until(sent.Add(delay)); wait > 0 {
			select {
			case <-time.After(wait):
			case <-w.wake:
				if wait := time.Until(sent.Add(500 * time.Millisecond)); wait > 0 {
					time.Sleep(wait)
				}
			case <-w.gone:
				return
			}
		}
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		raw, session, node := w.body(), w.watch, w.node
		w.mu.Unlock()
		sent = time.Now()
		name := w.fleet.names[node]
		status, body := request(w.client, http.MethodPost, "http://"+w.fleet.addrs[node]+"/v1/report", raw, 4*time.Second)
		w.mu.Lock()
		next := false
		var a struct {
			Baton   *uint64 `json:"baton"`
			Calls   []call  `json:"calls"`
			Harbour string  `json:"harbour"`
		}
		switch {
		case w.ended || status == 0:
			next = true
		case status == 200 && json.Unmarshal(body, &a) == nil:
			if session == w.watch && a.Baton != nil && *a.Baton >= w.baton {
				if *a.Baton > w.baton {
					w.baton = *a.Baton
					if time.Since(tokenReported) > seconds(site.LeaseS/2) {
						tokenReported = time.Now()
						w.changed()
					}
				}
				w.renewedAt = sent
				w.execute(a.Calls, "answer of "+name)
			}
		case status == 421 && json.Unmarshal(body, &a) == nil:
			to := -1
			for i, n := range w.fleet.names {
				if n == a.Harbour && i != node {
					to = i
				}
			}
			if to < 0 {
				next = true
				break
			}
			w.node = to
			w.changed()
		default:
			next = true
		}
		if next {
			w.node = (w.node + 1) % len(w.fleet.names)
			w.mu.Unlock()
			w.client.CloseIdleConnections()
			select {
			case <-time.After(time.Second):
			case <-w.gone:
				return
			}
			w.changed()
			continue
		}
		w.mu.Unlock()
	}
}

// ServeHTTP answers direct commands.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, 70<<10))
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.advance()
	status := 200
	if r.URL.Path == "/do" {
		var q struct {
			Baton *uint64 `json:"baton"`
			Watch *uint64 `json:"watch"`
			Calls []call  `json:"calls"`
		}
		if json.Unmarshal(raw, &q) != nil || q.Baton == nil || q.Watch == nil {
			rw.WriteHeader(400)
			return
		}
		if *q.Baton < w.baton || *q.Watch != w.watch {
			status = 409
		} else {
			if *q.Baton > w.baton {
				w.baton = *q.Baton
				w.changed()
			}
			w.execute(q.Calls, "direct")
		}
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(w.body())
}

// request sends a request and returns the status and the body; the status is 0 without an answer.
func request(client *http.Client, method, url string, body []byte, timeout time.Duration) (int, []byte) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	c := *client
	c.Timeout = timeout
	a, err := c.Do(q)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, raw
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
