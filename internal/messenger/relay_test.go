package messenger_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// relay forwards UDP and TCP from one port number to a server. It can drop the data of connections without closing
// them.
type relay struct {
	serverAddress string
	tcpListener   net.Listener
	udpConn       *net.UDPConn
	// dropUDP makes the relay drop all UDP packets from clients.
	dropUDP atomic.Bool
	// keepUDPSilent makes the relay also drop new connections from the client address of a silent UDP path, like a
	// firewall that has lost its state.
	keepUDPSilent atomic.Bool

	mu sync.Mutex
	// paths are the open paths by network and client address.
	paths map[string]*relayPath
}

// relayPath is one TCP connection through a relay, or the UDP traffic of one client address.
type relayPath struct {
	// silent makes the path drop all data that it receives.
	silent     atomic.Bool
	serverConn net.Conn
	// clientConn is nil for UDP, which uses relay.udpConn.
	clientConn net.Conn
}

func newRelay(t testing.TB, serverAddress string) *relay {
	r := &relay{serverAddress: serverAddress, paths: make(map[string]*relayPath)}
	// A free TCP port may be in use by another process for UDP.
	const portAttempts = 10
	var err error
	for range portAttempts {
		r.tcpListener, err = net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		r.udpConn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: r.tcpListener.Addr().(*net.TCPAddr).Port})
		if err == nil {
			break
		}
		r.tcpListener.Close()
	}
	assert.NilError(t, err)
	t.Cleanup(r.close)
	go r.serveUDP()
	go r.serveTCP()
	return r
}

func (r *relay) address() string { return r.tcpListener.Addr().String() }

func (r *relay) close() {
	r.tcpListener.Close()
	r.udpConn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.paths {
		p.serverConn.Close()
		if p.clientConn != nil {
			p.clientConn.Close()
		}
	}
}

// silence makes all open paths drop what they receive. A TCP path stays silent. A UDP path is replaced when its client
// dials a new QUIC connection, unless keepUDPSilent is set.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.paths {
		p.silent.Store(true)
	}
}

func (r *relay) openPath(network, clientAddress string, clientConn net.Conn) (*relayPath, error) {
	serverConn, err := net.Dial(network, r.serverAddress)
	if err != nil {
		return nil, err
	}
	p := &relayPath{serverConn: serverConn, clientConn: clientConn}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths[network+clientAddress] = p
	return p, nil
}

func (r *relay) serveUDP() {
	packet := make([]byte, 64<<10)
	for {
		n, clientAddress, err := r.udpConn.ReadFromUDP(packet)
		if err != nil {
			return
		}
		if r.dropUDP.Load() {
			continue
		}
		r.mu.Lock()
		p := r.paths["udp"+clientAddress.String()]
		r.mu.Unlock()
		// A long header with packet type 0 is an Initial packet, the first of a new QUIC connection.
		if p == nil || p.silent.Load() && packet[0]&0xf0 == 0xc0 && !r.keepUDPSilent.Load() {
			if p, err = r.openPath("udp", clientAddress.String(), nil); err != nil {
				continue
			}
			go r.copyUDPAnswers(p, clientAddress)
		}
		if !p.silent.Load() {
			p.serverConn.Write(packet[:n])
		}
	}
}

func (r *relay) copyUDPAnswers(p *relayPath, clientAddress *net.UDPAddr) {
	packet := make([]byte, 64<<10)
	for {
		n, err := p.serverConn.Read(packet)
		if err != nil {
			return
		}
		if !p.silent.Load() {
			r.udpConn.WriteToUDP(packet[:n], clientAddress)
		}
	}
}

func (r *relay) serveTCP() {
	for {
		clientConn, err := r.tcpListener.Accept()
		if err != nil {
			return
		}
		p, err := r.openPath("tcp", clientConn.RemoteAddr().String(), clientConn)
		if err != nil {
			clientConn.Close()
			continue
		}
		go p.copy(p.serverConn, clientConn)
		go p.copy(clientConn, p.serverConn)
	}
}

func (p *relayPath) copy(to io.WriteCloser, from io.Reader) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		if p.silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
