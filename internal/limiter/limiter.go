// Package limiter bounds what all clients of a process take together: memory, connections, requests and time. Nothing
// that a client sends may run the process out of memory or descriptors.
//
// A process has one Guard, and all of its servers listen and serve through it. The Guard owns a budget in bytes, on
// which connections, request bodies and decoded messages draw. Each draw names accounts, such as the port and the
// client address, and each account may hold only a share of the budget. Handlers read bodies with ReadBody and decode
// them within Decode. What is beyond a limit is refused before it has any effect, or its connection is closed.
package limiter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"persimmontrail/internal/recorder"
)

// Bytes is an amount of memory.
type Bytes int64

const (
	// DefaultVMMemory and DefaultDescriptors apply if the settings do not name the limits of the VM.
	DefaultVMMemory    Bytes = 256 << 20
	DefaultDescriptors       = 4096
	// reservedDescriptors are those that the platform keeps for files.
	reservedDescriptors = 200
	// memoryShare is the part of the VM's memory that clients can take. The rest is for the process's own state, for
	// garbage and for the decoding of one message.
	memoryShare = 0.25
	// DefaultStallTimeout is the time without progress after which a body or an answer is given up.
	DefaultStallTimeout = 10 * time.Second
	// DefaultBodyTimeout bounds the time in which a client sends a body. No caller waits longer for its answer.
	DefaultBodyTimeout = 30 * time.Second
	headerTimeout      = 5 * time.Second
	idleTimeout        = 60 * time.Second
	// maxHeaderBytes and maxHeaderLines bound the header of a request. Requests of the platform's clients, and those
	// between processes, have about ten fields and 500 bytes.
	maxHeaderBytes = 8 << 10
	maxHeaderLines = 64
	// maxRequestsAhead is the number of requests in a row that a client can send before it has the answer to the one
	// before. The platform's clients send the next one after the answer.
	maxRequestsAhead = 16
	// connectionCost is the memory of an open connection: its goroutine, buffers and header.
	connectionCost Bytes = 16 << 10
	// requestCost is the memory of a request without its body, and chunkedCost what its trailer can add.
	requestCost Bytes = 4 << 10
	chunkedCost Bytes = 128 << 10
	// evictionAge is the time for which a client keeps what it holds although others find no room. An ordinary request
	// is complete long before.
	evictionAge = 500 * time.Millisecond
	// addressShare is the part of what a port may hold that one client address may hold.
	addressShare = 0.75
	// workspaceShare is the part of the budget that one workspace may hold.
	workspaceShare = 0.4
	// RetryAfter is the delay that a refused client is told.
	RetryAfter  = time.Second
	logInterval = 10 * time.Second
	// minPortConnections applies to ports with a small share of the descriptors.
	minPortConnections = 16
)

// Errors of ReadBody and Decode.
var (
	// ErrNoRoom means that the budget, or the share of one of the accounts, is used up.
	ErrNoRoom = errors.New("too many requests at this time, not run")
	// ErrTooSlow means that the client sends its body too slowly.
	ErrTooSlow = errors.New("request body was not received in time, not run")
	// ErrTooLarge means that the body is over its limit.
	ErrTooLarge = errors.New("request body too large")
)

// errHeader means that the header of a request is over its limits.
var errHeader = errors.New("request header too large")

// Status returns the HTTP status for an error of ReadBody or Decode.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrNoRoom):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTooSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// Limits are the limits that operators can set. A field that is 0 has its default.
type Limits struct {
	// VMMemory is the memory of the VM, and Descriptors the number of descriptors that the process may open.
	VMMemory    Bytes
	Descriptors int
	// ClientMemory is the budget; 0 means a quarter of VMMemory, but at least minClientMemory.
	ClientMemory Bytes
	StallTimeout time.Duration
	BodyTimeout  time.Duration
}

// minClientMemory is the smallest budget with which a body of the largest legal size and its decoded form have room.
const minClientMemory Bytes = 16 << 20

// ErrLimits means that limits cannot be used.
var ErrLimits = errors.New("invalid limits")

// Complete returns the limits with the defaults filled in. The error names all fields that cannot be used.
func (l Limits) Complete() (Limits, error) {
	if l.VMMemory == 0 {
		l.VMMemory = DefaultVMMemory
	}
	if l.Descriptors == 0 {
		l.Descriptors = DefaultDescriptors
	}
	if l.ClientMemory == 0 {
		l.ClientMemory = max(Bytes(memoryShare*float64(l.VMMemory)), minClientMemory)
	}
	if l.StallTimeout == 0 {
		l.StallTimeout = DefaultStallTimeout
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = DefaultBodyTimeout
	}
	var errs []error
	require := func(valid bool, format string, values ...any) {
		if !valid {
			errs = append(errs, fmt.Errorf("%w: "+format, append([]any{ErrLimits}, values...)...))
		}
	}
	require(l.Descriptors > reservedDescriptors, "%d descriptors, want more than the %d that are kept for files",
		l.Descriptors, reservedDescriptors)
	require(l.ClientMemory >= minClientMemory && l.ClientMemory <= l.VMMemory/2,
		"%d MiB for clients, want %d MiB to half of the VM's %d MiB", l.ClientMemory>>20, minClientMemory>>20,
		l.VMMemory>>20)
	require(l.StallTimeout > 0, "stall timeout %v, want above 0", l.StallTimeout)
	require(l.BodyTimeout >= l.StallTimeout, "body timeout %v, want at least the stall timeout of %v", l.BodyTimeout, l.StallTimeout)
	return l, errors.Join(errs...)
}

