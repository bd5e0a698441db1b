package supervisor

import (
	"context"
	"errors"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"persimmontrail/internal/enforcer"
	"persimmontrail/internal/faker"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// entries is what the entries of a region know and answer, behind Settings.Call.
type entries struct {
	mu      sync.Mutex
	answer  messenger.ReportAnswer
	silent  bool
	reports []messenger.Report
	at      []time.Time
	callees map[string]int
	bytes   int
}

func (e *entries) call(ctx context.Context, address string, _ messenger.Kind, request, answer any) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return messenger.ErrSilent
	}
	report := request.(messenger.Report)
	data, err := cbor.Marshal(report)
	if err != nil {
		return err
	}
	e.bytes += len(data)
	e.reports = append(e.reports, report)
	e.at = append(e.at, time.Now())
	e.callees[address]++
	*answer.(*messenger.ReportAnswer) = e.answer
	return nil
}

func (e *entries) set(change func(*entries)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// last returns the latest report of the attempt, if any.
func (e *entries) last(key descriptor.JobKey) (found messenger.TaskReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.reports {
		for _, t := range r.Tasks {
			if t.Gang.Key == key {
				found = t
			}
		}
	}
	return found
}

// fixture is one agent with stand-ins, all within a synctest bubble.
type fixture struct {
	*agent
	t        *testing.T
	entries  *entries
	worker   *faker.Worker
	endpoint *faker.Endpoint
	crash    context.CancelFunc
	// delay of calls to the worker, in nanoseconds.
	delay atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, entries: &entries{callees: map[string]int{}}}
	f.entries.answer = messenger.ReportAnswer{Permit: messenger.Permit{Revision: 1, ValidFor: 2 * time.Second}}
	f.worker = &faker.Worker{Description: descriptor.Worker{ID: "w", Cores: 8, Memory: 1000, Accelerators: 8}}
	f.endpoint = &faker.Endpoint{ID: "e", Service: "fit", Slots: 2, Connections: 4, ServiceTime: 100 * time.Millisecond}
	f.boot()
	return f
}

func (f *fixture) boot() {
	f.agent = newAgent(Settings{
		Name: "a", Entries: []string{"e1"}, FailureDomain: "montreal", Region: "qc-sud",
		WorkerURL: "http://worker", Call: f.entries.call,
	})
	f.agent.worker.http.Transport = slowTransport{faker.Transport{Handler: f.worker}, &f.delay}
	f.agent.endpoint.http.Transport = faker.Transport{Handler: f.endpoint}
	ctx, cancel := context.WithCancel(context.Background())
	f.crash = func() { cancel(); f.agent.group.Wait() }
	f.agent.start(ctx)
}

func (f *fixture) announce() {
	f.enforcer.Announce(enforcer.EndpointAnnouncement{ID: "e", Service: "fit", URL: "http://endpoint", Slots: 3, Connections: 4})
}

func send[A any](f *fixture, kind messenger.Kind, m any) A {
	f.t.Helper()
	decode := func(v any) error {
		reflect.ValueOf(v).Elem().Set(reflect.ValueOf(m))
		return nil
	}
	a, err := f.handle(context.Background(), messenger.RoleEntry, kind, decode)
	assert.NilError(f.t, err)
	return a.(A)
}

var testKey = descriptor.JobKey{Workspace: "tailor", Job: "draft/1"}

func (f *fixture) hold(n descriptor.Attempt) messenger.GangStep {
	ref := messenger.GangRef{Key: testKey, Attempt: n, Epoch: 1}
	a := send[messenger.GangAnswer](f, messenger.KindHold, messenger.Hold{
		Gang: ref, Tasks: []int{0, 1}, Members: 1, RunTime: time.Hour,
		PerTask: descriptor.Resources{Cores: 1, Memory: 10, Accelerators: 2},
	})
	assert.Assert(f.t, a.OK, a.Refusal)
	step := messenger.GangStep{Gang: ref}
	a = send[messenger.GangAnswer](f, messenger.KindCommit, step)
	assert.Assert(f.t, a.OK, a.Refusal)
	return step
}

