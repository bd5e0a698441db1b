package leader

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"persimmontrail/internal/agent"
	"persimmontrail/internal/archiver"
	"persimmontrail/internal/connector"
	"persimmontrail/internal/planner"
	"persimmontrail/internal/recorder"
	"persimmontrail/pkg/descriptor"
)

// memoryStore is an in-memory store that removes the keys of expired and revoked leases. All leases have the TTL
// leaderLeaseTTL, and a range is always one page.
type memoryStore struct {
	mu         sync.Mutex
	revision   archiver.Revision
	items      map[string]archiver.Item
	leases     map[archiver.LeaseID]time.Time
	leaseOfKey map[string]archiver.LeaseID
	// lostAnswers is the number of further commits that take effect although their answer is lost.
	lostAnswers int
	// unavailable makes all calls fail.
	unavailable bool
	// commitCalls is the number of calls of commit.
	commitCalls int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		items: map[string]archiver.Item{}, leases: map[archiver.LeaseID]time.Time{}, leaseOfKey: map[string]archiver.LeaseID{},
	}
}

func (m *memoryStore) leaderRevision() archiver.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.items[archiver.LeaderKey].Revision
}

// expire removes the keys of expired and revoked leases. The caller holds m.mu.
func (m *memoryStore) expire() {
	for key, id := range m.leaseOfKey {
		if !time.Now().Before(m.leases[id]) {
			delete(m.items, key)
			delete(m.leaseOfKey, key)
			m.revision++
		}
	}
}

func (m *memoryStore) store() *archiver.Store {
	const ttl = leaderLeaseTTL
	return &archiver.Store{
		Get: func(_ context.Context, key string) (archiver.Item, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.expire()
			if m.unavailable {
				return archiver.Item{}, archiver.ErrUnavailable
			}
			if i, ok := m.items[key]; ok {
				return i, nil
			}
			return archiver.Item{}, archiver.ErrNotFound
		},
		Range: func(_ context.Context, prefix, _ string) ([]archiver.Item, bool, archiver.Revision, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.expire()
			if m.unavailable {
				return nil, false, 0, archiver.ErrUnavailable
			}
			var items []archiver.Item
			for k, i := range m.items {
				if strings.HasPrefix(k, prefix) {
					items = append(items, i)
				}
			}
			return items, false, m.revision + 1, nil
		},
		// Watch always fails with ErrCompacted, so the mirror reads all keys again each time.
		Watch: func(ctx context.Context, _ string, _ archiver.Revision, _ time.Duration) ([]archiver.Event, archiver.Revision, error) {
			sleep(ctx, 50*time.Millisecond)
			return nil, 0, archiver.ErrCompacted
		},
		Commit: m.commit,
		Grant: func(context.Context, time.Duration) (archiver.LeaseID, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.unavailable {
				return 0, archiver.ErrUnavailable
			}
			id := archiver.LeaseID(len(m.leases) + 1)
			m.leases[id] = time.Now().Add(ttl)
			return id, nil
		},
		Renew: func(_ context.Context, id archiver.LeaseID) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.expire()
			if m.unavailable {
				return archiver.ErrUnavailable
			}
			if !time.Now().Before(m.leases[id]) {
				return archiver.ErrLeaseLost
			}
			m.leases[id] = time.Now().Add(ttl)
			return nil
		},
		Revoke: func(_ context.Context, id archiver.LeaseID) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.unavailable {
				return archiver.ErrUnavailable
			}
			m.leases[id] = time.Time{}
			m.expire()
			return nil
		},
	}
}

func (m *memoryStore) commit(_ context.Context, t archiver.Txn) (archiver.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	m.commitCalls++
	if m.unavailable {
		return 0, archiver.ErrUnavailable
	}
	e := &archiver.ConflictError{}
	conflict := false
	for _, c := range t.If {
		i := m.items[c.Key]
		i.Key = c.Key
		e.Items = append(e.Items, i)
		conflict = conflict || i.Revision != c.Revision
	}
	if conflict {
		return 0, e
	}
	m.revision++
	for _, w := range t.Put {
		m.items[w.Key] = archiver.Item{Key: w.Key, Value: w.Value, Revision: m.revision, Created: m.revision}
		if w.Lease != 0 {
			m.leaseOfKey[w.Key] = w.Lease
		}
	}
	for _, k := range t.Remove {
		delete(m.items, k)
	}
	if m.lostAnswers > 0 {
		m.lostAnswers--
		return 0, archiver.ErrOutcomeUnknown
	}
	return m.revision, nil
}

