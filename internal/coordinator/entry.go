package coordinator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/dispatcher"
	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/recorder"
)

// shutdownTimeout bounds a graceful shutdown.
const shutdownTimeout = 30 * time.Second

const (
	// deregistrationDelay is the minimum time for which an entry keeps accepting requests after a graceful shutdown has
	// begun. Load balancers that poll /readyz every second can thus stop using the entry before its connections are
	// closed.
	deregistrationDelay = 2 * time.Second
	// drainTimeout is the time for which requests may run after a graceful shutdown has begun. Requests that take
	// longer are answered Unknown; the rest of shutdownTimeout is left for sending those answers.
	drainTimeout = 26 * time.Second
)

// Entry is an entry process, as described in the package comment.
type Entry struct {
	settings Settings
	log      *log.Logger
	now      func() time.Time
	call     CallFunc
	client   *messenger.Client
	server   *messenger.Server
	// address is the address for agents and other entries, and httpAddress the one for callers and operators.
	address     string
	httpAddress string

	store          *keeper.Store
	configurations keeper.Configurations
	// configurationReader reads the configuration to confirm that it is current.
	configurationReader keeper.ConfigurationReader
	claims              keeper.Claims
	basis               basis
	peers               peers
	agents              agentTable
	router              dispatcher.Router
	// routerMu is held while a configuration is passed to the router.
	routerMu   sync.Mutex
	jobs       jobCache
	duty       schedulingDuty
	metrics    recorder.Metrics
	auditTrail recorder.Trail
	startedAt  time.Time
	// writeCount numbers the claims and configuration changes of this entry, so that each can be identified.
	writeCount atomic.Int64
	// shuttingDown is true once a graceful shutdown has begun.
	shuttingDown atomic.Bool
	// shutdownBeganAt is the time at which the graceful shutdown began. It is stored before shuttingDown is set.
	shutdownBeganAt atomic.Pointer[time.Time]
	// inFlight counts unanswered requests, and background writes and messages that a graceful shutdown waits for.
	inFlight sync.WaitGroup
	// drainCtx limits all requests. cancelDrain cancels it, at the latest drainTimeout after a graceful shutdown has
	// begun.
	drainCtx    context.Context
	cancelDrain context.CancelFunc
}

// Run runs an entry until ctx is done or a server fails, and then shuts it down gracefully. It returns an error if the
// settings are invalid, it cannot listen, or a server has failed.
func Run(ctx context.Context, s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	e := newEntry(s)
	return e.run(ctx)
}

func newEntry(s Settings) *Entry {
	e := &Entry{settings: s, log: s.Log, now: s.Now, call: s.Call, store: s.Store}
	if e.log == nil {
		e.log = log.New(io.Discard)
	}
	if e.now == nil {
		e.now = time.Now
	}
	if e.store == nil {
		e.store = keeper.NewHTTPStore(s.StoreURL)
	}
	if e.call == nil {
		e.client = &messenger.Client{TLS: s.ClientTLS, Group: e.regionAt}
		e.call = e.client.Call
	}
	e.configurations = keeper.Configurations{Store: e.store}
	e.configurationReader.Store = e.store
	e.claims = keeper.Claims{Store: e.store}
	e.router.Region = s.Region
	e.router.FailureDomain = s.FailureDomain
	e.router.Now = e.now
	e.router.LinkCost = linkCost
	e.jobs.region = s.Region
	e.duty.entry = e
	e.duty.commands = make(chan func(), commandQueueSize)
	e.peers.entry = e
	e.duty.wakeups = make(chan struct{}, 1)
	e.duty.resigning = make(chan struct{})
	e.duty.resigned = make(chan struct{})
	e.duty.recordWriter = newRecordWriter()
	e.drainCtx, e.cancelDrain = context.WithCancel(context.Background())
	e.startedAt = e.now()
	e.registerGauges()
	return e
}

