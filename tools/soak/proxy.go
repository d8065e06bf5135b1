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

// behaviour is what a link does with the bytes that pass it.
type behaviour struct {
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
	behaviour behaviour
	open      map[net.Conn]struct{}
}

// pieceBytes is the size of the pieces that a link passes on.
const pieceBytes = 16 << 10

func newLink(target string) (*link, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open link: %w", err)
	}
	l := &link{target: target, listener: listener, open: map[net.Conn]struct{}{}}
	go l.run()
	return l, nil
}

func (l *link) address() string {
	return l.listener.Addr().String()
}

// set changes what the link does from now on, to open connections as well.
func (l *link) set(b behaviour) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behaviour = b
}

// hold changes what the link does for a while.
func (l *link) hold(b behaviour, length time.Duration) {
	l.set(b)
	time.Sleep(length)
	l.set(behaviour{})
}

func (l *link) now() behaviour {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behaviour
}

// reset breaks all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
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

func (l *link) keep(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
}

func (l *link) drop(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

// runConnection passes one connection on until either side ends it.
func (l *link) runConnection(conn net.Conn) {
	l.keep(conn)
	defer l.drop(conn)
	target, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	l.keep(target)
	defer l.drop(target)
	ended := make(chan struct{}, 2)
	go l.runCopy(target, conn, func(b behaviour) bool { return b.cutForward }, ended)
	go l.runCopy(conn, target, func(b behaviour) bool { return b.cutBack }, ended)
	<-ended
}

// runCopy passes bytes one way. What a cut takes is lost, as if it were never
// acknowledged: the connection stays silent from then on.
func (l *link) runCopy(to io.Writer, from io.Reader, cut func(behaviour) bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	piece := make([]byte, pieceBytes)
	lost := false
	for {
		count, err := from.Read(piece)
		if err != nil {
			return
		}
		now := l.now()
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
