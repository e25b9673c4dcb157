package standin

import (
	"fmt"
	"time"

	"eiderhitch/internal/wire"
)

// gang is one attempt of a gang's tasks, which find each other by its number.
type gang struct {
	waiting map[string]bool // tasks that have their image
	told    map[string]bool // to stop, with time to save
	started time.Time
	stopped time.Time            // the first stop
	broken  time.Time            // a task is gone that had started, or was stopped without grace
	hung    map[string]time.Time // tasks whose machine hangs, since when
	kept    bool
	done    bool
}

// gangOf is the attempt that a task belongs to; called with the lock of the world.
func (w *World) gangOf(t *workerTask) *gang {
	key := fmt.Sprint(jobOf(t.name), "/", t.attempt)
	g := w.gangs[key]
	if g == nil {
		g = &gang{waiting: map[string]bool{}, told: map[string]bool{}, hung: map[string]time.Time{}}
		w.gangs[key] = g
	}
	return g
}

// gangPeer is how soon a gang notices that a task is gone.
func (w *World) gangPeer() time.Duration {
	return time.Duration(w.GangPeerS * float64(time.Second))
}

// gather has a task wait for the others; with the last one they start.
func (w *World) gather(t *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangOf(t)
	g.waiting[t.name] = true
	if g.started.IsZero() && len(g.waiting) == t.spec.Tasks {
		g.started = time.Now()
	}
}

// leave: a task of a gang is not on its machine any more.
func (w *World) leave(t *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangOf(t)
	if g.started.IsZero() {
		delete(g.waiting, t.name)
	} else if g.broken.IsZero() && !g.done && !g.kept {
		g.broken = time.Now()
	}
}

// gangsHang notes that a machine with tasks hangs, or goes on.
func (w *World) gangsHang(tasks map[string]*workerTask, hang bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range tasks {
		if !t.spec.Gang || t.state == wire.Exited {
			continue
		}
		if hang {
			w.gangOf(t).hung[t.name] = time.Now()
		} else {
			delete(w.gangOf(t).hung, t.name)
		}
	}
}

// notice has a gang that runs find out that the machine of one of its tasks hangs.
func (w *World) notice(g *gang) {
	if g.started.IsZero() || g.done || g.kept || !g.broken.IsZero() {
		return
	}
	for _, since := range g.hung {
		if time.Since(since) >= w.gangPeer()/2 {
			g.broken = time.Now()
		}
	}
}

// tell is an orderly stop of one task; false if it exits at once.
func (w *World) tell(t *workerTask) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangOf(t)
	if g.started.IsZero() || !g.broken.IsZero() {
		return false
	}
	if g.stopped.IsZero() {
		g.stopped = time.Now()
	}
	g.told[t.name] = true
	return true
}

// next is what becomes of a gang's task now: a state, or an exit and why.
func (w *World) next(t *workerTask) (state, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g, now := w.gangOf(t), time.Now()
	id := jobOf(t.name)
	w.notice(g)
	switch {
	case t.state == wire.Gathering && g.started.IsZero():
		if now.Sub(t.from) >= time.Duration(w.GangWaitS*float64(time.Second)) {
			return wire.Exited, wire.ReasonIncompleteGang
		}
		return wire.Gathering, ""
	case g.done:
		return wire.Exited, wire.ReasonDone
	case !g.broken.IsZero():
		if now.Sub(g.broken) >= w.gangPeer()/2 {
			return wire.Exited, wire.ReasonPeersGone
		}
		return t.state, ""
	case !g.stopped.IsZero():
		switch late := now.Sub(g.stopped) > w.gangPeer(); {
		case len(g.told) == t.spec.Tasks && now.Sub(g.stopped) >= time.Duration(t.spec.SaveS*float64(time.Second)):
			if !g.kept {
				g.kept = true
				w.progress[id] += g.stopped.Sub(g.started)
			}
			return wire.Exited, wire.ReasonStopped
		case len(g.told) < t.spec.Tasks && late:
			return wire.Exited, wire.ReasonPeersGone
		}
		return t.state, ""
	case now.Sub(g.started)+w.progress[id] >= time.Duration(t.spec.EstimateS*float64(time.Second)):
		g.done = true
		for name := range g.waiting { // all of them are
			w.finishedLocked(name)
		}
		return wire.Exited, wire.ReasonDone
	}
	return wire.Running, ""
}

// Saved is how much progress of a gang is kept.
func (w *World) Saved(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progress[id]
}
