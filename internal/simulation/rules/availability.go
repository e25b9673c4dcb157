package rules

import (
	"net/http"
	"time"

	"eiderhitch/internal/simulation/trace"
)

// The maximum time for which all queries of an accepted job may remain unanswered.
const (
	// maxUnanswered applies at all times, provided that most other queries are answered.
	maxUnanswered = 90 * time.Second
	// maxUnansweredAfterFaults applies after all faults have ended, even if no other query is
	// answered.
	maxUnansweredAfterFaults = 75 * time.Second
)

// checkAnswered checks that an accepted job's queries don't remain unanswered for too long. A
// response with status 200 or 404 counts as an answer.
func (c *checker) checkAnswered(e trace.Response) {
	j := c.job(e.Job)
	if e.Status == http.StatusOK || e.Status == http.StatusNotFound {
		j.unansweredSince = time.Time{}
		c.queriesAnsweredAt = append(c.queriesAnsweredAt, e.At)
		return
	}
	if j.unansweredSince.IsZero() {
		j.unansweredSince = e.RequestedAt
	}
	if j.acceptedAt.IsZero() {
		return
	}
	unanswered := e.At.Sub(j.unansweredSince)
	afterFaults := !c.FaultsEndedAt.IsZero() && e.At.Sub(laterTime(j.unansweredSince, c.FaultsEndedAt)) > maxUnansweredAfterFaults
	if afterFaults || unanswered > maxUnanswered && c.areMostQueriesAnswered(j.unansweredSince) {
		c.addViolation(AcceptedJobLost, "queries of %s have been unanswered for %v", j.id, unanswered)
		j.unansweredSince = time.Time{}
	}
}

// areMostQueriesAnswered reports whether more queries were answered since a time than there are
// jobs whose queries are unanswered now.
func (c *checker) areMostQueriesAnswered(since time.Time) bool {
	answers, unanswered := 0, 0
	for _, at := range c.queriesAnsweredAt {
		if at.After(since) {
			answers++
		}
	}
	for _, j := range c.jobs {
		if !j.unansweredSince.IsZero() {
			unanswered++
		}
	}
	return answers > unanswered
}

// laterTime returns the later of two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
