// Package record defines the records in the key-value store and their encodings. Other versions
// of the program read the records, so no field may change its stored name or its meaning.
//
// PlainJSON encodes a record as a JSON object, which all versions can read. Checksummed, which
// only task groups use, is a JSON string that holds in base64 a byte for the encoding, a checksum
// over the key, the encoding and the content, and the content in a handwritten binary format. It
// is smaller (a full record by more than half), and it detects a value that is damaged or stored
// under another record's key. A version that knows only PlainJSON fails to decode the string and
// therefore leaves the record unchanged.
package record

import (
	"encoding/json"
	"fmt"

	"eiderhitch/internal/wire"
)

// LeaseHolder is the value of a leased key and names the process that holds it. The process id
// distinguishes a restarted controller from the process before the restart.
type LeaseHolder struct {
	Node      string `json:"n"`
	ProcessID string `json:"b"`
}

// Job is the record of a job. A job that is done keeps only its final state. A cancelled job or a
// gang that is done also keeps its Spec, since some of its tasks may still be on machines.
type Job struct {
	FinalState   FinalState `json:"f"`
	AcceptedAtMS int64      `json:"at,omitempty"` // milliseconds since the Unix epoch
	Spec         *wire.Job  `json:"j,omitempty"`
}

// TaskGroup is the record of those tasks of a job that one partition places together. Tasks that
// are done are removed from the record.
type TaskGroup struct {
	// Partition is the index of the partition that places the tasks.
	Partition int `json:"p"`
	// Zone is the only zone that the tasks may run in, or "" if they may run in any.
	Zone string `json:"z,omitempty"`
	// Guaranteed is set if the tasks are within their team's guaranteed quota.
	Guaranteed bool `json:"o,omitempty"`
	// DoneTasks is the number of the group's tasks that are done.
	DoneTasks int `json:"d,omitempty"`
	// Throttle is one more than the number of tasks that may be bound at a time, or 0 if all of
	// them may. The leader lowers it to free resources within the team's limit.
	Throttle int       `json:"c,omitempty"`
	Tasks    []Binding `json:"t"`
}

// Binding is one task of a group and the machine that it is bound to. A task whose Machine is empty
// is not bound.
type Binding struct {
	// Task is the task's number within its job.
	Task        int32  `json:"i"`
	Attempt     uint64 `json:"a,omitempty"`
	Machine     string `json:"m,omitempty"`
	Incarnation uint64 `json:"s,omitempty"`
	// Addr is the address at which the machine accepts direct commands. After a failover there
	// may be no controller left that knows it. With the stored address, the partition's new owner
	// can distinguish a dead machine from one whose heartbeat is late, without waiting for the
	// longest heartbeat interval.
	Addr string `json:"h,omitempty"`
}

// MachineLoan is the record of a machine that its owner lends to the leader's partition for the
// tasks of a job.
type MachineLoan struct {
	Job        string `json:"j"`
	Priority   int    `json:"l"`
	Guaranteed bool   `json:"o,omitempty"`
	Team       string `json:"t"`
	// Acknowledged is set by the machine's owner when it hands the machine over.
	Acknowledged bool `json:"a,omitempty"`
}

// JSON encodes plain data, such as the records of this package. It panics if v can't be encoded,
// for example because it contains a channel.
func JSON(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("record: encoding %T as JSON: %v", v, err)) // plain data can always be encoded
	}
	return raw
}
