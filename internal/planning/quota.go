package planning

import "eiderhitch/internal/scheduling"

// Quota is a team's quota and what its tasks use of it. RAM is not limited.
type Quota struct {
	// Guaranteed and Limit are without effect where a field is zero.
	Guarantee, Limit scheduling.Resources
	// Used counts for the limit, GuaranteedUsage for the guaranteed quota.
	Usage, GuaranteedUsage scheduling.Resources
}

// RemainingTasks returns how many more tasks of a size the limit permits, at most count.
func (q *Quota) RemainingTasks(size scheduling.Resources, count int) int {
	return remainingUnderLimit(q.Limit, q.Usage, size, count)
}

// RemainingGuaranteedTasks returns how many more tasks of a size fit into the guaranteed quota, at
// most count.
func (q *Quota) RemainingGuaranteedTasks(size scheduling.Resources, count int) int {
	if q.Guarantee == (scheduling.Resources{}) {
		return 0
	}
	return remainingUnderLimit(q.Guarantee, q.GuaranteedUsage, size, count)
}

// Shortfall returns by how much a demand exceeds what the limit leaves.
func (q *Quota) Shortfall(demand scheduling.Resources) scheduling.Resources {
	return scheduling.Resources{
		CPU: excess(q.Limit.CPU, q.Usage.CPU+demand.CPU),
		GPU: excess(q.Limit.GPU, q.Usage.GPU+demand.GPU),
	}
}

// excess returns by how much an amount exceeds a limit; none is exceeded if it is zero.
func excess(limit, amount int64) int64 {
	if limit <= 0 {
		return 0
	}
	return max(0, amount-limit)
}

func remainingUnderLimit(limit, used, size scheduling.Resources, count int) int {
	count = remainingForResource(limit.CPU, used.CPU, size.CPU, count)
	return remainingForResource(limit.GPU, used.GPU, size.GPU, count)
}

// remainingForResource limits count by how often size fits into what is left of a limit.
func remainingForResource(limit, used, size int64, count int) int {
	if limit <= 0 || size <= 0 {
		return count
	}
	return min(count, int(max(0, limit-used)/size))
}

// Charge counts an amount as used; guaranteed tells whether it counts for the guaranteed
// quota, too.
func (q *Quota) Charge(use scheduling.Resources, guaranteed bool) {
	q.Usage = q.Usage.Plus(use)
	if guaranteed {
		q.GuaranteedUsage = q.GuaranteedUsage.Plus(use)
	}
}
