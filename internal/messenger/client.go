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
	// pingEvery is the interval of heartbeats while calls are pending.
	pingEvery = 250 * time.Millisecond
	// silentAfter is the time without a pong after which a connection is closed.
	silentAfter = 900 * time.Millisecond
	// quicDialTimeout bounds a QUIC handshake; after it, TCP is tried.
	quicDialTimeout = 500 * time.Millisecond
	// tcpDialTimeout bounds connecting by TCP, the TLS handshake and the first pong.
	tcpDialTimeout = 2 * time.Second
	// quicRetryAfter is how long an address is called over TCP before QUIC is tried again.
	quicRetryAfter = 30 * time.Second
	// clientIdle is the time without calls after which a client closes its connections to an address.
	clientIdle = 15 * time.Second
	// maxPending bounds the pending calls to one address; it is less than maxStreams.
	maxPending = 4096
	// Dials to an address that fails are spaced by a back-off between these bounds, with jitter of one half.
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
)

// Client calls servers. It keeps one QUIC connection per address, or a pool of TCP connections where UDP is blocked.
type Client struct {
	// TLS must name the client's certificate and how server certificates are verified.
	TLS *tls.Config
	// Group, if set, maps a server address to the name under which BytesByGroup counts its traffic.
	Group func(address string) string

	counter counter

	mu        sync.Mutex
	closed    bool
	peers     map[string]*peer
	transport *quic.Transport
	tls       *tls.Config
}

// peer is what a client keeps for one address. It is dropped when it has been idle.
type peer struct {
	client    *Client
	transport *quic.Transport
	address   string
	group     string

	mu sync.Mutex
	// closed is set when the peer was dropped; callers then look it up again.
	closed  bool
	pending int
	idle    *time.Timer
	quic    *quicConn
	// silent is set when a connection went silent; the next dial uses a new socket.
	silent bool
	// own is the socket of this peer alone; nil while it uses that of the client.
	own *quic.Transport
	// dialing is closed when the dial in progress has ended; nil when there is none.
	dialing chan struct{}
	// notBefore, failures and failure are the back-off after failed dials.
	notBefore time.Time
	failures  int
	failure   error
	// tcpUntil is set while UDP is found blocked.
	tcpUntil time.Time
	// tcp are idle connections, tcpBusy those that carry a call.
	tcp     []*tcpConn
	tcpBusy map[*tcpConn]bool
}

// Call sends a request and decodes the answer into answer, which may be nil. See ErrNotSent, ErrSilent, ErrLost and ErrRemote for its errors.
func (c *Client) Call(ctx context.Context, address string, kind Kind, request, answer any) error {
	message, err := encodeRequest(kind, timeLeft(ctx), request)
	if err != nil {
		return callError(kind, address, notSent(err))
	}
	if err := ctx.Err(); err != nil {
		return callError(kind, address, notSent(err))
	}
	p, err := c.acquire(address)
	if err != nil {
		return callError(kind, address, notSent(err))
	}
	defer p.release()
	data, err := p.call(ctx, kind, message)
	if err != nil {
		return callError(kind, address, err)
	}
	if err := decodeInto(data, answer); err != nil {
		return callError(kind, address, err)
	}
	return nil
}

func callError(kind Kind, address string, err error) error {
	return fmt.Errorf("%s to %s: %w", kind, address, err)
}

// timeLeft returns the time until the deadline of ctx, at least 1 ns, or 0 when there is none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), 1)
}

func decodeInto(data []byte, v any) error {
	a, err := decodeAnswer(data)
	if err != nil {
		return err
	}
	if a.NotRun {
		return fmt.Errorf("%w: %w: %w", ErrNotSent, ErrRefused, &RemoteError{Code: a.Code, Text: a.Text})
	}
	if a.Code != "" {
		return &RemoteError{Code: a.Code, Text: a.Text}
	}
	if v == nil {
		return nil
	}
	return Decode(a.Body, v)
}

// Bytes returns the bytes sent and received so far, payload plus framing, by kind.
func (c *Client) Bytes() map[Kind]int64 {
	return c.counter.byKind()
}

// BytesByGroup returns the bytes of Bytes by the group of the server's address.
func (c *Client) BytesByGroup() map[string]map[Kind]int64 {
	return c.counter.byGroup()
}

// Close closes all connections. Pending calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	peers, transport := c.peers, c.transport
	c.peers, c.transport = nil, nil
	c.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
	if transport == nil {
		return nil
	}
	return errors.Join(transport.Close(), transport.Conn.Close())
}

// acquire returns the peer of an address with one more pending call.
func (c *Client) acquire(address string) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fmt.Errorf("client: %w", ErrClosed)
	}
	if err := c.start(); err != nil {
		return nil, err
	}
	p := c.peers[address]
	if p == nil {
		p = &peer{client: c, transport: c.transport, address: address, group: groupOf(c.Group, address)}
		c.peers[address] = p
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending >= maxPending {
		return nil, fmt.Errorf("%d calls are pending", p.pending)
	}
	p.pending++
	if p.idle != nil {
		p.idle.Stop()
	}
	return p, nil
}

