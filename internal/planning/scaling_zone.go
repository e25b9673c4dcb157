package planning

import "cmp"

// zoneCapacity describes what a zone has for a demand whose tasks must all be in the same zone.
type zoneCapacity struct {
	name string
	// room is the number of tasks that fit into the free resources of its machines.
	room int
	// hasOffer is set if a machine for the tasks can be launched there.
	hasOffer bool
}

// compare orders zones for a number of tasks: first those that have room for all of them, then those
// in which machines can be launched, the ones with more room first.
func (z zoneCapacity) compare(other zoneCapacity, tasks int) int {
	return cmp.Or(
		compareTrueFirst(z.room >= tasks, other.room >= tasks),
		compareTrueFirst(z.hasOffer, other.hasOffer),
		cmp.Compare(other.room, z.room),
		cmp.Compare(z.name, other.name))
}

// compareTrueFirst orders true before false.
func compareTrueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// chooseZone returns the zone in which the tasks of a demand are placed that start together in one
// zone. The free resources of all zones together say nothing about such a demand: a service whose
// replicas had room in two zones, but not in one, got no machines.
func (p *ScalingPlan) chooseZone(demand *Demand) string {
	tasks := demand.concurrentTasks()
	zones := map[string]*zoneCapacity{}
	zone := func(name string) *zoneCapacity {
		if zones[name] == nil {
			zones[name] = &zoneCapacity{name: name}
		}
		return zones[name]
	}
	for _, machine := range p.Machines {
		if demand.allowsMachine(machine) {
			zone(machine.Zone).room += machine.FreeResources.CountFitting(demand.TaskSize, tasks)
		}
	}
	for _, offer := range p.Offers {
		if demand.AllowsOffer(offer.Offer) && offer.Size.Contains(demand.TaskSize) {
			zone(offer.Zone).hasOffer = true
		}
	}
	best := zoneCapacity{}
	for _, candidate := range zones {
		if best.name == "" || candidate.compare(best, tasks) < 0 {
			best = *candidate
		}
	}
	return best.name
}

// offersInZone returns the demand's filter of offers, restricted to a zone.
func (d *Demand) offersInZone(zone string) OfferFilter {
	allowsOffer := d.AllowsOffer
	return func(offer Offer) bool { return offer.Zone == zone && allowsOffer(offer) }
}
