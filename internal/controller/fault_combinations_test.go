package controller

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// fault is one trouble of a meeting, as a value: what, when, for how long, and to whom.
type fault struct {
	at       float64 // seconds after the work has begun
	what     string
	who      int     // a controller; leading, all; or how many machines or jobs
	duration float64 // seconds
	part     float64 // share of what is affected
}

// Controllers by their role at the time.
const (
	leading = -1
	all     = -2
)

func (f fault) String() string {
	return fmt.Sprintf("{%.1f, %q, %d, %.1f, %.2f}", f.at, f.what, f.who, f.duration, f.part)
}

// scene is a cluster at work, to which faults happen.
type scene struct {
	*cluster
	seed   uint64
	rng    *rand.Rand
	judges []map[int]network.Policy // by controller, of the faults that last
	nextJ  int
	specs  map[string]map[string]any
	ids    []string // jobs that were tried
	lasts  map[string]bool
	called map[string]bool // cancellation was asked for
	kept   map[string][]byte
	scarce bool // there are too few machines for all
}

// isState, isWorker and so on tell where a request goes.
func isState(r *http.Request) bool  { return r.URL.Host == "state:1" }
func isTxn(r *http.Request) bool    { return isState(r) && r.URL.Path == "/txn" }
func isWorker(r *http.Request) bool { return strings.HasPrefix(r.URL.Host, "10.1.") }

// nodesOf are the controllers that a fault is about.
func (s *scene) nodesOf(who int) []int {
	var out []int
	for i, n := range s.nodes {
		leads := false
		if who == leading && n.isRunning() {
			n.controller().call(s.ctx, priorityState, func() { leads = n.controller().isLeader() })
		}
		if who == all || who == i || leads {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		out = append(out, 0) // nobody leads just now
	}
	return out
}

// judge has requests of some controllers meet a fate while a fault lasts.
func (s *scene) judge(who int, f network.Policy) func() {
	nodes := s.nodesOf(who)
	s.nextJ++
	id := s.nextJ
	for _, i := range nodes {
		s.mu.Lock()
		s.judges[i][id] = f
		s.mu.Unlock()
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, i := range nodes {
			delete(s.judges[i], id)
		}
	}
}

// machines are up to n machines, those with work first.
func (s *scene) machines(n int) []*agent.Agent {
	ws := s.env.Cloud.Agents()
	busy := map[string]int{}
	for _, w := range ws {
		busy[w.Name()] = s.boundTo(w.Name())
	}
	slices.SortStableFunc(ws, func(x, y *agent.Agent) int { return busy[y.Name()] - busy[x.Name()] })
	return ws[:min(n, len(ws))]
}

// each does something to machines, and undoes it.
func (s *scene) each(n int, f func(*agent.Agent, bool)) func() {
	ws := s.machines(n)
	for _, w := range ws {
		f(w, true)
	}
	return func() {
		for _, w := range ws {
			f(w, false)
		}
	}
}

// somebody is a fate for a share of those that a test picks.
func (s *scene) somebody(part float64, is func(*http.Request) bool, fate network.Fault) func(*http.Request) network.Fault {
	return func(r *http.Request) network.Fault {
		if !is(r) {
			return network.Deliver
		}
		if network.Draw(s.seed, r.URL.String()) < part {
			return fate
		}
		return network.Deliver
	}
}

// everywhere asks all controllers for a job's state at once.
func (s *scene) everywhere(id string, more ...func()) {
	for i := range s.nodes {
		go s.ask(i, trace.Query, id, nil, nil)
	}
	for _, f := range more {
		go f()
	}
}

// live are jobs that nobody has called off.
func (s *scene) live() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, id := range s.ids {
		if !s.called[id] {
			out = append(out, id)
		}
	}
	return out
}

// spec is what was submitted of a job.
func (s *scene) spec(id string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.specs[id]
}

// wasCalled tells whether a job was called off.
func (s *scene) wasCalled(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.called[id]
}

// cancelJob calls a job off, by whom it may, until it is told an answer.
func (s *scene) cancelJob(id string) {
	s.mu.Lock()
	s.called[id] = true
	s.mu.Unlock()
	s.call(trace.Cancel, id, nil, nil, 5*time.Minute)
}

