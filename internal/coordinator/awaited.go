package coordinator

import (
	"slices"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	// claimMargin allows for clocks of entries that differ, when a claim of
	// another entry is compared with what this one has heard.
	claimMargin = time.Second
	// claimMemory is how long after a claim agents surely remember its attempt. They keep attempts for 10 minutes.
	claimMemory = 9 * time.Minute
)

// sweepAwaited settles the jobs that run at most once, were claimed in an
// earlier term, and that no agent reports. The claim is made before the first
// Start, so such a job may never have started. It is queued again when every
// agent says so, and ends as unknown when that cannot be found out.
func (d *schedulingDuty) sweepAwaited(t *termState, now time.Time) {
	if now.Sub(t.began) < adoptionTime || len(t.awaited) == 0 {
		return
	}
	for _, k := range sortedKeys(t.awaited) {
		r, ok := d.entry.jobs.get(k)
		switch {
		case !ok || t.gangs[k] != nil || t.orphans[k] != nil:
		case now.Sub(t.began) > lostLimit:
			delete(t.awaited, k)
			d.end(t, k, descriptor.ResultUnknown, "the job runs at most once, was claimed, and its agents cannot say whether it started")
		default:
			d.askWhetherStarted(t, r, now)
		}
	}
}

func sortedKeys(set map[descriptor.JobKey]bool) []descriptor.JobKey {
	keys := make([]descriptor.JobKey, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// askWhetherStarted asks every agent of the region to stop the claimed attempt.
// An agent that answers NeverStarted refuses it from then on. The answers are
// complete only if no agent that was there at the claim is gone.
func (d *schedulingDuty) askWhetherStarted(t *termState, r keeper.JobRecord, now time.Time) {
	k := r.Job.Key()
	claimed := r.ClaimedAt.Add(-claimMargin)
	agents, complete := d.entry.agents.allHeardSince(claimed, now)
	isRecent := now.Sub(r.ClaimedAt) < claimMemory
	if !complete || !isRecent || !d.entry.startedAt.Before(claimed) || t.asking[k] {
		return
	}
	t.asking[k] = true
	g := &gang{ref: messenger.GangRef{Key: k, Attempt: r.Attempt, Epoch: t.epoch}, job: r.Job}
	for _, a := range agents {
		g.members = append(g.members, member{agent: a.report.Agent, address: a.report.Address, worker: workerOf(a)})
	}
	d.background.Go(func() {
		never := d.stopGang(t.ctx, g, 0, "claimed by an earlier scheduler and not started")
		d.commands <- func() {
			if d.running == t {
				d.settleAwaited(t, r, never)
			}
		}
	})
}

// settleAwaited queues a job again that never started.
func (d *schedulingDuty) settleAwaited(t *termState, r keeper.JobRecord, neverStarted bool) {
	k := r.Job.Key()
	if !neverStarted || !t.awaited[k] || t.gangs[k] != nil {
		return
	}
	d.entry.audit("job "+k.String(), "claim released", "every agent says that the attempt never started")
	delete(t.awaited, k)
	delete(t.submitted, k)
	d.records.add(k, func(now *keeper.JobRecord) error {
		if now.State != keeper.JobRunning || now.Attempt != r.Attempt || now.Epoch != r.Epoch {
			return errAlreadyEnded
		}
		now.State = keeper.JobQueued
		return nil
	})
}
