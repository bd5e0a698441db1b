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

// Handler handles one call. It returns a value to encode as the body of the answer, or an error, which the caller gets
// as a RemoteError. The context ends when the caller cancels, when its deadline passes, or when its connection ends.
type Handler func(ctx context.Context, from Identity, kind Kind, body []byte) (answer any, err error)

const (
	// DefaultMaxCalls is the limit of running calls for a Server whose MaxCalls is 0.
	DefaultMaxCalls = 4096
	// handshakeTimeout limits the whole TLS handshake of a TCP connection, and the time without progress in the handshake
	// of a QUIC connection.
	handshakeTimeout = 5 * time.Second
	// transferTimeout limits the time to receive a whole request (QUIC), to receive or write one frame (TCP), and to wait
	// for the confirmation of an answer. It also limits the time between two pings (QUIC) or any two frames (TCP).
	// 4 MiB take about 1 s on an idle link of 30 Mbit/s.
	transferTimeout = 30 * time.Second
	// quicIdleTimeout exceeds clientIdleTimeout, so that the client closes an idle connection first and sends no request
	// on a connection that the server has closed.
	quicIdleTimeout = 30 * time.Second
	// maxStreams limits the open streams of a connection. It exceeds maxPendingCalls, which leaves streams for heartbeats.
	maxStreams = 4200
	// maxPortTries limits the tries to find a port that is free for both UDP and TCP if Server.Address has port 0.
	maxPortTries = 32
)

// Application error codes of QUIC connections.
const (
	// codeClosed closes a connection for any other reason. Calls without an answer may have run.
	codeClosed quic.ApplicationErrorCode = iota
	// codeSilent closes a connection whose heartbeats are not answered. Only clients use it.
	codeSilent
	// codeBadIdentity refuses a client without a valid identity. No handler has run for it.
	codeBadIdentity
	// codeDrained closes a connection after a graceful shutdown. Clients have received the answer of every call whose
	// handler ran.
	codeDrained
)

// Server handles calls over QUIC and over TLS on TCP, on the same port number.
type Server struct {
	// Address is a host and port. Port 0 selects a port that is free for both UDP and TCP.
	Address string
	// TLS must provide the server's certificate and verify client certificates.
	TLS *tls.Config
	// Handle is called in its own goroutine for each call.
	Handle Handler
	// MaxCalls limits the calls that run at the same time; further calls are refused. 0 means DefaultMaxCalls.
	MaxCalls int
	// Group, if set, maps a client address to the group in which BytesByGroup counts its traffic.
	Group func(address string) string

	tls           *tls.Config
	quicTransport *quic.Transport
	quicListener  *quic.Listener
	tcpListener   net.Listener
	byteCounter   byteCounter
	runningCalls  atomic.Int64

	mu sync.Mutex
	// connections maps each open connection to the function that closes it. drained is set if the answers of all calls
	// have arrived or could not be delivered.
	connections map[any]func(drained bool)
	// unfinishedCalls counts the calls that run or whose answers are not confirmed yet.
	unfinishedCalls int
	draining        bool
	closed          bool
	// callsFinished is closed when draining is set and unfinishedCalls is 0.
	callsFinished chan struct{}
	// connectionsClosed is closed at the end of close, which ends Serve.
	connectionsClosed chan struct{}
}

// Listen opens the UDP and TCP sockets on Address. It must be called before all other methods.
func (s *Server) Listen() error {
	if s.TLS == nil || s.Handle == nil {
		return errors.New("server has no TLS configuration or no handler")
	}
	tcp, udp, err := listenTCPAndUDP(s.Address)
	if err != nil {
		return err
	}
	s.tls = protocolTLS(s.TLS)
	s.quicTransport = &quic.Transport{Conn: udp}
	s.quicListener, err = s.quicTransport.Listen(s.tls, quicConfig())
	if err != nil {
		return errors.Join(err, tcp.Close(), udp.Close())
	}
	s.tcpListener = tcp
	s.connections = make(map[any]func(bool))
	s.callsFinished = make(chan struct{})
	s.connectionsClosed = make(chan struct{})
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

// listenTCPAndUDP listens on the same port for TCP and UDP. If address has port 0, it tries up to maxPortTries ports.
func listenTCPAndUDP(address string) (net.Listener, *net.UDPConn, error) {
	for tries := 1; ; tries++ {
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, err
		}
		tcpAddress := tcp.Addr().(*net.TCPAddr)
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: tcpAddress.IP, Port: tcpAddress.Port, Zone: tcpAddress.Zone})
		if err == nil {
			return tcp, udp, nil
		}
		tcp.Close()
		_, port, _ := net.SplitHostPort(address)
		if port != "0" || tries == maxPortTries {
			return nil, nil, err
		}
	}
}

// Addr returns the address on which the server listens, for UDP and TCP.
func (s *Server) Addr() string {
	return s.tcpListener.Addr().String()
}

