// Package messenger is the transport between the system's processes. It carries calls, each a request and its answer,
// over QUIC, or over TLS on TCP where UDP is blocked. Both ends authenticate with certificates. While calls are
// pending, the client sends heartbeats, i.e. pings that the server answers with pongs, to detect a connection that has
// failed.
//
// The messages are those between entries and agents, and those among entries. Entries are the processes that accept
// jobs and requests; one of them is the scheduler of its region, and the epoch numbers the terms of the schedulers.
// Agents are the processes that run tasks on a worker and pass requests to an endpoint. A gang is the tasks of one
// attempt of a job, which start together or not at all. An agent starts work only while it has a permit, which an entry
// grants for a short time in the answer to a report. An incarnation of an agent is one run of its process.
package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// heartbeatInterval is the interval of heartbeats while calls are pending.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout is the time without a pong after which a connection with pending calls is closed. Over TCP, a part
	// of an answer counts as a pong.
	heartbeatTimeout = 900 * time.Millisecond
	// quicDialTimeout limits a QUIC handshake. After it, TCP is tried.
	quicDialTimeout = 500 * time.Millisecond
	// tcpDialTimeout limits the TCP connect, the TLS handshake and the first pong together.
	tcpDialTimeout = 2 * time.Second
	// quicRetryInterval is how long an address is called over TCP before QUIC is tried again.
	quicRetryInterval = 30 * time.Second
	// clientIdleTimeout is the time without calls after which a client closes its connections to an address.
	clientIdleTimeout = 15 * time.Second
	// maxPendingCalls limits the pending calls to one address. It is less than maxStreams, which leaves streams for
	// heartbeats.
	maxPendingCalls = 4096
	// The back-off after failed dials to an address doubles from minBackoff to maxBackoff. The delay before the next dial
	// is at least half of it and at most all of it, chosen at random.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Client sends calls to servers. It keeps one QUIC connection per address, or a pool of TCP connections if UDP is
// blocked.
type Client struct {
	// TLS must provide the client's certificate and verify server certificates.
	TLS *tls.Config
	// Group, if set, maps a server address to the group in which BytesByGroup counts its traffic.
	Group func(address string) string

	byteCounter byteCounter

	mu     sync.Mutex
	closed bool
	// peers is keyed by address. It is nil until the first call and after Close.
	peers map[string]*peer
	// sharedTransport and tls, a copy of TLS adapted by protocolTLS, are nil until the first call.
	sharedTransport *quic.Transport
	tls             *tls.Config
}

// peer holds a client's connections to one address. It is closed after clientIdleTimeout without calls.
type peer struct {
	client          *Client
	sharedTransport *quic.Transport
	address         string
	group           string

	mu sync.Mutex
	// closed is set when the peer has been removed from Client.peers. Calls on it then fail with ErrClosed.
	closed       bool
	pendingCalls int
	idleTimer    *time.Timer
	quicConn     *quicClientConn
	// replaceSocket is set after a connection was closed because its heartbeats were not answered. The next dial then uses
	// a new UDP socket.
	replaceSocket bool
	// ownTransport has a UDP socket for this peer alone. It is nil while the peer uses sharedTransport.
	ownTransport *quic.Transport
	// dialDone is closed when the dial in progress has ended. It is nil when there is none.
	dialDone chan struct{}
	// nextDialAt is the earliest time of the next dial, dialFailures the number of consecutive failed dials, and
	// lastDialError the error of the last one. A successful dial resets them.
	nextDialAt    time.Time
	dialFailures  int
	lastDialError error
	// useTCPUntil is the time from which QUIC is tried again. It is zero unless UDP was found blocked.
	useTCPUntil time.Time
	// idleTCP are the TCP connections without a call, busyTCP those that carry one.
	idleTCP []*tcpClientConn
	busyTCP map[*tcpClientConn]bool
}

// Call sends a request and decodes the body of the answer into answer, which may be nil.
// Its errors are described at ErrNotRun, ErrHeartbeatTimeout, ErrConnectionLost and ErrRemote.
func (c *Client) Call(ctx context.Context, address string, kind Kind, request, answer any) error {
	message, err := encodeRequest(kind, remainingTime(ctx), request)
	if err != nil {
		return wrapCallError(kind, address, markNotRun(err))
	}
	if err := ctx.Err(); err != nil {
		return wrapCallError(kind, address, markNotRun(err))
	}
	p, err := c.acquire(address)
	if err != nil {
		return wrapCallError(kind, address, markNotRun(err))
	}
	defer p.release()
	data, err := p.call(ctx, kind, message)
	if err != nil {
		return wrapCallError(kind, address, err)
	}
	if err := decodeAnswerBody(data, answer); err != nil {
		return wrapCallError(kind, address, err)
	}
	return nil
}

