package agent

import (
	"time"

	"eiderhitch/internal/wire"
)

// task is one attempt of a task on a machine.
type task struct {
	name       string
	attempt    uint64
	state      string
	exitReason string    // why the task exited; empty until then
	stateSince time.Time // when the task entered its state
	spec       *wire.Job
}

// hasLasted reports whether the task has been in its state for at least s seconds.
func (t *task) hasLasted(now time.Time, s float64) bool { return now.Sub(t.stateSince) >= seconds(s) }

// advance brings the lease and the tasks up to the current time. If the lease has expired,
// the tasks stop at the time of expiry and a new incarnation begins. The caller holds a.mu.
func (a *Agent) advance() {
	now := time.Now()
	ttl := time.Duration(float64(a.fleet.LeaseTTL) * (1 + a.faults.clockDrift))
	if now.Sub(a.leaseRenewedAt) > ttl {
		a.dropTasks(a.leaseRenewedAt.Add(ttl))
		a.beginIncarnation()
	}
	if a.faults.isHanging() {
		return
	}
	for _, t := range a.sortedTasks() {
		if t.state == wire.StateFetchingImage && now.Sub(t.stateSince) >= seconds(t.spec.ImageGB)+a.faults.imageFetchDelay {
			a.startTask(t, now)
		}
		if t.spec.Gang {
			a.advanceGangTask(t)
		} else {
			a.advanceTask(t, now)
		}
	}
}

// startTask starts a task whose image has been fetched. A task of a gang waits for the rest of
// the gang. The caller holds a.mu.
func (a *Agent) startTask(t *task, now time.Time) {
	t.state, t.stateSince = wire.StateRunning, now
	a.fleet.taskStarted(a, t)
	if t.spec.Gang {
		t.state = wire.StateAwaitingGang
		a.fleet.joinGang(t)
	}
	a.requestReport()
}

// advanceTask brings a task that isn't part of a gang up to the current time. The caller holds
// a.mu.
func (a *Agent) advanceTask(t *task, now time.Time) {
	switch {
	case t.state == wire.StateRunning && !t.spec.Service && t.hasLasted(now, t.spec.EstimateS):
		reason := wire.ReasonDone
		if a.faults.tasksFailing {
			reason = wire.ReasonError
		}
		a.exitTask(t, reason)
	case t.state == wire.StateSavingCheckpoint && t.hasLasted(now, t.spec.CheckpointSaveS):
		a.exitTask(t, wire.ReasonStopped)
	}
}

// advanceGangTask brings a task of a gang up to the current time. The caller holds a.mu.
func (a *Agent) advanceGangTask(t *task) {
	if t.state == wire.StateFetchingImage || t.state == wire.StateExited {
		return
	}
	state, reason := a.fleet.nextGangState(t)
	if state == wire.StateRunning && a.faults.tasksFailing {
		state, reason = wire.StateExited, wire.ReasonError
	}
	switch {
	case state == wire.StateExited:
		a.exitTask(t, reason)
	case state != t.state && t.state == wire.StateAwaitingGang:
		t.state = state
		a.requestReport()
	}
}

// exitTask moves a task to the exited state. The caller holds a.mu.
func (a *Agent) exitTask(t *task, reason string) {
	now := time.Now()
	a.fleet.taskStopped(a, t, now)
	if t.spec.Gang {
		a.fleet.leaveGang(t)
	}
	t.state, t.exitReason, t.stateSince = wire.StateExited, reason, now
	if reason == wire.ReasonDone {
		a.fleet.taskCompleted(t.name)
	}
	a.requestReport()
}

// dropTasks removes all tasks from the machine. Later heartbeats don't mention them. The
// caller holds a.mu.
func (a *Agent) dropTasks(at time.Time) {
	for _, t := range a.sortedTasks() {
		if t.state == wire.StateExited {
			continue
		}
		a.fleet.taskStopped(a, t, at)
		if t.spec.Gang {
			a.fleet.leaveGang(t)
		}
	}
	a.tasks = map[string]*task{}
}
