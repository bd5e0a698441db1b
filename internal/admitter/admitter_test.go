package admitter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"persimmontrail/internal/archiver"
	"persimmontrail/internal/connector"
	"persimmontrail/internal/connector/breaker"
	"persimmontrail/internal/encoder"
	"persimmontrail/internal/planner"
	"persimmontrail/internal/recorder"
	"persimmontrail/pkg/descriptor"
)

// memoryStore is an in-memory store in which a test can make commits fail.
type memoryStore struct {
	mu       sync.Mutex
	revision archiver.Revision
	items    map[string]archiver.Item
	// silent makes watches hang until their context is done.
	silent atomic.Bool
	// commitFault, if set, returns the error of each commit. With ErrOutcomeUnknown the commit still takes effect.
	commitFault func() error
	// commitCalls and grantCalls count the writes.
	commitCalls, grantCalls atomic.Int32
	// leases holds the TTL of each lease; leaseOf holds the lease of each key that is attached to one.
	leases  []time.Duration
	leaseOf map[string]archiver.LeaseID
}

func (m *memoryStore) put(key string, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	if m.items == nil {
		m.items = map[string]archiver.Item{}
	}
	m.items[key] = archiver.Item{Key: key, Value: value, Revision: m.revision, Created: m.revision}
}

func (m *memoryStore) store() *archiver.Store {
	return &archiver.Store{
		Get: func(_ context.Context, key string) (archiver.Item, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if i, ok := m.items[key]; ok {
				return i, nil
			}
			return archiver.Item{}, archiver.ErrNotFound
		},
		Range: func(_ context.Context, prefix, _ string) ([]archiver.Item, bool, archiver.Revision, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			var items []archiver.Item
			for k, i := range m.items {
				if strings.HasPrefix(k, prefix) {
					items = append(items, i)
				}
			}
			return items, false, max(m.revision, 1), nil
		},
		Watch: func(ctx context.Context, _ string, after archiver.Revision, wait time.Duration) ([]archiver.Event, archiver.Revision, error) {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			if m.silent.Load() {
				<-ctx.Done()
				return nil, after, archiver.ErrUnavailable
			}
			return nil, after, nil
		},
		Commit: m.commit,
		Grant: func(_ context.Context, ttl time.Duration) (archiver.LeaseID, error) {
			m.grantCalls.Add(1)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.leases = append(m.leases, ttl)
			return archiver.LeaseID(len(m.leases)), nil
		},
	}
}

func (m *memoryStore) commit(_ context.Context, t archiver.Txn) (archiver.Revision, error) {
	m.commitCalls.Add(1)
	var fault error
	if m.commitFault != nil {
		fault = m.commitFault()
	}
	if fault != nil && fault != archiver.ErrOutcomeUnknown {
		return 0, fault
	}
	m.mu.Lock()
	var current []archiver.Item
	conflict := false
	for _, c := range t.If {
		i := m.items[c.Key]
		i.Key = c.Key
		current = append(current, i)
		conflict = conflict || i.Revision != c.Revision
	}
	m.mu.Unlock()
	if conflict {
		return 0, &archiver.ConflictError{Items: current}
	}
	for _, w := range t.Put {
		if w.Lease > 0 && int(w.Lease) > len(m.leases) {
			return 0, archiver.ErrLeaseLost
		}
		m.put(w.Key, w.Value)
		if m.leaseOf == nil {
			m.leaseOf = map[string]archiver.LeaseID{}
		}
		m.leaseOf[w.Key] = w.Lease
	}
	if fault != nil {
		return 0, fault
	}
	return m.revision, nil
}

const planKey = "op/config"

// newAdmitter returns an admitter on store m, with its mirrors loaded. If m has no configuration, it puts one that
// accepts the key "key1".
func newAdmitter(t *testing.T, m *memoryStore) *Admitter {
	t.Helper()
	logger := log.New(io.Discard)
	if _, ok := m.items[planKey]; !ok {
		m.put(planKey, []byte("key1"))
	}
	a := &Admitter{Node: "me", Store: m.store(), PlanKey: planKey, Log: logger, Metrics: &recorder.Metrics{}}
	a.Plan = &PlanCache{Log: logger, Decode: func(data []byte) (descriptor.Plan, error) {
		return descriptor.Plan{
			Queues:   []descriptor.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 2, Stretch: 2}},
			Accounts: []descriptor.Account{{Workspace: "w", Keys: strings.Fields(string(data))}},
		}, nil
	}}
	a.Documents = &archiver.Mirror{Store: a.Store, Prefix: archiver.Prefix, Log: logger}
	a.OperatorKeys = &archiver.Mirror{Store: a.Store, Prefix: "op/", WatchTimeout: PlanWatchTimeout, Log: logger, Changed: func(e archiver.Event) { a.Plan.Update(e.Item) }}
	a.PlanConfirmedAt = a.OperatorKeys.Confirmed
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go a.Documents.Run(ctx)
	go a.OperatorKeys.Run(ctx)
	for a.Documents.Confirmed().IsZero() || a.OperatorKeys.Confirmed().IsZero() {
		time.Sleep(time.Millisecond)
	}
	return a
}

