package scheduling

import "testing"

func TestCanPreempt(t *testing.T) {
	const team, otherTeam TeamIndex = 1, 2
	for _, row := range []struct {
		name          string
		claim, victim Claim
		expected      bool
	}{
		{"higher priority", Claim{Priority: 2, Team: team}, Claim{Priority: 1, Team: team}, true},
		{"higher priority than a guaranteed victim", Claim{Priority: 2, Team: team}, Claim{Priority: 1, Guaranteed: true, Team: otherTeam}, true},
		{"lower priority", Claim{Priority: 1, Guaranteed: true, Team: team}, Claim{Priority: 2, Team: otherTeam}, false},
		{"guaranteed, victim of another team", Claim{Guaranteed: true, Team: team}, Claim{Team: otherTeam}, true},
		{"guaranteed, victim of the same team", Claim{Guaranteed: true, Team: team}, Claim{Team: team}, false},
		{"both guaranteed", Claim{Guaranteed: true, Team: team}, Claim{Guaranteed: true, Team: otherTeam}, false},
		{"neither guaranteed", Claim{Team: team}, Claim{Team: otherTeam}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := row.claim.CanPreempt(row.victim); got != row.expected {
				t.Errorf("%+v can preempt %+v: expected %v, got %v", row.claim, row.victim, row.expected, got)
			}
		})
	}
}
