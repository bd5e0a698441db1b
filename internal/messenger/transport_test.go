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

func authority(t testing.TB) *issuer.Authority {
	a, err := issuer.NewAuthority()
	assert.NilError(t, err)
	return a
}

// serve starts a server that is closed at the end of the test.
func serve(t testing.TB, a *issuer.Authority, h messenger.Handler) *messenger.Server {
	c, err := a.Server(messenger.RoleAgent, "agent-1")
	assert.NilError(t, err)
	s := &messenger.Server{Address: "127.0.0.1:0", TLS: c, Handle: h, MaxCalls: 8}
	start(t, s)
	return s
}

func start(t testing.TB, s *messenger.Server) {
	assert.NilError(t, s.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func client(t testing.TB, a *issuer.Authority) *messenger.Client {
	c, err := a.Client(messenger.RoleEntry, "entry-1")
	assert.NilError(t, err)
	m := &messenger.Client{TLS: c}
	t.Cleanup(func() { m.Close() })
	return m
}

func within(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// echo answers with the sender's name and the body.
func echo(_ context.Context, from messenger.Identity, _ messenger.Kind, body []byte) (any, error) {
	var v messenger.Serve
	if err := messenger.Decode(body, &v); err != nil {
		return nil, err
	}
	return messenger.ServeAnswer{Request: v.Request.ID, Reason: from.Name, Body: v.Request.Body}, nil
}

// paths runs a test over QUIC and, with UDP blocked, over TCP. The address leads through a relay to the server.
func paths(t *testing.T, test func(t *testing.T, r *relay, c *messenger.Client, a *issuer.Authority), h messenger.Handler) {
	for _, tcp := range []bool{false, true} {
		t.Run(map[bool]string{false: "QUIC", true: "TCP"}[tcp], func(t *testing.T) {
			a := authority(t)
			r := newRelay(t, serve(t, a, h).Addr())
			r.udpBlocked.Store(tcp)
			c := client(t, a)
			test(t, r, c, a)
			assert.Equal(t, c.UsesQUIC(r.addr()), !tcp)
		})
	}
}

func request(id string, size int) messenger.Serve {
	var q messenger.Serve
	q.Request.ID = descriptor.RequestID(id)
	q.Request.Body = bytes.Repeat([]byte{7}, size)
	return q
}

// Guards against answers that differ from what the handler returned, a lost identity, and uncounted bytes.
func TestCallIsAnswered(t *testing.T) {
	paths(t, func(t *testing.T, r *relay, c *messenger.Client, _ *issuer.Authority) {
		c.Group = func(string) string { return "link" }
		q := request("r1", 3<<20)
		var v messenger.ServeAnswer
		assert.NilError(t, c.Call(within(t, 10*time.Second), r.addr(), messenger.KindServe, q, &v))
		assert.Equal(t, v.Request, q.Request.ID)
		assert.Equal(t, v.Reason, "entry-1")
		assert.Assert(t, bytes.Equal(v.Body, q.Request.Body))
		assert.Assert(t, c.Bytes()[messenger.KindServe] > 6<<20)
		assert.Equal(t, c.Bytes()[messenger.KindServe], c.BytesByGroup()["link"][messenger.KindServe])
		err := c.Call(within(t, time.Second), r.addr(), messenger.KindServe, request("r2", messenger.MaxMessageSize), nil)
		assert.ErrorIs(t, err, messenger.ErrTooLarge)
		assert.ErrorIs(t, err, messenger.ErrNotSent)
	}, echo)
}

// Guards against answers that reach the wrong caller: the first call is answered last.
func TestCallsAreAnsweredCrossed(t *testing.T) {
	const calls = 6
	var next [calls + 1]chan struct{}
	for i := range next {
		next[i] = make(chan struct{}, 1)
	}
	handle := func(ctx context.Context, from messenger.Identity, kind messenger.Kind, body []byte) (any, error) {
		var v messenger.Serve
		if err := messenger.Decode(body, &v); err != nil {
			return nil, err
		}
		i := int(v.Deadline)
		<-next[i+1]
		defer func() { next[i] <- struct{}{} }()
		return echo(ctx, from, kind, body)
	}
	paths(t, func(t *testing.T, r *relay, c *messenger.Client, _ *issuer.Authority) {
		next[calls] <- struct{}{}
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() {
				q := request(string(rune('a'+i)), 1)
				q.Deadline = time.Duration(i)
				var v messenger.ServeAnswer
				assert.Check(t, c.Call(within(t, 10*time.Second), r.addr(), messenger.KindServe, q, &v))
				assert.Check(t, v.Request == q.Request.ID)
			})
		}
		wg.Wait()
		<-next[0]
	}, handle)
}

// blocker is a handler whose first call waits until it is released, or its context ends; later calls answer at once.
type blocker struct {
	started  chan struct{}
	release  chan struct{}
	canceled chan struct{}
	calls    atomic.Int32
}

func newBlocker() *blocker {
	return &blocker{started: make(chan struct{}, 100), release: make(chan struct{}), canceled: make(chan struct{}, 100)}
}

func (b *blocker) handle(ctx context.Context, _ messenger.Identity, kind messenger.Kind, _ []byte) (any, error) {
	b.calls.Add(1)
	if kind != messenger.KindStart {
		return messenger.Empty{}, nil
	}
	b.started <- struct{}{}
	select {
	case <-b.release:
		return messenger.Empty{}, nil
	case <-ctx.Done():
		b.canceled <- struct{}{}
		return nil, ctx.Err()
	}
}

// Guards against a call that waits forever on a silent connection, and against reuse of that connection.
func TestSilentConnection(t *testing.T) {
	b := newBlocker()
	defer close(b.release)
	paths(t, func(t *testing.T, r *relay, c *messenger.Client, _ *issuer.Authority) {
		failed := make(chan error, 1)
		go func() { failed <- c.Call(within(t, 10*time.Second), r.addr(), messenger.KindStart, nil, nil) }()
		<-b.started
		at := time.Now()
		r.silence()
		err := <-failed
		assert.ErrorIs(t, err, messenger.ErrSilent)
		assert.Assert(t, !errors.Is(err, messenger.ErrNotSent))
		assert.Assert(t, time.Since(at) < 1500*time.Millisecond, "silent after %v", time.Since(at))
		t.Logf("silent after %v", time.Since(at))
		assert.NilError(t, c.Call(within(t, 10*time.Second), r.addr(), messenger.KindHold, nil, nil))
	}, b.handle)
}

// Guards against a new connection that shares the fate of the silent one because it comes from the same port: after a
// silence the next call must work at once, over QUIC. Fails without renewSocket in dialQUIC.
func TestSilentAddress(t *testing.T) {
	b := newBlocker()
	defer close(b.release)
	paths(t, func(t *testing.T, r *relay, c *messenger.Client, _ *issuer.Authority) {
		r.byAddress.Store(true)
		for range 3 {
			failed := make(chan error, 1)
			go func() { failed <- c.Call(within(t, 10*time.Second), r.addr(), messenger.KindStart, nil, nil) }()
			<-b.started
			r.silence()
			assert.ErrorIs(t, <-failed, messenger.ErrSilent)
			at := time.Now()
			assert.NilError(t, c.Call(within(t, 10*time.Second), r.addr(), messenger.KindHold, nil, nil))
			assert.Assert(t, time.Since(at) < messenger.QUICDialTimeout, "new connection after %v", time.Since(at))
		}
	}, b.handle)
}

// Guards against heartbeats that fail a call which only takes long.
func TestLongCallOutlastsHeartbeats(t *testing.T) {
	handle := func(ctx context.Context, _ messenger.Identity, _ messenger.Kind, _ []byte) (any, error) {
		_, has := ctx.Deadline()
		assert.Check(t, has)
		busy, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
		defer cancel()
		<-busy.Done()
		return messenger.Empty{}, ctx.Err()
	}
	paths(t, func(t *testing.T, r *relay, c *messenger.Client, _ *issuer.Authority) {
		assert.NilError(t, c.Call(within(t, 10*time.Second), r.addr(), messenger.KindStart, nil, nil))
		assert.Assert(t, c.Bytes()[messenger.KindPing] > 0)
	}, handle)
}

// Guards against handlers that run on after their caller has gone.
func TestCancellationReachesHandler(t *testing.T) {
	b := newBlocker()
	paths(t, func(t *testing.T, r *relay, c *messenger.Client, _ *issuer.Authority) {
		ctx, cancel := context.WithCancel(within(t, 10*time.Second))
		failed := make(chan error, 1)
		go func() { failed <- c.Call(ctx, r.addr(), messenger.KindStart, nil, nil) }()
		<-b.started
		cancel()
		assert.ErrorIs(t, <-failed, context.Canceled)
		<-b.canceled
	}, b.handle)
}

// Guards against an address that stays on TCP after UDP works again.
func TestQUICIsTriedAgain(t *testing.T) {
	a := authority(t)
	r := newRelay(t, serve(t, a, newBlocker().handle).Addr())
	r.udpBlocked.Store(true)
	c := client(t, a)
	call := func() error { return c.Call(within(t, 10*time.Second), r.addr(), messenger.KindHold, nil, nil) }
	assert.NilError(t, call())
	r.udpBlocked.Store(false)
	assert.Assert(t, c.RetryQUIC(r.addr()))
	assert.NilError(t, call())
	assert.Assert(t, c.UsesQUIC(r.addr()))
	assert.NilError(t, call())
}

// Guards against ErrNotSent on a call that may have run, and its absence where nothing was sent.
func TestNobodyListens(t *testing.T) {
	a := authority(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	c := client(t, a)
	for range 2 { // the second call meets the back-off
		assert.ErrorIs(t, c.Call(within(t, 10*time.Second), l.Addr().String(), messenger.KindHold, nil, nil), messenger.ErrNotSent)
	}
}

// Guards against handlers that run for peers with a certificate of another authority, another role or an expired one.
func TestPeersAreVerified(t *testing.T) {
	a := authority(t)
	past := issuer.WithValidity(time.Now().Add(-2*time.Hour), time.Now().Add(-time.Hour))
	cases := []struct {
		name    string
		issuer  *issuer.Authority
		role    messenger.Role
		options []issuer.Option
	}{
		{name: "authority", issuer: authority(t), role: messenger.RoleEntry},
		{name: "role", issuer: a, role: issuer.RoleOperator},
		{name: "expired", issuer: a, role: messenger.RoleEntry, options: []issuer.Option{past}},
	}
	b := newBlocker()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			good, err := a.Client(messenger.RoleEntry, "entry-1")
			assert.NilError(t, err)
			bad, err := tc.issuer.Issue(tc.role, "other", tc.options...)
			assert.NilError(t, err)
			badClient := good.Clone()
			badClient.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &bad, nil }
			badServer, err := a.Server(messenger.RoleAgent, "agent-1")
			assert.NilError(t, err)
			badServer.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &bad, nil }
			s := &messenger.Server{Address: "127.0.0.1:0", TLS: badServer, Handle: b.handle}
			start(t, s)
			r := newRelay(t, serve(t, a, b.handle).Addr())
			for _, tcp := range []bool{false, true} {
				r.udpBlocked.Store(tcp)
				c := &messenger.Client{TLS: badClient}
				err := c.Call(within(t, 10*time.Second), r.addr(), messenger.KindHold, nil, nil)
				assert.Check(t, is.ErrorIs(err, messenger.ErrNotSent))
				c.Close()
			}
			err = client(t, a).Call(within(t, 10*time.Second), s.Addr(), messenger.KindHold, nil, nil)
			assert.Check(t, is.ErrorIs(err, messenger.ErrNotSent))
			assert.Equal(t, b.calls.Load(), int32(0))
		})
	}
}

