package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// How long users wait for an answer, and before they try the next controller.
const (
	queryTimeout  = 2 * time.Second
	changeTimeout = 5 * time.Second
	retryDelay    = time.Second
)

// emptyBody is the body of requests that need none.
var emptyBody = []byte("null")

// submission is a job as users submit it. The fields are in the order of the protocol's
// names.
type submission struct {
	GPUs         float64  `json:"cards"`
	CPUs         float64  `json:"cpus"`
	Team         string   `json:"crew"`
	Spot         bool     `json:"driftwood"`
	DeadlineS    float64  `json:"dueS,omitempty"`
	Tasks        int      `json:"eggs"`
	Class        string   `json:"flock"`
	MachineTypes []string `json:"hulls,omitempty"`
	ImageGB      float64  `json:"imageGb"`
	CheckpointS  float64  `json:"moultS"`
	ID           string   `json:"nameId"`
	Image        string   `json:"plumage"`
	RAM          float64  `json:"ramGb"`
	Priority     string   `json:"rank"`
	EstimateS    float64  `json:"reckonS"`
	SingleZone   bool     `json:"samePlace"`
	Kind         string   `json:"shape"`
	Zone         string   `json:"shore,omitempty"`
	Spread       bool     `json:"spread"`
	SaveS        float64  `json:"stowS"`
	// omitted is a field, by the protocol's name, that the body lacks; "": none.
	omittedField string
}

// newSubmission fills in what most jobs of the tests have in common.
func newSubmission(s submission) *submission {
	s.Class, s.Image, s.RAM, s.ImageGB = "x", "img", 1, 1
	return &s
}

// body is the submission as it is sent.
func (s *submission) encode(t testing.TB) []byte {
	t.Helper()
	raw, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if s.omittedField == "" {
		return raw
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		t.Fatal(err)
	}
	delete(fields, s.omittedField)
	if raw, err = json.Marshal(fields); err != nil {
		t.Fatal(err)
	}
	return raw
}

// request is what a user asks of a controller.
type jobRequest struct {
	operation  trace.Operation
	job        string
	submission *submission // of a submission
	spec       *wire.Job   // what the rule checker takes the submission for; nil: nothing
}

func queryRequest(job string) jobRequest  { return jobRequest{operation: trace.Query, job: job} }
func cancelRequest(job string) jobRequest { return jobRequest{operation: trace.Cancel, job: job} }

func submitRequest(s *submission, spec *wire.Job) jobRequest {
	return jobRequest{operation: trace.Submit, job: s.ID, submission: s, spec: spec}
}

