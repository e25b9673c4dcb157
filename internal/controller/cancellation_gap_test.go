package controller

import (
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"

	"pgregory.net/rapid"
)

// cancellationGapCase is one case of TestCancellationGap.
type cancellationGapCase struct {
	name                 string
	failoverBeforeOutage bool    // another controller takes the leased keys of the isolated owners before the outage
	peersBlocked         bool    // controllers receive no status frames from each other
	clockDrift           float64 // fraction by which the machines' leases run longer than nominal
}

// cancellationGapJobs are the jobs that the test cancels: a service, an array, an array whose
// tasks save checkpoints, and an array that has just been submitted and is fetching its image.
var cancellationGapJobs = []string{"wk-1", "wk-2", "wk-3", "wk-4"}

// Cancelled tasks must end within cancel_s even if their partition's owner can't read the
// cancellation. The key-value store first refuses the requests of two owners while the third
// controller confirms cancellations; then the store is down for all controllers for longer than
// cancel_s, while agents keep sending heartbeats to the old owners. The cases differ in which
// controllers hold the leased keys, whether controllers reach each other, and how fast the machines'
// clocks run.
func TestCancellationGap(t *testing.T) {
	for _, x := range []cancellationGapCase{
		{"only the store fails", false, false, 0},
		{"failover before the outage", true, false, 0},
		{"peers blocked", false, true, 0},
		{"failover, peers blocked", true, true, 0},
		{"slow clocks", false, true, 0.001},
		{"fast clocks", false, true, -0.001},
		{"slow clocks, failover", true, true, 0.001},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkCancellationGap(x) })
		})
	}
}

// checkCancellationGap runs one case of TestCancellationGap.
func (c *cluster) checkCancellationGap(x cancellationGapCase) {
	c.t.Helper()
	c.startCancellationGapJobs(x.clockDrift)
	// Only the last controller can still use the store and confirm cancellations.
	for _, n := range c.nodes[:2] {
		n.transport.SetFaultPolicy(policyForMatching(isStoreRequest, network.Refuse))
	}
	c.setPeersBlocked(x.peersBlocked)
	if x.failoverBeforeOutage {
		time.Sleep(6 * time.Second)
	}
	for _, id := range cancellationGapJobs {
		if response := c.sendRequest(2, cancelRequest(id)); response.status != http.StatusOK {
			c.t.Fatalf("cancellation of %s: %+v, want status 200", id, response)
		}
	}
	c.env.Store.SetUnavailable(true)
	time.Sleep(50 * time.Second) // cancel_s is 35
	for _, id := range cancellationGapJobs {
		if n := c.env.CountRunningTasks(id); n > 0 {
			c.t.Errorf("%d tasks of the cancelled job %s still run, want none", n, id)
		}
	}
	for _, n := range c.nodes {
		n.transport.SetFaultPolicy(nil)
	}
	c.setPeersBlocked(false)
	c.env.Store.SetUnavailable(false)
	c.env.MarkFaultsEnded()
	c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 4, CPUs: 1, EstimateS: 2}))
	c.awaitDone("wk-9", time.Minute)
}

// startCancellationGapJobs submits the jobs of cancellationGapJobs, waits until the tasks of all but
// the last one run, sets the drift of the machines' clocks and then submits the last one.
func (c *cluster) startCancellationGapJobs(clockDrift float64) {
	c.t.Helper()
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 4, CPUs: 2}))
	c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 10, CPUs: 1, EstimateS: 300}))
	savingJob := newSubmission(submission{ID: "wk-3", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 6, CPUs: 1, EstimateS: 300})
	savingJob.CheckpointS, savingJob.SaveS = 5, 60
	c.submit(savingJob)
	c.await("all tasks of the first three jobs run", 2*time.Minute, func() bool {
		return c.env.CountRunningTasks("wk-1") == 4 && c.env.CountRunningTasks("wk-2") == 10 && c.env.CountRunningTasks("wk-3") == 6
	})
	time.Sleep(10 * time.Second)
	for _, a := range c.env.Cloud.Agents() {
		a.SetClockDrift(clockDrift)
	}
	fetchingJob := newSubmission(submission{ID: "wk-4", Kind: wire.KindArray, Team: "blue", Priority: "urgent", Tasks: 6, CPUs: 1, EstimateS: 300})
	fetchingJob.ImageGB, fetchingJob.Image = 12, "other"
	c.submit(fetchingJob)
	time.Sleep(1500 * time.Millisecond)
}

// For any valid settings, an owner whose last read began before a cancellation stops extending
// leases early enough that the tasks end within cancel_s on the slowest clocks. The times of a
// former owner and its successor don't add up, since each counts from a read of its own. Nor may a
// lease be considered expired while it is still valid on a machine with a slow clock.
func TestMaxStalenessBoundsCancellationTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaseS := rapid.Float64Range(0.5, 600).Draw(t, "lease")
		cancelS := leaseS + rapid.Float64Range(0.05, 600).Draw(t, "cancel_s beyond the lease")
		maxStaleness := config.MaxStaleness(cancelS, leaseS)
		if maxStaleness <= 0 {
			return // the validation refuses such settings
		}
		// drift is the largest deviation allowed for each clock; here the controller's and the
		// agent's clock are both slow by that much.
		const drift = 0.0005
		readAt := rapid.Float64Range(-5, 0).Draw(t, "read before the cancellation")
		lastResponseAt := readAt + maxStaleness.Seconds()*(1+drift)
		if end := lastResponseAt + leaseS*(1+drift); end >= cancelS {
			t.Fatalf("lease %v s, cancel_s %v: the tasks end after %v s, want less than cancel_s", leaseS, cancelS, end)
		}
		if end := config.LeaseExpiry(cancelS, leaseS).Seconds() * (1 - drift); end <= leaseS*(1+drift) {
			t.Fatalf("lease %v s is considered expired after %v s, want a later time than it can last on a slow clock", leaseS, end)
		}
	})
}
