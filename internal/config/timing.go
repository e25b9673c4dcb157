package config

import "time"

// clockDrift is the maximum relative rate error of a machine's monotonic clock.
const clockDrift = 0.0005

const (
	// maxLeaseMargin is the maximum safety margin for messages in transit and late timers.
	maxLeaseMargin = 1500 * time.Millisecond
	// leaseMarginDivisor limits the margin to a sixth of the difference between the
	// cancellation deadline and the lease duration.
	leaseMarginDivisor = 6
)

// leaseMargin returns the safety margin for messages in transit and late timers. If the
// cancellation deadline is not much longer than the lease, the margin is smaller than
// maxLeaseMargin.
func leaseMargin(cancelS, leaseS float64) time.Duration {
	return min(maxLeaseMargin, Seconds((cancelS-leaseS)/leaseMarginDivisor))
}

// Seconds converts a setting in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LeaseExpiry returns the time after which all tasks of an unreachable worker are guaranteed
// to have ended, measured on any machine's clock from the last response that may have renewed
// the worker's lease.
func LeaseExpiry(cancelS, leaseS float64) time.Duration {
	return Seconds(leaseS*(1+2*clockDrift)) + leaseMargin(cancelS, leaseS)
}

// MaxStaleness returns how long the owner of a partition may answer heartbeats after the
// start of its last successful read of the key-value store. Immediately after that read,
// another controller may have confirmed a cancellation to a user. All tasks of the job must
// then end within cancelS, and the tasks of an unreachable worker may run for one full lease
// more.
func MaxStaleness(cancelS, leaseS float64) time.Duration {
	return Seconds(cancelS*(1-2*clockDrift)) - LeaseExpiry(cancelS, leaseS) - leaseMargin(cancelS, leaseS)
}
