package record

import (
	"encoding/json"
	"time"

	"eiderhitch/internal/wire"
)

// EncodeCancelledJob is a cancelled job's record.
func EncodeCancelledJob(spec *wire.Job, acceptedAt time.Time, maxBytes int) json.RawMessage {
	return finalJobWithTasks(StateCancelled, spec, acceptedAt, maxBytes)
}

// EncodeDoneGang is the record of a gang that is done while tasks of it may still be on machines.
func EncodeDoneGang(spec *wire.Job, acceptedAt time.Time, maxBytes int) json.RawMessage {
	return finalJobWithTasks(StateDone, spec, acceptedAt, maxBytes)
}

// finalJobWithTasks is the record of a final job that may have tasks on machines. The
// description stays: its tasks count for the team's quota until they are gone, also for a
// controller that starts later. Of one too large for maxBytes, what placing it would need is
// left out.
func finalJobWithTasks(state FinalState, spec *wire.Job, acceptedAt time.Time, maxBytes int) json.RawMessage {
	final := Job{FinalState: state, AcceptedAtMS: acceptedAt.UnixMilli(), Spec: spec}
	value := JSON(final)
	if len(value) <= maxBytes {
		return value
	}
	short := *spec
	short.MachineTypes, short.Image, short.Class = nil, "", ""
	final.Spec = &short
	return JSON(final)
}
