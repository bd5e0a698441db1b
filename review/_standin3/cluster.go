// Command review-standin-3 runs the cases of the third review: the project's programs as separate processes, with
// stand-ins for the platform, its workers and its clients.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	frontPort   = 8521
	readyPort   = 8523
	controlPort = 8526
	firstPort   = 7000
	appPort     = 8529
	storePort   = 8524
)

// Names that the configuration of a case uses.
const (
	serviceName = "mesure"
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	queueName   = "r-ce7ejsm"
	tenantName  = "atelier"
	apiKey      = "key-of-atelier"
)

var zones = []string{"qc-sud-montreal", "qc-nord-saguenay", "qc-sud-sherbrooke"}

// bounds are those of the small deployment beaulieu-sur-mesure.
var bounds = map[string]any{
	"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 6,
	"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_stretch_ms": 6000, "strict_revoke": false,
	"revoke_ms": 5000, "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "max_hold_ms": 10000,
	"stop_grace_ms": 900, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
	"status_s": 120, "far_factor": 3, "checkpoint_s": 0.5, "restore_ms": 250, "notice_ms": 5500, "migrate_s": 1.5,
	"maintenance_s": 2, "require_fencing": false, "lease_ms": 3000, "freeze_slack_ms": 300, "pace_ms": 100, "harm_ms": 4000,
	"reclaim_ms": 3400,
}

// Figures of bounds that the checks use.
const (
	contact     = 4 * time.Second
	drainBound  = 2500 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	stopGrace   = 900 * time.Millisecond
	maxHold     = 10 * time.Second
	restartWait = 300 * time.Millisecond
)

// program is the program of the deploy file, relative to the root of the repository.
const program = "target/persimmontrail-node"

// cluster is one deployment: a store, entries, and agents with their workers.
type cluster struct {
	directory string
	network   int
	// rackSize is the number of workers in a rack.
	rackSize int
	// queue holds the settings of the only queue.
	queue   descriptor.Queue
	store   *emulator.Store
	fleet   *emulator.Fleet
	entries []*node
	agents  []*node
	record  *record
	closers []func()
}

// node is one process of the project.
type node struct {
	name, role, ip string
	settings       string
	log            string
	worker         *emulator.Worker
	// beats counts what the agent answered to heartbeats.
	beats *beatLog

	mu      sync.Mutex
	command *exec.Cmd
	closing bool
	ended   chan struct{}
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// at returns the time of t in seconds since the start of the case.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.began).Seconds()) }

func (r *record) line(format string, args ...any) { r.lineAt(time.Now(), format, args...) }

func (r *record) lineAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s %s\n", r.at(t), fmt.Sprintf(format, args...))
}

// newCluster starts the store, the workers and all processes. Each of the workers has the given accelerators.
func newCluster(rec *record, entries, agents int, fleetBounds emulator.Bounds) (*cluster, error) {
	return newClusterOf(rec, entries, agents, fleetBounds, 1, descriptor.Queue{Priority: 1, Stretch: 3, Slack: 1200 * time.Millisecond})
}

// newClusterOf is newCluster with racks of rackSize workers, and with a priority, stretch and slack of the queue.
func newClusterOf(rec *record, entries, agents int, fleetBounds emulator.Bounds, rackSize int, queue descriptor.Queue) (*cluster, error) {
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	queue.Name, queue.Host, queue.Prefix, queue.Service, queue.MaxAttempts = queueName, queueHost, queuePrefix, serviceName, 4
	c := &cluster{directory: directory, record: rec, rackSize: rackSize, queue: queue, store: &emulator.Store{}, fleet: &emulator.Fleet{Bounds: fleetBounds}}
	c.closers = append(c.closers, func() { os.RemoveAll(directory) })
	if err := c.reserveNetwork(); err != nil {
		return c, err
	}
	c.writeConfiguration(1, []string{apiKey})
	for i := range agents {
		if err := c.addAgent(i); err != nil {
			return c, err
		}
	}
	for i := range entries {
		if err := c.addEntry(i); err != nil {
			return c, err
		}
	}
	return c, nil
}

