package faker

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// announceInterval is the time between two announcements by Announce, and the time limit of each. It is shorter than
	// the 3 s after which an agent drops an endpoint that has not announced itself again.
	announceInterval = time.Second
	// maxAnswerBytes limits RequestBody.AnswerBytes.
	maxAnswerBytes = 64 << 20
)

// Endpoint is a stand-in for a service endpoint. Its exported fields must be set before it serves.
type Endpoint struct {
	ID      descriptor.EndpointID
	Service descriptor.ServiceID
	// URL is the announced URL of the endpoint.
	URL string
	// Slots is the maximum number of requests that run at the same time; 0 means 8.
	Slots int
	// Connections is the announced limit of open connections; 0 means 64.
	Connections int
	// ServiceTime is the run time of a request that does not set RequestBody.ServiceTime.
	ServiceTime time.Duration

	mu              sync.Mutex
	switches        EndpointSwitches
	switchChanges   broadcast
	leaving         bool
	stats           EndpointStats
	runs            map[requestKey]*RequestRuns
	cutSampler      sampler
	openConnections map[net.Conn]bool
}

// EndpointSwitches are the faults that an Endpoint simulates.
type EndpointSwitches struct {
	// FailEverything makes the endpoint answer 500 after it has run a request.
	FailEverything bool
	// Slow is added to the service time of every request.
	Slow descriptor.Duration
	// CutAnswers is the share of answers, from 0 to 1, that are cut off in the middle.
	CutAnswers float64
	// Silent holds back the answers to all requests while it is set. Requests still run, and keep their slots until they
	// are answered or the caller disconnects.
	Silent bool
}

// EndpointStats are the counters of an Endpoint since its creation. It is also the answer to GET /admin/stats.
type EndpointStats struct {
	// Started counts runs. At its end a run is counted as Finished, Failed, Cut (its answer was cut off in the middle) or
	// Abandoned. Refused counts requests that were not run because no slot was free.
	Started, Finished, Refused, Failed, Cut int64
	// Abandoned counts runs whose caller disconnected before the answer.
	Abandoned int64
	// Busy is the number of slots in use, MaxBusy the highest such number so far.
	Busy, MaxBusy int
	// Connections is the number of open connections, MaxConnections the highest such number so far. Both are 0 unless
	// the server calls Endpoint.ConnState.
	Connections, MaxConnections int
	// Announcements counts the announcements by Announce that the agent accepted.
	Announcements int64
	// Runs has one element for each request that was run, in no particular order.
	Runs []RequestRuns
}

// RequestRuns counts the runs of one request at one endpoint. Count is the number of runs that were started.
type RequestRuns struct {
	Workspace descriptor.WorkspaceID
	Request   descriptor.RequestID
	Class     descriptor.ClassID
	Count     int
	// Finished is the number of runs that were answered in full.
	Finished int
	// First and Last are the start times of the first and the last run.
	First, Last time.Time
}

// requestKey identifies a request, whose id is unique only within its workspace.
type requestKey struct {
	workspace descriptor.WorkspaceID
	request   descriptor.RequestID
}

// RequestBody holds the fields of a request body that control the stand-in. They are all zero for a body that is not
// JSON of this form.
type RequestBody struct {
	// ServiceTime, if above 0, replaces Endpoint.ServiceTime.
	ServiceTime descriptor.Duration `json:",omitempty"`
	// AnswerBytes is the size of the padding in the answer. A size above maxAnswerBytes is reduced to it, and one below 0
	// means no padding.
	AnswerBytes int `json:",omitempty"`
}

// EndpointAnswer is the answer to a request. It depends only on the request, so a test can use ExpectedAnswer to check
// that a caller got the complete answer to its own request.
type EndpointAnswer struct {
	Workspace descriptor.WorkspaceID
	Request   descriptor.RequestID
	// BodyHash is the SHA-256 of the request body in hex.
	BodyHash string
	// Padding repeats BodyHash up to a length of RequestBody.AnswerBytes.
	Padding string `json:",omitempty"`
}