func newLeader(m *memoryStore, node string) *Leader {
	discard := log.New(io.Discard)
	start := time.Now()
	ld := &Leader{
		BootTime: func() time.Duration { return time.Since(start) },
		Node:     node, Store: m.store(), Log: discard, Metrics: &recorder.Metrics{}, MaxHold: 10 * time.Second, EndedRetention: time.Minute,
		Settings: func() Settings { return Settings{} },
		Limits:   planner.Limits{DistanceFactor: 3},
	}
	ld.Mirror = &archiver.Mirror{Store: ld.Store, Prefix: archiver.Prefix, Log: discard, Changed: ld.DocumentChanged}
	return ld
}

// newLeaderTerm returns the term of a leader whose key is in the store, with one submitted workload whose progress is
// not yet stored.
func newLeaderTerm(t *testing.T, store *memoryStore) *term {
	t.Helper()
	ld := newLeader(store, "me")
	revision, err := store.commit(t.Context(), archiver.Txn{Put: []archiver.Write{{Key: archiver.LeaderKey, Value: []byte("me")}}})
	assert.NilError(t, err)
	leaderTerm := newTerm(ld, descriptor.Fence(revision))
	leaderTerm.core.Submit(planner.Record{Workload: descriptor.Workload{ID: "j", Steps: []descriptor.Step{{Count: 1}}}}, time.Now())
	return leaderTerm
}

// TestLostCommitAnswerIsResolved guards against a term that ends because the answer to a commit was lost. The repeated
// write conflicts with the first one; it must be recognised as the leader's own, and the next write must build on it.
func TestLostCommitAnswerIsResolved(t *testing.T) {
	store := newMemoryStore()
	leaderTerm := newLeaderTerm(t, store)
	store.lostAnswers = 1
	assert.NilError(t, leaderTerm.writeProgress(t.Context(), []descriptor.JobID{"j"}))
	assert.Equal(t, store.commitCalls, 3)
	assert.NilError(t, leaderTerm.writeProgress(t.Context(), []descriptor.JobID{"j"}))
}

// TestReplacedLeaderCannotWrite guards against a leader that still writes progress after another process has taken the
// leader key. The write must fail and end the term.
func TestReplacedLeaderCannotWrite(t *testing.T) {
	store := newMemoryStore()
	leaderTerm := newLeaderTerm(t, store)
	_, err := store.commit(t.Context(), archiver.Txn{Put: []archiver.Write{{Key: archiver.LeaderKey, Value: []byte("other")}}})
	assert.NilError(t, err)
	assert.ErrorIs(t, leaderTerm.writeProgress(t.Context(), []descriptor.JobID{"j"}), errTermLost)
	_, ok := store.items[archiver.ProgressKey("j")]
	assert.Assert(t, !ok)
}

// TestForeignProgressIsNotOverwritten guards against a leader that takes a progress document of another process for its
// own write and overwrites it. The write must fail and end the term.
func TestForeignProgressIsNotOverwritten(t *testing.T) {
	store := newMemoryStore()
	leaderTerm := newLeaderTerm(t, store)
	foreign := archiver.Encode(planner.Progress{State: planner.JobDone, Fence: 1, Change: 9})
	_, err := store.commit(t.Context(), archiver.Txn{Put: []archiver.Write{{Key: archiver.ProgressKey("j"), Value: foreign}}})
	assert.NilError(t, err)
	assert.ErrorContains(t, leaderTerm.writeProgress(t.Context(), []descriptor.JobID{"j"}), "not the one written")
	assert.DeepEqual(t, store.items[archiver.ProgressKey("j")].Value, foreign)
}

