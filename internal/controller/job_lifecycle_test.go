package controller

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/wire"
)

// Arrays and gangs run to completion, a service runs until it is cancelled, and afterwards no
// task group record and no machine is left.
func TestArraysServicesAndGangsRun(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 30, CPUs: 2, EstimateS: 5}))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 3, CPUs: 2}))
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.KindGang, Team: "blue", Priority: "normal", Tasks: 4, CPUs: 2, EstimateS: 5}))
		c.await("the service runs", 40*time.Second, func() bool { return c.env.CountRunningTasks("wk-2") == 3 })
		c.awaitDone("wk-1", 2*time.Minute)
		c.awaitDone("wk-3", 2*time.Minute)
		c.cancelJob("wk-2")
		c.await("the service has stopped", 10*time.Second, func() bool { return c.env.CountRunningTasks("wk-2") == 0 })
		c.await("the task groups' records are deleted", time.Minute, func() bool { return len(c.env.Store.Keys(groupPrefix)) == 0 })
		c.await("all machines are terminated", time.Minute, func() bool { return len(c.env.Cloud.Agents()) == 0 })
		if s := c.jobState("wk-2"); s != wire.StateCancelled {
			t.Errorf("state of the cancelled service is %q, want %q", s, wire.StateCancelled)
		}
	})
}

// Malformed submissions and jobs that can never run are rejected with the right status. A job that
// was accepted is known from then on, even if it is submitted again with invalid content.
func TestSubmissionStatusCodes(t *testing.T) {
	runCluster(t, func(c *cluster) {
		time.Sleep(5 * time.Second)
		for _, x := range []struct {
			name   string
			change func(*submission)
			status int
		}{
			{"unknown team", func(s *submission) { s.Team = "green" }, http.StatusUnprocessableEntity},
			{"larger than any machine", func(s *submission) { s.CPUs = 17 }, http.StatusUnprocessableEntity},
			{"service beyond the quota", func(s *submission) { s.Kind, s.Tasks, s.CPUs = wire.KindService, 13, 2 }, http.StatusUnprocessableEntity},
			{"unknown zone", func(s *submission) { s.Zone = "c" }, http.StatusUnprocessableEntity},
			{"no tasks", func(s *submission) { s.Tasks = 0 }, http.StatusBadRequest},
			{"a field is missing", func(s *submission) { s.omittedField = "stowS" }, http.StatusBadRequest},
			{"malformed ID", func(s *submission) { s.ID = "job-1" }, http.StatusBadRequest},
			{"image name too long", func(s *submission) { s.Image = strings.Repeat("x", 70_000) }, http.StatusBadRequest},
			{"valid", func(*submission) {}, http.StatusCreated},
			{"submitted again", func(*submission) {}, http.StatusOK},
			{"known job with invalid content", func(s *submission) { s.Team = "green" }, http.StatusOK},
		} {
			s := newSubmission(submission{ID: "wk-7", Kind: wire.KindArray, Team: "red", Priority: "low", Tasks: 2, CPUs: 1, EstimateS: 1})
			x.change(s)
			spec, err := wire.ParseJob(s.encode(t))
			if err == nil && x.status == http.StatusCreated {
				c.env.UploadJobSpec(spec)
			}
			if answer := c.sendWithRetries(submitRequest(s, spec), 10*time.Second); answer.status != x.status {
				t.Errorf("submission, %s: status %d, want %d", x.name, answer.status, x.status)
			}
		}
		if answer := c.sendWithRetries(queryRequest("wk-99"), 10*time.Second); answer.status != http.StatusNotFound {
			t.Errorf("query of an unknown job: status %d, want 404", answer.status)
		}
		c.awaitDone("wk-7", time.Minute)
	})
}

// A large array and 60 small ones submitted at once must not exceed the key-value store's limits on
// values and transactions, which runCluster checks. Finished tasks must leave few records.
func TestLargeArrayAmongManySmallOnes(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 1500, CPUs: 1, EstimateS: 1}))
		for i := range 60 {
			c.submit(newSubmission(submission{ID: fmt.Sprintf("wk-%d", i+2), Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 5, CPUs: 1, EstimateS: 1}))
		}
		maxRecords := 0
		c.await("the large array is done", 20*time.Minute, func() bool {
			maxRecords = max(maxRecords, len(c.env.Store.Keys(groupPrefix+"wk-1/")))
			return c.jobState("wk-1") == wire.StateDone
		})
		if maxRecords > 120 {
			t.Errorf("the large array had up to %d records, want at most 120", maxRecords)
		}
		for i := range 60 {
			c.awaitDone(fmt.Sprintf("wk-%d", i+2), time.Minute)
		}
	})
}

// A stored record that can't be decoded must not affect other jobs, nor lead to tasks being assigned
// twice, also after all controllers were restarted. Queries for its own job must get no final
// response, since the job's state is unknown.
func TestUndecodableRecord(t *testing.T) {
	runCluster(t, func(c *cluster) {
		time.Sleep(3 * time.Second)
		put := func(key, value string) {
			c.keysWrittenByTest[key] = true
			raw := fmt.Sprintf(`{"if":[],"then":[{"write":%q,"v":%s}]}`, key, value)
			req, _ := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://state:1/txn", strings.NewReader(raw))
			if resp, err := c.clientTransport.RoundTrip(req); err != nil || resp.StatusCode != 200 {
				t.Fatal(err)
			}
		}
		put(jobKey("wk-9"), `"what"`)
		put(groupKey("wk-8", 0), `{"p":77}`)
		put("e/odd", `[]`)
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 3, CPUs: 1, EstimateS: 1}))
		c.awaitDone("wk-1", time.Minute)
		for i := range c.nodes {
			c.kill(i)
			c.start(i)
		}
		time.Sleep(5 * time.Second)
		for _, id := range []string{"wk-8", "wk-9"} {
			if answer := c.sendWithRetries(queryRequest(id), 3*time.Second); answer.status != 0 {
				t.Errorf("query of %s, whose record can't be decoded: status %d, want no final response", id, answer.status)
			}
		}
	})
}

