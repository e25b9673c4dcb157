package controller

import (
	"testing"

	"eiderhitch/internal/rollout"
)

// finalizeUpgrade requests in the background that the active level become final.
func (s *scheduleRun) finalizeUpgrade(fault) func() {
	go s.tryUpgradeRequest(rollout.RequestFinalize)
	return doNothing
}

// abortUpgrade requests in the background that the upgrade be aborted.
func (s *scheduleRun) abortUpgrade(fault) func() {
	go s.tryUpgradeRequest(rollout.RequestAbort)
	return doNothing
}

// finalizeAndAbort sends a finalize and an abort request at the same time, in the background.
func (s *scheduleRun) finalizeAndAbort(fault) func() {
	go s.tryUpgradeRequest(rollout.RequestFinalize)
	go s.tryUpgradeRequest(rollout.RequestAbort)
	return doNothing
}

// startWithoutLevels runs a version without feature levels on the target controllers.
func (s *scheduleRun) startWithoutLevels(f fault) func() {
	return s.replaceTemporarily(f.target, versionWithoutLevels)
}

// startWithBaseLevel runs a version that supports only the base level on the target controllers.
func (s *scheduleRun) startWithBaseLevel(f fault) func() {
	return s.replaceTemporarily(f.target, baseLevelVersion)
}

// tryUpgradeRequest sends an operator's request once. The test doesn't fail if the request is
// refused or the response is lost.
func (s *scheduleRun) tryUpgradeRequest(request rollout.Request) {
	_, err := s.upgradeOperator().Submit(s.ctx, request)
	if err != nil && testing.Verbose() {
		s.t.Logf("%s: %v", request, err)
	}
}

// replaceTemporarily replaces the target controllers by another version. The function that it returns
// restores the current version.
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