// begin has a fault begin and returns what ends it.
func (s *scene) begin(f fault) func() {
	duration := time.Duration(f.duration * float64(time.Second))
	nothing := func() {}
	switch f.what {
	case "outage":
		s.env.Store.SetDown(true)
		return func() { s.env.Store.SetDown(false) }
	case "state refuses":
		return s.judge(f.who, s.somebody(1, isState, network.Refuse))
	case "state silent":
		return s.judge(f.who, s.somebody(1, isState, network.Drop))
	case "slow state":
		return s.judge(f.who, s.somebody(f.part, isState, network.Delay))
	case "late writes":
		return s.judge(f.who, s.somebody(f.part, isTxn, network.ExecuteLate))
	case "lost answers":
		return s.judge(f.who, s.somebody(f.part, isTxn, network.DropResponse))
	case "late commands":
		return s.judge(f.who, s.somebody(f.part, isWorker, network.ExecuteLate))
	case "workers silent":
		undo := s.judge(f.who, s.somebody(1, isWorker, network.Drop))
		nodes := s.nodesOf(f.who)
		for _, i := range nodes {
			s.nodes[i].deaf.Store(true)
		}
		return func() {
			undo()
			for _, i := range nodes {
				s.nodes[i].deaf.Store(false)
			}
		}
	case "no peers":
		nodes := s.nodesOf(f.who)
		for _, i := range nodes {
			s.nodes[i].meshCut.Store(true)
		}
		return func() {
			for _, i := range nodes {
				s.nodes[i].meshCut.Store(false)
			}
		}
	case "alone": // no state service and no siblings, but workers and users
		nodes := s.nodesOf(f.who)
		var undo []func()
		for _, i := range nodes {
			undo = append(undo, s.judge(i, s.somebody(1, isState, network.Drop)))
			s.nodes[i].meshCut.Store(true)
		}
		return func() {
			for k, i := range nodes {
				undo[k]()
				s.nodes[i].meshCut.Store(false)
			}
		}
	case "kill":
		nodes := s.nodesOf(f.who)
		for _, i := range nodes {
			s.kill(i)
		}
		return func() {
			for _, i := range nodes {
				s.start(i)
			}
		}
	case "zone": // all of zone b, and a controller in it
		return s.cutZone("b", len(s.nodes)-1)
	case "deaf":
		return s.each(f.who, (*agent.Agent).SetNotReceiving)
	case "mute":
		return s.each(f.who, (*agent.Agent).SetNotSending)
	case "hang":
		return s.each(f.who, (*agent.Agent).SetHanging)
	case "cut":
		return s.each(f.who, (*agent.Agent).SetIsolated)
	case "cloud down":
		s.env.Cloud.SetDown(true)
		return func() { s.env.Cloud.SetDown(false) }
	case "no capacity": // no more than there are
		before := s.env.Cloud.SetCapacity(len(s.env.Cloud.Agents()))
		return func() { s.env.Cloud.SetCapacity(before) }
	case "sick":
		return s.each(f.who, (*agent.Agent).SetFailing)
	case "die":
		s.each(f.who, func(w *agent.Agent, _ bool) { w.Terminate() })
	case "back at once":
		s.each(f.who, func(w *agent.Agent, _ bool) { w.Restart() })
	case "cancel":
		ids := s.live()
		s.mu.Lock()
		s.rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
		s.mu.Unlock()
		for _, id := range ids[:min(f.who, len(ids))] {
			go s.cancelJob(id)
		}
	case "cancel and hang":
		ids := s.live()
		undo := s.each(8, (*agent.Agent).SetHanging)
		for _, id := range ids[:min(f.who, len(ids))] {
			go s.cancelJob(id)
		}
		return undo
	case "cancel at end":
		go s.atEnds(duration, f.part)
	case "close looks":
		until := time.Now().Add(duration)
		s.looks.Store(&until)
	case "odd requests":
		go s.oddities(duration)
	case "copies":
		return s.copies(f.part, 0)
	case "old copies":
		return s.copies(f.part, 12*time.Second)
	case "keep reports":
		for _, w := range s.env.Cloud.Agents() {
			s.kept[w.Name()] = w.LastHeartbeat()
		}
	case "kept reports arrive":
		for _, raw := range s.kept {
			if raw != nil {
				s.resend(raw, 0, 1, 2)
			}
		}
	case "jobs":
		for range f.who {
			s.newJob()
		}
	case "gangs": // all at once, of one priority
		for n := range f.who {
			b := gangBody("", "blue", "normal", 3+n%3, 8)
			b["samePlace"], b["imageGb"] = n%2 == 0, 2
			s.submitJob(b)
		}
	case "urgent work":
		s.submitJob(jobBody("", wire.Array, "blue", "urgent", f.who, 2, 3))
	case "limits fall": // to what the settings announced, see play
		s.env.Store.SetLimits(comingValue, comingOps)
	case "one-task jobs": // four a second
		go func() {
			for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
				id := s.submitJob(jobBody("", wire.Array, "blue", "normal", 1, 1, 2))
				s.mu.Lock()
				off := s.rng.Float64() < 0.25
				s.mu.Unlock()
				if off {
					go s.cancelJob(id)
				}
			}
		}()
	default:
		undo, ok := s.beginUpgradeFault(f)
		if !ok {
			s.t.Fatalf("unknown fault %q", f.what)
		}
		return undo
	}
	return nothing
}