// TestHoldExpiry guards against giving up the attempts of a silent worker before its hold has expired by its own clock,
// which may be 2 % slow, and against waiting for more than 0.4 s longer than the hold of 10 s.
func TestHoldExpiry(t *testing.T) {
	store := newMemoryStore()
	leaderTerm := newLeaderTerm(t, store)
	reportedAt := time.Now()
	agentLink := &link{term: leaderTerm, node: "n", reported: true, lastClock: 1000, lastClockAt: reportedAt, maxHoldUntil: 11000}
	for _, test := range []struct {
		after   time.Duration
		expired bool
	}{{0, false}, {10 * time.Second, false}, {10200 * time.Millisecond, false}, {10400 * time.Millisecond, true}} {
		assert.Equal(t, agentLink.holdExpired(reportedAt.Add(test.after)), test.expired, test.after)
	}
}

// TestTakeover guards against two entries that lead at a time, against a fence that does not rise, and against a late
// takeover. It must come within 0.6 s if the leader ended its lease, or within the lease TTL plus 1 s after a network
// partition.
func TestTakeover(t *testing.T) {
	for _, test := range []struct {
		name         string
		partitioned  bool
		takeoverTime time.Duration
	}{{"lease ended", false, 600 * time.Millisecond}, {"network partition", true, leaderLeaseTTL + time.Second}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				first, second := newLeader(store, "a"), newLeader(store, "b")
				// Only the first entry can be cut off from the store.
				inner := first.Store
				var cutOff atomic.Bool
				partitionable := *inner
				partitionable.Renew = func(ctx context.Context, id archiver.LeaseID) error {
					if cutOff.Load() {
						return archiver.ErrUnavailable
					}
					return inner.Renew(ctx, id)
				}
				partitionable.Revoke = func(ctx context.Context, id archiver.LeaseID) error {
					if cutOff.Load() {
						return archiver.ErrUnavailable
					}
					return inner.Revoke(ctx, id)
				}
				partitionable.Get = func(ctx context.Context, key string) (archiver.Item, error) {
					if cutOff.Load() {
						return archiver.Item{}, archiver.ErrUnavailable
					}
					return inner.Get(ctx, key)
				}
				first.Store = &partitionable
				ctx, cancel := context.WithCancel(t.Context())
				firstCtx, stopFirst := context.WithCancel(ctx)
				var wg sync.WaitGroup
				for _, ld := range []*Leader{first, second} {
					wg.Go(func() { ld.Mirror.Run(ctx) })
				}
				wg.Go(func() { first.Run(firstCtx) })
				time.Sleep(time.Second)
				assert.Assert(t, first.IsLeader())
				fence := store.leaderRevision()
				wg.Go(func() { second.Run(ctx) })
				time.Sleep(5 * time.Second)
				assert.Assert(t, first.IsLeader() && !second.IsLeader())
				if test.partitioned {
					cutOff.Store(true)
				} else {
					stopFirst()
				}
				time.Sleep(test.takeoverTime)
				assert.Assert(t, second.IsLeader() && !first.IsLeader())
				assert.Assert(t, store.leaderRevision() > fence)
				stopFirst()
				cancel()
				wg.Wait()
			})
		})
	}
}

