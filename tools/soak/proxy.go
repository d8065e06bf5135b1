package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// linkFaults is what a link does with the bytes that pass it.
type linkFaults struct {
	// delay holds every piece back.
	delay time.Duration
	// cutForward and cutBack lose what goes towards the target, or comes from it.
	cutForward bool
	cutBack    bool
	// silent accepts connections and passes nothing either way.
	silent bool
}

// link is a loopback proxy before one target.
type link struct {
	target   string
	listener net.Listener

	mu        sync.Mutex
	faults linkFaults
	connections      map[net.Conn]struct{}
}

// copyBufferBytes is the size of the pieces that a link passes on.
const copyBufferBytes = 16 << 10

func newLink(target string) (*link, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open link: %w", err)
	}
	l := &link{target: target, listener: listener, connections: map[net.Conn]struct{}{}}
	go l.run()
	return l, nil
}

func (l *link) address() string {
	return l.listener.Addr().String()
}

// set changes what the link does from now on, to open connections as well.
func (l *link) set(b linkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = b
}

// setFor changes what the link does for a while.
func (l *link) setFor(b linkFaults, length time.Duration) {
	l.set(b)
	time.Sleep(length)
	l.set(linkFaults{})
}

func (l *link) current() linkFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// reset breaks all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.reset()
}

func (l *link) run() {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.runConnection(conn)
		}
	}
}

func (l *link) track(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[conn] = struct{}{}
}

func (l *link) untrack(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, conn)
}

// runConnection passes one connection on until either side ends it.
func (l *link) runConnection(conn net.Conn) {
	l.track(conn)
	defer l.untrack(conn)
	target, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	l.track(target)
	defer l.untrack(target)
	ended := make(chan struct{}, 2)
	go l.runCopy(target, conn, func(b linkFaults) bool { return b.cutForward }, ended)
	go l.runCopy(conn, target, func(b linkFaults) bool { return b.cutBack }, ended)
	<-ended
}

// runCopy passes bytes one way. What a cut takes is lost, as if it were never
// acknowledged: the connection stays silent from then on.
func (l *link) runCopy(to io.Writer, from io.Reader, cut func(linkFaults) bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	piece := make([]byte, copyBufferBytes)
	lost := false
	for {
		count, err := from.Read(piece)
		if err != nil {
			return
		}
		now := l.current()
		time.Sleep(now.delay)
		lost = lost || now.silent || cut(now)
		if lost {
			continue
		}
		if _, err := to.Write(piece[:count]); err != nil {
			return
		}
	}
}
