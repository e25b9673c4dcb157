package planning

import "eiderhitch/internal/scheduling"

// Quota holds the quota of a team and its usage. It doesn't limit RAM.
type Quota struct {
	// Guarantee is the guaranteed quota, Limit the most that the team may use. A field that is
	// zero doesn't restrict its resource, but a Guarantee with only zero fields means that there
	// is no guaranteed quota.
	Guarantee, Limit scheduling.Resources
	// Usage counts toward Limit. It includes GuaranteedUsage, which counts toward Guarantee.
	Usage, GuaranteedUsage scheduling.Resources
	// ServiceUsage is the part of Usage that replicas of unfinished services hold. It becomes free
	// only when users cancel services.
	ServiceUsage scheduling.Resources
}

// FitsBesideServices reports whether the limit permits a demand once all tasks but the replicas of
// services have ended.
func (q *Quota) FitsBesideServices(demand scheduling.Resources) bool {
	return remainingUnderLimit(q.Limit, q.ServiceUsage, demand, 1) == 1
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

// Shortfall returns by how much the usage and a demand together exceed the limit. Fields are
// zero for resources whose limit is not exceeded.
func (q *Quota) Shortfall(demand scheduling.Resources) scheduling.Resources {
	return scheduling.Resources{
		CPU: excess(q.Limit.CPU, q.Usage.CPU+demand.CPU),
		GPU: excess(q.Limit.GPU, q.Usage.GPU+demand.GPU),
	}
}

// excess returns by how much an amount exceeds a limit. A limit of zero means no limit.
func excess(limit, amount int64) int64 {
	if limit <= 0 {
		return 0
	}
	return max(0, amount-limit)
}

// remainingUnderLimit returns how many tasks of a size fit into the unused part of a limit, at most
// count.
func remainingUnderLimit(limit, used, size scheduling.Resources, count int) int {
	count = remainingForResource(limit.CPU, used.CPU, size.CPU, count)
	return remainingForResource(limit.GPU, used.GPU, size.GPU, count)
}

// remainingForResource returns the lesser of count and the number of times that size fits into the
// unused part of a limit. A limit of zero means no limit.
func remainingForResource(limit, used, size int64, count int) int {
	if limit <= 0 || size <= 0 {
		return count
	}
	return min(count, int(max(0, limit-used)/size))
}

// ChargeService adds the amount that replicas of a service hold, beside Charge.
func (q *Quota) ChargeService(use scheduling.Resources) { q.ServiceUsage = q.ServiceUsage.Plus(use) }

// Charge adds an amount to the usage, and to the usage of the guaranteed quota if guaranteed is
// set.
func (q *Quota) Charge(use scheduling.Resources, guaranteed bool) {
	q.Usage = q.Usage.Plus(use)
	if guaranteed {
		q.GuaranteedUsage = q.GuaranteedUsage.Plus(use)
	}
}
