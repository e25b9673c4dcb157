package controller

import (
	"strconv"
	"strings"
)

// splitGroupKey takes a group record's key apart.
func splitGroupKey(key string) (id string, k int, ok bool) {
	id, num, ok := strings.Cut(strings.TrimPrefix(key, groupPrefix), "/")
	k, err := strconv.Atoi(num)
	return id, k, ok && err == nil
}

// Keys of the stored records.
const (
	keyPrefix       = "e/"
	machineTypesKey = "e/types"
	jobPrefix       = "e/job/"
	groupPrefix     = "e/group/"
	tombstonePrefix = "e/gone/"
	loanPrefix      = "e/lend/"
)

func jobKey(id string) string { return jobPrefix + id }

func groupKey(id string, k int) string { return groupPrefix + id + "/" + strconv.Itoa(k) }

func taskName(id string, n int32) string { return id + "/" + strconv.Itoa(int(n)) }

func parseTask(s string) (id string, num int32, ok bool) {
	id, digits, ok := strings.Cut(s, "/")
	n, err := strconv.ParseInt(digits, 10, 32)
	return id, int32(n), ok && err == nil
}
