// Package wire holds the JSON messages of the protocols, in the protocols' own
// words. It is strict about what is valid and ignores fields it does not know.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// States, shapes and other values of the protocols.
const (
	Queued    = "queued"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"

	Fetching  = "fetching"
	Gathering = "gathering" // a gang's task that waits for the others
	Saving    = "flushing"
	Exited    = "ended"

	ReasonDone        = "done"
	ReasonStopped     = "halted"
	ReasonError       = "error"
	ReasonNoRoom      = "no_room"
	ReasonInUse       = "in_use"
	ReasonUnknownTask = "no_such"
	// Of a gang's tasks: another is gone; not all came in time.
	ReasonPeersGone      = "mates_gone"
	ReasonIncompleteGang = "incomplete"

	OpStart  = "start"
	OpStop   = "stop"
	OpForget = "reap"

	Array   = "batch"
	Service = "daemon"
	Gang    = "gang"

	InstanceStarting = "starting"
	InstanceFailed   = "failed"
)

// MaxTasks is how many tasks a job may have.
const MaxTasks = 100_000

// MaxBodyBytes is how large a request's body may be.
const MaxBodyBytes = 64 << 10

var priorities = map[string]int{"low": 0, "normal": 1, "urgent": 2, "production": 3}

// Job is a validated submission. It is also stored with the job, under the names in the
// tags: these must not change.
type Job struct {
	ID           string   `json:"ID"`
	Class        string   `json:"Class"`
	Team         string   `json:"Team"`
	Service      bool     `json:"Service"`
	Gang         bool     `json:"Gang"`
	Priority     int      `json:"Priority"`
	Tasks        int      `json:"Tasks"`
	CPUs         float64  `json:"CPUs"`
	GPUs         float64  `json:"GPUs"`
	RAM          float64  `json:"RAM"`
	Image        string   `json:"Image"`
	ImageGB      float64  `json:"ImageGB"`
	MachineTypes []string `json:"Types"`
	Zone         string   `json:"Zone"`
	SingleZone   bool     `json:"OneZone"`
	Spread       bool     `json:"Spread"`
	Spot         bool     `json:"Spot"`
	EstimateS    float64  `json:"EstimateS"`
	CheckpointS  float64  `json:"CheckS"`
	SaveS        float64  `json:"SaveS"`
	DeadlineS    float64  `json:"DeadlineS"`
	NoDeadline   bool     `json:"NoDeadline"`
}

type jobBody struct {
	ID        *string  `json:"nameId"`
	Class     *string  `json:"flock"`
	Team      *string  `json:"crew"`
	Kind      *string  `json:"shape"`
	Priority  *string  `json:"rank"`
	Tasks     *float64 `json:"eggs"`
	CPUs      *float64 `json:"cpus"`
	GPUs      *float64 `json:"cards"`
	RAM       *float64 `json:"ramGb"`
	Image     *string  `json:"plumage"`
	ImageGB   *float64 `json:"imageGb"`
	Types     []string `json:"hulls"`
	Zone      *string  `json:"shore"`
	OneZone   *bool    `json:"samePlace"`
	Spread    *bool    `json:"spread"`
	Spot      *bool    `json:"driftwood"`
	EstimateS *float64 `json:"reckonS"`
	CheckS    *float64 `json:"moultS"`
	SaveS     *float64 `json:"stowS"`
	DeadlineS *float64 `json:"dueS"`
}

// maxAmount bounds every amount, so that sums of them stay exact.
const maxAmount = 1e9

const maxName = 200

