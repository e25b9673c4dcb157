package api

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"eiderhitch/internal/wire"
)

// How long the service may take, less than what the callers wait.
const (
	changeTimeout    = 4500 * time.Millisecond // submissions and cancellations
	pollTimeout      = 1800 * time.Millisecond
	heartbeatTimeout = 3500 * time.Millisecond
)

const (
	// maxHeartbeatBytes bounds a worker's heartbeat: machines hold few tasks.
	maxHeartbeatBytes = 4 << 20
	// overloadRetryAfter is after how many seconds a user should retry a request that is
	// refused since too many are being served.
	overloadRetryAfter = 1
)

// errBodyTooLarge says that the body of a request is beyond its limit.
var errBodyTooLarge = errors.New("body: too large")

// handler answers requests with what the service says.
type handler struct {
	service          Service
	userRequestSlots chan struct{} // one for each request of a user that may be served at a time
}

// NewHandler returns a handler that answers requests with what the service says.
func NewHandler(service Service, limits Limits) http.Handler {
	h := &handler{service: service, userRequestSlots: make(chan struct{}, limits.MaxUserRequests)}
	router := httprouter.New()
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
	router.POST("/v1/jobs", h.limitUserRequest(changeTimeout, h.submit))
	router.GET("/v1/jobs/:id", h.limitUserRequest(pollTimeout, h.poll))
	router.POST("/v1/jobs/:id/abort", h.limitUserRequest(changeTimeout, h.cancel))
	router.GET("/ready", h.ready)
	router.POST("/v1/report", h.heartbeat)
	return router
}

// userHandler answers one request of a user.
type userHandler func(context.Context, *http.Request, httprouter.Params) Response

// user wraps a handler of users' requests: no more than a bounded number are served at a time,
// so that heartbeats and lease renewals are served in a flood of users.
func (h *handler) limitUserRequest(timeout time.Duration, handle userHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		select {
		case h.userRequestSlots <- struct{}{}:
			defer func() { <-h.userRequestSlots }()
		default:
			Response{Status: http.StatusServiceUnavailable, RetryAfterS: overloadRetryAfter, Reason: "too many requests in work"}.write(w)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		handle(ctx, r, params).write(w)
	}
}

func (h *handler) submit(ctx context.Context, r *http.Request, _ httprouter.Params) Response {
	body, err := readBody(r, wire.MaxBodyBytes)
	if err != nil {
		return badRequest(err)
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
	body, err := readBody(r, maxHeartbeatBytes)
	if err != nil {
		return badRequest(err)
	}
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		return badRequest(err)
	}
	return h.service.Heartbeat(ctx, heartbeat)
}

// readBody reads the body of a request of at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, nil
}
