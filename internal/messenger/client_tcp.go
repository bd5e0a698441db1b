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

// maxIdleTCP bounds the idle TCP connections that are kept per address.
const maxIdleTCP = 8

// errGoodbye means that the server has closed a connection and has run no unanswered request on it.
var errGoodbye = errors.New("server closed the connection")

// tcpConn is a TCP connection of a client. It carries one call at a time.
type tcpConn struct {
	peer *peer
	conn *tls.Conn
	// alive gets a value when a pong or a part of an answer has arrived.
	alive   chan struct{}
	answers chan []byte
	// ended is closed when the connection has ended; err is set before.
	ended chan struct{}
	err   error
	once  sync.Once
}

// dialTCP returns a connection on which the server has accepted this client's certificate, which TLS 1.3 alone does not tell.
func (p *peer) dialTCP(ctx context.Context) (*tcpConn, error) {
	ctx, cancel := context.WithTimeout(ctx, tcpDialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	limitBuffer(raw)
	c := p.client.tls.Clone()
	c.ServerName = raw.RemoteAddr().(*net.TCPAddr).IP.String()
	conn := tls.Client(raw, c)
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, fmt.Errorf("TLS over TCP: %w", err)
	}
	t := &tcpConn{peer: p, conn: conn, alive: make(chan struct{}, 1), answers: make(chan []byte, 1), ended: make(chan struct{})}
	go t.read()
	if err := t.greet(ctx); err != nil {
		t.close()
		return nil, fmt.Errorf("TLS over TCP: %w", err)
	}
	return t, nil
}

func (t *tcpConn) greet(ctx context.Context) error {
	if err := t.ping(); err != nil {
		return err
	}
	select {
	case <-t.alive:
		return nil
	case <-t.ended:
		return t.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// read handles incoming frames until the connection ends.
func (t *tcpConn) read() {
	fr := frameReader{r: t.conn}
	for {
		f, message, err := fr.next(t.touch)
		if err != nil {
			t.end(err)
			return
		}
		switch f {
		case framePong:
			t.touch()
		case frameAnswer:
			select {
			case t.answers <- message:
			default:
				t.end(fmt.Errorf("%w: answer without a request", ErrMalformed))
				return
			}
		case frameGoodbye:
			t.end(errGoodbye)
			return
		default:
			t.end(fmt.Errorf("%w: frame type %d", ErrMalformed, f))
			return
		}
	}
}

func (t *tcpConn) touch() {
	select {
	case t.alive <- struct{}{}:
	default:
	}
}

func (t *tcpConn) end(err error) {
	t.once.Do(func() {
		t.err = err
		close(t.ended)
		t.conn.NetConn().Close()
	})
}

func (t *tcpConn) close() {
	t.end(net.ErrClosed)
}

// write sends one frame. A peer that takes none of it for silentAfter is silent.
func (t *tcpConn) write(b []byte) error {
	t.conn.SetWriteDeadline(time.Now().Add(silentAfter))
	_, err := t.conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return err
}

func (t *tcpConn) ping() error {
	t.peer.client.counter.add(t.peer.group, KindPing, 2*frameHeaderSize)
	return t.write(appendFrame(nil, framePing, nil))
}

func (p *peer) callTCP(ctx context.Context, kind Kind, message []byte) ([]byte, error) {
	t, err := p.takeTCP(ctx)
	if err != nil {
		return nil, notSent(err)
	}
	stop := context.AfterFunc(ctx, t.close)
	data, err := t.call(kind, message)
	// After a cancellation the connection is closed or about to be, so it cannot be used again.
	reusable := stop() && err == nil
	if reusable && p.putTCP(t) {
		return data, nil
	}
	p.dropTCP(t)
	if err == nil || ctx.Err() == nil {
		return data, err
	}
	if errors.Is(err, ErrNotSent) {
		return nil, notSent(ctx.Err())
	}
	return nil, ctx.Err()
}

// takeTCP returns an idle connection or a new one.
func (p *peer) takeTCP(ctx context.Context) (*tcpConn, error) {
	if t := p.idleTCP(); t != nil {
		return t, nil
	}
	t, err := p.dialTCP(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			p.failed(err)
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

// idleTCP takes an idle connection that has not ended, or returns nil.
func (p *peer) idleTCP() *tcpConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.tcp); n > 0; n = len(p.tcp) {
		t := p.tcp[n-1]
		p.tcp = p.tcp[:n-1]
		if !t.hasEnded() {
			p.markBusy(t)
			return t
		}
	}
	return nil
}

func (p *peer) markBusy(t *tcpConn) {
	if p.tcpBusy == nil {
		p.tcpBusy = make(map[*tcpConn]bool)
	}
	p.tcpBusy[t] = true
}

// putTCP keeps a connection for the next call. It returns false when the connection is not needed.
func (p *peer) putTCP(t *tcpConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.quic != nil || len(p.tcp) >= maxIdleTCP || t.hasEnded() {
		return false
	}
	delete(p.tcpBusy, t)
	p.tcp = append(p.tcp, t)
	return true
}

func (p *peer) dropTCP(t *tcpConn) {
	p.mu.Lock()
	delete(p.tcpBusy, t)
	p.mu.Unlock()
	t.close()
}

func (t *tcpConn) hasEnded() bool {
	select {
	case <-t.ended:
		return true
	default:
		return false
	}
}

func (t *tcpConn) call(kind Kind, message []byte) ([]byte, error) {
	if err := frames(frameRequest, message, t.write); err != nil {
		return nil, notSent(t.explain(err))
	}
	counter := &t.peer.client.counter
	counter.add(t.peer.group, kind, wireSize(message))
	data, err := t.wait()
	if err != nil {
		return nil, err
	}
	counter.add(t.peer.group, kind, wireSize(data))
	if err := t.write(appendFrame(nil, frameReceived, nil)); err != nil {
		t.end(err)
	}
	return data, nil
}

// wait returns the answer. It sends heartbeats meanwhile.
func (t *tcpConn) wait() ([]byte, error) {
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	silent := time.NewTimer(silentAfter)
	defer silent.Stop()
	for {
		select {
		case data := <-t.answers:
			return data, nil
		case <-t.alive:
			silent.Reset(silentAfter)
		case <-tick.C:
			if err := t.ping(); err != nil {
				return nil, t.explain(err)
			}
		case <-silent.C:
			return nil, fmt.Errorf("%w for %v", ErrSilent, silentAfter)
		case <-t.ended:
			return t.last()
		}
	}
}

// last returns an answer that arrived just before the connection ended.
func (t *tcpConn) last() ([]byte, error) {
	select {
	case data := <-t.answers:
		return data, nil
	default:
		return nil, t.explain(t.err)
	}
}

// explain turns an error of the connection into an error of a call.
func (t *tcpConn) explain(err error) error {
	if t.hasEnded() {
		err = t.err
	}
	switch {
	case errors.Is(err, errGoodbye):
		return notSent(err)
	case errors.Is(err, ErrSilent):
		return err
	default:
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
}
