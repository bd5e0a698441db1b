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
	loopbackAddress = "127.0.0.1:0"
	region          = descriptor.RegionID("qc-sud")
	service         = descriptor.ServiceID("measurement")
	// workersPerRack is the number of workers per rack in the fleet that docs/design.md describes.
	workersPerRack        = 3
	acceleratorsPerWorker = 8
)

var failureDomains = []descriptor.FailureDomainID{"Montreal", "Sherbrooke"}

// deployment is a running system and the stand-ins of its platform.
type deployment struct {
	size  Size
	store *faker.Store
	// storeBytes counts the bytes in the bodies of calls to the store and of its answers.
	storeBytes atomic.Int64
	workers    []*faker.Worker
	endpoints  []*faker.Endpoint
	entries    []*process
	// singleAgent is the process of the first agent, which is not in a group, so that the cost of one agent can be read.
	singleAgent *process
	// agentGroups are the processes of all other agents.
	agentGroups []*process
	client      *http.Client
	// baseURL is the URL of the listener that serves all stand-ins.
	baseURL string
	server  *http.Server
	// keyDir is the directory of the TLS key files.
	keyDir string
	cancel context.CancelFunc
	// background waits for all goroutines of the deployment.
	background sync.WaitGroup
}

// deploy starts a deployment and waits until it is ready.
func (o *Options) deploy(ctx context.Context, size Size) (*deployment, error) {
	d := &deployment{size: size, store: &faker.Store{}, client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	ctx, d.cancel = context.WithCancel(ctx)
	if err := d.start(ctx, o.Program); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// start starts the stand-ins, the entries and the agents, applies the configuration and waits until the deployment is ready.
func (d *deployment) start(ctx context.Context, program string) error {
	dir, err := os.MkdirTemp("", "persimmontrail-load")
	if err != nil {
		return err
	}
	d.keyDir = dir
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
	var entryAddresses []string
	for i := range d.size.Entries {
		p, err := startProcess("entry", program, nil, append(d.roleArgs(messenger.RoleEntry), "--name", fmt.Sprint("entry", i),
			"--region", string(region), "--failure-domain", string(failureDomains[i%len(failureDomains)]), "--store", d.baseURL+"/store",
			"--listen", loopbackAddress, "--http-listen", loopbackAddress, "--log-level", "error")...)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
		entryAddresses = append(entryAddresses, p.address)
	}
	var answer struct{ Revision descriptor.Revision }
	if err := d.retry(ctx, func() error { return d.callEntry(ctx, http.MethodPut, "/v1/configuration", d.configuration(), &answer) }); err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	if err := d.startAgents(ctx, program, entryAddresses); err != nil {
		return err
	}
	return d.retry(ctx, func() error { return d.checkReady() })
}

// roleArgs returns the subcommand of a role and the flags for its TLS key files.
func (d *deployment) roleArgs(role messenger.Role) []string {
	f := issuer.FilesIn(d.keyDir, role)
	return []string{string(role), "--tls-authority", f.Authority, "--tls-certificate", f.Certificate, "--tls-key", f.Key}
}

// serveStandIns serves the store, all workers and all endpoints on one listener. The path selects the stand-in.
func (d *deployment) serveStandIns() error {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return err
	}
	d.baseURL = "http://" + listener.Addr().String()
	for i := range d.size.Agents {
		name := fmt.Sprintf("w%03d", i)
		domain := failureDomains[i%len(failureDomains)]
		d.workers = append(d.workers, &faker.Worker{Description: descriptor.Worker{
			ID: descriptor.WorkerID(name), Rack: descriptor.RackID(fmt.Sprintf("%s-%d", domain, i/len(failureDomains)/workersPerRack)),
			FailureDomain: domain, Region: region, Cores: 64, Memory: 128_000, Accelerators: acceleratorsPerWorker, Guard: true,
		}})
		d.endpoints = append(d.endpoints, &faker.Endpoint{
			ID: descriptor.EndpointID(name), Service: service, ServiceTime: 20 * time.Millisecond, URL: fmt.Sprintf("%s/endpoint/%d", d.baseURL, i),
		})
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.route), ReadHeaderTimeout: 5 * time.Second}
	d.background.Go(func() { _ = d.server.Serve(listener) })
	return nil
}

