package rules

import (
	"net/http"
	"time"

	"eiderhitch/internal/simulation/trace"
)

// How long queries of an accepted job may get no answer.
const (
	maxUnanswered = 90 * time.Second // while most others get theirs
	// maxUnansweredSettled holds once all faults are over, whatever becomes of others.
	maxUnansweredSettled = 75 * time.Second
)

// checkAnswered checks for how long a job's queries have got no answer.
func (c *checker) checkAnswered(e trace.Response) {
	j := c.job(e.Job)
	if e.Status == http.StatusOK || e.Status == http.StatusNotFound {
		j.unansweredSince = time.Time{}
		c.answeredAt = append(c.answeredAt, e.At)
		return
	}
	if j.unansweredSince.IsZero() {
		j.unansweredSince = e.RequestedAt
	}
	if j.acceptedAt.IsZero() {
		return
	}
	unanswered := e.At.Sub(j.unansweredSince)
	afterFaults := !c.FaultsEndedAt.IsZero() && e.At.Sub(later(j.unansweredSince, c.FaultsEndedAt)) > maxUnansweredSettled
	if afterFaults || unanswered > maxUnanswered && c.mostAreAnswered(j.unansweredSince) {
		c.violate(AcceptedJobLost, "%s is not answered for %v", j.id, unanswered)
		j.unansweredSince = time.Time{}
	}
}

// mostAreAnswered tells whether there were more answers since a time than there are jobs
// whose queries get none.
func (c *checker) mostAreAnswered(since time.Time) bool {
	answers, unanswered := 0, 0
	for _, at := range c.answeredAt {
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

// later is the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
