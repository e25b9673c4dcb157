package planning

import (
	"testing"

	"pgregory.net/rapid"
)

func drawJobOrder(t *rapid.T, name string) *JobOrder {
	return &JobOrder{
		DeadlineS:     rapid.Float64Range(1, 500).Draw(t, name+" deadline"),
		EstimateS:     rapid.Float64Range(1, 200).Draw(t, name+" estimate"),
		RemainingWork: rapid.Float64Range(1, 1e6).Draw(t, name+" remaining work"),
		Started:       rapid.Bool().Draw(t, name+" started"),
		AgeS:          rapid.Float64Range(0, 60).Draw(t, name+" age"),
	}
}

// Whatever small work keeps arriving, every job starts and ends: once it has to start it
// goes before all others, and once it is overdue it does so in its turn, which comes in
// every twenty seconds and leaves most of them to others.
func TestNothingWaitsForEver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, young := drawJobOrder(t, "old"), drawJobOrder(t, "young")
		young.Started = true
		old.Started, old.OverdueTurn, old.AgeS = true, true, overdueFactor*old.DeadlineS+startWithinS+1
		if old.Urgency().Compare(young.Urgency()) >= 0 {
			t.Fatalf("expected overdue job %+v to go before %+v", old, young)
		}
		old.Started, old.AgeS = false, forceStartAfterS+1
		if old.Urgency().Compare(young.Urgency()) >= 0 {
			t.Fatalf("expected job that must start %+v to go before %+v", old, young)
		}
		from, turns := rapid.Int64Range(0, 1<<40).Draw(t, "from"), 0
		for i := range int64(20) {
			if IsOverdueTurn(from + i) {
				turns++
			}
		}
		if turns == 0 || turns > 10 {
			t.Fatalf("expected 1 to 10 seconds of overdue jobs in 20, got %d", turns)
		}
	})
}
