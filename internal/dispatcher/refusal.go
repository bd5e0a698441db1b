package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Reasons of a Refusal. A refused request was never sent, so it did not run.
var (
	// ErrNoEndpoint means that no endpoint is in service, or that all of those in service have been tried.
	ErrNoEndpoint = errors.New("no endpoint is in service")
	// ErrShed means that more urgent requests use the whole capacity.
	ErrShed = errors.New("shed in favour of more urgent requests")
	// ErrDeadline means that the deadline can no longer be met.
	ErrDeadline = errors.New("the deadline cannot be met")
	// ErrQueueFull means that the queue is full and the request is the least urgent of its workspace.
	ErrQueueFull = errors.New("the queue is full")
)

// Refusal is the error returned by Pick and Acquire; it wraps one of the reasons above.
type Refusal struct {
	Reason    error
	Service   descriptor.ServiceID
	Class     descriptor.ClassID
	Workspace descriptor.WorkspaceID
	Facts     Facts
}

// Facts describes the state of a service on which a refusal is based.
type Facts struct {
	// Endpoints is the number of endpoints known for the service. The other fields count how many of them are in the
	// condition of the same name; each endpoint counts in exactly one condition.
	Endpoints, Usable, Silent, Leaving, FailureDomainOut, Unhealthy, Ejected, OtherRegion int
	// Tried is the number of endpoints that must not be used again for the request.
	Tried int
	// Slots is the number of slots of the usable endpoints, Load the number of known requests running or waiting there.
	Slots, Load int
	// Waiting counts the queued requests of the service, WaitingOfWorkspace those of the request's workspace.
	Waiting, WaitingOfWorkspace int
	// Remaining is the time until the deadline, Expected the mean service time of the class.
	Remaining, Expected time.Duration
}

// Error returns the reason and the facts.
func (f *Refusal) Error() string {
	return fmt.Sprintf("request of class %q, workspace %q, for service %q: %v (%s)", f.Class, f.Workspace, f.Service, f.Reason, f.Facts)
}

// Unwrap returns the reason.
func (f *Refusal) Unwrap() error { return f.Reason }

// String returns the facts on one line.
func (f Facts) String() string {
	return fmt.Sprintf("endpoints %d: usable %d, silent %d, leaving %d, failure domain out %d, unhealthy %d, ejected %d, other region %d; tried %d; load %d of %d slots; waiting %d, own workspace %d; remaining %v, expected %v",
		f.Endpoints, f.Usable, f.Silent, f.Leaving, f.FailureDomainOut, f.Unhealthy, f.Ejected, f.OtherRegion,
		f.Tried, f.Load, f.Slots, f.Waiting, f.WaitingOfWorkspace, f.Remaining, f.Expected)
}

func (r *Router) refuse(reason error, s *service, t Ticket, now time.Time) error {
	return &Refusal{Reason: reason, Service: s.name, Class: t.Class, Workspace: t.Workspace, Facts: r.facts(s, t, now)}
}

// Explain returns the facts on which a refusal of t would be based at now.
func (r *Router) Explain(t Ticket, now time.Time) Facts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.facts(r.service(r.classes[t.Class].Service), r.withDeadline(t, now), now)
}

func (r *Router) facts(s *service, t Ticket, now time.Time) Facts {
	f := Facts{
		Endpoints: len(s.endpoints), Tried: len(t.Tried),
		Waiting: s.queue.size, WaitingOfWorkspace: s.queue.waiting(t.Workspace),
		Remaining: t.Deadline.Sub(now), Expected: s.expectedTime(t.Class, now),
	}
	counters := map[condition]*int{
		conditionUsable: &f.Usable, conditionSilent: &f.Silent, conditionLeaving: &f.Leaving, conditionDomainOut: &f.FailureDomainOut,
		conditionUnhealthy: &f.Unhealthy, conditionEjected: &f.Ejected, conditionOtherRegion: &f.OtherRegion,
	}
	for _, e := range s.endpoints {
		c := r.conditionOf(e, now)
		*counters[c]++
		if c == conditionUsable {
			f.Slots += e.state.Slots
			f.Load += e.load()
		}
	}
	return f
}
