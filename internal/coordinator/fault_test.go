package coordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/dispatcher"
	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/registrar"
	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// memoryStore is an in-memory store that grants no leases.
type memoryStore struct {
	mu       sync.Mutex
	data     map[string][]byte
	versions map[string]keeper.Version
	// hanging makes every read fail only once its context is done.
	hanging bool
}

func (m *memoryStore) get(ctx context.Context, key string) ([]byte, keeper.Version, error) {
	if m.isHanging() {
		<-ctx.Done()
		return nil, 0, keeper.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.versions[key] == 0 {
		return nil, 0, keeper.ErrNotFound
	}
	return m.data[key], m.versions[key], nil
}

func (m *memoryStore) isHanging() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hanging
}

func (m *memoryStore) put(_ context.Context, key string, data []byte, expect keeper.Version, _ keeper.LeaseID) (keeper.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.versions[key] != expect {
		return 0, keeper.ErrConflict
	}
	m.data[key] = data
	m.versions[key]++
	return m.versions[key], nil
}

func newMemoryStore() *memoryStore {
	return &memoryStore{data: map[string][]byte{}, versions: map[string]keeper.Version{}}
}

// client returns a client of the store. Each entry needs its own.
func (m *memoryStore) client() *keeper.Store {
	grantNoLease := func(context.Context, time.Duration) (keeper.LeaseID, error) { return "", keeper.ErrUnavailable }
	return &keeper.Store{Get: m.get, Put: m.put, GrantLease: grantNoLease}
}

// failingCall is a CallFunc that sends no message.
func failingCall(context.Context, string, messenger.Kind, any, any) error {
	return messenger.ErrNotRun
}

// testEntry returns an entry of region qc-sud whose loops are not running.
func testEntry(m *memoryStore, name descriptor.EntryID, call CallFunc) *Entry {
	e := newEntry(Settings{Name: name, Region: "qc-sud", FailureDomain: "Montreal", Store: m.client(), Call: call, Now: time.Now})
	e.address = string(name)
	return e
}

// testConfiguration returns a configuration in which failure domain Montreal is removed from use if out is true.
func testConfiguration(revision descriptor.Revision, out bool) *descriptor.Configuration {
	return &descriptor.Configuration{
		Revision:       revision,
		Workspaces:     []descriptor.Workspace{{Name: "atelier"}},
		Classes:        []descriptor.Class{{Name: "Preview", FinishWithin: descriptor.Duration(8 * time.Second), Share: 1, Service: "measurement"}},
		FailureDomains: []descriptor.FailureDomain{{Name: "Montreal", Region: "qc-sud", Out: out}, {Name: "Sherbrooke", Region: "qc-sud"}},
	}
}

// TestVoteNeedsReadAfterJoining guards against a permit for an old revision after a newer one was accepted. An entry
// reads the configuration, a change is stored and accepted with a roster that does not list the entry, and the entry
// then joins and votes for the revision that it read earlier. The test fails if isVoter does not require a read after
// joining.
func TestVoteNeedsReadAfterJoining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		m := newMemoryStore()
		operators := keeper.Configurations{Store: m.client()}
		_, err := operators.Replace(ctx, testConfiguration(0, false), 0, "jana", "w1")
		assert.NilError(t, err)
		e := testEntry(m, "entry-c", failingCall)
		e.confirmByStore(ctx)
		assert.Equal(t, e.basis.revision(), descriptor.Revision(1))
		_, err = operators.Replace(ctx, testConfiguration(1, true), 1, "jana", "w2")
		assert.NilError(t, err)
		earlierRoster := &registrar.Roster{Sequence: 2, Members: []registrar.Member{{Entry: "entry-a", Joined: 1, Seen: 1}, {Entry: "entry-b", Joined: 2, Seen: 2}}}
		assert.Assert(t, registrar.CanAccept(earlierRoster, map[descriptor.EntryID]bool{"entry-a": true}))
		time.Sleep(time.Millisecond)
		e.peers.renew(ctx)
		assert.Assert(t, !e.peers.ownState().Voter, "votes for revision %d, read before it joined", e.basis.revision())
		time.Sleep(time.Millisecond)
		e.confirmByStore(ctx)
		assert.Equal(t, e.basis.revision(), descriptor.Revision(2))
		assert.Assert(t, e.peers.ownState().Voter)
	})
}

