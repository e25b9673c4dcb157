package config

import (
	"fmt"
	"os"
	"time"
)

// OperatorSettings are the operators' own settings, in addition to the platform's file.
type OperatorSettings struct {
	// IdleTimeoutFactor is the time after which an unused machine is released, as a
	// multiple of the boot time of its type.
	IdleTimeoutFactor float64
	// Headroom is the spare capacity kept for future services, as a multiple of the square
	// root of the number of running services of a class.
	Headroom float64
	// ClassHeadroom overrides Headroom by job class.
	ClassHeadroom map[string]float64
	// PreemptionDelay is how long array tasks wait for free capacity before they may preempt
	// other tasks.
	PreemptionDelay time.Duration
	// BootTimeoutFactor is the time after which a machine that has not come up is released,
	// as a multiple of the boot time of its type.
	BootTimeoutFactor float64
	// LeaseTTL is how long the leased keys of partition owners and the leader stay in the
	// key-value store after their holder stops renewing them.
	LeaseTTL time.Duration
	// AllowSpot allows spot instances for the jobs that may use them.
	AllowSpot bool
	// EnableFeatureLevels makes this controller register the feature levels that it can read
	// and take part in raising the cluster's level (docs/upgrades.md).
	EnableFeatureLevels bool
	// MaxFeatureLevel makes this controller behave like a version that can't read higher
	// levels. 0 means the highest level that it supports.
	MaxFeatureLevel int
	// FinalizeDelay is the time without a restart of any controller after which an active
	// level becomes final. 0 means only on an operator's request.
	FinalizeDelay time.Duration
	// RewriteShare is the fraction of the key-value store's limit of changes per second that
	// may be used to store records again in another encoding.
	RewriteShare float64
}

// DefaultOperatorSettings returns the settings used for everything that no file sets.
func DefaultOperatorSettings() *OperatorSettings {
	return &OperatorSettings{
		IdleTimeoutFactor: 0.4,
		Headroom:          1,
		ClassHeadroom:     map[string]float64{},
		PreemptionDelay:   3 * time.Second,
		BootTimeoutFactor: 2.5,
		// The shortest time within which a process that gets little CPU time renews its
		// leases reliably.
		LeaseTTL:  4 * time.Second,
		AllowSpot: true,
		// Users don't notice this share: their writes are few and have priority.
		RewriteShare: 0.1,
	}
}

// LoadOperatorSettings reads the operators' settings file at path and validates it against the
// platform's settings.
func LoadOperatorSettings(path string, platform *PlatformSettings) (*OperatorSettings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	operator, err := ParseOperatorSettings(string(raw), platform)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return operator, nil
}

// HeadroomForClass returns the headroom for a class of jobs.
func (o *OperatorSettings) HeadroomForClass(class string) float64 {
	if headroom, ok := o.ClassHeadroom[class]; ok {
		return headroom
	}
	return o.Headroom
}
