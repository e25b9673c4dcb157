package rollout

import (
	"encoding/json"
	"fmt"
)

// RegistrationPrefix is the prefix of the keys at which controllers register.
const RegistrationPrefix = "e/node/"

// RegistrationKey returns the key at which a controller registers.
func RegistrationKey(node string) string { return RegistrationPrefix + node }

// Registration is what a controller registers about itself, under a lease of its own: which
// levels it reads. A version that does not know levels takes it for the holder of some
// leased key.
type Registration struct {
	Node      string `json:"n"`
	ProcessID string `json:"b"`
	Build     string `json:"build"`
	LevelRange
	// StartedAt is when the process registered, in milliseconds since the epoch.
	RegisteredAt int64 `json:"at"`
}

// Encode returns the stored encoding.
func (c Registration) Encode() json.RawMessage { return encode(c) }

// DecodeRegistration decodes what Encode returned, and validates it.
func DecodeRegistration(raw []byte) (Registration, error) {
	var c Registration
	if err := json.Unmarshal(raw, &c); err != nil {
		return Registration{}, fmt.Errorf("controller: %w", err)
	}
	if c.Low < BaseLevel || c.High < c.Low {
		return Registration{}, fmt.Errorf("controller %q: levels %s make no sense", c.Node, c.LevelRange)
	}
	return c, nil
}

// StoredRegistration is a registered controller with the revision of its key.
type StoredRegistration struct {
	Registration
	Revision uint64
}
