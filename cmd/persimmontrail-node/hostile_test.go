package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

// The limits of the process under test and the crowds. They are fixed; a process that exceeds a limit is ended by the
// platform.
const (
	memoryMB = 96
	maxFDs   = 400
	// crowdSize is the number of connections of most crowds, decodeCrowdSize that of crowds whose requests are complete.
	crowdSize       = 450
	decodeCrowdSize = 120
	maxBody         = 256 << 10
	// internalBody is the size of bodies to ports that are not meant for callers, where up to 4 MiB are legal.
	internalBody = 1 << 20
	// attackTime is how long a crowd acts before the checks.
	attackTime = 3 * time.Second
)

// target is a path of a server under attack.
type target struct {
	name, role, port, path string
	// cbor is true if the server decodes CBOR.
	cbor bool
}

var targets = []target{
	{"route", "entry", "8521", "/jobs/0123456789abcdef", false},
	{"no-route", "entry", "8521", "/none/0123456789abcdef", false},
	{"ready-of-callers", "entry", "8521", "/v1/ready", false},
	{"ready", "entry", "8523", "/v1/ready", false},
	{"peer-call", "entry", "7700", "/call", true},
	{"peer-document", "entry", "7700", "/note", true},
	{"metrics", "entry", "9464", "/metrics", false},
	{"sync", "agent", "7700", "/sync", true},
	{"heartbeat", "agent", "8526", "/v1/Instances.Heartbeat/w1", false},
	{"leave", "agent", "8526", "/v1/Instances.Leave/w1", false},
}

func (g target) bodySize() int {
	if g.port == "8521" {
		return maxBody
	}
	return internalBody
}

func (g target) request(method, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: q.example\r\nAuthorization: Bearer key\r\n%s\r\n", method, g.path, fields)
}

// dense returns a complete body of legal size whose decoded form is far larger.
func (g target) dense() string {
	switch {
	case g.port == "8526":
		return `{"labels":[` + strings.Repeat(`"",`, internalBody/3-10) + `""]}`
	case g.path == "/sync":
		// A SyncRequest whose Specs hold 131,000 empty strings.
		return "\x8a\x01\x00\x00\x80\x00\x00\x9a\x00\x01\xff\xb8" + strings.Repeat("\x60", 0x1ffb8) + "\x80\x80"
	case g.cbor:
		// A Call with a workload of 131,000 empty steps.
		return "\xa1\x68Workload\xa1\x65Steps\x9a\x00\x01\xff\xb8" + strings.Repeat("\xa0", 0x1ffb8)
	}
	return `{"steps":[` + strings.Repeat("{},", maxBody/3-10) + `{}]}`
}

// shape is the behaviour of each client of a crowd. attack sends on c until done is closed or the server ends the
// connection; the connection stays open after it.
type shape struct {
	name   string
	crowd  int
	attack func(g target, c net.Conn, done <-chan struct{})
}

var shapes = []shape{
	{"StopShortOfEnd", crowdSize, func(g target, c net.Conn, _ <-chan struct{}) {
		send(c, withLength(g, g.bodySize())+strings.Repeat(" ", g.bodySize()-1))
	}},
	{"StopShortOfEndInPieces", crowdSize, func(g target, c net.Conn, done <-chan struct{}) {
		send(c, withLength(g, g.bodySize()))
		sendPieces(c, strings.Repeat(" ", g.bodySize()-1), 2048, time.Millisecond, done)
	}},
	{"Chunked", crowdSize, func(g target, c net.Conn, done <-chan struct{}) {
		send(c, g.request("POST", "Transfer-Encoding: chunked\r\n"))
		chunk := "400\r\n" + strings.Repeat(" ", 1024) + "\r\n"
		sendPieces(c, strings.Repeat(chunk, g.bodySize()/1024-1), len(chunk), 0, done)
	}},
	{"FarOverTheLimit", crowdSize, func(g target, c net.Conn, done <-chan struct{}) {
		send(c, withLength(g, 1<<30))
		sendPieces(c, strings.Repeat(" ", 6<<20), 64<<10, 0, done)
	}},
	{"ChunkedFarOverTheLimit", crowdSize, func(g target, c net.Conn, done <-chan struct{}) {
		send(c, g.request("POST", "Transfer-Encoding: chunked\r\n"))
		sendPieces(c, "600000\r\n"+strings.Repeat(" ", 6<<20), 64<<10, 0, done)
	}},
	{"ManyShortFields", decodeCrowdSize, func(g target, c net.Conn, done <-chan struct{}) {
		body := g.dense()
		for range 3 {
			send(c, withLength(g, len(body))+body)
		}
	}},
	{"ManyShortHeaders", crowdSize, func(g target, c net.Conn, _ <-chan struct{}) {
		send(c, strings.TrimSuffix(g.request("GET", shortHeaders()), "\r\n"))
	}},
	{"ManyShortHeadersSentAhead", crowdSize, func(g target, c net.Conn, _ <-chan struct{}) {
		send(c, g.request("GET", "")+strings.TrimSuffix(g.request("GET", shortHeaders()), "\r\n"))
	}},
	{"RequestsSentAhead", crowdSize, func(g target, c net.Conn, done <-chan struct{}) {
		requests := strings.Repeat(g.request("GET", ""), 500)
		for range 4 {
			send(c, requests)
		}
	}},
	{"SlowSenders", crowdSize, func(g target, c net.Conn, done <-chan struct{}) {
		sendPieces(c, withLength(g, maxBody)+strings.Repeat(" ", maxBody), 16, 100*time.Millisecond, done)
	}},
	{"SlowReaders", crowdSize, func(g target, c net.Conn, done <-chan struct{}) {
		send(c, strings.Repeat(g.request("GET", ""), 200))
		for b := make([]byte, 1); !isClosed(done); time.Sleep(100 * time.Millisecond) {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}},
	{"StopInHeader", crowdSize, func(g target, c net.Conn, _ <-chan struct{}) {
		send(c, strings.TrimSuffix(g.request("POST", ""), "\r\n\r\n"))
	}},
	{"SendNothing", crowdSize, func(target, net.Conn, <-chan struct{}) {}},
}

func withLength(g target, n int) string {
	return g.request("POST", fmt.Sprintf("Content-Length: %d\r\n", n))
}

// shortHeaders returns 900 KiB of header fields with distinct names.
var shortHeaders = sync.OnceValue(func() string {
	var b strings.Builder
	for i := 0; b.Len() < 900<<10; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\n")
	}
	return b.String()
})