// cutZone cuts a zone's machines and one controller off from all others.
func (s *scene) cutZone(zone string, node int) func() {
	var undo []func()
	inside := map[string]bool{s.nodes[node].cfg.APIAddr: true}
	for _, w := range s.env.Cloud.Agents() {
		if w.Zone() == zone {
			inside[w.Addr()] = true
		}
	}
	for _, w := range s.env.Cloud.Agents() {
		in := inside[w.Addr()]
		w.Transport().SetPolicy(func(r *http.Request) network.Fault {
			if inside[r.URL.Host] != in {
				return network.Drop
			}
			return network.Deliver
		})
		undo = append(undo, func() { w.Transport().SetPolicy(nil) })
	}
	for i := range s.nodes {
		undo = append(undo, s.judge(i, s.somebody(1, func(r *http.Request) bool { return inside[r.URL.Host] != (i == node) }, network.Drop)))
	}
	s.nodes[node].meshCut.Store(true)
	s.nodes[node].shut.Store(true)
	return func() {
		for _, f := range undo {
			f()
		}
		s.nodes[node].meshCut.Store(false)
		s.nodes[node].shut.Store(false)
	}
}

// copies has a share of all reports arrive again, somewhere, later.
func (s *scene) copies(part float64, least time.Duration) func() {
	ws := s.env.Cloud.Agents()
	for _, w := range ws {
		w.OnHeartbeat(func(raw []byte) {
			again := network.Draw(s.seed, w.Name()) < part
			node := int(network.Draw(s.seed+1, w.Name()) * float64(len(s.nodes)))
			later := least + time.Duration(network.Draw(s.seed+2, w.Name())*float64(12*time.Second))
			if again {
				time.AfterFunc(later, func() { s.resend(raw, node) })
			}
		})
	}
	return func() {
		for _, w := range ws {
			w.OnHeartbeat(nil)
		}
	}
}

// resend posts a report to controllers.
func (s *scene) resend(raw []byte, nodes ...int) {
	for _, i := range nodes {
		ctx, cancel := context.WithTimeout(s.ctx, 4*time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.nodes[i].cfg.APIAddr+"/v1/report", bytes.NewReader(raw))
		_, _ = s.user.RoundTrip(req)
		cancel()
	}
}

// atEnds has a cancellation, questions and a repeated submission meet the end of a
// job's last task.
func (s *scene) atEnds(d time.Duration, part float64) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, id := range s.live() {
			tasks, _ := s.spec(id)["eggs"].(int)
			s.mu.Lock()
			met := s.lasts[id] || s.env.Completed(id) < tasks
			if !met {
				s.lasts[id] = true
			}
			off := s.rng.Float64() < part
			s.mu.Unlock()
			if met {
				continue
			}
			again := func() { s.ask(0, trace.Submit, id, s.spec(id), nil) }
			if off {
				s.everywhere(id, again, func() { s.cancelJob(id) })
			} else {
				s.everywhere(id, again)
			}
		}
	}
}

// oddities are requests that are repeated, late or wrong.
func (s *scene) oddities(d time.Duration) {
	wrong := 0
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(700 * time.Millisecond) {
		s.mu.Lock()
		k := s.rng.IntN(4)
		id := ""
		if len(s.ids) > 0 {
			id = s.ids[s.rng.IntN(len(s.ids))]
		}
		s.mu.Unlock()
		node := wrong % len(s.nodes)
		wrong++
		body := jobBody(fmt.Sprintf("wk-9%05d", wrong), wire.Array, "blue", "normal", 1, 1, 1)
		want := 422
		switch k {
		case 0:
			if id != "" {
				s.ask(node, trace.Submit, id, s.spec(id), nil)
			}
			continue
		case 1:
			s.ask(node, trace.Query, fmt.Sprintf("wk-8%05d", wrong), nil, nil)
			continue
		case 2:
			body["cpus"] = 64
		case 3:
			delete(body, "reckonS")
			want = 400
		}
		for range 2 {
			if status, _ := s.ask(node, trace.Submit, body["nameId"].(string), body, nil); status != want && status != 503 && status != 0 {
				s.t.Errorf("odd request %v: status %d, not %d", body, status, want)
			}
		}
	}
}

