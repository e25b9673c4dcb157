// Package frontend serves the requests of users: it accepts jobs, returns their states and
// cancels them, and reports to the load balancer whether to send requests to this controller.
//
// The only state of a Frontend is its readiness. It takes responses from the Cluster, on the
// event loop, and makes each change with one write of the job's record. Responses are
// linearizable: no controller returns an older state than any controller has returned before.
// Therefore a state that may still change is returned only after a read of the key-value store
// that began after the request arrived. Submissions and cancellations are idempotent: a
// repeated one is answered with the job's current state.
//
// All methods except UpdateReadiness may be called from any goroutine; UpdateReadiness must be
// called on the event loop.
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

// Job describes an accepted job as this controller knows it.
type Job struct {
	// State is the job's state as users receive it.
	State wire.JobState
	// IsFinal is set if the job is done or cancelled, which never changes again.
	IsFinal bool
	// Revision is the revision of the job's record in the key-value store.
	Revision uint64
	// Spec is the job as it was submitted; nil if the controller no longer keeps it.
	Spec *wire.Job
	// AcceptedAt is the time at which the job was accepted.
	AcceptedAt time.Time
}

// Cluster provides the state from which requests are answered, and stores changes. Its methods
// are called only on the event loop.
type Cluster interface {
	// HasLoadedRecords reports whether all records have been read since the process started.
	HasLoadedRecords() bool
	// IsFreshWithin reports whether the last successful read began less than limit ago.
	IsFreshWithin(limit time.Duration) bool
	// ServingError returns the reason why this controller must not serve requests, or nil if
	// it may.
	ServingError() error
	// Job returns the accepted job with this id, or nil if there is none.
	Job(id string) *Job
	// HasUnreadableRecord reports whether a record of the job can't be decoded.
	HasUnreadableRecord(id string) bool
	// MachineTypes returns the machine types that the cloud offers, by name. It is empty until
	// they are known.
	MachineTypes() map[string]*wire.MachineType
	// PeerFreshness reports whether this controller receives statuses from any peer, and
	// whether any of those peers can read the key-value store.
	PeerFreshness() (anyPeerReachable, anyPeerFresh bool)
	// AfterRead calls f on the event loop with the result of a read of the key-value store
	// that begins after this call.
	AfterRead(f func(err error))
	// SubmitWrite submits a write and calls done on the event loop with its result.
	SubmitWrite(write *store.Write, done func(err error))
}

// EventLoop runs functions at the priority of user requests.
type EventLoop interface {
	// Now returns the time of the event that the loop is processing.
	Now() time.Time
	// Call runs f on the event loop and waits until it has returned. It returns false if f has
	// not run and will not run, because ctx ended or too many user requests are queued.
	Call(ctx context.Context, f func()) bool
	// RetryAfterS returns the number of seconds after which a user should retry a request
	// that was refused because of overload.
	RetryAfterS() int
}

// Recorder collects metrics of user requests.
type Recorder interface {
	// CountSubmission records the response status and the duration of a submission.
	CountSubmission(status int, took time.Duration)
	// CountPoll counts a poll.
	CountPoll()
}

// Config holds the settings of a Frontend. They don't change during the life of the process.
type Config struct {
	// JobKey returns the key of a job's record.
	JobKey func(id string) string
	// LeaseTTL is the lifetime of leased keys. A controller that has not read the key-value
	// store successfully for that long must not make new decisions.
	LeaseTTL time.Duration
	// MaxValueBytes is the largest size of a stored value.
	MaxValueBytes int
	// Quotas holds the limits of all teams.
	Quotas Quotas
	// Log receives accepted and refused jobs.
	Log *slog.Logger
}

// Frontend serves the requests of users.
type Frontend struct {
	config   Config
	cluster  Cluster
	loop     EventLoop
	recorder Recorder
	// lastReadyAt is the time at which the controller was last found ready; nil if it is not
	// ready.
	lastReadyAt atomic.Pointer[time.Time]
}

// New returns a frontend that answers requests from a cluster. It is not ready until
// UpdateReadiness finds it ready.
func New(config Config, cluster Cluster, loop EventLoop, recorder Recorder) *Frontend {
	return &Frontend{config: config, cluster: cluster, loop: loop, recorder: recorder}
}

