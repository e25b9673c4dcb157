package controller

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/simulation/network"
)

// This file draws schedules in which each direction of the links between controllers and machines
// fails apart, while controllers and machines are back within a second.

const (
	// minLinkDelay is the minimum delay of a heartbeat that is held up or repeated, or of its
	// answer, and linkDelayJitter the largest random delay in addition.
	minLinkDelay    = 500 * time.Millisecond
	linkDelayJitter = 12 * time.Second
)

// heartbeatFault returns an effect that applies a network fault to a share of the heartbeats of the
// busiest machines.
func heartbeatFault(networkFault network.Fault) faultEffect {
	return func(s *scheduleRun, f fault) func() {
		agents := s.busiestMachines(f.target)
		for _, a := range agents {
			a.Transport().SetDelay(minLinkDelay, linkDelayJitter)
			a.Transport().SetRepeatDelay(minLinkDelay, linkDelayJitter)
			a.Transport().SetFaultPolicy(s.policyForShare(f.share, isAnyRequest, networkFault))
		}
		return func() {
			for _, a := range agents {
				a.Transport().SetFaultPolicy(nil)
			}
		}
	}
}

// commandFault returns an effect that applies a network fault to a share of the direct commands of all
// controllers to the busiest machines.
func commandFault(networkFault network.Fault) faultEffect {
	return func(s *scheduleRun, f fault) func() {
		addrs := map[string]bool{}
		for _, a := range s.busiestMachines(f.target) {
			addrs[a.Addr()] = true
		}
		isForMachine := func(r *http.Request) bool { return addrs[r.URL.Host] }
		return s.addPolicy(allNodes, s.policyForShare(f.share, isForMachine, networkFault))
	}
}

// heartbeatFaults and commandFaults are the ways in which one direction of a link fails.
var (
	heartbeatFaults = []faultKind{heartbeatsLost, heartbeatsHeldUp, heartbeatsRepeated, heartbeatAnswersLost, heartbeatAnswersHeldUp}
	commandFaults   = []faultKind{commandsLost, commandsHeldUp, commandsRepeated, commandAnswersLost, commandAnswersHeldUp}
)

const (
	// directionSeed is the second part of the seed for drawing schedules of failing directions.
	directionSeed = 57
	// firstRoundS is when directions fail first, in seconds: then no former owner may answer
	// heartbeats any more.
	firstRoundS = 16
	// directionRounds is the number of times that directions fail in a schedule.
	directionRounds = 4
	// directionRoundS is the time between two rounds in seconds.
	directionRoundS = 22
	// failingMachines is the number of machines whose links fail.
	failingMachines = 2
	// backAfterS is how long a controller is away, in seconds.
	backAfterS = 0.3
)

// TestGeneratedLinkDirections runs the schedules of generateDirections. No rule may be broken.
func TestGeneratedLinkDirections(t *testing.T) {
	runGenerated(t, uint64(*generatedScheduleCount), generateDirections, runGeneratedFaults)
}

// generateDirections draws a schedule in which, in each round, heartbeats or their answers fail, and
// direct commands or their answers, each or both, while machines and often controllers restart at
// once, one or two times. The same seed gives the same schedule.
func generateDirections(seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, directionSeed))
	var faults []fault
	for round := range directionRounds {
		at := float64(firstRoundS+round*directionRoundS) + 8*rng.Float64()
		faults = append(faults, drawDirections(rng, at)...)
		faults = append(faults, drawReturns(rng, at)...)
	}
	sortByTime(faults)
	return faults
}

// drawDirections draws the directions that fail from a time on.
func drawDirections(rng *rand.Rand, at float64) []fault {
	share := []float64{1, 1, 0.5}[rng.IntN(3)]
	draw := func(kinds []faultKind) fault {
		return fault{at: at, kind: kinds[rng.IntN(len(kinds))], target: failingMachines, duration: 3 + 12*rng.Float64(), share: share}
	}
	switch rng.IntN(4) {
	case 0:
		return []fault{draw(commandFaults)}
	case 1:
		return []fault{draw(heartbeatFaults), draw(commandFaults)}
	}
	return []fault{draw(heartbeatFaults)}
}

// drawReturns draws restarts of machines and controllers shortly after a time.
func drawReturns(rng *rand.Rand, at float64) []fault {
	machinesAt := at + 1 + 2*rng.Float64()
	returns := []fault{{at: machinesAt, kind: restartMachines, target: failingMachines}}
	if rng.IntN(3) == 0 {
		returns = append(returns, fault{at: machinesAt + 0.2 + 0.8*rng.Float64(), kind: restartMachines, target: failingMachines})
	}
	if rng.IntN(3) > 0 {
		return returns
	}
	controller := []int{leaderNode, allNodes, 0, 1, 2}[rng.IntN(5)]
	killedAt := at + 6*rng.Float64()
	for range 1 + rng.IntN(2) {
		returns = append(returns, fault{at: killedAt, kind: killController, target: controller, duration: backAfterS})
		killedAt += backAfterS + 0.1 + 0.5*rng.Float64()
	}
	return returns
}
