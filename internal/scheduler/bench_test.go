package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"persimmontrail/pkg/descriptor"
)

// workerCounts are the fleet sizes to measure. The last is the design target.
var workerCounts = []int{350, 1100, 3400}

// loadedCore returns a core with the given number of workers, loaded in proportion to the design target:
// 4,000 accelerators and 12,000 running tasks on 3,400 workers, 420 workspaces. Five in eight racks have no
// accelerators. If full is set, all accelerators are in use, otherwise none. It also returns the time at which all
// tasks have run for an hour.
func loadedCore(workerCount int, full bool) (*Core, time.Time) {
	c := &Core{}
	now := startTime
	workspaceCount := workerCount * 420 / 3400
	cfg := benchConfig(workerCount)
	c.Configure(cfg, now)
	for i := range workerCount {
		c.SetWorker(benchWorker(i), now)
	}
	accelerators := int(c.fleet.total.accelerators)
	for i := range workerCount * 12000 / 3400 {
		ws := cfg.Workspaces[i%workspaceCount].Name
		acc := descriptor.Accelerators(0)
		if full && i < accelerators {
			acc = 1
		}
		j := newJob(ws, "slow", 1, acc, 0, time.Duration(1+i%7)*time.Hour)
		j.ID = descriptor.JobID(fmt.Sprintf("run%06d", i))
		must(c.Submit(j, now, now))
	}
	settle(c, now)
	return c, now.Add(time.Hour)
}

func benchConfig(workerCount int) *descriptor.Configuration {
	workspaceCount := workerCount * 420 / 3400
	cfg := &descriptor.Configuration{Classes: []descriptor.Class{newClass("urgent", time.Minute, 1), newClass("slow", 8*time.Hour, 1)}}
	for d := range 10 {
		cfg.FailureDomains = append(cfg.FailureDomains, descriptor.FailureDomain{Name: descriptor.FailureDomainID(fmt.Sprintf("d%d", d))})
	}
	for i := range workspaceCount {
		ws := descriptor.Workspace{Name: descriptor.WorkspaceID(fmt.Sprintf("ws%03d", i))}
		switch i % 10 {
		case 0:
			ws.Guarantees = []descriptor.Shape{{Accelerators: 16, Adjacency: descriptor.LevelRack}}
		case 1:
			ws.Guarantees = []descriptor.Shape{{Accelerators: 8, Adjacency: descriptor.LevelWorker}}
		default:
			ws.Guarantees = []descriptor.Shape{{Accelerators: 1, Adjacency: descriptor.LevelWorker, Count: 4}}
		}
		cfg.Workspaces = append(cfg.Workspaces, ws)
	}
	// The workspaces idle and big run nothing, so that other work can borrow their capacity. The workspace none has no
	// guarantee.
	cfg.Workspaces = append(cfg.Workspaces, descriptor.Workspace{Name: "none"}, descriptor.Workspace{Name: "idle", Guarantees: []descriptor.Shape{{Accelerators: 8, Adjacency: descriptor.LevelWorker}}})
	cfg.Workspaces = append(cfg.Workspaces, descriptor.Workspace{Name: "big", Guarantees: []descriptor.Shape{{Accelerators: descriptor.Accelerators(min(256, workerCount*256/3400)), Adjacency: descriptor.LevelFailureDomain}}})
	return cfg
}

// benchWorker returns worker i. Of eight racks, one has workers with eight accelerators, two have workers
// with one, and the others have none.
func benchWorker(i int) descriptor.Worker {
	accelerators := descriptor.Accelerators(0)
	switch rack := i / 10; {
	case rack%8 == 0:
		accelerators = 8
	case rack%8 < 3:
		accelerators = 1
	}
	return workerAt(i*10/3400%10, i/10, i, accelerators)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// settle runs Decide until there are no decisions, confirming all starts and reclaims. Stops of cancelled jobs must be
// confirmed before, since it reports these attempts as started.
func settle(c *Core, now time.Time) {
	for {
		decisions := c.Decide(now)
		if len(decisions) == 0 {
			return
		}
		for _, d := range decisions {
			kind := EventStarted
			if d.Kind == DecisionReclaim {
				kind = EventStopped
			}
			c.HandleEvent(Event{Key: d.Key, Attempt: d.Attempt, Kind: kind}, now)
		}
	}
}

func forEachWorkerCount(b *testing.B, f func(b *testing.B, workerCount int)) {
	for _, n := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) { f(b, n) })
	}
}

// benchmarkDecision measures Submit and Decide for one job. It cancels the job outside of the measurement.
func benchmarkDecision(b *testing.B, c *Core, now time.Time, j descriptor.Job) {
	decided := 0
	var worst time.Duration
	for i := 0; b.Loop(); i++ {
		j.ID = descriptor.JobID(fmt.Sprintf("bench%d", i))
		from := time.Now()
		must(c.Submit(j, now, now))
		decisions := c.Decide(now)
		worst = max(worst, time.Since(from))
		b.StopTimer()
		decided += len(decisions)
		must(c.Cancel(j.Key(), now))
		confirmAllStopped(c, decisions, now)
		confirmAllStopped(c, c.Decide(now), now)
		settle(c, now)
		b.StartTimer()
	}
	b.ReportMetric(float64(worst.Microseconds()), "worst-µs")
	b.ReportMetric(float64(decided)/float64(b.N), "decisions/op")
}

