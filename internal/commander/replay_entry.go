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
	// maxConcurrentCalls bounds the concurrent submissions, and the concurrent polls, but not the cancellations. It
	// is large enough that a burst of the trace reaches the entry as a burst.
	maxConcurrentCalls = 32
	// jobPollInterval is the time between two polls of the unfinished jobs.
	jobPollInterval = 500 * time.Millisecond
	// maxReportedJobs bounds the jobs listed for each kind of failed check, and the listed refusals.
	maxReportedJobs = 10
)

// submission is a job of the trace that is submitted to a running entry.
type submission struct {
	// key is the key under which the job is submitted, see liveKey.
	key descriptor.JobKey
	// traceID is the id of the job in the trace, without the prefix that key has.
	traceID descriptor.JobID
	class   descriptor.ClassID
	// fails is true if the trace makes the job fail.
	fails bool
	// cancelled is true if the entry accepted the cancellation of the job.
	cancelled bool
	// refusal is the error of the last try to submit the job, or empty if the job was accepted.
	refusal string
	// refusedNotRun is true if the refusal guarantees that the job has not run and will not run.
	refusedNotRun bool
	// finalStatus describes the job after its end; it is nil while the job has not ended.
	finalStatus *coordinator.JobStatus
}

// liveReplay submits the jobs of a trace to a running entry.
type liveReplay struct {
	client *entryClient
	trace  replayer.Trace
	// speed is the factor by which the times of the trace, including the run times of its jobs, are shortened.
	speed float64
	// idPrefix is prepended to the ids of the trace's jobs, see liveKey.
	idPrefix string

	// mu guards the fields below and the results in each submission while calls run concurrently.
	mu sync.Mutex
	// submissions holds the submissions by submission.key, not by the keys of the trace.
	submissions map[descriptor.JobKey]*submission
	// ordered holds the same submissions in the order in which their jobs arrive in the trace.
	ordered []*submission
}

// liveReport is the result of a replay against a running entry.
type liveReport struct {
	Trace                                       string
	Speed                                       float64
	Submitted, Refused, Done, Failed, Cancelled int
	// Unaccounted counts the accepted jobs whose end was not seen within the drain time.
	Unaccounted int
	Classes     []liveClass
	// Refusals lists the first maxReportedJobs refused jobs, with the error of each.
	Refusals []string `json:",omitempty"`
	// Misses has one message for each kind of failed check of jobs, with the first maxReportedJobs jobs that failed it, and
	// one for each missed outcome, with its figures.
	Misses []string `json:",omitempty"`
	// NotChecked lists the outcomes of the trace that are not visible from outside the deployment and, unless the
	// speed is 1, OutcomeUrgentWithinTarget.
	NotChecked []replayer.OutcomeName
}

// liveClass holds percentiles of the completion times of the jobs of one class that ended as Done. The times are not
// scaled back to those of the trace.
type liveClass struct {
	Class         descriptor.ClassID
	Done          int
	P50, P95, P99 descriptor.Duration
}

