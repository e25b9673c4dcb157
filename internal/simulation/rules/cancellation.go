package rules

import "eiderhitch/internal/wire"

// checkCancelled checks that a task, which is on its machine up to now, is not there for
// long after its user learned that the job is cancelled.
func (c *checker) checkCancelled(t *task) {
	if t.job.finalState != wire.StateCancelled {
		return
	}
	if d := c.now.Sub(t.job.finalAt); d > c.CancellationTimeout {
		c.violate(RanAfterCancellation, "%s is there %v after its user was told", t.name, d)
	}
}
