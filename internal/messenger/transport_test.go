package messenger_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

func newAuthority(t testing.TB) *issuer.Authority {
	ca, err := issuer.NewAuthority()
	assert.NilError(t, err)
	return ca
}

// startServer starts a server that runs at most 8 calls at the same time. It closes the server at the end of the test.
func startServer(t testing.TB, ca *issuer.Authority, handle messenger.Handler) *messenger.Server {
	tlsConfig, err := ca.Server(messenger.RoleAgent, "agent-1")
	assert.NilError(t, err)
	server := &messenger.Server{Address: "127.0.0.1:0", TLS: tlsConfig, Handle: handle, MaxCalls: 8}
	startUntilCleanup(t, server)
	return server
}

// startUntilCleanup starts a server that is closed at the end of the test.
func startUntilCleanup(t testing.TB, server *messenger.Server) {
	assert.NilError(t, server.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	serveReturned := make(chan struct{})
	go func() { defer close(serveReturned); server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-serveReturned })
}

func newClient(t testing.TB, ca *issuer.Authority) *messenger.Client {
	tlsConfig, err := ca.Client(messenger.RoleEntry, "entry-1")
	assert.NilError(t, err)
	client := &messenger.Client{TLS: tlsConfig}
	t.Cleanup(func() { client.Close() })
	return client
}

func contextWithTimeout(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// echoHandler answers with the sender's name and the body of the request.
func echoHandler(_ context.Context, from messenger.Identity, _ messenger.Kind, body []byte) (any, error) {
	var request messenger.ServeRequest
	if err := messenger.Decode(body, &request); err != nil {
		return nil, err
	}
	return messenger.ServeAnswer{Request: request.Request.ID, Reason: from.Name, Body: request.Request.Body}, nil
}

// overQUICAndTCP runs a test over QUIC and, with UDP blocked, over TCP. The client reaches the server through a relay.
func overQUICAndTCP(t *testing.T, test func(t *testing.T, r *relay, client *messenger.Client, ca *issuer.Authority), handle messenger.Handler) {
	for _, overTCP := range []bool{false, true} {
		t.Run(map[bool]string{false: "QUIC", true: "TCP"}[overTCP], func(t *testing.T) {
			ca := newAuthority(t)
			r := newRelay(t, startServer(t, ca, handle).Addr())
			r.dropUDP.Store(overTCP)
			client := newClient(t, ca)
			test(t, r, client, ca)
			assert.Equal(t, client.UsesQUIC(r.address()), !overTCP)
		})
	}
}

func newServe(id string, size int) messenger.ServeRequest {
	var serve messenger.ServeRequest
	serve.Request.ID = descriptor.RequestID(id)
	serve.Request.Body = bytes.Repeat([]byte{7}, size)
	return serve
}

// TestCall guards against a handler that does not get the client's identity, an answer that differs from the one that
// the handler returned, bytes that are not counted, and a request over MaxMessageSize whose error does not match
// ErrNotRun.
func TestCall(t *testing.T) {
	overQUICAndTCP(t, func(t *testing.T, r *relay, client *messenger.Client, _ *issuer.Authority) {
		client.Group = func(string) string { return "link" }
		request := newServe("r1", 3<<20)
		var answer messenger.ServeAnswer
		assert.NilError(t, client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindServe, request, &answer))
		assert.Equal(t, answer.Request, request.Request.ID)
		assert.Equal(t, answer.Reason, "entry-1")
		assert.Assert(t, bytes.Equal(answer.Body, request.Request.Body))
		assert.Assert(t, client.BytesByKind()[messenger.KindServe] > 6<<20)
		assert.Equal(t, client.BytesByKind()[messenger.KindServe], client.BytesByGroup()["link"][messenger.KindServe])
		err := client.Call(contextWithTimeout(t, time.Second), r.address(), messenger.KindServe, newServe("r2", messenger.MaxMessageSize), nil)
		assert.ErrorIs(t, err, messenger.ErrTooLarge)
		assert.ErrorIs(t, err, messenger.ErrNotRun)
	}, echoHandler)
}

