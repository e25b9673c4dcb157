package autoscaler

import (
	"context"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/wire"
)

const (
	// listRateShare is the share of the cloud's rate limit that reading the instance list may
	// use. A list of many machines takes one call per page, which must not delay launches.
	listRateShare = 0.15
	// minListInterval is the minimum time between two reads of the instance list.
	minListInterval = 2 * time.Second
	// outageThreshold is the time for which reading the instance list must fail before it is
	// reported as an outage. Single reads also fail when the rate limit is exceeded.
	outageThreshold = 10 * time.Second
	// listLagMargin is added to twice the lag of the instance list. An instance that is still
	// missing from the list after that time does not exist.
	listLagMargin = 10 * time.Second
)

// instance describes a machine that the cloud has launched, as far as the leader knows.
type instance struct {
	machineType, zone string
	spot              bool
	launchedAt        time.Time
	// hasReported is true if the machine has sent heartbeats to its owner. The owner last
	// reported the machine at lastReportedAt.
	hasReported    bool
	lastReportedAt time.Time
	// seenInList is true if an instance list of the cloud has contained the machine.
	seenInList bool
}

// ObserveMachine records that the owner of a machine's partition reports the machine.
func (a *Autoscaler) ObserveMachine(m Machine) {
	inst := a.term.instances[m.Name]
	if inst == nil {
		inst = &instance{machineType: m.Type, zone: m.Zone, spot: m.Spot, launchedAt: a.Loop.Now()}
		a.term.instances[m.Name] = inst
	}
	inst.hasReported, inst.lastReportedAt = true, a.Loop.Now()
}

// SyncWithCloud updates the machine types and, on the leader, the instances, and deletes
// tombstones that are no longer needed. It is called periodically and only starts what is due.
func (a *Autoscaler) SyncWithCloud() {
	a.syncMachineTypes()
	if !a.Cluster.Leadership().CanAct {
		return
	}
	a.syncInstances()
	a.deleteTombstones()
}

// syncInstances reads the cloud's instance list when it is due.
func (a *Autoscaler) syncInstances() {
	if a.term.listInFlight || a.Loop.Now().Sub(a.term.listRequestedAt) <= a.listInterval() {
		return
	}
	a.term.listInFlight, a.term.listRequestedAt = true, a.Loop.Now()
	epoch := a.epoch()
	queued := a.queueCall(func(ctx context.Context) {
		list, err := a.Cloud.List(ctx)
		a.Loop.Enqueue(func() {
			if a.epoch() == epoch {
				a.handleList(list, err)
			}
		})
	})
	if !queued {
		a.term.listInFlight = false
	}
}

// handleList processes the result of reading the instance list. The read was queued in this
// term.
func (a *Autoscaler) handleList(list []wire.Instance, err error) {
	a.term.listInFlight = false
	if err != nil {
		a.outage.ReportFailure(a.Loop.Now())
		a.Log.Debug("instance list failed", "err", err)
		return
	}
	a.outage.ReportSuccess(a.Loop.Now())
	a.applyInstanceList(list)
}

// listInterval returns the time between two reads of the instance list. It depends on the lag
// of the list and on the number of pages.
func (a *Autoscaler) listInterval() time.Duration {
	pages := 1 + len(a.term.instances)/cloud.MaxListPage
	return max(config.Seconds(a.CloudSettings.ListLagS/2), minListInterval, config.Seconds(float64(pages)/(listRateShare*a.CloudSettings.RPS)))
}

// applyInstanceList updates the instances from the cloud's list. It terminates machines that
// have failed and adds machines that this leader does not know yet.
func (a *Autoscaler) applyInstanceList(list []wire.Instance) {
	a.term.hasInstanceList = true
	var failed []string
	listed := map[string]bool{}
	for i := range list {
		item := &list[i]
		listed[item.Name] = true
		if m, known := a.Machines.Lookup(item.Name); known && m.Terminated || a.terminatingMachines[item.Name] {
			continue
		}
		if item.State == wire.InstanceFailed {
			failed = append(failed, item.Name)
			continue
		}
		a.addListedInstance(item)
	}
	a.dropUnlistedInstances(listed)
	a.terminate(failed)
}

// addListedInstance records an instance that the instance list contains.
func (a *Autoscaler) addListedInstance(item *wire.Instance) {
	inst := a.term.instances[item.Name]
	if inst == nil {
		inst = &instance{machineType: item.Type, zone: item.Zone, spot: item.Spot, launchedAt: a.Loop.Now().Add(-config.Seconds(item.AgeS))}
		a.term.instances[item.Name] = inst
	}
	inst.seenInList = true
}

// dropUnlistedInstances drops instances that the instance list does not contain. An instance
// that was in an earlier list has been taken back by the cloud. An instance that has been in no
// list after twice the lag does not exist. Machines that have sent heartbeats are kept.
func (a *Autoscaler) dropUnlistedInstances(listed map[string]bool) {
	maxListLag := config.Seconds(2 * a.CloudSettings.ListLagS)
	for name, inst := range a.term.instances {
		overdue := a.Loop.Now().Sub(inst.launchedAt) > maxListLag+listLagMargin
		if !listed[name] && (inst.seenInList || overdue) && !inst.hasReported {
			delete(a.term.instances, name)
		}
	}
}
