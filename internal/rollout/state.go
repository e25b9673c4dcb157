package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"

	"eiderhitch/internal/wire"
)

// StateKey is the key of the stored state. Versions without feature levels read the value as the
// holder of a leased key, and ignore it.
const StateKey = "e/level"

// Phase is a phase of an upgrade or a revert.
type Phase string

const (
	// PhaseStable means that State.Level is final and the next level is not active.
	PhaseStable Phase = "stable"
	// PhaseActive means that the next level is active, while records are still written in the
	// encoding of State.Level.
	PhaseActive Phase = "active"
	// PhaseReverting means that records are written, and existing ones rewritten, in the
	// encoding of the previous level.
	PhaseReverting Phase = "reverting"
	// PhaseClosed means that no controller may hold a leased key, so that no more records can
	// be written in the encoding of State.Level.
	PhaseClosed Phase = "closed"
)

// Request is an operator's request that the leader has not carried out yet.
type Request string

const (
	// NoRequest means that there is no request.
	NoRequest Request = ""
	// RequestFinalize requests to make the active level final, to end a hold, or to cancel a
	// revert and stay at the level.
	RequestFinalize Request = "finalize"
	// RequestAbort requests to revert to the previous level and to stay there.
	RequestAbort Request = "abort"
)

// State is the stored state of an upgrade. A cluster without a stored state is in InitialState;
// the zero value is not a valid state.
type State struct {
	// Level is the highest level in whose encoding records may be stored. A controller that
	// does not support it must not serve.
	Level Level `json:"level"`
	Phase Phase `json:"phase"`
	// Epoch distinguishes the successive sets of leased keys above the base level. It never
	// decreases, and is 0 until the base level is left for the first time.
	Epoch uint64 `json:"epoch,omitempty"`
	// OnHold is set after an operator has aborted: no level is activated until an operator
	// requests RequestFinalize.
	OnHold  bool    `json:"held,omitempty"`
	Request Request `json:"wish,omitempty"`
	// PhaseStartedAtMS is the time at which the phase began, in milliseconds since the Unix
	// epoch.
	PhaseStartedAtMS int64 `json:"since,omitempty"`
}

// InitialState is the state of a cluster that has no stored state.
var InitialState = State{Level: BaseLevel, Phase: PhaseStable}

// ActiveLevel returns the level whose features are in use. Records are written in the encoding
// of WriteLevel.
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

// Admits reports whether a controller that supports the given levels may serve in this state.
func (s State) Admits(r LevelRange) bool {
	return r.Includes(s.Level) && r.Includes(s.WriteLevel())
}

// Encode returns the stored encoding.
func (s State) Encode() json.RawMessage { return encode(s) }

// DecodeState decodes and validates a state that Encode encoded. An invalid state was written by
// a later version or by hand.
func DecodeState(raw []byte) (State, error) {
	var s State
	if err := wire.Decode(raw, &s); err != nil {
		return State{}, fmt.Errorf("decode feature level state: %w", err)
	}
	return s, s.validate()
}

func (s State) validate() error {
	switch s.Phase {
	case PhaseStable, PhaseActive:
		if s.Level < BaseLevel {
			return fmt.Errorf("feature level state: level %d is below %d", s.Level, BaseLevel)
		}
	case PhaseReverting, PhaseClosed:
		if s.Level <= BaseLevel {
			return fmt.Errorf("feature level state: level %d can't be in phase %s", s.Level, s.Phase)
		}
	default:
		return fmt.Errorf("feature level state: unknown phase %q", s.Phase)
	}
	if s.Level > BaseLevel && s.Epoch == 0 {
		return fmt.Errorf("feature level state: level %d requires an epoch", s.Level)
	}
	return nil
}

// LeaseKeys names the leased keys: one for the owner of each partition and one for the leader.
type LeaseKeys struct{ prefix string }

// baseLeaseKeys are the keys that versions without feature levels use.
var baseLeaseKeys = LeaseKeys{prefix: "e/"}

// LeaseKeys returns the leased keys in this state. Above the base level, earlier versions do not
// know them, and they differ in each epoch.
func (s State) LeaseKeys() LeaseKeys {
	if s.Level <= BaseLevel {
		return baseLeaseKeys
	}
	return LeaseKeys{prefix: "e/epoch/" + strconv.FormatUint(s.Epoch, 10) + "/"}
}

// Partition returns the key of partition n's owner.
func (k LeaseKeys) Partition(n int) string { return k.prefix + "part/" + strconv.Itoa(n) }

// Leader returns the key of the leader.
func (k LeaseKeys) Leader() string { return k.prefix + "leader" }

// list returns the keys of a cluster with the given number of partitions.
func (k LeaseKeys) list(partitions int) []string {
	keys := []string{k.Leader()}
	for n := range partitions {
		keys = append(keys, k.Partition(n))
	}
	return keys
}
