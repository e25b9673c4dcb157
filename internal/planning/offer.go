package planning

import (
	"math"

	"eiderhitch/internal/scheduling"
)

// Offer is a kind of machine that the cloud launches.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// OfferFilter tells whether tasks may run on machines of a kind.
type OfferFilter func(Offer) bool

// PricedOffer is an offer with its price and how long its machines take to boot.
type PricedOffer struct {
	Offer
	Size  scheduling.Resources
	Price float64
	// BootS is the boot time in seconds.
	BootS float64
}

// CheapestOffer returns the offer that serves count tasks of a size for the least money
// for each task, boot time included, and how many machines of it are needed; none if the
// task fits on no machine. likely is how many such tasks may share the machines before
// long: a large machine's price is spread over that many. bootAmortizationS is the time, in
// seconds, over which a machine's boot time is spread.
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
