package controller

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

// An outage of the key-value store, and one of the cloud, shows at info: each controller says
// once that it began and once that it ended, with its length; of the cloud the leader does.
func TestOutagesAreLogged(t *testing.T) {
	for _, x := range []struct {
		name    string
		of      string
		setDown func(c *cluster, down bool)
		nodes   int // that log it
	}{
		{"the key-value store", `of="key-value store"`, func(c *cluster, down bool) { c.env.Store.SetDown(down) }, usualControllers},
		{"the cloud", "of=cloud", func(c *cluster, down bool) { c.env.Cloud.SetDown(down) }, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				c.keepsLogs = true
				c.restartAll()
				c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Service, Team: "blue", Priority: "urgent", Tasks: 2, CPUs: 1}))
				c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-1") == 2 })
				before := c.infoLines("outage")
				if len(before) > 0 {
					t.Errorf("lines before the outage: %q, want none", before)
				}
				x.setDown(c, true)
				time.Sleep(25 * time.Second)
				x.setDown(c, false)
				time.Sleep(10 * time.Second)
				for _, want := range []string{`msg="outage began"`, `msg="outage ended"`} {
					lines := c.infoLines(want)
					if len(lines) != x.nodes {
						t.Errorf("%d lines with %s, want %d: %q", len(lines), want, x.nodes, lines)
					}
					for _, line := range lines {
						if !strings.Contains(line, x.of) {
							t.Errorf("line %q, want %s in it", line, x.of)
						}
					}
				}
			})
		})
	}
}

// infoLines are the lines at info, with a text in them, that controllers have logged.
func (c *cluster) infoLines(text string) []string {
	c.t.Helper()
	var logged bytes.Buffer
	if err := c.logs.writeTo(&logged); err != nil {
		c.t.Fatal(err)
	}
	var lines []string
	for line := range strings.Lines(logged.String()) {
		if strings.Contains(line, "level=INFO") && strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
