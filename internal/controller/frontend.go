package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// unavailableResponse tells a user to come back.
func unavailableResponse(why string) api.Response {
	return api.Response{Status: http.StatusServiceUnavailable, RetryAfter: 1, Reason: why}
}

// busyResponse tells a user to come back once the actor has done what waits for it.
func (c *controller) busyResponse() api.Response {
	a := unavailableResponse("busy")
	a.RetryAfter = c.events.retryAfterS()
	return a
}

// response is what a user is told of a known job.
func (j *job) response() wire.JobState {
	s := wire.JobState{ID: j.id}
	switch j.finalState {
	case doneJob:
		s.State = wire.Done
	case cancelledJob:
		s.State = wire.Cancelled
	default:
		s.State = wire.Queued
		running, finished := 0, 0
		for _, group := range j.groups {
			running += group.boundTasks()
			finished += group.done
		}
		if running > 0 {
			s.State = wire.Running
		}
		s.Done, s.Running = &finished, &running
	}
	return s
}

// lookupJob is the job of that name, if one was ever accepted.
func (c *controller) lookupJob(id string) *job {
	if j := c.jobs[id]; j != nil && j.revision != 0 {
		return j
	}
	if fate, ok := c.finished[id]; ok {
		return &job{id: id, revision: 1, finalState: int(fate)}
	}
	return nil
}