// replayLive submits the jobs of the trace to a running entry, waits for them to end and checks their results.
func (p *Program) replayLive(ctx context.Context, client *entryClient, t replayer.Trace, r replayFlags) error {
	l := &liveReplay{client: client, trace: t, speed: r.speed, idPrefix: uniqueName("replay") + "-", submissions: map[descriptor.JobKey]*submission{}}
	fmt.Fprintf(p.Stderr, "submitting the jobs of %d events to %s at speed %g, as %s*\n", len(t.Events), r.client.entry, r.speed, l.idPrefix)
	if _, _, err := client.do(ctx, http.MethodGet, "/readyz", nil); err != nil {
		return fmt.Errorf("entry is not reachable: %w", err)
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
	if r.reportFile != "" {
		if err := writeReport(r.reportFile, report); err != nil {
			return err
		}
	}
	if len(report.Misses) > 0 {
		return fmt.Errorf("%w %d checks\n%s", errMissed, len(report.Misses), strings.Join(report.Misses, "\n"))
	}
	return nil
}

// scaleDuration divides a duration of the trace by the speed.
func (l *liveReplay) scaleDuration(d descriptor.Duration) time.Duration {
	return time.Duration(float64(d) / l.speed)
}

// submitAll submits and cancels jobs at the times of the trace, divided by the speed, and waits for the calls.
// Calls run concurrently, but the cancellation of a job waits for its submission.
func (l *liveReplay) submitAll(ctx context.Context, progress io.Writer) error {
	startedAt := time.Now()
	lastProgressAt := startedAt
	semaphore := make(chan struct{}, maxConcurrentCalls)
	// The channel of a job is closed when its submission has finished, with or without success.
	submittedByKey := map[descriptor.JobKey]chan struct{}{}
	var calls sync.WaitGroup
	defer calls.Wait()
	for i, e := range l.trace.Events {
		if err := waitUntil(ctx, startedAt.Add(l.scaleDuration(e.At))); err != nil {
			return err
		}
		if time.Since(lastProgressAt) >= progressInterval {
			lastProgressAt = time.Now()
			fmt.Fprintf(progress, "event %d of %d, %v of the trace\n", i, len(l.trace.Events), e.At.TimeDuration())
		}
		switch e.Kind {
		case replayer.JobArrives:
			submitted := make(chan struct{})
			submittedByKey[e.Job.Key()] = submitted
			s := l.addSubmission(e)
			semaphore <- struct{}{}
			calls.Go(func() {
				defer func() { <-semaphore; close(submitted) }()
				l.submit(ctx, s, e)
			})
		case replayer.JobCancelled:
			submitted, s := submittedByKey[*e.Key], l.findSubmission(*e.Key)
			calls.Go(func() {
				<-submitted
				l.cancel(ctx, s)
			})
		}
	}
	return nil
}

// waitUntil waits until the given time. It returns the error of ctx if ctx ends first.
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

// addSubmission records the submission of the job of a JobArrives event. It does not call the entry.
func (l *liveReplay) addSubmission(e replayer.Event) *submission {
	key := l.liveKey(e.Job.Key())
	s := &submission{key: key, traceID: e.Job.ID, class: e.Job.Class, fails: e.Fails}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submissions[key] = s
	l.ordered = append(l.ordered, s)
	return s
}

// liveKey returns the key under which a job of the trace is submitted. The prefix keeps the ids of
// different replays apart.
func (l *liveReplay) liveKey(k descriptor.JobKey) descriptor.JobKey {
	k.Job = descriptor.JobID(l.idPrefix) + k.Job
	return k
}

// findSubmission returns the submission of the job that has key k in the trace, or nil if addSubmission has not been
// called for it.
func (l *liveReplay) findSubmission(k descriptor.JobKey) *submission {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.submissions[l.liveKey(k)]
}

// submit tries up to maxTries times to submit a job, until it is accepted or refused as NotRun. Trying again is
// safe because the id stays the same.
func (l *liveReplay) submit(ctx context.Context, s *submission, e replayer.Event) {
	job := *e.Job
	job.ID = s.key.Job
	job.DeclaredRunTime = max(1, descriptor.Duration(l.scaleDuration(job.DeclaredRunTime)))
	// The worker stand-in reads these fields; to workers of the platform the payload is opaque.
	job.Payload, _ = json.Marshal(struct {
		RunTime descriptor.Duration
		Fail    bool `json:",omitempty"`
	}{max(1, descriptor.Duration(l.scaleDuration(e.RunTime))), e.Fails})
	const maxTries = 3
	for range maxTries {
		callCtx, cancel := context.WithTimeout(ctx, clientTimeout)
		var jobStatus coordinator.JobStatus
		err := l.client.call(callCtx, http.MethodPost, "/v1/jobs", job, &jobStatus)
		cancel()
		if err == nil {
			l.setRefusal(s, "", false)
			return
		}
		var a *answerError
		isAnswer := errors.As(err, &a)
		l.setRefusal(s, err.Error(), isAnswer && (a.response.Result == descriptor.ResultNotRun || errors.Is(err, validator.ErrInvalid)))
		if isAnswer && a.response.Result == descriptor.ResultNotRun {
			return
		}
	}
}

// setRefusal records the result of one try to submit a job; an empty reason means that the job was accepted.
func (l *liveReplay) setRefusal(s *submission, reason string, notRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.refusal = reason
	s.refusedNotRun = notRun
}

// cancel asks the entry to cancel a job and records whether the entry accepted the cancellation.
func (l *liveReplay) cancel(ctx context.Context, s *submission) {
	ctx, stop := context.WithTimeout(ctx, clientTimeout)
	defer stop()
	var jobStatus coordinator.JobStatus
	err := l.client.call(ctx, http.MethodDelete, jobPath(string(s.key.Workspace), string(s.key.Job)), nil, &jobStatus)
	if err == nil {
		l.mu.Lock()
		s.cancelled = true
		l.mu.Unlock()
	}
}

// awaitEnds polls until all accepted jobs have ended or the limit is reached. Reaching the limit is not an error.
func (l *liveReplay) awaitEnds(ctx context.Context, limit time.Duration, progress io.Writer) error {
	deadline := time.Now().Add(limit)
	lastProgressAt := time.Now()
	for {
		pending := l.pollJobs(ctx)
		if pending == 0 || time.Now().After(deadline) {
			return ctx.Err()
		}
		if time.Since(lastProgressAt) >= progressInterval {
			lastProgressAt = time.Now()
			fmt.Fprintf(progress, "%d jobs have not ended, waiting for %v more\n", pending, time.Until(deadline).Round(time.Second))
		}
		if err := waitUntil(ctx, time.Now().Add(jobPollInterval)); err != nil {
			return err
		}
	}
}

// pollJobs queries the accepted jobs without a recorded end. It records which of them have ended, and returns how
// many have not ended or could not be queried.
func (l *liveReplay) pollJobs(ctx context.Context) int {
	var calls sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	pending := 0
	for _, s := range l.ordered {
		if s.refusal != "" || s.finalStatus != nil {
			continue
		}
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			callCtx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			var jobStatus coordinator.JobStatus
			err := l.client.call(callCtx, http.MethodGet, jobPath(string(s.key.Workspace), string(s.key.Job)), nil, &jobStatus)
			l.mu.Lock()
			defer l.mu.Unlock()
			if err == nil && jobStatus.State == keeper.JobEnded {
				s.finalStatus = &jobStatus
			} else {
				pending++
			}
		})
	}
	calls.Wait()
	return pending
}

