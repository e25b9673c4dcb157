// Package rollout upgrades a cluster of controllers in stages: an encoding of stored records
// or of messages that an earlier version does not know is used only once every controller
// reads it, and can be reverted.
//
// The decisions are pure (Decide); what they change is one stored record (State), written
// by a transaction with the revision of everything that the decision rests on (Txn). A
// Registrar keeps each controller registered; an Operator carries out the commands of the
// people who run the cluster.
package rollout

import "fmt"

// Level is a feature level: a set of encodings of what is stored and sent.
type Level uint32

const (
	// BaseLevel is what versions that do not know levels read and write.
	BaseLevel Level = 1
	// ChecksumLevel brings checksums to task group records and status frames.
	ChecksumLevel Level = 2
)

// LevelRange is the range of levels that a version reads and writes, both ends included.
type LevelRange struct {
	Low  Level `json:"low"`
	High Level `json:"high"`
}

// SupportedLevels is the range of this version.
var SupportedLevels = LevelRange{Low: BaseLevel, High: ChecksumLevel}

// Includes tells whether a level is in the range.
func (r LevelRange) Includes(l Level) bool { return r.Low <= l && l <= r.High }

// String returns the range in words.
func (r LevelRange) String() string { return fmt.Sprintf("%d-%d", r.Low, r.High) }

// Feature is what a level changes.
type Feature struct {
	Level Level
	Name  string
	// ActiveEffect is what begins as soon as the level is active. Controllers that don't
	// know the level work on beside it.
	ActiveEffect string
	// FinalEffect is what begins when the level is final. Controllers that don't know the
	// level are kept out from then on.
	FinalEffect string
}

// Features lists the levels that this version knows.
var Features = []Feature{
	{Level: BaseLevel, Name: "base", ActiveEffect: "nothing", FinalEffect: "records in form 1, status frames of version 2"},
	{Level: ChecksumLevel, Name: "checksums", ActiveEffect: "status frames of version 3 to controllers that read them",
		FinalEffect: "task group records in form 2; partitions and leadership under keys of their own"},
}
