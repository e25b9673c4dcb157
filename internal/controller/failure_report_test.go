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

// A simulated cluster that fails a test leaves a report: what its controllers logged, at all
// levels, and what was seen from outside, in the order in which it happened.

var (
	failureDir    = flag.String("failure-dir", "", "folder for the reports of simulated clusters that fail a test")
	networkSeed   = flag.Uint64("network-seed", 0, "seed of the time that requests take in simulated clusters")
	networkJitter = flag.Duration("network-jitter", 500*time.Microsecond, "by how much the time that requests take differs")
)

// maxLogChunks and logChunkBytes bound what is kept of a cluster's logs: the newest.
const (
	maxLogChunks  = 64
	logChunkBytes = 1 << 20
)

// logBuffer keeps the newest log lines of a cluster.
type logBuffer struct {
	mu     sync.Mutex
	chunks []*bytes.Buffer
}

// Write adds a log line.
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

// writeTo writes the lines that are kept.
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

// logger keeps everything that controllers log if failures are to be reported or the
// test looks at them.
func (c *cluster) logger() *slog.Logger {
	if *failureDir != "" || c.alwaysKeepLogs {
		return newTestLogger(c.logs)
	}
	return newTestLogger(io.Discard)
}

// newTestLogger logs at all levels to a writer, and prints it as well if a test runs
// verbosely and asks for it.
func newTestLogger(out io.Writer) *slog.Logger {
	if testing.Verbose() && os.Getenv("LOG_LEVEL") == "debug" {
		out = io.MultiWriter(out, os.Stderr)
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// reportFailure writes the report of a cluster whose test has failed.
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

// writeReport writes the log lines, then what was seen from outside.
func (c *cluster) writeReport(out io.Writer) error {
	if err := c.logs.writeTo(out); err != nil {
		return err
	}
	for _, event := range c.env.Trace.Events() {
		if _, isResponse := event.(trace.Response); isResponse {
			continue // too many, and the rule checker names those that matter
		}
		if _, err := fmt.Fprintf(out, "time=%s %T %+v\n", event.Time().UTC().Format("2006-01-02T15:04:05.000Z07:00"), event, event); err != nil {
			return err
		}
	}
	return nil
}