// report counts the submissions by result and lists the failed checks.
func (l *liveReplay) report() liveReport {
	r := liveReport{Trace: l.trace.Header.Name, Speed: l.speed, Submitted: len(l.ordered)}
	durationsByClass := map[descriptor.ClassID][]time.Duration{}
	// missesByKind holds the jobs that failed a check, by kind of check.
	missesByKind := map[string][]string{}
	addMiss := func(kind string, s *submission, reason string) {
		missesByKind[kind] = append(missesByKind[kind], fmt.Sprintf("%s/%s (%s)", s.key.Workspace, s.traceID, reason))
	}
	for _, s := range l.ordered {
		switch {
		case s.refusal != "":
			r.Refused++
			if len(r.Refusals) < maxReportedJobs {
				r.Refusals = append(r.Refusals, fmt.Sprintf("%s/%s: %s", s.key.Workspace, s.traceID, s.refusal))
			}
			if !s.refusedNotRun {
				addMiss("refused without saying that it did not run", s, s.refusal)
			}
		case s.finalStatus == nil:
			r.Unaccounted++
			addMiss("accepted without an end", s, "waited for --drain")
		case s.finalStatus.Result == descriptor.ResultDone:
			r.Done++
			durationsByClass[s.class] = append(durationsByClass[s.class], s.finalStatus.EndedAt.Sub(s.finalStatus.Accepted))
		case s.cancelled:
			r.Cancelled++
		default:
			r.Failed++
			if !s.fails {
				addMiss("ended other than Done", s, string(s.finalStatus.Result)+": "+s.finalStatus.Reason)
			}
		}
	}
	for _, kind := range []string{"refused without saying that it did not run", "accepted without an end", "ended other than Done"} {
		if n := len(missesByKind[kind]); n > 0 {
			r.Misses = append(r.Misses, fmt.Sprintf("%d jobs %s: %s", n, kind, strings.Join(missesByKind[kind][:min(n, maxReportedJobs)], "; ")))
		}
	}
	for _, c := range l.trace.Header.Configuration.Classes {
		durations := durationsByClass[c.Name]
		slices.Sort(durations)
		r.Classes = append(r.Classes, liveClass{Class: c.Name, Done: len(durations), P50: percentile(durations, 0.5), P95: percentile(durations, 0.95), P99: percentile(durations, 0.99)})
	}
	l.checkOutcomes(&r)
	return r
}

