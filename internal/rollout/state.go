package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// StateKey is the key of the state. A version that does not know levels takes the value for
// the holder of a leased key that it has no use for.
const StateKey = "e/level"

// Phase is a stage of an upgrade or of the way back.
type Phase string

const (
	// PhaseStable means that the level is in force, and no other one is on its way.
	PhaseStable Phase = "stable"
	// PhaseActive means that behaviour of the next level runs; what is stored stays as it was.
	PhaseActive Phase = "active"
	// PhaseReverting means that records are written, and rewritten, in the encoding of the level before.
	PhaseReverting Phase = "reverting"
	// PhaseClosed means that nobody may hold a leased key, so that no record of the level can
	// appear any more.
	PhaseClosed Phase = "closed"
)

// Request is what an operator asked for and the leader has not carried out yet.
type Request string

const (
	// NoRequest means that nothing was asked for.
	NoRequest Request = ""
	// RequestFinalize asks to make the active level final, to end a hold, or to stay at a
	// level that is being reverted.
	RequestFinalize Request = "finalize"
	// RequestAbort asks to revert to the level before, and to stay there.
	RequestAbort Request = "abort"
)

// State is the stored state of an upgrade. The zero value stands for a cluster that
// has never been upgraded in stages.
type State struct {
	// Level is the highest of which records may be stored. A controller that doesn't read
	// it must not serve.
	Level Level `json:"level"`
	Phase Phase `json:"phase"`
	// Epoch names the set of leased keys above the base level.
	Epoch uint64 `json:"epoch,omitempty"`
	// Held is set when an operator reverted: no level is activated until one asks for it.
	OnHold  bool    `json:"held,omitempty"`
	Request Request `json:"wish,omitempty"`
	// Since is when the phase began, in milliseconds since the epoch.
	PhaseStartedAt int64 `json:"since,omitempty"`
}

// InitialState is the state of a cluster without a stored one.
var InitialState = State{Level: BaseLevel, Phase: PhaseStable}

// ActiveLevel returns the level whose behaviour runs.
func (s State) ActiveLevel() Level {
	switch s.Phase {
	case PhaseActive:
		return s.Level + 1
	case PhaseReverting, PhaseClosed:
		return s.Level - 1
	case PhaseStable:
	}
	return s.Level
}

// WriteLevel returns the level in whose encoding records are written.
func (s State) WriteLevel() Level {
	if s.Phase == PhaseActive {
		return s.Level
	}
	return s.ActiveLevel()
}

// Admits tells whether a controller of a range may serve in this state.
func (s State) Admits(r LevelRange) bool {
	return r.Includes(s.Level) && r.Includes(s.WriteLevel())
}

// Encode returns the stored encoding.
func (s State) Encode() json.RawMessage { return encode(s) }

// DecodeState decodes what Encode returned. A state that makes no sense is an error: it was
// written by a version that knows more, or by hand.
func DecodeState(raw []byte) (State, error) {
	var s State
	if err := json.Unmarshal(raw, &s); err != nil {
		return State{}, fmt.Errorf("feature level: %w", err)
	}
	return s, s.validate()
}

func (s State) validate() error {
	switch s.Phase {
	case PhaseStable, PhaseActive:
		if s.Level < BaseLevel {
			return fmt.Errorf("feature level: %d is below %d", s.Level, BaseLevel)
		}
	case PhaseReverting, PhaseClosed:
		if s.Level <= BaseLevel {
			return fmt.Errorf("feature level: %d can't be %s", s.Level, s.Phase)
		}
	default:
		return fmt.Errorf("feature level: unknown phase %q", s.Phase)
	}
	if s.Level > BaseLevel && s.Epoch == 0 {
		return fmt.Errorf("feature level: %d without an epoch", s.Level)
	}
	return nil
}

// LeaseKeys are the leased keys: one for the owner of each partition and one for the leader.
type LeaseKeys struct{ prefix string }

// baseLeaseKeys are the keys that versions without levels use.
var baseLeaseKeys = LeaseKeys{prefix: "e/"}

// LeaseKeys returns the leased keys of this state. Above the base level they are others than an
// earlier version knows, and others in each epoch.
func (s State) LeaseKeys() LeaseKeys {
	if s.Level <= BaseLevel {
		return baseLeaseKeys
	}
	return LeaseKeys{prefix: "e/epoch/" + strconv.FormatUint(s.Epoch, 10) + "/"}
}

// Partition returns the key of a partition's owner.
func (k LeaseKeys) Partition(n int) string { return k.prefix + "part/" + strconv.Itoa(n) }

// Leader returns the key of the leader.
func (k LeaseKeys) Leader() string { return k.prefix + "leader" }

// all returns the keys of a cluster with that many partitions.
func (k LeaseKeys) list(partitions int) []string {
	keys := []string{k.Leader()}
	for n := range partitions {
		keys = append(keys, k.Partition(n))
	}
	return keys
}
