package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"persimmontrail/pkg/descriptor"
)

var testStart = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func testConfiguration() *descriptor.Configuration {
	return &descriptor.Configuration{
		Workspaces: []descriptor.Workspace{
			{Name: "large", Guarantees: []descriptor.Shape{{Accelerators: 8, Count: 3}}},
			{Name: "small"},
		},
		Classes: []descriptor.Class{
			{Name: "Preview", FinishWithin: descriptor.Duration(2 * time.Second), Service: "fit"},
			{Name: "Report", FinishWithin: descriptor.Duration(time.Minute), Service: "fit"},
			{Name: "Nesting", FinishWithin: descriptor.Duration(time.Minute), Service: "fit", NonIdempotent: true},
		},
		FailureDomains: []descriptor.FailureDomain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
	}
}

func testEndpoint(agent string, domain descriptor.FailureDomainID, slots int) EndpointReport {
	return EndpointReport{
		Agent: agent, Address: agent, Endpoint: descriptor.EndpointID(agent), Service: "fit",
		FailureDomain: domain, Region: "r", Slots: slots, Healthy: true,
	}
}

// newRouter returns a router whose clock is *now.
func newRouter(now *time.Time) *Router {
	r := &Router{FailureDomain: "a", Region: "r", Seed: 1, Now: func() time.Time { return *now }}
	r.Configure(testConfiguration(), *now)
	return r
}

func pick(r *Router, now time.Time, tried ...string) (Choice, error) {
	return r.Pick("Report", "large", now.Add(time.Minute), tried, now)
}

// TestEndpointOutOfServiceGetsNoRequests guards against requests to an endpoint that worked before and has become
// silent, leaving, unhealthy or out with its failure domain, has been removed, or is now reported from another region.
func TestEndpointOutOfServiceGetsNoRequests(t *testing.T) {
	cases := map[string]func(r *Router, report EndpointReport, now *time.Time){
		"silent":    func(_ *Router, _ EndpointReport, now *time.Time) { *now = now.Add(ReportTimeout + 1) },
		"leaving":   func(r *Router, report EndpointReport, now *time.Time) { report.Leaving = true; r.Update(report, *now) },
		"unhealthy": func(r *Router, report EndpointReport, now *time.Time) { report.Healthy = false; r.Update(report, *now) },
		"removed":   func(r *Router, report EndpointReport, _ *time.Time) { r.Remove(report.Agent) },
		"other region": func(r *Router, report EndpointReport, now *time.Time) {
			report.Region = "far"
			r.Update(report, *now)
		},
		"out": func(r *Router, _ EndpointReport, now *time.Time) {
			cfg := testConfiguration()
			cfg.FailureDomains[0].Out = true
			r.Configure(cfg, *now)
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			now := testStart
			r := newRouter(&now)
			report := testEndpoint("one", "a", 8)
			r.Update(report, now)
			_, err := pick(r, now)
			assert.NilError(t, err)
			change(r, report, &now)
			_, err = pick(r, now)
			assert.ErrorIs(t, err, ErrNoEndpoint)
			var refusal *Refusal
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Facts.Usable, 0)
		})
	}
}

// TestOlderReportIsDropped guards against requests to a leaving endpoint after a delayed report, sent before the one
// that said that it is leaving, arrives last.
func TestOlderReportIsDropped(t *testing.T) {
	now := testStart
	r := newRouter(&now)
	report := testEndpoint("one", "a", 8)
	report.Sequence, report.Leaving = 2, true
	r.Update(report, now)
	report.Sequence, report.Leaving = 1, false
	r.Update(report, now)
	_, err := pick(r, now)
	assert.ErrorIs(t, err, ErrNoEndpoint)
}

// TestLocalFailureDomainFirst guards against requests that leave the router's failure domain while it has a free slot,
// and against requests that wait at a local agent while an agent in another failure domain has a free slot.
func TestLocalFailureDomainFirst(t *testing.T) {
	now := testStart
	r := newRouter(&now)
	r.Update(testEndpoint("near", "a", 2), now)
	r.Update(testEndpoint("far", "b", 2), now)
	var agents []string
	for range 4 {
		c, err := pick(r, now)
		assert.NilError(t, err)
		agents = append(agents, c.Agent)
	}
	assert.DeepEqual(t, agents, []string{"near", "near", "far", "far"})
}

