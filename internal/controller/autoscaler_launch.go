package controller

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// launchInstances asks the cloud for machines. The name is unique for all time: the
// leader's term never comes again.
func (c *autoscaler) launchInstances(o planning.Offer, n int) {
	if c.leadership.launching[o] > 0 {
		return
	}
	c.leadership.launchRequests++
	epoch := c.leadership.epoch
	req := wire.LaunchRequest{IdempotencyKey: fmt.Sprintf("r-%d-%d", epoch, c.leadership.launchRequests), Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: n}
	c.leadership.launching[o] = n
	started := c.now
	c.queueCloudCall(func() {
		names, err := c.cloudClient.Launch(c.ctx, req)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) && !errors.Is(err, cloud.ErrRefused) {
			names, err = c.cloudClient.Launch(c.ctx, req) // unanswered: the same name rents nothing twice
		}
		c.enqueue(priorityWorkers, func() {
			if c.leadership.epoch != epoch {
				return
			}
			delete(c.leadership.launching, o)
			if err == nil {
				for _, name := range names {
					if c.leadership.instances[name] == nil {
						c.leadership.instances[name] = &instance{machineType: o.Type, zone: o.Zone, spot: o.Spot, launchedAt: started}
					}
				}
				c.log.Info("machines rented", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", n, "got", len(names))
			}
			if err == nil && len(names) == n {
				delete(c.leadership.backoff, o)
				return
			}
			// Each type, zone and kind is refused apart from the others.
			d := min(max(2*c.leadership.backoff[o], 5*time.Second), 40*time.Second)
			if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
				d = 3 * time.Second
			}
			c.leadership.backoff[o], c.leadership.refusedUntil[o] = d, c.now.Add(d)
			c.log.Debug("rental not filled", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", n, "err", err)
		})
	})
}

func (c *leader) offers() []planning.PricedOffer {
	var out []planning.PricedOffer
	for _, t := range c.machineTypes {
		for _, z := range t.Zones {
			if c.leadership.isolatedZones[z] {
				continue // what comes up there can't be reached either
			}
			for _, spot := range []bool{false, true} {
				if spot && !c.operator.Spot {
					continue
				}
				o := planning.Offer{Type: t.Name, Zone: z, Spot: spot}
				if c.now.Before(c.leadership.refusedUntil[o]) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, planning.PricedOffer{Offer: o, Size: scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB), Price: price, BootS: t.BootS})
			}
		}
	}
	slices.SortFunc(out, func(x, y planning.PricedOffer) int {
		return cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Zone, y.Zone), compareBool(x.Spot, y.Spot))
	})
	return out
}