// TestRouterKeepsNewestOfConcurrentRevisions guards against a router that returns to an older revision when two are
// adopted concurrently. The test fails if adopt configures the router with its own argument instead of the newest
// revision.
func TestRouterKeepsNewestOfConcurrentRevisions(t *testing.T) {
	m := newMemoryStore()
	e := testEntry(m, "entry-a", failingCall)
	nested := false
	e.now = func() time.Time {
		if e.basis.revision() == 2 && !nested {
			// Revision 3 is adopted after basis has adopted revision 2 and before the router is configured with it.
			nested = true
			e.adopt(testConfiguration(3, true))
		}
		return time.Now()
	}
	e.adopt(testConfiguration(2, false))
	assert.Assert(t, nested)
	now := time.Now()
	e.router.Update(dispatcher.EndpointReport{
		Agent: "m", Address: "m", Sequence: 1, Endpoint: "m", Service: "measurement", FailureDomain: "Montreal",
		Region: "qc-sud", Slots: 8, Connections: 8, Healthy: true,
	}, now)
	_, err := e.router.Pick("Preview", "atelier", now.Add(time.Second), nil, now)
	assert.ErrorIs(t, err, dispatcher.ErrNoEndpoint)
}

// newActiveDuty makes e the scheduler of its region and returns the term and its only gang, of a non-idempotent job
// that runs at agent m.
func newActiveDuty(ctx context.Context, e *Entry) (*termState, *gang) {
	d := &e.duty
	e.adopt(testConfiguration(1, false))
	e.basis.confirm(1, e.now(), true)
	e.jobs.complete = true
	job := descriptor.Job{ID: "n", Workspace: "atelier", Class: "Preview", Tasks: 1, NonIdempotent: true, PerTask: descriptor.Resources{Accelerators: 1}}
	e.jobs.put(keeper.JobRecord{Job: job, Accepted: e.now(), State: keeper.JobRunning, Attempt: 1, Epoch: epochOfTerm(1)})
	gangAttempt := messenger.GangAttempt{Key: job.Key(), Attempt: 1, Epoch: epochOfTerm(1)}
	e.agents.update(testReport("m", 1, messenger.TaskReport{Gang: gangAttempt, Tasks: []int{0}, Members: 1, Confirmed: true, State: messenger.TaskRunning}), e.now())
	d.activate(epochOfTerm(1), true)
	d.step(ctx)
	return d.currentTerm, d.currentTerm.gangs[job.Key()]
}

// testReport returns a full report of an agent whose worker has the same id.
func testReport(agent string, sequence uint64, tasks ...messenger.TaskReport) messenger.Report {
	return messenger.Report{
		Agent: agent, Sequence: sequence, Full: true, Address: agent, Region: "qc-sud", FailureDomain: "Montreal",
		State: messenger.AgentServing, Tasks: tasks,
		Worker: &descriptor.Worker{ID: descriptor.WorkerID(agent), Rack: "r", FailureDomain: "Montreal", Region: "qc-sud", Accelerators: 8},
	}
}

// pendingCount returns the number of pending changes of job records.
func (w *recordWriter) pendingCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// stopDuty ends the goroutines of a duty whose loop is not running.
func stopDuty(e *Entry) {
	e.duty.endTerm()
	e.duty.awaitBackground()
}

