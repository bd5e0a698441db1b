package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmontrail/internal/dispatcher"
	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/pkg/validator"
)

const (
	// claimTimeout bounds one access to a claim in the store. A request whose claim is not written in time is not sent;
	// it is answered NotRun, or Unknown if the caller says that it repeats an earlier request.
	claimTimeout = 2 * time.Second
	// outcomeTimeout is the time that resolveClaim allows for its outcome queries beyond the time for which the agent
	// waits for the outcome.
	outcomeTimeout = time.Second
	// linkLatency is the one-way network delay between regions.
	linkLatency = 12 * time.Millisecond
	// linkBytesPerSecond is the bandwidth that requests may use of the 30 Mbit/s link between regions: a quarter.
	linkBytesPerSecond = 30e6 / 8 / 4
)

// tryFailure describes why a try to serve a request at one endpoint or in one region gave no successful answer.
type tryFailure struct {
	reason string
	// notRun is true if the request certainly did not run there and will not.
	notRun bool
}

// serve serves a request within the deadline of its class, or that of ctx if it is earlier, and returns the answer for
// the caller. In a graceful shutdown, the request is also cancelled at the end of drainTimeout. forwarded is true if an
// entry of another region forwarded the request, which is then not forwarded again.
func (e *Entry) serve(ctx context.Context, request descriptor.Request, class descriptor.Class, forwarded bool) messenger.ServeAnswer {
	began := e.now()
	deadline := began.Add(class.FinishWithin.TimeDuration())
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer context.AfterFunc(e.drainCtx, cancel)()
	e.inFlight.Add(1)
	defer e.inFlight.Done()

	var a messenger.ServeAnswer
	if class.NonIdempotent {
		a = e.serveAtMostOnce(ctx, request, class, deadline)
	} else {
		a = e.serveWithRetries(ctx, request, class, deadline, forwarded)
	}
	a.Workspace, a.Request = request.Workspace, request.ID
	e.metrics.ObserveCompletion("request", request.Workspace, request.Class, a.Result, e.now().Sub(began))
	if a.Result != descriptor.ResultDone {
		e.audit("request "+string(request.Workspace)+"/"+string(request.ID), string(a.Result), a.Reason)
	}
	return a
}

func routeRequestOf(request descriptor.Request, deadline time.Time, tried []string) dispatcher.RouteRequest {
	return dispatcher.RouteRequest{
		Class:     request.Class,
		Workspace: request.Workspace,
		Deadline:  deadline,
		Tried:     tried,
		Bytes:     int64(len(request.Body)),
	}
}

// serveWithRetries serves an idempotent request. If one endpoint gives no successful answer, the request is retried at
// another within the deadline and the retry budget. Unless it was forwarded to this entry, it may be forwarded once to
// another region.
func (e *Entry) serveWithRetries(ctx context.Context, request descriptor.Request, class descriptor.Class, deadline time.Time, forwarded bool) messenger.ServeAnswer {
	var tried []string
	mayHaveRun := false
	for {
		routeRequest := routeRequestOf(request, deadline, tried)
		if !forwarded {
			a, sent, failure := e.forward(ctx, request, routeRequest, deadline)
			if sent && failure == nil {
				return a
			}
			// A request is forwarded only once, so that a failure of all endpoints does not saturate the link.
			forwarded = sent
			mayHaveRun = mayHaveRun || sent && !failure.notRun
		}
		choice, err := e.router.Acquire(ctx, routeRequest)
		if err != nil {
			return unresolvedAnswer(mayHaveRun, err.Error())
		}
		a, failure := e.tryEndpoint(ctx, choice, request, class, deadline)
		if failure == nil {
			return a
		}
		mayHaveRun = mayHaveRun || !failure.notRun
		tried = append(tried, choice.Agent)
		if ctx.Err() != nil {
			return unresolvedAnswer(mayHaveRun, "deadline reached: "+failure.reason)
		}
		if !e.router.SpendRetry(e.now()) {
			return unresolvedAnswer(mayHaveRun, "retry budget spent: "+failure.reason)
		}
		e.metrics.Increment("request_retries_total", "class", string(class.Name))
	}
}

// unresolvedAnswer returns the answer to a request without an outcome: Unknown if it may have run, NotRun otherwise.
func unresolvedAnswer(mayHaveRun bool, reason string) messenger.ServeAnswer {
	if mayHaveRun {
		return messenger.ServeAnswer{Result: descriptor.ResultUnknown, Reason: reason}
	}
	return messenger.ServeAnswer{Result: descriptor.ResultNotRun, Reason: reason}
}

