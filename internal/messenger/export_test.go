package messenger

import "time"

// ExpireTCPFallback lets the next call to an address try QUIC again. It reports whether the address was called over
// TCP.
func (c *Client) ExpireTCPFallback(address string) bool {
	c.mu.Lock()
	p := c.peers[address]
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	overTCP := !p.useTCPUntil.IsZero()
	if overTCP {
		p.useTCPUntil = time.Unix(1, 0)
	}
	return overTCP
}

// UsesQUIC waits for the dial in progress, if any, and reports whether the client has a QUIC connection to the address.
func (c *Client) UsesQUIC(address string) bool {
	c.mu.Lock()
	p := c.peers[address]
	c.mu.Unlock()
	p.mu.Lock()
	dialDone := p.dialDone
	p.mu.Unlock()
	if dialDone != nil {
		<-dialDone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quicConn != nil
}

// QUICDialTimeout lets tests check that a call did not wait for a QUIC handshake that gets no answer.
const QUICDialTimeout = quicDialTimeout
