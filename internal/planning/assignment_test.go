package planning

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

const testParts = 3

func drawClaim(t *rapid.T, name string) scheduling.Claim {
	return scheduling.Claim{Priority: rapid.IntRange(0, 3).Draw(t, name+" level"), Guaranteed: rapid.Bool().Draw(t, name+" own"), Team: scheduling.TeamIndex(rapid.IntRange(0, 2).Draw(t, name+" team"))}
}

// drawHosts draws a fleet whose hosts hold no more than they have.
func drawHosts(t *rapid.T) []*MachineSummary {
	var hosts []*MachineSummary
	for i := range rapid.IntRange(0, 8).Draw(t, "hosts") {
		size := scheduling.NewResources(float64(rapid.SampledFrom([]int{4, 16}).Draw(t, "cpus")), 0, 64)
		h := &MachineSummary{ID: scheduling.MachineIndex(i), Type: fmt.Sprint(size.CPU), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot"),
			Partition: rapid.IntRange(0, testParts-1).Draw(t, "part"), Size: size, Free: size}
		for range rapid.IntRange(0, 6).Draw(t, "claims") {
			c := Usage{Claim: drawClaim(t, "held"), Size: scheduling.NewResources(float64(rapid.IntRange(1, 4).Draw(t, "held cpus")), 0, 1)}
			if h.Free.Contains(c.Size) {
				h.Free = h.Free.Minus(c.Size)
				h.Usages = append(h.Usages, c)
			}
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// room is how many tasks fit on the allowed hosts of each part at the most, when
// all that the claim evicts is stopped.
func (d *Assignment) room(hosts []*MachineSummary) []int {
	out := make([]int, testParts)
	for _, h := range hosts {
		if !d.Allowed(h) {
			continue
		}
		free := h.Free
		for _, c := range h.Usages {
			if d.Claim.CanPreempt(c.Claim) {
				free = free.Plus(c.Size)
			}
		}
		out[h.Partition] += free.CountFitting(d.TaskSize, 1000)
	}
	return out
}

func drawDealing(t *rapid.T) *Assignment {
	zone, spot := rapid.SampledFrom([]string{"", "a"}).Draw(t, "only zone"), rapid.Bool().Draw(t, "spot may be")
	return &Assignment{TaskSize: scheduling.NewResources(float64(rapid.IntRange(1, 5).Draw(t, "need")), 0, 1), Count: rapid.IntRange(1, 40).Draw(t, "count"),
		Claim: drawClaim(t, "own"), QuotaShort: rapid.Bool().Draw(t, "tight"), Forced: rapid.Bool().Draw(t, "must"),
		Allowed: func(h *MachineSummary) bool { return (zone == "" || h.Zone == zone) && (spot || !h.Spot) }}
}

// What is dealt never exceeds what was asked, goes only to parts with a host that
// the tasks may be on, evicts only what the claim strictly exceeds, and beyond the
// room that there is goes no further than the allowance and one record. Where the
// limit is tight it stays within the room. The same input gives the same plan.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, d := drawHosts(t), drawDealing(t)
		ahead := make([]int, testParts)
		for p := range ahead {
			ahead[p] = rapid.IntRange(-5, 10).Draw(t, "ahead")
		}
		room, allowance := d.room(hosts), append([]int(nil), ahead...)
		again, aheadAgain := CloneSummaries(hosts), append([]int(nil), ahead...)
		got := d.PerPartition(hosts, ahead)
		if other := d.PerPartition(again, aheadAgain); !cmp.Equal(got, other) {
			t.Fatalf("%v, and again %v", got, other)
		}
		sum := 0
		for p, n := range got {
			sum += n
			most := room[p]
			if d.Forced {
				most = max(most, d.Count)
			}
			if !d.QuotaShort {
				most += max(allowance[p], 0) + MinTasksPerPartition
			}
			if n > most || n > 0 && !partitionAllows(hosts, p, d.Allowed) {
				t.Fatalf("part %d with room for %d is dealt %d", p, room[p], n)
			}
		}
		if d.Forced && sum == 0 {
			for p := range got {
				if partitionAllows(hosts, p, d.Allowed) {
					t.Fatal("tasks that must begin are not dealt")
				}
			}
		}
		if sum > d.Count {
			t.Fatalf("%d of %d tasks are dealt", sum, d.Count)
		}
		for _, h := range hosts {
			if !h.Free.Contains(scheduling.Resources{}) {
				t.Fatalf("host %d has %v left", h.ID, h.Free)
			}
		}
	})
}

