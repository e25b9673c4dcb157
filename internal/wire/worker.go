package wire

import (
	"errors"
	"fmt"
)

// TaskStatus is one task in a worker's heartbeat.
type TaskStatus struct {
	Task            string `json:"egg"`
	Attempt         uint64 `json:"launch"`
	State           string `json:"tide"`
	Reason          string `json:"cause"`
	CheckpointSaved bool   `json:"kept"`
}

// Heartbeat is a worker's periodic report, or its answer to a command. The one with the
// larger (Incarnation, Sequence) is the newer one.
type Heartbeat struct {
	Machine            string       `json:"perch"`
	Addr               string       `json:"addr"`
	Type               string       `json:"hull"`
	Zone               string       `json:"shore"`
	Spot               bool         `json:"driftwood"`
	Incarnation        uint64       `json:"watch"` // increases when the worker's lease expires
	Sequence           uint64       `json:"tally"`
	FencingToken       uint64       `json:"baton"`    // highest fencing token that the worker has seen
	TerminationNoticeS *float64     `json:"warningS"` // seconds until the cloud takes the machine; nil: no notice
	Tasks              []TaskStatus `json:"eggs"`     // exited tasks included, until they are forgotten
}

// ParseHeartbeat decodes and validates a heartbeat. Its errors mean status 400.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := Decode(body, heartbeat); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if heartbeat.Machine == "" || heartbeat.Incarnation == 0 {
		return nil, errors.New("report: machine or session is missing")
	}
	return heartbeat, nil
}

// Command is one command to a worker. Workers execute them in order.
type Command struct {
	Op      Operation `json:"call"`
	Task    string    `json:"egg"`
	Attempt uint64    `json:"launch"`
	// GraceS is how many seconds a task that is stopped has to save its progress.
	GraceS *float64 `json:"slackS,omitempty"`
}

// HeartbeatResponse is the answer to a heartbeat. A worker drops one with a lower fencing
// token than the highest that it has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"calls"`
}

// Redirect names the controller that a worker should report to; "": any other one.
type Redirect struct {
	Node string `json:"harbour,omitempty"`
}

// CommandRequest sends commands straight to a worker. It executes none of them if the fencing
// token is lower than the highest that it has seen, or the incarnation is another one.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"watch"`
	Commands     []Command `json:"calls"`
}