// http is the HTTP request to a controller's address.
func (r jobRequest) newHTTPRequest(ctx context.Context, t testing.TB, addr string) *http.Request {
	t.Helper()
	method, path, body := http.MethodPost, "/v1/jobs", emptyBody
	switch r.operation {
	case trace.Submit:
		body = r.submission.encode(t)
	case trace.Query:
		method, path = http.MethodGet, "/v1/jobs/"+r.job
	case trace.Cancel:
		path = "/v1/jobs/" + r.job + "/abort"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return req
}

// timeout is for how long a user waits for the answer.
func (r jobRequest) timeout() time.Duration {
	if r.operation == trace.Query {
		return queryTimeout
	}
	return changeTimeout
}

// response is what a user was answered.
type jobResponse struct {
	status int    // 0: nothing
	state  string // of the job; "": the answer shows none
}

// isFinal tells whether another controller would answer the same.
func (r jobResponse) isFinal() bool {
	return r.status != 0 && r.status < http.StatusInternalServerError && r.status != http.StatusTooManyRequests
}

// readResponse reads an answer.
func readResponse(resp *http.Response) jobResponse {
	defer resp.Body.Close()
	var job wire.JobState
	if raw, err := io.ReadAll(resp.Body); err == nil {
		_ = json.Unmarshal(raw, &job) // an error's text shows no job
	}
	return jobResponse{resp.StatusCode, job.State}
}

// ask makes one call to a node and records the answer for the rule checker.
func (c *cluster) sendRequest(node int, r jobRequest) jobResponse {
	ctx, cancel := context.WithTimeout(c.ctx, r.timeout())
	defer cancel()
	event := trace.Response{RequestedAt: time.Now(), Operation: r.operation, Job: r.job, Spec: r.spec}
	var response jobResponse
	if resp, err := c.clientTransport.RoundTrip(r.newHTTPRequest(ctx, c.t, c.nodes[node].cfg.APIAddr)); err == nil {
		response = readResponse(resp)
	}
	event.At, event.Status, event.State = time.Now(), response.status, response.state
	c.env.Trace.Record(event)
	if queryUntil := c.queryAllUntil.Load(); queryUntil != nil && time.Now().Before(*queryUntil) && r.operation != trace.Query && response.status/100 == 2 {
		for i := range c.nodes {
			go c.sendRequest(i, queryRequest(r.job))
		}
	}
	return response
}

// call tries the nodes in turn until one gives a final answer.
func (c *cluster) sendWithRetries(r jobRequest, timeout time.Duration) jobResponse {
	deadline := time.Now().Add(timeout)
	node := int(network.Draw(uint64(r.operation), r.job) * float64(len(c.nodes)))
	for time.Now().Before(deadline) {
		node = (node + 1) % len(c.nodes)
		if response := c.sendRequest(node, r); response.isFinal() {
			return response
		}
		time.Sleep(retryDelay)
	}
	return jobResponse{}
}

// submit submits a job, which must be accepted.
func (c *cluster) submit(s *submission) {
	c.t.Helper()
	if !c.trySubmit(s) {
		c.t.Fatalf("%+v is not accepted", *s)
	}
}

// trySubmit submits a job; false: no controller answered.
func (c *cluster) trySubmit(s *submission) bool {
	c.t.Helper()
	spec, err := wire.ParseJob(s.encode(c.t))
	if err != nil {
		c.t.Errorf("%+v is malformed: %v", *s, err)
		return false
	}
	c.env.Upload(spec)
	response := c.sendWithRetries(submitRequest(s, spec), 20*time.Second)
	switch response.status {
	case http.StatusCreated, http.StatusOK:
		return true
	case 0:
		return false
	}
	c.t.Errorf("submission of %s: status %d, want 200 or 201", s.ID, response.status)
	return false
}

// state is the state of a job that must be known.
func (c *cluster) jobState(job string) string {
	c.t.Helper()
	response := c.sendWithRetries(queryRequest(job), 40*time.Second)
	if response.status != http.StatusOK {
		c.t.Fatalf("query of %s: status %d, want 200", job, response.status)
	}
	return response.state
}

// cancelJob cancels a job, which must be confirmed.
func (c *cluster) cancelJob(job string) {
	c.t.Helper()
	if !c.tryCancelJob(job) {
		c.t.Fatalf("%s can't be cancelled", job)
	}
}

// tryCancelJob cancels a job; false: no controller answered.
func (c *cluster) tryCancelJob(job string) bool {
	c.t.Helper()
	response := c.sendWithRetries(cancelRequest(job), 20*time.Second)
	if response.status != 0 && response.status != http.StatusOK {
		c.t.Fatalf("cancellation of %s: status %d, want 200", job, response.status)
	}
	return response.status != 0
}

// await waits until something holds.
func (c *cluster) await(description string, timeout time.Duration, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Second) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("%s: not within %v", description, timeout)
}

// awaitDone waits until a job is done.
func (c *cluster) awaitDone(job string, timeout time.Duration) {
	c.t.Helper()
	c.await(job+" is done", timeout, func() bool { return c.jobState(job) == wire.StateDone })
}

// submitServices submits the services wk-1, wk-2 and so on.
func (c *cluster) submitServices(count, tasks int) {
	c.t.Helper()
	for i := range count {
		c.submit(newSubmission(submission{ID: fmt.Sprintf("wk-%d", i+1), Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: tasks, CPUs: 2}))
	}
}

// startServices submits services and waits until they run.
func (c *cluster) startServices(count, tasks int) {
	c.t.Helper()
	c.submitServices(count, tasks)
	c.await("the services run", time.Minute, func() bool { return c.areServicesRunning(count, tasks) })
}

// areServicesRunning tells whether the first so many jobs run with so many tasks each.
func (c *cluster) areServicesRunning(count, tasks int) bool {
	for i := range count {
		if c.env.Running(fmt.Sprintf("wk-%d", i+1)) != tasks {
			return false
		}
	}
	return true
}

// submitZonalServices submits services of one replica for a zone.
func (c *cluster) submitZonalServices(first, count int, zone string) {
	c.t.Helper()
	for i := range count {
		s := newSubmission(submission{ID: fmt.Sprintf("wk-%d", first+i), Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 1, CPUs: 2})
		s.Zone = zone
		c.submit(s)
	}
}
