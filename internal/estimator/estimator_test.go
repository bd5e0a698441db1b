package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/encoder"
	"persimmontrail/pkg/descriptor"
)

var start = time.Unix(1_000_000, 0)

// draw returns a log-normal time, of which a share of 3 percent is seven times as long.
func draw(r *rand.Rand, median time.Duration) time.Duration {
	d := float64(median) * math.Exp(0.3*r.NormFloat64())
	if r.Float64() < 0.03 {
		d *= 7
	}
	return time.Duration(d)
}

func TestUnknownClassGetsDeclaredRunTime(t *testing.T) {
	var e Estimator
	for _, declared := range []time.Duration{2 * time.Second, 40 * time.Second} {
		d := e.Estimate(Class{Queue: "q"}, declared)
		assert.Assert(t, math.Abs(float64(d.Mean())/float64(declared)-1) < 0.02, "%v for %v", d.Mean(), declared)
		assert.Assert(t, d.Quantile(0.95) > d.Quantile(0.5))
	}
	assert.Equal(t, e.Speed("w"), 1.0)
}

// TestCalibration compares the expected quantiles with the run times that were seen, for a load with a long tail whose
// runs become three times as long, for declared run times that are worth much and little, and with runs stopped
// early.
func TestCalibration(t *testing.T) {
	for _, test := range []struct {
		name          string
		declaredError float64
		stopped       float64
		shift         bool
	}{
		{name: "declared within 20 percent", declaredError: 0.2},
		{name: "declared within 90 percent", declaredError: 0.9},
		{name: "many stopped", declaredError: 0.9, stopped: 0.6},
		{name: "three times as long from half on", declaredError: 0.9, shift: true},
	} {
		r := rand.New(rand.NewPCG(39, 1))
		var e Estimator
		below := map[float64]int{}
		const runs, unchecked = 4000, 100
		for i := range runs {
			median := 3 * time.Second
			if test.shift && i >= runs/2 {
				median *= 3
			}
			class := Class{Queue: "q", Workspace: descriptor.WorkspaceID(fmt.Sprint(i % 8)), Shape: Shape{Cores: uint8(i % 3)}}
			actual := draw(r, median)
			declared := time.Duration(float64(actual) * (1 + test.declaredError*(2*r.Float64()-1)))
			d := e.Estimate(class, declared)
			for _, p := range []float64{0.5, 0.8, 0.95} {
				if i >= unchecked && actual < d.Quantile(p) {
					below[p]++
				}
			}
			s := Sample{Class: class, Declared: declared, Elapsed: actual, At: start.Add(time.Duration(i) * time.Second)}
			if stop := time.Duration(r.Float64() * float64(2*median)); r.Float64() < test.stopped && stop < actual {
				s.Elapsed, s.Censored = stop, true
			}
			e.Add(s)
		}
		for p, n := range below {
			seen := float64(n) / (runs - unchecked)
			t.Logf("%-34s expected %.2f seen %.3f", test.name, p, seen)
			assert.Assert(t, math.Abs(seen-p) < 0.04, "%s: %.2f of the runs below the quantile %.2f", test.name, seen, p)
		}
	}
}

// TestStoppedRunsCountAsLonger names a load of which everything that runs longer than 4 s is stopped, as preempted work is.
// Without the stopped runs all would seem to be short.
func TestStoppedRunsCountAsLonger(t *testing.T) {
	r := rand.New(rand.NewPCG(39, 2))
	var all, finished Estimator
	c := Class{Queue: "q"}
	for i := range 400 {
		s := Sample{Class: c, Elapsed: time.Duration(float64(4*time.Second) * math.Exp(0.5*r.NormFloat64())), At: start.Add(time.Duration(i))}
		if s.Elapsed > 4*time.Second {
			s.Elapsed, s.Censored = 4*time.Second, true
			all.Add(s)
			continue
		}
		all.Add(s)
		finished.Add(s)
	}
	assert.Assert(t, finished.Estimate(c, 0).Quantile(0.5) < 3500*time.Millisecond)
	within := all.Estimate(c, 0).Quantile(0.5)
	assert.Assert(t, within > 3600*time.Millisecond && within < 4600*time.Millisecond, "%v", within)
	// A run that still goes after 4 s has as long a rest as the prior says, and not none.
	assert.Assert(t, all.Estimate(c, 0).MeanRemaining(4*time.Second) > 500*time.Millisecond)
}

