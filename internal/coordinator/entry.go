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

// shutdownLimit bounds a graceful shutdown.
const shutdownLimit = 30 * time.Second

const (
	// noticeTime is how long a leaving entry still takes requests, so that a balancer that polls readyz every second
	// stops using it before its connections end.
	noticeTime = 2 * time.Second
	// drainLimit is how long requests may take after an entry began to leave; later ones are answered Unknown. The rest
	// of shutdownLimit is for their answers.
	drainLimit = 26 * time.Second
)

// Entry is one entry process.
type Entry struct {
	settings Settings
	log      *log.Logger
	now      func() time.Time
	call     CallFunc
	client   *messenger.Client
	server   *messenger.Server
	// address is where agents and other entries reach this entry.
	address     string
	httpAddress string

	store          *keeper.Store
	configurations keeper.Configurations
	// reader confirms the configuration.
	reader keeper.ConfigurationReader
	claims keeper.Claims
	basis  basis
	peers  peers
	agents agentTable
	router dispatcher.Router
	// routing is held while the router takes over a configuration.
	routing   sync.Mutex
	jobs      jobCache
	duty      schedulingDuty
	metrics   recorder.Metrics
	trail     recorder.Trail
	startedAt time.Time
	// writes numbers this entry's changes of the configuration, so that each can be recognised.
	writes atomic.Int64
	// leaving is set when a graceful shutdown begins, after leavingAt.
	leaving   atomic.Bool
	leavingAt atomic.Pointer[time.Time]
	// serving counts requests of callers that are not answered yet.
	serving sync.WaitGroup
	// drained ends drainLimit after the entry began to leave, and endDrain ends it.
	drained  context.Context
	endDrain context.CancelFunc
}

// Run runs an entry until ctx ends, then shuts it down gracefully.
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
	e.reader.Store = e.store
	e.claims = keeper.Claims{Store: e.store}
	e.router.Region = s.Region
	e.router.FailureDomain = s.FailureDomain
	e.router.Now = e.now
	e.router.LinkCost = linkCost
	e.jobs.region = s.Region
	e.duty.entry = e
	e.duty.commands = make(chan func(), commandQueue)
	e.peers.entry = e
	e.duty.wakeups = make(chan struct{}, 1)
	e.duty.resigning = make(chan struct{})
	e.duty.resigned = make(chan struct{})
	e.duty.records = newRecordWriter()
	e.drained, e.endDrain = context.WithCancel(context.Background())
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
		return fmt.Errorf("listen for callers: %w", err)
	}
	e.httpAddress = listener.Addr().String()
	if e.settings.HTTPTLS != nil {
		listener = tls.NewListener(listener, e.settings.HTTPTLS)
	}
	web := &http.Server{Handler: e.mux(), ReadHeaderTimeout: 5 * time.Second}

	// Duties outlive ctx, so that running requests can finish during the shutdown.
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	var running sync.WaitGroup
	failed := make(chan error, 2)
	running.Go(func() { failed <- e.server.Serve(duties) })
	running.Go(func() { failed <- web.Serve(listener) })
	running.Go(func() { e.confirmLoop(duties) })
	running.Go(func() { e.peers.loop(duties) })
	running.Go(func() { e.jobs.loop(duties, e) })
	running.Go(func() { e.duty.loop(duties) })
	e.log.Info("entry listens", "name", e.settings.Name, "http", e.httpAddress, "address", e.address)
	if e.settings.Ready != nil {
		e.settings.Ready(e.httpAddress, e.address)
	}

	var result error
	select {
	case <-ctx.Done():
	case result = <-failed:
	}
	e.shutdown(web)
	stopDuties()
	running.Wait()
	return ignoreClosed(result)
}

// shutdown gives up the term and the membership while requests are still
// taken, then stops taking them and lets the running ones finish, within shutdownLimit.
func (e *Entry) shutdown(web *http.Server) {
	e.log.Info("entry leaves", "limit", shutdownLimit)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	e.beginDrain()
	defer e.endDrain()
	notice := time.NewTimer(noticeTime)
	defer notice.Stop()
	e.duty.release(ctx)
	e.peers.leave(ctx)
	<-notice.C
	if err := web.Shutdown(ctx); err != nil {
		e.log.Warn("requests were cut at the limit of the shutdown", "err", err)
	}
	if err := e.server.Shutdown(ctx); err != nil {
		e.log.Warn("messages were cut at the limit of the shutdown", "err", err)
	}
	e.awaitServing(ctx)
	if e.client != nil {
		_ = e.client.Close()
	}
	e.log.Info("entry stopped")
}