// TestOutdatedSchedulerDoesNotEndJob guards against an outdated scheduler that ends a job because an agent rejected its
// Stop with a newer epoch, while the job runs under the newer scheduler. The test fails if stopMember takes an answer
// with a newer epoch to mean that the member has stopped.
func TestOutdatedSchedulerDoesNotEndJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := func(_ context.Context, _ string, _ messenger.Kind, _, answer any) error {
			*answer.(*messenger.GangAnswer) = messenger.GangAnswer{Refusal: "stale epoch", Epoch: epochOfTerm(2)}
			return nil
		}
		e := testEntry(newMemoryStore(), "entry-a", refuse)
		term, g := newActiveDuty(t.Context(), e)
		assert.Assert(t, g != nil)
		e.duty.beginStop(term, g, 0, stoppedEvent(g, "reclaimed"))
		synctest.Wait()
		e.duty.runCommands()
		assert.Assert(t, !e.duty.isActive())
		assert.Equal(t, e.duty.recordWriter.pendingCount(), 0)
		stopDuty(e)
	})
}

// TestResumedSchedulerDoesNotLoseAgents guards against a scheduler that treats all agents as lost after a long pause,
// because no reports were handled during it, and ends or repeats their jobs. The test fails if step does not end the
// term after a gap longer than maxStepGap.
func TestResumedSchedulerDoesNotLoseAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stops := 0
		countStops := func(_ context.Context, _ string, kind messenger.Kind, _, answer any) error {
			if kind == messenger.KindStop {
				stops++
				*answer.(*messenger.GangAnswer) = messenger.GangAnswer{OK: true, State: messenger.TaskStopped}
			}
			return nil
		}
		e := testEntry(newMemoryStore(), "entry-a", countStops)
		_, g := newActiveDuty(t.Context(), e)
		assert.Assert(t, g != nil)
		time.Sleep(lostTimeout + time.Second)
		e.duty.step(t.Context())
		synctest.Wait()
		e.duty.runCommands()
		assert.Equal(t, stops, 0)
		assert.Equal(t, e.duty.recordWriter.pendingCount(), 0)
		stopDuty(e)
	})
}

// TestResumedSchedulerWaitsForReports guards against a resumed scheduler that starts queued jobs again before the
// agents have reported what is running. The test fails if mayDecide measures its delay only from the start of the
// process.
func TestResumedSchedulerWaitsForReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEntry(newMemoryStore(), "entry-a", failingCall)
		newActiveDuty(t.Context(), e)
		time.Sleep(lostTimeout + time.Second)
		e.duty.step(t.Context())
		e.duty.activate(epochOfTerm(1), true)
		e.basis.confirm(1, e.now(), true)
		e.duty.step(t.Context())
		assert.Assert(t, !e.duty.mayDecide(e.duty.currentTerm, e.now()))
		time.Sleep(adoptionDelay + time.Millisecond)
		e.basis.confirm(1, e.now(), true)
		assert.Assert(t, e.duty.mayDecide(e.duty.currentTerm, e.now()))
		stopDuty(e)
	})
}

// TestIncompleteGangTakeoverDelay guards against urgent work that is delayed too long by a gang which a failed
// scheduler left incomplete. Lease expiry and retry take up to 1.5 s of the 2.8 s allowed. The test fails if
// orphanTimeout equals adoptionDelay.
func TestIncompleteGangTakeoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		call := func(_ context.Context, _ string, _ messenger.Kind, _, answer any) error {
			*answer.(*messenger.GangAnswer) = messenger.GangAnswer{OK: true, State: messenger.TaskStopped, NeverStarted: true}
			return nil
		}
		e := testEntry(newMemoryStore(), "entry-a", call)
		time.Sleep(2 * adoptionDelay)
		newActiveDuty(t.Context(), e)
		job := descriptor.Job{ID: "g", Workspace: "atelier", Class: "Preview", Tasks: 2, PerTask: descriptor.Resources{Accelerators: 4}}
		e.jobs.put(keeper.JobRecord{Job: job, Accepted: e.now(), State: keeper.JobQueued})
		e.duty.step(t.Context())
		gangAttempt := messenger.GangAttempt{Key: job.Key(), Attempt: 1, Epoch: epochOfTerm(1)}
		e.agents.update(testReport("h", 1, messenger.TaskReport{Gang: gangAttempt, Tasks: []int{0}, Members: 2, State: messenger.TaskHeld}), e.now())
		e.duty.step(t.Context())
		assert.Assert(t, !e.duty.mayDecide(e.duty.currentTerm, e.now()))
		// 2.8 s minus lease expiry, retry to acquire the lease, one interval of the loop, and the start itself.
		time.Sleep(900 * time.Millisecond)
		e.duty.step(t.Context())
		assert.Assert(t, e.duty.mayDecide(e.duty.currentTerm, e.now()))
		synctest.Wait()
		stopDuty(e)
	})
}

