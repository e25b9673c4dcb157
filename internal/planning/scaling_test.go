package planning

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// newScalingPlan returns a plan on copies of the machines.
func newScalingPlan(machines []*MachineSummary, offers []PricedOffer, running int) *ScalingPlan {
	return &ScalingPlan{
		Machines:            CloneSummaries(machines),
		Offers:              offers,
		RunningTasksByClass: map[string]int{"x": running},
		Launches:            map[Offer]int{},
	}
}

// No machine is launched of an offer that no demand allows. What there is and what is
// planned hold all that is asked for where an offer can, and nothing is launched for what
// there is room for. The same input gives the same plan.
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
			t.Fatalf("expected the same plan twice, got %s", difference)
		}
		room := 0
		for _, machine := range machines {
			if demand.allowsMachine(machine) {
				room += machine.FreeResources.CountFitting(demand.TaskSize, demand.Count)
			}
		}
		launched := launchedCapacity(t, plan, &demand)
		if plan.Shortage != (room < demand.Count) {
			t.Fatalf("room for %d of %d: got shortage %v", room, demand.Count, plan.Shortage)
		}
		if onlyZone != zoneWithoutOffers && room+launched < demand.Count {
			t.Fatalf("expected room for %d, got %d and launches for %d", demand.Count, room, launched)
		}
		if room >= demand.Count && launched > 0 {
			t.Fatalf("room for %d of %d: expected no launches, got some for %d", room, demand.Count, launched)
		}
	})
}

// launchedCapacity returns for how many tasks machines are launched, all of which the demand
// has to allow.
func launchedCapacity(t *rapid.T, plan *ScalingPlan, demand *Demand) int {
	t.Helper()
	room := 0
	for offer, count := range plan.Launches {
		if !demand.AllowsOffer(offer) {
			t.Fatalf("expected no launches of %+v, got %d", offer, count)
		}
		for _, priced := range plan.Offers {
			if priced.Offer == offer {
				room += count * priced.Size.CountFitting(demand.TaskSize, unlimited)
			}
		}
	}
	return room
}

// Many similar services that arrive one by one are planned for as if each were placed by
// itself: for all at once larger machines would be chosen, which take longer to boot.
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
			t.Fatalf("expected the same launches as one by one, got %s", difference)
		}
	})
}

// Machines that are up too late for an array's deadline are launched for a part of it
// only, and only if there are none of the kind; spot instances are worth their price.
func TestPlaceLateArray(t *testing.T) {
	const tasks = 16
	size := scheduling.NewResources(1, 0, 1)
	onDemand, spot := Offer{Type: "on demand"}, Offer{Type: "spot", Spot: true}
	for _, row := range []struct {
		name     string
		slackS   float64
		machine  Offer // of which there is one, full
		allows   Offer
		expected int
	}{
		{name: "in time", slackS: 45, allows: onDemand, expected: tasks},
		{name: "late", slackS: 44, allows: onDemand, expected: tasks / lateTasksDivisor},
		{name: "late, and there is a machine", slackS: 44, machine: onDemand, allows: onDemand, expected: 0},
		{name: "in time, and there is a machine", slackS: 45, machine: onDemand, allows: onDemand, expected: tasks},
		{name: "late spot instances", slackS: 44, machine: spot, allows: spot, expected: tasks},
	} {
		t.Run(row.name, func(t *testing.T) {
			plan := newScalingPlan([]*MachineSummary{{Type: row.machine.Type, Spot: row.machine.Spot}}, []PricedOffer{
				{Offer: onDemand, Size: size, Price: 1, BootS: 25},
				{Offer: spot, Size: size, Price: 1, BootS: 25},
			}, 0)
			plan.Place(Demand{
				Class: "x", TaskSize: size, Count: tasks, EstimateS: 20, SlackS: row.slackS,
				AllowsOffer: func(offer Offer) bool { return offer == row.allows },
			})
			if got := plan.Launches[row.allows]; got != row.expected {
				t.Errorf("expected %d machines, got %d", row.expected, got)
			}
		})
	}
}

// A quarter of what runs of a class is counted on to share the machines launched for it.
func TestExpectedTasksFavorLargerMachines(t *testing.T) {
	for _, row := range []struct {
		name     string
		running  int
		expected string
	}{
		{"none run", 0, "small"},
		{"30 run, 7 are likely", 30, "small"},
		{"40 run, 10 are likely", 40, "large"},
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
