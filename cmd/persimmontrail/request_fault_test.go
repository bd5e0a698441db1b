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

// balancer sends requests to entries that answer readyz. It repeats a request
// only when the connection was refused, as the platform's load balancer does.
type balancer struct {
	client *http.Client
	mu     sync.Mutex
	all    []string
	ready  []string
	next   atomic.Int64
}

func newBalancer(t *testing.T) *balancer {
	b := &balancer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 40 * time.Second}}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
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
		<-done
		b.client.CloseIdleConnections()
	})
	return b
}

func (b *balancer) add(p *process) {
	b.mu.Lock()
	b.all = append(b.all, p.http)
	b.mu.Unlock()
	b.probe()
}

func (b *balancer) probe() {
	b.mu.Lock()
	all := slices.Clone(b.all)
	b.mu.Unlock()
	var ready []string
	for _, u := range all {
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
	b.ready = ready
	b.mu.Unlock()
}

func (b *balancer) post(request descriptor.Request) (a coordinator.RequestAnswer, err error) {
	data, err := json.Marshal(request)
	if err != nil {
		return a, err
	}
	b.mu.Lock()
	ready := slices.Clone(b.ready)
	b.mu.Unlock()
	for range ready {
		u := ready[int(b.next.Add(1))%len(ready)]
		var r *http.Response
		r, err = b.client.Post(u+"/v1/requests", "application/json", bytes.NewReader(data))
		if errors.Is(err, syscall.ECONNREFUSED) {
			continue
		}
		if err != nil {
			return a, err
		}
		defer r.Body.Close()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return a, err
		}
		return a, json.Unmarshal(body, &a)
	}
	return a, fmt.Errorf("no entry is ready: %w", err)
}

// load runs callers until stop is closed and returns what each request got.
func (b *balancer) load(callers int, stop <-chan struct{}) func() (answers map[descriptor.Result]int, faults []string, ids []descriptor.RequestID) {
	var mu sync.Mutex
	answers := map[descriptor.Result]int{}
	var faults []string
	var ids []descriptor.RequestID
	var wg sync.WaitGroup
	for c := range callers {
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
					faults = append(faults, fmt.Sprintf("%s: cut: %v", request.ID, err))
				case a.Result != descriptor.ResultDone:
					faults = append(faults, fmt.Sprintf("%s: %s: %s", request.ID, a.Result, a.Reason))
				case !bytes.Equal(a.Body, faker.ExpectedAnswer("atelier", request.ID, request.Body)):
					faults = append(faults, fmt.Sprintf("%s: wrong answer %q", request.ID, a.Body))
				}
				if request.Class == "Nesting" {
					ids = append(ids, request.ID)
				}
				mu.Unlock()
			}
		})
	}
	return func() (map[descriptor.Result]int, []string, []descriptor.RequestID) {
		wg.Wait()
		return answers, faults, ids
	}
}

// runCounts returns the runs of all requests at the endpoint stand-ins.
func (s *system) runCounts() map[descriptor.RequestID]int {
	s.t.Helper()
	counts := map[descriptor.RequestID]int{}
	for _, p := range s.endpoints {
		var stats faker.EndpointStats
		assert.NilError(s.t, get(p.http+"/admin/stats", &stats))
		for _, r := range stats.Runs {
			counts[r.Request] += r.Count
		}
	}
	return counts
}

// Guards against requests that are cut, run twice or falsely refused while every
// entry and every agent is replaced under load. Fails when postRequest refuses
// while the entry is leaving, or without the loop in serveOnce.
func TestRollingReplacementCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.startEntry(onePlace)
	s.startEntry(onePlace)
	for i := range 3 {
		s.startMachine(fmt.Sprintf("old-%d", i), onePlace)
	}
	s.apply(testConfiguration())
	b := newBalancer(t)
	for _, e := range s.entries {
		s.awaitAgents(e, 3)
		b.add(e)
	}
	stop := make(chan struct{})
	wait := b.load(16, stop)
	longest := time.Duration(0)
	retire := func(p *process) {
		began := time.Now()
		assert.Equal(t, p.stop(), 0, "%s: %s", p.name, tail(p.stderr.String(), 2000))
		longest = max(longest, time.Since(began))
	}
	for i, old := range slices.Clone(s.agents) {
		s.startMachine(fmt.Sprintf("new-%d", i), onePlace)
		s.eventually(10*time.Second, "the new agent serves", func() error {
			var stats faker.EndpointStats
			if err := get(s.endpoints[3+i].http+"/admin/stats", &stats); err != nil {
				return err
			}
			if stats.Started == 0 {
				return errors.New("no request started")
			}
			return nil
		})
		retire(old)
	}
	for _, old := range slices.Clone(s.entries) {
		e := s.startEntry(onePlace)
		s.awaitAgents(e, 3)
		b.add(e)
		retire(old)
	}
	close(stop)
	answers, faults, ids := wait()
	counts := s.runCounts()
	for _, id := range ids {
		if counts[id] > 1 {
			faults = append(faults, fmt.Sprintf("%s ran %d times", id, counts[id]))
		}
	}
	t.Logf("answers %v while 3 agents and 2 entries were replaced; longest stop %v", answers, longest)
	assert.Equal(t, len(faults), 0, "%d faults, the first: %v", len(faults), faults[:min(len(faults), 5)])
	assert.Assert(t, longest < 30*time.Second)
}

