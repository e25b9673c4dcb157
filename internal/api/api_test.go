package api

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"

	"eiderhitch/internal/config"
	"eiderhitch/internal/wire"
)

// noop is a Service that returns fixed responses without doing any work.
type noop struct{}

func (noop) Submit(context.Context, *wire.Job) Response { return Response{Status: http.StatusCreated} }
func (noop) Poll(context.Context, string) Response      { return Response{Status: http.StatusNotFound} }
func (noop) Cancel(context.Context, string) Response    { return Response{Status: http.StatusOK} }
func (noop) IsReady() bool                              { return true }
func (noop) Heartbeat(context.Context, *wire.Heartbeat) Response {
	return Response{Status: http.StatusOK, Body: wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{}}}
}

// The configuration derives the number of connections that may be open from the memory that
// each needs (config.ConnectionBytes). If a connection needed more, the controller could run
// out of memory.
func TestConnectionMemoryIsWithinPlan(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const connectionCount = 300
	go func() {
		_ = Serve(ctx, listener, noop{}, slog.New(slog.NewTextHandler(io.Discard, nil)), Limits{MaxConnections: connectionCount, MaxUserRequests: connectionCount})
	}()
	memoryInUse := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", heartbeatPath, len(testHeartbeat), testHeartbeat)
	before := memoryInUse()
	for range connectionCount {
		connection, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		if _, err := io.WriteString(connection, request); err != nil {
			t.Fatal(err)
		}
		// A small buffer, because the client's memory is measured with the server's.
		var buffer [512]byte
		if _, err := connection.Read(buffer[:]); err != nil {
			t.Fatal(err)
		}
	}
	bytesPerConnection := int(memoryInUse()-before) / connectionCount
	if bytesPerConnection > config.ConnectionBytes {
		t.Errorf("a connection uses %d bytes of memory, the limit is %d", bytesPerConnection, config.ConnectionBytes)
	}
	t.Logf("a connection uses %d bytes of memory", bytesPerConnection)
}
