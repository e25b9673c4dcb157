package controller

import (
	"fmt"
	"testing"
)

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
