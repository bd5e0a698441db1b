package leader

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/archiver"
	"persimmontrail/internal/estimator"
	"persimmontrail/pkg/descriptor"
)

// learningTerm returns a term that learns run times, after it has read the stored ones.
func learningTerm(t *testing.T, ctx context.Context, store *memoryStore) *term {
	t.Helper()
	ld := newLeader(store, "me")
	ld.LearnRunTimes = true
	revision, err := store.commit(ctx, archiver.Txn{Put: []archiver.Write{{Key: archiver.LeaderKey, Value: []byte("me")}}})
	assert.NilError(t, err)
	leaderTerm := newTerm(ld, descriptor.Fence(revision))
	leaderTerm.readExpectations(ctx)
	synctest.Wait()
	leaderTerm.handleInbox()
	return leaderTerm
}

// metricsOf returns the metrics of a term's leader as text.
func metricsOf(t *term) string {
	var text strings.Builder
	t.leader.Metrics.Write(&text)
	return text.String()
}

// TestExpectationsOutliveLeader guards against run times that are forgotten with a term, and against a former leader
// that replaces those of its successor.
func TestExpectationsOutliveLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		class := estimator.Class{Queue: "q"}
		first := learningTerm(t, t.Context(), store)
		first.writeExpectations(t.Context(), time.Now())
		assert.Equal(t, first.expectations.writing, false)
		for range 50 {
			first.core.Expectations.Add(estimator.Sample{Class: class, Declared: time.Second, Elapsed: 20 * time.Second, At: time.Now()})
		}
		time.Sleep(snapshotInterval)
		first.writeExpectations(t.Context(), time.Now())
		synctest.Wait()
		first.handleInbox()

		second := learningTerm(t, t.Context(), store)
		assert.Assert(t, second.core.Expectations.Estimate(class, time.Second).Mean() > 15*time.Second)
		written := store.items[archiver.ExpectationsKey].Revision
		time.Sleep(snapshotInterval)
		first.writeExpectations(t.Context(), time.Now())
		synctest.Wait()
		assert.Equal(t, store.items[archiver.ExpectationsKey].Revision, written)
		assert.Assert(t, strings.Contains(metricsOf(first), "expectations_write_failures_total 1"), metricsOf(first))
	})
}

// TestOddExpectationsAreReplaced guards against a term that fails, or never writes, because the stored run times are not
// usable.
func TestOddExpectationsAreReplaced(t *testing.T) {
	for name, value := range map[string][]byte{
		"empty": {}, "no document": []byte("\x01odd"), "other version": archiver.Encode(estimator.Snapshot{Version: 99}),
		"too large": make([]byte, maxSnapshotBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				_, err := store.commit(t.Context(), archiver.Txn{Put: []archiver.Write{{Key: archiver.ExpectationsKey, Value: value}}})
				assert.NilError(t, err)
				leaderTerm := learningTerm(t, t.Context(), store)
				assert.Assert(t, strings.Contains(metricsOf(leaderTerm), "expectations_refused_total 1"), metricsOf(leaderTerm))
				time.Sleep(snapshotInterval)
				leaderTerm.writeExpectations(t.Context(), time.Now())
				synctest.Wait()
				_, err = decodeSnapshot(store.items[archiver.ExpectationsKey])
				assert.NilError(t, err)
			})
		})
	}
}

// TestUnreadExpectationsAreKept guards against a term that replaces a snapshot which it could not read.
func TestUnreadExpectationsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ld := newLeader(store, "me")
		ld.LearnRunTimes = true
		leaderTerm := newTerm(ld, 1)
		store.unavailable = true
		leaderTerm.readExpectations(ctx)
		time.Sleep(2 * snapshotInterval)
		leaderTerm.handleInbox()
		leaderTerm.writeExpectations(ctx, time.Now())
		assert.Equal(t, leaderTerm.expectations.writing, false)
		store.mu.Lock()
		store.unavailable = false
		store.mu.Unlock()
		time.Sleep(2 * snapshotRetryPause)
		leaderTerm.handleInbox()
		assert.Assert(t, leaderTerm.expectations.read)
	})
}
