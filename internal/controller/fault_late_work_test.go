package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/wire"
)

// lateWorkSeed is the second part of the seed for drawing the schedules of TestGeneratedLateWork.
const lateWorkSeed = 23

// lateWorkSettingsSeed is the second part of the seed for drawing their operators' settings.
const lateWorkSettingsSeed = 29

// lateWorkCapacities are the numbers of machines that the cloud has in these schedules, chosen by the
// seed. Only the last one is too few for all jobs.
var lateWorkCapacities = []int{40, 40, 40, 8}

const (
	// The deadline of an array is this multiple of its estimated run time plus some seconds, as the
	// owners of the jobs derive it.
	deadlineFactor = 2.5
	deadlinePlusS  = 10
	// lateWorkSchedulesFactor is the number of schedules as a multiple of generatedScheduleCount.
	lateWorkSchedulesFactor = 2
	// lateWorkJobs is the number of jobs that are submitted before the first fault.
	lateWorkJobs = 5
)

// lateWorkTemplates are the faults through which work becomes late, with the durations that are scaled
// randomly: no machine can be launched, machines are lost, or no controller works.
var lateWorkTemplates = []fault{
	{kind: cloudDown, duration: 40},
	{kind: cloudDown, duration: 90},
	{kind: noCapacity, duration: 60},
	{kind: noCapacity, duration: 120},
	{kind: storeDown, duration: 45},
	{kind: storeRefuses, target: leaderNode, duration: 20},
	{kind: storeSlow, target: allNodes, duration: 30, share: 0.3},
	{kind: killController, target: leaderNode, duration: 6},
	{kind: killController, target: allNodes, duration: 0.5},
	{kind: killController, target: allNodes, duration: 14},
	{kind: killController, target: allNodes, duration: 40},
	{kind: isolateZone, duration: 25},
	{kind: machinesHang, target: 2, duration: 8},
	{kind: machinesHang, target: 2, duration: 30},
	{kind: machinesIsolated, target: 2, duration: 20},
	{kind: terminateMachines, target: 2},
	{kind: terminateMachines, target: 2},
	{kind: restartMachines, target: 2},
	{kind: cancelJobs, target: 2},
	{kind: submitJobs, target: 4},
	{kind: submitJobs, target: 4},
}

// Every accepted job must run once the faults are over, however late it is by then. Services and arrays
// of all sizes share machines, and the arrays have deadlines. The schedules of
// TestGeneratedFaultSchedules have no deadlines, and tasks so small that some machine always got room
// for them: work was never late there, and no schedule met review/7.
func TestGeneratedLateWork(t *testing.T) {
	count := lateWorkSchedulesFactor * uint64(*generatedScheduleCount)
	runGenerated(t, count, generateLateWorkSchedule, func(t *testing.T, seed uint64, faults []fault) {
		runClusterWithSetup(t, func(n *node) { n.operatorConfig = lateWorkSettings(seed) }, func(c *cluster) { c.runLateWork(seed, faults) })
	})
}

// lateWorkSettings returns the operators' settings of a schedule. Half of the schedules have no
// headroom for services: machines that are kept free for them would run late work, too.
func lateWorkSettings(seed uint64) *config.OperatorSettings {
	settings := config.DefaultOperatorSettings()
	if rand.New(rand.NewPCG(seed, lateWorkSettingsSeed)).IntN(2) == 0 {
		settings.Headroom = 0
	}
	return settings
}

// generateLateWorkSchedule draws a schedule of one to six faults, and one more in which no machine
// can be launched for jobs that are submitted meanwhile. The same seed gives the same schedule.
func generateLateWorkSchedule(seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, lateWorkSeed))
	begin, duration := float64(rng.IntN(200))/10, 40+80*rng.Float64()
	faults := []fault{
		{at: begin, kind: []faultKind{cloudDown, noCapacity}[rng.IntN(2)], duration: duration},
		{at: begin + 0.5*duration*rng.Float64(), kind: submitJobs, target: 2 + rng.IntN(3)},
	}
	for range 1 + rng.IntN(6) {
		f := lateWorkTemplates[rng.IntN(len(lateWorkTemplates))]
		f.at = float64(rng.IntN(600)) / 10
		f.duration *= 0.4 + 0.8*rng.Float64()
		faults = append(faults, f)
	}
	sortByTime(faults)
	return faults
}

// runLateWork runs a schedule of faults with jobs that become late, and waits until all accepted jobs
// are settled.
func (c *cluster) runLateWork(seed uint64, faults []fault) {
	s := newScheduleRun(c, seed)
	s.drawJob = s.drawJobWithDeadline
	capacityIndex := int(seed % uint64(len(lateWorkCapacities)))
	s.insufficientCapacity = capacityIndex == len(lateWorkCapacities)-1
	c.env.Cloud.SetCapacity(lateWorkCapacities[capacityIndex])
	for range lateWorkJobs {
		s.submitRandomJob()
		time.Sleep(time.Second)
	}
	s.injectAll(faults)
	c.env.MarkFaultsEnded()
	s.awaitSettled()
}

// drawJobWithDeadline returns a service, or an array that has a deadline in most cases, with tasks of
// all sizes that a machine can hold.
func (s *scheduleRun) drawJobWithDeadline() *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	priority := []string{"low", "normal"}[s.rng.IntN(2)]
	job := newSubmission(submission{Kind: wire.KindArray, Team: "blue", Priority: priority, Tasks: 1 + s.rng.IntN(6)})
	job.CPUs = []float64{1, 3, 11, 13, 14}[s.rng.IntN(5)]
	job.EstimateS = float64(5 + s.rng.IntN(26))
	job.DeadlineS = deadlineFactor*job.EstimateS + deadlinePlusS
	switch s.rng.IntN(8) {
	case 0, 1, 2:
		job.Kind, job.Priority, job.Tasks = wire.KindService, []string{"urgent", "production"}[s.rng.IntN(2)], 1
		job.CPUs = []float64{1, 3, 4, 6}[s.rng.IntN(4)]
		job.EstimateS, job.DeadlineS = 0, 0
	case 3:
		job.SingleZone = true
	case 4:
		job.DeadlineS = 0
	}
	return job
}