// Guards against a shutdown that cuts a running call or runs a handler after it has begun.
func TestShutdownFinishesRunningCalls(t *testing.T) {
	for _, tcp := range []bool{false, true} {
		a, b := authority(t), newBlocker()
		s := serve(t, a, b.handle)
		r := newRelay(t, s.Addr())
		r.udpBlocked.Store(tcp)
		c := client(t, a)
		answered := make(chan error, 1)
		go func() { answered <- c.Call(within(t, 10*time.Second), r.addr(), messenger.KindStart, nil, nil) }()
		<-b.started
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(within(t, 10*time.Second)) }()
		var err error
		for err == nil { // until the shutdown has begun
			err = c.Call(within(t, 10*time.Second), r.addr(), messenger.KindHold, nil, nil)
		}
		assert.ErrorIs(t, err, messenger.ErrNotSent)
		close(b.release)
		assert.NilError(t, <-answered)
		assert.NilError(t, <-stopped)
	}
}

// Guards against a shutdown that outlasts its context.
func TestShutdownIsBounded(t *testing.T) {
	a, b := authority(t), newBlocker()
	s, c := serve(t, a, b.handle), client(t, a)
	failed := make(chan error, 1)
	go func() { failed <- c.Call(within(t, 10*time.Second), s.Addr(), messenger.KindStart, nil, nil) }()
	<-b.started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, s.Shutdown(ctx), context.Canceled)
	err := <-failed
	assert.ErrorIs(t, err, messenger.ErrLost)
	assert.Assert(t, !errors.Is(err, messenger.ErrNotSent))
}

