package config

import (
	"fmt"
	"os"
	"time"
)

// OperatorSettings is what operators may set beyond the platform's file.
type OperatorSettings struct {
	// IdleTimeoutFactor is how many of its boot times an unused machine is kept.
	IdleTimeoutFactor float64
	// Headroom is the room kept for services to come, in square roots of their number.
	Headroom float64
	// ClassHeadroom overrides Headroom for a class of jobs.
	ClassHeadroom map[string]float64
	// PreemptionDelay is how long array tasks look for free room before they preempt others.
	PreemptionDelay time.Duration
	// BootTimeoutFactor is after how many of its boot times a machine that is not up is returned.
	BootTimeoutFactor float64
	// LeaseTTL is how long leased keys, of partitions and the leader, outlive their holder.
	LeaseTTL time.Duration
	// Spot allows spot instances for the jobs that may use them.
	AllowSpot bool
	// EnableFeatureLevels has this controller register which feature levels it reads, and take
	// part in raising the level in force (docs/upgrades.md).
	EnableFeatureLevels bool
	// MaxFeatureLevel has this controller work as a version that reads no higher level; 0: as
	// high as it can.
	MaxFeatureLevel int
	// FinalizeAfter is the time without a restart of any controller after which an active
	// level becomes final; 0: only when an operator says so.
	FinalizeDelay time.Duration
	// RewriteShare is the share of the key-value store's changes a second that may go into
	// storing records in another encoding.
	RewriteShare float64
}

// DefaultOperatorSettings returns the settings that hold without a file.
func DefaultOperatorSettings() *OperatorSettings {
	return &OperatorSettings{
		IdleTimeoutFactor: 0.4,
		Headroom:          1,
		ClassHeadroom:     map[string]float64{},
		PreemptionDelay:   3 * time.Second,
		BootTimeoutFactor: 2.5,
		// The least that a process short of processor time renews safely.
		LeaseTTL:  4 * time.Second,
		AllowSpot: true,
		// What users notice nothing of: their writes go first, and are few.
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