// TestReplacedAttemptIsStopped guards against an attempt that continues after its replacement has started. Its agent
// could not reach the scheduler until the job was started elsewhere, and then reports the old attempt again. The test
// fails if collectOrphans ignores attempts older than the current one.
func TestReplacedAttemptIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopped := make(chan messenger.StopRequest, 1)
		call := func(_ context.Context, address string, kind messenger.Kind, request, answer any) error {
			if kind == messenger.KindStop && address == "old" {
				stopped <- request.(messenger.StopRequest)
			}
			*answer.(*messenger.GangAnswer) = messenger.GangAnswer{OK: true, State: messenger.TaskStopped}
			return nil
		}
		e := testEntry(newMemoryStore(), "entry-a", call)
		term, g := newActiveDuty(t.Context(), e)
		g.ref.Attempt = 2
		old := messenger.GangAttempt{Key: g.ref.Key, Attempt: 1, Epoch: epochOfTerm(1)}
		e.agents.update(testReport("old", 1, messenger.TaskReport{Gang: old, Tasks: []int{0}, Members: 1, Confirmed: true, State: messenger.TaskRunning}), e.now())
		e.duty.step(t.Context())
		synctest.Wait()
		assert.Equal(t, len(stopped), 1)
		assert.Equal(t, (<-stopped).Gang.Attempt, descriptor.Attempt(1))
		assert.Assert(t, term.gangs[g.ref.Key] == g)
		assert.Equal(t, g.phase, phaseRunning)
		stopDuty(e)
	})
}

// TestReportAndJobArriveTogether guards against a running attempt that is stopped because its job is not known: its
// report is processed before the job record that arrived at the same time. The test fails if step collects orphans
// before it synchronizes jobs.
func TestReportAndJobArriveTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stops := 0
		call := func(_ context.Context, _ string, kind messenger.Kind, _, answer any) error {
			if kind == messenger.KindStop {
				stops++
			}
			*answer.(*messenger.GangAnswer) = messenger.GangAnswer{OK: true, State: messenger.TaskStopped}
			return nil
		}
		e := testEntry(newMemoryStore(), "entry-a", call)
		term, _ := newActiveDuty(t.Context(), e)
		job := descriptor.Job{ID: "g", Workspace: "atelier", Class: "Preview", Tasks: 1, PerTask: descriptor.Resources{Accelerators: 4}}
		e.jobs.put(keeper.JobRecord{Job: job, Accepted: e.now(), State: keeper.JobQueued})
		gangAttempt := messenger.GangAttempt{Key: job.Key(), Attempt: 1, Epoch: epochOfTerm(1)}
		e.agents.update(testReport("h", 1, messenger.TaskReport{Gang: gangAttempt, Tasks: []int{0}, Members: 1, Confirmed: true, State: messenger.TaskRunning}), e.now())
		e.duty.step(t.Context())
		synctest.Wait()
		assert.Equal(t, stops, 0)
		assert.Assert(t, term.gangs[job.Key()] != nil)
		stopDuty(e)
	})
}

