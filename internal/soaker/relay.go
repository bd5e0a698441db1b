package soaker

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// relayFault is a fault that a relay applies to its connections.
type relayFault int

// A cut holds bytes back and delivers them when it ends, as TCP retransmission does.
const (
	relayNoFault relayFault = iota
	// relayDelayed delays each chunk, and the connection to the target, by relayAddedDelay.
	relayDelayed
	// relayCut holds the bytes of both directions and new connections to the target.
	relayCut
	// relayCutToTarget holds only the bytes and new connections to the target, relayCutFromTarget only the bytes from it.
	relayCutToTarget
	relayCutFromTarget
	// relayReset resets the open connections, and new ones as soon as they are accepted.
	relayReset
	// relaySilenced stops the connections that are open when it is injected. They stay silent after the fault has ended,
	// until a relayReset. New connections work.
	relaySilenced
)

const (
	// relayAddedDelay is several times the delay between regions.
	relayAddedDelay  = 120 * time.Millisecond
	relayDialTimeout = time.Second
	relayBufferSize  = 32 << 10
)

// relay forwards connections to a target on the loopback interface and applies faults to them.
type relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault relayFault
	// silenceMark, if not empty, silences the open connections once when it occurs in what a client sends.
	silenceMark []byte
	connections map[*connection]bool
	// changed is closed and replaced by each call of inject, to wake blocked connections.
	changed chan struct{}
}

// connection is one client connection together with the connection to the target.
type connection struct {
	client, server net.Conn
	// silenced is guarded by relay.mu.
	silenced bool
}

// newRelay opens a relay from the address listen to the address target.
func newRelay(listen, target string) (*relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, listener: l, connections: map[*connection]bool{}, changed: make(chan struct{})}
	go r.accept()
	return r, nil
}

// address returns the host and port on which the relay listens. If newRelay was given port 0, it is the assigned port.
func (r *relay) address() string { return r.listener.Addr().String() }

// close stops listening and resets all connections.
func (r *relay) close() {
	r.listener.Close()
	r.inject(relayReset)
}

// inject replaces the current fault; relayNoFault ends it. A reset or silence applies to the open connections at once.
func (r *relay) inject(fault relayFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	for cn := range r.connections {
		switch fault {
		case relayReset:
			cn.reset()
		case relaySilenced:
			cn.silenced = true
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// silenceAt silences the connections that are open when mark next occurs in what a client sends; what has arrived until
// then is passed on. An empty mark cancels that.
func (r *relay) silenceAt(mark []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenceMark = mark
}

// silenceIfMarked silences the open connections if data holds the silenceMark.
func (r *relay) silenceIfMarked(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.silenceMark) == 0 || !bytes.Contains(data, r.silenceMark) {
		return
	}
	r.silenceMark = nil
	for cn := range r.connections {
		cn.silenced = true
	}
}

// accept serves client connections until the listener is closed.
func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(client)
	}
}

// connect connects a client to the target and forwards in both directions until both have ended.
func (r *relay) connect(client net.Conn) {
	cn := &connection{client: client}
	if !r.waitWhileBlocked(cn, relayCut, relayCutToTarget) {
		cn.reset()
		return
	}
	server, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		cn.reset()
		return
	}
	cn.server = server
	r.mu.Lock()
	if r.fault == relayReset {
		r.mu.Unlock()
		cn.reset()
		return
	}
	r.connections[cn] = true
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(cn, client, server, relayCutToTarget) })
	directions.Go(func() { r.forward(cn, server, client, relayCutFromTarget) })
	directions.Wait()
	r.mu.Lock()
	delete(r.connections, cn)
	r.mu.Unlock()
}

// forward copies bytes in one direction until the sender closes its side, a write fails or the connection is reset. The
// fault cut blocks only this direction.
func (r *relay) forward(cn *connection, from, to net.Conn, cut relayFault) {
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buffer)
		if !r.waitWhileBlocked(cn, relayCut, cut) {
			cn.reset()
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				cn.reset()
				return
			}
			if cut == relayCutToTarget {
				r.silenceIfMarked(buffer[:n])
			}
		}
		if err != nil {
			// Only this direction has ended; the other one stays open.
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
	}
}

// waitWhileBlocked blocks while the relay has one of the cuts or the connection is silenced, and adds the delay of
// relayDelayed. It returns false if the connection must be reset.
func (r *relay) waitWhileBlocked(cn *connection, cuts ...relayFault) bool {
	for {
		r.mu.Lock()
		fault, silenced, changed := r.fault, cn.silenced, r.changed
		r.mu.Unlock()
		blocked := silenced
		for _, c := range cuts {
			blocked = blocked || fault == c
		}
		switch {
		case fault == relayReset:
			return false
		case blocked:
			<-changed
			continue
		case fault == relayDelayed:
			time.Sleep(relayAddedDelay)
		}
		return true
	}
}

// reset closes both sides with a TCP reset.
func (cn *connection) reset() {
	for _, c := range []net.Conn{cn.client, cn.server} {
		if t, ok := c.(*net.TCPConn); ok && t != nil {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}