// TestConcurrentCallsAnsweredInReverseOrder guards against an answer that reaches the caller of another concurrent
// call, for example because answers are matched to calls by their order.
func TestConcurrentCallsAnsweredInReverseOrder(t *testing.T) {
	const callCount = 6
	// The handler of call i waits for mayAnswer[i+1] and then permits call i-1 with mayAnswer[i].
	var mayAnswer [callCount + 1]chan struct{}
	for i := range mayAnswer {
		mayAnswer[i] = make(chan struct{}, 1)
	}
	handle := func(ctx context.Context, from messenger.Identity, kind messenger.Kind, body []byte) (any, error) {
		var received messenger.ServeRequest
		if err := messenger.Decode(body, &received); err != nil {
			return nil, err
		}
		i := int(received.Deadline)
		<-mayAnswer[i+1]
		defer func() { mayAnswer[i] <- struct{}{} }()
		return echoHandler(ctx, from, kind, body)
	}
	overQUICAndTCP(t, func(t *testing.T, r *relay, client *messenger.Client, _ *issuer.Authority) {
		mayAnswer[callCount] <- struct{}{}
		var wg sync.WaitGroup
		for i := range callCount {
			wg.Go(func() {
				request := newServe(string(rune('a'+i)), 1)
				request.Deadline = time.Duration(i)
				var answer messenger.ServeAnswer
				assert.Check(t, client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindServe, request, &answer))
				assert.Check(t, answer.Request == request.Request.ID)
			})
		}
		wg.Wait()
		<-mayAnswer[0]
	}, handle)
}

// blockingHandler handles calls of KindStart by waiting until it can receive from release or the context ends. It
// answers calls of other kinds immediately.
type blockingHandler struct {
	// started and cancelled receive a value for each call of KindStart that begins or whose context ends.
	started   chan struct{}
	release   chan struct{}
	cancelled chan struct{}
	// callCount counts the callCount of all kinds.
	callCount atomic.Int32
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{started: make(chan struct{}, 100), release: make(chan struct{}), cancelled: make(chan struct{}, 100)}
}

func (b *blockingHandler) handle(ctx context.Context, _ messenger.Identity, kind messenger.Kind, _ []byte) (any, error) {
	b.callCount.Add(1)
	if kind != messenger.KindStart {
		return messenger.Empty{}, nil
	}
	b.started <- struct{}{}
	select {
	case <-b.release:
		return messenger.Empty{}, nil
	case <-ctx.Done():
		b.cancelled <- struct{}{}
		return nil, ctx.Err()
	}
}

// TestCallOnSilentConnectionFails guards against a call that waits until its deadline if its connection carries no data
// any more without being closed, against the error ErrNotRun for it, and against a next call that uses the same
// connection.
func TestCallOnSilentConnectionFails(t *testing.T) {
	handler := newBlockingHandler()
	defer close(handler.release)
	overQUICAndTCP(t, func(t *testing.T, r *relay, client *messenger.Client, _ *issuer.Authority) {
		callResult := make(chan error, 1)
		go func() {
			callResult <- client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindStart, nil, nil)
		}()
		<-handler.started
		silencedAt := time.Now()
		r.silence()
		err := <-callResult
		assert.ErrorIs(t, err, messenger.ErrHeartbeatTimeout)
		assert.Assert(t, !errors.Is(err, messenger.ErrNotRun))
		assert.Assert(t, time.Since(silencedAt) < 1500*time.Millisecond, "silent after %v", time.Since(silencedAt))
		t.Logf("silent after %v", time.Since(silencedAt))
		assert.NilError(t, client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindHold, nil, nil))
	}, handler.handle)
}

