// Package supervisor is the agent process: it connects the enforcer with the
// worker, the endpoint and the entries of its region.
package supervisor

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"persimmontrail/internal/enforcer"
	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/pkg/validator"
)

const (
	tickEvery = 100 * time.Millisecond
	// shutdownWithin bounds a graceful shutdown; the parts below fit into it.
	shutdownWithin = 30 * time.Second
	// drainWithin leaves time for the last reports.
	drainWithin = 26 * time.Second
	// checkpointWithin leaves time to stop the tasks after their checkpoints.
	checkpointWithin = 20 * time.Second
	// lastReportWait is how long the agent waits for entries to take its last report.
	lastReportWait = 2 * time.Second
)

// ErrRole refuses a message from a peer that is not an entry.
var ErrRole = errors.New("only entries may send messages to an agent")

// Handle answers one message of a peer with the given certificate role. decode reads the message's body.
type Handle func(ctx context.Context, role messenger.Role, kind messenger.Kind, decode func(v any) error) (answer any, err error)

// MessageServer is a bound message listener.
type MessageServer struct {
	// Address is where peers reach the listener.
	Address string
	// Serve returns when ctx ends or Shutdown is called.
	Serve func(ctx context.Context) error
	// Shutdown lets running calls finish.
	Shutdown func(ctx context.Context) error
}

// Settings of one agent.
type Settings struct {
	// Name of the agent; each run adds a random part to it.
	Name string
	// Listen is the address for messages from entries.
	Listen string
	// Entries are the addresses of some entries of the region.
	Entries       []string
	FailureDomain descriptor.FailureDomainID
	Region        descriptor.RegionID
	// WorkerURL is empty when there is no worker.
	WorkerURL string
	// EndpointURL names an endpoint that does not announce itself. It counts as healthy while it accepts connections.
	EndpointURL string
	EndpointID  descriptor.EndpointID
	Service     descriptor.ServiceID
	Slots       int
	Connections int
	// HTTPListen is the address for the endpoint's announcements, health and metrics.
	HTTPListen string
	// Keys are the key files of the agent for messages. They are not read when Call and Bind are set.
	Keys issuer.Files
	// Logger may be nil.
	Logger *log.Logger

	// Call sends a message to an entry; nil means the QUIC transport with Keys.
	Call func(ctx context.Context, address string, kind messenger.Kind, request, answer any) error
	// Bind opens the listener for messages at Listen; nil means the QUIC transport with Keys.
	Bind func(handle Handle) (*MessageServer, error)
	// Ready may be set to learn the addresses once all listeners are open.
	Ready func(messageAddress, httpAddress string)
}

// Validate returns all errors in s at once.
func (s *Settings) Validate() error {
	var faults validator.Errors
	need := func(ok bool, field, want string) {
		if !ok {
			faults = append(faults, validator.FieldError{Field: field, Reason: want})
		}
	}
	need(s.Name != "", "name", "must not be empty")
	need(len(s.Entries) > 0, "entries", "must name at least one entry")
	need(s.FailureDomain != "", "failure-domain", "must not be empty")
	need(s.Region != "", "region", "must not be empty")
	need(s.WorkerURL == "" || isHTTP(s.WorkerURL), "worker", "must be an http URL")
	need(s.EndpointURL == "" || isHTTP(s.EndpointURL), "endpoint", "must be an http URL")
	need(s.EndpointURL == "" || s.EndpointID != "", "endpoint-id", "must not be empty with endpoint")
	need(s.EndpointURL == "" || s.Service != "", "service", "must not be empty with endpoint")
	need(s.EndpointURL == "" || s.Slots > 0, "slots", "must be at least 1 with endpoint")
	need(s.EndpointURL == "" || s.Connections > 0, "connections", "must be at least 1 with endpoint")
	withKeys := s.Keys.Authority != "" && s.Keys.Certificate != "" && s.Keys.Key != ""
	need(withKeys || s.Call != nil && s.Bind != nil, "tls", "must name the files of authority, certificate and key")
	if len(faults) == 0 {
		return nil
	}
	return faults
}

func isHTTP(text string) bool {
	u, err := url.Parse(text)
	return err == nil && u.Scheme == "http" && u.Host != ""
}

