package controller

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// scheduleRun is a cluster at work, to which the faults of a schedule happen.
type scheduleRun struct {
	*cluster
	seed         uint64
	rng          *rand.Rand
	policies     []map[int]network.Policy // by controller, of the faults that last
	lastPolicyID int
	// scarce: there are too few machines for all jobs.
	insufficientCapacity bool
	savedHeartbeats      map[string][]byte // by machine

	// These are shared by users; cluster.mu guards them.
	ids                []string // of the jobs that were submitted, accepted or not
	submissions        map[string]*submission
	handledCompletions map[string]bool
	cancelled          map[string]bool // somebody asked for it
}

// The limits that the key-value store has once they have been lowered.
const (
	loweredValueBytes = 1 << 10
	loweredTxnChanges = 8
)

const (
	// scheduleSeed draws what users do, apart from what generates a schedule.
	scheduleSeed = 11
	// minRequestDelay and requestDelayJitter are by how much late requests are late.
	minRequestDelay    = 2 * time.Second
	requestDelayJitter = 10 * time.Second
	// maxRecoveryTime is in what time all controllers answer again once all faults are over.
	maxRecoveryTime = 75 * time.Second
)

// capacities are how many machines the cloud has, by seed: enough, and too few.
var cloudCapacities = []int{20, 8, 5}

// runFaults has the faults of a schedule happen to a cluster at work, and waits until all
// that was accepted is done, runs or is cancelled. Whatever happens is checked from outside.
func runFaults(t *testing.T, seed uint64, jobs int, faults []fault) {
	runCluster(t, func(c *cluster) { c.runSchedule(seed, jobs, faults) })
}

// runSchedule is runFaults in a cluster that has been set up.
func (c *cluster) runSchedule(seed uint64, jobs int, faults []fault) {
	s := newScheduleRun(c, seed)
	if slices.ContainsFunc(faults, func(f fault) bool { return f.kind == lowerLimits }) {
		c.announceLimits(loweredValueBytes, loweredTxnChanges)
	}
	capacityIndex := int(seed % uint64(len(cloudCapacities)))
	s.insufficientCapacity = capacityIndex > 0
	c.env.Cloud.SetCapacity(cloudCapacities[capacityIndex])
	for range jobs {
		s.submitRandomJob()
		time.Sleep(time.Millisecond)
	}
	c.await("work runs", time.Minute, func() bool { return c.env.Starts() > jobs })
	s.injectAll(faults)
	c.env.SetSettled()
	s.awaitSettled()
}

// newScheduleRun has the requests of all controllers pass the faults that last.
func newScheduleRun(c *cluster, seed uint64) *scheduleRun {
	s := &scheduleRun{cluster: c, seed: seed, rng: rand.New(rand.NewPCG(seed, scheduleSeed)), submissions: map[string]*submission{},
		handledCompletions: map[string]bool{}, cancelled: map[string]bool{}, savedHeartbeats: map[string][]byte{}}
	for i, n := range c.nodes {
		s.policies = append(s.policies, map[int]network.Policy{})
		n.transport.SetDelay(minRequestDelay, requestDelayJitter)
		n.transport.SetPolicy(func(r *http.Request) network.Fault { return s.chooseFault(i, r) })
	}
	return s
}

// decide is what the faults that last do to a controller's request; the oldest goes first.
func (s *scheduleRun) chooseFault(node int, r *http.Request) network.Fault {
	s.mu.Lock()
	var policies []network.Policy
	for _, id := range slices.Sorted(maps.Keys(s.policies[node])) {
		policies = append(policies, s.policies[node][id])
	}
	s.mu.Unlock()
	for _, policy := range policies {
		if networkFault := policy(r); networkFault != network.Deliver {
			return networkFault
		}
	}
	return network.Deliver
}

// activeFault is a fault that has begun.
type activeFault struct {
	endsAt float64
	end    func()
}

// compareTimes orders times of a schedule, to the millisecond.
func compareTimes(x, y float64) int { return int(1000 * (x - y)) }

// injectAll has faults begin and end at their times.
func (s *scheduleRun) injectAll(faults []fault) {
	startedAt := time.Now()
	sleepUntil := func(at float64) {
		time.Sleep(time.Until(startedAt.Add(time.Duration(at * float64(time.Second)))))
	}
	var active []activeFault
	for _, f := range faults {
		active = endFaultsUntil(f.at, active, sleepUntil)
		sleepUntil(f.at)
		active = append(active, activeFault{f.at + f.duration, s.inject(f)})
	}
	const forever = 1e9
	endFaultsUntil(forever, active, sleepUntil)
}

// endFaultsUntil ends faults, each at its time, up to a time, and returns those that still last.
func endFaultsUntil(at float64, active []activeFault, sleepUntil func(float64)) []activeFault {
	slices.SortStableFunc(active, func(x, y activeFault) int { return compareTimes(x.endsAt, y.endsAt) })
	for len(active) > 0 && active[0].endsAt <= at {
		sleepUntil(active[0].endsAt)
		active[0].end()
		active = active[1:]
	}
	return active
}

// announceLimits has the controllers start anew with settings that name lower limits to
// come.
func (c *cluster) announceLimits(valueBytes, txnChanges int) {
	for i := range c.nodes {
		c.kill(i)
	}
	for i, n := range c.nodes {
		n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = float64(valueBytes)/1024, txnChanges
		c.start(i)
	}
}

// settle waits until all is as it should be once the faults are over.
func (s *scheduleRun) awaitSettled() {
	s.t.Helper()
	s.queryAllUntil.Store(nil)
	time.Sleep(5 * time.Second)
	s.mu.Lock()
	ids := slices.Clone(s.ids)
	s.mu.Unlock()
	s.checkQueriesAnswered(ids)
	if s.insufficientCapacity { // services would keep all machines from the rest for good
		time.Sleep(2 * time.Minute)
		s.cancelServices(ids)
	}
	for _, id := range ids {
		s.await(id+" is finished, or runs as a service", 8*time.Minute, func() bool { return s.isSettled(id) })
	}
	time.Sleep(s.nodes[0].maxStaleness() + 15*time.Second) // what was cancelled must be gone
}

// checkAnswered checks that queries of all jobs are answered.
func (s *scheduleRun) checkQueriesAnswered(ids []string) {
	s.t.Helper()
	settledAt := time.Now()
	for _, id := range ids {
		response := s.sendWithRetries(queryRequest(id), maxRecoveryTime)
		if response.status != http.StatusOK && response.status != http.StatusNotFound {
			s.t.Errorf("seed %d: %s is not answered for %v after the faults", s.seed, id, time.Since(settledAt))
		}
	}
}

// cancelServices cancels the services that nobody has cancelled.
func (s *scheduleRun) cancelServices(ids []string) {
	for _, id := range ids {
		if s.submissionOf(id).Kind == wire.KindService && !s.wasCancelled(id) {
			s.cancelWithRetries(id)
		}
	}
}

// isSettled tells whether a job is finished or was never accepted, or is a service that runs
// whole.
func (s *scheduleRun) isSettled(id string) bool {
	response := s.sendWithRetries(queryRequest(id), maxRecoveryTime)
	if response.status == http.StatusNotFound || response.state == wire.StateDone || response.state == wire.StateCancelled {
		return true
	}
	job := s.submissionOf(id)
	return job.Kind == wire.KindService && s.env.Running(id) == job.Tasks
}