// Guards against a handler that runs on a request of which only a part has arrived.
func TestPartialRequestDoesNotRun(t *testing.T) {
	a, b := authority(t), newBlocker()
	s := serve(t, a, b.handle)
	c, err := a.Client(messenger.RoleEntry, "entry-1")
	assert.NilError(t, err)
	c.NextProtos = []string{"persimmontrail/1"}
	partial := []byte{2, 0, 0, 0, 9, 0xa2, 1, 1, 2} // a request frame of 9 bytes, 4 of which are there

	overTCP, err := tls.Dial("tcp", s.Addr(), c)
	assert.NilError(t, err)
	defer overTCP.Close()
	_, err = overTCP.Write(partial)
	assert.NilError(t, err)
	assert.NilError(t, overTCP.CloseWrite())
	_, err = io.Copy(io.Discard, overTCP) // until the server closes
	assert.NilError(t, err)

	conn, err := quic.DialAddr(within(t, 10*time.Second), s.Addr(), c, nil)
	assert.NilError(t, err)
	defer conn.CloseWithError(0, "")
	st, err := conn.OpenStream()
	assert.NilError(t, err)
	_, err = st.Write(partial)
	assert.NilError(t, err)
	assert.NilError(t, st.Close())
	_, err = io.Copy(io.Discard, st) // until the server resets the stream
	var reset *quic.StreamError
	assert.Assert(t, errors.As(err, &reset), "%v", err)
	assert.Equal(t, b.calls.Load(), int32(0))
}