func (e *Entry) run(ctx context.Context) error {
	e.server = &messenger.Server{Address: e.settings.Listen, TLS: e.settings.ServerTLS, Handle: e.handle}
	if err := e.server.Listen(); err != nil {
		return fmt.Errorf("listen for agents and entries: %w", err)
	}
	e.address = e.server.Addr()
	listener, err := net.Listen("tcp", e.settings.HTTPListen)
	if err != nil {
		return fmt.Errorf("listen for callers and operators: %w", err)
	}
	e.httpAddress = listener.Addr().String()
	if e.settings.HTTPTLS != nil {
		listener = tls.NewListener(listener, e.settings.HTTPTLS)
	}
	httpServer := &http.Server{Handler: e.mux(), ReadHeaderTimeout: 5 * time.Second}

	// The loops outlive ctx, so that running requests can finish during the shutdown.
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	var loops sync.WaitGroup
	serveErrors := make(chan error, 2)
	loops.Go(func() { serveErrors <- e.server.Serve(loopCtx) })
	loops.Go(func() { serveErrors <- httpServer.Serve(listener) })
	loops.Go(func() { e.confirmLoop(loopCtx) })
	loops.Go(func() { e.peers.loop(loopCtx) })
	loops.Go(func() { e.jobs.loop(loopCtx, e) })
	loops.Go(func() { e.duty.loop(loopCtx) })
	e.log.Info("entry started", "name", e.settings.Name, "http", e.httpAddress, "address", e.address)
	if e.settings.Ready != nil {
		e.settings.Ready(e.httpAddress, e.address)
	}

	var result error
	select {
	case <-ctx.Done():
	case result = <-serveErrors:
	}
	e.shutdown(httpServer)
	stopLoops()
	loops.Wait()
	return ignoreShutdownErrors(result)
}

