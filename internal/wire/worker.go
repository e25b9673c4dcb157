package wire

import (
	"errors"
	"fmt"
)

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
