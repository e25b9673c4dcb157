package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
)

// Upgrades that meet troubles, as schedules of faults; whatever happens is judged by the
// rule checker, and no record may ever be stored in a form that the level in force at that
// moment does not allow.
func TestUpgradesMeetTroubles(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name   string
		faults []fault
	}{
		{"an old controller comes before, during and after the switch", []fault{{at: 1, what: "old comes", who: 1, duration: 14}, {at: 25, what: "finalize"}, {at: 25.1, what: "old comes", who: 2, duration: 12}, {at: 50, what: "old comes", who: leading, duration: 20}}},
		{"old controllers alone after the switch", []fault{{at: 5, what: "finalize"}, {at: 15, what: "old comes", who: all, duration: 25}}},
		{"old controllers come while records are rewritten", []fault{{at: 5, what: "finalize"}, {at: 6, what: "old comes", who: leading, duration: 15}, {at: 7, what: "jobs", who: 6}}},
		{"a controller of the base level comes before it is final", []fault{{at: 1, what: "base level comes", who: 0, duration: 10}, {at: 25, what: "finalize"}, {at: 25.05, what: "base level comes", who: 1, duration: 10}, {at: 50, what: "base level comes", who: leading, duration: 15}}},
		{"controllers of the base level come after it is final", []fault{{at: 5, what: "finalize"}, {at: 15, what: "base level comes", who: leading, duration: 15}, {at: 45, what: "base level comes", who: all, duration: 20}}},
		{"abandoned before it is final, and begun again", []fault{{at: 5, what: "abort"}, {at: 15, what: "old comes", who: 0, duration: 10}, {at: 30, what: "finalize"}, {at: 40, what: "finalize"}}},
		{"rolled back while records are rewritten", []fault{{at: 5, what: "finalize"}, {at: 6, what: "abort"}, {at: 12, what: "old comes", who: all, duration: 25}, {at: 40, what: "jobs", who: 6}}},
		{"up, back and up again", []fault{{at: 5, what: "finalize"}, {at: 15, what: "abort"}, {at: 30, what: "finalize"}, {at: 35, what: "finalize"}, {at: 45, what: "abort"}}},
		{"the way back is given up", []fault{{at: 5, what: "finalize"}, {at: 14, what: "slow state", who: all, duration: 10, part: 0.6}, {at: 15, what: "abort"}, {at: 15.8, what: "finalize"}}},
		{"the leader ends as the level is raised", []fault{{at: 5, what: "finalize"}, {at: 5.05, what: "kill", who: leading, duration: 3}, {at: 20, what: "finalize"}, {at: 20.15, what: "kill", who: leading, duration: 0.3}, {at: 35, what: "abort"}, {at: 35.2, what: "kill", who: leading, duration: 0.3}}},
		{"all end just after a step", []fault{{at: 5, what: "finalize"}, {at: 5.4, what: "kill", who: all, duration: 0.5}, {at: 25, what: "abort"}, {at: 26.2, what: "kill", who: all, duration: 13}}},
		{"two operators at once", []fault{{at: 5, what: "finalize and abort"}, {at: 20, what: "finalize and abort"}, {at: 35, what: "finalize and abort"}, {at: 50, what: "finalize and abort"}}},
		{"answers to transactions are lost", []fault{{at: 0, what: "lost answers", who: all, duration: 60, part: 0.5}, {at: 5, what: "finalize"}, {at: 20, what: "abort"}, {at: 40, what: "finalize"}}},
		{"late transactions", []fault{{at: 0, what: "late writes", who: all, duration: 60, part: 0.4}, {at: 5, what: "finalize"}, {at: 15, what: "kill", who: leading, duration: 4}, {at: 25, what: "abort"}, {at: 30, what: "kill", who: leading, duration: 4}}},
		{"the leader is alone while the level is raised by another", []fault{{at: 4, what: "alone", who: leading, duration: 30}, {at: 14, what: "finalize"}, {at: 25, what: "cancel", who: 4}, {at: 50, what: "alone", who: leading, duration: 25}, {at: 60, what: "abort"}}},
		{"outage of the state service at each step", []fault{{at: 4.9, what: "finalize"}, {at: 5, what: "outage", duration: 20}, {at: 40, what: "abort"}, {at: 40.3, what: "outage", duration: 40}}},
		{"limits fall in the middle", []fault{{at: 5, what: "finalize"}, {at: 6, what: "limits fall"}, {at: 7, what: "gangs", who: 3}, {at: 25, what: "abort"}, {at: 26, what: "gangs", who: 3}}},
		{"gangs are bound and machines lent at each step", []fault{{at: 0, what: "gangs", who: 4}, {at: 1, what: "finalize"}, {at: 10, what: "gangs", who: 4}, {at: 10.3, what: "abort"}, {at: 20, what: "gangs", who: 4}, {at: 22, what: "finalize"}, {at: 24, what: "finalize"}}},
		{"machines die and are cut while rights change keys", []fault{{at: 5, what: "cut", who: 3, duration: 25}, {at: 5, what: "die", who: 2}, {at: 5.1, what: "finalize"}, {at: 20, what: "deaf", who: 3, duration: 20}, {at: 21, what: "abort"}, {at: 30, what: "cancel", who: 4}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			inUpgrade(t, func(c *cluster) {
				c.play(7, 12, x.faults)
				c.settleUpgrade()
			})
		})
	}
}