func wrapCallError(kind Kind, address string, err error) error {
	return fmt.Errorf("%s to %s: %w", kind, address, err)
}

// remainingTime returns the time until the deadline of ctx, at least 1 ns, or 0 if there is no deadline.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), 1)
}

// decodeAnswerBody decodes an answer and stores its body in v, which may be nil. If the answer contains an error, it
// returns that error.
func decodeAnswerBody(data []byte, v any) error {
	envelope, err := decodeAnswer(data)
	if err != nil {
		return err
	}
	if envelope.NotRun {
		return fmt.Errorf("%w: %w: %w", ErrNotRun, ErrRefused, &RemoteError{Code: envelope.Code, Text: envelope.Text})
	}
	if envelope.Code != "" {
		return &RemoteError{Code: envelope.Code, Text: envelope.Text}
	}
	if v == nil {
		return nil
	}
	return Decode(envelope.Body, v)
}

// BytesByKind returns the bytes of messages sent and received so far, by message kind. They include the frame headers,
// but not the overhead of TLS, QUIC and the layers below.
func (c *Client) BytesByKind() map[Kind]int64 {
	return c.byteCounter.totalsByKind()
}

// BytesByGroup returns the same counts as BytesByKind, divided by the group of the server's address.
func (c *Client) BytesByGroup() map[string]map[Kind]int64 {
	return c.byteCounter.totalsByGroup()
}

// Close closes all connections. Pending calls fail, and later calls return ErrClosed.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	peers, sharedTransport := c.peers, c.sharedTransport
	c.peers, c.sharedTransport = nil, nil
	c.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
	if sharedTransport == nil {
		return nil
	}
	return errors.Join(sharedTransport.Close(), sharedTransport.Conn.Close())
}

// acquire returns the peer of an address and adds a pending call to it. The caller must call release when the call has
// ended.
func (c *Client) acquire(address string) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fmt.Errorf("client: %w", ErrClosed)
	}
	if err := c.openSocket(); err != nil {
		return nil, err
	}
	p := c.peers[address]
	if p == nil {
		p = &peer{client: c, sharedTransport: c.sharedTransport, address: address, group: groupOfAddress(c.Group, address)}
		c.peers[address] = p
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingCalls >= maxPendingCalls {
		return nil, fmt.Errorf("%d calls are pending", p.pendingCalls)
	}
	p.pendingCalls++
	if p.idleTimer != nil {
		p.idleTimer.Stop()
	}
	return p, nil
}

// openSocket opens, at the first call, the UDP socket that the client's peers share, and initialises peers and tls. The
// caller holds c.mu.
func (c *Client) openSocket() error {
	if c.sharedTransport != nil {
		return nil
	}
	if c.TLS == nil {
		return errors.New("client needs TLS")
	}
	udpConn, err := net.ListenUDP("udp", nil)
	if err != nil {
		return err
	}
	c.sharedTransport = &quic.Transport{Conn: udpConn}
	c.peers = make(map[string]*peer)
	c.tls = protocolTLS(c.TLS)
	return nil
}

// release removes a pending call and starts the idle timer after the last one.
func (p *peer) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingCalls--
	if p.pendingCalls > 0 || p.closed {
		return
	}
	if p.idleTimer == nil {
		p.idleTimer = time.AfterFunc(clientIdleTimeout, p.closeIfIdle)
		return
	}
	p.idleTimer.Reset(clientIdleTimeout)
}

// closeIfIdle is called when the idle timer fires. It closes the peer unless a call has begun in the meantime.
func (p *peer) closeIfIdle() {
	c := p.client
	c.mu.Lock()
	p.mu.Lock()
	idle := p.pendingCalls == 0 && !p.closed
	if idle {
		delete(c.peers, p.address)
	}
	p.mu.Unlock()
	c.mu.Unlock()
	if idle {
		p.close()
	}
}

func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	if p.idleTimer != nil {
		p.idleTimer.Stop()
	}
	q, tcpConns := p.quicConn, slices.AppendSeq(p.idleTCP, maps.Keys(p.busyTCP))
	ownTransport := p.ownTransport
	p.quicConn, p.idleTCP, p.ownTransport = nil, nil, nil
	p.mu.Unlock()
	if q != nil {
		q.conn.CloseWithError(codeClosed, "client closed")
	}
	closeTransport(ownTransport)
	for _, t := range tcpConns {
		t.close()
	}
}

