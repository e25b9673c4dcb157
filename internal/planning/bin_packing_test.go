package planning

import (
	"testing"

	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// Room and Lack agree: what Room grants never exceeds the limit, and one more
// task than it grants lacks something.
func TestLimitRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Quota{Limit: scheduling.Resources{CPU: rapid.Int64Range(1, 100_000).Draw(t, "max")}, Used: scheduling.Resources{CPU: rapid.Int64Range(0, 120_000).Draw(t, "used")}}
		need := scheduling.Resources{CPU: rapid.Int64Range(1, 9_000).Draw(t, "need")}
		n := l.Room(need, 1000)
		if n > 0 && l.Shortfall(need.Times(n)).CPU > 0 {
			t.Fatalf("%d tasks are granted and exceed the limit", n)
		}
		if n < 1000 && l.Shortfall(need.Times(n+1)).CPU == 0 {
			t.Fatalf("only %d tasks are granted", n)
		}
	})
	none := Quota{}
	if none.Room(scheduling.NewResources(1, 0, 0), 7) != 7 || none.GuaranteedRoom(scheduling.NewResources(1, 0, 0), 7) != 0 {
		t.Error("no limit grants all, no guarantee guarantees nothing")
	}
}

// Take never gives a host more than it has, nor more tasks than asked.
func TestTake(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []*MachineSummary
		for i := range rapid.IntRange(0, 5).Draw(t, "hosts") {
			size := scheduling.NewResources(float64(rapid.IntRange(0, 16).Draw(t, "cpu")), 0, 64)
			hosts = append(hosts, &MachineSummary{ID: scheduling.MachineIndex(i), Size: size, Free: size, Spot: rapid.Bool().Draw(t, "spot")})
		}
		need, n := scheduling.NewResources(float64(rapid.IntRange(1, 5).Draw(t, "need")), 0, 1), rapid.IntRange(0, 40).Draw(t, "n")
		fits, got := 0, 0
		for _, h := range hosts {
			fits += h.Free.CountFitting(need, n)
		}
		for h, k := range PlaceInFreeRoom(hosts, func(*MachineSummary) bool { return true }, need, n) {
			got += k
			if !h.Free.Contains(scheduling.Resources{}) || h.Free.Plus(need.Times(k)) != h.Size {
				t.Fatalf("%d tasks on %v leave %v", k, h.Size, h.Free)
			}
		}
		if got != min(fits, n) {
			t.Fatalf("%d of %d tasks placed, %d fit", got, n, fits)
		}
	})
}

// The chosen machines hold the tasks, and no offer with more for less is passed over.
func TestChoose(t *testing.T) {
	offers := []PricedOffer{
		{Offer: Offer{Type: "small"}, Size: scheduling.NewResources(4, 0, 16), Price: 0.4, BootS: 50},
		{Offer: Offer{Type: "large"}, Size: scheduling.NewResources(16, 0, 64), Price: 1, BootS: 50},
	}
	for _, x := range []struct {
		n, likely, count int
		typ              string
	}{{1, 1, 1, "small"}, {1, 16, 1, "large"}, {16, 16, 2, "large"}, {2, 2, 1, "small"}} {
		o, k := CheapestOffer(offers, scheduling.NewResources(2, 0, 1), x.n, x.likely, 100)
		if o.Type != x.typ || k != x.count {
			t.Errorf("%d tasks, %d likely: %d of %s", x.n, x.likely, k, o.Type)
		}
	}
	if _, k := CheapestOffer(offers, scheduling.NewResources(20, 0, 1), 1, 1, 100); k != 0 {
		t.Error("a task that fits nothing got a machine")
	}
}
