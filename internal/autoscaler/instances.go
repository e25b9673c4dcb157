package autoscaler

import (
	"context"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/config"
	"eiderhitch/internal/wire"
)

const (
	// listRateShare is the share of the cloud's calls that lists may take. A list of many
	// machines is many calls, which must not crowd out launches.
	listRateShare = 0.15
	// minListInterval is the least time between two lists.
	minListInterval = 2 * time.Second
	// outageThreshold is for how long lists fail until it is an outage: some are refused when
	// there are too many calls.
	outageThreshold = 10 * time.Second
	// listLagMargin is how much longer than the lag of two lists an instance may be
	// missing before it is taken not to exist.
	listLagMargin = 10 * time.Second
)

// instance is a machine that the cloud has given us, as far as the leader knows.
type instance struct {
	machineType, zone string
	spot              bool
	launchedAt        time.Time
	// reported: it has sent heartbeats to its owner, who told of it last at lastReportedAt.
	hasReported    bool
	lastReportedAt time.Time
	// listed: some list of the cloud has shown it.
	seenInList bool
}

// ObserveMachine notes that a machine's owner tells of it.
func (a *Autoscaler) ObserveMachine(m Machine) {
	inst := a.term.instances[m.Name]
	if inst == nil {
		inst = &instance{machineType: m.Type, zone: m.Zone, spot: m.Spot, launchedAt: a.Loop.Now()}
		a.term.instances[m.Name] = inst
	}
	inst.hasReported, inst.lastReportedAt = true, a.Loop.Now()
}

// SyncWithCloud keeps the machine types and the leader's list of instances current, and deletes
// tombstones that nobody needs any more.
func (a *Autoscaler) SyncWithCloud() {
	a.syncMachineTypes()
	if !a.Cluster.Leadership().CanAct {
		return
	}
	a.syncInstances()
	a.deleteTombstones()
}

// syncInstances reads the cloud's list when that is due.
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

// handleList takes in the result of a list of this term.
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

// listInterval is the time between two lists.
func (a *Autoscaler) listInterval() time.Duration {
	pages := 1 + len(a.term.instances)/cloud.MaxListPage
	return max(config.Seconds(a.CloudSettings.ListLagS/2), minListInterval, config.Seconds(float64(pages)/(listRateShare*a.CloudSettings.RPS)))
}

// applyInstanceList takes the cloud's list in: machines that failed are terminated, ones
// that nobody knows of are used.
func (a *Autoscaler) applyInstanceList(list []wire.Instance) {
	a.term.hasInstanceList = true
	var failed []string
	listed := map[string]bool{}
	for i := range list {
		item := &list[i]
		listed[item.Name] = true
		if m, known := a.Machines.Lookup(item.Name); known && m.Terminated || a.terminating[item.Name] {
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

// addListedInstance notes an instance that a list shows.
func (a *Autoscaler) addListedInstance(listed *wire.Instance) {
	inst := a.term.instances[listed.Name]
	if inst == nil {
		inst = &instance{machineType: listed.Type, zone: listed.Zone, spot: listed.Spot, launchedAt: a.Loop.Now().Add(-config.Seconds(listed.AgeS))}
		a.term.instances[listed.Name] = inst
	}
	inst.seenInList = true
}

// dropUnlistedInstances forgets instances that a list does not show. One that was listed and is no
// more has been taken back; one that never was after twice the lag does not exist.
func (a *Autoscaler) dropUnlistedInstances(listed map[string]bool) {
	maxListLag := config.Seconds(2 * a.CloudSettings.ListLagS)
	for name, inst := range a.term.instances {
		overdue := a.Loop.Now().Sub(inst.launchedAt) > maxListLag+listLagMargin
		if !listed[name] && (inst.seenInList || overdue) && !inst.hasReported {
			delete(a.term.instances, name)
		}
	}
}
