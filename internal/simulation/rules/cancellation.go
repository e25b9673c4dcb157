package rules

import "eiderhitch/internal/wire"

// checkCancelled checks that a task on a machine doesn't stay there for longer than
// CancellationTimeout after a user learned that its job is cancelled.
func (c *checker) checkCancelled(t *task) {
	if t.job.finalState != wire.StateCancelled {
		return
	}
	if d := c.now.Sub(t.job.finalAt); d > c.CancellationTimeout {
		c.addViolation(RanAfterCancellation, "%s is on its machine %v after its user was told of the cancellation", t.name, d)
	}
}