// errForeignAnswer is returned if a process answers with the result of another request. The request itself may have
// run.
var errForeignAnswer = errors.New("the answer belongs to another request")

// callForRequest sends a message about a request and returns the answer. All messages about requests are sent by this
// function, which rejects answers that belong to another request.
func (e *Entry) callForRequest(ctx context.Context, address string, kind messenger.Kind, w descriptor.WorkspaceID, id descriptor.RequestID, message any) (messenger.ServeAnswer, error) {
	var a messenger.ServeAnswer
	if err := e.call(ctx, address, kind, message, &a); err != nil {
		return messenger.ServeAnswer{}, err
	}
	if !belongsTo(a, w, id) {
		e.metrics.Increment("foreign_answers_total", "kind", string(kind))
		return messenger.ServeAnswer{}, fmt.Errorf("%w: %s/%s", errForeignAnswer, a.Workspace, a.Request)
	}
	return a, nil
}

// belongsTo reports whether an answer is for the request with the given workspace and id, and not for another request.
func belongsTo(a messenger.ServeAnswer, w descriptor.WorkspaceID, id descriptor.RequestID) bool {
	return a.Workspace == w && a.Request == id
}

// tryEndpoint sends a request to one endpoint and releases the choice. If the request may have been sent and no answer
// to it arrives, it queries the same agent for the outcome by the request's id. The failure is nil only if the result
// is Done.
func (e *Entry) tryEndpoint(ctx context.Context, choice dispatcher.Choice, request descriptor.Request, class descriptor.Class, deadline time.Time) (messenger.ServeAnswer, *tryFailure) {
	began := e.now()
	serve := messenger.ServeRequest{Agent: choice.Agent, Request: request, NonIdempotent: class.NonIdempotent, Deadline: deadline.Sub(began)}
	outcomeTarget := keeper.ClaimRecord{Workspace: request.Workspace, ID: request.ID, Agent: choice.Agent, Address: choice.Address, ClaimedAt: began}
	a, err := e.callForRequest(ctx, choice.Address, messenger.KindServe, request.Workspace, request.ID, serve)
	if err != nil && !errors.Is(err, messenger.ErrNotRun) && ctx.Err() == nil {
		e.metrics.Increment("request_outcome_queries_total", "class", string(class.Name))
		var queryErr error
		if a, queryErr = e.queryOutcome(ctx, outcomeTarget, deadline.Sub(e.now())); queryErr == nil {
			err = nil
		} else {
			// queryErr is formatted with %v because err would match ErrNotRun if it wrapped a queryErr that does. That
			// the query did not run does not mean that the request did not run.
			err = fmt.Errorf("%w; no outcome: %v", err, queryErr)
		}
	}
	switch {
	case errors.Is(err, messenger.ErrNotRun):
		e.router.Release(choice, descriptor.ResultFailed, 0)
		return a, &tryFailure{reason: err.Error(), notRun: true}
	case err != nil:
		e.router.Release(choice, descriptor.ResultUnknown, e.now().Sub(began))
		return a, &tryFailure{reason: err.Error()}
	case a.Result == descriptor.ResultDone:
		e.router.Release(choice, a.Result, e.now().Sub(began))
		return a, nil
	case a.Result == descriptor.ResultNotRun:
		// The agent refused the request, for instance because the endpoint is busy or the agent is shutting down. This
		// does not count as a failure of the endpoint.
		e.router.Release(choice, "", 0)
		return a, &tryFailure{reason: a.Reason, notRun: true}
	default:
		e.router.Release(choice, a.Result, e.now().Sub(began))
		return a, &tryFailure{reason: a.Reason}
	}
}

