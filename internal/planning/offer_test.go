package planning

import (
	"testing"

	"eiderhitch/internal/scheduling"
)

// smallAndLarge holds two offers. The large one is cheaper per task if its machines are full.
var smallAndLarge = []PricedOffer{
	{Offer: Offer{Type: "small"}, Size: scheduling.NewResources(4, 0, 16), Price: 0.4, BootS: 50},
	{Offer: Offer{Type: "large"}, Size: scheduling.NewResources(16, 0, 64), Price: 1, BootS: 50},
}

// CheapestOffer chooses the offer with the lowest price per expected task, and enough machines for
// the tasks.
func TestCheapestOffer(t *testing.T) {
	for _, row := range []struct {
		name                 string
		cpus                 float64
		count, expectedTasks int
		expectedMachines     int
		expectedType         string
	}{
		{name: "one task", cpus: 2, count: 1, expectedTasks: 1, expectedMachines: 1, expectedType: "small"},
		{name: "two tasks fill a small machine", cpus: 2, count: 2, expectedTasks: 2, expectedMachines: 1, expectedType: "small"},
		{name: "one task, many expected", cpus: 2, count: 1, expectedTasks: 16, expectedMachines: 1, expectedType: "large"},
		{name: "many tasks", cpus: 2, count: 16, expectedTasks: 16, expectedMachines: 2, expectedType: "large"},
		{name: "a task that fits on no machine", cpus: 20, count: 1, expectedTasks: 1, expectedMachines: 0, expectedType: ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			offer, machines := CheapestOffer(smallAndLarge, scheduling.NewResources(row.cpus, 0, 1), row.count, row.expectedTasks, 100)
			if machines != row.expectedMachines || offer.Type != row.expectedType {
				t.Errorf("expected %d machines of type %q, got %d of type %q", row.expectedMachines, row.expectedType, machines, offer.Type)
			}
		})
	}
}
