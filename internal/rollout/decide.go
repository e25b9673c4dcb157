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
	// Leading tells whether the one who decides is the leader.
	Leading bool
	// Current tells whether the replica has all changes before the state's last one.
	Current bool
	// Above counts the records that are stored in a form above State.Writes.
	Above int
	// Unreadable counts the records that can't be decoded: they may be of any form.
	Unreadable int
	Partitions int
	// TransactionChanges is how many changes a transaction may have.
	TransactionChanges int
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
	// Deactivate ends it, since a controller that doesn't know it has come.
	Deactivate Step = "deactivate"
	// Finalize has records written in the next level's form and closes the keys of
	// rights that versions before know.
	Finalize Step = "finalize"
	// Hold ends an active level, or keeps the next one from being activated, since an
	// operator said so.
	Hold Step = "hold"
	// Resume ends a hold, or the way back.
	Resume Step = "resume"
	// Revert begins the way back.
	Revert Step = "revert"
	// Close takes all rights away, when no record of the level seems to be left.
	Close Step = "close"
	// Reopen goes on with the way back: a record of the level was left after all.
	Reopen Step = "reopen"
	// Open completes the way back.
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
	// BlockRecords means that records are still stored in a form above the one to come.
	BlockRecords BlockKind = "records"
	// BlockHeld means that an operator went back, and none has said to go on.
	BlockHeld BlockKind = "held"
	// BlockUnreadable means that records can't be decoded, so that their form is not known.
	BlockUnreadable BlockKind = "unreadable"
)

// Blocker is a reason why the next step can't be taken.
type Blocker struct {
	Kind   BlockKind `json:"kind"`
	Node   string    `json:"node,omitempty"`
	Detail string    `json:"detail"`
}

// String is the reason in words.
func (b Blocker) String() string {
	if b.Node == "" {
		return b.Detail
	}
	return b.Node + " " + b.Detail
}

// Decide is the step to take and the state that it leads to.
func Decide(s State, v View) (Step, State) {
	if s.Phase == Closed {
		return decideClosed(s, v)
	}
	if !v.Leading || !v.Current {
		return NoStep, s
	}
	if step, next := decideWish(s, v); step != NoStep {
		return step, next
	}
	switch s.Phase {
	case Stable:
		if len(Blockers(s, v)) == 0 {
			return Activate, s.to(Activated, v)
		}
	case Activated:
		if v.tooOld(s.Active()) {
			return Deactivate, s.to(Stable, v)
		}
		if len(Blockers(s, v)) == 0 && (s.Wish == WishFinalize || v.quietFor(s) >= v.FinalizeAfter && v.FinalizeAfter > 0) {
			return Finalize, s.finalized(v)
		}
	case Reverting:
		if len(Blockers(s, v)) == 0 {
			return Close, s.to(Closed, v)
		}
	case Closed:
	}
	return NoStep, s
}

// decideWish is the step that an operator's wish leads to at once.
func decideWish(s State, v View) (Step, State) {
	switch {
	case s.Wish == WishAbort && s.Phase == Stable && s.Level > BaseLevel && (s.Held || !v.nextKnown(s)):
		next := s.to(Reverting, v)
		next.Held = true
		return Revert, next
	case s.Wish == WishAbort && s.Phase != Reverting:
		next := s.to(Stable, v)
		next.Held = true
		return Hold, next
	case s.Wish == WishFinalize && (s.Held || s.Phase == Reverting):
		next := s.to(Stable, v)
		next.Held = false
		return Resume, next
	}
	return NoStep, s
}

// decideClosed completes the way back. Nobody leads, so that any controller may.
func decideClosed(s State, v View) (Step, State) {
	if !v.Current {
		return NoStep, s
	}
	if v.Above > 0 || v.Unreadable > 0 {
		next := s.to(Reverting, v)
		next.Epoch++
		return Reopen, next
	}
	next := s.to(Stable, v)
	next.Level--
	if next.Level > BaseLevel {
		next.Epoch++
	}
	return Open, next
}

// to is the state in another phase, with the wish carried out.
func (s State) to(p Phase, v View) State {
	s.Phase, s.Wish, s.Since = p, NoWish, v.Now.UnixMilli()
	return s
}

func (s State) finalized(v View) State {
	s = s.to(Stable, v)
	s.Level++
	s.Epoch++
	return s
}

// Blockers are the reasons why the next step of an upgrade, or of the way back, can't be
// taken now. None while there is no next step but an operator's.
func Blockers(s State, v View) []Blocker {
	var out []Blocker
	switch s.Phase {
	case Stable:
		if s.Held {
			out = append(out, Blocker{Kind: BlockHeld, Detail: "an operator went back; finalize ends that"})
		}
		out = append(out, v.unready(s.Level+1)...)
	case Activated:
		out = append(out, v.unready(s.Active())...)
		out = append(out, v.beyondLimit()...)
	case Reverting:
		out = append(out, v.beyondLimit()...)
		if v.Above > 0 {
			out = append(out, Blocker{Kind: BlockRecords, Detail: fmt.Sprintf("%d records are still to be rewritten", v.Above)})
		}
		if v.Unreadable > 0 {
			out = append(out, Blocker{Kind: BlockUnreadable, Detail: fmt.Sprintf("%d records can't be decoded; correct or delete them", v.Unreadable)})
		}
		for _, name := range slices.Sorted(maps.Keys(v.Controllers)) {
			if c := v.Controllers[name]; c.Low > s.Writes() {
				out = append(out, Blocker{Kind: BlockOld, Node: name, Detail: fmt.Sprintf("does not read level %d any more (it reads %s)", s.Writes(), c.Range)})
			}
		}
	case Closed:
	}
	return out
}

// unready names the controllers that keep a level from being used.
func (v *View) unready(level Level) []Blocker {
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

// beyondLimit says if closing the keys takes more changes than a transaction may have.
func (v *View) beyondLimit() []Blocker {
	if n := v.Partitions + closingExtra; n > v.TransactionChanges {
		return []Blocker{{Kind: BlockLimit, Detail: fmt.Sprintf("closing the keys takes %d changes in one transaction, and %d are allowed", n, v.TransactionChanges)}}
	}
	return nil
}

// tooOld tells whether a controller is registered that does not read a level.
func (v *View) tooOld(level Level) bool {
	for _, c := range v.Controllers {
		if c.High < level {
			return true
		}
	}
	return false
}

// nextKnown tells whether a registered controller reads the level after the state's: an
// upgrade to it is on its way, or may be.
func (v *View) nextKnown(s State) bool {
	for _, c := range v.Controllers {
		if c.High > s.Level {
			return true
		}
	}
	return false
}

// quietFor is how long the phase has lasted without a controller's restart.
func (v *View) quietFor(s State) time.Duration {
	last := s.Since
	for _, c := range v.Controllers {
		last = max(last, c.StartedAt)
	}
	return v.Now.Sub(time.UnixMilli(last))
}
