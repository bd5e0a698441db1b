package messenger

import "time"

// RetryQUIC ends the time in which an address is called over TCP only, and reports whether there was one.
func (c *Client) RetryQUIC(address string) bool {
	c.mu.Lock()
	p := c.peers[address]
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	overTCP := !p.tcpUntil.IsZero()
	if overTCP {
		p.tcpUntil = time.Unix(1, 0)
	}
	return overTCP
}

// UsesQUIC waits for the dial in progress and reports whether the address is then called over QUIC.
func (c *Client) UsesQUIC(address string) bool {
	c.mu.Lock()
	p := c.peers[address]
	c.mu.Unlock()
	p.mu.Lock()
	dialing := p.dialing
	p.mu.Unlock()
	if dialing != nil {
		<-dialing
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quic != nil
}

// QUICDialTimeout is the bound of a QUIC handshake.
const QUICDialTimeout = quicDialTimeout
