// Package frontend answers users: it accepts, shows and cancels jobs, and tells the load
// balancer whether to send more users.
//
// A Frontend owns nothing but its readiness. What it answers it takes from the Cluster, on
// the event loop; what it changes is one write of the job's record each. Answers are
// linearizable: no controller gives an older one than any controller has given before. For
// that a state that may still change is told only after a read of the key-value store that
// began after the question came. Submissions and cancellations are idempotent requests: a
// repeated one is answered with the job's present state.
//
// All methods but UpdateReadiness may be called from any goroutine.
package frontend

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// Job is what the cluster knows of a job that was accepted.
type Job struct {
	State wire.JobState
	// Final: the job is done or cancelled, and stays so.
	IsFinal bool
	// Revision is that of the job's record.
	Revision uint64
	// Spec and AcceptedAt are as they were submitted. Spec is nil where it is not kept
	// any more.
	Spec       *wire.Job
	AcceptedAt time.Time
}

// Cluster is the state that answers are taken from. Its methods are called on the event
// loop alone.
type Cluster interface {
	// Loaded reports whether the records have been read since the start.
	HasLoadedRecords() bool
	// IsFreshWithin reports whether the last successful read began less than limit ago.
	IsFreshWithin(limit time.Duration) bool
	// Refusal is why this controller must not serve; nil: it may.
	ServingError() error
	// Job is the accepted job of that id; nil if none was.
	Job(id string) *Job
	// Unreadable reports whether a record of the job can't be decoded.
	HasUnreadableRecord(id string) bool
	// MachineTypes lists the types on offer; empty while they are not known.
	MachineTypes() map[string]*wire.MachineType
	// PeerFreshness reports whether any peer is heard, and whether one of those that are
	// reaches the key-value store.
	PeerFreshness() (heard, fresh bool)
	// AfterRead runs f with the result of a read that begins after now.
	AfterRead(f func(err error))
	// SubmitWrite runs done on the event loop with the result of a write.
	SubmitWrite(write *store.Write, done func(err error))
}

// EventLoop runs functions for users, at their priority.
type EventLoop interface {
	// Now is the time of the event that the loop works on.
	Now() time.Time
	// Call runs f and waits for it. False means that it has not run and won't: ctx ended,
	// or too many users wait already.
	Call(ctx context.Context, f func()) bool
	// RetryAfterS is in how many seconds a user who was turned away should come back.
	RetryAfterS() int
}

// Recorder counts what users ask.
type Recorder interface {
	// Submission counts one by the status of its response, and how long that took.
	CountSubmission(status int, took time.Duration)
	// Poll counts one.
	CountPoll()
}

// Config is what does not change while the process lives.
type Config struct {
	// JobKey is the key of a job's record.
	JobKey func(id string) string
	// LeaseTTL is the lifetime of leased keys: who has read nothing for that long must not
	// decide anything new.
	LeaseTTL time.Duration
	// MaxValueBytes is how large a stored value may be.
	MaxValueBytes int
	Quotas        Quotas
	Log           *slog.Logger
}

// Frontend answers users.
type Frontend struct {
	config   Config
	cluster  Cluster
	loop     EventLoop
	recorder Recorder
	// lastReadyAt is when this controller last was ready; nil: it is not.
	lastReadyAt atomic.Pointer[time.Time]
}

// New returns a frontend to a cluster.
func New(config Config, cluster Cluster, loop EventLoop, recorder Recorder) *Frontend {
	return &Frontend{config: config, cluster: cluster, loop: loop, recorder: recorder}
}

// UnavailableResponse tells a user to come back.
func UnavailableResponse(reason string) api.Response {
	return api.Response{Status: http.StatusServiceUnavailable, RetryAfterS: 1, Reason: reason}
}

// Reasons that users are given. They are part of the interface.
const (
	reasonStarting     = "starting"
	reasonOutOfReach   = "state service out of reach"
	reasonNotStored    = "state service: not stored"
	reasonNoAnswer     = "state service: no answer"
	reasonUndecodable  = "a stored record of the job can't be decoded"
	reasonUnknownTypes = "machine types are not known yet"
	reasonNoSuchJob    = "no such job"
)

// busy tells a user to come back once the event loop has done what waits for it.
func (f *Frontend) busyResponse() api.Response {
	response := UnavailableResponse("busy")
	response.RetryAfterS = f.loop.RetryAfterS()
	return response
}

