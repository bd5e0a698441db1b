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

// fakeEntries replaces the entries of a region. It records reports and returns answer to each. While silent is set, it
// records nothing and returns messenger.ErrHeartbeatTimeout.
type fakeEntries struct {
	mu               sync.Mutex
	answer           messenger.ReportAnswer
	silent           bool
	reports          []messenger.Report
	reportTimes      []time.Time
	reportsByAddress map[string]int
	reportBytes      int
}

func (e *fakeEntries) call(ctx context.Context, address string, _ messenger.Kind, request, answer any) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return messenger.ErrHeartbeatTimeout
	}
	report := request.(messenger.Report)
	data, err := cbor.Marshal(report)
	if err != nil {
		return err
	}
	e.reportBytes += len(data)
	e.reports = append(e.reports, report)
	e.reportTimes = append(e.reportTimes, time.Now())
	e.reportsByAddress[address]++
	*answer.(*messenger.ReportAnswer) = e.answer
	return nil
}

func (e *fakeEntries) withLock(f func(*fakeEntries)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// lastTaskReport returns the latest report on the tasks of a job, or the zero value if there is none.
func (e *fakeEntries) lastTaskReport(key descriptor.JobKey) (latest messenger.TaskReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.reports {
		for _, t := range r.Tasks {
			if t.Gang.Key == key {
				latest = t
			}
		}
	}
	return latest
}

// fixture is an agent with a fake worker, endpoint and entries, all in one synctest bubble.
type fixture struct {
	*agent
	t         *testing.T
	entries   *fakeEntries
	worker    *faker.Worker
	endpoint  *faker.Endpoint
	stopAgent context.CancelFunc
	// workerDelay is the delay of each call to the worker, in nanoseconds.
	workerDelay atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, entries: &fakeEntries{reportsByAddress: map[string]int{}}}
	f.entries.answer = messenger.ReportAnswer{Permit: messenger.Permit{Revision: 1, ValidFor: 2 * time.Second}}
	f.worker = &faker.Worker{Description: descriptor.Worker{ID: "w", Cores: 8, Memory: 1000, Accelerators: 8}}
	f.endpoint = &faker.Endpoint{ID: "e", Service: "fit", Slots: 2, Connections: 4, ServiceTime: 100 * time.Millisecond}
	f.startAgent()
	return f
}

func (f *fixture) startAgent() {
	f.agent = newAgent(Settings{
		Name: "a", Entries: []string{"e1"}, FailureDomain: "montreal", Region: "qc-sud",
		WorkerURL: "http://worker", Call: f.entries.call,
	})
	f.agent.worker.http.Transport = delayedTransport{faker.Transport{Handler: f.worker}, &f.workerDelay}
	f.agent.endpoint.http.Transport = faker.Transport{Handler: f.endpoint}
	ctx, cancel := context.WithCancel(context.Background())
	f.stopAgent = func() { cancel(); f.agent.group.Wait() }
	f.agent.start(ctx)
}

func (f *fixture) announce() {
	f.enforcer.Announce(enforcer.EndpointAnnouncement{ID: "e", Service: "fit", URL: "http://endpoint", Slots: 3, Connections: 4})
}

// send passes message m from an entry to the agent's handler and returns the answer, which must have type A.
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

func (f *fixture) commitGang(attempt descriptor.Attempt) messenger.GangRequest {
	gang := messenger.GangAttempt{Key: testKey, Attempt: attempt, Epoch: 1}
	a := send[messenger.GangAnswer](f, messenger.KindHold, messenger.HoldRequest{
		Gang: gang, Tasks: []int{0, 1}, Members: 1, RunTime: time.Hour,
		PerTask: descriptor.Resources{Cores: 1, Memory: 10, Accelerators: 2},
	})
	assert.Assert(f.t, a.OK, a.Refusal)
	request := messenger.GangRequest{Gang: gang}
	a = send[messenger.GangAnswer](f, messenger.KindCommit, request)
	assert.Assert(f.t, a.OK, a.Refusal)
	return request
}

