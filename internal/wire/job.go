package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
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
