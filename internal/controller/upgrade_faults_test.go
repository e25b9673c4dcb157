package controller

import (
	"testing"

	"eiderhitch/internal/rollout"
)

// beginUpgradeFault has a fault begin that upgrades have: what an operator asks for, and
// controllers that come back as another version and, at its end, as the present one.
func (s *scene) beginUpgradeFault(f fault) (undo func(), ok bool) {
	switch f.what {
	case "finalize":
		go s.tryWish(rollout.RequestFinalize)
	case "abort":
		go s.tryWish(rollout.RequestAbort)
	case "finalize and abort":
		go s.tryWish(rollout.RequestFinalize)
		go s.tryWish(rollout.RequestAbort)
	case "old comes":
		return s.replaceFor(f.who, unawareVersion), true
	case "base level comes":
		return s.replaceFor(f.who, baseLevelVersion), true
	default:
		return nil, false
	}
	return func() {}, true
}

// tryWish asks for something once; that it is refused, or the answer lost, is no fault.
func (s *scene) tryWish(w rollout.Request) {
	_, err := s.upgradeOperator().Submit(s.ctx, w)
	if err != nil && testing.Verbose() {
		s.t.Logf("%s: %v", w, err)
	}
}

// replaceFor has controllers come back as another version until it is undone.
func (s *scene) replaceFor(who int, version softwareVersion) func() {
	nodes := s.nodesOf(who)
	for _, i := range nodes {
		s.replace(i, version)
	}
	return func() {
		for _, i := range nodes {
			s.replace(i, presentVersion)
		}
	}
}
