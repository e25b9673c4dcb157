package planning

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

func drawQuotaUses(t *rapid.T) []GroupQuotaUsage {
	var uses []GroupQuotaUsage
	for range rapid.IntRange(0, 6).Draw(t, "groups") {
		running := rapid.IntRange(0, 5).Draw(t, "running")
		uses = append(uses, GroupQuotaUsage{
			Priority:           rapid.IntRange(0, 3).Draw(t, "priority"),
			RunningTasks:       running,
			AllowedTasks:       running + rapid.IntRange(0, 5).Draw(t, "waiting"),
			TaskSize:           drawCPUs(t, "cpus", 1, 3),
			WaitingTasksExempt: rapid.Bool().Draw(t, "waiting tasks exempt"),
		})
	}
	return uses
}

// Throttle stops no task of equal or higher priority, throttles no more tasks than the shortfall
// requires, and leaves a shortfall only if no task can be throttled any more.
func TestThrottle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uses := drawQuotaUses(t)
		priority := rapid.IntRange(0, 3).Draw(t, "job's priority")
		shortfall := scheduling.NewResources(float64(rapid.IntRange(0, 20).Draw(t, "shortfall")), 0, 0)
		remaining, largest, throttleable := shortfall.CPU, int64(0), int64(0)
		for i, allowed := range Throttle(uses, priority, shortfall) {
			use := uses[i]
			if allowed < 0 {
				allowed = use.AllowedTasks
			}
			if allowed > use.AllowedTasks || allowed < use.RunningTasks && use.Priority >= priority {
				t.Fatalf("%+v: got %d allowed tasks for a job of priority %d", use, allowed, priority)
			}
			remaining -= use.TaskSize.CPU * int64(use.AllowedTasks-allowed)
			largest = max(largest, use.TaskSize.CPU)
			if use.Priority < priority {
				throttleable += use.TaskSize.CPU * int64(allowed)
			} else if !use.WaitingTasksExempt {
				throttleable += use.TaskSize.CPU * int64(max(0, allowed-use.RunningTasks))
			}
		}
		if remaining <= -max(largest, 1) {
			t.Fatalf("expected less than one task to be throttled beyond the shortfall of %d, got %d thousandths of a CPU beyond it", shortfall.CPU, -remaining)
		}
		if remaining > 0 && throttleable > 0 {
			t.Fatalf("expected no shortfall to be left, got %d while %d could be throttled", remaining, throttleable)
		}
	})
}

func TestThrottleOrder(t *testing.T) {
	size := scheduling.NewResources(1, 0, 0)
	waiting := GroupQuotaUsage{Priority: 1, RunningTasks: 2, AllowedTasks: 5, TaskSize: size}
	lower := GroupQuotaUsage{Priority: 0, RunningTasks: 3, AllowedTasks: 3, TaskSize: size}
	exempt := GroupQuotaUsage{Priority: 1, RunningTasks: 2, AllowedTasks: 5, TaskSize: size, WaitingTasksExempt: true}
	for _, row := range []struct {
		name      string
		uses      []GroupQuotaUsage
		shortfall float64
		expected  []int
	}{
		{"no shortfall", []GroupQuotaUsage{lower, waiting}, 0, []int{limitUnchanged, limitUnchanged}},
		{"waiting tasks before running ones", []GroupQuotaUsage{lower, waiting}, 2, []int{limitUnchanged, 3}},
		{"then running tasks of lower priority", []GroupQuotaUsage{lower, waiting}, 4, []int{2, 2}},
		{"no running tasks of equal priority", []GroupQuotaUsage{waiting}, 4, []int{2}},
		{"no waiting tasks of an exempt group", []GroupQuotaUsage{exempt, lower}, 1, []int{limitUnchanged, 2}},
		{"least urgent group first", []GroupQuotaUsage{waiting, waiting}, 4, []int{2, 4}},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := Throttle(row.uses, 1, scheduling.NewResources(row.shortfall, 0, 0))
			if !slices.Equal(got, row.expected) {
				t.Errorf("expected allowed tasks %v, got %v", row.expected, got)
			}
		})
	}
}
