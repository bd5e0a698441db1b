package descriptor

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// QueueID names a queue of workloads.
type QueueID string

// MilliCores is an amount of processor cores in thousandths of a core, unlike the type [Cores], whose unit is one
// whole core.
type MilliCores int64

// Capacity is the amount of each resource that a worker offers or a task needs.
type Capacity struct {
	// Cores is in thousandths of a core.
	Cores        MilliCores
	Memory       Megabytes
	Accelerators Accelerators
}

// Minus returns the difference of c and o. Its amounts may be negative.
func (c Capacity) Minus(o Capacity) Capacity {
	return Capacity{c.Cores - o.Cores, c.Memory - o.Memory, c.Accelerators - o.Accelerators}
}

// Plus returns the sum of c and o, resource by resource.
func (c Capacity) Plus(o Capacity) Capacity {
	return Capacity{c.Cores + o.Cores, c.Memory + o.Memory, c.Accelerators + o.Accelerators}
}

// Multiply returns the capacity that n tasks need together if each needs c.
func (c Capacity) Multiply(n int) Capacity {
	return Capacity{c.Cores * MilliCores(n), c.Memory * Megabytes(n), c.Accelerators * Accelerators(n)}
}

// CountFitting returns the number of tasks that need o each and fit into c together, from 0 to limit. A resource that o
// does not need does not reduce the number, even if its amount in c is negative.
func (c Capacity) CountFitting(o Capacity, limit int) int {
	n := limit
	if o.Cores > 0 {
		n = min(n, int(c.Cores/o.Cores))
	}
	if o.Memory > 0 {
		n = min(n, int(c.Memory/o.Memory))
	}
	if o.Accelerators > 0 {
		n = min(n, int(c.Accelerators/o.Accelerators))
	}
	return max(n, 0)
}

// Fits reports whether a task that needs o fits into c.
func (c Capacity) Fits(o Capacity) bool { return c.CountFitting(o, 1) == 1 }

// CoreSeconds returns the core-seconds that c amounts to over d. An accelerator counts as 8 cores.
func (c Capacity) CoreSeconds(d time.Duration) float64 {
	return (float64(c.Cores)/1000 + 8*float64(c.Accelerators)) * d.Seconds()
}

// Step is a group of identical tasks of a workload.
type Step struct {
	// Count is the number of tasks in each occurrence, at least 1.
	Count int
	// Size is the capacity that each task needs.
	Size Capacity
	// RunTime is the caller's rough estimate of the run time of one task.
	RunTime time.Duration
	// After lists the indexes of earlier steps whose tasks must all have succeeded before this step starts.
	After []int `json:",omitempty"`
	// Gang means that the tasks run at the same time or not at all, and end together.
	Gang bool `json:",omitempty"`
	// SameRack means that the gang slows down by the deployment's distance factor if it is spread over several racks.
	SameRack bool `json:",omitempty"`
	// DataRack is the rack that holds the data of the tasks; empty means none. Tasks in other racks slow down by the
	// distance factor.
	DataRack RackID `json:",omitempty"`
	// Label is a label that a worker must have; empty means that any worker will do.
	Label string `json:",omitempty"`
	// MaxPerWorker limits the tasks of the step in one occurrence on one worker; 0 means no limit.
	MaxPerWorker int `json:",omitempty"`
	// SavesProgress means that the tasks write checkpoints and can resume on another worker.
	SavesProgress bool `json:",omitempty"`
	// Speculative means that several copies of a task may run at the same time.
	Speculative bool `json:",omitempty"`
	// Service means that the tasks run until the workload is cancelled.
	Service bool `json:",omitempty"`
	// Fills means that the cores of the tasks do not count against the capacity of a worker.
	Fills bool `json:",omitempty"`
	// MayMiss is the maximum number of tasks of a service step that the system may stop at the same time.
	MayMiss int    `json:",omitempty"`
	Image   string `json:",omitempty"`
	// LatencyTarget is the target for the latency of a service task; 0 means none.
	LatencyTarget time.Duration `json:",omitempty"`
}

// Need returns the capacity that one task takes from a worker: Size, but without cores if Fills is set.
func (s *Step) Need() Capacity {
	if s.Fills {
		return Capacity{Memory: s.Size.Memory, Accelerators: s.Size.Accelerators}
	}
	return s.Size
}

// Workload is a job of one or more steps that runs once or at several due times. Each run is an occurrence.
type Workload struct {
	ID        JobID
	Queue     QueueID
	Workspace WorkspaceID
	// Spec is passed to the workers unchanged.
	Spec  string
	Steps []Step
	// Times is the number of occurrences, which are due every Interval from FirstDue on. 0 means one occurrence that is
	// due at once.
	Times    int           `json:",omitempty"`
	FirstDue time.Time     `json:",omitzero"`
	Interval time.Duration `json:",omitempty"`
	// Service names the service whose workers may run the tasks.
	Service ServiceID
	// Priority is 0 for the most urgent workloads, which may preempt others.
	Priority int
	// MaxAttempts is the number of failures after which a task or gang is not started again.
	MaxAttempts int
	// Stretch and Slack define the objective for the time to completion: Stretch times the run time of the longest chain
	// of steps, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Accepted is the time at which the first entry accepted the workload, by that entry's clock.
	Accepted time.Time
}

// Occurrences returns the number of occurrences, at least 1.
func (w *Workload) Occurrences() int { return max(w.Times, 1) }

// stepBytes is the memory of a decoded step without its texts.
const stepBytes = 256

