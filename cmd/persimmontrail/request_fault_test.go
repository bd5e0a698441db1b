package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/faker"
	"persimmontrail/pkg/descriptor"
)

// loadBalancer distributes requests over the entries that report ready. Like the platform's load
// balancer, it repeats a request only if the connection was refused.
type loadBalancer struct {
	client    *http.Client
	mu        sync.Mutex
	entryURLs []string
	readyURLs []string
	nextIndex atomic.Int64
}

// newLoadBalancer returns a load balancer that probes its entries every 100 ms until the test ends.
func newLoadBalancer(t *testing.T) *loadBalancer {
	b := &loadBalancer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 40 * time.Second}}
	stop, probingEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(probingEnded)
		for {
			b.probe()
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-probingEnded
		b.client.CloseIdleConnections()
	})
	return b
}

// add registers an entry and probes it at once.
func (b *loadBalancer) add(p *process) {
	b.mu.Lock()
	b.entryURLs = append(b.entryURLs, p.url)
	b.mu.Unlock()
	b.probe()
}

// probe sets readyURLs to the entries that report ready.
func (b *loadBalancer) probe() {
	b.mu.Lock()
	urls := slices.Clone(b.entryURLs)
	b.mu.Unlock()
	var ready []string
	for _, u := range urls {
		r, err := http.Get(u + "/readyz")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			ready = append(ready, u)
		}
	}
	b.mu.Lock()
	b.readyURLs = ready
	b.mu.Unlock()
}

// post sends the request to ready entries in turn, until one accepts the connection. Each call
// continues where the last one ended.
func (b *loadBalancer) post(request descriptor.Request) (response coordinator.RequestResponse, err error) {
	data, err := json.Marshal(request)
	if err != nil {
		return response, err
	}
	b.mu.Lock()
	ready := slices.Clone(b.readyURLs)
	b.mu.Unlock()
	for range ready {
		u := ready[int(b.nextIndex.Add(1))%len(ready)]
		var r *http.Response
		r, err = b.client.Post(u+"/v1/requests", "application/json", bytes.NewReader(data))
		if errors.Is(err, syscall.ECONNREFUSED) {
			continue
		}
		if err != nil {
			return response, err
		}
		defer r.Body.Close()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return response, err
		}
		return response, json.Unmarshal(body, &response)
	}
	return response, fmt.Errorf("no entry is ready: %w", err)
}

// startRequestLoad runs callers that send requests until stop is closed; every fourth caller sends
// non-idempotent ones. The returned function waits for the callers and returns the number of answers by
// result, the failures, and the ids of the non-idempotent requests.
func (b *loadBalancer) startRequestLoad(callerCount int, stop <-chan struct{}) func() (answers map[descriptor.Result]int, failures []string, nonIdempotentIDs []descriptor.RequestID) {
	var mu sync.Mutex
	answers := map[descriptor.Result]int{}
	var failures []string
	var nonIdempotentIDs []descriptor.RequestID
	var wg sync.WaitGroup
	for c := range callerCount {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				request := descriptor.Request{ID: descriptor.RequestID(fmt.Sprintf("l%d-%d", c, i)), Workspace: "atelier", Class: "Preview", Body: []byte(`{"ServiceTime":"100ms"}`)}
				if c%4 == 0 {
					request.Class = "Nesting"
				}
				a, err := b.post(request)
				mu.Lock()
				answers[a.Result]++
				switch {
				case err != nil:
					failures = append(failures, fmt.Sprintf("%s: no answer: %v", request.ID, err))
				case a.Result != descriptor.ResultDone:
					failures = append(failures, fmt.Sprintf("%s: %s: %s", request.ID, a.Result, a.Reason))
				case !bytes.Equal(a.Body, faker.ExpectedAnswer("atelier", request.ID, request.Body)):
					failures = append(failures, fmt.Sprintf("%s: wrong answer %q", request.ID, a.Body))
				}
				if request.Class == "Nesting" {
					nonIdempotentIDs = append(nonIdempotentIDs, request.ID)
				}
				mu.Unlock()
			}
		})
	}
	return func() (map[descriptor.Result]int, []string, []descriptor.RequestID) {
		wg.Wait()
		return answers, failures, nonIdempotentIDs
	}
}

