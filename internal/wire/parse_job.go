package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
)

const (
	// maxAmount is the maximum of every amount. It keeps sums of amounts exact.
	maxAmount = 1e9
	// maxNameBytes is the maximum length of a name in bytes.
	maxNameBytes = 200
	// maxMachineTypes is the maximum number of machine types that a job may list.
	maxMachineTypes = 32
)

// bodyField is the Field of a FieldError that concerns the whole message.
const bodyField = "body"

// FieldError names the invalid field of a submission and the reason. Its text is sent to users.
type FieldError struct {
	Field string // the name of the field in the protocol
	Err   error
}

// Error returns the name of the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldErrorf returns a FieldError with a formatted reason.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// errMissing is the reason for a required field that is missing or null.
var errMissing = errors.New("missing")

// priorities maps the protocol's names of priorities to Job.Priority.
var priorities = map[string]int{"low": 0, "normal": 1, "urgent": 2, "production": 3}

// jobBody is a decoded submission before validation. A field is nil if it is missing or null. Users
// see the name of this type in the error texts of encoding/json.
type jobBody struct {
	ID                  *string  `json:"nameId"`
	Class               *string  `json:"flock"`
	Team                *string  `json:"crew"`
	Kind                *string  `json:"shape"`
	Priority            *string  `json:"rank"`
	TaskCount           *float64 `json:"eggs"`
	CPUs                *float64 `json:"cpus"`
	GPUs                *float64 `json:"cards"`
	RAMGB               *float64 `json:"ramGb"`
	Image               *string  `json:"plumage"`
	ImageGB             *float64 `json:"imageGb"`
	MachineTypes        []string `json:"hulls"`
	Zone                *string  `json:"shore"`
	SingleZone          *bool    `json:"samePlace"`
	SpreadsZones        *bool    `json:"spread"`
	AllowsSpot          *bool    `json:"driftwood"`
	EstimateS           *float64 `json:"reckonS"`
	CheckpointIntervalS *float64 `json:"moultS"`
	CheckpointSaveS     *float64 `json:"stowS"`
	DeadlineS           *float64 `json:"dueS"`
}

// jobFieldNames holds the names of the fields of a submission.
var jobFieldNames = fieldNames(reflect.TypeFor[jobBody]())

// ParseJob decodes and validates a submission. Every error is a *FieldError for the first invalid
// field, and the response to it has status 400.
func ParseJob(body []byte) (*Job, error) {
	b, err := decodeJobBody(body)
	if err != nil {
		return nil, err
	}
	job := &Job{}
	for _, parse := range []func(*Job) error{
		b.parseNames, b.parseKind, b.parsePriority, b.parseTaskCount, b.parseAmounts, b.parseMachineTypes, b.parseZone, b.parseFlags,
	} {
		if err := parse(job); err != nil {
			return nil, err
		}
	}
	return job, nil
}

// decodeJobBody decodes a submission without validating its values.
func decodeJobBody(body []byte) (*jobBody, error) {
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{")) {
		return nil, fieldErrorf(bodyField, "not a JSON object")
	}
	b := &jobBody{}
	if err := decodeKnownFields(body, jobFieldNames, b); err != nil {
		return nil, &FieldError{Field: bodyField, Err: err}
	}
	return b, nil
}

// requiredField is a field that a submission must contain, and the destination of its value.
type requiredField[T any] struct {
	name        string
	source      *T // nil if the field is missing or null
	destination *T
}

// copyRequiredFields copies the values of the fields. It stops with an error at the first field that
// is missing or whose value fails the check.
func copyRequiredFields[T any](fields []requiredField[T], check func(name string, value T) error) error {
	for _, field := range fields {
		if field.source == nil {
			return &FieldError{Field: field.name, Err: errMissing}
		}
		if err := check(field.name, *field.source); err != nil {
			return err
		}
		*field.destination = *field.source
	}
	return nil
}

