// Package api is the HTTP interface of a controller for users, workers and the load balancer.
package api

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"eiderhitch/internal/wire"
)

// Service answers the requests. Its methods are called concurrently, and return by the end of
// the context.
type Service interface {
	Submit(ctx context.Context, job *wire.Job) Response
	Poll(ctx context.Context, id string) Response
	Cancel(ctx context.Context, id string) Response
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) Response
	// Ready tells whether the controller can take requests. It must not block.
	IsReady() bool
}

// Limits of the interface.
type Limits struct {
	// Connections is how many connections are served at a time.
	MaxConnections int
	// Requests is how many requests of users are served at a time; more are refused with
	// status 503.
	MaxUserRequests int
}

// Timeouts and limits of connections.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Serve answers requests on l with what the service says until ctx ends. Requests that are
// being served then are cut off.
func Serve(ctx context.Context, listener net.Listener, service Service, log *slog.Logger, limits Limits) error {
	server := &http.Server{
		Handler:           NewHandler(service, limits),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(netutil.LimitListener(listener, limits.MaxConnections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
