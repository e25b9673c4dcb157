package controller

import (
	"strconv"
	"strings"
)

// Keys of the stored records. Package rollout has the keys of leases and of the rollout.
const (
	keyPrefix       = "e/"
	machineTypesKey = "e/types"
	jobPrefix       = "e/job/"
	groupPrefix     = "e/group/"
	tombstonePrefix = "e/gone/"
	loanPrefix      = "e/lend/"
)

// keyKind is the kind of record that is stored at a key.
type keyKind int

const (
	otherKind keyKind = iota // not a record of this package
	jobKind
	groupKind
	machineTypesKind
	tombstoneKind
	loanKind
)

// parseKey returns the kind of a key and the part after the kind's prefix: the name of the job,
// the task group or the machine.
func parseKey(key string) (kind keyKind, name string) {
	if key == machineTypesKey {
		return machineTypesKind, ""
	}
	if name, ok := strings.CutPrefix(key, groupPrefix); ok {
		return groupKind, name
	}
	if name, ok := strings.CutPrefix(key, jobPrefix); ok {
		return jobKind, name
	}
	if name, ok := strings.CutPrefix(key, tombstonePrefix); ok {
		return tombstoneKind, name
	}
	if name, ok := strings.CutPrefix(key, loanPrefix); ok {
		return loanKind, name
	}
	return otherKind, ""
}

// jobKey returns the key of a job's record.
func jobKey(id string) string { return jobPrefix + id }

// groupKey returns the key of a task group's record.
func groupKey(id string, number int) string { return groupPrefix + id + "/" + strconv.Itoa(number) }

// loanKey returns the key of a machine's loan record.
func loanKey(machine string) string { return loanPrefix + machine }

// parseGroupKey splits a task group's key into the job ID and the group's number. ok is false
// if the key is malformed.
func parseGroupKey(key string) (id string, number int, ok bool) {
	id, digits, ok := strings.Cut(strings.TrimPrefix(key, groupPrefix), "/")
	number, err := strconv.Atoi(digits)
	return id, number, ok && err == nil
}

// taskName returns the name by which workers know a task of a job.
func taskName(id string, number int32) string { return id + "/" + strconv.Itoa(int(number)) }

// parseTaskName splits a task's name into the job ID and the task's number. ok is false if the
// name is malformed.
func parseTaskName(name string) (id string, number int32, ok bool) {
	id, digits, ok := strings.Cut(name, "/")
	n, err := strconv.ParseInt(digits, 10, 32)
	return id, int32(n), ok && err == nil
}
