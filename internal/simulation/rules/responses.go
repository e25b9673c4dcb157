package rules

import (
	"net/http"
	"time"

	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// checkResponse checks a response against the responses that users received before they made
// the request.
func (c *checker) checkResponse(e trace.Response) {
	if e.Operation == trace.Query {
		c.checkAnswered(e)
	}
	j := c.job(e.Job)
	knownBefore := !j.acceptedAt.IsZero() && e.RequestedAt.After(j.acceptedAt)
	switch e.Status {
	case http.StatusOK, http.StatusCreated:
		if c.checkSubmitted(j, e) {
			c.checkState(j, e)
		}
	case http.StatusNotFound:
		if knownBefore {
			c.addViolation(AcceptedJobLost, "%s was accepted but is now unknown", e.Job)
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if knownBefore && e.Operation == trace.Submit {
			c.addViolation(AcceptedJobLost, "%s was accepted but is refused with status %d when it is submitted again", e.Job, e.Status)
		}
	}
}

// checkSubmitted checks that a job which a response reports as known was submitted before. It
// reports whether it was and, if so, records the job as accepted.
func (c *checker) checkSubmitted(j *job, e trace.Response) bool {
	if j.submittedAt.IsZero() || j.submittedAt.After(e.At) {
		c.addViolation(UnsubmittedJob, "%s was not submitted but has state %s", j.id, e.State)
		return false
	}
	if j.acceptedAt.IsZero() {
		j.acceptedAt = e.At
	}
	return true
}

// checkState checks that a job's state doesn't contradict earlier responses, and records the
// first final state.
func (c *checker) checkState(j *job, e trace.Response) {
	wasFinal := j.finalState != ""
	if wasFinal && e.State != j.finalState && e.RequestedAt.After(j.finalAt) {
		c.addViolation(FinalStateChanged, "%s has state %s after it had the final state %s", j.id, e.State, j.finalState)
	}
	if e.State != wire.StateDone && e.State != wire.StateCancelled {
		return
	}
	if wasFinal && e.State != j.finalState {
		c.addViolation(FinalStateChanged, "%s has two final states, %s and %s", j.id, j.finalState, e.State)
	}
	if !wasFinal {
		j.finalState, j.finalAt = e.State, e.At
	}
	c.checkFinal(j, e.State, e.At)
}

// checkFinal checks the precondition of a final state: a cancelled job needs a user's request,
// and a job that is done needs a saved result of each task.
func (c *checker) checkFinal(j *job, state string, at time.Time) {
	if state == wire.StateCancelled && (j.cancelRequestedAt.IsZero() || j.cancelRequestedAt.After(at)) {
		c.addViolation(FinalStateChanged, "%s is cancelled, but its user did not request it", j.id)
	}
	if state == wire.StateDone && j.spec != nil && len(j.completed) < j.spec.TaskCount {
		c.addViolation(DoneTooEarly, "%s is done with %d of %d tasks completed", j.id, len(j.completed), j.spec.TaskCount)
	}
}
