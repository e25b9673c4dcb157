package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// ask makes one call to a node and notes the answer for the rule checker.
func (c *cluster) ask(node int, call trace.Operation, id string, body map[string]any, spec *wire.Job) (int, map[string]any) {
	method, path := http.MethodPost, "/v1/jobs"
	switch call {
	case trace.Query:
		method, path = http.MethodGet, "/v1/jobs/"+id
	case trace.Cancel:
		path = "/v1/jobs/" + id + "/abort"
	}
	raw, _ := json.Marshal(body)
	limit := 5 * time.Second
	if call == trace.Query {
		limit = 2 * time.Second
	}
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[node].cfg.APIAddr+path, bytes.NewReader(raw))
	e := trace.Response{RequestedAt: time.Now(), Operation: call, Job: id, Spec: spec}
	var out map[string]any
	if resp, err := c.user.RoundTrip(req); err == nil {
		e.Status = resp.StatusCode
		_ = json.NewDecoder(resp.Body).Decode(&out)
		e.State, _ = out["tide"].(string)
	}
	e.At = time.Now()
	c.env.Trace.Record(e)
	if until := c.looks.Load(); until != nil && time.Now().Before(*until) && call != trace.Query && e.Status/100 == 2 {
		for i := range c.nodes {
			go c.ask(i, trace.Query, id, nil, nil)
		}
	}
	return e.Status, out
}

// call tries the nodes in turn until one gives a final answer.
func (c *cluster) call(call trace.Operation, id string, body map[string]any, spec *wire.Job, within time.Duration) (int, map[string]any) {
	until := time.Now().Add(within)
	node := int(network.Draw(uint64(call), id) * float64(len(c.nodes)))
	for time.Now().Before(until) {
		node = (node + 1) % len(c.nodes)
		status, out := c.ask(node, call, id, body, spec)
		if status != 0 && status < 500 && status != http.StatusTooManyRequests {
			return status, out
		}
		time.Sleep(time.Second)
	}
	return 0, nil
}

func jobBody(id, kind, team, priority string, tasks int, cpus, estimate float64) map[string]any {
	return map[string]any{"nameId": id, "flock": "x", "crew": team, "shape": kind, "rank": priority, "eggs": tasks,
		"cpus": cpus, "cards": 0, "ramGb": 1, "plumage": "img", "imageGb": 1, "samePlace": false, "spread": false, "driftwood": false,
		"reckonS": estimate, "moultS": 0, "stowS": 0}
}

func (c *cluster) submit(body map[string]any) {
	c.t.Helper()
	if !c.trySubmit(body) {
		c.t.Fatalf("%v is not accepted", body)
	}
}

func (c *cluster) trySubmit(body map[string]any) bool {
	c.t.Helper()
	raw, _ := json.Marshal(body)
	spec, err := wire.ParseJob(raw)
	if err != nil {
		c.t.Error(err)
		return false
	}
	c.env.Upload(spec)
	status, _ := c.call(trace.Submit, spec.ID, body, spec, 20*time.Second)
	if status != 0 && status != http.StatusCreated && status != http.StatusOK {
		c.t.Errorf("submission of %s: status %d", spec.ID, status)
		return false
	}
	return status != 0
}

func (c *cluster) state(id string) string {
	status, out := c.call(trace.Query, id, nil, nil, 40*time.Second)
	if status != http.StatusOK {
		c.t.Fatalf("poll of %s: status %d", id, status)
	}
	s, _ := out["tide"].(string)
	return s
}

func (c *cluster) abort(id string) {
	c.t.Helper()
	if !c.tryAbort(id) {
		c.t.Fatalf("%s can't be cancelled", id)
	}
}

func (c *cluster) tryAbort(id string) bool {
	c.t.Helper()
	status, _ := c.call(trace.Cancel, id, nil, nil, 20*time.Second)
	if status != 0 && status != http.StatusOK {
		c.t.Fatalf("abort of %s: status %d", id, status)
	}
	return status != 0
}

func (c *cluster) await(what string, limit time.Duration, ok func() bool) {
	c.t.Helper()
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Second) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("%s: not within %v", what, limit)
}

func (c *cluster) awaitDone(id string, limit time.Duration) {
	c.t.Helper()
	c.await(id+" is done", limit, func() bool { return c.state(id) == wire.Done })
}

// services submits n services and waits until they run.
func (c *cluster) services(n, tasks int) {
	c.t.Helper()
	for i := range n {
		c.submit(jobBody(fmt.Sprintf("wk-%d", i+1), wire.Service, "blue", "urgent", tasks, 2, 0))
	}
	c.await("the services run", time.Minute, func() bool { return c.allRun(n, tasks) })
}

func (c *cluster) allRun(n, tasks int) bool {
	for i := range n {
		if c.env.Running(fmt.Sprintf("wk-%d", i+1)) != tasks {
			return false
		}
	}
	return true
}

// zoned submits n services of one replica for a zone.
func (c *cluster) zoned(first, n int, zone string) {
	c.t.Helper()
	for i := range n {
		body := jobBody(fmt.Sprintf("wk-%d", first+i), wire.Service, "blue", "urgent", 1, 2, 0)
		body["shore"] = zone
		c.submit(body)
	}
}
