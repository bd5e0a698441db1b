package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"persimmontrail/platform/emulator"
)

// program is the program that the deploy file's build line makes.
const program = "target/persimmontrail-node"

var zones = []string{"qc-sud-montreal", "qc-nord-saguenay", "qc-sud-sherbrooke"}

// regions maps zones to regions.
var regions = map[string]string{"qc-sud-montreal": "qc-sud", "qc-nord-saguenay": "qc-nord", "qc-sud-sherbrooke": "qc-sud"}

// deployment is a small deployment: entries on front machines, agents with a worker on side machines, and the store.
type deployment struct {
	rec     *recorder
	dir     string
	network int
	store   *emulator.Store
	// storeHook sees the calls of entry number i to the store. It returns true if it has taken the call over.
	storeHook func(i int, w http.ResponseWriter, r *http.Request, body []byte) bool
	hookMu    sync.Mutex
	// renewals counts the lease renewals that the store got from each entry, by which the store sees who leads.
	renewals []int

	history *history
	entries []*process
	agents  []*process
	workers []*worker
	servers []*http.Server
	// workerLinks, if wanted, lie between the agents and the workers on their machines.
	withWorkerLinks bool
	// statusS is the bound status_s; 0 stands for the site's 120.
	statusS     int
	workerLinks []*link
	closeMu     sync.Mutex
	closed      bool
}

// process is one process of the system.
type process struct {
	name, role, settings, announce, log string
	ip                                  string
	mu                                  sync.Mutex
	cmd                                 *exec.Cmd
	done                                chan struct{}
}

func (p *process) start() {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	defer out.Close()
	cmd := exec.Command(program, p.role)
	cmd.Env = []string{"PERSIMMONTRAIL_SETTINGS=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if p.announce != "" {
		cmd.Env = append(cmd.Env, "PERSIMMONTRAIL_ANNOUNCE="+p.announce)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		panic(cannotRun(err.Error()))
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// ip returns the address of machine n of a kind: 0 the store, 1 front, 2 side.
func (d *deployment) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", d.network, kind, n+1) }

// tenant is a tenant of the configuration, with the key "key-NAME".
type tenant struct {
	name       string
	guaranteed int
}

// launch starts the store, the entries and the agents with their workers. racks holds the rack of each worker, and
// agentAnnounce, if not nil, the address under which agent i is reached.
func (d *deployment) launch(entryCount int, racks []string, tenants []tenant, agentAnnounce func(i int, address string) string) {
	var err error
	if d.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		panic(cannotRun(err.Error()))
	}
	d.history = &history{runTimes: map[string]time.Duration{}, gpus: map[string]int{}}
	d.store = &emulator.Store{}
	d.renewals = make([]int, entryCount)
	if _, err := os.Stat(program); err != nil {
		panic(cannotRun("build the deploy file first: " + err.Error()))
	}
	var first net.Listener
	for range 60 {
		d.network = 130 + rand.IntN(90)
		if first, err = net.Listen("tcp", d.ip(0, 0)+":8524"); err == nil {
			break
		}
	}
	if first == nil {
		panic(cannotRun("no free loopback network"))
	}
	d.serve(first, d.storeHandler(-1))
	var routes []map[string]any
	for p := range 3 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", p), "host": "nony24.example", "prefix": fmt.Sprintf("/queue%d/", p), "kind": "non_idempotent",
			"timeout_ms": 3000, "slo_ms": 400, "priority": p, "service": "mesure", "max_attempts": 4, "stretch": 1.5, "public": false,
		})
	}
	var listed []map[string]any
	for _, t := range tenants {
		listed = append(listed, map[string]any{"name": t.name, "api_keys": []string{"key-" + t.name}, "guaranteed": map[string]int{"gpu": t.guaranteed}})
	}
	config, _ := json.Marshal(map[string]any{
		"version": 1, "routes": routes, "services": []map[string]any{{"name": "mesure", "max_conns": 64, "rejects_overload": true, "spare": false}},
		"limits": map[string]int{"max_body_bytes": 262144}, "tenants": listed,
	})
	d.store.Put("op/config", config)
	for i := range entryCount {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:8524", d.ip(0, i+1)))
		if err != nil {
			panic(cannotRun(err.Error()))
		}
		d.serve(l, d.storeHandler(i))
		zone := zones[i%3]
		d.entries = append(d.entries, d.process(fmt.Sprintf("front-%s-1", zone), "entry", d.ip(1, i), zone, l.Addr().String(), ""))
	}
	for i, rack := range racks {
		zone, ip := zones[i%3], d.ip(2, i)
		app := ip + ":8529"
		if d.withWorkerLinks {
			app = ip + ":8530"
			d.workerLinks = append(d.workerLinks, newLink(ip+":8529", app))
		}
		announce := ""
		if agentAnnounce != nil {
			announce = agentAnnounce(i, ip+":7000")
		}
		d.agents = append(d.agents, d.process(fmt.Sprintf("side-%d", i+1), "agent", ip, zone, first.Addr().String(), announce))
		w := &worker{rec: d.rec, history: d.history, name: fmt.Sprintf("w%d", i+1), rack: rack, zone: zone, app: app, control: ip + ":8526"}
		d.workers = append(d.workers, w)
	}
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.start()
	}
	for i, w := range d.workers {
		w.live(fmt.Sprintf("i-%d-a", i+1))
		go w.beatLoop()
	}
	d.await("all entries are ready", 15*time.Second, func() bool {
		for _, e := range d.entries {
			response, err := http.Get("http://" + e.ip + ":8523/v1/ready")
			if err != nil {
				return false
			}
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	// Longer than contact_ms, so that all machines are in touch, and all workers have sent heartbeats.
	time.Sleep(6 * time.Second)
	d.rec.add("the deployment is up: %d entries, %d agents", entryCount, len(racks))
}

func (d *deployment) await(what string, limit time.Duration, f func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return
		}
	}
	panic(cannotRun("waited in vain until " + what))
}

