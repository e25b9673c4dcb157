package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/simulation"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// randomFaultSteps is the number of steps in a run of random faults.
const randomFaultSteps = 40

// maxRandomFaults is the number of faults that may stay active after a step. If there are more, the
// oldest ends.
const maxRandomFaults = 3

// Random faults overlap while random jobs run. No rule may be broken, and afterwards all accepted
// jobs must finish.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				r := &randomFaultRun{cluster: c, rng: rand.New(rand.NewPCG(seed, 7))}
				r.run()
				r.awaitSettled()
			})
		})
	}
}

// randomFaultRun injects random faults into a cluster that executes random jobs.
type randomFaultRun struct {
	*cluster
	rng          *rand.Rand
	endFunctions []func() // end the active faults, oldest first
	jobCount     int      // number of submitted jobs
	acceptedIDs  []string // IDs of the accepted jobs
	jobsToCancel []string // accepted jobs that are still to be cancelled
}

// run takes random steps and finally ends all faults.
func (r *randomFaultRun) run() {
	for range randomFaultSteps {
		r.step()
		time.Sleep(time.Duration(r.rng.IntN(6000)) * time.Millisecond)
		if len(r.endFunctions) > maxRandomFaults {
			r.endFunctions[0]()
			r.endFunctions = r.endFunctions[1:]
		}
	}
	r.endFaults()
}

// step takes one random step: it submits or cancels a job, injects a fault, or ends all faults.
func (r *randomFaultRun) step() {
	switch r.rng.IntN(11) {
	case 0, 1, 2:
		r.submitJob()
	case 3:
		if len(r.jobsToCancel) > 0 && r.tryCancelJob(r.jobsToCancel[0]) {
			r.jobsToCancel = r.jobsToCancel[1:]
		}
	case 4:
		i := r.rng.IntN(3)
		r.kill(i)
		r.addActiveFault(func() { r.start(i) })
	case 5:
		r.env.Store.SetUnavailable(true)
		r.addActiveFault(func() { r.env.Store.SetUnavailable(false) })
	case 6:
		r.failRequests()
	case 7:
		n := r.nodes[r.rng.IntN(3)]
		n.peersBlocked.Store(true)
		r.addActiveFault(func() { n.peersBlocked.Store(false) })
	case 8:
		r.failMachine()
	default:
		r.endFaults()
	}
}

// addActiveFault records the function that ends a fault.
func (r *randomFaultRun) addActiveFault(end func()) { r.endFunctions = append(r.endFunctions, end) }

// endFaults ends all active faults.
func (r *randomFaultRun) endFaults() {
	callInOrder(r.endFunctions)()
	r.endFunctions = nil
}

// submitJob submits a random job. Services and a third of the other jobs are cancelled later, unless
// no controller responded.
func (r *randomFaultRun) submitJob() {
	r.jobCount++
	job := r.drawJob(fmt.Sprintf("wk-%d", r.jobCount))
	if !r.trySubmit(job) {
		return // it may have been stored nevertheless; the rule checker covers it
	}
	r.acceptedIDs = append(r.acceptedIDs, job.ID)
	if r.rng.IntN(3) == 0 || job.Kind == wire.KindService {
		r.jobsToCancel = append(r.jobsToCancel, job.ID)
	}
}

// drawJob returns a random job.
func (r *randomFaultRun) drawJob(id string) *submission {
	kind := []string{wire.KindArray, wire.KindArray, wire.KindService, wire.KindGang}[r.rng.IntN(4)]
	team := []string{"red", "blue"}[r.rng.IntN(2)]
	priority := []string{"low", "normal", "urgent", "production"}[r.rng.IntN(4)]
	job := newSubmission(submission{ID: id, Kind: kind, Team: team, Priority: priority, Tasks: 1 + r.rng.IntN(5)})
	job.CPUs = 1 + float64(r.rng.IntN(3))
	job.EstimateS = 1 + float64(r.rng.IntN(10))
	if kind == wire.KindArray {
		job.Tasks = 1 + r.rng.IntN(25)
		job.Spread = r.rng.IntN(4) == 0
		job.Spot = r.rng.IntN(2) == 0
	}
	job.SingleZone = r.rng.IntN(4) == 0 && !job.Spread
	return job
}

// failRequests applies a network fault to all requests of a random controller to the key-value store,
// to the cloud or to all agents.
func (r *randomFaultRun) failRequests() {
	n := r.nodes[r.rng.IntN(3)]
	host := []string{simulation.StoreAddr, "10.1", simulation.CloudAddr}[r.rng.IntN(3)]
	networkFault := []network.Fault{network.Refuse, network.Drop, network.ExecuteLate}[r.rng.IntN(3)]
	n.transport.SetFaultPolicy(policyForMatching(func(req *http.Request) bool { return strings.HasPrefix(req.URL.Host, host) }, networkFault))
	r.addActiveFault(func() { n.transport.SetFaultPolicy(nil) })
}

// failMachine terminates or isolates a random machine.
func (r *randomFaultRun) failMachine() {
	agents := r.env.Cloud.Agents()
	if len(agents) == 0 {
		return
	}
	a := agents[r.rng.IntN(len(agents))]
	if r.rng.IntN(2) == 0 {
		a.Terminate()
		return
	}
	a.SetIsolated(true)
	r.addActiveFault(func() { a.SetIsolated(false) })
}

// awaitSettled cancels the jobs in jobsToCancel and waits until all accepted jobs are finished.
func (r *randomFaultRun) awaitSettled() {
	r.t.Helper()
	for _, id := range r.jobsToCancel {
		r.cancelJob(id)
	}
	startedAt := time.Now()
	for _, id := range r.acceptedIDs {
		r.jobState(id)
		if d := time.Since(startedAt); d > maxRecoveryTime {
			r.t.Errorf("a query of %s was answered %v after the last fault, want at most %v", id, d, maxRecoveryTime)
		}
	}
	time.Sleep(r.nodes[0].maxStaleness())
	for _, id := range r.acceptedIDs {
		r.await(id+" is finished", 8*time.Minute, func() bool {
			state := r.jobState(id)
			return state == wire.StateDone || state == wire.StateCancelled
		})
	}
}