// submitCall returns a call that submits a workload with the given id to the queue of newAdmitter.
func submitCall(id descriptor.JobID) Call {
	return Call{
		Action: ActionSubmit, Caller: Caller{Host: "h", Path: "/q/" + string(id), Key: "key1"}, Timeout: 2 * time.Second,
		Workload: descriptor.Workload{ID: id, Steps: []descriptor.Step{{Count: 1}}},
	}
}

// TestSubmitWithLostAnswerIsAcceptedOnce guards against an unknown outcome or a conflict for a submission whose commit
// succeeded without an answer. The repeated commit must find the submission's own record.
func TestSubmitWithLostAnswerIsAcceptedOnce(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	loseAnswer := true
	m.commitFault = func() error {
		if loseAnswer {
			loseAnswer = false
			return archiver.ErrOutcomeUnknown
		}
		return nil
	}
	r := a.Serve(t.Context(), submitCall("j"))
	assert.Equal(t, r.Code, CodeDone)
	assert.Assert(t, r.Repeated)
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeDone)
}

// TestUnknownOutcomeIsNotRefused guards against refusing a submission because its later tries fail without effect,
// although the first commit may have taken effect.
func TestUnknownOutcomeIsNotRefused(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	commitCalls := 0
	m.commitFault = func() error {
		commitCalls++
		if commitCalls == 1 {
			return archiver.ErrOutcomeUnknown
		}
		return archiver.ErrUnavailable
	}
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeUnknown)
}

// TestRefusedCallersReturnSpread has an outage in which callers with a timeout of 15 s are refused all the time. They must
// return neither later than the outage is expected to end, nor most of them at one moment, in whole seconds. Callers with a
// timeout of 3 s have no time for more than the shortest delay.
func TestRefusedCallersReturnSpread(t *testing.T) {
	const callers = 2000
	returns := map[time.Duration]int{}
	for i := range callers {
		since := time.Duration(i) * time.Second / callers
		delay := retryDelay(since, 15*time.Second, rand.Float64())
		assert.Assert(t, delay >= minRetryAfter && delay <= typicalOutage-since, "after %v: %v", since, delay)
		returns[(since+delay).Truncate(500*time.Millisecond)]++
		assert.Equal(t, retryDelay(since, 3*time.Second, rand.Float64()), minRetryAfter)
	}
	for at, n := range returns {
		assert.Assert(t, n < callers/2, "%d of %d return at %v", n, callers, at)
	}
}

// TestUnavailableStoreRefusesImmediately guards against a submission that is accepted, or waits for a second, or is
// refused without a retry time, although its commit had no effect and there is no other entry.
func TestUnavailableStoreRefusesImmediately(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	m.commitFault = func() error { return archiver.ErrUnavailable }
	start := time.Now()
	r := a.Serve(t.Context(), submitCall("j"))
	assert.Equal(t, r.Code, CodeRefused)
	assert.Assert(t, r.RetryAfter >= time.Second)
	assert.Assert(t, time.Since(start) < time.Second)
	_, ok := m.items[archiver.JobKey("j")]
	assert.Assert(t, !ok)
}

// TestSubmitNearDeadlineIsRefused guards against a commit with too little time left to the deadline. It would be cut
// short, and its outcome would be unknown.
func TestSubmitNearDeadlineIsRefused(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	c := submitCall("j")
	c.Timeout = 31 * time.Millisecond
	assert.Equal(t, a.Serve(t.Context(), c).Code, CodeRefused)
	_, ok := m.items[archiver.JobKey("j")]
	assert.Assert(t, !ok)
}

// TestUnreachablePeerDoesNotChangeRefusal guards against an unknown outcome because a call was forwarded to an entry
// that is gone, whose document remains in the store. A call that could not connect had no effect. The entry must be
// left out of later calls for a while.
func TestUnreachablePeerDoesNotChangeRefusal(t *testing.T) {
	m := &memoryStore{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	goneAddress := l.Addr().String()
	assert.NilError(t, l.Close())
	m.put(archiver.EntryKey("gone"), archiver.Encode(archiver.Member{Node: "gone", Address: goneAddress}))
	a := newAdmitter(t, m)
	m.commitFault = func() error { return archiver.ErrUnavailable }
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeRefused)
	assert.Equal(t, len(a.peers()), 0)
}

