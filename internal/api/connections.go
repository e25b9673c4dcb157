package api

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// unreadDivisor limits the connections whose request is incomplete to half of all.
	unreadDivisor = 2
	// minReadTime is how long a client has to send its request however many others wait.
	minReadTime = 250 * time.Millisecond
)

// connectionState is the state of a connection in its connectionTable.
type connectionState int

const (
	// unreadRequest means that no complete request has been read from the connection since it was
	// opened or since the last response.
	unreadRequest connectionState = iota
	// inUse means that the connection waits for a further request or that its request was read
	// completely.
	inUse
	// closed means that the connection has left the table.
	closed
)

// connectionTable limits the open connections. A connection whose request is incomplete gives way to
// a newer one, the oldest first, so that requests that never end do not keep out those that do. All
// others stay open.
type connectionTable struct {
	limit, unreadLimit int

	mu      sync.Mutex
	open    int
	unread  *list.List    // of *trackedConnection, those with the oldest requests first
	changed chan struct{} // wakes add after a connection has left the table or the list
}

// newConnectionTable returns a table for a number of connections.
func newConnectionTable(limit int) *connectionTable {
	return &connectionTable{limit: limit, unreadLimit: max(limit/unreadDivisor, 1), unread: list.New(), changed: make(chan struct{}, 1)}
}

// trackedConnection is a connection in a connectionTable. The table's mutex guards its fields.
type trackedConnection struct {
	net.Conn
	table   *connectionTable
	state   connectionState
	element *list.Element // in the list of unread requests; nil unless the state is unreadRequest
	since   time.Time     // since when the connection has been in that list
}

// add adds an accepted connection. It first waits until there is room or makes room. It must not be
// called concurrently.
func (t *connectionTable) add(accepted net.Conn) *trackedConnection {
	connection := &trackedConnection{Conn: accepted, table: t, state: inUse}
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.open >= t.limit || t.unread.Len() >= t.unreadLimit {
		t.makeRoom()
	}
	t.open++
	t.markUnread(connection)
	return connection
}

// makeRoom closes the connection whose request has been incomplete for the longest time, or waits
// until a connection changes or that one may be closed. The caller holds t.mu, which is released
// during the wait.
func (t *connectionTable) makeRoom() {
	var mayClose <-chan time.Time
	if oldest := t.unread.Front(); oldest != nil {
		connection := oldest.Value.(*trackedConnection)
		remaining := minReadTime - time.Since(connection.since)
		if remaining <= 0 {
			t.remove(connection)
			_ = connection.Conn.Close() // its client has lost interest in the result
			return
		}
		timer := time.NewTimer(remaining)
		defer timer.Stop()
		mayClose = timer.C
	}
	t.mu.Unlock()
	defer t.mu.Lock()
	select {
	case <-t.changed:
	case <-mayClose:
	}
}

// markUnread records that the next request of a connection is incomplete. The caller holds t.mu.
func (t *connectionTable) markUnread(connection *trackedConnection) {
	if connection.state == inUse {
		connection.state, connection.since = unreadRequest, time.Now()
		connection.element = t.unread.PushBack(connection)
	}
}

// markInUse records that a connection's request was read, or that it waits for the next one. The
// caller holds t.mu.
func (t *connectionTable) markInUse(connection *trackedConnection) {
	if connection.state == unreadRequest {
		t.unread.Remove(connection.element)
		connection.state, connection.element = inUse, nil
		t.signalChange()
	}
}

// remove takes a connection that is closed out of the table. The caller holds t.mu.
func (t *connectionTable) remove(connection *trackedConnection) {
	if connection.state == closed {
		return
	}
	t.markInUse(connection)
	connection.state = closed
	t.open--
	t.signalChange()
}

// signalChange wakes add if it waits for room.
func (t *connectionTable) signalChange() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// onStateChange follows the state of a connection; see http.Server.ConnState.
func (t *connectionTable) onStateChange(connection net.Conn, state http.ConnState) {
	tracked, ok := connection.(*trackedConnection)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateActive:
		t.markUnread(tracked)
	case http.StateIdle:
		t.markInUse(tracked)
	case http.StateClosed, http.StateHijacked:
		t.remove(tracked)
	case http.StateNew:
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection returns a context that holds a connection; see http.Server.ConnContext.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// markRequestRead records that the request with this context has been read completely.
func markRequestRead(ctx context.Context) { markConnection(ctx, (*connectionTable).markInUse) }

// markResponseWritten records that a request has been answered, whether or not its body was read.
func markResponseWritten(ctx context.Context) { markConnection(ctx, (*connectionTable).markUnread) }

// markConnection applies a change to the connection in ctx, if there is one.
func markConnection(ctx context.Context, mark func(*connectionTable, *trackedConnection)) {
	if connection, ok := ctx.Value(connectionKey{}).(*trackedConnection); ok {
		connection.table.mu.Lock()
		defer connection.table.mu.Unlock()
		mark(connection.table, connection)
	}
}

// limitedListener accepts connections into a connectionTable.
type limitedListener struct {
	net.Listener
	table *connectionTable
}

// Accept returns the next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.table.add(connection), nil
}
