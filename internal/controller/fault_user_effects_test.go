package controller

import (
	"fmt"
	"net/http"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// The intervals at which users act while a fault is active.
const (
	completionCheckInterval = 20 * time.Millisecond
	unusualRequestInterval  = 700 * time.Millisecond
	oneTaskJobInterval      = 250 * time.Millisecond
)

// activeTime returns how long a fault is active.
func (f fault) activeTime() time.Duration { return time.Duration(f.duration * float64(time.Second)) }

// cancelSomeJobs cancels as many random jobs as the target says.
func (s *scheduleRun) cancelSomeJobs(f fault) func() {
	ids := s.uncancelledJobs()
	s.mu.Lock()
	s.rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	s.mu.Unlock()
	s.cancelAll(ids[:min(f.target, len(ids))])
	return doNothing
}

// cancelAsMachinesHang makes the busiest machines hang and cancels the oldest jobs meanwhile.
func (s *scheduleRun) cancelAsMachinesHang(f fault) func() {
	const hangingMachines = 8
	ids := s.uncancelledJobs()
	end := s.setOnBusiestMachines(hangingMachines, (*agent.Agent).SetHanging)
	s.cancelAll(ids[:min(f.target, len(ids))])
	return end
}

// cancelAll cancels jobs, each in a goroutine of its own.
func (s *scheduleRun) cancelAll(ids []string) {
	for _, id := range ids {
		go s.cancelWithRetries(id)
	}
}

// cancelWithRetries requests the cancellation of a job until there is a final response, for at most
// five minutes.
func (s *scheduleRun) cancelWithRetries(id string) {
	s.mu.Lock()
	s.cancelRequested[id] = true
	s.mu.Unlock()
	s.sendWithRetries(cancelRequest(id), 5*time.Minute)
}

// uncancelledJobs returns the jobs whose cancellation no user has requested, oldest first.
func (s *scheduleRun) uncancelledJobs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, id := range s.submittedIDs {
		if !s.cancelRequested[id] {
			out = append(out, id)
		}
	}
	return out
}

// isCancelRequested reports whether a user has requested the cancellation of a job.
func (s *scheduleRun) isCancelRequested(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelRequested[id]
}

// submissionOf returns the submission of a job, or nil if there was none.
func (s *scheduleRun) submissionOf(id string) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.submissions[id]
}

// queryAllControllers makes users query all controllers after each successful change.
func (s *scheduleRun) queryAllControllers(f fault) func() {
	queryUntil := time.Now().Add(f.activeTime())
	s.queryAllUntil.Store(&queryUntil)
	return doNothing
}

// raceCompletion sends requests about each job just as its last task ends: queries to all
// controllers, a repeated submission and, for a share of the jobs, a cancellation.
func (s *scheduleRun) raceCompletion(f fault) func() {
	go func() {
		for deadline := time.Now().Add(f.activeTime()); time.Now().Before(deadline); time.Sleep(completionCheckInterval) {
			for _, id := range s.uncancelledJobs() {
				s.raceCompletionOf(id, f.share)
			}
		}
	}()
	return doNothing
}

// raceCompletionOf sends the requests of raceCompletion about one job, if its last task has completed
// and they have not been sent before.
func (s *scheduleRun) raceCompletionOf(id string, share float64) {
	job := s.submissionOf(id)
	s.mu.Lock()
	justEnded := !s.handledCompletions[id] && s.env.CountCompletedTasks(id) >= job.Tasks
	if justEnded {
		s.handledCompletions[id] = true
	}
	cancelled := s.rng.Float64() < share
	s.mu.Unlock()
	if !justEnded {
		return
	}
	for i := range s.nodes {
		go s.sendRequest(i, queryRequest(id))
	}
	go s.sendRequest(0, submitRequest(job, nil))
	if cancelled {
		go s.cancelWithRetries(id)
	}
}

// sendUnusualRequests repeats submissions, queries unknown jobs and submits invalid jobs at random.
func (s *scheduleRun) sendUnusualRequests(f fault) func() {
	go func() {
		number := 0
		for deadline := time.Now().Add(f.activeTime()); time.Now().Before(deadline); time.Sleep(unusualRequestInterval) {
			number++
			s.sendUnusualRequest(number)
		}
	}()
	return doNothing
}

// sendUnusualRequest sends one request of a random kind. The number distinguishes its job from
// others.
func (s *scheduleRun) sendUnusualRequest(number int) {
	s.mu.Lock()
	kind := s.rng.IntN(4)
	knownID := ""
	if len(s.submittedIDs) > 0 {
		knownID = s.submittedIDs[s.rng.IntN(len(s.submittedIDs))]
	}
	s.mu.Unlock()
	node := (number - 1) % len(s.nodes)
	invalidJob := newSubmission(submission{ID: fmt.Sprintf("wk-9%05d", number), Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 1, CPUs: 1, EstimateS: 1})
	switch kind {
	case 0:
		if knownID != "" {
			s.sendRequest(node, submitRequest(s.submissionOf(knownID), nil))
		}
	case 1:
		s.sendRequest(node, queryRequest(fmt.Sprintf("wk-8%05d", number)))
	case 2:
		invalidJob.CPUs = 64
		s.checkRefused(node, invalidJob, http.StatusUnprocessableEntity)
	case 3:
		invalidJob.omittedField = "reckonS"
		s.checkRefused(node, invalidJob, http.StatusBadRequest)
	}
}

