package controller

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/core"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// unavailable tells a user to come back.
func unavailableResponse(why string) api.Response {
	return api.Response{Status: http.StatusServiceUnavailable, RetryAfter: 1, Reason: why}
}

// busy tells a user to come back once the actor has done what waits for it.
func (b *controller) busyResponse() api.Response {
	a := unavailableResponse("busy")
	a.RetryAfter = b.events.retryAfterS()
	return a
}

// startRead begins a read of the replica for everybody who waits, unless one
// is under way or was just done: users' reads share calls.
func (b *controller) startSharedRead() {
	if b.readInFlight || len(b.pendingReads) == 0 || b.readScheduled {
		return
	}
	if gap := b.readInterval() - b.now.Sub(b.lastReadAt); gap > 0 {
		b.readScheduled = true
		time.AfterFunc(gap, func() {
			b.enqueue(priorityState, func() { b.readScheduled = false; b.startSharedRead() })
		})
		return
	}
	waiting := b.pendingReads
	b.pendingReads = nil
	b.readInFlight, b.lastReadAt = true, b.now
	start, cursor, loaded := b.now, b.cursor, b.loaded
	go func() {
		err := errors.New("replica is not loaded")
		var ev *wire.WatchResponse
		if loaded {
			ev, err = b.stateClient.Watch(b.ctx, keyPrefix, cursor, 0)
		}
		b.enqueue(priorityState, func() {
			b.readInFlight = false
			if err == nil {
				b.applyEvents(ev)
				b.noteRead(start)
				b.lastClientRead.store(b.now)
			}
			for _, f := range waiting {
				f(err)
			}
			b.startSharedRead()
		})
	}()
}

// read notes a successful read that began at start.
func (b *controller) noteRead(start time.Time) {
	if start.After(b.freshAt) {
		b.freshAt = start
	}
}

// moment is a time that one goroutine notes and others look at.
type atomicTime struct{ at atomic.Pointer[time.Time] }

func (m *atomicTime) store(t time.Time) { m.at.Store(&t) }

// rest is how long it is until d has passed since the moment; 0 if there was none.
func (m *atomicTime) remaining(now time.Time, d time.Duration) time.Duration {
	at := m.at.Load()
	if at == nil {
		return 0
	}
	return d - now.Sub(*at)
}

// readGap spaces reads so that all controllers together use a quarter of the
// state service's limit for them, and each no more than it has use for: those
// who ask wait up to 2 s.
func (b *controller) readInterval() time.Duration {
	s := &b.cfg.Settings
	return max(time.Duration(float64(time.Second)*float64(s.Count)/(s.State.RPS*0.25)), 200*time.Millisecond)
}

// afterRead has f run in the actor with the result of a read of the replica that
// begins after now.
func (b *controller) afterRead(f func(err error)) {
	b.pendingReads = append(b.pendingReads, f)
	b.startSharedRead()
}

// state is what a user is told of a known job.
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
		for _, r := range j.groups {
			running += r.boundTasks()
			finished += r.done
		}
		if running > 0 {
			s.State = wire.Running
		}
		s.Done, s.Running = &finished, &running
	}
	return s
}

// known is the job of that name, if one was ever accepted.
func (b *controller) lookupJob(id string) *job {
	if j := b.jobs[id]; j != nil && j.revision != 0 {
		return j
	}
	if fate, ok := b.finished[id]; ok {
		return &job{id: id, revision: 1, finalState: int(fate)}
	}
	return nil
}

