package config

import "time"

// drift bounds how far steady clocks of different machines drift apart.
const clockDrift = 0.0005

// leaseMargin covers messages under way and timers that fire late. Where a
// cancellation leaves little more than a lease, it is what can be had.
func leaseMargin(cancelS, leaseS float64) time.Duration {
	return min(1500*time.Millisecond, Seconds((cancelS-leaseS)/6))
}

// Seconds turns a settings' number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LeaseExpiry is how long after the last answer that could renew a worker's
// lease all its tasks are surely gone, on any machine's clock.
func LeaseExpiry(cancelS, leaseS float64) time.Duration {
	return Seconds(leaseS*(1+2*clockDrift)) + leaseMargin(cancelS, leaseS)
}

// MaxStaleness bounds how long an owner may answer reports after the start of its
// last successful read of the state service. Another controller may have told
// a user "cancelled" right after that read, and all tasks must be gone within
// cancelS of it, which for an unreachable worker means one whole lease later.
func MaxStaleness(cancelS, leaseS float64) time.Duration {
	return Seconds(cancelS*(1-2*clockDrift)) - LeaseExpiry(cancelS, leaseS) - leaseMargin(cancelS, leaseS)
}
