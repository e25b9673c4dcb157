package wire

import "strings"

// MaxTasks is the maximum number of tasks in a job.
const MaxTasks = 100_000

// MaxBodyBytes is the maximum size of a request's body.
const MaxBodyBytes = 64 << 10

// Job is a validated submission. It is stored in the job's record under the names in the tags, which
// must not change. It is not modified after ParseJob. Amounts of resources are per task.
type Job struct {
	ID      string `json:"ID"`
	Class   string `json:"Class"` // determines the service-level objectives
	Team    string `json:"Team"`  // determines the quota
	Service bool   `json:"Service"`
	Gang    bool   `json:"Gang"` // a job that is neither a service nor a gang is a job array
	// Priority ranges from 0 (low) to 3 (production).
	Priority  int     `json:"Priority"`
	TaskCount int     `json:"Tasks"`
	CPUs      float64 `json:"CPUs"`
	GPUs      float64 `json:"GPUs"`
	RAMGB     float64 `json:"RAM"`
	Image     string  `json:"Image"`
	ImageGB   float64 `json:"ImageGB"`
	// MachineTypes lists the allowed machine types; nil means any.
	MachineTypes []string `json:"Types"`
	Zone         string   `json:"Zone"`    // the only allowed zone; "" means any
	SingleZone   bool     `json:"OneZone"` // all tasks must run in the same zone
	SpreadsZones bool     `json:"Spread"`  // no zone may hold more than half of the tasks
	AllowsSpot   bool     `json:"Spot"`    // tasks may run on spot instances
	// EstimateS is the user's estimate of a task's run time in seconds.
	EstimateS float64 `json:"EstimateS"`
	// CheckpointIntervalS is the interval between a task's checkpoints in seconds, or 0 if the
	// task saves none.
	CheckpointIntervalS float64 `json:"CheckS"`
	CheckpointSaveS     float64 `json:"SaveS"` // seconds that a stopped task needs to save a checkpoint
	// DeadlineS is the time from submission within which the job should be complete, in seconds.
	// It is 0 if NoDeadline is set.
	DeadlineS  float64 `json:"DeadlineS"`
	NoDeadline bool    `json:"NoDeadline"`
}

// IsAllOrNothing reports whether the job's tasks must be started all together or not at all.
func (j *Job) IsAllOrNothing() bool { return j.Service || j.Gang }

const (
	idPrefix    = "wk-"
	maxIDDigits = 20
)

// IsValidJobID reports whether id has the form of a job id: the prefix "wk-" and 1 to 20 digits.
func IsValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, idPrefix)
	if !ok || digits == "" || len(digits) > maxIDDigits {
		return false
	}
	return strings.Trim(digits, "0123456789") == ""
}

// JobState is the response to a user's request for the state of a job. DoneTasks and RunningTasks are
// omitted if they are nil.
type JobState struct {
	ID           string `json:"nameId"`
	State        string `json:"tide"`
	DoneTasks    *int   `json:"done,omitempty"`
	RunningTasks *int   `json:"running,omitempty"`
}