// ParseJob decodes and checks a submission; every error means status 400.
func ParseJob(body []byte) (*Job, error) {
	trimmed := strings.TrimLeft(string(body[:min(len(body), 64)]), " \t\r\n")
	if !strings.HasPrefix(trimmed, "{") {
		return nil, errors.New("body: not a JSON object")
	}
	var b jobBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	j := &Job{MachineTypes: b.Types, NoDeadline: b.DeadlineS == nil}
	for _, f := range []struct {
		name string
		from *string
		to   *string
	}{
		{"nameId", b.ID, &j.ID}, {"flock", b.Class, &j.Class}, {"crew", b.Team, &j.Team}, {"plumage", b.Image, &j.Image},
	} {
		if f.from == nil {
			return nil, fmt.Errorf("%s: missing", f.name)
		}
		if *f.from == "" || len(*f.from) > maxName {
			return nil, fmt.Errorf("%s: must have 1 to %d bytes", f.name, maxName)
		}
		*f.to = *f.from
	}
	if !ValidID(j.ID) {
		return nil, fmt.Errorf("nameId: %q is not of the form wk-000000", j.ID)
	}
	if b.Kind == nil || *b.Kind != Array && *b.Kind != Service && *b.Kind != Gang {
		return nil, errors.New("shape: missing or unknown")
	}
	j.Service, j.Gang = *b.Kind == Service, *b.Kind == Gang
	if b.Priority == nil {
		return nil, errors.New("rank: missing")
	}
	p, ok := priorities[*b.Priority]
	if !ok {
		return nil, errors.New("rank: unknown")
	}
	j.Priority = p
	if b.Tasks == nil || *b.Tasks != math.Trunc(*b.Tasks) || *b.Tasks < 1 || *b.Tasks > MaxTasks {
		return nil, fmt.Errorf("eggs: must be an integer from 1 to %d", MaxTasks)
	}
	j.Tasks = int(*b.Tasks)
	zero := 0.0
	due := b.DeadlineS
	if due == nil {
		due = &zero
	}
	for _, f := range []struct {
		name string
		from *float64
		to   *float64
	}{
		{"cpus", b.CPUs, &j.CPUs}, {"cards", b.GPUs, &j.GPUs}, {"ramGb", b.RAM, &j.RAM}, {"imageGb", b.ImageGB, &j.ImageGB},
		{"reckonS", b.EstimateS, &j.EstimateS}, {"moultS", b.CheckS, &j.CheckpointS}, {"stowS", b.SaveS, &j.SaveS}, {"dueS", due, &j.DeadlineS},
	} {
		if f.from == nil {
			return nil, fmt.Errorf("%s: missing", f.name)
		}
		if !(*f.from >= 0 && *f.from <= maxAmount) {
			return nil, fmt.Errorf("%s: must be between 0 and %g", f.name, maxAmount)
		}
		*f.to = *f.from
	}
	if len(j.MachineTypes) > 32 {
		return nil, errors.New("hulls: more than 32")
	}
	for _, t := range j.MachineTypes {
		if t == "" || len(t) > maxName {
			return nil, fmt.Errorf("hulls: names must have 1 to %d bytes", maxName)
		}
	}
	if b.Types != nil && len(b.Types) == 0 {
		return nil, errors.New("hulls: an empty list allows no type")
	}
	if b.Zone != nil {
		if *b.Zone == "" || len(*b.Zone) > maxName {
			return nil, fmt.Errorf("shore: must have 1 to %d bytes", maxName)
		}
		j.Zone = *b.Zone
	}
	for _, f := range []struct {
		name string
		from *bool
		to   *bool
	}{{"samePlace", b.OneZone, &j.SingleZone}, {"spread", b.Spread, &j.Spread}, {"driftwood", b.Spot, &j.Spot}} {
		if f.from == nil {
			return nil, fmt.Errorf("%s: missing", f.name)
		}
		*f.to = *f.from
	}
	return j, nil
}

// ValidID tells whether id has the form of a job's id.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "wk-")
	if !ok || len(digits) == 0 || len(digits) > 20 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// AllOrNothing tells whether the job's tasks are started together or not at all.
func (j *Job) AllOrNothing() bool { return j.Service || j.Gang }

