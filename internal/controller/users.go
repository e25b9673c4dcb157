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
func unavailable(why string) api.Response {
	return api.Response{Status: http.StatusServiceUnavailable, RetryAfter: 1, Reason: why}
}

// busy tells a user to come back once the actor has done what waits for it.
func (b *brain) busy() api.Response {
	a := unavailable("busy")
	a.RetryAfter = b.inbox.backIn()
	return a
}

// startRead begins a read of the replica for everybody who waits, unless one
// is under way or was just done: users' reads share calls.
func (b *brain) startRead() {
	if b.reading || len(b.readNext) == 0 || b.readTimer {
		return
	}
	if gap := b.readGap() - b.now.Sub(b.lastRead); gap > 0 {
		b.readTimer = true
		time.AfterFunc(gap, func() {
			b.post(laneState, func() { b.readTimer = false; b.startRead() })
		})
		return
	}
	waiting := b.readNext
	b.readNext = nil
	b.reading, b.lastRead = true, b.now
	start, cursor, loaded := b.now, b.cursor, b.loaded
	go func() {
		err := errors.New("replica is not loaded")
		var ev *wire.WatchResponse
		if loaded {
			ev, err = b.st.Watch(b.ctx, prefix, cursor, 0)
		}
		b.post(laneState, func() {
			b.reading = false
			if err == nil {
				b.events(ev)
				b.read(start)
				b.usersRead.note(b.now)
			}
			for _, f := range waiting {
				f(err)
			}
			b.startRead()
		})
	}()
}

// read notes a successful read that began at start.
func (b *brain) read(start time.Time) {
	if start.After(b.freshAt) {
		b.freshAt = start
	}
}

// moment is a time that one goroutine notes and others look at.
type moment struct{ at atomic.Pointer[time.Time] }

func (m *moment) note(t time.Time) { m.at.Store(&t) }

// rest is how long it is until d has passed since the moment; 0 if there was none.
func (m *moment) rest(now time.Time, d time.Duration) time.Duration {
	at := m.at.Load()
	if at == nil {
		return 0
	}
	return d - now.Sub(*at)
}

// readGap spaces reads so that all controllers together use a quarter of the
// state service's limit for them, and each no more than it has use for: those
// who ask wait up to 2 s.
func (b *brain) readGap() time.Duration {
	s := &b.cfg.Settings
	return max(time.Duration(float64(time.Second)*float64(s.Count)/(s.State.RPS*0.25)), 200*time.Millisecond)
}

// afterRead has f run in the actor with the result of a read of the replica that
// begins after now.
func (b *brain) afterRead(f func(err error)) {
	b.readNext = append(b.readNext, f)
	b.startRead()
}