func (f *fixture) run(n descriptor.Attempt) messenger.GangStep {
	step := f.hold(n)
	for _, k := range []messenger.Kind{messenger.KindStart, messenger.KindConfirm} {
		a := send[messenger.GangAnswer](f, k, step)
		assert.Assert(f.t, a.OK, a.Refusal)
		assert.Equal(f.t, a.State, messenger.TaskRunning)
	}
	return step
}

// bubble runs a test body in which time is virtual. The agent is up when it begins.
func bubble(t *testing.T, body func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer func() {
			f.crash()
			f.worker.Fail()
			time.Sleep(time.Minute)
		}()
		time.Sleep(3 * time.Second)
		body(f)
	})
}

type slowTransport struct {
	http.RoundTripper
	delay *atomic.Int64
}

func (s slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(s.delay.Load()))
	return s.RoundTripper.RoundTrip(r)
}

// Guards against a start by an agent that was paused past its permit: before
// its check (mayStart in acceptStart) and between its check and the worker
// (NotAfter in prepareStart). Each, switched off, makes the test fail.
func TestPausePastThePermit(t *testing.T) {
	bubble(t, func(f *fixture) {
		f.entries.set(func(e *entries) { e.silent = true })
		time.Sleep(2500 * time.Millisecond)
		step := f.hold(1)
		a := send[messenger.GangAnswer](f, messenger.KindStart, step)
		assert.Equal(t, a.Refusal, enforcer.ErrNoPermit.Error())
		assert.Equal(t, a.State, messenger.TaskCommitted)

		f.entries.set(func(e *entries) { e.silent = false })
		time.Sleep(time.Second)
		f.delay.Store(int64(2100 * time.Millisecond))
		a = send[messenger.GangAnswer](f, messenger.KindStart, step)
		assert.Equal(t, a.State, messenger.TaskStarting)
		began := time.Now()
		other := messenger.GangRef{Key: descriptor.JobKey{Workspace: "tailor", Job: "other"}, Attempt: 1, Epoch: 1}
		a = send[messenger.GangAnswer](f, messenger.KindHold, messenger.Hold{Gang: other, Tasks: []int{0}, Members: 1})
		assert.Assert(t, a.OK, a.Refusal)
		assert.Equal(t, time.Since(began), time.Duration(0), "a slow worker blocks other messages")
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.worker.Stats().Starts, int64(0))
		assert.Equal(t, f.entries.last(testKey).State, messenger.TaskFailed)
	})
}

// Guards against a lease that lapses under a healthy agent, and against a task
// that counts as running after its worker cannot have kept it.
func TestLeases(t *testing.T) {
	bubble(t, func(f *fixture) {
		f.run(1)
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.worker.Stats().Lapsed, int64(0))
		assert.Equal(t, f.entries.last(testKey).State, messenger.TaskRunning)
		f.worker.Switch(func(s *faker.WorkerSwitches) { s.Frozen = true })
		time.Sleep(9 * time.Second)
		assert.Equal(t, f.entries.last(testKey).State, messenger.TaskFailed)
		f.worker.Switch(func(s *faker.WorkerSwitches) { s.Frozen = false })
	})
}

// Guards against an agent without entries whose tasks run on after schedulers
// count them as stopped, which is 35 s after its last report. Without the
// isolated branch of tickGang the test fails.
func TestIsolation(t *testing.T) {
	bubble(t, func(f *fixture) {
		f.run(1)
		f.entries.set(func(e *entries) { e.silent = true })
		time.Sleep(29 * time.Second)
		assert.Equal(t, f.enforcer.Active(), 1)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.enforcer.Active(), 0)
		for _, w := range f.taskList() {
			assert.Equal(t, w.State, faker.TaskStopped)
			assert.Equal(t, w.Checkpoints, 1)
		}
	})
}

func (f *fixture) taskList() (list []faker.TaskStatus) {
	f.t.Helper()
	_, err := f.agent.worker.do(context.Background(), http.MethodGet, "/tasks", nil, &list)
	assert.NilError(f.t, err)
	assert.Equal(f.t, len(list), 2)
	return list
}