// putTestJob puts an unfinished job into a controller's replica and returns it.
func putTestJob(t *testing.T, c *controller, spec *wire.Job) *job {
	t.Helper()
	c.replica.Put(jobKey(spec.ID), marshalJSON(t, record.Job{AcceptedAtMS: 1, Spec: spec}), 5)
	return c.jobs[spec.ID]
}

// A full read keeps only the final states of finished jobs, from the first page on. A job that may
// still have task groups or changes is tracked: one that is unfinished, known already, was changed
// since the first page, or has a task group on a page.
func TestFinishedJobsAreArchivedByPage(t *testing.T) {
	c := newTestController(t)
	known := putTestJob(t, c, &wire.Job{ID: "wk-5", Team: "blue", TaskCount: 1, CPUs: 1})
	const firstPage = 100
	item := func(key string, value any, revision uint64) wire.Item {
		return wire.Item{Key: key, Value: marshalJSON(t, value), Revision: revision}
	}
	done := record.Job{FinalState: record.StateDone}
	kept := c.archiveListedJobs([]wire.Item{item(groupKey("wk-3", 0), record.TaskGroup{DoneTasks: 1}, 20)}, firstPage)
	kept = append(kept, c.archiveListedJobs([]wire.Item{
		item(jobKey("wk-1"), done, firstPage),
		item(jobKey("wk-2"), done, firstPage+1),
		item(jobKey("wk-3"), done, 30),
		item(jobKey("wk-4"), record.Job{AcceptedAtMS: 1, Spec: known.spec}, 40),
		item(jobKey("wk-5"), done, 50),
		item(jobKey("wk-6"), record.Job{FinalState: record.StateCancelled}, 60),
		item(jobKey("wk-7"), record.Job{FinalState: record.StateDone, AcceptedAtMS: 1, Spec: known.spec}, 70),
	}, firstPage)...)
	var keys []string
	for i := range kept {
		keys = append(keys, kept[i].Key)
	}
	want := []string{groupKey("wk-3", 0), jobKey("wk-2"), jobKey("wk-3"), jobKey("wk-4"), jobKey("wk-5"), jobKey("wk-7")}
	if !slices.Equal(keys, want) {
		t.Errorf("%v are tracked, want %v", keys, want)
	}
	if c.finalStates["wk-1"] != record.StateDone || c.finalStates["wk-6"] != record.StateCancelled || len(c.finalStates) != 2 {
		t.Errorf("final states %v, want those of wk-1 and wk-6", c.finalStates)
	}
}

// The owner of a partition may end after it has bound one of a service's task groups and before it
// binds the next. The next owner must place the rest: it took the rest for a part of a service that has
// never started, which is placed together with the first group, and the replica never ran (seed 2103
// of TestGeneratedRepeats).
func TestPartlyBoundServiceIsCompleted(t *testing.T) {
	for _, firstBound := range []bool{true, false} {
		c := newTestController(t)
		p := c.partitions[0]
		putTestJob(t, c, &wire.Job{ID: "wk-1", Team: "blue", Service: true, TaskCount: 2, CPUs: 1})
		first := record.Binding{Task: 0}
		if firstBound {
			first = record.Binding{Task: 0, Attempt: 1, Machine: "host-1", Incarnation: 1}
		}
		c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{first}}), 10)
		c.replica.Put(groupKey("wk-1", 1), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Task: 1}}}), 11)
		c.handleHeartbeat(&wire.Heartbeat{Machine: "host-1", Addr: "host-1:1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: p.token,
			Tasks: []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.StateRunning}}})
		c.schedulePartition(p)
		second := c.groupByKey[groupKey("wk-1", 1)]
		if _, reserved := p.reservations[second.task(1)]; !reserved {
			t.Errorf("first group bound: %v; the second group has no cell", firstBound)
		}
	}
}

// A submission that is repeated at each controller in another spelling, with unknown fields that differ
// from known ones in case, is one job.
func TestRespelledSubmissionBecomesAnotherJob(t *testing.T) {
	runCluster(t, func(c *cluster) {
		time.Sleep(5 * time.Second)
		body := string(newSubmission(submission{ID: "wk-7", Kind: wire.KindArray, Team: "red", Priority: "low", Tasks: 2, CPUs: 1, EstimateS: 1}).encode(t))
		spellings := []string{
			body,
			strings.Repeat(" \n", 200) + body,
			`{"NameId":"wk-8","EGGS":7,` + body[1:],
			body[:len(body)-1] + `,"nameid":"wk-9","Crew":3}`,
			strings.Replace(strings.Replace(body, `"wk-7"`, `"wk\u002d7"`, 1), `"eggs":2`, `"eggs":2.0`, 1),
		}
		for i, spelling := range spellings {
			want := http.StatusOK
			if i == 0 {
				want = http.StatusCreated
			}
			for _, n := range c.nodes {
				if status := c.postSubmission(n, spelling); status != want {
					t.Errorf("%.60q: status %d, want %d", spelling, status, want)
				}
				want = http.StatusOK
			}
		}
		if keys := c.env.Store.Keys("e/job/"); len(keys) != 1 {
			t.Errorf("stored jobs: %q, want one", keys)
		}
	})
}

// postSubmission sends the body of a submission to a node and returns the status of the response.
func (c *cluster) postSubmission(n *node, body string) int {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+n.cfg.APIAddr+"/v1/jobs", strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := c.clientTransport.RoundTrip(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}
