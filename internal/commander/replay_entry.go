package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/keeper"
	"persimmontrail/internal/replayer"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/pkg/validator"
)

const (
	// replayCalls bounds the calls at one time, so that a burst of the trace reaches the entry as one.
	replayCalls = 32
	// replayPoll is the time between two looks at the jobs that have not ended.
	replayPoll = 500 * time.Millisecond
	// shownMisses bounds the jobs that an error names for each kind of miss.
	shownMisses = 10
)

// submission is one job of the trace at a running entry.
type submission struct {
	key descriptor.JobKey
	// trace is the id in the trace.
	trace            descriptor.JobID
	class            descriptor.ClassID
	fails, cancelled bool
	refused          string
	// refusedAsNotRun is false for a refusal that leaves open whether the job runs.
	refusedAsNotRun bool
	end             *coordinator.JobView
}

// liveReplay submits the jobs of a trace to a running entry.
type liveReplay struct {
	client *entryClient
	trace  replayer.Trace
	speed  float64
	prefix string

	mu   sync.Mutex
	jobs map[descriptor.JobKey]*submission
	// order is that of the trace, for reports.
	order []*submission
}

// liveReport is what can be seen from outside.
type liveReport struct {
	Trace                                       string
	Speed                                       float64
	Submitted, Refused, Done, Failed, Cancelled int
	Unaccounted                                 int
	Classes                                     []liveClass
	Refusals                                    []string `json:",omitempty"`
	Misses                                      []string `json:",omitempty"`
	NotChecked                                  []replayer.OutcomeName
}

// liveClass tells the completion times of one class at the replay's speed.
type liveClass struct {
	Class         descriptor.ClassID
	Done          int
	P50, P95, P99 descriptor.Duration
}

func (p *Program) replayAgainst(ctx context.Context, client *entryClient, t replayer.Trace, r replayFlags) error {
	l := &liveReplay{client: client, trace: t, speed: r.speed, prefix: uniqueName("replay") + "-", jobs: map[descriptor.JobKey]*submission{}}
	fmt.Fprintf(p.Stderr, "submitting the jobs of %d events to %s at speed %g, as %s*\n", len(t.Events), r.client.entry, r.speed, l.prefix)
	if _, _, err := client.do(ctx, http.MethodGet, "/readyz", nil); err != nil {
		return fmt.Errorf("the entry is not reached: %w", err)
	}
	if err := l.submitAll(ctx, p.Stderr); err != nil {
		return err
	}
	if err := l.awaitEnds(ctx, r.drain, p.Stderr); err != nil {
		return err
	}
	report := l.report()
	if err := client.print(report, func(w io.Writer) { printLiveReport(w, report) }); err != nil {
		return err
	}
	if r.report != "" {
		if err := writeReport(r.report, report); err != nil {
			return err
		}
	}
	if len(report.Misses) > 0 {
		return fmt.Errorf("%w %d checks\n%s", errMissed, len(report.Misses), strings.Join(report.Misses, "\n"))
	}
	return nil
}

func (l *liveReplay) scaled(d descriptor.Duration) time.Duration {
	return time.Duration(float64(d) / l.speed)
}

// submitAll follows the times of the trace. Calls run beside each other; a
// cancellation follows the submission of its job.
func (l *liveReplay) submitAll(ctx context.Context, progress io.Writer) error {
	began := time.Now()
	shown := began
	slots := make(chan struct{}, replayCalls)
	submitted := map[descriptor.JobKey]chan struct{}{}
	var calls sync.WaitGroup
	defer calls.Wait()
	for i, e := range l.trace.Events {
		if err := waitUntil(ctx, began.Add(l.scaled(e.At))); err != nil {
			return err
		}
		if time.Since(shown) >= progressInterval {
			shown = time.Now()
			fmt.Fprintf(progress, "event %d of %d, %v of the trace\n", i, len(l.trace.Events), e.At.Std())
		}
		switch e.Kind {
		case replayer.JobArrives:
			done := make(chan struct{})
			submitted[e.Job.Key()] = done
			s := l.add(e)
			slots <- struct{}{}
			calls.Go(func() {
				defer func() { <-slots; close(done) }()
				l.submit(ctx, s, e)
			})
		case replayer.JobCancelled:
			before, s := submitted[*e.Key], l.find(*e.Key)
			calls.Go(func() {
				<-before
				l.cancel(ctx, s)
			})
		}
	}
	return nil
}

func waitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *liveReplay) add(e replayer.Event) *submission {
	key := l.key(e.Job.Key())
	s := &submission{key: key, trace: e.Job.ID, class: e.Job.Class, fails: e.Fails}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[key] = s
	l.order = append(l.order, s)
	return s
}

// key makes ids of one replay differ from those of another.
func (l *liveReplay) key(k descriptor.JobKey) descriptor.JobKey {
	k.Job = descriptor.JobID(l.prefix) + k.Job
	return k
}

func (l *liveReplay) find(k descriptor.JobKey) *submission {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[l.key(k)]
}

// submit repeats a call whose outcome is open, which is safe with the same id.
func (l *liveReplay) submit(ctx context.Context, s *submission, e replayer.Event) {
	job := *e.Job
	job.ID = s.key.Job
	job.DeclaredRunTime = max(1, descriptor.Duration(l.scaled(job.DeclaredRunTime)))
	// The stand-in of the worker reads these fields; a worker of the platform gets them as an opaque payload.
	job.Payload, _ = json.Marshal(struct {
		RunTime descriptor.Duration
		Fail    bool `json:",omitempty"`
	}{max(1, descriptor.Duration(l.scaled(e.RunTime))), e.Fails})
	const tries = 3
	for range tries {
		callCtx, cancel := context.WithTimeout(ctx, clientTimeout)
		var v coordinator.JobView
		err := l.client.call(callCtx, http.MethodPost, "/v1/jobs", job, &v)
		cancel()
		if err == nil {
			l.setRefusal(s, "", false)
			return
		}
		var a *answerError
		isAnswer := errors.As(err, &a)
		l.setRefusal(s, err.Error(), isAnswer && (a.problem.Result == descriptor.ResultNotRun || errors.Is(err, validator.ErrInvalid)))
		if isAnswer && a.problem.Result == descriptor.ResultNotRun {
			return
		}
	}
}

func (l *liveReplay) setRefusal(s *submission, reason string, asNotRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.refused = reason
	s.refusedAsNotRun = asNotRun
}

func (l *liveReplay) cancel(ctx context.Context, s *submission) {
	ctx, stop := context.WithTimeout(ctx, clientTimeout)
	defer stop()
	var v coordinator.JobView
	err := l.client.call(ctx, http.MethodDelete, jobPath(string(s.key.Workspace), string(s.key.Job)), nil, &v)
	if err == nil {
		l.mu.Lock()
		s.cancelled = true
		l.mu.Unlock()
	}
}

// awaitEnds looks at the jobs without an end until all have one or the limit is reached.
func (l *liveReplay) awaitEnds(ctx context.Context, limit time.Duration, progress io.Writer) error {
	deadline := time.Now().Add(limit)
	shown := time.Now()
	for {
		open := l.look(ctx)
		if open == 0 || time.Now().After(deadline) {
			return ctx.Err()
		}
		if time.Since(shown) >= progressInterval {
			shown = time.Now()
			fmt.Fprintf(progress, "%d jobs have not ended, waiting for %v more\n", open, time.Until(deadline).Round(time.Second))
		}
		if err := waitUntil(ctx, time.Now().Add(replayPoll)); err != nil {
			return err
		}
	}
}

// look asks for every accepted job without an end and returns how many are left.
func (l *liveReplay) look(ctx context.Context) int {
	var calls sync.WaitGroup
	slots := make(chan struct{}, replayCalls)
	open := 0
	for _, s := range l.order {
		if s.refused != "" || s.end != nil {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			var v coordinator.JobView
			err := l.client.call(callCtx, http.MethodGet, jobPath(string(s.key.Workspace), string(s.key.Job)), nil, &v)
			l.mu.Lock()
			defer l.mu.Unlock()
			if err == nil && v.State == keeper.JobEnded {
				s.end = &v
			} else {
				open++
			}
		})
	}
	calls.Wait()
	return open
}

