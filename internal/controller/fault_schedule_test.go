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

// scheduleRun runs a schedule of faults against a cluster that executes jobs.
type scheduleRun struct {
	*cluster
	seed         uint64
	rng          *rand.Rand
	policies     []map[int]network.FaultPolicy // policies of the active faults by ID, for each controller; guarded by cluster.mu
	lastPolicyID int
	// insufficientCapacity says that the cloud has too few machines to run all jobs at a time.
	insufficientCapacity bool
	// capacityFreezes is the number of active noCapacity faults. fullCapacity is the cloud's capacity
	// without them.
	capacityFreezes, fullCapacity int
	// drawJob returns a random job of the kinds that users submit in the schedule.
	drawJob         func() *submission
	savedHeartbeats map[string][]byte // encoded heartbeats by machine

	// The goroutines of users share the following fields and rng. cluster.mu guards them.
	submittedIDs       []string // IDs of all submitted jobs in order, accepted or not
	submissions        map[string]*submission
	handledCompletions map[string]bool // jobs for which raceCompletion has sent its requests
	cancelRequested    map[string]bool // jobs whose cancellation users have requested
}

// The limits of the key-value store after lowerLimits.
const (
	loweredValueBytes = 1 << 10
	loweredTxnChanges = 8
)

const (
	// scheduleSeed is the second part of the seed for the actions of users. It differs from
	// generatorSeed, so that they are drawn independently of the schedule.
	scheduleSeed = 11
	// minRequestDelay is the minimum delay of late requests, and requestDelayJitter the largest
	// random delay in addition.
	minRequestDelay    = 2 * time.Second
	requestDelayJitter = 10 * time.Second
	// minRepeatDelay is the minimum delay of repeated requests, and repeatDelayJitter the largest
	// random delay in addition.
	minRepeatDelay    = time.Second
	repeatDelayJitter = 3 * time.Minute
	// maxRecoveryTime is how long after the last fault users may have to wait for a response.
	maxRecoveryTime = 75 * time.Second
)

// cloudCapacities are the numbers of machines that the cloud has, chosen by the seed. Only the first
// one is enough for all jobs.
var cloudCapacities = []int{20, 8, 5}

// runFaults runs a schedule of faults against a new cluster that executes random jobs. It then waits
// until all accepted jobs are settled (isSettled). The rule checker verifies the recorded events.
func runFaults(t *testing.T, seed uint64, jobs int, faults []fault) {
	runCluster(t, func(c *cluster) { c.runSchedule(seed, jobs, faults) })
}

// runSchedule is like runFaults, but runs the schedule against c.
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
	c.await("the first tasks run", time.Minute, func() bool { return c.env.CountStartedTasks() > jobs })
	s.injectAll(faults)
	c.env.MarkFaultsEnded()
	s.awaitSettled()
}

// newScheduleRun returns a run whose active faults apply to the requests of all controllers.
func newScheduleRun(c *cluster, seed uint64) *scheduleRun {
	s := &scheduleRun{cluster: c, seed: seed, rng: rand.New(rand.NewPCG(seed, scheduleSeed)), submissions: map[string]*submission{},
		handledCompletions: map[string]bool{}, cancelRequested: map[string]bool{}, savedHeartbeats: map[string][]byte{}}
	s.drawJob = s.drawJobOfAnyKind
	for i, n := range c.nodes {
		s.policies = append(s.policies, map[int]network.FaultPolicy{})
		n.transport.SetDelay(minRequestDelay, requestDelayJitter)
		n.transport.SetRepeatDelay(minRepeatDelay, repeatDelayJitter)
		n.transport.SetFaultPolicy(func(r *http.Request) network.Fault { return s.chooseFault(i, r) })
	}
	return s
}

// chooseFault returns the network fault for a controller's request: that of the oldest active policy
// which doesn't deliver the request.
func (s *scheduleRun) chooseFault(node int, r *http.Request) network.Fault {
	s.mu.Lock()
	var policies []network.FaultPolicy
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

// activeFault is a fault that has begun and not yet ended.
type activeFault struct {
	endsAt float64 // seconds since the start of the schedule
	end    func()
}

// compareTimes compares times of a schedule with a resolution of a millisecond.
func compareTimes(x, y float64) int { return int(1000 * (x - y)) }

// injectAll starts and ends the faults of a schedule at their times. It returns after the last end.
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

// endFaultsUntil ends the faults whose end is not after the given time, each at its own time. It
// returns the faults that are still active.
func endFaultsUntil(at float64, active []activeFault, sleepUntil func(float64)) []activeFault {
	slices.SortStableFunc(active, func(x, y activeFault) int { return compareTimes(x.endsAt, y.endsAt) })
	for len(active) > 0 && active[0].endsAt <= at {
		sleepUntil(active[0].endsAt)
		active[0].end()
		active = active[1:]
	}
	return active
}

// announceLimits restarts the controllers with settings that announce lower limits of the key-value
// store.
func (c *cluster) announceLimits(valueBytes, txnChanges int) {
	for i := range c.nodes {
		c.kill(i)
	}
	for i, n := range c.nodes {
		n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = float64(valueBytes)/1024, txnChanges
		c.start(i)
	}
}

// awaitSettled waits until all jobs are settled after the last fault.
func (s *scheduleRun) awaitSettled() {
	s.t.Helper()
	s.queryAllUntil.Store(nil)
	time.Sleep(5 * time.Second)
	s.mu.Lock()
	ids := slices.Clone(s.submittedIDs)
	s.mu.Unlock()
	s.checkQueriesAnswered(ids)
	if s.insufficientCapacity { // otherwise services could occupy all machines, and the other jobs would never run
		time.Sleep(2 * time.Minute)
		s.cancelServices(ids)
	}
	for _, id := range ids {
		s.await(id+" is finished, or is a service all of whose tasks run", 8*time.Minute, func() bool { return s.isSettled(id) })
	}
	time.Sleep(s.nodes[0].maxStaleness() + 15*time.Second) // by then the tasks of cancelled jobs must have ended
}

// checkQueriesAnswered checks that a query of each job is answered within maxRecoveryTime.
func (s *scheduleRun) checkQueriesAnswered(ids []string) {
	s.t.Helper()
	startedAt := time.Now()
	for _, id := range ids {
		response := s.sendWithRetries(queryRequest(id), maxRecoveryTime)
		if response.status != http.StatusOK && response.status != http.StatusNotFound {
			s.t.Errorf("seed %d: a query of %s was not answered within %v after the last fault", s.seed, id, time.Since(startedAt))
		}
	}
}

// cancelServices cancels the services that no user has cancelled.
func (s *scheduleRun) cancelServices(ids []string) {
	for _, id := range ids {
		if s.submissionOf(id).Kind == wire.KindService && !s.isCancelRequested(id) {
			s.cancelWithRetries(id)
		}
	}
}

// isSettled reports whether a job is finished, is unknown because it was never accepted, or is a
// service all of whose tasks run.
func (s *scheduleRun) isSettled(id string) bool {
	response := s.sendWithRetries(queryRequest(id), maxRecoveryTime)
	if response.status == http.StatusNotFound || response.state == wire.StateDone || response.state == wire.StateCancelled {
		return true
	}
	job := s.submissionOf(id)
	return job.Kind == wire.KindService && s.env.CountRunningTasks(id) == job.Tasks
}
