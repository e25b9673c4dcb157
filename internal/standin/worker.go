package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

type workerTask struct {
	name    string
	attempt uint64
	state   string
	why     string
	from    time.Time // of the present state
	spec    *wire.Job
}

// Worker is a stand-in for one machine's worker.
type Worker struct {
	mu      sync.Mutex
	w       *World
	m       wire.Instance
	typ     wire.MachineType
	session uint64
	seq     uint64
	token   uint64
	renewed time.Time
	tasks   map[string]*workerTask
	dead    bool
	up      bool
	node    int // index of the node it reports to
	// cut: nothing reaches it and nothing comes from it.
	cut bool
	// sick: every task fails.
	sick bool
	// deaf: it reports, but neither answers nor commands reach it.
	deaf bool
	// mute: it reaches no controller, while direct commands reach it.
	mute bool
	// hung: it does nothing, and goes on later if its lease still runs. Commands
	// that come meanwhile are executed then.
	hung   chan struct{}
	hungAt time.Time
	// drift is how much longer than nominal its lease is, by its clock and others'.
	drift float64
	net   *Net // by which it reaches the controllers
	// copies, if set, is handed each report as it is sent.
	copies func([]byte)
	last   []byte // its newest report
	// takenAt is when the cloud takes the machine, as its reports say; zero: no notice.
	takenAt time.Time
	// slowFetch is by how much the fetch of an image takes longer than usual.
	slowFetch time.Duration
	nudge     chan struct{}
}

func newWorker(w *World, m wire.Instance, t wire.MachineType) *Worker {
	k := &Worker{w: w, m: m, typ: t, session: 1, tasks: map[string]*workerTask{}, nudge: make(chan struct{}, 1), net: w.Net()}
	w.serve(m.Addr, k)
	go k.run()
	return k
}

// Name of the machine.
func (k *Worker) Name() string { return k.m.Name }

// Zone of the machine.
func (k *Worker) Zone() string { return k.m.Zone }

// Die ends the machine without a word.
func (k *Worker) Die() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead {
		return
	}
	if k.up {
		k.advance() // perhaps its lease was over already
	}
	k.dead = true
	k.drop(time.Now())
	k.w.Saw(Event{Kind: MachineGone, Machine: k.m.Name})
}

// sorted are the tasks by name: what happens at one time happens in the same order in
// every run; called with the lock held.
func (k *Worker) sorted() []*workerTask {
	names := slices.Sorted(maps.Keys(k.tasks))
	out := make([]*workerTask, len(names))
	for i, name := range names {
		out[i] = k.tasks[name]
	}
	return out
}

// drop ends all tasks; called with the lock held.
func (k *Worker) drop(at time.Time) {
	for _, t := range k.sorted() {
		if t.state != wire.Exited {
			k.w.off(k, t, at)
			if t.spec.Gang {
				k.w.leave(t)
			}
		}
	}
	k.tasks = map[string]*workerTask{}
}

// SetMute has the machine reach no controller while direct commands reach it.
func (k *Worker) SetMute(mute bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mute = mute
}

// SetDrift makes the machine's lease longer by a fraction, as a slow clock does.
func (k *Worker) SetDrift(drift float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drift = drift
}

// SetHung has the machine stand still, or go on.
func (k *Worker) SetHung(hung bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case hung && k.hung == nil:
		k.advance()
		k.hung, k.hungAt = make(chan struct{}), time.Now()
		k.w.gangsHang(k.tasks, true)
	case !hung && k.hung != nil:
		close(k.hung)
		k.hung = nil
		k.w.gangsHang(k.tasks, false)
		for _, t := range k.tasks {
			t.from = t.from.Add(time.Since(k.hungAt)) // they stood still as well
		}
		k.advance()
	}
}

// wait for a machine that hangs to go on; called with the lock held.
func (k *Worker) wait() bool {
	for k.hung != nil {
		hung := k.hung
		k.mu.Unlock()
		select {
		case <-hung:
		case <-k.w.ctx.Done():
		}
		k.mu.Lock()
		if k.w.ctx.Err() != nil {
			return false
		}
	}
	return true
}

// Net is how the machine reaches the controllers.
func (k *Worker) Net() *Net { return k.net }

// Addr is where it takes direct commands.
func (k *Worker) Addr() string { return k.m.Addr }

// OnReport has f handed each report as it is sent; nil: nobody.
func (k *Worker) OnReport(f func([]byte)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.copies = f
}

// SetCut cuts the machine off, or joins it again.
func (k *Worker) SetCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
}

// SetSick has every task fail.
func (k *Worker) SetSick(sick bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sick = sick
}

