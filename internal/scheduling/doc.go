// Package scheduling allocates the cells of one partition's machines to groups of tasks. It
// does no I/O and reads no clock: the caller passes in requests and ends of tasks, and reads
// the changed states.
//
// The state machines of cells and groups are those of the paper "HiveD State Machines"; the
// numbers e0, e1 and so on in comments are the paper's events. A cell is a slice of a machine
// that is created when it is allocated or reserved. The rest of a machine is Free; no Cell
// represents it.
//
// A Partition is not safe for concurrent use.
package scheduling