// TestBusyPeerDoesNotChangeRefusal guards against an unknown outcome, and against an entry that is left out of later
// calls, because that entry had no room for a call and did not look at it.
func TestBusyPeerDoesNotChangeRefusal(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	m := &memoryStore{}
	m.put(archiver.EntryKey("busy"), archiver.Encode(archiver.Member{Node: "busy", Address: strings.TrimPrefix(server.URL, "http://")}))
	a := newAdmitter(t, m)
	m.commitFault = func() error { return archiver.ErrUnavailable }
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeRefused)
	assert.Equal(t, len(a.peers()), 1)
}

// TestDialTimeoutIsNotSent guards against an unknown outcome for a call that was never sent: if the deadline passes
// while the connection is being established, the error is that of the deadline, which looks like a lost answer.
func TestDialTimeoutIsNotSent(t *testing.T) {
	a := &Admitter{Entries: connector.Connector{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}}
	_, err := a.postToPeer(t.Context(), "127.0.0.1:1", CallPath, nil, 20*time.Millisecond)
	assert.Assert(t, connector.NotSent(err))
}

// TestUnavailableStoreForwardsToPeer guards against refusing a submission because this entry's commits fail as
// unavailable, although another entry can reach the store.
func TestUnavailableStoreForwardsToPeer(t *testing.T) {
	m := &memoryStore{}
	peer := newAdmitter(t, m)
	server := httptest.NewServer(peer.PeerHandler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	m.put(archiver.EntryKey("other"), archiver.Encode(archiver.Member{Node: "other", Address: address}))
	a := newAdmitter(t, m)
	s := *a.Store
	s.Commit = func(context.Context, archiver.Txn) (archiver.Revision, error) { return 0, archiver.ErrUnavailable }
	a.Store = &s
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeDone)
	_, ok := m.items[archiver.JobKey("j")]
	assert.Assert(t, ok)
}

// newSilentPeer returns an admitter that cannot write to the store, and another one that can. The connection between them
// has carried a call and then gone silent.
func newSilentPeer(t *testing.T) (*Admitter, *memoryStore, *breaker.Peer) {
	t.Helper()
	m := &memoryStore{}
	peer := newAdmitter(t, m)
	connections := &breaker.Peer{Handler: peer.PeerHandler()}
	t.Cleanup(connections.Close)
	m.put(archiver.EntryKey("other"), archiver.Encode(archiver.Member{Node: "other", Address: "other:1"}))
	a := newAdmitter(t, m)
	a.Entries.Dial = connections.Dial
	s := *a.Store
	s.Commit = func(context.Context, archiver.Txn) (archiver.Revision, error) { return 0, archiver.ErrUnavailable }
	a.Store = &s
	assert.Equal(t, a.Serve(t.Context(), submitCall("first")).Code, CodeDone)
	connections.Break(breaker.Silent)
	return a, m, connections
}

// TestSilentConnectionDoesNotExcludePeer guards against an entry that is not asked for 5 s because one connection to it had
// gone silent, while its callers are told that the outcome is unknown or that no entry reaches the store.
func TestSilentConnectionDoesNotExcludePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, m, _ := newSilentPeer(t)
		assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeDone)
		_, ok := m.items[archiver.JobKey("j")]
		assert.Assert(t, ok)
		assert.Equal(t, len(a.peers()), 1)
	})
}

// TestRepeatedSubmissionIsNotRefused guards against a caller that is told that its submission was refused, although the
// first one was lost with its connection and may have been accepted.
func TestRepeatedSubmissionIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, m, connections := newSilentPeer(t)
		connections.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			a.writeCBOR(w, Reply{Code: CodeRefused})
		})
		assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeUnknown)
		_, ok := m.items[archiver.JobKey("j")]
		assert.Assert(t, !ok)
	})
}

// TestSubmitChecksNewestConfiguration guards against checking a submission by a cached configuration that was replaced
// in the store: a removed key would be accepted and a new one rejected.
func TestSubmitChecksNewestConfiguration(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	m.put(planKey, []byte("key2"))
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeNoKey)
	c := submitCall("j")
	c.Caller.Key = "key2"
	assert.Equal(t, a.Serve(t.Context(), c).Code, CodeDone)
}

