package controller

import (
	"sync"
	"time"

	"eiderhitch/internal/peer"
	"eiderhitch/internal/simulation/network"
)

// frameNetwork delivers frames between the controllers of a cluster over numbered connections. The
// zero value has no connections and repeats nothing.
type frameNetwork struct {
	mu          sync.Mutex
	connections map[frameRoute]peer.ConnectionNumber
	accepted    peer.ConnectionNumber // number of the connection that was opened last
	// seed and share select the frames after which their connection breaks. Such a frame is
	// delivered again later. No connection breaks if share is 0.
	seed  uint64
	share float64
}

// frameRoute is the way from one process of a controller, by its ID, to a process that receives its
// frames.
type frameRoute struct {
	sender   string
	receiver *process
}

// deliver delivers a status on the sender's connection to the receiver, which is opened if there is
// none. If the connection is drawn to break, the status is delivered on it once more, long after the
// sender has opened another connection.
func (n *frameNetwork) deliver(status *peer.Status, receiver *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	route := frameRoute{status.ProcessID, receiver}
	number, open := n.connections[route]
	if !open {
		if n.connections == nil {
			n.connections = map[frameRoute]peer.ConnectionNumber{}
		}
		n.accepted++
		number = n.accepted
		n.connections[route] = number
	}
	handle := func() {
		receiver.controller.enqueue(priorityWorkers, func() { receiver.controller.handlePeerStatus(status, number) })
	}
	go handle()
	if network.SeededFloat64(n.seed, status.ProcessID) < n.share {
		delete(n.connections, route)
		delay := minRepeatDelay + time.Duration(network.SeededFloat64(n.seed+1, status.ProcessID)*float64(repeatDelayJitter))
		time.AfterFunc(delay, handle)
	}
}

// setRepeats sets the share of frames after which their connection breaks.
func (n *frameNetwork) setRepeats(seed uint64, share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seed, n.share = seed, share
}

// repeatFrames breaks the connections between controllers after a share of the frames, which are
// delivered again later.
func (s *scheduleRun) repeatFrames(f fault) func() {
	s.frames.setRepeats(s.seed, f.share)
	return func() { s.frames.setRepeats(0, 0) }
}