// TestRedialAfterSilenceUsesNewSocket guards against a call after a heartbeat timeout that waits for a QUIC handshake
// to time out or falls back to TCP. This happens if the new connection uses the port of the old one, whose packets a
// firewall drops, instead of the new socket of quicTransport.
func TestRedialAfterSilenceUsesNewSocket(t *testing.T) {
	handler := newBlockingHandler()
	defer close(handler.release)
	overQUICAndTCP(t, func(t *testing.T, r *relay, client *messenger.Client, _ *issuer.Authority) {
		r.keepUDPSilent.Store(true)
		for range 3 {
			callResult := make(chan error, 1)
			go func() {
				callResult <- client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindStart, nil, nil)
			}()
			<-handler.started
			r.silence()
			assert.ErrorIs(t, <-callResult, messenger.ErrHeartbeatTimeout)
			failedAt := time.Now()
			assert.NilError(t, client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindHold, nil, nil))
			assert.Assert(t, time.Since(failedAt) < messenger.QUICDialTimeout, "new connection after %v", time.Since(failedAt))
		}
	}, handler.handle)
}

// TestLongCallSurvivesHeartbeats guards against a call that fails because it takes longer than heartbeatTimeout,
// although the server answers pings, and against a handler that does not get the caller's deadline.
func TestLongCallSurvivesHeartbeats(t *testing.T) {
	handle := func(ctx context.Context, _ messenger.Identity, _ messenger.Kind, _ []byte) (any, error) {
		_, hasDeadline := ctx.Deadline()
		assert.Check(t, hasDeadline)
		workCtx, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
		defer cancel()
		<-workCtx.Done()
		return messenger.Empty{}, ctx.Err()
	}
	overQUICAndTCP(t, func(t *testing.T, r *relay, client *messenger.Client, _ *issuer.Authority) {
		assert.NilError(t, client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindStart, nil, nil))
		assert.Assert(t, client.BytesByKind()[messenger.KindPing] > 0)
	}, handle)
}

// TestCancellationReachesHandler guards against a handler that keeps running after its caller has cancelled the call.
func TestCancellationReachesHandler(t *testing.T) {
	handler := newBlockingHandler()
	overQUICAndTCP(t, func(t *testing.T, r *relay, client *messenger.Client, _ *issuer.Authority) {
		ctx, cancel := context.WithCancel(contextWithTimeout(t, 10*time.Second))
		callResult := make(chan error, 1)
		go func() { callResult <- client.Call(ctx, r.address(), messenger.KindStart, nil, nil) }()
		<-handler.started
		cancel()
		assert.ErrorIs(t, <-callResult, context.Canceled)
		<-handler.cancelled
	}, handler.handle)
}

// TestQUICRetriedAfterTCPFallback guards against a client that stays on TCP after UDP works again, and against calls
// that fail during the change.
func TestQUICRetriedAfterTCPFallback(t *testing.T) {
	ca := newAuthority(t)
	r := newRelay(t, startServer(t, ca, newBlockingHandler().handle).Addr())
	r.dropUDP.Store(true)
	client := newClient(t, ca)
	call := func() error {
		return client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindHold, nil, nil)
	}
	assert.NilError(t, call())
	r.dropUDP.Store(false)
	assert.Assert(t, client.ExpireTCPFallback(r.address()))
	assert.NilError(t, call())
	assert.Assert(t, client.UsesQUIC(r.address()))
	assert.NilError(t, call())
}