// TestNewLeaderKeepsPlacedAttempts guards against a new leader that starts tasks again although the documents name
// attempts of them by the former leader, or that gives up these attempts before the last hold deadline has passed.
func TestNewLeaderKeepsPlacedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		workload := descriptor.Workload{ID: "j", Service: "s", MaxAttempts: 2, Steps: []descriptor.Step{{Count: 1}}}
		_, err := store.commit(t.Context(), archiver.Txn{Put: []archiver.Write{
			{Key: archiver.JobKey("j"), Value: archiver.Encode(planner.Record{Workload: workload})},
			{Key: archiver.ProgressKey("j"), Value: archiver.Encode(planner.Progress{
				State: planner.JobRunning, Occurrences: map[int]*planner.Occurrence{0: {Steps: [][]planner.Task{{{
					State: planner.TaskPlaced, Attempt: 3, Worker: "w", Born: 1, Node: "n",
				}}}}},
			})},
			{Key: archiver.LeaderKey, Value: []byte("me")},
		}})
		assert.NilError(t, err)
		leaderTerm := newTerm(newLeader(store, "me"), descriptor.Fence(store.revision))
		leaderTerm.linkCtx = t.Context()
		assert.NilError(t, leaderTerm.load(t.Context()))
		status := descriptor.WorkerStatus{Incarnation: descriptor.Incarnation{Worker: "other", Born: 1}, Service: "s"}
		leaderTerm.core.Observe(planner.Observation{Node: "free", Status: status, Clock: 5, Received: time.Now()})
		assert.Equal(t, len(leaderTerm.core.Plan(time.Now())), 0)
		// The former leader may have extended the hold by the maximum just before this term.
		time.Sleep(10 * time.Second)
		leaderTerm.removeExpiredNodes(time.Now())
		assert.DeepEqual(t, leaderTerm.core.NodesWithAttempts(), []string{"n"})
		time.Sleep(3 * time.Second)
		leaderTerm.removeExpiredNodes(time.Now())
		assert.Equal(t, len(leaderTerm.core.NodesWithAttempts()), 0)
	})
}

// TestRepeatedListDoesNotExtendHold guards against a hold that seems to be renewed, and against new tasks for the
// worker, when a live agent only repeats the last lists of a worker that no longer answers.
func TestRepeatedListDoesNotExtendHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		leaderTerm := newTerm(newLeader(store, "me"), 1)
		leaderTerm.linkCtx = t.Context()
		agentLink := &link{term: leaderTerm, node: "n", waitingSince: leaderTerm.startedAt}
		leaderTerm.links["n"] = agentLink
		workload := descriptor.Workload{ID: "j", Service: "s", MaxAttempts: 2, Steps: []descriptor.Step{{Count: 1}}}
		status := descriptor.WorkerStatus{Incarnation: descriptor.Incarnation{Worker: "w", Born: 1}, Service: "s"}
		report := agent.Report{Node: "n", Fence: 1, HasStatus: true, ListsCurrent: true, AllEnds: true, Status: status, Clock: 1000}
		leaderTerm.handleReport(agentLink, report, time.Now())
		leaderTerm.core.Submit(planner.Record{Workload: workload}, time.Now())
		assert.Equal(t, len(leaderTerm.core.Plan(time.Now())), 1)
		attemptID := descriptor.AttemptID{Task: descriptor.TaskID{Job: "j"}, Attempt: 1}
		leaderTerm.core.HandleStarted("n", status.Incarnation, attemptID, 1001, time.Now())
		report.Clock, report.Running = 1500, []descriptor.AttemptStatus{{AttemptID: attemptID}}
		for range 26 {
			leaderTerm.handleReport(agentLink, report, time.Now())
			time.Sleep(500 * time.Millisecond)
			leaderTerm.removeExpiredNodes(time.Now())
		}
		assert.Equal(t, len(leaderTerm.core.NodesWithAttempts()), 0, "the hold of 10 s has expired")
		assert.Equal(t, len(leaderTerm.core.Plan(time.Now())), 0, "no task is placed on the silent worker")
		report.Clock, report.Running = 9000, nil
		leaderTerm.handleReport(agentLink, report, time.Now())
		assert.Equal(t, len(leaderTerm.core.Plan(time.Now())), 1)
	})
}

// TestLeaseIsEndedAfterOutage guards against 1.6 s without a leader after each store outage during which leases did not
// expire: the former leader has given up its term, but its lease still runs when the store is back.
func TestLeaseIsEndedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		ld := newLeader(store, "me")
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { ld.Mirror.Run(ctx) })
		wg.Go(func() { ld.Run(ctx) })
		time.Sleep(3 * time.Second)
		fence := store.leaderRevision()
		assert.Assert(t, fence > 0)
		store.mu.Lock()
		store.unavailable = true
		store.mu.Unlock()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			store.mu.Lock()
			for id := range store.leases {
				store.leases[id] = time.Now().Add(leaderLeaseTTL)
			}
			store.mu.Unlock()
		}
		assert.Assert(t, !ld.IsLeader())
		store.mu.Lock()
		store.unavailable = false
		store.mu.Unlock()
		time.Sleep(leaderLeaseTTL / 2)
		assert.Assert(t, ld.IsLeader())
		assert.Assert(t, store.leaderRevision() > fence)
		cancel()
		wg.Wait()
	})
}

