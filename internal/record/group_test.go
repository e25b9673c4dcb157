package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"eiderhitch/internal/wire"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// drawGroup draws a group, some of whose tasks are bound to the same machines.
func drawGroup(t *rapid.T) *TaskGroup {
	g := &TaskGroup{Partition: rapid.IntRange(0, 40).Draw(t, "partition"), Zone: rapid.SampledFrom([]string{"", "a", "sundarban"}).Draw(t, "zone"),
		Guaranteed: rapid.Bool().Draw(t, "guaranteed"), DoneTasks: rapid.IntRange(0, 1000).Draw(t, "done"), Throttle: rapid.IntRange(0, 1000).Draw(t, "throttle"), Tasks: []Binding{}}
	for range rapid.IntRange(0, 20).Draw(t, "tasks") {
		task := Binding{Task: rapid.Int32Range(0, 100_000).Draw(t, "num"), Attempt: rapid.Uint64().Draw(t, "attempt")}
		if rapid.Bool().Draw(t, "bound") {
			n := rapid.IntRange(0, 5).Draw(t, "machine")
			task.Machine, task.Addr = fmt.Sprintf("host-%06d", n), fmt.Sprintf("10.1.0.%d:9000", n)
			task.Incarnation = rapid.Uint64Range(1, 5).Draw(t, "incarnation")
		}
		g.Tasks = append(g.Tasks, task)
	}
	return g
}

// A group must be decoded as it was encoded, in each encoding.
func TestTaskGroupRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drawGroup(t)
		for _, encoding := range []Encoding{PlainJSON, Checksummed} {
			content := g.Encode(encoding)
			raw := content.ValueForKey("e/group/wk-1/0")
			if len(raw) != content.Size() || !json.Valid(raw) {
				t.Fatalf("encoding %d: value has %d bytes, want %d bytes of valid JSON: %s", encoding, len(raw), content.Size(), raw)
			}
			if EncodingOf(raw) != encoding {
				t.Fatalf("value in encoding %d: EncodingOf returns %d", encoding, EncodingOf(raw))
			}
			got, gotEncoding, err := DecodeTaskGroup("e/group/wk-1/0", raw)
			if err != nil || gotEncoding != encoding {
				t.Fatalf("value in encoding %d: decoded as encoding %d, error %v", encoding, gotEncoding, err)
			}
			if d := cmp.Diff(g, got); d != "" {
				t.Fatalf("encoding %d: decoded group differs (-want +got):\n%s", encoding, d)
			}
		}
	})
}

// A checksummed value that is damaged at any byte, truncated or stored under another key must be
// rejected, never decoded as a different group.
func TestDamagedOrMisplacedGroupsAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drawGroup(t)
		raw := g.Encode(Checksummed).ValueForKey("e/group/wk-1/0")
		if _, _, err := DecodeTaskGroup("e/group/wk-1/1", raw); !errors.Is(err, ErrChecksum) {
			t.Fatalf("value under another key: error %v, want ErrChecksum", err)
		}
		damaged := bytes.Clone(raw)
		damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, _, err := DecodeTaskGroup("e/group/wk-1/0", damaged); err == nil && !cmp.Equal(g, got) {
			t.Fatalf("damaged value %s is decoded as %+v", damaged, got)
		}
		truncated := raw[:rapid.IntRange(0, len(raw)-1).Draw(t, "cut")]
		if _, _, err := DecodeTaskGroup("e/group/wk-1/0", truncated); err == nil {
			t.Fatalf("truncated value %s is decoded", truncated)
		}
	})
}

// A version that knows only PlainJSON must fail to decode a checksummed value and thus leave it
// unchanged, instead of taking it for a group without tasks.
func TestChecksummedGroupIsNotDecodedAsJSON(t *testing.T) {
	var old TaskGroup
	if err := wire.Decode((&TaskGroup{Partition: 1}).Encode(Checksummed).ValueForKey("e/group/wk-1/0"), &old); err == nil {
		t.Error("a checksummed value is decoded as JSON")
	}
}

// Values without a known encoding must be rejected with an error that callers can recognize.
func TestUnknownEncodingsAreRejected(t *testing.T) {
	for _, raw := range []string{`"AwAAAAAAAAAAAAAAAAAAAAAAAAA"`, `[]`, `17`, ``, `"`, `""`, `"A"`} {
		if g, _, err := DecodeTaskGroup("e/group/wk-1/0", []byte(raw)); g != nil || !errors.Is(err, ErrUnknownEncoding) && !errors.Is(err, ErrChecksum) {
			t.Errorf("%s: group %v, error %v, want ErrUnknownEncoding or ErrChecksum", raw, g, err)
		}
	}
}

// A group with a name that the checksummed encoding can't hold must be stored as PlainJSON, without
// truncating the name.
func TestLongNamesFallBackToPlainJSON(t *testing.T) {
	g := &TaskGroup{Tasks: []Binding{{Machine: strings.Repeat("m", 2000)}}}
	raw := g.Encode(Checksummed).ValueForKey("e/group/wk-1/0")
	got, encoding, err := DecodeTaskGroup("e/group/wk-1/0", raw)
	if err != nil || encoding != PlainJSON {
		t.Fatalf("encoding %d, want PlainJSON; error %v", encoding, err)
	}
	if d := cmp.Diff(g, got); d != "" {
		t.Error(d)
	}
}

// The checksummed encoding of a full record with a different machine for each task must be at most
// two thirds as large as PlainJSON.
func TestChecksummedEncodingIsSmaller(t *testing.T) {
	g := &TaskGroup{Partition: 3, Zone: "sundarban"}
	for i := range 100 {
		g.Tasks = append(g.Tasks, Binding{Task: int32(i), Attempt: 1, Machine: fmt.Sprintf("host-%06d", i), Incarnation: 1, Addr: fmt.Sprintf("10.1.0.%d:9000", i)})
	}
	plain, checksummed := g.Encode(PlainJSON).Size(), g.Encode(Checksummed).Size()
	t.Logf("plain JSON: %d bytes, checksummed: %d bytes", plain, checksummed)
	if checksummed*3 > plain*2 {
		t.Errorf("plain JSON: %d bytes, checksummed: %d bytes, want at most two thirds", plain, checksummed)
	}
}

func BenchmarkTaskGroup(b *testing.B) {
	g := &TaskGroup{Partition: 3}
	for i := range 24 {
		g.Tasks = append(g.Tasks, Binding{Task: int32(i), Attempt: 1, Machine: fmt.Sprintf("host-%06d", i), Incarnation: 1, Addr: fmt.Sprintf("10.1.0.%d:9000", i)})
	}
	for _, encoding := range []Encoding{PlainJSON, Checksummed} {
		raw := g.Encode(encoding).ValueForKey("e/group/wk-1/0")
		b.Run(fmt.Sprintf("encode as %d", encoding), func(b *testing.B) {
			for b.Loop() {
				g.Encode(encoding).ValueForKey("e/group/wk-1/0")
			}
		})
		b.Run(fmt.Sprintf("decode %d", encoding), func(b *testing.B) {
			for b.Loop() {
				if _, _, err := DecodeTaskGroup("e/group/wk-1/0", raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