// route passes a request to the stand-in that its path names. It counts the body bytes of calls to the store and of its answers.
func (d *deployment) route(w http.ResponseWriter, r *http.Request) {
	standIn, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if standIn == "store" {
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
	if standIn == "endpoint" {
		h = d.endpoints[i]
	}
	http.StripPrefix("/"+standIn+"/"+number, h).ServeHTTP(w, r)
}

// countingWriter adds the size of a response body to a counter.
type countingWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.count.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// configuration returns a configuration with guarantees of one accelerator each. A quarter of the accelerators is guaranteed, or
// less if there are fewer workspaces.
func (d *deployment) configuration() *descriptor.Configuration {
	cfg := &descriptor.Configuration{Classes: []descriptor.Class{
		{Name: "Preview", FinishWithin: descriptor.Duration(8 * time.Second), Share: 1, Service: service},
		{Name: "Draft", FinishWithin: descriptor.Duration(10 * time.Hour), Share: 1},
	}}
	guaranteedWorkspaceCount := d.size.Agents * acceleratorsPerWorker / 4
	for i := range d.size.Workspaces {
		w := descriptor.Workspace{Name: workspaceName(i), TokenHash: strings.Repeat("0", 64)}
		if i < guaranteedWorkspaceCount {
			w.Guarantees = []descriptor.Shape{{Accelerators: 1, Adjacency: descriptor.LevelWorker}}
		}
		cfg.Workspaces = append(cfg.Workspaces, w)
	}
	for _, name := range failureDomains {
		cfg.FailureDomains = append(cfg.FailureDomains, descriptor.FailureDomain{Name: name, Region: region})
	}
	return cfg
}

func workspaceName(i int) descriptor.WorkspaceID {
	return descriptor.WorkspaceID(fmt.Sprintf("workspace-%03d", i))
}

// startAgents starts the single agent, the groups with all others, and the announcements of each endpoint to one agent.
func (d *deployment) startAgents(ctx context.Context, program string, entryAddresses []string) error {
	single, err := startProcess("agent", program, nil, append(d.roleArgs(messenger.RoleAgent), "--name", "single", "--region", string(region),
		"--failure-domain", string(failureDomains[0]), "--entries", strings.Join(entryAddresses, ","), "--worker", d.baseURL+"/worker/0",
		"--listen", loopbackAddress, "--http-listen", loopbackAddress, "--log-level", "error")...)
	if err != nil {
		return err
	}
	d.singleAgent = single
	agentAddresses := []string{strings.TrimPrefix(single.httpURL, "http://")}
	for from := 1; from < d.size.Agents; from += maxGroupSize {
		g := AgentGroup{Keys: issuer.FilesIn(d.keyDir, messenger.RoleAgent), Entries: entryAddresses, Region: region}
		for i := from; i < min(from+maxGroupSize, d.size.Agents); i++ {
			g.Agents = append(g.Agents, GroupAgent{Name: fmt.Sprint("agent", i), FailureDomain: failureDomains[i%len(failureDomains)], WorkerURL: fmt.Sprintf("%s/worker/%d", d.baseURL, i)})
		}
		description, err := json.Marshal(g)
		if err != nil {
			return err
		}
		p, err := startProcess("agents", program, bytes.NewReader(description), "load", "agents")
		if err != nil {
			return err
		}
		d.agentGroups = append(d.agentGroups, p)
		agentAddresses = append(agentAddresses, p.agentAddresses...)
	}
	client := &http.Client{Timeout: 3 * time.Second}
	for i, address := range agentAddresses {
		d.background.Go(func() { d.endpoints[i].Announce(ctx, "http://"+address, client) })
	}
	return nil
}

// checkReady returns nil once every entry knows all agents and exactly one entry is the scheduler.
func (d *deployment) checkReady() error {
	schedulerCount := 0
	for _, e := range d.entries {
		m, err := e.readMetrics(d.client)
		if err != nil {
			return err
		}
		if int(m["persimmontrail_agents"]) < d.size.Agents {
			return fmt.Errorf("%g of %d agents are known", m["persimmontrail_agents"], d.size.Agents)
		}
		schedulerCount += int(m["persimmontrail_scheduler"])
	}
	if schedulerCount != 1 {
		return fmt.Errorf("%d entries are the scheduler, want 1", schedulerCount)
	}
	return nil
}

// retry calls f every 100 ms until it succeeds, for startTimeout at most. Its error includes the last error of f.
func (d *deployment) retry(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
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

// callEntry sends a request to the first entry and decodes the answer. A status of 400 or above is an error.
func (d *deployment) callEntry(ctx context.Context, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, d.entries[0].httpURL+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := d.client.Do(r)
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

// close stops all processes, the agents before the entries, then the stand-ins, and removes the key files.
func (d *deployment) close() {
	d.cancel()
	var stopping sync.WaitGroup
	for _, p := range append(d.agentGroups, d.singleAgent) {
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
	d.background.Wait()
	_ = os.RemoveAll(d.keyDir)
}
