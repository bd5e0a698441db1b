package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// quicConn is a QUIC connection of a client.
type quicConn struct {
	peer *peer
	conn *quic.Conn

	mu sync.Mutex
	// pending calls of this connection; heartbeats run while it is not 0.
	pending int
	// pinging is set while the goroutine of heartbeats runs.
	pinging bool
	start   *time.Timer
}

func (p *peer) dialQUIC() (*quicConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), quicDialTimeout)
	defer cancel()
	address, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return nil, err
	}
	c := p.client.tls.Clone()
	c.ServerName = address.IP.String()
	transport, err := p.renewSocket()
	if err != nil {
		return nil, err
	}
	conn, err := transport.Dial(ctx, address, c, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("QUIC: %w", err)
	}
	return &quicConn{peer: p, conn: conn}, nil
}

// renewSocket returns the socket to dial from. After a silence it is a new one: what drops the packets of a connection
// on the way may know it by its address and port, and would drop those of the next one from there too.
func (p *peer) renewSocket() (*quic.Transport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if p.silent {
		udp, err := net.ListenUDP("udp", nil)
		if err != nil {
			return nil, err
		}
		go closeSocket(p.own)
		p.own = &quic.Transport{Conn: udp}
		p.silent = false
	}
	if p.own != nil {
		return p.own, nil
	}
	return p.transport, nil
}

func closeSocket(t *quic.Transport) {
	if t == nil {
		return
	}
	t.Close()
	t.Conn.Close()
}

// wentSilent closes a connection that carries no packets any more.
func (q *quicConn) wentSilent(reason string) {
	q.peer.mu.Lock()
	q.peer.silent = true
	q.peer.mu.Unlock()
	q.conn.CloseWithError(codeSilent, reason)
}

// isBlocked reports whether a QUIC handshake got no answer, as opposed to a refusal by either side.
func isBlocked(err error) bool {
	var transport *quic.TransportError
	var app *quic.ApplicationError
	var version *quic.VersionNegotiationError
	var resolve *net.DNSError
	refused := errors.As(err, &transport) || errors.As(err, &app) || errors.As(err, &version) || errors.As(err, &resolve)
	return err != nil && !refused
}

// errNoStream means that a connection that was open a moment ago takes no more calls.
var errNoStream = errors.New("no stream on the connection")

func (q *quicConn) call(ctx context.Context, kind Kind, message []byte) ([]byte, error) {
	q.begin()
	defer q.end()
	st, err := q.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, notSent(fmt.Errorf("%w: %w", errNoStream, q.explain(ctx, err)))
	}
	cancel := context.AfterFunc(ctx, func() { resetStream(st) })
	defer cancel()
	sent := frames(frameRequest, message, func(b []byte) error {
		_, err := st.Write(b)
		return err
	})
	counter := &q.peer.client.counter
	if sent == nil {
		counter.add(q.peer.group, kind, wireSize(message))
	}
	// A server that refuses a call may do so before it has the whole request, hence the answer is read even when sending failed.
	t, data, err := (&frameReader{r: st}).next(nil)
	if err == nil && t != frameAnswer {
		err = fmt.Errorf("%w: frame type %d", ErrMalformed, t)
	}
	if err != nil {
		resetStream(st)
		err = q.explain(ctx, err)
		if sent != nil {
			return nil, notSent(err)
		}
		return nil, err
	}
	counter.add(q.peer.group, kind, wireSize(data))
	st.Close()
	return data, nil
}

// explain turns an error of a stream into an error of a call.
func (q *quicConn) explain(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var app *quic.ApplicationError
	var transport *quic.TransportError
	var idle *quic.IdleTimeoutError
	switch {
	case errors.As(err, &app) && !app.Remote && app.ErrorCode == codeSilent:
		return fmt.Errorf("%w for %v", ErrSilent, silentAfter)
	case errors.As(err, &app) && app.Remote && (app.ErrorCode == codeIdentity || app.ErrorCode == codeDrained):
		return notSent(err)
	case errors.As(err, &transport) && transport.Remote && transport.ErrorCode.IsCryptoError():
		// The server refused the client's certificate, so no handler ran on this connection.
		return notSent(err)
	case errors.As(err, &idle):
		return fmt.Errorf("%w: %w", ErrSilent, err)
	default:
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
}

func (q *quicConn) begin() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending++
	if q.pending > 1 || q.pinging {
		return
	}
	if q.start == nil {
		q.start = time.AfterFunc(pingEvery, q.ping)
		return
	}
	q.start.Reset(pingEvery)
}

func (q *quicConn) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending--
	if q.pending == 0 && !q.pinging {
		q.start.Stop()
	}
}

// active reports whether heartbeats are needed; when they are not, a later call starts them again.
func (q *quicConn) active() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pinging = q.pending > 0
	return q.pinging
}

// ping sends heartbeats while calls are pending. It starts pingEvery after the first of them, so that short calls need none.
func (q *quicConn) ping() {
	if !q.active() {
		return
	}
	alive := time.Now().Add(-pingEvery)
	st, err := q.conn.OpenStream()
	if err != nil {
		q.wentSilent("no stream for heartbeats")
		return
	}
	defer resetStream(st)
	ping := appendFrame(nil, framePing, nil)
	fr := frameReader{r: st}
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	for {
		st.SetDeadline(alive.Add(silentAfter))
		if _, err := st.Write(ping); err != nil {
			break
		}
		if t, _, err := fr.next(nil); err != nil || t != framePong {
			break
		}
		alive = time.Now()
		q.peer.client.counter.add(q.peer.group, KindPing, 2*frameHeaderSize)
		select {
		case <-tick.C:
		case <-q.conn.Context().Done():
			return
		}
		if !q.active() {
			return
		}
	}
	q.wentSilent("no pong")
}
