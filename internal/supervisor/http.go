package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"persimmontrail/internal/enforcer"
	"persimmontrail/pkg/descriptor"
)

const (
	maxAnnouncementBytes = 16 << 10
	// maxHistograms bounds the number of request histograms, and thereby the memory of the metrics. Requests of further
	// workspaces and classes share one histogram.
	maxHistograms = 256
)

func (a *agent) mux() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /v1/endpoint", a.handleAnnouncement)
	m.HandleFunc("GET /v1/state", a.handleState)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	m.HandleFunc("GET /readyz", a.handleReady)
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { a.metrics.WritePrometheus(w) })
	return m
}

func (a *agent) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var e enforcer.EndpointAnnouncement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&e)
	switch {
	case err != nil:
	case e.ID == "" || e.Service == "":
		err = errors.New("the fields ID and Service must not be empty")
	case !isHTTPURL(e.URL):
		err = errors.New("the field URL must be an http URL")
	case e.Slots < 1 || e.Connections < 1:
		err = errors.New("the fields Slots and Connections must be at least 1")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.enforcer.Announce(e)
	w.WriteHeader(http.StatusNoContent)
}

func (a *agent) handleState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(struct {
		Agent    string
		Entries  []string
		Snapshot enforcer.Snapshot
	}{a.id, a.reports.entries(), a.enforcer.Snapshot(0)})
}

// handleReady responds with an error while no work can start on this agent.
func (a *agent) handleReady(w http.ResponseWriter, _ *http.Request) {
	s := a.enforcer.Snapshot(^uint64(0)) // The highest version, so that the snapshot contains no gangs.
	switch {
	case s.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !s.PermitValid:
		http.Error(w, "no valid permit", http.StatusServiceUnavailable)
	case a.settings.WorkerURL != "" && s.Worker == nil:
		http.Error(w, "worker is not known yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}

func (a *agent) registerMetrics() {
	a.metrics.NewGauge("persimmontrail_agent_active_gangs", func() float64 { return float64(a.enforcer.ActiveGangs()) })
	a.metrics.NewGauge("persimmontrail_agent_pending_requests", func() float64 { return float64(a.enforcer.PendingRequests()) })
}

func (a *agent) countReport(err error) { a.countResult("persimmontrail_agent_reports_total", err) }

func (a *agent) countStart(err error) { a.countResult("persimmontrail_agent_task_starts_total", err) }

// countResult increments the counter with the given name and the result that err stands for.
func (a *agent) countResult(name string, err error) {
	result := "ok"
	switch {
	case errors.Is(err, enforcer.ErrNotRun):
		result = "not_run"
	case errors.Is(err, enforcer.ErrFailed):
		result = "failed"
	case err != nil:
		result = "unknown"
	}
	a.metrics.GetOrCreateCounter(fmt.Sprintf("%s{result=%q}", name, result)).Inc()
}

func (a *agent) countRequest(r descriptor.Request, err error, elapsed time.Duration) {
	a.countResult("persimmontrail_agent_requests_total", err)
	name := fmt.Sprintf("persimmontrail_agent_request_seconds{workspace=%q,class=%q}", r.Workspace, r.Class)
	if !a.histograms.add(name) {
		name = `persimmontrail_agent_request_seconds{workspace="other",class="other"}`
	}
	a.metrics.GetOrCreateHistogram(name).Update(elapsed.Seconds())
}

// nameSet is a set of at most maxHistograms metric names.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// add adds a name unless the set is full, and reports whether the set contains it.
func (s *nameSet) add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] {
		return true
	}
	if len(s.names) >= maxHistograms {
		return false
	}
	if s.names == nil {
		s.names = make(map[string]bool)
	}
	s.names[name] = true
	return true
}
