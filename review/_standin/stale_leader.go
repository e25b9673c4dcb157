package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// machineCount machines come up comingUp apart, so that they are idle for long enough one
	// after the other.
	machineCount = 10
	comingUp     = 300 * time.Millisecond
	// freezeTime is the time for which the leader stands still.
	freezeTime = 25 * time.Second
)

// staleLeader stops the leader while it returns idle machines to the cloud, lets the next leader
// give the others work, and lets the former leader go on.
func staleLeader(w *world, trouble bool) {
	w.startAll()
	w.cloud.mu.Lock()
	for i := range machineCount {
		w.cloud.add("trawler", "sundarban", false, time.Now().Add(-time.Minute), time.Duration(i)*comingUp+time.Second)
	}
	w.cloud.mu.Unlock()
	releases := func() int {
		w.cloud.mu.Lock()
		defer w.cloud.mu.Unlock()
		n := 0
		for _, r := range w.cloud.releases {
			if r.path == "/rentals/release" {
				n++
			}
		}
		return n
	}
	// Requests of a controller that is not the leader, with the work that they end.
	var broken []string
	former := ""
	w.cloud.mu.Lock()
	w.cloud.onRequest = func(r cloudRequest) {
		leader, _ := w.state.holder("e/leader")
		held := w.state.heldBy(r.node)
		w.log.add("check: request of %s, leader is %s, keys held by %s: %v", r.node, leader, r.node, held)
		if leader == r.node || leader == "" || len(held) > 0 {
			return
		}
		var ended []string
		for _, name := range r.names {
			w.cloud.mu.Lock()
			m := w.cloud.find(name)
			w.cloud.mu.Unlock()
			if m != nil {
				for _, t := range m.worker.running() {
					ended = append(ended, t+" on "+name)
				}
			}
		}
		broken = append(broken, fmt.Sprintf("%s, which holds no key, sends %s %v while %s leads; running tasks that it ends: %v", r.node, r.path, r.names, leader, ended))
	}
	w.cloud.mu.Unlock()
	if !waitFor(40*time.Second, func() bool { return releases() >= 1 }) {
		unusable("no idle machine was returned")
	}
	former, _ = w.state.holder("e/leader")
	leader := w.node(former)
	// The limit of the cloud's calls lets the next request go 0.83 s after this one. Machines that
	// become due until then wait for it.
	time.Sleep(600 * time.Millisecond)
	if trouble {
		w.log.add("test: %s is stopped", former)
		leader.signal(syscall.SIGSTOP)
	}
	stopped := time.Now()
	if trouble && !waitFor(15*time.Second, func() bool { n, _ := w.state.holder("e/leader"); return n != "" && n != former }) {
		unusable("no other leader")
	}
	up := w.cloud.present()
	tasks := min(len(up), 9)
	w.submit(&jobSpec{ID: "wk-000001", Class: "swellsweep", Rank: "normal", Team: "forecast", Image: "img-01", ImageGB: 1.8, CPUs: 16, RAM: 3.7,
		Tasks: max(tasks, 1), run: 5 * time.Minute}, w.others(leader)...)
	runs := func() int {
		n := 0
		for _, m := range w.cloud.present() {
			n += len(m.worker.running())
		}
		return n
	}
	waitFor(freezeTime-time.Since(stopped), func() bool { return trouble && runs() >= tasks })
	time.Sleep(freezeTime - time.Since(stopped))
	w.log.add("test: %d tasks run", runs())
	if trouble {
		if runs() == 0 {
			unusable("no task runs under the next leader")
		}
		w.log.add("test: %s goes on", former)
		leader.signal(syscall.SIGCONT)
	}
	time.Sleep(15 * time.Second)
	w.cloud.mu.Lock()
	w.cloud.onRequest = nil
	w.cloud.mu.Unlock()
	if len(broken) > 0 {
		finish(1, "the rule was broken: "+strings.Join(broken, "; "))
	}
	finish(0, "the rule held")
}
