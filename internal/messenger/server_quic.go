package messenger

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// quicPeer is a connection of a server.
type quicPeer struct {
	server *Server
	conn   *quic.Conn
	from   Identity
	group  string
	// unconfirmed is set when the arrival of an answer was not confirmed.
	unconfirmed atomic.Bool
}

func (s *Server) serveQUIC(c *quic.Conn) {
	from, err := peerIdentity(c.ConnectionState().TLS)
	if err != nil {
		c.CloseWithError(codeIdentity, err.Error())
		return
	}
	p := &quicPeer{server: s, conn: c, from: from, group: groupOf(s.Group, c.RemoteAddr().String())}
	if !s.track(c, p.close) {
		c.CloseWithError(codeClosed, "server closed")
		return
	}
	defer s.untrack(c)
	for {
		st, err := c.AcceptStream(context.Background())
		if err != nil {
			return
		}
		go p.serveStream(st)
	}
}

func (p *quicPeer) close(drained bool) {
	if drained && !p.unconfirmed.Load() {
		p.conn.CloseWithError(codeDrained, "server shut down")
		return
	}
	p.conn.CloseWithError(codeClosed, "server closed")
}

// serveStream answers one call or the pings of one stream.
func (p *quicPeer) serveStream(st *quic.Stream) {
	st.SetReadDeadline(time.Now().Add(transferTimeout))
	var first [1]byte
	if _, err := st.Peek(first[:]); err != nil {
		resetStream(st)
		return
	}
	if frameType(first[0]) == framePing {
		p.servePings(st)
		return
	}
	if refused := p.server.begin(); refused != nil {
		p.answer(st, refusal(refused), kindOther)
		st.CancelRead(0)
		return
	}
	defer p.server.finish()
	t, message, err := (&frameReader{r: st}).next(nil)
	if err != nil || t != frameRequest {
		p.server.running.Add(-1)
		resetStream(st)
		return
	}
	data, kind := p.server.run(st.Context(), p.from, p.group, message)
	if !p.answer(st, data, kind) || !p.confirmed(st) {
		p.unconfirmed.Store(true)
		resetStream(st)
	}
}

func (p *quicPeer) answer(st *quic.Stream, data []byte, kind Kind) bool {
	err := frames(frameAnswer, data, func(b []byte) error {
		_, err := st.Write(b)
		return err
	})
	if err != nil {
		return false
	}
	p.server.counter.add(p.group, kind, wireSize(data))
	return st.Close() == nil
}

// confirmed waits until the caller has ended the stream, which it does when it has the whole answer.
func (p *quicPeer) confirmed(st *quic.Stream) bool {
	st.SetReadDeadline(time.Now().Add(transferTimeout))
	var b [1]byte
	_, err := st.Read(b[:])
	return errors.Is(err, io.EOF)
}

func (p *quicPeer) servePings(st *quic.Stream) {
	pong := appendFrame(nil, framePong, nil)
	fr := frameReader{r: st}
	for {
		st.SetReadDeadline(time.Now().Add(transferTimeout))
		if t, _, err := fr.next(nil); err != nil || t != framePing {
			break
		}
		if _, err := st.Write(pong); err != nil {
			break
		}
		p.server.counter.add(p.group, KindPing, 2*frameHeaderSize)
	}
	resetStream(st)
}

func resetStream(st *quic.Stream) {
	st.CancelRead(0)
	st.CancelWrite(0)
}
