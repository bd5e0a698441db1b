package limiter

import (
	"bytes"
	"container/list"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// listener accepts connections within the limits of its port.
type listener struct {
	net.Listener
	port *port
}

// Accept waits for the next connection that there is room for. Others are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit returns the guarded connection, or nil if there is no room for it.
func (p *port) admit(inner net.Conn) *connection {
	address := inner.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	c := &connection{Conn: inner, port: p, address: address}
	ofAddress := p.account + " address " + address
	c.accounts = []account{{p.account, p.share}, {ofAddress, p.maxAddress}}
	// Connections alone take half of each share, so that there is room for requests.
	c.draw.open(&p.guard.budget, append(slices.Clone(c.accounts),
		account{p.account + " connections", p.share / 2}, account{ofAddress + " connections", p.maxAddress / 2}))
	for {
		full, err := c.draw.reserve(connectionCost)
		if err == nil {
			break
		}
		if !p.connections.closeOldest(full, time.Now()) {
			p.limited("memory for connections", address)
			return nil
		}
	}
	for !p.connections.add(c) {
		if !p.connections.closeOldest("", time.Now()) {
			c.draw.close()
			p.limited("connections", address)
			return nil
		}
		p.limited("idle connection closed for room", address)
	}
	return c
}

// connectionList holds the open connections of a port.
type connectionList struct {
	max int

	mu sync.Mutex
	// open lists the connections, that without progress for longest first.
	open list.List
}

func (l *connectionList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open.Len()
}

func (l *connectionList) add(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open.Len() >= l.max {
		return false
	}
	c.progressed = time.Now()
	c.element = l.open.PushBack(c)
	return true
}

// remove removes a connection and reports whether it was listed.
func (l *connectionList) remove(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element == nil {
		return false
	}
	l.open.Remove(c.element)
	c.element = nil
	return true
}

// progress records that a request has begun or ended.
func (l *connectionList) progress(c *connection, waiting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.waiting = waiting
	if c.element != nil {
		c.progressed = time.Now()
		l.open.MoveToBack(c.element)
	}
}

// closeOldest closes the connection of an account, or of any if account is "", that has been without progress for longest,
// except those that wait for an answer. It reports whether there was one without progress for evictionAge.
func (l *connectionList) closeOldest(account string, now time.Time) bool {
	l.mu.Lock()
	var oldest *connection
	for e := l.open.Front(); e != nil; e = e.Next() {
		c := e.Value.(*connection)
		if now.Sub(c.progressed) < evictionAge {
			break
		}
		if !c.waiting && c.draw.holds(account) {
			oldest = c
			break
		}
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	// An error means that the connection was closed meanwhile, which makes room as well.
	_ = oldest.Close()
	return true
}

// connection is a guarded connection. net/http reads it from one goroutine at a time.
//
// It hands out the header of a request up to its end, then the body, then the next header, never parts of two in one
// read. So each header is checked from its first byte on, and what was sent ahead stays out of the server's buffers.
type connection struct {
	net.Conn
	port    *port
	address string
	// accounts are those of the requests on the connection. draw has further ones.
	accounts []account
	draw     draw

	// The following fields are guarded by port.connections.mu.
	element    *list.Element
	progressed time.Time
	// waiting is true while a request that was read to its end is served.
	waiting bool

	// pending holds bytes that were received but not handed out. It and the following fields belong to the reader.
	pending []byte
	// bodyLeft is the part of the body that is left to read.
	bodyLeft int64
	header   headerScan
	// afterHeader is the number of bytes that were received together with the end of the last header. It does not change
	// while a request is served: the server reads one byte at most in that time.
	afterHeader int
	// requestsAhead counts requests in a row that were received together with a part of the next one. It belongs to the
	// goroutine that serves the requests.
	requestsAhead int
}

// unknownLength is the length of a chunked body. The connection is closed after it.
const unknownLength = 1 << 62

// beginRequest is called when the header of a request is complete, with the length of its body. It returns how many
// requests in a row were received together with a part of the next one.
func (c *connection) beginRequest(length int64) int {
	c.port.connections.progress(c, length == 0)
	// Without a body, the server may already be reading again.
	switch {
	case length > 0:
		c.bodyLeft = length
	case length < 0:
		c.bodyLeft = unknownLength
	}
	c.requestsAhead++
	if length < 0 || int64(c.afterHeader) <= length {
		c.requestsAhead = 0
	}
	return c.requestsAhead
}

func (c *connection) endRequest() { c.port.connections.progress(c, false) }

func (c *connection) setWaiting(waiting bool) {
	c.port.connections.mu.Lock()
	defer c.port.connections.mu.Unlock()
	c.waiting = waiting
}

// refuse answers a request that was not looked at.
func (c *connection) refuse(w http.ResponseWriter, cause string) {
	c.port.limited(cause, c.address)
	closeAfterAnswer(w)
	w.Header().Set("Content-Type", "application/json")
	setRetryAfter(w)
	w.WriteHeader(http.StatusServiceUnavailable)
	// An error means that the client is gone.
	_, _ = fmt.Fprintf(w, `{"error":%q}`, ErrNoRoom)
}

func setRetryAfter(w http.ResponseWriter) {
	w.Header().Set("Retry-After", fmt.Sprint(int(RetryAfter/time.Second)))
}

// Read reads a part of one header or of one body.
func (c *connection) Read(p []byte) (int, error) {
	if len(c.pending) == 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return n, err
		}
		use, headerErr := c.take(p[:n], 0)
		if use < n {
			c.pending = bytes.Clone(p[use:n])
		}
		if headerErr != nil {
			return 0, c.refuseHeader(headerErr)
		}
		return use, err
	}
	size := min(len(p), len(c.pending))
	use, headerErr := c.take(c.pending[:size], len(c.pending)-size)
	n := copy(p, c.pending[:use])
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	if headerErr != nil {
		return 0, c.refuseHeader(headerErr)
	}
	return n, nil
}

