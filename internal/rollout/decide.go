package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// View is what a decision rests on, as one replica of the stored records shows it.
type View struct {
	Now time.Time
	// Members are the controllers that the settings name.
	Members []string
	// Controllers are those that are registered now, by name. One that is missing is
	// unknown: it may be down, or of a version without levels.
	Controllers map[string]Registered
	// Leading tells whether the controller that decides is the leader.
	Leading bool
	// Current tells whether the replica has all changes before the state's last one.
	Current bool
	// RecordsAbove counts the records whose encoding is of a level above State.Writes.
	RecordsAbove int
	// UnreadableRecords counts the records that can't be decoded: they may be of any level.
	UnreadableRecords int
	Partitions        int
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
	// Activate starts the behaviour of the next level.
	Activate Step = "activate"
	// Deactivate ends it, since a controller that doesn't know it has registered.
	Deactivate Step = "deactivate"
	// Finalize has records written in the next level's encoding and closes the leased keys
	// that versions before know.
	Finalize Step = "finalize"
	// Hold ends an active level, or keeps the next one from being activated, since an
	// operator said so.
	Hold Step = "hold"
	// Resume ends a hold, or a revert.
	Resume Step = "resume"
	// Revert begins to go back to the level before.
	Revert Step = "revert"
	// Close closes all leased keys, when no record of the level seems to be left.
	Close Step = "close"
	// Reopen goes on with the revert: a record of the level was left after all.
	Reopen Step = "reopen"
	// Open completes the revert.
	Open Step = "open"
)

// BlockKind is a kind of reason why a step can't be taken.
type BlockKind string

const (
	// BlockMissing means that a controller of the settings is not registered.
	BlockMissing BlockKind = "missing"
	// BlockOld means that a controller does not read the level to come.
	BlockOld BlockKind = "old"
	// BlockForeign means that a controller is registered that the settings don't name.
	BlockForeign BlockKind = "foreign"
	// BlockLimit means that the step needs more changes than a transaction may have.
	BlockLimit BlockKind = "limit"
	// BlockRecords means that records are still stored in an encoding above the one to come.
	BlockRecords BlockKind = "records"
	// BlockHeld means that an operator reverted, and none has asked to go on.
	BlockHeld BlockKind = "held"
	// BlockUnreadable means that records can't be decoded, so that their level is not known.
	BlockUnreadable BlockKind = "unreadable"
)

// Blocker is a reason why the next step can't be taken.
type Blocker struct {
	Kind   BlockKind `json:"kind"`
	Node   string    `json:"node,omitempty"`
	Detail string    `json:"detail"`
}

// String returns the reason in words.
func (b Blocker) String() string {
	if b.Node == "" {
		return b.Detail
	}
	return b.Node + " " + b.Detail
}

// Decide returns the step to take and the state that it leads to.
func Decide(s State, view View) (Step, State) {
	if s.Phase == Closed {
		return decideClosed(s, view)
	}
	if !view.Leading || !view.Current {
		return NoStep, s
	}
	if step, next := decideRequest(s, view); step != NoStep {
		return step, next
	}
	switch s.Phase {
	case Stable:
		if len(Blockers(s, view)) == 0 {
			return Activate, s.enter(Activated, view)
		}
	case Activated:
		if view.anyBelow(s.Active()) {
			return Deactivate, s.enter(Stable, view)
		}
		if len(Blockers(s, view)) == 0 && (s.Request == RequestFinalize || view.sinceLastRestart(s) >= view.FinalizeAfter && view.FinalizeAfter > 0) {
			return Finalize, s.finalized(view)
		}
	case Reverting:
		if len(Blockers(s, view)) == 0 {
			return Close, s.enter(Closed, view)
		}
	case Closed:
	}
	return NoStep, s
}

// decideRequest returns the step that an operator's request leads to at once.
func decideRequest(s State, view View) (Step, State) {
	switch {
	case s.Request == RequestAbort && s.Phase == Stable && s.Level > BaseLevel && (s.Held || !view.nextLevelKnown(s)):
		next := s.enter(Reverting, view)
		next.Held = true
		return Revert, next
	case s.Request == RequestAbort && s.Phase != Reverting:
		next := s.enter(Stable, view)
		next.Held = true
		return Hold, next
	case s.Request == RequestFinalize && (s.Held || s.Phase == Reverting):
		next := s.enter(Stable, view)
		next.Held = false
		return Resume, next
	}
	return NoStep, s
}

