package wire

import "strings"

// MaxTasks is how many tasks a job may have.
const MaxTasks = 100_000

// MaxBodyBytes is how large the body of a request may be.
const MaxBodyBytes = 64 << 10

// Job is a validated submission. It is stored with the job, under the names in the tags:
// these must not change. It isn't modified after ParseJob. Amounts of resources are those
// of each task.
type Job struct {
	ID      string `json:"ID"`
	Class   string `json:"Class"` // whose service-level objectives apply
	Team    string `json:"Team"`  // whose quota applies
	Service bool   `json:"Service"`
	Gang    bool   `json:"Gang"` // neither a service nor a gang: a job array
	// Priority is 0 (low) to 3 (production).
	Priority  int     `json:"Priority"`
	TaskCount int     `json:"Tasks"` // number of tasks
	CPUs      float64 `json:"CPUs"`
	GPUs      float64 `json:"GPUs"`
	RAMGB     float64 `json:"RAM"`
	Image     string  `json:"Image"`
	ImageGB   float64 `json:"ImageGB"`
	// MachineTypes are the allowed ones; nil: any.
	MachineTypes []string `json:"Types"`
	Zone         string   `json:"Zone"` // the only allowed one; "": any
	SingleZone   bool     `json:"OneZone"`
	SpreadsZones bool     `json:"Spread"` // at most half of the tasks in one zone
	AllowsSpot   bool     `json:"Spot"`   // may use spot instances
	// EstimateS is the owner's estimate of a task's run time, in seconds.
	EstimateS float64 `json:"EstimateS"`
	// CheckpointS is the interval of a task's checkpoints, in seconds; 0: it has none.
	CheckpointIntervalS float64 `json:"CheckS"`
	CheckpointSaveS     float64 `json:"SaveS"` // seconds to save a checkpoint when it is stopped
	// DeadlineS is when the job should be complete, in seconds from its submission.
	DeadlineS  float64 `json:"DeadlineS"`
	NoDeadline bool    `json:"NoDeadline"`
}

// IsAllOrNothing tells whether the job's tasks are started together or not at all.
func (j *Job) IsAllOrNothing() bool { return j.Service || j.Gang }

const (
	idPrefix    = "wk-"
	maxIDDigits = 20
)

// IsValidJobID tells whether id has the form of a job's id.
func IsValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, idPrefix)
	if !ok || digits == "" || len(digits) > maxIDDigits {
		return false
	}
	return strings.Trim(digits, "0123456789") == ""
}

// JobState answers a user's request about a job. Done and Running count tasks.
type JobState struct {
	ID           string `json:"nameId"`
	State        string `json:"tide"`
	DoneTasks    *int   `json:"done,omitempty"`
	RunningTasks *int   `json:"running,omitempty"`
}
