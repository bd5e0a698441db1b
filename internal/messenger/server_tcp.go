package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"
)

// tcpBuffer bounds the send buffer, so that a heartbeat is not queued behind a large message: 64 KiB take 17 ms at 30 Mbit/s.
const tcpBuffer = 64 << 10

// acceptPause keeps a server that is out of file descriptors from spinning.
const acceptPause = 50 * time.Millisecond

// tcpPeer is a TCP connection of a server. It carries one call at a time.
type tcpPeer struct {
	server *Server
	conn   *tls.Conn
	from   Identity
	group  string
	// writing serialises pongs, answers and the goodbye.
	writing sync.Mutex
}

func (s *Server) acceptTCP() {
	for {
		c, err := s.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		go s.serveTCP(c)
	}
}

func (s *Server) serveTCP(raw net.Conn) {
	defer raw.Close()
	limitBuffer(raw)
	c := tls.Server(raw, s.tls)
	raw.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := c.Handshake(); err != nil {
		return
	}
	from, err := peerIdentity(c.ConnectionState())
	if err != nil {
		return
	}
	raw.SetDeadline(time.Time{})
	p := &tcpPeer{server: s, conn: c, from: from, group: groupOf(s.Group, raw.RemoteAddr().String())}
	if !s.track(p, p.close) {
		return
	}
	defer s.untrack(p)
	p.read()
}

func limitBuffer(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetWriteBuffer(tcpBuffer)
	}
}

func (p *tcpPeer) close(drained bool) {
	if drained {
		p.write(appendFrame(nil, frameGoodbye, nil))
	}
	p.conn.NetConn().Close()
}

func (p *tcpPeer) write(b []byte) error {
	p.writing.Lock()
	defer p.writing.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(transferTimeout))
	_, err := p.conn.Write(b)
	return err
}

// read handles the frames of the connection until it ends.
func (p *tcpPeer) read() {
	ctx, cancel := context.WithCancel(context.Background())
	// running is closed when the handler's answer is written; it is nil while no call is open.
	var running chan struct{}
	finish := func() {
		if running != nil {
			<-running
			running = nil
			p.server.finish()
		}
	}
	defer finish()
	defer cancel()
	// The connection is closed before finish, since a shutdown may then say goodbye on it, which tells the caller that the call was not run.
	defer p.conn.NetConn().Close()
	extend := func() { p.conn.SetReadDeadline(time.Now().Add(transferTimeout)) }
	fr := frameReader{r: p.conn}
	for {
		extend()
		t, message, err := fr.next(extend)
		switch {
		case err != nil:
			return
		case t == framePing:
			if p.write(appendFrame(nil, framePong, nil)) != nil {
				return
			}
			p.server.counter.add(p.group, KindPing, 2*frameHeaderSize)
		case t == frameReceived:
			finish()
		case t == frameRequest && running == nil:
			if running, err = p.request(ctx, message); err != nil {
				return
			}
		default:
			return
		}
	}
}

// request starts the handler for a request, or refuses it and returns nil.
func (p *tcpPeer) request(ctx context.Context, message []byte) (chan struct{}, error) {
	if refused := p.server.begin(); refused != nil {
		return nil, p.answer(refusal(refused), kindOther)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		data, kind := p.server.run(ctx, p.from, p.group, message)
		if p.answer(data, kind) != nil {
			p.conn.NetConn().Close()
		}
	}()
	return done, nil
}

func (p *tcpPeer) answer(data []byte, kind Kind) error {
	if err := frames(frameAnswer, data, p.write); err != nil {
		return err
	}
	p.server.counter.add(p.group, kind, wireSize(data))
	return nil
}
