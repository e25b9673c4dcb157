package planning

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// newScalingPlan returns a plan for copies of the machines, with the given number of running tasks
// of class "x".
func newScalingPlan(machines []*MachineSummary, offers []PricedOffer, running int) *ScalingPlan {
	return &ScalingPlan{
		Machines:            CloneSummaries(machines),
		Offers:              offers,
		RunningTasksByClass: map[string]int{"x": running},
		Launches:            map[Offer]int{},
	}
}

// Place launches no machines of an offer that the demand doesn't allow, and none if the machines
// have capacity for all tasks. The machines and launches together hold all tasks if the demand
// allows an offer. The same input gives the same plan.
func TestPlaceLaunchesMissingCapacity(t *testing.T) {
	offers := []PricedOffer{
		{Offer: Offer{Type: "4000", Zone: "a"}, Size: scheduling.NewResources(4, 0, 64), Price: 0.4, BootS: 50},
		{Offer: Offer{Type: "16000", Zone: "a"}, Size: scheduling.NewResources(16, 0, 64), Price: 1, BootS: 25},
		{Offer: Offer{Type: "16000", Zone: "b", Spot: true}, Size: scheduling.NewResources(16, 0, 64), Price: 0.3, BootS: 25},
	}
	const zoneWithoutOffers = "c"
	rapid.Check(t, func(t *rapid.T) {
		machines := drawMachines(t)
		filter, onlyZone := drawOfferFilter(t, "a", zoneWithoutOffers)
		demand := Demand{
			Class: "x", TaskSize: drawCPUs(t, "task cpus", 1, 4), Count: rapid.IntRange(1, 60).Draw(t, "count"),
			AllOrNothing: true, AllowsOffer: filter,
		}
		plan, again := newScalingPlan(machines, offers, 0), newScalingPlan(machines, offers, 0)
		plan.Place(demand)
		again.Place(demand)
		if difference := cmp.Diff(plan.Launches, again.Launches); difference != "" {
			t.Fatalf("expected the same launches for the same input, got difference %s", difference)
		}
		capacity := 0
		for _, machine := range machines {
			if demand.allowsMachine(machine) {
				capacity += machine.FreeResources.CountFitting(demand.TaskSize, demand.Count)
			}
		}
		launched := launchedCapacity(t, plan, &demand)
		if plan.Shortage != (capacity < demand.Count) {
			t.Fatalf("capacity for %d of %d tasks: got shortage %v", capacity, demand.Count, plan.Shortage)
		}
		if onlyZone != zoneWithoutOffers && capacity+launched < demand.Count {
			t.Fatalf("expected capacity for %d tasks, got %d on machines and %d on launches", demand.Count, capacity, launched)
		}
		if capacity >= demand.Count && launched > 0 {
			t.Fatalf("capacity for %d of %d tasks: expected no launches, got some for %d tasks", capacity, demand.Count, launched)
		}
	})
}

// launchedCapacity returns how many tasks fit on the machines to launch. It fails the test if the
// demand doesn't allow one of their offers.
func launchedCapacity(t *rapid.T, plan *ScalingPlan, demand *Demand) int {
	t.Helper()
	capacity := 0
	for offer, count := range plan.Launches {
		if !demand.AllowsOffer(offer) {
			t.Fatalf("expected no launches of %+v, got %d", offer, count)
		}
		for _, priced := range plan.Offers {
			if priced.Offer == offer {
				capacity += count * priced.Size.CountFitting(demand.TaskSize, unlimited)
			}
		}
	}
	return capacity
}

// Similar services that are combined into one demand with a GroupCount get the same launches as
// services that are placed one by one. For all services at once, larger machines would be
// chosen, which take longer to boot.
func TestGroupedServicesMatchIndividualPlacement(t *testing.T) {
	offers := []PricedOffer{
		{Offer: Offer{Type: "small", Zone: "a"}, Size: scheduling.NewResources(4, 0, 64), Price: 0.3, BootS: 25},
		{Offer: Offer{Type: "large", Zone: "a"}, Size: scheduling.NewResources(16, 0, 64), Price: 1, BootS: 50},
	}
	rapid.Check(t, func(t *rapid.T) {
		machines, services := drawMachines(t), rapid.IntRange(2, 40).Draw(t, "services")
		running := rapid.IntRange(0, 100).Draw(t, "running")
		demand := Demand{Class: "x", TaskSize: drawCPUs(t, "task cpus", 1, 4), Count: 1, AllOrNothing: true, AllowsOffer: anyOffer}
		oneByOne, atOnce := newScalingPlan(machines, offers, running), newScalingPlan(machines, offers, running)
		for range services {
			oneByOne.Place(demand)
		}
		demand.GroupCount = services
		atOnce.Place(demand)
		if difference := cmp.Diff(oneByOne.Launches, atOnce.Launches); difference != "" {
			t.Fatalf("expected the same launches as for services placed one by one, got difference %s", difference)
		}
	})
}