// TestPlanCacheIgnoresOlderRevision guards against an older revision of the configuration that arrives late and
// replaces a newer one.
func TestPlanCacheIgnoresOlderRevision(t *testing.T) {
	a := newAdmitter(t, &memoryStore{})
	assert.Assert(t, a.Plan.Update(archiver.Item{Key: planKey, Value: []byte("new"), Revision: 50}))
	assert.Assert(t, !a.Plan.Update(archiver.Item{Key: planKey, Value: []byte("old"), Revision: 49}))
	plan, _ := a.Plan.Current()
	assert.DeepEqual(t, plan.Accounts[0].Keys, []string{"new"})
}

// TestStateOfUnknownJob guards against reporting a job as missing because the mirror does not have it yet. It must be
// read from the store first.
func TestStateOfUnknownJob(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	c := submitCall("j")
	c.Action = ActionState
	assert.Equal(t, a.Serve(t.Context(), c).Code, CodeNoJob)
	m.put(archiver.JobKey("j"), archiver.Encode(planner.Record{Workload: descriptor.Workload{ID: "j", Queue: "q", Workspace: "w"}}))
	r := a.Serve(t.Context(), c)
	assert.Equal(t, r.Code, CodeDone)
	assert.Equal(t, r.State, planner.JobQueued)
}

// TestCancel guards against a repeated cancellation that fails, and against a cancelled job that still counts as
// waiting or keeps its state until the leader has processed the cancellation.
func TestCancel(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeDone)
	c := submitCall("j")
	for range 2 {
		c.Action = ActionCancel
		assert.Equal(t, a.Serve(t.Context(), c).Code, CodeDone)
	}
	c.Action = ActionState
	assert.Equal(t, a.Serve(t.Context(), c).State, planner.JobCancelled)
	c.Action = ActionCount
	c.Caller.Path = "/q/"
	c.Workload.ID = ""
	assert.Equal(t, a.Serve(t.Context(), c).Waiting, 0)
}

// TestCancelledBeforeAcceptance guards against a job that is accepted and runs although its cancellation was answered as
// final before: the write of its submission was still under way (review/9). The entry of the submission may be this one or
// another, the write may come at any time, and the submission may be repeated at any entry.
func TestCancelledBeforeAcceptance(t *testing.T) {
	m := &memoryStore{}
	a, other := newAdmitter(t, m), newAdmitter(t, m)
	a.EndedRetention = 2 * time.Minute
	var late archiver.Txn
	s := *other.Store
	s.Commit = func(_ context.Context, txn archiver.Txn) (archiver.Revision, error) {
		late = txn
		return 0, archiver.ErrOutcomeUnknown
	}
	other.Store = &s
	assert.Equal(t, other.Serve(t.Context(), submitCall("j")).Code, CodeUnknown)
	cancelCall, stateCall := submitCall("j"), submitCall("j")
	cancelCall.Action, stateCall.Action = ActionCancel, ActionState
	assert.Equal(t, a.Serve(t.Context(), cancelCall).Code, CodeNoJob)
	_, err := m.commit(t.Context(), late)
	var conflict *archiver.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "the late write took effect")
	other.Store = m.store()
	for _, x := range []*Admitter{a, other} {
		for _, c := range []Call{submitCall("j"), stateCall, cancelCall} {
			assert.Equal(t, x.Serve(t.Context(), c).Code, CodeNoJob)
		}
	}
	lease := m.leaseOf[archiver.JobKey("j")]
	assert.Assert(t, lease > 0 && m.leases[lease-1] >= a.EndedRetention, "leases %v", m.leases)
	assert.Equal(t, len(m.leases), 1)
}

// TestSubmissionBeforeWithdrawal guards against a cancellation that is answered as final, or takes no effect, when the write
// of the submission comes between the look for the job and the withdrawal, or when answers are lost.
func TestSubmissionBeforeWithdrawal(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	record := planner.Record{Workload: descriptor.Workload{ID: "j", Queue: "q", Workspace: "w", Steps: []descriptor.Step{{Count: 1}}}}
	m.put(archiver.JobKey("j"), archiver.Encode(record))
	c := submitCall("j")
	c.Action = ActionCancel
	assert.Equal(t, a.Serve(t.Context(), c).Code, CodeDone)
	var stored planner.Record
	assert.NilError(t, archiver.Decode(m.items[archiver.JobKey("j")].Value, &stored))
	assert.Assert(t, stored.Cancelled && !stored.Withdrawn())

	lost := 2
	m.commitFault = func() error {
		if lost--; lost >= 0 {
			return archiver.ErrOutcomeUnknown
		}
		return nil
	}
	c = submitCall("k")
	c.Action = ActionCancel
	assert.Equal(t, a.Serve(t.Context(), c).Code, CodeNoJob)
	m.commitFault = func() error { return archiver.ErrUnavailable }
	c = submitCall("l")
	c.Action = ActionCancel
	assert.Equal(t, a.Serve(t.Context(), c).Code, CodeRefused)
}

