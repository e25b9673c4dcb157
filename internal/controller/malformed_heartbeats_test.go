package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/wire"
)

// newFuzzedController returns a controller with a bound task on host-1.
func newFuzzedController(t *testing.T) *controller {
	t.Helper()
	c := newTestController(t)
	c.replica.Put(jobKey("wk-000001"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: &wire.Job{ID: "wk-000001", TaskCount: 2, CPUs: 1, Team: "t"}}), 2)
	c.replica.Put(groupKey("wk-000001", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Task: 0, Attempt: 1, Machine: "host-1", Incarnation: 1}, {Task: 1}}}), 3)
	return c
}

// FuzzHeartbeatEndsController passes heartbeats of any content to a controller, each twice.
func FuzzHeartbeatEndsController(f *testing.F) {
	for _, seed := range []string{
		`{"perch":"host-1","addr":"10.1.0.1:9","hull":"small","shore":"a","watch":1,"tally":2,"baton":1,"eggs":[{"egg":"wk-000001/0","launch":1,"tide":"running"}]}`,
		`{"perch":"host-1","watch":1,"tally":3,"eggs":[{"egg":"wk-000001/0","launch":1,"tide":"ended","cause":"done"},{"egg":"wk-000001/0","launch":1,"tide":"running"}]}`,
		`{"perch":"host-1","watch":9,"tally":18446744073709551615,"baton":0,"eggs":[{"egg":"wk-000001/1","launch":7,"tide":"x"}]}`,
		`{"perch":"../ \u0000\n%zz","addr":"::","hull":"no such type","watch":18446744073709551615,"baton":18446744073709551615,"warningS":-1e300}`,
		`{"perch":"host-1","watch":1,"tally":4,"eggs":[{"egg":"wk-000001/-1"},{"egg":"wk-000001/99999999999"},{"egg":"/"},{"egg":""}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := wire.ParseHeartbeat(body)
		if err != nil {
			return
		}
		c := newFuzzedController(t)
		for range 2 {
			if _, err := json.Marshal(c.handleHeartbeat(heartbeat).Body); err != nil {
				t.Error(err)
			}
			c.schedulePartitions()
			heartbeat.Sequence++
			c.now = c.now.Add(time.Second)
		}
		m := c.getOrAddMachine(heartbeat.Machine)
		c.handleDirectAnswer(directRequest{machine: m, partition: c.partitions[0], token: 1, sentAt: c.now}, heartbeat, true)
		c.schedulePartitions()
	})
}

// maxHeartbeatTime is how long a worker waits for the response to a heartbeat.
const maxHeartbeatTime = 4 * time.Second

// A heartbeat of any size keeps the event loop for a short time, and its response has lines that the
// protocol allows.
func TestHugeHeartbeatBlocksController(t *testing.T) {
	const tasks = 40_000 // in 3 MiB
	var list strings.Builder
	fmt.Fprintf(&list, `,{"egg":%q,"launch":1,"tide":"running"}`, strings.Repeat("x", 2*maxLineBytes))
	for i := range tasks {
		fmt.Fprintf(&list, `,{"egg":"wk-%06d/%d","launch":1,"tide":"running","cause":""}`, 2+i%9000, i)
	}
	heartbeat, err := wire.ParseHeartbeat([]byte(`{"perch":"host-1","hull":"small","shore":"a","watch":1,"tally":2,"baton":1,"eggs":[` + list.String()[1:] + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	c := newFuzzedController(t)
	began := time.Now()
	response := c.handleHeartbeat(heartbeat)
	if took := time.Since(began); took > maxHeartbeatTime {
		t.Errorf("a heartbeat with %d tasks took %v, want at most %v", tasks, took, maxHeartbeatTime)
	}
	raw, err := json.Marshal(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if commands := response.Body.(wire.HeartbeatResponse).Commands; len(commands) < 100 {
		t.Errorf("the response has %d commands, want as many as fit", len(commands))
	}
	if len(raw) > maxLineBytes {
		t.Errorf("the response has %d bytes in a line, want at most %d", len(raw), maxLineBytes)
	}
}

// maxLineBytes is the protocol's limit of a line in a response.
const maxLineBytes = 64 << 10
