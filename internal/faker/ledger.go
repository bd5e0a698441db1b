package faker

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Run is one start of a task on a worker.
type Run struct {
	Task          string
	Key           descriptor.JobKey
	Attempt       descriptor.Attempt
	Index         int
	Members       int
	Worker        descriptor.WorkerID
	FailureDomain descriptor.FailureDomainID
	StartedAt     time.Time
	// EndedAt is zero while the task runs.
	EndedAt time.Time
	State   TaskState
	Cause   string
}

// overlaps reports whether r and o ran at the same time.
func (r Run) overlaps(o Run) bool {
	return (r.EndedAt.IsZero() || o.StartedAt.Before(r.EndedAt)) && (o.EndedAt.IsZero() || r.StartedAt.Before(o.EndedAt))
}

// Ledger collects the runs of several workers and finds violations. The zero value is ready.
type Ledger struct {
	mu      sync.Mutex
	workers []*Worker
}

// Add makes the ledger cover w.
func (l *Ledger) Add(w *Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers = append(l.workers, w)
}

// Runs returns all runs of all workers, ordered by their start.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	workers := slices.Clone(l.workers)
	l.mu.Unlock()
	var all []Run
	for _, w := range workers {
		all = append(all, w.Runs()...)
	}
	return Sorted(all)
}

// Sorted orders runs by their start. It joins the runs of workers in other processes, from their stats.
func Sorted(runs []Run) []Run {
	slices.SortStableFunc(runs, func(a, b Run) int { return a.StartedAt.Compare(b.StartedAt) })
	return runs
}

// StartsIn returns the runs that started in a failure domain after a moment.
func StartsIn(runs []Run, domain descriptor.FailureDomainID, after time.Time) []Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool {
		return r.FailureDomain != domain || !r.StartedAt.After(after)
	})
}

// PartialGang is an attempt of which fewer workers than its members started tasks.
type PartialGang struct {
	Key     descriptor.JobKey
	Attempt descriptor.Attempt
	// Members is the number of workers that take part; Started is how many of them started tasks.
	Members, Started int
	// From the first start Until the last end; Until is zero while a task runs.
	From, Until time.Time
	// Ran reports whether a task was done, which a partial gang must never reach.
	Ran bool
}

type attemptID struct {
	key     descriptor.JobKey
	attempt descriptor.Attempt
}

// PartialGangs returns the attempts that did not start on all of their workers, ordered by their start.
func PartialGangs(runs []Run) []PartialGang {
	byAttempt := map[attemptID][]Run{}
	for _, r := range runs {
		id := attemptID{r.Key, r.Attempt}
		byAttempt[id] = append(byAttempt[id], r)
	}
	var partial []PartialGang
	for id, members := range byAttempt {
		if g := gangOf(id, members); g.Started < g.Members {
			partial = append(partial, g)
		}
	}
	slices.SortFunc(partial, func(a, b PartialGang) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Key.String(), b.Key.String()))
	})
	return partial
}

func gangOf(id attemptID, runs []Run) PartialGang {
	g := PartialGang{Key: id.key, Attempt: id.attempt, From: runs[0].StartedAt}
	workers := map[descriptor.WorkerID]bool{}
	running := false
	for _, r := range runs {
		workers[r.Worker] = true
		g.Members = max(g.Members, r.Members)
		g.Ran = g.Ran || r.State == TaskDone
		running = running || r.EndedAt.IsZero()
		if r.StartedAt.Before(g.From) {
			g.From = r.StartedAt
		}
		if r.EndedAt.After(g.Until) {
			g.Until = r.EndedAt
		}
	}
	if running {
		g.Until = time.Time{}
	}
	g.Started = len(workers)
	return g
}

// DoubleRun is two runs of the same task of a job.
type DoubleRun struct {
	First, Second Run
	// Concurrent reports whether they overlapped, which is wrong for every job.
	Concurrent bool
}

// DoubleRuns returns the pairs of runs of one task that are wrong: two that overlap, and any two of a job that is
// not idempotent. With nil, only overlapping runs count.
func DoubleRuns(runs []Run, nonIdempotent func(descriptor.JobKey) bool) []DoubleRun {
	type taskID struct {
		key   descriptor.JobKey
		index int
	}
	earlier := map[taskID][]Run{}
	var double []DoubleRun
	for _, r := range Sorted(slices.Clone(runs)) {
		id := taskID{r.Key, r.Index}
		for _, e := range earlier[id] {
			concurrent := e.overlaps(r)
			if concurrent || nonIdempotent != nil && nonIdempotent(r.Key) {
				double = append(double, DoubleRun{First: e, Second: r, Concurrent: concurrent})
			}
		}
		earlier[id] = append(earlier[id], r)
	}
	return double
}