func (b *jobBody) parseNames(job *Job) error {
	err := copyRequiredFields([]requiredField[string]{
		{"nameId", b.ID, &job.ID},
		{"flock", b.Class, &job.Class},
		{"crew", b.Team, &job.Team},
		{"plumage", b.Image, &job.Image},
	}, checkName)
	if err != nil {
		return err
	}
	if !IsValidJobID(job.ID) {
		return fieldErrorf("nameId", "%q is not of the form wk-000000", job.ID)
	}
	return nil
}

// checkName returns an error for a name that is empty or too long.
func checkName(field, name string) error {
	if !isValidName(name) {
		return fieldErrorf(field, "must have 1 to %d bytes", maxNameBytes)
	}
	return nil
}

func isValidName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func (b *jobBody) parseKind(job *Job) error {
	if b.Kind == nil {
		return fieldErrorf("shape", "missing or unknown")
	}
	switch *b.Kind {
	case KindArray:
	case KindService:
		job.Service = true
	case KindGang:
		job.Gang = true
	default:
		return fieldErrorf("shape", "missing or unknown")
	}
	return nil
}

func (b *jobBody) parsePriority(job *Job) error {
	if b.Priority == nil {
		return &FieldError{Field: "rank", Err: errMissing}
	}
	priority, known := priorities[*b.Priority]
	if !known {
		return fieldErrorf("rank", "unknown")
	}
	job.Priority = priority
	return nil
}

func (b *jobBody) parseTaskCount(job *Job) error {
	if b.TaskCount == nil || *b.TaskCount != math.Trunc(*b.TaskCount) || *b.TaskCount < 1 || *b.TaskCount > MaxTasks {
		return fieldErrorf("eggs", "must be an integer from 1 to %d", MaxTasks)
	}
	job.TaskCount = int(*b.TaskCount)
	return nil
}

func (b *jobBody) parseAmounts(job *Job) error {
	deadline := b.DeadlineS
	if deadline == nil {
		job.NoDeadline = true
		deadline = new(float64)
	}
	return copyRequiredFields([]requiredField[float64]{
		{"cpus", b.CPUs, &job.CPUs},
		{"cards", b.GPUs, &job.GPUs},
		{"ramGb", b.RAMGB, &job.RAMGB},
		{"imageGb", b.ImageGB, &job.ImageGB},
		{"reckonS", b.EstimateS, &job.EstimateS},
		{"moultS", b.CheckpointIntervalS, &job.CheckpointIntervalS},
		{"stowS", b.CheckpointSaveS, &job.CheckpointSaveS},
		{"dueS", deadline, &job.DeadlineS},
	}, checkAmount)
}

// checkAmount returns an error for an amount that is negative, too large or not a number.
func checkAmount(field string, amount float64) error {
	if !(amount >= 0 && amount <= maxAmount) {
		return fieldErrorf(field, "must be between 0 and %g", maxAmount)
	}
	return nil
}

func (b *jobBody) parseMachineTypes(job *Job) error {
	if len(b.MachineTypes) > maxMachineTypes {
		return fieldErrorf("hulls", "more than %d", maxMachineTypes)
	}
	for _, name := range b.MachineTypes {
		if !isValidName(name) {
			return fieldErrorf("hulls", "names must have 1 to %d bytes", maxNameBytes)
		}
	}
	if b.MachineTypes != nil && len(b.MachineTypes) == 0 {
		return fieldErrorf("hulls", "an empty list allows no type")
	}
	job.MachineTypes = b.MachineTypes
	return nil
}

func (b *jobBody) parseZone(job *Job) error {
	if b.Zone == nil {
		return nil
	}
	if !isValidName(*b.Zone) {
		return fieldErrorf("shore", "must have 1 to %d bytes", maxNameBytes)
	}
	job.Zone = *b.Zone
	return nil
}

func (b *jobBody) parseFlags(job *Job) error {
	acceptAny := func(string, bool) error { return nil }
	return copyRequiredFields([]requiredField[bool]{
		{"samePlace", b.SingleZone, &job.SingleZone},
		{"spread", b.SpreadsZones, &job.SpreadsZones},
		{"driftwood", b.AllowsSpot, &job.AllowsSpot},
	}, acceptAny)
}
