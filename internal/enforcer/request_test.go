package enforcer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// fakeEndpoint is an endpoint whose requests run until the test ends them or their deadline passes.
type fakeEndpoint struct {
	mu   sync.Mutex
	runs map[descriptor.RequestID]int
	// running contains a channel for each running request. The request ends with the error sent to the channel.
	running     []chan error
	permitValid func() bool
	// violation describes the latest start without a valid permit; it is empty if there was none.
	violation string
}

func (f *fakeEndpoint) serve(ctx context.Context, c ServeCall) ([]byte, error) {
	result := f.beginRun(c.Request.ID)
	select {
	case err := <-result:
		if errors.Is(err, ErrNotRun) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.runs[c.Request.ID]--
		}
		return c.Request.Body, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *fakeEndpoint) beginRun(id descriptor.RequestID) <-chan error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.permitValid() {
		f.violation = fmt.Sprintf("%s was started without a valid permit", id)
	}
	f.runs[id]++
	result := make(chan error, 1)
	f.running = append(f.running, result)
	return result
}

// requestModel drives one agent with requests. Those whose IDs begin with n are non-idempotent.
type requestModel struct {
	t        *rapid.T
	endpoint *fakeEndpoint
	enforcer *Enforcer
	// notRun contains the requests for which the agent has answered that they never run.
	notRun       map[descriptor.RequestID]bool
	permitExpiry time.Time
}

func newRequestModel(t *rapid.T) *requestModel {
	m := &requestModel{t: t, notRun: map[descriptor.RequestID]bool{}}
	m.endpoint = &fakeEndpoint{runs: map[descriptor.RequestID]int{}, permitValid: func() bool { return time.Now().Before(m.permitExpiry) }}
	m.enforcer = &Enforcer{Agent: "run1", FailureDomain: testDomain, Endpoint: EndpointCalls{Serve: m.endpoint.serve}}
	m.announce()
	return m
}

func (m *requestModel) announce() {
	m.enforcer.Announce(EndpointAnnouncement{ID: "e", Service: "fit", Slots: 2, Connections: 2})
}

func (m *requestModel) drawID(t *rapid.T) descriptor.RequestID {
	return rapid.SampledFrom([]descriptor.RequestID{"n1", "n2", "n3", "n4", "n5", "n6", "i1", "i2"}).Draw(t, "id")
}

func (m *requestModel) serve(t *rapid.T) {
	id := m.drawID(t)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	a := m.enforcer.Serve(cancelled, messenger.ServeRequest{
		Agent:         "run1",
		Request:       descriptor.Request{Workspace: "w", ID: id, Body: []byte(id)},
		NonIdempotent: id[0] == 'n',
		Deadline:      time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond,
	})
	m.recordAnswer(id, a, id[0] == 'n')
}

func (m *requestModel) query(t *rapid.T) {
	id := m.drawID(t)
	agent := rapid.SampledFrom([]string{"run1", "run0"}).Draw(t, "agent")
	m.recordAnswer(id, m.enforcer.QueryOutcome(context.Background(), messenger.OutcomeQuery{Workspace: "w", Request: id, Agent: agent, Age: time.Second}), true)
}

// recordAnswer checks an answer for id. If final is set, NotRun means that the request never runs, and is recorded.
func (m *requestModel) recordAnswer(id descriptor.RequestID, a messenger.ServeAnswer, final bool) {
	synctest.Wait()
	m.endpoint.mu.Lock()
	defer m.endpoint.mu.Unlock()
	switch {
	case a.Result == descriptor.ResultDone && string(a.Body) != string(id):
		m.t.Fatalf("%s got the answer %q", id, a.Body)
	case a.Result == descriptor.ResultNotRun && final:
		if m.endpoint.runs[id] > 0 {
			m.t.Fatalf("%s got NotRun after %d runs", id, m.endpoint.runs[id])
		}
		m.notRun[id] = true
	}
}

// finishOldest ends the oldest running request with a random result.
func (m *requestModel) finishOldest(t *rapid.T) {
	m.endpoint.mu.Lock()
	if len(m.endpoint.running) == 0 {
		m.endpoint.mu.Unlock()
		t.Skip("no running request")
	}
	result := m.endpoint.running[0]
	m.endpoint.running = m.endpoint.running[1:]
	m.endpoint.mu.Unlock()
	result <- rapid.SampledFrom([]error{nil, ErrNotRun, ErrFailed, errors.New("connection cut")}).Draw(t, "result")
	synctest.Wait()
}

