package autoscaler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

const (
	// maxMachinesPerLaunch limits the machines that one call requests of an offer. The rest is
	// planned again once it is known how many were launched.
	maxMachinesPerLaunch = 50
	// minLaunchBackoff and maxLaunchBackoff bound the time for which an offer with too little
	// capacity is not requested again. The time doubles with each launch that is not filled.
	minLaunchBackoff = 5 * time.Second
	maxLaunchBackoff = 40 * time.Second
	// launchRetryDelay is the backoff after a call that failed for another reason, which says
	// nothing about the capacity.
	launchRetryDelay = 3 * time.Second
)

// launch requests machines from the cloud, unless a request for the same offer is pending. The
// idempotency key is never reused, since an epoch never occurs again.
func (a *Autoscaler) launch(offer planning.Offer, count int) {
	if a.term.pendingLaunches[offer] > 0 {
		return
	}
	a.term.launchRequestCount++
	a.term.pendingLaunches[offer] = count
	epoch, requestedAt := a.epoch(), a.Loop.Now()
	request := wire.LaunchRequest{
		IdempotencyKey: fmt.Sprintf("r-%d-%d", epoch, a.term.launchRequestCount),
		Type:           offer.Type, Zone: offer.Zone, Spot: offer.Spot, Count: count,
	}
	queued := a.queueCall(func(ctx context.Context) {
		names, err := a.Cloud.Launch(ctx, request)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) && !errors.Is(err, cloud.ErrRefused) {
			names, err = a.Cloud.Launch(ctx, request) // the outcome is unknown, and the key makes a retry safe
		}
		a.Loop.Enqueue(func() {
			if a.epoch() == epoch {
				a.handleLaunchResult(launchResult{offer: offer, requestedCount: count, launchedAt: requestedAt, machineNames: names, err: err})
			}
		})
	})
	if !queued {
		a.handleLaunchResult(launchResult{offer: offer, requestedCount: count, err: errQueueFull})
	}
}

// errQueueFull is the error of a call to the cloud that was not made.
var errQueueFull = errors.New("queue of cloud calls is full")

// launchResult is the result of a launch request.
type launchResult struct {
	offer          planning.Offer
	requestedCount int
	launchedAt     time.Time
	machineNames   []string
	err            error
}

// handleLaunchResult processes the result of a launch request of this term.
func (a *Autoscaler) handleLaunchResult(result launchResult) {
	offer := result.offer
	delete(a.term.pendingLaunches, offer)
	if result.err == nil {
		a.addInstances(offer, result.machineNames, result.launchedAt)
		a.Log.Info("instances launched", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot, "asked", result.requestedCount, "got", len(result.machineNames))
	}
	if result.err == nil && len(result.machineNames) == result.requestedCount {
		delete(a.term.backoffDelays, offer)
		return
	}
	a.backOff(offer, result.err)
	a.Log.Debug("launch not filled", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot, "asked", result.requestedCount, "err", result.err)
}

// addInstances records machines that the cloud has launched.
func (a *Autoscaler) addInstances(offer planning.Offer, names []string, launchedAt time.Time) {
	for _, name := range names {
		if a.term.instances[name] == nil {
			a.term.instances[name] = &instance{machineType: offer.Type, zone: offer.Zone, spot: offer.Spot, launchedAt: launchedAt}
		}
	}
}

// backOff prevents further requests for an offer for some time. Other offers are not affected,
// since each machine type has a separate capacity per zone, for on-demand and spot machines.
func (a *Autoscaler) backOff(offer planning.Offer, err error) {
	delay := min(max(2*a.term.backoffDelays[offer], minLaunchBackoff), maxLaunchBackoff)
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		delay = launchRetryDelay
	}
	a.term.backoffDelays[offer] = delay
	a.term.backoffUntil[offer] = a.Loop.Now().Add(delay)
}

// availableOffers returns the offers that may be requested now, in a deterministic order.
func (a *Autoscaler) availableOffers() []planning.PricedOffer {
	var all []planning.PricedOffer
	for _, machineType := range a.Machines.Types() {
		for _, zone := range machineType.Zones {
			if a.term.isolatedZones[zone] {
				continue // new machines there could not be reached either
			}
			all = append(all, a.availableOffersIn(machineType, zone)...)
		}
	}
	slices.SortFunc(all, func(x, y planning.PricedOffer) int {
		return cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Zone, y.Zone), compareOnDemandFirst(x.Offer, y.Offer))
	})
	return all
}

// availableOffersIn returns the offers of a machine type in a zone that may be requested now.
func (a *Autoscaler) availableOffersIn(machineType *wire.MachineType, zone string) []planning.PricedOffer {
	var offers []planning.PricedOffer
	for _, spot := range []bool{false, true} {
		offer := planning.Offer{Type: machineType.Name, Zone: zone, Spot: spot}
		if spot && !a.Operator.AllowSpot || a.Loop.Now().Before(a.term.backoffUntil[offer]) {
			continue
		}
		price := machineType.Price
		if spot {
			price = machineType.SpotPrice
		}
		offers = append(offers, planning.PricedOffer{Offer: offer, Size: machineTypeSize(machineType), Price: price, BootS: machineType.BootS})
	}
	return offers
}

// compareOnDemandFirst compares two offers, ordering on-demand machines before spot instances.
func compareOnDemandFirst(x, y planning.Offer) int {
	switch {
	case x.Spot == y.Spot:
		return 0
	case y.Spot:
		return -1
	default:
		return 1
	}
}

// machineTypeSize returns the resources of a machine of a type.
func machineTypeSize(machineType *wire.MachineType) scheduling.Resources {
	return scheduling.NewResources(machineType.CPUs, machineType.GPUs, machineType.RAMGB)
}
