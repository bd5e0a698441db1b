package scheduler

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

// SetReachable tells whether new attempts may be placed on a worker.
func (c *Core) SetReachable(id descriptor.WorkerID, reachable bool, now time.Time) {}

// Resubmit is Submit for a job that had attempts in an earlier term.
func (c *Core) Resubmit(job descriptor.Job, accepted time.Time, last descriptor.Attempt, now time.Time) error {
	return c.Submit(job, accepted, now)
}

// String returns the name of the kind.
func (k DecisionKind) String() string {
	return [...]string{"Start", "Reclaim", "Stop", "End"}[k]
}