func (f *fixture) runGang(attempt descriptor.Attempt) messenger.GangRequest {
	request := f.commitGang(attempt)
	for _, k := range []messenger.Kind{messenger.KindStart, messenger.KindConfirm} {
		a := send[messenger.GangAnswer](f, k, request)
		assert.Assert(f.t, a.OK, a.Refusal)
		assert.Equal(f.t, a.State, messenger.TaskRunning)
	}
	return request
}

// runInBubble runs body in a synctest bubble, that is, with virtual time. The agent has been running for 3 s when body
// starts, so that it has adopted the tasks of the worker.
func runInBubble(t *testing.T, body func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer func() {
			f.stopAgent()
			f.worker.Fail()
			time.Sleep(time.Minute)
		}()
		time.Sleep(3 * time.Second)
		body(f)
	})
}

type delayedTransport struct {
	http.RoundTripper
	delay *atomic.Int64
}

func (t delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(t.delay.Load()))
	return t.RoundTripper.RoundTrip(r)
}

// TestNoStartAfterPermitExpiry guards against a start by an agent that was paused until after its permit expired. The
// pause may come before the permit check of the Start message, or between this check and the call to the worker, where
// NotAfter prevents the start. The test fails if either check is removed. It also guards against a slow call to
// the worker that blocks another message.
func TestNoStartAfterPermitExpiry(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		f.entries.withLock(func(e *fakeEntries) { e.silent = true })
		time.Sleep(2500 * time.Millisecond)
		request := f.commitGang(1)
		a := send[messenger.GangAnswer](f, messenger.KindStart, request)
		assert.Equal(t, a.Refusal, enforcer.ErrNoPermit.Error())
		assert.Equal(t, a.State, messenger.TaskCommitted)

		f.entries.withLock(func(e *fakeEntries) { e.silent = false })
		time.Sleep(time.Second)
		f.workerDelay.Store(int64(2100 * time.Millisecond))
		a = send[messenger.GangAnswer](f, messenger.KindStart, request)
		assert.Equal(t, a.State, messenger.TaskStarting)
		start := time.Now()
		otherGang := messenger.GangAttempt{Key: descriptor.JobKey{Workspace: "tailor", Job: "other"}, Attempt: 1, Epoch: 1}
		a = send[messenger.GangAnswer](f, messenger.KindHold, messenger.HoldRequest{Gang: otherGang, Tasks: []int{0}, Members: 1})
		assert.Assert(t, a.OK, a.Refusal)
		assert.Equal(t, time.Since(start), time.Duration(0), "slow worker blocked another message")
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.worker.Stats().Starts, int64(0))
		assert.Equal(t, f.entries.lastTaskReport(testKey).State, messenger.TaskFailed)
	})
}

// TestLeaseRenewal guards against a task lease that expires although the agent is healthy, and against a task that is
// reported as running although its lease must have expired on an unreachable worker.
func TestLeaseRenewal(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		f.runGang(1)
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.worker.Stats().Lapsed, int64(0))
		assert.Equal(t, f.entries.lastTaskReport(testKey).State, messenger.TaskRunning)
		f.worker.UpdateSwitches(func(s *faker.WorkerSwitches) { s.Frozen = true })
		time.Sleep(9 * time.Second)
		assert.Equal(t, f.entries.lastTaskReport(testKey).State, messenger.TaskFailed)
		f.worker.UpdateSwitches(func(s *faker.WorkerSwitches) { s.Frozen = false })
	})
}

// TestTasksStopWithoutEntries guards against tasks that keep running after schedulers count them as stopped, which is
// 35 s after the last report of their agent, and against tasks that are stopped within the first 29 s or without a
// checkpoint. It fails if the enforcer does not stop the gangs of an isolated agent.
func TestTasksStopWithoutEntries(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		f.runGang(1)
		f.entries.withLock(func(e *fakeEntries) { e.silent = true })
		time.Sleep(29 * time.Second)
		assert.Equal(t, f.enforcer.ActiveGangs(), 1)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.enforcer.ActiveGangs(), 0)
		for _, w := range f.taskStatuses() {
			assert.Equal(t, w.State, faker.TaskStopped)
			assert.Equal(t, w.Checkpoints, 1)
		}
	})
}

