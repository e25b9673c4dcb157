package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

const (
	// maxEntries is how many tests the list may name.
	maxEntries = 3
	// fieldSeparator stands between the fields of a line.
	fieldSeparator = "|"
)

// Errors of a list that breaks its rules.
var (
	errTooMany   = fmt.Errorf("more than %d tests", maxEntries)
	errMalformed = errors.New("not of the form `test | cause | issue`")
	errTwice     = errors.New("test is listed twice")
)

// entry is one test that is known to fail.
type entry struct {
	// Test is its name as `go test -v` reports it: TestName or TestName/subtest.
	Test string
	// Cause is the fault that makes it fail.
	Cause string
	// Issue is where the fault is followed.
	Issue string
}

// testName matches the names that Go gives to tests, fuzz tests and examples, and to
// their subtests, in which it replaces spaces by underscores.
var testName = regexp.MustCompile(`^(Test|Fuzz|Example)[^a-z\s/][^\s/]*(/[^\s/]+)*$`)

// parse reads a list. Lines without any text are passed over.
func parse(text string) ([]entry, error) {
	var entries []entry
	listed := map[string]bool{}
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		e, err := parseLine(line)
		if err == nil && listed[e.Test] {
			err = errTwice
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w: %q", listName, i+1, err, line)
		}
		listed[e.Test] = true
		entries = append(entries, e)
	}
	if len(entries) > maxEntries {
		return nil, fmt.Errorf("%s: %w", listName, errTooMany)
	}
	return entries, nil
}

// parseLine reads one line of a list.
func parseLine(line string) (entry, error) {
	fields := strings.Split(line, fieldSeparator)
	if len(fields) != 3 {
		return entry{}, errMalformed
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
		if fields[i] == "" {
			return entry{}, errMalformed
		}
	}
	if !testName.MatchString(fields[0]) {
		return entry{}, errMalformed
	}
	return entry{Test: fields[0], Cause: fields[1], Issue: fields[2]}, nil
}

// skipPattern is the argument of `go test -skip` that matches the tests of the entries
// and no others.
func skipPattern(entries []entry) string {
	patterns := make([]string, len(entries))
	for i, e := range entries {
		patterns[i] = anchored(e.Test)
	}
	return strings.Join(patterns, "|")
}

// anchored is the pattern of -run and -skip for one test. Its elements, between
// slashes, are matched one by one.
func anchored(test string) string {
	elements := strings.Split(test, "/")
	for i, element := range elements {
		elements[i] = "^" + regexp.QuoteMeta(element) + "$"
	}
	return strings.Join(elements, "/")
}
