package autoscaler

import (
	"context"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	// machineTypesInterval is the time between two reads of the machine types by the
	// leader: prices change slowly.
	machineTypesInterval = time.Minute
	// machineTypesRetry is the time between two reads as long as no types are known:
	// without them no user's job can be accepted.
	machineTypesRetry = 2 * time.Second
)

// MarkMachineTypesStored notes that the machine types are in the key-value store.
func (a *Autoscaler) MarkMachineTypesStored() { a.machineTypesStored = true }

// syncMachineTypes reads the machine types when that is due. Who does not lead reads them
// only while it knows none.
func (a *Autoscaler) syncMachineTypes() {
	unknown := len(a.Machines.Types()) == 0
	age := a.Loop.Now().Sub(a.term.machineTypesRequestedAt)
	if age <= machineTypesInterval && !(unknown && age > machineTypesRetry) {
		return
	}
	if !a.Cluster.Leadership().CanAct && !(unknown && a.Cluster.HasLoadedRecords()) {
		return
	}
	a.term.machineTypesRequestedAt = a.Loop.Now()
	a.queueCall(a.fetchMachineTypes)
}

// fetchMachineTypes reads the machine types, and has them stored if they never were.
func (a *Autoscaler) fetchMachineTypes(ctx context.Context) {
	types, err := a.Cloud.MachineTypes(ctx)
	a.Loop.Enqueue(func() {
		if err != nil || len(types) == 0 {
			a.Log.Debug("machine types not read", "err", err)
			return
		}
		a.Machines.SetTypes(types)
		a.storeMachineTypes(types)
	})
}

// storeMachineTypes stores the machine types, unless they are stored. If that fails, so it
// does because another controller has stored them, or the next process does it.
func (a *Autoscaler) storeMachineTypes(types []wire.MachineType) {
	if a.machineTypesStored {
		return
	}
	a.machineTypesStored = true
	a.Writer.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{{Key: a.MachineTypesKey}},
		Changes:    []wire.Change{{Put: a.MachineTypesKey, Value: record.JSON(types)}},
	}, func(error) {})
}
