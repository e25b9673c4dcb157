package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// World is a network of stand-ins, with a referee who watches the rules.
type World struct {
	ReportS, LeaseS, CancelS, GangWaitS, GangPeerS float64

	// Listen, if set, is told of each handler and its address, to serve it outside of
	// this process as well.
	Listen func(addr string, h http.Handler)
	// MachineAddr, if set, is the address of the machine with a number.
	MachineAddr func(number int) string

	spread time.Duration // by which the time that messages take differs
	nets   uint64

	ctx   context.Context
	names []string
	nodes []string // addresses of the controllers, by name's order
	net   *Net

	State *State
	Cloud *Cloud

	mu       sync.Mutex
	handlers map[string]http.Handler
	specs    map[string]*wire.Job
	running  map[string]*Worker // by task
	done     map[string]map[string]bool
	breaches []string // that a worker sees for itself
	limits   map[string]scheduling.Resources
	trace    []Event
	quiet    time.Time
	starts   int
	gangs    map[string]*gang
	progress map[string]time.Duration // of gangs, saved
}

// NewWorld returns a world whose controllers have the given names and addresses.
func NewWorld(ctx context.Context, names, addrs []string, types []wire.MachineType) *World {
	w := &World{ReportS: 1, LeaseS: 10, CancelS: 35, GangWaitS: 12, GangPeerS: 4, spread: 500 * time.Microsecond, ctx: ctx, names: names, nodes: addrs, State: NewState(),
		handlers: map[string]http.Handler{}, specs: map[string]*wire.Job{}, running: map[string]*Worker{},
		done: map[string]map[string]bool{}, gangs: map[string]*gang{}, progress: map[string]time.Duration{}, limits: map[string]scheduling.Resources{}}
	w.net = w.Net()
	w.Cloud = &Cloud{world: w, types: types, answered: map[string][]string{}, capacity: 20}
	w.serve("state:1", w.State)
	w.serve("cloud:1", w.Cloud)
	return w
}

func (w *World) serve(addr string, h http.Handler) {
	if w.Listen != nil && h != nil {
		w.Listen(addr, h)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handlers[addr] = h
}

func (w *World) machineAddr(number int) string {
	if w.MachineAddr != nil {
		return w.MachineAddr(number)
	}
	return fmt.Sprintf("10.1.%d.%d:9000", number/250, number%250)
}

// Serve puts a handler at an address; nil takes it away.
func (w *World) Serve(addr string, h http.Handler) { w.serve(addr, h) }

// SetLimit tells the referee a team's limit of CPUs.
func (w *World) SetLimit(team string, cpus float64) {
	w.limits[team] = scheduling.NewResources(cpus, 0, 0)
}

// Upload gives the workers a job's description, as users do before they submit it.
func (w *World) Upload(j *wire.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[j.ID] = j
}

// Saw notes an event for the rule checker.
func (w *World) Saw(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.saw(e)
}

func (w *World) saw(e Event) {
	if e.At.IsZero() {
		e.At = time.Now()
	}
	w.trace = append(w.trace, e)
}

// SetQuiet says that all troubles are over from now on.
func (w *World) SetQuiet() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = time.Now()
}

// Breaches are the rules broken so far, by what was seen from outside.
func (w *World) Breaches() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	trace := append(slices.Clone(w.trace), Event{At: time.Now(), Kind: Ended})
	return append(slices.Clone(w.breaches), Check(trace, Rules{Cancel: time.Duration(w.CancelS * float64(time.Second)), Limits: w.limits, Quiet: w.quiet})...)
}

// Starts counts the tasks started.
func (w *World) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Accepted counts the starts of a job's tasks that workers have accepted so far.
func (w *World) Accepted(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i := range w.trace {
		if e := &w.trace[i]; e.Kind == TaskHeld && jobOf(e.Task) == id {
			n++
		}
	}
	return n
}

// States are the states of a job's tasks on their machines, each with how many have it.
func (w *World) States(id string) map[string]int {
	tasks := w.spec(id).Tasks
	out := map[string]int{}
	for _, k := range w.Cloud.Workers() {
		for n := range tasks {
			if s := k.StateOf(fmt.Sprint(id, "/", n)); s != "" {
				out[s]++
			}
		}
	}
	return out
}

// Running counts a job's tasks that are on machines.
func (w *World) Running(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for t := range w.running {
		if strings.HasPrefix(t, id+"/") {
			n++
		}
	}
	return n
}

