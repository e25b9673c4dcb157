package controller

import (
	"eiderhitch/internal/scheduling"
)

// This file searches for cells for the pending tasks of one task group.

// placementClass holds the properties that determine where a task may be placed: if one task of
// a class finds no room, no other task of that class does.
type placementClass struct {
	equivalenceClass, zone string
	claim                  scheduling.Claim
	noPreemption           bool
}

// placement is the search for cells for the pending tasks of one task group.
type placement struct {
	owner     *partitionOwner
	partition *partition
	group     *taskGroup
	class     placementClass
	score     scheduling.ScoreFunc
	// prefersFreedCells restricts preemption to the tasks for which too few cells are expected to
	// become free by themselves.
	prefersFreedCells bool
}

// newPlacement prepares the search for one task group. Tasks of an array wait for a while before
// they preempt others: cells become free continually, and the work of a preempted task is lost.
func (c *partitionOwner) newPlacement(p *partition, group *taskGroup) placement {
	waited := c.now.Sub(group.partitionAssignedAt)
	isArray := !group.job.spec.IsAllOrNothing()
	return placement{
		owner:     c,
		partition: p,
		group:     group,
		class: placementClass{
			equivalenceClass: group.job.equivalenceClass,
			zone:             group.zone,
			claim:            group.claim(),
			noPreemption:     isArray && waited < c.operator.PreemptionDelay,
		},
		score:             c.scorer(p, group),
		prefersFreedCells: isArray && waited < preemptionDelayFactor*c.operator.PreemptionDelay,
	}
}

// placeIndividually requests cells for tasks one by one and stops at the first one for which
// there is no room, unless tasks behind it may preempt.
func (s *placement) placeIndividually(tasks []scheduling.TaskID) {
	for i, task := range tasks {
		if s.requestCells(task) {
			continue
		}
		// The first tasks wait for the cells that become free; the tasks behind them may preempt.
		laterMayPreempt := s.prefersFreedCells && !s.class.noPreemption && i < s.expectedFreedCells()
		if !laterMayPreempt {
			return
		}
	}
}

// expectedFreedCells estimates how many cells become free within evict-after, the time that a
// pending task waits before it may preempt.
func (s *placement) expectedFreedCells() int {
	return s.partition.estimateFreedCells(s.owner.now, s.owner.operator.PreemptionDelay)
}

// currentClass returns the group's placement class at this point of the pass. While cells become
// free continually, the tasks at the head of the queue soon get one, so only the tasks behind
// them preempt. After preemptionDelayFactor times evict-after, all tasks of the group may.
func (s *placement) currentClass() placementClass {
	class := s.class
	if s.prefersFreedCells && !class.noPreemption {
		class.noPreemption = s.partition.unplacedInPass < s.expectedFreedCells()
	}
	return class
}

// requestCells requests cells for tasks that are placed together. It returns false if there is no
// room. Tasks of one class are interchangeable, so once one has found no room, the others of its
// class are not tried in this pass.
func (s *placement) requestCells(tasks ...scheduling.TaskID) bool {
	class := s.currentClass()
	// A job that avoids the machines on which its tasks failed is not interchangeable with
	// others.
	interchangeable := len(tasks) == 1 && len(s.group.job.failedMachines) == 0
	if interchangeable && s.partition.exhaustedClasses[class] {
		s.partition.unplacedInPass++
		return false
	}
	request := &scheduling.AffinityGroup{
		Tasks: tasks, TaskSize: s.group.job.taskSize,
		Claim: class.claim, NoPreemption: class.noPreemption,
	}
	s.partition.cells.Schedule(request, s.score)
	switch request.State {
	case scheduling.GroupAllocated:
		s.owner.recordReservations(s.partition, request)
	case scheduling.GroupPreempting:
		s.owner.stopVictims(s.group.job, request)
	case scheduling.GroupPending:
		if interchangeable {
			s.partition.markExhausted(class)
		}
		s.partition.unplacedInPass++
	}
	return request.State != scheduling.GroupPending
}

// markExhausted records that there is no room for a class in this pass.
func (p *partition) markExhausted(class placementClass) {
	if p.exhaustedClasses == nil {
		p.exhaustedClasses = map[placementClass]bool{}
	}
	p.exhaustedClasses[class] = true
}
