package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// The reserve is sized for the largest recent gang of each class and the number of unfinished
// gangs.
func TestLargestGangOfEachClass(t *testing.T) {
	reserve := gangReserve{classes: map[string]*gangClass{}}
	now := time.Now()
	for _, spec := range []*wire.Job{
		{ID: "wk-1", Class: "train", TaskCount: 4, CPUs: 1},
		{ID: "wk-2", Class: "train", TaskCount: 9, CPUs: 2},
		{ID: "wk-3", Class: "train", TaskCount: 6, CPUs: 3},
		{ID: "wk-4", Class: "eval", TaskCount: 2, CPUs: 1},
	} {
		reserve.recordGang(&job{id: spec.ID, spec: spec, taskSize: scheduling.NewResources(spec.CPUs, 0, 0)}, now)
	}
	train := reserve.classes["train"]
	if train.spec.ID != "wk-2" || train.taskSize != scheduling.NewResources(2, 0, 0) || train.gangCount != 3 || !train.lastSeenAt.Equal(now) {
		t.Errorf("class train is %+v of gang %s, want 3 gangs, the largest wk-2", train, train.spec.ID)
	}
	sorted := reserve.sortedClasses()
	if len(sorted) != 2 || sorted[0] != train || sorted[1].gangCount != 1 {
		t.Errorf("got %d sorted classes, want train before eval", len(sorted))
	}
	if got, want := train.targetTasks(), 9*(1+2); got != want { // the square root of 3, rounded up
		t.Errorf("the target is room for %d tasks, want %d", got, want)
	}
}

// Machines are retained for twice the target room of a class, starting with the first ones.
func TestRetainedReserveMachines(t *testing.T) {
	reserve := gangReserve{classes: map[string]*gangClass{
		"train": {spec: &wire.Job{Class: "train", TaskCount: 4}, taskSize: scheduling.NewResources(1, 0, 0)},
	}}
	size := scheduling.NewResources(4, 0, 0)
	var machines []*planning.MachineSummary
	for i := range 4 {
		machines = append(machines, &planning.MachineSummary{Index: scheduling.MachineIndex(i), Size: size, FreeResources: size})
	}
	reserve.selectRetainedMachines(machines)
	if len(reserve.retainedMachines) != 2 || !reserve.retainedMachines[0] || !reserve.retainedMachines[1] {
		t.Errorf("machines %v are retained, want 0 and 1", reserve.retainedMachines)
	}
}
