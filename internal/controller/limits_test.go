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

// A task group is written in pieces that fit the value limit. Together they contain all of its
// tasks and bindings and allow the same number of tasks to run.
func TestSplitRecordsFitValueLimit(t *testing.T) {
	c := newTestController(t)
	rapid.Check(t, func(t *rapid.T) {
		c.cfg.Settings.Store.ValueKB = rapid.Float64Range(0.5, 8).Draw(t, "value_kb")
		group := drawGroup(t)
		if rapid.Bool().Draw(t, "checked") {
			c.rollout.state = rollout.State{Level: rollout.ChecksumLevel, Phase: rollout.PhaseStable, Epoch: 1}
		}
		want := groupContents{tasks: len(group.bindings), allowed: group.bindLimit(), done: group.doneTasks}
		for _, b := range group.bindings {
			if b.machine != nil {
				want.bound++
			}
		}
		var got groupContents
		for _, piece := range c.splitToFit(group, group.doneTasks, group.bindings) {
			raw := piece.ValueForKey(groupKey("wk-1", 0))
			if len(raw) > c.maxValueBytes() || piece.Encoding() != c.writeEncoding() {
				t.Fatalf("a piece has %d bytes and encoding %d, want at most %d bytes and encoding %d", len(raw), piece.Encoding(), c.maxValueBytes(), c.writeEncoding())
			}
			got.add(t, raw)
		}
		if got != want {
			t.Fatalf("the pieces together contain %+v, want %+v", got, want)
		}
	})
}

// drawGroup draws a task group with some bound tasks, on machines whose names have different
// lengths.
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

// groupContents counts the tasks of a task group, or of the pieces into which it is split.
type groupContents struct{ tasks, allowed, done, bound int }

// add counts the tasks of a stored piece.
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
	g.done += stored.DoneTasks
}

// Records written under a higher value limit must stay readable after the key-value store lowers
// the limit, and are split when they are written again. No value beyond the new limit may be
// sent, since it would be refused again and again.
func TestLoweredValueLimitSplitsRecords(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(6)
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 400, CPUs: 1, EstimateS: 4}))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "red", Priority: "normal", Tasks: 60, CPUs: 2, EstimateS: 4}))
		c.await("more than 20 tasks of the job are done", time.Minute, func() bool { return c.env.CountCompletedTasks("wk-1") > 20 })
		c.killAll()
		largeValues := c.env.Store.CountValuesLargerThan(1 << 10)
		c.env.Store.SetTxnLimits(1<<10, 10)
		for i, n := range c.nodes {
			n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = 1, 10
			c.start(i)
		}
		if largeValues == 0 {
			t.Error("no record exceeds the lower limit, want at least one")
		}
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 50, CPUs: 1, EstimateS: 2}))
		c.awaitDone("wk-3", 2*time.Minute)
		c.cancelJob("wk-2")
		c.awaitDone("wk-1", 20*time.Minute)
		if n := c.env.Store.CountValuesLargerThan(1 << 10); n > 0 {
			t.Errorf("%d records still exceed the value limit, want none", n)
		}
	})
}

// A job whose description exceeds the value limit is rejected permanently. A job that was accepted
// under a higher limit can still be queried, submitted again and cancelled.
func TestJobSpecsLargerThanValueLimit(t *testing.T) {
	runCluster(t, func(c *cluster) {
		newJob := func(id string) *submission {
			b := newSubmission(submission{ID: id, Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 300, CPUs: 1, EstimateS: 30})
			b.Image, b.Class = strings.Repeat("i", 190), strings.Repeat("f", 190)
			b.MachineTypes = []string{"small", strings.Repeat("x", 190), strings.Repeat("y", 190)}
			return b
		}
		c.submit(newJob("wk-1"))
		c.await("the job runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") > 0 })
		c.killAll()
		c.env.Store.SetTxnLimits(1<<10, 10)
		for i, n := range c.nodes {
			n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = 1, 10
			c.start(i)
		}
		if answer := c.sendWithRetries(submitRequest(newJob("wk-2"), nil), 20*time.Second); answer.status != http.StatusUnprocessableEntity {
			t.Errorf("submission of a job whose description exceeds the limit: status %d, want 422", answer.status)
		}
		if answer := c.sendWithRetries(submitRequest(newJob("wk-1"), nil), 20*time.Second); answer.status != http.StatusOK {
			t.Errorf("repeated submission of an accepted job: status %d, want 200", answer.status)
		}
		c.cancelJob("wk-1")
		c.await("no task of the cancelled job runs", 30*time.Second, func() bool { return c.env.CountRunningTasks("wk-1") == 0 })
	})
}