// decideClosed completes a revert. Nobody leads then, so that any controller may.
func decideClosed(s State, view View) (Step, State) {
	if !view.Current {
		return NoStep, s
	}
	if view.RecordsAbove > 0 || view.UnreadableRecords > 0 {
		next := s.enter(Reverting, view)
		next.Epoch++
		return Reopen, next
	}
	next := s.enter(Stable, view)
	next.Level--
	if next.Level > BaseLevel {
		next.Epoch++
	}
	return Open, next
}

// enter returns the state in another phase, with the request carried out.
func (s State) enter(p Phase, view View) State {
	s.Phase, s.Request, s.Since = p, NoRequest, view.Now.UnixMilli()
	return s
}

// finalized returns the state with the active level made final.
func (s State) finalized(view View) State {
	s = s.enter(Stable, view)
	s.Level++
	s.Epoch++
	return s
}

// Blockers returns the reasons why the next step of an upgrade, or of a revert, can't be taken
// now; none while there is no next step but an operator's.
func Blockers(s State, view View) []Blocker {
	var out []Blocker
	switch s.Phase {
	case Stable:
		if s.Held {
			out = append(out, Blocker{Kind: BlockHeld, Detail: "an operator went back; finalize ends that"})
		}
		out = append(out, view.controllerBlockers(s.Level+1)...)
	case Activated:
		out = append(out, view.controllerBlockers(s.Active())...)
		out = append(out, view.txnLimitBlockers()...)
	case Reverting:
		out = append(out, view.txnLimitBlockers()...)
		out = append(out, view.recordBlockers()...)
		out = append(out, view.lostLevelBlockers(s.Writes())...)
	case Closed:
	}
	return out
}

// recordBlockers returns whether records keep the level before from being all that is stored.
func (v *View) recordBlockers() []Blocker {
	var out []Blocker
	if v.RecordsAbove > 0 {
		out = append(out, Blocker{Kind: BlockRecords, Detail: fmt.Sprintf("%d records are still to be rewritten", v.RecordsAbove)})
	}
	if v.UnreadableRecords > 0 {
		out = append(out, Blocker{Kind: BlockUnreadable, Detail: fmt.Sprintf("%d records can't be decoded; correct or delete them", v.UnreadableRecords)})
	}
	return out
}

// lostLevelBlockers returns the controllers that don't read a level any more.
func (v *View) lostLevelBlockers(level Level) []Blocker {
	var out []Blocker
	for _, name := range slices.Sorted(maps.Keys(v.Controllers)) {
		if c := v.Controllers[name]; c.Low > level {
			out = append(out, Blocker{Kind: BlockOld, Node: name, Detail: fmt.Sprintf("does not read level %d any more (it reads %s)", level, c.Range)})
		}
	}
	return out
}

// controllerBlockers returns the controllers that keep a level from being used.
func (v *View) controllerBlockers(level Level) []Blocker {
	var out []Blocker
	for _, name := range v.Members {
		c, ok := v.Controllers[name]
		switch {
		case !ok:
			out = append(out, Blocker{Kind: BlockMissing, Node: name, Detail: "is not registered: it is down, of a version without levels, or has them switched off"})
		case !c.Includes(level):
			out = append(out, Blocker{Kind: BlockOld, Node: name, Detail: fmt.Sprintf("does not read level %d (it reads %s)", level, c.Range)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.Controllers)) {
		if !slices.Contains(v.Members, name) {
			out = append(out, Blocker{Kind: BlockForeign, Node: name, Detail: "is registered, but not named by the settings"})
		}
	}
	return out
}

// txnLimitBlockers returns whether closing the keys takes more changes than a transaction may
// have.
func (v *View) txnLimitBlockers() []Blocker {
	if n := v.Partitions + closingExtraChanges; n > v.MaxTxnChanges {
		return []Blocker{{Kind: BlockLimit, Detail: fmt.Sprintf("closing the keys takes %d changes in one transaction, and %d are allowed", n, v.MaxTxnChanges)}}
	}
	return nil
}

// anyBelow tells whether a controller is registered that does not read a level.
func (v *View) anyBelow(level Level) bool {
	for _, c := range v.Controllers {
		if c.High < level {
			return true
		}
	}
	return false
}

// nextLevelKnown tells whether a registered controller reads the level after the state's: an
// upgrade to it is on its way, or may be.
func (v *View) nextLevelKnown(s State) bool {
	for _, c := range v.Controllers {
		if c.High > s.Level {
			return true
		}
	}
	return false
}

// sinceLastRestart returns how long the phase has lasted without a controller's restart.
func (v *View) sinceLastRestart(s State) time.Duration {
	last := s.Since
	for _, c := range v.Controllers {
		last = max(last, c.StartedAt)
	}
	return v.Now.Sub(time.UnixMilli(last))
}
