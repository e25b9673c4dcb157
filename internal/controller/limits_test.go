package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"

	"pgregory.net/rapid"
)

// A record is written in pieces that fit, which have all of its tasks, no more of which
// may run than before, and each binding.
func TestRecordsFitTheLimit(t *testing.T) {
	c := lone(t)
	rapid.Check(t, func(t *rapid.T) {
		c.cfg.Settings.Store.ValueKB = rapid.Float64Range(0.5, 8).Draw(t, "value_kb")
		group := &taskGroup{key: "x", done: rapid.IntRange(0, 50).Draw(t, "done")}
		n := rapid.IntRange(1, 128).Draw(t, "tasks")
		bound := 0
		for i := range n {
			e := binding{task: int32(i * 700), attempt: 3}
			if rapid.Bool().Draw(t, "bound") {
				e.machine = &machine{name: fmt.Sprint("host-", i, strings.Repeat("0", rapid.IntRange(1, 40).Draw(t, "name"))), addr: "10.1.200.200:9000"}
				e.incarnation = 12
				bound++
			}
			group.bindings = append(group.bindings, e)
		}
		if rapid.Bool().Draw(t, "capped") {
			group.throttle = 1 + rapid.IntRange(bound, n).Draw(t, "may")
		}
		before := group.allowedTasks()
		tasks, may, done, there := 0, 0, 0, 0
		if rapid.Bool().Draw(t, "checked") {
			c.rollout.state = rollout.State{Level: rollout.ChecksumLevel, Phase: rollout.Stable, Epoch: 1}
		}
		for _, piece := range c.splitToFit(group, group.done, group.bindings) {
			raw := piece.At(groupKey("wk-1", 0))
			if len(raw) > c.maxValueBytes() || piece.Encoding() != c.encoding() {
				t.Fatalf("%d bytes of %d, form %d", len(raw), c.maxValueBytes(), piece.Encoding())
			}
			v, _, err := record.DecodeTaskGroup(groupKey("wk-1", 0), raw)
			if err != nil {
				t.Fatal(err)
			}
			x := taskGroup{throttle: v.Throttle}
			for _, e := range v.Tasks {
				x.bindings = append(x.bindings, binding{task: e.Task})
				if e.Machine != "" {
					there++
				}
			}
			tasks, may, done = tasks+len(v.Tasks), may+x.allowedTasks(), done+v.Done
		}
		if tasks != n || may != before || done != group.done || there != bound {
			t.Fatalf("%d of %d tasks, %d of %d may run, %d of %d done, %d of %d bound", tasks, n, may, before, done, group.done, there, bound)
		}
	})
}

// The state service lowers its limits while there are records that were written under
// the former ones: they are read, split when they are written again, and nothing beyond
// the new limits is ever sent, let alone again and again.
func TestLowerLimitsOverLargeRecords(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(6)
		c.submit(jobBody("wk-1", wire.Array, "blue", "low", 400, 1, 4))
		c.submit(jobBody("wk-2", wire.Array, "red", "normal", 60, 2, 4))
		c.await("it runs", time.Minute, func() bool { return c.env.Completed("wk-1") > 20 })
		for i := range c.nodes {
			c.kill(i)
		}
		large := c.env.Store.CountLargerThan(1 << 10)
		c.env.Store.SetLimits(1<<10, 10)
		for i, n := range c.nodes {
			n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = 1, 10
			c.start(i)
		}
		if large == 0 {
			t.Error("no record is large")
		}
		c.submit(jobBody("wk-3", wire.Array, "blue", "normal", 50, 1, 2))
		c.awaitDone("wk-3", 2*time.Minute)
		c.abort("wk-2")
		c.awaitDone("wk-1", 20*time.Minute)
		if n := c.env.Store.CountLargerThan(1 << 10); n > 0 {
			t.Errorf("%d records are too large still", n)
		}
	})
}

// A job whose description can't be stored is refused for good, and one that was accepted
// while more was allowed can still be asked for, submitted again and cancelled.
func TestDescriptionsBeyondTheLimit(t *testing.T) {
	inWorld(t, func(c *cluster) {
		body := func(id string) map[string]any {
			b := jobBody(id, wire.Array, "blue", "normal", 300, 1, 30)
			b["plumage"], b["flock"] = strings.Repeat("i", 190), strings.Repeat("f", 190)
			b["hulls"] = []string{"small", strings.Repeat("x", 190), strings.Repeat("y", 190)}
			return b
		}
		c.submit(body("wk-1"))
		c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-1") > 0 })
		for i := range c.nodes {
			c.kill(i)
		}
		c.env.Store.SetLimits(1<<10, 10)
		for i, n := range c.nodes {
			n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = 1, 10
			c.start(i)
		}
		if status, _ := c.call(trace.Submit, "wk-2", body("wk-2"), nil, 20*time.Second); status != http.StatusUnprocessableEntity {
			t.Errorf("a description that can't be stored: status %d", status)
		}
		if status, _ := c.call(trace.Submit, "wk-1", body("wk-1"), nil, 20*time.Second); status != http.StatusOK {
			t.Errorf("an accepted one, repeated: status %d", status)
		}
		c.abort("wk-1")
		c.await("its tasks are gone", 30*time.Second, func() bool { return c.env.Running("wk-1") == 0 })
	})
}