// notServingResponse is the response of a controller that can't answer yet, or must not; false: it
// can.
func (f *Frontend) notServingResponse() (api.Response, bool) {
	if !f.cluster.HasLoadedRecords() {
		return UnavailableResponse(reasonStarting), true
	}
	if refusal := f.cluster.ServingError(); refusal != nil {
		return UnavailableResponse(refusal.Error()), true
	}
	return api.Response{}, false
}

func jobResponse(status int, state wire.JobState) api.Response {
	return api.Response{Status: status, Body: state}
}

// Poll tells a job's state.
func (f *Frontend) Poll(ctx context.Context, id string) api.Response {
	f.recorder.CountPoll()
	if !wire.IsValidJobID(id) {
		return api.Response{Status: http.StatusNotFound, Reason: reasonNoSuchJob}
	}
	// One turn of the event loop for the question and one for the result of the read:
	// each may be long in coming when there is little processor time.
	answer := make(chan api.Response, 1)
	if !f.loop.Call(ctx, func() { f.poll(id, answer) }) {
		return f.busyResponse()
	}
	select {
	case response := <-answer:
		return response
	case <-ctx.Done():
		return UnavailableResponse(reasonOutOfReach)
	}
}

// poll sends the answer to a poll, now or after a read.
func (f *Frontend) poll(id string, answer chan<- api.Response) {
	if response, out := f.notServingResponse(); out {
		answer <- response
		return
	}
	if job := f.cluster.Job(id); job != nil && job.IsFinal {
		answer <- jobResponse(http.StatusOK, job.State) // it stays so for ever
		return
	}
	if f.cluster.HasUnreadableRecord(id) {
		answer <- UnavailableResponse(reasonUndecodable)
		return
	}
	f.cluster.AfterRead(func(err error) { answer <- f.responseAfterRead(id, err) })
}

// responseAfterRead is the answer to a poll once a read for it has ended.
func (f *Frontend) responseAfterRead(id string, err error) api.Response {
	if err != nil {
		return UnavailableResponse(reasonOutOfReach)
	}
	if refusal := f.cluster.ServingError(); refusal != nil {
		return UnavailableResponse(refusal.Error())
	}
	job := f.cluster.Job(id)
	switch {
	case (job == nil || !job.IsFinal) && f.cluster.HasUnreadableRecord(id):
		return UnavailableResponse(reasonUndecodable)
	case job != nil:
		return jobResponse(http.StatusOK, job.State)
	}
	return api.Response{Status: http.StatusNotFound, Reason: reasonNoSuchJob}
}

// Submit accepts a job.
func (f *Frontend) Submit(ctx context.Context, spec *wire.Job) api.Response {
	start := time.Now()
	response := f.submit(ctx, spec)
	f.recorder.CountSubmission(response.Status, time.Since(start))
	switch {
	case response.Status == http.StatusCreated:
		f.config.Log.Info("job accepted", "job", spec.ID, "team", spec.Team, "class", spec.Class, "tasks", spec.TaskCount)
	case response.Status >= http.StatusInternalServerError:
		f.config.Log.Debug("job not taken", "job", spec.ID, "why", response.Reason)
	case response.Status >= http.StatusBadRequest:
		f.config.Log.Info("job refused", "job", spec.ID, "why", response.Reason)
	}
	return response
}

// submission is what becomes of a submission on the event loop: one of these is set.
type submissionResult struct {
	response *api.Response
	// poll: the job is known already, or can never run; a poll tells which.
	needsPoll bool
	// stored has the result of the write.
	writeResult chan error
}

func (f *Frontend) submit(ctx context.Context, spec *wire.Job) api.Response {
	var result submissionResult
	if !f.loop.Call(ctx, func() { result = f.beginSubmission(spec) }) {
		return f.busyResponse()
	}
	switch {
	case result.response != nil:
		return *result.response
	case result.needsPoll:
		return f.responseForKnownJob(ctx, spec)
	}
	select {
	case err := <-result.writeResult:
		switch {
		case err == nil:
			return jobResponse(http.StatusCreated, wire.JobState{ID: spec.ID, State: wire.StateQueued})
		case errors.Is(err, store.ErrConflict):
			return f.responseForKnownJob(ctx, spec) // an earlier try, or another controller, stored it
		}
		return UnavailableResponse(reasonNotStored)
	case <-ctx.Done():
		return UnavailableResponse(reasonNoAnswer)
	}
}