// start opens the UDP socket that all connections of the client share.
func (c *Client) start() error {
	if c.transport != nil {
		return nil
	}
	if c.TLS == nil {
		return errors.New("client needs TLS")
	}
	udp, err := net.ListenUDP("udp", nil)
	if err != nil {
		return err
	}
	c.transport = &quic.Transport{Conn: udp}
	c.peers = make(map[string]*peer)
	c.tls = protocolTLS(c.TLS)
	return nil
}

// release ends a pending call.
func (p *peer) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
	if p.pending > 0 || p.closed {
		return
	}
	if p.idle == nil {
		p.idle = time.AfterFunc(clientIdle, p.expire)
		return
	}
	p.idle.Reset(clientIdle)
}

// expire drops a peer that has been idle.
func (p *peer) expire() {
	c := p.client
	c.mu.Lock()
	p.mu.Lock()
	idle := p.pending == 0 && !p.closed
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
	if p.idle != nil {
		p.idle.Stop()
	}
	q, pool := p.quic, slices.AppendSeq(p.tcp, maps.Keys(p.tcpBusy))
	own := p.own
	p.quic, p.tcp, p.own = nil, nil, nil
	p.mu.Unlock()
	if q != nil {
		q.conn.CloseWithError(codeClosed, "client closed")
	}
	closeSocket(own)
	for _, t := range pool {
		t.close()
	}
}

func (p *peer) call(ctx context.Context, kind Kind, message []byte) ([]byte, error) {
	data, q, err := p.callOnce(ctx, kind, message)
	if q == nil || !errors.Is(err, errNoStream) || ctx.Err() != nil {
		return data, err
	}
	// The connection was being closed, for example because another call found it
	// silent, and its context had not ended yet. Nothing was sent.
	p.discard(q)
	data, _, err = p.callOnce(ctx, kind, message)
	return data, err
}

// callOnce returns the QUIC connection that it used, if any.
func (p *peer) callOnce(ctx context.Context, kind Kind, message []byte) ([]byte, *quicConn, error) {
	q, err := p.connection(ctx)
	if err != nil {
		return nil, nil, notSent(err)
	}
	if q == nil {
		data, err := p.callTCP(ctx, kind, message)
		return data, nil, err
	}
	data, err := q.call(ctx, kind, message)
	return data, q, err
}

// discard forgets a connection that takes no more calls.
func (p *peer) discard(q *quicConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.quic == q {
		p.quic = nil
	}
}

// connection returns the QUIC connection, or nil when TCP is to be used. It dials when there is neither.
func (p *peer) connection(ctx context.Context) (*quicConn, error) {
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, ErrClosed
		}
		if p.quic != nil && p.quic.conn.Context().Err() == nil {
			q := p.quic
			p.mu.Unlock()
			return q, nil
		}
		now := time.Now()
		useTCP := !p.tcpUntil.IsZero()
		if useTCP && now.Before(p.tcpUntil) {
			p.mu.Unlock()
			return nil, nil
		}
		if p.dialing == nil && now.Before(p.notBefore) {
			defer p.mu.Unlock()
			return nil, fmt.Errorf("backing off after %d failed dials: %w", p.failures, p.failure)
		}
		if p.dialing == nil {
			p.dialing = make(chan struct{})
			go p.dial(p.dialing)
		}
		dialing := p.dialing
		p.mu.Unlock()
		if useTCP {
			return nil, nil // QUIC is tried again in the background.
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		p.mu.Lock()
		err := p.failure
		p.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

// dial tries QUIC and, when the handshake does not finish, TCP. It closes done at the end.
func (p *peer) dial(done chan struct{}) {
	q, err := p.dialQUIC()
	var t *tcpConn
	if isBlocked(err) {
		t, err = p.dialTCP(context.Background())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(done)
	p.dialing = nil
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
		p.failed(err)
		return
	}
	p.failures, p.failure, p.notBefore, p.tcpUntil = 0, nil, time.Time{}, time.Time{}
	if t != nil {
		p.tcp = append(p.tcp, t)
		p.tcpUntil = time.Now().Add(quicRetryAfter)
		return
	}
	p.quic = q
	for _, idle := range p.tcp {
		idle.close()
	}
	p.tcp = nil
}

// failed starts or extends the back-off. The next dial tries QUIC first.
func (p *peer) failed(err error) {
	p.failures++
	p.failure = err
	p.notBefore = time.Now().Add(backoff(p.failures))
	p.tcpUntil = time.Time{}
}

// backoff returns the wait after a number of consecutive failures.
func backoff(failures int) time.Duration {
	d := min(backoffMin<<min(failures-1, 10), backoffMax)
	return d/2 + rand.N(d/2)
}
