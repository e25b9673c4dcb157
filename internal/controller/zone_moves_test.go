package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// A job whose tasks must be in one zone ran in two: in one pass the leader moved its waiting tasks to
// another zone and assigned its remaining tasks to the former one, and both were stored (review/3,
// wrong_place).
func TestMovedJobGetsNoTasksInItsFormerZone(t *testing.T) {
	runCluster(t, func(c *cluster) {
		const otherJobS = 90 // long enough for the leader to move a job that waits, see zoneMoveDelay
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 4, CPUs: 4, EstimateS: 600, Zone: "a", MachineTypes: []string{"large"}}))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "red", Priority: "normal", Tasks: 2, CPUs: 4, EstimateS: otherJobS, Zone: "b", MachineTypes: []string{"small"}}))
		c.await("the first two arrays run", time.Minute, func() bool {
			return c.env.CountRunningTasks("wk-1") == 4 && c.env.CountRunningTasks("wk-2") == 2
		})
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.KindArray, Team: "red", Priority: "normal", Tasks: 8, CPUs: 4, EstimateS: 300, SingleZone: true}))
		c.await("four tasks of the single-zone array run, and again the tasks that they have displaced", time.Minute, func() bool {
			return c.env.CountRunningTasks("wk-3") == 4 && c.env.CountRunningTasks("wk-1") == 4
		})
		c.env.Cloud.SetCapacity(0)
		lost := c.agentWithJob("wk-3")
		if lost.Zone() != "a" {
			t.Fatalf("the single-zone array runs in zone %s, want a", lost.Zone())
		}
		lost.Terminate()
		c.await("the single-zone array runs again", 3*time.Minute, func() bool { return c.env.CountRunningTasks("wk-3") >= 2 })
		time.Sleep(time.Minute)
	})
}

// The move of a job to another zone and an assignment of its remaining tasks, both decided from the
// same records, void each other: each changes a key whose revision, or absence, is a condition of the
// other. Thus whichever is stored second fails, also if it arrives late.
func TestZoneMoveAndAssignmentExcludeEachOther(t *testing.T) {
	for _, row := range []struct {
		name        string
		kind        string
		emptyGroups int // number of stored groups whose tasks are all done
		newGroups   int // number of groups that the assignment stores
	}{
		{"array", wire.KindArray, 0, 1},
		{"array, several groups", wire.KindArray, 0, 3},
		{"array, a reused group", wire.KindArray, 1, 1},
		{"array, a reused group and a new one", wire.KindArray, 1, 2},
		{"array, more reusable groups than needed", wire.KindArray, 3, 1},
		{"service", wire.KindService, 0, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newTestController(t)
			spec := &wire.Job{ID: "wk-1", Team: "blue", Service: row.kind == wire.KindService, TaskCount: 40, CPUs: 1, SingleZone: true}
			job := putTestJob(t, c, spec)
			stored := []record.TaskGroup{{Zone: "a", Tasks: []record.Binding{{Task: 0}}}}
			for range row.emptyGroups {
				stored = append(stored, record.TaskGroup{Zone: "a", DoneTasks: 1})
			}
			for i, group := range stored {
				c.replica.Put(groupKey("wk-1", i), marshalJSON(t, group), uint64(10+i))
			}
			var groups []record.TaskGroup
			for i := range row.newGroups {
				groups = append(groups, newTaskGroupRecord(0, "a", false, int32(20+i), 1))
			}
			// The numbers of new groups must not depend on which write is made first.
			move, again := c.newZoneMoveWrite(job, "b"), c.newZoneMoveWrite(job, "b")
			assignment, _ := c.newAssignmentWrite(job, groups)
			if fmt.Sprint(move.Changes) != fmt.Sprint(again.Changes) {
				t.Errorf("the same move has other changes the second time: %v, %v", move.Changes, again.Changes)
			}
			if !voids(move, assignment) || !voids(assignment, move) {
				t.Errorf("move %+v and assignment %+v can both be stored", move, assignment)
			}
		})
	}
}

// voids reports whether a write fails after another one was stored that was made from the same
// records.
func voids(stored, write *store.Write) bool {
	return slices.ContainsFunc(stored.Changes, func(change wire.Change) bool {
		return slices.ContainsFunc(write.Conditions, func(condition wire.Condition) bool { return condition.Key == change.Key() })
	})
}

// A gang, which moves in several transactions, can't move to another zone before all of its tasks are
// assigned.
func TestPartlyAssignedGangKeepsItsZone(t *testing.T) {
	for _, assigned := range []int{3, 4} {
		c := newTestController(t)
		job := putTestJob(t, c, &wire.Job{ID: "wk-1", Team: "blue", Gang: true, TaskCount: 4, CPUs: 1, SingleZone: true})
		group := newTaskGroupRecord(0, "a", false, 0, assigned)
		c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, group), 10)
		c.now = c.now.Add(2 * zoneMoveDelay)
		if got := c.canChangeZone(job.groups[0]); got != (assigned == 4) {
			t.Errorf("%d of 4 tasks assigned: the gang may change its zone: %v", assigned, got)
		}
	}
}
