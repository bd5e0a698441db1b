package coordinator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/pkg/validator"
)

// maxHTTPBody is the maximum size in bytes of an HTTP request body. The Body of a request, of up to validator.MaxBody
// bytes, grows by a third in base64.
const maxHTTPBody = 2_000_000

// ErrorResponse is the JSON body of every error response of the API.
type ErrorResponse struct {
	Error string
	// Fields lists the invalid fields of a rejected object.
	Fields []validator.FieldError `json:",omitempty"`
	// Result is NotRun if it is certain that nothing ran.
	Result descriptor.Result `json:",omitempty"`
}

// httpError is an error with the HTTP status and body of its response.
type httpError struct {
	status   int
	response ErrorResponse
}

func (e *httpError) Error() string { return e.response.Error }

func httpErrorf(status int, format string, args ...any) error {
	return &httpError{status: status, response: ErrorResponse{Error: fmt.Sprintf(format, args...)}}
}

// notRunErrorf is like httpErrorf, for work that certainly did not start.
func notRunErrorf(status int, format string, args ...any) error {
	return &httpError{status: status, response: ErrorResponse{Error: fmt.Sprintf(format, args...), Result: descriptor.ResultNotRun}}
}

// mux returns the HTTP handler for callers and operators.
func (e *Entry) mux() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	m.HandleFunc("GET /readyz", e.serveReady)
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { e.writeMetrics(w) })
	m.HandleFunc("POST /v1/requests", e.asCaller(e.postRequest))
	m.HandleFunc("GET /v1/requests/{workspace}/{id}", e.asCaller(e.getRequest))
	m.HandleFunc("POST /v1/jobs", e.asCaller(e.postJob))
	m.HandleFunc("GET /v1/jobs", e.asCaller(e.listJobs))
	m.HandleFunc("GET /v1/jobs/{workspace}/{id}", e.asCaller(e.getJob))
	m.HandleFunc("GET /v1/jobs/{workspace}/{id}/explain", e.asCaller(e.explainJob))
	m.HandleFunc("DELETE /v1/jobs/{workspace}/{id}", e.asCaller(e.cancelJob))
	m.HandleFunc("GET /v1/configuration", e.asOperator(e.getConfiguration))
	m.HandleFunc("PUT /v1/configuration", e.asOperator(e.putConfiguration))
	m.HandleFunc("GET /v1/failure-domains", e.asOperator(e.listFailureDomains))
	m.HandleFunc("PUT /v1/failure-domains/{name}", e.asOperator(e.putFailureDomain))
	m.HandleFunc("GET /v1/status", e.asOperator(e.getStatus))
	m.HandleFunc("GET /v1/audit", e.asOperator(e.getAudit))
	return m
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.shuttingDown.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case e.basis.configuration() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ready")
	}
}

func (e *Entry) writeMetrics(w io.Writer) {
	e.metrics.Write(w)
	e.writeRegionMetrics(w)
	if e.client == nil {
		return
	}
	for kind, n := range e.client.BytesByKind() {
		fmt.Fprintf(w, "persimmontrail_message_bytes_total{kind=%q} %d\n", kind, n)
	}
	for kind, n := range e.server.BytesByKind() {
		fmt.Fprintf(w, "persimmontrail_served_bytes_total{kind=%q} %d\n", kind, n)
	}
	for call, n := range e.store.Calls() {
		fmt.Fprintf(w, "persimmontrail_store_calls_total{call=%q} %d\n", call, n)
	}
	for region, kinds := range e.client.BytesByGroup() {
		for kind, n := range kinds {
			fmt.Fprintf(w, "persimmontrail_region_bytes_total{region=%q,kind=%q} %d\n", region, kind, n)
		}
	}
}

// regionAt returns the region of the entry or agent at an address. Agents are called only in this entry's own region.
func (e *Entry) regionAt(address string) string {
	if region, ok := e.peers.regionOf(address); ok {
		return string(region)
	}
	return string(e.settings.Region)
}

// metricsTimeout bounds the wait for the scheduler's metrics. They are omitted if the scheduler is busy for longer.
const metricsTimeout = 500 * time.Millisecond

// writeRegionMetrics writes the metrics that only the scheduler of the region has.
func (e *Entry) writeRegionMetrics(w io.Writer) {
	if !e.duty.isActive() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	document, err := e.duty.answerQuery(ctx, messenger.StatusQuery{})
	var s RegionStatus
	if err != nil || json.Unmarshal(document, &s) != nil {
		return
	}
	impossible := 0
	for _, g := range s.Guarantees {
		impossible += g.Shape.Copies() - g.Possible
	}
	for _, m := range []struct {
		name  string
		value float64
	}{
		{"guarantees_impossible", float64(impossible)},
		{"jobs_known", float64(s.Jobs)},
		{"gangs", float64(s.Gangs)},
		{"accelerators_free", float64(s.Fragmentation.Free)},
		{"accelerators_unusable", float64(s.Fragmentation.Unusable)},
		{"utilisation", s.Fragmentation.Utilisation},
		{"large_jobs_waiting", float64(s.Fragmentation.LargeWaiting)},
		{"large_jobs_longest_wait_seconds", s.Fragmentation.LongestWait.Seconds()},
	} {
		fmt.Fprintf(w, "persimmontrail_region_%s{region=%q} %g\n", m.name, s.Region, m.value)
	}
}

