package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// ClusterView is the state of the cluster that a decision depends on, as one replica shows it.
type ClusterView struct {
	Now time.Time
	// Members are the names of the controllers in the settings.
	Members []string
	// Registrations holds the current registrations by controller name. A controller without
	// one may be down, or run a version without feature levels.
	Registrations map[string]StoredRegistration
	// IsLeader is set if the deciding controller is the leader.
	IsLeader bool
	// IsUpToDate is set if the replica has all changes made before the last change of the state.
	IsUpToDate bool
	// NewerRecords is the number of records in an encoding above State.WriteLevel.
	NewerRecords int
	// UnreadableRecords is the number of records that can't be decoded. They may be of any level.
	UnreadableRecords int
	PartitionCount    int
	// MaxTransactionChanges is the maximum number of changes in a transaction.
	MaxTransactionChanges int
	// FinalizeAfter is the time without a controller restart after which an active level is
	// finalized automatically. 0 means that only an operator finalizes it.
	FinalizeAfter time.Duration
}

// Step is a transition from one state to another.
type Step string

const (
	// NoStep means that the state does not change.
	NoStep Step = ""
	// StepActivate activates the next level.
	StepActivate Step = "activate"
	// StepDeactivate deactivates the next level, since a controller that does not support it
	// has registered.
	StepDeactivate Step = "deactivate"
	// StepFinalize makes the active level final: records are written in its encoding from then
	// on, and the leased keys that earlier versions know are closed.
	StepFinalize Step = "finalize"
	// StepHold deactivates an active level, or prevents the next one from being activated, as
	// an operator requested.
	StepHold Step = "hold"
	// StepResume ends a hold or cancels a revert.
	StepResume Step = "resume"
	// StepRevert starts to revert to the previous level.
	StepRevert Step = "revert"
	// StepClose closes all leased keys once no record in the level's encoding is known to be left.
	StepClose Step = "close"
	// StepReopen continues the revert, since a record in the level's encoding was left.
	StepReopen Step = "reopen"
	// StepOpen completes the revert.
	StepOpen Step = "open"
)

// BlockerKind is the kind of a Blocker.
type BlockerKind string

const (
	// BlockerMissingController means that a controller of the settings is not registered.
	BlockerMissingController BlockerKind = "missing"
	// BlockerUnsupportedLevel means that a controller does not support a level that the step
	// requires.
	BlockerUnsupportedLevel BlockerKind = "old"
	// BlockerUnlistedController means that a registered controller is not in the settings.
	BlockerUnlistedController BlockerKind = "foreign"
	// BlockerTxnLimit means that the step needs more changes than a transaction may have.
	BlockerTxnLimit BlockerKind = "limit"
	// BlockerNewerRecords means that records are still stored in the encoding being reverted.
	BlockerNewerRecords BlockerKind = "records"
	// BlockerOperatorHold means that an operator has aborted, and none has requested
	// RequestFinalize since.
	BlockerOperatorHold BlockerKind = "held"
	// BlockerUnreadableRecords means that records can't be decoded, so that their level is
	// unknown.
	BlockerUnreadableRecords BlockerKind = "unreadable"
)

// Blocker is a reason why the next step can't be taken.
type Blocker struct {
	Kind   BlockerKind `json:"kind"`
	Node   string      `json:"node,omitempty"`
	Detail string      `json:"detail"`
}

// String returns the controller's name, if there is one, and the detail.
func (b Blocker) String() string {
	if b.Node == "" {
		return b.Detail
	}
	return b.Node + " " + b.Detail
}

// Decide returns the step to take from state s, and the state that it results in. If there is
// no step to take, it returns NoStep and s.
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

// decideRequest returns the step that carries out an operator's request immediately, or NoStep.
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

// decideClosed completes a revert. Any controller may do so, since no leader exists while the
// leased keys are closed.
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

// withPhase returns the state in phase p, without a request.
func (s State) withPhase(p Phase, view ClusterView) State {
	s.Phase, s.Request, s.PhaseStartedAtMS = p, NoRequest, view.Now.UnixMilli()
	return s
}

// withLevelFinalized returns the state with the active level made final.
func (s State) withLevelFinalized(view ClusterView) State {
	s = s.withPhase(PhaseStable, view)
	s.Level++
	s.Epoch++
	return s
}

// Blockers returns the reasons why the next step of an upgrade or revert can't be taken now. It
// returns none if the only possible next step is an operator's.
func Blockers(s State, view ClusterView) []Blocker {
	var blockers []Blocker
	switch s.Phase {
	case PhaseStable:
		if s.OnHold {
			blockers = append(blockers, Blocker{Kind: BlockerOperatorHold, Detail: "an operator has aborted; finalize ends the hold"})
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

// recordBlockers returns the reasons why records prevent a revert from being completed.
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

// droppedLevelBlockers returns a blocker for each controller that no longer supports a level.
func (v *ClusterView) droppedLevelBlockers(level Level) []Blocker {
	var blockers []Blocker
	for _, name := range slices.Sorted(maps.Keys(v.Registrations)) {
		if c := v.Registrations[name]; c.Low > level {
			blockers = append(blockers, Blocker{Kind: BlockerUnsupportedLevel, Node: name, Detail: fmt.Sprintf("does not read level %d any more (it reads %s)", level, c.LevelRange)})
		}
	}
	return blockers
}

// controllerBlockers returns a blocker for each controller that prevents a level from being used.
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

// txnLimitBlockers returns a blocker if closing the keys takes more changes than a transaction
// may have.
func (v *ClusterView) txnLimitBlockers() []Blocker {
	if n := v.PartitionCount + extraCloseChanges; n > v.MaxTransactionChanges {
		return []Blocker{{Kind: BlockerTxnLimit, Detail: fmt.Sprintf("closing the keys takes %d changes in one transaction, and %d are allowed", n, v.MaxTransactionChanges)}}
	}
	return nil
}

// hasControllerBelow reports whether a registered controller does not support a level because
// its version is too old.
func (v *ClusterView) hasControllerBelow(level Level) bool {
	for _, c := range v.Registrations {
		if c.High < level {
			return true
		}
	}
	return false
}

// hasNextLevelReader reports whether a registered controller supports the level after the
// state's, so that an upgrade to it may be in progress.
func (v *ClusterView) hasNextLevelReader(s State) bool {
	for _, c := range v.Registrations {
		if c.High > s.Level {
			return true
		}
	}
	return false
}

// timeSinceLastRestart returns the time since the phase began or a controller last registered,
// whichever is later.
func (v *ClusterView) timeSinceLastRestart(s State) time.Duration {
	last := s.PhaseStartedAtMS
	for _, c := range v.Registrations {
		last = max(last, c.RegisteredAtMS)
	}
	return v.Now.Sub(time.UnixMilli(last))
}
