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
	dialTimeout  = 1 * time.Second
	writeTimeout = 2 * time.Second
	// A peer that says nothing for this long has lost the connection.
	readTimeout = 5 * time.Second
	maxPeers    = 32
)

// Serve accepts siblings on l and hands each status to deliver until ctx ends.
// A bad frame ends its connection and nothing else.
func Serve(ctx context.Context, l net.Listener, log *slog.Logger, deliver func(*Status)) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxPeers)
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			receive(ctx, conn, log, deliver)
		})
	}
}

// receive hands each status of a connection to deliver until that, or ctx, ends.
func receive(ctx context.Context, conn net.Conn, log *slog.Logger, deliver func(*Status)) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(readTimeout))
		s, err := ReadStatus(r)
		if errors.Is(err, ErrVersion) || errors.Is(err, ErrChecksum) {
			log.Error("sibling refused", "addr", conn.RemoteAddr().String(), "err", err)
			return
		}
		if err != nil {
			log.Debug("sibling connection ended", "addr", conn.RemoteAddr().String(), "err", err)
			return
		}
		deliver(s)
	}
}

// Sender keeps a connection to one sibling and sends it the latest status.
type Sender struct {
	addr string
	next chan []byte
}

// NewSender returns a sender to addr.
func NewSender(addr string) *Sender { return &Sender{addr: addr, next: make(chan []byte, 1)} }

// Offer replaces the frame waiting to be sent.
func (s *Sender) Offer(frame []byte) {
	select {
	case <-s.next:
	default:
	}
	select {
	case s.next <- frame:
	default:
	}
}

// Run sends until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	d := net.Dialer{Timeout: dialTimeout}
	for {
		select {
		case <-ctx.Done():
			return
		case frame := <-s.next:
			if conn == nil {
				c, err := d.DialContext(ctx, "tcp", s.addr)
				if err != nil {
					continue
				}
				conn = c
			}
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(frame); err != nil {
				conn.Close()
				conn = nil
			}
		}
	}
}
