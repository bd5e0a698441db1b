package faker

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Run is one execution of a task on a worker.
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

// Ledger collects the runs of several workers, which can then be searched for violations. The zero value is ready to
// use.
type Ledger struct {
	mu      sync.Mutex
	workers []*Worker
}

// Add adds the runs of w to the ledger.
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
	var all []Run
	for _, w := range workers {
		all = append(all, w.Runs()...)
	}
	return SortRuns(all)
}

// SortRuns sorts runs in place by start time and returns them. It also serves to merge the runs in the stats of workers
// in other processes.
func SortRuns(runs []Run) []Run {
	slices.SortStableFunc(runs, func(a, b Run) int { return a.StartedAt.Compare(b.StartedAt) })
	return runs
}

// StartsInFailureDomain returns the runs that started in a failure domain after a time.
func StartsInFailureDomain(runs []Run, domain descriptor.FailureDomainID, after time.Time) []Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool {
		return r.FailureDomain != domain || !r.StartedAt.After(after)
	})
}

// PartialGang is an attempt in which fewer workers started tasks than the gang has members.
type PartialGang struct {
	Key     descriptor.JobKey
	Attempt descriptor.Attempt
	// Members is the number of workers of the gang; Started is how many of them started tasks.
	Members, Started int
	// From is the first start, Until the last end, or zero while a task still runs.
	From, Until time.Time
	// Ran reports whether a task completed, which must never happen in a partial gang.
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
	for id, members := range byAttempt {
		if g := newPartialGang(id, members); g.Started < g.Members {
			partial = append(partial, g)
		}
	}
	slices.SortFunc(partial, func(a, b PartialGang) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Key.String(), b.Key.String()))
	})
	return partial
}

// newPartialGang summarizes the runs of an attempt. The gang is partial if Started is below Members.
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
