package scheduler

import (
	"math"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Units of time in nanoseconds. The core stores times as nanoseconds since 1970, and the zero time.Time as 0.
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

// Declared run times are corrected by the ratio of actual to declared run time of past jobs of the same workspace and
// class.
const (
	// runTimeQuantile is the quantile of these ratios by which a declared run time is multiplied.
	runTimeQuantile = 0.8
	// minCorrectionRuns is the number of past runs below which no correction is made.
	minCorrectionRuns = 3
	// ratioBuckets is the number of buckets. They cover ratios from 1/16 to 16 in steps of a factor of √2. Ratios
	// outside of this range count in the first or last bucket.
	ratioBuckets = 16
	// lowestLog2Ratio is the binary logarithm of the lowest ratio, 1/16.
	lowestLog2Ratio = -4.0
)

// ratioHistogram counts run-time ratios by bucket. When a count reaches its maximum, all counts are halved,
// so that recent runs weigh more.
type ratioHistogram [ratioBuckets]uint8

type workspaceClass struct {
	workspace descriptor.WorkspaceID
	class     descriptor.ClassID
}

// history holds one histogram of 16 bytes for each workspace and class that has run jobs.
type history struct {
	histograms map[workspaceClass]*ratioHistogram
	// version is incremented with each recorded run.
	version int
}

// add records the ratio of the actual to the declared run time of a finished run. It ignores runs without a declared
// run time.
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

// correction returns the factor for declared run times: the upper bound of the bucket that contains the quantile
// runTimeQuantile, or 1 if there are fewer than minCorrectionRuns runs. It also returns the number of runs in the
// histogram.
func (h *history) correction(p workspaceClass) (float64, int) {
	r := h.histograms[p]
	if r == nil {
		return 1, 0
	}
	n := 0
	for _, k := range r {
		n += int(k)
	}
	if n < minCorrectionRuns {
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

// prune drops the histograms of workspaces that no longer exist.
func (h *history) prune(known map[descriptor.WorkspaceID]*workspace) {
	for p := range h.histograms {
		if known[p.workspace] == nil {
			delete(h.histograms, p)
		}
	}
}

// correctedRunTime returns the declared run time of j, corrected by history, but at least a second.
func (c *Core) correctedRunTime(j *job) int64 {
	f, _ := c.history.correction(workspaceClass{j.Workspace, j.Class})
	return max(second, int64(float64(j.DeclaredRunTime)*f))
}

// remainingRunTime returns the corrected run time of j minus its checkpointed run time, but at least a tenth
// of the corrected run time.
func (c *Core) remainingRunTime(j *job) int64 {
	t := c.correctedRunTime(j)
	return max(t-j.checkpointedRunTime, t/10)
}
