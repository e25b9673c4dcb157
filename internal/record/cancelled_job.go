package record

import (
	"encoding/json"
	"time"

	"eiderhitch/internal/wire"
)

// CancelledJob is a cancelled job's record. The description stays: its tasks count for the
// team's quota until they are gone, also for a controller that starts later. Of one too large
// for maxBytes, what placing it would need is left out.
func CancelledJob(spec *wire.Job, acceptedAt time.Time, maxBytes int) json.RawMessage {
	cancelled := Job{FinalState: Cancelled, AcceptedAtMS: acceptedAt.UnixMilli(), Spec: spec}
	value := JSON(cancelled)
	if len(value) <= maxBytes {
		return value
	}
	short := *spec
	short.MachineTypes, short.Image, short.Class = nil, "", ""
	cancelled.Spec = &short
	return JSON(cancelled)
}