// confirmAllStopped reports the attempts of all decisions as stopped, also those that were only decided to start.
func confirmAllStopped(c *Core, decisions []Decision, now time.Time) {
	for _, d := range decisions {
		c.HandleEvent(Event{Key: d.Key, Attempt: d.Attempt, Kind: EventStopped}, now)
	}
}

func BenchmarkUrgentFree(b *testing.B) {
	forEachWorkerCount(b, func(b *testing.B, n int) {
		c, now := loadedCore(n, false)
		benchmarkDecision(b, c, now, newJob("idle", "urgent", 1, 1, 0, time.Minute))
	})
}

// BenchmarkUrgentReclaim measures the start of an urgent job by reclaim on a full fleet.
func BenchmarkUrgentReclaim(b *testing.B) {
	forEachWorkerCount(b, func(b *testing.B, n int) {
		c, now := loadedCore(n, true)
		benchmarkDecision(b, c, now, newJob("idle", "urgent", 1, 8, 0, time.Minute))
	})
}

func BenchmarkGang256Free(b *testing.B) {
	forEachWorkerCount(b, func(b *testing.B, n int) {
		c, now := loadedCore(n, false)
		benchmarkDecision(b, c, now, newJob("big", "slow", min(256, n*256/3400), 1, 0, time.Hour))
	})
}

func BenchmarkGang256Reclaim(b *testing.B) {
	forEachWorkerCount(b, func(b *testing.B, n int) {
		c, now := loadedCore(n, true)
		benchmarkDecision(b, c, now, newJob("big", "slow", min(256, n*256/3400), 1, 0, time.Hour))
	})
}

// BenchmarkUrgentReclaimOne measures an urgent job with one accelerator and many possible victims.
func BenchmarkUrgentReclaimOne(b *testing.B) {
	forEachWorkerCount(b, func(b *testing.B, n int) {
		c, now := loadedCore(n, true)
		benchmarkDecision(b, c, now, newJob("idle", "urgent", 1, 1, 0, time.Minute))
	})
}

// BenchmarkUrgentBlocked measures an urgent job that cannot be placed on a full fleet.
func BenchmarkUrgentBlocked(b *testing.B) {
	forEachWorkerCount(b, func(b *testing.B, n int) {
		c, now := loadedCore(n, true)
		benchmarkDecision(b, c, now, newJob("none", "urgent", 1, 1, 0, time.Minute))
	})
}

// BenchmarkPass measures a pass over the waiting jobs on a full fleet: those of 10,000 jobs of many shapes that the
// core accepts and cannot start.
func BenchmarkPass(b *testing.B) {
	forEachWorkerCount(b, func(b *testing.B, n int) {
		c, now := loadedCore(n, true)
		for i := range 10000 {
			ws := descriptor.WorkspaceID(fmt.Sprintf("ws%03d", i%(n*420/3400)))
			j := newJob(ws, "slow", 1+i%40, descriptor.Accelerators(1<<(i%4)), descriptor.Level(i%2), time.Duration(1+i%9)*time.Hour)
			j.ID = descriptor.JobID(fmt.Sprintf("wait%05d", i))
			_ = c.Submit(j, now, now)
		}
		settle(c, now)
		waiting := c.waitingCount
		for b.Loop() {
			c.capacityFreed()
			c.Decide(now)
		}
		b.ReportMetric(float64(waiting), "waiting")
	})
}

// BenchmarkPassStarts measures a pass that starts 10,000 jobs without accelerators, for which cores and memory are
// free.
func BenchmarkPassStarts(b *testing.B) {
	forEachWorkerCount(b, func(b *testing.B, n int) {
		for b.Loop() {
			b.StopTimer()
			c, now := loadedCore(n, false)
			for i := range 10000 {
				j := newJob("ws001", "slow", 1, 0, 0, time.Hour)
				j.ID = descriptor.JobID(fmt.Sprintf("wait%05d", i))
				must(c.Submit(j, now, now))
			}
			b.StartTimer()
			c.Decide(now)
		}
	})
}

// BenchmarkView reports the heap memory used by a core with a full fleet and those of 10,000 submitted jobs that it
// accepts.
func BenchmarkView(b *testing.B) {
	forEachWorkerCount(b, func(b *testing.B, n int) {
		var held *Core
		before := heapBytes()
		for b.Loop() {
			c, now := loadedCore(n, true)
			for i := range 10000 {
				j := newJob("ws001", "slow", 16, 8, 0, time.Hour)
				j.ID = descriptor.JobID(fmt.Sprintf("wait%05d", i))
				_ = c.Submit(j, now, now)
			}
			held = c
		}
		b.ReportMetric(float64(heapBytes()-before)/1e6, "view-MB")
		runtime.KeepAlive(held)
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
