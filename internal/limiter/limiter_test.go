package limiter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"persimmontrail/internal/recorder"
)

// TestBudgetHoldsUnderAnyLoad guards against draws that exceed the budget or an account, and against memory that is never
// given back, whatever clients open, grow, end and have ended.
func TestBudgetHoldsUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &budget{size: 1000}
		var draws []*draw
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(draws) == 0 || rapid.Bool().Draw(t, "open") {
				d := &draw{}
				d.open(b, []account{{fmt.Sprint("address ", rapid.IntRange(0, 2).Draw(t, "address")), 600}})
				age := rapid.SampledFrom([]time.Duration{0, 2 * evictionAge}).Draw(t, "age")
				d.allowEviction(time.Now().Add(-age), func() {})
				draws = append(draws, d)
			}
			d := draws[rapid.IntRange(0, len(draws)-1).Draw(t, "draw")]
			before := d.bytes
			switch n := Bytes(rapid.IntRange(1, 400).Draw(t, "bytes")); rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				if err := d.grow(n); err != nil {
					assert.Assert(t, errors.Is(err, ErrNoRoom) && (d.evicted || d.bytes == before))
				}
			case 2:
				d.shrink(d.bytes / 2)
			case 3:
				_ = d.join(account{"workspace", 300})
			}
			held := Bytes(0)
			for _, d := range draws {
				held += d.bytes
			}
			assert.Assert(t, held == b.held && held <= b.size)
			assert.Assert(t, b.accounts["address 0"] <= 600 && b.accounts["workspace"] <= 300)
		}
		for _, d := range draws {
			d.close()
		}
		assert.Assert(t, b.held == 0 && len(b.accounts) == 0 && b.evictable.Len() == 0)
	})
}

// TestRoomForTheOrdinary guards against stalled bodies that keep the room from an ordinary request: the oldest one of the
// full account ends, those of others go on, and young ones are not ended.
func TestRoomForTheOrdinary(t *testing.T) {
	b := &budget{size: 100}
	open := func(address string, age time.Duration) *draw {
		d := &draw{}
		d.open(b, []account{{address, 60}})
		assert.NilError(t, d.grow(30))
		d.allowEviction(time.Now().Add(-age), func() {})
		return d
	}
	other, first, second := open("other", 3*evictionAge), open("hostile", 2*evictionAge), open("hostile", 0)
	ordinary := &draw{}
	ordinary.open(b, []account{{"hostile", 60}})
	assert.NilError(t, ordinary.grow(20))
	assert.Assert(t, first.evicted && !other.evicted && !second.evicted)
	assert.Assert(t, errors.Is(ordinary.grow(30), ErrNoRoom))
	assert.Assert(t, !second.evicted)
}

// serveEcho serves a handler that answers with the size of the body, and returns its address.
func serveEcho(t *testing.T, limits Limits) string {
	t.Helper()
	limits, err := limits.Complete()
	assert.NilError(t, err)
	guard := &Guard{Limits: limits, Log: log.New(io.Discard), Metrics: &recorder.Metrics{}}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, listener := guard.Serve(Port{Name: "test", Memory: 0.6, Connections: 0.5, Requests: 0.2}, inner, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := ReadBody(w, r, 100_000)
		if err != nil {
			http.Error(w, err.Error(), Status(err))
			return
		}
		fmt.Fprint(w, len(data))
	}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		assert.NilError(t, server.Close())
		for deadline := time.Now().Add(5 * time.Second); guard.budget.used() > 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "%d bytes are still held", guard.budget.used())
		}
	})
	return inner.Addr().String()
}

