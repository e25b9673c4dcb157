package wire

import "github.com/segmentio/encoding/json"

// Decode decodes JSON that arrives often: heartbeats, stored records and their changes. With the
// standard library, decoding these took a sixth of a controller's processor time. This decoder gives
// the same results (see the tests) in a quarter of the time and with half of the memory. Requests of
// users are decoded with the standard library, because it is stricter.
func Decode(raw []byte, v any) error { return json.Unmarshal(raw, v) }
