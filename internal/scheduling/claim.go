package scheduling

// Claim tells on whose behalf cells are claimed, which decides what may be preempted.
type Claim struct {
	// Priority of the job; higher ones preempt lower ones.
	Priority int
	// Guaranteed is set if the claim is within its team's guaranteed quota.
	Guaranteed bool
	Team       TeamIndex
}

// CanPreempt reports whether a group with this claim may take cells from the victim: it
// has a higher priority, or the same priority and is within its guaranteed quota while
// the victim is of another team and exceeds its own. This is a strict partial order, so
// groups can't preempt each other in circles.
func (c Claim) CanPreempt(victim Claim) bool {
	return c.Priority > victim.Priority ||
		c.Priority == victim.Priority && c.Guaranteed && !victim.Guaranteed && c.Team != victim.Team
}
