package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"persimmontrail/internal/faker"
	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	loopback = "127.0.0.1:0"
	region   = descriptor.RegionID("qc-sud")
	service  = descriptor.ServiceID("measurement")
	// workersPerRack follows the fleet of the design page.
	workersPerRack        = 3
	acceleratorsPerWorker = 8
)

var domains = []descriptor.FailureDomainID{"Montreal", "Sherbrooke"}

// deployment is one running system with its stand-ins.
type deployment struct {
	size  Size
	store *faker.Store
	// storeBytes are the bodies of calls to the store and of its answers.
	storeBytes atomic.Int64
	workers    []*faker.Worker
	endpoints  []*faker.Endpoint
	entries    []*process
	// single is the one agent with a process of its own, groups hold the others.
	single *process
	groups []*process
	http   *http.Client
	base   string
	server *http.Server
	keys   string
	stop   context.CancelFunc
	group  sync.WaitGroup
}

func (o *Options) deploy(ctx context.Context, size Size) (*deployment, error) {
	d := &deployment{size: size, store: &faker.Store{}, http: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	ctx, d.stop = context.WithCancel(ctx)
	if err := d.start(ctx, o.Program); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context, program string) error {
	dir, err := os.MkdirTemp("", "persimmontrail-load")
	if err != nil {
		return err
	}
	d.keys = dir
	authority, err := issuer.NewAuthority()
	if err != nil {
		return err
	}
	if err := authority.WriteFiles(dir); err != nil {
		return err
	}
	if err := d.serveStandIns(); err != nil {
		return err
	}
	var addresses []string
	for i := range d.size.Entries {
		p, err := startProcess("entry", program, nil, append(d.keyFlags(messenger.RoleEntry), "--name", fmt.Sprint("entry", i),
			"--region", string(region), "--failure-domain", string(domains[i%len(domains)]), "--store", d.base+"/store",
			"--listen", loopback, "--http-listen", loopback, "--log-level", "error")...)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
		addresses = append(addresses, p.address)
	}
	var change struct{ Revision descriptor.Revision }
	if err := d.until(ctx, func() error { return d.call(ctx, http.MethodPut, "/v1/configuration", d.configuration(), &change) }); err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	if err := d.startAgents(ctx, program, addresses); err != nil {
		return err
	}
	return d.until(ctx, func() error { return d.checkAgents() })
}

func (d *deployment) keyFlags(role messenger.Role) []string {
	f := issuer.FilesIn(d.keys, role)
	return []string{string(role), "--tls-authority", f.Authority, "--tls-certificate", f.Certificate, "--tls-key", f.Key}
}

// serveStandIns serves the store and all workers and endpoints on one listener, told apart by path.
func (d *deployment) serveStandIns() error {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	d.base = "http://" + listener.Addr().String()
	for i := range d.size.Agents {
		name := fmt.Sprintf("w%03d", i)
		domain := domains[i%len(domains)]
		d.workers = append(d.workers, &faker.Worker{Description: descriptor.Worker{
			ID: descriptor.WorkerID(name), Rack: descriptor.RackID(fmt.Sprintf("%s-%d", domain, i/len(domains)/workersPerRack)),
			FailureDomain: domain, Region: region, Cores: 64, Memory: 128_000, Accelerators: acceleratorsPerWorker, Guard: true,
		}})
		d.endpoints = append(d.endpoints, &faker.Endpoint{
			ID: descriptor.EndpointID(name), Service: service, ServiceTime: 20 * time.Millisecond, URL: fmt.Sprintf("%s/endpoint/%d", d.base, i),
		})
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.route), ReadHeaderTimeout: 5 * time.Second}
	d.group.Go(func() { _ = d.server.Serve(listener) })
	return nil
}

func (d *deployment) route(w http.ResponseWriter, r *http.Request) {
	part, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if part == "store" {
		d.storeBytes.Add(max(0, r.ContentLength))
		http.StripPrefix("/store", d.store).ServeHTTP(&countingWriter{ResponseWriter: w, count: &d.storeBytes}, r)
		return
	}
	number, _, _ := strings.Cut(rest, "/")
	i, err := strconv.Atoi(number)
	if err != nil || i < 0 || i >= len(d.workers) {
		http.NotFound(w, r)
		return
	}
	var h http.Handler = d.workers[i]
	if part == "endpoint" {
		h = d.endpoints[i]
	}
	http.StripPrefix("/"+part+"/"+number, h).ServeHTTP(w, r)
}

