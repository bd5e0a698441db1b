package replayer

import (
	"math"
	"sort"
	"time"

	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// LargeJob is the smallest number of accelerators of a large job: more than one worker of today's fleets has.
const LargeJob descriptor.Accelerators = 16

// Report is what one policy did with one trace. Work is in accelerator hours.
type Report struct {
	Trace  string
	Policy scheduler.Policy
	// Classes in the order of the configuration.
	Classes []ClassReport

	Accepted, Completed, Cancelled, Refused int
	// Unaccounted jobs were accepted and have no end.
	Unaccounted int
	// WrongRefusals are jobs that were refused although the empty fleet holds them, and jobs that may run again, do not fail on their own, and were ended.
	WrongRefusals int
	// RefusedReasons counts the refusals by reason.
	RefusedReasons map[string]int

	// LargeWait is over completed large jobs: all time in which the job did not run.
	LargeWait Percentiles
	// Utilisation is the share of accelerators in service that ran tasks during the trace's duration.
	Utilisation float64
	// Fragmentation is the mean over the samples, weighted by free accelerators.
	Fragmentation float64
	Samples       []Sample

	Reclaims int
	// LostToReclaim counts checkpoints and work without one; LostToFailures the work of attempts that failed.
	LostToReclaim, LostToFailures float64

	GuaranteeViolations   int
	Violations            []Violation
	PartialGangs          int
	StartsInRemovedDomain int
	RepeatedRuns          int
	InvalidDecisions      int
	// InvalidReasons are the first few of them.
	InvalidReasons []string

	Windows []Window
}

// ClassReport tells the completion times of one class, from arrival to completion.
type ClassReport struct {
	Class      descriptor.ClassID
	Target     time.Duration
	Completed  int
	Completion Percentiles
	// WithinTarget is the share of completed jobs within the target.
	WithinTarget float64
	// Times are all completion times in ascending order.
	Times []time.Duration
}

// Percentiles of a duration, by nearest rank.
type Percentiles struct{ P50, P95, P99 time.Duration }

// Sample of the whole fleet at one time.
type Sample struct {
	At            time.Duration
	Utilisation   float64
	Free          descriptor.Accelerators
	Unusable      descriptor.Accelerators
	WaitingLarge  int
	WaitingOthers int
}

// Violation is a job that waited although its workspace's guarantee had room for it.
type Violation struct {
	At  time.Duration
	Key descriptor.JobKey
}

// Window is the time from a failure domain going out until half an hour after its return.
type Window struct {
	FailureDomain descriptor.FailureDomainID
	From, To      time.Duration
	// Returned is when the failure domain was back.
	Returned time.Duration
	// Work done in the window, and in the same window of a replay without the fault.
	Work, WorkWithoutFault float64
}

// meters integrate over time.
type meters struct {
	busy, available float64
}

// advance adds the time until next, with the state as it is.
func (m *meters) advance(r *replay, next time.Time) {
	start := r.trace.Header.Start
	busy, available := 0.0, 0.0
	for _, g := range r.regions {
		b, a := g.use(r)
		busy += b
		available += a
	}
	within := overlap(r.now, next, start, r.end)
	m.busy += busy * within
	m.available += available * within
	for i := range r.report.Windows {
		w := &r.report.Windows[i]
		w.Work += r.working() * overlap(r.now, next, start.Add(w.From), start.Add(w.To))
	}
}

// overlap of two intervals in hours.
func overlap(from, to, start, end time.Time) float64 {
	if start.After(from) {
		from = start
	}
	if end.Before(to) {
		to = end
	}
	return max(0, to.Sub(from).Hours())
}

// use returns the accelerators in service and how many of them are taken.
func (g *region) use(r *replay) (busy, available float64) {
	for _, m := range g.machines {
		if m.up && !r.out[m.FailureDomain] {
			available += float64(m.Accelerators)
			busy += float64(m.Accelerators - m.free.Accelerators)
		}
	}
	return busy, available
}

// working returns the accelerators whose jobs make progress.
func (r *replay) working() float64 {
	working := 0.0
	for _, g := range r.regions {
		for _, j := range g.jobs {
			if j.state == jobRunning && !j.lost {
				working += float64(j.Accelerators())
			}
		}
	}
	return working
}

func (r *replay) sample() {
	s := Sample{At: r.now.Sub(r.trace.Header.Start)}
	busy, available := 0.0, 0.0
	for _, g := range r.regions {
		b, a := g.use(r)
		busy += b
		available += a
		free, unusable := r.fragmentation(g)
		s.Free += free
		s.Unusable += unusable
		for _, j := range g.jobs {
			switch {
			case j.state != jobWaiting:
			case j.Accelerators() >= LargeJob:
				s.WaitingLarge++
			default:
				s.WaitingOthers++
			}
		}
	}
	if available > 0 {
		s.Utilisation = busy / available
	}
	r.report.Samples = append(r.report.Samples, s)
}

func (p *Report) violation(r *replay, j *job) {
	p.GuaranteeViolations++
	p.Violations = append(p.Violations, Violation{At: r.now.Sub(r.trace.Header.Start), Key: j.Key()})
}

// count adds the end of one job.
func (p *Report) count(j *job) {
	p.Accepted++
	switch j.state {
	case jobCompleted:
		p.Completed++
	case jobCancelled:
		p.Cancelled++
	case jobRefused:
		p.Refused++
		if p.RefusedReasons == nil {
			p.RefusedReasons = make(map[string]int)
		}
		p.RefusedReasons[j.reason]++
	default:
		p.Unaccounted++
	}
}

// conclude computes the figures over all jobs.
func (p *Report) conclude(r *replay) {
	p.conclusionOfClasses(r)
	var waits []time.Duration
	for _, j := range r.all {
		if j.Accelerators() >= LargeJob && (j.state == jobCompleted || !j.state.ended()) {
			r.wait(j)
			waits = append(waits, j.waited)
		}
	}
	p.LargeWait = percentilesOf(sorted(waits))
	if r.meters.available > 0 {
		p.Utilisation = r.meters.busy / r.meters.available
	}
	free, unusable := 0.0, 0.0
	for _, s := range p.Samples {
		free += float64(s.Free)
		unusable += float64(s.Unusable)
	}
	if free > 0 {
		p.Fragmentation = unusable / free
	}
}

func (p *Report) conclusionOfClasses(r *replay) {
	times := make(map[descriptor.ClassID][]time.Duration)
	for _, j := range r.all {
		if j.state == jobCompleted {
			times[j.Class] = append(times[j.Class], j.endedAt.Sub(j.arrived))
		}
	}
	for _, c := range r.config.Classes {
		ts := sorted(times[c.Name])
		within := sort.Search(len(ts), func(i int) bool { return ts[i] > c.FinishWithin.Std() })
		p.Classes = append(p.Classes, ClassReport{
			Class: c.Name, Target: c.FinishWithin.Std(), Completed: len(ts), Completion: percentilesOf(ts),
			WithinTarget: share(within, len(ts)), Times: ts,
		})
	}
}

// class returns the report of a class, or nil.
func (p *Report) class(name descriptor.ClassID) *ClassReport {
	for i := range p.Classes {
		if p.Classes[i].Class == name {
			return &p.Classes[i]
		}
	}
	return nil
}

func sorted(ds []time.Duration) []time.Duration {
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return ds
}

// percentilesOf takes durations in ascending order.
func percentilesOf(ds []time.Duration) Percentiles {
	rank := func(q float64) time.Duration {
		if len(ds) == 0 {
			return 0
		}
		return ds[max(0, int(math.Ceil(q*float64(len(ds))))-1)]
	}
	return Percentiles{P50: rank(0.5), P95: rank(0.95), P99: rank(0.99)}
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
