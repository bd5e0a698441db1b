package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Reasons for a Refusal. A refused request was never sent, so it did not run.
var (
	// ErrNoEndpoint means that no endpoint is in service, or that those in service have all been tried.
	ErrNoEndpoint = errors.New("no endpoint is in service")
	// ErrShed means that other requests use the whole capacity. Pick returns it if no capacity is free or requests are
	// queued, Acquire if the request is removed from a full queue in favour of another.
	ErrShed = errors.New("shed in favour of more urgent requests")
	// ErrDeadline means that the request would miss its deadline even if it started now and took less time than most
	// requests of its class.
	ErrDeadline = errors.New("the deadline cannot be met")
	// ErrQueueFull means that the queue is full and that the new request itself would be the next to be shed.
	ErrQueueFull = errors.New("the queue is full")
)

// Refusal is the error that Pick and Acquire return for a refused request. It wraps one of the reasons above. Facts is
// the state of the service at the time of the refusal.
type Refusal struct {
	Reason    error
	Service   descriptor.ServiceID
	Class     descriptor.ClassID
	Workspace descriptor.WorkspaceID
	Facts     ServiceStatus
}

// ServiceStatus describes the state of a service on which a refusal is based.
type ServiceStatus struct {
	// Endpoints is the number of endpoints known for the service. The following seven fields divide them by condition;
	// each endpoint counts in exactly one of these fields.
	Endpoints, Usable, Silent, Leaving, FailureDomainOut, Unhealthy, Ejected, OtherRegion int
	// Tried is the number of agents that must not be selected again for the request.
	Tried int
	// Slots is the number of slots of the usable endpoints, Load the number of known requests running or waiting there.
	Slots, Load int
	// Waiting counts the queued requests of the service, WaitingOfWorkspace those of the request's workspace.
	Waiting, WaitingOfWorkspace int
	// Remaining is the time until the deadline, Expected the expected service time of the class, or 0 if there is no
	// estimate.
	Remaining, Expected time.Duration
}

// Error returns one line with the class, workspace and service of the request, the reason and the service status.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request of class %q, workspace %q, for service %q: %v (%s)", r.Class, r.Workspace, r.Service, r.Reason, r.Facts)
}

// Unwrap returns the reason, so that errors.Is(err, ErrShed), for example, recognises it.
func (r *Refusal) Unwrap() error { return r.Reason }

// String returns all fields on one line, as they end the text of a Refusal.
func (st ServiceStatus) String() string {
	return fmt.Sprintf("endpoints %d: usable %d, silent %d, leaving %d, failure domain out %d, unhealthy %d, ejected %d, other region %d; tried %d; load %d of %d slots; waiting %d, own workspace %d; remaining %v, expected %v",
		st.Endpoints, st.Usable, st.Silent, st.Leaving, st.FailureDomainOut, st.Unhealthy, st.Ejected, st.OtherRegion,
		st.Tried, st.Load, st.Slots, st.Waiting, st.WaitingOfWorkspace, st.Remaining, st.Expected)
}

func (r *Router) refuse(reason error, s *service, request RouteRequest, now time.Time) error {
	return &Refusal{Reason: reason, Service: s.name, Class: request.Class, Workspace: request.Workspace, Facts: r.serviceStatus(s, request, now)}
}

// Explain returns the service status on which a refusal of the request would be based at now.
func (r *Router) Explain(request RouteRequest, now time.Time) ServiceStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serviceStatus(r.service(r.classes[request.Class].Service), r.withDeadline(request, now), now)
}

func (r *Router) serviceStatus(s *service, request RouteRequest, now time.Time) ServiceStatus {
	st := ServiceStatus{
		Endpoints: len(s.endpoints), Tried: len(request.Tried),
		Waiting: s.queue.size, WaitingOfWorkspace: s.queue.waiting(request.Workspace),
		Remaining: request.Deadline.Sub(now), Expected: s.expectedServiceTime(request.Class, now),
	}
	counters := map[condition]*int{
		conditionUsable: &st.Usable, conditionSilent: &st.Silent, conditionLeaving: &st.Leaving, conditionDomainOut: &st.FailureDomainOut,
		conditionUnhealthy: &st.Unhealthy, conditionEjected: &st.Ejected, conditionOtherRegion: &st.OtherRegion,
	}
	for _, e := range s.endpoints {
		c := r.conditionOf(e, now)
		*counters[c]++
		if c == conditionUsable {
			st.Slots += e.report.Slots
			st.Load += e.load()
		}
	}
	return st
}