// JobState answers a user.
type JobState struct {
	ID      string `json:"nameId"`
	State   string `json:"tide"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task    string `json:"egg"`
	Attempt uint64 `json:"launch"`
	State   string `json:"tide"`
	Reason  string `json:"cause"`
	Saved   bool   `json:"kept"`
}

// Heartbeat is a worker's report, or the body of its answer to a command.
type Heartbeat struct {
	Machine     string       `json:"perch"`
	Addr        string       `json:"addr"`
	Type        string       `json:"hull"`
	Zone        string       `json:"shore"`
	Spot        bool         `json:"driftwood"`
	Incarnation uint64       `json:"watch"`
	Sequence    uint64       `json:"tally"`
	Token       uint64       `json:"baton"`
	NoticeS     *float64     `json:"warningS"`
	Tasks       []TaskStatus `json:"eggs"`
}

// ParseHeartbeat decodes and checks a report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var r Heartbeat
	if err := Decode(body, &r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if r.Machine == "" || r.Incarnation == 0 {
		return nil, errors.New("report: machine or session is missing")
	}
	return &r, nil
}

// Command is one command to a worker.
type Command struct {
	Op      string   `json:"call"`
	Task    string   `json:"egg"`
	Attempt uint64   `json:"launch"`
	GraceS  *float64 `json:"slackS,omitempty"`
}

// HeartbeatResponse is the answer to a report.
type HeartbeatResponse struct {
	Token    uint64    `json:"baton"`
	Commands []Command `json:"calls"`
}

// Redirect names the node that a worker should report to.
type Redirect struct {
	Node string `json:"harbour,omitempty"`
}

// CommandRequest is a request of commands sent straight to a worker.
type CommandRequest struct {
	Token       uint64    `json:"baton"`
	Incarnation uint64    `json:"watch"`
	Commands    []Command `json:"calls"`
}

// MachineType is one type of machine on offer.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"cards"`
	RAM       float64  `json:"ramGb"`
	CacheGB   float64  `json:"cacheGb"`
	FetchGBPS float64  `json:"pullGbPerS"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"spotPrice"`
	BootS     float64  `json:"startupS"`
	Zones     []string `json:"shores"`
}

// MachineTypes is the list of types.
type MachineTypes struct {
	Types []MachineType `json:"hulls"`
}

// LaunchRequest asks the cloud for machines.
type LaunchRequest struct {
	Request string `json:"charter"`
	Type    string `json:"hull"`
	Zone    string `json:"shore"`
	Spot    bool   `json:"driftwood"`
	Count   int    `json:"howMany"`
}

// MachineNames lists machines by name.
type MachineNames struct {
	Machines []string `json:"perches"`
}

// Instance is one machine in the cloud's list.
type Instance struct {
	Name  string  `json:"nameId"`
	Addr  string  `json:"addr"`
	Type  string  `json:"hull"`
	Zone  string  `json:"shore"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"tide"`
	AgeS  float64 `json:"heldS"`
}

// InstanceList is one page of the cloud's list.
type InstanceList struct {
	Machines []Instance `json:"perches"`
	More     bool       `json:"truncated"`
}

// Condition of a transaction.
type Condition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Change of a transaction: a put, or a delete.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"mooring,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Key that the change is about.
func (c *Change) Key() string { return c.Put + c.Delete }

// Txn is a transaction.
type Txn struct {
	Conditions []Condition `json:"if"`
	Changes    []Change    `json:"then,omitempty"`
}

// TxnResponse is its answer.
type TxnResponse struct {
	Revision uint64   `json:"logmark"`
	Failed   []string `json:"failed"`
}

// Item is one stored key.
type Item struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// Page is one page of stored keys.
type Page struct {
	Items    []Item `json:"rows"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"logmark"`
}

// Event is one change seen by a watch.
type Event struct {
	Put      string          `json:"write"`
	Delete   string          `json:"drop"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// WatchResponse are the answer of a watch.
type WatchResponse struct {
	Revision uint64  `json:"logmark"`
	Events   []Event `json:"news"`
}

// LeaseRequest asks for a lease of the state service.
type LeaseRequest struct {
	TTLMS int64 `json:"lifeMs"`
}

// LeaseResponse names it.
type LeaseResponse struct {
	Lease uint64 `json:"mooring"`
}