// TestRefusedHoldDoesNotEndJob guards against a non-idempotent job that ends as Unknown although it never started. An
// agent refuses its Hold, because it knows a higher attempt from an earlier term or was paused, and cannot confirm that
// the attempt never started. The test fails if handleStartResult does not set unstarted.
func TestRefusedHoldDoesNotEndJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := func(_ context.Context, _ string, _ messenger.Kind, _, answer any) error {
			*answer.(*messenger.GangAnswer) = messenger.GangAnswer{Refusal: "attempt is older", State: messenger.TaskStopped}
			return nil
		}
		e := testEntry(newMemoryStore(), "entry-a", refuse)
		term, _ := newActiveDuty(t.Context(), e)
		job := descriptor.Job{ID: "q", Workspace: "atelier", Class: "Preview", Tasks: 1, NonIdempotent: true}
		record := keeper.JobRecord{Job: job, Accepted: e.now(), State: keeper.JobQueued}
		e.jobs.put(record)
		e.duty.launch(term, scheduler.Decision{Key: job.Key(), Attempt: 1, Placement: []scheduler.Assignment{{Worker: "m", Tasks: []int{0}}}}, e.now())
		for range 2 {
			synctest.Wait()
			e.duty.runCommands()
		}
		assert.Assert(t, term.gangs[job.Key()] == nil)
		for _, change := range e.duty.recordWriter.takePending() {
			_ = change(&record)
		}
		assert.Equal(t, record.State, keeper.JobQueued, record.Reason)
		stopDuty(e)
	})
}

// TestRefusedCommitDoesNotEndUnclaimedJob guards against a non-idempotent job that ends as Unknown because a member of
// an adopted, unclaimed attempt refuses Commit after its hold expired while its agent was paused. The test fails if
// adoptGang does not set unclaimed.
func TestRefusedCommitDoesNotEndUnclaimedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := func(_ context.Context, _ string, _ messenger.Kind, _, answer any) error {
			*answer.(*messenger.GangAnswer) = messenger.GangAnswer{Refusal: "attempt has ended", State: messenger.TaskStopped}
			return nil
		}
		e := testEntry(newMemoryStore(), "entry-a", refuse)
		term, _ := newActiveDuty(t.Context(), e)
		job := descriptor.Job{ID: "q", Workspace: "atelier", Class: "Preview", Tasks: 1, NonIdempotent: true}
		record := keeper.JobRecord{Job: job, Accepted: e.now(), State: keeper.JobQueued}
		e.jobs.put(record)
		gangAttempt := messenger.GangAttempt{Key: job.Key(), Attempt: 1, Epoch: epochOfTerm(1)}
		e.agents.update(testReport("h", 1, messenger.TaskReport{Gang: gangAttempt, Tasks: []int{0}, Members: 1, State: messenger.TaskHeld}), e.now())
		e.duty.step(t.Context())
		assert.Assert(t, term.gangs[job.Key()] != nil)
		for range 2 {
			synctest.Wait()
			e.duty.runCommands()
		}
		for _, change := range e.duty.recordWriter.takePending() {
			_ = change(&record)
		}
		assert.Equal(t, record.State, keeper.JobQueued, record.Reason)
		stopDuty(e)
	})
}

// TestLaterAttemptOfTermReplacesClaim guards against a claim that blocks the next attempt: the answer to the claim was
// lost, the attempt was given up, and the release of the claim is not written yet. The test fails if claimAttempt
// rejects every other attempt. It also checks that a claim of another term, or of a later attempt, is respected.
func TestLaterAttemptOfTermReplacesClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		e := testEntry(m, "entry-a", failingCall)
		jobs := keeper.Jobs{Store: m.client(), Region: "qc-sud"}
		job := descriptor.Job{ID: "q", Workspace: "atelier", Class: "Preview", Region: "qc-sud", Tasks: 1, NonIdempotent: true}
		_, err := jobs.Accept(t.Context(), keeper.JobRecord{Job: job, Accepted: e.now(), State: keeper.JobQueued})
		assert.NilError(t, err)
		claim := func(attempt descriptor.Attempt, term descriptor.Epoch) error {
			return e.duty.claimAttempt(t.Context(), &gang{job: job, ref: messenger.GangAttempt{Key: job.Key(), Attempt: attempt, Epoch: epochOfTerm(term)}})
		}
		assert.NilError(t, claim(1, 1))
		assert.NilError(t, claim(2, 1))
		assert.ErrorIs(t, claim(3, 2), errAlreadyClaimed)
		assert.ErrorIs(t, claim(1, 1), errAlreadyClaimed)
	})
}