// BytesByKind returns the bytes of messages sent and received so far, by message kind. They include the frame headers,
// but not the overhead of TLS, QUIC and the layers below.
func (s *Server) BytesByKind() map[Kind]int64 {
	return s.byteCounter.totalsByKind()
}

// BytesByGroup returns the same counts as BytesByKind, divided by the group of the client's address.
func (s *Server) BytesByGroup() map[string]map[Kind]int64 {
	return s.byteCounter.totalsByGroup()
}

// Serve accepts connections until ctx ends or the server is shut down, and returns when all connections are closed.
// When ctx ends, it closes them immediately, which cancels the running calls. It returns the error of ctx, so nil after
// a shutdown before ctx has ended.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.close(false) })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(s.acceptTCP)
	wg.Go(s.acceptQUIC)
	wg.Wait()
	<-s.connectionsClosed
	return ctx.Err()
}

func (s *Server) acceptQUIC() {
	for {
		conn, err := s.quicListener.Accept(context.Background())
		if err != nil {
			return
		}
		go s.serveQUIC(conn)
	}
}

// Shutdown refuses new calls, waits until the running ones have finished and their answers have arrived, and closes all
// connections. If ctx ends first, it closes them immediately and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	if !s.draining {
		s.draining = true
		if s.unfinishedCalls == 0 {
			close(s.callsFinished)
		}
	}
	s.mu.Unlock()
	s.tcpListener.Close()
	s.quicListener.Close()
	select {
	case <-s.callsFinished:
		s.close(true)
		return nil
	case <-ctx.Done():
		s.close(false)
		return ctx.Err()
	}
}

// close closes the sockets and all connections. drained is passed to the close functions of the connections.
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
	s.tcpListener.Close()
	s.quicListener.Close()
	var wg sync.WaitGroup
	for _, closeConnection := range connections {
		wg.Go(func() { closeConnection(drained) })
	}
	wg.Wait()
	s.quicTransport.Close()
	s.quicTransport.Conn.Close()
	close(s.connectionsClosed)
}

// addConnection registers a connection, to be closed with the server. It returns false if the server is closed.
func (s *Server) addConnection(connection any, closeConnection func(drained bool)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.connections[connection] = closeConnection
	return true
}

func (s *Server) removeConnection(connection any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, connection)
}

// beginCall registers a call. It returns nil, or the error with which to refuse the call.
func (s *Server) beginCall() *RemoteError {
	limit := s.MaxCalls
	if limit == 0 {
		limit = DefaultMaxCalls
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.closed {
		return &RemoteError{Code: CodeShuttingDown, Text: "the server is shutting down; the handler did not run"}
	}
	if s.runningCalls.Load() >= int64(limit) {
		return &RemoteError{Code: CodeOverloaded, Text: fmt.Sprintf("%d calls are running; the handler did not run", limit)}
	}
	s.unfinishedCalls++
	s.runningCalls.Add(1)
	return nil
}

// finishCall removes a call that beginCall has registered, after its answer was confirmed or could not be delivered.
func (s *Server) finishCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unfinishedCalls--
	if s.draining && s.unfinishedCalls == 0 {
		close(s.callsFinished)
	}
}

// handleRequest decodes a request, calls the handler and returns the encoded answer and the kind of the request.
// When it returns, the call no longer counts towards MaxCalls.
func (s *Server) handleRequest(ctx context.Context, client Identity, group string, message []byte) ([]byte, Kind) {
	defer s.runningCalls.Add(-1)
	req, err := decodeRequest(message)
	if err != nil {
		code := CodeMalformed
		var re *RemoteError
		if errors.As(err, &re) {
			code = re.Code
		}
		return encodeRefusal(&RemoteError{Code: code, Text: err.Error()}), kindOther
	}
	s.byteCounter.add(group, req.Kind, wireSize(message))
	if req.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Timeout)
		defer cancel()
	}
	result, err := s.Handle(ctx, client, req.Kind, req.Body)
	if err != nil {
		re := toRemoteError(err)
		return must(encodeEnvelope(answer{Version: protocolVersion, Code: re.Code, Text: truncateText(re.Text)})), req.Kind
	}
	return encodeAnswer(result), req.Kind
}

func encodeAnswer(v any) []byte {
	body, err := encMode.Marshal(v)
	if err != nil {
		return must(encodeEnvelope(answer{Version: protocolVersion, Code: CodeInternal, Text: truncateText(err.Error())}))
	}
	data, err := encodeEnvelope(answer{Version: protocolVersion, Body: body})
	if err != nil {
		return must(encodeEnvelope(answer{Version: protocolVersion, Code: CodeTooLarge, Text: err.Error()}))
	}
	return data
}

func encodeRefusal(e *RemoteError) []byte {
	return must(encodeEnvelope(answer{Version: protocolVersion, Code: e.Code, Text: truncateText(e.Text), NotRun: true}))
}

// truncateText limits the text of an error, so that an answer with an error never exceeds MaxMessageSize.
func truncateText(text string) string {
	const maxTextSize = 64 << 10
	if len(text) <= maxTextSize {
		return text
	}
	return text[:maxTextSize]
}
