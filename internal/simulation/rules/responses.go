package rules

import (
	"net/http"
	"time"

	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// checkResponse checks a response against all that users were told before they asked.
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
			c.violate(AcceptedJobLost, "%s is not known any more", e.Job)
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if knownBefore && e.Operation == trace.Submit {
			c.violate(AcceptedJobLost, "%s is refused with %d when it is submitted again", e.Job, e.Status)
		}
	}
}

// checkSubmitted checks that a job that a response knows was submitted before it.
func (c *checker) checkSubmitted(j *job, e trace.Response) bool {
	if j.submittedAt.IsZero() || j.submittedAt.After(e.At) {
		c.violate(UnsubmittedJob, "%s, which nobody submitted, is %s", j.id, e.State)
		return false
	}
	if j.acceptedAt.IsZero() {
		j.acceptedAt = e.At
	}
	return true
}

// checkState checks that a job's state follows from what its users know of it.
func (c *checker) checkState(j *job, e trace.Response) {
	wasFinal := j.finalState != ""
	if wasFinal && e.State != j.finalState && e.RequestedAt.After(j.finalAt) {
		c.violate(FinalStateChanged, "%s is %s after it was %s", j.id, e.State, j.finalState)
	}
	if e.State != wire.StateDone && e.State != wire.StateCancelled {
		return
	}
	if wasFinal && e.State != j.finalState {
		c.violate(FinalStateChanged, "%s is both %s and %s", j.id, j.finalState, e.State)
	}
	if !wasFinal {
		j.finalState, j.finalAt = e.State, e.At
	}
	c.checkFinal(j, e.State, e.At)
}

// checkFinal checks that a final state has its cause.
func (c *checker) checkFinal(j *job, state string, at time.Time) {
	if state == wire.StateCancelled && (j.cancelRequestedAt.IsZero() || j.cancelRequestedAt.After(at)) {
		c.violate(FinalStateChanged, "%s is cancelled, and its user did not ask for it", j.id)
	}
	if state == wire.StateDone && j.spec != nil && len(j.completed) < j.spec.TaskCount {
		c.violate(DoneTooEarly, "%s has %d of %d tasks done", j.id, len(j.completed), j.spec.TaskCount)
	}
}
