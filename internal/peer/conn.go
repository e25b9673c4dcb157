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
	// readTimeout: a peer that sends nothing for this long has lost the connection.
	readTimeout = 5 * time.Second
	// maxConnections is how many connections of peers are served at a time.
	maxConnections = 32
	// acceptRetryInterval is the pause after a connection could not be accepted.
	acceptRetryInterval = 100 * time.Millisecond
)

// Serve accepts peers on l, which it closes, and calls deliver with each status that they send
// until ctx ends. deliver is called concurrently. A bad frame ends its connection and nothing
// else.
func Serve(ctx context.Context, l net.Listener, log *slog.Logger, handle func(*Status)) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	slots := make(chan struct{}, maxConnections)
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
		connections.Go(func() {
			defer func() { <-slots }()
			receive(ctx, conn, log, handle)
		})
	}
}

// receive calls deliver with each status of a connection until that, or ctx, ends.
func receive(ctx context.Context, conn net.Conn, log *slog.Logger, handle func(*Status)) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		// It fails on a closed connection alone, and then so does the read.
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

// Sender keeps a connection to one peer and sends it the latest status.
type Sender struct {
	addr         string
	pendingFrame chan []byte
}

// NewSender returns a sender to the peer at addr (host:port).
func NewSender(addr string) *Sender { return &Sender{addr: addr, pendingFrame: make(chan []byte, 1)} }

// Offer replaces the frame that waits to be sent. It doesn't block.
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

// Run sends until ctx ends. A frame that can't be sent is dropped: the next one is newer.
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

// send sends a frame on a connection, or on a new one if that is nil, and returns the
// connection to use for the next frame; nil: a new one.
func (s *Sender) send(ctx context.Context, conn net.Conn, frame []byte) net.Conn {
	if conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		dialed, err := dialer.DialContext(ctx, "tcp", s.addr)
		if err != nil {
			return nil
		}
		conn = dialed
	}
	// It fails on a closed connection alone, and then so does the write.
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(frame); err != nil {
		conn.Close()
		return nil
	}
	return conn
}