// TestWithdrawalWithLostLease guards against cancellations that fail for good because the store no longer knows the lease of
// withdrawals.
func TestWithdrawalWithLostLease(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	for _, id := range []descriptor.JobID{"j", "k"} {
		c := submitCall(id)
		c.Action = ActionCancel
		assert.Equal(t, a.Serve(t.Context(), c).Code, CodeNoJob)
		a.withdrawals.lease = 99
	}
	assert.Equal(t, m.grantCalls.Load(), int32(2))
}

// TestFloodOfUnknownCancellations guards against a store that is used up by cancellations of ids that nobody has submitted,
// at a write and a document each. Beyond the budget they are refused without a call to the store; the budget of one
// workspace leaves another one its own, and accepted jobs can be cancelled all the while.
func TestFloodOfUnknownCancellations(t *testing.T) {
	const period, perSecond = 20, 500
	synctest.Test(t, func(t *testing.T) {
		m := &memoryStore{}
		for i := range 4 {
			node := fmt.Sprintf("entry-%d", i)
			m.put(archiver.EntryKey(node), archiver.Encode(archiver.Member{Node: node, Address: node + ":1"}))
		}
		m.put(planKey, []byte("key1"))
		a := newAdmitter(t, m)
		decode := a.Plan.Decode
		a.Plan.Decode = func(data []byte) (descriptor.Plan, error) {
			p, err := decode(data)
			p.Accounts = append(p.Accounts, descriptor.Account{Workspace: "x", Keys: []string{"key2"}})
			return p, err
		}
		m.put(planKey, []byte("key1"))
		a.Plan.Update(m.items[planKey])
		assert.Equal(t, a.Serve(t.Context(), submitCall("accepted")).Code, CodeDone)
		cancelWith := func(id, key string) Code {
			c := submitCall(descriptor.JobID(id))
			c.Action, c.Caller.Key = ActionCancel, key
			return a.Serve(t.Context(), c).Code
		}
		before := m.commitCalls.Load()
		codes := map[Code]int{}
		for i := range period * perSecond {
			codes[cancelWith(fmt.Sprintf("unknown-%d", i), "key1")]++
			time.Sleep(time.Second / perSecond)
			if i%perSecond == 0 {
				assert.Equal(t, cancelWith(fmt.Sprintf("other-%d", i), "key2"), CodeNoJob)
			}
		}
		writes := int(m.commitCalls.Load() - before)
		allowed := withdrawalShare * defaultStoreWrites / 4
		assert.Assert(t, float64(writes) <= allowed*(period+withdrawalBurstTime.Seconds()), "%d writes", writes)
		assert.Assert(t, codes[CodeNoJob] > 0 && codes[CodeNoJob]+codes[CodeRefused] == period*perSecond, "%v", codes)
		assert.Equal(t, cancelWith("accepted", "key1"), CodeDone)
		assert.Assert(t, m.grantCalls.Load() <= 2)
	})
}

// TestJobsAreIsolatedByWorkspace guards against a caller that sees the job of another workspace in the same queue. It
// must be reported as missing.
func TestJobsAreIsolatedByWorkspace(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	m.put(archiver.JobKey("j"), archiver.Encode(planner.Record{Workload: descriptor.Workload{ID: "j", Queue: "q", Workspace: "x"}}))
	c := submitCall("j")
	c.Action = ActionState
	assert.Equal(t, a.Serve(t.Context(), c).Code, CodeNoJob)
}

// TestLeaderIsNotifiedOfAcceptedJob guards against a leader that learns of an accepted job only from its watch, which
// here reports nothing. The accepting entry must send it the job within 1 s.
func TestLeaderIsNotifiedOfAcceptedJob(t *testing.T) {
	m := &memoryStore{}
	leader := newAdmitter(t, m)
	server := httptest.NewServer(leader.PeerHandler())
	defer server.Close()
	leaderMember := archiver.Member{Node: "leader", Address: strings.TrimPrefix(server.URL, "http://")}
	m.put(archiver.LeaderKey, archiver.Encode(leaderMember))
	a := newAdmitter(t, m)
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeDone)
	for deadline := time.Now().Add(time.Second); ; {
		if _, ok := leader.Documents.Get(archiver.JobKey("j")); ok {
			break
		}
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
}

