package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"persimmontrail/internal/enforcer"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// operation is a request of a caller, or a lookup of a request's outcome.
type operation struct {
	id         descriptor.RequestID
	begin, end time.Time
	answer     messenger.ServeAnswer
	isLookup   bool
}

// historyRunner runs operations at two entries and three agents with random faults, and records the answers.
type historyRunner struct {
	fixture *agentFixture
	entries []*Entry
	random  *rand.Rand

	mu sync.Mutex
	// starts holds the times at which endpoints began to run each request.
	starts     map[descriptor.RequestID][]time.Time
	operations []operation
	requested  map[descriptor.RequestID]bool
}

// withProbability returns true with probability p, from 0 to 1. Concurrent operations share the random source, so what
// one of them draws depends on the order in which they run.
func (h *historyRunner) withProbability(p float64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.Float64() < p
}

// randomDuration returns a duration from 0 up to, but not including, limit.
func (h *historyRunner) randomDuration(limit time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.random.Int64N(int64(limit)))
}

// deliver loses some messages or their answers, and delivers some messages only after the sender has timed out.
func (h *historyRunner) deliver(_ string, _ messenger.Kind, next func() (messenger.ServeAnswer, error)) (messenger.ServeAnswer, error) {
	switch {
	case h.withProbability(0.1):
		return messenger.ServeAnswer{}, messenger.ErrNotRun
	case h.withProbability(0.1):
		_, _ = next()
		return messenger.ServeAnswer{}, messenger.ErrConnectionLost
	case h.withProbability(0.1):
		time.Sleep(h.randomDuration(3 * time.Second))
		return next()
	case h.withProbability(0.15):
		delay := h.randomDuration(5 * time.Second)
		go func() {
			time.Sleep(delay)
			_, _ = next()
		}()
		time.Sleep(900 * time.Millisecond)
		return messenger.ServeAnswer{}, messenger.ErrHeartbeatTimeout
	}
	return next()
}

// runRequest is the endpoint of all agents. It records the start, and fails or aborts at random.
func (h *historyRunner) runRequest(_ context.Context, _ string, c enforcer.ServeCall) ([]byte, error) {
	h.mu.Lock()
	h.starts[c.Request.ID] = append(h.starts[c.Request.ID], time.Now())
	h.mu.Unlock()
	time.Sleep(h.randomDuration(4 * time.Second))
	switch {
	case h.withProbability(0.1):
		return nil, enforcer.ErrFailed
	case h.withProbability(0.1):
		return nil, context.DeadlineExceeded
	}
	return answerOf(c.Request), nil
}

// performOperation sends a request, or looks up its outcome, at a random time and entry, and records the answer. A
// lookup that fails is not recorded.
func (h *historyRunner) performOperation(id descriptor.RequestID) {
	time.Sleep(h.randomDuration(20 * time.Second))
	e := h.entries[int(h.randomDuration(time.Duration(len(h.entries))))]
	o := operation{id: id, begin: time.Now(), isLookup: h.withProbability(0.2)}
	h.mu.Lock()
	repeated := h.requested[id]
	h.requested[id] = true
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), h.randomDuration(20*time.Second))
	defer cancel()
	if o.isLookup {
		a, err := e.lookUpRequest(ctx, "w", id)
		if err != nil {
			return
		}
		o.answer = a
	} else {
		request := descriptor.Request{ID: id, Workspace: "w", Class: "Nesting", Repeated: repeated}
		o.answer = e.serve(ctx, request, *findClass(e, "Nesting"), false)
	}
	o.end = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// maintain renews announcements, permits and reports, and at random restarts agents and switches the store on and off.