func TestRestOfLongRunGrows(t *testing.T) {
	r := rand.New(rand.NewPCG(39, 3))
	var e Estimator
	c := Class{Queue: "q"}
	for i := range 500 {
		e.Add(Sample{Class: c, Elapsed: draw(r, 3*time.Second), At: start.Add(time.Duration(i))})
	}
	d := e.Estimate(c, 0)
	// Whatever has gone on for 8 s belongs to the tail of seven times the usual length.
	assert.Assert(t, d.MeanRemaining(0) < 5*time.Second, "%v", d.MeanRemaining(0))
	assert.Assert(t, d.MeanRemaining(8*time.Second) > 6*time.Second, "%v", d.MeanRemaining(8*time.Second))
	assert.Assert(t, d.ChanceWithin(0, 5*time.Second) > 0.85)
	assert.Assert(t, d.ChanceWithin(8*time.Second, 5*time.Second) < 0.5)
	for _, elapsed := range []time.Duration{0, time.Second, 10 * time.Second, time.Hour} {
		assert.Assert(t, d.Remaining(0.8, elapsed) >= d.Remaining(0.2, elapsed), "%v", elapsed)
	}
}

func TestNarrowClassDiffersFromBroadOne(t *testing.T) {
	var e Estimator
	long, short := Class{Queue: "q", Workspace: "a"}, Class{Queue: "q", Workspace: "b"}
	for i := range 60 {
		e.Add(Sample{Class: long, Elapsed: 20 * time.Second, At: start.Add(time.Duration(i))})
		e.Add(Sample{Class: short, Elapsed: 2 * time.Second, At: start.Add(time.Duration(i))})
	}
	assert.Assert(t, e.Estimate(long, 0).Quantile(0.5) > 16*time.Second)
	assert.Assert(t, e.Estimate(short, 0).Quantile(0.5) < 3*time.Second)
	other := e.Estimate(Class{Queue: "q", Workspace: "c"}, 0)
	assert.Assert(t, other.Quantile(0.3) < 3*time.Second && other.Quantile(0.7) > 16*time.Second)
}

func TestSpeedIsApartFromLength(t *testing.T) {
	var e Estimator
	r := rand.New(rand.NewPCG(39, 4))
	for i := range 300 {
		at := start.Add(time.Duration(i) * time.Second)
		e.AddComparison("slow", 1.6*math.Exp(0.15*r.NormFloat64()), false, at)
		// One in twenty tasks of the other worker is long by itself.
		ratio := math.Exp(0.15 * r.NormFloat64())
		if i%20 == 0 {
			ratio *= 7
		}
		e.AddComparison("usual", ratio, false, at)
	}
	assert.Assert(t, e.Speed("slow") < 0.75, "%v", e.Speed("slow"))
	assert.Assert(t, e.Speed("usual") > 0.85, "%v", e.Speed("usual"))
	assert.Assert(t, e.ChanceAgainstPeers(4) > 0.01 && e.ChanceAgainstPeers(4) < 0.1, "%v", e.ChanceAgainstPeers(4))
	c := Class{Queue: "q"}
	for i := range 100 {
		e.Add(Sample{Class: c, Elapsed: 16 * time.Second, Worker: "slow", At: start.Add(time.Duration(i))})
	}
	assert.Assert(t, e.Estimate(c, 0).Quantile(0.5) < 12500*time.Millisecond)
}

// busyEstimator returns an estimator that has seen more queues, workspaces and workers than it keeps.
func busyEstimator() *Estimator {
	r := rand.New(rand.NewPCG(39, 5))
	e := &Estimator{}
	for i := range 3000 {
		c := Class{
			Queue: descriptor.QueueID(fmt.Sprint("queue-", i%300)), Workspace: descriptor.WorkspaceID(fmt.Sprint("workspace-", i%1000)),
			Shape: Shape{Accelerators: uint8(i % 4), Gang: i%2 == 0},
		}
		w := descriptor.WorkerID(fmt.Sprint("worker-", i))
		e.Add(Sample{Class: c, Declared: time.Second, Elapsed: draw(r, time.Second), Censored: i%5 == 0, Worker: w, At: start.Add(time.Duration(i))})
		e.AddComparison(w, 1.2, false, start)
	}
	return e
}

func TestMemoryAndSnapshotAreBounded(t *testing.T) {
	e := busyEstimator()
	assert.Equal(t, len(e.groups), maxGroups)
	assert.Equal(t, len(e.workers.byWorker), maxWorkers)
	data, err := encoder.Marshal(e.Snapshot(start))
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 128<<10, "%d bytes", len(data))
}