// TestStateReadsStoreForUnfinishedJob guards against a caller that is told the old state of an ended job because the
// watch has not reported the end yet.
func TestStateReadsStoreForUnfinishedJob(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeDone)
	m.put(archiver.ProgressKey("j"), archiver.Encode(planner.Progress{State: planner.JobDone}))
	c := submitCall("j")
	c.Action = ActionState
	assert.Equal(t, a.Serve(t.Context(), c).State, planner.JobDone)
}

// TestSilentStoreDelaysOnlyFirstCall guards against every call waiting for the store's timeout while the store does not
// answer. Only the first call may wait; later ones must be refused without delay.
func TestSilentStoreDelaysOnlyFirstCall(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	m.silent.Store(true)
	s := *a.Store
	s.Get = func(ctx context.Context, _ string) (archiver.Item, error) {
		<-ctx.Done()
		return archiver.Item{}, errors.Join(archiver.ErrUnavailable, ctx.Err())
	}
	a.Store = &s
	a.PlanConfirmedAt = func() time.Time { return time.Now().Add(-time.Minute) }
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeRefused)
	start := time.Now()
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeRefused)
	assert.Assert(t, time.Since(start) < storeTimeout/2)
}

// TestOtherTargetIsConfirmed guards against a final answer (a cancelled job does not exist, a submission is invalid) that
// rests on a configuration which was replaced a moment ago: the job runs on, as a job of the queue that has its path now.
func TestOtherTargetIsConfirmed(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		queues func(version string) []descriptor.Queue
	}{
		"queue replaced": {"/q/j", func(version string) []descriptor.Queue {
			return []descriptor.Queue{{Name: descriptor.QueueID("q" + version), Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 1}}
		}},
		"longer prefix added": {"/q/r/j", func(version string) []descriptor.Queue {
			queues := []descriptor.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 1}}
			if version == "2" {
				queues = append(queues, descriptor.Queue{Name: "q2", Host: "h", Prefix: "/q/r/", Service: "s", MaxAttempts: 1})
			}
			return queues
		}},
	} {
		t.Run(name, func(t *testing.T) {
			m := &memoryStore{}
			planOf := func(version string) *descriptor.Plan {
				return &descriptor.Plan{Queues: test.queues(version), Accounts: []descriptor.Account{{Workspace: "w", Keys: []string{"key1"}}}}
			}
			m.put(planKey, []byte("1"))
			outdated, current := newAdmitter(t, m), newAdmitter(t, m)
			m.put(planKey, []byte("2"))
			outdated.Plan.Decode = func(data []byte) (descriptor.Plan, error) { return *planOf(string(data)), nil }
			setPlan := func(a *Admitter, version string) {
				a.Plan.plan, a.Plan.revision = planOf(version), m.items[planKey].Revision
				if version == "1" {
					a.Plan.revision--
				}
			}
			setPlan(current, "2")
			submit := submitCall("j")
			submit.Caller.Path = test.path
			cancelCall := submit
			cancelCall.Action = ActionCancel
			assert.Equal(t, current.Serve(t.Context(), submit).Code, CodeDone)
			setPlan(outdated, "1")
			assert.Equal(t, outdated.Serve(t.Context(), submit).Code, CodeDone)
			setPlan(outdated, "1")
			assert.Equal(t, outdated.Serve(t.Context(), cancelCall).Code, CodeDone)
		})
	}
}

// TestPathMustEndWithJobID guards against taking the last segment of a longer path as the job's id. A path with more
// than an id after the queue's prefix names no job.
func TestPathMustEndWithJobID(t *testing.T) {
	a := newAdmitter(t, &memoryStore{})
	c := submitCall("j")
	c.Caller.Path = "/q/x/j"
	assert.Equal(t, a.Serve(t.Context(), c).Code, CodeInvalid)
	c.Action = ActionState
	assert.Equal(t, a.Serve(t.Context(), c).Code, CodeNoJob)
}

