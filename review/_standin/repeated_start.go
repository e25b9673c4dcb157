package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// repeatedStart ends a controller, and lets a request follow that it had sent earlier and that was
// carried out: a direct command that starts a task.
func repeatedStart(w *world, trouble bool) {
	w.startAll()
	w.cloud.full = true // there are two machines, and no more to rent
	x := w.nodes[2]     // the owner of the first machine
	first := w.cloud.addMachineOf(2, "trawler", "sundarban")
	worker := w.cloud.find(first).worker
	// A small service keeps the machine in use throughout.
	keeper := w.service("wk-000003", 1)
	keeper.Team, keeper.CPUs = "portdesk", 2
	w.submit(keeper, w.nodes...)
	if !waitFor(20*time.Second, func() bool { return w.runningTasks(keeper) == 1 }) {
		unusable("the service did not start")
	}
	low := &jobSpec{ID: "wk-000001", Class: "swellsweep", Rank: "low", Team: "forecast", Image: "img-01", ImageGB: 1.8, CPUs: 12, RAM: 3.7, Tasks: 1, run: 5 * time.Minute}
	w.submit(low, w.nodes...)
	if !waitFor(20*time.Second, func() bool { return w.runningTasks(low) == 1 }) {
		unusable("the first job did not start")
	}
	// An urgent job takes the place of the first one, which goes on on a second machine.
	urgent := &jobSpec{ID: "wk-000002", Class: "swellsweep", Rank: "urgent", Team: "telemetry", Image: "img-01", ImageGB: 1.8, CPUs: 12, RAM: 3.7, Tasks: 1, run: 15 * time.Second}
	w.submit(urgent, w.nodes...)
	if !waitFor(25*time.Second, func() bool { return strings.Contains(strings.Join(worker.running(), " "), urgent.ID) }) {
		unusable("the urgent job did not start")
	}
	second := w.cloud.addMachineOf(1, "trawler", "sundarban")
	other := w.cloud.find(second).worker
	if !waitFor(30*time.Second, func() bool { return len(other.running()) == 1 }) {
		unusable("the first job does not go on on the second machine")
	}
	if !waitFor(30*time.Second, func() bool { return worker.holds() == 1 }) {
		unusable("the urgent job did not end")
	}
	time.Sleep(5 * time.Second)
	if trouble {
		var copied *directCommand
		for _, d := range worker.commands() {
			if d.starts(low.ID + "/0") {
				copied = d
			}
		}
		if copied == nil {
			unusable("the first task was not started by a direct command")
		}
		w.log.add("test: %s is killed", x.name)
		x.signal(syscall.SIGKILL)
		<-x.done
		time.Sleep(2 * time.Second)
		w.log.add("test: a request of %s that was carried out is repeated: POST /do %s", x.name, copied.body)
		if os.Getenv("TROUBLE") != "kill" { // "kill" ends the controller and repeats nothing
			status, answer := request(context.Background(), "POST", "http://"+worker.addr+"/do", copied.body)
			w.log.add("test: answer %d %s", status, answer)
		}
		time.Sleep(2 * time.Second)
		w.start(x)
	}
	time.Sleep(8 * time.Second)
	if twice := w.startedTwice(); twice != "" {
		finish(1, "the rule was broken: "+twice)
	}
	finish(0, "the rule held")
}

// startedTwice returns which task started on one machine while it was on another, or "".
func (w *world) startedTwice() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	on := map[string]map[string]bool{}
	for _, e := range w.placements {
		if on[e.task] == nil {
			on[e.task] = map[string]bool{}
		}
		if !e.begins {
			delete(on[e.task], e.machine)
			continue
		}
		for machine := range on[e.task] {
			if machine != e.machine {
				return fmt.Sprintf("%s starts on %s at %.3f s while it is on %s", e.task, e.machine, e.at.Sub(w.log.start).Seconds(), machine)
			}
		}
		on[e.task][e.machine] = true
	}
	return ""
}
