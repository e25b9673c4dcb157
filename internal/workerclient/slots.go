package workerclient

// Purpose is what a slot for a direct command is used for.
type Purpose int

const (
	// PurposeCommands means that commands are to be sent. Commands may use all slots.
	PurposeCommands Purpose = iota
	// PurposePing means that a ping is to be sent, which checks whether the machine responds. It
	// also carries the fencing token. Pings may use half of the slots, so that the rest is left for
	// commands.
	PurposePing
)

// Slots limits how many direct commands are in progress at a time and queues the machines that wait
// for a slot. The limit is needed because a command to a machine that does not respond occupies a
// socket until it times out: about a hundred of them at once would use up the sockets that workers
// and users need.
//
// A machine is in the queue at most once. Slots is not safe for concurrent use.
type Slots[Machine comparable] struct {
	openCommands, capacity int
	queue                  []Machine
	purposes               map[Machine]Purpose // for the machines in the queue
}

// NewSlots returns Slots for at most capacity commands at a time, with all slots free and an empty
// queue.
func NewSlots[Machine comparable](capacity int) *Slots[Machine] {
	return &Slots[Machine]{capacity: capacity, purposes: map[Machine]Purpose{}}
}

// OpenCommands returns the number of commands in progress.
func (s *Slots[Machine]) OpenCommands() int { return s.openCommands }

// QueueLength returns the number of machines in the queue.
func (s *Slots[Machine]) QueueLength() int { return len(s.queue) }

// HasAvailable reports whether a slot is available for the given purpose.
func (s *Slots[Machine]) HasAvailable(purpose Purpose) bool {
	if purpose == PurposePing {
		return s.openCommands < s.capacity/2
	}
	return s.openCommands < s.capacity
}

// Acquire takes a slot for a command to a machine. It doesn't check the limit: callers check
// HasAvailable first. The command also serves as the ping that the machine may be queued for, so the
// machine keeps its place in the queue but is queued for commands from then on.
func (s *Slots[Machine]) Acquire(m Machine) {
	s.openCommands++
	if _, queued := s.purposes[m]; queued {
		s.purposes[m] = PurposeCommands
	}
}

// Release returns the slot of a command that has ended.
func (s *Slots[Machine]) Release() { s.openCommands-- }

// Enqueue adds a machine to the end of the queue, unless it is in the queue already. A machine that
// is queued both for commands and for a ping is dequeued for a ping.
func (s *Slots[Machine]) Enqueue(m Machine, purpose Purpose) {
	queuedFor, queued := s.purposes[m]
	if !queued {
		s.queue = append(s.queue, m)
	}
	s.purposes[m] = max(queuedFor, purpose)
}

// Dequeue removes the first machine from the queue and returns it and the purpose that it is queued
// for. The queue must not be empty.
func (s *Slots[Machine]) Dequeue() (Machine, Purpose) {
	m := s.queue[0]
	s.queue = s.queue[1:]
	purpose := s.purposes[m]
	delete(s.purposes, m)
	return m, purpose
}
