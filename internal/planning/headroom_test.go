package planning

import (
	"testing"

	"pgregory.net/rapid"
)

// Only what has been free for a whole window counts.
func TestFreeHistory(t *testing.T) {
	const window = 10
	rapid.Check(t, func(t *rapid.T) {
		var history FreeHistory
		var times []float64
		var free []int64
		now := 0.0
		for range 30 {
			now += rapid.Float64Range(0.1, 3).Draw(t, "step")
			times, free = append(times, now), append(free, rapid.Int64Range(-5, 50).Draw(t, "free"))
			least, covered := history.Add(now, free[len(free)-1], window)
			for i := range times {
				if now-times[i] <= window && free[i] < least {
					t.Fatalf("at %v: expected the least to be %d, free at %v, got %d", now, free[i], times[i], least)
				}
			}
			if covered && now-times[0] < 9 {
				t.Fatalf("expected a window of %d s not to be covered after %v s", window, now-times[0])
			}
		}
	})
}
