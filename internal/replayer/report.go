package replayer

import (
	"math"
	"sort"
	"time"

	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// MinLargeJobAccelerators is the smallest number of accelerators of a large job. Such a job needs at least two workers of the
// generated fleets, which have 8 accelerators each.
const MinLargeJobAccelerators descriptor.Accelerators = 16

// Report is the result of replaying one trace with one policy. Work is in accelerator hours.
type Report struct {
	Trace  string
	Policy scheduler.Policy
	// Classes are in the order of the configuration.
	Classes []ClassReport

	// Accepted counts all jobs that arrived, including those that were refused.
	Accepted, Completed, Cancelled, Refused int
	// Unaccounted counts accepted jobs that have not ended.
	Unaccounted int
	// WrongRefusals counts jobs that were refused although they fit on the empty workers of their region, and jobs that the core
	// ended although they may run again and do not always fail.
	WrongRefusals int
	// RefusedReasons counts the refusals by reason.
	RefusedReasons map[string]int

	// LargeWait contains the percentiles of the total waiting times of the large jobs that completed or have not ended.
	LargeWait Percentiles
	// Utilisation is the share of the accelerators in service that were in use during the trace's duration.
	Utilisation float64
	// Fragmentation is the share of free accelerators that the largest guaranteed or waiting shape cannot use. It is the mean
	// over the samples, weighted by the number of free accelerators.
	Fragmentation float64
	Samples       []Sample

	// Reclaims counts reclaimed attempts, except those that had lost a member before.
	Reclaims int
	// LostToReclaim is the time spent on checkpoints of reclaimed attempts, and the work of those reclaimed without one.
	// LostToFailures is the work of attempts that failed or lost a member with its worker.
	LostToReclaim, LostToFailures float64

	GuaranteeViolations int
	Violations          []Violation
	// PartialGangs counts gangs that ran on without a lost member until partialGangLimit (10 s) after the loss was detected, or
	// until the core started another attempt of the job.
	PartialGangs          int
	StartsInRemovedDomain int
	// RepeatedRuns counts repeated starts of jobs that are not idempotent.
	RepeatedRuns int
	// InvalidDecisions counts decisions that cannot be carried out.
	InvalidDecisions int
	// InvalidReasons are the reasons of the first ten invalid decisions.
	InvalidReasons []string

	Windows []Window
}

// ClassReport contains the completion times of one class, from arrival to completion.
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

// Percentiles are the nearest-rank percentiles of a set of durations; all are 0 for an empty set.
type Percentiles struct{ P50, P95, P99 time.Duration }

// Sample is the state of the whole fleet at one time.
type Sample struct {
	// At is the offset from the start of the trace.
	At          time.Duration
	Utilisation float64
	// Free is the number of free accelerators. Unusable is how many of them the largest guaranteed or waiting shape cannot use.
	Free     descriptor.Accelerators
	Unusable descriptor.Accelerators
	// WaitingLarge and WaitingOthers count the waiting jobs that are large and those that are not.
	WaitingLarge  int
	WaitingOthers int
}

// Violation is a job that waited for longer than guaranteeWaitLimit although an unused guarantee of its workspace had room for it.
type Violation struct {
	// At is the offset from the start of the trace at which the violation was detected.
	At  time.Duration
	Key descriptor.JobKey
}

// Window is the period from the removal of a failure domain until half an hour after its return. Its times are offsets from the
// start of the trace.
type Window struct {
	FailureDomain descriptor.FailureDomainID
	From, To      time.Duration
	// Returned is the time at which the failure domain returned to service.
	Returned time.Duration
	// Work is the work done in the window, less the work lost in it. WorkWithoutFault is the same for a replay without the fault.
	Work, WorkWithoutFault float64
}

// acceleratorHours are the accelerator hours in use and in service since the start of the trace, up to the end of its duration.
type acceleratorHours struct {
	busy, available float64
}

// addInterval adds the accelerator hours from r.now until next to h, and the work done in this interval to the fault windows. The
// state of the replay must not change during the interval.
func (h *acceleratorHours) addInterval(r *replay, next time.Time) {
	start := r.trace.Header.Start
	busy, available := 0.0, 0.0
	for _, g := range r.regions {
		b, a := g.acceleratorUse(r)
		busy += b
		available += a
	}
	measuredHours := overlapHours(r.now, next, start, r.end)
	h.busy += busy * measuredHours
	h.available += available * measuredHours
	for i := range r.report.Windows {
		w := &r.report.Windows[i]
		w.Work += r.progressingAccelerators() * overlapHours(r.now, next, start.Add(w.From), start.Add(w.To))
	}
}

// overlapHours returns the length, in hours, of the overlap of two intervals: one between from and to, the other between start
// and end.
func overlapHours(from, to, start, end time.Time) float64 {
	if start.After(from) {
		from = start
	}
	if end.Before(to) {
		to = end
	}
	return max(0, to.Sub(from).Hours())
}

// acceleratorUse returns how many accelerators are in use and how many are in service. Those of workers that are down or in a
// removed failure domain count as neither.
func (g *region) acceleratorUse(r *replay) (busy, available float64) {
	for _, m := range g.workers {
		if m.up && !r.removedDomains[m.FailureDomain] {
			available += float64(m.Accelerators)
			busy += float64(m.Accelerators - m.free.Accelerators)
		}
	}
	return busy, available
}

// progressingAccelerators returns the number of accelerators whose jobs make progress.
func (r *replay) progressingAccelerators() float64 {
	total := 0.0
	for _, g := range r.regions {
		for _, j := range g.jobs {
			if j.state == jobRunning && !j.memberLost {
				total += float64(j.Accelerators())
			}
		}
	}
	return total
}

// takeSample adds a sample of the current state to the report, with the sums over all regions. Utilisation is 0 while no
// accelerator is in service.
func (r *replay) takeSample() {
	s := Sample{At: r.now.Sub(r.trace.Header.Start)}
	busy, available := 0.0, 0.0
	for _, g := range r.regions {
		b, a := g.acceleratorUse(r)
		busy += b
		available += a
		free, unusable := r.fragmentation(g)
		s.Free += free
		s.Unusable += unusable
		for _, j := range g.jobs {
			switch {
			case j.state != jobWaiting:
			case j.Accelerators() >= MinLargeJobAccelerators:
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

func (p *Report) addViolation(r *replay, j *job) {
	p.GuaranteeViolations++
	p.Violations = append(p.Violations, Violation{At: r.now.Sub(r.trace.Header.Start), Key: j.Key()})
}

// countJob adds one job to the count of its final state.
func (p *Report) countJob(j *job) {
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
		p.RefusedReasons[j.endReason]++
	default:
		p.Unaccounted++
	}
}

// computeTotals computes the figures over all jobs and samples. It must be called once, after the replay, because it adds the
// current waits of unfinished jobs to their totals.
func (p *Report) computeTotals(r *replay) {
	p.computeClasses(r)
	var waits []time.Duration
	for _, j := range r.allJobs {
		if j.Accelerators() >= MinLargeJobAccelerators && (j.state == jobCompleted || !j.state.ended()) {
			r.accumulateWait(j)
			waits = append(waits, j.totalWait)
		}
	}
	p.LargeWait = percentilesOf(sortDurations(waits))
	if r.acceleratorHours.available > 0 {
		p.Utilisation = r.acceleratorHours.busy / r.acceleratorHours.available
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

// computeClasses adds a report for each class of the configuration that is in force at the end of the replay. Only completed
// jobs count.
func (p *Report) computeClasses(r *replay) {
	times := make(map[descriptor.ClassID][]time.Duration)
	for _, j := range r.allJobs {
		if j.state == jobCompleted {
			times[j.Class] = append(times[j.Class], j.endedAt.Sub(j.arrivedAt))
		}
	}
	for _, c := range r.config.Classes {
		ts := sortDurations(times[c.Name])
		withinTargetCount := sort.Search(len(ts), func(i int) bool { return ts[i] > c.FinishWithin.TimeDuration() })
		p.Classes = append(p.Classes, ClassReport{
			Class: c.Name, Target: c.FinishWithin.TimeDuration(), Completed: len(ts), Completion: percentilesOf(ts),
			WithinTarget: ratio(withinTargetCount, len(ts)), Times: ts,
		})
	}
}

// class returns the report of the class with the given name, or nil if there is none.
func (p *Report) class(name descriptor.ClassID) *ClassReport {
	for i := range p.Classes {
		if p.Classes[i].Class == name {
			return &p.Classes[i]
		}
	}
	return nil
}

// sortDurations sorts ds in place in ascending order and returns it, as percentilesOf needs it.
func sortDurations(ds []time.Duration) []time.Duration {
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return ds
}

// percentilesOf returns the percentiles of ds, which must be in ascending order.
func percentilesOf(ds []time.Duration) Percentiles {
	quantile := func(q float64) time.Duration {
		if len(ds) == 0 {
			return 0
		}
		return ds[max(0, int(math.Ceil(q*float64(len(ds))))-1)]
	}
	return Percentiles{P50: quantile(0.5), P95: quantile(0.95), P99: quantile(0.99)}
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
