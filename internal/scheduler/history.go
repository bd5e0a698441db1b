package scheduler

import (
	"math"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Times in nanoseconds since 1970, the form in which the core keeps them.
const (
	second = int64(time.Second)
	minute = int64(time.Minute)
	hour   = int64(time.Hour)
)

func toNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func toTime(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

func toDuration(n int64) time.Duration { return time.Duration(n) }

// Run times are corrected by the ratio of actual to declared time that runQuantile of the past jobs
// of the same workspace and class did not exceed. Fewer than runsNeeded runs correct nothing.
const (
	runTimeQuantile = 0.8
	minRuns         = 3
	// ratioBuckets cover ratios from 1/16 to 16 in half powers of two.
	ratioBuckets    = 16
	lowestLog2Ratio = -4.0
)

// ratioHistogram is a histogram of run-time ratios. Counts are halved when one is full, so that old runs fade.
type ratioHistogram [ratioBuckets]uint8

type workspaceClass struct {
	workspace descriptor.WorkspaceID
	class     descriptor.ClassID
}

// history holds 16 bytes for each workspace and class that has run jobs.
type history struct {
	histograms map[workspaceClass]*ratioHistogram
	version    int
}

// add records a finished run.
func (h *history) add(p workspaceClass, declared, actual int64) {
	if declared <= 0 {
		return
	}
	if h.histograms == nil {
		h.histograms = make(map[workspaceClass]*ratioHistogram)
	}
	r := h.histograms[p]
	if r == nil {
		r = &ratioHistogram{}
		h.histograms[p] = r
	}
	r.add(math.Log2(max(float64(actual), 1) / float64(declared)))
	h.version++
}

func (r *ratioHistogram) add(log2Ratio float64) {
	i := min(max(int(math.Floor((log2Ratio-lowestLog2Ratio)*2)), 0), ratioBuckets-1)
	if r[i] == math.MaxUint8 {
		for k := range r {
			r[k] /= 2
		}
	}
	r[i]++
}

// correction returns the quantile of the ratio, as the upper edge of its bucket, and the number of runs behind it.
func (h *history) correction(p workspaceClass) (float64, int) {
	r := h.histograms[p]
	if r == nil {
		return 1, 0
	}
	n := 0
	for _, k := range r {
		n += int(k)
	}
	if n < minRuns {
		return 1, n
	}
	seen := 0
	for i, k := range r {
		seen += int(k)
		if float64(seen) >= runTimeQuantile*float64(n) {
			return math.Exp2(lowestLog2Ratio + float64(i+1)/2), n
		}
	}
	return 1, n
}

// prune drops pairs whose workspace no longer exists.
func (h *history) prune(known map[descriptor.WorkspaceID]*workspace) {
	for p := range h.histograms {
		if known[p.workspace] == nil {
			delete(h.histograms, p)
		}
	}
}

// correctedRunTime returns the run time that history suggests for j.
func (c *Core) correctedRunTime(j *job) int64 {
	f, _ := c.history.correction(workspaceClass{j.Workspace, j.Class})
	return max(second, int64(float64(j.DeclaredRunTime)*f))
}

// remainingRunTime is the corrected run time minus what ran before a checkpoint, and at least a tenth of it.
func (c *Core) remainingRunTime(j *job) int64 {
	t := c.correctedRunTime(j)
	return max(t-j.checkpointedRunTime, t/10)
}