// beginDrain makes readyz fail and bounds the time of requests.
func (e *Entry) beginDrain() {
	now := e.now()
	e.leavingAt.Store(&now)
	e.leaving.Store(true)
	time.AfterFunc(drainLimit, e.endDrain)
}

// awaitServing waits for requests and the records of their outcomes until ctx ends.
func (e *Entry) awaitServing(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		e.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		e.log.Warn("requests were left at the limit of the shutdown")
	}
}

func ignoreClosed(err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (e *Entry) registerGauges() {
	e.metrics.Gauge("configuration_revision", func() float64 { return float64(e.basis.revision()) })
	e.metrics.Gauge("configuration_basis_age_seconds", func() float64 {
		age, _ := e.basis.age(e.now())
		return age.Seconds()
	})
	e.metrics.Gauge("store_reached", func() float64 { return asNumber(e.basis.storeReached(e.now())) })
	e.metrics.Gauge("scheduler", func() float64 { return asNumber(e.duty.isActive()) })
	e.metrics.Gauge("permit_left_seconds", func() float64 { return e.basis.permit(e.now()).ValidFor.Seconds() })
	e.metrics.Gauge("agents_silent", func() float64 {
		silent := 0
		for _, a := range e.agents.all() {
			if !a.replaced && a.isSilent(e.now()) {
				silent++
			}
		}
		return float64(silent)
	})
	e.metrics.Gauge("agents", func() float64 { return float64(len(e.agents.all())) })
}

func asNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (e *Entry) audit(subject, action, reason string) {
	e.trail.Add(recorder.AuditRecord{At: e.now(), Subject: subject, Action: action, Reason: reason, By: string(e.settings.Name)})
}

// handle serves messages of agents and other entries.
func (e *Entry) handle(ctx context.Context, from messenger.Identity, kind messenger.Kind, body []byte) (any, error) {
	if kind != messenger.KindReport && from.Role != messenger.RoleEntry {
		return nil, fmt.Errorf("role %s may not send %s", from.Role, kind)
	}
	switch kind {
	case messenger.KindReport:
		return decodeAndHandle(body, func(r messenger.Report) (any, error) { return e.handleReport(r), nil })
	case messenger.KindPeer:
		return decodeAndHandle(body, func(p messenger.Peer) (any, error) { return e.peers.answer(p), nil })
	case messenger.KindJobChanged:
		return decodeAndHandle(body, func(c messenger.JobChanged) (any, error) { return e.handleJobChanged(c) })
	case messenger.KindForward:
		return decodeAndHandle(body, func(f messenger.Forward) (any, error) { return e.handleForward(ctx, f), nil })
	case messenger.KindExplain:
		return decodeAndHandle(body, func(q messenger.ExplainQuery) (any, error) { return e.duty.explainDocument(ctx, q.Key) })
	case messenger.KindStatus:
		return decodeAndHandle(body, func(messenger.StatusQuery) (any, error) { return e.duty.statusDocument(ctx) })
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

// handleReport takes over what an agent tells and answers with its permit.
func (e *Entry) handleReport(r messenger.Report) messenger.ReportAnswer {
	now := e.now()
	complete, fresh, resend := e.agents.update(r, now)
	if fresh && complete.Endpoint != nil {
		e.router.Update(endpointState(complete), now)
	}
	if fresh && complete.Endpoint == nil {
		e.router.Remove(complete.Agent)
	}
	answer := messenger.ReportAnswer{
		Permit:    e.basis.permit(now),
		Entries:   e.peers.addressesIn(e.settings.Region),
		Scheduler: e.duty.isActive(),
		Epoch:     e.duty.epochSeen(),
		Resend:    resend,
	}
	answer.Acknowledged = e.duty.acknowledge(complete.Tasks)
	e.agents.drop(r.Agent, answer.Acknowledged)
	if fresh && len(r.Tasks) > 0 {
		e.duty.wake()
	}
	return answer
}

func endpointState(r messenger.Report) dispatcher.EndpointState {
	return dispatcher.EndpointState{
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
