// Package api is the HTTP interface for users, workers and the load balancer.
package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/net/netutil"

	"eiderhitch/internal/wire"
)

// Response of the service to one request.
type Response struct {
	Status int
	Body   any
	// RetryAfter in seconds, with status 503.
	RetryAfter int
	// Reason of a refusal, for people.
	Reason string
}

// Service is what the interface serves.
type Service interface {
	Submit(ctx context.Context, j *wire.Job) Response
	Poll(ctx context.Context, id string) Response
	Cancel(ctx context.Context, id string) Response
	Heartbeat(ctx context.Context, r *wire.Heartbeat) Response
	// Ready must answer at once.
	Ready() bool
}

// Limits of the interface.
type Limits struct {
	Connections int
	// Users' requests in work at a time; more are refused with 503.
	Requests int
}

const (
	userTimeout   = 4500 * time.Millisecond
	pollTimeout   = 1800 * time.Millisecond
	reportTimeout = 3500 * time.Millisecond
	// maxReport bounds a worker's report: machines hold few tasks.
	maxReport = 4 << 20
)

type server struct {
	s     Service
	slots chan struct{}
}

// Handler answers requests with what s says.
func Handler(s Service, lim Limits) http.Handler {
	return (&server{s: s, slots: make(chan struct{}, lim.Requests)}).routes()
}

// Serve answers requests on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, s Service, log *slog.Logger, lim Limits) error {
	srv := &http.Server{
		Handler: Handler(s, lim), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: 75 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(netutil.LimitListener(l, lim.Connections)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (h *server) routes() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.POST("/v1/jobs", h.user(userTimeout, func(ctx context.Context, r *http.Request, _ httprouter.Params) Response {
		body, err := readBody(r, wire.MaxBodyBytes)
		if err != nil {
			return Response{Status: http.StatusBadRequest, Reason: err.Error()}
		}
		j, err := wire.ParseJob(body)
		if err != nil {
			return Response{Status: http.StatusBadRequest, Reason: err.Error()}
		}
		return h.s.Submit(ctx, j)
	}))
	r.GET("/v1/jobs/:id", h.user(pollTimeout, func(ctx context.Context, _ *http.Request, p httprouter.Params) Response {
		return h.s.Poll(ctx, p.ByName("id"))
	}))
	r.POST("/v1/jobs/:id/abort", h.user(userTimeout, func(ctx context.Context, _ *http.Request, p httprouter.Params) Response {
		return h.s.Cancel(ctx, p.ByName("id"))
	}))
	r.GET("/ready", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		a := Response{Status: http.StatusServiceUnavailable, Reason: "not ready"}
		if h.s.Ready() {
			a = Response{Status: http.StatusOK, Body: struct{}{}}
		}
		write(w, a)
	})
	r.POST("/v1/report", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		ctx, cancel := context.WithTimeout(r.Context(), reportTimeout)
		defer cancel()
		body, err := readBody(r, maxReport)
		if err != nil {
			write(w, Response{Status: http.StatusBadRequest, Reason: err.Error()})
			return
		}
		rep, err := wire.ParseHeartbeat(body)
		if err != nil {
			write(w, Response{Status: http.StatusBadRequest, Reason: err.Error()})
			return
		}
		write(w, h.s.Heartbeat(ctx, rep))
	})
	return r
}

// user wraps a handler of users' requests: no more than a bounded number are
// in work, so that reports and lease renewals are served in a flood of users.
func (h *server) user(limit time.Duration, f func(context.Context, *http.Request, httprouter.Params) Response) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		select {
		case h.slots <- struct{}{}:
			defer func() { <-h.slots }()
		default:
			write(w, Response{Status: http.StatusServiceUnavailable, RetryAfter: 1, Reason: "too many requests in work"})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), limit)
		defer cancel()
		write(w, f(ctx, r, p))
	}
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.New("body: too large")
	}
	return body, nil
}

// contentType is shared by all answers: nobody changes it.
var contentType = []string{"application/json"}

func write(w http.ResponseWriter, a Response) {
	body := a.Body
	if body == nil {
		body = struct {
			Error string `json:"error"`
		}{a.Reason}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		a.Status, raw = http.StatusInternalServerError, []byte("{}")
	}
	w.Header()["Content-Type"] = contentType
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(a.RetryAfter))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(raw)
}