// caller is the authenticated sender of an HTTP request.
type caller struct {
	// workspace is the only workspace that the caller may use; empty means any.
	workspace descriptor.WorkspaceID
	// isOperator is true if the caller has operator rights.
	isOperator bool
	// unverified is true if the caller has no operator rights and there is no configuration yet to verify its token
	// against.
	unverified bool
}

func (c caller) mayUse(w descriptor.WorkspaceID) bool { return c.workspace == "" || c.workspace == w }

// handlerFunc handles a request of an authenticated caller. It returns the response, to be encoded as JSON, or an
// error.
type handlerFunc func(ctx context.Context, c caller, r *http.Request) (any, error)

// asCaller returns the HTTP handler that runs h for any authenticated caller. Before the first configuration, it
// refuses callers without operator rights.
func (e *Entry) asCaller(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := e.authenticate(r)
		if c.unverified {
			_, err = e.requireConfiguration()
		}
		e.respond(w, r, h, c, err)
	}
}

// asOperator returns the HTTP handler that runs h for callers with operator rights.
func (e *Entry) asOperator(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := e.authenticate(r)
		if err == nil && !c.isOperator {
			err = httpErrorf(http.StatusForbidden, "this call needs the operator's token")
		}
		e.respond(w, r, h, c, err)
	}
}

// respond runs a handler, unless authentication has failed with err, and writes its result or the error.
func (e *Entry) respond(w http.ResponseWriter, r *http.Request, h handlerFunc, c caller, err error) {
	r.Body = http.MaxBytesReader(w, r.Body, maxHTTPBody)
	if e.shuttingDown.Load() {
		// The caller's next request needs a new connection, which its load balancer opens to another entry.
		w.Header().Set("Connection", "close")
	}
	var body any
	if err == nil {
		body, err = h(r.Context(), c, r)
	}
	if err != nil {
		status, response := errorResponseOf(err)
		e.metrics.Increment("http_errors_total", "status", fmt.Sprint(status))
		writeJSON(w, status, response)
		return
	}
	status := http.StatusOK
	if s, ok := body.(interface{ status() int }); ok {
		status = s.status()
	}
	writeJSON(w, status, body)
}