// UnavailableResponse returns a response with status 503 that asks the client to retry after a
// second.
func UnavailableResponse(reason string) api.Response {
	return api.Response{Status: http.StatusServiceUnavailable, RetryAfterS: 1, Reason: reason}
}

// Reasons in responses to users. Their texts are part of the interface.
const (
	reasonStarting         = "starting"
	reasonStoreUnreachable = "state service out of reach"
	reasonNotStored        = "state service: not stored"
	reasonNoAnswer         = "state service: no answer"
	reasonUndecodable      = "a stored record of the job can't be decoded"
	reasonUnknownTypes     = "machine types are not known yet"
	reasonNoSuchJob        = "no such job"
)

// busyResponse returns a response that asks the user to retry once the event loop has processed
// its queue.
func (f *Frontend) busyResponse() api.Response {
	response := UnavailableResponse("busy")
	response.RetryAfterS = f.loop.RetryAfterS()
	return response
}

// notServingResponse returns the response of a controller that has not loaded the records yet
// or must not serve, and true. It returns false if the controller can serve requests.
func (f *Frontend) notServingResponse() (api.Response, bool) {
	if !f.cluster.HasLoadedRecords() {
		return UnavailableResponse(reasonStarting), true
	}
	if servingErr := f.cluster.ServingError(); servingErr != nil {
		return UnavailableResponse(servingErr.Error()), true
	}
	return api.Response{}, false
}

func jobResponse(status int, state wire.JobState) api.Response {
	return api.Response{Status: status, Body: state}
}

// Poll returns a job's state.
func (f *Frontend) Poll(ctx context.Context, id string) api.Response {
	f.recorder.CountPoll()
	if !wire.IsValidJobID(id) {
		return api.Response{Status: http.StatusNotFound, Reason: reasonNoSuchJob}
	}
	// The request needs two turns of the event loop, one for the request and one for the result
	// of the read. Each may come late when processor time is short.
	answer := make(chan api.Response, 1)
	if !f.loop.Call(ctx, func() { f.poll(id, answer) }) {
		return f.busyResponse()
	}
	select {
	case response := <-answer:
		return response
	case <-ctx.Done():
		return UnavailableResponse(reasonStoreUnreachable)
	}
}

// poll sends the response to a poll to answer, either immediately or after a read.
func (f *Frontend) poll(id string, answer chan<- api.Response) {
	if response, isNotServing := f.notServingResponse(); isNotServing {
		answer <- response
		return
	}
	if job := f.cluster.Job(id); job != nil && job.IsFinal {
		answer <- jobResponse(http.StatusOK, job.State) // a final state never changes, so no read is needed
		return
	}
	if f.cluster.HasUnreadableRecord(id) {
		answer <- UnavailableResponse(reasonUndecodable)
		return
	}
	f.cluster.AfterRead(func(err error) { answer <- f.responseAfterRead(id, err) })
}

