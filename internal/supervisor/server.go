package supervisor

import (
	"context"
	"fmt"
	"time"

	"persimmontrail/internal/messenger"
)

const (
	// startTimeout bounds how long the answer to a Start message waits for the worker. Later results are sent in reports.
	startTimeout = 2 * time.Second
	// stopTimeoutMargin is how long handling a Stop message may take beyond the grace period of the message.
	stopTimeoutMargin = 3 * time.Second
)

// handle answers one message from an entry. Refusals of the gang protocol are sent as answers and not as errors.
func (a *agent) handle(ctx context.Context, role messenger.Role, kind messenger.Kind, decode func(v any) error) (any, error) {
	if role != messenger.RoleEntry {
		return nil, fmt.Errorf("%w: role %q", ErrRole, role)
	}
	switch kind {
	case messenger.KindHold:
		return decodeAndHandle(decode, func(m messenger.HoldRequest) any { return withoutError(a.enforcer.Hold(m)) })
	case messenger.KindCommit:
		return decodeAndHandle(decode, func(m messenger.GangRequest) any { return withoutError(a.enforcer.Commit(m)) })
	case messenger.KindStart:
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		return decodeAndHandle(decode, func(m messenger.GangRequest) any { return withoutError(a.enforcer.Start(ctx, m)) })
	case messenger.KindConfirm:
		return decodeAndHandle(decode, func(m messenger.GangRequest) any { return withoutError(a.enforcer.Confirm(m)) })
	case messenger.KindStop:
		return decodeAndHandle(decode, func(m messenger.StopRequest) any {
			ctx, cancel := context.WithTimeout(ctx, max(m.Grace, 0)+stopTimeoutMargin)
			defer cancel()
			return withoutError(a.enforcer.Stop(ctx, m))
		})
	case messenger.KindServe:
		return decodeAndHandle(decode, func(m messenger.ServeRequest) any { return a.enforcer.Serve(ctx, m) })
	case messenger.KindOutcome:
		return decodeAndHandle(decode, func(m messenger.OutcomeQuery) any { return a.enforcer.QueryOutcome(ctx, m) })
	default:
		return nil, fmt.Errorf("agents do not handle %q", kind)
	}
}

func decodeAndHandle[M any](decode func(v any) error, f func(m M) any) (any, error) {
	var m M
	if err := decode(&m); err != nil {
		return nil, err
	}
	return f(m), nil
}

// withoutError drops the error, whose text the answer contains as the refusal.
func withoutError(a messenger.GangAnswer, _ error) messenger.GangAnswer { return a }
