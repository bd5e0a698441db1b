package estimator

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// ErrSnapshot means that a snapshot cannot be used: another version of the program wrote it, it is too old, or its
// content is impossible.
var ErrSnapshot = errors.New("unusable snapshot")

const (
	// snapshotVersion changes with the meaning of any field and with the buckets, levels and exponents.
	snapshotVersion = 1
	// maxSnapshotGroups and maxSnapshotWorkers bound a snapshot, which keeps those that were updated last. One of that
	// size takes about 60 kB.
	maxSnapshotGroups  = 192
	maxSnapshotWorkers = 384
	// MaxSnapshotAge is the age from which a snapshot is not used any more.
	MaxSnapshotAge = 7 * 24 * time.Hour
	// maxFutureTime is how far the clock of the process that made a snapshot may be ahead.
	maxFutureTime = time.Hour
	// maxNameBytes bounds the names in a snapshot.
	maxNameBytes = 256
	// maxWeight is more than any decayed number of samples.
	maxWeight = 1e9
)

// Snapshot is the stored form of an Estimator. Runs that still go are left out.
type Snapshot struct {
	Version int
	// Taken is when the snapshot was taken.
	Taken  time.Time
	Groups []GroupSnapshot
	// Ratios holds the comparisons of tasks with others of their step.
	Ratios  HistogramSnapshot
	Workers []WorkerSnapshot
}

// GroupSnapshot is what is known of a group of runs.
type GroupSnapshot struct {
	_          struct{} `cbor:",toarray"`
	Level      uint8
	Queue      descriptor.QueueID
	Workspace  descriptor.WorkspaceID
	Shape      Shape
	Histograms []HistogramSnapshot
	Scores     []float64
	Scored     float64
	UpdatedAt  time.Time
}

// OfQueue reports whether the group holds all runs of a queue.
func (s *GroupSnapshot) OfQueue() bool { return level(s.Level) == levelQueue }

// HistogramSnapshot holds the buckets of a histogram that are not empty.
type HistogramSnapshot struct {
	_               struct{} `cbor:",toarray"`
	Ended, Censored []BucketSnapshot
}

// BucketSnapshot is the weight of the samples in a bucket.
type BucketSnapshot struct {
	_      struct{} `cbor:",toarray"`
	Bucket int
	Weight float32
}

// WorkerSnapshot is what is known of the speed of a worker.
type WorkerSnapshot struct {
	_         struct{} `cbor:",toarray"`
	Worker    descriptor.WorkerID
	Slowness  float64
	Count     float64
	UpdatedAt time.Time
}

// Snapshot returns what was learned last, bounded in size. now is the current time.
func (e *Estimator) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Version: snapshotVersion, Taken: now, Ratios: snapshotOf(&e.workers.ratios, 1)}
	newest := slices.SortedFunc(maps.Keys(e.groups), func(a, b groupKey) int {
		return cmp.Compare(e.groups[b].order, e.groups[a].order)
	})
	newest = newest[:min(len(newest), maxSnapshotGroups)]
	slices.SortFunc(newest, compareKeys)
	for _, k := range newest {
		g := e.groups[k]
		stored := GroupSnapshot{
			Level: uint8(k.Level), Queue: k.Queue, Workspace: k.Workspace, Shape: k.Shape,
			Scores: slices.Clone(g.scores[:]), Scored: g.scored, UpdatedAt: g.updatedAt,
		}
		freshness := float32(g.freshness(k.Level, e.groups[keyOf(levelQueue, k.Class)]))
		for i := range g.histograms {
			stored.Histograms = append(stored.Histograms, snapshotOf(&g.histograms[i], freshness))
		}
		s.Groups = append(s.Groups, stored)
	}
	byWorker := e.workers.byWorker
	workers := slices.SortedFunc(maps.Keys(byWorker), func(a, b descriptor.WorkerID) int {
		return cmp.Compare(byWorker[b].order, byWorker[a].order)
	})
	workers = workers[:min(len(workers), maxSnapshotWorkers)]
	slices.Sort(workers)
	for _, w := range workers {
		speed := byWorker[w]
		s.Workers = append(s.Workers, WorkerSnapshot{
			Worker: w, Slowness: speed.slowness, Count: speed.count, UpdatedAt: speed.updatedAt,
		})
	}
	return s
}

func snapshotOf(h *histogram, factor float32) HistogramSnapshot {
	return HistogramSnapshot{Ended: bucketsOf(&h.ended, factor), Censored: bucketsOf(&h.censored, factor)}
}

// leastWeight is the weight below which a bucket is left out of a snapshot.
const leastWeight = 0.01

