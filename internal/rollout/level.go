// Package rollout upgrades a cluster of controllers in stages. An encoding of stored records
// or messages that earlier versions do not know is used only once every controller can read
// it, and its use can be reverted.
//
// Decide is a pure function. The result of its decisions is one stored record, State, which is
// written by a transaction that is conditional on the revisions of everything that the decision
// depends on (NewStepTxn). A Registrar keeps the registration of each controller stored, and an
// OperatorClient executes the upgrade commands of operators.
package rollout

import "fmt"

// Level is a feature level: a set of encodings for stored records and messages.
type Level uint32

const (
	// BaseLevel is the level of versions that have no feature levels.
	BaseLevel Level = 1
	// ChecksumLevel adds checksums to task group records and status frames.
	ChecksumLevel Level = 2
)

// LevelRange is the range of levels that a version can read and write, both ends included. The
// zero value includes no valid level.
type LevelRange struct {
	Low  Level `json:"low"`
	High Level `json:"high"`
}

// SupportedLevels is the range of levels of this version.
var SupportedLevels = LevelRange{Low: BaseLevel, High: ChecksumLevel}

// Includes reports whether the range includes a level.
func (r LevelRange) Includes(l Level) bool { return r.Low <= l && l <= r.High }

// String formats the range as "LOW-HIGH".
func (r LevelRange) String() string { return fmt.Sprintf("%d-%d", r.Low, r.High) }

// Feature describes what a level changes.
type Feature struct {
	Level Level
	Name  string
	// ActiveEffect describes what starts when the level becomes active. Controllers that
	// do not support the level continue to run.
	ActiveEffect string
	// FinalEffect describes what starts when the level becomes final. From then on,
	// controllers that do not support the level can't hold leased keys.
	FinalEffect string
}

// Features lists the levels that this version knows.
var Features = []Feature{
	{Level: BaseLevel, Name: "base", ActiveEffect: "nothing", FinalEffect: "records in form 1, status frames of version 2"},
	{Level: ChecksumLevel, Name: "checksums", ActiveEffect: "status frames of version 3 to controllers that read them",
		FinalEffect: "task group records in form 2; partitions and leadership under keys of their own"},
}
