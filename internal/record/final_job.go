package record

import (
	"encoding/json"
	"time"

	"eiderhitch/internal/wire"
)

// EncodeCancelledJob returns the encoded record of a cancelled job. If the record is larger than
// maxBytes, it omits the fields of the description that are needed only to place tasks.
func EncodeCancelledJob(spec *wire.Job, acceptedAt time.Time, maxBytes int) json.RawMessage {
	return encodeFinalJob(StateCancelled, spec, acceptedAt, maxBytes)
}

// EncodeDoneGang returns the encoded record of a gang that is done, some of whose tasks may still
// be on machines. It handles maxBytes like EncodeCancelledJob.
func EncodeDoneGang(spec *wire.Job, acceptedAt time.Time, maxBytes int) json.RawMessage {
	return encodeFinalJob(StateDone, spec, acceptedAt, maxBytes)
}

// encodeFinalJob returns the encoded record of a job in a final state that may still have tasks
// on machines. The record keeps the job's description because those tasks count towards the
// team's quota until they have ended, and a controller that starts later must be able to count
// them. If the record is larger than maxBytes, the fields that are needed only to place tasks
// are omitted.
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
