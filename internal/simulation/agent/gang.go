package agent

import (
	"time"

	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// gangAttempt is the number by which an attempt's tasks find each other.
type gangAttempt struct {
	job     string
	attempt uint64
}

// gang is one attempt of a gang's tasks.
type gang struct {
	waiting      map[string]bool // tasks that have their image
	stopping     map[string]bool // tasks that were stopped with time to save
	startedAt    time.Time
	stoppedAt    time.Time            // the first stop
	brokenAt     time.Time            // a task is gone that had started, or was stopped without grace
	hangingSince map[string]time.Time // by task whose machine hangs
	saved        bool
	done         bool
}

// isOver tells whether nothing can befall the gang any more.
func (g *gang) isOver() bool { return g.done || g.saved || !g.brokenAt.IsZero() }

// gangOf is the attempt that a task belongs to; called with the lock held.
func (f *Fleet) gangOf(t *task) *gang {
	key := gangAttempt{trace.JobID(t.name), t.attempt}
	g := f.gangs[key]
	if g == nil {
		g = &gang{waiting: map[string]bool{}, stopping: map[string]bool{}, hangingSince: map[string]time.Time{}}
		f.gangs[key] = g
	}
	return g
}

// joinGang has a task wait for the others; with the last one they start.
func (f *Fleet) joinGang(t *task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangOf(t)
	g.waiting[t.name] = true
	if g.startedAt.IsZero() && len(g.waiting) == t.spec.TaskCount {
		g.startedAt = time.Now()
	}
}

// leaveGang notes that a task of a gang is not on its machine any more.
func (f *Fleet) leaveGang(t *task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangOf(t)
	if g.startedAt.IsZero() {
		delete(g.waiting, t.name)
	} else if !g.isOver() {
		g.brokenAt = time.Now()
	}
}

// setTasksHanging notes that a machine with tasks hangs, or goes on.
func (f *Fleet) setTasksHanging(tasks map[string]*task, hanging bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range tasks {
		if !t.spec.Gang || t.state == wire.StateExited {
			continue
		}
		if hanging {
			f.gangOf(t).hangingSince[t.name] = time.Now()
		} else {
			delete(f.gangOf(t).hangingSince, t.name)
		}
	}
}

// breakIfHanging has a gang that runs find out that the machine of one of its tasks hangs.
func (f *Fleet) breakIfHanging(g *gang) {
	if g.startedAt.IsZero() || g.isOver() {
		return
	}
	for _, since := range g.hangingSince {
		if time.Since(since) >= f.GangPeerTimeout/2 {
			g.brokenAt = time.Now()
		}
	}
}

// stopGangTask is an orderly stop of one task; false if it exits at once.
func (f *Fleet) stopGangTask(t *task) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangOf(t)
	if g.startedAt.IsZero() || !g.brokenAt.IsZero() {
		return false
	}
	if g.stoppedAt.IsZero() {
		g.stoppedAt = time.Now()
	}
	g.stopping[t.name] = true
	return true
}

// nextGangState is what becomes of a gang's task now: a state, or an exit and its reason.
func (f *Fleet) nextGangState(t *task) (state, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, now := f.gangOf(t), time.Now()
	f.breakIfHanging(g)
	switch {
	case t.state == wire.StateAwaitingGang && g.startedAt.IsZero():
		if now.Sub(t.since) >= f.GangWaitTimeout {
			return wire.StateExited, wire.ReasonIncompleteGang
		}
		return wire.StateAwaitingGang, ""
	case g.done:
		return wire.StateExited, wire.ReasonDone
	case !g.brokenAt.IsZero():
		if now.Sub(g.brokenAt) >= f.GangPeerTimeout/2 {
			return wire.StateExited, wire.ReasonPeersGone
		}
		return t.state, ""
	case !g.stoppedAt.IsZero():
		return f.nextStoppingState(g, t, now)
	case now.Sub(g.startedAt)+f.checkpoints[trace.JobID(t.name)] >= seconds(t.spec.EstimateS):
		f.completeGang(g)
		return wire.StateExited, wire.ReasonDone
	}
	return wire.StateRunning, ""
}

// nextStoppingState is nextGangState of a gang of which a task was stopped: once all are,
// its progress is saved, and if that takes too long they exit without.
func (f *Fleet) nextStoppingState(g *gang, t *task, now time.Time) (state, reason string) {
	stopping := now.Sub(g.stoppedAt)
	all := len(g.stopping) == t.spec.TaskCount
	switch {
	case all && stopping >= seconds(t.spec.CheckpointSaveS):
		if !g.saved {
			g.saved = true
			f.checkpoints[trace.JobID(t.name)] += g.stoppedAt.Sub(g.startedAt)
		}
		return wire.StateExited, wire.ReasonStopped
	case !all && stopping > f.GangPeerTimeout:
		return wire.StateExited, wire.ReasonPeersGone
	}
	return t.state, ""
}

// completeGang keeps the results of all tasks of a gang.
func (f *Fleet) completeGang(g *gang) {
	g.done = true
	for name := range g.waiting { // all of them are
		f.taskCompletedLocked(name)
	}
}
