package planning

import (
	"testing"

	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// RemainingTasks and Shortfall agree: the tasks that RemainingTasks returns don't exceed the limit,
// and one more task does.
func TestQuotaRemainingTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := Quota{
			Limit: scheduling.Resources{CPU: rapid.Int64Range(1, 100_000).Draw(t, "limit")},
			Usage: scheduling.Resources{CPU: rapid.Int64Range(0, 120_000).Draw(t, "used")},
		}
		size := scheduling.Resources{CPU: rapid.Int64Range(1, 9_000).Draw(t, "task cpus")}
		remaining := quota.RemainingTasks(size, unlimited)
		if excess := quota.Shortfall(size.Times(remaining)).CPU; remaining > 0 && excess > 0 {
			t.Fatalf("expected %d remaining tasks not to exceed the limit, they exceed it by %d", remaining, excess)
		}
		if remaining < unlimited && quota.Shortfall(size.Times(remaining+1)).CPU == 0 {
			t.Fatalf("expected one more than the %d remaining tasks to exceed the limit", remaining)
		}
	})
}

func TestQuotaWithoutLimits(t *testing.T) {
	none, size := Quota{}, scheduling.NewResources(1, 0, 0)
	if remaining := none.RemainingTasks(size, 7); remaining != 7 {
		t.Errorf("without a limit: expected 7 remaining tasks, got %d", remaining)
	}
	if remaining := none.RemainingGuaranteedTasks(size, 7); remaining != 0 {
		t.Errorf("without a guaranteed quota: expected no remaining tasks, got %d", remaining)
	}
}

// Charge adds all amounts to the usage, but only guaranteed ones to the guaranteed usage.
func TestQuotaCharge(t *testing.T) {
	quota := Quota{Usage: scheduling.NewResources(1, 0, 0), GuaranteedUsage: scheduling.NewResources(1, 0, 0)}
	quota.Charge(scheduling.NewResources(2, 0, 0), false)
	quota.Charge(scheduling.NewResources(4, 1, 0), true)
	if want := scheduling.NewResources(7, 1, 0); quota.Usage != want {
		t.Errorf("expected usage %v, got %v", want, quota.Usage)
	}
	if want := scheduling.NewResources(5, 1, 0); quota.GuaranteedUsage != want {
		t.Errorf("expected guaranteed usage %v, got %v", want, quota.GuaranteedUsage)
	}
}
