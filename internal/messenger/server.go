package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Handler answers one call. It returns a value to encode as the body of the answer, or an error, which the caller gets as a RemoteError.
// The context ends when the caller cancels, when its deadline passes, or when its connection is lost.
type Handler func(ctx context.Context, from Identity, kind Kind, body []byte) (answer any, err error)

const (
	// DefaultMaxCalls bounds the running calls of a Server that sets no limit.
	DefaultMaxCalls = 4096
	// handshakeTimeout bounds how long a server keeps a connection whose handshake makes no progress.
	handshakeTimeout = 5 * time.Second
	// transferTimeout bounds how long the rest of a request and the confirmation of an answer may take.
	// 4 MiB take about 1 s on an idle link of 30 Mbit/s.
	transferTimeout = 30 * time.Second
	// quicIdleTimeout exceeds clientIdle, so that the client closes an idle connection first and no request meets a connection that the server has dropped.
	quicIdleTimeout = 30 * time.Second
	// maxStreams is the number of streams that a connection may have open. Clients stay below it by maxPending, which leaves room for heartbeats.
	maxStreams = 4200
	// portAttempts is how often a port that is free for both UDP and TCP is searched.
	portAttempts = 32
)

// Application error codes of QUIC connections.
const (
	codeClosed quic.ApplicationErrorCode = iota
	// codeSilent is used by a client that gets no pong.
	codeSilent
	// codeIdentity refuses a peer. No handler has run for it.
	codeIdentity
	// codeDrained closes a connection after a graceful shutdown. Every call whose handler ran was answered and the answer received.
	codeDrained
)

// Server answers calls over QUIC and over TLS on TCP, on the same port number.
type Server struct {
	// Address is a host and port. Port 0 chooses a port that is free for both UDP and TCP.
	Address string
	// TLS must name the server's certificate and how client certificates are verified.
	TLS *tls.Config
	// Handle is called in its own goroutine for each call.
	Handle Handler
	// MaxCalls bounds the calls that run at the same time; more are refused as not run. 0 means DefaultMaxCalls.
	MaxCalls int
	// Group, if set, maps a peer address to the name under which BytesByGroup counts its traffic.
	Group func(address string) string

	tls       *tls.Config
	transport *quic.Transport
	quic      *quic.Listener
	tcp       net.Listener
	counter   counter
	running   atomic.Int64

	mu sync.Mutex
	// connections maps each open connection to the function that closes it.
	connections map[any]func(drained bool)
	// calls is the number of calls that are not finished, including the confirmation of their answers.
	calls    int
	draining bool
	closed   bool
	// idle is closed when draining is set and calls is 0.
	idle chan struct{}
	// done is closed when all connections are closed.
	done chan struct{}
}

// Listen opens the sockets.
func (s *Server) Listen() error {
	if s.TLS == nil || s.Handle == nil {
		return errors.New("server needs TLS and Handle")
	}
	tcp, udp, err := listenBoth(s.Address)
	if err != nil {
		return err
	}
	s.tls = protocolTLS(s.TLS)
	s.transport = &quic.Transport{Conn: udp}
	s.quic, err = s.transport.Listen(s.tls, quicConfig())
	if err != nil {
		return errors.Join(err, tcp.Close(), udp.Close())
	}
	s.tcp = tcp
	s.connections = make(map[any]func(bool))
	s.idle = make(chan struct{})
	s.done = make(chan struct{})
	return nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 quicIdleTimeout,
		InitialStreamReceiveWindow:     128 << 10,
		MaxStreamReceiveWindow:         MaxMessageSize,
		InitialConnectionReceiveWindow: 256 << 10,
		MaxConnectionReceiveWindow:     2 * MaxMessageSize,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
	}
}

// listenBoth listens on the same port for TCP and UDP.
func listenBoth(address string) (net.Listener, *net.UDPConn, error) {
	for i := 1; ; i++ {
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, err
		}
		a := tcp.Addr().(*net.TCPAddr)
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: a.IP, Port: a.Port, Zone: a.Zone})
		if err == nil {
			return tcp, udp, nil
		}
		tcp.Close()
		_, port, _ := net.SplitHostPort(address)
		if port != "0" || i == portAttempts {
			return nil, nil, err
		}
	}
}

// Addr returns the address on which the server listens, for UDP and TCP.
func (s *Server) Addr() string {
	return s.tcp.Addr().String()
}

