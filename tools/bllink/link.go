// Package bllink is a TCP proxy on loopback that harms the connections which it
// forwards, for tests and the soak.
package bllink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Faults are the faults that a link applies to the data it forwards.
type Faults struct {
	// Delay postpones the forwarding of each chunk.
	Delay time.Duration
	// CutForward and CutBack drop the data to the target and the data from it.
	CutForward bool
	CutBack    bool
	// BytesPerSecond limits the data that each connection passes in each direction.
	// Zero is no limit.
	BytesPerSecond int
	// Silent accepts connections and drops the data in both directions.
	Silent bool
}

// transferTime returns how long it takes to pass the number of bytes.
func (f Faults) transferTime(bytes int) time.Duration {
	if f.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(f.BytesPerSecond)
}

// Link is a loopback TCP proxy to one target.
type Link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	faults      Faults
	connections map[net.Conn]struct{}
	// accepted counts the connections, and silenced is the number of those that are
	// silent for good.
	accepted, silenced int
}

// copyBufferBytes is the largest chunk that a link forwards at once.
const copyBufferBytes = 16 << 10

// New returns a running proxy to the target, which is an IP address and port.
func New(target string) (*Link, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open link: %w", err)
	}
	l := &Link{target: target, listener: listener, connections: map[net.Conn]struct{}{}}
	go l.run()
	return l, nil
}

// Address returns the address at which the proxy listens.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// Set replaces the faults of the link, also for open connections.
func (l *Link) Set(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// SetFor applies faults for the given time and then clears them.
func (l *Link) SetFor(faults Faults, length time.Duration) {
	l.Set(faults)
	time.Sleep(length)
	l.Set(Faults{})
}

func (l *Link) current() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Silence makes the open connections pass nothing any more, without closing them. New
// ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenced = l.accepted
}

func (l *Link) isSilenced(number int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return number <= l.silenced
}

func (l *Link) nextNumber() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted++
	return l.accepted
}

// Reset closes all open connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close stops the proxy and closes all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
}

func (l *Link) run() {
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

func (l *Link) track(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[conn] = struct{}{}
}

func (l *Link) untrack(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, conn)
}

// runConnection forwards one connection until either side closes it.
func (l *Link) runConnection(conn net.Conn) {
	number := l.nextNumber()
	l.track(conn)
	defer l.untrack(conn)
	target, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	l.track(target)
	defer l.untrack(target)
	ended := make(chan struct{}, 2)
	go l.runCopy(target, conn, func(f Faults) bool { return f.CutForward || l.isSilenced(number) }, ended)
	go l.runCopy(conn, target, func(f Faults) bool { return f.CutBack || l.isSilenced(number) }, ended)
	<-ended
}

// runCopy forwards data in one direction. After a cut has dropped data, nothing
// more is forwarded on the connection, as if the data were never acknowledged.
func (l *Link) runCopy(to io.Writer, from io.Reader, cut func(Faults) bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, copyBufferBytes)
	dropping := false
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		faults := l.current()
		time.Sleep(faults.Delay + faults.transferTime(count))
		dropping = dropping || faults.Silent || cut(faults)
		if dropping {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}
