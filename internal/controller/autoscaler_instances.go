package controller

import (
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// instance is a machine that the cloud has given us, as far as the leader knows.
type instance struct {
	machineType, zone string
	spot              bool
	launchedAt        time.Time
	reported          bool      // it has reported to its owner
	seenAt            time.Time // when its owner last told of it
	listed            bool
}

// listCallShare is the share of the cloud's calls that lists may take.
const listCallShare = 0.15

// syncCloud keeps the list of machines and the types current.
func (c *autoscaler) syncCloud() {
	if c.now.Sub(c.leadership.machineTypesFetchedAt) > time.Minute || len(c.machineTypes) == 0 && c.now.Sub(c.leadership.machineTypesFetchedAt) > 2*time.Second {
		if c.isLeader() || len(c.machineTypes) == 0 && c.replica.Loaded() {
			c.leadership.machineTypesFetchedAt = c.now
			c.queueCloudCall(c.fetchMachineTypes)
		}
	}
	if !c.isLeader() {
		return
	}
	// A list of many machines is many calls, which must not crowd out rentals.
	limits := &c.cfg.Settings.Cloud
	pages := 1 + len(c.leadership.instances)/cloud.MaxList
	every := max(config.Seconds(limits.ListLagS/2), 2*time.Second, config.Seconds(float64(pages)/(listCallShare*limits.RPS)))
	if !c.leadership.listInFlight && c.now.Sub(c.leadership.listedAt) > every {
		c.leadership.listInFlight, c.leadership.listedAt = true, c.now
		epoch := c.leadership.epoch
		if !c.queueCloudCall(func() {
			list, err := c.cloudClient.List(c.ctx)
			c.enqueue(priorityWorkers, func() {
				if c.leadership.epoch != epoch {
					return
				}
				c.leadership.listInFlight = false
				if err != nil {
					c.log.Debug("machine list", "err", err)
					return
				}
				c.applyInstanceList(list)
			})
		}) {
			c.leadership.listInFlight = false
		}
	}
	c.deleteTombstones()
}

// applyInstanceList takes the cloud's list in: machines that failed are gone, ones that
// nobody knows of are used.
func (c *autoscaler) applyInstanceList(list []wire.Instance) {
	c.leadership.listed = true
	var failed []string
	lag := config.Seconds(2 * c.cfg.Settings.Cloud.ListLagS)
	listed := map[string]bool{}
	for i := range list {
		x := &list[i]
		listed[x.Name] = true
		if m := c.machines[x.Name]; m != nil && m.terminated || c.terminating[x.Name] {
			continue
		}
		if x.State == wire.InstanceFailed {
			failed = append(failed, x.Name)
			continue
		}
		inst := c.leadership.instances[x.Name]
		if inst == nil {
			inst = &instance{machineType: x.Type, zone: x.Zone, spot: x.Spot, launchedAt: c.now.Add(-config.Seconds(x.AgeS))}
			c.leadership.instances[x.Name] = inst
		}
		inst.listed = true
	}
	for name, inst := range c.leadership.instances {
		// One that was listed and is no more has been taken; one that never was
		// after twice the lag does not exist.
		if !listed[name] && (inst.listed || c.now.Sub(inst.launchedAt) > lag+10*time.Second) && !inst.reported {
			delete(c.leadership.instances, name)
		}
	}
	c.terminateInstances(failed)
}

func (c *autoscaler) fetchMachineTypes() {
	list, err := c.cloudClient.MachineTypes(c.ctx)
	c.enqueue(priorityWorkers, func() {
		if err != nil || len(list) == 0 {
			c.log.Debug("machine types", "err", err)
			return
		}
		c.putMachineTypes(list)
		if !c.machineTypesStored {
			c.machineTypesStored = true
			c.SubmitWrite(&store.Write{Conditions: []wire.Condition{{Key: machineTypesKey}}, Changes: []wire.Change{{Put: machineTypesKey, Value: record.JSON(list)}}}, func(error) {})
		}
	})
}