// taskStatuses returns the status of the two tasks that the worker must have.
func (f *fixture) taskStatuses() (statuses []faker.TaskStatus) {
	f.t.Helper()
	_, err := f.agent.worker.do(context.Background(), http.MethodGet, "/tasks", nil, &statuses)
	assert.NilError(f.t, err)
	assert.Equal(f.t, len(statuses), 2)
	return statuses
}

// TestRestartAdoptsTasks guards against an agent that loses a confirmed gang when it restarts, and against one that
// lets a task run that belongs to no gang.
func TestRestartAdoptsTasks(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		f.runGang(1)
		time.Sleep(20 * time.Second)
		unexpected := enforcer.TaskStart{
			ID: "unexpected", Members: 1, Lease: descriptor.Duration(time.Hour), NotAfter: time.Now().Add(time.Second),
			Key: descriptor.JobKey{Workspace: "tailor", Job: "x"}, RunTime: descriptor.Duration(time.Hour),
		}
		f.stopAgent()
		assert.NilError(t, f.agent.worker.start(context.Background(), unexpected))
		f.entries.withLock(func(e *fakeEntries) { e.reports = nil })
		time.Sleep(3 * time.Second) // Without renewals before the adoption, the leases would expire.
		f.startAgent()
		time.Sleep(3 * time.Second)
		r := f.entries.lastTaskReport(testKey)
		assert.Equal(t, r.State, messenger.TaskRunning)
		assert.Assert(t, r.Confirmed)
		assert.DeepEqual(t, r.Tasks, []int{0, 1})
		tasks, err := f.agent.worker.tasks(context.Background())
		assert.NilError(t, err)
		for _, w := range tasks {
			assert.Equal(t, w.State.Ended(), w.ID == "unexpected", w.ID)
		}
	})
}

// TestShutdownFinishesRequestsAndTasks guards against a graceful shutdown that interrupts a request, stops tasks
// without a checkpoint or accepts a new request.
func TestShutdownFinishesRequestsAndTasks(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		f.runGang(1)
		f.announce()
		f.endpoint.UpdateSwitches(func(s *faker.EndpointSwitches) { s.Slow = descriptor.Duration(5 * time.Second) })
		answers := make(chan messenger.ServeAnswer, 1)
		go func() { answers <- send[messenger.ServeAnswer](f, messenger.KindServe, serveMessage(f.id, "r1", true)) }()
		time.Sleep(time.Second)
		start := time.Now()
		shutdown := func(context.Context) error {
			assert.Equal(t, f.enforcer.PendingRequests(), 0, "listener closed while a request was pending")
			return nil
		}
		assert.NilError(t, f.shutdown(&MessageServer{Shutdown: shutdown}))
		assert.Assert(t, time.Since(start) < shutdownTimeout)
		assert.Equal(t, (<-answers).Result, descriptor.ResultDone)
		assert.Equal(t, f.entries.lastTaskReport(testKey).State, messenger.TaskStopped)
		f.entries.withLock(func(e *fakeEntries) {
			assert.Equal(t, e.reports[len(e.reports)-1].State, messenger.AgentLeaving)
		})
		for _, w := range f.taskStatuses() {
			assert.Equal(t, w.State, faker.TaskStopped)
			assert.Equal(t, w.Checkpoints, 1)
		}
		late := send[messenger.ServeAnswer](f, messenger.KindServe, serveMessage(f.id, "r2", false))
		assert.Equal(t, late.Result, descriptor.ResultNotRun)
	})
}