// shutdown shuts the entry down gracefully, within shutdownTimeout. It gives up the term and the roster membership
// while requests are still accepted, then stops accepting requests and waits for the running ones.
func (e *Entry) shutdown(httpServer *http.Server) {
	e.log.Info("entry shutting down", "limit", shutdownTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	e.beginShutdown()
	defer e.cancelDrain()
	deregistration := time.NewTimer(deregistrationDelay)
	defer deregistration.Stop()
	e.duty.release(ctx)
	e.peers.leave(ctx)
	<-deregistration.C
	if err := httpServer.Shutdown(ctx); err != nil {
		e.log.Warn("failed to finish HTTP requests before shutdown timeout", "err", err)
	}
	if err := e.server.Shutdown(ctx); err != nil {
		e.log.Warn("failed to finish messages before shutdown timeout", "err", err)
	}
	e.awaitInFlight(ctx)
	if e.client != nil {
		_ = e.client.Close()
	}
	e.log.Info("entry stopped")
}

// beginShutdown begins a graceful shutdown: /readyz fails from now on, new jobs are refused, and requests that are
// still running after drainTimeout are cancelled.
func (e *Entry) beginShutdown() {
	now := e.now()
	e.shutdownBeganAt.Store(&now)
	e.shuttingDown.Store(true)
	time.AfterFunc(drainTimeout, e.cancelDrain)
}

// awaitInFlight waits until all requests are answered and the background writes and messages have ended, or ctx is
// done.
func (e *Entry) awaitInFlight(ctx context.Context) {
	finished := make(chan struct{})
	go func() {
		e.inFlight.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		e.log.Warn("failed to finish requests before shutdown timeout")
	}
}

// ignoreShutdownErrors returns nil for the errors that servers return when they are shut down, and err otherwise.
func ignoreShutdownErrors(err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (e *Entry) registerGauges() {
	e.metrics.RegisterGauge("configuration_revision", func() float64 { return float64(e.basis.revision()) })
	e.metrics.RegisterGauge("configuration_basis_age_seconds", func() float64 {
		age, _ := e.basis.age(e.now())
		return age.Seconds()
	})
	e.metrics.RegisterGauge("store_reached", func() float64 { return boolToFloat(e.basis.storeReached(e.now())) })
	e.metrics.RegisterGauge("scheduler", func() float64 { return boolToFloat(e.duty.isActive()) })
	e.metrics.RegisterGauge("permit_left_seconds", func() float64 { return e.basis.permit(e.now()).ValidFor.Seconds() })
	e.metrics.RegisterGauge("agents_silent", func() float64 {
		silent := 0
		for _, a := range e.agents.snapshot() {
			if !a.replaced && a.isSilent(e.now()) {
				silent++
			}
		}
		return float64(silent)
	})
	e.metrics.RegisterGauge("agents", func() float64 { return float64(len(e.agents.snapshot())) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// audit adds a record to the audit trail of this entry.
func (e *Entry) audit(subject, action, reason string) {
	e.auditTrail.Add(recorder.AuditRecord{At: e.now(), Subject: subject, Action: action, Reason: reason, By: string(e.settings.Name)})
}

// handle answers messages from agents and other entries. A sender that is not an entry may send only reports.
func (e *Entry) handle(ctx context.Context, from messenger.Identity, kind messenger.Kind, body []byte) (any, error) {
	if kind != messenger.KindReport && from.Role != messenger.RoleEntry {
		return nil, fmt.Errorf("role %s may not send %s", from.Role, kind)
	}
	switch kind {
	case messenger.KindReport:
		return decodeAndHandle(body, func(r messenger.Report) (any, error) { return e.handleReport(r), nil })
	case messenger.KindPeer:
		return decodeAndHandle(body, func(p messenger.EntryState) (any, error) { return e.peers.answer(p), nil })
	case messenger.KindJobChanged:
		return decodeAndHandle(body, func(c messenger.JobChanged) (any, error) { return e.handleJobChanged(c) })
	case messenger.KindForward:
		return decodeAndHandle(body, func(f messenger.ForwardRequest) (any, error) { return e.handleForward(ctx, f), nil })
	case messenger.KindExplain:
		return decodeAndHandle(body, func(q messenger.ExplainQuery) (any, error) { return e.duty.answerExplain(ctx, q.Key) })
	case messenger.KindStatus:
		return decodeAndHandle(body, func(messenger.StatusQuery) (any, error) { return e.duty.answerStatus(ctx) })
	default:
		return nil, fmt.Errorf("entry does not serve %s", kind)
	}
}

func decodeAndHandle[T any](body []byte, handle func(T) (any, error)) (any, error) {
	var request T
	if err := messenger.Decode(body, &request); err != nil {
		return nil, err
	}
	return handle(request)
}

// handleReport stores the report of an agent. The answer holds a start permit, the live entries of the region, the
// highest epoch seen and the attempts that the agent may forget. It may also ask for a full report.
func (e *Entry) handleReport(r messenger.Report) messenger.ReportAnswer {
	now := e.now()
	merged, stored, resend := e.agents.update(r, now)
	if stored && merged.Endpoint != nil {
		e.router.Update(endpointReport(merged), now)
	}
	if stored && merged.Endpoint == nil {
		e.router.Remove(merged.Agent)
	}
	answer := messenger.ReportAnswer{
		Permit:    e.basis.permit(now),
		Entries:   e.peers.addressesIn(e.settings.Region),
		Scheduler: e.duty.isActive(),
		Epoch:     e.duty.highestEpochSeen(),
		Resend:    resend,
	}
	answer.Acknowledged = e.duty.acknowledge(merged.Tasks)
	e.agents.removeAttempts(r.Agent, answer.Acknowledged)
	if stored && len(r.Tasks) > 0 {
		e.duty.wake()
	}
	return answer
}

func endpointReport(r messenger.Report) dispatcher.EndpointReport {
	return dispatcher.EndpointReport{
		Agent:         r.Agent,
		Address:       r.Address,
		Sequence:      r.Sequence,
		Endpoint:      r.Endpoint.ID,
		Service:       r.Endpoint.Service,
		FailureDomain: r.FailureDomain,
		Region:        r.Region,
		Slots:         r.Endpoint.Slots,
		Busy:          r.Endpoint.Busy,
		Queued:        r.Endpoint.Queued,
		Connections:   r.Endpoint.Connections,
		Healthy:       r.Endpoint.Healthy,
		Leaving:       r.State == messenger.AgentLeaving,
		Revision:      r.Revision,
	}
}