// TestAdoptedGangKeepsClaim guards against a non-idempotent job that ends as Unknown because its scheduler was replaced
// between the claim and the start of the last member. The new scheduler adopts the claimed gang. The test fails if
// claimAttempt returns errAlreadyClaimed for that gang. It also checks that the claim of yet another scheduler is
// respected.
func TestAdoptedGangKeepsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formerEpoch := epochOfTerm(0)
		for _, test := range []struct {
			name    string
			claimed descriptor.Epoch
			want    error
		}{
			{"claimed by the scheduler whose epoch the agents report", formerEpoch, nil},
			{"claimed by another scheduler", formerEpoch - 1, errAlreadyClaimed},
		} {
			m := newMemoryStore()
			call := func(_ context.Context, _ string, _ messenger.Kind, _, answer any) error {
				*answer.(*messenger.GangAnswer) = messenger.GangAnswer{OK: true, State: messenger.TaskRunning}
				return nil
			}
			e := testEntry(m, "entry-a", call)
			term, _ := newActiveDuty(t.Context(), e)
			job := descriptor.Job{ID: "q", Workspace: "atelier", Class: "Preview", Region: "qc-sud", Tasks: 1, NonIdempotent: true}
			record := keeper.JobRecord{Job: job, Accepted: e.now(), State: keeper.JobRunning, Attempt: 1, Epoch: test.claimed}
			_, err := keeper.Jobs{Store: m.client(), Region: "qc-sud"}.Accept(t.Context(), record)
			assert.NilError(t, err)
			e.jobs.put(record)
			gangAttempt := messenger.GangAttempt{Key: job.Key(), Attempt: 1, Epoch: formerEpoch}
			o := &orphan{ref: gangAttempt, expectedMembers: 1, states: []messenger.TaskState{messenger.TaskCommitted}}
			o.members = []member{{agent: "h", address: "h", worker: "h", tasks: []int{0}}}
			d := &e.duty
			g := o.toGang(term, job)
			assert.Equal(t, g.ref.Epoch, term.epoch)
			err = d.claimAttempt(t.Context(), g)
			if test.want == nil {
				assert.NilError(t, err, test.name)
			} else {
				assert.ErrorIs(t, err, test.want, test.name)
			}
			stopDuty(e)
		}
	})
}

// TestEarlierTermReportDoesNotStopGang guards against a running gang that is stopped because an agent that is not a
// member reports the end of an attempt with the same number from an earlier term. The test fails if observeMembers does
// not compare the agent with the members.
func TestEarlierTermReportDoesNotStopGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEntry(newMemoryStore(), "entry-a", failingCall)
		_, g := newActiveDuty(t.Context(), e)
		ended := messenger.TaskReport{Gang: messenger.GangAttempt{Key: g.ref.Key, Attempt: 1}, Tasks: []int{0}, Members: 1, State: messenger.TaskStopped}
		e.agents.update(testReport("other", 1, ended), e.now())
		e.duty.step(t.Context())
		assert.Equal(t, g.phase, phaseRunning)
		stopDuty(e)
	})
}