// TestShutdownReportsStoppedTasks guards against an agent that exits before its entries know that its tasks have
// stopped.
func TestShutdownReportsStoppedTasks(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		f.runGang(1)
		time.Sleep(time.Second)
		shutdown := func(context.Context) error {
			assert.Equal(t, f.entries.lastTaskReport(testKey).State, messenger.TaskStopped)
			return nil
		}
		assert.NilError(t, f.shutdown(&MessageServer{Shutdown: shutdown}))
	})
}

func serveMessage(agent string, id descriptor.RequestID, nonIdempotent bool) messenger.ServeRequest {
	return messenger.ServeRequest{
		Agent:         agent,
		Request:       descriptor.Request{ID: id, Workspace: "tailor", Class: "preview", Body: []byte(`{}`)},
		NonIdempotent: nonIdempotent, Deadline: 20 * time.Second,
	}
}

// TestCutAnswersAreNotPassedOn guards against a partial answer that is passed on, against a non-idempotent request that
// runs again when it is repeated, and against the result NotRun for a request that has run.
func TestCutAnswersAreNotPassedOn(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		f.announce()
		complete := send[messenger.ServeAnswer](f, messenger.KindServe, serveMessage(f.id, "r1", true))
		assert.Equal(t, complete.Result, descriptor.ResultDone)
		assert.DeepEqual(t, complete.Body, faker.ExpectedAnswer("tailor", "r1", []byte(`{}`)))

		f.endpoint.UpdateSwitches(func(s *faker.EndpointSwitches) { s.CutAnswers = 1 })
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

		f.endpoint.UpdateSwitches(func(s *faker.EndpointSwitches) { s.CutAnswers = 0 })
		answers := make(chan messenger.ServeAnswer, 3)
		for _, id := range []descriptor.RequestID{"a", "b", "c"} { // The endpoint announced 3 slots but has only 2.
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

// TestReportBudgetAndDelay guards against reports that exceed the agent's byte budget, that repeat unchanged state,
// that are sent late after a change, or that are incomplete for a new entry.
func TestReportBudgetAndDelay(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		f.announce()
		f.entries.withLock(func(e *fakeEntries) { e.answer.Entries = []string{"e1", "e2", "e3"} })
		request := f.runGang(1)
		time.Sleep(5 * time.Second)
		f.entries.withLock(func(e *fakeEntries) {
			assert.Assert(t, slices.ContainsFunc(e.reports, func(r messenger.Report) bool { return r.Full && len(r.Tasks) == 1 }))
			e.reportBytes = 0
		})
		time.Sleep(time.Minute)
		f.entries.withLock(func(e *fakeEntries) {
			assert.Equal(t, len(e.reportsByAddress), 3)
			t.Logf("%d bytes of reports a second to 3 entries", e.reportBytes/60)
			// The rest of the byte budget is for the answers and the overhead of the transport, about 100 bytes for each of
			// 6 reports a second.
			assert.Assert(t, e.reportBytes/60 < 2500)
			last := e.reports[len(e.reports)-1]
			assert.Assert(t, last.Worker == nil && len(last.Tasks) == 0, "unchanged state was reported again")
			e.reports, e.reportTimes = nil, nil
		})
		time.Sleep(200 * time.Millisecond) // Between two periodic reports.
		start := time.Now()
		send[messenger.GangAnswer](f, messenger.KindStop, messenger.StopRequest{Gang: request.Gang})
		time.Sleep(50 * time.Millisecond)
		f.entries.withLock(func(e *fakeEntries) {
			assert.Assert(t, slices.ContainsFunc(e.reportTimes, func(at time.Time) bool { return !at.Before(start) && at.Sub(start) <= 45*time.Millisecond }))
		})
	})
}

// TestHandleRejectsOtherRoles guards against a peer without the role of an entry that starts work.
func TestHandleRejectsOtherRoles(t *testing.T) {
	f := &fixture{t: t, entries: &fakeEntries{}}
	f.agent = newAgent(Settings{Call: f.entries.call})
	_, err := f.handle(context.Background(), messenger.RoleAgent, messenger.KindServe, func(any) error { return nil })
	assert.Assert(t, errors.Is(err, ErrRole))
}
