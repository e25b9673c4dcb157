package api

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// testConnections is the number of connections that the server allows.
	testConnections = 60
	// incompleteDuration is how long incomplete requests are sent.
	incompleteDuration = 3 * time.Second
	// answerTimeout is how long users wait for the response to a query.
	answerTimeout = 2 * time.Second
)

// incompleteRequests are requests whose rest never arrives.
var incompleteRequests = map[string]string{
	"no byte":                "",
	"half a head":            "GET /v1/jobs/wk-000001 HTTP/1.1\r\nHost: x\r\n",
	"half a submission":      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{\"nameId\":",
	"half a heartbeat":       "POST /v1/report HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{\"perch\":",
	"a query without body":   "GET /v1/jobs/wk-000001 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n",
	"a cancellation in half": "POST /v1/jobs/wk-000001/abort HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nnu",
	"half a chunk":           "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{",
}

// serveTest starts a server with testConnections connections and returns its address.
func serveTest(ctx context.Context, t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = Serve(ctx, listener, noop{}, slog.New(slog.DiscardHandler), Limits{MaxConnections: testConnections, MaxUserRequests: testConnections / 2})
	}()
	return listener.Addr().String()
}

// holdIncomplete sends an incomplete request again and again, whenever its connection is closed.
func holdIncomplete(ctx context.Context, addr, request string) {
	for ctx.Err() == nil {
		connection, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { connection.Close() })
		_, _ = io.WriteString(connection, request)
		_, _ = io.Copy(io.Discard, connection)
		stop()
		connection.Close()
	}
}

// isAnswered reports whether a request on a new connection is answered with a status in time.
func isAnswered(method, url, body string, status int) bool {
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == status
}

// trickleInterval is the time between two bytes of a request that is sent slowly.
const trickleInterval = 100 * time.Millisecond

// trickle sends a request byte by byte until ctx ends or the connection is closed, again and again.
func trickle(ctx context.Context, addr, request string) {
	for ctx.Err() == nil {
		connection, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		for i := 0; i < len(request) && ctx.Err() == nil && err == nil; i++ {
			_, err = connection.Write([]byte{request[i]})
			time.Sleep(trickleInterval)
		}
		connection.Close()
	}
}

func TestSlowlySentRequestsKeepOthersOut(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	addr := serveTest(ctx, t)
	var senders sync.WaitGroup
	defer senders.Wait()
	defer cancel()
	for range testConnections {
		senders.Go(func() { trickle(ctx, addr, incompleteRequests["half a heartbeat"]) })
	}
	time.Sleep(200 * time.Millisecond)
	checkAnswers(t, "http://"+addr)
}

// A request that takes a second to arrive is answered while there is room.
func TestSlowRequestIsAnswered(t *testing.T) {
	t.Parallel()
	connection, err := net.Dial("tcp", serveTest(t.Context(), t))
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	request := "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, part := range []string{request[:10], request[10:25], request[25:]} {
		time.Sleep(time.Second / 3)
		if _, err := io.WriteString(connection, part); err != nil {
			t.Fatal(err)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d, want %d", response.StatusCode, http.StatusOK)
	}
}

const testHeartbeat = `{"perch":"host-000231","addr":"10.1.0.232:9000","hull":"g8","shore":"a","driftwood":true,"watch":1,"tally":88,"baton":41,"warningS":null,"eggs":[]}`

func TestIncompleteRequestsKeepOthersOut(t *testing.T) {
	for name, request := range incompleteRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			addr := serveTest(ctx, t)
			var holders sync.WaitGroup
			defer holders.Wait()
			defer cancel()
			for range testConnections {
				holders.Go(func() { holdIncomplete(ctx, addr, request) })
			}
			time.Sleep(200 * time.Millisecond)
			checkAnswers(t, "http://"+addr)
		})
	}
}

// checkAnswers sends complete requests of each kind for a while. All must be answered in time.
func checkAnswers(t *testing.T, url string) {
	t.Helper()
	var asked, answered atomic.Int64
	var clients sync.WaitGroup
	for range 3 {
		clients.Go(func() {
			for end := time.Now().Add(incompleteDuration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for _, isOK := range []bool{
					isAnswered(http.MethodGet, url+"/v1/jobs/wk-000001", "", http.StatusNotFound),
					isAnswered(http.MethodGet, url+"/ready", "", http.StatusOK),
					isAnswered(http.MethodPost, url+heartbeatPath, testHeartbeat, http.StatusOK),
				} {
					asked.Add(1)
					if isOK {
						answered.Add(1)
					}
				}
			}
		})
	}
	clients.Wait()
	if asked.Load() == 0 || answered.Load() < asked.Load() {
		t.Errorf("%d of %d complete requests were answered, want all", answered.Load(), asked.Load())
	}
	t.Logf("%d of %d complete requests were answered", answered.Load(), asked.Load())
}

// A worker's connection stays open while incomplete requests take all others.
func TestIncompleteRequestsCloseWorkersConnections(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	addr := serveTest(ctx, t)
	var opened atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		opened.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}}
	client := &http.Client{Timeout: answerTimeout, Transport: transport}
	report := func() error {
		response, err := client.Post("http://"+addr+heartbeatPath, "application/json", strings.NewReader(testHeartbeat))
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	var holders sync.WaitGroup
	defer holders.Wait()
	defer cancel()
	for i := range 10 {
		if err := report(); err != nil {
			t.Fatalf("heartbeat %d: %v", i, err)
		}
		if i == 0 {
			for range 2 * testConnections {
				holders.Go(func() { holdIncomplete(ctx, addr, "POST /v1/report HTTP/1.1\r\n") })
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	if opened.Load() != 1 {
		t.Errorf("the worker had %d connections, want one", opened.Load())
	}
}
