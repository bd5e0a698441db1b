package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"
)

// tcpSendBufferSize limits the socket's send buffer, in bytes, so that a heartbeat is not queued behind a large
// message. 64 KiB take 17 ms at 30 Mbit/s.
const tcpSendBufferSize = 64 << 10

// acceptRetryDelay prevents a busy loop in a server that has no file descriptors left.
const acceptRetryDelay = 50 * time.Millisecond

// tcpServerConn is the server's end of a TCP connection. It carries one call at a time.
type tcpServerConn struct {
	server *Server
	conn   *tls.Conn
	client Identity
	group  string
	// writeMu serialises writes of pongs, answers and frameGoAway.
	writeMu sync.Mutex
}

func (s *Server) acceptTCP() {
	for {
		conn, err := s.tcpListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serveTCP(conn)
	}
}

func (s *Server) serveTCP(rawConn net.Conn) {
	defer rawConn.Close()
	limitSendBuffer(rawConn)
	tlsConn := tls.Server(rawConn, s.tls)
	rawConn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := tlsConn.Handshake(); err != nil {
		return
	}
	client, err := peerIdentity(tlsConn.ConnectionState())
	if err != nil {
		return
	}
	rawConn.SetDeadline(time.Time{})
	t := &tcpServerConn{server: s, conn: tlsConn, client: client, group: groupOfAddress(s.Group, rawConn.RemoteAddr().String())}
	if !s.addConnection(t, t.close) {
		return
	}
	defer s.removeConnection(t)
	t.readFrames()
}

func limitSendBuffer(c net.Conn) {
	if tcpConn, ok := c.(*net.TCPConn); ok {
		tcpConn.SetWriteBuffer(tcpSendBufferSize)
	}
}

func (t *tcpServerConn) close(drained bool) {
	if drained {
		t.writeFrame(appendFrame(nil, frameGoAway, nil))
	}
	t.conn.NetConn().Close()
}

func (t *tcpServerConn) writeFrame(frame []byte) error {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	t.conn.SetWriteDeadline(time.Now().Add(transferTimeout))
	_, err := t.conn.Write(frame)
	return err
}

// readFrames handles incoming frames until the connection ends.
func (t *tcpServerConn) readFrames() {
	ctx, cancel := context.WithCancel(context.Background())
	// answerWritten is closed when the answer of the current call has been written. It is nil while there is no call.
	var answerWritten chan struct{}
	finishCall := func() {
		if answerWritten != nil {
			<-answerWritten
			answerWritten = nil
			t.server.finishCall()
		}
	}
	defer finishCall()
	defer cancel()
	// The connection is closed before finishCall: after finishCall, a shutdown may send frameGoAway, from which the caller
	// would conclude that its call was not run.
	defer t.conn.NetConn().Close()
	extendDeadline := func() { t.conn.SetReadDeadline(time.Now().Add(transferTimeout)) }
	frames := frameReader{source: t.conn}
	for {
		extendDeadline()
		typ, message, err := frames.next(extendDeadline)
		switch {
		case err != nil:
			return
		case typ == framePing:
			if t.writeFrame(appendFrame(nil, framePong, nil)) != nil {
				return
			}
			t.server.byteCounter.add(t.group, KindPing, 2*frameHeaderSize)
		case typ == frameAnswerReceived:
			finishCall()
		case typ == frameRequest && answerWritten == nil:
			if answerWritten, err = t.startCall(ctx, message); err != nil {
				return
			}
		default:
			return
		}
	}
}

// startCall starts the handler for a request and returns a channel that is closed when the answer has been written.
// If it refuses the request, the channel is nil.
func (t *tcpServerConn) startCall(ctx context.Context, message []byte) (chan struct{}, error) {
	if refusal := t.server.beginCall(); refusal != nil {
		return nil, t.writeAnswer(encodeRefusal(refusal), kindOther)
	}
	answerWritten := make(chan struct{})
	go func() {
		defer close(answerWritten)
		data, kind := t.server.handleRequest(ctx, t.client, t.group, message)
		if t.writeAnswer(data, kind) != nil {
			t.conn.NetConn().Close()
		}
	}()
	return answerWritten, nil
}

func (t *tcpServerConn) writeAnswer(data []byte, kind Kind) error {
	if err := writeFrames(frameAnswer, data, t.writeFrame); err != nil {
		return err
	}
	t.server.byteCounter.add(t.group, kind, wireSize(data))
	return nil
}
