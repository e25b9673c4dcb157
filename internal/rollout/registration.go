package rollout

import (
	"encoding/json"
	"fmt"

	"eiderhitch/internal/wire"
)

// RegistrationPrefix is the prefix of the keys at which controllers register.
const RegistrationPrefix = "e/node/"

// RegistrationKey returns the key at which a controller registers.
func RegistrationKey(node string) string { return RegistrationPrefix + node }

// Registration is the record in which a controller stores, under a lease of its own, which
// levels it supports. Versions without feature levels read it as the holder of a leased key,
// since it has the fields of one, and ignore it.
type Registration struct {
	Node      string `json:"n"`
	ProcessID string `json:"b"`
	Build     string `json:"build"`
	LevelRange
	// RegisteredAtMS is the time at which the process registered, in milliseconds since the
	// Unix epoch.
	RegisteredAtMS int64 `json:"at"`
}

// Encode returns the stored encoding.
func (c Registration) Encode() json.RawMessage { return encode(c) }

// DecodeRegistration decodes and validates a registration that Encode encoded.
func DecodeRegistration(raw []byte) (Registration, error) {
	var c Registration
	if err := wire.Decode(raw, &c); err != nil {
		return Registration{}, fmt.Errorf("decode registration: %w", err)
	}
	if c.Low < BaseLevel || c.High < c.Low {
		return Registration{}, fmt.Errorf("registration of controller %q: invalid level range %s", c.Node, c.LevelRange)
	}
	return c, nil
}

// StoredRegistration is a registration with the revision of its key.
type StoredRegistration struct {
	Registration
	Revision uint64
}
