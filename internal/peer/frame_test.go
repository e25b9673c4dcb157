package peer

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A status must be decoded as it was encoded, in each frame version.
func TestStatusRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		status := &Status{Node: rapid.StringN(0, 20, 100).Draw(t, "node"), ProcessID: rapid.StringN(0, 20, 100).Draw(t, "process id"), ReplicaIsFresh: rapid.Bool().Draw(t, "fresh"), CanTakePartitions: rapid.Bool().Draw(t, "eligible"),
			Partitions: rapid.SliceOf(rapid.Uint64()).Draw(t, "partitions")}
		for range rapid.IntRange(0, 5).Draw(t, "n") {
			status.Machines = append(status.Machines, Machine{Name: rapid.StringN(0, 20, 100).Draw(t, "name"), Addr: "10.1.0.2:9000", Type: "g8", Zone: "a",
				Incarnation: rapid.Uint64().Draw(t, "incarnation"), Flags: rapid.Uint8().Draw(t, "flags")})
		}
		for range rapid.IntRange(0, 3).Draw(t, "draining") {
			status.DrainingMachines = append(status.DrainingMachines, rapid.StringN(0, 20, 100).Draw(t, "drained"))
		}
		if len(status.Partitions) == 0 {
			status.Partitions = nil
		}
		for _, version := range versions {
			got, err := ReadStatus(bytes.NewReader(AppendStatus(nil, status, version)))
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(status, got); d != "" {
				t.Fatal(d)
			}
		}
	})
}

var versions = []Version{PlainFrame, ChecksummedFrame}

// A checksummed frame whose payload is damaged must be rejected, even if the damaged payload could be
// decoded.
func TestDamagedFramesAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := AppendStatus(nil, &Status{Node: "n", ProcessID: "b", Partitions: []uint64{1}, Machines: []Machine{{Name: "m", Addr: "10.1.0.2:9000", Incarnation: 3}}}, ChecksummedFrame)
		at := rapid.IntRange(headerBytes, len(frame)-1).Draw(t, "at")
		frame[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if status, err := ReadStatus(bytes.NewReader(frame)); !errors.Is(err, ErrChecksum) {
			t.Fatalf("damage at byte %d: status %+v, error %v, want ErrChecksum", at, status, err)
		}
	})
}

// A malformed or truncated frame must give an error or a status; it must not cause a panic or a huge
// allocation.
func TestMalformedFramesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := AppendStatus(nil, &Status{Node: "n", Partitions: []uint64{1}, Machines: []Machine{{Name: "m"}}}, rapid.SampledFrom(versions).Draw(t, "version"))
		for range rapid.IntRange(1, 4).Draw(t, "flips") {
			frame[rapid.IntRange(0, len(frame)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		frame = frame[:rapid.IntRange(0, len(frame)).Draw(t, "cut")]
		status, err := ReadStatus(bytes.NewReader(frame))
		if (status == nil) == (err == nil) {
			t.Fatalf("status %v and error %v, want exactly one of them", status, err)
		}
	})
	other := AppendStatus(nil, &Status{}, PlainFrame)
	other[2] = byte(ChecksummedFrame) + 1
	if _, err := ReadStatus(bytes.NewReader(other)); !errors.Is(err, ErrUnknownVersion) {
		t.Fatalf("frame of an unknown version: error %v, want ErrUnknownVersion", err)
	}
}

// The status of a controller that owns all of 4,000 machines, all of which are being drained, must
// fit in a frame of either version.
func TestLargeStatusFitsInFrame(t *testing.T) {
	status := &Status{Node: "perch-0", ProcessID: "0123456789abcdef", Partitions: []uint64{0, 1, 2, 3, 4, 5}}
	for i := range 4000 {
		name := fmt.Sprintf("host-%06d-in-a-long-name", i)
		status.Machines = append(status.Machines, Machine{Name: name, Addr: fmt.Sprintf("10.101.%d.%d:65535", i/250, i%250), Type: "a-large-type", Zone: "a-long-zone", Incarnation: 1 << 40, Flags: FlagReachable})
		status.DrainingMachines = append(status.DrainingMachines, name)
	}
	for _, version := range versions {
		frame := AppendStatus(nil, status, version)
		t.Logf("version %d: %d bytes", version, len(frame))
		got, err := ReadStatus(bytes.NewReader(frame))
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(status, got); d != "" {
			t.Error(d)
		}
	}
}
