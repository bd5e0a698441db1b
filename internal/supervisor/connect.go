package supervisor

import (
	"context"
	"fmt"

	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
)

// connect sets Call and Bind to the real transport where they are not set. The
// returned function closes the client.
func (s *Settings) connect() (func() error, error) {
	nothing := func() error { return nil }
	if s.Call != nil && s.Bind != nil {
		return nothing, nil
	}
	keys, err := issuer.Load(s.Keys)
	if err != nil {
		return nil, fmt.Errorf("field Keys: %w", err)
	}
	if s.Bind == nil {
		s.Bind = func(handle Handle) (*MessageServer, error) { return bind(s.Listen, keys, handle) }
	}
	if s.Call != nil {
		return nothing, nil
	}
	client := &messenger.Client{TLS: keys.ClientTLS(messenger.RoleEntry)}
	s.Call = client.Call
	return client.Close, nil
}

// bind opens the message listener. The handler checks the role, so that a peer with another role learns the reason.
func bind(address string, keys *issuer.Reloader, handle Handle) (*MessageServer, error) {
	server := &messenger.Server{
		Address: address,
		TLS:     keys.ServerTLS(),
		Handle: func(ctx context.Context, from messenger.Identity, kind messenger.Kind, body []byte) (any, error) {
			return handle(ctx, from.Role, kind, func(v any) error { return messenger.Decode(body, v) })
		},
	}
	if err := server.Listen(); err != nil {
		return nil, err
	}
	return &MessageServer{Address: server.Addr(), Serve: server.Serve, Shutdown: server.Shutdown}, nil
}
