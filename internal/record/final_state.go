package record

// FinalState is how a job ended. A final job stays as it is for ever.
type FinalState uint8

// The states of a job as they are stored.
const (
	StateUnfinished FinalState = iota
	StateCancelled
	StateDone
)

// String is the state in words.
func (s FinalState) String() string {
	switch s {
	case StateUnfinished:
		return "unfinished"
	case StateCancelled:
		return "cancelled"
	case StateDone:
		return "done"
	}
	return "unknown"
}
