package scheduling

import "testing"

func TestCountFitting(t *testing.T) {
	for _, row := range []struct {
		name         string
		amount, size Resources
		limit        int
		expected     int
	}{
		{"the scarcest resource limits", NewResources(8, 2, 64), NewResources(2, 1, 1), 10, 2},
		{"at most the limit", NewResources(8, 0, 64), NewResources(1, 0, 1), 3, 3},
		{"a resource of which the size is zero doesn't limit", NewResources(8, 0, 0), NewResources(2, 0, 0), 10, 4},
		{"size of zero", NewResources(8, 0, 0), Resources{}, 10, 10},
		{"fractions", NewResources(1, 0, 0), NewResources(0.3, 0, 0), 10, 3},
		{"overcommitted", Resources{CPU: 4000, RAM: -1}, NewResources(1, 0, 0), 10, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := row.amount.CountFitting(row.size, row.limit); got != row.expected {
				t.Errorf("expected %d pieces to fit, got %d", row.expected, got)
			}
		})
	}
}