func send(c net.Conn, data string) bool {
	// The server may not read or may have closed the connection, both of which are allowed.
	_ = c.SetWriteDeadline(time.Now().Add(attackTime / 2))
	_, err := io.WriteString(c, data)
	return err == nil
}

func sendPieces(c net.Conn, data string, size int, pause time.Duration, done <-chan struct{}) {
	for ; len(data) > 0 && !isClosed(done); time.Sleep(pause) {
		n := min(size, len(data))
		if !send(c, data[:n]) {
			return
		}
		data = data[n:]
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestHostileClients guards against a process that clients can run out of memory or descriptors: it must stay alive
// and within its limits, and answer an ordinary request while the crowd is still connected.
func TestHostileClients(t *testing.T) {
	program := filepath.Join(t.TempDir(), "node")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			for _, g := range targets {
				t.Run(g.name, func(t *testing.T) { attackOnce(t, program, s, g) })
			}
		})
	}
}

// TestLargestLegalRequests guards against limits that refuse a single request inside the limits of the platform's pages:
// the longest body of a submission with the most steps, and the longest heartbeat.
func TestLargestLegalRequests(t *testing.T) {
	program := filepath.Join(t.TempDir(), "node")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	pad := func(body string, size int) string { return body + strings.Repeat(" ", size-len(body)) }
	t.Run("entry", func(t *testing.T) {
		n := startNode(t, program, "entry")
		steps := strings.Repeat(`{"count":1,"cpu":500,"after":[]},`, descriptor.MaxWorkloadTasks-1) + `{"count":1}`
		body := `{"spec":"` + strings.Repeat("x,[", 1333) + `","steps":[` + steps + `]}`
		assert.NilError(t, n.call("POST", "8521", "/jobs/00000000000000aa", pad(body, maxBody)))
		assert.ErrorContains(t, n.call("POST", "8521", "/jobs/00000000000000ab", body+strings.Repeat(" ", maxBody)), "413")
		assert.ErrorContains(t, n.call("POST", "8521", "/jobs/00000000000000ac", `{"steps":[`+strings.Repeat("null,", 4096)+`{}]}`), "400")
	})
	t.Run("agent", func(t *testing.T) {
		n := startNode(t, program, "agent")
		row := `["0123456789abcdef.0.0.1",1,"",50,0],`
		body := `{"service":"s","state":"ready","born":1,"seq":2,"running":[` + strings.Repeat(row, 100_000) + `["0123456789abcdef.0.0.1",1,"",50,0]]}`
		assert.NilError(t, n.call("POST", "8526", "/v1/Instances.Heartbeat/w1", pad(body, 4<<20)))
	})
}

// attackOnce starts a process, attacks it with one crowd and checks it.
func attackOnce(t *testing.T, program string, s shape, g target) {
	n := startNode(t, program, g.role)
	done := make(chan struct{})
	var crowd sync.WaitGroup
	defer crowd.Wait()
	defer close(done)
	var attacks sync.WaitGroup
	for range s.crowd {
		attacks.Add(1)
		crowd.Go(func() {
			if c, err := net.DialTimeout("tcp", n.ip+":"+g.port, attackTime); err == nil {
				defer c.Close()
				s.attack(g, c, done)
			}
			attacks.Done()
			<-done
		})
	}
	ended := make(chan struct{})
	go func() { defer close(ended); attacks.Wait() }()
	descriptors := 0
	for deadline := time.Now().Add(attackTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		descriptors = max(descriptors, n.descriptors())
		if isClosed(ended) {
			break
		}
	}
	descriptors = max(descriptors, n.descriptors())
	peak := n.peakMB()
	n.checkOrdinaryRequests(t)
	peak, descriptors = max(peak, n.peakMB()), max(descriptors, n.descriptors())
	t.Logf("peak memory %d MB, descriptors %d", peak, descriptors)
	assert.Check(t, peak <= memoryMB, "peak memory %d MB, limit %d", peak, memoryMB)
	assert.Check(t, descriptors <= maxFDs, "%d descriptors, limit %d", descriptors, maxFDs)
	assert.Check(t, !isClosed(n.exited), "process ended by itself")
}

