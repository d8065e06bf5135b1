package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// garbleEvery is the number of answers of which one is followed by a second one: x of
// the disruption garble is 0.05.
const garbleEvery = 20

// garbler makes a server send a further copy of one in garbleEvery of its answers, at
// the point where the next answer on the connection is expected.
type garbler struct {
	net.Listener

	answers, extra atomic.Int64
	on             atomic.Bool
}

// Accept implements net.Listener.
func (g *garbler) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &garbledConn{Conn: conn, garbler: g}, nil
}

type garbledConn struct {
	net.Conn

	garbler *garbler
	mu      sync.Mutex
	extra   []byte
}

// Write implements net.Conn. The server writes each answer at once.
func (c *garbledConn) Write(answer []byte) (int, error) {
	if c.garbler.on.Load() && c.garbler.answers.Add(1)%garbleEvery == 0 {
		c.mu.Lock()
		c.extra = append([]byte(nil), answer...)
		c.mu.Unlock()
	}
	return c.Conn.Write(answer)
}

// Read implements net.Conn.
func (c *garbledConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.mu.Lock()
	extra := c.extra
	if count > 0 {
		c.extra = nil
	}
	c.mu.Unlock()
	if count > 0 && extra != nil {
		c.garbler.extra.Add(1)
		_, _ = c.Conn.Write(extra)
	}
	return count, err
}
