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

// backEnd is an endpoint that runs a request until the test lets it end.
type backEnd struct {
	mu   sync.Mutex
	runs map[descriptor.RequestID]int
	// waiting are the running requests, which end with the error sent to them.
	waiting []chan error
	permit  func() bool
	fault   string
}

func (b *backEnd) serve(ctx context.Context, c ServeCall) ([]byte, error) {
	end := b.begin(c.Request.ID)
	select {
	case err := <-end:
		if errors.Is(err, ErrNotRun) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.runs[c.Request.ID]--
		}
		return c.Request.Body, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (b *backEnd) begin(id descriptor.RequestID) <-chan error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.permit() {
		b.fault = fmt.Sprintf("%s was started without a valid permit", id)
	}
	b.runs[id]++
	end := make(chan error, 1)
	b.waiting = append(b.waiting, end)
	return end
}

// desk drives one agent with requests of two kinds: ids that begin with n are not idempotent.
type desk struct {
	t *rapid.T
	b *backEnd
	e *Enforcer
	// notRun are ids of which the agent has promised that they never run.
	notRun map[descriptor.RequestID]bool
	end    time.Time
}

func newDesk(t *rapid.T) *desk {
	d := &desk{t: t, notRun: map[descriptor.RequestID]bool{}}
	d.b = &backEnd{runs: map[descriptor.RequestID]int{}, permit: func() bool { return time.Now().Before(d.end) }}
	d.e = &Enforcer{Agent: "run1", FailureDomain: domain, Endpoint: Endpoint{Serve: d.b.serve}}
	d.announce()
	return d
}

func (d *desk) announce() {
	d.e.Announce(EndpointAnnouncement{ID: "e", Service: "fit", Slots: 2, Connections: 2})
}

func (d *desk) draw(t *rapid.T) descriptor.RequestID {
	return rapid.SampledFrom([]descriptor.RequestID{"n1", "n2", "n3", "n4", "n5", "n6", "i1", "i2"}).Draw(t, "id")
}

func (d *desk) serve(t *rapid.T) {
	id := d.draw(t)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	a := d.e.Serve(gone, messenger.Serve{
		Agent:         "run1",
		Request:       descriptor.Request{Workspace: "w", ID: id, Body: []byte(id)},
		NonIdempotent: id[0] == 'n',
		Deadline:      time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond,
	})
	d.learn(id, a, id[0] == 'n')
}

func (d *desk) query(t *rapid.T) {
	id := d.draw(t)
	agent := rapid.SampledFrom([]string{"run1", "run0"}).Draw(t, "agent")
	d.learn(id, d.e.Outcome(context.Background(), messenger.OutcomeQuery{Workspace: "w", Request: id, Agent: agent, Age: time.Second}), true)
}

func (d *desk) learn(id descriptor.RequestID, a messenger.ServeAnswer, promised bool) {
	synctest.Wait()
	d.b.mu.Lock()
	defer d.b.mu.Unlock()
	switch {
	case a.Result == descriptor.ResultDone && string(a.Body) != string(id):
		d.t.Fatalf("%s got the answer %q", id, a.Body)
	case a.Result == descriptor.ResultNotRun && promised:
		if d.b.runs[id] > 0 {
			d.t.Fatalf("%s is called not run after %d runs", id, d.b.runs[id])
		}
		d.notRun[id] = true
	}
}

func (d *desk) finish(t *rapid.T) {
	d.b.mu.Lock()
	if len(d.b.waiting) == 0 {
		d.b.mu.Unlock()
		t.Skip("nothing runs")
	}
	end := d.b.waiting[0]
	d.b.waiting = d.b.waiting[1:]
	d.b.mu.Unlock()
	end <- rapid.SampledFrom([]error{nil, ErrNotRun, ErrFailed, errors.New("cut")}).Draw(t, "result")
	synctest.Wait()
}

func (d *desk) permit(t *rapid.T) {
	valid := time.Duration(rapid.IntRange(1, 2000).Draw(t, "valid")) * time.Millisecond
	now := time.Now()
	d.b.mu.Lock()
	defer d.b.mu.Unlock()
	d.e.SetPermit(messenger.Permit{Revision: 1, ValidFor: valid}, now)
	if end := now.Add(valid); end.After(d.end) {
		d.end = end
	}
}

func (d *desk) check(t *rapid.T) {
	synctest.Wait()
	d.b.mu.Lock()
	defer d.b.mu.Unlock()
	if d.b.fault != "" {
		t.Fatal(d.b.fault)
	}
	for id, n := range d.b.runs {
		if id[0] == 'n' && n > 1 {
			t.Fatalf("%s ran %d times", id, n)
		}
	}
	for id := range d.notRun {
		if d.b.runs[id] > 0 {
			t.Fatalf("%s ran although it was called not run", id)
		}
	}
	before := d.e.lock()
	defer d.e.unlock(before)
	if d.e.requests.busy > 2 || len(d.e.requests.queue) > 2*queuePerSlot {
		t.Fatalf("%d run and %d wait", d.e.requests.busy, len(d.e.requests.queue))
	}
}

// inBubble hides the method Deadline, which panics in a bubble.
type inBubble struct{ rapid.TB }

