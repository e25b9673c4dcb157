package rules

// checkAttempts checks that no task of a gang is started while one of an earlier attempt is
// on its machine. The protocol forbids it for the same task, and in another zone for others;
// nothing is won by it anywhere, since the two attempts' tasks never find each other.
func (c *checker) checkAttempts(started *task) {
	if spec := started.job.spec; spec == nil || !spec.Gang {
		return
	}
	for _, t := range c.sortedTasks() {
		if t.job == started.job && t.attempt < started.attempt {
			c.violate(OverlappingAttempts, "%s is started as attempt %d while %s is there as attempt %d", started.name, started.attempt, t.name, t.attempt)
			return
		}
	}
}