// Bytes returns the bytes sent and received so far, payload plus framing, by kind.
func (s *Server) Bytes() map[Kind]int64 {
	return s.counter.byKind()
}

// BytesByGroup returns the bytes of Bytes by the group of the peer's address.
func (s *Server) BytesByGroup() map[string]map[Kind]int64 {
	return s.counter.byGroup()
}

// Serve accepts connections until ctx ends or the server is shut down, and returns when all connections are closed.
// When ctx ends, it closes them at once, which cancels the running calls.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.close(false) })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(s.acceptTCP)
	wg.Go(s.acceptQUIC)
	wg.Wait()
	<-s.done
	return ctx.Err()
}

func (s *Server) acceptQUIC() {
	for {
		c, err := s.quic.Accept(context.Background())
		if err != nil {
			return
		}
		go s.serveQUIC(c)
	}
}

// Shutdown refuses new calls, waits until the running ones have finished and their answers have arrived, and closes all connections.
// When ctx ends first, it closes them at once and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	if !s.draining {
		s.draining = true
		if s.calls == 0 {
			close(s.idle)
		}
	}
	s.mu.Unlock()
	s.tcp.Close()
	s.quic.Close()
	select {
	case <-s.idle:
		s.close(true)
		return nil
	case <-ctx.Done():
		s.close(false)
		return ctx.Err()
	}
}

func (s *Server) close(drained bool) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	connections := s.connections
	s.connections = nil
	s.mu.Unlock()
	s.tcp.Close()
	s.quic.Close()
	var wg sync.WaitGroup
	for _, c := range connections {
		wg.Go(func() { c(drained) })
	}
	wg.Wait()
	s.transport.Close()
	s.transport.Conn.Close()
	close(s.done)
}

// track registers a connection. It returns false when the server is closed.
func (s *Server) track(key any, closeConnection func(drained bool)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.connections[key] = closeConnection
	return true
}

func (s *Server) untrack(key any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, key)
}

// begin registers a call. It returns nil, or the refusal to send.
func (s *Server) begin() *RemoteError {
	limit := s.MaxCalls
	if limit == 0 {
		limit = DefaultMaxCalls
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.closed {
		return &RemoteError{Code: CodeShuttingDown, Text: "the server is shutting down; the handler did not run"}
	}
	if s.running.Load() >= int64(limit) {
		return &RemoteError{Code: CodeOverloaded, Text: fmt.Sprintf("%d calls are running; the handler did not run", limit)}
	}
	s.calls++
	s.running.Add(1)
	return nil
}

// finish ends what begin has registered, after the answer was confirmed or given up.
func (s *Server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	if s.draining && s.calls == 0 {
		close(s.idle)
	}
}

// run decodes a request, calls the handler and returns the encoded answer. It ends the call's share of MaxCalls.
func (s *Server) run(ctx context.Context, from Identity, group string, message []byte) ([]byte, Kind) {
	defer s.running.Add(-1)
	r, err := decodeRequest(message)
	if err != nil {
		code := CodeMalformed
		var re *RemoteError
		if errors.As(err, &re) {
			code = re.Code
		}
		return refusal(&RemoteError{Code: code, Text: err.Error()}), kindOther
	}
	s.counter.add(group, r.Kind, wireSize(message))
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	v, err := s.Handle(ctx, from, r.Kind, r.Body)
	if err != nil {
		re := remoteError(err)
		return must(encodeEnvelope(answer{Version: protocolVersion, Code: re.Code, Text: clip(re.Text)})), r.Kind
	}
	return encodeAnswer(v), r.Kind
}

func encodeAnswer(v any) []byte {
	body, err := encoding.Marshal(v)
	if err != nil {
		return must(encodeEnvelope(answer{Version: protocolVersion, Code: CodeInternal, Text: clip(err.Error())}))
	}
	data, err := encodeEnvelope(answer{Version: protocolVersion, Body: body})
	if err != nil {
		return must(encodeEnvelope(answer{Version: protocolVersion, Code: CodeTooLarge, Text: err.Error()}))
	}
	return data
}

func refusal(e *RemoteError) []byte {
	return must(encodeEnvelope(answer{Version: protocolVersion, Code: e.Code, Text: clip(e.Text), NotRun: true}))
}

// clip bounds the text of an error, so that the envelope of an error always fits.
func clip(text string) string {
	const limit = 64 << 10
	if len(text) <= limit {
		return text
	}
	return text[:limit]
}
