package controller

import (
	"fmt"
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

// The backoff of a job grows with each further machine on which its tasks fail. No task is placed
// on a machine for a fixed time after a task failed there.
func TestFailedJobBackoffGrowsWithFailedMachines(t *testing.T) {
	c := newTestController(t)
	j := &job{id: "wk-1", spec: &wire.Job{ID: "wk-1", TaskCount: 20}}
	c.jobs["wk-1"] = j
	for i, want := range []time.Duration{0, 0, 1, 2, 4, 8, 16, 30, 30} {
		m := c.getOrAddMachine(fmt.Sprint("host-", i))
		c.handleTaskEnd(m, j, wire.ReasonError)
		backoff := time.Duration(0)
		if !j.retryAt.IsZero() {
			backoff = j.retryAt.Sub(c.now)
		}
		if backoff != want*time.Second {
			t.Errorf("after failures on %d machines the job backs off for %v, want %v", i+1, backoff, want*time.Second)
		}
		if got := m.placementBackoffUntil.Sub(c.now); got != 5*time.Second {
			t.Errorf("a machine that failed a task backs off for %v, want 5 s", got)
		}
	}
}

// No task is placed on a machine for a second after it refused a start, until its heartbeats show
// what it is running. No failure is recorded for the machine or the job.
func TestRefusedStartIsNotAFailure(t *testing.T) {
	for _, reason := range []string{wire.ReasonNoCapacity, wire.ReasonOtherAttempt, wire.ReasonUnknownTask} {
		c := newTestController(t)
		m := c.getOrAddMachine("host-1")
		j := &job{id: "wk-1", spec: &wire.Job{ID: "wk-1", TaskCount: 1}}
		c.handleTaskEnd(m, j, reason)
		if got := m.placementBackoffUntil.Sub(c.now); got != time.Second {
			t.Errorf("%s: the machine backs off for %v, want 1 s", reason, got)
		}
		if len(m.failedJobs) > 0 || len(j.failedMachines) > 0 || !j.retryAt.IsZero() || m.cordoned {
			t.Errorf("%s: failed jobs %v, failed machines %v, retry at %v, cordoned %v; want no effect", reason, m.failedJobs, j.failedMachines, j.retryAt, m.cordoned)
		}
	}
}
