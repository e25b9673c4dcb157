package autoscaler

import (
	"context"

	"eiderhitch/internal/cloud"
)

// IsTerminating reports whether a machine is being terminated. No tasks may be placed on such a
// machine.
func (a *Autoscaler) IsTerminating(name string) bool { return a.terminatingMachines[name] }

// terminate queues machines for termination. Once the cloud has confirmed it, the machines and
// their tasks no longer exist, and tombstones are stored so that the owners of their partitions
// can act on it.
//
// Only one call is in flight at a time, and the next one includes all machines that have been
// queued meanwhile. The cloud's rate limit is low: with a call for each machine, the last of
// forty dead machines was terminated only after twenty seconds.
func (a *Autoscaler) terminate(names []string) {
	for _, name := range names {
		if !a.terminatingMachines[name] {
			a.terminatingMachines[name] = true
			a.queuedTerminations = append(a.queuedTerminations, name)
		}
	}
	if a.terminationInFlight || len(a.queuedTerminations) == 0 {
		return
	}
	batch := a.queuedTerminations[:min(len(a.queuedTerminations), cloud.MaxTerminateNames)]
	a.queuedTerminations = a.queuedTerminations[len(batch):]
	a.terminationInFlight = a.queueCall(func(ctx context.Context) {
		err := a.Cloud.Terminate(ctx, batch)
		a.Loop.Enqueue(func() { a.handleTermination(batch, err) })
	})
	if !a.terminationInFlight {
		a.cancelTermination(batch)
	}
}

// handleTermination processes the result of a call and terminates the machines that have been
// queued meanwhile.
func (a *Autoscaler) handleTermination(names []string, err error) {
	a.terminationInFlight = false
	if err != nil {
		a.Log.Debug("termination failed", "machines", len(names), "err", err)
		a.cancelTermination(names)
	} else {
		a.Log.Info("machines terminated", "machines", names)
		a.storeTombstones(names)
	}
	a.terminate(nil)
}

// cancelTermination no longer treats machines as being terminated. They are terminated again if
// the reason for it persists.
func (a *Autoscaler) cancelTermination(names []string) {
	for _, name := range names {
		delete(a.terminatingMachines, name)
	}
}