func (m *requestModel) grantPermit(t *rapid.T) {
	validFor := time.Duration(rapid.IntRange(1, 2000).Draw(t, "valid")) * time.Millisecond
	now := time.Now()
	m.endpoint.mu.Lock()
	defer m.endpoint.mu.Unlock()
	m.enforcer.SetPermit(messenger.Permit{Revision: 1, ValidFor: validFor}, now)
	if expiry := now.Add(validFor); expiry.After(m.permitExpiry) {
		m.permitExpiry = expiry
	}
}

func (m *requestModel) checkInvariants(t *rapid.T) {
	synctest.Wait()
	m.endpoint.mu.Lock()
	defer m.endpoint.mu.Unlock()
	if m.endpoint.violation != "" {
		t.Fatal(m.endpoint.violation)
	}
	for id, n := range m.endpoint.runs {
		if id[0] == 'n' && n > 1 {
			t.Fatalf("%s ran %d times", id, n)
		}
	}
	for id := range m.notRun {
		if m.endpoint.runs[id] > 0 {
			t.Fatalf("%s ran although it got NotRun", id)
		}
	}
	version := m.enforcer.lock()
	defer m.enforcer.unlock(version)
	if m.enforcer.requests.busy > 2 || len(m.enforcer.requests.queue) > 2*queuePerSlot {
		t.Fatalf("%d requests are running and %d are queued", m.enforcer.requests.busy, len(m.enforcer.requests.queue))
	}
}

// bubbleTB hides the method Deadline, which panics in a synctest bubble.
type bubbleTB struct{ rapid.TB }

// TestRequestInvariants guards against a second run of a non-idempotent request, a false NotRun, a start without a
// permit, and slots that are exceeded or lost. It repeats requests and outcome queries at random while permits expire
// and the endpoint succeeds, fails or loses the connection. Removing any one of these makes it fail:
//   - run twice: earlier.nonIdempotent || req.NonIdempotent in the first condition of recordRequest
//   - run after NotRun from Serve: the record in refuse
//   - run after NotRun from QueryOutcome: r.refused = true in finalizeNotRun
//   - NotRun after an earlier run: r.earlierAnswer in recordRequest
//   - start without a permit: checkPermit in prepareRequest
//   - more requests than slots: rs.busy < e.slots() in grantSlots
//   - slot lost: e.requests.busy-- in finishRequest
func TestRequestInvariants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(t *rapid.T) {
			m := newRequestModel(t)
			t.Repeat(map[string]func(*rapid.T){
				"serve":  m.serve,
				"query":  m.query,
				"finish": m.finishOldest,
				"permit": m.grantPermit,
				"pass": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
					m.announce()
					m.enforcer.Tick(time.Now())
				},
				"": m.checkInvariants,
			})
			time.Sleep(6 * time.Second) // all deadlines have passed
			synctest.Wait()
			if n := m.enforcer.PendingRequests(); n != 0 {
				t.Fatalf("%d requests are still pending", n)
			}
		})
	})
}

// TestOutcomeOfEvictedRequests guards against a false NotRun in answer to an outcome query. The agent has no record of
// the request, because it has evicted it after retentionPeriod or because the request was sent to another incarnation.
func TestOutcomeOfEvictedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serve := func(context.Context, ServeCall) ([]byte, error) { return []byte("x"), nil }
		e := &Enforcer{Agent: "run2", Endpoint: EndpointCalls{Serve: serve}}
		e.SetPermit(messenger.Permit{Revision: 1, ValidFor: time.Second}, time.Now())
		e.Announce(EndpointAnnouncement{ID: "e", Slots: 1, Connections: 1})
		query := func(agent string, id descriptor.RequestID, age time.Duration) descriptor.Result {
			q := messenger.OutcomeQuery{Workspace: "w", Request: id, Agent: agent, Age: age}
			return e.QueryOutcome(context.Background(), q).Result
		}
		expect := func(got, want descriptor.Result) {
			t.Helper()
			if got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		}
		request := descriptor.Request{Workspace: "w", ID: "a"}
		e.Serve(context.Background(), messenger.ServeRequest{Agent: "run2", Request: request, NonIdempotent: true, Deadline: time.Second})
		expect(query("run1", "b", time.Second), descriptor.ResultUnknown)
		expect(query("run2", "b", time.Second), descriptor.ResultNotRun)
		time.Sleep(retentionPeriod - time.Second)
		e.Tick(time.Now())
		expect(query("run2", "a", retentionPeriod), descriptor.ResultDone)
		time.Sleep(2 * time.Second)
		e.Tick(time.Now())
		expect(query("run2", "a", retentionPeriod+time.Second), descriptor.ResultUnknown)
		expect(query("run2", "c", time.Second), descriptor.ResultNotRun)
	})
}

