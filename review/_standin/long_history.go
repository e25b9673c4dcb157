package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// finishedJobs have been done since the service was set up. agePerSecond of them are added in
	// a second of the test.
	finishedJobs = 150000
	agePerSecond = 8000
	// restartDelay is the time after which a controller that has ended is started again.
	restartDelay = 4 * time.Second
	// forgottenAfter is the time without an answer after which a job counts as forgotten once all
	// troubles are over.
	forgottenAfter = 75 * time.Second
)

// longHistory ends all controllers of a service that has run for some days, and starts them again.
func longHistory(w *world, trouble bool) {
	w.startAll()
	w.cloud.addMachineOf(0, "trawler", "sundarban")
	running := w.service("wk-000001", 1)
	running.CPUs = 2
	w.submit(running, w.nodes...)
	short := &jobSpec{ID: "wk-000002", Class: "swellsweep", Rank: "normal", Team: "forecast", Image: "img-01", ImageGB: 1.8, CPUs: 2, RAM: 3.7, Tasks: 1, run: time.Second}
	w.submit(short, w.nodes...)
	// What the controllers keep of a job that is done.
	kept := "e/job/" + short.ID
	if !waitFor(25*time.Second, func() bool {
		return w.runningTasks(running) == 1 && len(w.state.value(kept)) < 20 && w.state.countBelow("e/group/"+short.ID) == 0
	}) {
		unusable("the first jobs did not get so far")
	}
	value := w.state.value(kept)
	w.log.add("test: of a job that is done, %s = %s is kept; the state service gets %d more of these", kept, value, finishedJobs)
	for i := 0; i < finishedJobs; i += agePerSecond / 10 {
		var keys []string
		for k := i; k < i+agePerSecond/10; k++ {
			keys = append(keys, fmt.Sprintf("e/job/wk-%06d", 100000+k))
		}
		w.state.age(keys, value)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for _, n := range w.nodes {
		for _, id := range []string{running.ID, short.ID, "wk-100000"} {
			if status, answer := w.user(n, "GET", "/v1/jobs/"+id, nil); status != 200 {
				unusable("poll before the trouble: %d %s", status, answer)
			}
		}
	}
	if trouble {
		w.log.add("test: all controllers are killed")
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range w.nodes {
			<-n.done
		}
		time.Sleep(restartDelay)
		for _, n := range w.nodes {
			w.start(n)
		}
	}
	over := time.Now()
	for i := 0; time.Since(over) < forgottenAfter+time.Second; i++ {
		if status, _ := w.user(w.nodes[i%3], "GET", "/v1/jobs/"+running.ID, nil); status == 200 {
			if trouble {
				finish(0, fmt.Sprintf("the rule held: an answer came after %.1f s", time.Since(over).Seconds()))
			}
		} else if !trouble {
			finish(1, fmt.Sprintf("the rule was broken without trouble: %d", status))
		}
		time.Sleep(time.Second)
	}
	if !trouble {
		finish(0, "the rule held: every poll was answered")
	}
	w.state.mu.Lock()
	defer w.state.mu.Unlock()
	finish(1, fmt.Sprintf("the rule was broken: no poll for %s was answered for %.0f s after all controllers were back; pages listed %v, requests refused with 429 %v",
		running.ID, time.Since(over).Seconds(), w.state.listed, w.state.tooMany))
}
