package messenger

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// quicServerConn is the server's end of a QUIC connection.
type quicServerConn struct {
	server *Server
	conn   *quic.Conn
	client Identity
	group  string
	// answerUnconfirmed is set if the client did not confirm the receipt of an answer. codeDrained must then not be
	// used, as the client would conclude that the call was not run.
	answerUnconfirmed atomic.Bool
}

func (s *Server) serveQUIC(conn *quic.Conn) {
	client, err := peerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		conn.CloseWithError(codeBadIdentity, err.Error())
		return
	}
	q := &quicServerConn{server: s, conn: conn, client: client, group: groupOfAddress(s.Group, conn.RemoteAddr().String())}
	if !s.addConnection(conn, q.close) {
		conn.CloseWithError(codeClosed, "server closed")
		return
	}
	defer s.removeConnection(conn)
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		go q.serveStream(stream)
	}
}

func (q *quicServerConn) close(drained bool) {
	if drained && !q.answerUnconfirmed.Load() {
		q.conn.CloseWithError(codeDrained, "server shut down")
		return
	}
	q.conn.CloseWithError(codeClosed, "server closed")
}

// serveStream answers the call or the pings of one stream.
func (q *quicServerConn) serveStream(stream *quic.Stream) {
	stream.SetReadDeadline(time.Now().Add(transferTimeout))
	var firstByte [1]byte
	if _, err := stream.Peek(firstByte[:]); err != nil {
		resetStream(stream)
		return
	}
	if frameType(firstByte[0]) == framePing {
		q.servePings(stream)
		return
	}
	if refusal := q.server.beginCall(); refusal != nil {
		q.writeAnswer(stream, encodeRefusal(refusal), kindOther)
		stream.CancelRead(0)
		return
	}
	defer q.server.finishCall()
	typ, message, err := (&frameReader{source: stream}).next(nil)
	if err != nil || typ != frameRequest {
		q.server.runningCalls.Add(-1)
		resetStream(stream)
		return
	}
	data, kind := q.server.handleRequest(stream.Context(), q.client, q.group, message)
	if !q.writeAnswer(stream, data, kind) || !q.awaitConfirmation(stream) {
		q.answerUnconfirmed.Store(true)
		resetStream(stream)
	}
}

// writeAnswer reports whether the whole answer was written.
func (q *quicServerConn) writeAnswer(stream *quic.Stream, data []byte, kind Kind) bool {
	err := writeFrames(frameAnswer, data, func(b []byte) error {
		_, err := stream.Write(b)
		return err
	})
	if err != nil {
		return false
	}
	q.server.byteCounter.add(q.group, kind, wireSize(data))
	return stream.Close() == nil
}

// awaitConfirmation reports whether the caller ends the stream within transferTimeout, which it does after it has
// received the whole answer.
func (q *quicServerConn) awaitConfirmation(stream *quic.Stream) bool {
	stream.SetReadDeadline(time.Now().Add(transferTimeout))
	var b [1]byte
	_, err := stream.Read(b[:])
	return errors.Is(err, io.EOF)
}

func (q *quicServerConn) servePings(stream *quic.Stream) {
	pong := appendFrame(nil, framePong, nil)
	frames := frameReader{source: stream}
	for {
		stream.SetReadDeadline(time.Now().Add(transferTimeout))
		if typ, _, err := frames.next(nil); err != nil || typ != framePing {
			break
		}
		if _, err := stream.Write(pong); err != nil {
			break
		}
		q.server.byteCounter.add(q.group, KindPing, 2*frameHeaderSize)
	}
	resetStream(stream)
}

func resetStream(stream *quic.Stream) {
	stream.CancelRead(0)
	stream.CancelWrite(0)
}
