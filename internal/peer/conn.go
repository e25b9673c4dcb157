package peer

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// readTimeout is the time without a frame after which a connection is closed.
	readTimeout = 5 * time.Second
	// maxConnections is the maximum number of connections from peers that are open at a time.
	// Further ones are closed at once.
	maxConnections = 32
	// acceptRetryInterval is the delay before the next attempt after accepting a connection failed.
	acceptRetryInterval = 100 * time.Millisecond
)

// ConnectionNumber numbers the connections that Serve has accepted, in the order in which they were
// accepted. Statuses that arrive on one connection are in the order in which they were sent.
type ConnectionNumber uint64

// Serve accepts connections from peers on l and calls handle with each status that they send and the
// number of its connection. It calls handle concurrently. When ctx ends, it closes l and all connections and returns. An invalid
// frame closes its own connection but does not affect the others.
func Serve(ctx context.Context, l net.Listener, log *slog.Logger, handle func(*Status, ConnectionNumber)) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	slots := make(chan struct{}, maxConnections)
	var accepted ConnectionNumber
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(acceptRetryInterval):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		accepted++
		number := accepted
		connections.Go(func() {
			defer func() { <-slots }()
			receive(ctx, conn, log, func(status *Status) { handle(status, number) })
		})
	}
}

// receive calls handle with each status that arrives on a connection. It closes the connection and
// returns when ctx ends, the peer closes the connection or a frame is invalid or late.
func receive(ctx context.Context, conn net.Conn, log *slog.Logger, handle func(*Status)) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		// This fails only on a closed connection, on which the read fails too.
		_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
		status, err := ReadStatus(reader)
		if errors.Is(err, ErrUnknownVersion) || errors.Is(err, ErrChecksum) {
			log.Error("peer frame rejected", "addr", conn.RemoteAddr().String(), "err", err)
			return
		}
		if err != nil {
			log.Debug("peer connection ended", "addr", conn.RemoteAddr().String(), "err", err)
			return
		}
		handle(status)
	}
}

// Sender maintains a connection to one peer and sends it the latest status frame.
type Sender struct {
	addr         string
	pendingFrame chan []byte
}

// NewSender returns a Sender for the peer at addr (host:port). It sends nothing before Run is called.
func NewSender(addr string) *Sender { return &Sender{addr: addr, pendingFrame: make(chan []byte, 1)} }

// Offer replaces the frame that is waiting to be sent, if any, by a newer one. It doesn't block.
func (s *Sender) Offer(frame []byte) {
	select {
	case <-s.pendingFrame:
	default:
	}
	select {
	case s.pendingFrame <- frame:
	default:
	}
}

// Run connects to the peer and sends frames until ctx ends. A frame that can't be sent is dropped,
// since the next one holds a newer status.
func (s *Sender) Run(ctx context.Context) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case frame := <-s.pendingFrame:
			conn = s.send(ctx, conn, frame)
		}
	}
}

// send sends a frame on a connection, or on a new one if conn is nil. It returns the connection for
// the next frame, or nil if the next frame needs a new connection.
func (s *Sender) send(ctx context.Context, conn net.Conn, frame []byte) net.Conn {
	if conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		dialed, err := dialer.DialContext(ctx, "tcp", s.addr)
		if err != nil {
			return nil
		}
		conn = dialed
	}
	// This fails only on a closed connection, on which the write fails too.
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(frame); err != nil {
		conn.Close()
		return nil
	}
	return conn
}
