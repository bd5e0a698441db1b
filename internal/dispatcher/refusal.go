package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Reasons of a refusal. A refused request was never sent, so it is certain that it did not run.
var (
	// ErrNoEndpoint means that no endpoint of the service that was not tried yet is in service.
	ErrNoEndpoint = errors.New("no endpoint is in service")
	// ErrShed means that more urgent requests use all capacity.
	ErrShed = errors.New("shed in favour of more urgent requests")
	// ErrDeadline means that the deadline cannot be met any more.
	ErrDeadline = errors.New("the deadline cannot be met")
	// ErrQueueFull means that the queue is full and this request is the least urgent of its workspace.
	ErrQueueFull = errors.New("the queue is full")
)

// Refusal is the error of Pick and Acquire; it wraps one of the reasons.
type Refusal struct {
	Reason    error
	Service   descriptor.ServiceID
	Class     descriptor.ClassID
	Workspace descriptor.WorkspaceID
	Facts     Facts
}

// Facts are what a refusal is based on.
type Facts struct {
	// Endpoints known for the service, and how many of them are in each condition.
	Endpoints, Usable, Silent, Leaving, FailureDomainOut, Unhealthy, Ejected, OtherRegion int
	// Tried endpoints are not used again for the same request.
	Tried int
	// Slots of the usable endpoints and the requests there, as far as known.
	Slots, Load int
	// Waiting requests of the service, and of the workspace among them.
	Waiting, WaitingOfWorkspace int
	// Remaining time until the deadline, and the expected service time of the class.
	Remaining, Expected time.Duration
}

// Error returns the reason with the facts.
func (f *Refusal) Error() string {
	return fmt.Sprintf("request of class %q, workspace %q, for service %q: %v (%s)", f.Class, f.Workspace, f.Service, f.Reason, f.Facts)
}

// Unwrap returns the reason.
func (f *Refusal) Unwrap() error { return f.Reason }

// String lists the facts in one line.
func (f Facts) String() string {
	return fmt.Sprintf("endpoints %d: usable %d, silent %d, leaving %d, failure domain out %d, unhealthy %d, ejected %d, other region %d; tried %d; load %d of %d slots; waiting %d, own workspace %d; remaining %v, expected %v",
		f.Endpoints, f.Usable, f.Silent, f.Leaving, f.FailureDomainOut, f.Unhealthy, f.Ejected, f.OtherRegion,
		f.Tried, f.Load, f.Slots, f.Waiting, f.WaitingOfWorkspace, f.Remaining, f.Expected)
}

func (r *Router) refuse(reason error, s *service, t Ticket, now time.Time) error {
	return &Refusal{Reason: reason, Service: s.name, Class: t.Class, Workspace: t.Workspace, Facts: r.facts(s, t, now)}
}

// Explain returns the facts on which a refusal of t would be based now.
func (r *Router) Explain(t Ticket, now time.Time) Facts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.facts(r.service(r.classes[t.Class].Service), r.complete(t, now), now)
}

func (r *Router) facts(s *service, t Ticket, now time.Time) Facts {
	f := Facts{
		Endpoints: len(s.endpoints), Tried: len(t.Tried),
		Waiting: s.queue.size, WaitingOfWorkspace: s.queue.waiting(t.Workspace),
		Remaining: t.Deadline.Sub(now), Expected: s.expected(t.Class, now),
	}
	counters := map[condition]*int{
		usable: &f.Usable, silent: &f.Silent, leaving: &f.Leaving, failureDomainOut: &f.FailureDomainOut,
		unhealthy: &f.Unhealthy, ejected: &f.Ejected, otherRegion: &f.OtherRegion,
	}
	for _, e := range s.endpoints {
		c := r.condition(e, now)
		*counters[c]++
		if c == usable {
			f.Slots += e.state.Slots
			f.Load += e.load()
		}
	}
	return f
}