func (l *liveReplay) report() liveReport {
	r := liveReport{Trace: l.trace.Header.Name, Speed: l.speed, Submitted: len(l.order)}
	times := map[descriptor.ClassID][]time.Duration{}
	misses := map[string][]string{}
	miss := func(kind string, s *submission, reason string) {
		misses[kind] = append(misses[kind], fmt.Sprintf("%s/%s (%s)", s.key.Workspace, s.trace, reason))
	}
	for _, s := range l.order {
		switch {
		case s.refused != "":
			r.Refused++
			if len(r.Refusals) < shownMisses {
				r.Refusals = append(r.Refusals, fmt.Sprintf("%s/%s: %s", s.key.Workspace, s.trace, s.refused))
			}
			if !s.refusedAsNotRun {
				miss("refused without saying that it did not run", s, s.refused)
			}
		case s.end == nil:
			r.Unaccounted++
			miss("accepted without an end", s, "waited for --drain")
		case s.end.Result == descriptor.ResultDone:
			r.Done++
			times[s.class] = append(times[s.class], s.end.EndedAt.Sub(s.end.Accepted))
		case s.cancelled:
			r.Cancelled++
		default:
			r.Failed++
			if !s.fails {
				miss("ended other than Done", s, string(s.end.Result)+": "+s.end.Reason)
			}
		}
	}
	for _, kind := range []string{"refused without saying that it did not run", "accepted without an end", "ended other than Done"} {
		if n := len(misses[kind]); n > 0 {
			r.Misses = append(r.Misses, fmt.Sprintf("%d jobs %s: %s", n, kind, strings.Join(misses[kind][:min(n, shownMisses)], "; ")))
		}
	}
	for _, c := range l.trace.Header.Configuration.Classes {
		ts := times[c.Name]
		slices.Sort(ts)
		r.Classes = append(r.Classes, liveClass{Class: c.Name, Done: len(ts), P50: rank(ts, 0.5), P95: rank(ts, 0.95), P99: rank(ts, 0.99)})
	}
	l.checkOutcomes(&r)
	return r
}

// rank returns a percentile of ascending durations by nearest rank.
func rank(ds []time.Duration, q float64) descriptor.Duration {
	if len(ds) == 0 {
		return 0
	}
	return descriptor.Duration(ds[max(0, int(math.Ceil(q*float64(len(ds))))-1)])
}

// checkOutcomes checks the stated outcomes that are visible from outside and lists the others.
func (l *liveReplay) checkOutcomes(r *liveReport) {
	for _, o := range l.trace.Header.Outcomes {
		switch {
		case o.Name == replayer.OutcomeUnaccounted:
			// Jobs without an end are misses already.
		case o.Name == replayer.OutcomeUrgentWithinTarget && l.speed == 1:
			l.checkUrgent(r, o)
		default:
			r.NotChecked = append(r.NotChecked, o.Name)
		}
	}
}

func (l *liveReplay) checkUrgent(r *liveReport, o replayer.Outcome) {
	i := slices.IndexFunc(r.Classes, func(c liveClass) bool { return c.Class == o.Class })
	k := slices.IndexFunc(l.trace.Header.Configuration.Classes, func(c descriptor.Class) bool { return c.Name == o.Class })
	if i < 0 || k < 0 {
		return
	}
	target := l.trace.Header.Configuration.Classes[k].FinishWithin
	if r.Classes[i].Done == 0 || r.Classes[i].P99 > target {
		r.Misses = append(r.Misses, fmt.Sprintf("outcome %s: %s p99 %v over %d jobs, target %v", o.Name, o.Class, r.Classes[i].P99.Std(), r.Classes[i].Done, target.Std()))
	}
}

func printLiveReport(w io.Writer, r liveReport) {
	fmt.Fprintf(w, "Trace %s at speed %g\n\n", r.Trace, r.Speed)
	fmt.Fprintln(w, "SUBMITTED\tREFUSED\tDONE\tFAILED\tCANCELLED\tUNACCOUNTED")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\n\n", r.Submitted, r.Refused, r.Done, r.Failed, r.Cancelled, r.Unaccounted)
	fmt.Fprintln(w, "CLASS\tDONE\tP50\tP95\tP99")
	for _, c := range r.Classes {
		round := func(d descriptor.Duration) time.Duration { return d.Std().Round(time.Millisecond) }
		fmt.Fprintf(w, "%s\t%d\t%v\t%v\t%v\n", c.Class, c.Done, round(c.P50), round(c.P95), round(c.P99))
	}
	for _, text := range r.Refusals {
		fmt.Fprintf(w, "\nrefused %s", text)
	}
	if len(r.Refusals) > 0 {
		fmt.Fprintln(w)
	}
	var names []string
	for _, n := range r.NotChecked {
		names = append(names, string(n))
	}
	if len(names) > 0 {
		fmt.Fprintf(w, "\nnot visible from outside: %s\n", strings.Join(names, ", "))
	}
}
