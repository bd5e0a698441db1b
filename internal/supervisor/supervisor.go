// Package supervisor implements the agent process, which connects the enforcer with a worker, an endpoint and the
// entries of the region. The enforcer is the agent's state machine. The worker runs the tasks of jobs, and the endpoint
// serves requests. Entries are the processes that send tasks and requests to the agent. They also grant it permits,
// each of which is valid for a short time only. Without a valid permit the agent starts no work. The package is part of
// the program persimmontrail; persimmontrail-node has an agent of its own, in package agent.
//
// A gang is the tasks of one attempt of a job, which start together or not at all. An incarnation of the agent is one
// run of its process. Each task has a lease on the worker; the worker stops a task whose lease the agent does not renew
// in time. After a start, the agent adopts the tasks on the worker, that is, it takes over those that a previous
// incarnation has started. An endpoint announces itself to the agent by HTTP; for an endpoint in its settings, the
// agent does so itself.
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
	tickInterval = 100 * time.Millisecond
	// shutdownTimeout bounds a graceful shutdown, including the time-outs below.
	shutdownTimeout = 30 * time.Second
	// drainTimeout bounds the wait for requests to finish and tasks to stop. It leaves time for the last reports.
	drainTimeout = 26 * time.Second
	// checkpointTimeout bounds the wait for checkpoints. It leaves time to stop the tasks afterwards.
	checkpointTimeout = 20 * time.Second
	// lastReportTimeout bounds how long the agent waits for entries to acknowledge its last report.
	lastReportTimeout = 2 * time.Second
)

// ErrRole is returned for a message from a peer that is not an entry.
var ErrRole = errors.New("only entries may send messages to an agent")

// Handler answers one message from a peer with the given certificate role. decode decodes the body of the message.
type Handler func(ctx context.Context, role messenger.Role, kind messenger.Kind, decode func(v any) error) (answer any, err error)

// MessageServer is an open listener for messages.
type MessageServer struct {
	// Address is the address that peers connect to.
	Address string
	// Serve returns when ctx ends or Shutdown is called.
	Serve func(ctx context.Context) error
	// Shutdown stops the server once running calls have finished.
	Shutdown func(ctx context.Context) error
}

// Settings are the settings of one agent. Run checks them with Validate.
type Settings struct {
	// Name is the name of the agent. Each start of the process appends a random suffix to form the agent's id.
	Name string
	// Listen is the address on which the agent listens for messages from entries.
	Listen string
	// Entries are the addresses of one or more entries of the region. The agent learns the others from answers.
	Entries       []string
	FailureDomain descriptor.FailureDomainID
	Region        descriptor.RegionID
	// WorkerURL is the base URL of the worker's HTTP API; empty means that there is no worker.
	WorkerURL string
	// EndpointURL is the URL of an endpoint that does not announce itself; empty means none. The endpoint counts as
	// healthy while it accepts connections. The fields up to Connections describe it.
	EndpointURL string
	EndpointID  descriptor.EndpointID
	Service     descriptor.ServiceID
	Slots       int
	Connections int
	// HTTPListen is the address of the HTTP server for endpoint announcements, health checks and metrics.
	HTTPListen string
	// Keys are the files with the credentials for messages. They are not read if both Call and Bind are set.
	Keys issuer.Files
	// Log may be nil.
	Log *log.Logger

	// Call sends a message to an entry. If nil, the QUIC transport with Keys is used.
	Call func(ctx context.Context, address string, kind messenger.Kind, request, answer any) error
	// Bind opens the listener for messages at Listen. If nil, the QUIC transport with Keys is used.
	Bind func(handle Handler) (*MessageServer, error)
	// Ready, if not nil, is called with the addresses of the listeners once all of them are open.
	Ready func(messageAddress, httpAddress string)
}

// Validate returns all errors in s at once, as validator.Errors, or nil if there are none.
func (s *Settings) Validate() error {
	var errs validator.Errors
	require := func(valid bool, field, reason string) {
		if !valid {
			errs = append(errs, validator.FieldError{Field: field, Reason: reason})
		}
	}
	require(s.Name != "", "name", "must not be empty")
	require(len(s.Entries) > 0, "entries", "must name at least one entry")
	require(s.FailureDomain != "", "failure-domain", "must not be empty")
	require(s.Region != "", "region", "must not be empty")
	require(s.WorkerURL == "" || isHTTPURL(s.WorkerURL), "worker", "must be an http URL")
	require(s.EndpointURL == "" || isHTTPURL(s.EndpointURL), "endpoint", "must be an http URL")
	require(s.EndpointURL == "" || s.EndpointID != "", "endpoint-id", "must not be empty with endpoint")
	require(s.EndpointURL == "" || s.Service != "", "service", "must not be empty with endpoint")
	require(s.EndpointURL == "" || s.Slots > 0, "slots", "must be at least 1 with endpoint")
	require(s.EndpointURL == "" || s.Connections > 0, "connections", "must be at least 1 with endpoint")
	hasKeys := s.Keys.Authority != "" && s.Keys.Certificate != "" && s.Keys.Key != ""
	require(hasKeys || s.Call != nil && s.Bind != nil, "tls", "must name the files of authority, certificate and key")
	if len(errs) == 0 {
		return nil
	}
	return errs
}

func isHTTPURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && u.Scheme == "http" && u.Host != ""
}

// agent is the state of a running agent process.
type agent struct {
	settings Settings
	id       string
	address  string
	enforcer *enforcer.Enforcer
	worker   *workerClient
	endpoint *endpointClient
	log      *log.Logger
	metrics  *metrics.Set
	// histograms holds the names of the request histograms, to bound their number.
	histograms nameSet
	reports    reporterSet
	// group waits for all goroutines of the agent.
	group sync.WaitGroup
}

// Run runs an agent until ctx ends and then shuts it down gracefully, within shutdownTimeout. If a listener fails, it
// returns the error without a graceful shutdown.
func Run(ctx context.Context, s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	closeClient, err := s.loadTransport()
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
	a := &agent{settings: s, id: s.Name + "-" + rand.Text()[:10], log: s.Log, metrics: metrics.NewSet()}
	if a.log == nil {
		a.log = log.New(nopWriter{})
	}
	a.worker = newWorkerClient(s.WorkerURL)
	a.endpoint = newEndpointClient()
	a.enforcer = &enforcer.Enforcer{
		Agent:         a.id,
		FailureDomain: s.FailureDomain,
		Worker: enforcer.WorkerCalls{
			Start:      a.startTask,
			Checkpoint: a.worker.checkpoint,
			Stop:       a.worker.stop,
		},
		Endpoint: enforcer.EndpointCalls{Serve: a.sendRequest},
		OnChange: a.reports.wake,
	}
	a.reports.agent = a
	a.registerMetrics()
	return a
}

type nopWriter struct{}

func (nopWriter) Write(p []byte) (int, error) { return len(p), nil }

// run serves until ctx ends and then shuts down, or until a listener fails. The listeners and background goroutines
// keep running during the shutdown.
func (a *agent) run(ctx context.Context, server *MessageServer, listener net.Listener) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer a.group.Wait()
	defer stopBackground()
	httpServer := &http.Server{Handler: a.mux(), ReadHeaderTimeout: 5 * time.Second}
	serveErrs := make(chan error, 2)
	a.group.Go(func() { serveErrs <- httpServer.Serve(listener) })
	a.group.Go(func() { serveErrs <- server.Serve(background) })
	defer httpServer.Close()
	a.start(background)
	a.log.Info("agent started", "agent", a.id, "address", a.address)
	select {
	case err := <-serveErrs:
		return fmt.Errorf("listener: %w", err)
	case <-ctx.Done():
	}
	return a.shutdown(server)
}

// start starts the background goroutines, apart from the listeners.
func (a *agent) start(ctx context.Context) {
	a.group.Go(func() { a.runEvery(ctx, tickInterval, a.tick) })
	a.group.Go(func() { a.watchWorker(ctx) })
	if a.settings.EndpointURL != "" {
		a.group.Go(func() { a.runEvery(ctx, time.Second, a.probeEndpoint) })
	}
	a.reports.start(ctx)
}

// runEvery calls f at once and then once per period until ctx ends.
func (a *agent) runEvery(ctx context.Context, period time.Duration, f func(ctx context.Context)) {
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

// shutdown shuts the agent down gracefully. It makes the agent refuse new work and report the state Leaving, then waits
// for pending requests to finish while all tasks are checkpointed and stopped. Before it closes the message server, it
// waits for the entries to acknowledge the final state.
func (a *agent) shutdown(server *MessageServer) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	a.log.Info("agent shutting down")
	a.enforcer.Leave()
	drainCtx, cancelDrain := context.WithTimeout(ctx, drainTimeout)
	defer cancelDrain()
	stopped := make(chan error, 1)
	go func() { stopped <- a.enforcer.StopAll(drainCtx, "agent is leaving", checkpointTimeout) }()
	err := errors.Join(a.waitForRequests(drainCtx), <-stopped)
	reportCtx, cancelReport := context.WithTimeout(ctx, lastReportTimeout)
	defer cancelReport()
	a.reports.flush(reportCtx)
	err = errors.Join(err, server.Shutdown(ctx))
	if err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	a.log.Info("agent stopped")
	return nil
}

// waitForRequests waits until no requests are pending. It returns an error if ctx ends first.
func (a *agent) waitForRequests(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for a.enforcer.PendingRequests() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests have not finished", a.enforcer.PendingRequests())
		case <-ticker.C:
		}
	}
	return nil
}
