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
			runCluster(t, func(c *cluster) { c.checkOutageLines(x.of, x.nodes, func(down bool) { x.setDown(c, down) }) })
		})
	}
}

// checkOutageLines has an outage happen and checks its lines.
func (c *cluster) checkOutageLines(of string, nodes int, setDown func(down bool)) {
	c.t.Helper()
	c.keepsLogs = true
	c.restartAll()
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Service, Team: "blue", Priority: "urgent", Tasks: 2, CPUs: 1}))
	c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-1") == 2 })
	before := c.infoLines("outage")
	if len(before) > 0 {
		c.t.Errorf("lines before the outage: %q, want none", before)
	}
	setDown(true)
	time.Sleep(25 * time.Second)
	setDown(false)
	time.Sleep(10 * time.Second)
	c.checkInfoLines(`msg="outage began"`, of, nodes)
	c.checkInfoLines(`msg="outage ended"`, of, nodes)
}

// checkInfoLines checks how many lines with a text controllers have logged, all with another.
func (c *cluster) checkInfoLines(text, alsoIn string, want int) {
	c.t.Helper()
	lines := c.infoLines(text)
	if len(lines) != want {
		c.t.Errorf("%d lines with %s, want %d: %q", len(lines), text, want, lines)
	}
	for _, line := range lines {
		if !strings.Contains(line, alsoIn) {
			c.t.Errorf("line %q, want %s in it", line, alsoIn)
		}
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
