package config

import (
	"fmt"
	"os"
	"time"
)

// Operator is what operators may set beyond the platform's file.
type Operator struct {
	// IdleBoots: an unused machine is kept for this many of its boot times.
	IdleBoots float64
	// Headroom: room kept for services to come, in square roots of their number.
	Headroom float64
	// ClassHeadroom overrides it for a class of jobs.
	ClassHeadroom map[string]float64
	// EvictAfter: array tasks look for free room this long before they stop others.
	EvictAfter time.Duration
	// BootPatience: a machine that is not up after this many boot times is returned.
	BootPatience float64
	// LeaseTTL: how long parts and the lead outlive their holder.
	LeaseTTL time.Duration
	// Spot: rent spot machines for jobs that may use them.
	Spot bool
	// FeatureLevels: this controller tells which levels it reads, and takes part in
	// raising the level in force (docs/upgrades.md).
	FeatureLevels bool
	// HighestLevel: this controller works as a version that reads no higher level;
	// 0: as high as it can.
	HighestLevel int
	// FinalizeAfter: an active level becomes final after this time without a restart of
	// any controller; 0: only by an operator's word.
	FinalizeAfter time.Duration
	// RewriteShare is the part of the state service's changes a second that may go into
	// storing records in another form.
	RewriteShare float64
}

// DefaultOperator are the settings without a file.
func DefaultOperator() *Operator {
	return &Operator{
		IdleBoots:     0.4,
		Headroom:      1,
		ClassHeadroom: map[string]float64{},
		EvictAfter:    3 * time.Second,
		BootPatience:  2.5,
		// The least that a process short of processor time renews safely.
		LeaseTTL: 4 * time.Second,
		Spot:     true,
		// What users notice nothing of: their writes go first, and are few.
		RewriteShare: 0.1,
	}
}

// LoadOperator reads an operators' settings file and checks it against the
// platform's settings.
func LoadOperator(path string, p *Platform) (*Operator, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	o, err := ParseOperator(string(raw), p)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return o, nil
}

// HeadroomOf is the headroom for a class.
func (o *Operator) HeadroomOf(class string) float64 {
	if v, ok := o.ClassHeadroom[class]; ok {
		return v
	}
	return o.Headroom
}