// requestRunCounts returns how often the endpoint stand-ins ran each request.
func (s *system) requestRunCounts() map[descriptor.RequestID]int {
	s.t.Helper()
	counts := map[descriptor.RequestID]int{}
	for _, p := range s.endpoints {
		var stats faker.EndpointStats
		assert.NilError(s.t, getJSON(p.url+"/admin/stats", &stats))
		for _, r := range stats.Runs {
			counts[r.Request] += r.Count
		}
	}
	return counts
}

// TestRollingReplacementLosesNoRequest guards against requests that are aborted or wrongly refused, and
// non-idempotent ones that run twice, while every entry and every agent is replaced under load, and
// against a graceful shutdown of 30 s or more. The test fails if an entry refuses requests while it shuts
// down, or if non-idempotent requests are not tried again at another agent.
func TestRollingReplacementLosesNoRequest(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.startEntry(montreal)
	s.startEntry(montreal)
	for i := range 3 {
		s.startVM(fmt.Sprintf("old-%d", i), montreal)
	}
	s.apply(testConfiguration())
	b := newLoadBalancer(t)
	for _, e := range s.entries {
		s.awaitReadyAgents(e, 3)
		b.add(e)
	}
	stop := make(chan struct{})
	awaitLoad := b.startRequestLoad(16, stop)
	longestStop := time.Duration(0)
	stopGracefully := func(p *process) {
		stopStart := time.Now()
		assert.Equal(t, p.stop(), 0, "%s: %s", p.name, tail(p.stderr.String(), 2000))
		longestStop = max(longestStop, time.Since(stopStart))
	}
	for i, old := range slices.Clone(s.agents) {
		s.startVM(fmt.Sprintf("new-%d", i), montreal)
		s.eventually(10*time.Second, "the new agent serves", func() error {
			var stats faker.EndpointStats
			if err := getJSON(s.endpoints[3+i].url+"/admin/stats", &stats); err != nil {
				return err
			}
			if stats.Started == 0 {
				return errors.New("no request started")
			}
			return nil
		})
		stopGracefully(old)
	}
	for _, old := range slices.Clone(s.entries) {
		e := s.startEntry(montreal)
		s.awaitReadyAgents(e, 3)
		b.add(e)
		stopGracefully(old)
	}
	close(stop)
	answers, failures, nonIdempotentIDs := awaitLoad()
	counts := s.requestRunCounts()
	for _, id := range nonIdempotentIDs {
		if counts[id] > 1 {
			failures = append(failures, fmt.Sprintf("%s ran %d times", id, counts[id]))
		}
	}
	t.Logf("answers %v while 3 agents and 2 entries were replaced; longest stop %v", answers, longestStop)
	assert.Equal(t, len(failures), 0, "%d faults, the first: %v", len(failures), failures[:min(len(failures), 5)])
	assert.Assert(t, longestStop < 30*time.Second)
}

// TestSecondSignalStopsAtOnce guards against a process that ignores a second signal while a request
// delays its shutdown.
func TestSecondSignalStopsAtOnce(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"entry", "agent"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			s.startEntry(montreal)
			s.startVM("worker-0", montreal)
			s.apply(testConfiguration())
			s.awaitReadyAgents(s.entries[0], 1)
			go func() {
				request := descriptor.Request{ID: "long", Workspace: "atelier", Class: "Nesting", Body: []byte(`{"ServiceTime":"15s"}`)}
				var response coordinator.RequestResponse
				_, _ = sendJSON(http.MethodPost, s.entries[0].url+"/v1/requests", request, &response)
			}()
			s.eventually(5*time.Second, "the request runs", func() error {
				if s.requestRunCount("long") == 0 {
					return errors.New("not yet")
				}
				return nil
			})
			p := map[string]*process{"entry": s.entries[0], "agent": s.agents[0]}[role]
			p.signal(syscall.SIGTERM)
			s.eventually(5*time.Second, "the process is no longer ready", func() error {
				r, err := http.Get(p.url + "/readyz")
				if err != nil {
					return err
				}
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					return errors.New("still ready")
				}
				return nil
			})
			secondSignalAt := time.Now()
			assert.Assert(t, p.stop() != 0)
			assert.Assert(t, time.Since(secondSignalAt) < 5*time.Second, "%v", time.Since(secondSignalAt))
		})
	}
}

