package controller

import (
	"strconv"
	"strings"
)

// Keys of the stored records. Those of leases and of the rollout are in package rollout.
const (
	keyPrefix       = "e/"
	machineTypesKey = "e/types"
	jobPrefix       = "e/job/"
	groupPrefix     = "e/group/"
	tombstonePrefix = "e/gone/"
	loanPrefix      = "e/lend/"
)

// keyKind is the kind of record that a key holds.
type keyKind int

const (
	otherKind keyKind = iota // not a record of this package
	jobKind
	groupKind
	machineTypesKind
	tombstoneKind
	loanKind
)

// parseKey returns the kind of a key, and what follows the kind's prefix: the name of the
// job, the task group or the machine.
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

// jobKey is the key of a job.
func jobKey(id string) string { return jobPrefix + id }

// groupKey is the key of a job's task group.
func groupKey(id string, number int) string { return groupPrefix + id + "/" + strconv.Itoa(number) }

// loanKey is the key of a machine's loan.
func loanKey(machine string) string { return loanPrefix + machine }

// parseGroupKey takes a task group's key apart.
func parseGroupKey(key string) (id string, number int, ok bool) {
	id, digits, ok := strings.Cut(strings.TrimPrefix(key, groupPrefix), "/")
	number, err := strconv.Atoi(digits)
	return id, number, ok && err == nil
}

// taskName is the name by which workers know a job's task.
func taskName(id string, number int32) string { return id + "/" + strconv.Itoa(int(number)) }

// parseTaskName takes a task's name apart.
func parseTaskName(name string) (id string, number int32, ok bool) {
	id, digits, ok := strings.Cut(name, "/")
	n, err := strconv.ParseInt(digits, 10, 32)
	return id, int32(n), ok && err == nil
}