// ExpectedAnswer returns the complete body with which every Endpoint answers the request.
func ExpectedAnswer(ws descriptor.WorkspaceID, id descriptor.RequestID, body []byte) []byte {
	sum := sha256.Sum256(body)
	a := EndpointAnswer{Workspace: ws, Request: id, BodyHash: hex.EncodeToString(sum[:])}
	if n := min(parseBody(body).AnswerBytes, maxAnswerBytes); n > 0 {
		a.Padding = strings.Repeat(a.BodyHash, n/len(a.BodyHash)+1)[:n]
	}
	data, err := json.Marshal(a)
	if err != nil {
		panic(err) // A struct of strings always encodes.
	}
	return data
}

// parseBody decodes a request body; the result is zero if the body is not JSON of the form of RequestBody.
func parseBody(body []byte) RequestBody {
	var b RequestBody
	if json.Unmarshal(body, &b) != nil {
		return RequestBody{}
	}
	return b
}

// UpdateSwitches applies change to the faults. change must not call methods of e, because e is locked.
func (e *Endpoint) UpdateSwitches(change func(*EndpointSwitches)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.switches)
	e.switchChanges.notify()
}

// Leave marks the endpoint as leaving in all further announcements.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Stats returns a copy of the counters, which later calls do not change.
func (e *Endpoint) Stats() EndpointStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.stats
	for _, r := range e.runs {
		st.Runs = append(st.Runs, *r)
	}
	return st
}

// RunCount returns how many runs of a request were started at e, whether they were answered or not.
func (e *Endpoint) RunCount(ws descriptor.WorkspaceID, id descriptor.RequestID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[requestKey{ws, id}]; r != nil {
		return r.Count
	}
	return 0
}

// ConnState counts open connections. It must be set as the ConnState of the http.Server that serves e.
func (e *Endpoint) ConnState(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.openConnections == nil {
		e.openConnections = map[net.Conn]bool{}
	}
	switch state {
	case http.StateNew:
		e.openConnections[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.openConnections, c)
	}
	e.stats.Connections = len(e.openConnections)
	e.stats.MaxConnections = max(e.stats.MaxConnections, len(e.openConnections))
}

// ServeHTTP implements the HTTP interface of an endpoint, and the paths under /admin/ that control the stand-in.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /serve":
		e.serve(w, r)
	case "GET /admin/stats":
		writeJSON(w, http.StatusOK, e.Stats())
	case "PUT /admin/switches":
		e.mu.Lock()
		switches := e.switches
		e.mu.Unlock()
		if err := decodeJSON(r.Body, &switches); err != nil {
			writeError(w, http.StatusBadRequest, "%v", err)
			return
		}
		e.UpdateSwitches(func(s *EndpointSwitches) { *s = switches })
		writeJSON(w, http.StatusOK, switches)
	default:
		writeError(w, http.StatusNotFound, "no such path: %s %s", r.Method, r.URL.Path)
	}
}

// serve runs a request and answers it. The answer is 400 for an invalid request and 503 if no slot is free; neither is
// counted as a run.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	ws := descriptor.WorkspaceID(r.Header.Get("Workspace"))
	id := descriptor.RequestID(r.Header.Get("Request-Id"))
	class := descriptor.ClassID(r.Header.Get("Class"))
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || ws == "" || id == "" || len(body) > maxBodyBytes {
		writeError(w, http.StatusBadRequest, "want headers Workspace and Request-Id and a whole body: %v", err)
		return
	}
	run, ok := e.beginRun(ws, id, class)
	if !ok {
		writeError(w, http.StatusServiceUnavailable, "no free slot")
		return
	}
	e.simulateService(parseBody(body))
	e.respond(w, r, run, ExpectedAnswer(ws, id, body))
}

