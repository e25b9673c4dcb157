package main

import (
	"fmt"
	"time"
)

// lateStatus ends a controller twice and starts it again at once. Then a late copy of the last
// message of its first process reaches the leader.
func lateStatus(w *world, trouble bool) {
	x, leader := w.nodes[2], w.nodes[0]
	mesh, addr := newProxy(w.log, leader.mesh)
	x.meshOf[leader.name] = addr
	w.startAll()
	if name, _ := w.state.holder("e/leader"); name != leader.name {
		unusable("%s leads", name)
	}
	w.cloud.full = true // there are three machines, and no more to rent
	w.cloud.addMachineOf(0, "trawler", "sundarban")
	w.cloud.addMachineOf(1, "trawler", "sundarban")
	first := w.service("wk-000001", 2)
	w.submit(first, w.nodes...)
	if !waitFor(20*time.Second, func() bool { return w.runningTasks(first) == 2 }) {
		unusable("the first job did not start")
	}
	if trouble {
		connection := mesh.latest()
		w.log.add("test: %s is killed", x.name)
		x.kill()
		time.Sleep(200 * time.Millisecond)
		w.start(x)
		time.Sleep(1400 * time.Millisecond)
		w.log.add("test: %s is killed again", x.name)
		x.kill()
		time.Sleep(200 * time.Millisecond)
		w.start(x)
		time.Sleep(1500 * time.Millisecond)
		mesh.repeatLast(connection)
	}
	time.Sleep(time.Second)
	w.log.add("test: the trouble is over")
	third := w.cloud.addMachineOf(2, "trawler", "sundarban")
	time.Sleep(5 * time.Second)
	second := w.service("wk-000002", 1)
	w.submit(second, w.nodes...)
	accepted := time.Now()
	if waitFor(90*time.Second, func() bool { return w.runningTasks(second) == 1 }) {
		finish(0, fmt.Sprintf("the rule held: the job runs after %.1f s", time.Since(accepted).Seconds()))
	}
	status, answer := w.user(w.nodes[1], "GET", "/v1/jobs/wk-000002", nil)
	finish(1, fmt.Sprintf("the rule was broken: 90 s after it was accepted the job waits (%d %s), while %s is up and empty", status, answer, third))
}