// take returns how many bytes of data belong to the current header or body. rest is the number of bytes that were
// received after data.
func (c *connection) take(data []byte, rest int) (int, error) {
	if c.bodyLeft > 0 {
		n := min(int64(len(data)), c.bodyLeft)
		c.bodyLeft -= n
		return int(n), nil
	}
	n, ended, err := c.header.take(data)
	if ended {
		c.afterHeader = len(data) - n + rest
	}
	return n, err
}

// refuseHeader answers a request whose header is over the limits. The server has written all earlier answers by then.
func (c *connection) refuseHeader(err error) error {
	c.port.limited("header size", c.address)
	// An error means that the client is gone.
	_, _ = c.Write([]byte("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// writeSize is the part of an answer that the client must take within the limit on time without progress.
const writeSize = 64 << 10

// Write writes within the limit on time without progress.
func (c *connection) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.port.guard.Limits.StallTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writeSize)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite closes the writing side, so that a client that still sends reads the answer before the connection ends.
func (c *connection) CloseWrite() error {
	if inner, ok := c.Conn.(*net.TCPConn); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives back what it holds.
func (c *connection) Close() error {
	if c.port.connections.remove(c) {
		c.draw.close()
	}
	return c.Conn.Close()
}

// headerScan finds the end of a header and counts its bytes and lines. The zero value is at the start of a header.
type headerScan struct {
	bytes, lines int
	// line is the number of bytes of the current line, without a carriage return at its end.
	line int
}

// take returns how many bytes of data belong to the header, whether it ends there, or errHeader.
func (s *headerScan) take(data []byte) (n int, ended bool, err error) {
	for i := 0; i < len(data); {
		end := bytes.IndexByte(data[i:], '\n')
		part := data[i:]
		if end >= 0 {
			part = data[i : i+end]
		}
		s.line += len(bytes.TrimSuffix(part, []byte{'\r'}))
		s.bytes += len(part)
		if end < 0 {
			break
		}
		i += end + 1
		if s.line == 0 && s.lines > 0 {
			*s = headerScan{}
			return i, true, nil
		}
		s.line = 0
		if s.lines++; s.lines > maxHeaderLines {
			return i, false, errHeader
		}
	}
	if s.bytes > maxHeaderBytes {
		return len(data), false, errHeader
	}
	return len(data), false, nil
}