// checkRefused submits an invalid job twice. Each response, if there is one, must have the wanted
// status; a controller may also be unavailable.
func (s *scheduleRun) checkRefused(node int, invalidJob *submission, want int) {
	for range 2 {
		response := s.sendRequest(node, submitRequest(invalidJob, nil))
		if response.status != want && response.status != http.StatusServiceUnavailable && response.status != 0 {
			s.t.Errorf("seed %d: submission of the invalid job %+v: status %d, want %d", s.seed, *invalidJob, response.status, want)
		}
	}
}

// submitJobs submits as many random jobs as the target says.
func (s *scheduleRun) submitJobs(f fault) func() {
	for range f.target {
		s.submitRandomJob()
	}
	return doNothing
}

// submitGangs submits gangs of several sizes at once, all of the same priority.
func (s *scheduleRun) submitGangs(f fault) func() {
	for n := range f.target {
		gang := gangSubmission("", "blue", "normal", 3+n%3, 8)
		gang.SingleZone, gang.ImageGB = n%2 == 0, 2
		s.submitAsync(gang)
	}
	return doNothing
}

// submitUrgentArray submits an array with as many tasks as the target says.
func (s *scheduleRun) submitUrgentArray(f fault) func() {
	s.submitAsync(newSubmission(submission{Kind: wire.KindArray, Team: "blue", Priority: "urgent", Tasks: f.target, CPUs: 2, EstimateS: 3}))
	return doNothing
}

// submitOneTaskJobs submits one-task jobs at a steady rate and cancels a quarter of them.
func (s *scheduleRun) submitOneTaskJobs(f fault) func() {
	const cancelledShare = 0.25
	go func() {
		for deadline := time.Now().Add(f.activeTime()); time.Now().Before(deadline); time.Sleep(oneTaskJobInterval) {
			id := s.submitAsync(newSubmission(submission{Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 1, CPUs: 1, EstimateS: 2}))
			s.mu.Lock()
			cancelled := s.rng.Float64() < cancelledShare
			s.mu.Unlock()
			if cancelled {
				go s.cancelWithRetries(id)
			}
		}
	}()
	return doNothing
}

// submitRandomJob submits a random job in the background.
func (s *scheduleRun) submitRandomJob() { s.submitAsync(s.drawJob()) }

// drawJobOfAnyKind returns a job of a random kind.
func (s *scheduleRun) drawJobOfAnyKind() *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := s.rng.IntN(8)
	team, priority := []string{"red", "blue"}[s.rng.IntN(2)], []string{"low", "normal"}[s.rng.IntN(2)]
	job := newSubmission(submission{Kind: wire.KindArray, Team: team, Priority: priority, Tasks: 2 + s.rng.IntN(12), CPUs: 1})
	job.EstimateS = 2 + float64(s.rng.IntN(12))
	switch kind {
	case 0:
		job.Kind, job.Priority, job.Tasks, job.CPUs = wire.KindService, "urgent", 1+s.rng.IntN(2), 2
	case 1:
		job.SingleZone = true
	case 2:
		job.Zone = []string{"a", "b"}[s.rng.IntN(2)]
	case 3:
		job.CheckpointS, job.SaveS = 5, 2
	case 4:
		job.Tasks, job.EstimateS = 2+s.rng.IntN(2), 30
	case 5, 6:
		job.Kind, job.Tasks, job.CheckpointS, job.SaveS = wire.KindGang, 2+s.rng.IntN(4), 4, 1.5
		job.SingleZone, job.ImageGB = kind == 5, float64(1+s.rng.IntN(5))
	}
	return job
}

// submitAsync assigns an ID to a job and submits it in the background.
func (s *scheduleRun) submitAsync(job *submission) (id string) {
	s.mu.Lock()
	id = fmt.Sprintf("wk-%d", len(s.submittedIDs)+1)
	job.ID = id
	s.submittedIDs = append(s.submittedIDs, id)
	s.submissions[id] = job
	s.mu.Unlock()
	go s.trySubmit(job)
	return id
}

// isAnyRequest returns true.
func isAnyRequest(*http.Request) bool { return true }

// repeatUserRequests makes the network execute a share of users' requests again, long after the
// response.
func (s *scheduleRun) repeatUserRequests(f fault) func() {
	s.clientTransport.SetRepeatDelay(minRepeatDelay, repeatDelayJitter)
	s.clientTransport.SetFaultPolicy(s.policyForShare(f.share, isAnyRequest, network.Repeat))
	return func() { s.clientTransport.SetFaultPolicy(nil) }
}