// node is a process under test.
type node struct {
	ip, role string
	pid      int
	exited   chan struct{}
}

// startNode starts a store and a process and waits until the process is ready.
func startNode(t *testing.T, program, role string) *node {
	t.Helper()
	store := &emulator.Store{}
	configuration, err := emulator.Configuration(descriptor.Plan{
		Version: 1, MaxBody: maxBody, Queues: []descriptor.Queue{{Name: "q", Host: "q.example", Prefix: "/jobs/", Service: "s", MaxAttempts: 1}},
		Accounts: []descriptor.Account{{Workspace: "w", Keys: []string{"key"}}}, Services: map[descriptor.ServiceID]descriptor.Pool{"s": {}},
	})
	assert.NilError(t, err)
	store.Put(emulator.ConfigKey, configuration)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	n := &node{ip: fmt.Sprintf("127.%d.%d.%d", 200+os.Getpid()%50, os.Getpid()/50%250, 1), role: role, exited: make(chan struct{})}
	settings, err := emulator.Settings{
		Node: "n1", FailureDomain: "north", Region: "all", IP: n.ip, CallerPort: 8521, ReadyPort: 8523, HeartbeatPort: 8526, FirstPort: 7700,
		WorkerAddress: "127.0.0.1:1", StoreAddress: strings.TrimPrefix(server.URL, "http://"), MemoryMB: memoryMB, MaxDescriptors: maxFDs,
		Bounds: emulator.Bounds{MaxHold: 5 * time.Second, StopGrace: 200 * time.Millisecond, CheckpointEvery: time.Second},
	}.JSON()
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "node.json")
	assert.NilError(t, os.WriteFile(file, settings, 0o600))
	var output bytes.Buffer
	cmd := exec.Command(program, role)
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), "PERSIMMONTRAIL_SETTINGS="+file), &output, &output
	assert.NilError(t, cmd.Start())
	n.pid = cmd.Process.Pid
	go func() { defer close(n.exited); _ = cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-n.exited
		if t.Failed() {
			lines := strings.Split(output.String(), "\n")
			t.Logf("last lines of the process:\n%s", strings.Join(lines[max(0, len(lines)-20):], "\n"))
		}
	})
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if n.ordinaryRequest() == nil {
			return n
		}
		assert.Assert(t, time.Now().Before(deadline), "process not ready")
	}
}

func (n *node) checkOrdinaryRequests(t *testing.T) {
	t.Helper()
	var err error
	// A client repeats a request that was refused or whose connection broke.
	for range 5 {
		if err = n.ordinaryRequest(); err == nil {
			return
		}
		t.Logf("ordinary request refused: %v", err)
		time.Sleep(time.Second)
	}
	t.Errorf("no answer to an ordinary request: %v", err)
}

// ordinaryRequest sends one request of each kind that the process serves, on new connections.
func (n *node) ordinaryRequest() error {
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	requests := []struct{ method, port, path, body string }{
		{"GET", "8523", "/v1/ready", ""},
		{"POST", "8521", "/jobs/" + id, `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_runtime_ms":900}]}`},
		{"GET", "8521", "/jobs/" + id, ""},
		{"GET", "9464", "/healthz", ""},
	}
	if n.role == "agent" {
		requests[0] = struct{ method, port, path, body string }{"POST", "8526", "/v1/Instances.Heartbeat/w1", `{"service":"s","state":"ready","born":1,"seq":1}`}
		requests = []struct{ method, port, path, body string }{requests[0], requests[3]}
	}
	for _, r := range requests {
		if err := n.call(r.method, r.port, r.path, r.body); err != nil {
			return fmt.Errorf("%s %s: %w", r.method, r.path, err)
		}
	}
	return nil
}

func (n *node) call(method, port, path, body string) error {
	request, err := http.NewRequest(method, "http://"+n.ip+":"+port+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = "q.example"
	request.Header.Set("Authorization", "Bearer key")
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	if err == nil && method == "GET" && port == "8521" && !json.Valid(answer) {
		err = fmt.Errorf("answer %q", answer)
	}
	return err
}

// peakMB returns the largest resident memory of the process so far, 0 if it has ended.
func (n *node) peakMB() int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid))
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes := 0
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes / 1000
}

func (n *node) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid))
	return len(entries)
}
