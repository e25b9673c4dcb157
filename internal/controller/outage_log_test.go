package controller

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

// The beginning and the end of an outage must be logged once each at level info: by every
// controller for the key-value store, and by the leader only for the cloud.
func TestOutagesAreLogged(t *testing.T) {
	for _, x := range []struct {
		name    string
		attr    string // log attribute that names the dependency
		setDown func(c *cluster, down bool)
		nodes   int // number of controllers that log the outage
	}{
		{"the key-value store", `of="key-value store"`, func(c *cluster, down bool) { c.env.Store.SetUnavailable(down) }, defaultControllerCount},
		{"the cloud", "of=cloud", func(c *cluster, down bool) { c.env.Cloud.SetUnavailable(down) }, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkOutageLines(x.attr, x.nodes, func(down bool) { x.setDown(c, down) }) })
		})
	}
}

// checkOutageLines runs a cluster through an outage and checks that the given number of nodes log
// its beginning and its end, in lines that contain attr.
func (c *cluster) checkOutageLines(attr string, nodes int, setDown func(down bool)) {
	c.t.Helper()
	c.alwaysKeepLogs = true
	c.restartAll()
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 2, CPUs: 1}))
	c.await("the service runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 2 })
	before := c.infoLines("outage")
	if len(before) > 0 {
		c.t.Errorf("lines about an outage before there was one: %q, want none", before)
	}
	setDown(true)
	time.Sleep(25 * time.Second)
	setDown(false)
	time.Sleep(10 * time.Second)
	c.checkInfoLines(`msg="outage began"`, attr, nodes)
	c.checkInfoLines(`msg="outage ended"`, attr, nodes)
}

// checkInfoLines checks that the controllers have logged the wanted number of info lines that
// contain text, and that each of them also contains alsoIn.
func (c *cluster) checkInfoLines(text, alsoIn string, want int) {
	c.t.Helper()
	lines := c.infoLines(text)
	if len(lines) != want {
		c.t.Errorf("%d info lines contain %s, want %d: %q", len(lines), text, want, lines)
	}
	for _, line := range lines {
		if !strings.Contains(line, alsoIn) {
			c.t.Errorf("line %q does not contain %s", line, alsoIn)
		}
	}
}

// infoLines returns the lines logged by all controllers at level info that contain text.
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
