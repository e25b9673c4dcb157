package controller

import (
	"slices"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// shouldStop tells whether a bound task should not be there.
func (c *clusterState) shouldStop(group *taskGroup, t scheduling.Task, m *machine, p *partition) bool {
	if group.job.spec != nil && group.job.spec.Gang {
		return c.gangMustStop(group.job)
	}
	return group.job.finalState != record.Unfinished || c.mustPreempt(group, t, m, p)
}

// stopDecider asks shouldStop for the tasks of one machine, and once for all those of a gang:
// whether a gang stops is known only from all of its tasks, of which there may be thousands.
type stopDecider struct {
	b     *clusterState
	gang  *job
	stops bool
}

func (c *stopDecider) shouldStop(group *taskGroup, t scheduling.Task, m *machine, p *partition) bool {
	if group.job.spec == nil || !group.job.spec.Gang {
		return c.b.shouldStop(group, t, m, p)
	}
	if c.gang != group.job {
		c.gang, c.stops = group.job, c.b.shouldStop(group, t, m, p)
	}
	return c.stops
}

// mustPreempt tells whether a task has to leave its machine.
func (c *clusterState) mustPreempt(group *taskGroup, t scheduling.Task, m *machine, p *partition) bool {
	if cell := p.cells.CellOf(t); cell != nil && cell.State == scheduling.Reserving || group.exceedsThrottle(t.Number) {
		return true
	}
	if loan := c.loans[m.name]; loan != nil && !loan.Acknowledged && loan.claim(c).CanPreempt(group.claim()) {
		return true
	}
	// A task that can save is stopped before its machine is taken.
	return !m.terminationAt.IsZero() && group.job.spec != nil && group.job.spec.CheckpointS > 0 || m.cordoned
}

// commands are what a machine should do, by its newest report.
func (c *clusterState) commands(m *machine, p *partition) []wire.Command {
	var stops, starts []wire.Command
	var there []string // tasks with an attempt that can't be reaped yet
	shown := make(shownTasks, 0, len(m.tasks))
	open := m.startMayArrive(p)
	stop := stopDecider{b: c}
	for i := range m.tasks {
		t := &m.tasks[i]
		job, group, bound := c.lookup(t.Task)
		if bound == nil && job != nil && job.hasUnreadableRecords() && job.finalState == record.Unfinished {
			continue // it may well be bound there, in the record that can't be decoded
		}
		if bound == nil || bound.machine != m || bound.attempt != t.Attempt || bound.incarnation != m.incarnation {
			if t.State != wire.Exited {
				zero := 0.0
				stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
			} else if open || m.token != p.token {
				there = append(there, t.Task)
			} else {
				// After a reap the worker knows the attempt no more, and a
				// late start of it would run it again: only when none can come.
				stops = append(stops, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
			}
			continue
		}
		shown.add(group.task(bound.task))
		if t.State == wire.Exited || !stop.shouldStop(group, group.task(bound.task), m, p) {
			continue
		}
		grace := c.stopGraceS(group.job)
		if t.State != wire.Saving || grace == 0 {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	// Nothing starts on the strength of an old read: from the moment a user is told
	// "cancelled", by whomever, no task of the job may. Reports are answered for longer
	// than that (MaxStaleness), so that what runs goes on.
	if len(shown) == len(m.bindings) || !c.isFresh(c.operator.LeaseTTL) {
		return stops
	}
	for _, x := range m.bindings {
		t, group := x.task, x.group
		bound := group.binding(t.Number)
		if bound == nil || shown.has(t) || bound.incarnation != m.incarnation || stop.shouldStop(group, t, m, p) {
			continue
		}
		if o, ok := c.attemptEnds[t]; ok && o.attempt == bound.attempt {
			continue
		}
		if spec := group.job.spec; spec != nil && spec.Gang && !group.job.gangBound() {
			continue
		}
		if name := taskName(group.job.id, t.Number); !slices.Contains(there, name) { // it would be refused
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: name, Attempt: bound.attempt})
		}
	}
	return append(stops, starts...)
}
