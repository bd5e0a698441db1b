package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// lateCall makes a worker's call over a path that holds its bytes back for hold: a listener takes the connection, and
// passes on what it has read after that time. The worker waits a second for the answer, then closes the connection.
func (w *worker) lateCall(path string, body []byte, hold time.Duration, what string) {
	host, _, _ := net.SplitHostPort(w.control)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	go func() {
		defer l.Close()
		c, err := l.Accept()
		if err != nil {
			return
		}
		began := time.Now()
		data, _ := io.ReadAll(c)
		c.Close()
		time.Sleep(hold - time.Since(began))
		agent, err := net.DialTimeout("tcp", w.control, time.Second)
		if err != nil {
			w.rec.add("%s: could not be delivered: %v", what, err)
			return
		}
		defer agent.Close()
		_, _ = agent.Write(data)
		_ = agent.SetReadDeadline(time.Now().Add(2 * time.Second))
		first := make([]byte, 15)
		_, _ = io.ReadFull(agent, first)
		w.rec.add("%s: is delivered %.1f s after it was sent (%s)", what, time.Since(began).Seconds(), first)
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	var request bytes.Buffer
	r, _ := http.NewRequest(http.MethodPost, "http://"+w.control+path, bytes.NewReader(body))
	r.Close = true
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	_ = r.Write(&request)
	_, _ = c.Write(request.Bytes())
	w.rec.add("%s: is sent", what)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		w.rec.add("%s: no answer within a second", what)
	}
	c.Close()
}

// link passes connections on to a target. It can let a single connection stall for a time, as one does of which packets
// are lost, while the others go on.
type link struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	// count numbers the connections, and open is how many are open.
	count, open int
	// asked receives the number of a connection on which a request has just passed, if somebody waits for it.
	asked chan int
	// stalled is the number of the connection of which no answer passes before stalledUntil.
	stalled      int
	stalledUntil time.Time
	// silentUpTo is the highest number of the connections that have gone silent for good.
	silentUpTo int
}

func newLink(listen, target string) *link {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	k := &link{target: target, listener: l, asked: make(chan int)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			k.mu.Lock()
			k.count++
			n := k.count
			k.mu.Unlock()
			go k.pass(c, n)
		}
	}()
	return k
}

// stall lets no answer on a connection pass before a time.
func (k *link) stall(connection int, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stalled, k.stalledUntil = connection, until
}

// silence lets all open connections go silent for good, without a reset. New ones work. It returns how many there were.
func (k *link) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silentUpTo = k.count
	return k.open
}

// silent reports whether a connection has gone silent.
func (k *link) silent(n int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return n <= k.silentUpTo
}

func (k *link) pass(c net.Conn, n int) {
	defer c.Close()
	s, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		return
	}
	defer s.Close()
	k.mu.Lock()
	k.open++
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.open--
		k.mu.Unlock()
	}()
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			m, err := c.Read(buffer)
			if k.silent(n) && err == nil {
				continue
			}
			if m > 0 {
				if _, err := s.Write(buffer[:m]); err != nil {
					return
				}
				select {
				case k.asked <- n:
				default:
				}
			}
			if err != nil {
				if t, ok := s.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
				return
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		m, err := s.Read(buffer)
		if k.silent(n) {
			// The client sees neither an answer nor an end.
			time.Sleep(time.Minute)
			return
		}
		if m > 0 {
			k.mu.Lock()
			until := time.Time{}
			if k.stalled == n {
				until = k.stalledUntil
			}
			k.mu.Unlock()
			time.Sleep(time.Until(until))
			if _, err := c.Write(buffer[:m]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }
