package record

// FinalState is the state in which a job ended. The zero value means that the job has not ended. A
// job in a final state never changes its state again.
type FinalState uint8

// The stored final states. The numbers are part of the stored form.
const (
	StateUnfinished FinalState = iota
	StateCancelled
	StateDone
)

// String returns the state as it is printed for operators, or "unknown" for other numbers.
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