func (h *historyRunner) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		storeDown := h.withProbability(0.1)
		h.fixture.mu.Lock()
		h.fixture.storeDown = storeDown
		agents := make([]*enforcer.Enforcer, 0, len(h.fixture.agents))
		for _, address := range []string{"a:1", "b:1", "c:1"} {
			agents = append(agents, h.fixture.agents[address])
		}
		h.fixture.mu.Unlock()
		for i, a := range agents {
			address := []string{"a:1", "b:1", "c:1"}[i]
			if h.withProbability(0.03) {
				h.fixture.startAgent(address)
				continue
			}
			a.Announce(enforcer.EndpointAnnouncement{ID: descriptor.EndpointID(address), Service: "measurement", URL: "http://x", Slots: 4, Connections: 64})
			a.SetPermit(messenger.Permit{Revision: 1, ValidFor: 2 * time.Second}, time.Now())
			a.Tick(time.Now())
		}
		for _, e := range h.entries {
			h.fixture.report(e)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// check reports requests that ran more than once and answers that contradict the recorded starts. It returns the number
// of operations with each result.
func (h *historyRunner) check(t *testing.T, seed uint64) (results map[descriptor.Result]int) {
	results = map[descriptor.Result]int{}
	for id, starts := range h.starts {
		if len(starts) > 1 {
			t.Errorf("seed %d: %s ran %d times", seed, id, len(starts))
		}
	}
	for _, o := range h.operations {
		results[o.answer.Result]++
		starts := h.starts[o.id]
		switch {
		case o.answer.Result == descriptor.ResultDone && (len(starts) != 1 || string(o.answer.Body) != "w/"+string(o.id)):
			t.Errorf("seed %d: Done of %s with body %q after %d runs", seed, o.id, o.answer.Body, len(starts))
		case o.answer.Result == descriptor.ResultNotRun && slices.ContainsFunc(starts, func(s time.Time) bool { return s.Before(o.begin) }):
			t.Errorf("seed %d: NotRun of %s although it ran before the call: %s", seed, o.id, o.answer.Reason)
		case o.answer.Result == descriptor.ResultFailed && len(starts) != 1:
			t.Errorf("seed %d: Failed of %s after %d runs", seed, o.id, len(starts))
		}
	}
	return results
}

// TestRandomHistoriesOfNonIdempotentRequests guards against a second run of a non-idempotent request, a false NotRun,
// and a wrong or partial answer. The histories are random: repeated ids at two entries, concurrently and later;
// messages that are lost or delivered late; agents restarted at the same address; a store that is down or loses
// answers; endpoints that fail or abort. NotRun is correct if no run began before the call. The test fails if any one
// of these is removed: the check of ServeRequest.Agent in recordRequest, the record in refuse, the "%v" for queryErr in
// tryEndpoint, Owner in Claims.Finish, Repeated in serveClaimed, the check of OutcomeQuery.Agent in lookupOutcome.
func TestRandomHistoriesOfNonIdempotentRequests(t *testing.T) {
	total := map[descriptor.Result]int{}
	const seeds = 400
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			h := &historyRunner{fixture: newAgentFixture(), random: rand.New(rand.NewPCG(seed, 1)), starts: map[descriptor.RequestID][]time.Time{}, requested: map[descriptor.RequestID]bool{}}
			for _, address := range []string{"a:1", "b:1", "c:1"} {
				h.fixture.startAgent(address)
			}
			h.fixture.intercept, h.fixture.serve = h.deliver, h.runRequest
			h.fixture.loseWriteAnswer = func() bool { return h.withProbability(0.1) }
			h.entries = []*Entry{h.fixture.entry("e1", "qc-sud"), h.fixture.entry("e2", "qc-sud")}
			ctx, cancel := context.WithCancel(t.Context())
			var calls, upkeep sync.WaitGroup
			upkeep.Go(func() { h.maintain(ctx) })
			for i := range 16 {
				calls.Go(func() { h.performOperation(descriptor.RequestID(fmt.Sprint("n", i%4))) })
			}
			calls.Wait()
			for _, e := range h.entries {
				e.inFlight.Wait()
			}
			time.Sleep(30 * time.Second) // Wait for delayed messages.
			cancel()
			upkeep.Wait()
			for r, n := range h.check(t, seed) {
				total[r] += n
			}
		})
	}
	t.Logf("%d seeds, results %v", seeds, total)
	for _, r := range []descriptor.Result{descriptor.ResultDone, descriptor.ResultNotRun, descriptor.ResultFailed, descriptor.ResultUnknown} {
		if total[r] == 0 {
			t.Errorf("no operation ended as %s, so the histories do not cover this result", r)
		}
	}
}
