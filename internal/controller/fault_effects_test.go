package controller

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// isState, isWorker and so on tell where a request goes.
func isState(r *http.Request) bool { return r.URL.Host == "state:1" }

func isTxn(r *http.Request) bool { return isState(r) && r.URL.Path == "/txn" }

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