// Guards against a process that ignores a second signal while a request keeps its shutdown waiting.
func TestSecondSignalStopsAtOnce(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"entry", "agent"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			s.startEntry(onePlace)
			s.startMachine("worker-0", onePlace)
			s.apply(testConfiguration())
			s.awaitAgents(s.entries[0], 1)
			go func() {
				request := descriptor.Request{ID: "long", Workspace: "atelier", Class: "Nesting", Body: []byte(`{"ServiceTime":"15s"}`)}
				var a coordinator.RequestAnswer
				_, _ = send(http.MethodPost, s.entries[0].http+"/v1/requests", request, &a)
			}()
			s.eventually(5*time.Second, "the request runs", func() error {
				if s.requestRuns("long") == 0 {
					return errors.New("not yet")
				}
				return nil
			})
			p := map[string]*process{"entry": s.entries[0], "agent": s.agents[0]}[role]
			p.signal(syscall.SIGTERM)
			s.eventually(5*time.Second, "the process leaves", func() error {
				r, err := http.Get(p.http + "/readyz")
				if err != nil {
					return err
				}
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					return errors.New("still ready")
				}
				return nil
			})
			began := time.Now()
			assert.Assert(t, p.stop() != 0)
			assert.Assert(t, time.Since(began) < 5*time.Second, "%v", time.Since(began))
		})
	}
}

// Guards against requests that fail although another region could serve them, and
// against bytes over the link that nobody counts. Fails without forward in
// serveWithRetries, or without Group of the entry's client.
func TestForwardToOtherRegionWhenEndpointsAreGone(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	entry := s.startEntry(onePlace)
	s.startMachine("near", onePlace)
	far := s.startEntry(place{region: "qc-nord", domain: "Saguenay"})
	s.apply(testConfiguration())
	s.awaitAgents(entry, 1)
	// An agent is told entries of its own region only.
	s.entries = []*process{far}
	s.startMachine("far", place{region: "qc-nord", domain: "Saguenay", rack: "Saguenay-1"})
	s.entries = []*process{entry, far}
	s.awaitAgents(far, 1)
	assert.NilError(t, s.checkRequest(entry, "Preview", "local"))
	link := func() map[string]int {
		bytes := map[string]int{}
		r, err := http.Get(entry.http + "/metrics")
		assert.NilError(t, err)
		defer r.Body.Close()
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			var kind string
			var n int
			if _, err := fmt.Sscanf(lines.Text(), "persimmontrail_region_bytes_total{region=\"qc-nord\",kind=%q} %d", &kind, &n); err == nil {
				bytes[kind] = n
			}
		}
		return bytes
	}
	before := link()
	assert.Equal(t, before["Forward"], 0, "%v", before)
	s.agents[0].kill()
	s.eventually(10*time.Second, "requests are forwarded", func() error { return s.checkRequest(entry, "Preview", fmt.Sprint("f", time.Now().UnixNano())) })
	const requests = 20
	start := link()["Forward"]
	for i := range requests {
		assert.NilError(t, s.checkRequest(entry, "Preview", fmt.Sprint("r", i)))
	}
	after := link()
	t.Logf("bytes over the link by kind %v; %d a forwarded request", after, (after["Forward"]-start)/requests)
	assert.Assert(t, after["Forward"] > start)
}

// Guards against a second run and a lost outcome of a request that runs at most
// once, when a process is killed or frozen while the request runs and the caller
// repeats it at another entry. Fails without the use of mine in serveClaimed.
func TestRequestOutlivesKilledAndFrozenProcesses(t *testing.T) {
	cases := map[string]struct {
		victim func(s *system) *process
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
			s.startEntry(onePlace)
			s.startEntry(onePlace)
			s.startMachine("worker-0", onePlace)
			s.apply(testConfiguration())
			for _, e := range s.entries {
				s.awaitAgents(e, 1)
			}
			request := descriptor.Request{ID: "n", Workspace: "atelier", Class: "Nesting", Body: []byte(`{"ServiceTime":"2s"}`)}
			first := make(chan struct{})
			go func() {
				defer close(first)
				var a coordinator.RequestAnswer
				_, _ = send(http.MethodPost, s.entries[0].http+"/v1/requests", request, &a)
			}()
			s.eventually(5*time.Second, "the request runs", func() error {
				if s.requestRuns("n") == 0 {
					return errors.New("not yet")
				}
				return nil
			})
			p := c.victim(s)
			c.fault(p)
			request.Repeated = true
			var a coordinator.RequestAnswer
			_, err := send(http.MethodPost, s.entries[1].http+"/v1/requests", request, &a)
			assert.NilError(t, err)
			assert.Equal(t, a.Result, c.want, a.Reason)
			assert.Assert(t, c.want != descriptor.ResultDone || bytes.Equal(a.Body, faker.ExpectedAnswer("atelier", "n", request.Body)))
			if name == "entry frozen" {
				p.signal(syscall.SIGCONT)
				<-first
			}
			var later coordinator.RequestAnswer
			assert.NilError(t, get(s.entries[1].http+"/v1/requests/atelier/n", &later))
			assert.Equal(t, later.Result, c.want, later.Reason)
			assert.Equal(t, s.requestRuns("n"), 1)
		})
	}
}
