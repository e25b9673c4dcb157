package autoscaler

import (
	"context"
	"time"

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
			a.queuedTerminations = append(a.queuedTerminations, queuedTermination{name: name, sendBy: a.sendBy()})
		}
	}
	if a.terminationInFlight {
		return
	}
	batch, sendBy := a.nextTerminations()
	if len(batch) == 0 {
		return
	}
	a.terminationInFlight = a.queueCallUntil(sendBy, func(ctx context.Context) {
		err := a.Cloud.Terminate(ctx, batch)
		a.Loop.Enqueue(func() { a.handleTermination(batch, err) })
	})
	if !a.terminationInFlight {
		a.cancelTermination(batch)
	}
}

// queuedTermination is a machine that the next call terminates, if it is sent in time.
type queuedTermination struct {
	name string
	// sendBy is the time until which the decision may be acted on.
	sendBy time.Time
}

// nextTerminations removes the machines of the next call from the queue, and returns them and the time
// until which the call may be sent. Those that were decided on too long ago are no longer terminated.
func (a *Autoscaler) nextTerminations() (names []string, sendBy time.Time) {
	now := a.Loop.Now()
	for len(a.queuedTerminations) > 0 && len(names) < cloud.MaxTerminateNames {
		next := a.queuedTerminations[0]
		a.queuedTerminations = a.queuedTerminations[1:]
		switch {
		case !now.Before(next.sendBy):
			a.cancelTermination([]string{next.name})
			continue
		case len(names) == 0: // the queue is in the order of the decisions
			sendBy = next.sendBy
		}
		names = append(names, next.name)
	}
	return names, sendBy
}

// dropQueuedTerminations drops the machines that no call includes yet.
func (a *Autoscaler) dropQueuedTerminations() {
	for _, queued := range a.queuedTerminations {
		a.cancelTermination([]string{queued.name})
	}
	a.queuedTerminations = nil
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
