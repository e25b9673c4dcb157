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

// cancellationGapCase is a variant of TestCancellationGap.
type cancellationGapCase struct {
	name                 string
	failoverBeforeOutage bool // another has taken the owner's keys before the outage
	peersBlocked         bool // no controller hears another
	clockDrift           float64
}

// cancellationGapJobs are the jobs that are cancelled: running, saving and fetching tasks, and some that
// have just been started.
var cancellationGapJobs = []string{"wk-1", "wk-2", "wk-3", "wk-4"}

// The gap: the key-value store refuses the owner alone; others confirm cancellations; then
// the store is down for all for longer than cancel_s, while agents go on sending heartbeats
// to the old owner. What was cancelled must be gone in time all the same, whatever state its
// tasks are in, whoever holds the leased keys by then, and by any clock.
func TestCancellationGap(t *testing.T) {
	for _, x := range []cancellationGapCase{
		{"alone", false, false, 0},
		{"successor", true, false, 0},
		{"no peers", false, true, 0},
		{"successor, no peers", true, true, 0},
		{"slow clocks", false, true, 0.001},
		{"fast clocks", false, true, -0.001},
		{"slow clocks, successor", true, true, 0.001},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkCancellationGap(x) })
		})
	}
}

func (c *cluster) checkCancellationGap(x cancellationGapCase) {
	c.t.Helper()
	c.startCancellationGapJobs(x.clockDrift)
	// All owners but the last are shut out: it alone confirms cancellations.
	for _, n := range c.nodes[:2] {
		n.transport.SetPolicy(policyForMatching(isStoreRequest, network.Refuse))
	}
	c.setPeersBlocked(x.peersBlocked)
	if x.failoverBeforeOutage {
		time.Sleep(6 * time.Second)
	}
	for _, id := range cancellationGapJobs {
		if answer := c.sendRequest(2, cancelRequest(id)); answer.status != http.StatusOK {
			c.t.Fatalf("cancellation of %s: %+v, want status 200", id, answer)
		}
	}
	c.env.Store.SetDown(true)
	time.Sleep(50 * time.Second) // cancel_s is 35
	for _, id := range cancellationGapJobs {
		if n := c.env.Running(id); n > 0 {
			c.t.Errorf("%d tasks of the cancelled %s are there, want none", n, id)
		}
	}
	for _, n := range c.nodes {
		n.transport.SetPolicy(nil)
	}
	c.setPeersBlocked(false)
	c.env.Store.SetDown(false)
	c.env.SetSettled()
	c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 4, CPUs: 1, EstimateS: 2}))
	c.awaitDone("wk-9", time.Minute)
}

// startCancellationGapJobs has the jobs run on machines whose clocks drift; the last one has just begun.
func (c *cluster) startCancellationGapJobs(clockDrift float64) {
	c.t.Helper()
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 4, CPUs: 2}))
	c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 10, CPUs: 1, EstimateS: 300}))
	savingJob := newSubmission(submission{ID: "wk-3", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 6, CPUs: 1, EstimateS: 300})
	savingJob.CheckpointS, savingJob.SaveS = 5, 60
	c.submit(savingJob)
	c.await("work runs", 2*time.Minute, func() bool {
		return c.env.Running("wk-1") == 4 && c.env.Running("wk-2") == 10 && c.env.Running("wk-3") == 6
	})
	time.Sleep(10 * time.Second)
	for _, a := range c.env.Cloud.Agents() {
		a.SetDrift(clockDrift)
	}
	fetchingJob := newSubmission(submission{ID: "wk-4", Kind: wire.KindArray, Team: "blue", Priority: "urgent", Tasks: 6, CPUs: 1, EstimateS: 300})
	fetchingJob.ImageGB, fetchingJob.Image = 12, "other"
	c.submit(fetchingJob)
	time.Sleep(1500 * time.Millisecond)
}

// Whatever the settings, what is answered last, within the maximum staleness of a read that began
// before a cancellation, has ended on the slowest clock within cancel_s; and a former
// owner's time and a successor's don't add up, since each counts from a read of its own.
func TestMaxStalenessBoundsCancellationTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaseS := rapid.Float64Range(0.5, 600).Draw(t, "lease")
		cancelS := leaseS + rapid.Float64Range(0.05, 600).Draw(t, "more")
		maxStaleness := config.MaxStaleness(cancelS, leaseS)
		if maxStaleness <= 0 {
			return // refused as a setting
		}
		// The controller's clock is slow, the agent's too, by the bound of each.
		const drift = 0.0005
		readAt := rapid.Float64Range(-5, 0).Draw(t, "read before the cancellation")
		lastResponseAt := readAt + maxStaleness.Seconds()*(1+drift)
		if end := lastResponseAt + leaseS*(1+drift); end >= cancelS {
			t.Fatalf("lease %v s, cancel %v s: gone after %v s, want less than cancel", leaseS, cancelS, end)
		}
		if end := config.LeaseExpiry(cancelS, leaseS).Seconds() * (1 - drift); end <= leaseS*(1+drift) {
			t.Fatalf("lease %v s is taken to have expired after %v s, want later than it can last", leaseS, end)
		}
	})
}
