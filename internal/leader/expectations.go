package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmontrail/internal/archiver"
	"persimmontrail/internal/estimator"
	"persimmontrail/internal/planner"
)

const (
	// snapshotInterval is the pause between two writes of the learned run times.
	snapshotInterval = 10 * time.Second
	// snapshotRetryPause is the pause before a failed read of them is repeated.
	snapshotRetryPause = time.Second
	// maxSnapshotBytes bounds the stored form of a snapshot. The store takes values of up to 1 MB.
	maxSnapshotBytes = 256 << 10
)

var errSnapshotSize = errors.New("snapshot too large")

// expectations keeps what the planner learns about run times in the store, beside the rounds of the term: reads and
// writes are done by goroutines of their own, and if they fail, only accuracy is lost. Its fields belong to the goroutine
// of term.run.
type expectations struct {
	estimator *estimator.Estimator
	// read is true once the snapshot of a former term was read, or is known not to be usable. There is no write before,
	// since it would replace that snapshot.
	read bool
	// writing is true while a write is under way.
	writing bool
	// writtenAt is when the last write began.
	writtenAt time.Time
	// checked counts the runs of this term whose time was compared with the expected quantiles, and below those that
	// took less than each quantile.
	checked int
	below   map[float64]int
}

// learnRunTimes makes the planner of the term learn run times, if that is configured.
func (t *term) learnRunTimes() {
	if !t.leader.LearnRunTimes {
		return
	}
	x := &t.expectations
	x.estimator, x.below = &estimator.Estimator{}, map[float64]int{}
	t.core.Expectations = x.estimator
	t.core.QuantileChecked = func(quantile float64, below bool) {
		if quantile == planner.CheckedQuantiles[0] {
			x.checked++
		}
		if below {
			x.below[quantile]++
		}
		t.leader.Metrics.Increment("run_time_quantile_total", "quantile", fmt.Sprint(quantile), "below", fmt.Sprint(below))
	}
}

// readExpectations reads the snapshot of a former term, and repeats a failed read until ctx is done. It does not wait.
func (t *term) readExpectations(ctx context.Context) {
	if t.expectations.estimator == nil {
		return
	}
	go func() {
		for ctx.Err() == nil {
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			i, err := t.leader.Store.Get(callCtx, archiver.ExpectationsKey)
			cancel()
			if err == nil || errors.Is(err, archiver.ErrNotFound) {
				t.post(func() { t.restoreExpectations(i, err) })
				return
			}
			sleep(ctx, snapshotRetryPause)
		}
	}()
}

// restoreExpectations takes over a snapshot, unless there is none or it cannot be used.
func (t *term) restoreExpectations(i archiver.Item, err error) {
	t.expectations.read, t.expectations.writtenAt = true, time.Now()
	if err != nil {
		return
	}
	now := time.Now()
	s, err := decodeSnapshot(i)
	if err == nil {
		err = t.expectations.estimator.Restore(s, now)
	}
	if err != nil {
		t.leader.Metrics.Increment("expectations_refused_total")
		t.leader.Log.Warn("stored run times not usable, learning anew",
			"revision", i.Revision, "bytes", len(i.Value), "err", err)
		return
	}
	t.leader.Log.Info("learned run times taken over", "revision", i.Revision, "bytes", len(i.Value),
		"age", now.Sub(s.Taken).Round(time.Millisecond), "groups", len(s.Groups), "workers", len(s.Workers))
}

func decodeSnapshot(i archiver.Item) (estimator.Snapshot, error) {
	var s estimator.Snapshot
	if len(i.Value) > maxSnapshotBytes {
		return s, errSnapshotSize
	}
	return s, archiver.Decode(i.Value, &s)
}

// writeExpectations starts a write of the learned run times, at most one at a time and one per snapshotInterval. The
// write is conditional on the leader key, so a former leader cannot replace the snapshot of its successor.
func (t *term) writeExpectations(ctx context.Context, now time.Time) {
	x := &t.expectations
	if x.estimator == nil || !x.read || x.writing || now.Sub(x.writtenAt) < snapshotInterval {
		return
	}
	x.writing, x.writtenAt = true, now
	s := x.estimator.Snapshot(now)
	t.logExpectations(s)
	go func() {
		err := t.commitSnapshot(ctx, s)
		t.post(func() { x.writing = false })
		if err != nil && ctx.Err() == nil {
			t.leader.Metrics.Increment("expectations_write_failures_total")
			t.leader.Log.Warn("failed to write learned run times", "err", err)
		}
	}()
}

func (t *term) commitSnapshot(ctx context.Context, s estimator.Snapshot) error {
	value := archiver.Encode(s)
	if len(value) > maxSnapshotBytes {
		return fmt.Errorf("%w: %d bytes", errSnapshotSize, len(value))
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := t.leader.Store.Commit(callCtx, archiver.Txn{
		If:  []archiver.Condition{{Key: archiver.LeaderKey, Revision: archiver.Revision(t.fence)}},
		Put: []archiver.Write{{Key: archiver.ExpectationsKey, Value: value}},
	})
	return err
}

// logExpectations logs the expected run times of each queue, over all of its workspaces and step shapes, and how many
// runs of this term took less than was expected.
func (t *term) logExpectations(s estimator.Snapshot) {
	if x := &t.expectations; x.checked > 0 {
		details := []any{"fence", t.fence, "runs", x.checked}
		for _, q := range planner.CheckedQuantiles {
			details = append(details, quantileName(q), x.below[q])
		}
		t.leader.Log.Info("runs below the expected quantiles", details...)
	}
	for i := range s.Groups {
		g := &s.Groups[i]
		if !g.OfQueue() {
			continue
		}
		d := t.expectations.estimator.Estimate(estimator.Class{Queue: g.Queue}, 0)
		details := []any{"queue", g.Queue, "samples", int(g.Scored), "mean", d.Mean().Round(time.Millisecond)}
		for _, q := range planner.CheckedQuantiles {
			details = append(details, quantileName(q), d.Quantile(q).Round(time.Millisecond))
		}
		t.leader.Log.Info("learned run times", details...)
	}
}

// quantileName returns the name of a quantile in log lines, for instance p95.
func quantileName(q float64) string { return fmt.Sprintf("p%.0f", 100*q) }
