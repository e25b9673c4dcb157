package autoscaler

import (
	"context"

	"eiderhitch/internal/cloud"
)

// IsTerminating reports whether a machine is being terminated: nothing may be placed on it.
func (a *Autoscaler) IsTerminating(name string) bool { return a.terminating[name] }

// terminate terminates machines. Once the cloud has confirmed they are gone with all that
// was on them, which is stored for their partitions' owners to act on. One call is under
// way at a time, and the next takes all that have come up meanwhile: the cloud allows few
// calls, and a call for each machine had the last of forty dead ones wait for twenty
// seconds.
func (a *Autoscaler) terminate(names []string) {
	for _, name := range names {
		if !a.terminating[name] {
			a.terminating[name] = true
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

// terminated takes in the result of a call, and goes on with what has come up meanwhile.
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

// cancelTermination forgets that machines were to be terminated: if need be they are again.
func (a *Autoscaler) cancelTermination(names []string) {
	for _, name := range names {
		delete(a.terminating, name)
	}
}
