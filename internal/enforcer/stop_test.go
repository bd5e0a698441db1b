package enforcer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// TestNeverStarted guards against a false NeverStarted, after which a job that must run at most once would run again.
// It comes about if the agent has removed the gang after it sent a start, or if the stop names another incarnation,
// which may have sent one. The test also checks that a hold after the stop is refused. It fails without the check of
// StopRequest.Agent in stopUnknownAttempt for an attempt without a record, and without attemptRecord.startSent.
func TestNeverStarted(t *testing.T) {
	ref := messenger.GangAttempt{Key: descriptor.JobKey{Workspace: "w", Job: "j"}, Attempt: 1, Epoch: 1}
	hold := messenger.HoldRequest{Gang: ref, Tasks: []int{0}, Members: 1, NonIdempotent: true, PerTask: descriptor.Resources{Cores: 1}}
	cases := []struct {
		name  string
		agent string
		steps func(e *Enforcer)
		want  bool
	}{
		{"unknown attempt", "run1", func(*Enforcer) {}, true},
		{"unknown attempt, stop for another incarnation", "run0", func(*Enforcer) {}, false},
		{"held only", "run1", func(e *Enforcer) { _, _ = e.Hold(hold) }, true},
		{"start sent, gang removed", "run1", func(e *Enforcer) {
			_, _ = e.Hold(hold)
			_, _ = e.Commit(messenger.GangRequest{Gang: ref})
			_, _ = e.Start(context.Background(), messenger.GangRequest{Gang: ref})
			_, _ = e.Stop(context.Background(), messenger.StopRequest{Gang: ref, Agent: "run1"})
			e.Acknowledge([]messenger.GangAttempt{ref})
			e.Tick(e.Now())
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			e := &Enforcer{
				Agent: "run1",
				Now:   func() time.Time { return now },
				Worker: WorkerCalls{
					Start: func(context.Context, TaskStart) error { return nil },
					Stop:  func(context.Context, string) error { return nil },
				},
			}
			e.Adopt(testWorker, nil)
			now = now.Add(AdoptionDelay)
			e.SetPermit(messenger.Permit{Revision: 1, ValidFor: 2 * time.Second}, now)
			tc.steps(e)
			a, err := e.Stop(context.Background(), messenger.StopRequest{Gang: ref, Agent: tc.agent})
			assert.NilError(t, err)
			assert.Equal(t, a.NeverStarted, tc.want)
			_, err = e.Hold(hold)
			assert.ErrorIs(t, err, ErrStaleAttempt)
		})
	}
}
