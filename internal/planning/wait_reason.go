package planning

// WaitReason is the reason why accepted tasks are not assigned to a partition now. Each reason has
// an event that ends it; docs/architecture.md lists them under "Why accepted work waits".
type WaitReason int

const (
	// WaitsForLimit means that the limit of the team's quota is used up, or reserved for a more
	// urgent job of the team.
	WaitsForLimit WaitReason = iota
	// WaitsForRoom means that machines which are up or booting have room for the tasks.
	WaitsForRoom
	// WaitsForLaunch means that machines are launched for the tasks.
	WaitsForLaunch
	// WaitsForCompletion means that the tasks are late, and wait for other tasks to complete on
	// machines that they may use.
	WaitsForCompletion
	// WaitsForOffer means that no offer that suits the tasks may be requested now.
	WaitsForOffer
	waitReasonCount
)

// WaitCounts holds the number of waiting tasks by reason. The zero value counts none.
type WaitCounts [waitReasonCount]int

// Total returns the number of waiting tasks.
func (c *WaitCounts) Total() int {
	total := 0
	for _, count := range c {
		total += count
	}
	return total
}
