package wire

import (
	"errors"
	"fmt"
)

// TaskStatus is the status of one task in a worker's heartbeat. Reason is set only if the task has
// exited.
type TaskStatus struct {
	Task            string `json:"egg"`
	Attempt         uint64 `json:"launch"`
	State           string `json:"tide"`
	Reason          string `json:"cause"`
	CheckpointSaved bool   `json:"kept"`
}

// Heartbeat is a worker's periodic report or its response to a direct command. Of two heartbeats of
// a machine, the one with the larger (Incarnation, Sequence) is newer.
type Heartbeat struct {
	Machine            string       `json:"perch"`
	Addr               string       `json:"addr"`
	Type               string       `json:"hull"`
	Zone               string       `json:"shore"`
	Spot               bool         `json:"driftwood"`
	Incarnation        uint64       `json:"watch"` // increases when the worker's lease expires
	Sequence           uint64       `json:"tally"`
	FencingToken       uint64       `json:"baton"`    // highest fencing token that the worker has seen
	TerminationNoticeS *float64     `json:"warningS"` // seconds until the cloud terminates the machine; nil if it gave no notice
	Tasks              []TaskStatus `json:"eggs"`     // includes exited tasks until OpForget
}

// maxHeartbeatNesting is the maximum depth of arrays and objects in a heartbeat, unknown fields
// included.
const maxHeartbeatNesting = 1000

// errNestedTooDeeply reports that a heartbeat exceeds maxHeartbeatNesting.
var errNestedTooDeeply = errors.New("report: nested too deeply")

// ParseHeartbeat decodes and validates a heartbeat. The response to a heartbeat that causes an error
// has status 400.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	if nestsDeeper(body, maxHeartbeatNesting) {
		return nil, errNestedTooDeeply
	}
	heartbeat := &Heartbeat{}
	if err := Decode(body, heartbeat); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if heartbeat.Machine == "" || heartbeat.Incarnation == 0 {
		return nil, errors.New("report: machine or session is missing")
	}
	return heartbeat, nil
}

// Command is one command to a worker. A worker executes commands in their order.
type Command struct {
	Op      Operation `json:"call"`
	Task    string    `json:"egg"`
	Attempt uint64    `json:"launch"`
	// GraceS is the time in seconds that a stopped task has to save a checkpoint. It is set only for
	// OpStop.
	GraceS *float64 `json:"slackS,omitempty"`
}

// String returns the command in the form in which it is logged.
func (c Command) String() string { return fmt.Sprintf("%s %s attempt %d", c.Op, c.Task, c.Attempt) }

// HeartbeatResponse is the response to a heartbeat. A worker ignores a response whose fencing token
// is lower than the highest that it has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"calls"`
}

// Redirect directs a worker to send its heartbeats to the controller Node, or to any other
// controller if Node is "".
type Redirect struct {
	Node string `json:"harbour,omitempty"`
}

// CommandRequest sends commands directly to a worker. The worker executes none of them if the fencing
// token is lower than the highest that it has seen, or if its incarnation differs from Incarnation.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"watch"`
	Commands     []Command `json:"calls"`
}
