package main

import (
	"net"
	"sync"
	"time"
)

// link is a TCP proxy on loopback. Silence makes the connections that are open at that
// time pass nothing any more, without a reset; new ones work.
type link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	connections map[*passage]struct{}
	delay       time.Duration
}

type passage struct {
	mu     sync.Mutex
	silent bool
}

func (p *passage) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: listener, connections: map[*passage]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.connections {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
	return len(l.connections)
}

func (l *link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		p := &passage{}
		l.mu.Lock()
		l.connections[p] = struct{}{}
		l.mu.Unlock()
		go l.pass(p, to, from)
		go l.pass(p, from, to)
	}
}

// pass copies one direction. A silent connection passes neither bytes nor its end.
func (l *link) pass(p *passage, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		l.mu.Lock()
		delay := l.delay
		l.mu.Unlock()
		time.Sleep(delay)
		if p.isSilent() {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	l.mu.Lock()
	delete(l.connections, p)
	l.mu.Unlock()
}
