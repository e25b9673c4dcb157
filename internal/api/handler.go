package api

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"eiderhitch/internal/wire"
)

// Timeouts of the service by kind of request. They are shorter than the timeouts of the
// callers.
const (
	changeTimeout    = 4500 * time.Millisecond // for submissions and cancellations
	pollTimeout      = 1800 * time.Millisecond
	heartbeatTimeout = 3500 * time.Millisecond
)

const (
	// maxHeartbeatBytes limits the body of a worker's heartbeat. It suffices because a
	// machine runs few tasks.
	maxHeartbeatBytes = 4 << 20
	// heartbeatPath is the path of workers' heartbeats.
	heartbeatPath = "/v1/report"
	// overloadRetryAfterS is the Retry-After value, in seconds, of a request that is refused
	// because too many requests are in progress.
	overloadRetryAfterS = 1
)

// errBodyTooLarge reports that the body of a request exceeds its size limit.
var errBodyTooLarge = errors.New("body: too large")

// handler decodes HTTP requests, passes them to the service and writes its responses.
type handler struct {
	service          Service
	userRequestSlots chan struct{} // holds one element for each user request in progress
}

// NewHandler returns a handler that serves the requests of users, workers and the load
// balancer by calling the service.
func NewHandler(service Service, limits Limits) http.Handler {
	h := &handler{service: service, userRequestSlots: make(chan struct{}, limits.MaxUserRequests)}
	router := httprouter.New()
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
	router.POST("/v1/jobs", h.limitUserRequest(changeTimeout, h.submit))
	router.GET("/v1/jobs/:id", h.limitUserRequest(pollTimeout, h.poll))
	router.POST("/v1/jobs/:id/abort", h.limitUserRequest(changeTimeout, h.cancel))
	router.GET("/ready", h.ready)
	router.POST(heartbeatPath, h.heartbeat)
	return newBodyReader(router)
}

// userHandler returns the response to a user's request.
type userHandler func(context.Context, *http.Request, httprouter.Params) Response

// limitUserRequest wraps a handler of user requests with a timeout and a limit on the number of
// user requests in progress. The limit keeps capacity for heartbeats and lease renewals while
// users overload the controller.
func (h *handler) limitUserRequest(timeout time.Duration, handle userHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		select {
		case h.userRequestSlots <- struct{}{}:
			defer func() { <-h.userRequestSlots }()
		default:
			Response{Status: http.StatusServiceUnavailable, RetryAfterS: overloadRetryAfterS, Reason: "too many requests in progress"}.write(w)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		handle(ctx, r, params).write(w)
	}
}

func (h *handler) submit(ctx context.Context, r *http.Request, _ httprouter.Params) Response {
	body, refusal, ok := bodyOf(r, wire.MaxBodyBytes)
	if !ok {
		return refusal
	}
	job, err := wire.ParseJob(body)
	if err != nil {
		return badRequest(err)
	}
	return h.service.Submit(ctx, job)
}

func (h *handler) poll(ctx context.Context, _ *http.Request, params httprouter.Params) Response {
	return h.service.Poll(ctx, params.ByName("id"))
}

func (h *handler) cancel(ctx context.Context, _ *http.Request, params httprouter.Params) Response {
	return h.service.Cancel(ctx, params.ByName("id"))
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if h.service.IsReady() {
		Response{Status: http.StatusOK, Body: struct{}{}}.write(w)
		return
	}
	unavailable("not ready").write(w)
}

func (h *handler) heartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	h.heartbeatResponse(ctx, r).write(w)
}

func (h *handler) heartbeatResponse(ctx context.Context, r *http.Request) Response {
	body, refusal, ok := bodyOf(r, maxHeartbeatBytes)
	if !ok {
		return refusal
	}
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		return badRequest(err)
	}
	return h.service.Heartbeat(ctx, heartbeat)
}
