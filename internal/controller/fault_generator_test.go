package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// combinations is how many generated schedules are played; a long search plays more.
var combinations = flag.Int("combinations", 24, "generated schedules of faults to play")

// firstSeed is where they begin.
var firstSeed = flag.Uint64("first-seed", 1, "seed of the first generated schedule")

// Generated schedules of faults: a seed that breaks a rule prints its schedule, so that
// it can become a row of TestMeetings.
func TestCombinations(t *testing.T) {
	t.Parallel()
	kinds := []fault{{what: "cloud down", duration: 40}, {what: "no capacity", duration: 60}, {what: "outage", duration: 45}, {what: "state refuses", duration: 20}, {what: "state silent", duration: 15}, {what: "slow state", duration: 30, part: 0.3},
		{what: "late writes", who: all, duration: 40, part: 0.3}, {what: "lost answers", who: all, duration: 40, part: 0.3}, {what: "late commands", who: all, duration: 30, part: 0.3},
		{what: "workers silent", duration: 20}, {what: "no peers", duration: 30}, {what: "no peers", who: all, duration: 30}, {what: "alone", duration: 40}, {what: "kill", duration: 0.3}, {what: "kill", duration: 6},
		{what: "kill", who: all, duration: 0.5}, {what: "kill", who: all, duration: 14}, {what: "zone", duration: 25}, {what: "deaf", who: 2, duration: 25}, {what: "mute", who: 2, duration: 25}, {what: "hang", who: 2, duration: 8},
		{what: "hang", who: 2, duration: 30}, {what: "cut", who: 2, duration: 20}, {what: "sick", who: 1, duration: 20}, {what: "die", who: 2}, {what: "back at once", who: 2}, {what: "cancel", who: 3}, {what: "cancel", who: 3},
		{what: "cancel and hang", who: 3, duration: 7}, {what: "cancel at end", duration: 40, part: 0.4}, {what: "close looks", duration: 40}, {what: "odd requests", duration: 30}, {what: "copies", duration: 40, part: 0.3},
		{what: "old copies", duration: 40, part: 0.3}, {what: "jobs", who: 6}, {what: "jobs", who: 6}, {what: "gangs", who: 4}, {what: "gangs", who: 4}, {what: "urgent work", who: 20}, {what: "limits fall"}}
	for seed := *firstSeed; seed < *firstSeed+uint64(*combinations); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			var faults []fault
			for range 7 + rng.IntN(6) {
				f := kinds[rng.IntN(len(kinds))]
				f.at = float64(rng.IntN(600)) / 10
				f.duration *= 0.4 + 0.8*rng.Float64()
				switch f.what { // whom it meets
				case "state refuses", "state silent", "slow state", "workers silent", "no peers", "alone", "kill":
					if f.who != all {
						f.who = rng.IntN(4) - 1 // the leader or one of three
					}
				}
				faults = append(faults, f)
			}
			slices.SortStableFunc(faults, func(x, y fault) int { return int(1000 * (x.at - y.at)) })
			defer func() {
				if t.Failed() {
					t.Logf("seed %d: %v", seed, faults)
				}
			}()
			play(t, seed, 10, faults)
		})
	}
}
