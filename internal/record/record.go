// Package record has the records in the key-value store and their encodings. Other versions
// read them: no field may change its name or meaning.
//
// PlainJSON is JSON objects, as all versions read them. Checksummed, for task groups, is a
// JSON string: base64 of a byte that names the encoding, a checksum over key, encoding and
// content, and the content in a handwritten binary format. It is smaller (a full record by
// more than half), and a value that is damaged or stands at another record's key is seen to
// be. A version that knows PlainJSON alone fails to decode a string, and so leaves the record
// alone.
package record

import (
	"encoding/json"
	"fmt"

	"eiderhitch/internal/wire"
)

// LeaseHolder is the value of a leased key: the process that holds it. The process id tells a
// restarted controller from its former self.
type LeaseHolder struct {
	Node      string `json:"n"`
	ProcessID string `json:"b"`
}

// Job is the record of a job. One that is done keeps only its final state, one that is
// cancelled its Spec, too, while tasks of it may be left.
type Job struct {
	FinalState   FinalState `json:"f"`
	AcceptedAtMS int64      `json:"at,omitempty"` // in milliseconds since the epoch
	Spec         *wire.Job  `json:"j,omitempty"`
}

// TaskGroup is the record of some tasks of a job that one partition places. A task that is done
// leaves the record.
type TaskGroup struct {
	Partition  int    `json:"p"`
	Zone       string `json:"z,omitempty"`
	Guaranteed bool   `json:"o,omitempty"`
	DoneTasks  int    `json:"d,omitempty"`
	// Throttle is one more than the number of tasks that may be bound at a time; 0: all. The
	// leader lowers it to make room within the team's limit.
	Throttle int       `json:"c,omitempty"`
	Tasks    []Binding `json:"t"`
}

// Binding is one task of a group. It is bound if it names a machine.
type Binding struct {
	Task        int32  `json:"i"`
	Attempt     uint64 `json:"a,omitempty"`
	Machine     string `json:"m,omitempty"`
	Incarnation uint64 `json:"s,omitempty"`
	// Addr is where the machine takes direct commands. After a failover the new owner of its
	// partition, with no one left to ask, can so tell a machine that is dead from one whose
	// heartbeat is late, without waiting for the longest interval of heartbeats.
	Addr string `json:"h,omitempty"`
}

// MachineLoan is the record of a machine's loan to the leader's partition, for a job.
type MachineLoan struct {
	Job          string `json:"j"`
	Priority     int    `json:"l"`
	Guaranteed   bool   `json:"o,omitempty"`
	Team         string `json:"t"`
	Acknowledged bool   `json:"a,omitempty"`
}

// JSON encodes plain data, such as the records of this package.
func JSON(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // plain data always encodes
	}
	return raw
}
