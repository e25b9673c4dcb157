package agent

import (
	"time"

	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// gangAttempt identifies an attempt of a gang. Only tasks of the same attempt join each
// other.
type gangAttempt struct {
	job     string
	attempt uint64
}

// gang is the state of one attempt of a gang.
type gang struct {
	joinedTasks     map[string]bool      // tasks that have fetched their image, by name
	stoppingTasks   map[string]bool      // tasks that were stopped with a grace period to save a checkpoint, by name
	startedAt       time.Time            // when the last task joined; zero until then
	stopRequestedAt time.Time            // when the first of stoppingTasks was stopped; zero until then
	brokenAt        time.Time            // when a started task was lost or stopped without a checkpoint; zero until then
	hangingSince    map[string]time.Time // since when the machines of tasks hang, by task name
	checkpointSaved bool                 // the checkpoint of the stopped gang is saved
	allCompleted    bool                 // all tasks have completed
}

// isFinal reports whether the gang's outcome is final: its tasks have completed, its checkpoint
// is saved, or it is broken.
func (g *gang) isFinal() bool { return g.allCompleted || g.checkpointSaved || !g.brokenAt.IsZero() }

// gangForTask returns the gang attempt that a task belongs to. The caller holds f.mu.
func (f *Fleet) gangForTask(t *task) *gang {
	key := gangAttempt{trace.JobID(t.name), t.attempt}
	g := f.gangs[key]
	if g == nil {
		g = &gang{joinedTasks: map[string]bool{}, stoppingTasks: map[string]bool{}, hangingSince: map[string]time.Time{}}
		f.gangs[key] = g
	}
	return g
}

// joinGang adds a task to its gang. The gang starts when its last task joins.
func (f *Fleet) joinGang(t *task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangForTask(t)
	g.joinedTasks[t.name] = true
	if g.startedAt.IsZero() && len(g.joinedTasks) == t.spec.TaskCount {
		g.startedAt = time.Now()
	}
}

// leaveGang removes a task that is no longer on its machine. This breaks a gang that has
// started, unless its outcome is final.
func (f *Fleet) leaveGang(t *task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangForTask(t)
	if g.startedAt.IsZero() {
		delete(g.joinedTasks, t.name)
	} else if !g.isFinal() {
		g.brokenAt = time.Now()
	}
}

// setTasksHanging records that the machine with these tasks hangs or has resumed.
func (f *Fleet) setTasksHanging(tasks map[string]*task, hanging bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range tasks {
		if !t.spec.Gang || t.state == wire.StateExited {
			continue
		}
		if hanging {
			f.gangForTask(t).hangingSince[t.name] = time.Now()
		} else {
			delete(f.gangForTask(t).hangingSince, t.name)
		}
	}
}

// breakIfHanging breaks a running gang if the machine of one of its tasks has been hanging
// for half of GangPeerTimeout. The other half passes before the remaining tasks exit. The
// caller holds f.mu.
func (f *Fleet) breakIfHanging(g *gang) {
	if g.startedAt.IsZero() || g.isFinal() {
		return
	}
	for _, since := range g.hangingSince {
		if time.Since(since) >= f.GangPeerTimeout/2 {
			g.brokenAt = time.Now()
		}
	}
}

// beginGangStop begins to stop a task of a gang with a checkpoint and reports whether it did. It
// doesn't if the gang has not started or is broken: then there is nothing to save, and the
// caller makes the task exit at once.
func (f *Fleet) beginGangStop(t *task) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangForTask(t)
	if g.startedAt.IsZero() || !g.brokenAt.IsZero() {
		return false
	}
	if g.stopRequestedAt.IsZero() {
		g.stopRequestedAt = time.Now()
	}
	g.stoppingTasks[t.name] = true
	return true
}

// nextGangState returns the state that a task of a gang is to be in now and, if the task
// exits, the reason.
func (f *Fleet) nextGangState(t *task) (state, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, now := f.gangForTask(t), time.Now()
	f.breakIfHanging(g)
	switch {
	case t.state == wire.StateAwaitingGang && g.startedAt.IsZero():
		if now.Sub(t.stateSince) >= f.GangWaitTimeout {
			return wire.StateExited, wire.ReasonIncompleteGang
		}
		return wire.StateAwaitingGang, ""
	case g.allCompleted:
		return wire.StateExited, wire.ReasonDone
	case !g.brokenAt.IsZero():
		if now.Sub(g.brokenAt) >= f.GangPeerTimeout/2 {
			return wire.StateExited, wire.ReasonGangTaskEnded
		}
		return t.state, ""
	case !g.stopRequestedAt.IsZero():
		return f.nextStoppingState(g, t, now)
	case now.Sub(g.startedAt)+f.savedProgress[trace.JobID(t.name)] >= seconds(t.spec.EstimateS):
		f.completeGang(g)
		return wire.StateExited, wire.ReasonDone
	}
	return wire.StateRunning, ""
}

// nextStoppingState is nextGangState for a gang that is being stopped. Once all tasks were
// stopped and had the time to save a checkpoint, the gang's progress is saved. If some tasks
// are not stopped within GangPeerTimeout, the others exit without saving. The caller holds
// f.mu.
func (f *Fleet) nextStoppingState(g *gang, t *task, now time.Time) (state, reason string) {
	elapsed := now.Sub(g.stopRequestedAt)
	allStopping := len(g.stoppingTasks) == t.spec.TaskCount
	switch {
	case allStopping && elapsed >= seconds(t.spec.CheckpointSaveS):
		if !g.checkpointSaved {
			g.checkpointSaved = true
			f.savedProgress[trace.JobID(t.name)] += g.stopRequestedAt.Sub(g.startedAt)
		}
		return wire.StateExited, wire.ReasonStopped
	case !allStopping && elapsed > f.GangPeerTimeout:
		return wire.StateExited, wire.ReasonGangTaskEnded
	}
	return t.state, ""
}

// completeGang saves the results of all tasks of a gang. The caller holds f.mu.
func (f *Fleet) completeGang(g *gang) {
	g.allCompleted = true
	for name := range g.joinedTasks { // no task leaves this set once the gang has started
		f.taskCompletedLocked(name)
	}
}
