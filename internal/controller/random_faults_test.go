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

// randomFaultSteps is how many steps a run of random faults has.
const randomFaultSteps = 40

// maxRandomFaults is how many random faults last at a time.
const maxRandomFaults = 3

// Random faults, overlapping: no rule breaks, and afterwards all is done.
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

// randomFaultRun is a cluster at work, to which random faults happen.
type randomFaultRun struct {
	*cluster
	rng          *rand.Rand
	endFunctions []func() // of the faults that last
	jobs         int
	accepted     []string
	jobsToCancel []string // accepted jobs that are still to be cancelled
}

// run takes random steps, and ends all faults.
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

// step does one thing that is drawn.
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
		r.env.Store.SetDown(true)
		r.addActiveFault(func() { r.env.Store.SetDown(false) })
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

// addActiveFault notes what ends a fault.
func (r *randomFaultRun) addActiveFault(end func()) { r.endFunctions = append(r.endFunctions, end) }

// endFaults ends all faults.
func (r *randomFaultRun) endFaults() {
	callInOrder(r.endFunctions)()
	r.endFunctions = nil
}

// submitJob submits a job that is drawn.
func (r *randomFaultRun) submitJob() {
	r.jobs++
	job := r.drawJob(fmt.Sprintf("wk-%d", r.jobs))
	if !r.trySubmit(job) {
		return // perhaps it was stored: the rules hold for it all the same
	}
	r.accepted = append(r.accepted, job.ID)
	if r.rng.IntN(3) == 0 || job.Kind == wire.KindService {
		r.jobsToCancel = append(r.jobsToCancel, job.ID)
	}
}

// drawJob is a job of any kind.
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

// failRequests has a fault happen to all requests of a controller to one service, or to all
// agents.
func (r *randomFaultRun) failRequests() {
	n := r.nodes[r.rng.IntN(3)]
	host := []string{simulation.StoreAddr, "10.1", simulation.CloudAddr}[r.rng.IntN(3)]
	networkFault := []network.Fault{network.Refuse, network.Drop, network.ExecuteLate}[r.rng.IntN(3)]
	n.transport.SetPolicy(policyForMatching(func(req *http.Request) bool { return strings.HasPrefix(req.URL.Host, host) }, networkFault))
	r.addActiveFault(func() { n.transport.SetPolicy(nil) })
}

// failMachine terminates a machine, or cuts it off.
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

// settle waits until all that was accepted is finished.
func (r *randomFaultRun) awaitSettled() {
	r.t.Helper()
	for _, id := range r.jobsToCancel {
		r.cancelJob(id)
	}
	settledAt := time.Now()
	for _, id := range r.accepted {
		r.jobState(id)
		if d := time.Since(settledAt); d > maxRecoveryTime {
			r.t.Errorf("%s is not answered for %v after the faults, want at most %v", id, d, maxRecoveryTime)
		}
	}
	time.Sleep(r.nodes[0].maxStaleness())
	for _, id := range r.accepted {
		r.await(id+" is finished", 8*time.Minute, func() bool {
			state := r.jobState(id)
			return state == wire.StateDone || state == wire.StateCancelled
		})
	}
}