// percentile returns the q-quantile of ascending durations by the nearest-rank method, or 0 if there are none.
func percentile(durations []time.Duration, q float64) descriptor.Duration {
	if len(durations) == 0 {
		return 0
	}
	return descriptor.Duration(durations[max(0, int(math.Ceil(q*float64(len(durations))))-1)])
}

// checkOutcomes checks the stated outcomes that are visible from outside the deployment and lists the
// others as not checked. It checks OutcomeUrgentWithinTarget only at speed 1, since at other speeds the completion
// times cannot be compared with the target.
func (l *liveReplay) checkOutcomes(r *liveReport) {
	for _, o := range l.trace.Header.Outcomes {
		switch {
		case o.Name == replayer.OutcomeUnaccounted:
			// Jobs without an end are already listed as misses.
		case o.Name == replayer.OutcomeUrgentWithinTarget && l.speed == 1:
			l.checkUrgentWithinTarget(r, o)
		default:
			r.NotChecked = append(r.NotChecked, o.Name)
		}
	}
}

// checkUrgentWithinTarget checks that the p99 completion time of the outcome's class is within the target of the
// class. The check fails if no job of the class is done, and is skipped if the configuration has no such class.
func (l *liveReplay) checkUrgentWithinTarget(r *liveReport, o replayer.Outcome) {
	reportClassIndex := slices.IndexFunc(r.Classes, func(c liveClass) bool { return c.Class == o.Class })
	configClassIndex := slices.IndexFunc(l.trace.Header.Configuration.Classes, func(c descriptor.Class) bool { return c.Name == o.Class })
	if reportClassIndex < 0 || configClassIndex < 0 {
		return
	}
	target := l.trace.Header.Configuration.Classes[configClassIndex].FinishWithin
	if r.Classes[reportClassIndex].Done == 0 || r.Classes[reportClassIndex].P99 > target {
		r.Misses = append(r.Misses, fmt.Sprintf("outcome %s: %s p99 %v over %d jobs, target %v", o.Name, o.Class, r.Classes[reportClassIndex].P99.TimeDuration(), r.Classes[reportClassIndex].Done, target.TimeDuration()))
	}
}

func printLiveReport(w io.Writer, r liveReport) {
	fmt.Fprintf(w, "Trace %s at speed %g\n\n", r.Trace, r.Speed)
	fmt.Fprintln(w, "SUBMITTED\tREFUSED\tDONE\tFAILED\tCANCELLED\tUNACCOUNTED")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\n\n", r.Submitted, r.Refused, r.Done, r.Failed, r.Cancelled, r.Unaccounted)
	fmt.Fprintln(w, "CLASS\tDONE\tP50\tP95\tP99")
	for _, c := range r.Classes {
		round := func(d descriptor.Duration) time.Duration { return d.TimeDuration().Round(time.Millisecond) }
		fmt.Fprintf(w, "%s\t%d\t%v\t%v\t%v\n", c.Class, c.Done, round(c.P50), round(c.P95), round(c.P99))
	}
	for _, refusal := range r.Refusals {
		fmt.Fprintf(w, "\nrefused %s", refusal)
	}
	if len(r.Refusals) > 0 {
		fmt.Fprintln(w)
	}
	var notChecked []string
	for _, n := range r.NotChecked {
		notChecked = append(notChecked, string(n))
	}
	if len(notChecked) > 0 {
		fmt.Fprintf(w, "\nnot visible from outside: %s\n", strings.Join(notChecked, ", "))
	}
}
