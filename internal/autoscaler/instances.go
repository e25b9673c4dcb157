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
	// outagePatience is for how long lists fail until it is an outage: some are refused when
	// there are too many calls.
	outagePatience = 10 * time.Second
	// listLagMargin is how much longer than the lag of two lists an instance may be
	// missing before it is taken not to exist.
	listLagMargin = 10 * time.Second
)

// instance is a machine that the cloud has given us, as far as the leader knows.
type instance struct {
	machineType, zone string
	spot              bool
	launchedAt        time.Time
	// reported: it has sent heartbeats to its owner, who told of it last at seenAt.
	reported bool
	seenAt   time.Time
	// listed: some list of the cloud has shown it.
	listed bool
}

// ObserveMachine notes that a machine's owner tells of it.
func (a *Autoscaler) ObserveMachine(m Machine) {
	inst := a.term.instances[m.Name]
	if inst == nil {
		inst = &instance{machineType: m.Type, zone: m.Zone, spot: m.Spot, launchedAt: a.Loop.Now()}
		a.term.instances[m.Name] = inst
	}
	inst.reported, inst.seenAt = true, a.Loop.Now()
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
	if a.term.listInFlight || a.Loop.Now().Sub(a.term.listedAt) <= a.listInterval() {
		return
	}
	a.term.listInFlight, a.term.listedAt = true, a.Loop.Now()
	epoch := a.epoch()
	queued := a.queueCall(func(ctx context.Context) {
		list, err := a.Cloud.List(ctx)
		a.Loop.Enqueue(func() {
			if a.epoch() == epoch {
				a.listReceived(list, err)
			}
		})
	})
	if !queued {
		a.term.listInFlight = false
	}
}

// listReceived takes in the result of a list of this term.
func (a *Autoscaler) listReceived(list []wire.Instance, err error) {
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
	a.term.listed = true
	var failed []string
	listed := map[string]bool{}
	for i := range list {
		x := &list[i]
		listed[x.Name] = true
		if m, known := a.Machines.Lookup(x.Name); known && m.Terminated || a.terminating[x.Name] {
			continue
		}
		if x.State == wire.InstanceFailed {
			failed = append(failed, x.Name)
			continue
		}
		a.addListed(x)
	}
	a.dropUnlisted(listed)
	a.terminate(failed)
}

// addListed notes an instance that a list shows.
func (a *Autoscaler) addListed(x *wire.Instance) {
	inst := a.term.instances[x.Name]
	if inst == nil {
		inst = &instance{machineType: x.Type, zone: x.Zone, spot: x.Spot, launchedAt: a.Loop.Now().Add(-config.Seconds(x.AgeS))}
		a.term.instances[x.Name] = inst
	}
	inst.listed = true
}

// dropUnlisted forgets instances that a list does not show. One that was listed and is no
// more has been taken back; one that never was after twice the lag does not exist.
func (a *Autoscaler) dropUnlisted(listed map[string]bool) {
	listLag := config.Seconds(2 * a.CloudSettings.ListLagS)
	for name, inst := range a.term.instances {
		overdue := a.Loop.Now().Sub(inst.launchedAt) > listLag+listLagMargin
		if !listed[name] && (inst.listed || overdue) && !inst.reported {
			delete(a.term.instances, name)
		}
	}
}