// unsatisfiable says why a job can never run, or "".
func (c *controller) unsatisfiable(spec *wire.Job) string {
	tasks := 1
	if spec.AllOrNothing() {
		tasks = spec.Tasks
	}
	if len(record.JSON(record.Job{FinalState: cancelledJob, AcceptedAtMS: c.now.UnixMilli(), Spec: spec})) > c.maxValueBytes() {
		return "its description is larger than can be stored"
	}
	found := false
	for i := range c.cfg.Settings.Teams {
		t := &c.cfg.Settings.Teams[i]
		if t.Name != spec.Team {
			continue
		}
		found = true
		if t.CPUsMax > 0 && spec.CPUs*float64(tasks) > t.CPUsMax+1e-9 || t.GPUsMax > 0 && spec.GPUs*float64(tasks) > t.GPUsMax+1e-9 {
			return "more than the team's limit"
		}
	}
	if !found {
		return "unknown team"
	}
	need := scheduling.NewResources(spec.CPUs, spec.GPUs, spec.RAMGB)
	for _, t := range c.machineTypes {
		if !scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB).Contains(need) {
			continue
		}
		for _, z := range t.Zones {
			if allowed(spec, "", t.Name, z, false) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

// Submit accepts a job.
func (c *controller) Submit(ctx context.Context, spec *wire.Job) api.Response {
	begun := time.Now()
	ans := c.submit(ctx, spec)
	c.metrics.observe(latencySubmit, time.Since(begun))
	switch {
	case ans.Status == http.StatusCreated:
		c.metrics.count(countAccepted, 1)
		c.log.Info("job accepted", "job", spec.ID, "team", spec.Team, "class", spec.Class, "tasks", spec.Tasks)
	case ans.Status >= 500:
		c.metrics.count(countUnavailable, 1)
		c.log.Debug("job not taken", "job", spec.ID, "why", ans.Reason)
	case ans.Status >= 400:
		c.metrics.count(countRefused, 1)
		c.log.Info("job refused", "job", spec.ID, "why", ans.Reason)
	}
	return ans
}

func (c *controller) submit(ctx context.Context, spec *wire.Job) api.Response {
	var ans api.Response
	var result chan error
	check := false
	if !c.call(ctx, priorityUsers, func() {
		refusal, refused := c.refusal()
		switch {
		case !c.replica.Loaded():
			ans = unavailableResponse("starting")
		case refused:
			ans = refusal
		case c.lookupJob(spec.ID) != nil:
			check = true
		case len(c.machineTypes) == 0:
			ans = unavailableResponse("machine types are not known yet")
		case !c.isFresh(c.operator.LeaseTTL):
			ans = unavailableResponse("state service out of reach")
		case c.unsatisfiable(spec) != "":
			check = true
		default:
			result = make(chan error, 1)
			c.SubmitWrite(&store.Write{Urgent: true,
				Conditions: []wire.Condition{{Key: jobKey(spec.ID)}},
				Changes:    []wire.Change{{Put: jobKey(spec.ID), Value: record.JSON(record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: spec})}},
			}, func(err error) { result <- err })
		}
	}) {
		return c.busyResponse()
	}
	if check {
		return c.answerKnown(ctx, spec)
	}
	if result == nil {
		return ans
	}
	select {
	case err := <-result:
		switch {
		case err == nil:
			return api.Response{Status: http.StatusCreated, Body: wire.JobState{ID: spec.ID, State: wire.Queued}}
		case errors.Is(err, store.ErrConflict):
			return c.answerKnown(ctx, spec)
		}
		return unavailableResponse("state service: not stored")
	case <-ctx.Done():
		return unavailableResponse("state service: no answer")
	}
}

// answerKnown answers the submission of a job that is known already, or, if it
// turns out not to be, of one that can never run.
func (c *controller) answerKnown(ctx context.Context, spec *wire.Job) api.Response {
	ans := c.Poll(ctx, spec.ID)
	if ans.Status != http.StatusNotFound {
		return ans
	}
	why := ""
	c.call(ctx, priorityUsers, func() { why = c.unsatisfiable(spec) })
	if why == "" {
		return unavailableResponse("try again")
	}
	return api.Response{Status: http.StatusUnprocessableEntity, Reason: why}
}

// Poll tells a job's state. An answer that may still change is given only
// after a read of the state service that began after the question came, so
// that it is never older than what any controller has said.
func (c *controller) Poll(ctx context.Context, id string) api.Response {
	c.metrics.count(countPolls, 1)
	if !wire.ValidJobID(id) {
		return api.Response{Status: http.StatusNotFound, Reason: "no such job"}
	}
	// One turn of the actor for the question and one for the result of the read: each
	// may be long in coming when there is little processor time.
	answer := make(chan api.Response, 1)
	if !c.call(ctx, priorityUsers, func() {
		j := c.lookupJob(id)
		refusal, refused := c.refusal()
		switch {
		case !c.replica.Loaded():
			answer <- unavailableResponse("starting")
		case refused:
			answer <- refusal
		case j != nil && j.finalState != unfinishedJob:
			answer <- api.Response{Status: http.StatusOK, Body: j.response()}
		case c.jobs[id] != nil && c.jobs[id].hasUnreadableRecords():
			answer <- unavailableResponse("a stored record of the job can't be decoded")
		default:
			c.reader.AfterRead(func(err error) {
				if err != nil {
					answer <- unavailableResponse("state service out of reach")
				} else if refusal, refused := c.refusal(); refused {
					answer <- refusal
				} else if j := c.jobs[id]; j != nil && j.hasUnreadableRecords() && j.finalState == unfinishedJob {
					answer <- unavailableResponse("a stored record of the job can't be decoded")
				} else if job := c.lookupJob(id); job != nil {
					answer <- api.Response{Status: http.StatusOK, Body: job.response()}
				} else {
					answer <- api.Response{Status: http.StatusNotFound, Reason: "no such job"}
				}
			})
		}
	}) {
		return c.busyResponse()
	}
	select {
	case ans := <-answer:
		return ans
	case <-ctx.Done():
		return unavailableResponse("state service out of reach")
	}
}

// Cancel cancels a job.
func (c *controller) Cancel(ctx context.Context, id string) api.Response {
	for {
		ans := c.Poll(ctx, id)
		s, ok := ans.Body.(wire.JobState)
		if ans.Status != http.StatusOK || !ok {
			return ans
		}
		if s.State == wire.Done || s.State == wire.Cancelled {
			return ans
		}
		result := make(chan error, 1)
		if !c.call(ctx, priorityUsers, func() {
			job := c.lookupJob(id)
			if job == nil || job.finalState != unfinishedJob || job.spec == nil {
				result <- store.ErrConflict
				return
			}
			c.SubmitWrite(&store.Write{Urgent: true,
				Conditions: []wire.Condition{{Key: jobKey(id), Revision: job.revision}},
				Changes:    []wire.Change{{Put: jobKey(id), Value: c.cancelledValue(job)}},
			}, func(err error) { result <- err })
		}) {
			return c.busyResponse()
		}
		select {
		case err := <-result:
			if err == nil {
				return api.Response{Status: http.StatusOK, Body: wire.JobState{ID: id, State: wire.Cancelled}}
			}
			if !errors.Is(err, store.ErrConflict) {
				return unavailableResponse("state service: not stored")
			}
		case <-ctx.Done():
			return unavailableResponse("state service: no answer")
		}
		if ctx.Err() != nil {
			return c.busyResponse()
		}
	}
}

// Heartbeat answers a worker.
func (c *controller) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) api.Response {
	var ans api.Response
	if !c.call(ctx, priorityWorkers, func() { ans = c.handleHeartbeat(heartbeat) }) {
		return c.busyResponse()
	}
	return ans
}

// Ready tells the load balancer whether to send users. It does not wait for the
// actor, but goes by what that said last: the balancer would take a probe that waits
// for a failure, and send the users of a controller that is slow to others as slow.
func (c *controller) Ready() bool {
	at := c.readyAt.Load()
	return at != nil && time.Since(*at) < c.operator.LeaseTTL
}

// updateReadiness notes for Ready what the actor knows now. A controller that alone can't
// reach the state service stands back; in an outage for all nobody does, since
// leaving and coming back would only make it longer for users.
func (c *controller) updateReadiness() {
	if c.rollout.refusal != nil {
		c.readyAt.Store(nil)
		return
	}
	ready := c.replica.Loaded() && len(c.machineTypes) > 0 && c.isFresh(c.operator.LeaseTTL+2*time.Second)
	if !ready {
		heard, ok := false, false
		for _, p := range c.peers.All() {
			if p.Heard(peer.Timeout, c.now) {
				heard = true
				ok = ok || p.Status.Fresh
			}
		}
		ready = heard && !ok
	}
	if ready {
		now := c.now
		c.readyAt.Store(&now)
	} else {
		c.readyAt.Store(nil)
	}
}