// TestLegalStreams guards against ordinary clients that are cut off by the checks on headers: bodies of any size and
// form, on one connection, in pieces of any size and a few requests ahead.
func TestLegalStreams(t *testing.T) {
	address := serveEcho(t, Limits{})
	rapid.Check(t, func(t *rapid.T) {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 100, 4095, 4096, 5000, 100_000}), 1, 10).Draw(t, "sizes")
		var stream strings.Builder
		for _, n := range sizes {
			fmt.Fprintf(&stream, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("\n", n))
		}
		stream.WriteString("POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n3\r\n\n\n\n\r\n0\r\n\r\n")
		go func() {
			for data := stream.String(); len(data) > 0; {
				n := min(len(data), rapid.SampledFrom([]int{7, 1000, 4096, 60_000}).Example(len(data)))
				if _, err := io.WriteString(c, data[:n]); err != nil {
					return
				}
				data = data[n:]
			}
		}()
		r := bufio.NewReader(c)
		for _, n := range append(sizes, 3) {
			response, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			answer, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(answer), fmt.Sprint(n))
		}
	})
}

// TestRefusals guards against hostile requests that get no truthful answer: too large, too slow, too many fields.
func TestRefusals(t *testing.T) {
	address := serveEcho(t, Limits{StallTimeout: 200 * time.Millisecond, BodyTimeout: time.Second})
	for request, status := range map[string]int{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\n":                                             http.StatusRequestEntityTooLarge,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n186a1\r\n" + strings.Repeat(" ", 100_001): http.StatusRequestEntityTooLarge,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n1234":                                              http.StatusRequestTimeout,
		"POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", maxHeaderLines-1):                                http.StatusRequestHeaderFieldsTooLarge,
		"GET /" + strings.Repeat("a", maxHeaderBytes):                                                              http.StatusRequestHeaderFieldsTooLarge,
	} {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = io.WriteString(c, request)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err, "%.60q", request)
		assert.Equal(t, response.StatusCode, status, "%.60q", request)
		assert.Assert(t, response.Close, "%.60q", request)
		assert.NilError(t, c.Close())
	}
}

// TestLimitsAreChecked guards against settings with which a process would refuse ordinary clients.
func TestLimitsAreChecked(t *testing.T) {
	_, err := Limits{VMMemory: 32 << 20}.Complete()
	assert.NilError(t, err)
	for _, l := range []Limits{{VMMemory: 31 << 20}, {Descriptors: 200}, {ClientMemory: 200 << 20}, {StallTimeout: -1}, {BodyTimeout: time.Second}} {
		_, err := l.Complete()
		assert.Assert(t, errors.Is(err, ErrLimits), "%+v", l)
	}
}

// TestIdleConnectionsLeaveRoomForRequests names a load of idle connections from one address: as many as the port accepts
// must leave memory for requests, and close no connection of another address.
func TestIdleConnectionsLeaveRoomForRequests(t *testing.T) {
	g := &Guard{Log: log.New(io.Discard), Metrics: &recorder.Metrics{}}
	g.Limits, _ = Limits{VMMemory: 64 << 20, Descriptors: 4100}.Complete()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, guarded := g.Serve(Port{Name: "callers", Memory: 0.6, Connections: 0.45, Requests: 0.15}, inner,
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	p := guarded.(*listener).port
	open := func(address string) *connection {
		near, far := net.Pipe()
		t.Cleanup(func() { _, _ = near.Close(), far.Close() })
		return p.admit(&addressedConn{near, address})
	}
	other := open("10.0.0.2:1")
	assert.Assert(t, other != nil)
	opened := 0
	for open("10.0.0.1:1") != nil {
		opened++
	}
	assert.Assert(t, opened > 100 && g.budget.used() <= g.budget.size/2, "%d connections, %d bytes", opened, g.budget.used())
	time.Sleep(evictionAge)
	assert.Assert(t, open("10.0.0.1:1") != nil)
	assert.Assert(t, other.element != nil)
}

// addressedConn is a connection from an address.
type addressedConn struct {
	net.Conn
	address string
}

func (c *addressedConn) RemoteAddr() net.Addr { return clientAddress(c.address) }

// clientAddress is the address of a client.
type clientAddress string

func (clientAddress) Network() string  { return "tcp" }
func (a clientAddress) String() string { return string(a) }