// TestHoldSlack guards against attempts that are given up while a worker still keeps them, because it counts the hold from
// the arrival of an answer and not to a time on its clock.
func TestHoldSlack(t *testing.T) {
	leaderTerm := newLeaderTerm(t, newMemoryStore())
	leaderTerm.leader.HoldSlack = time.Second
	reportedAt := time.Now()
	agentLink := &link{term: leaderTerm, node: "n", reported: true, lastClock: 1000, lastClockAt: reportedAt, maxHoldUntil: 11000}
	assert.Assert(t, !agentLink.holdExpired(reportedAt.Add(11*time.Second)))
	assert.Assert(t, agentLink.holdExpired(reportedAt.Add(11500*time.Millisecond)))
}

// TestReportsDuringRoundKeepStartsAllowed guards against a leader that never starts anything: its rounds take longer than
// the age at which a report is too old for a start, the reports that arrive meanwhile wait until the round has dropped its
// starts, and the next round does the same. Ends in such a report must not be acknowledged before they are stored.
func TestReportsDuringRoundKeepStartsAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		leaderTerm := newLeaderTerm(t, store)
		leaderTerm.linkCtx = t.Context()
		var mu sync.Mutex
		var calls []agent.SyncRequest
		leaderTerm.leader.CallAgent = func(_ context.Context, _ string, s agent.SyncRequest) (agent.Report, error) {
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, s)
			return agent.Report{}, io.EOF
		}
		agentLink := &link{term: leaderTerm, node: "n", waitingSince: leaderTerm.startedAt}
		leaderTerm.links["n"] = agentLink
		leaderTerm.core.Submit(recordOf("done", descriptor.Step{Count: 1}), time.Now())
		report := func(clock descriptor.WorkerClock, ended ...descriptor.AttemptEnd) {
			o := observationOf(clock, nil, ended)
			leaderTerm.handleReport(agentLink, agent.Report{
				Node: "n", Fence: leaderTerm.fence, HasStatus: true, ListsCurrent: true, AllEnds: true, Status: o.Status, Clock: clock, Ended: ended,
			}, time.Now())
		}
		report(1)
		assert.NilError(t, leaderTerm.runRound(t.Context()))
		synctest.Wait()
		assert.Equal(t, len(calls), 1)
		first := calls[0].Starts[0].AttemptID
		leaderTerm.core.Submit(recordOf("k", descriptor.Step{Count: 1}), time.Now())

		commit := leaderTerm.leader.Store.Commit
		leaderTerm.leader.Store.Commit = func(ctx context.Context, txn archiver.Txn) (archiver.Revision, error) {
			time.Sleep(3 * time.Second)
			leaderTerm.post(func() { report(3000, descriptor.AttemptEnd{Seq: 1, AttemptID: first, Outcome: descriptor.OutcomeDone}) })
			return commit(ctx, txn)
		}
		calls = nil
		assert.NilError(t, leaderTerm.runRound(t.Context()))
		synctest.Wait()
		assert.Equal(t, len(calls), 1)
		assert.Equal(t, len(calls[0].Starts), 1, "the report that arrived during the write allows the start")
		assert.Equal(t, calls[0].AckedSeq, int64(0), "the end is not stored yet")

		leaderTerm.leader.Store.Commit = commit
		calls = nil
		assert.NilError(t, leaderTerm.runRound(t.Context()))
		synctest.Wait()
		assert.Equal(t, len(calls), 1)
		assert.Equal(t, calls[0].AckedSeq, int64(1))
	})
}