// SetNotice has the cloud take the machine after a while, which its reports tell.
func (k *Worker) SetNotice(after time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.takenAt = time.Now().Add(after)
	time.AfterFunc(after, k.Die)
	k.changed()
}

// SetSlowFetch has the machine take longer for images.
func (k *Worker) SetSlowFetch(by time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slowFetch = by
}

// StateOf is the state of a task's newest attempt on the machine; "": it is not there.
func (k *Worker) StateOf(task string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.tasks[task]; t != nil && !k.dead {
		return t.state
	}
	return ""
}

// SetDeaf has the machine's reports arrive while nothing reaches it.
func (k *Worker) SetDeaf(deaf bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.deaf = deaf
}

// Restart ends the machine with all its tasks and has it back at once, in a new
// session.
func (k *Worker) Restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drop(time.Now())
	k.session++
	k.seq, k.renewed = 0, time.Now()
	k.changed()
}

// LastReport is the newest report as it was sent, for copies that come late.
func (k *Worker) LastReport() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.last
}

func (k *Worker) running() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.up && !k.dead
}

func (k *Worker) run() {
	select {
	case <-time.After(time.Duration(k.typ.BootS * float64(time.Second))):
	case <-k.w.ctx.Done():
		return
	}
	k.mu.Lock()
	if !k.dead {
		k.up, k.renewed = true, time.Now()
		k.w.Saw(Event{Kind: MachineUp, Machine: k.m.Name, Type: k.m.Type, Zone: k.m.Zone, Spot: k.m.Spot, Size: scheduling.NewResources(k.typ.CPUs, k.typ.GPUs, k.typ.RAM)})
	}
	k.mu.Unlock()
	last := time.Time{}
	for {
		k.mu.Lock()
		if !k.wait() || k.dead {
			k.mu.Unlock()
			return
		}
		k.advance()
		k.mu.Unlock()
		if k.w.ctx.Err() != nil {
			return
		}
		pause := time.Duration((k.w.ReportS + Draw(8, k.m.Name)/100) * float64(time.Second))
		select {
		case <-k.nudge:
			if wait := 500*time.Millisecond - time.Since(last); wait > 0 {
				time.Sleep(wait)
			}
		case <-time.After(pause):
		case <-k.w.ctx.Done():
			return
		}
		last = time.Now()
		k.report()
	}
}

func (k *Worker) changed() {
	select {
	case k.nudge <- struct{}{}:
	default:
	}
}

// advance moves tasks and the lease on to now; called with the lock held.
func (k *Worker) advance() {
	now := time.Now()
	if lease := time.Duration(k.w.LeaseS * (1 + k.drift) * float64(time.Second)); now.Sub(k.renewed) > lease {
		k.drop(k.renewed.Add(lease))
		k.session++
		k.seq, k.renewed = 0, now
		k.changed()
	}
	if k.hung != nil {
		return
	}
	for _, t := range k.sorted() {
		if t.state == wire.Fetching && now.Sub(t.from) >= time.Duration(t.spec.ImageGB*float64(time.Second))+k.slowFetch {
			t.state, t.from = wire.Running, now
			k.w.on(k, t)
			if t.spec.Gang {
				t.state = wire.Gathering
				k.w.gather(t)
			}
			k.changed()
		}
		if t.spec.Gang {
			k.advanceGang(t)
			continue
		}
		if t.state == wire.Running && !t.spec.Service && now.Sub(t.from) >= time.Duration(t.spec.EstimateS*float64(time.Second)) {
			why := wire.ReasonDone
			if k.sick {
				why = wire.ReasonError
			}
			k.exit(t, why)
		}
		if t.state == wire.Saving && now.Sub(t.from) >= time.Duration(t.spec.SaveS*float64(time.Second)) {
			k.exit(t, wire.ReasonStopped)
		}
	}
}

// advanceGang moves a gang's task on; called with the lock held.
func (k *Worker) advanceGang(t *workerTask) {
	if t.state == wire.Fetching || t.state == wire.Exited {
		return
	}
	state, why := k.w.next(t)
	if state == wire.Running && k.sick {
		state, why = wire.Exited, wire.ReasonError
	}
	switch {
	case state == wire.Exited:
		k.exit(t, why)
	case state != t.state && t.state == wire.Gathering:
		t.state = state
		k.changed()
	}
}

func (k *Worker) exit(t *workerTask, why string) {
	k.w.off(k, t, time.Now())
	if t.spec.Gang {
		k.w.leave(t)
	}
	t.state, t.why, t.from = wire.Exited, why, time.Now()
	if why == wire.ReasonDone {
		k.w.finished(t)
	}
	k.changed()
}

