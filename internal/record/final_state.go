package record

// FinalState is how a job ended. A final job stays as it is for ever.
type FinalState uint8

// The states of a job as they are stored.
const (
	Unfinished FinalState = iota
	Cancelled
	Done
)

// String is the state in words.
func (s FinalState) String() string {
	switch s {
	case Unfinished:
		return "unfinished"
	case Cancelled:
		return "cancelled"
	case Done:
		return "done"
	}
	return "unknown"
}
