package planner

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

// discardCause says why an attempt ended without success. It is a label of the metric of discarded work.
type discardCause string

const (
	causeEnded      discardCause = "WorkloadEnded"
	causeGang       discardCause = "GangIncomplete"
	causeStalled    discardCause = "Stalled"
	causeSlow       discardCause = "Slow"
	causeDraining   discardCause = "Draining"
	causePreempted  discardCause = "Preempted"
	causeWorkerLost discardCause = "WorkerLost"
	causeFailed     discardCause = "Failed"
	causeHold       discardCause = "HoldExpired"
	causeGangEnded  discardCause = "GangMemberEnded"
	causeGangAlone  discardCause = "GangTimeout"
	causeRefused    discardCause = "Refused"
)

// causeOfOutcome holds the cause for the outcomes of attempts that no stop was ordered for.
var causeOfOutcome = map[descriptor.Outcome]discardCause{
	descriptor.OutcomeFailed: causeFailed, descriptor.OutcomeStopped: causeWorkerLost, descriptor.OutcomeLeaseExpired: causeHold,
	descriptor.OutcomeGangEnded: causeGangEnded, descriptor.OutcomeGangTimeout: causeGangAlone,
	descriptor.OutcomeRefused: causeRefused,
}

// gangRun identifies one attempt of a gang as a whole.
type gangRun struct {
	occurrence, step, attempt int
}

func (r *attempt) gangRun() gangRun {
	return gangRun{r.id.Task.Occurrence, r.id.Task.Step, r.id.Attempt}
}

// noteGangEnd records why a gang ended, unless it is known already. cause is that of r, its first member to end.
func (r *attempt) noteGangEnd(cause discardCause) {
	if r.job == nil || !r.job.step(r.id.Task.Step).Gang {
		return
	}
	if _, ok := r.job.gangEnds[r.gangRun()]; ok {
		return
	}
	if r.job.gangEnds == nil {
		r.job.gangEnds = map[gangRun]discardCause{}
	}
	r.job.gangEnds[r.gangRun()] = cause
}

// gangCause returns the cause for stopping a member of a gang that is incomplete: that of the first member to end.
func (r *attempt) gangCause() discardCause {
	if cause, ok := r.job.gangEnds[r.gangRun()]; ok && cause != causeGang {
		return causeGang + discardCause("After") + cause
	}
	return causeGang
}

// unsavedTime estimates the work time that is lost when the attempt ends now without a checkpoint of its own: the time
// since the last checkpoint, or without checkpoints since the start.
func (r *attempt) unsavedTime(checkpointInterval time.Duration, now time.Time) time.Duration {
	if !r.confirmed {
		return 0
	}
	lost := now.Sub(r.started)
	if r.job.step(r.id.Task.Step).SavesProgress {
		lost = min(lost, checkpointInterval)
	}
	return lost
}

// timeLostByStop estimates the time that stopping the attempt costs. A stop saves a checkpoint if the step saves its
// progress, so that only the restore is lost.
func (r *attempt) timeLostByStop(restoreTime time.Duration, now time.Time) time.Duration {
	switch {
	case !r.confirmed:
		return 0
	case r.job.step(r.id.Task.Step).SavesProgress:
		return restoreTime
	}
	return now.Sub(r.started)
}

// noteDiscarded reports the work that an attempt loses. An ordered stop goes before the cause given.
func (c *Core) noteDiscarded(r *attempt, cause discardCause, now time.Time) {
	if r.stopCause != "" {
		cause = r.stopCause
	}
	r.noteGangEnd(cause)
	if c.Discarded == nil || r.job == nil {
		return
	}
	lost := r.unsavedTime(c.Limits.CheckpointInterval, now)
	if r.stopCause != "" {
		lost = r.timeLostByStop(c.Limits.RestoreTime, now)
	}
	c.Discarded(string(cause), r.need.CoreSeconds(lost))
}
