package scheduling

// Claim holds the properties of a group that decide which cells it may preempt, and which
// groups may preempt its cells.
type Claim struct {
	// Priority is the job's priority. Higher numbers preempt lower ones.
	Priority int
	// Guaranteed is set if the group is within its team's guaranteed quota.
	Guaranteed bool
	Team       TeamIndex
}

// CanPreempt reports whether a group with this claim may take cells from a victim: if its
// priority is higher, or if the priorities are equal, this claim is within its team's
// guaranteed quota, and the victim belongs to another team and exceeds the guaranteed quota
// of that team. This is a strict partial order, so groups can't preempt each other in cycles.
func (c Claim) CanPreempt(victim Claim) bool {
	return c.Priority > victim.Priority ||
		c.Priority == victim.Priority && c.Guaranteed && !victim.Guaranteed && c.Team != victim.Team
}
