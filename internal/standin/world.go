package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"eiderhitch/internal/wire"
)

// World is a network of stand-ins, with a referee who watches the rules.
type World struct {
	ReportS, LeaseS, CancelS float64

	ctx   context.Context
	names []string
	nodes []string // addresses of the controllers, by name's order
	net   *Net

	State *State
	Cloud *Cloud

	mu        sync.Mutex
	handlers  map[string]http.Handler
	jobs      map[string]*wire.Job
	cancelled map[string]time.Time
	running   map[string]*Worker // by task
	done      map[string]map[string]bool
	breaches  []string
	limits    map[string]float64
	starts    int
}

// NewWorld returns a world whose controllers have the given names and addresses.
func NewWorld(ctx context.Context, names, addrs []string, types []wire.MachineType) *World {
	w := &World{ReportS: 1, LeaseS: 10, CancelS: 35, ctx: ctx, names: names, nodes: addrs, State: NewState(),
		handlers: map[string]http.Handler{}, jobs: map[string]*wire.Job{}, cancelled: map[string]time.Time{}, running: map[string]*Worker{},
		done: map[string]map[string]bool{}, limits: map[string]float64{}}
	w.net = &Net{w: w}
	w.Cloud = &Cloud{world: w, types: types, answered: map[string][]string{}, Capacity: 20}
	w.serve("state:1", w.State)
	w.serve("cloud:1", w.Cloud)
	return w
}

func (w *World) serve(addr string, h http.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handlers[addr] = h
}

// Serve puts a handler at an address; nil takes it away.
func (w *World) Serve(addr string, h http.Handler) { w.serve(addr, h) }

// SetLimit tells the referee a team's limit of CPUs.
func (w *World) SetLimit(team string, cpus float64) { w.limits[team] = cpus }

// Submitted tells the referee (and the workers) of a job.
func (w *World) Submitted(j *wire.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = j
}

// Cancelled tells the referee that a user was told so.
func (w *World) Cancelled(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.cancelled[id]; !ok {
		w.cancelled[id] = time.Now()
	}
}

// ToldDone tells the referee that a user was told so.
func (w *World) ToldDone(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.done[id]); n != w.jobs[id].Tasks {
		w.breachLocked("not_done: %s has %d of %d tasks done", id, n, w.jobs[id].Tasks)
	}
}

// Breaches are the rules broken so far; it also looks for cancelled tasks that
// are still there.
func (w *World) Breaches() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.running {
		w.checkCancelled(t)
	}
	return append([]string(nil), w.breaches...)
}

// Starts counts the tasks started.
func (w *World) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
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
	return w.jobs[id]
}

func (w *World) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breachLocked(format, args...)
}

func (w *World) breachLocked(format string, args ...any) {
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

func (w *World) checkCancelled(task string) {
	id, _, _ := strings.Cut(task, "/")
	if at, ok := w.cancelled[id]; ok && time.Since(at) > time.Duration(w.CancelS*float64(time.Second)) {
		w.breachLocked("ran_cancelled: %s, %v after", task, time.Since(at))
	}
}

// on: a task is on a machine from now.
func (w *World) on(k *Worker, t *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	if o := w.running[t.name]; o != nil {
		w.breachLocked("ran_twice: %s on %s and %s", t.name, o.m.Name, k.m.Name)
	}
	w.running[t.name] = k
	w.checkCancelled(t.name)
	j := t.spec
	if k.m.Spot && !j.Spot || j.Zone != "" && j.Zone != k.m.Zone {
		w.breachLocked("wrong_place: %s on %s", t.name, k.m.Name)
	}
	if limit := w.limits[j.Team]; limit > 0 {
		used := 0.0
		for x := range w.running {
			id, _, _ := strings.Cut(x, "/")
			if w.jobs[id].Team == j.Team {
				used += w.jobs[id].CPUs
			}
		}
		if used > limit+1e-9 {
			w.breachLocked("quota: %s uses %g of %g", j.Team, used, limit)
		}
	}
	perZone := map[string]int{}
	id, _, _ := strings.Cut(t.name, "/")
	for x, o := range w.running {
		if strings.HasPrefix(x, id+"/") {
			perZone[o.m.Zone]++
		}
	}
	if j.OneZone && len(perZone) > 1 || j.Spread && perZone[k.m.Zone] > (j.Tasks+1)/2 {
		w.breachLocked("wrong_place: %s among %v", t.name, perZone)
	}
}

func (w *World) off(k *Worker, t *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[t.name] == k {
		w.checkCancelled(t.name)
		delete(w.running, t.name)
	}
}

func (w *World) finished(t *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := strings.Cut(t.name, "/")
	if w.done[id] == nil {
		w.done[id] = map[string]bool{}
	}
	w.done[id][t.name] = true
}

// Fate of a message.
type Fate int

// What a Net can do with a request.
const (
	Deliver Fate = iota
	Refuse       // at once
	Drop         // silence
	Late         // executed after LateBy; the caller has long given up
)

// Net carries requests to the stand-ins. Each controller has its own, so that
// it alone can be cut off.
type Net struct {
	w      *World
	mu     sync.Mutex
	judge  func(*http.Request) Fate
	LateBy time.Duration
}

// Net returns a network of its own for a controller.
func (w *World) Net() *Net { return &Net{w: w, LateBy: 5 * time.Second} }

// Judge sets what becomes of each request; nil: all are delivered.
func (n *Net) Judge(f func(*http.Request) Fate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.judge = f
}

// RoundTrip delivers a request.
func (n *Net) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	judge := n.judge
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
		late := n.LateBy
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
	select {
	case <-time.After(2 * time.Millisecond):
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
