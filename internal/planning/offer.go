package planning

import (
	"math"

	"eiderhitch/internal/scheduling"
)

// Offer identifies a kind of machine that the cloud can launch.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// OfferFilter reports whether tasks may run on machines of an offer.
type OfferFilter func(Offer) bool

// PricedOffer is an offer with the size, the price and the boot time of its machines.
type PricedOffer struct {
	Offer
	Size  scheduling.Resources
	Price float64
	// BootS is the boot time of a machine in seconds.
	BootS float64
}

// CheapestOffer returns the offer with the lowest price per task for count tasks of a size, and
// the number of its machines that they need. The number is zero if the task fits on no offered
// machine. expectedTasks is the number of such tasks that are expected to share the machines
// soon; the price of a large machine is spread over them. The price includes the boot time,
// spread over bootAmortizationS seconds.
func CheapestOffer(
	offers []PricedOffer, size scheduling.Resources, count, expectedTasks int, bootAmortizationS float64,
) (best PricedOffer, machines int) {
	bestCost := math.Inf(1)
	expectedTasks = max(expectedTasks, count)
	for _, offer := range offers {
		fitting := offer.Size.CountFitting(size, expectedTasks)
		if fitting == 0 {
			continue
		}
		expectedMachines := divideRoundingUp(expectedTasks, fitting)
		cost := offer.Price * float64(expectedMachines) / float64(expectedTasks) * (1 + offer.BootS/bootAmortizationS)
		if cost < bestCost {
			best, machines, bestCost = offer, divideRoundingUp(count, fitting), cost
		}
	}
	return best, machines
}

func divideRoundingUp(n, divisor int) int { return (n + divisor - 1) / divisor }
