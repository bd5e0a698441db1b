// Package connector makes HTTP calls to other processes and owns the decision which open connections may still be used.
//
// Open connections can go silent without a reset while new ones work, and TCP itself notices that only after minutes.
// Two rules keep calls off such connections. A connection that has been unused for longer than IdleLifetime is not used
// again, so that a silence that no call has met is over after that time. And a call that ends without a complete
// response shows that the other connections to the same address may be dead too, so that all of them that are idle are
// closed: a silence costs one failed call for each address, not one for each connection.
package connector

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// IdleLifetime is how long an unused connection stays open. Together with one timed-out call it stays below the 4 s
// after which the platform counts a deployment as undisturbed again.
const IdleLifetime = 2 * time.Second

const (
	// defaultDialTimeout and defaultMaxIdle apply where the fields of Connector are 0.
	defaultDialTimeout = 500 * time.Millisecond
	defaultMaxIdle     = 2
	// keepAliveInterval is the interval of TCP keep-alive probes.
	keepAliveInterval = 5 * time.Second
)

// Connector calls the processes at any number of addresses. The zero value is ready for use; it must not be copied
// after first use. The fields must be set before that.
type Connector struct {
	// DialTimeout bounds the set-up of a connection; 0 means 0.5 s.
	DialTimeout time.Duration
	// MaxIdle is the number of unused connections to one address that stay open; 0 means 2.
	MaxIdle int
	// Dial opens a connection to an address; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// pools holds the connections by address.
	pools map[string]*pool
}

// pool holds the connections to one address.
type pool struct {
	transport *http.Transport
	// lastUsed is when the last call began. Connector.mu guards it.
	lastUsed time.Time
}

// Response is a complete response.
type Response struct {
	Status int
	Body   []byte
}

// Failure is the error of a call that got no complete response.
type Failure struct {
	Err error
	// Sent is true if the call had a connection, so that it may have been received.
	Sent bool
	// Reused is true if that connection was opened for an earlier call. The failure then says nothing about whether a new
	// connection would work.
	Reused bool
}

func (f *Failure) Error() string {
	return fmt.Sprintf("%v (sent %t, connection reused %t)", f.Err, f.Sent, f.Reused)
}

func (f *Failure) Unwrap() error { return f.Err }

// OnReused reports whether err is a Failure on a connection that was opened for an earlier call.
func OnReused(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Reused
}

// NotSent reports whether err is a Failure of a call that had no connection, so that it was certainly not received.
func NotSent(err error) bool {
	var f *Failure
	return errors.As(err, &f) && !f.Sent
}

// ErrNoConnection means that a call with a context of WithoutDial would have had to open a connection.
var ErrNoConnection = errors.New("no open connection")

type withoutDial struct{}

// WithoutDial returns a context whose calls use an open connection, or else fail with ErrNoConnection.
func WithoutDial(ctx context.Context) context.Context {
	return context.WithValue(ctx, withoutDial{}, true)
}

// Do makes one call, to the address in the URL of the request, and reads up to maxBody bytes of the response. Its
// errors are of type *Failure; the status of an incomplete response is returned together with the error.
func (c *Connector) Do(request *http.Request, maxBody int64) (Response, error) {
	var sent, reused atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		reused.Store(i.Reused)
		sent.Store(true)
	}})
	response, err := c.roundTrip(request.WithContext(ctx), maxBody)
	if err == nil {
		return response, nil
	}
	if !errors.Is(err, context.Canceled) && !errors.Is(err, ErrNoConnection) {
		c.Retire(request.URL.Host)
	}
	return response, &Failure{Err: err, Sent: sent.Load(), Reused: reused.Load()}
}

// roundTrip returns the status of an incomplete response together with the error.
func (c *Connector) roundTrip(request *http.Request, maxBody int64) (Response, error) {
	response, err := c.pool(request.URL.Host).transport.RoundTrip(request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	return Response{response.StatusCode, body}, err
}

// Retire closes the idle connections to an address, since one to the same process has failed. Calls in progress keep
// theirs: they end with a response or by their own time limit.
func (c *Connector) Retire(address string) {
	c.mu.Lock()
	p := c.pools[address]
	c.mu.Unlock()
	if p != nil {
		p.transport.CloseIdleConnections()
	}
}

// pool returns the connections to an address, and forgets those to addresses that are no longer called.
func (c *Connector) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.pools[address]
	if p == nil {
		for a, o := range c.pools {
			// Connections that are still in use close themselves when they have been idle.
			if now.Sub(o.lastUsed) > time.Minute {
				delete(c.pools, a)
			}
		}
		if c.pools == nil {
			c.pools = map[string]*pool{}
		}
		p = &pool{transport: c.newTransport()}
		c.pools[address] = p
	}
	p.lastUsed = now
	return p
}

func (c *Connector) newTransport() *http.Transport {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: c.dialTimeout(), KeepAlive: keepAliveInterval}).DialContext
	}
	maxIdle := c.MaxIdle
	if maxIdle == 0 {
		maxIdle = defaultMaxIdle
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if ctx.Value(withoutDial{}) != nil {
				return nil, ErrNoConnection
			}
			return dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: IdleLifetime, DisableCompression: true,
	}
}

func (c *Connector) dialTimeout() time.Duration {
	if c.DialTimeout == 0 {
		return defaultDialTimeout
	}
	return c.DialTimeout
}
