package controller

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

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
		n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = float64(value)/1024, ops
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
