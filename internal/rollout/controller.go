package rollout

import (
	"encoding/json"
	"fmt"
)

// ControllerPrefix is the prefix of the keys at which controllers register.
const ControllerPrefix = "e/node/"

// ControllerKey returns the key at which a controller registers.
func ControllerKey(node string) string { return ControllerPrefix + node }

// Controller is what a controller registers about itself, under a lease of its own: which
// levels it reads. A version that does not know levels takes it for the holder of some
// leased key.
type Controller struct {
	Node      string `json:"n"`
	ProcessID string `json:"b"`
	Build     string `json:"build"`
	Range
	// StartedAt is when the process registered, in milliseconds since the epoch.
	StartedAt int64 `json:"at"`
}

// Encode returns the stored encoding.
func (c Controller) Encode() json.RawMessage { return encode(c) }

// DecodeController decodes what Encode returned, and validates it.
func DecodeController(raw []byte) (Controller, error) {
	var c Controller
	if err := json.Unmarshal(raw, &c); err != nil {
		return Controller{}, fmt.Errorf("controller: %w", err)
	}
	if c.Low < BaseLevel || c.High < c.Low {
		return Controller{}, fmt.Errorf("controller %q: levels %s make no sense", c.Node, c.Range)
	}
	return c, nil
}

// Registered is a registered controller with the revision of its key.
type Registered struct {
	Controller
	Revision uint64
}