// reserveNetwork finds a loopback network that nobody uses, and serves the store there.
func (c *cluster) reserveNetwork() error {
	for range 60 {
		c.network = 130 + rand.IntN(110)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip(0, 0), storePort))
		if err != nil {
			continue
		}
		c.serve(l, c.store)
		return nil
	}
	return fmt.Errorf("no free loopback network")
}

// ip returns the address of a host: kind 0 is the store, 1 an entry, 2 an agent.
func (c *cluster) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.network, kind, n+1) }

func (c *cluster) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h}
	if w, ok := h.(*emulator.Worker); ok {
		s.ConnState = w.TrackConnection
	}
	go func() { _ = s.Serve(l) }()
	c.closers = append(c.closers, func() { _ = s.Close() })
}

// writeConfiguration writes a version of the operators' configuration with one queue and one tenant.
func (c *cluster) writeConfiguration(version int64, keys []string) {
	value, err := emulator.Configuration(descriptor.Plan{
		Version:  version,
		Queues:   []descriptor.Queue{c.queue},
		Accounts: []descriptor.Account{{Workspace: tenantName, Keys: keys, Guaranteed: 8}},
		Services: map[descriptor.ServiceID]descriptor.Pool{serviceName: {Guarded: true}},
		MaxBody:  262144,
	})
	if err != nil {
		panic(err)
	}
	c.store.Put(emulator.ConfigKey, value)
	c.record.line("operator: version %d acknowledged", version)
}