// TestReportedLoadCountsOnce guards against counting a request of this router twice, in flight and in the report that
// includes it, and against ignoring the requests of other entries, which overloads the endpoint.
func TestReportedLoadCountsOnce(t *testing.T) {
	now := testStart
	r := newRouter(&now)
	report := testEndpoint("one", "a", 4)
	r.Update(report, now)
	_, err := pick(r, now)
	assert.NilError(t, err)
	report.Busy = 4 // one own request and three of other entries
	r.Update(report, now)
	assert.Equal(t, r.endpoints["one"].load(), 4)
	report.Connections = 4
	r.Update(report, now)
	_, err = pick(r, now)
	assert.ErrorIs(t, err, ErrShed)
}

// TestFailingEndpointIsEjectedAndProbed guards against requests lost at an endpoint that fails all of them while
// another succeeds: it must be ejected after ejectThreshold failures and get one probe per delay, none of them
// non-idempotent. It also guards against an ejection that a successful probe does not end.
func TestFailingEndpointIsEjectedAndProbed(t *testing.T) {
	now := testStart
	r := newRouter(&now)
	for _, agent := range []string{"good", "bad"} {
		r.Update(testEndpoint(agent, "a", 100), now)
	}
	serve := func(bad descriptor.Result) (badCalls int) {
		for range 200 {
			c, err := pick(r, now)
			assert.NilError(t, err)
			result := descriptor.ResultDone
			if c.Agent == "bad" {
				badCalls++
				result = bad
			}
			r.Release(c, result, time.Millisecond)
		}
		return badCalls
	}
	assert.Equal(t, serve(descriptor.ResultFailed), ejectThreshold)
	now = now.Add(minProbeDelay)
	for _, agent := range []string{"good", "bad"} {
		r.Update(testEndpoint(agent, "a", 100), now)
	}
	nesting, err := r.Pick("Nesting", "large", time.Time{}, nil, now)
	assert.NilError(t, err)
	assert.Equal(t, nesting.Agent, "good", "a non-idempotent request is no probe")
	assert.Equal(t, serve(descriptor.ResultFailed), 1, "one probe")
	now = now.Add(2 * minProbeDelay)
	for _, agent := range []string{"good", "bad"} {
		r.Update(testEndpoint(agent, "a", 100), now)
	}
	assert.Assert(t, serve(descriptor.ResultDone) > 50, "back in use after a successful probe")
}

// TestAtMostHalfEjected guards against the ejection of more than half of the endpoints of a service, which would
// overload the rest, and against any ejection if all endpoints fail, because then the cause is not a single endpoint.
func TestAtMostHalfEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		r := newRouter(&now)
		endpoints := rapid.IntRange(1, 7).Draw(t, "endpoints")
		bad := rapid.IntRange(0, endpoints).Draw(t, "bad")
		for i := range endpoints {
			r.Update(testEndpoint(fmt.Sprint(i), "a", 8), now)
		}
		for range 300 {
			now = now.Add(time.Millisecond)
			c, err := pick(r, now)
			assert.NilError(t, err)
			result := descriptor.ResultDone
			if c.Agent < fmt.Sprint(bad) {
				result = descriptor.ResultFailed
			}
			r.Release(c, result, time.Millisecond)
			ejected := r.Explain(RouteRequest{Class: "Report"}, now).Ejected
			if 2*ejected > endpoints || bad == endpoints && ejected > 0 {
				t.Fatalf("%d of %d ejected, %d bad", ejected, endpoints, bad)
			}
		}
	})
}

// TestRetryBudgetLimitsRetriesInOutage guards against retries that multiply the load in an outage, when every request
// fails and asks for three retries, and against a budget that allows less than 90% of the permitted retries.
func TestRetryBudgetLimitsRetriesInOutage(t *testing.T) {
	now := testStart
	r := newRouter(&now)
	retries, requests, seconds := 0, 10_000, 100
	for i := range requests {
		now = testStart.Add(time.Duration(i*seconds) * time.Second / time.Duration(requests))
		r.Update(testEndpoint("one", "a", 8), now)
		c, err := pick(r, now)
		assert.NilError(t, err)
		r.Release(c, descriptor.ResultUnknown, time.Millisecond)
		for range 3 {
			if r.SpendRetry(now) {
				retries++
			}
		}
	}
	limit := retryRatio*float64(requests) + retriesPerSecond*float64(seconds) + retryBurst
	assert.Assert(t, float64(retries) <= limit, "%d retries, limit %v", retries, limit)
	assert.Assert(t, float64(retries) > 0.9*limit, "%d retries, limit %v", retries, limit)
}

