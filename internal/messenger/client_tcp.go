package messenger

import (
	"context"
	"errors"
)

type tcpConn struct{}

func (t *tcpConn) close() {}

func (p *peer) dialTCP(ctx context.Context) (*tcpConn, error) {
	return nil, errors.New("no QUIC handshake")
}

func (p *peer) callTCP(ctx context.Context, kind Kind, message []byte) ([]byte, error) {
	return nil, ErrNotSent
}
