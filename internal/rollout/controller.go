package rollout

import (
	"encoding/json"
	"fmt"
)

// ControllerPrefix is below which each controller stores what it reads and writes.
const ControllerPrefix = "e/node/"

// ControllerKey is a controller's key.
func ControllerKey(node string) string { return ControllerPrefix + node }

// Controller is what a controller stores about itself under a lease of its own. A
// version that does not know levels takes it for the holder of some right.
type Controller struct {
	Node      string `json:"n"`
	ProcessID string `json:"b"`
	Build     string `json:"build"`
	Range
	// StartedAt is when the process registered, in milliseconds of the time of day.
	StartedAt int64 `json:"at"`
}

// Encode is the stored form.
func (c Controller) Encode() json.RawMessage {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("rollout: encode controller: %v", err)) // plain data always encodes
	}
	return raw
}

// DecodeController reads the stored form.
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

// Registered is a controller with the version of its key.
type Registered struct {
	Controller
	Revision uint64
}
