package agent

import (
	"time"

	"eiderhitch/internal/simulation/trace"
)

// faults holds the currently injected faults of a machine. The zero value has no faults.
type faults struct {
	isolated        bool // the machine neither sends nor receives anything
	tasksFailing    bool // tasks exit with an error when they would complete; gang tasks do as soon as they run
	inboundBlocked  bool // heartbeats arrive, but responses and direct commands are lost
	outboundBlocked bool // heartbeats are lost, but direct commands arrive
	// resumed is closed when a hanging machine resumes. It is nil if the machine doesn't hang.
	// Commands that arrive in the meantime are executed when the machine resumes, provided
	// that its lease is still valid.
	resumeSignal chan struct{}
	hangingSince time.Time
	// clockDrift is the fraction by which the machine's lease lasts longer than its nominal
	// TTL, because its clock is slower than the controllers' clocks.
	clockDrift float64
	// imageFetchDelay is the additional time that each image fetch takes.
	imageFetchDelay time.Duration
}

// isHanging reports whether the machine hangs: it executes nothing and sends no heartbeats.
func (f *faults) isHanging() bool { return f.resumeSignal != nil }

// updateFaults calls change with the machine's faults, holding a.mu.
func (a *Agent) updateFaults(change func(*faults)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.faults)
}

// IsReachable reports whether the machine's heartbeats and the responses to them arrive.
func (a *Agent) IsReachable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := &a.faults
	return a.booted && !a.terminated && !f.isolated && !f.inboundBlocked && !f.outboundBlocked && !f.isHanging()
}

// SetIsolated cuts the machine off from the network or reconnects it.
func (a *Agent) SetIsolated(isolated bool) {
	a.updateFaults(func(f *faults) { f.isolated = isolated })
}

// SetTasksFailing sets whether the machine's tasks fail.
func (a *Agent) SetTasksFailing(failing bool) {
	a.updateFaults(func(f *faults) { f.tasksFailing = failing })
}

// SetInboundBlocked sets whether the machine receives neither responses nor direct commands.
// Its heartbeats still arrive.
func (a *Agent) SetInboundBlocked(blocked bool) {
	a.updateFaults(func(f *faults) { f.inboundBlocked = blocked })
}

// SetOutboundBlocked sets whether the machine's heartbeats are lost. It still receives direct
// commands.
func (a *Agent) SetOutboundBlocked(blocked bool) {
	a.updateFaults(func(f *faults) { f.outboundBlocked = blocked })
}

// SetClockDrift makes the machine's lease last longer by the given fraction of its TTL, as a
// slow clock does.
func (a *Agent) SetClockDrift(fraction float64) {
	a.updateFaults(func(f *faults) { f.clockDrift = fraction })
}

// SetImageFetchDelay sets the additional time that each image fetch takes.
func (a *Agent) SetImageFetchDelay(delay time.Duration) {
	a.updateFaults(func(f *faults) { f.imageFetchDelay = delay })
}

// SetHanging makes the machine hang or resume. Tasks make no progress while it hangs.
func (a *Agent) SetHanging(hanging bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case hanging && !a.faults.isHanging():
		a.advance()
		a.faults.resumeSignal, a.faults.hangingSince = make(chan struct{}), time.Now()
		a.fleet.setTasksHanging(a.tasks, true)
	case !hanging && a.faults.isHanging():
		close(a.faults.resumeSignal)
		a.faults.resumeSignal = nil
		a.fleet.setTasksHanging(a.tasks, false)
		for _, t := range a.tasks {
			t.stateSince = t.stateSince.Add(time.Since(a.faults.hangingSince)) // the task made no progress while the machine hung
		}
		a.advance()
	}
}

// awaitResumed waits until the machine doesn't hang. It reports whether the machine runs
// again: false if the fleet's context is done first. The caller holds a.mu, which is released
// during the wait.
func (a *Agent) awaitResumed() bool {
	for a.faults.isHanging() {
		resumeSignal := a.faults.resumeSignal
		a.mu.Unlock()
		select {
		case <-resumeSignal:
		case <-a.fleet.ctx.Done():
		}
		a.mu.Lock()
		if a.fleet.ctx.Err() != nil {
			return false
		}
	}
	return true
}

// Terminate terminates the machine at once, without notice to the controllers.
func (a *Agent) Terminate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.terminated {
		return
	}
	if a.booted {
		a.advance() // the lease may already have expired, and its tasks stopped then
	}
	a.terminated = true
	a.dropTasks(time.Now())
	a.fleet.recorder.Record(trace.MachineTerminated{At: time.Now(), Machine: a.instance.Name})
}

// TerminateAfter schedules the machine's termination by the cloud. Until then its heartbeats
// carry a termination notice.
func (a *Agent) TerminateAfter(notice time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.terminatesAt = time.Now().Add(notice)
	time.AfterFunc(notice, a.Terminate)
	a.requestReport()
}

// Restart stops all tasks and restarts the machine immediately, with a new incarnation.
func (a *Agent) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropTasks(time.Now())
	a.beginIncarnation()
}

// RestartWithoutToken is like Restart, but the agent has also lost the highest fencing token that it
// has seen.
func (a *Agent) RestartWithoutToken() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropTasks(time.Now())
	a.fencingToken = 0
	a.beginIncarnation()
}

// beginIncarnation starts a new incarnation of the agent, with a new lease and a sequence that
// begins again. The caller holds a.mu.
func (a *Agent) beginIncarnation() {
	a.incarnation++
	a.sequence, a.leaseRenewedAt = 0, time.Now()
	a.requestReport()
}
