package soaker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// maxCrowdAddresses is the number of client addresses of a crowd that does not come from a single one.
	maxCrowdAddresses = 50
	// crowdTries is the number of connections that a member of a crowd opens, one after the other.
	crowdTries = 3
	// crowdRetryPause is the pause after a connection that the entry has closed.
	crowdRetryPause = 200 * time.Millisecond
	// slowPause is the pause after each byte of a slow sender or reader.
	slowPause = 50 * time.Millisecond
	// pipelinedRequests is the number of requests that are sent ahead on one connection.
	pipelinedRequests = 250
	// fieldBodyBytes is the length of a body of many short fields, and fieldHeaderBytes that of a header of many.
	fieldBodyBytes   = 256 << 10
	fieldHeaderBytes = 900 << 10
	// slowBodyBytes is the length that slow senders announce.
	slowBodyBytes = 64 << 10
	// smallReadBuffer is the size of the receive buffer of a slow reader.
	smallReadBuffer = 4 << 10
)

// crowdShape is what the members of a crowd do on their connections.
type crowdShape struct {
	name string
	// maxMembers limits the connections at a time.
	maxMembers int
	// send uses a connection until it is closed or its deadline passes.
	send func(c net.Conn, t crowdTarget)
}

// crowdTarget is where a crowd sends its requests.
type crowdTarget struct {
	// method is that of requests with a body.
	name, address, method, path string
}

// crowdTargets returns the targets at an entry.
func crowdTargets(e *entry) []crowdTarget {
	callers, ready := fmt.Sprintf("%s:%d", e.ip, callerPort), fmt.Sprintf("%s:%d", e.ip, readyPort)
	return []crowdTarget{
		{"queue", callers, "POST", fmt.Sprintf(queuePrefixFormat, 1) + "00000000c0ffee00"},
		{"no queue", callers, "POST", "/no-queue/00000000c0ffee00"},
		{"ready", ready, "GET", "/v1/ready"},
	}
}

// head returns the start of a request with a valid key, up to the last header line.
func (t crowdTarget) head(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", method, t.path, queueHost, callerKey)
}

// headWithBody returns the header of a request with a body of n bytes.
func (t crowdTarget) headWithBody(n int) string {
	return t.head(t.method) + fmt.Sprintf("Content-Length: %d\r\n\r\n", n)
}

// Contents that all members of a crowd share.
var (
	shortBody   = make([]byte, maxBodyBytes-1)
	shortFields = bytes.Repeat([]byte("a: b\r\n"), fieldHeaderBytes/6)
)

// crowdShapes are chosen with equal probability. The bodies that are complete are no valid jobs. Errors of connections are
// ignored: the entry may close them at any time.
var crowdShapes = []crowdShape{
	{"bodies that stop short", 300, func(c net.Conn, t crowdTarget) {
		io.WriteString(c, t.headWithBody(maxBodyBytes))
		c.Write(shortBody)
		io.Copy(io.Discard, c)
	}},
	{"chunked bodies that stop short", 300, func(c net.Conn, t crowdTarget) {
		io.WriteString(c, t.head(t.method)+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", maxBodyBytes))
		c.Write(shortBody)
		io.Copy(io.Discard, c)
	}},
	{"slow senders", 300, func(c net.Conn, t crowdTarget) {
		_, err := io.WriteString(c, t.headWithBody(slowBodyBytes))
		for ; err == nil; time.Sleep(slowPause) {
			_, err = c.Write([]byte(" "))
		}
	}},
	{"slow headers", 300, func(c net.Conn, t crowdTarget) {
		_, err := io.WriteString(c, t.head("GET")+"X-Slow: ")
		for ; err == nil; time.Sleep(slowPause) {
			_, err = c.Write([]byte("a"))
		}
	}},
	{"slow readers", 100, func(c net.Conn, t crowdTarget) {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetReadBuffer(smallReadBuffer)
		}
		var err error
		for answer := make([]byte, 1); err == nil; time.Sleep(slowPause) {
			if _, err = io.WriteString(c, t.head("GET")+"\r\n"); err == nil {
				_, err = c.Read(answer)
			}
		}
	}},
	{"requests sent ahead", 40, func(c net.Conn, t crowdTarget) {
		_, err := io.WriteString(c, strings.Repeat(t.head("GET")+"\r\n", pipelinedRequests))
		for ; err == nil; time.Sleep(slowPause) {
			_, err = io.WriteString(c, t.head("GET")+"\r\n")
		}
	}},
	{"bodies of short fields", 24, func(c net.Conn, t crowdTarget) {
		body := `{"spec":"s","steps":[` + strings.Repeat("{},", fieldBodyBytes/3-10) + "{}]}"
		io.WriteString(c, t.headWithBody(len(body))+body)
		io.Copy(io.Discard, c)
	}},
	{"short header fields", 100, func(c net.Conn, t crowdTarget) {
		io.WriteString(c, t.head("GET"))
		c.Write(shortFields)
		io.WriteString(c, "\r\n")
		io.Copy(io.Discard, c)
	}},
}

// startCrowd lets a crowd of hostile callers connect to a random entry for d, and then checks that the entry serves
// ordinary ones. It returns a description of the crowd.
func (h *hardLoad) startCrowd(ctx context.Context, d time.Duration) string {
	dp := h.deployment
	e := randomElement(h.random, dp.entries)
	shape := randomElement(h.random, crowdShapes)
	target := randomElement(h.random, crowdTargets(e))
	members := shape.maxMembers/3 + h.random.IntN(shape.maxMembers*2/3+1)
	addresses := 1
	if h.random.IntN(2) == 0 {
		addresses = maxCrowdAddresses
	}
	e.faultHistory.add(d)
	h.running.Go(func() {
		crowdCtx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		var crowd sync.WaitGroup
		for i := range members {
			crowd.Go(func() { runMember(crowdCtx, dp.hostIP(4, i%addresses), target, shape) })
		}
		crowd.Wait()
		h.checkServed(ctx, e)
	})
	return fmt.Sprintf("%s: %s to %s, %d members of %d addresses", e.name, shape.name, target.name, members, addresses)
}

// runMember opens up to crowdTries connections from an IP address, one after the other, until ctx ends.
func runMember(ctx context.Context, ip string, t crowdTarget, s crowdShape) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	deadline, _ := ctx.Deadline()
	for range crowdTries {
		if c, err := dialer.DialContext(ctx, "tcp", t.address); err == nil {
			if c.SetDeadline(deadline) == nil {
				s.send(c, t)
			}
			c.Close()
		}
		pause(ctx, crowdRetryPause)
		if ctx.Err() != nil {
			return
		}
	}
}