// impossible says why a job can never run, or "".
func (b *controller) unsatisfiable(j *wire.Job) string {
	tasks := 1
	if j.AllOrNothing() {
		tasks = j.Tasks
	}
	if len(record.JSON(record.Job{FinalState: cancelledJob, AcceptedAtMS: b.now.UnixMilli(), Spec: j})) > b.maxValueBytes() {
		return "its description is larger than can be stored"
	}
	found := false
	for i := range b.cfg.Settings.Teams {
		t := &b.cfg.Settings.Teams[i]
		if t.Name != j.Team {
			continue
		}
		found = true
		if t.CPUsMax > 0 && j.CPUs*float64(tasks) > t.CPUsMax+1e-9 || t.GPUsMax > 0 && j.GPUs*float64(tasks) > t.GPUsMax+1e-9 {
			return "more than the team's limit"
		}
	}
	if !found {
		return "unknown team"
	}
	need := core.NewResources(j.CPUs, j.GPUs, j.RAM)
	for _, t := range b.machineTypes {
		if !core.NewResources(t.CPUs, t.GPUs, t.RAM).Contains(need) {
			continue
		}
		for _, z := range t.Zones {
			if allowed(j, "", t.Name, z, false) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

// Submit accepts a job.
func (b *controller) Submit(ctx context.Context, j *wire.Job) api.Response {
	begun := time.Now()
	ans := b.submit(ctx, j)
	b.metrics.observe(latencySubmit, time.Since(begun))
	switch {
	case ans.Status == http.StatusCreated:
		b.metrics.count(countAccepted, 1)
		b.log.Info("job accepted", "job", j.ID, "team", j.Team, "class", j.Class, "tasks", j.Tasks)
	case ans.Status >= 500:
		b.metrics.count(countUnavailable, 1)
		b.log.Debug("job not taken", "job", j.ID, "why", ans.Reason)
	case ans.Status >= 400:
		b.metrics.count(countRefused, 1)
		b.log.Info("job refused", "job", j.ID, "why", ans.Reason)
	}
	return ans
}

func (b *controller) submit(ctx context.Context, j *wire.Job) api.Response {
	var ans api.Response
	var result chan error
	check := false
	if !b.call(ctx, priorityUsers, func() {
		refusal, refused := b.refusal()
		switch {
		case !b.loaded:
			ans = unavailableResponse("starting")
		case refused:
			ans = refusal
		case b.lookupJob(j.ID) != nil:
			check = true
		case len(b.machineTypes) == 0:
			ans = unavailableResponse("machine types are not known yet")
		case !b.isFresh(b.operator.LeaseTTL):
			ans = unavailableResponse("state service out of reach")
		case b.unsatisfiable(j) != "":
			check = true
		default:
			result = make(chan error, 1)
			b.submitWrite(&store.Write{Urgent: true,
				Conditions: []wire.Condition{{Key: jobKey(j.ID)}},
				Changes:    []wire.Change{{Put: jobKey(j.ID), Value: record.JSON(record.Job{AcceptedAtMS: b.now.UnixMilli(), Spec: j})}},
			}, func(err error) { result <- err })
		}
	}) {
		return b.busyResponse()
	}
	if check {
		return b.answerKnown(ctx, j)
	}
	if result == nil {
		return ans
	}
	select {
	case err := <-result:
		switch {
		case err == nil:
			return api.Response{Status: http.StatusCreated, Body: wire.JobState{ID: j.ID, State: wire.Queued}}
		case errors.Is(err, store.ErrConflict):
			return b.answerKnown(ctx, j)
		}
		return unavailableResponse("state service: not stored")
	case <-ctx.Done():
		return unavailableResponse("state service: no answer")
	}
}

// answerKnown answers the submission of a job that is known already, or, if it
// turns out not to be, of one that can never run.
func (b *controller) answerKnown(ctx context.Context, j *wire.Job) api.Response {
	ans := b.Poll(ctx, j.ID)
	if ans.Status != http.StatusNotFound {
		return ans
	}
	why := ""
	b.call(ctx, priorityUsers, func() { why = b.unsatisfiable(j) })
	if why == "" {
		return unavailableResponse("try again")
	}
	return api.Response{Status: http.StatusUnprocessableEntity, Reason: why}
}

// Poll tells a job's state. An answer that may still change is given only
// after a read of the state service that began after the question came, so
// that it is never older than what any controller has said.
func (b *controller) Poll(ctx context.Context, id string) api.Response {
	b.metrics.count(countPolls, 1)
	if !wire.ValidID(id) {
		return api.Response{Status: http.StatusNotFound, Reason: "no such job"}
	}
	// One turn of the actor for the question and one for the result of the read: each
	// may be long in coming when there is little processor time.
	answer := make(chan api.Response, 1)
	if !b.call(ctx, priorityUsers, func() {
		j := b.lookupJob(id)
		refusal, refused := b.refusal()
		switch {
		case !b.loaded:
			answer <- unavailableResponse("starting")
		case refused:
			answer <- refusal
		case j != nil && j.finalState != unfinishedJob:
			answer <- api.Response{Status: http.StatusOK, Body: j.response()}
		case b.jobs[id] != nil && b.jobs[id].hasUnreadableRecords():
			answer <- unavailableResponse("a stored record of the job can't be decoded")
		default:
			b.afterRead(func(err error) {
				if err != nil {
					answer <- unavailableResponse("state service out of reach")
				} else if refusal, refused := b.refusal(); refused {
					answer <- refusal
				} else if j := b.jobs[id]; j != nil && j.hasUnreadableRecords() && j.finalState == unfinishedJob {
					answer <- unavailableResponse("a stored record of the job can't be decoded")
				} else if j := b.lookupJob(id); j != nil {
					answer <- api.Response{Status: http.StatusOK, Body: j.response()}
				} else {
					answer <- api.Response{Status: http.StatusNotFound, Reason: "no such job"}
				}
			})
		}
	}) {
		return b.busyResponse()
	}
	select {
	case ans := <-answer:
		return ans
	case <-ctx.Done():
		return unavailableResponse("state service out of reach")
	}
}

// Abort cancels a job.
func (b *controller) Cancel(ctx context.Context, id string) api.Response {
	for {
		ans := b.Poll(ctx, id)
		s, ok := ans.Body.(wire.JobState)
		if ans.Status != http.StatusOK || !ok {
			return ans
		}
		if s.State == wire.Done || s.State == wire.Cancelled {
			return ans
		}
		result := make(chan error, 1)
		if !b.call(ctx, priorityUsers, func() {
			j := b.lookupJob(id)
			if j == nil || j.finalState != unfinishedJob || j.spec == nil {
				result <- store.ErrConflict
				return
			}
			b.submitWrite(&store.Write{Urgent: true,
				Conditions: []wire.Condition{{Key: jobKey(id), Revision: j.revision}},
				Changes:    []wire.Change{{Put: jobKey(id), Value: b.cancelledValue(j)}},
			}, func(err error) { result <- err })
		}) {
			return b.busyResponse()
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
			return b.busyResponse()
		}
	}
}

// Report answers a worker.
func (b *controller) Heartbeat(ctx context.Context, r *wire.Heartbeat) api.Response {
	var ans api.Response
	if !b.call(ctx, priorityWorkers, func() { ans = b.handleHeartbeat(r) }) {
		return b.busyResponse()
	}
	return ans
}

// Ready tells the load balancer whether to send users. It does not wait for the
// actor, but goes by what that said last: the balancer would take a probe that waits
// for a failure, and send the users of a controller that is slow to others as slow.
func (b *controller) Ready() bool {
	at := b.readyAt.Load()
	return at != nil && time.Since(*at) < b.operator.LeaseTTL
}

// noteReady notes for Ready what the actor knows now. A controller that alone can't
// reach the state service stands back; in an outage for all nobody does, since
// leaving and coming back would only make it longer for users.
func (b *controller) updateReadiness() {
	if b.rollout.refusal != nil {
		b.readyAt.Store(nil)
		return
	}
	ready := b.loaded && len(b.machineTypes) > 0 && b.isFresh(b.operator.LeaseTTL+2*time.Second)
	if !ready {
		heard, ok := false, false
		for _, s := range b.peers {
			if s.status != nil && b.now.Sub(s.heardAt) < 2500*time.Millisecond {
				heard = true
				ok = ok || s.status.Fresh
			}
		}
		ready = heard && !ok
	}
	if ready {
		now := b.now
		b.readyAt.Store(&now)
	} else {
		b.readyAt.Store(nil)
	}
}
