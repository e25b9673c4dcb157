package peer

import (
	"bytes"
	"encoding/hex"
	"testing"
)

// A checksummed frame must keep exactly these bytes, since other versions of the program read it. The
// plain frames that earlier versions wrote are kept in the tests of package controller.
func TestChecksummedFrameBytes(t *testing.T) {
	status := &Status{Node: "n0", ProcessID: "00ff", ReplicaIsFresh: true, CanTakePartitions: true, Partitions: []uint64{0, 300},
		Machines: []Machine{{Name: "host-1", Addr: "10.1.0.2:9000", Type: "g8", Zone: "a", Incarnation: 2, Flags: FlagReachable | FlagSpot | FlagAwaitingFirstHeartbeat},
			{Name: "host-2", Addr: "10.1.0.3:9000", Type: "g8", Zone: "b", Incarnation: 1, Flags: FlagTerminationNotice | FlagCordoned | FlagUnreachable}},
		DrainingMachines: []string{"host-1", "host-2"}}
	const want = "454803010000005cda58ce9f0f38b39593028771623db5b1026e300430306666030200ac02020006686f73742d31000d31302e312e302e323a39303030000267380001610231" +
		"0501320706333a393030300200000162010e020006686f73742d31050132"
	if got := hex.EncodeToString(AppendStatus(nil, status, ChecksummedFrame)); got != want {
		t.Errorf("frame is encoded as %s, want\n%s", got, want)
	}
	raw, err := hex.DecodeString(want)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := ReadStatus(bytes.NewReader(raw)); err != nil || !bytes.Equal(AppendStatus(nil, decoded, ChecksummedFrame), raw) {
		t.Errorf("frame is decoded as %+v, which is encoded differently, or error %v", decoded, err)
	}
}
