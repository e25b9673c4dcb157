package mesh

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestStatusRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Status{Node: rapid.StringN(0, 20, 100).Draw(t, "node"), Boot: rapid.StringN(0, 20, 100).Draw(t, "boot"), Fresh: rapid.Bool().Draw(t, "fresh"), Able: rapid.Bool().Draw(t, "able"),
			Parts: rapid.SliceOf(rapid.Uint64()).Draw(t, "parts")}
		for range rapid.IntRange(0, 5).Draw(t, "n") {
			s.Machines = append(s.Machines, Machine{Name: rapid.StringN(0, 20, 100).Draw(t, "name"), Addr: "10.1.0.2:9000", Type: "g8", Zone: "a",
				Session: rapid.Uint64().Draw(t, "session"), Flags: rapid.Uint8().Draw(t, "flags")})
		}
		for range rapid.IntRange(0, 3).Draw(t, "closing") {
			s.Closing = append(s.Closing, rapid.StringN(0, 20, 100).Draw(t, "closes"))
		}
		if len(s.Parts) == 0 {
			s.Parts = nil
		}
		got, err := ReadStatus(bytes.NewReader(AppendStatus(nil, s)))
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(s, got); d != "" {
			t.Fatal(d)
		}
	})
}

// A bad frame is an error, never a panic and never a huge allocation.
func TestBadFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		good := AppendStatus(nil, &Status{Node: "n", Parts: []uint64{1}, Machines: []Machine{{Name: "m"}}})
		for range rapid.IntRange(1, 4).Draw(t, "flips") {
			good[rapid.IntRange(0, len(good)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		good = good[:rapid.IntRange(0, len(good)).Draw(t, "cut")]
		s, err := ReadStatus(bytes.NewReader(good))
		if (s == nil) == (err == nil) {
			t.Fatalf("status %v, error %v", s, err)
		}
	})
	other := AppendStatus(nil, &Status{})
	other[2] = Version + 1
	if _, err := ReadStatus(bytes.NewReader(other)); !errors.Is(err, ErrVersion) {
		t.Fatalf("another version: %v", err)
	}
}

// The status of an owner of 2,000 machines, all of them being emptied, fits a frame.
func TestStatusOfManyMachines(t *testing.T) {
	s := &Status{Node: "perch-0", Boot: "0123456789abcdef", Parts: []uint64{0}}
	for i := range 2000 {
		name := fmt.Sprintf("host-%06d-in-a-long-name", i)
		s.Machines = append(s.Machines, Machine{Name: name, Addr: "10.101.102.103:65535", Type: "a-large-type", Zone: "a-long-zone", Session: 1 << 40, Flags: Up})
		s.Closing = append(s.Closing, name)
	}
	got, err := ReadStatus(bytes.NewReader(AppendStatus(nil, s)))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(s, got); d != "" {
		t.Error(d)
	}
}