// settingsOf returns the settings file of a process, in the form of the users' pages.
func (c *cluster) settingsOf(n *node, zone string, listen map[string]string, app string) map[string]any {
	class, memory, descriptors, share := "front", 284, 4100, 0.4
	if n.role == "agent" {
		class, memory, descriptors, share = "side", 152, 4096, 0.24
	}
	s := map[string]any{
		"node_id": n.name, "role": n.role, "machine_class": class, "ip": n.ip, "zone": zone, "region": zone[:strings.LastIndex(zone, "-")],
		"listen": listen, "port_range": []int{firstPort, firstPort + 15}, "seeds": []string{}, "bootstrap": true, "in_tolerance": false,
		"limits":    map[string]any{"cpu_share": share, "cores": 1, "memory_mb": memory, "max_fds": descriptors, "link_mbps": 1000, "disk_mb": 0},
		"discovery": "local", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(), "bounds": bounds, "orders": "call",
		"platform": map[string]any{
			"address": fmt.Sprintf("%s:%d", c.ip(0, 0), storePort), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "retention_s": 20,
			"value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	}
	if app != "" {
		s["app"], s["service"] = app, serviceName
	}
	return s
}

func (c *cluster) addEntry(i int) error {
	zone := zones[i%len(zones)]
	n := &node{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), role: "entry", ip: c.ip(1, i)}
	c.entries = append(c.entries, n)
	return c.launch(n, c.settingsOf(n, zone, map[string]string{
		"front": fmt.Sprintf("%s:%d", n.ip, frontPort), "ready": fmt.Sprintf("%s:%d", n.ip, readyPort), "control": fmt.Sprintf("%s:%d", n.ip, controlPort),
	}, ""))
}

func (c *cluster) addAgent(i int) error {
	zone := zones[i%len(zones)]
	n := &node{name: fmt.Sprintf("side-%s-%d", zone, i/len(zones)+1), role: "agent", ip: c.ip(2, i), beats: &beatLog{}}
	c.agents = append(c.agents, n)
	app := fmt.Sprintf("%s:%d", n.ip, appPort)
	// The heartbeats pass through a forwarder that notes the answers.
	forwarder, err := net.Listen("tcp", n.ip+":0")
	if err != nil {
		return err
	}
	n.beats.target, n.beats.record, n.beats.name = fmt.Sprintf("%s:%d", n.ip, controlPort), c.record, n.name
	c.serve(forwarder, n.beats)
	n.worker = &emulator.Worker{
		VM: n.name, Service: serviceName, FailureDomain: descriptor.FailureDomainID(zone), Rack: descriptor.RackID(fmt.Sprintf("r1-%d", i/c.rackSize)),
		Capacity:         descriptor.Capacity{Cores: 64000, Memory: 131072, Accelerators: 8},
		HeartbeatAddress: forwarder.Addr().String(), ClockRate: 0.99,
	}
	l, err := net.Listen("tcp", app)
	if err != nil {
		return err
	}
	c.fleet.AddWorker(n.worker)
	c.serve(l, n.worker)
	return c.launch(n, c.settingsOf(n, zone, map[string]string{"control": fmt.Sprintf("%s:%d", n.ip, controlPort)}, app))
}

func (c *cluster) launch(n *node, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	n.settings, n.log = filepath.Join(c.directory, n.name+".json"), filepath.Join(c.directory, n.name+".log")
	if err := os.WriteFile(n.settings, data, 0o644); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	started := make(chan error, 1)
	go n.run(c.record, started)
	c.closers = append(c.closers, n.close)
	return <-started
}

// run keeps the process running, as the platform does, until close is called.
func (n *node) run(rec *record, started chan error) {
	defer close(n.ended)
	for first := true; ; first = false {
		out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			if first {
				started <- err
			}
			return
		}
		cmd := exec.Command(program, n.role)
		cmd.Env = []string{"PERSIMMONTRAIL_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		n.mu.Lock()
		if n.closing {
			n.mu.Unlock()
			out.Close()
			return
		}
		err = cmd.Start()
		n.command = cmd
		n.mu.Unlock()
		out.Close()
		if first {
			started <- err
		}
		if err != nil {
			return
		}
		rec.line("process %s started", n.name)
		err = cmd.Wait()
		n.mu.Lock()
		closing := n.closing
		n.mu.Unlock()
		if closing {
			return
		}
		rec.line("process %s ended: %v", n.name, err)
		time.Sleep(restartWait)
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Signal(s)
	}
}

func (n *node) close() {
	n.mu.Lock()
	n.closing = true
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// close ends everything that was started, in reverse order.
func (c *cluster) close() {
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range append(append([]*node{}, c.entries...), c.agents...) {
			if data, err := os.ReadFile(n.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o644)
			}
		}
	}
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
}

// run lets the workers work and send heartbeats until ctx is done.
func (c *cluster) run(ctx context.Context) {
	for _, n := range c.agents {
		go n.worker.SendHeartbeats(ctx)
	}
	go func() {
		t := time.NewTicker(10 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				c.fleet.Advance()
			}
		}
	}()
}

