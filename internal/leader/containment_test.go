package leader

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/agent"
	"persimmontrail/internal/archiver"
	"persimmontrail/internal/planner"
	"persimmontrail/pkg/descriptor"
)

// storeDocuments writes documents to the store by key.
func storeDocuments(t *testing.T, store *memoryStore, documents map[string]any) {
	t.Helper()
	for key, d := range documents {
		value, ok := d.([]byte)
		if !ok {
			value = archiver.Encode(d)
		}
		_, err := store.commit(t.Context(), archiver.Txn{Put: []archiver.Write{{Key: key, Value: value}}})
		assert.NilError(t, err)
	}
}

func recordOf(id descriptor.JobID, steps ...descriptor.Step) planner.Record {
	return planner.Record{Workload: descriptor.Workload{ID: id, Service: "s", MaxAttempts: 1, Steps: steps}}
}

func progressWith(tasks ...planner.Task) planner.Progress {
	return planner.Progress{State: planner.JobRunning, Occurrences: map[int]*planner.Occurrence{0: {Steps: [][]planner.Task{tasks}}}}
}

// TestWithdrawalIsNotScheduled guards against the withdrawal of a job that was never accepted, which a leader takes for a
// job, or reports as an odd document at each load and change.
func TestWithdrawalIsNotScheduled(t *testing.T) {
	store := newMemoryStore()
	leaderTerm := newLeaderTerm(t, store)
	storeDocuments(t, store, map[string]any{archiver.JobKey("k"): planner.Withdrawal("k")})
	assert.NilError(t, leaderTerm.load(t.Context()))
	leaderTerm.handleDocumentChange(archiver.Event{Item: store.items[archiver.JobKey("k")]})
	assert.NilError(t, leaderTerm.runRound(t.Context()))
	leaderTerm.handleDocumentChange(archiver.Event{Item: store.items[archiver.JobKey("k")], Removed: true})
	_, ok := leaderTerm.core.Progress("k")
	assert.Assert(t, !ok)
	_, ok = store.items[archiver.ProgressKey("k")]
	assert.Assert(t, !ok)
	var metrics strings.Builder
	leaderTerm.leader.Metrics.Write(&metrics)
	assert.Assert(t, !strings.Contains(metrics.String(), "set_aside_total"), metrics.String())
}

// TestOddDocumentsAreSetAside guards against one odd document in the store that ends the leader, and each successor as
// it loads the documents: a panic, exhausted memory, or a planner that plans for another workload. All other workloads
// must be scheduled.
func TestOddDocumentsAreSetAside(t *testing.T) {
	one := descriptor.Step{Count: 1}
	placed := planner.Task{State: planner.TaskPlaced, Attempt: 1, Node: "n", Worker: "w"}
	for name, documents := range map[string]map[string]any{
		"negative count":      {archiver.JobKey("odd"): recordOf("odd", descriptor.Step{Count: -1})},
		"absurd count":        {archiver.JobKey("odd"): recordOf("odd", descriptor.Step{Count: 1 << 40})},
		"counts overflow":     {archiver.JobKey("odd"): recordOf("odd", descriptor.Step{Count: 1 << 62}, descriptor.Step{Count: 1 << 62})},
		"after a later step":  {archiver.JobKey("odd"): recordOf("odd", descriptor.Step{Count: 1, After: []int{5}})},
		"no steps":            {archiver.JobKey("odd"): recordOf("odd")},
		"another id":          {archiver.JobKey("odd"): recordOf("sound", one, one)},
		"no CBOR":             {archiver.JobKey("odd"): []byte{0xff, 1, 2}},
		"deeply nested":       {archiver.JobKey("odd"): append(make([]byte, 0, 5000), repeated(0x81, 5000)...)},
		"empty":               {archiver.JobKey("odd"): []byte{}},
		"tasks of no step":    {archiver.JobKey("odd"): recordOf("odd", one), archiver.ProgressKey("odd"): progressWith(placed, placed)},
		"unknown state":       {archiver.JobKey("odd"): recordOf("odd", one), archiver.ProgressKey("odd"): planner.Progress{State: 99}},
		"unknown task state":  {archiver.JobKey("odd"): recordOf("odd", one), archiver.ProgressKey("odd"): progressWith(planner.Task{State: 7})},
		"absurd attempt":      {archiver.JobKey("odd"): recordOf("odd", one), archiver.ProgressKey("odd"): progressWith(planner.Task{State: planner.TaskPlaced, Attempt: 1 << 62, Node: "n"})},
		"no such occurrence":  {archiver.JobKey("odd"): recordOf("odd", one), archiver.ProgressKey("odd"): planner.Progress{Occurrences: map[int]*planner.Occurrence{-4: {Done: true}}}},
		"missing occurrence":  {archiver.JobKey("odd"): recordOf("odd", one), archiver.ProgressKey("odd"): planner.Progress{Occurrences: map[int]*planner.Occurrence{0: nil}}},
		"progress only":       {archiver.ProgressKey("odd"): planner.Progress{State: planner.JobRunning}},
		"agent's bad port":    {archiver.AgentKey("a"): archiver.Member{Node: "a", Address: "127.0.0.1:99999"}},
		"agent of other name": {archiver.AgentKey("a"): archiver.Member{Node: "b", Address: "127.0.0.1:9"}},
	} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			leaderTerm := newLeaderTerm(t, store)
			storeDocuments(t, store, documents)
			storeDocuments(t, store, map[string]any{archiver.JobKey("sound"): recordOf("sound", one)})
			// Read at the load, and reported by the watch as they change.
			assert.NilError(t, leaderTerm.load(t.Context()))
			for key := range documents {
				leaderTerm.handleDocumentChange(archiver.Event{Item: store.items[key]})
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.NilError(t, leaderTerm.runRound(ctx))
			_, ok := leaderTerm.core.Progress("sound")
			assert.Assert(t, ok, "the sound workload must be known")
			_, ok = leaderTerm.core.Progress("odd")
			assert.Assert(t, !ok, "the odd workload must not be used")
			assert.Equal(t, len(leaderTerm.links), 0)
		})
	}
}