// TestConcurrentLargeAnswers guards against an answer that is evicted before its caller has read it, and against an
// agent that refuses all work because of the answers that it retains. Concurrent answers exceed maxAnswerBytes in each
// round. The test fails without the check of readers in evictBodies, and if bodies of non-idempotent requests are not
// evicted there.
func TestConcurrentLargeAnswers(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const size, slots, rounds = 1 << 20, 32, 4
			serve := func(context.Context, ServeCall) ([]byte, error) {
				time.Sleep(time.Second)
				return make([]byte, size), nil
			}
			e := &Enforcer{Agent: "run1", Endpoint: EndpointCalls{Serve: serve}}
			for round := range rounds {
				e.SetPermit(messenger.Permit{Revision: 1, ValidFor: 2 * time.Second}, time.Now())
				e.Announce(EndpointAnnouncement{ID: "e", Slots: slots, Connections: slots})
				var wg sync.WaitGroup
				for i := range slots {
					wg.Go(func() {
						request := descriptor.Request{Workspace: "w", ID: descriptor.RequestID(fmt.Sprint(round, "-", i))}
						a := e.Serve(t.Context(), messenger.ServeRequest{Agent: "run1", Request: request, NonIdempotent: nonIdempotent, Deadline: 10 * time.Second})
						if a.Result != descriptor.ResultDone || len(a.Body) != size {
							t.Errorf("%s: %s with %d bytes: %s", request.ID, a.Result, len(a.Body), a.Reason)
						}
					})
				}
				wg.Wait()
			}
			if e.requests.answerBytes > maxAnswerBytes {
				t.Errorf("%d bytes of answers are retained", e.requests.answerBytes)
			}
		})
	}
}

// TestNoLateStartsAfterLeaving guards against a queued request that starts more than 3 s after the endpoint or the
// agent has begun to leave, when a long request frees the slot. It fails without the call of refuseQueuedIfLeaving in
// tickRequests.
func TestNoLateStartsAfterLeaving(t *testing.T) {
	for _, byEndpoint := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var lastStart time.Time
			serve := func(context.Context, ServeCall) ([]byte, error) {
				lastStart = time.Now()
				time.Sleep(8 * time.Second)
				return []byte("x"), nil
			}
			e := &Enforcer{Agent: "run1", Endpoint: EndpointCalls{Serve: serve}}
			endpoint := EndpointAnnouncement{ID: "e", Slots: 1, Connections: 1}
			refresh := func() {
				e.SetPermit(messenger.Permit{Revision: 1, ValidFor: 2 * time.Second}, time.Now())
				e.Announce(endpoint)
				e.Tick(time.Now())
			}
			refresh()
			answers := make(chan messenger.ServeAnswer, 2)
			for i := range 2 {
				go func() {
					request := descriptor.Request{Workspace: "w", ID: descriptor.RequestID(fmt.Sprint(i))}
					answers <- e.Serve(t.Context(), messenger.ServeRequest{Agent: "run1", Request: request, NonIdempotent: true, Deadline: time.Minute})
				}()
				synctest.Wait()
			}
			leftAt := time.Now()
			endpoint.Leaving = byEndpoint
			if !byEndpoint {
				e.Leave()
			}
			for range 100 {
				refresh()
				time.Sleep(100 * time.Millisecond)
			}
			if lastStart.After(leftAt.Add(3 * time.Second)) {
				t.Errorf("a request started %v after leaving", lastStart.Sub(leftAt))
			}
			results := map[descriptor.Result]int{(<-answers).Result: 1}
			results[(<-answers).Result]++
			if results[descriptor.ResultDone] != 1 || results[descriptor.ResultNotRun] != 1 {
				t.Errorf("results %v, want one Done and one NotRun", results)
			}
		})
	}
}
