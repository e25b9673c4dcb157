package rules

// checkAttempts checks that no task of a gang is started while a task of an earlier attempt of
// the gang is on its machine. The protocol forbids this for the same task and, for other tasks,
// in another zone. The rule covers all cases because such a start is never useful: tasks of
// different attempts can't join each other.
func (c *checker) checkAttempts(started *task) {
	if spec := started.job.spec; spec == nil || !spec.Gang {
		return
	}
	for _, t := range c.sortedTasks() {
		if t.job == started.job && t.attempt < started.attempt {
			c.addViolation(OverlappingAttempts, "%s is started as attempt %d while %s is on its machine as attempt %d", started.name, started.attempt, t.name, t.attempt)
			return
		}
	}
}

// checkForgotten checks that a task is not started under the number of an attempt that a machine was
// told to forget, since attempts only rise: such a start is the repeat of one that was carried out.
// While its job is unfinished, a gang's task may be replaced under the number of the attempt that it
// completes.
func (c *checker) checkForgotten(started *task) {
	forgotten := started.job.forgotten[started.name]
	isReplacement := started.job.spec != nil && started.job.spec.Gang && started.attempt == forgotten && started.job.finalState == ""
	if started.attempt <= forgotten && !isReplacement && forgotten > 0 {
		c.addViolation(StartedAfterForget, "%s is started as attempt %d on %s, and attempt %d was forgotten", started.name, started.attempt, started.machine.name, forgotten)
	}
}
