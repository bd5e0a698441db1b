package admitter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"persimmontrail/internal/archiver"
	"persimmontrail/internal/planner"
	"persimmontrail/pkg/descriptor"
)

const (
	// typicalOutage is the usual duration of a store outage. A refused caller is told to retry when an outage that began
	// at the last contact with the store would be over.
	typicalOutage = 4 * time.Second
	// minRetryAfter is the shortest retry delay that a refused caller is told.
	minRetryAfter = time.Second
	// retrySpread is how much shorter than the longest a retry delay may be. Callers that were refused at different moments
	// of an outage would else all return when it is expected to end. It spans two of the whole seconds that callers are told.
	retrySpread = 2 * time.Second
	// retriesBeforeDeadline is the number of retries for which the caller's timeout must leave time: the retry delay is
	// at most the timeout divided by it, unless that is below minRetryAfter. The cap is needed because some outages are
	// shorter than typicalOutage.
	retriesBeforeDeadline = 3
	// answerMargin is the part of a call's timeout reserved for delivering the reply; callers are 1 to 3 ms away.
	answerMargin = 30 * time.Millisecond
	// minSubmitTime is the shortest time left to the deadline with which a write is tried. It covers a round trip between
	// regions and the store's response.
	minSubmitTime = 60 * time.Millisecond
)

// Action is the operation that a call requests.
type Action string

// ActionCount concerns a queue; the other actions concern the workload whose ID is in Call.Workload.
const (
	ActionSubmit Action = "Submit"
	ActionState  Action = "State"
	ActionCancel Action = "Cancel"
	// ActionCount counts the waiting workloads of a queue.
	ActionCount Action = "Count"
)

// Call is a request of a caller, as received by an entry or forwarded between entries.
type Call struct {
	Action Action
	Caller Caller
	// Workload is the submitted workload, to which Submit adds the queue's settings. Other actions use only its ID.
	Workload descriptor.Workload
	Timeout  time.Duration
	// Forwarded is true if another entry forwarded the call. Such a call is not forwarded again.
	Forwarded bool
	// Config is the highest configuration revision known to the entry that forwarded the call.
	Config archiver.Revision
}

// Code is the outcome of a call.
type Code string

// CodeDone means that the call succeeded. CodeNoQueue, CodeNoKey, CodeNoJob and CodeInvalid stand for the errors of the
// same names.
const (
	CodeDone    Code = "Done"
	CodeNoQueue Code = "NoQueue"
	CodeNoKey   Code = "NoKey"
	CodeNoJob   Code = "NoJob"
	CodeInvalid Code = "Invalid"
	// CodeRefused means that the call had no effect and will have none later.
	CodeRefused Code = "Refused"
	// CodeUnknown means that the call may have taken effect or may do so later.
	CodeUnknown Code = "Unknown"
	// CodeLocalFailure means that this entry cannot serve the call, but another one might. The call had no effect.
	CodeLocalFailure Code = "Local"
)

// Reply answers a call.
type Reply struct {
	Code   Code
	Reason string
	// State is the result of ActionState.
	State planner.JobState
	// Waiting is the result of ActionCount.
	Waiting int
	// Repeated is true if an earlier submission had already been accepted under the same id.
	Repeated bool
	// Config is the highest configuration revision held by the answering entry or by the entry to which it forwarded the
	// call.
	Config archiver.Revision
	// RetryAfter is how long the caller of a refused call should wait before it retries.
	RetryAfter time.Duration
}

// errorCodes maps errors to codes. For an error that matches several entries, the first one is used.
var errorCodes = []struct {
	err  error
	code Code
}{
	{ErrOutcomeUnknown, CodeUnknown},
	{ErrNoQueue, CodeNoQueue},
	{ErrNoKey, CodeNoKey},
	{ErrNoJob, CodeNoJob},
	{ErrInvalid, CodeInvalid},
	{ErrStoreUnreachable, CodeLocalFailure},
	{ErrConfigurationChanged, CodeLocalFailure},
	{ErrRefused, CodeRefused},
}

func errorReply(err error) Reply {
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			return Reply{Code: c.code, Reason: err.Error()}
		}
	}
	return Reply{Code: CodeRefused, Reason: err.Error()}
}

// Serve answers a call within its timeout. If this entry cannot serve the call or does not know its outcome, it
// forwards the call to other entries, unless the call was forwarded to it.
func (a *Admitter) Serve(ctx context.Context, c Call) Reply {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout-answerMargin)
	defer cancel()
	var r Reply
	servedBy := "here"
	if c.Action == ActionSubmit && c.Timeout < answerMargin+minSubmitTime {
		// A write would be cut short, so its outcome would be unknown.
		r = Reply{Code: CodeRefused, Reason: "too little time left to try"}
	} else {
		r = a.serveLocally(ctx, c, false)
	}
	if (r.Code == CodeLocalFailure || r.Code == CodeUnknown) && !c.Forwarded {
		r, servedBy = a.serveByPeers(ctx, c, r)
	}
	if r.Code == CodeRefused {
		r.RetryAfter = retryDelay(time.Since(a.Documents.Confirmed()), c.Timeout, rand.Float64())
	}
	return a.report(c, r, start, servedBy)
}