// process writes the settings of a process as DEPLOY.md shows them.
func (d *deployment) process(name, role, ip, zone, store, announce string) *process {
	class, listen := "front", map[string]string{"front": ip + ":8521", "ready": ip + ":8523"}
	if role == "agent" {
		class, listen = "side", map[string]string{"control": ip + ":8526"}
	}
	s := map[string]any{
		"node_id": name, "role": role, "machine_class": class, "ip": ip, "zone": zone, "region": regions[zone], "zones": regions, "listen": listen,
		"port_range": []int{7000, 7015}, "bootstrap": true, "heartbeat_ms": 1500, "orders": "call", "discovery": "local", "entry": "vip",
		"bounds": map[string]any{
			"contact_ms": 4000, "ack_ms": 5000, "drain_ms": 2500, "grace_s": 6, "config_apply_ms": 2500, "max_hold_ms": 10000, "stop_grace_ms": 900,
			"gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": cmp.Or(d.statusS, 120), "far_factor": 3,
			"checkpoint_s": 0.5, "restore_ms": 250, "reclaim_ms": 3400,
		},
		"platform": map[string]any{"address": store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "retention_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	}
	if role == "agent" {
		s["app"], s["service"] = ip+":8529", "mesure"
	}
	data, _ := json.MarshalIndent(s, "", "  ")
	path := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		panic(cannotRun(err.Error()))
	}
	return &process{name: name, role: role, settings: path, announce: announce, log: filepath.Join(d.dir, name+".log"), ip: ip}
}

func (d *deployment) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
}

// storeHandler serves the store to entry i, or with -1 to all others.
func (d *deployment) storeHandler(i int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		d.hookMu.Lock()
		if i >= 0 && strings.HasPrefix(r.URL.Path, "/v1/kv-keep/") {
			d.renewals[i]++
		}
		hook := d.storeHook
		d.hookMu.Unlock()
		if i >= 0 && hook != nil && hook(i, w, r, body) {
			return
		}
		d.store.ServeHTTP(w, r)
	})
}

// carryOut carries out a call to the store whose caller gets no answer.
func (d *deployment) carryOut(path string, body []byte) int {
	w := httptest.NewRecorder()
	d.store.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
	return w.Code
}

// leader returns the number of the entry that renews a lease at the store.
func (d *deployment) leader() int {
	d.hookMu.Lock()
	before := append([]int{}, d.renewals...)
	d.hookMu.Unlock()
	time.Sleep(700 * time.Millisecond)
	d.hookMu.Lock()
	defer d.hookMu.Unlock()
	for i, n := range d.renewals {
		if n > before[i] {
			return i
		}
	}
	panic(cannotRun("no entry leads"))
}

// answer is a client's answer: status 0 means none.
type answer struct {
	status int
	state  string
}

// client makes a client's call at an entry.
func (d *deployment) client(method string, entry int, queue int, tenant, id, body string) answer {
	url := fmt.Sprintf("http://%s:8521/queue%d/%s", d.entries[entry].ip, queue, id)
	r, _ := http.NewRequest(method, url, strings.NewReader(body))
	r.Host = "nony24.example"
	r.Header.Set("Authorization", "Bearer key-"+tenant)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Do(r)
	if err != nil {
		d.rec.add("client: %s %s at %s: no answer (%v)", method, id, d.entries[entry].name, strings.ReplaceAll(err.Error(), url, "..."))
		return answer{}
	}
	defer response.Body.Close()
	var a struct {
		State string `json:"state"`
	}
	data, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(data, &a)
	if method != http.MethodGet || a.State == "" {
		d.rec.add("client: %s %s at %s: %d %s", method, id, d.entries[entry].name, response.StatusCode, bytes.TrimSpace(data))
	}
	return answer{response.StatusCode, a.State}
}

// newID returns the id of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// jobBody returns the body of a submission of one step, with more fields of the step if given.
func jobBody(count, gpu int, est time.Duration, more string) string {
	return fmt.Sprintf(`{"spec":"cut the pattern","steps":[{"count":%d,"cpu":%d,"mem_mb":%d,"gpu":%d,"est_runtime_ms":%d%s}]}`,
		count, 7500, 8000, gpu, est.Milliseconds(), more)
}

// submit hands a job in until an entry accepts it, as a client does.
func (d *deployment) submit(entry, queue int, tenant, id string, count, gpu int, runTime time.Duration, more string) {
	d.history.addJob(id, gpu, runTime)
	for range 20 {
		if a := d.client(http.MethodPost, entry, queue, tenant, id, jobBody(count, gpu, runTime, more)); a.status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
		entry = (entry + 1) % len(d.entries)
	}
	panic(cannotRun("job not accepted"))
}

// close ends all processes that were started.
func (d *deployment) close() {
	d.closeMu.Lock()
	defer d.closeMu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if d.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else if d.dir != "" {
		fmt.Println("logs in", d.dir)
	}
}
