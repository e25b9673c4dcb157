package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

func TestArraysServicesAndGangsRun(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "blue", "normal", 30, 2, 5))
		c.submit(jobBody("wk-2", wire.Service, "blue", "urgent", 3, 2, 0))
		c.submit(jobBody("wk-3", wire.Gang, "blue", "normal", 4, 2, 5))
		c.await("the service runs", 40*time.Second, func() bool { return c.env.Running("wk-2") == 3 })
		c.awaitDone("wk-1", 2*time.Minute)
		c.awaitDone("wk-3", 2*time.Minute)
		c.abort("wk-2")
		c.await("the service is gone", 10*time.Second, func() bool { return c.env.Running("wk-2") == 0 })
		c.await("records are cleared up", time.Minute, func() bool { return len(c.env.Store.Keys(groupPrefix)) == 0 })
		c.await("machines are returned", time.Minute, func() bool { return len(c.env.Cloud.Agents()) == 0 })
		if s := c.state("wk-2"); s != wire.Cancelled {
			t.Errorf("the service is %s", s)
		}
	})
}

func TestUsersAreAnswered(t *testing.T) {
	inWorld(t, func(c *cluster) {
		time.Sleep(5 * time.Second)
		good := jobBody("wk-7", wire.Array, "red", "low", 2, 1, 1)
		for _, x := range []struct {
			change func(map[string]any)
			status int
		}{
			{func(b map[string]any) { b["crew"] = "green" }, 422},
			{func(b map[string]any) { b["cpus"] = 17 }, 422},
			{func(b map[string]any) { b["shape"], b["eggs"], b["cpus"] = wire.Service, 13, 2 }, 422},
			{func(b map[string]any) { b["shore"] = "c" }, 422},
			{func(b map[string]any) { b["eggs"] = 0 }, 400},
			{func(b map[string]any) { delete(b, "stowS") }, 400},
			{func(b map[string]any) { b["nameId"] = "job-1" }, 400},
			{func(b map[string]any) { b["plumage"] = strings.Repeat("x", 70_000) }, 400},
			{func(map[string]any) {}, 201},
			{func(map[string]any) {}, 200},
			{func(b map[string]any) { b["crew"] = "green" }, 200}, // known already: never refused
		} {
			body := map[string]any{}
			for k, v := range good {
				body[k] = v
			}
			x.change(body)
			raw, _ := json.Marshal(body)
			spec, err := wire.ParseJob(raw)
			if err == nil && x.status == 201 {
				c.env.Upload(spec)
			}
			id, _ := body["nameId"].(string)
			if status, _ := c.call(trace.Submit, id, body, spec, 10*time.Second); status != x.status {
				t.Errorf("%v: status %d, not %d", body, status, x.status)
			}
		}
		if status, _ := c.call(trace.Query, "wk-99", nil, nil, 10*time.Second); status != 404 {
			t.Errorf("unknown job: %d", status)
		}
		c.awaitDone("wk-7", time.Minute)
	})
}

// A large array and a flood of small ones: records and transactions stay within
// the limits, what is done leaves little behind, reports keep being answered.
func TestFlood(t *testing.T) {
	inWorld(t, func(c *cluster) {
		c.submit(jobBody("wk-1", wire.Array, "blue", "low", 1500, 1, 1))
		for i := range 60 {
			c.submit(jobBody(fmt.Sprintf("wk-%d", i+2), wire.Array, "blue", "normal", 5, 1, 1))
		}
		most := 0
		c.await("all is done", 20*time.Minute, func() bool {
			most = max(most, len(c.env.Store.Keys(groupPrefix+"wk-1/")))
			return c.state("wk-1") == wire.Done
		})
		if most > 120 {
			t.Errorf("%d records of one array", most)
		}
		for i := range 60 {
			c.awaitDone(fmt.Sprintf("wk-%d", i+2), time.Minute)
		}
	})
}

// A stored record that can't be decoded is named and left alone: its user is
// told to come back, nothing is dealt twice, and the rest goes on.
func TestUndecodableRecord(t *testing.T) {
	inWorld(t, func(c *cluster) {
		time.Sleep(3 * time.Second)
		c.foreign = map[string]bool{}
		put := func(key, value string) {
			c.foreign[key] = true
			raw := fmt.Sprintf(`{"if":[],"then":[{"write":%q,"v":%s}]}`, key, value)
			req, _ := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://state:1/txn", strings.NewReader(raw))
			if resp, err := c.user.RoundTrip(req); err != nil || resp.StatusCode != 200 {
				t.Fatal(err)
			}
		}
		put(jobKey("wk-9"), `"what"`)
		put(groupKey("wk-8", 0), `{"p":77}`)
		put("e/odd", `[]`)
		c.submit(jobBody("wk-1", wire.Array, "blue", "normal", 3, 1, 1))
		c.awaitDone("wk-1", time.Minute)
		for i := range c.nodes {
			c.kill(i)
			c.start(i)
		}
		time.Sleep(5 * time.Second)
		for _, id := range []string{"wk-8", "wk-9"} {
			if status, _ := c.call(trace.Query, id, nil, nil, 3*time.Second); status != 0 {
				t.Errorf("%s: status %d", id, status)
			}
		}
	})
}
