package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// ClusterView is what a decision rests on, as one replica of the stored records shows it.
type ClusterView struct {
	Now time.Time
	// Members are the controllers that the settings name.
	Members []string
	// Controllers are those that are registered now, by name. One that is missing is
	// unknown: it may be down, or of a version without levels.
	Registrations map[string]StoredRegistration
	// Leading tells whether the controller that decides is the leader.
	IsLeader bool
	// Current tells whether the replica has all changes before the state's last one.
	IsUpToDate bool
	// NewerRecords counts the records whose encoding is of a level above State.Writes.
	NewerRecords int
	// UnreadableRecords counts the records that can't be decoded: they may be of any level.
	UnreadableRecords int
	PartitionCount    int
	// MaxTxnChanges is how many changes a transaction may have.
	MaxTxnChanges int
	// FinalizeAfter is the time without a restart after which an active level becomes
	// final by itself; 0: only an operator makes it final.
	FinalizeAfter time.Duration
}

// Step is a transition between states.
type Step string

const (
	// NoStep means that the state stays.
	NoStep Step = ""
	// StepActivate starts the behaviour of the next level.
	StepActivate Step = "activate"
	// StepDeactivate ends it, since a controller that doesn't know it has registered.
	StepDeactivate Step = "deactivate"
	// StepFinalize has records written in the next level's encoding and closes the leased keys
	// that versions before know.
	StepFinalize Step = "finalize"
	// StepHold ends an active level, or keeps the next one from being activated, since an
	// operator said so.
	StepHold Step = "hold"
	// StepResume ends a hold, or a revert.
	StepResume Step = "resume"
	// StepRevert begins to go back to the level before.
	StepRevert Step = "revert"
	// StepClose closes all leased keys, when no record of the level seems to be left.
	StepClose Step = "close"
	// StepReopen goes on with the revert: a record of the level was left after all.
	StepReopen Step = "reopen"
	// StepOpen completes the revert.
	StepOpen Step = "open"
)

// BlockerKind is a kind of reason why a step can't be taken.
type BlockerKind string

const (
	// BlockerMissingController means that a controller of the settings is not registered.
	BlockerMissingController BlockerKind = "missing"
	// BlockerUnsupportedLevel means that a controller does not read the level to come.
	BlockerUnsupportedLevel BlockerKind = "old"
	// BlockerUnlistedController means that a controller is registered that the settings don't name.
	BlockerUnlistedController BlockerKind = "foreign"
	// BlockerTxnLimit means that the step needs more changes than a transaction may have.
	BlockerTxnLimit BlockerKind = "limit"
	// BlockerNewerRecords means that records are still stored in an encoding above the one to come.
	BlockerNewerRecords BlockerKind = "records"
	// BlockerOperatorHold means that an operator reverted, and none has asked to go on.
	BlockerOperatorHold BlockerKind = "held"
	// BlockerUnreadableRecords means that records can't be decoded, so that their level is not known.
	BlockerUnreadableRecords BlockerKind = "unreadable"
)

// Blocker is a reason why the next step can't be taken.
type Blocker struct {
	Kind   BlockerKind `json:"kind"`
	Node   string      `json:"node,omitempty"`
	Detail string      `json:"detail"`
}

// String returns the reason in words.
func (b Blocker) String() string {
	if b.Node == "" {
		return b.Detail
	}
	return b.Node + " " + b.Detail
}

// Decide returns the step to take and the state that it leads to.
func Decide(s State, view ClusterView) (Step, State) {
	if s.Phase == PhaseClosed {
		return decideClosed(s, view)
	}
	if !view.IsLeader || !view.IsUpToDate {
		return NoStep, s
	}
	if step, next := decideRequest(s, view); step != NoStep {
		return step, next
	}
	switch s.Phase {
	case PhaseStable:
		if len(Blockers(s, view)) == 0 {
			return StepActivate, s.withPhase(PhaseActive, view)
		}
	case PhaseActive:
		if view.hasControllerBelow(s.ActiveLevel()) {
			return StepDeactivate, s.withPhase(PhaseStable, view)
		}
		if len(Blockers(s, view)) == 0 && (s.Request == RequestFinalize || view.timeSinceLastRestart(s) >= view.FinalizeAfter && view.FinalizeAfter > 0) {
			return StepFinalize, s.withLevelFinalized(view)
		}
	case PhaseReverting:
		if len(Blockers(s, view)) == 0 {
			return StepClose, s.withPhase(PhaseClosed, view)
		}
	case PhaseClosed:
	}
	return NoStep, s
}

// decideRequest returns the step that an operator's request leads to at once.
func decideRequest(s State, view ClusterView) (Step, State) {
	switch {
	case s.Request == RequestAbort && s.Phase == PhaseStable && s.Level > BaseLevel && (s.OnHold || !view.hasNextLevelReader(s)):
		next := s.withPhase(PhaseReverting, view)
		next.OnHold = true
		return StepRevert, next
	case s.Request == RequestAbort && s.Phase != PhaseReverting:
		next := s.withPhase(PhaseStable, view)
		next.OnHold = true
		return StepHold, next
	case s.Request == RequestFinalize && (s.OnHold || s.Phase == PhaseReverting):
		next := s.withPhase(PhaseStable, view)
		next.OnHold = false
		return StepResume, next
	}
	return NoStep, s
}