// Precheck resolves a call before its workload is known. It returns the final reply if the newest configuration has no
// such queue or key, and otherwise the workspace, which is empty if the call does not name one or cannot be resolved
// here.
func (a *Admitter) Precheck(ctx context.Context, c Call) (descriptor.WorkspaceID, Reply, bool) {
	if t, err := a.lookUpTarget(c.Caller); err == nil {
		return t.Workspace, Reply{}, false
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout-answerMargin)
	defer cancel()
	t, err := a.Resolve(ctx, c.Caller)
	if errors.Is(err, ErrNoQueue) || errors.Is(err, ErrNoKey) {
		return "", a.report(c, errorReply(err), start, "here"), true
	}
	return t.Workspace, Reply{}, false
}

// report adds the configuration's revision to a reply, and logs and counts the call.
func (a *Admitter) report(c Call, r Reply, start time.Time, servedBy string) Reply {
	_, revision := a.Plan.Current()
	r.Config = max(r.Config, revision)
	a.Metrics.ObserveDuration("call_seconds", time.Since(start), "action", string(c.Action), "code", string(r.Code))
	a.Log.Info("call", "action", c.Action, "job", c.Workload.ID, "code", r.Code, "reason", r.Reason, "state", r.State,
		"repeated", r.Repeated, "where", servedBy, "forwarded", c.Forwarded, "config", revision,
		"config_age", time.Since(a.PlanConfirmedAt()).Round(time.Millisecond),
		"documents_age", time.Since(a.Documents.Confirmed()).Round(time.Millisecond), "took", time.Since(start).Round(time.Microsecond))
	return r
}

// retryDelay returns the retry delay of a refused caller by the time since the last contact with the store, the timeout of
// the call, and a random number from 0 to 1.
func retryDelay(sinceContact, timeout time.Duration, random float64) time.Duration {
	longest := min(typicalOutage-sinceContact, timeout/retriesBeforeDeadline)
	return max(longest-time.Duration(random*float64(retrySpread)), minRetryAfter)
}

// maxPlanChecks bounds how many times a call is checked against the configuration, which may change during the call.
const maxPlanChecks = 6

// errOtherTarget means that a job, or the path of a call, does not belong to the queue and workspace that the call has
// resolved to. That is final only by the newest configuration.
var errOtherTarget = errors.New("belongs to another queue or workspace")

// serveLocally answers a call from the store and the mirrors, without other entries. With allowStale it accepts a
// target from a configuration that may be outdated.
func (a *Admitter) serveLocally(ctx context.Context, c Call, allowStale bool) Reply {
	var err error
	for range maxPlanChecks {
		var t Target
		t, err = a.Resolve(ctx, c.Caller)
		if err != nil && !(allowStale && errors.Is(err, ErrStoreUnreachable) && t.Queue != nil) {
			return errorReply(err)
		}
		var r Reply
		r, err = a.perform(ctx, c, t)
		switch {
		case err == nil:
			return r
		case errors.Is(err, errOtherTarget):
			if refreshErr := a.refreshPlan(ctx); refreshErr != nil {
				return errorReply(errors.Join(ErrStoreUnreachable, refreshErr))
			}
			if _, newest := a.Plan.Current(); newest == t.Revision {
				return errorReply(err)
			}
		case !errors.Is(err, ErrConfigurationChanged):
			return errorReply(err)
		}
	}
	return errorReply(err)
}

// perform carries out a call on its resolved target. The path after the queue's prefix must be the workload's id. Only
// for ActionCount may both be empty.
func (a *Admitter) perform(ctx context.Context, c Call, t Target) (Reply, error) {
	id := c.Workload.ID
	if string(id) != t.PathSuffix || c.Action != ActionCount && id == "" {
		if c.Action == ActionSubmit {
			return Reply{}, fmt.Errorf("%w: the path must be the queue's prefix and the job's id: %w", ErrInvalid, errOtherTarget)
		}
		return Reply{}, errors.Join(ErrNoJob, errOtherTarget)
	}
	if c.Action != ActionSubmit && c.Action != ActionCount && !descriptor.ValidWorkloadID(id) {
		// The store rejects keys with some of these ids, which must not look like an outage.
		return Reply{}, ErrNoJob
	}
	switch c.Action {
	case ActionSubmit:
		v, err := a.Submit(ctx, t, c.Workload)
		return Reply{Code: CodeDone, Repeated: v.Repeated}, err
	case ActionState:
		s, err := a.State(ctx, t, id)
		return Reply{Code: CodeDone, State: s}, err
	case ActionCancel:
		return Reply{Code: CodeDone}, a.Cancel(ctx, t, id)
	case ActionCount:
		if time.Since(a.Documents.Confirmed()) > maxDocumentAge {
			return Reply{}, ErrStoreUnreachable
		}
		return Reply{Code: CodeDone, Waiting: a.CountWaiting(t)}, nil
	}
	return Reply{}, fmt.Errorf("%w: action %q", ErrInvalid, c.Action)
}