// TestPeerReplyCarriesConfigurationRevision guards against an entry that falls back to an older configuration: while it
// cannot reach the store, it forwards a call to an entry with a newer configuration and then answers the next call by
// its own older one (found by the soak test, seed 10). The reply must carry the configuration revision.
func TestPeerReplyCarriesConfigurationRevision(t *testing.T) {
	newerStore := &memoryStore{}
	newerStore.put("other", nil)
	newerStore.put(planKey, []byte("key2"))
	peer := newAdmitter(t, newerStore)
	server := httptest.NewServer(peer.PeerHandler())
	defer server.Close()

	olderStore := &memoryStore{}
	olderStore.put(planKey, []byte("key1"))
	olderStore.put(archiver.EntryKey("other"), archiver.Encode(archiver.Member{Node: "other", Address: strings.TrimPrefix(server.URL, "http://")}))
	a := newAdmitter(t, olderStore)
	unreachableStore := *a.Store
	unreachableStore.Get = func(context.Context, string) (archiver.Item, error) { return archiver.Item{}, archiver.ErrUnavailable }
	a.Store = &unreachableStore

	count := Call{Action: ActionCount, Caller: Caller{Host: "h", Path: "/q/", Key: "key1"}, Timeout: time.Second}
	assert.Equal(t, a.Serve(t.Context(), count).Code, CodeDone)
	count.Caller.Key = "key2"
	assert.Equal(t, a.Serve(t.Context(), count).Code, CodeDone)
	count.Caller.Key = "key1"
	assert.Equal(t, a.Serve(t.Context(), count).Code, CodeNoKey)
}

// TestWatchKeepsConfigurationFresh guards against entries that keep reading the whole configuration although it does
// not change: each finished watch must confirm the configuration before it exceeds maxPlanAge. With 300 VMs these
// reads saturated the entries' network links.
func TestWatchKeepsConfigurationFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(t, &memoryStore{})
		for range 400 {
			assert.Assert(t, a.planConfirmedWithin(maxPlanAge), "%v", time.Since(a.PlanConfirmedAt()))
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestPlanUpdateHoldsOnlyNewerKeys guards against a plan update that repeats store keys, written by operators, that the
// asking entry already has according to the revision that it sent, or that leaves out newer ones.
func TestPlanUpdateHoldsOnlyNewerKeys(t *testing.T) {
	m := &memoryStore{}
	m.put(planKey, []byte("key1"))
	m.put("op/evacuate/north", nil)
	a := newAdmitter(t, m)
	assert.Equal(t, len(a.planUpdate(0).Items), 2)
	assert.Equal(t, len(a.planUpdate(1).Items), 1)
	assert.Equal(t, len(a.planUpdate(2).Items), 0)
}

// TestForwardedCallCarriesConfigurationRevision guards against a peer that answers a forwarded call by an older
// configuration than the forwarding entry knows of (found by the soak test, seed 2007).
func TestForwardedCallCarriesConfigurationRevision(t *testing.T) {
	m := &memoryStore{}
	m.put(planKey, []byte("key1"))
	peer := newAdmitter(t, m)
	m.put("other", nil)
	m.put(planKey, []byte("key2"))
	count := Call{Action: ActionCount, Caller: Caller{Host: "h", Path: "/q/", Key: "key1"}, Timeout: time.Second}
	assert.Equal(t, peer.Serve(t.Context(), count).Code, CodeDone, "the watch has not reported the change yet")

	server := httptest.NewServer(peer.PeerHandler())
	defer server.Close()
	localStore := &memoryStore{}
	localStore.put(archiver.EntryKey("other"), archiver.Encode(archiver.Member{Node: "other", Address: strings.TrimPrefix(server.URL, "http://")}))
	a := newAdmitter(t, localStore)
	unreachableStore := *a.Store
	unreachableStore.Get = func(context.Context, string) (archiver.Item, error) { return archiver.Item{}, archiver.ErrUnavailable }
	a.Store = &unreachableStore
	a.Plan.NotePeerRevision(m.items[planKey].Revision)
	assert.Equal(t, a.Serve(t.Context(), count).Code, CodeNoKey)
}

// TestUnknownOutcomeIsNotRefusedByPeer guards against refusing a job that was accepted: the write of the first entry
// took effect without an answer, and the entry to which the call is forwarded rejects the key, which operators have
// removed meanwhile (found by a search for faults).
func TestUnknownOutcomeIsNotRefusedByPeer(t *testing.T) {
	newerStore := &memoryStore{}
	newerStore.put("other", nil)
	newerStore.put("other", nil)
	newerStore.put(planKey, []byte("key2"))
	peer := newAdmitter(t, newerStore)
	server := httptest.NewServer(peer.PeerHandler())
	defer server.Close()
	m := &memoryStore{}
	m.put(archiver.EntryKey("other"), archiver.Encode(archiver.Member{Node: "other", Address: strings.TrimPrefix(server.URL, "http://")}))
	a := newAdmitter(t, m)
	s := *a.Store
	s.Commit = func(ctx context.Context, txn archiver.Txn) (archiver.Revision, error) {
		// The first commit takes effect and the retries conflict with its record; the answers of all are lost.
		_, _ = m.commit(ctx, txn)
		return 0, archiver.ErrOutcomeUnknown
	}
	a.Store = &s
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeUnknown)
	_, ok := m.items[archiver.JobKey("j")]
	assert.Assert(t, ok)
}

