package agent

import (
	"time"

	"eiderhitch/internal/simulation/trace"
)

// faults are the faults that a machine has now.
type faults struct {
	isolated     bool // nothing reaches it and nothing comes from it
	failing      bool // every task fails
	notReceiving bool // it sends heartbeats, but neither answers nor commands reach it
	notSending   bool // it reaches no controller, while direct commands reach it
	// resumed is closed when a machine that hangs goes on; nil: it doesn't hang. What comes
	// meanwhile is executed then, if its lease still runs.
	resumed    chan struct{}
	hangsSince time.Time
	// drift is how much longer than nominal its lease is, by its clock and others'.
	drift float64
	// imageDelay is by how much the fetch of an image takes longer than usual.
	imageDelay time.Duration
}

// isHanging tells whether the machine stands still.
func (f *faults) isHanging() bool { return f.resumed != nil }

// setFaults changes the machine's faults.
func (a *Agent) setFaults(change func(*faults)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.faults)
}

// SetIsolated cuts the machine off, or joins it again.
func (a *Agent) SetIsolated(isolated bool) {
	a.setFaults(func(f *faults) { f.isolated = isolated })
}

// SetTasksFailing has every task fail.
func (a *Agent) SetTasksFailing(failing bool) {
	a.setFaults(func(f *faults) { f.failing = failing })
}

// SetInboundBlocked has the machine's heartbeats arrive while nothing reaches it.
func (a *Agent) SetInboundBlocked(notReceiving bool) {
	a.setFaults(func(f *faults) { f.notReceiving = notReceiving })
}

// SetOutboundBlocked has the machine reach no controller while direct commands reach it.
func (a *Agent) SetOutboundBlocked(notSending bool) {
	a.setFaults(func(f *faults) { f.notSending = notSending })
}

// SetClockDrift makes the machine's lease longer by a fraction, as a slow clock does.
func (a *Agent) SetClockDrift(drift float64) {
	a.setFaults(func(f *faults) { f.drift = drift })
}

// SetImageFetchDelay has the machine take longer for images.
func (a *Agent) SetImageFetchDelay(delay time.Duration) {
	a.setFaults(func(f *faults) { f.imageDelay = delay })
}

// SetHanging has the machine stand still, or go on.
func (a *Agent) SetHanging(hanging bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case hanging && !a.faults.isHanging():
		a.advance()
		a.faults.resumed, a.faults.hangsSince = make(chan struct{}), time.Now()
		a.fleet.setTasksHanging(a.tasks, true)
	case !hanging && a.faults.isHanging():
		close(a.faults.resumed)
		a.faults.resumed = nil
		a.fleet.setTasksHanging(a.tasks, false)
		for _, t := range a.tasks {
			t.since = t.since.Add(time.Since(a.faults.hangsSince)) // they stood still as well
		}
		a.advance()
	}
}

// awaitResumed waits for a machine that hangs to go on; false: the simulation is over.
// Called with the lock held, which it lets go meanwhile.
func (a *Agent) awaitResumed() bool {
	for a.faults.isHanging() {
		resumed := a.faults.resumed
		a.mu.Unlock()
		select {
		case <-resumed:
		case <-a.fleet.ctx.Done():
		}
		a.mu.Lock()
		if a.fleet.ctx.Err() != nil {
			return false
		}
	}
	return true
}

// Terminate ends the machine without a word.
func (a *Agent) Terminate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.terminated {
		return
	}
	if a.booted {
		a.advance() // perhaps its lease was over already
	}
	a.terminated = true
	a.dropTasks(time.Now())
	a.fleet.recorder.Record(trace.MachineTerminated{At: time.Now(), Machine: a.instance.Name})
}

// TerminateAfter has the cloud take the machine after a while, which its heartbeats tell.
func (a *Agent) TerminateAfter(notice time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.terminatesAt = time.Now().Add(notice)
	time.AfterFunc(notice, a.Terminate)
	a.reportSoon()
}

// Restart ends the machine with all its tasks and has it back at once, in a new
// incarnation.
func (a *Agent) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropTasks(time.Now())
	a.beginIncarnation()
}

// beginIncarnation has the agent start anew; called with the lock held.
func (a *Agent) beginIncarnation() {
	a.incarnation++
	a.sequence, a.renewedAt = 0, time.Now()
	a.reportSoon()
}
