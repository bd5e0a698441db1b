package faker

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Run is one execution of a task on a worker. Index and Members are those of TaskStart.
type Run struct {
	// Task is the id of the task on the worker.
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
	// Cause says why the task failed or was stopped; otherwise it is empty.
	Cause string
}

// overlaps reports whether r and o ran at the same time.
func (r Run) overlaps(o Run) bool {
	return (r.EndedAt.IsZero() || o.StartedAt.Before(r.EndedAt)) && (o.EndedAt.IsZero() || r.StartedAt.Before(o.EndedAt))
}

// Ledger collects the runs of several workers, for checks such as PartialGangs and DoubleRuns. The zero value is ready
// to use.
type Ledger struct {
	mu      sync.Mutex
	workers []*Worker
}

// Add adds w to the workers whose past and future runs the ledger collects.
func (l *Ledger) Add(w *Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers = append(l.workers, w)
}

// Runs returns all runs of all workers, ordered by start time.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	workers := slices.Clone(l.workers)
	l.mu.Unlock()
	var runs []Run
	for _, w := range workers {
		runs = append(runs, w.Runs()...)
	}
	return SortRuns(runs)
}

// SortRuns sorts runs in place by start time and returns them. Callers also use it to merge the WorkerStats.Runs of
// workers in other processes.
func SortRuns(runs []Run) []Run {
	slices.SortStableFunc(runs, func(a, b Run) int { return a.StartedAt.Compare(b.StartedAt) })
	return runs
}

// StartsInFailureDomain returns the runs that started in the failure domain later than after.
func StartsInFailureDomain(runs []Run, domain descriptor.FailureDomainID, after time.Time) []Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool {
		return r.FailureDomain != domain || !r.StartedAt.After(after)
	})
}

// PartialGang is an attempt in which fewer workers started tasks than the gang has members.
type PartialGang struct {
	Key     descriptor.JobKey
	Attempt descriptor.Attempt
	// Members is the number of workers of the gang, Started the number of those that started tasks.
	Members, Started int
	// From is the first start of a task. Until is the last end of a task; it is zero while a task is running.
	From, Until time.Time
	// Ran reports whether a task completed. No task of a partial gang may complete.
	Ran bool
}

// attemptKey identifies an attempt of a job.
type attemptKey struct {
	key     descriptor.JobKey
	attempt descriptor.Attempt
}

// PartialGangs returns the attempts that did not start on all of their workers, ordered by start time.
func PartialGangs(runs []Run) []PartialGang {
	byAttempt := map[attemptKey][]Run{}
	for _, r := range runs {
		id := attemptKey{r.Key, r.Attempt}
		byAttempt[id] = append(byAttempt[id], r)
	}
	var partial []PartialGang
	for id, attemptRuns := range byAttempt {
		if g := newPartialGang(id, attemptRuns); g.Started < g.Members {
			partial = append(partial, g)
		}
	}
	slices.SortFunc(partial, func(a, b PartialGang) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Key.String(), b.Key.String()))
	})
	return partial
}

// newPartialGang summarizes the runs of an attempt. The attempt is a partial gang only if Started is below Members.
func newPartialGang(id attemptKey, runs []Run) PartialGang {
	gang := PartialGang{Key: id.key, Attempt: id.attempt, From: runs[0].StartedAt}
	workers := map[descriptor.WorkerID]bool{}
	running := false
	for _, r := range runs {
		workers[r.Worker] = true
		gang.Members = max(gang.Members, r.Members)
		gang.Ran = gang.Ran || r.State == TaskDone
		running = running || r.EndedAt.IsZero()
		if r.StartedAt.Before(gang.From) {
			gang.From = r.StartedAt
		}
		if r.EndedAt.After(gang.Until) {
			gang.Until = r.EndedAt
		}
	}
	if running {
		gang.Until = time.Time{}
	}
	gang.Started = len(workers)
	return gang
}

// DoubleRun is a pair of runs of the same task.
type DoubleRun struct {
	First, Second Run
	// Concurrent reports whether the runs overlapped, which is a violation for every job.
	Concurrent bool
}

// DoubleRuns returns the pairs of runs of one task that are violations: overlapping runs, and any two runs of a task of
// a non-idempotent job. If nonIdempotent is nil, only overlapping runs count.
func DoubleRuns(runs []Run, nonIdempotent func(descriptor.JobKey) bool) []DoubleRun {
	type taskID struct {
		key   descriptor.JobKey
		index int
	}
	earlier := map[taskID][]Run{}
	var doubleRuns []DoubleRun
	for _, r := range SortRuns(slices.Clone(runs)) {
		id := taskID{r.Key, r.Index}
		for _, e := range earlier[id] {
			concurrent := e.overlaps(r)
			if concurrent || nonIdempotent != nil && nonIdempotent(r.Key) {
				doubleRuns = append(doubleRuns, DoubleRun{First: e, Second: r, Concurrent: concurrent})
			}
		}
		earlier[id] = append(earlier[id], r)
	}
	return doubleRuns
}