// Guards against calls that outlast the client.
func TestCloseEndsCalls(t *testing.T) {
	b := newBlocker()
	defer close(b.release)
	paths(t, func(t *testing.T, r *relay, c *messenger.Client, a *issuer.Authority) {
		other := client(t, a)
		failed := make(chan error, 1)
		go func() { failed <- other.Call(within(t, 10*time.Second), r.addr(), messenger.KindStart, nil, nil) }()
		<-b.started
		assert.NilError(t, other.Close())
		assert.ErrorIs(t, <-failed, messenger.ErrLost)
		<-b.canceled
		assert.ErrorIs(t, other.Call(within(t, time.Second), r.addr(), messenger.KindHold, nil, nil), messenger.ErrClosed)
		assert.NilError(t, c.Call(within(t, 10*time.Second), r.addr(), messenger.KindHold, nil, nil))
	}, b.handle)
}

// Guards against unbounded running calls and against a refusal whose handler ran.
func TestCallsOverLimitAreRefused(t *testing.T) {
	b := newBlocker()
	paths(t, func(t *testing.T, r *relay, c *messenger.Client, _ *issuer.Authority) {
		before := b.calls.Load()
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				assert.Check(t, c.Call(within(t, 10*time.Second), r.addr(), messenger.KindStart, nil, nil))
			})
			<-b.started
		}
		err := c.Call(within(t, 10*time.Second), r.addr(), messenger.KindHold, request("r", 1<<20), nil)
		assert.ErrorIs(t, err, messenger.ErrRefused)
		assert.ErrorIs(t, err, messenger.ErrNotSent)
		assert.ErrorContains(t, err, messenger.CodeOverloaded)
		for range 8 {
			b.release <- struct{}{}
		}
		wg.Wait()
		assert.Equal(t, b.calls.Load(), before+8)
		assert.NilError(t, c.Call(within(t, 10*time.Second), r.addr(), messenger.KindHold, nil, nil))
	}, b.handle)
}

// Guards against a lost code or text of a handler's error.
func TestRemoteError(t *testing.T) {
	handle := func(context.Context, messenger.Identity, messenger.Kind, []byte) (any, error) {
		return nil, &messenger.RemoteError{Code: "StaleEpoch", Text: "epoch 3"}
	}
	paths(t, func(t *testing.T, r *relay, c *messenger.Client, _ *issuer.Authority) {
		err := c.Call(within(t, 10*time.Second), r.addr(), messenger.KindHold, nil, nil)
		assert.ErrorIs(t, err, messenger.ErrRemote)
		assert.Assert(t, !errors.Is(err, messenger.ErrNotSent))
		var re *messenger.RemoteError
		assert.Assert(t, errors.As(err, &re))
		assert.DeepEqual(t, re, &messenger.RemoteError{Code: "StaleEpoch", Text: "epoch 3"})
	}, handle)
}