// newJob submits a job of some kind.
func (s *scene) newJob() {
	s.mu.Lock()
	k := s.rng.IntN(8)
	body := jobBody("", wire.Array, []string{"red", "blue"}[s.rng.IntN(2)], []string{"low", "normal"}[s.rng.IntN(2)], 2+s.rng.IntN(12), 1, 2+float64(s.rng.IntN(12)))
	switch k {
	case 0:
		body["shape"], body["rank"], body["eggs"], body["cpus"] = wire.Service, "urgent", 1+s.rng.IntN(2), 2
	case 1:
		body["samePlace"] = true
	case 2:
		body["shore"] = []string{"a", "b"}[s.rng.IntN(2)]
	case 3:
		body["moultS"], body["stowS"] = 5, 2
	case 4:
		body["eggs"], body["reckonS"] = 2+s.rng.IntN(2), 30
	case 5, 6:
		body["shape"], body["eggs"], body["moultS"], body["stowS"] = wire.Gang, 2+s.rng.IntN(4), 4, 1.5
		body["samePlace"], body["imageGb"] = k == 5, float64(1+s.rng.IntN(5))
	}
	s.mu.Unlock()
	s.submitJob(body)
}

// submitJob gives a job a name and submits it in the background.
func (s *scene) submitJob(body map[string]any) string {
	s.mu.Lock()
	id := fmt.Sprintf("wk-%d", len(s.ids)+1)
	body["nameId"] = id
	s.ids = append(s.ids, id)
	s.specs[id] = body
	s.mu.Unlock()
	go s.trySubmit(body)
	return id
}

// The limits that the state service has once they have fallen.
const (
	comingValue = 1 << 10
	comingOps   = 8
)

// play has a cluster at work meet faults, ends them, and waits until all that was
// accepted is done, runs or is gone. Whatever happens is checked from outside.
func play(t *testing.T, seed uint64, jobs int, faults []fault) {
	inWorld(t, func(c *cluster) { c.play(seed, jobs, faults) })
}

// play is play in a cluster that has been set up.
func (c *cluster) play(seed uint64, jobs int, faults []fault) {
	s := &scene{cluster: c, seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), specs: map[string]map[string]any{}, lasts: map[string]bool{}, called: map[string]bool{}, kept: map[string][]byte{}}
	for range c.nodes {
		s.judges = append(s.judges, map[int]network.Policy{})
	}
	for i, n := range c.nodes {
		n.net.SetDelay(2*time.Second, 10*time.Second)
		n.net.SetPolicy(func(r *http.Request) network.Fault {
			s.mu.Lock()
			var fs []network.Policy
			for _, id := range slices.Sorted(maps.Keys(s.judges[i])) {
				fs = append(fs, s.judges[i][id])
			}
			s.mu.Unlock()
			for _, f := range fs {
				if fate := f(r); fate != network.Deliver {
					return fate
				}
			}
			return network.Deliver
		})
	}
	if slices.ContainsFunc(faults, func(f fault) bool { return f.what == "limits fall" }) {
		c.announce(comingValue, comingOps)
	}
	s.scarce = seed%3 > 0
	c.env.Cloud.SetCapacity([]int{20, 8, 5}[seed%3])
	for range jobs {
		s.newJob()
		time.Sleep(time.Millisecond)
	}
	c.await("work runs", time.Minute, func() bool { return c.env.Starts() > jobs })
	type ending struct {
		at float64
		f  func()
	}
	var ends []ending
	begun := time.Now()
	wait := func(at float64) { time.Sleep(time.Until(begun.Add(time.Duration(at * float64(time.Second))))) }
	endUntil := func(at float64) {
		slices.SortStableFunc(ends, func(x, y ending) int { return int(1000 * (x.at - y.at)) })
		for len(ends) > 0 && ends[0].at <= at {
			wait(ends[0].at)
			ends[0].f()
			ends = ends[1:]
		}
	}
	for _, f := range faults {
		endUntil(f.at)
		wait(f.at)
		ends = append(ends, ending{f.at + f.duration, s.begin(f)})
	}
	endUntil(1e9)
	c.env.SetSettled()
	s.settle()
}

// announce has the controllers start anew with settings that name lower limits to come.
func (c *cluster) announce(value, ops int) {
	for i := range c.nodes {
		c.kill(i)
	}
	for i, n := range c.nodes {
		n.cfg.Settings.State.ValueKB, n.cfg.Settings.State.TxnOps = float64(value)/1024, ops
		c.start(i)
	}
}