// countingWriter adds the bytes of an answer's body to a counter.
type countingWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.count.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// configuration has guarantees of one accelerator for as many workspaces as a quarter of the fleet allows.
func (d *deployment) configuration() *descriptor.Configuration {
	cfg := &descriptor.Configuration{Classes: []descriptor.Class{
		{Name: "Preview", FinishWithin: descriptor.Duration(8 * time.Second), Share: 1, Service: service},
		{Name: "Draft", FinishWithin: descriptor.Duration(10 * time.Hour), Share: 1},
	}}
	guaranteed := d.size.Agents * acceleratorsPerWorker / 4
	for i := range d.size.Workspaces {
		w := descriptor.Workspace{Name: workspaceName(i), TokenHash: strings.Repeat("0", 64)}
		if i < guaranteed {
			w.Guarantees = []descriptor.Shape{{Accelerators: 1, Adjacency: descriptor.LevelWorker}}
		}
		cfg.Workspaces = append(cfg.Workspaces, w)
	}
	for _, name := range domains {
		cfg.FailureDomains = append(cfg.FailureDomains, descriptor.FailureDomain{Name: name, Region: region})
	}
	return cfg
}

func workspaceName(i int) descriptor.WorkspaceID {
	return descriptor.WorkspaceID(fmt.Sprintf("workspace-%03d", i))
}

func (d *deployment) startAgents(ctx context.Context, program string, entries []string) error {
	single, err := startProcess("agent", program, nil, append(d.keyFlags(messenger.RoleAgent), "--name", "single", "--region", string(region),
		"--failure-domain", string(domains[0]), "--entries", strings.Join(entries, ","), "--worker", d.base+"/worker/0",
		"--listen", loopback, "--http-listen", loopback, "--log-level", "error")...)
	if err != nil {
		return err
	}
	d.single = single
	addresses := []string{strings.TrimPrefix(single.http, "http://")}
	for from := 1; from < d.size.Agents; from += groupSize {
		g := Group{Keys: issuer.FilesIn(d.keys, messenger.RoleAgent), Entries: entries, Region: region}
		for i := from; i < min(from+groupSize, d.size.Agents); i++ {
			g.Agents = append(g.Agents, GroupAgent{Name: fmt.Sprint("agent", i), FailureDomain: domains[i%len(domains)], WorkerURL: fmt.Sprintf("%s/worker/%d", d.base, i)})
		}
		description, err := json.Marshal(g)
		if err != nil {
			return err
		}
		p, err := startProcess("agents", program, bytes.NewReader(description), "load", "agents")
		if err != nil {
			return err
		}
		d.groups = append(d.groups, p)
		addresses = append(addresses, p.agents...)
	}
	client := &http.Client{Timeout: 3 * time.Second}
	for i, address := range addresses {
		d.group.Go(func() { d.endpoints[i].Announce(ctx, "http://"+address, client) })
	}
	return nil
}

// checkAgents returns nil once every entry knows all agents and one entry schedules.
func (d *deployment) checkAgents() error {
	schedulers := 0
	for _, e := range d.entries {
		m, err := e.metrics(d.http)
		if err != nil {
			return err
		}
		if int(m["persimmontrail_agents"]) < d.size.Agents {
			return fmt.Errorf("%g of %d agents are known", m["persimmontrail_agents"], d.size.Agents)
		}
		schedulers += int(m["persimmontrail_scheduler"])
	}
	if schedulers != 1 {
		return fmt.Errorf("%d entries schedule", schedulers)
	}
	return nil
}

// until repeats f until it succeeds, within startLimit.
func (d *deployment) until(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-tick.C:
		}
	}
}

// call sends a request to the first entry.
func (d *deployment) call(ctx context.Context, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, d.entries[0].http+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := d.http.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= 400 {
		return fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, answer)
}

// close stops all processes, agents first.
func (d *deployment) close() {
	d.stop()
	var stopping sync.WaitGroup
	for _, p := range append(d.groups, d.single) {
		if p != nil {
			stopping.Go(p.stop)
		}
	}
	stopping.Wait()
	for _, p := range d.entries {
		stopping.Go(p.stop)
	}
	stopping.Wait()
	if d.server != nil {
		_ = d.server.Close()
	}
	d.group.Wait()
	_ = os.RemoveAll(d.keys)
}
