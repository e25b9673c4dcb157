// Package planning holds the pure decisions of the leader: the order of jobs, team
// quotas, bin packing, the assignment of tasks to partitions, and which machines to
// launch and to drain. It does no input or output and has no clock: machines and demands
// go in, plans come out.
//
// The cells and groups of a partition, and what one claim may preempt of another, are
// those of package scheduling, which does not know this one.
package planning