// A group is dealt whole to one part that can hold it, or not at all, in which
// case nothing has changed; it is not refused where one part has free room.
func TestWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, d := drawHosts(t), drawDealing(t)
		d.Count = rapid.IntRange(1, 8).Draw(t, "members")
		for _, h := range hosts {
			h.sortVictimsFirst() // the order of claims is no trace
		}
		before, room := CloneSummaries(hosts), d.room(hosts)
		free := make([]int, testParts)
		for _, h := range hosts {
			if d.Allowed(h) {
				free[h.Partition] += h.Free.CountFitting(d.TaskSize, 1000)
			}
		}
		p, ok := d.OnePartition(hosts, testParts)
		switch {
		case ok && room[p] < d.Count:
			t.Fatalf("part %d has room for %d of %d", p, room[p], d.Count)
		case !ok && !cmp.Equal(before, CloneSummaries(hosts), cmp.AllowUnexported(MachineSummary{})):
			t.Fatal("a refused group leaves traces")
		case !ok:
			for p := range free {
				if free[p] >= d.Count {
					t.Fatalf("part %d has free room for the group", p)
				}
			}
		}
		for i, h := range hosts {
			for _, c := range before[i].Usages {
				if !d.Claim.CanPreempt(c.Claim) && !containsClaim(h.Usages, c) {
					t.Fatalf("%v evicts %v", d.Claim, c.Claim)
				}
			}
		}
	})
}

func containsClaim(list []Usage, c Usage) bool {
	for _, x := range list {
		if x == c {
			return true
		}
	}
	return false
}

// Squeezing stops no task of equal or higher work and no more than is lacking,
// and leaves nothing lacking that it could have got.
func TestSqueeze(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var from []QuotaUse
		for range rapid.IntRange(0, 6).Draw(t, "records") {
			running := rapid.IntRange(0, 5).Draw(t, "running")
			from = append(from, QuotaUse{Priority: rapid.IntRange(0, 3).Draw(t, "level"), Running: running,
				Allowed: running + rapid.IntRange(0, 5).Draw(t, "waiting"), TaskSize: scheduling.NewResources(float64(rapid.IntRange(1, 3).Draw(t, "cpus")), 0, 1), Fixed: rapid.Bool().Draw(t, "fixed")})
		}
		level, lack := rapid.IntRange(0, 3).Draw(t, "own level"), scheduling.NewResources(float64(rapid.IntRange(0, 20).Draw(t, "lack")), 0, 0)
		rest, largest, more := lack.CPU, int64(0), int64(0)
		for i, may := range Throttle(from, level, lack) {
			s := from[i]
			if may < 0 {
				may = s.Allowed
			}
			if may > s.Allowed || may < s.Running && s.Priority >= level {
				t.Fatalf("%+v may run %d for level %d", s, may, level)
			}
			rest -= s.TaskSize.CPU * int64(s.Allowed-may)
			largest = max(largest, s.TaskSize.CPU)
			if s.Priority < level {
				more += s.TaskSize.CPU * int64(may)
			} else if !s.Fixed {
				more += s.TaskSize.CPU * int64(max(0, may-s.Running))
			}
		}
		if rest <= -max(largest, 1) || rest > 0 && more > 0 {
			t.Fatalf("of %d, %d is still lacking; %d more could stand back", lack.CPU, rest, more)
		}
	})
}

// Whatever small work keeps coming, every job begins and ends: once it is time to
// begin it goes before all others, and once it has waited too long it does so in
// its turn, which comes in every span of twenty seconds and leaves most of them to
// others.
func TestNothingWaitsForEver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) *JobOrder {
			return &JobOrder{DeadlineS: rapid.Float64Range(1, 500).Draw(t, name+" deadline"), EstimateS: rapid.Float64Range(1, 200).Draw(t, name+" estimate"),
				RemainingWork: rapid.Float64Range(1, 1e6).Draw(t, name+" left"), Started: rapid.Bool().Draw(t, name+" begun"), AgeS: rapid.Float64Range(0, 60).Draw(t, name+" age")}
		}
		old, young := draw("old"), draw("young")
		young.Started = true
		old.Started, old.OverdueTurn, old.AgeS = true, true, waitFactor*old.DeadlineS+startWithinS+1
		if old.Urgency().Compare(young.Urgency()) >= 0 {
			t.Fatalf("%+v still stands back behind %+v", old, young)
		}
		old.Started, old.AgeS = false, forceStartAfterS+1
		if old.Urgency().Compare(young.Urgency()) >= 0 {
			t.Fatalf("%+v has not begun and stands back behind %+v", old, young)
		}
		from, turns := rapid.Int64Range(0, 1<<40).Draw(t, "from"), 0
		for i := range int64(20) {
			if IsOverdueTurn(from + i) {
				turns++
			}
		}
		if turns == 0 || turns > 10 {
			t.Fatalf("%d turns in 20 seconds", turns)
		}
	})
}