// beginRun takes a slot and counts the run. It returns false when no slot is free.
func (e *Endpoint) beginRun(ws descriptor.WorkspaceID, id descriptor.RequestID, class descriptor.ClassID) (*RequestRuns, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stats.Busy >= e.slotLimit() {
		e.stats.Refused++
		return nil, false
	}
	now := time.Now()
	run := e.runs[requestKey{ws, id}]
	if run == nil {
		if e.runs == nil {
			e.runs = map[requestKey]*RequestRuns{}
		}
		run = &RequestRuns{Workspace: ws, Request: id, Class: class, First: now}
		e.runs[requestKey{ws, id}] = run
	}
	run.Count++
	run.Last = now
	e.stats.Started++
	e.stats.Busy++
	e.stats.MaxBusy = max(e.stats.MaxBusy, e.stats.Busy)
	return run, true
}

// slotLimit returns Slots, or 8 if Slots is 0.
func (e *Endpoint) slotLimit() int {
	if e.Slots == 0 {
		return 8
	}
	return e.Slots
}

// simulateService sleeps for the service time. As in a real endpoint, a run continues when the caller disconnects.
func (e *Endpoint) simulateService(b RequestBody) {
	e.mu.Lock()
	duration := e.ServiceTime + e.switches.Slow.TimeDuration()
	if b.ServiceTime > 0 {
		duration = b.ServiceTime.TimeDuration() + e.switches.Slow.TimeDuration()
	}
	e.mu.Unlock()
	time.Sleep(duration)
}

// respond waits while the endpoint is silent, frees the slot and sends the answer, unless a fault makes it fail or cut
// off the answer.
func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, run *RequestRuns, body []byte) {
	e.waitWhileSilent(r.Context())
	e.mu.Lock()
	mustFail := e.switches.FailEverything
	mustCut := !mustFail && e.cutSampler.selectNext(e.switches.CutAnswers)
	switch {
	case r.Context().Err() != nil:
		e.stats.Abandoned++
	case mustFail:
		e.stats.Failed++
	case mustCut:
		e.stats.Cut++
	default:
		e.stats.Finished++
		run.Finished++
	}
	e.stats.Busy--
	e.mu.Unlock()
	if mustFail {
		writeError(w, http.StatusInternalServerError, "switched to fail")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	if !mustCut {
		w.Write(body)
		return
	}
	w.Write(body[:len(body)/2])
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	panic(http.ErrAbortHandler)
}

// waitWhileSilent waits until the endpoint is not silent or ctx ends.
func (e *Endpoint) waitWhileSilent(ctx context.Context) {
	for {
		e.mu.Lock()
		silent, changed := e.switches.Silent, e.switchChanges.subscribe()
		e.mu.Unlock()
		if !silent {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Announcement is the body of an endpoint's announcement to its agent.
type Announcement struct {
	ID          descriptor.EndpointID
	Service     descriptor.ServiceID
	URL         string
	Slots       int
	Connections int
	Leaving     bool
}

// Announce announces e to the agent at agentURL at once and then every second until ctx ends. It ignores failures.
func (e *Endpoint) Announce(ctx context.Context, agentURL string, client *http.Client) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := e.AnnounceOnce(ctx, agentURL, client); err == nil {
			e.mu.Lock()
			e.stats.Announcements++
			e.mu.Unlock()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// AnnounceOnce sends one announcement to the agent at agentURL, for at most 1 s. It returns an error unless the agent
// accepts it, and does not count it in EndpointStats.Announcements.
func (e *Endpoint) AnnounceOnce(ctx context.Context, agentURL string, client *http.Client) error {
	e.mu.Lock()
	announcement := Announcement{ID: e.ID, Service: e.Service, URL: e.URL, Slots: e.slotLimit(), Connections: e.Connections, Leaving: e.leaving}
	e.mu.Unlock()
	if announcement.Connections == 0 {
		announcement.Connections = 64
	}
	data, err := json.Marshal(announcement)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, agentURL+"/v1/endpoint", bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode >= 300 {
		return fmt.Errorf("the agent answered %s", response.Status)
	}
	return nil
}