// Guards against a request that is not idempotent and runs twice, a "not run"
// that is false, a start without a permit, more requests than slots, and a slot
// that is lost. Each line below, switched off, makes the test fail (tried one
// at a time):
//   - run twice: old.nonIdempotent in the first condition of admitRequest
//   - run after "not run" to Serve: e.refuse's r.refused and record
//   - run after "not run" to Outcome: r.refused = true in promise
//   - "not run" after an earlier run: r.earlier in admitRequest
//   - start without a permit: mayStart in prepareRequest
//   - more than the slots: q.busy < e.slots() in admitQueued
//   - slot lost: e.requests.busy-- in finishRequest
func TestRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(t *rapid.T) {
			d := newDesk(t)
			t.Repeat(map[string]func(*rapid.T){
				"serve":  d.serve,
				"query":  d.query,
				"finish": d.finish,
				"permit": d.permit,
				"pass": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
					d.announce()
					d.e.Tick(time.Now())
				},
				"": d.check,
			})
			time.Sleep(6 * time.Second) // All deadlines have passed.
			synctest.Wait()
			if n := d.e.Pending(); n != 0 {
				t.Fatalf("%d requests are left", n)
			}
		})
	})
}

// Guards against a "not run" by an agent that has forgotten, or never knew, whether the request ran.
func TestOutcomeOfForgottenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := func(context.Context, ServeCall) ([]byte, error) { return []byte("x"), nil }
		e := &Enforcer{Agent: "run2", Endpoint: Endpoint{Serve: served}}
		e.SetPermit(messenger.Permit{Revision: 1, ValidFor: time.Second}, time.Now())
		e.Announce(EndpointAnnouncement{ID: "e", Slots: 1, Connections: 1})
		ask := func(agent string, id descriptor.RequestID, age time.Duration) descriptor.Result {
			q := messenger.OutcomeQuery{Workspace: "w", Request: id, Agent: agent, Age: age}
			return e.Outcome(context.Background(), q).Result
		}
		expect := func(got, want descriptor.Result) {
			t.Helper()
			if got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		}
		request := descriptor.Request{Workspace: "w", ID: "a"}
		e.Serve(context.Background(), messenger.Serve{Agent: "run2", Request: request, NonIdempotent: true, Deadline: time.Second})
		expect(ask("run1", "b", time.Second), descriptor.ResultUnknown)
		expect(ask("run2", "b", time.Second), descriptor.ResultNotRun)
		time.Sleep(remember - time.Second)
		e.Tick(time.Now())
		expect(ask("run2", "a", remember), descriptor.ResultDone)
		time.Sleep(2 * time.Second)
		e.Tick(time.Now())
		expect(ask("run2", "a", remember+time.Second), descriptor.ResultUnknown)
		expect(ask("run2", "c", time.Second), descriptor.ResultNotRun)
	})
}

// Guards against an answer that is dropped before its caller has read it, and
// against an agent that refuses all work because of answers it keeps. Fails
// without the check of readers in dropBodies, and without dropping answers of
// requests that are not idempotent there.
func TestLargeAnswersManyAtOnce(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const size, slots, rounds = 1 << 20, 32, 4
			served := func(context.Context, ServeCall) ([]byte, error) {
				time.Sleep(time.Second)
				return make([]byte, size), nil
			}
			e := &Enforcer{Agent: "run1", Endpoint: Endpoint{Serve: served}}
			for round := range rounds {
				e.SetPermit(messenger.Permit{Revision: 1, ValidFor: 2 * time.Second}, time.Now())
				e.Announce(EndpointAnnouncement{ID: "e", Slots: slots, Connections: slots})
				var wg sync.WaitGroup
				for i := range slots {
					wg.Go(func() {
						request := descriptor.Request{Workspace: "w", ID: descriptor.RequestID(fmt.Sprint(round, "-", i))}
						a := e.Serve(t.Context(), messenger.Serve{Agent: "run1", Request: request, NonIdempotent: nonIdempotent, Deadline: 10 * time.Second})
						if a.Result != descriptor.ResultDone || len(a.Body) != size {
							t.Errorf("%s: %s with %d bytes: %s", request.ID, a.Result, len(a.Body), a.Reason)
						}
					})
				}
				wg.Wait()
			}
			if e.requests.bytes > maxAnswerBytes {
				t.Errorf("%d bytes are kept", e.requests.bytes)
			}
		})
	}
}

// Guards against requests that wait at an agent and start after its endpoint or
// the agent has begun to leave. Fails without the call of refuseQueued in tickRequests.
func TestLeavingStartsNothingLate(t *testing.T) {
	for _, byEndpoint := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var last time.Time
			served := func(context.Context, ServeCall) ([]byte, error) {
				last = time.Now()
				time.Sleep(8 * time.Second)
				return []byte("x"), nil
			}
			e := &Enforcer{Agent: "run1", Endpoint: Endpoint{Serve: served}}
			endpoint := EndpointAnnouncement{ID: "e", Slots: 1, Connections: 1}
			keep := func() {
				e.SetPermit(messenger.Permit{Revision: 1, ValidFor: 2 * time.Second}, time.Now())
				e.Announce(endpoint)
				e.Tick(time.Now())
			}
			keep()
			answers := make(chan messenger.ServeAnswer, 2)
			for i := range 2 {
				go func() {
					request := descriptor.Request{Workspace: "w", ID: descriptor.RequestID(fmt.Sprint(i))}
					answers <- e.Serve(t.Context(), messenger.Serve{Agent: "run1", Request: request, NonIdempotent: true, Deadline: time.Minute})
				}()
				synctest.Wait()
			}
			left := time.Now()
			endpoint.Leaving = byEndpoint
			if !byEndpoint {
				e.SetLeaving()
			}
			for range 100 {
				keep()
				time.Sleep(100 * time.Millisecond)
			}
			if last.After(left.Add(3 * time.Second)) {
				t.Errorf("a request started %v after leaving", last.Sub(left))
			}
			results := map[descriptor.Result]int{(<-answers).Result: 1}
			results[(<-answers).Result]++
			if results[descriptor.ResultDone] != 1 || results[descriptor.ResultNotRun] != 1 {
				t.Errorf("results %v, want one Done and one NotRun", results)
			}
		})
	}
}