// Guards against a restart of the agent that loses a confirmed gang, or that
// lets a task run on which belongs to none.
func TestRestartAdopts(t *testing.T) {
	bubble(t, func(f *fixture) {
		f.run(1)
		time.Sleep(20 * time.Second)
		unexpected := enforcer.TaskStart{
			ID: "unexpected", Members: 1, Lease: descriptor.Duration(time.Hour), NotAfter: time.Now().Add(time.Second),
			Key: descriptor.JobKey{Workspace: "tailor", Job: "x"}, RunTime: descriptor.Duration(time.Hour),
		}
		f.crash()
		assert.NilError(t, f.agent.worker.start(context.Background(), unexpected))
		f.entries.set(func(e *entries) { e.reports = nil })
		time.Sleep(3 * time.Second) // The leases would lapse before the adoption.
		f.boot()
		time.Sleep(3 * time.Second)
		r := f.entries.last(testKey)
		assert.Equal(t, r.State, messenger.TaskRunning)
		assert.Assert(t, r.Confirmed)
		assert.DeepEqual(t, r.Tasks, []int{0, 1})
		list, err := f.agent.worker.tasks(context.Background())
		assert.NilError(t, err)
		for _, w := range list {
			assert.Equal(t, w.State.Ended(), w.ID == "unexpected", w.ID)
		}
	})
}

// Guards against a planned stop that interrupts a request or loses work.
func TestShutdown(t *testing.T) {
	bubble(t, func(f *fixture) {
		f.run(1)
		f.announce()
		f.endpoint.Switch(func(s *faker.EndpointSwitches) { s.Slow = descriptor.Duration(5 * time.Second) })
		answers := make(chan messenger.ServeAnswer, 1)
		go func() { answers <- send[messenger.ServeAnswer](f, messenger.KindServe, serveMessage(f.id, "r1", true)) }()
		time.Sleep(time.Second)
		began := time.Now()
		closing := func(context.Context) error {
			assert.Equal(t, f.enforcer.Pending(), 0, "the listener closes under a request")
			return nil
		}
		assert.NilError(t, f.shutdown(&MessageServer{Shutdown: closing}))
		assert.Assert(t, time.Since(began) < shutdownWithin)
		assert.Equal(t, (<-answers).Result, descriptor.ResultDone)
		assert.Equal(t, f.entries.last(testKey).State, messenger.TaskStopped)
		f.entries.set(func(e *entries) {
			assert.Equal(t, e.reports[len(e.reports)-1].State, messenger.AgentLeaving)
		})
		for _, w := range f.taskList() {
			assert.Equal(t, w.State, faker.TaskStopped)
			assert.Equal(t, w.Checkpoints, 1)
		}
		late := send[messenger.ServeAnswer](f, messenger.KindServe, serveMessage(f.id, "r2", false))
		assert.Equal(t, late.Result, descriptor.ResultNotRun)
	})
}

// Guards against an agent that leaves before its entries know that its tasks have stopped.
func TestShutdownReportsTheEnd(t *testing.T) {
	bubble(t, func(f *fixture) {
		f.run(1)
		time.Sleep(time.Second)
		closing := func(context.Context) error {
			assert.Equal(t, f.entries.last(testKey).State, messenger.TaskStopped)
			return nil
		}
		assert.NilError(t, f.shutdown(&MessageServer{Shutdown: closing}))
	})
}

func serveMessage(agent string, id descriptor.RequestID, nonIdempotent bool) messenger.Serve {
	return messenger.Serve{
		Agent:         agent,
		Request:       descriptor.Request{ID: id, Workspace: "tailor", Class: "preview", Body: []byte(`{}`)},
		NonIdempotent: nonIdempotent, Deadline: 20 * time.Second,
	}
}

