// Package planning makes the leader's decisions: the order of jobs, team quotas, bin packing,
// the assignment of tasks to partitions, and which machines to launch and to drain. It does
// no I/O and reads no clock: the caller passes in machines and demands and gets plans.
//
// Package scheduling, which doesn't depend on this package, decides which cells the tasks of a
// partition get, and which claims may preempt which.
package planning