func bucketsOf(c *counts, factor float32) []BucketSnapshot {
	var buckets []BucketSnapshot
	for b, weight := range c {
		if weight *= factor; weight >= leastWeight {
			buckets = append(buckets, BucketSnapshot{Bucket: b, Weight: weight})
		}
	}
	return buckets
}

// Restore replaces what the estimator knows by a snapshot. It returns an ErrSnapshot, and changes nothing, if the
// snapshot cannot be used. now is the current time.
func (e *Estimator) Restore(s Snapshot, now time.Time) error {
	if s.Version != snapshotVersion {
		return fmt.Errorf("%w: version %d, want %d", ErrSnapshot, s.Version, snapshotVersion)
	}
	if age := now.Sub(s.Taken); age > MaxSnapshotAge || age < -maxFutureTime {
		return fmt.Errorf("%w: taken at %v", ErrSnapshot, s.Taken)
	}
	if len(s.Groups) > maxSnapshotGroups || len(s.Workers) > maxSnapshotWorkers {
		return fmt.Errorf("%w: %d groups and %d workers", ErrSnapshot, len(s.Groups), len(s.Workers))
	}
	restored := Estimator{}
	for i := range s.Groups {
		if err := restored.restoreGroup(&s.Groups[i], now); err != nil {
			return fmt.Errorf("%w: group %d: %w", ErrSnapshot, i, err)
		}
	}
	for i := range s.Workers {
		if err := restored.restoreWorker(&s.Workers[i], now); err != nil {
			return fmt.Errorf("%w: worker %d: %w", ErrSnapshot, i, err)
		}
	}
	if err := restoreHistogram(&restored.workers.ratios, &s.Ratios); err != nil {
		return fmt.Errorf("%w: ratios: %w", ErrSnapshot, err)
	}
	// Versions must not repeat, since results are cached by them.
	restored.version += e.version + 1
	*e = restored
	return nil
}

var (
	errName      = errors.New("name is too long")
	errKey       = errors.New("unknown level, or key does not fit to it")
	errTwice     = errors.New("same key twice")
	errHistogram = errors.New("impossible histogram")
	errNumber    = errors.New("impossible number")
)

func (e *Estimator) restoreGroup(s *GroupSnapshot, now time.Time) error {
	k := groupKey{level(s.Level), Class{s.Queue, s.Workspace, s.Shape}}
	switch {
	case len(s.Queue) > maxNameBytes || len(s.Workspace) > maxNameBytes:
		return errName
	case k.Level >= levelCount || keyOf(k.Level, k.Class) != k:
		return errKey
	case e.groups[k] != nil:
		return errTwice
	case len(s.Histograms) != len(exponents) || len(s.Scores) != len(exponents):
		return errHistogram
	case !inRange(s.Scored, 0, maxWeight) || s.UpdatedAt.After(now.Add(maxFutureTime)):
		return errNumber
	}
	g := &group{scored: s.Scored, updatedAt: s.UpdatedAt}
	for i := range exponents {
		if err := restoreHistogram(&g.histograms[i], &s.Histograms[i]); err != nil {
			return err
		}
		if !inRange(s.Scores[i], 0, maxWeight) {
			return errNumber
		}
		g.scores[i] = s.Scores[i]
	}
	if e.groups == nil {
		e.groups = map[groupKey]*group{}
	}
	e.version++
	g.order = e.version
	e.groups[k] = g
	return nil
}

func (e *Estimator) restoreWorker(s *WorkerSnapshot, now time.Time) error {
	limit := math.Log(maxSpeedFactor)
	switch {
	case len(s.Worker) > maxNameBytes:
		return errName
	case e.workers.byWorker[s.Worker] != nil:
		return errTwice
	case !inRange(s.Slowness, -limit, limit) || !inRange(s.Count, 0, 1/speedWeight):
		return errNumber
	case s.UpdatedAt.After(now.Add(maxFutureTime)):
		return errNumber
	}
	speed := e.workers.speedFor(s.Worker)
	speed.slowness, speed.count, speed.updatedAt = s.Slowness, s.Count, s.UpdatedAt
	return nil
}

func restoreHistogram(h *histogram, s *HistogramSnapshot) error {
	for _, part := range []struct {
		to   *counts
		from []BucketSnapshot
	}{{&h.ended, s.Ended}, {&h.censored, s.Censored}} {
		if len(part.from) > bucketCount {
			return errHistogram
		}
		for _, b := range part.from {
			if b.Bucket < 0 || b.Bucket >= bucketCount || !inRange(float64(b.Weight), 0, maxWeight) {
				return errHistogram
			}
			part.to[b.Bucket] = b.Weight
		}
	}
	return nil
}

// inRange reports whether x is a number from low to high.
func inRange(x, low, high float64) bool { return x >= low && x <= high }