// No machine is rented of a type, zone or kind that no want allows, what is
// planned and what is there hold what is asked for where an offer can, and the
// same input gives the same plan.
func TestFleet(t *testing.T) {
	offers := []PricedOffer{
		{Offer: Offer{Type: "4000", Zone: "a"}, Size: scheduling.NewResources(4, 0, 64), Price: 0.4, BootS: 50},
		{Offer: Offer{Type: "16000", Zone: "a"}, Size: scheduling.NewResources(16, 0, 64), Price: 1, BootS: 25},
		{Offer: Offer{Type: "16000", Zone: "b", Spot: true}, Size: scheduling.NewResources(16, 0, 64), Price: 0.3, BootS: 25},
	}
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		zone, spot := rapid.SampledFrom([]string{"", "a", "c"}).Draw(t, "only zone"), rapid.Bool().Draw(t, "spot may be")
		w := Demand{Class: "x", TaskSize: scheduling.NewResources(float64(rapid.IntRange(1, 4).Draw(t, "need")), 0, 1), Count: rapid.IntRange(1, 60).Draw(t, "count"), AllOrNothing: true,
			Allows: func(o Offer) bool { return (zone == "" || o.Zone == zone) && (spot || !o.Spot) }}
		plan := func() *ScalingPlan {
			f := &ScalingPlan{Machines: CloneSummaries(hosts), Offers: offers, RunningByClass: map[string]int{}, Launches: map[Offer]int{}}
			f.Place(w)
			return f
		}
		f := plan()
		if d := cmp.Diff(f.Launches, plan().Launches); d != "" {
			t.Fatal(d)
		}
		room := 0
		for _, h := range hosts {
			if w.on(h) {
				room += h.Free.CountFitting(w.TaskSize, w.Count)
			}
		}
		rented := 0
		for o, n := range f.Launches {
			if !w.Allows(o) {
				t.Fatalf("%d of %+v are rented", n, o)
			}
			for _, x := range offers {
				if x.Offer == o {
					rented += n * x.Size.CountFitting(w.TaskSize, 1000)
				}
			}
		}
		if f.Shortage != (room < w.Count) || zone != "c" && room+rented < w.Count || room >= w.Count && rented > 0 {
			t.Fatalf("room for %d, rented for %d, asked %d, unmet %v", room, rented, w.Count, f.Shortage)
		}
	})
}

// Only what has been free for a whole window counts as surplus.
func TestSurplus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s FreeHistory
		var at []float64
		var free []int64
		now := 0.0
		for range 30 {
			now += rapid.Float64Range(0.1, 3).Draw(t, "step")
			at, free = append(at, now), append(free, rapid.Int64Range(-5, 50).Draw(t, "free"))
			least, ok := s.Add(now, free[len(free)-1], 10)
			for i := range at {
				if now-at[i] <= 10 && free[i] < least {
					t.Fatalf("%d was free at %v, %d is the least at %v", free[i], at[i], least, now)
				}
			}
			if ok && now-at[0] < 9 {
				t.Fatalf("surplus after %v", now-at[0])
			}
		}
	})
}

// fleetOf is a fleet of n hosts of two types, a tenth with room, all running
// arrays.
func fleetOf(n int) []*MachineSummary {
	hosts := make([]*MachineSummary, n)
	for i := range hosts {
		size := scheduling.NewResources(float64(4+12*(i%2)), 0, 64)
		h := &MachineSummary{ID: scheduling.MachineIndex(i), Type: fmt.Sprint(i % 2), Zone: "a", Spot: i%3 == 0, Partition: i % 5, Size: size, Free: size}
		for h.Free.CPU > 0 && i%10 != 0 {
			h.Free = h.Free.Minus(scheduling.NewResources(2, 0, 1))
			h.Usages = append(h.Usages, Usage{Claim: scheduling.Claim{Priority: 1}, Size: scheduling.NewResources(2, 0, 1)})
		}
		hosts[i] = h
	}
	return hosts
}

// BenchmarkSpread deals an array and a service to fleets of several sizes.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			hosts := fleetOf(n)
			for b.Loop() {
				trial := CloneSummaries(hosts)
				d := Assignment{TaskSize: scheduling.NewResources(2, 0, 4), Count: 40, Claim: scheduling.Claim{Priority: 1}, Allowed: func(h *MachineSummary) bool { return !h.Booting }}
				d.PerPartition(trial, make([]int, 5))
				d.Count, d.Claim.Priority = 1, 2
				d.OnePartition(trial, 5)
			}
		})
	}
}

// Many like services that come apart are planned for as if each were looked at by
// itself: in bulk, larger machines would be chosen, which come up later.
func TestServicesApart(t *testing.T) {
	offers := []PricedOffer{
		{Offer: Offer{Type: "small", Zone: "a"}, Size: scheduling.NewResources(4, 0, 64), Price: 0.3, BootS: 25},
		{Offer: Offer{Type: "large", Zone: "a"}, Size: scheduling.NewResources(16, 0, 64), Price: 1, BootS: 50},
	}
	rapid.Check(t, func(t *rapid.T) {
		hosts, n := drawHosts(t), rapid.IntRange(2, 40).Draw(t, "services")
		like := rapid.IntRange(0, 100).Draw(t, "like")
		w := Demand{Class: "x", TaskSize: scheduling.NewResources(float64(rapid.IntRange(1, 4).Draw(t, "need")), 0, 1), Count: 1, AllOrNothing: true,
			Allows: func(Offer) bool { return true }}
		fleet := func() *ScalingPlan {
			return &ScalingPlan{Machines: CloneSummaries(hosts), Offers: offers, RunningByClass: map[string]int{"x": like}, Launches: map[Offer]int{}}
		}
		apart, together := fleet(), fleet()
		for range n {
			apart.Place(w)
		}
		w.Groups = n
		together.Place(w)
		if d := cmp.Diff(apart.Launches, together.Launches); d != "" {
			t.Fatal(d)
		}
	})
}
