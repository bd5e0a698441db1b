package soaker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// unreadCloseTime is the time after a request was sent in which a stopping entry may close the connection without
	// having read the request.
	unreadCloseTime = 200 * time.Millisecond
	// maxCancelTime is the longest time after a cancellation at which the platform allows tasks of the job to start.
	maxCancelTime = 3 * time.Second
)

// checker records what the callers observe and checks it against the system's promises.
type checker struct {
	stopRequests stopRequests

	mu          sync.Mutex
	submissions []*submission
	violations  []string
}

// stopRequests records when each entry was told to stop gracefully, with SIGTERM.
type stopRequests struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

// record adds the current time to the stop requests of the named entry.
func (s *stopRequests) record(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = map[string][]time.Time{}
	}
	s.times[name] = append(s.times[name], time.Now())
}

// requestedWithin reports whether the named entry was told to stop less than duration before until.
func (s *stopRequests) requestedWithin(name string, until time.Time, duration time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.times[name] {
		if !at.After(until) && until.Sub(at) < duration {
			return true
		}
	}
	return false
}

// addSubmission registers a job for the check at the end of the run.
func (ck *checker) addSubmission(s *submission) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.submissions = append(ck.submissions, s)
}

// addViolation records a promise that did not hold. It does not end the run.
func (ck *checker) addViolation(format string, args ...any) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.violations = append(ck.violations, fmt.Sprintf(format, args...))
}

// checkLostAnswer checks a call that ended without a complete answer. Other faults may cut any call, so only a graceful
// stop without another fault is checked: it must not cut a call that the entry has read. Calls that were not sent,
// ended within unreadCloseTime after they were sent, or reached callTimeout are not checked.
func (ck *checker) checkLostAnswer(dp *deployment, e *entry, call string, startedAt, sentAt time.Time, err error) {
	now := time.Now()
	if sentAt.IsZero() || now.Sub(sentAt) < unreadCloseTime || now.Sub(startedAt) >= callTimeout || !ck.stopRequests.requestedWithin(e.name, now, stopGrace+time.Second) {
		return
	}
	if e.hasOtherFault(now) || !dp.storeFaultHistory.faultFree(startedAt.Add(-faultFreeTime), now) {
		return
	}
	ck.addViolation("%s at %s was cut %v after it was sent, while the entry stopped in order: %v", call, e.name, now.Sub(sentAt), err)
}

// hasOtherFault reports whether an entry that was told to stop also had another fault. It counts the faults that ended
// less than stopGrace + faultFreeTime before now or have not ended; one of them is the stop.
func (e *entry) hasOtherFault(now time.Time) bool {
	e.faultHistory.mu.Lock()
	defer e.faultHistory.mu.Unlock()
	count := 0
	for _, i := range e.faultHistory.intervals {
		if i.to.After(now.Add(-stopGrace - faultFreeTime)) {
			count++
		}
	}
	return count > 1
}

// result checks the promises that depend on the whole run and returns the result of the run. It is called once, after
// the callers, the operator and the faults have ended.
func (ck *checker) result(dp *deployment, injected []string) Result {
	summary := Result{Seed: dp.Seed, Faults: injected}
	dp.monitor.summarize(&summary)
	starts := dp.fleet.Starts()
	summary.Attempts = len(starts)
	lastStarts := map[descriptor.JobID]time.Time{}
	for _, s := range starts {
		lastStarts[s.Attempt.Task.Job] = s.At
	}
	ck.mu.Lock()
	defer ck.mu.Unlock()
	for _, s := range ck.submissions {
		switch {
		case s.refused:
			summary.Refused++
			if _, ok := lastStarts[s.job.ID]; ok {
				ck.violations = append(ck.violations, fmt.Sprintf("job %s was refused each time and has run", s.job.ID))
			}
		case s.acceptedAt.IsZero():
		default:
			summary.Accepted++
			ck.violations = append(ck.violations, s.violations(dp)...)
			if s.state == "done" {
				summary.Done++
			}
		}
	}
	ck.violations = append(ck.violations, dp.lateStarts()...)
	for _, e := range dp.entries {
		ck.violations = append(ck.violations, e.listUnexpectedExits()...)
	}
	for _, a := range dp.agents {
		ck.violations = append(ck.violations, a.listUnexpectedExits()...)
	}
	summary.Violations = slices.Concat(summary.Violations, ck.violations, dp.fleet.Violations())
	return summary
}

// violations returns the violations for an accepted job. Unless its cancellation was requested, a job must be done if
// its tasks do not always fail, or have failed after all attempts of a task were used up.
func (s *submission) violations(dp *deployment) []string {
	switch {
	case s.cancelRequested || s.state == "done" && !s.job.Fails:
		return nil
	case s.state == "failed" && dp.fleet.AttemptsExhausted(s.job.ID):
		return nil
	}
	return []string{fmt.Sprintf("accepted job %s, which fails by itself: %v, was last seen as %q", s.job.ID, s.job.Fails, s.state)}
}

// lateStarts describes the starts of tasks of a cancelled job more than maxCancelTime after the cancellation, and in an
// evacuated failure domain more than maxEvacuateTime after the evacuation began. It leaves out a start if any part of
// the deployment had a fault in the period from faultFreeTime before the event to the start.
func (dp *deployment) lateStarts() []string {
	var violations []string
	hadFault := func(from, to time.Time) bool {
		faultFree := dp.storeFaultHistory.faultFree(from, to)
		for _, e := range dp.entries {
			faultFree = faultFree && e.faultHistory.faultFree(from, to)
		}
		for _, a := range dp.agents {
			faultFree = faultFree && a.faultHistory.faultFree(from, to)
		}
		return !faultFree
	}
	cancelled := map[descriptor.JobID]time.Time{}
	for _, s := range dp.checker.submissions {
		if !s.cancelledAt.IsZero() {
			cancelled[s.job.ID] = s.cancelledAt
		}
	}
	for _, start := range dp.fleet.Starts() {
		if at, ok := cancelled[start.Attempt.Task.Job]; ok && start.At.Sub(at) > maxCancelTime && !hadFault(at.Add(-faultFreeTime), start.At) {
			violations = append(violations, fmt.Sprintf("%v started %v after its cancelling", start.Attempt, start.At.Sub(at)))
		}
		for _, e := range dp.operator.evacuations {
			if start.FailureDomain == e.failureDomain && start.At.Sub(e.from) > maxEvacuateTime && start.At.Before(e.to) && !hadFault(e.from.Add(-faultFreeTime), start.At) {
				violations = append(violations, fmt.Sprintf("%v started on %s %v after its failure domain was taken out", start.Attempt, start.VM, start.At.Sub(e.from)))
			}
		}
	}
	return violations
}
