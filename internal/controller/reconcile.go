package controller

import (
	"slices"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// reconcile draws proofs from a machine's newest report.
func (c *clusterState) reconcile(m *machine, p *partition) {
	// An older owner's start may still be under way until the machine has
	// shown our token; one of ours while a direct command is unanswered.
	settled := m.token == p.token && !m.startMayArrive(p)
	if m.direct.unansweredStartToken == p.token && m.direct.unansweredStartToken != 0 && !m.direct.inFlight {
		p.tokenRaiseDue = true
	}
	shown := make(shownTasks, 0, len(m.tasks))
	for i := range m.tasks {
		t := &m.tasks[i]
		job, group, bound := c.lookup(t.Task)
		if bound == nil || bound.machine != m || bound.attempt != t.Attempt || bound.incarnation != m.incarnation {
			continue
		}
		shown.add(group.task(bound.task))
		if job.spec != nil && job.spec.Gang {
			job.noteGangTask(t)
		}
		if job.spec != nil && (t.State == wire.Running || t.State == wire.Gathering || t.State == wire.Saving) && job.spec.Image != "" {
			m.images[job.spec.Image] = true
			delete(m.fetching, job.spec.Image)
		}
		if t.State != wire.Exited {
			continue
		}
		o := attemptEnd{attempt: bound.attempt, done: t.Reason == wire.ReasonDone && job.spec != nil && !job.spec.Service, failed: t.Reason == wire.ReasonError}
		if old, ok := c.attemptEnds[group.task(bound.task)]; !ok || old.attempt != bound.attempt {
			c.noteTaskEnd(m, job, t.Reason)
		}
		c.endAttempt(group, bound, o)
	}
	if len(shown) == len(m.bindings) {
		return
	}
	stop := stopDecider{b: c}
	for _, x := range m.bindings {
		t, group := x.task, x.group
		bound := group.binding(t.Number)
		if bound == nil || bound.machine != m {
			continue
		}
		if bound.incarnation < m.incarnation {
			c.endAttempt(group, bound, attemptEnd{attempt: bound.attempt}) // the earlier session killed all
			continue
		}
		if settled && !shown.has(t) && stop.shouldStop(group, t, m, p) {
			c.endAttempt(group, bound, attemptEnd{attempt: bound.attempt})
		}
	}
}

// shownTasks are the bound tasks that a machine's report shows: few, so that a list
// serves better than a map would.
type shownTasks []scheduling.Task

func (s *shownTasks) add(t scheduling.Task) {
	if !s.has(t) { // a report may name one twice
		*s = append(*s, t)
	}
}

func (s shownTasks) has(t scheduling.Task) bool { return slices.Contains(s, t) }

func (c *clusterState) lookup(name string) (*job, *taskGroup, *binding) {
	id, num, ok := parseTask(name)
	if !ok {
		return nil, nil, nil
	}
	j := c.jobs[id]
	if j == nil {
		return nil, nil, nil
	}
	group := j.groupOfTask[num]
	if group == nil {
		return j, nil, nil
	}
	return j, group, group.binding(num)
}

// endAttempt notes the proven end of an attempt; the record is rewritten in step.
func (c *clusterState) endAttempt(group *taskGroup, bound *binding, o attemptEnd) {
	t := group.task(bound.task)
	if old, ok := c.attemptEnds[t]; ok && old.attempt == bound.attempt {
		return
	}
	c.attemptEnds[t] = o
	group.hasUnstoredEnds = true
	if o.done {
		c.metrics.count(countDone, 1)
	} else {
		c.metrics.count(countLost, 1)
	}
	c.log.Debug("attempt over", "task", taskName(group.job.id, bound.task), "attempt", bound.attempt, "machine", bound.machine.name, "done", o.done)
	p := c.partitions[bound.machine.partition]
	if p.index != group.partition {
		if p.foreignGroups == nil {
			p.foreignGroups = map[*taskGroup]bool{}
		}
		p.foreignGroups[group] = true
	}
	p.countFreedCell(c.now)
	c.freeCell(p, t)
	c.requestPass()
}

// endAllAttempts ends every attempt on a machine that is gone or whose lease is over.
func (c *clusterState) endAllAttempts(m *machine, why string) {
	p := c.partitions[m.partition]
	if p.token == 0 {
		return
	}
	before := len(c.attemptEnds)
	for _, x := range m.bindings {
		t, group := x.task, x.group
		if bound := group.binding(t.Number); bound != nil && bound.machine == m {
			c.endAttempt(group, bound, attemptEnd{attempt: bound.attempt})
		}
	}
	if n := len(c.attemptEnds) - before; n > 0 {
		c.log.Info("tasks of a machine are lost", "machine", m.name, "tasks", n, "why", why)
	}
	for t, a := range p.reservations {
		if a.machine == m && !c.groups[t.Group].writing {
			delete(p.reservations, t)
			c.freeCell(p, t)
		}
	}
	p.cells.RemoveMachine(m.index)
}