// state is what a user is told of a known job.
func (j *job) state() wire.JobState {
	s := wire.JobState{ID: j.id}
	switch j.fate {
	case done:
		s.State = wire.Done
	case cancelled:
		s.State = wire.Cancelled
	default:
		s.State = wire.Queued
		running, finished := 0, 0
		for _, r := range j.recs {
			running += r.bound()
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
func (b *brain) known(id string) *job {
	if j := b.jobs[id]; j != nil && j.stamp != 0 {
		return j
	}
	if fate, ok := b.over[id]; ok {
		return &job{id: id, stamp: 1, fate: int(fate)}
	}
	return nil
}

// impossible says why a job can never run, or "".
func (b *brain) impossible(j *wire.Job) string {
	tasks := 1
	if j.AllOrNothing() {
		tasks = j.Tasks
	}
	if len(record.JSON(record.Job{FinalState: cancelled, AcceptedAtMS: b.now.UnixMilli(), Spec: j})) > b.maxValue() {
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
	for _, t := range b.types {
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
func (b *brain) Submit(ctx context.Context, j *wire.Job) api.Response {
	begun := time.Now()
	ans := b.submit(ctx, j)
	b.metrics.observe(lSubmit, time.Since(begun))
	switch {
	case ans.Status == http.StatusCreated:
		b.metrics.count(cAccepted, 1)
		b.log.Info("job accepted", "job", j.ID, "team", j.Team, "class", j.Class, "tasks", j.Tasks)
	case ans.Status >= 500:
		b.metrics.count(cUnavailable, 1)
		b.log.Debug("job not taken", "job", j.ID, "why", ans.Reason)
	case ans.Status >= 400:
		b.metrics.count(cRefused, 1)
		b.log.Info("job refused", "job", j.ID, "why", ans.Reason)
	}
	return ans
}

func (b *brain) submit(ctx context.Context, j *wire.Job) api.Response {
	var ans api.Response
	var result chan error
	check := false
	if !b.ask(ctx, laneUsers, func() {
		refusal, refused := b.refuses()
		switch {
		case !b.loaded:
			ans = unavailable("starting")
		case refused:
			ans = refusal
		case b.known(j.ID) != nil:
			check = true
		case len(b.types) == 0:
			ans = unavailable("machine types are not known yet")
		case !b.fresh(b.op.LeaseTTL):
			ans = unavailable("state service out of reach")
		case b.impossible(j) != "":
			check = true
		default:
			result = make(chan error, 1)
			b.write(&store.Write{Urgent: true,
				Conditions: []wire.Condition{{Key: jobKey(j.ID)}},
				Changes:    []wire.Change{{Put: jobKey(j.ID), Value: record.JSON(record.Job{AcceptedAtMS: b.now.UnixMilli(), Spec: j})}},
			}, func(err error) { result <- err })
		}
	}) {
		return b.busy()
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
		return unavailable("state service: not stored")
	case <-ctx.Done():
		return unavailable("state service: no answer")
	}
}

// answerKnown answers the submission of a job that is known already, or, if it
// turns out not to be, of one that can never run.
func (b *brain) answerKnown(ctx context.Context, j *wire.Job) api.Response {
	ans := b.Poll(ctx, j.ID)
	if ans.Status != http.StatusNotFound {
		return ans
	}
	why := ""
	b.ask(ctx, laneUsers, func() { why = b.impossible(j) })
	if why == "" {
		return unavailable("try again")
	}
	return api.Response{Status: http.StatusUnprocessableEntity, Reason: why}
}

// Poll tells a job's state. An answer that may still change is given only
// after a read of the state service that began after the question came, so
// that it is never older than what any controller has said.
func (b *brain) Poll(ctx context.Context, id string) api.Response {
	b.metrics.count(cPolls, 1)
	if !wire.ValidID(id) {
		return api.Response{Status: http.StatusNotFound, Reason: "no such job"}
	}
	// One turn of the actor for the question and one for the result of the read: each
	// may be long in coming when there is little processor time.
	answer := make(chan api.Response, 1)
	if !b.ask(ctx, laneUsers, func() {
		j := b.known(id)
		refusal, refused := b.refuses()
		switch {
		case !b.loaded:
			answer <- unavailable("starting")
		case refused:
			answer <- refusal
		case j != nil && j.fate != live:
			answer <- api.Response{Status: http.StatusOK, Body: j.state()}
		case b.jobs[id] != nil && b.jobs[id].bad():
			answer <- unavailable("a stored record of the job can't be decoded")
		default:
			b.afterRead(func(err error) {
				if err != nil {
					answer <- unavailable("state service out of reach")
				} else if refusal, refused := b.refuses(); refused {
					answer <- refusal
				} else if j := b.jobs[id]; j != nil && j.bad() && j.fate == live {
					answer <- unavailable("a stored record of the job can't be decoded")
				} else if j := b.known(id); j != nil {
					answer <- api.Response{Status: http.StatusOK, Body: j.state()}
				} else {
					answer <- api.Response{Status: http.StatusNotFound, Reason: "no such job"}
				}
			})
		}
	}) {
		return b.busy()
	}
	select {
	case ans := <-answer:
		return ans
	case <-ctx.Done():
		return unavailable("state service out of reach")
	}
}

// Abort cancels a job.
func (b *brain) Cancel(ctx context.Context, id string) api.Response {
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
		if !b.ask(ctx, laneUsers, func() {
			j := b.known(id)
			if j == nil || j.fate != live || j.spec == nil {
				result <- store.ErrConflict
				return
			}
			b.write(&store.Write{Urgent: true,
				Conditions: []wire.Condition{{Key: jobKey(id), Revision: j.stamp}},
				Changes:    []wire.Change{{Put: jobKey(id), Value: b.cancelledValue(j)}},
			}, func(err error) { result <- err })
		}) {
			return b.busy()
		}
		select {
		case err := <-result:
			if err == nil {
				return api.Response{Status: http.StatusOK, Body: wire.JobState{ID: id, State: wire.Cancelled}}
			}
			if !errors.Is(err, store.ErrConflict) {
				return unavailable("state service: not stored")
			}
		case <-ctx.Done():
			return unavailable("state service: no answer")
		}
		if ctx.Err() != nil {
			return b.busy()
		}
	}
}

// Report answers a worker.
func (b *brain) Heartbeat(ctx context.Context, r *wire.Heartbeat) api.Response {
	var ans api.Response
	if !b.ask(ctx, laneWorkers, func() { ans = b.report(r) }) {
		return b.busy()
	}
	return ans
}

// Ready tells the load balancer whether to send users. It does not wait for the
// actor, but goes by what that said last: the balancer would take a probe that waits
// for a failure, and send the users of a controller that is slow to others as slow.
func (b *brain) Ready() bool {
	at := b.readyAt.Load()
	return at != nil && time.Since(*at) < b.op.LeaseTTL
}

// noteReady notes for Ready what the actor knows now. A controller that alone can't
// reach the state service stands back; in an outage for all nobody does, since
// leaving and coming back would only make it longer for users.
func (b *brain) noteReady() {
	if b.levels.refusal != nil {
		b.readyAt.Store(nil)
		return
	}
	ready := b.loaded && len(b.types) > 0 && b.fresh(b.op.LeaseTTL+2*time.Second)
	if !ready {
		heard, ok := false, false
		for _, s := range b.siblings {
			if s.status != nil && b.now.Sub(s.at) < 2500*time.Millisecond {
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