// TestForwardToOtherRegionWhenEndpointsAreGone guards against requests that fail although another
// region could serve them, and against traffic between regions that the metrics do not count. The test
// fails if idempotent requests are not forwarded, or if the entry's message client is not told which
// addresses belong to other regions.
func TestForwardToOtherRegionWhenEndpointsAreGone(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	entry := s.startEntry(montreal)
	s.startVM("near", montreal)
	far := s.startEntry(location{region: "qc-nord", failureDomain: "Saguenay"})
	s.apply(testConfiguration())
	s.awaitReadyAgents(entry, 1)
	// startAgent passes all of s.entries to the agent, which must get those of its own region only.
	s.entries = []*process{far}
	s.startVM("far", location{region: "qc-nord", failureDomain: "Saguenay", rack: "Saguenay-1"})
	s.entries = []*process{entry, far}
	s.awaitReadyAgents(far, 1)
	assert.NilError(t, s.checkRequest(entry, "Preview", "local"))
	bytesToOtherRegion := func() map[string]int {
		byKind := map[string]int{}
		r, err := http.Get(entry.url + "/metrics")
		assert.NilError(t, err)
		defer r.Body.Close()
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			var kind string
			var n int
			if _, err := fmt.Sscanf(lines.Text(), "persimmontrail_region_bytes_total{region=\"qc-nord\",kind=%q} %d", &kind, &n); err == nil {
				byKind[kind] = n
			}
		}
		return byKind
	}
	before := bytesToOtherRegion()
	assert.Equal(t, before["Forward"], 0, "%v", before)
	s.agents[0].kill()
	s.eventually(10*time.Second, "requests are forwarded", func() error { return s.checkRequest(entry, "Preview", fmt.Sprint("f", time.Now().UnixNano())) })
	const requestCount = 20
	forwardedBefore := bytesToOtherRegion()["Forward"]
	for i := range requestCount {
		assert.NilError(t, s.checkRequest(entry, "Preview", fmt.Sprint("r", i)))
	}
	after := bytesToOtherRegion()
	t.Logf("bytes over the link by kind %v; %d a forwarded request", after, (after["Forward"]-forwardedBefore)/requestCount)
	assert.Assert(t, after["Forward"] > forwardedBefore)
}

// TestRequestOutlivesKilledAndFrozenProcesses guards against a second run and a lost outcome of a
// non-idempotent request when a process is killed or frozen while the request runs and the caller
// repeats it at another entry. The test fails if an entry runs a request that another entry has
// already claimed.
func TestRequestOutlivesKilledAndFrozenProcesses(t *testing.T) {
	cases := map[string]struct {
		target func(s *system) *process
		fault  func(p *process)
		want   descriptor.Result
	}{
		"entry killed": {func(s *system) *process { return s.entries[0] }, func(p *process) { p.kill() }, descriptor.ResultDone},
		"entry frozen": {func(s *system) *process { return s.entries[0] }, func(p *process) { p.signal(syscall.SIGSTOP) }, descriptor.ResultDone},
		"agent killed": {func(s *system) *process { return s.agents[0] }, func(p *process) { p.kill() }, descriptor.ResultUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			s.startEntry(montreal)
			s.startEntry(montreal)
			s.startVM("worker-0", montreal)
			s.apply(testConfiguration())
			for _, e := range s.entries {
				s.awaitReadyAgents(e, 1)
			}
			request := descriptor.Request{ID: "n", Workspace: "atelier", Class: "Nesting", Body: []byte(`{"ServiceTime":"2s"}`)}
			firstAnswered := make(chan struct{})
			go func() {
				defer close(firstAnswered)
				var response coordinator.RequestResponse
				_, _ = sendJSON(http.MethodPost, s.entries[0].url+"/v1/requests", request, &response)
			}()
			s.eventually(5*time.Second, "the request runs", func() error {
				if s.requestRunCount("n") == 0 {
					return errors.New("not yet")
				}
				return nil
			})
			p := c.target(s)
			c.fault(p)
			request.Repeated = true
			var response coordinator.RequestResponse
			_, err := sendJSON(http.MethodPost, s.entries[1].url+"/v1/requests", request, &response)
			assert.NilError(t, err)
			assert.Equal(t, response.Result, c.want, response.Reason)
			assert.Assert(t, c.want != descriptor.ResultDone || bytes.Equal(response.Body, faker.ExpectedAnswer("atelier", "n", request.Body)))
			// The resumed entry must not run the request again.
			if name == "entry frozen" {
				p.signal(syscall.SIGCONT)
				<-firstAnswered
			}
			var later coordinator.RequestResponse
			assert.NilError(t, getJSON(s.entries[1].url+"/v1/requests/atelier/n", &later))
			assert.Equal(t, later.Result, c.want, later.Reason)
			assert.Equal(t, s.requestRunCount("n"), 1)
		})
	}
}
