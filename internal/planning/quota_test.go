package planning

import (
	"testing"

	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// Room and Shortfall agree: what Room grants doesn't exceed the limit, and one more task
// does.
func TestQuotaRemainingTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := Quota{
			Limit: scheduling.Resources{CPU: rapid.Int64Range(1, 100_000).Draw(t, "limit")},
			Usage: scheduling.Resources{CPU: rapid.Int64Range(0, 120_000).Draw(t, "used")},
		}
		size := scheduling.Resources{CPU: rapid.Int64Range(1, 9_000).Draw(t, "task cpus")}
		granted := quota.RemainingTasks(size, unlimited)
		if excess := quota.Shortfall(size.Times(granted)).CPU; granted > 0 && excess > 0 {
			t.Fatalf("expected the %d tasks granted to fit the limit, they exceed it by %d", granted, excess)
		}
		if granted < unlimited && quota.Shortfall(size.Times(granted+1)).CPU == 0 {
			t.Fatalf("expected one task more than the %d granted to exceed the limit", granted)
		}
	})
}

func TestQuotaWithoutLimits(t *testing.T) {
	none, size := Quota{}, scheduling.NewResources(1, 0, 0)
	if room := none.RemainingTasks(size, 7); room != 7 {
		t.Errorf("without a limit: expected room for all 7 tasks, got %d", room)
	}
	if room := none.RemainingGuaranteedTasks(size, 7); room != 0 {
		t.Errorf("without a guaranteed quota: expected room for none, got %d", room)
	}
}

// All use counts for the limit, only guaranteed use for the guaranteed quota.
func TestQuotaCharge(t *testing.T) {
	quota := Quota{Usage: scheduling.NewResources(1, 0, 0), GuaranteedUsage: scheduling.NewResources(1, 0, 0)}
	quota.Charge(scheduling.NewResources(2, 0, 0), false)
	quota.Charge(scheduling.NewResources(4, 1, 0), true)
	if want := scheduling.NewResources(7, 1, 0); quota.Usage != want {
		t.Errorf("expected %v to be used, got %v", want, quota.Usage)
	}
	if want := scheduling.NewResources(5, 1, 0); quota.GuaranteedUsage != want {
		t.Errorf("expected %v of the guaranteed quota to be used, got %v", want, quota.GuaranteedUsage)
	}
}
