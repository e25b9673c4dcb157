package controller

import "testing"

// Each record key is recognized by its prefix. Keys of other packages have the kind otherKind.
func TestParseKey(t *testing.T) {
	for _, x := range []struct {
		key  string
		kind keyKind
		name string
	}{
		{key: jobKey("wk-1"), kind: jobKind, name: "wk-1"},
		{key: groupKey("wk-1", 3), kind: groupKind, name: "wk-1/3"},
		{key: machineTypesKey, kind: machineTypesKind},
		{key: tombstonePrefix + "host-1", kind: tombstoneKind, name: "host-1"},
		{key: loanKey("host-1"), kind: loanKind, name: "host-1"},
		{key: "e/part/1", kind: otherKind},
		{key: "e/leader", kind: otherKind},
		{key: "e/types/more", kind: otherKind},
	} {
		t.Run(x.key, func(t *testing.T) {
			if kind, name := parseKey(x.key); kind != x.kind || name != x.name {
				t.Errorf("kind %d, name %q, want %d and %q", kind, name, x.kind, x.name)
			}
		})
	}
}

// Parsing the key of a task group or the name of a task returns the parts that it was made
// from. Malformed ones are rejected.
func TestParseGroupKeyAndTaskName(t *testing.T) {
	if id, number, ok := parseGroupKey(groupKey("wk-1", 12)); !ok || id != "wk-1" || number != 12 {
		t.Errorf("job %q, number %d, ok %v, want wk-1 and 12", id, number, ok)
	}
	if id, number, ok := parseTaskName(taskName("wk-1", 12)); !ok || id != "wk-1" || number != 12 {
		t.Errorf("job %q, number %d, ok %v, want wk-1 and 12", id, number, ok)
	}
	for _, name := range []string{"wk-1", "wk-1/", "wk-1/x", "wk-1/1/2"} {
		if _, _, ok := parseGroupKey(groupPrefix + name); ok {
			t.Errorf("malformed group key %q was accepted", groupPrefix+name)
		}
		if _, _, ok := parseTaskName(name); ok {
			t.Errorf("malformed task name %q was accepted", name)
		}
	}
}