func repeated(b byte, n int) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = b
	}
	return data
}

// TestPanicEndsTermNotProcess guards against a workload on which the planner panics, and that ends one leader after the
// other. The term ends, and the next one leaves the workload out until its record changes.
func TestPanicEndsTermNotProcess(t *testing.T) {
	store := newMemoryStore()
	first := newLeaderTerm(t, store)
	poison := recordOf("poison", descriptor.Step{Count: 1})
	poison.Cancelled = true
	storeDocuments(t, store, map[string]any{
		archiver.JobKey("poison"): poison, archiver.JobKey("sound"): recordOf("sound", descriptor.Step{Count: 1}),
	})
	panicOn := func(id descriptor.JobID) func(string, descriptor.JobID, ...any) {
		return func(_ string, job descriptor.JobID, _ ...any) {
			if job == id {
				panic("no such thing")
			}
		}
	}
	first.core.LogEvent = panicOn("poison")
	err := first.runContained(t.Context())
	assert.Assert(t, errors.Is(err, errPanic), "%v", err)

	second := newTerm(first.leader, first.fence)
	second.core.LogEvent = panicOn("poison")
	assert.NilError(t, second.load(t.Context()))
	assert.NilError(t, second.runRound(t.Context()))
	_, ok := second.core.Progress("sound")
	assert.Assert(t, ok)
	_, ok = second.core.Progress("poison")
	assert.Assert(t, !ok)

	storeDocuments(t, store, map[string]any{archiver.JobKey("poison"): poison})
	third := newTerm(first.leader, first.fence)
	assert.NilError(t, third.load(t.Context()))
	_, ok = third.core.Progress("poison")
	assert.Assert(t, ok, "the record has changed")
}

// TestPanicsDelayCampaign guards against a process that leads again at once after each panic, so that no other entry
// gets the leadership.
func TestPanicsDelayCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		ld := newLeader(store, "me")
		terms := 0
		ld.Settings = func() Settings {
			terms++
			panic("no such thing")
		}
		ctx, cancel := context.WithCancel(t.Context())
		go ld.Mirror.Run(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			ld.Run(ctx)
		}()
		time.Sleep(time.Minute)
		cancel()
		<-done
		assert.Assert(t, terms >= 2 && terms <= 10, "%d terms in a minute", terms)
	})
}

// TestExpiredLeaseSendsNothing guards against a leader that was paused or suspended and then calls agents, with orders or
// to extend holds, although another entry may lead by now.
func TestExpiredLeaseSendsNothing(t *testing.T) {
	store := newMemoryStore()
	leaderTerm := newLeaderTerm(t, store)
	now := time.Hour
	leaderTerm.leader.BootTime = func() time.Duration { return now }
	l := &link{term: leaderTerm, node: "n", address: "127.0.0.1:1"}
	leaderTerm.extendLease(now + leaderLeaseTTL)
	_, err := l.call(t.Context(), agent.SyncRequest{Fence: leaderTerm.fence}, time.Second)
	assert.Assert(t, err != nil && !errors.Is(err, errLeaseExpired), "before the lease ends the call is sent: %v", err)
	now += leaderLeaseTTL
	_, err = l.call(t.Context(), agent.SyncRequest{Fence: leaderTerm.fence}, time.Second)
	assert.ErrorIs(t, err, errLeaseExpired)
}