// Guard bounds what the clients of one process take. Its fields must be set before use.
type Guard struct {
	// Limits must be complete.
	Limits  Limits
	Log     *log.Logger
	Metrics *recorder.Metrics

	once   sync.Once
	budget budget
	// decoding is held while a message is decoded, so that the peak of decoding is that of one message.
	decoding sync.Mutex

	mu sync.Mutex
	// logged holds the limiter of the log lines of each cause.
	logged map[string]*rate.Sometimes
}

// Port describes a server of a process: the parts of the process's limits that it may use up. The parts of all ports
// leave descriptors for the process's own connections.
type Port struct {
	Name string
	// Memory is the part of the budget, Connections and Requests are parts of the descriptors for sockets. A request
	// that is served may open one connection to the store.
	Memory, Connections, Requests float64
}

// port is the state of a Port.
type port struct {
	guard *Guard
	name  string
	// account is the port's account in the budget, and share what it may hold; maxAddress is what one client address
	// may hold.
	account           string
	share, maxAddress Bytes
	connections       connectionList
	maxRequests       int

	mu sync.Mutex
	// requests is the number of requests that are served. Those whose body is read do not count.
	requests int
}

// Serve returns a server for h and the listener that it must serve, which wraps inner.
func (g *Guard) Serve(p Port, inner net.Listener, h http.Handler) (*http.Server, net.Listener) {
	g.once.Do(func() {
		g.budget.size = g.Limits.ClientMemory
		g.Metrics.RegisterGauge("client_memory_bytes", func() float64 { return float64(g.budget.used()) })
	})
	sockets := float64(g.Limits.Descriptors - reservedDescriptors)
	memory := p.Memory * float64(g.Limits.ClientMemory)
	state := &port{
		guard: g, name: p.Name, account: "port " + p.Name, share: Bytes(memory), maxAddress: Bytes(addressShare * memory),
		connections: connectionList{max: max(int(p.Connections*sockets), minPortConnections)},
		maxRequests: max(int(p.Requests*sockets), minPortConnections),
	}
	g.Metrics.RegisterGauge("client_connections", func() float64 { return float64(state.connections.count()) }, "port", p.Name)
	server := &http.Server{
		Handler: state.handler(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
	}
	return server, &listener{Listener: inner, port: state}
}

// connectionKey is the context key of a request's *connection.
type connectionKey struct{}

// handler returns the handler that guards h.
func (p *port) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		b := &body{inner: r.Body, connection: c, length: r.ContentLength, began: time.Now()}
		b.draw.open(&p.guard.budget, c.accounts)
		defer b.end()
		cost := requestCost
		if r.ContentLength < 0 {
			cost += chunkedCost
			// What follows a chunked body could not be told from it.
			w.Header().Set("Connection", "close")
		}
		ahead := c.beginRequest(r.ContentLength)
		defer c.endRequest()
		if ahead > maxRequestsAhead {
			p.limited("requests sent ahead", c.address)
			w.Header().Set("Connection", "close")
		}
		b.ahead = ahead > 0
		if !b.startServing() {
			b.failed = true
			c.refuse(w, "requests")
			return
		}
		defer b.stopServing()
		if b.draw.grow(cost) != nil {
			b.failed = true
			c.refuse(w, "memory")
			return
		}
		b.complete = r.ContentLength == 0
		// A copy, since the server looks at the body of its own request after the handler.
		guarded := *r
		guarded.Body = b
		h.ServeHTTP(w, &guarded)
	})
}

// addRequest counts a request that is served, unless there are too many. Those that were sent ahead leave half of the
// places to others.
func (p *port) addRequest(sentAhead bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := p.maxRequests
	if sentAhead {
		most /= 2
	}
	if p.requests >= most {
		return false
	}
	p.requests++
	return true
}

func (p *port) removeRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests--
}

// limited counts a refused request or a closed connection and logs some of them.
func (p *port) limited(cause, address string) {
	g := p.guard
	g.Metrics.Increment("client_limited_total", "port", p.name, "cause", cause)
	g.mu.Lock()
	if g.logged == nil {
		g.logged = map[string]*rate.Sometimes{}
	}
	some := g.logged[cause]
	if some == nil {
		some = &rate.Sometimes{Interval: logInterval}
		g.logged[cause] = some
	}
	g.mu.Unlock()
	some.Do(func() {
		g.Log.Warn("client limited", "cause", cause, "port", p.name, "address", address, "memory", g.budget.used(),
			"connections", p.connections.count())
	})
}
