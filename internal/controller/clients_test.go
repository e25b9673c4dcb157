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

const (
	// queryTimeout limits how long a user waits for the response to a query.
	queryTimeout = 2 * time.Second
	// changeTimeout limits how long a user waits for the response to a submission or cancellation.
	changeTimeout = 5 * time.Second
	// retryDelay is how long a user waits before trying the next controller.
	retryDelay = time.Second
)

// emptyBody is the body of requests that carry no data.
var emptyBody = []byte("null")

// submission is a job as users submit it. The fields are sorted by their names in the protocol. Times
// are in seconds, and sizes in GB.
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
	// omittedField is the protocol's name of a field to leave out of the body; empty: none.
	omittedField string
}

// newSubmission returns a copy of s with the fields set that are the same for most jobs of the
// tests.
func newSubmission(s submission) *submission {
	s.Class, s.Image, s.RAM, s.ImageGB = "x", "img", 1, 1
	return &s
}

// encode returns the body of the request that submits the job.
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

// jobRequest is a user's request about one job.
type jobRequest struct {
	operation  trace.Operation
	job        string
	submission *submission // only for submissions
	spec       *wire.Job   // job to record for the rule checker; nil for invalid and repeated submissions
}

// queryRequest returns a request for the state of a job.
func queryRequest(job string) jobRequest { return jobRequest{operation: trace.Query, job: job} }

// cancelRequest returns a request to cancel a job.
func cancelRequest(job string) jobRequest { return jobRequest{operation: trace.Cancel, job: job} }

// submitRequest returns a request to submit a job. spec is the job to record for the rule checker; it
// must be nil if the submission is invalid or repeated.
func submitRequest(s *submission, spec *wire.Job) jobRequest {
	return jobRequest{operation: trace.Submit, job: s.ID, submission: s, spec: spec}
}

// newHTTPRequest returns the HTTP request for the controller at addr.
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

// timeout returns how long a user waits for the response.
func (r jobRequest) timeout() time.Duration {
	if r.operation == trace.Query {
		return queryTimeout
	}
	return changeTimeout
}

// jobResponse is the response that a user received to a request.
type jobResponse struct {
	status int    // HTTP status; 0: no response was received
	state  string // state of the job; empty: the response has none
}

// isFinal reports whether there is no point in retrying the request at another controller.
func (r jobResponse) isFinal() bool {
	return r.status != 0 && r.status < http.StatusInternalServerError && r.status != http.StatusTooManyRequests
}

// readResponse reads and closes the body of a response.
func readResponse(resp *http.Response) jobResponse {
	defer resp.Body.Close()
	var job wire.JobState
	if raw, err := io.ReadAll(resp.Body); err == nil {
		_ = json.Unmarshal(raw, &job) // the body of an error response has no state
	}
	return jobResponse{resp.StatusCode, job.State}
}

// sendRequest sends a request once, to one node, and records the response for the rule checker.
// Before the time queryAllUntil, each successful change is followed by a query to each controller.
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

// sendWithRetries tries the nodes in turn until one gives a final response. It returns the zero value
// if none does before the timeout.
func (c *cluster) sendWithRetries(r jobRequest, timeout time.Duration) jobResponse {
	deadline := time.Now().Add(timeout)
	node := int(network.SeededFloat64(uint64(r.operation), r.job) * float64(len(c.nodes)))
	for time.Now().Before(deadline) {
		node = (node + 1) % len(c.nodes)
		if response := c.sendRequest(node, r); response.isFinal() {
			return response
		}
		time.Sleep(retryDelay)
	}
	return jobResponse{}
}

// submit submits a job. The test fails if it is not accepted.
func (c *cluster) submit(s *submission) {
	c.t.Helper()
	if !c.trySubmit(s) {
		c.t.Fatalf("submission %+v was not accepted", *s)
	}
}

// trySubmit submits a job and reports whether it was accepted. The test fails if the submission was
// refused; it does not fail if no controller responded.
func (c *cluster) trySubmit(s *submission) bool {
	c.t.Helper()
	spec, err := wire.ParseJob(s.encode(c.t))
	if err != nil {
		c.t.Errorf("submission %+v is malformed: %v", *s, err)
		return false
	}
	c.env.UploadJobSpec(spec)
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

// jobState returns the state of a job. The test fails unless a controller answers with status 200.
func (c *cluster) jobState(job string) string {
	c.t.Helper()
	response := c.sendWithRetries(queryRequest(job), 40*time.Second)
	if response.status != http.StatusOK {
		c.t.Fatalf("query of %s: status %d, want 200", job, response.status)
	}
	return response.state
}

// cancelJob cancels a job. The test fails if the cancellation is not confirmed.
func (c *cluster) cancelJob(job string) {
	c.t.Helper()
	if !c.tryCancelJob(job) {
		c.t.Fatalf("no controller responded to the cancellation of %s", job)
	}
}

// tryCancelJob cancels a job and reports whether a controller confirmed it. The test fails if the
// cancellation was refused; it does not fail if no controller responded.
func (c *cluster) tryCancelJob(job string) bool {
	c.t.Helper()
	response := c.sendWithRetries(cancelRequest(job), 20*time.Second)
	if response.status != 0 && response.status != http.StatusOK {
		c.t.Fatalf("cancellation of %s: status %d, want 200", job, response.status)
	}
	return response.status != 0
}

// await polls once a second until the condition holds. The test fails if that takes longer than the
// timeout.
func (c *cluster) await(description string, timeout time.Duration, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Second) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out after %[2]v waiting for: %[1]s", description, timeout)
}

// awaitDone waits until a job is in the state done.
func (c *cluster) awaitDone(job string, timeout time.Duration) {
	c.t.Helper()
	c.await(job+" is done", timeout, func() bool { return c.jobState(job) == wire.StateDone })
}

// submitServices submits services wk-1, wk-2 and so on, each with the given number of tasks.
func (c *cluster) submitServices(count, tasks int) {
	c.t.Helper()
	for i := range count {
		c.submit(newSubmission(submission{ID: fmt.Sprintf("wk-%d", i+1), Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: tasks, CPUs: 2}))
	}
}

// startServices submits services like submitServices and waits until all their tasks run.
func (c *cluster) startServices(count, tasks int) {
	c.t.Helper()
	c.submitServices(count, tasks)
	c.await("all tasks of the services run", time.Minute, func() bool { return c.areServicesRunning(count, tasks) })
}

// areServicesRunning reports whether each of the jobs that submitServices submits has exactly the
// given number of running tasks.
func (c *cluster) areServicesRunning(count, tasks int) bool {
	for i := range count {
		if c.env.CountRunningTasks(fmt.Sprintf("wk-%d", i+1)) != tasks {
			return false
		}
	}
	return true
}

// submitZonalServices submits count services of one task for a zone. The first one is wk-FIRST.
func (c *cluster) submitZonalServices(first, count int, zone string) {
	c.t.Helper()
	for i := range count {
		s := newSubmission(submission{ID: fmt.Sprintf("wk-%d", first+i), Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 1, CPUs: 2})
		s.Zone = zone
		c.submit(s)
	}
}
