package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// maxIdleTCP limits the idle TCP connections that are kept per address.
const maxIdleTCP = 8

// errServerClosing means that the server has closed the connection after a shutdown. If a request on the connection is
// still unanswered, the server has not run it.
var errServerClosing = errors.New("server closed the connection")

// tcpClientConn is the client's end of a TCP connection. It carries one call at a time.
type tcpClientConn struct {
	peer *peer
	conn *tls.Conn
	// activity receives a value when a pong or a part of an answer arrives.
	activity chan struct{}
	// answers receives the answer of the current call.
	answers chan []byte
	// done is closed when the connection has ended. err is set before that.
	done      chan struct{}
	err       error
	closeOnce sync.Once
}

// dialTCP opens a connection and waits for the first pong. In TLS 1.3 the client's handshake ends before the server has
// verified the client's certificate; the pong shows that the server accepted it.
func (p *peer) dialTCP(ctx context.Context) (*tcpClientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, tcpDialTimeout)
	defer cancel()
	rawConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	limitSendBuffer(rawConn)
	tlsConfig := p.client.tls.Clone()
	tlsConfig.ServerName = rawConn.RemoteAddr().(*net.TCPAddr).IP.String()
	conn := tls.Client(rawConn, tlsConfig)
	if err := conn.HandshakeContext(ctx); err != nil {
		rawConn.Close()
		return nil, fmt.Errorf("TLS over TCP: %w", err)
	}
	t := &tcpClientConn{peer: p, conn: conn, activity: make(chan struct{}, 1), answers: make(chan []byte, 1), done: make(chan struct{})}
	go t.readFrames()
	if err := t.awaitFirstPong(ctx); err != nil {
		t.close()
		return nil, fmt.Errorf("TLS over TCP: %w", err)
	}
	return t, nil
}

func (t *tcpClientConn) awaitFirstPong(ctx context.Context) error {
	if err := t.sendPing(); err != nil {
		return err
	}
	select {
	case <-t.activity:
		return nil
	case <-t.done:
		return t.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readFrames handles incoming frames until the connection ends.
func (t *tcpClientConn) readFrames() {
	frames := frameReader{source: t.conn}
	for {
		typ, message, err := frames.next(t.signalActivity)
		if err != nil {
			t.closeWithError(err)
			return
		}
		switch typ {
		case framePong:
			t.signalActivity()
		case frameAnswer:
			select {
			case t.answers <- message:
			default:
				t.closeWithError(fmt.Errorf("%w: answer without a request", ErrMalformed))
				return
			}
		case frameGoAway:
			t.closeWithError(errServerClosing)
			return
		default:
			t.closeWithError(fmt.Errorf("%w: frame type %d", ErrMalformed, typ))
			return
		}
	}
}

func (t *tcpClientConn) signalActivity() {
	select {
	case t.activity <- struct{}{}:
	default:
	}
}

func (t *tcpClientConn) closeWithError(err error) {
	t.closeOnce.Do(func() {
		t.err = err
		close(t.done)
		t.conn.NetConn().Close()
	})
}

func (t *tcpClientConn) close() {
	t.closeWithError(net.ErrClosed)
}

// writeFrame writes one frame. It returns ErrHeartbeatTimeout if the frame cannot be written within heartbeatTimeout.
func (t *tcpClientConn) writeFrame(frame []byte) error {
	t.conn.SetWriteDeadline(time.Now().Add(heartbeatTimeout))
	_, err := t.conn.Write(frame)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrHeartbeatTimeout, err)
	}
	return err
}

// sendPing sends a ping. It counts the bytes of the pong in advance.
func (t *tcpClientConn) sendPing() error {
	t.peer.client.byteCounter.add(t.peer.group, KindPing, 2*frameHeaderSize)
	return t.writeFrame(appendFrame(nil, framePing, nil))
}

func (p *peer) callTCP(ctx context.Context, kind Kind, message []byte) ([]byte, error) {
	t, err := p.acquireTCP(ctx)
	if err != nil {
		return nil, markNotRun(err)
	}
	stopWatching := context.AfterFunc(ctx, t.close)
	data, err := t.call(kind, message)
	// After a cancellation the connection is closed or about to be, so it cannot be reused.
	reusable := stopWatching() && err == nil
	if reusable && p.keepTCP(t) {
		return data, nil
	}
	p.closeTCP(t)
	if err == nil || ctx.Err() == nil {
		return data, err
	}
	if errors.Is(err, ErrNotRun) {
		return nil, markNotRun(ctx.Err())
	}
	return nil, ctx.Err()
}

