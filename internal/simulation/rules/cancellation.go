package rules

import "eiderhitch/internal/wire"

// checkCancelled checks that a task on a machine doesn't stay there for longer than
// CancellationTimeout after a response first reported to a user that its job is cancelled.
func (c *checker) checkCancelled(t *task) {
	if t.job.finalState != wire.StateCancelled {
		return
	}
	if d := c.now.Sub(t.job.finalAt); d > c.CancellationTimeout {
		c.addViolation(RanAfterCancellation, "%s is on its machine %v after the cancellation was reported to a user", t.name, d)
	}
}
