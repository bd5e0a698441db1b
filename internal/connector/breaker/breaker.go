// Package breaker stands in for a process and its connections in tests: it serves HTTP over connections in memory, which
// a test can break. It works in the virtual time of testing/synctest.
package breaker

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Fault is what is wrong with a connection.
type Fault int

const (
	// None is a healthy connection.
	None Fault = iota
	// Silent connections pass nothing more, and the caller does not see their end.
	Silent
	// HalfOpen connections are reset when the caller sends something, as by a process that was restarted.
	HalfOpen
)

// Peer is a process that serves Handler on each connection that is opened with Dial. Its zero value and a Handler are
// enough. Close must be called at the end of the test.
type Peer struct {
	Handler http.Handler

	mu    sync.Mutex
	conns []*conn
}

// Dial opens a connection to the process, whatever the address.
func (p *Peer) Dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	c := &conn{Conn: near, closed: make(chan struct{})}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	go func() {
		// Serve returns when the listener has no second connection.
		_ = http.Serve(&listener{conn: far}, p.Handler)
	}()
	return c, nil
}

// Break gives all connections that are open a fault, for good. New connections are healthy.
func (p *Peer) Break(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.setFault(f)
	}
}

// Dials returns the number of connections that were opened.
func (p *Peer) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close closes all connections.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// conn is the caller's end of a connection.
type conn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	fault Fault
}

func (c *conn) setFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

func (c *conn) currentFault() Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.currentFault() == Silent {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	switch c.currentFault() {
	case Silent:
		return len(p), nil
	case HalfOpen:
		return len(p), c.Conn.Close()
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// listener accepts one connection.
type listener struct{ conn net.Conn }

func (l *listener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	c := l.conn
	l.conn = nil
	return c, nil
}

func (l *listener) Close() error   { return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
