package planning

import "eiderhitch/internal/scheduling"

// MinTasksPerPartition is how many tasks of an array a part is dealt at least, if there
// are that many: each record costs changes of its own, to deal it, to bind and
// to end its tasks and to clear it up, and changes are what the state service
// allows least of.
const MinTasksPerPartition = 24

// Assignment asks for room for like tasks of one job.
type Assignment struct {
	TaskSize scheduling.Resources
	Count    int
	Claim    scheduling.Claim
	Allowed  MachineFilter
	// QuotaShort: the team's limit is short. What is dealt but can't run yet would
	// hold the limit against others of the team.
	QuotaShort bool
	// Forced: the tasks are dealt where they may be, room or not, to take the next
	// cells that come free.
	Forced bool
}

// PerPartition decides how many tasks of an array each part is dealt: what free room
// there is, what ends soon (ahead, which it counts down), then what lower claims
// hold. It takes that room from the hosts.
func (d *Assignment) PerPartition(hosts []*MachineSummary, ahead []int) []int {
	out := make([]int, len(ahead))
	left := d.Count
	give := func(p, k int) {
		out[p] += k
		left -= k
	}
	for h, k := range PlaceInFreeRoom(hosts, d.Allowed, d.TaskSize, left) {
		give(h.Partition, k)
	}
	for p := range ahead {
		if left > 0 && !d.QuotaShort && ahead[p] > 0 && partitionAllows(hosts, p, d.Allowed) {
			k := min(left, ahead[p])
			ahead[p] -= k
			give(p, k)
		}
	}
	for left > 0 {
		h := PlaceByPreemption(hosts, d.Allowed, d.TaskSize, d.Claim)
		if h == nil {
			break
		}
		give(h.Partition, 1)
	}
	if d.Forced && left == d.Count {
		best := -1
		for p := range ahead {
			if (best < 0 || ahead[p] > ahead[best]) && partitionAllows(hosts, p, d.Allowed) {
				best = p
			}
		}
		if best >= 0 {
			ahead[best] -= left
			give(best, left)
		}
	}
	for p, k := range out {
		// Few large records rather than many small ones; what is dealt too much
		// now is dealt less ahead later.
		if more := min(MinTasksPerPartition-k, left); k > 0 && more > 0 && !d.QuotaShort {
			ahead[p] -= more
			give(p, more)
		}
	}
	return out
}

// partitionAllows tells whether a part has a machine that a task may be on.
func partitionAllows(hosts []*MachineSummary, p int, can MachineFilter) bool {
	for _, h := range hosts {
		if h.Partition == p && can(h) {
			return true
		}
	}
	return false
}

// OnePartition chooses the part for a group that is reserved together, one of parts,
// and takes its room there; false if no part can hold it.
func (d *Assignment) OnePartition(hosts []*MachineSummary, parts int) (int, bool) {
	if d.Count == 1 {
		// The part of the fullest machine that fits keeps machines packed.
		for h := range PlaceInFreeRoom(hosts, d.Allowed, d.TaskSize, 1) {
			return h.Partition, true
		}
		if h := PlaceByPreemption(hosts, d.Allowed, d.TaskSize, d.Claim); h != nil {
			return h.Partition, true
		}
		return 0, false
	}
	free := make([]int, parts)
	for _, h := range hosts {
		if d.Allowed(h) {
			free[h.Partition] += h.Free.CountFitting(d.TaskSize, d.Count)
		}
	}
	best := 0
	for p := range free {
		if free[p] > free[best] {
			best = p
		}
	}
	in := func(p int) MachineFilter {
		return func(h *MachineSummary) bool { return h.Partition == p && d.Allowed(h) }
	}
	if free[best] >= d.Count {
		PlaceInFreeRoom(hosts, in(best), d.TaskSize, d.Count)
		return best, true
	}
	for p := range free {
		trial := CloneSummaries(hosts)
		got := 0
		for _, k := range PlaceInFreeRoom(trial, in(p), d.TaskSize, d.Count) {
			got += k
		}
		for got < d.Count && PlaceByPreemption(trial, in(p), d.TaskSize, d.Claim) != nil {
			got++
		}
		if got == d.Count {
			for i := range hosts {
				*hosts[i] = *trial[i]
			}
			return p, true
		}
	}
	return 0, false
}

// CloneSummaries copies hosts, so that a plan can be tried.
func CloneSummaries(hosts []*MachineSummary) []*MachineSummary {
	all := make([]MachineSummary, len(hosts))
	out := make([]*MachineSummary, len(hosts))
	for i, h := range hosts {
		all[i] = *h
		out[i] = &all[i]
	}
	return out
}

// AssignAhead is how many tasks a part may be dealt beyond its free room: what ends
// there while a cell would wait for its next task, twice over. bound tasks of the
// given estimate run there.
func AssignAhead(bound int, estimate, turnaround float64) float64 {
	return float64(bound) * min(0.5, 2*turnaround/max(estimate, 1))
}

// QuotaUse is a record's tasks that count for its team's limit.
type QuotaUse struct {
	Priority int
	// Running tasks hold cells; May is how many may, at least those that do or
	// are to.
	Running, Allowed int
	TaskSize         scheduling.Resources
	// Fixed: tasks that are dealt but don't run can't be held back now.
	Fixed bool
}

// Throttle makes room within a team's limit for a job of the given level that
// lacks some: dealt tasks that don't run yet stand back, then tasks of lower jobs
// that run are stopped. from lists what there is, the least urgent first; the
// result tells for each how many may run from now, or -1 where nothing changes.
func Throttle(from []QuotaUse, level int, lack scheduling.Resources) []int {
	out := make([]int, len(from))
	for i := range out {
		out[i] = -1
	}
	for _, running := range []bool{false, true} {
		for i, s := range from {
			least, may := s.Running, s.Allowed
			if out[i] >= 0 {
				may = out[i]
			}
			if running {
				if s.Priority >= level {
					continue
				}
				least = 0
			} else if s.Fixed {
				continue
			}
			for may > least && (lack.CPU > 0 || lack.GPU > 0) {
				may--
				lack = lack.Minus(s.TaskSize)
				out[i] = may
			}
		}
	}
	return out
}