// acquireTCP returns an idle connection or, if there is none, a new one. It marks the connection as busy.
func (p *peer) acquireTCP(ctx context.Context) (*tcpClientConn, error) {
	if t := p.takeIdleTCP(); t != nil {
		return t, nil
	}
	t, err := p.dialTCP(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			p.recordDialFailure(err)
		}
		return nil, err
	}
	if p.closed {
		t.close()
		return nil, ErrClosed
	}
	p.markBusy(t)
	return t, nil
}

// takeIdleTCP takes a connection that has not ended from idleTCP and marks it as busy. It returns nil if there is none.
func (p *peer) takeIdleTCP() *tcpClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idleTCP); n > 0; n = len(p.idleTCP) {
		t := p.idleTCP[n-1]
		p.idleTCP = p.idleTCP[:n-1]
		if !t.isClosed() {
			p.markBusy(t)
			return t
		}
	}
	return nil
}

func (p *peer) markBusy(t *tcpClientConn) {
	if p.busyTCP == nil {
		p.busyTCP = make(map[*tcpClientConn]bool)
	}
	p.busyTCP[t] = true
}

// keepTCP makes a busy connection idle for the next call. If the connection has ended or is not needed, it returns
// false and the caller must close the connection.
func (p *peer) keepTCP(t *tcpClientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.quicConn != nil || len(p.idleTCP) >= maxIdleTCP || t.isClosed() {
		return false
	}
	delete(p.busyTCP, t)
	p.idleTCP = append(p.idleTCP, t)
	return true
}

func (p *peer) closeTCP(t *tcpClientConn) {
	p.mu.Lock()
	delete(p.busyTCP, t)
	p.mu.Unlock()
	t.close()
}

func (t *tcpClientConn) isClosed() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

func (t *tcpClientConn) call(kind Kind, message []byte) ([]byte, error) {
	if err := writeFrames(frameRequest, message, t.writeFrame); err != nil {
		return nil, markNotRun(t.callError(err))
	}
	counter := &t.peer.client.byteCounter
	counter.add(t.peer.group, kind, wireSize(message))
	data, err := t.waitForAnswer()
	if err != nil {
		return nil, err
	}
	counter.add(t.peer.group, kind, wireSize(data))
	if err := t.writeFrame(appendFrame(nil, frameAnswerReceived, nil)); err != nil {
		t.closeWithError(err)
	}
	return data, nil
}

// waitForAnswer waits for the answer and returns it. In the meantime, it sends pings and fails after heartbeatTimeout
// without activity.
func (t *tcpClientConn) waitForAnswer() ([]byte, error) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	silenceTimer := time.NewTimer(heartbeatTimeout)
	defer silenceTimer.Stop()
	for {
		select {
		case data := <-t.answers:
			return data, nil
		case <-t.activity:
			silenceTimer.Reset(heartbeatTimeout)
		case <-ticker.C:
			if err := t.sendPing(); err != nil {
				return nil, t.callError(err)
			}
		case <-silenceTimer.C:
			return nil, fmt.Errorf("%w for %v", ErrHeartbeatTimeout, heartbeatTimeout)
		case <-t.done:
			return t.bufferedAnswer()
		}
	}
}

// bufferedAnswer returns an answer that arrived just before the connection ended, or else the error of the connection.
func (t *tcpClientConn) bufferedAnswer() ([]byte, error) {
	select {
	case data := <-t.answers:
		return data, nil
	default:
		return nil, t.callError(t.err)
	}
}

// callError converts the error of the connection to an error of Client.Call.
func (t *tcpClientConn) callError(err error) error {
	if t.isClosed() {
		err = t.err
	}
	switch {
	case errors.Is(err, errServerClosing):
		return markNotRun(err)
	case errors.Is(err, ErrHeartbeatTimeout):
		return err
	default:
		return fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
}