// decideClosed completes a revert. Nobody leads then, so that any controller may.
func decideClosed(s State, view ClusterView) (Step, State) {
	if !view.IsUpToDate {
		return NoStep, s
	}
	if view.NewerRecords > 0 || view.UnreadableRecords > 0 {
		next := s.withPhase(PhaseReverting, view)
		next.Epoch++
		return StepReopen, next
	}
	next := s.withPhase(PhaseStable, view)
	next.Level--
	if next.Level > BaseLevel {
		next.Epoch++
	}
	return StepOpen, next
}

// enter returns the state in another phase, with the request carried out.
func (s State) withPhase(p Phase, view ClusterView) State {
	s.Phase, s.Request, s.PhaseStartedAt = p, NoRequest, view.Now.UnixMilli()
	return s
}

// finalized returns the state with the active level made final.
func (s State) withLevelFinalized(view ClusterView) State {
	s = s.withPhase(PhaseStable, view)
	s.Level++
	s.Epoch++
	return s
}

// Blockers returns the reasons why the next step of an upgrade, or of a revert, can't be taken
// now; none while there is no next step but an operator's.
func Blockers(s State, view ClusterView) []Blocker {
	var blockers []Blocker
	switch s.Phase {
	case PhaseStable:
		if s.OnHold {
			blockers = append(blockers, Blocker{Kind: BlockerOperatorHold, Detail: "an operator went back; finalize ends that"})
		}
		blockers = append(blockers, view.controllerBlockers(s.Level+1)...)
	case PhaseActive:
		blockers = append(blockers, view.controllerBlockers(s.ActiveLevel())...)
		blockers = append(blockers, view.txnLimitBlockers()...)
	case PhaseReverting:
		blockers = append(blockers, view.txnLimitBlockers()...)
		blockers = append(blockers, view.recordBlockers()...)
		blockers = append(blockers, view.droppedLevelBlockers(s.WriteLevel())...)
	case PhaseClosed:
	}
	return blockers
}

// recordBlockers returns whether records keep the level before from being all that is stored.
func (v *ClusterView) recordBlockers() []Blocker {
	var blockers []Blocker
	if v.NewerRecords > 0 {
		blockers = append(blockers, Blocker{Kind: BlockerNewerRecords, Detail: fmt.Sprintf("%d records are still to be rewritten", v.NewerRecords)})
	}
	if v.UnreadableRecords > 0 {
		blockers = append(blockers, Blocker{Kind: BlockerUnreadableRecords, Detail: fmt.Sprintf("%d records can't be decoded; correct or delete them", v.UnreadableRecords)})
	}
	return blockers
}

// droppedLevelBlockers returns the controllers that don't read a level any more.
func (v *ClusterView) droppedLevelBlockers(level Level) []Blocker {
	var blockers []Blocker
	for _, name := range slices.Sorted(maps.Keys(v.Registrations)) {
		if c := v.Registrations[name]; c.Low > level {
			blockers = append(blockers, Blocker{Kind: BlockerUnsupportedLevel, Node: name, Detail: fmt.Sprintf("does not read level %d any more (it reads %s)", level, c.LevelRange)})
		}
	}
	return blockers
}

// controllerBlockers returns the controllers that keep a level from being used.
func (v *ClusterView) controllerBlockers(level Level) []Blocker {
	var blockers []Blocker
	for _, name := range v.Members {
		c, isRegistered := v.Registrations[name]
		switch {
		case !isRegistered:
			blockers = append(blockers, Blocker{Kind: BlockerMissingController, Node: name, Detail: "is not registered: it is down, of a version without levels, or has them switched off"})
		case !c.Includes(level):
			blockers = append(blockers, Blocker{Kind: BlockerUnsupportedLevel, Node: name, Detail: fmt.Sprintf("does not read level %d (it reads %s)", level, c.LevelRange)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.Registrations)) {
		if !slices.Contains(v.Members, name) {
			blockers = append(blockers, Blocker{Kind: BlockerUnlistedController, Node: name, Detail: "is registered, but not named by the settings"})
		}
	}
	return blockers
}

// txnLimitBlockers returns whether closing the keys takes more changes than a transaction may
// have.
func (v *ClusterView) txnLimitBlockers() []Blocker {
	if n := v.PartitionCount + extraCloseChanges; n > v.MaxTxnChanges {
		return []Blocker{{Kind: BlockerTxnLimit, Detail: fmt.Sprintf("closing the keys takes %d changes in one transaction, and %d are allowed", n, v.MaxTxnChanges)}}
	}
	return nil
}

// hasControllerBelow tells whether a controller is registered that does not read a level.
func (v *ClusterView) hasControllerBelow(level Level) bool {
	for _, c := range v.Registrations {
		if c.High < level {
			return true
		}
	}
	return false
}

// hasNextLevelReader tells whether a registered controller reads the level after the state's: an
// upgrade to it is on its way, or may be.
func (v *ClusterView) hasNextLevelReader(s State) bool {
	for _, c := range v.Registrations {
		if c.High > s.Level {
			return true
		}
	}
	return false
}

// timeSinceLastRestart returns how long the phase has lasted without a controller's restart.
func (v *ClusterView) timeSinceLastRestart(s State) time.Duration {
	last := s.PhaseStartedAt
	for _, c := range v.Registrations {
		last = max(last, c.RegisteredAt)
	}
	return v.Now.Sub(time.UnixMilli(last))
}