// TestInFlightIsBounded guards against more requests in flight at an endpoint than its slots and queue allowance
// together, when reports state a wrong load or Release is called twice for a choice. It also guards against requests to
// an endpoint that is leaving.
func TestInFlightIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		r := newRouter(&now)
		var unreleased []Choice
		leaving := map[string]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			agent := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "agent")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				report := testEndpoint(agent, "a", 4)
				report.Busy = rapid.IntRange(0, 4).Draw(t, "busy")
				report.Leaving = leaving[agent] || rapid.IntRange(0, 9).Draw(t, "leave") == 0
				leaving[agent] = report.Leaving
				r.Update(report, now)
			case 1:
				if len(unreleased) > 0 {
					i := rapid.IntRange(0, len(unreleased)-1).Draw(t, "i")
					r.Release(unreleased[i], descriptor.ResultDone, 10*time.Millisecond)
					r.Release(unreleased[i], descriptor.ResultDone, 10*time.Millisecond)
					unreleased = append(unreleased[:i], unreleased[i+1:]...)
				}
			default:
				c, err := pick(r, now)
				if err != nil {
					continue
				}
				unreleased = append(unreleased, c)
				if leaving[c.Agent] {
					t.Fatalf("%s is leaving", c.Agent)
				}
			}
			counts := map[string]int{}
			for _, c := range unreleased {
				if counts[c.Agent]++; counts[c.Agent] > 4+2 {
					t.Fatalf("%d in flight at %s", counts[c.Agent], c.Agent)
				}
			}
		}
	})
}

// TestForwardingOnlyWhenFaster guards against forwarding over a slow link while the local wait is shorter, and against
// waiting locally while the link is faster or no endpoint is in service.
func TestForwardingOnlyWhenFaster(t *testing.T) {
	now := testStart
	r := newRouter(&now)
	r.LinkCost = func(_ descriptor.RegionID, bytes int64) time.Duration {
		return 24*time.Millisecond + time.Duration(bytes)*8*time.Second/30_000_000
	}
	request := RouteRequest{Class: "Report", Workspace: "large", Bytes: 1_000_000}
	assert.Assert(t, r.WorthForwarding(request, "far", now), "nothing is in service here")
	r.Update(testEndpoint("one", "a", 2), now)
	assert.Assert(t, !r.WorthForwarding(request, "far", now), "a slot is free here")
	for range 3 {
		_, err := pick(r, now)
		assert.NilError(t, err)
	}
	// The expected wait is 100 ms: the third request and the new one share two slots at defaultServiceTime.
	assert.Assert(t, !r.WorthForwarding(request, "far", now), "1 MB takes 291 ms")
	request.Bytes = 10_000
	assert.Assert(t, r.WorthForwarding(request, "far", now), "10 KB take 27 ms")
}

// acquire starts n callers of Acquire, which pass the result to outcome and release the choice after serviceTime.
func acquire(wg *sync.WaitGroup, r *Router, n int, request RouteRequest, serviceTime time.Duration, outcome func(Choice, error)) {
	for range n {
		wg.Go(func() {
			c, err := r.Acquire(context.Background(), request)
			outcome(c, err)
			if err == nil {
				time.Sleep(serviceTime)
				r.Release(c, descriptor.ResultDone, serviceTime)
			}
		})
	}
}