// TestCallWithoutServerIsNotRun guards against an error that leaves open whether the handler ran although there is no
// server, either when the dial fails or during the back-off after it.
func TestCallWithoutServerIsNotRun(t *testing.T) {
	ca := newAuthority(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener.Close()
	client := newClient(t, ca)
	for range 2 { // the second call is made during the back-off
		assert.ErrorIs(t, client.Call(contextWithTimeout(t, 10*time.Second), listener.Addr().String(), messenger.KindHold, nil, nil), messenger.ErrNotRun)
	}
}

// TestPeersAreVerified guards against a client or a server that accepts a certificate that was issued by another
// authority, has a role that is not accepted or has expired, and against a handler that runs despite such a
// certificate.
func TestPeersAreVerified(t *testing.T) {
	ca := newAuthority(t)
	expired := issuer.WithValidity(time.Now().Add(-2*time.Hour), time.Now().Add(-time.Hour))
	cases := []struct {
		name    string
		issuer  *issuer.Authority
		role    messenger.Role
		options []issuer.Option
	}{
		{name: "authority", issuer: newAuthority(t), role: messenger.RoleEntry},
		{name: "role", issuer: ca, role: issuer.RoleOperator},
		{name: "expired", issuer: ca, role: messenger.RoleEntry, options: []issuer.Option{expired}},
	}
	handler := newBlockingHandler()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			goodTLS, err := ca.Client(messenger.RoleEntry, "entry-1")
			assert.NilError(t, err)
			badCertificate, err := tc.issuer.Issue(tc.role, "other", tc.options...)
			assert.NilError(t, err)
			badClientTLS := goodTLS.Clone()
			badClientTLS.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &badCertificate, nil }
			badServerTLS, err := ca.Server(messenger.RoleAgent, "agent-1")
			assert.NilError(t, err)
			badServerTLS.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &badCertificate, nil }
			badServer := &messenger.Server{Address: "127.0.0.1:0", TLS: badServerTLS, Handle: handler.handle}
			startUntilCleanup(t, badServer)
			r := newRelay(t, startServer(t, ca, handler.handle).Addr())
			for _, overTCP := range []bool{false, true} {
				r.dropUDP.Store(overTCP)
				client := &messenger.Client{TLS: badClientTLS}
				err := client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindHold, nil, nil)
				assert.Check(t, is.ErrorIs(err, messenger.ErrNotRun))
				client.Close()
			}
			err = newClient(t, ca).Call(contextWithTimeout(t, 10*time.Second), badServer.Addr(), messenger.KindHold, nil, nil)
			assert.Check(t, is.ErrorIs(err, messenger.ErrNotRun))
			assert.Equal(t, handler.callCount.Load(), int32(0))
		})
	}
}

// TestShutdownFinishesRunningCalls guards against a shutdown that interrupts a running call, and against a new call
// during the shutdown whose error leaves open whether it ran.
func TestShutdownFinishesRunningCalls(t *testing.T) {
	for _, overTCP := range []bool{false, true} {
		ca, handler := newAuthority(t), newBlockingHandler()
		server := startServer(t, ca, handler.handle)
		r := newRelay(t, server.Addr())
		r.dropUDP.Store(overTCP)
		client := newClient(t, ca)
		callResult := make(chan error, 1)
		go func() {
			callResult <- client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindStart, nil, nil)
		}()
		<-handler.started
		shutdownResult := make(chan error, 1)
		go func() { shutdownResult <- server.Shutdown(contextWithTimeout(t, 10*time.Second)) }()
		var err error
		for err == nil { // until the shutdown has started
			err = client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindHold, nil, nil)
		}
		assert.ErrorIs(t, err, messenger.ErrNotRun)
		close(handler.release)
		assert.NilError(t, <-callResult)
		assert.NilError(t, <-shutdownResult)
	}
}

// TestShutdownReturnsWhenContextEnds guards against a shutdown that waits for running calls after its context has
// ended, and against an interrupted call that is reported as not run.
func TestShutdownReturnsWhenContextEnds(t *testing.T) {
	ca, handler := newAuthority(t), newBlockingHandler()
	server, client := startServer(t, ca, handler.handle), newClient(t, ca)
	callResult := make(chan error, 1)
	go func() {
		callResult <- client.Call(contextWithTimeout(t, 10*time.Second), server.Addr(), messenger.KindStart, nil, nil)
	}()
	<-handler.started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, server.Shutdown(ctx), context.Canceled)
	err := <-callResult
	assert.ErrorIs(t, err, messenger.ErrConnectionLost)
	assert.Assert(t, !errors.Is(err, messenger.ErrNotRun))
}