// Finished counts a job's tasks that are done.
func (w *World) Finished(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.done[id])
}

func (w *World) spec(id string) *wire.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[id]
}

func (w *World) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

// held: a start was accepted.
func (w *World) held(k *Worker, t *workerTask) {
	w.Saw(Event{Kind: TaskHeld, Task: t.name, Machine: k.m.Name, Attempt: t.attempt})
}

// on: a task is on a machine from now.
func (w *World) on(k *Worker, t *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.running[t.name] = k
	w.saw(Event{Kind: TaskOn, Task: t.name, Machine: k.m.Name})
}

// off: it has left the machine.
func (w *World) off(k *Worker, t *workerTask, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.saw(Event{Kind: TaskOff, At: at, Task: t.name, Machine: k.m.Name})
	if w.running[t.name] == k {
		delete(w.running, t.name)
	}
}

func (w *World) finished(t *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishedLocked(t.name)
}

func (w *World) finishedLocked(task string) {
	id := jobOf(task)
	if w.done[id] == nil {
		w.done[id] = map[string]bool{}
	}
	w.done[id][task] = true
	w.saw(Event{Kind: TaskDone, Task: task})
}

// Fate of a message.
type Fate int

// What a Net can do with a request.
const (
	Deliver    Fate = iota
	Refuse          // at once
	Drop            // silence
	Late            // executed some time after; the caller has long given up
	Unanswered      // executed at once; only the answer is lost
	Slow            // executed some time after, and answered
)

// Net carries requests to the stand-ins. Each controller has its own, so that
// it alone can be cut off.
type Net struct {
	w      *World
	number uint64
	mu     sync.Mutex
	judge  func(*http.Request) Fate
	late   time.Duration // by which a message is late
	spread time.Duration // and how much more it may be
}

// Draw is a number from 0 to below 1 that follows from a seed, the present time and what
// it is for. Requests that are made at one time by several goroutines come in no order,
// so numbers drawn one after the other would go to other requests in each run.
func Draw(seed uint64, what string) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, seed, time.Now().UnixNano(), what)
	return rand.New(rand.NewPCG(seed, h.Sum64())).Float64()
}

// Net returns a network of its own for a controller.
func (w *World) Net() *Net {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nets++
	return &Net{w: w, number: w.nets, late: 5 * time.Second}
}

// SetLate sets by how much messages are late, and how much more they may be.
func (n *Net) SetLate(by, spread time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.late, n.spread = by, spread
}

// Judge sets what becomes of each request; nil: all are delivered.
func (n *Net) Judge(f func(*http.Request) Fate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.judge = f
}

// RoundTrip delivers a request.
func (n *Net) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	judge, late := n.judge, n.late
	if n.spread > 0 {
		late += time.Duration(Draw(n.number, "late"+r.URL.String()) * float64(n.spread))
	}
	n.mu.Unlock()
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
		r.Body.Close()
	}
	fate := Deliver
	if judge != nil {
		fate = judge(r)
	}
	run := func(ctx context.Context) *http.Response {
		n.w.mu.Lock()
		h := n.w.handlers[r.URL.Host]
		n.w.mu.Unlock()
		if h == nil {
			return nil
		}
		req := r.Clone(ctx)
		req.Body = io.NopCloser(bytes.NewReader(body))
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, req)
		if ctx.Err() != nil {
			return nil
		}
		return rec.Result()
	}
	switch fate {
	case Refuse:
		return nil, errors.New("standin: connection refused")
	case Drop:
		<-r.Context().Done()
		return nil, r.Context().Err()
	case Late:
		go func() {
			select {
			case <-time.After(late):
				run(n.w.ctx)
			case <-n.w.ctx.Done():
			}
		}()
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	// No two take the same time: what happens at different times has an order, which is
	// the same in every run.
	pass := 2*time.Millisecond + time.Duration(Draw(n.number, r.Method+r.URL.String()+string(body))*float64(n.w.spread))
	switch fate {
	case Unanswered:
		go run(n.w.ctx)
		<-r.Context().Done()
		return nil, r.Context().Err()
	case Slow:
		pass = late
	}
	select {
	case <-time.After(pass):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	out := make(chan *http.Response, 1)
	go func() { out <- run(r.Context()) }()
	select {
	case resp := <-out:
		if resp == nil {
			if r.Context().Err() != nil {
				return nil, r.Context().Err()
			}
			return nil, errors.New("standin: connection refused")
		}
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
