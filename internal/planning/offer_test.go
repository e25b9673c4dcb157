package planning

import (
	"testing"

	"eiderhitch/internal/scheduling"
)

// smallAndLarge are two offers of which the large one is cheaper if it is filled.
var smallAndLarge = []PricedOffer{
	{Offer: Offer{Type: "small"}, Size: scheduling.NewResources(4, 0, 16), Price: 0.4, BootS: 50},
	{Offer: Offer{Type: "large"}, Size: scheduling.NewResources(16, 0, 64), Price: 1, BootS: 50},
}

// The machines of the chosen offer hold the tasks, and none that holds more for less is
// passed over.
func TestCheapestOffer(t *testing.T) {
	for _, row := range []struct {
		name             string
		cpus             float64
		count, likely    int
		expectedMachines int
		expectedType     string
	}{
		{name: "one task", cpus: 2, count: 1, likely: 1, expectedMachines: 1, expectedType: "small"},
		{name: "two tasks fill a small machine", cpus: 2, count: 2, likely: 2, expectedMachines: 1, expectedType: "small"},
		{name: "one task, many likely", cpus: 2, count: 1, likely: 16, expectedMachines: 1, expectedType: "large"},
		{name: "many tasks", cpus: 2, count: 16, likely: 16, expectedMachines: 2, expectedType: "large"},
		{name: "a task that fits nowhere", cpus: 20, count: 1, likely: 1, expectedMachines: 0, expectedType: ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			offer, machines := CheapestOffer(smallAndLarge, scheduling.NewResources(row.cpus, 0, 1), row.count, row.likely, 100)
			if machines != row.expectedMachines || offer.Type != row.expectedType {
				t.Errorf("expected %d of type %q, got %d of type %q", row.expectedMachines, row.expectedType, machines, offer.Type)
			}
		})
	}
}