func (p *peer) call(ctx context.Context, kind Kind, message []byte) ([]byte, error) {
	data, q, err := p.tryCall(ctx, kind, message)
	if q == nil || !errors.Is(err, errNoStream) || ctx.Err() != nil {
		return data, err
	}
	// No stream could be opened, for example because the connection is being closed after a heartbeat timeout and its
	// context was not yet done when it was selected. Nothing was sent, so the call is repeated on a new connection.
	p.discardQUIC(q)
	data, _, err = p.tryCall(ctx, kind, message)
	return data, err
}

// tryCall makes a call over QUIC or TCP. It returns the QUIC connection that it used, if any.
func (p *peer) tryCall(ctx context.Context, kind Kind, message []byte) ([]byte, *quicClientConn, error) {
	q, err := p.quicConnection(ctx)
	if err != nil {
		return nil, nil, markNotRun(err)
	}
	if q == nil {
		data, err := p.callTCP(ctx, kind, message)
		return data, nil, err
	}
	data, err := q.call(ctx, kind, message)
	return data, q, err
}

// discardQUIC removes a connection that accepts no more calls, so that the next call dials a new one.
func (p *peer) discardQUIC(q *quicClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.quicConn == q {
		p.quicConn = nil
	}
}

// quicConnection returns the QUIC connection, or nil if the call must use TCP. If there is no connection, it starts a
// dial unless one is in progress, and waits for its end. For an address that is called over TCP, it does not wait.
// During the back-off after a failed dial, it returns an error.
func (p *peer) quicConnection(ctx context.Context) (*quicClientConn, error) {
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, ErrClosed
		}
		if p.quicConn != nil && p.quicConn.conn.Context().Err() == nil {
			q := p.quicConn
			p.mu.Unlock()
			return q, nil
		}
		now := time.Now()
		useTCP := !p.useTCPUntil.IsZero()
		if useTCP && now.Before(p.useTCPUntil) {
			p.mu.Unlock()
			return nil, nil
		}
		if p.dialDone == nil && now.Before(p.nextDialAt) {
			defer p.mu.Unlock()
			return nil, fmt.Errorf("backing off after %d failed dials: %w", p.dialFailures, p.lastDialError)
		}
		if p.dialDone == nil {
			p.dialDone = make(chan struct{})
			go p.dial(p.dialDone)
		}
		dialDone := p.dialDone
		p.mu.Unlock()
		if useTCP {
			return nil, nil // QUIC is tried again in the background.
		}
		select {
		case <-dialDone:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		p.mu.Lock()
		err := p.lastDialError
		p.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

// dial tries QUIC and, if that fails other than by a refusal or an unresolved host name (see isUnanswered), TCP. It
// records the result in p and closes dialDone at the end.
func (p *peer) dial(dialDone chan struct{}) {
	q, err := p.dialQUIC()
	var t *tcpClientConn
	if isUnanswered(err) {
		t, err = p.dialTCP(context.Background())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(dialDone)
	p.dialDone = nil
	if p.closed {
		err = errors.Join(err, ErrClosed)
		if q != nil {
			q.conn.CloseWithError(codeClosed, "client closed")
		}
		if t != nil {
			t.close()
		}
	}
	if err != nil {
		p.recordDialFailure(err)
		return
	}
	p.dialFailures, p.lastDialError, p.nextDialAt, p.useTCPUntil = 0, nil, time.Time{}, time.Time{}
	if t != nil {
		p.idleTCP = append(p.idleTCP, t)
		p.useTCPUntil = time.Now().Add(quicRetryInterval)
		return
	}
	p.quicConn = q
	for _, unused := range p.idleTCP {
		unused.close()
	}
	p.idleTCP = nil
}

// recordDialFailure starts or extends the back-off. The next dial tries QUIC first.
func (p *peer) recordDialFailure(err error) {
	p.dialFailures++
	p.lastDialError = err
	p.nextDialAt = time.Now().Add(backoff(p.dialFailures))
	p.useTCPUntil = time.Time{}
}

// backoff returns the delay before the next dial after failureCount consecutive failures. failureCount is at least 1.
func backoff(failureCount int) time.Duration {
	d := min(minBackoff<<min(failureCount-1, 10), maxBackoff)
	return d/2 + rand.N(d/2)
}