// errorResponseOf returns the HTTP status and the response body for an error.
func errorResponseOf(err error) (int, ErrorResponse) {
	var h *httpError
	var fields validator.Errors
	switch {
	case errors.As(err, &h):
		return h.status, h.response
	case errors.As(err, &fields):
		return http.StatusUnprocessableEntity, ErrorResponse{Error: err.Error(), Fields: fields, Result: descriptor.ResultNotRun}
	case errors.Is(err, keeper.ErrNotFound):
		return http.StatusNotFound, ErrorResponse{Error: err.Error()}
	case errors.Is(err, keeper.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, ErrorResponse{Error: fmt.Sprintf("the store accepts values of at most 1 MB: %v", err), Result: descriptor.ResultNotRun}
	case isStoreError(err):
		return http.StatusServiceUnavailable, ErrorResponse{Error: err.Error()}
	default:
		return http.StatusInternalServerError, ErrorResponse{Error: err.Error()}
	}
}

func isStoreError(err error) bool {
	return errors.Is(err, keeper.ErrUnavailable) || errors.Is(err, keeper.ErrOutcomeUnknown) ||
		errors.Is(err, keeper.ErrRateLimited) || errors.Is(err, context.DeadlineExceeded)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"Error":"answer cannot be written as JSON"}`)
	}
	data = append(data, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// authenticate identifies the sender of a request. If an operator's token is set, operator rights require it, and other
// callers need a workspace token once any workspace has one. If none is set, every caller has operator rights and needs
// no token. A token that belongs to nobody is rejected once there is a configuration.
func (e *Entry) authenticate(r *http.Request) (caller, error) {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if e.settings.OperatorToken == "" {
		return e.authenticateWorkspace(token, caller{isOperator: true})
	}
	if subtle.ConstantTimeCompare([]byte(token), []byte(e.settings.OperatorToken)) == 1 {
		return caller{isOperator: true}, nil
	}
	return e.authenticateWorkspace(token, caller{})
}

// authenticateWorkspace returns a caller for the workspace that the token belongs to. Without a token it returns
// anonymous, provided that anonymous is an operator or no workspace has a token. Before the first configuration it
// returns anonymous for any token, marked as unverified unless it is an operator.
func (e *Entry) authenticateWorkspace(token string, anonymous caller) (caller, error) {
	cfg := e.basis.configuration()
	if cfg == nil {
		anonymous.unverified = !anonymous.isOperator
		return anonymous, nil
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	tokenRequired := false
	for _, w := range cfg.Workspaces {
		if w.TokenHash == "" {
			continue
		}
		tokenRequired = true
		if token != "" && subtle.ConstantTimeCompare([]byte(strings.ToLower(w.TokenHash)), []byte(hash)) == 1 {
			return caller{workspace: w.Name, isOperator: anonymous.isOperator}, nil
		}
	}
	if tokenRequired && !anonymous.isOperator || token != "" {
		return caller{}, httpErrorf(http.StatusUnauthorized, "the token belongs to no workspace and is not the operator's")
	}
	return anonymous, nil
}

// decodeBody decodes the JSON body of a request into v. For an unknown field it returns an error that names the field.
func decodeBody(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return notRunErrorf(http.StatusRequestEntityTooLarge, "Body: is larger than %d bytes", tooLarge.Limit)
		}
		return notRunErrorf(http.StatusBadRequest, "body: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return notRunErrorf(http.StatusBadRequest, "body: holds more than one JSON value")
	}
	return nil
}

// requireConfiguration returns the newest configuration known to this entry, or an HTTP error if there is none.
func (e *Entry) requireConfiguration() (*descriptor.Configuration, error) {
	cfg := e.basis.configuration()
	if cfg == nil {
		return nil, notRunErrorf(http.StatusServiceUnavailable, "no configuration has been accepted yet")
	}
	return cfg, nil
}

// RequestResponse is the response to a posted request and to a lookup of its outcome.
type RequestResponse struct {
	Request   descriptor.RequestID
	Workspace descriptor.WorkspaceID
	Result    descriptor.Result
	Body      []byte `json:",omitempty"`
	Reason    string `json:",omitempty"`
	// Running is true if the request is still running, or queued at its agent.
	Running  bool                  `json:",omitempty"`
	Endpoint descriptor.EndpointID `json:",omitempty"`
}

// status returns the HTTP status for the result, which respond uses instead of 200. Unknown gives 202 Accepted, because
// the outcome may be found by a later lookup.
func (r RequestResponse) status() int {
	switch r.Result {
	case descriptor.ResultDone:
		return http.StatusOK
	case descriptor.ResultNotRun:
		return http.StatusServiceUnavailable
	case descriptor.ResultFailed:
		return http.StatusBadGateway
	default:
		return http.StatusAccepted
	}
}

func (e *Entry) postRequest(ctx context.Context, c caller, r *http.Request) (any, error) {
	var request descriptor.Request
	if err := decodeBody(r, &request); err != nil {
		return nil, err
	}
	cfg, err := e.requireConfiguration()
	if err != nil {
		return nil, err
	}
	if request.Workspace == "" {
		request.Workspace = c.workspace
	}
	if !c.mayUse(request.Workspace) {
		return nil, notRunErrorf(http.StatusForbidden, "Workspace: the token is not one of workspace %q", request.Workspace)
	}
	if err := validator.CheckRequest(&request, cfg); err != nil {
		return nil, err
	}
	// A non-idempotent request continues after its caller disconnects, so that its outcome is recorded.
	class := *validator.FindClass(cfg, request.Class)
	if class.NonIdempotent {
		ctx = context.WithoutCancel(ctx)
	}
	a := e.serve(ctx, request, class, false)
	return RequestResponse{
		Request:   request.ID,
		Workspace: request.Workspace,
		Result:    a.Result,
		Body:      a.Body,
		Reason:    a.Reason,
		Running:   a.Running,
		Endpoint:  a.Endpoint,
	}, nil
}

func (e *Entry) getRequest(ctx context.Context, c caller, r *http.Request) (any, error) {
	w := descriptor.WorkspaceID(r.PathValue("workspace"))
	if !c.mayUse(w) {
		return nil, httpErrorf(http.StatusNotFound, "no such request")
	}
	a, err := e.lookUpRequest(ctx, w, descriptor.RequestID(r.PathValue("id")))
	// The response is the same as for a request of another workspace, so that callers cannot probe for requests of
	// other workspaces.
	if errors.Is(err, keeper.ErrNotFound) {
		return nil, httpErrorf(http.StatusNotFound, "no such request")
	}
	if err != nil {
		return nil, err
	}
	return RequestResponse{Request: a.Request, Workspace: w, Result: a.Result, Body: a.Body, Reason: a.Reason, Running: a.Running, Endpoint: a.Endpoint}, nil
}

func formatRevision(r descriptor.Revision) string { return fmt.Sprint(int64(r)) }

// formatEpoch formats an epoch as the number of the term granted by the store. For a term begun without the store, a
// plus sign and the low bits follow, which count the terms begun without the store since that term.
func formatEpoch(e descriptor.Epoch) string {
	term := e >> actingEpochBits
	acting := e & (1<<actingEpochBits - 1)
	if acting == 0 {
		return fmt.Sprint(int64(term))
	}
	return fmt.Sprintf("%d+%d", int64(term), int64(acting))
}

// changeRetryInterval is the time between two tries to apply or distribute an operator's change.
const changeRetryInterval = 20 * time.Millisecond