// Machines that would be up too late for the deadline of an array are launched for a part of its
// tasks only. They are not launched while a machine that the array may use gets room when other tasks
// complete, unless the array is overdue; review/7 had a machine that was full of services for good.
// Spot instances are launched for all tasks.
func TestPlaceLateArray(t *testing.T) {
	const tasks = 16
	size := scheduling.NewResources(1, 0, 1)
	onDemand, spot := Offer{Type: "on demand"}, Offer{Type: "spot", Spot: true}
	// The machines are full: of services, of a task that completes, or of both.
	services := MachineSummary{Type: onDemand.Type, Size: size}
	array := MachineSummary{Type: onDemand.Type, Size: size, CompletingUsage: size}
	tooSmall := MachineSummary{Type: onDemand.Type, CompletingUsage: scheduling.NewResources(0.5, 0, 1)}
	spotArray := MachineSummary{Type: spot.Type, Spot: true, Size: size, CompletingUsage: size}
	empty := MachineSummary{Type: onDemand.Type, Size: size.Times(2), FreeResources: size.Times(2)}
	for _, row := range []struct {
		name     string
		slackS   float64
		overdue  bool
		machine  MachineSummary // the only machine
		allows   Offer
		expected int
		reason   WaitReason
	}{
		{name: "in time", slackS: 45, allows: onDemand, expected: tasks, reason: WaitsForLaunch},
		{name: "late", slackS: 44, allows: onDemand, expected: tasks / lateTasksDivisor, reason: WaitsForLaunch},
		{name: "late, beside an array", slackS: 44, machine: array, allows: onDemand, expected: 0, reason: WaitsForCompletion},
		{name: "late, beside services", slackS: 44, machine: services, allows: onDemand, expected: tasks / lateTasksDivisor, reason: WaitsForLaunch},
		{name: "late, beside an array on a machine that is too small", slackS: 44, machine: tooSmall, allows: onDemand, expected: tasks / lateTasksDivisor, reason: WaitsForLaunch},
		{name: "late, beside an array on a machine that is not allowed", slackS: 44, machine: spotArray, allows: onDemand, expected: tasks / lateTasksDivisor, reason: WaitsForLaunch},
		{name: "in time, beside an array", slackS: 45, machine: array, allows: onDemand, expected: tasks, reason: WaitsForLaunch},
		{name: "overdue, beside an array", slackS: -500, overdue: true, machine: array, allows: onDemand, expected: tasks / lateTasksDivisor, reason: WaitsForLaunch},
		{name: "overdue, with room for the share", slackS: -500, overdue: true, machine: empty, allows: onDemand, expected: 0, reason: WaitsForRoom},
		{name: "late, with room that the first tasks take", slackS: 44, machine: empty, allows: onDemand, expected: 0, reason: WaitsForCompletion},
		{name: "late spot instances", slackS: 44, machine: spotArray, allows: spot, expected: tasks, reason: WaitsForLaunch},
		{name: "no offer", slackS: 44, machine: services, expected: 0, reason: WaitsForOffer},
	} {
		t.Run(row.name, func(t *testing.T) {
			plan := newScalingPlan([]*MachineSummary{&row.machine}, []PricedOffer{
				{Offer: onDemand, Size: size, Price: 1, BootS: 25},
				{Offer: spot, Size: size, Price: 1, BootS: 25},
			}, 0)
			plan.Place(Demand{
				Class: "x", TaskSize: size, Count: tasks, EstimateS: 20, SlackS: row.slackS, Overdue: row.overdue,
				AllowsOffer: func(offer Offer) bool { return offer == row.allows },
			})
			if got := plan.Launches[row.allows]; got != row.expected {
				t.Errorf("expected launches of %d machines, got %d", row.expected, got)
			}
			if plan.Waits[row.reason] != tasks || !plan.Shortage {
				t.Errorf("expected a shortage, and that all tasks wait for reason %d; got %v, %v", row.reason, plan.Shortage, plan.Waits)
			}
		})
	}
}

