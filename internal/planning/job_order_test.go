package planning

import (
	"testing"

	"pgregory.net/rapid"
)

func drawJobTiming(t *rapid.T, name string) *JobTiming {
	return &JobTiming{
		DeadlineS:     rapid.Float64Range(1, 500).Draw(t, name+" deadline"),
		EstimateS:     rapid.Float64Range(1, 200).Draw(t, name+" estimate"),
		RemainingWork: rapid.Float64Range(1, 1e6).Draw(t, name+" remaining work"),
		Started:       rapid.Bool().Draw(t, name+" started"),
		AgeS:          rapid.Float64Range(0, 60).Draw(t, name+" age"),
	}
}

// Jobs that must start, and overdue jobs during their time slice, go before all other jobs, so that
// each job starts and ends however many small jobs arrive. Overdue jobs have at least one second
// in any 20 consecutive seconds, and at most half of them.
func TestUnstartedAndOverdueJobsGoFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, young := drawJobTiming(t, "old"), drawJobTiming(t, "young")
		young.Started = true
		old.Started, old.OverdueTimeSlice, old.AgeS = true, true, overdueFactor*old.DeadlineS+startWithinS+1
		if old.Urgency().Compare(young.Urgency()) >= 0 {
			t.Fatalf("expected overdue job %+v to go before job %+v", old, young)
		}
		old.Started, old.AgeS = false, forceStartAfterS+1
		if old.Urgency().Compare(young.Urgency()) >= 0 {
			t.Fatalf("expected job %+v, which must start, to go before job %+v", old, young)
		}
		from, seconds := rapid.Int64Range(0, 1<<40).Draw(t, "from"), 0
		for i := range int64(20) {
			if IsOverdueTimeSlice(from + i) {
				seconds++
			}
		}
		if seconds == 0 || seconds > 10 {
			t.Fatalf("expected overdue jobs to go first during 1 to 10 of 20 seconds, got %d", seconds)
		}
	})
}

func TestUrgencyClasses(t *testing.T) {
	const deadlineS, objectiveS = 100, 400
	for _, row := range []struct {
		name     string
		job      JobTiming
		expected UrgencyClass
	}{
		{"meets its deadline", JobTiming{AgeS: 40, EstimateS: 60}, UrgencyOnTime},
		{"late by at most half of its deadline", JobTiming{AgeS: 90, EstimateS: 60}, UrgencySlightlyLate},
		{"meets its objective", JobTiming{AgeS: 90, EstimateS: 310}, UrgencyLate},
		{"misses its objective", JobTiming{AgeS: 90, EstimateS: 311}, UrgencyObjectiveMissed},
		{"has not started in time", JobTiming{AgeS: forceStartAfterS + 1, EstimateS: 1}, UrgencyMustStart},
		{"has started", JobTiming{Started: true, AgeS: forceStartAfterS + 1, EstimateS: 1}, UrgencySlightlyLate},
		{"overdue during the time slice", JobTiming{Started: true, OverdueTimeSlice: true, AgeS: 301, EstimateS: 1}, UrgencyOverdue},
		{"overdue outside of the time slice", JobTiming{Started: true, AgeS: 301, EstimateS: 1}, UrgencyLate},
		{"without a deadline", JobTiming{NoDeadline: true, OverdueTimeSlice: true, AgeS: 1000, EstimateS: 1}, UrgencyOnTime},
		{"all or nothing", JobTiming{AllOrNothing: true, OverdueTimeSlice: true, AgeS: 1000, EstimateS: 1}, UrgencyOnTime},
	} {
		t.Run(row.name, func(t *testing.T) {
			row.job.DeadlineS, row.job.ObjectiveS = deadlineS, objectiveS
			if got := row.job.Urgency().Class; got != row.expected {
				t.Errorf("%+v: expected urgency class %d, got %d", row.job, row.expected, got)
			}
		})
	}
}

func TestForcedTaskCount(t *testing.T) {
	overdue := JobTiming{Started: true, OverdueTimeSlice: true, AgeS: startWithinS + 1, DeadlineS: 1}
	unstarted := JobTiming{AgeS: forceStartAfterS + 1, DeadlineS: 1000}
	for _, row := range []struct {
		name     string
		job      JobTiming
		pending  int
		expected int
	}{
		{"overdue during the time slice", overdue, 0, MinTasksPerPartition},
		{"must start", unstarted, 0, ForcedStartTasks},
		{"has pending tasks", unstarted, 1, 0},
		{"neither overdue nor must start", JobTiming{Started: true, DeadlineS: 1000}, 0, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := row.job.ForcedTaskCount(row.pending); got != row.expected {
				t.Errorf("expected %d forced tasks, got %d", row.expected, got)
			}
		})
	}
}

func TestCompletionWindow(t *testing.T) {
	for _, row := range []struct {
		name      string
		job       JobTiming
		expectedS float64
	}{
		{"all or nothing", JobTiming{AllOrNothing: true, EstimateS: 60, DeadlineS: 100}, 0},
		{"two run times of a task", JobTiming{NoDeadline: true, EstimateS: 60}, 120},
		{"short tasks", JobTiming{NoDeadline: true, EstimateS: 5}, 30},
		{"limited by the time to the deadline", JobTiming{EstimateS: 60, DeadlineS: 100}, 60},
		{"little time to the deadline", JobTiming{AgeS: 95, EstimateS: 3, DeadlineS: 100}, 10},
		{"limited by the time to the objective if the job is late", JobTiming{AgeS: 300, EstimateS: 60, DeadlineS: 100, ObjectiveS: 400}, 60},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := row.job.CompletionWindowS(); got != row.expectedS {
				t.Errorf("expected a window of %v s, got %v s", row.expectedS, got)
			}
		})
	}
}
