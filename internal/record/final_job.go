package record

import (
	"encoding/json"
	"time"

	"eiderhitch/internal/wire"
)

// EncodeCancelledJob is a cancelled job's record.
func EncodeCancelledJob(spec *wire.Job, acceptedAt time.Time, maxBytes int) json.RawMessage {
	return encodeFinalJob(StateCancelled, spec, acceptedAt, maxBytes)
}

// EncodeDoneGang is the record of a gang that is done while tasks of it may still be on machines.
func EncodeDoneGang(spec *wire.Job, acceptedAt time.Time, maxBytes int) json.RawMessage {
	return encodeFinalJob(StateDone, spec, acceptedAt, maxBytes)
}

// encodeFinalJob is the record of a final job that may have tasks on machines. The
// description stays: its tasks count for the team's quota until they are gone, also for a
// controller that starts later. Of one too large for maxBytes, what placing it would need is
// left out.
func encodeFinalJob(state FinalState, spec *wire.Job, acceptedAt time.Time, maxBytes int) json.RawMessage {
	final := Job{FinalState: state, AcceptedAtMS: acceptedAt.UnixMilli(), Spec: spec}
	value := JSON(final)
	if len(value) <= maxBytes {
		return value
	}
	withoutPlacement := *spec
	withoutPlacement.MachineTypes, withoutPlacement.Image, withoutPlacement.Class = nil, "", ""
	final.Spec = &withoutPlacement
	return JSON(final)
}
