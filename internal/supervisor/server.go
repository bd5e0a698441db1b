package supervisor

import (
	"context"
	"fmt"
	"time"

	"persimmontrail/internal/messenger"
)

const (
	// startWait bounds how long a Start waits for the worker; reports tell the rest.
	startWait = 2 * time.Second
	// stopWait bounds how long a Stop waits beyond its grace.
	stopWait = 3 * time.Second
)

// handle answers one message from an entry. Refusals of the gang protocol are answers, not errors.
func (a *agent) handle(ctx context.Context, role messenger.Role, kind messenger.Kind, decode func(v any) error) (any, error) {
	if role != messenger.RoleEntry {
		return nil, fmt.Errorf("%w: role %q", ErrRole, role)
	}
	switch kind {
	case messenger.KindHold:
		return with(decode, func(m messenger.Hold) any { return first(a.enforcer.Hold(m)) })
	case messenger.KindCommit:
		return with(decode, func(m messenger.GangStep) any { return first(a.enforcer.Commit(m)) })
	case messenger.KindStart:
		ctx, cancel := context.WithTimeout(ctx, startWait)
		defer cancel()
		return with(decode, func(m messenger.GangStep) any { return first(a.enforcer.Start(ctx, m)) })
	case messenger.KindConfirm:
		return with(decode, func(m messenger.GangStep) any { return first(a.enforcer.Confirm(m)) })
	case messenger.KindStop:
		return with(decode, func(m messenger.Stop) any {
			ctx, cancel := context.WithTimeout(ctx, max(m.Grace, 0)+stopWait)
			defer cancel()
			return first(a.enforcer.Stop(ctx, m))
		})
	case messenger.KindServe:
		return with(decode, func(m messenger.Serve) any { return a.enforcer.Serve(ctx, m) })
	case messenger.KindOutcome:
		return with(decode, func(m messenger.OutcomeQuery) any { return a.enforcer.Outcome(ctx, m) })
	default:
		return nil, fmt.Errorf("agents do not handle %q", kind)
	}
}

func with[M any](decode func(v any) error, f func(m M) any) (any, error) {
	var m M
	if err := decode(&m); err != nil {
		return nil, err
	}
	return f(m), nil
}

func first(a messenger.GangAnswer, _ error) messenger.GangAnswer { return a }