// newPeers puts the documents of n entries into the store, all of which serve answers the calls of, and returns the number
// of calls that they got.
func newPeers(t *testing.T, m *memoryStore, n int, serve func(call int32) Reply) *atomic.Int32 {
	t.Helper()
	calls := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := cbor.Marshal(serve(calls.Add(1)))
		assert.Check(t, err)
		_, err = w.Write(data)
		assert.Check(t, err)
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	for i := range n {
		node := fmt.Sprintf("peer-%d", i)
		m.put(archiver.EntryKey(node), archiver.Encode(archiver.Member{Node: node, Address: address}))
	}
	return calls
}

// TestOutageOfLargeDeployment guards against a refusal that comes a second late because all of many entries are asked one
// after the other while the store is away for all, and against messages that grow with the square of the entries.
func TestOutageOfLargeDeployment(t *testing.T) {
	m := &memoryStore{}
	calls := newPeers(t, m, 60, func(int32) Reply {
		time.Sleep(12 * time.Millisecond)
		return Reply{Code: CodeLocalFailure}
	})
	a := newAdmitter(t, m)
	m.commitFault = func() error { return archiver.ErrUnavailable }
	start := time.Now()
	assert.Equal(t, a.Serve(t.Context(), submitCall("j")).Code, CodeRefused)
	assert.Assert(t, time.Since(start) < 300*time.Millisecond, "%v", time.Since(start))
	assert.Equal(t, calls.Load(), int32(maxPeersAsked))
	assert.Equal(t, a.Serve(t.Context(), submitCall("k")).Code, CodeRefused)
	assert.Equal(t, calls.Load(), int32(maxPeersAsked), "the outage is known")
}

// TestServingPeerIsAskedAgain guards against a cut-off entry that looks for an entry with the store anew for each call.
func TestServingPeerIsAskedAgain(t *testing.T) {
	m := &memoryStore{}
	newPeers(t, m, 60, func(int32) Reply { return Reply{Code: CodeLocalFailure} })
	var served atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		data, err := cbor.Marshal(Reply{Code: CodeDone})
		assert.Check(t, err)
		_, err = w.Write(data)
		assert.Check(t, err)
	}))
	defer server.Close()
	m.put(archiver.EntryKey("good"), archiver.Encode(archiver.Member{Node: "good", Address: strings.TrimPrefix(server.URL, "http://")}))
	a := newAdmitter(t, m)
	m.commitFault = func() error { return archiver.ErrUnavailable }
	a.markServing(archiver.Member{Address: strings.TrimPrefix(server.URL, "http://")})
	for i := range 20 {
		assert.Equal(t, a.Serve(t.Context(), submitCall(descriptor.JobID(fmt.Sprintf("j%d", i)))).Code, CodeDone)
	}
	assert.Equal(t, served.Load(), int32(20))
}

// TestIDThatNamesNoJob guards against an id that the store or the names of tasks cannot hold: the call was accepted, or
// looked like an outage, because the store rejects such a key.
func TestIDThatNamesNoJob(t *testing.T) {
	m := &memoryStore{}
	a := newAdmitter(t, m)
	for _, id := range []descriptor.JobID{"a.b", "a\xff", descriptor.JobID(strings.Repeat("a", 65))} {
		c := submitCall(id)
		assert.Equal(t, a.Serve(t.Context(), c).Code, CodeInvalid)
		for _, action := range []Action{ActionState, ActionCancel} {
			c.Action = action
			assert.Equal(t, a.Serve(t.Context(), c).Code, CodeNoJob)
		}
		_, ok := m.items[archiver.JobKey(id)]
		assert.Assert(t, !ok)
	}
}

// TestForwardedCallKeepsDueTime guards against work that starts up to a second before its time, because the entry that
// took the submission could not reach the store and cut the due time as it passed the call on.
func TestForwardedCallKeepsDueTime(t *testing.T) {
	m := &memoryStore{}
	peer := newAdmitter(t, m)
	c := submitCall("j")
	c.Workload.Times, c.Workload.FirstDue, c.Workload.Interval = 2, time.UnixMilli(1765000000900), 1500*time.Millisecond
	body, err := encoder.Marshal(c)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	peer.PeerHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, CallPath, bytes.NewReader(body)))
	assert.Equal(t, w.Code, http.StatusOK)
	var stored planner.Record
	assert.NilError(t, archiver.Decode(m.items[archiver.JobKey("j")].Value, &stored))
	for k := range 2 {
		assert.Assert(t, stored.Workload.Due(k).Equal(c.Workload.Due(k)))
	}
}
