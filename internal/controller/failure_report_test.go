package controller

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhitch/internal/simulation/trace"
)

// A simulated cluster writes a report if its test fails: the log lines of its controllers at all
// levels, then the events that the simulated environment has recorded. Both are in order of time.

var (
	failureDir    = flag.String("failure-dir", "", "directory for reports of simulated clusters whose tests fail")
	networkSeed   = flag.Uint64("network-seed", 0, "seed of the latency of requests in simulated clusters")
	networkJitter = flag.Duration("network-jitter", 500*time.Microsecond, "maximum jitter of the latency of requests in simulated clusters")
)

const (
	// maxLogChunks is how many chunks of a cluster's newest log lines are kept.
	maxLogChunks = 64
	// logChunkBytes is the maximum size of a chunk.
	logChunkBytes = 1 << 20
)

// logBuffer holds the newest log lines of a cluster. It is an io.Writer.
type logBuffer struct {
	mu     sync.Mutex
	chunks []*bytes.Buffer
}

// Write adds a log line and discards the oldest lines beyond the limit.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := len(b.chunks) - 1
	if last < 0 || b.chunks[last].Len()+len(line) > logChunkBytes {
		b.chunks = append(b.chunks, &bytes.Buffer{})
		last++
	}
	if len(b.chunks) > maxLogChunks {
		b.chunks = b.chunks[1:]
		last--
	}
	return b.chunks[last].Write(line)
}

// writeTo writes the buffered lines to out.
func (b *logBuffer) writeTo(out io.Writer) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, chunk := range b.chunks {
		if _, err := out.Write(chunk.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

// logger returns the logger of the controllers. It writes to the cluster's logs if -failure-dir is
// set or the test needs the lines; otherwise it discards them.
func (c *cluster) logger() *slog.Logger {
	if *failureDir != "" || c.alwaysKeepLogs {
		return newTestLogger(c.logs)
	}
	return newTestLogger(io.Discard)
}

// newTestLogger returns a logger that writes lines of all levels to out. It also prints them if the
// test is verbose and LOG_LEVEL is debug.
func newTestLogger(out io.Writer) *slog.Logger {
	if testing.Verbose() && os.Getenv("LOG_LEVEL") == "debug" {
		out = io.MultiWriter(out, os.Stderr)
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// reportFailure writes a report to -failure-dir if that is set and the test has failed.
func (c *cluster) reportFailure() {
	if !c.t.Failed() || *failureDir == "" {
		return
	}
	name := strings.ReplaceAll(c.t.Name(), "/", "-")
	file, err := os.CreateTemp(*failureDir, name+"-*.log")
	if err != nil {
		c.t.Error(err)
		return
	}
	defer file.Close()
	if err := c.writeReport(file); err != nil {
		c.t.Error(err)
	}
	c.t.Logf("report: %s (network seed %d, jitter %v)", filepath.Clean(file.Name()), *networkSeed, *networkJitter)
}

// writeReport writes the log lines and then the recorded events, without responses to users.
func (c *cluster) writeReport(out io.Writer) error {
	if err := c.logs.writeTo(out); err != nil {
		return err
	}
	for _, event := range c.env.Trace.Events() {
		if _, isResponse := event.(trace.Response); isResponse {
			continue // responses are too many; the rule checker reports those that break a rule
		}
		if _, err := fmt.Fprintf(out, "time=%s %T %+v\n", event.Time().UTC().Format("2006-01-02T15:04:05.000Z07:00"), event, event); err != nil {
			return err
		}
	}
	return nil
}
