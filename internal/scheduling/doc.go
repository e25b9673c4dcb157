// Package scheduling decides which cells the task groups of one partition hold. It does no
// input or output and has no clock: requests and ends of tasks come in, changed states
// come out.
//
// Its state machines are those of the paper "HiveD State Machines"; the numbers e0, e1
// and so on in comments are the paper's events. A cell is a slice of a machine that is
// carved out when it is claimed; what is not carved out is Free and is not represented.
//
// A Partition is not safe for concurrent use.
package scheduling