// settle waits until all is as it should be once the troubles are over.
func (s *scene) settle() {
	s.t.Helper()
	s.looks.Store(nil)
	time.Sleep(5 * time.Second)
	s.mu.Lock()
	ids := slices.Clone(s.ids)
	s.mu.Unlock()
	quiet := time.Now()
	for _, id := range ids {
		status, _ := s.call(trace.Query, id, nil, nil, 75*time.Second)
		if status != http.StatusOK && status != http.StatusNotFound {
			s.t.Errorf("%s is not answered for %v after the troubles", id, time.Since(quiet))
		}
	}
	if s.scarce { // services would keep all machines from the rest for good
		time.Sleep(2 * time.Minute)
		for _, id := range ids {
			if s.spec(id)["shape"] == wire.Service && !s.wasCalled(id) {
				s.cancelJob(id)
			}
		}
	}
	for _, id := range ids {
		s.await(id+" is over", 8*time.Minute, func() bool {
			status, out := s.call(trace.Query, id, nil, nil, 75*time.Second)
			tide, _ := out["tide"].(string)
			tasks, _ := s.spec(id)["eggs"].(int)
			return status == http.StatusNotFound || tide == wire.Done || tide == wire.Cancelled ||
				s.spec(id)["shape"] == wire.Service && s.env.Running(id) == tasks
		})
	}
	time.Sleep(s.nodes[0].brainHold() + 15*time.Second) // what was cancelled must be gone
}

// combinations is how many generated schedules are played; a long search plays more.
var combinations = flag.Int("combinations", 24, "generated schedules of faults to play")

// firstSeed is where they begin.
var firstSeed = flag.Uint64("first-seed", 1, "seed of the first generated schedule")

// Generated schedules of faults: a seed that breaks a rule prints its schedule, so that
// it can become a row of TestMeetings.
func TestCombinations(t *testing.T) {
	t.Parallel()
	kinds := []fault{{what: "cloud down", duration: 40}, {what: "no capacity", duration: 60}, {what: "outage", duration: 45}, {what: "state refuses", duration: 20}, {what: "state silent", duration: 15}, {what: "slow state", duration: 30, part: 0.3},
		{what: "late writes", who: all, duration: 40, part: 0.3}, {what: "lost answers", who: all, duration: 40, part: 0.3}, {what: "late commands", who: all, duration: 30, part: 0.3},
		{what: "workers silent", duration: 20}, {what: "no peers", duration: 30}, {what: "no peers", who: all, duration: 30}, {what: "alone", duration: 40}, {what: "kill", duration: 0.3}, {what: "kill", duration: 6},
		{what: "kill", who: all, duration: 0.5}, {what: "kill", who: all, duration: 14}, {what: "zone", duration: 25}, {what: "deaf", who: 2, duration: 25}, {what: "mute", who: 2, duration: 25}, {what: "hang", who: 2, duration: 8},
		{what: "hang", who: 2, duration: 30}, {what: "cut", who: 2, duration: 20}, {what: "sick", who: 1, duration: 20}, {what: "die", who: 2}, {what: "back at once", who: 2}, {what: "cancel", who: 3}, {what: "cancel", who: 3},
		{what: "cancel and hang", who: 3, duration: 7}, {what: "cancel at end", duration: 40, part: 0.4}, {what: "close looks", duration: 40}, {what: "odd requests", duration: 30}, {what: "copies", duration: 40, part: 0.3},
		{what: "old copies", duration: 40, part: 0.3}, {what: "jobs", who: 6}, {what: "jobs", who: 6}, {what: "gangs", who: 4}, {what: "gangs", who: 4}, {what: "urgent work", who: 20}, {what: "limits fall"}}
	for seed := *firstSeed; seed < *firstSeed+uint64(*combinations); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			var faults []fault
			for range 7 + rng.IntN(6) {
				f := kinds[rng.IntN(len(kinds))]
				f.at = float64(rng.IntN(600)) / 10
				f.duration *= 0.4 + 0.8*rng.Float64()
				switch f.what { // whom it meets
				case "state refuses", "state silent", "slow state", "workers silent", "no peers", "alone", "kill":
					if f.who != all {
						f.who = rng.IntN(4) - 1 // the leader or one of three
					}
				}
				faults = append(faults, f)
			}
			slices.SortStableFunc(faults, func(x, y fault) int { return int(1000 * (x.at - y.at)) })
			defer func() {
				if t.Failed() {
					t.Logf("seed %d: %v", seed, faults)
				}
			}()
			play(t, seed, 10, faults)
		})
	}
}
