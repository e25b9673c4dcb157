package main

import (
	"fmt"
	"hash/fnv"
	"time"
)

// partitionOf returns the partition, out of three, that a machine's name belongs to
// (docs/architecture.md: a hash of its name). It only chooses names; the check does not use it.
func partitionOf(name string) int {
	hasher := fnv.New32a()
	_, _ = hasher.Write([]byte(name))
	hash := hasher.Sum32()
	hash ^= hash >> 15
	hash *= 0x2c1b3c6d
	hash ^= hash >> 12
	return int(hash % 3)
}

// addMachineOf creates the next machine that is in a partition. Names in between belong to
// machines that were returned earlier.
func (c *cloudServer) addMachineOf(partition int, kind, zone string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for partitionOf(fmt.Sprintf("host-%06d", c.last+1)) != partition {
		c.last++
	}
	return c.add(kind, zone, false, time.Now(), 0)
}

// service returns a job whose tasks each take a whole machine.
func (w *world) service(id string, tasks int) *jobSpec {
	return &jobSpec{ID: id, Class: "tidewatch", Rank: "urgent", Team: "forecast", Image: "img-01", ImageGB: 1.5, CPUs: 16, RAM: 2.5, Tasks: tasks, Service: true, run: 0}
}

func (w *world) runningTasks(j *jobSpec) int {
	n := 0
	for _, m := range w.cloud.present() {
		for _, name := range m.worker.running() {
			if len(name) > len(j.ID) && name[:len(j.ID)+1] == j.ID+"/" {
				n++
			}
		}
	}
	return n
}
