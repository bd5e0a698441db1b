package messenger_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// relay passes UDP and TCP on the same port to a server. It makes connections go silent without closing them.
type relay struct {
	server string
	tcp    net.Listener
	udp    *net.UDPConn
	// udpBlocked drops all UDP packets.
	udpBlocked atomic.Bool
	// byAddress keeps a silent UDP path silent for its client address, as a firewall that lost its state does.
	byAddress atomic.Bool

	mu sync.Mutex
	// paths are the open paths by client address.
	paths map[string]*path
}

// path is one connection through a relay.
type path struct {
	silent atomic.Bool
	out    net.Conn
	in     net.Conn
}

func newRelay(t testing.TB, server string) *relay {
	r := &relay{server: server, paths: make(map[string]*path)}
	var err error
	r.tcp, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: r.tcp.Addr().(*net.TCPAddr).Port})
	assert.NilError(t, err)
	t.Cleanup(r.close)
	go r.serveUDP()
	go r.serveTCP()
	return r
}

func (r *relay) addr() string { return r.tcp.Addr().String() }

func (r *relay) close() {
	r.tcp.Close()
	r.udp.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.paths {
		p.out.Close()
		if p.in != nil {
			p.in.Close()
		}
	}
}

// silence makes all open paths drop what they get. A TCP path stays silent; a UDP path is opened again by a client that dials anew.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.paths {
		p.silent.Store(true)
	}
}

func (r *relay) open(network, from string, in net.Conn) (*path, error) {
	out, err := net.Dial(network, r.server)
	if err != nil {
		return nil, err
	}
	p := &path{out: out, in: in}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths[network+from] = p
	return p, nil
}

func (r *relay) serveUDP() {
	b := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFromUDP(b)
		if err != nil {
			return
		}
		if r.udpBlocked.Load() {
			continue
		}
		r.mu.Lock()
		p := r.paths["udp"+from.String()]
		r.mu.Unlock()
		// A long header with packet type 0 is an Initial packet, so a new connection begins.
		if p == nil || p.silent.Load() && b[0]&0xf0 == 0xc0 && !r.byAddress.Load() {
			if p, err = r.open("udp", from.String(), nil); err != nil {
				continue
			}
			go r.answerUDP(p, from)
		}
		if !p.silent.Load() {
			p.out.Write(b[:n])
		}
	}
}

func (r *relay) answerUDP(p *path, to *net.UDPAddr) {
	b := make([]byte, 64<<10)
	for {
		n, err := p.out.Read(b)
		if err != nil {
			return
		}
		if !p.silent.Load() {
			r.udp.WriteToUDP(b[:n], to)
		}
	}
}

func (r *relay) serveTCP() {
	for {
		in, err := r.tcp.Accept()
		if err != nil {
			return
		}
		p, err := r.open("tcp", in.RemoteAddr().String(), in)
		if err != nil {
			in.Close()
			continue
		}
		go p.copy(p.out, in)
		go p.copy(in, p.out)
	}
}

func (p *path) copy(to io.WriteCloser, from io.Reader) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			to.Close()
			return
		}
		if p.silent.Load() {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
