package coordinator

import (
	"slices"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	// clockSkewMargin allows for differences between the clocks of entries when the time of another entry's claim is
	// compared with local times.
	clockSkewMargin = time.Second
	// maxClaimAge is the age of a claim up to which agents can say whether the claimed attempt started. It is shorter
	// than the 10 minutes for which they keep attempts.
	maxClaimAge = 9 * time.Minute
)

// sweepAwaited resolves the non-idempotent jobs that were claimed in an earlier term and that no agent reports. The
// claim precedes the first Start message, so such a job may never have started. It is queued again if every agent
// confirms that it did not, and ends as Unknown if that is not confirmed within lostTimeout from the start of the term.
func (d *schedulingDuty) sweepAwaited(t *termState, now time.Time) {
	if now.Sub(t.startedAt) < adoptionDelay || len(t.awaited) == 0 {
		return
	}
	for _, k := range sortedKeys(t.awaited) {
		r, ok := d.entry.jobs.get(k)
		switch {
		case !ok || t.gangs[k] != nil || t.orphans[k] != nil:
			// The job is no longer cached, or agents report its attempt after all.
		case now.Sub(t.startedAt) > lostTimeout:
			delete(t.awaited, k)
			d.endJob(t, k, descriptor.ResultUnknown, "the job runs at most once, was claimed, and its agents cannot say whether it started")
		default:
			d.queryAwaited(t, r, now)
		}
	}
}

// sortedKeys returns the keys of a set in the order of compareKeys.
func sortedKeys(set map[descriptor.JobKey]bool) []descriptor.JobKey {
	keys := make([]descriptor.JobKey, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// queryAwaited asks every agent of the region, once in each term, to stop the claimed attempt. An agent that answers
// NeverStarted rejects the attempt from then on. The answers are conclusive only if every agent that was present at the
// time of the claim still reports, this entry already ran then, and the claim is younger than maxClaimAge; otherwise
// queryAwaited does nothing.
func (d *schedulingDuty) queryAwaited(t *termState, r keeper.JobRecord, now time.Time) {
	k := r.Job.Key()
	earliestClaim := r.ClaimedAt.Add(-clockSkewMargin)
	agents, complete := d.entry.agents.reportingSince(earliestClaim, now)
	isRecent := now.Sub(r.ClaimedAt) < maxClaimAge
	if !complete || !isRecent || !d.entry.startedAt.Before(earliestClaim) || t.queried[k] {
		return
	}
	t.queried[k] = true
	g := &gang{ref: messenger.GangAttempt{Key: k, Attempt: r.Attempt, Epoch: t.epoch}, job: r.Job}
	for _, a := range agents {
		g.members = append(g.members, member{agent: a.report.Agent, address: a.report.Address, worker: workerOf(a)})
	}
	d.background.Go(func() {
		neverStarted := d.stopGang(t.ctx, g, 0, "claimed by an earlier scheduler and not started")
		d.commands <- func() {
			if d.currentTerm == t {
				d.handleAwaitedResult(t, r, neverStarted)
			}
		}
	})
}

// handleAwaitedResult queues an awaited job again if its claimed attempt never started.
func (d *schedulingDuty) handleAwaitedResult(t *termState, r keeper.JobRecord, neverStarted bool) {
	k := r.Job.Key()
	if !neverStarted || !t.awaited[k] || t.gangs[k] != nil {
		return
	}
	d.entry.audit("job "+k.String(), "claim released", "every agent says that the attempt never started")
	delete(t.awaited, k)
	delete(t.submitted, k)
	d.recordWriter.enqueue(k, func(current *keeper.JobRecord) error {
		if current.State != keeper.JobRunning || current.Attempt != r.Attempt || current.Epoch != r.Epoch {
			return errAlreadyEnded
		}
		current.State = keeper.JobQueued
		return nil
	})
}