// queryOutcome asks the agent that c names for the outcome of a request. If the request is still running, the agent
// answers after at most the duration wait. For an idempotent request, which has no claim, c only names the request and
// the agent. If the first query fails, for instance on a silent connection, it is repeated once on a new connection.
func (e *Entry) queryOutcome(ctx context.Context, c keeper.ClaimRecord, wait time.Duration) (messenger.ServeAnswer, error) {
	var a messenger.ServeAnswer
	var err error
	for range 2 {
		query := messenger.OutcomeQuery{Agent: c.Agent, Workspace: c.Workspace, Request: c.ID, Wait: wait, Age: e.now().Sub(c.ClaimedAt)}
		if a, err = e.callForRequest(ctx, c.Address, messenger.KindOutcome, c.Workspace, c.ID, query); err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return a, err
}

// serveAtMostOnce serves a non-idempotent request. A claim names the only agent that may run it, and is durable
// before the request is sent. If that agent certainly does not run the request, the claim ends as NotRun, and another
// agent gets a new claim within the deadline and the retry budget.
func (e *Entry) serveAtMostOnce(ctx context.Context, request descriptor.Request, class descriptor.Class, deadline time.Time) messenger.ServeAnswer {
	var tried []string
	var refused messenger.ServeAnswer
	for {
		choice, err := e.router.Acquire(ctx, routeRequestOf(request, deadline, tried))
		switch {
		case err != nil && len(tried) > 0:
			return refused
		case err != nil:
			return e.answerWithoutEndpoint(ctx, request, err)
		}
		a, retryElsewhere := e.serveClaimed(ctx, choice, request, class, deadline)
		if !retryElsewhere || ctx.Err() != nil || !e.router.SpendRetry(e.now()) {
			return a
		}
		e.metrics.Increment("request_retries_total", "class", string(class.Name))
		tried = append(tried, choice.Agent)
		refused = a
	}
}

// serveClaimed claims a request for one agent and sends it there. If the request has a claim already, it returns the
// outcome of that claim. retryElsewhere is true if the request did not run at the agent and its claim has ended as
// NotRun.
func (e *Entry) serveClaimed(ctx context.Context, choice dispatcher.Choice, request descriptor.Request, class descriptor.Class, deadline time.Time) (a messenger.ServeAnswer, retryElsewhere bool) {
	claim := keeper.ClaimRecord{
		Workspace: request.Workspace,
		ID:        request.ID,
		Owner:     fmt.Sprintf("%s-%d", e.settings.Name, e.writeCount.Add(1)),
		Agent:     choice.Agent,
		Address:   choice.Address,
		ClaimedAt: e.now(),
	}
	existing, granted, err := e.claim(ctx, claim)
	if err != nil {
		e.router.Release(choice, "", 0)
		return unresolvedAnswer(request.Repeated, "the request could not be recorded, so it was not started now: "+err.Error()), false
	}
	if !granted {
		e.router.Release(choice, "", 0)
		return e.resolveClaim(ctx, existing, deadline.Sub(e.now())), false
	}
	a, failure := e.tryEndpoint(ctx, choice, request, class, deadline)
	switch {
	case failure == nil:
	case failure.notRun:
		a = messenger.ServeAnswer{Result: descriptor.ResultNotRun, Reason: failure.reason}
		return a, e.endClaim(claim, a) == nil
	case a.Result != descriptor.ResultFailed:
		a = messenger.ServeAnswer{Result: descriptor.ResultUnknown, Reason: failure.reason}
	}
	e.endClaimInBackground(claim, a)
	return a, false
}

// claim records c in the store as the claim of its request. It returns the claim in force, and whether that is c.
func (e *Entry) claim(ctx context.Context, c keeper.ClaimRecord) (keeper.ClaimRecord, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return e.claims.Claim(ctx, c)
}

// answerWithoutEndpoint answers a non-idempotent request for which no endpoint was found. If the request was claimed
// earlier and may have run, the outcome of that claim is the answer. Otherwise the answer is NotRun, or Unknown if the
// claim cannot be read and the caller says that the request repeats an earlier one.
func (e *Entry) answerWithoutEndpoint(ctx context.Context, request descriptor.Request, cause error) messenger.ServeAnswer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	c, err := e.claims.Lookup(ctx, request.Workspace, request.ID)
	switch {
	case err == nil && c.Result != descriptor.ResultNotRun:
		return e.resolveClaim(ctx, c, 0)
	case err == nil || errors.Is(err, keeper.ErrNotFound):
		return unresolvedAnswer(false, cause.Error())
	default:
		return unresolvedAnswer(request.Repeated, cause.Error())
	}
}

// resolveClaim returns the outcome of a claimed request. It asks the agent that the claim names, which waits up to wait
// for the outcome, and uses the outcome recorded in the claim if the agent knows none. An outcome learned from the agent
// is recorded in the claim.
func (e *Entry) resolveClaim(ctx context.Context, c keeper.ClaimRecord, wait time.Duration) messenger.ServeAnswer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(wait, 0)+outcomeTimeout)
	defer cancel()
	a, err := e.queryOutcome(ctx, c, max(wait, 0))
	a.Request = c.ID
	noOutcome := err != nil || a.Result == descriptor.ResultUnknown && !a.Running
	switch {
	case noOutcome && c.Result == descriptor.ResultDone:
		// Done would require the complete answer, which the claim does not hold.
		return messenger.ServeAnswer{Request: c.ID, Result: descriptor.ResultUnknown, Reason: "the request ran to its end; its answer is not kept any more"}
	case noOutcome && c.Resolved():
		return messenger.ServeAnswer{Request: c.ID, Result: c.Result, Reason: c.Reason}
	case err != nil:
		return messenger.ServeAnswer{Request: c.ID, Result: descriptor.ResultUnknown, Reason: "the request was claimed and its agent does not answer: " + err.Error()}
	case a.Running:
		a.Result = descriptor.ResultUnknown
		a.Reason = "the request is running"
		return a
	}
	e.endClaimInBackground(c, a)
	return a
}