// TestLostOrdersAreRepeated guards against a start that is found to be lost only when its deadline has passed, because
// the connection to the agent had gone silent before. The first call may have been carried out nevertheless, so that a
// refusal of the second one proves nothing, and must not place the task elsewhere.
func TestLostOrdersAreRepeated(t *testing.T) {
	for _, test := range []struct {
		name    string
		failure connector.Failure
		result  agent.Result
		calls   int
		started bool
	}{
		{"silent connection, started", connector.Failure{Err: context.DeadlineExceeded, Sent: true, Reused: true}, agent.Result{Started: true, Clock: 2}, 2, true},
		{"silent connection, refused", connector.Failure{Err: context.DeadlineExceeded, Sent: true, Reused: true}, agent.Result{Refused: descriptor.RefusedStaleAttempt}, 2, false},
		{"silent agent", connector.Failure{Err: context.DeadlineExceeded, Sent: true}, agent.Result{}, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leaderTerm := newLeaderTerm(t, newMemoryStore())
				leaderTerm.linkCtx = t.Context()
				var mu sync.Mutex
				var calls []agent.SyncRequest
				leaderTerm.leader.CallAgent = func(_ context.Context, _ string, s agent.SyncRequest) (agent.Report, error) {
					mu.Lock()
					defer mu.Unlock()
					if calls = append(calls, s); len(calls) == 1 {
						return agent.Report{}, &test.failure
					}
					r := test.result
					r.AttemptID = s.Starts[0].AttemptID
					return agent.Report{Node: "n", Results: []agent.Result{r}}, nil
				}
				agentLink := &link{term: leaderTerm, node: "n", waitingSince: leaderTerm.startedAt}
				leaderTerm.links["n"] = agentLink
				leaderTerm.core.Submit(recordOf("k", descriptor.Step{Count: 1}), time.Now())
				leaderTerm.handleReport(agentLink, agent.Report{
					Node: "n", Fence: leaderTerm.fence, HasStatus: true, ListsCurrent: true, AllEnds: true, Status: observationOf(1, nil, nil).Status, Clock: 1,
				}, time.Now())
				assert.NilError(t, leaderTerm.runRound(t.Context()))
				synctest.Wait()
				leaderTerm.handleInbox()
				assert.Equal(t, len(calls), test.calls)
				p, ok := leaderTerm.core.Progress("k")
				assert.Assert(t, ok)
				assert.Equal(t, p.Begun, test.started)
				assert.NilError(t, leaderTerm.runRound(t.Context()))
				synctest.Wait()
				assert.Equal(t, len(calls), test.calls, "the attempt counts as possible until the worker's lists decide")
			})
		})
	}
}

// TestSuccessorReadsEndsPageByPage guards against tasks that a new leader runs again because their ends did not fit into
// the first list that it read, and against ends that it acknowledges before it has read them.
func TestSuccessorReadsEndsPageByPage(t *testing.T) {
	for _, pageSize := range []int{1, 7, 50, 99, 100} {
		synctest.Test(t, func(t *testing.T) {
			const count = 100
			store := newMemoryStore()
			tasks := make([]planner.Task, count)
			var unacknowledged []descriptor.AttemptEnd
			for i := range tasks {
				tasks[i] = planner.Task{State: planner.TaskPlaced, Attempt: 1, Worker: "w", Born: 1, Node: "n"}
				unacknowledged = append(unacknowledged, descriptor.AttemptEnd{
					Seq: int64(i + 1), AttemptID: descriptor.AttemptID{Task: descriptor.TaskID{Job: "many", Index: i}, Attempt: 1}, Outcome: descriptor.OutcomeDone,
				})
			}
			leaderTerm := newLeaderTerm(t, store)
			storeDocuments(t, store, map[string]any{
				archiver.JobKey("many"): recordOf("many", descriptor.Step{Count: count}), archiver.ProgressKey("many"): progressWith(tasks...),
			})
			leaderTerm.linkCtx = t.Context()
			starts := 0
			var acked int64
			leaderTerm.leader.CallAgent = func(_ context.Context, _ string, s agent.SyncRequest) (agent.Report, error) {
				starts += len(s.Starts)
				acked = max(acked, s.AckedSeq)
				return agent.Report{}, io.EOF
			}
			assert.NilError(t, leaderTerm.load(t.Context()))
			agentLink := &link{term: leaderTerm, node: "n", waitingSince: leaderTerm.startedAt}
			leaderTerm.links["n"] = agentLink
			for clock := descriptor.WorkerClock(1); len(unacknowledged) > 0; clock++ {
				page := unacknowledged[:min(pageSize, len(unacknowledged))]
				leaderTerm.handleReport(agentLink, agent.Report{
					Node: "n", Fence: leaderTerm.fence, HasStatus: true, ListsCurrent: true, Status: observationOf(1, nil, nil).Status,
					Clock: clock, Ended: page, AllEnds: len(page) < pageSize,
				}, time.Now())
				assert.NilError(t, leaderTerm.runRound(t.Context()))
				synctest.Wait()
				assert.Equal(t, acked, page[len(page)-1].Seq)
				unacknowledged = unacknowledged[len(page):]
			}
			assert.Equal(t, starts, 0)
			p, ok := leaderTerm.core.Progress("many")
			assert.Assert(t, ok)
			assert.Equal(t, p.State, planner.JobDone)
		})
	}
}

