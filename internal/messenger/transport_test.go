package messenger_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
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

// Guards against answers that differ from what the handler returned and against a lost identity.
func TestCallIsAnswered(t *testing.T) {
	a := authority(t)
	s := serve(t, a, echo)
	c := client(t, a)
	var q messenger.Serve
	q.Request.ID = "r1"
	q.Request.Body = make([]byte, 3<<20)
	q.Request.Body[len(q.Request.Body)-1] = 7
	var r messenger.ServeAnswer
	assert.NilError(t, c.Call(within(t, 10*time.Second), s.Addr(), messenger.KindServe, q, &r))
	assert.Equal(t, r.Request, q.Request.ID)
	assert.Equal(t, r.Reason, "entry-1")
	assert.Assert(t, bytes.Equal(r.Body, q.Request.Body))
}
