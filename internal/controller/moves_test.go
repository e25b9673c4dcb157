package controller

import "testing"

// A job moves to the zone with the most room. Among equals it moves to the first by name.
func TestZoneWithMostRoom(t *testing.T) {
	for _, test := range []struct {
		name string
		room map[string]int
		want string
	}{
		{name: "no room anywhere", room: nil, want: "b"},
		{name: "most room elsewhere", room: map[string]int{"a": 1, "b": 2, "c": 3}, want: "c"},
		{name: "most room here", room: map[string]int{"a": 1, "b": 2}, want: "b"},
		{name: "equal room elsewhere", room: map[string]int{"a": 2, "b": 2, "c": 2}, want: "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := zoneWithMostRoom(test.room, "b"); got != test.want {
				t.Errorf("got zone %q, want %q", got, test.want)
			}
		})
	}
}

// Only tasks that are not placed move, starting with the first ones.
func TestBindingsToMove(t *testing.T) {
	placed := &machine{name: "host-1"}
	group := &taskGroup{bindings: []binding{{task: 0}, {task: 1, machine: placed}, {task: 2}, {task: 3}}}
	for _, test := range []struct{ limit, moving, staying int }{
		{limit: 0, moving: 0, staying: 4},
		{limit: 2, moving: 2, staying: 2},
		{limit: 9, moving: 3, staying: 1},
	} {
		moving, staying := group.bindingsToMove(test.limit)
		if len(moving) != test.moving || len(staying) != test.staying {
			t.Errorf("with limit %d, %d tasks move and %d stay, want %d and %d", test.limit, len(moving), len(staying), test.moving, test.staying)
		}
		for _, bound := range moving {
			if bound.machine != nil {
				t.Errorf("task %d moves, although it is placed", bound.task)
			}
		}
	}
}