func TestSnapshotIsRestored(t *testing.T) {
	e := busyEstimator()
	c := Class{Queue: "queue-299", Workspace: "workspace-999", Shape: Shape{Accelerators: 3}}
	var restored Estimator
	assert.NilError(t, restored.Restore(e.Snapshot(start), start.Add(time.Minute)))
	want, got := e.Estimate(c, time.Second), restored.Estimate(c, time.Second)
	for _, p := range []float64{0.1, 0.5, 0.95} {
		assert.Assert(t, math.Abs(float64(want.Quantile(p))/float64(got.Quantile(p))-1) < 0.05, "%v, %v", want.Quantile(p), got.Quantile(p))
	}
	assert.Equal(t, restored.Speed("worker-2999"), e.Speed("worker-2999"))
	assert.DeepEqual(t, restored.Snapshot(start), func() Snapshot {
		var again Estimator
		assert.NilError(t, again.Restore(restored.Snapshot(start), start))
		return again.Snapshot(start)
	}())
}

func TestOddSnapshotsAreRefused(t *testing.T) {
	for name, change := range map[string]func(*Snapshot){
		"version":    func(s *Snapshot) { s.Version++ },
		"old":        func(s *Snapshot) { s.Taken = start.Add(-MaxSnapshotAge - time.Second) },
		"future":     func(s *Snapshot) { s.Taken = start.Add(2 * maxFutureTime) },
		"twice":      func(s *Snapshot) { s.Groups = append(s.Groups, s.Groups[0]) },
		"level":      func(s *Snapshot) { s.Groups[0].Level = uint8(levelCount) },
		"key":        func(s *Snapshot) { s.Groups[0].Level, s.Groups[0].Workspace = uint8(levelAll), "w" },
		"histograms": func(s *Snapshot) { s.Groups[0].Histograms = s.Groups[0].Histograms[1:] },
		"bucket":     func(s *Snapshot) { s.Groups[0].Histograms[0].Ended[0].Bucket = bucketCount },
		"weight":     func(s *Snapshot) { s.Groups[0].Histograms[0].Ended[0].Weight = float32(math.NaN()) },
		"score":      func(s *Snapshot) { s.Groups[0].Scores = []float64{0, math.Inf(1), 0} },
		"slowness":   func(s *Snapshot) { s.Workers[0].Slowness = math.NaN() },
		"workers":    func(s *Snapshot) { s.Workers = make([]WorkerSnapshot, maxSnapshotWorkers+1) },
	} {
		e := Estimator{}
		e.Add(Sample{Class: Class{Queue: "q"}, Elapsed: time.Second, At: start})
		e.AddComparison("w", 1, false, start)
		s := e.Snapshot(start)
		change(&s)
		version := e.version
		assert.ErrorIs(t, e.Restore(s, start), ErrSnapshot, name)
		assert.Equal(t, e.version, version)
	}
}

// FuzzRestore checks that an estimator which has restored any snapshot gives usable estimates.
func FuzzRestore(f *testing.F) {
	small := Estimator{}
	small.Add(Sample{Class: Class{Queue: "q"}, Elapsed: time.Second, At: start})
	small.AddComparison("w", 1.5, false, start)
	for _, e := range []*Estimator{{}, &small} {
		data, err := encoder.Marshal(e.Snapshot(start))
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Snapshot
		if encoder.Unmarshal(data, &s) != nil {
			return
		}
		e := Estimator{}
		if err := e.Restore(s, start); err != nil {
			assert.ErrorIs(t, err, ErrSnapshot)
			return
		}
		c := Class{Queue: "q"}
		e.Add(Sample{Class: c, Elapsed: time.Second, Worker: "w", At: start})
		d := e.Estimate(c, 3*time.Second)
		assert.Assert(t, d.Mean() > 0 && d.Quantile(0.95) >= d.Quantile(0.5) && d.MeanRemaining(time.Second) >= 0)
		speed := e.Speed("w")
		assert.Assert(t, speed >= 1.0/maxSpeedFactor-1e-9 && speed <= maxSpeedFactor+1e-9)
		chance := d.ChanceWithin(time.Second, time.Second)
		assert.Assert(t, chance >= 0 && chance <= 1)
	})
}

// TestQueuesOfDifferentRates names a load of two queues, one of which has thousands of runs for each of the other. The
// weights of the group of all runs grew without bound.
func TestQueuesOfDifferentRates(t *testing.T) {
	var e Estimator
	now := time.Unix(1e9, 0)
	add := func(queue descriptor.QueueID, n int) {
		for range n {
			now = now.Add(time.Millisecond)
			e.Add(Sample{Class: Class{Queue: queue}, Declared: time.Second, Elapsed: 2 * time.Second, At: now})
		}
	}
	for range 3 {
		add("busy", 20_000)
		add("rare", 1)
	}
	unknown := e.Estimate(Class{Queue: "new"}, time.Second).Mean()
	assert.Assert(t, unknown > time.Second && unknown < 4*time.Second, "%v", unknown)
	var restored Estimator
	assert.NilError(t, restored.Restore(e.Snapshot(now), now))
}
