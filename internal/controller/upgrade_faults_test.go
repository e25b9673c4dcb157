package controller

import (
	"testing"

	"eiderhitch/internal/rollout"
)

func (s *scheduleRun) finalizeUpgrade(fault) func() {
	go s.tryUpgradeRequest(rollout.RequestFinalize)
	return doNothing
}

func (s *scheduleRun) abortUpgrade(fault) func() {
	go s.tryUpgradeRequest(rollout.RequestAbort)
	return doNothing
}

func (s *scheduleRun) finalizeAndAbort(fault) func() {
	go s.tryUpgradeRequest(rollout.RequestFinalize)
	go s.tryUpgradeRequest(rollout.RequestAbort)
	return doNothing
}

func (s *scheduleRun) startWithoutLevels(f fault) func() {
	return s.replaceTemporarily(f.target, versionWithoutLevels)
}

func (s *scheduleRun) startWithBaseLevel(f fault) func() {
	return s.replaceTemporarily(f.target, baseLevelVersion)
}

// tryUpgradeRequest asks for something once; that it is refused, or the answer lost, is no
// fault.
func (s *scheduleRun) tryUpgradeRequest(request rollout.Request) {
	_, err := s.upgradeOperator().Submit(s.ctx, request)
	if err != nil && testing.Verbose() {
		s.t.Logf("%s: %v", request, err)
	}
}

// replaceTemporarily has controllers come back as another version until it is undone.
func (s *scheduleRun) replaceTemporarily(target int, version softwareVersion) func() {
	nodes := s.targetNodes(target)
	for _, i := range nodes {
		s.restartWithVersion(i, version)
	}
	return func() {
		for _, i := range nodes {
			s.restartWithVersion(i, currentVersion)
		}
	}
}
