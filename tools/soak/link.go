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

// linkFaults are the faults that a link applies to the data it forwards.
type linkFaults struct {
	// delay postpones the forwarding of each chunk.
	delay time.Duration
	// cutForward and cutBack drop the data to the target and the data from it.
	cutForward bool
	cutBack    bool
	// silent accepts connections and drops the data in both directions.
	silent bool
}

// link is a loopback TCP proxy to one target.
type link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	faults      linkFaults
	connections map[net.Conn]struct{}
}

// copyBufferBytes is the largest chunk that a link forwards at once.
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

// set replaces the faults of the link, also for open connections.
func (l *link) set(faults linkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// setFor applies faults for the given time and then clears them.
func (l *link) setFor(faults linkFaults, length time.Duration) {
	l.set(faults)
	time.Sleep(length)
	l.set(linkFaults{})
}

func (l *link) current() linkFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// reset closes all open connections with a TCP reset.
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

// runConnection forwards one connection until either side closes it.
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
	go l.runCopy(target, conn, func(f linkFaults) bool { return f.cutForward }, ended)
	go l.runCopy(conn, target, func(f linkFaults) bool { return f.cutBack }, ended)
	<-ended
}

// runCopy forwards data in one direction. After a cut has dropped data, nothing
// more is forwarded on the connection, as if the data were never acknowledged.
func (l *link) runCopy(to io.Writer, from io.Reader, cut func(linkFaults) bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, copyBufferBytes)
	dropping := false
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		faults := l.current()
		time.Sleep(faults.delay)
		dropping = dropping || faults.silent || cut(faults)
		if dropping {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}
