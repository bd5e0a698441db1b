package supervisor

import (
	"context"
	"crypto/tls"
	"fmt"

	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
)

// loadTransport sets Call and Bind, where they are nil, to the QUIC transport with the key files in Keys. The returned
// function closes the transport's client.
func (s *Settings) loadTransport() (func() error, error) {
	noop := func() error { return nil }
	if s.Call != nil && s.Bind != nil {
		return noop, nil
	}
	reloader, err := issuer.Load(s.Keys)
	if err != nil {
		return nil, fmt.Errorf("field Keys: %w", err)
	}
	return s.SetTransport(reloader.ServerTLS(), reloader.ClientTLS(messenger.RoleEntry)).Close, nil
}

// SetTransport sets Call and Bind, where they are nil, to the QUIC transport with the given TLS configurations. The
// caller closes the returned client after Run.
func (s *Settings) SetTransport(serverTLS, clientTLS *tls.Config) *messenger.Client {
	client := &messenger.Client{TLS: clientTLS}
	if s.Call == nil {
		s.Call = client.Call
	}
	if s.Bind == nil {
		listenAddress := s.Listen
		s.Bind = func(handle Handler) (*MessageServer, error) { return bind(listenAddress, serverTLS, handle) }
	}
	return client
}

// bind opens the listener for messages. The role of the peer is checked by handle and not in the TLS handshake, so
// that a peer with a wrong role gets an error message.
func bind(address string, serverTLS *tls.Config, handle Handler) (*MessageServer, error) {
	server := &messenger.Server{
		Address: address,
		TLS:     serverTLS,
		Handle: func(ctx context.Context, from messenger.Identity, kind messenger.Kind, body []byte) (any, error) {
			return handle(ctx, from.Role, kind, func(v any) error { return messenger.Decode(body, v) })
		},
	}
	if err := server.Listen(); err != nil {
		return nil, err
	}
	return &MessageServer{Address: server.Addr(), Serve: server.Serve, Shutdown: server.Shutdown}, nil
}