// beginSubmission has a job stored, if it is new and can be decided on now.
func (f *Frontend) beginSubmission(spec *wire.Job) submissionResult {
	refuse := func(response api.Response) submissionResult { return submissionResult{response: &response} }
	if response, out := f.notServingResponse(); out {
		return refuse(response)
	}
	types := f.cluster.MachineTypes()
	switch {
	case f.cluster.Job(spec.ID) != nil:
		return submissionResult{needsPoll: true} // accepted before, whatever the settings say today
	case len(types) == 0:
		return refuse(UnavailableResponse(reasonUnknownTypes))
	case !f.cluster.IsFreshWithin(f.config.LeaseTTL):
		return refuse(UnavailableResponse(reasonOutOfReach))
	case f.unsatisfiableReason(spec) != "":
		return submissionResult{needsPoll: true}
	}
	writeResult := make(chan error, 1)
	key := f.config.JobKey(spec.ID)
	f.cluster.SubmitWrite(&store.Write{Interactive: true,
		Conditions: []wire.Condition{{Key: key}},
		Changes:    []wire.Change{{Put: key, Value: record.JSON(record.Job{AcceptedAtMS: f.loop.Now().UnixMilli(), Spec: spec})}},
	}, func(err error) { writeResult <- err })
	return submissionResult{writeResult: writeResult}
}

// unsatisfiable is why a job can never run; "": it can.
func (f *Frontend) unsatisfiableReason(spec *wire.Job) string {
	// The record is largest once the job is cancelled.
	largest := record.Job{FinalState: record.StateCancelled, AcceptedAtMS: f.loop.Now().UnixMilli(), Spec: spec}
	if len(record.JSON(largest)) > f.config.MaxValueBytes {
		return "its description is larger than can be stored"
	}
	return f.config.Quotas.UnsatisfiableReason(spec, f.cluster.MachineTypes())
}

// responseForKnownJob answers the submission of a job that is known already or, if it turns out
// not to be, of one that can never run.
func (f *Frontend) responseForKnownJob(ctx context.Context, spec *wire.Job) api.Response {
	response := f.Poll(ctx, spec.ID)
	if response.Status != http.StatusNotFound {
		return response
	}
	reason := ""
	f.loop.Call(ctx, func() { reason = f.unsatisfiableReason(spec) })
	if reason == "" {
		return UnavailableResponse("try again")
	}
	return api.Response{Status: http.StatusUnprocessableEntity, Reason: reason}
}

// Cancel cancels a job. It repeats until the write was not overtaken by another one of the
// job's record, as by its completion.
func (f *Frontend) Cancel(ctx context.Context, id string) api.Response {
	for {
		response := f.Poll(ctx, id)
		state, ok := response.Body.(wire.JobState)
		if response.Status != http.StatusOK || !ok || state.State == wire.StateDone || state.State == wire.StateCancelled {
			return response
		}
		writeResult := make(chan error, 1)
		if !f.loop.Call(ctx, func() { f.beginCancellation(id, writeResult) }) {
			return f.busyResponse()
		}
		select {
		case err := <-writeResult:
			if err == nil {
				return jobResponse(http.StatusOK, wire.JobState{ID: id, State: wire.StateCancelled})
			}
			if !errors.Is(err, store.ErrConflict) {
				return UnavailableResponse(reasonNotStored)
			}
		case <-ctx.Done():
			return UnavailableResponse(reasonNoAnswer)
		}
		if ctx.Err() != nil {
			return f.busyResponse()
		}
	}
}

// beginCancellation has a job's cancellation stored.
func (f *Frontend) beginCancellation(id string, writeResult chan<- error) {
	job := f.cluster.Job(id)
	if job == nil || job.IsFinal || job.Spec == nil {
		writeResult <- store.ErrConflict
		return
	}
	key := f.config.JobKey(id)
	f.cluster.SubmitWrite(&store.Write{Interactive: true,
		Conditions: []wire.Condition{{Key: key, Revision: job.Revision}},
		Changes:    []wire.Change{{Put: key, Value: record.EncodeCancelledJob(job.Spec, job.AcceptedAt, f.config.MaxValueBytes)}},
	}, func(err error) { writeResult <- err })
}
