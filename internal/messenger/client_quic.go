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

// quicClientConn is the client's end of a QUIC connection. Each call uses a stream of its own.
type quicClientConn struct {
	peer *peer
	conn *quic.Conn

	mu sync.Mutex
	// pendingCalls counts the calls on this connection. Heartbeats are sent while it is not 0.
	pendingCalls int
	// sendingHeartbeats is set while sendHeartbeats runs.
	sendingHeartbeats bool
	heartbeatTimer    *time.Timer
}

func (p *peer) dialQUIC() (*quicClientConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), quicDialTimeout)
	defer cancel()
	address, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return nil, err
	}
	tlsConfig := p.client.tls.Clone()
	tlsConfig.ServerName = address.IP.String()
	transport, err := p.quicTransport()
	if err != nil {
		return nil, err
	}
	conn, err := transport.Dial(ctx, address, tlsConfig, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("QUIC: %w", err)
	}
	return &quicClientConn{peer: p, conn: conn}, nil
}

// quicTransport returns the transport to dial from. After a heartbeat timeout it has a new UDP socket: a firewall or
// NAT that drops the packets of the old connection may select them by source address and port, and would drop those of
// a new connection from the same port too.
func (p *peer) quicTransport() (*quic.Transport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if p.replaceSocket {
		udpConn, err := net.ListenUDP("udp", nil)
		if err != nil {
			return nil, err
		}
		go closeTransport(p.ownTransport)
		p.ownTransport = &quic.Transport{Conn: udpConn}
		p.replaceSocket = false
	}
	if p.ownTransport != nil {
		return p.ownTransport, nil
	}
	return p.sharedTransport, nil
}

func closeTransport(t *quic.Transport) {
	if t == nil {
		return
	}
	t.Close()
	t.Conn.Close()
}

// closeSilent closes a connection whose heartbeats are not answered. The next dial then uses a new UDP socket.
func (q *quicClientConn) closeSilent(reason string) {
	q.peer.mu.Lock()
	q.peer.replaceSocket = true
	q.peer.mu.Unlock()
	q.conn.CloseWithError(codeSilent, reason)
}

// isUnanswered reports whether TCP is to be tried after a QUIC dial that failed with err, usually because the handshake
// got no answer. It returns false if either side refused the handshake or the host name could not be resolved.
func isUnanswered(err error) bool {
	var transportErr *quic.TransportError
	var appErr *quic.ApplicationError
	var versionErr *quic.VersionNegotiationError
	var dnsErr *net.DNSError
	refused := errors.As(err, &transportErr) || errors.As(err, &appErr) || errors.As(err, &versionErr) || errors.As(err, &dnsErr)
	return err != nil && !refused
}

// errNoStream means that no stream could be opened for a call, since the connection was closing or the caller's context
// had ended.
var errNoStream = errors.New("no stream on the connection")

func (q *quicClientConn) call(ctx context.Context, kind Kind, message []byte) ([]byte, error) {
	q.beginCall()
	defer q.endCall()
	stream, err := q.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, markNotRun(fmt.Errorf("%w: %w", errNoStream, q.callError(ctx, err)))
	}
	stopWatching := context.AfterFunc(ctx, func() { resetStream(stream) })
	defer stopWatching()
	sendErr := writeFrames(frameRequest, message, func(b []byte) error {
		_, err := stream.Write(b)
		return err
	})
	counter := &q.peer.client.byteCounter
	if sendErr == nil {
		counter.add(q.peer.group, kind, wireSize(message))
	}
	// A server may refuse a call before it has received the whole request, so the answer is read even if sending failed.
	typ, data, err := (&frameReader{source: stream}).next(nil)
	if err == nil && typ != frameAnswer {
		err = fmt.Errorf("%w: frame type %d", ErrMalformed, typ)
	}
	if err != nil {
		resetStream(stream)
		err = q.callError(ctx, err)
		if sendErr != nil {
			return nil, markNotRun(err)
		}
		return nil, err
	}
	counter.add(q.peer.group, kind, wireSize(data))
	stream.Close()
	return data, nil
}

// callError converts the error of a stream to an error of Client.Call.
func (q *quicClientConn) callError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var appErr *quic.ApplicationError
	var transportErr *quic.TransportError
	var idleErr *quic.IdleTimeoutError
	switch {
	case errors.As(err, &appErr) && !appErr.Remote && appErr.ErrorCode == codeSilent:
		return fmt.Errorf("%w for %v", ErrHeartbeatTimeout, heartbeatTimeout)
	case errors.As(err, &appErr) && appErr.Remote && (appErr.ErrorCode == codeBadIdentity || appErr.ErrorCode == codeDrained):
		return markNotRun(err)
	case errors.As(err, &transportErr) && transportErr.Remote && transportErr.ErrorCode.IsCryptoError():
		// The server refused the client's certificate, so no handler ran on this connection.
		return markNotRun(err)
	case errors.As(err, &idleErr):
		return fmt.Errorf("%w: %w", ErrHeartbeatTimeout, err)
	default:
		return fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
}

// beginCall counts a pending call and schedules sendHeartbeats unless it is scheduled or running already.
func (q *quicClientConn) beginCall() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pendingCalls++
	if q.pendingCalls > 1 || q.sendingHeartbeats {
		return
	}
	if q.heartbeatTimer == nil {
		q.heartbeatTimer = time.AfterFunc(heartbeatInterval, q.sendHeartbeats)
		return
	}
	q.heartbeatTimer.Reset(heartbeatInterval)
}

func (q *quicClientConn) endCall() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pendingCalls--
	if q.pendingCalls == 0 && !q.sendingHeartbeats {
		q.heartbeatTimer.Stop()
	}
}

// heartbeatsNeeded reports whether calls are pending and sets sendingHeartbeats to the result.
// If it returns false, sendHeartbeats must return, and the next call schedules it again.
func (q *quicClientConn) heartbeatsNeeded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sendingHeartbeats = q.pendingCalls > 0
	return q.sendingHeartbeats
}

// sendHeartbeats sends pings while calls are pending, and closes the connection if they are not answered in time.
// It starts heartbeatInterval after the first pending call, so that short calls cause no heartbeats.
func (q *quicClientConn) sendHeartbeats() {
	if !q.heartbeatsNeeded() {
		return
	}
	// The first pending call started heartbeatInterval ago. The first pong is due heartbeatTimeout after that start.
	lastPong := time.Now().Add(-heartbeatInterval)
	stream, err := q.conn.OpenStream()
	if err != nil {
		q.closeSilent("no stream for heartbeats")
		return
	}
	defer resetStream(stream)
	ping := appendFrame(nil, framePing, nil)
	frames := frameReader{source: stream}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		stream.SetDeadline(lastPong.Add(heartbeatTimeout))
		if _, err := stream.Write(ping); err != nil {
			break
		}
		if typ, _, err := frames.next(nil); err != nil || typ != framePong {
			break
		}
		lastPong = time.Now()
		q.peer.client.byteCounter.add(q.peer.group, KindPing, 2*frameHeaderSize)
		select {
		case <-ticker.C:
		case <-q.conn.Context().Done():
			return
		}
		if !q.heartbeatsNeeded() {
			return
		}
	}
	q.closeSilent("no pong")
}