// The launches for late arrays come to an end, however many there are and whatever becomes of the
// machines that are launched: each has a share of its tasks on machines, or waits for its turn.
func TestLaunchesForLateArraysAreBounded(t *testing.T) {
	size := scheduling.NewResources(1, 0, 1)
	offers := []PricedOffer{{Offer: Offer{Type: "on demand"}, Size: size.Times(4), Price: 1, BootS: 25}}
	rapid.Check(t, func(t *rapid.T) {
		overdue := rapid.Bool().Draw(t, "overdue")
		var demands []Demand
		share := 0
		for range rapid.IntRange(1, 10).Draw(t, "arrays") {
			count := rapid.IntRange(1, 60).Draw(t, "tasks")
			demands = append(demands, Demand{Class: "x", TaskSize: size, Count: count, EstimateS: 20, Overdue: overdue, AllowsOffer: anyOffer})
			share += divideRoundingUp(count, lateTasksDivisor)
		}
		var machines []*MachineSummary
		for {
			plan := newScalingPlan(machines, offers, 0)
			for _, demand := range demands {
				plan.Place(demand)
			}
			launched := len(plan.Machines) - len(machines)
			if launched == 0 {
				break
			}
			for _, planned := range plan.Machines[len(machines):] {
				machines = append(machines, &MachineSummary{Type: planned.Type, Size: planned.Size, FreeResources: planned.Size, Booting: true})
			}
		}
		if len(machines) > share {
			t.Fatalf("expected at most %d machines, one for each task of the arrays' shares, got %d", share, len(machines))
		}
	})
}

// If all tasks must start together in one zone, the machines and launches of one zone hold all of them,
// unless no zone with room or offers can: room in several zones doesn't add up.
func TestPlaceInOneZone(t *testing.T) {
	offerSize := scheduling.NewResources(4, 0, 64)
	rapid.Check(t, func(t *rapid.T) {
		machines := drawMachines(t)
		var offers []PricedOffer
		for _, zone := range []string{"a", "b"} {
			if rapid.Bool().Draw(t, "offer in "+zone) {
				offers = append(offers, PricedOffer{Offer: Offer{Type: "4000", Zone: zone}, Size: offerSize, Price: 1, BootS: 25})
			}
		}
		demand := Demand{
			Class: "x", TaskSize: drawCPUs(t, "task cpus", 1, 4), Count: rapid.IntRange(1, 30).Draw(t, "count"),
			AllOrNothing: true, SingleZone: true, AllowsOffer: anyOffer,
		}
		plan := newScalingPlan(machines, offers, 0)
		plan.Place(demand)
		capacity := map[string]int{}
		for _, machine := range machines {
			capacity[machine.Zone] += machine.FreeResources.CountFitting(demand.TaskSize, demand.Count)
		}
		hasRoom := max(capacity["a"], capacity["b"]) >= demand.Count
		for offer, count := range plan.Launches {
			capacity[offer.Zone] += count * offerSize.CountFitting(demand.TaskSize, unlimited)
		}
		if hasRoom && len(plan.Launches) > 0 {
			t.Fatalf("expected no launches beside a zone with room for all tasks, got %v", plan.Launches)
		}
		if len(offers) > 0 && max(capacity["a"], capacity["b"]) < demand.Count {
			t.Fatalf("expected room for %d tasks in one zone, got %v", demand.Count, capacity)
		}
	})
}

// A quarter of the running tasks of a class is expected to share the machines that are launched for
// the class.
func TestExpectedTasksFavorLargerMachines(t *testing.T) {
	for _, row := range []struct {
		name     string
		running  int
		expected string
	}{
		{"none run", 0, "small"},
		{"30 run, 7 are expected", 30, "small"},
		{"40 run, 10 are expected", 40, "large"},
	} {
		t.Run(row.name, func(t *testing.T) {
			plan := newScalingPlan(nil, smallAndLarge, row.running)
			plan.Place(Demand{Class: "x", TaskSize: scheduling.NewResources(1, 0, 1), Count: 1, AllOrNothing: true, AllowsOffer: anyOffer})
			if expected := map[Offer]int{{Type: row.expected}: 1}; !cmp.Equal(plan.Launches, expected) {
				t.Errorf("expected launches %v, got %v", expected, plan.Launches)
			}
		})
	}
}
