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

func TestTaskGroupRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drawGroup(t)
		for _, encoding := range []Encoding{PlainJSON, Checksummed} {
			content := g.Encode(encoding)
			raw := content.ValueForKey("e/group/wk-1/0")
			if len(raw) != content.Size() || !json.Valid(raw) {
				t.Fatalf("encoding %d: %d bytes, not %d, or no JSON: %s", encoding, len(raw), content.Size(), raw)
			}
			if EncodingOf(raw) != encoding {
				t.Fatalf("encoding %d is taken for %d", encoding, EncodingOf(raw))
			}
			got, as, err := DecodeTaskGroup("e/group/wk-1/0", raw)
			if err != nil || as != encoding {
				t.Fatalf("encoding %d: read as %d: %v", encoding, as, err)
			}
			if d := cmp.Diff(g, got); d != "" {
				t.Fatalf("encoding %d: %s", encoding, d)
			}
		}
	})
}

// A checksummed value that is damaged anywhere, cut, or stored at another key is refused; it
// is never read as something else.
func TestDamagedOrMisplacedGroupsAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drawGroup(t)
		raw := g.Encode(Checksummed).ValueForKey("e/group/wk-1/0")
		if _, _, err := DecodeTaskGroup("e/group/wk-1/1", raw); !errors.Is(err, ErrChecksum) {
			t.Fatalf("at another key: %v", err)
		}
		bad := bytes.Clone(raw)
		bad[rapid.IntRange(0, len(bad)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, _, err := DecodeTaskGroup("e/group/wk-1/0", bad); err == nil && !cmp.Equal(g, got) {
			t.Fatalf("%s is read as %+v", bad, got)
		}
		cut := raw[:rapid.IntRange(0, len(raw)-1).Draw(t, "cut")]
		if _, _, err := DecodeTaskGroup("e/group/wk-1/0", cut); err == nil {
			t.Fatalf("%s is read", cut)
		}
	})
}

// A version that knows PlainJSON alone can't decode a checksummed value: it leaves it alone,
// rather than take it for a group without tasks.
func TestChecksummedGroupIsNotDecodedAsJSON(t *testing.T) {
	var old TaskGroup
	if err := wire.Decode((&TaskGroup{Partition: 1}).Encode(Checksummed).ValueForKey("e/group/wk-1/0"), &old); err == nil {
		t.Error("a checksummed value is decoded as JSON")
	}
}

func TestUnknownEncodingsAreRejected(t *testing.T) {
	for _, raw := range []string{`"AwAAAAAAAAAAAAAAAAAAAAAAAAA"`, `[]`, `17`, ``, `"`, `""`, `"A"`} {
		if g, _, err := DecodeTaskGroup("e/group/wk-1/0", []byte(raw)); g != nil || !errors.Is(err, ErrUnknownEncoding) && !errors.Is(err, ErrChecksum) {
			t.Errorf("%s: %v, %v", raw, g, err)
		}
	}
}

// What the checksummed encoding can't hold stays plain; nothing is cut.
func TestLongNamesFallBackToPlainJSON(t *testing.T) {
	g := &TaskGroup{Tasks: []Binding{{Machine: strings.Repeat("m", 2000)}}}
	raw := g.Encode(Checksummed).ValueForKey("e/group/wk-1/0")
	got, encoding, err := DecodeTaskGroup("e/group/wk-1/0", raw)
	if err != nil || encoding != PlainJSON {
		t.Fatalf("encoding %d: %v", encoding, err)
	}
	if d := cmp.Diff(g, got); d != "" {
		t.Error(d)
	}
}

// The checksummed encoding of a full record with a machine for each task is smaller.
func TestChecksummedEncodingIsSmaller(t *testing.T) {
	g := &TaskGroup{Partition: 3, Zone: "sundarban"}
	for i := range 100 {
		g.Tasks = append(g.Tasks, Binding{Task: int32(i), Attempt: 1, Machine: fmt.Sprintf("host-%06d", i), Incarnation: 1, Addr: fmt.Sprintf("10.1.0.%d:9000", i)})
	}
	plain, checked := g.Encode(PlainJSON).Size(), g.Encode(Checksummed).Size()
	t.Logf("plain %d bytes, checked %d", plain, checked)
	if checked*3 > plain*2 {
		t.Errorf("plain %d bytes, checked %d", plain, checked)
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