// agent is one run of the process.
type agent struct {
	settings Settings
	id       string
	address  string
	enforcer *enforcer.Enforcer
	worker   *workerClient
	endpoint *endpointClient
	log      *log.Logger
	metrics  *metrics.Set
	// histograms bounds the request histograms.
	histograms nameSet
	reports    reporters
	// group joins all goroutines of the run.
	group sync.WaitGroup
}

// Run runs an agent until ctx ends and then shuts it down gracefully.
func Run(ctx context.Context, s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	closeClient, err := s.connect()
	if err != nil {
		return err
	}
	defer closeClient()
	a := newAgent(s)
	listener, err := net.Listen("tcp", s.HTTPListen)
	if err != nil {
		return fmt.Errorf("listen for HTTP: %w", err)
	}
	defer listener.Close()
	server, err := s.Bind(a.handle)
	if err != nil {
		return fmt.Errorf("listen for messages: %w", err)
	}
	a.address = server.Address
	if s.Ready != nil {
		s.Ready(server.Address, listener.Addr().String())
	}
	return a.run(ctx, server, listener)
}

func newAgent(s Settings) *agent {
	a := &agent{settings: s, id: s.Name + "-" + rand.Text()[:10], log: s.Logger, metrics: metrics.NewSet()}
	if a.log == nil {
		a.log = log.New(nopWriter{})
	}
	a.worker = newWorkerClient(s.WorkerURL)
	a.endpoint = newEndpointClient()
	a.enforcer = &enforcer.Enforcer{
		Agent:         a.id,
		FailureDomain: s.FailureDomain,
		Worker: enforcer.Worker{
			Start:      a.startTask,
			Checkpoint: a.worker.checkpoint,
			Stop:       a.worker.stop,
		},
		Endpoint: enforcer.Endpoint{Serve: a.serveEndpoint},
		Changed:  a.reports.wake,
	}
	a.reports.agent = a
	a.registerMetrics()
	return a
}

type nopWriter struct{}

func (nopWriter) Write(p []byte) (int, error) { return len(p), nil }

// run serves until ctx ends. Background work goes on during the shutdown.
func (a *agent) run(ctx context.Context, server *MessageServer, listener net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer a.group.Wait()
	defer stop()
	web := &http.Server{Handler: a.mux(), ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 2)
	a.group.Go(func() { failed <- web.Serve(listener) })
	a.group.Go(func() { failed <- server.Serve(background) })
	defer web.Close()
	a.start(background)
	a.log.Info("Agent is up.", "agent", a.id, "address", a.address)
	select {
	case err := <-failed:
		return fmt.Errorf("listener: %w", err)
	case <-ctx.Done():
	}
	return a.shutdown(server)
}

// start begins all duties but the listeners.
func (a *agent) start(ctx context.Context) {
	a.group.Go(func() { a.every(ctx, tickEvery, a.tick) })
	a.group.Go(func() { a.watchWorker(ctx) })
	if a.settings.EndpointURL != "" {
		a.group.Go(func() { a.every(ctx, time.Second, a.probeEndpoint) })
	}
	a.reports.start(ctx)
}

// every calls f at once and then in each period until ctx ends.
func (a *agent) every(ctx context.Context, period time.Duration, f func(ctx context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *agent) tick(context.Context) { a.enforcer.Tick(time.Now()) }

// shutdown announces leaving, lets requests finish, checkpoints and stops the tasks, and tells the entries.
func (a *agent) shutdown(server *MessageServer) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownWithin)
	defer cancel()
	a.log.Info("Agent is leaving.")
	a.enforcer.SetLeaving()
	drain, cancelDrain := context.WithTimeout(ctx, drainWithin)
	defer cancelDrain()
	stopped := make(chan error, 1)
	go func() { stopped <- a.enforcer.StopAll(drain, "agent is leaving", checkpointWithin) }()
	err := errors.Join(a.waitRequests(drain), <-stopped)
	last, cancelLast := context.WithTimeout(ctx, lastReportWait)
	defer cancelLast()
	a.reports.flush(last)
	err = errors.Join(err, server.Shutdown(ctx))
	if err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	a.log.Info("Agent has left.")
	return nil
}

func (a *agent) waitRequests(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for a.enforcer.Pending() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests have not finished", a.enforcer.Pending())
		case <-ticker.C:
		}
	}
	return nil
}
