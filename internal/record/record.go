// Package record has the stored records and their forms.
//
// Form 1 is JSON objects, as all versions read them. Form 2, for task groups, is a JSON
// string: base64 of a form byte, a checksum over key, form and content, and the content in
// a handwritten binary format. It is smaller (a full record by more than half), and a value that is damaged or
// stands at another record's key is seen to be. A version that knows form 1 alone fails to
// decode a string, and so leaves the record alone.
package record

import (
	"encoding/json"
	"fmt"

	"eiderhitch/internal/wire"
)

// LeaseHolder is the value of a leased key: the process that holds a right. The boot tells a
// restarted process from its former self.
type LeaseHolder struct {
	Node      string `json:"n"`
	ProcessID string `json:"b"`
}

// Job is the stored form of a job. A final job keeps only its fate.
type Job struct {
	FinalState   int       `json:"f"`
	AcceptedAtMS int64     `json:"at,omitempty"` // time of day of its acceptance, ms
	Spec         *wire.Job `json:"j,omitempty"`
}

// TaskGroup is the stored form of a placement record: some tasks of a job that one partition
// is in charge of. A task that is done leaves the record.
type TaskGroup struct {
	Partition  int    `json:"p"`
	Zone       string `json:"z,omitempty"`
	Guaranteed bool   `json:"o,omitempty"`
	Done       int    `json:"d,omitempty"`
	// Throttle is one more than the number of tasks that may be bound at a time; 0: all. The
	// leader lowers it to make room within the team's limit.
	Throttle int       `json:"c,omitempty"`
	Tasks    []Binding `json:"t"`
}

// Binding is one task of a group: Allocated if it names a machine, else Pending.
type Binding struct {
	Task        int32  `json:"i"`
	Attempt     uint64 `json:"a,omitempty"`
	Machine     string `json:"m,omitempty"`
	Incarnation uint64 `json:"s,omitempty"`
	// Addr is where the machine takes direct commands. Who takes its partition over with
	// no one left to ask can so tell a machine that is dead from one that reports late,
	// without waiting for the longest pause that a report may have.
	Addr string `json:"h,omitempty"`
}

// MachineLoan is the stored form of a machine's lending to the leader's partition.
type MachineLoan struct {
	Job          string `json:"j"`
	Priority     int    `json:"l"`
	Guaranteed   bool   `json:"o,omitempty"`
	Team         string `json:"t"`
	Acknowledged bool   `json:"a,omitempty"`
}

// JSON encodes plain data.
func JSON(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // plain data always encodes
	}
	return raw
}