// sendReports reports the endpoint every 500 ms of the synctest bubble's time until ctx ends.
func sendReports(ctx context.Context, r *Router, report EndpointReport) {
	for ctx.Err() == nil {
		r.Update(report, time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// TestWaitersAreWokenAndSmallWorkspaceIsNotStarved guards against waiters that are never woken, and against starvation
// of a small workspace by a large one: all 800 queued requests of the large one have less slack, so without a limit on
// its weighted use they would all go first.
func TestWaitersAreWokenAndSmallWorkspaceIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Router{Region: "r", Seed: 1}
		r.Configure(testConfiguration(), time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go sendReports(ctx, r, testEndpoint("one", "a", 2))
		synctest.Wait()
		var wg sync.WaitGroup
		var mu sync.Mutex
		served := map[descriptor.WorkspaceID]int{}
		var order []descriptor.WorkspaceID
		count := func(c Choice, err error) {
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				served[c.Workspace]++
				order = append(order, c.Workspace)
			}
		}
		inOneHour := time.Now().Add(time.Hour)
		acquire(&wg, r, 800, RouteRequest{Class: "Preview", Workspace: "large", Deadline: inOneHour}, 100*time.Millisecond, count)
		synctest.Wait()
		acquire(&wg, r, 10, RouteRequest{Class: "Report", Workspace: "small", Deadline: inOneHour.Add(time.Hour)}, 100*time.Millisecond, count)
		wg.Wait()
		assert.Equal(t, served["large"], 800)
		assert.Equal(t, served["small"], 10)
		last := 0
		for i, ws := range order {
			if ws == "small" {
				last = i
			}
		}
		assert.Assert(t, last < 500, "the last of ten requests of the small workspace was number %d", last)
	})
}

// TestFullQueueShedsLeastUrgentOfLargestUser guards against a full queue that refuses urgent requests, or those of a
// workspace that did not fill it, instead of the least urgent ones of the workspace that did.
func TestFullQueueShedsLeastUrgentOfLargestUser(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Router{Region: "r", QueueLimit: 10}
		r.Configure(testConfiguration(), time.Now())
		report := testEndpoint("one", "a", 1)
		report.Connections = 1
		r.Update(report, time.Now())
		var wg sync.WaitGroup
		var mu sync.Mutex
		errs := map[string][]error{}
		go sendReports(t.Context(), r, report)
		ask := func(n int, class descriptor.ClassID, ws descriptor.WorkspaceID, deadline time.Duration) {
			name := string(ws) + " " + string(class)
			acquire(&wg, r, n, RouteRequest{Class: class, Workspace: ws, Deadline: time.Now().Add(deadline)}, 100*time.Millisecond, func(_ Choice, err error) {
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					errs[name] = append(errs[name], err)
				}
			})
			synctest.Wait()
		}
		ask(11, "Report", "large", time.Minute)
		ask(1, "Report", "large", 2*time.Minute)
		ask(1, "Report", "small", 3*time.Minute)
		ask(2, "Preview", "large", 5*time.Second)
		wg.Wait()
		assert.Equal(t, len(errs), 1, "%v", errs)
		reports := errs["large Report"]
		assert.Equal(t, len(reports), 4)
		assert.ErrorIs(t, reports[0], ErrQueueFull)
		for _, err := range reports[1:] {
			assert.ErrorIs(t, err, ErrShed)
		}
	})
}

// TestAcquireStopsWaiting guards against an Acquire that waits beyond the deadline, for an endpoint that never appears,
// or after its caller has gone, and against capacity that a caller which has gone keeps in use.
func TestAcquireStopsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Router{Region: "r"}
		r.Configure(testConfiguration(), time.Now())
		began := time.Now()
		_, err := r.Acquire(t.Context(), RouteRequest{Class: "Report", Workspace: "small"})
		assert.ErrorIs(t, err, ErrNoEndpoint)
		assert.Equal(t, time.Since(began), endpointCheckInterval)

		report := testEndpoint("one", "a", 1)
		report.Connections = 1
		go sendReports(t.Context(), r, report)
		synctest.Wait()
		held, err := r.Acquire(t.Context(), RouteRequest{Class: "Report", Workspace: "small"})
		assert.NilError(t, err)
		began = time.Now()
		_, err = r.Acquire(t.Context(), RouteRequest{Class: "Preview", Workspace: "small"})
		assert.ErrorIs(t, err, ErrDeadline)
		assert.Equal(t, time.Since(began), 2*time.Second)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = r.Acquire(ctx, RouteRequest{Class: "Report", Workspace: "small"})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		r.Release(held, descriptor.ResultDone, time.Second)
		assert.Equal(t, r.Explain(RouteRequest{Class: "Report"}, time.Now()).Load, 0)
		_, err = r.Acquire(t.Context(), RouteRequest{Class: "Report", Workspace: "small"})
		assert.NilError(t, err)
	})
}