// TestIncompleteHoldsDoNotEndJob guards against a non-idempotent job that ends as Unknown because a failed scheduler
// left some of its holds, although no attempt was claimed or started. The test fails if stopOrphan does not set
// unstarted.
func TestIncompleteHoldsDoNotEndJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		call := func(_ context.Context, _ string, _ messenger.Kind, _, answer any) error {
			*answer.(*messenger.GangAnswer) = messenger.GangAnswer{OK: true, State: messenger.TaskStopped}
			return nil
		}
		e := testEntry(newMemoryStore(), "entry-a", call)
		term, _ := newActiveDuty(t.Context(), e)
		job := descriptor.Job{ID: "q", Workspace: "atelier", Class: "Preview", Tasks: 2, NonIdempotent: true}
		record := keeper.JobRecord{Job: job, Accepted: e.now(), State: keeper.JobQueued}
		e.jobs.put(record)
		gangAttempt := messenger.GangAttempt{Key: job.Key(), Attempt: 1, Epoch: epochOfTerm(1)}
		e.agents.update(testReport("h", 1, messenger.TaskReport{Gang: gangAttempt, Tasks: []int{0}, Members: 2, State: messenger.TaskHeld}), e.now())
		e.duty.step(t.Context())
		time.Sleep(orphanTimeout)
		e.duty.step(t.Context())
		synctest.Wait()
		e.duty.runCommands()
		assert.Assert(t, len(term.orphans) == 0 && term.gangs[job.Key()] == nil)
		for _, change := range e.duty.recordWriter.takePending() {
			_ = change(&record)
		}
		assert.Equal(t, record.State, keeper.JobQueued, record.Reason)
		stopDuty(e)
	})
}

// TestSchedulersDoNotDecideConcurrently guards against a job that two schedulers start concurrently: after a store
// outage the previous scheduler continues until it learns of the newer epoch. The test fails if waitsForOtherScheduler
// always returns false, or if observeEpoch does not end the term.
func TestSchedulersDoNotDecideConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEntry(newMemoryStore(), "entry-a", failingCall)
		time.Sleep(2 * adoptionDelay)
		term, _ := newActiveDuty(t.Context(), e)
		peer := messenger.EntryState{Entry: "entry-b", Region: "qc-sud", Scheduler: true, Epoch: epochOfTerm(0)}
		e.peers.handleMessage(peer)
		assert.Assert(t, !e.duty.mayDecide(term, e.now()))
		peer.Scheduler = false
		e.peers.handleMessage(peer)
		time.Sleep(otherSchedulerDelay)
		assert.Assert(t, e.duty.mayDecide(term, e.now()))
		answer := e.peers.answer(messenger.EntryState{Entry: "entry-b", Region: "qc-sud", Scheduler: true, Epoch: epochOfTerm(2)})
		assert.Assert(t, !answer.Scheduler)
		stopDuty(e)
	})
}

// TestHangingStoreDoesNotDelayTakeover guards against a takeover that waits for an unresponsive store. Urgent work must
// start within 2.8 s of a scheduler's failure, which is detected after 1.5 s of silence. The test fails if
// actIfEligible runs in the same loop as the calls to the store.
func TestHangingStoreDoesNotDelayTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.hanging = true
		e := testEntry(m, "entry-a", failingCall)
		e.adopt(testConfiguration(1, false))
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		loops.Go(func() { e.duty.termLoop(ctx) })
		loops.Go(func() {
			for ctx.Err() == nil {
				// This simulates a majority of entries that confirms the configuration without the store.
				e.basis.confirm(1, e.now(), false)
				time.Sleep(confirmInterval)
			}
		})
		e.peers.handleMessage(messenger.EntryState{Entry: "entry-b", Region: "qc-sud", Scheduler: true, Epoch: epochOfTerm(1)})
		failedAt := time.Now()
		for !e.duty.isActive() && time.Since(failedAt) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(failedAt)
		cancel()
		loops.Wait()
		assert.Assert(t, took < 2400*time.Millisecond, "took %v", took)
	})
}
