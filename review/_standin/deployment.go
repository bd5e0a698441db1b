package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"persimmontrail/internal/archiver"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

// Ports of the processes; each process has its own loopback address.
const (
	callerPort    = 8521
	readyPort     = 8523
	heartbeatPort = 8526
	peerPort      = 7000
	workerPort    = 8529
	storePort     = 8524
)

const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	apiKey      = "d4a3hwrr6x73d3zji9n7"
	service     = descriptor.ServiceID("huvo11a")
)

// siteBounds are the bounds of the site beaulieu-sur-mesure.
var siteBounds = emulator.Bounds{
	MaxHold: 10 * time.Second, StopGrace: 900 * time.Millisecond, GangTimeout: 3 * time.Second, CheckpointEvery: 500 * time.Millisecond,
	Restore: 250 * time.Millisecond, Heartbeat: 1500 * time.Millisecond, DrainTime: 2500 * time.Millisecond,
}

// record writes the lines of record.txt, each with the seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// node is one of the project's own processes.
type node struct {
	name, role, ip, settings, log string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (n *node) start() error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/persimmontrail-node", n.role)
	cmd.Env = []string{"PERSIMMONTRAIL_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	go func() { _ = cmd.Wait() }()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// workerHost is a worker with its agent.
type workerHost struct {
	agent  *node
	worker *emulator.Worker
	// serve replaces the worker's handler if it is set.
	serve http.Handler
	// heartbeat replaces the handler between the worker and its agent if it is set.
	heartbeat http.Handler
}

type deployment struct {
	rec     *record
	dir     string
	network int
	bounds  emulator.Bounds
	store   *emulator.Store
	fleet   *emulator.Fleet
	entries []*node
	hosts   []*workerHost
	closers []func()
	trouble bool
	// maxAttempts is that of the queue.
	maxAttempts int
	client      *http.Client
	seen        seenEnds
}

// seenEnds holds the ends that workers have listed and the acknowledgements that they have received.
type seenEnds struct {
	mu           sync.Mutex
	ends         map[endKey]end
	acknowledged map[string]float64
}

type endKey struct {
	worker, task string
	run          float64
}

type end struct {
	seq      float64
	how      string
	listedAt time.Time
}

// note records the ends in the answer to a hold, whether the answer is sent or not, and its acknowledgement.
func (s *seenEnds) note(worker string, seenUpto float64, ended [][]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends == nil {
		s.ends, s.acknowledged = map[endKey]end{}, map[string]float64{}
	}
	s.acknowledged[worker] = max(s.acknowledged[worker], seenUpto)
	for _, row := range ended {
		k := endKey{worker, row[1].(string), row[2].(float64)}
		if _, ok := s.ends[k]; !ok {
			s.ends[k] = end{row[0].(float64), row[3].(string), time.Now()}
		}
	}
}

func newDeployment(rec *record, trouble bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		rec: rec, dir: dir, bounds: siteBounds, store: &emulator.Store{}, trouble: trouble, maxAttempts: 4,
		client: &http.Client{Timeout: 4 * time.Second},
	}
	if os.Getenv("KEEP_LOGS") == "" {
		d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Println("logs:", dir)
	}
	offset := rand.IntN(100)
	for i := range 100 {
		d.network = 16 + (offset+i)%100
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", d.network, storePort))
		if err == nil {
			d.serveOn(l, d.store)
			return d, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func (d *deployment) serveOn(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	d.closers = append(d.closers, func() { _ = s.Close() })
}

func (d *deployment) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}

func (d *deployment) storeAddress() string { return fmt.Sprintf("127.%d.0.1:%d", d.network, storePort) }

// putConfiguration writes the operators' configuration with one queue, of the given name, and one workspace.
func (d *deployment) putConfiguration(version int64, queue descriptor.QueueID) error {
	data, err := emulator.Configuration(descriptor.Plan{
		Version: version, MaxBody: 262144,
		Queues: []descriptor.Queue{{
			Name: queue, Host: queueHost, Prefix: queuePrefix, Service: service, Priority: 1, MaxAttempts: d.maxAttempts, Stretch: 3, Slack: 1200 * time.Millisecond,
		}},
		Accounts: []descriptor.Account{{Workspace: "kaje80", Keys: []string{apiKey}, Guaranteed: 8}},
		Services: map[descriptor.ServiceID]descriptor.Pool{service: {Guarded: true}},
	})
	if err != nil {
		return err
	}
	d.store.Put(emulator.ConfigKey, data)
	return nil
}

// startAll starts the workers, agents and entries and waits until an entry leads and all agents are announced.
// prepare may change a worker host before its server starts.
func (d *deployment) startAll(entries, workers int, prepare func(i int, h *workerHost)) error {
	d.fleet = &emulator.Fleet{Bounds: d.bounds}
	if err := d.putConfiguration(7, "r-ce7ejsm"); err != nil {
		return err
	}
	for i := range workers {
		if err := d.addWorker(i, prepare); err != nil {
			return err
		}
	}
	for i := range entries {
		ip := fmt.Sprintf("127.%d.1.%d", d.network, i+1)
		n, err := d.addNode(fmt.Sprintf("front-%d", i+1), "entry", ip, i, "")
		if err != nil {
			return err
		}
		d.entries = append(d.entries, n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.closers = append(d.closers, cancel)
	for _, h := range d.hosts {
		go h.worker.SendHeartbeats(ctx)
	}
	go func() {
		for ctx.Err() == nil {
			d.fleet.Advance()
			time.Sleep(10 * time.Millisecond)
		}
	}()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		ready := d.leader() != nil
		for _, e := range d.entries {
			r, err := d.client.Get(fmt.Sprintf("http://%s:%d/v1/ready", e.ip, readyPort))
			if err != nil || r.StatusCode != http.StatusOK {
				ready = false
			}
			if err == nil {
				r.Body.Close()
			}
		}
		if ready {
			// A heartbeat from each worker, and the first reports to the leader.
			time.Sleep(d.bounds.Heartbeat + 1500*time.Millisecond)
			d.rec.printf("deployment of %d entries and %d workers is ready; leader %s", entries, workers, d.leader().name)
			return nil
		}
	}
	return errors.New("deployment did not become ready")
}

func zoneOf(i int) descriptor.FailureDomainID {
	return []descriptor.FailureDomainID{"qc-sud-montreal", "qc-nord-saguenay", "qc-sud-sherbrooke"}[i%3]
}

func (d *deployment) addWorker(i int, prepare func(int, *workerHost)) error {
	ip := fmt.Sprintf("127.%d.2.%d", d.network, i+1)
	name := fmt.Sprintf("side-%d", i+1)
	h := &workerHost{}
	h.worker = &emulator.Worker{
		VM: name, Service: service, FailureDomain: zoneOf(i), Rack: descriptor.RackID(fmt.Sprintf("r1-%d", i/3)),
		Capacity:         descriptor.Capacity{Cores: 64000, Memory: 131072, Accelerators: 8},
		HeartbeatAddress: fmt.Sprintf("%s:%d", ip, heartbeatPort), ClockRate: 1,
	}
	if prepare != nil {
		prepare(i, h)
	}
	if h.heartbeat != nil {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		h.worker.HeartbeatAddress = l.Addr().String()
		d.serveOn(l, h.heartbeat)
	}
	handler := h.serve
	if handler == nil {
		handler = h.worker
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, workerPort))
	if err != nil {
		return err
	}
	d.fleet.AddWorker(h.worker)
	d.serveOn(l, d.logged(name, handler))
	h.agent, err = d.addNode(name, "agent", ip, i, fmt.Sprintf("%s:%d", ip, workerPort))
	d.hosts = append(d.hosts, h)
	return err
}

func (d *deployment) addNode(name, role, ip string, i int, workerAddress string) (*node, error) {
	data, err := emulator.Settings{
		Node: name, FailureDomain: zoneOf(i), Region: "qc-sud", IP: ip, CallerPort: callerPort, ReadyPort: readyPort, HeartbeatPort: heartbeatPort,
		FirstPort: peerPort, WorkerAddress: workerAddress, StoreAddress: d.storeAddress(), Bounds: d.bounds,
	}.JSON()
	if err != nil {
		return nil, err
	}
	n := &node{name: name, role: role, ip: ip, settings: filepath.Join(d.dir, name+".json"), log: filepath.Join(d.dir, name+".log")}
	if err := os.WriteFile(n.settings, data, 0o644); err != nil {
		return nil, err
	}
	d.closers = append(d.closers, func() { n.signal(syscall.SIGKILL) })
	return n, n.start()
}

// leader returns the entry that holds the leader key, or nil.
func (d *deployment) leader() *node {
	r, err := d.client.Get("http://" + d.storeAddress() + "/v1/kv-key?key=" + archiver.LeaderKey)
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	var item struct {
		Value string `json:"value"`
	}
	if r.StatusCode != http.StatusOK || json.NewDecoder(r.Body).Decode(&item) != nil {
		return nil
	}
	value, err := base64.StdEncoding.DecodeString(item.Value)
	var m archiver.Member
	if err != nil || archiver.Decode(value, &m) != nil {
		return nil
	}
	for _, e := range d.entries {
		if e.name == m.Node {
			return e
		}
	}
	return nil
}

// call sends a client's call to an entry and returns the status, 0 without an answer, and the body.
func (d *deployment) call(e *node, method, id, body string) (int, string) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", e.ip, callerPort, queuePrefix, id), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("X-Deadline-Ms", "3000")
	response, err := d.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(bytes.TrimSpace(data))
}

// submit hands a job in, trying all entries until one accepts it.
func (d *deployment) submit(id, body string) error {
	for range 20 {
		for _, e := range d.entries {
			status, answer := d.call(e, http.MethodPost, id, body)
			d.rec.printf("client POST %s%s (%d bytes) at %s -> %d %.80s", queuePrefix, id, len(body), e.name, status, answer)
			if status == http.StatusOK {
				return nil
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return errors.New("job was not accepted")
}

// state asks the entries for the state of a job; it is empty if none answers with 200.
func (d *deployment) state(id string) string {
	for _, e := range d.entries {
		if status, answer := d.call(e, http.MethodGet, id, ""); status == http.StatusOK {
			if s, err := emulator.DecodeState([]byte(answer)); err == nil {
				return s
			}
		}
	}
	return ""
}

// awaitEnd asks for the state of a job until it is done, failed or cancelled, or timeout has passed. It returns the last
// state.
func (d *deployment) awaitEnd(id string, timeout time.Duration) string {
	last := ""
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		if s := d.state(id); s != "" && s != last {
			last = s
			d.rec.printf("client GET %s%s -> state %s", queuePrefix, id, s)
		}
		if last == "done" || last == "failed" || last == "cancelled" {
			break
		}
	}
	return last
}

// recordStarts writes the starts that the workers have made.
func (d *deployment) recordStarts(limit int) {
	starts := d.fleet.Starts()
	d.rec.printf("starts made by the workers: %d", len(starts))
	for i, s := range starts {
		if i == limit {
			d.rec.printf("  ... %d more", len(starts)-limit)
			break
		}
		d.rec.printf("  at %.3f s %s run %d on %s", s.At.Sub(d.rec.start).Seconds(), s.Attempt.Task, s.Attempt.Attempt, s.VM)
	}
}

// logged records the calls to a worker and its answers; of the holds, only those that acknowledge or list ends.
func (d *deployment) logged(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := httptest.NewRecorder()
		var o struct {
			Task     string `json:"task"`
			Run      int    `json:"run_id"`
			Fence    int64  `json:"fence"`
			SeenUpto int64  `json:"seen_upto"`
		}
		_ = json.Unmarshal(body, &o)
		h.ServeHTTP(answer, r)
		var lists struct {
			Reason  string  `json:"reason"`
			Running [][]any `json:"running"`
			Ended   [][]any `json:"ended"`
		}
		_ = json.Unmarshal(answer.Body.Bytes(), &lists)
		if r.URL.Path == "/v1/hold" {
			d.seen.note(name, float64(o.SeenUpto), lists.Ended)
		}
		if answer.Header().Get(lostHeader) != "" {
			d.rec.printf("%s %s %s run %d fence %d -> no answer", name, r.URL.Path, o.Task, o.Run, o.Fence)
			<-r.Context().Done()
			return
		}
		switch {
		case r.URL.Path != "/v1/hold":
			d.rec.printf("%s %s %s run %d fence %d -> %d %s", name, r.URL.Path, o.Task, o.Run, o.Fence, answer.Code, lists.Reason)
		case len(lists.Ended) > 0:
			first, last := lists.Ended[0], lists.Ended[len(lists.Ended)-1]
			d.rec.printf("%s hold fence %d seen_upto %d -> %d running, %d ended: %v to %v", name, o.Fence, o.SeenUpto, len(lists.Running), len(lists.Ended), first, last)
		}
		for k, v := range answer.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}

// lostHeader marks an answer that must not be sent.
const lostHeader = "X-Stand-In-Lost"