// awaitReady waits until all entries are ready.
func (c *cluster) awaitReady(ctx context.Context) error {
	for _, e := range c.entries {
		for {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("entry %s is not ready: %w", e.name, err)
			}
			response, err := http.Get(fmt.Sprintf("http://%s:%d/v1/ready", e.ip, readyPort))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.record.line("all entries are ready")
	return nil
}

// call makes one call of a client at an entry and returns the status, 0 without an answer, and the body.
func (c *cluster) call(e *node, method, id string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", e.ip, frontPort, queuePrefix, id), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = queueHost
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		c.record.line("client: %s %s at %s: no answer: %v", method, id, e.name, err)
		return 0, nil
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	c.record.line("client: %s %s at %s: %d %s", method, id, e.name, response.StatusCode, bytes.TrimSpace(data))
	return response.StatusCode, data
}

// newID returns a job id as clients choose them.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newJob returns a job of one step.
func newJob(id string, count int, size descriptor.Capacity, runTime time.Duration) *emulator.Job {
	return &emulator.Job{
		Workload: descriptor.Workload{ID: descriptor.JobID(id), Spec: "spec of " + id, MaxAttempts: 4, Steps: []descriptor.Step{{Count: count, Size: size, RunTime: runTime}}},
		RunTimes: []time.Duration{runTime},
	}
}

// submit hands a job in at an entry and reports whether it was accepted.
func (c *cluster) submit(e *node, j *emulator.Job) bool {
	c.fleet.AddJob(j)
	body, err := emulator.Submission(&j.Workload)
	if err != nil {
		panic(err)
	}
	status, _ := c.call(e, http.MethodPost, string(j.ID), body)
	return status == http.StatusOK
}

// beatLog forwards the heartbeats of a worker to its agent and notes when a draining one was acknowledged.
type beatLog struct {
	name, target string
	record       *record
	// drainUntil is the time until which the worker serves at least; zero unless it drains.
	drainUntil time.Time
	// label replaces the kind among the labels of the worker, if it is set before the first heartbeat.
	label string

	mu       sync.Mutex
	drainAck time.Time
	// last is the body of the last heartbeat.
	last []byte
}

func (b *beatLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.label != "" && strings.Contains(r.URL.Path, "Heartbeat") {
		body = relabelled(body, b.label)
	}
	b.mu.Lock()
	until := b.drainUntil
	b.mu.Unlock()
	if !until.IsZero() {
		m := decodeBeat(body)
		m["state"], m["drain_remaining_ms"] = "draining", max(0, time.Until(until).Milliseconds())
		if data, err := json.Marshal(m); err == nil {
			body = data
		}
	}
	status, answer := b.post(r.URL.Path, body)
	var s struct {
		State string `json:"state"`
		Seq   int64  `json:"seq"`
	}
	_ = json.Unmarshal(body, &s)
	b.mu.Lock()
	if strings.Contains(r.URL.Path, "Heartbeat") {
		b.last = body
		if status == http.StatusOK && s.State == "draining" && b.drainAck.IsZero() {
			b.drainAck = time.Now()
		}
	}
	b.mu.Unlock()
	if s.State != "ready" {
		b.record.line("worker beside %s: %s seq %d state %q: %d", b.name, r.URL.Path, s.Seq, s.State, status)
	}
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// takeAway lets the worker beside a node drain and leave for good.
func (c *cluster) takeAway(ctx context.Context, n *node) {
	n.beats.mu.Lock()
	n.beats.drainUntil = time.Now().Add(heartbeat + drainBound)
	n.beats.mu.Unlock()
	for n.beats.drainAckedAt().IsZero() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Until(n.beats.drainAckedAt().Add(drainBound + 500*time.Millisecond)))
	status, _ := n.beats.post("/v1/Instances.Leave/i-"+n.name, nil)
	c.record.line("worker beside %s: leaves: %d", n.name, status)
	n.worker.Crash(time.Hour)
}

// relabelled returns a heartbeat with another kind among its labels.
func relabelled(body []byte, label string) []byte {
	m := decodeBeat(body)
	labels, _ := m["labels"].([]any)
	if len(labels) == 0 {
		return body
	}
	labels[0] = label
	data, err := json.Marshal(m)
	if err != nil {
		return body
	}
	return data
}

// decodeBeat returns the fields of a heartbeat.
func decodeBeat(body []byte) map[string]any {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	m := map[string]any{}
	_ = d.Decode(&m)
	return m
}

// post sends one call to the agent.
func (b *beatLog) post(path string, body []byte) (int, []byte) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+b.target+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, answer
}

// drainAckedAt returns when the agent acknowledged the first draining heartbeat, zero if it did not.
func (b *beatLog) drainAckedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drainAck
}

// lastBeat returns the fields of the last heartbeat.
func (b *beatLog) lastBeat() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return decodeBeat(b.last)
}