func (k *Worker) snapshot() wire.Heartbeat {
	k.advance()
	k.seq++
	r := wire.Heartbeat{Machine: k.m.Name, Addr: k.m.Addr, Type: k.m.Type, Zone: k.m.Zone, Spot: k.m.Spot, Incarnation: k.session, Sequence: k.seq, Token: k.token,
		Tasks: []wire.TaskStatus{}}
	if !k.takenAt.IsZero() {
		left := max(0, time.Until(k.takenAt).Seconds())
		r.NoticeS = &left
	}
	for _, t := range k.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Reason: t.why})
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].Task < r.Tasks[j].Task })
	return r
}

func (k *Worker) report() {
	k.mu.Lock()
	if k.cut || k.dead || k.hung != nil {
		k.mu.Unlock()
		return
	}
	if k.mute { // it tries them in turn
		k.node++
		k.mu.Unlock()
		return
	}
	r := k.snapshot()
	sent := time.Now()
	node := k.w.nodes[k.node%len(k.w.nodes)]
	k.mu.Unlock()
	raw, _ := json.Marshal(r)
	k.mu.Lock()
	k.last = raw
	copies := k.copies
	k.mu.Unlock()
	if copies != nil {
		copies(raw)
	}
	ctx, cancel := context.WithTimeout(k.w.ctx, 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/report", bytes.NewReader(raw))
	resp, err := k.net.RoundTrip(req)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.wait() || k.dead || k.cut || ctx.Err() != nil {
		return
	}
	next := func() {
		k.node++
		k.mu.Unlock()
		time.Sleep(time.Second)
		k.mu.Lock()
		k.changed()
	}
	if err != nil || k.deaf {
		next()
		return
	}
	body, _ := io.ReadAll(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		var a wire.HeartbeatResponse
		if json.Unmarshal(body, &a) != nil || a.Token < k.token || r.Incarnation != k.session {
			return
		}
		if a.Token > k.token {
			k.token = a.Token
			k.changed()
		}
		if sent.After(k.renewed) {
			k.renewed = sent
		}
		k.execute(a.Commands)
	case http.StatusMisdirectedRequest:
		var a wire.Redirect
		_ = json.Unmarshal(body, &a)
		for i, n := range k.w.names {
			if n == a.Node && i != k.node%len(k.w.nodes) {
				k.node = i
				k.changed()
				return
			}
		}
		next()
	default:
		next()
	}
}

func (k *Worker) execute(cmds []wire.Command) {
	for _, c := range cmds {
		t := k.tasks[c.Task]
		switch c.Op {
		case wire.OpStart:
			if t != nil && t.attempt == c.Attempt {
				continue
			}
			if t != nil {
				k.w.breach("in_use: %s on %s", c.Task, k.m.Name)
				continue
			}
			id, _, _ := strings.Cut(c.Task, "/")
			t = &workerTask{name: c.Task, attempt: c.Attempt, state: wire.Fetching, from: time.Now(), spec: k.w.spec(id)}
			if t.spec == nil {
				k.w.breach("start of unknown job: %s", c.Task)
				continue
			}
			k.tasks[c.Task] = t
			k.w.held(k, t)
			k.changed()
		case wire.OpStop:
			if t == nil || t.attempt != c.Attempt || t.state == wire.Exited {
				continue
			}
			grace := 0.0
			if c.GraceS != nil {
				grace = *c.GraceS
			}
			switch {
			case t.state == wire.Running && t.spec.CheckpointS > 0 && grace >= t.spec.SaveS && (!t.spec.Gang || k.w.tell(t)):
				t.state, t.from = wire.Saving, time.Now()
				k.changed()
			case t.state != wire.Saving || grace == 0:
				k.exit(t, wire.ReasonStopped)
			}
		case wire.OpForget:
			if t != nil && t.attempt == c.Attempt && t.state == wire.Exited {
				delete(k.tasks, c.Task)
				k.changed()
			}
		}
	}
}

// ServeHTTP answers direct commands.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead || k.cut || k.deaf || !k.up {
		k.mu.Unlock()
		<-r.Context().Done()
		k.mu.Lock()
		return
	}
	if !k.wait() || k.dead {
		return
	}
	var d wire.CommandRequest
	_ = json.Unmarshal(body, &d)
	k.advance()
	if d.Token < k.token || d.Incarnation != k.session {
		reply(w, http.StatusConflict, k.snapshot())
		return
	}
	if d.Token > k.token {
		k.token = d.Token
		k.changed()
	}
	k.execute(d.Commands)
	reply(w, http.StatusOK, k.snapshot())
}