// TestOrdersFitIntoCalls guards against a round whose starts for one agent are more than it takes in a call: it refuses
// the call as a whole, the next round sends the same again, and nothing starts.
func TestOrdersFitIntoCalls(t *testing.T) {
	for name, jobs := range map[string][]struct{ count, specBytes int }{
		"wide with a long spec":   {{1100, 4000}},
		"wide with a huge spec":   {{1200, 200_000}},
		"many with long specs":    slices.Repeat([]struct{ count, specBytes int }{{2, 100_000}}, 100),
		"spec beyond a call size": {{3, 2 * maxOrderBytes}, {3, 10}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leaderTerm := newLeaderTerm(t, newMemoryStore())
				leaderTerm.linkCtx = t.Context()
				var mu sync.Mutex
				starts := map[descriptor.AttemptID]string{}
				leaderTerm.leader.CallAgent = func(_ context.Context, _ string, s agent.SyncRequest) (agent.Report, error) {
					data, err := s.Encode()
					assert.Check(t, err)
					assert.Check(t, len(data) <= agent.MaxSyncBytes, "%d bytes", len(data))
					mu.Lock()
					defer mu.Unlock()
					for _, x := range s.Starts {
						_, twice := starts[x.AttemptID]
						assert.Check(t, !twice, "%v is sent twice", x.AttemptID)
						starts[x.AttemptID] = x.Spec
					}
					return agent.Report{}, io.EOF
				}
				agentLink := &link{term: leaderTerm, node: "n", waitingSince: leaderTerm.startedAt}
				leaderTerm.links["n"] = agentLink
				o := observationOf(1, nil, nil)
				leaderTerm.handleReport(agentLink, agent.Report{
					Node: "n", Fence: leaderTerm.fence, HasStatus: true, ListsCurrent: true, AllEnds: true, Status: o.Status, Clock: 1,
				}, time.Now())
				total := 0
				for i, j := range jobs {
					id := descriptor.JobID(fmt.Sprintf("job%d", i))
					r := recordOf(id, descriptor.Step{Count: j.count, Size: descriptor.Capacity{Cores: 50}})
					r.Workload.Spec = strings.Repeat(string(rune('a'+i%26)), j.specBytes)
					leaderTerm.core.Submit(r, time.Now())
					total += j.count
				}
				assert.NilError(t, leaderTerm.runRound(t.Context()))
				synctest.Wait()
				assert.Equal(t, len(starts), total)
				for id, spec := range starts {
					var i int
					_, err := fmt.Sscanf(string(id.Task.Job), "job%d", &i)
					assert.NilError(t, err)
					assert.Equal(t, spec, strings.Repeat(string(rune('a'+i%26)), jobs[i].specBytes))
				}
			})
		})
	}
}
