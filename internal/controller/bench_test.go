package controller

import (
	"fmt"
	"testing"
)

// BenchmarkLeaderPass measures one scheduling pass of the leader over full fleets of several
// sizes.
func BenchmarkLeaderPass(b *testing.B) {
	for _, n := range []int{50, 500, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newFullFleetController(b, n)
			for b.Loop() {
				c.leadership.writesInFlight = 0
				c.runLeaderPass()
			}
		})
	}
}

// BenchmarkSchedulePartitions measures one scheduling pass of an owner over the partitions of full
// fleets of several sizes.
func BenchmarkSchedulePartitions(b *testing.B) {
	for _, n := range []int{50, 500, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newFullFleetController(b, n)
			for b.Loop() {
				c.schedulePartitions()
			}
		})
	}
}
