package connector

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/connector/breaker"
)

// call makes a call with a time limit of 0.4 s.
func call(t *testing.T, c *Connector) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://peer:1/", strings.NewReader("{}"))
	assert.NilError(t, err)
	_, err = c.Do(r, 1<<20)
	return err
}

// openConnections makes n calls at a time, so that n connections stay open.
func openConnections(t *testing.T, c *Connector, n int) {
	t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { assert.Check(t, call(t, c)) })
	}
	wg.Wait()
}

func slowHandler(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) }

// TestSilenceCostsOneCall guards against calls that find out one after the other that the open connections to a process
// have gone silent: a stop of a cancelled task used up one dead connection with each try, and came 7.5 s late
// (review/10).
func TestSilenceCostsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &breaker.Peer{Handler: http.HandlerFunc(slowHandler)}
		defer peer.Close()
		c := &Connector{MaxIdle: 8, Dial: peer.Dial}
		openConnections(t, c, 8)
		assert.Equal(t, peer.Dials(), 8)
		peer.Break(breaker.Silent)
		err := call(t, c)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, OnReused(err) && !NotSent(err))
		assert.NilError(t, call(t, c))
		assert.Equal(t, peer.Dials(), 9)
	})
}

// TestConcurrentCallsMeetOneSilence guards against calls under way that are cut by the failure of another one, and against
// later calls on connections of before the silence.
func TestConcurrentCallsMeetOneSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &breaker.Peer{Handler: http.HandlerFunc(slowHandler)}
		defer peer.Close()
		c := &Connector{MaxIdle: 8, Dial: peer.Dial}
		openConnections(t, c, 8)
		peer.Break(breaker.Silent)
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() { assert.Check(t, OnReused(call(t, c))) })
		}
		wg.Wait()
		for range 8 {
			assert.NilError(t, call(t, c))
		}
	})
}

// TestIdleConnectionIsNotKept guards against a call that meets a silence of long before it: no call was made meanwhile, so
// that none could have shown it.
func TestIdleConnectionIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &breaker.Peer{Handler: http.HandlerFunc(slowHandler)}
		defer peer.Close()
		c := &Connector{MaxIdle: 8, Dial: peer.Dial}
		openConnections(t, c, 8)
		peer.Break(breaker.Silent)
		time.Sleep(IdleLifetime + time.Millisecond)
		assert.NilError(t, call(t, c))
	})
}

// TestRestartCostsOneCall guards against a process that was restarted and whose former connections fail one call each.
func TestRestartCostsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &breaker.Peer{Handler: http.HandlerFunc(slowHandler)}
		defer peer.Close()
		c := &Connector{MaxIdle: 8, Dial: peer.Dial}
		openConnections(t, c, 8)
		peer.Break(breaker.HalfOpen)
		err := call(t, c)
		assert.Assert(t, OnReused(err) && !NotSent(err) && !errors.Is(err, context.DeadlineExceeded))
		assert.NilError(t, call(t, c))
	})
}

// TestCallWithoutDial guards against a call that must stay on the open connection and opens a new one.
func TestCallWithoutDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &breaker.Peer{Handler: http.HandlerFunc(slowHandler)}
		defer peer.Close()
		c := &Connector{Dial: peer.Dial}
		same := func() error {
			r, err := http.NewRequestWithContext(WithoutDial(t.Context()), http.MethodPost, "http://peer:1/", nil)
			assert.NilError(t, err)
			_, err = c.Do(r, 1<<20)
			return err
		}
		assert.ErrorIs(t, same(), ErrNoConnection)
		assert.NilError(t, call(t, c))
		assert.NilError(t, same())
		assert.Equal(t, peer.Dials(), 1)
	})
}

// TestOtherAddressesKeepConnections guards against a process that does not answer and makes the calls to all others open
// new connections.
func TestOtherAddressesKeepConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &breaker.Peer{Handler: http.HandlerFunc(slowHandler)}
		defer peer.Close()
		c := &Connector{Dial: peer.Dial}
		assert.NilError(t, call(t, c))
		c.Retire("other:1")
		assert.NilError(t, call(t, c))
		assert.Equal(t, peer.Dials(), 1)
	})
}