// endClaimInBackground records the outcome of a claim in the store, unless it is Unknown. The answer need not wait for
// the record, which is not required for correctness.
func (e *Entry) endClaimInBackground(c keeper.ClaimRecord, a messenger.ServeAnswer) {
	if a.Result == descriptor.ResultUnknown {
		return
	}
	e.inFlight.Go(func() { _ = e.endClaim(c, a) })
}

// endClaim records the outcome of a claim in the store. A claim that ended as NotRun may then be replaced by a new one.
func (e *Entry) endClaim(c keeper.ClaimRecord, a messenger.ServeAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	err := e.claims.Finish(ctx, c.Workspace, c.ID, c.Owner, a.Result, a.Reason)
	if err != nil {
		e.metrics.Increment("store_errors_total", "call", "claim outcome")
	}
	return err
}

// lookUpRequest returns the outcome of a non-idempotent request that was claimed earlier, or keeper.ErrNotFound if it
// has no claim.
func (e *Entry) lookUpRequest(ctx context.Context, w descriptor.WorkspaceID, id descriptor.RequestID) (messenger.ServeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c, err := e.claims.Lookup(ctx, w, id)
	if err != nil {
		return messenger.ServeAnswer{}, err
	}
	return e.resolveClaim(ctx, c, 0), nil
}

// forward sends a request to another region if it is expected to finish there within its deadline, and earlier than
// here. It tries at most one region; sent is false if it tried none.
func (e *Entry) forward(ctx context.Context, request descriptor.Request, routeRequest dispatcher.RouteRequest, deadline time.Time) (a messenger.ServeAnswer, sent bool, failure *tryFailure) {
	now := e.now()
	for _, region := range e.otherRegions() {
		live := e.peers.liveEntries(region, now)
		if len(live) == 0 || !e.router.WorthForwarding(routeRequest, region, now) {
			continue
		}
		f := messenger.ForwardRequest{Request: request, Deadline: deadline.Sub(now)}
		a, err := e.callForRequest(ctx, live[0].Address, messenger.KindForward, request.Workspace, request.ID, f)
		switch {
		case err != nil:
			return a, true, &tryFailure{reason: err.Error(), notRun: errors.Is(err, messenger.ErrNotRun)}
		case a.Result != descriptor.ResultDone:
			return a, true, &tryFailure{reason: a.Reason, notRun: a.Result == descriptor.ResultNotRun}
		}
		e.metrics.Increment("requests_forwarded_total", "region", string(region))
		return a, true, nil
	}
	return messenger.ServeAnswer{}, false, nil
}

// handleForward serves a request that another region has forwarded.
func (e *Entry) handleForward(ctx context.Context, f messenger.ForwardRequest) messenger.ServeAnswer {
	cfg := e.basis.configuration()
	var class *descriptor.Class
	if cfg != nil {
		class = validator.FindClass(cfg, f.Request.Class)
	}
	if class == nil {
		a := unresolvedAnswer(false, "this entry knows no class "+string(f.Request.Class))
		a.Workspace, a.Request = f.Request.Workspace, f.Request.ID
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, f.Deadline)
	defer cancel()
	return e.serve(ctx, f.Request, *class, true)
}

// otherRegions returns the regions of the configuration except this entry's.
func (e *Entry) otherRegions() []descriptor.RegionID {
	cfg := e.basis.configuration()
	if cfg == nil {
		return nil
	}
	var regions []descriptor.RegionID
	seen := map[descriptor.RegionID]bool{e.settings.Region: true}
	for _, d := range cfg.FailureDomains {
		if !seen[d.Region] {
			seen[d.Region] = true
			regions = append(regions, d.Region)
		}
	}
	return regions
}

// linkCost estimates the time that the link between regions adds to a request with a body of the given size.
// It ignores the region: all links count as equally fast.
func linkCost(_ descriptor.RegionID, bytes int64) time.Duration {
	return 2*linkLatency + time.Duration(float64(bytes)/linkBytesPerSecond*float64(time.Second))
}
