package controller

import "testing"

// A job moves to the zone with the most room, of equals to the first by name.
func TestZoneWithMostRoom(t *testing.T) {
	for _, row := range []struct {
		name string
		room map[string]int
		want string
	}{
		{name: "no room anywhere", room: nil, want: "b"},
		{name: "most room elsewhere", room: map[string]int{"a": 1, "b": 2, "c": 3}, want: "c"},
		{name: "most room here", room: map[string]int{"a": 1, "b": 2}, want: "b"},
		{name: "as much room elsewhere", room: map[string]int{"a": 2, "b": 2, "c": 2}, want: "a"},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := zoneWithMostRoom(row.room, "b"); got != row.want {
				t.Errorf("zone %q, want %q", got, row.want)
			}
		})
	}
}

// Only tasks that are not placed move, the first ones first.
func TestBindingsToMove(t *testing.T) {
	placed := &machine{name: "host-1"}
	group := &taskGroup{bindings: []binding{{task: 0}, {task: 1, machine: placed}, {task: 2}, {task: 3}}}
	for _, row := range []struct{ limit, moving, staying int }{
		{limit: 0, moving: 0, staying: 4},
		{limit: 2, moving: 2, staying: 2},
		{limit: 9, moving: 3, staying: 1},
	} {
		moving, staying := group.bindingsToMove(row.limit)
		if len(moving) != row.moving || len(staying) != row.staying {
			t.Errorf("of at most %d tasks %d move and %d stay, want %d and %d", row.limit, len(moving), len(staying), row.moving, row.staying)
		}
		for _, bound := range moving {
			if bound.machine != nil {
				t.Errorf("task %d moves, though it is placed", bound.task)
			}
		}
	}
}