// Guards against a partial answer that is passed on, and against a false "not run".
func TestAnswersAreWholeOrNone(t *testing.T) {
	bubble(t, func(f *fixture) {
		f.announce()
		whole := send[messenger.ServeAnswer](f, messenger.KindServe, serveMessage(f.id, "r1", true))
		assert.Equal(t, whole.Result, descriptor.ResultDone)
		assert.DeepEqual(t, whole.Body, faker.ExpectedAnswer("tailor", "r1", []byte(`{}`)))

		f.endpoint.Switch(func(s *faker.EndpointSwitches) { s.CutAnswers = 1 })
		for _, nonIdempotent := range []bool{true, false} {
			id := descriptor.RequestID("cut")
			if nonIdempotent {
				id = "cut-once"
			}
			for range 2 {
				cut := send[messenger.ServeAnswer](f, messenger.KindServe, serveMessage(f.id, id, nonIdempotent))
				assert.Equal(t, cut.Result, descriptor.ResultUnknown)
				assert.Equal(t, len(cut.Body), 0)
			}
		}
		assert.Equal(t, f.endpoint.RunCount("tailor", "cut-once"), 1)
		assert.Equal(t, f.endpoint.RunCount("tailor", "cut"), 2)

		f.endpoint.Switch(func(s *faker.EndpointSwitches) { s.CutAnswers = 0 })
		answers := make(chan messenger.ServeAnswer, 3)
		for _, id := range []descriptor.RequestID{"a", "b", "c"} { // One more than the endpoint really has slots.
			go func() { answers <- send[messenger.ServeAnswer](f, messenger.KindServe, serveMessage(f.id, id, true)) }()
		}
		results := map[descriptor.Result]int{}
		for range 3 {
			a := <-answers
			results[a.Result]++
			assert.Equal(t, a.RetryElsewhere, a.Result == descriptor.ResultNotRun)
			assert.Equal(t, f.endpoint.RunCount("tailor", a.Request) == 0, a.Result == descriptor.ResultNotRun)
		}
		assert.DeepEqual(t, results, map[descriptor.Result]int{descriptor.ResultDone: 2, descriptor.ResultNotRun: 1})
	})
}

// Guards against reports that exceed the byte budget of an agent, that come
// late after a change, or that are incomplete for a new entry.
func TestReports(t *testing.T) {
	bubble(t, func(f *fixture) {
		f.announce()
		f.entries.set(func(e *entries) { e.answer.Entries = []string{"e1", "e2", "e3"} })
		step := f.run(1)
		time.Sleep(5 * time.Second)
		f.entries.set(func(e *entries) {
			assert.Assert(t, slices.ContainsFunc(e.reports, func(r messenger.Report) bool { return r.Full && len(r.Tasks) == 1 }))
			e.bytes = 0
		})
		time.Sleep(time.Minute)
		f.entries.set(func(e *entries) {
			assert.Equal(t, len(e.callees), 3)
			t.Logf("%d bytes of reports a second to 3 entries", e.bytes/60)
			// What the transport adds, about 100 bytes for each of 6 reports a second, and the answers must fit as well.
			assert.Assert(t, e.bytes/60 < 2500)
			last := e.reports[len(e.reports)-1]
			assert.Assert(t, last.Worker == nil && len(last.Tasks) == 0, "an unchanged state is reported again")
			e.reports, e.at = nil, nil
		})
		time.Sleep(200 * time.Millisecond) // Between two periodic reports.
		began := time.Now()
		send[messenger.GangAnswer](f, messenger.KindStop, messenger.Stop{Gang: step.Gang})
		time.Sleep(50 * time.Millisecond)
		f.entries.set(func(e *entries) {
			assert.Assert(t, slices.ContainsFunc(e.at, func(at time.Time) bool { return !at.Before(began) && at.Sub(began) <= 45*time.Millisecond }))
		})
	})
}

// Guards against work that a peer without the role of an entry starts.
func TestOnlyEntriesAreServed(t *testing.T) {
	f := &fixture{t: t, entries: &entries{}}
	f.agent = newAgent(Settings{Call: f.entries.call})
	_, err := f.handle(context.Background(), messenger.RoleAgent, messenger.KindServe, func(any) error { return nil })
	assert.Assert(t, errors.Is(err, ErrRole))
}