// responseAfterRead returns the response to a poll after its read has ended with err.
func (f *Frontend) responseAfterRead(id string, err error) api.Response {
	if err != nil {
		return UnavailableResponse(reasonStoreUnreachable)
	}
	if servingErr := f.cluster.ServingError(); servingErr != nil {
		return UnavailableResponse(servingErr.Error())
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

// Submit stores a new job. A job that was accepted before gets the response to a poll.
func (f *Frontend) Submit(ctx context.Context, spec *wire.Job) api.Response {
	start := time.Now()
	response := f.submit(ctx, spec)
	f.recorder.CountSubmission(response.Status, time.Since(start))
	switch {
	case response.Status == http.StatusCreated:
		f.config.Log.Info("job accepted", "job", spec.ID, "team", spec.Team, "class", spec.Class, "tasks", spec.TaskCount)
	case response.Status >= http.StatusInternalServerError:
		f.config.Log.Debug("job not accepted", "job", spec.ID, "why", response.Reason)
	case response.Status >= http.StatusBadRequest:
		f.config.Log.Info("job refused", "job", spec.ID, "why", response.Reason)
	}
	return response
}

// submissionResult is the result of beginSubmission. Exactly one of its fields is set.
type submissionResult struct {
	// response is the final response to the submission.
	response *api.Response
	// needsPoll is set if the job is already known or can never run. A poll determines
	// which.
	needsPoll bool
	// writeErr receives the result of the write that stores the job.
	writeErr chan error
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
		return f.pollSubmittedJob(ctx, spec)
	}
	select {
	case err := <-result.writeErr:
		switch {
		case err == nil:
			return jobResponse(http.StatusCreated, wire.JobState{ID: spec.ID, State: wire.StateQueued})
		case errors.Is(err, store.ErrConflict):
			return f.pollSubmittedJob(ctx, spec) // an earlier attempt or another controller has stored the job
		}
		return UnavailableResponse(reasonNotStored)
	case <-ctx.Done():
		return UnavailableResponse(reasonNoAnswer)
	}
}

// beginSubmission submits the write that stores a job, if the job is new and can be accepted
// now.
func (f *Frontend) beginSubmission(spec *wire.Job) submissionResult {
	refuse := func(response api.Response) submissionResult { return submissionResult{response: &response} }
	if response, isNotServing := f.notServingResponse(); isNotServing {
		return refuse(response)
	}
	types := f.cluster.MachineTypes()
	switch {
	case f.cluster.Job(spec.ID) != nil:
		return submissionResult{needsPoll: true} // a job that was accepted stays accepted, even if the settings have changed since
	case len(types) == 0:
		return refuse(UnavailableResponse(reasonUnknownTypes))
	case !f.cluster.IsFreshWithin(f.config.LeaseTTL):
		return refuse(UnavailableResponse(reasonStoreUnreachable))
	case f.unsatisfiableReason(spec) != "":
		return submissionResult{needsPoll: true}
	}
	writeErr := make(chan error, 1)
	key := f.config.JobKey(spec.ID)
	f.cluster.SubmitWrite(&store.Write{Interactive: true,
		Conditions: []wire.Condition{{Key: key}},
		Changes:    []wire.Change{{Put: key, Value: record.JSON(record.Job{AcceptedAtMS: f.loop.Now().UnixMilli(), Spec: spec})}},
	}, func(err error) { writeErr <- err })
	return submissionResult{writeErr: writeErr}
}

// unsatisfiableReason returns the reason why a job can never run, or "" if it can.
func (f *Frontend) unsatisfiableReason(spec *wire.Job) string {
	// The record has its largest size when the job is cancelled.
	largest := record.Job{FinalState: record.StateCancelled, AcceptedAtMS: f.loop.Now().UnixMilli(), Spec: spec}
	if len(record.JSON(largest)) > f.config.MaxValueBytes {
		return "its description is larger than can be stored"
	}
	return f.config.Quotas.UnsatisfiableReason(spec, f.cluster.MachineTypes())
}

// pollSubmittedJob returns the response to a poll of the submitted job. If the poll finds no
// such job, it refuses the submission because the job can never run or, if that has changed in the
// meantime, asks the user to retry.
func (f *Frontend) pollSubmittedJob(ctx context.Context, spec *wire.Job) api.Response {
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

// Cancel cancels a job. It retries when another write of the job's record, such as the job's
// completion, has caused a conflict.
func (f *Frontend) Cancel(ctx context.Context, id string) api.Response {
	for {
		response := f.Poll(ctx, id)
		state, ok := response.Body.(wire.JobState)
		if response.Status != http.StatusOK || !ok || state.State == wire.StateDone || state.State == wire.StateCancelled {
			return response
		}
		writeErr := make(chan error, 1)
		if !f.loop.Call(ctx, func() { f.beginCancellation(id, writeErr) }) {
			return f.busyResponse()
		}
		select {
		case err := <-writeErr:
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

// beginCancellation submits the write that stores a job's cancellation. It sends the result of
// the write to writeErr.
func (f *Frontend) beginCancellation(id string, writeErr chan<- error) {
	job := f.cluster.Job(id)
	if job == nil || job.IsFinal || job.Spec == nil {
		writeErr <- store.ErrConflict
		return
	}
	key := f.config.JobKey(id)
	f.cluster.SubmitWrite(&store.Write{Interactive: true,
		Conditions: []wire.Condition{{Key: key, Revision: job.Revision}},
		Changes:    []wire.Change{{Put: key, Value: record.EncodeCancelledJob(job.Spec, job.AcceptedAt, f.config.MaxValueBytes)}},
	}, func(err error) { writeErr <- err })
}