// MemorySize returns about how many bytes of memory the workload takes, from its decoding until it is stored.
func (w *Workload) MemorySize() int64 {
	size := len(w.Spec) + stepBytes*len(w.Steps)
	for i := range w.Steps {
		s := &w.Steps[i]
		size += 8*len(s.After) + len(s.DataRack) + len(s.Label) + len(s.Image)
	}
	// The workload is encoded for the store or another entry while it is held.
	return 2 * int64(size)
}

// Due returns the time from which occurrence k may start, counted from 0. The zero time means at once. An occurrence that
// is due more than 292 years, the longest Duration, after the first one is due after that time.
func (w *Workload) Due(k int) time.Time {
	if w.Times == 0 {
		return time.Time{}
	}
	sinceFirst := time.Duration(math.MaxInt64)
	if k == 0 || w.Interval <= sinceFirst/time.Duration(k) {
		sinceFirst = time.Duration(k) * w.Interval
	}
	return w.FirstDue.Add(sinceFirst)
}

// TaskID identifies one task of one occurrence of a workload. Occurrence, Step and Index count from 0.
type TaskID struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns "job.occurrence.step.index", the form that workers and logs use.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// ParseTaskID parses the form that TaskID.String returns. The job id must not be empty or contain a dot, and the
// numbers must not be negative.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task id %q, want job.occurrence.step.index", text)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task id %q, want job.occurrence.step.index", text)
		}
		n[i] = v
	}
	return TaskID{Job: JobID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// MaxWorkloadTasks is the maximum number of tasks in one occurrence. It keeps the stored document on the progress
// of a workload under the store's size limit for values.
const MaxWorkloadTasks = 4096

const (
	// MaxOccurrences is the maximum number of occurrences of a workload. The document on its progress names each of them.
	MaxOccurrences = 100_000
	// maxSize bounds each part of a task's Size. It is far above the size of any worker, and sums over
	// MaxWorkloadTasks tasks do not overflow.
	maxSize = 1_000_000_000
)

// maxWorkloadIDBytes bounds the id of a workload. Keys of the store have at most 200 bytes, and the platform's ids 16.
const maxWorkloadIDBytes = 64

// ValidWorkloadID reports whether id can name a workload: 1 to 64 letters, digits, hyphens or underscores. Other characters
// cannot be part of a task id or of a stored document.
func ValidWorkloadID(id JobID) bool {
	if id == "" || len(id) > maxWorkloadIDBytes {
		return false
	}
	for i := range len(id) {
		c := id[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

// Check returns an error that names the first invalid field, or nil. It checks ID, Steps, Times and Interval only; of a
// step, it checks Count, Size and After.
func (w *Workload) Check() error {
	if w.ID == "" {
		return errors.New("field ID is empty")
	}
	if !ValidWorkloadID(w.ID) {
		return fmt.Errorf("field ID is %.80q, want 1 to %d letters, digits, hyphens or underscores", w.ID, maxWorkloadIDBytes)
	}
	if len(w.Steps) == 0 {
		return errors.New("field Steps is empty")
	}
	total := 0
	for i := range w.Steps {
		s := &w.Steps[i]
		if s.Count < 1 {
			return fmt.Errorf("field Steps[%d].Count is %d, want at least 1", i, s.Count)
		}
		if s.Size.Cores < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0 {
			return fmt.Errorf("field Steps[%d].Size has a negative part", i)
		}
		if s.Size.Cores > maxSize || s.Size.Memory > maxSize || s.Size.Accelerators > maxSize {
			return fmt.Errorf("field Steps[%d].Size has a part above %d", i, maxSize)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("field Steps[%d].After names step %d, want an earlier one", i, a)
			}
		}
		// Checked after each step, since the sum of absurd counts would overflow.
		if total += s.Count; total > MaxWorkloadTasks {
			return fmt.Errorf("field Steps has %d tasks, at most %d", total, MaxWorkloadTasks)
		}
	}
	if w.Times < 0 {
		return fmt.Errorf("field Times is %d, want at least 0", w.Times)
	}
	if w.Times > MaxOccurrences {
		return fmt.Errorf("field Times is %d, at most %d", w.Times, MaxOccurrences)
	}
	if w.Interval < 0 {
		return fmt.Errorf("field Interval is %v, want at least 0", w.Interval)
	}
	return nil
}

// Queue is a queue to which callers submit workloads. The fields from Service on apply to all of its workloads.
type Queue struct {
	Name QueueID
	// Host and Prefix select the queue by the host and path of a request. The longest matching prefix wins.
	Host   string
	Prefix string
	// Public means that callers need no API key.
	Public      bool
	Service     ServiceID
	Priority    int
	MaxAttempts int
	Stretch     float64
	Slack       time.Duration
}

// Account holds the API keys and the guaranteed accelerators of a workspace.
type Account struct {
	Workspace WorkspaceID
	Keys      []string
	// Guaranteed is the number of accelerators that the workspace's workloads of priority 0 can claim at any time.
	Guaranteed Accelerators
}

// Plan is the operators' configuration for workloads: their queues, the accounts of workspaces and the services that
// run them. It is read from the platform's configuration document. The configuration for jobs and requests, which
// entries accept and store themselves, is Configuration.
type Plan struct {
	Version  int64
	Queues   []Queue
	Accounts []Account
	Services map[ServiceID]Pool
	// MaxBody is the maximum size of the body of a call, in bytes; 0 means the entry's default.
	MaxBody int64
}

// Pool describes the workers of one service.
type Pool struct {
	// Guarded means that the workers refuse tasks that do not fit.
	Guarded bool
}