// TestPartialRequestIsNotHandled guards against a handler that runs although the connection or stream ended within the
// request.
func TestPartialRequestIsNotHandled(t *testing.T) {
	ca, handler := newAuthority(t), newBlockingHandler()
	server := startServer(t, ca, handler.handle)
	tlsConfig, err := ca.Client(messenger.RoleEntry, "entry-1")
	assert.NilError(t, err)
	tlsConfig.NextProtos = []string{"persimmontrail/1"}
	partialRequest := []byte{2, 0, 0, 0, 9, 0xa2, 1, 1, 2} // the header of a request frame with 9 bytes of payload, and the first 4 of them

	tcpConn, err := tls.Dial("tcp", server.Addr(), tlsConfig)
	assert.NilError(t, err)
	defer tcpConn.Close()
	_, err = tcpConn.Write(partialRequest)
	assert.NilError(t, err)
	assert.NilError(t, tcpConn.CloseWrite())
	_, err = io.Copy(io.Discard, tcpConn) // until the server closes the connection
	assert.NilError(t, err)

	quicConn, err := quic.DialAddr(contextWithTimeout(t, 10*time.Second), server.Addr(), tlsConfig, nil)
	assert.NilError(t, err)
	defer quicConn.CloseWithError(0, "")
	stream, err := quicConn.OpenStream()
	assert.NilError(t, err)
	_, err = stream.Write(partialRequest)
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	_, err = io.Copy(io.Discard, stream) // until the server resets the stream
	var streamErr *quic.StreamError
	assert.Assert(t, errors.As(err, &streamErr), "%v", err)
	assert.Equal(t, handler.callCount.Load(), int32(0))
}

// TestClientCloseFailsPendingCalls guards against a Close that leaves pending calls waiting or their handlers running,
// and against one that affects another client.
func TestClientCloseFailsPendingCalls(t *testing.T) {
	handler := newBlockingHandler()
	defer close(handler.release)
	overQUICAndTCP(t, func(t *testing.T, r *relay, client *messenger.Client, ca *issuer.Authority) {
		closedClient := newClient(t, ca)
		callResult := make(chan error, 1)
		go func() {
			callResult <- closedClient.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindStart, nil, nil)
		}()
		<-handler.started
		assert.NilError(t, closedClient.Close())
		assert.ErrorIs(t, <-callResult, messenger.ErrConnectionLost)
		<-handler.cancelled
		assert.ErrorIs(t, closedClient.Call(contextWithTimeout(t, time.Second), r.address(), messenger.KindHold, nil, nil), messenger.ErrClosed)
		assert.NilError(t, client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindHold, nil, nil))
	}, handler.handle)
}

// TestCallsOverLimitAreRefused guards against calls beyond MaxCalls that run the handler, and against calls that are
// refused after the earlier ones have ended.
func TestCallsOverLimitAreRefused(t *testing.T) {
	handler := newBlockingHandler()
	overQUICAndTCP(t, func(t *testing.T, r *relay, client *messenger.Client, _ *issuer.Authority) {
		callsBefore := handler.callCount.Load()
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				assert.Check(t, client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindStart, nil, nil))
			})
			<-handler.started
		}
		err := client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindHold, newServe("r", 1<<20), nil)
		assert.ErrorIs(t, err, messenger.ErrRefused)
		assert.ErrorIs(t, err, messenger.ErrNotRun)
		assert.ErrorContains(t, err, messenger.CodeOverloaded)
		for range 8 {
			handler.release <- struct{}{}
		}
		wg.Wait()
		assert.Equal(t, handler.callCount.Load(), callsBefore+8)
		assert.NilError(t, client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindHold, nil, nil))
	}, handler.handle)
}

// TestRemoteError guards against an error of the handler that loses its code or text, or that is reported as not run.
func TestRemoteError(t *testing.T) {
	handle := func(context.Context, messenger.Identity, messenger.Kind, []byte) (any, error) {
		return nil, &messenger.RemoteError{Code: "StaleEpoch", Text: "epoch 3"}
	}
	overQUICAndTCP(t, func(t *testing.T, r *relay, client *messenger.Client, _ *issuer.Authority) {
		err := client.Call(contextWithTimeout(t, 10*time.Second), r.address(), messenger.KindHold, nil, nil)
		assert.ErrorIs(t, err, messenger.ErrRemote)
		assert.Assert(t, !errors.Is(err, messenger.ErrNotRun))
		var remote *messenger.RemoteError
		assert.Assert(t, errors.As(err, &remote))
		assert.DeepEqual(t, remote, &messenger.RemoteError{Code: "StaleEpoch", Text: "epoch 3"})
	}, handle)
}
