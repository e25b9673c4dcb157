package autoscaler

import (
	"context"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	// machineTypesInterval is the time after which the leader reads the machine types again.
	// Prices change slowly.
	machineTypesInterval = time.Minute
	// machineTypesRetryInterval is the time between two reads while no machine types are known. No
	// job can be accepted without them.
	machineTypesRetryInterval = 2 * time.Second
)

// MarkMachineTypesStored records that the machine types are in the key-value store, so that
// they are not written again.
func (a *Autoscaler) MarkMachineTypesStored() { a.machineTypesStored = true }

// syncMachineTypes reads the machine types from the cloud when they are due. A follower reads
// them only while it knows none.
func (a *Autoscaler) syncMachineTypes() {
	typesUnknown := len(a.Machines.Types()) == 0
	age := a.Loop.Now().Sub(a.term.machineTypesRequestedAt)
	if age <= machineTypesInterval && !(typesUnknown && age > machineTypesRetryInterval) {
		return
	}
	if !a.Cluster.Leadership().CanAct && !(typesUnknown && a.Cluster.HasLoadedRecords()) {
		return
	}
	a.term.machineTypesRequestedAt = a.Loop.Now()
	a.queueCall(a.fetchMachineTypes)
}

// fetchMachineTypes reads the machine types from the cloud, and stores them if they have never
// been stored.
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

// storeMachineTypes writes the machine types to the key-value store, unless they are already
// there. A failed write is not retried: either another controller has stored the types, or the
// next process to start does so.
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
