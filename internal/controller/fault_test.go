package controller

import (
	"fmt"
)

// fault is one trouble of a meeting, as a value: what, when, for how long, and to whom.
type fault struct {
	at       float64 // seconds after the work has begun
	what     string
	who      int     // a controller; leading, all; or how many machines or jobs
	duration float64 // seconds
	part     float64 // share of what is affected
}

// Controllers by their role at the time.
const (
	leading = -1
	all     = -2
)

func (f fault) String() string {
	return fmt.Sprintf("{%.1f, %q, %d, %.1f, %.2f}", f.at, f.what, f.who, f.duration, f.part)
}