// settleUpgrade checks that there is a way on from wherever a schedule ended: up to the
// level that all controllers read, with all records in its form.
func (c *cluster) settleUpgrade() {
	c.t.Helper()
	ready := func() bool {
		s := c.level()
		return s.Level == rollout.Supported.High && s.Phase == rollout.Stable && !s.Held
	}
	op := c.upgradeOperator()
	c.await("the level is final", 2*time.Minute, func() bool {
		if ready() {
			return true
		}
		_, _ = op.Submit(c.ctx, rollout.RequestFinalize)
		time.Sleep(2 * time.Second)
		return ready()
	})
	c.await("records are in its form", 2*time.Minute, func() bool { return c.forms()[record.PlainJSON] == 0 })
}

// upgradeCombinations is how many generated schedules of upgrades are played.
var upgradeCombinations = flag.Int("upgrades", 10, "generated schedules of upgrades and faults to play")

// Generated schedules of upgrades, of controllers that come back as other versions, and
// of troubles.
func TestGeneratedUpgradeSchedules(t *testing.T) {
	t.Parallel()
	steps := []fault{{what: "finalize"}, {what: "finalize"}, {what: "abort"}, {what: "finalize and abort"}, {what: "old comes", duration: 12}, {what: "old comes", duration: 12}, {what: "base level comes", duration: 12},
		{what: "old comes", who: all, duration: 20}}
	troubles := []fault{{what: "kill", duration: 0.3}, {what: "kill", duration: 6}, {what: "kill", who: all, duration: 0.5}, {what: "kill", who: all, duration: 13}, {what: "outage", duration: 30}, {what: "state refuses", duration: 15},
		{what: "late writes", who: all, duration: 30, part: 0.3}, {what: "lost answers", who: all, duration: 30, part: 0.3}, {what: "slow state", who: all, duration: 20, part: 0.4}, {what: "alone", duration: 30},
		{what: "no peers", who: all, duration: 30}, {what: "cut", who: 2, duration: 20}, {what: "die", who: 2}, {what: "cancel", who: 3}, {what: "jobs", who: 5}, {what: "gangs", who: 3}, {what: "late commands", who: all, duration: 30, part: 0.3}, {what: "close looks", duration: 30}}
	for seed := *firstSeed; seed < *firstSeed+uint64(*upgradeCombinations); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			faults := drawUpgrade(seed, steps, troubles)
			defer func() {
				if t.Failed() {
					t.Logf("seed %d: %v", seed, faults)
				}
			}()
			inUpgrade(t, func(c *cluster) {
				c.play(seed, 10, faults)
				c.settleUpgrade()
			})
		})
	}
}

// drawUpgrade is the schedule that follows from a seed.
func drawUpgrade(seed uint64, steps, troubles []fault) []fault {
	rng := rand.New(rand.NewPCG(seed, 5))
	var faults []fault
	for range 8 + rng.IntN(7) {
		f := troubles[rng.IntN(len(troubles))]
		if rng.IntN(2) == 0 {
			f = steps[rng.IntN(len(steps))]
		}
		f.at = float64(rng.IntN(700)) / 10
		f.duration *= 0.4 + 0.8*rng.Float64()
		if f.who == 0 { // whom it meets
			f.who = rng.IntN(4) - 1
		}
		faults = append(faults, f)
	}
	slices.SortStableFunc(faults, func(x, y fault) int { return int(1000 * (x.at - y.at)) })
	return faults
}
