package main

import (
	"fmt"
	"time"
)

const zoneA, zoneB = "catania", "palermo"

// twoZones stops the machine on which a job that is bound to one zone runs, and lets room and quota
// become free together.
func twoZones(w *world, trouble bool) {
	w.zones = []string{zoneA, zoneB}
	w.startAll()
	w.cloud.full = true // there are no more machines to rent
	low := &jobSpec{ID: "wk-000001", Class: "trascrizione", Rank: "low", Team: "portdesk", Image: "img-01", ImageGB: 0.5, CPUs: 4, RAM: 2, Tasks: 4, run: 5 * time.Minute, Zone: zoneA}
	other := &jobSpec{ID: "wk-000002", Class: "trascrizione", Rank: "urgent", Team: "archive", Image: "img-01", ImageGB: 0.5, CPUs: 4, RAM: 2, Tasks: 6, run: 5 * time.Minute, Zone: zoneB}
	job := &jobSpec{ID: "wk-000003", Class: "trascrizione", Rank: "normal", Team: "archive", Image: "img-01", ImageGB: 0.5, CPUs: 4, RAM: 2, Tasks: 8, run: 5 * time.Minute, SamePlace: true}
	runs := func(j *jobSpec, tasks int) {
		w.submit(j, w.nodes...)
		if !waitFor(25*time.Second, func() bool { return w.runningTasks(j) == tasks }) {
			unusable("%s: %d tasks run, not %d", j.ID, w.runningTasks(j), tasks)
		}
	}
	w.cloud.addMachineOf(1, "trawler", zoneA)
	runs(low, 4)
	for i := range 6 {
		w.cloud.addMachineOf(i%2, "dinghy", zoneB)
	}
	runs(other, 6)
	first := w.cloud.find(w.cloud.addMachineOf(0, "trawler", zoneA))
	runs(job, 4) // the team's limit permits no more
	started := time.Now()
	time.Sleep(3 * time.Second)
	if trouble {
		w.log.add("test: %s stops with all that is on it", first.name)
		w.cloud.stop(first)
	}
	time.Sleep(30*time.Second - time.Since(started))
	w.log.add("test: the tasks of %s are done", other.ID)
	for _, m := range w.cloud.present() {
		m.worker.finish(other)
	}
	end := time.Now().Add(25 * time.Second)
	for time.Now().Before(end) {
		zones := map[string]int{}
		for _, m := range w.cloud.present() {
			for _, t := range m.worker.running() {
				if t[:len(job.ID)+1] == job.ID+"/" {
					zones[m.zone]++
				}
			}
		}
		if len(zones) > 1 {
			finish(1, fmt.Sprintf("the rule was broken: tasks of %s, which must all be in one zone, run in %v", job.ID, zones))
		}
		time.Sleep(50 * time.Millisecond)
	}
	finish(0, fmt.Sprintf("the rule held: %d tasks of %s run", w.runningTasks(job), job.ID))
}
