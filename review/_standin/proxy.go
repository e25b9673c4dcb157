package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to an address. It can deliver the last message of a connection once
// more, late, also after the sender has closed the connection.
type proxy struct {
	mu          sync.Mutex
	log         *record
	target      string
	connections []*forwarded
}

type forwarded struct {
	mu       sync.Mutex
	out      net.Conn
	number   int
	last     []byte // the last message
	keepOpen bool   // the receiver does not learn yet that the sender has closed the connection
	closed   bool   // the sender has closed the connection
}

func newProxy(log *record, target string) (*proxy, string) {
	p := &proxy{log: log, target: target}
	l := listen()
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(in)
		}
	}()
	return p, l.Addr().String()
}

func (p *proxy) forward(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	p.mu.Lock()
	c := &forwarded{out: out, number: len(p.connections) + 1}
	p.connections = append(p.connections, c)
	p.mu.Unlock()
	p.log.add("proxy: connection %d opened", c.number)
	go func() { // the other direction carries nothing but the end of the connection
		var b [64]byte
		for {
			if _, err := out.Read(b[:]); err != nil {
				p.log.add("proxy: connection %d is closed at the receiver", c.number)
				in.Close()
				return
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		c.mu.Lock()
		if n > 0 {
			c.last = append([]byte(nil), buffer[:n]...)
			_, _ = out.Write(buffer[:n])
		}
		if err != nil {
			c.closed = true
			p.log.add("proxy: connection %d closed by the sender", c.number)
			if !c.keepOpen {
				out.Close()
			}
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

// latest returns the newest connection. Its end is not passed on before repeatLast.
func (p *proxy) latest() *forwarded {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.connections) == 0 {
		unusable("no connection between the controllers")
	}
	c := p.connections[len(p.connections)-1]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepOpen = true
	return c
}

// repeatLast delivers the last message of a connection once more, and the end of the connection.
func (p *proxy) repeatLast(c *forwarded) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.out.Write(c.last)
	p.log.add("proxy: connection %d: a copy of its last message, %d bytes, is delivered, err %v", c.number, len(c.last), err)
	if c.closed {
		c.out.Close()
	}
}
