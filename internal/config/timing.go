package config

import "time"

// clockDrift bounds how far steady clocks of different machines drift apart.
const clockDrift = 0.0005

const (
	// maxLeaseMargin covers messages under way and timers that fire late.
	maxLeaseMargin = 1500 * time.Millisecond
	// leaseMarginDivisor bounds the margin to a sixth of the time that a cancellation has
	// beyond a lease.
	leaseMarginDivisor = 6
)

// leaseMargin returns the margin for messages under way and late timers. Where a
// cancellation's time leaves little more than a lease, it is what can be had.
func leaseMargin(cancelS, leaseS float64) time.Duration {
	return min(maxLeaseMargin, Seconds((cancelS-leaseS)/leaseMarginDivisor))
}

// Seconds turns a setting's number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LeaseExpiry returns how long after the last answer that could renew a worker's lease all
// its tasks are surely gone, on any machine's clock.
func LeaseExpiry(cancelS, leaseS float64) time.Duration {
	return Seconds(leaseS*(1+2*clockDrift)) + leaseMargin(cancelS, leaseS)
}

// MaxStaleness returns how long the owner of a partition may answer heartbeats after the
// start of its last successful read of the key-value store. Another controller may have told
// a user "cancelled" right after that read, and all tasks must be gone within cancelS of it,
// which for an unreachable worker means one whole lease later.
func MaxStaleness(cancelS, leaseS float64) time.Duration {
	return Seconds(cancelS*(1-2*clockDrift)) - LeaseExpiry(cancelS, leaseS) - leaseMargin(cancelS, leaseS)
}
