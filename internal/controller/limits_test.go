package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/wire"

	"pgregory.net/rapid"
)

// A record is written in pieces that fit, which have all of its tasks, no more of which
// may run than before, and each binding.
func TestSplitRecordsFitValueLimit(t *testing.T) {
	c := newTestController(t)
	rapid.Check(t, func(t *rapid.T) {
		c.cfg.Settings.Store.ValueKB = rapid.Float64Range(0.5, 8).Draw(t, "value_kb")
		group := drawGroup(t)
		if rapid.Bool().Draw(t, "checked") {
			c.rollout.state = rollout.State{Level: rollout.ChecksumLevel, Phase: rollout.Stable, Epoch: 1}
		}
		want := groupContents{tasks: len(group.bindings), allowed: group.bindLimit(), done: group.doneTasks}
		for _, b := range group.bindings {
			if b.machine != nil {
				want.bound++
			}
		}
		var got groupContents
		for _, piece := range c.splitToFit(group, group.doneTasks, group.bindings) {
			raw := piece.At(groupKey("wk-1", 0))
			if len(raw) > c.maxValueBytes() || piece.Encoding() != c.writeEncoding() {
				t.Fatalf("a piece has %d bytes and encoding %d, want at most %d and %d", len(raw), piece.Encoding(), c.maxValueBytes(), c.writeEncoding())
			}
			got.add(t, raw)
		}
		if got != want {
			t.Fatalf("the pieces have %+v, want %+v", got, want)
		}
	})
}

// drawGroup is a task group of which some tasks are bound, to machines with names and
// addresses of several lengths.
func drawGroup(t *rapid.T) *taskGroup {
	group := &taskGroup{key: "x", doneTasks: rapid.IntRange(0, 50).Draw(t, "done")}
	n := rapid.IntRange(1, 128).Draw(t, "tasks")
	bound := 0
	for i := range n {
		b := binding{task: int32(i * 700), attempt: 3}
		if rapid.Bool().Draw(t, "bound") {
			name := fmt.Sprint("host-", i, strings.Repeat("0", rapid.IntRange(1, 40).Draw(t, "name")))
			b.machine = &machine{name: name, addr: "10.1.200.200:9000"}
			b.incarnation = 12
			bound++
		}
		group.bindings = append(group.bindings, b)
	}
	if rapid.Bool().Draw(t, "throttled") {
		group.throttle = 1 + rapid.IntRange(bound, n).Draw(t, "allowed")
	}
	return group
}

// groupContents are counts of the tasks of a stored group, or of the pieces of one.
type groupContents struct{ tasks, allowed, done, bound int }

// add counts a stored piece.
func (g *groupContents) add(t *rapid.T, raw []byte) {
	stored, _, err := record.DecodeTaskGroup(groupKey("wk-1", 0), raw)
	if err != nil {
		t.Fatal(err)
	}
	piece := taskGroup{throttle: stored.Throttle}
	for _, task := range stored.Tasks {
		piece.bindings = append(piece.bindings, binding{task: task.Task})
		if task.Machine != "" {
			g.bound++
		}
	}
	g.tasks += len(stored.Tasks)
	g.allowed += piece.bindLimit()
	g.done += stored.Done
}

// The key-value store lowers its limits while there are records that were written under
// the former ones: they are read, split when they are written again, and nothing beyond
// the new limits is ever sent, let alone again and again.
func TestLoweredValueLimitSplitsRecords(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(6)
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Array, Team: "blue", Priority: "low", Tasks: 400, CPUs: 1, EstimateS: 4}))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.Array, Team: "red", Priority: "normal", Tasks: 60, CPUs: 2, EstimateS: 4}))
		c.await("it runs", time.Minute, func() bool { return c.env.Completed("wk-1") > 20 })
		c.killAll()
		large := c.env.Store.CountLargerThan(1 << 10)
		c.env.Store.SetLimits(1<<10, 10)
		for i, n := range c.nodes {
			n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = 1, 10
			c.start(i)
		}
		if large == 0 {
			t.Error("no record is large")
		}
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: 50, CPUs: 1, EstimateS: 2}))
		c.awaitDone("wk-3", 2*time.Minute)
		c.cancelJob("wk-2")
		c.awaitDone("wk-1", 20*time.Minute)
		if n := c.env.Store.CountLargerThan(1 << 10); n > 0 {
			t.Errorf("%d records are too large still, want none", n)
		}
	})
}

// A job whose description can't be stored is refused for good, and one that was accepted
// while more was allowed can still be asked for, submitted again and cancelled.
func TestJobSpecsLargerThanValueLimit(t *testing.T) {
	runCluster(t, func(c *cluster) {
		body := func(id string) *submission {
			b := newSubmission(submission{ID: id, Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: 300, CPUs: 1, EstimateS: 30})
			b.Image, b.Class = strings.Repeat("i", 190), strings.Repeat("f", 190)
			b.MachineTypes = []string{"small", strings.Repeat("x", 190), strings.Repeat("y", 190)}
			return b
		}
		c.submit(body("wk-1"))
		c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-1") > 0 })
		c.killAll()
		c.env.Store.SetLimits(1<<10, 10)
		for i, n := range c.nodes {
			n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = 1, 10
			c.start(i)
		}
		if answer := c.call(submitRequest(body("wk-2"), nil), 20*time.Second); answer.status != http.StatusUnprocessableEntity {
			t.Errorf("a description that can't be stored: status %d, want 422", answer.status)
		}
		if answer := c.call(submitRequest(body("wk-1"), nil), 20*time.Second); answer.status != http.StatusOK {
			t.Errorf("an accepted one, repeated: status %d, want 200", answer.status)
		}
		c.cancelJob("wk-1")
		c.await("its tasks are gone", 30*time.Second, func() bool { return c.env.Running("wk-1") == 0 })
	})
}
