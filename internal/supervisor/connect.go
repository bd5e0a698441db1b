package supervisor

import (
	"context"
	"crypto/tls"

	"persimmontrail/internal/messenger"
)

// Connect makes the agent use the transport between the system's processes
// with the given keys. The client is closed by the caller after Run.
func (s *Settings) Connect(serverTLS, clientTLS *tls.Config) *messenger.Client {
	client := &messenger.Client{TLS: clientTLS}
	s.Call = client.Call
	listen := s.Listen
	s.Bind = func(handle Handle) (*MessageServer, error) { return bind(listen, serverTLS, handle) }
	return client
}

func bind(listen string, keys *tls.Config, handle Handle) (*MessageServer, error) {
	server := &messenger.Server{
		Address: listen,
		TLS:     keys,
		Handle: func(ctx context.Context, from messenger.Identity, kind messenger.Kind, body []byte) (any, error) {
			decode := func(v any) error { return messenger.Decode(body, v) }
			return handle(ctx, string(from.Role), kind, decode)
		},
	}
	if err := server.Listen(); err != nil {
		return nil, err
	}
	return &MessageServer{Address: server.Addr(), Serve: server.Serve, Shutdown: server.Shutdown}, nil
}
