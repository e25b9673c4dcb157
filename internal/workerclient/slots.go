package workerclient

// Purpose is what a slot for a direct command is wanted for.
type Purpose int

const (
	// PurposeCommands are to be sent. They may use all slots.
	PurposeCommands Purpose = iota
	// PurposePing only asks whether the machine is there, and shows it the fencing token. Pings may
	// use half of the slots: the rest is for commands.
	PurposePing
)

// Slots limits how many direct commands are open at a time, and queues the machines that
// wait for a slot. A command to a machine that does not answer holds a socket until it times
// out, so that some hundred of them at once would take the sockets of workers and users.
//
// A machine is in the queue once at most. Slots belongs to one goroutine.
type Slots[Machine comparable] struct {
	openCommands, capacity int
	queue                  []Machine
	purposes               map[Machine]Purpose // of the machines in the queue
}

// NewSlots returns slots for maximum commands at a time, none of which is open.
func NewSlots[Machine comparable](capacity int) *Slots[Machine] {
	return &Slots[Machine]{capacity: capacity, purposes: map[Machine]Purpose{}}
}

// OpenCommands returns how many commands are open.
func (s *Slots[Machine]) OpenCommands() int { return s.openCommands }

// QueueLength returns how many machines are in the queue.
func (s *Slots[Machine]) QueueLength() int { return len(s.queue) }

// HasAvailable reports whether a slot is left for a purpose.
func (s *Slots[Machine]) HasAvailable(purpose Purpose) bool {
	if purpose == PurposePing {
		return s.openCommands < s.capacity/2
	}
	return s.openCommands < s.capacity
}

// Acquire opens a command to a machine. A ping that it waits for is thereby sent; its place
// in the queue stays.
func (s *Slots[Machine]) Acquire(m Machine) {
	s.openCommands++
	if _, queued := s.purposes[m]; queued {
		s.purposes[m] = PurposeCommands
	}
}

// Release ends a command.
func (s *Slots[Machine]) Release() { s.openCommands-- }

// Enqueue queues a machine, unless it is in the queue. If it waits for commands and for a ping,
// its turn is a ping.
func (s *Slots[Machine]) Enqueue(m Machine, purpose Purpose) {
	waitsFor, queued := s.purposes[m]
	if !queued {
		s.queue = append(s.queue, m)
	}
	s.purposes[m] = max(waitsFor, purpose)
}

// Dequeue takes the first machine out of the queue, which must not be empty, and tells what it
// waits for.
func (s *Slots[Machine]) Dequeue() (Machine, Purpose) {
	m := s.queue[0]
	s.queue = s.queue[1:]
	purpose := s.purposes[m]
	delete(s.purposes, m)
	return m, purpose
}
