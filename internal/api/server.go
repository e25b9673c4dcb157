// Package api serves the HTTP interface of a controller to users, workers and the load
// balancer.
package api

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"eiderhitch/internal/wire"
)

// Service executes the requests. Its methods are called concurrently and must return when the
// context ends.
type Service interface {
	// Submit stores a job.
	Submit(ctx context.Context, job *wire.Job) Response
	// Poll returns the state of a job.
	Poll(ctx context.Context, id string) Response
	// Cancel cancels a job.
	Cancel(ctx context.Context, id string) Response
	// Heartbeat processes the heartbeat of a worker and returns commands for it.
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) Response
	// IsReady reports whether the load balancer should send requests to this controller. It
	// must not block.
	IsReady() bool
}

// Limits limits the concurrency of the interface.
type Limits struct {
	// MaxConnections is the number of connections that may be open at a time. Further ones take
	// the place of those whose request has been incomplete for the longest time, or wait.
	MaxConnections int
	// MaxUserRequests is the number of user requests that are served at a time; further
	// ones are refused with status 503.
	MaxUserRequests int
}

// Timeouts and limits of connections.
const (
	// readTimeout limits the time to read a whole request. Its sender gives up as early.
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 16 << 10
)

// Serve serves the requests on the listener until ctx ends; requests in progress are then
// aborted. It returns nil after ctx has ended.
func Serve(ctx context.Context, listener net.Listener, service Service, log *slog.Logger, limits Limits) error {
	connections := newConnectionTable(limits.MaxConnections)
	server := &http.Server{
		Handler:        NewHandler(service, limits),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		BaseContext:    func(net.Listener) context.Context { return ctx },
		ConnContext:    withConnection,
		ConnState:      connections.onStateChange,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(&limitedListener{Listener: listener, table: connections})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
