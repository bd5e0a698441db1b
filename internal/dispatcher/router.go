// Package dispatcher decides which endpoint serves a request. It does no I/O
// and is safe for concurrent use.
package dispatcher

import (
	"math/rand/v2"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Limits and intervals of the router.
const (
	// SilenceLimit is how long an endpoint that is not heard of still gets new work.
	SilenceLimit = 1500 * time.Millisecond
	// DefaultQueueLimit bounds the waiting requests of one service.
	DefaultQueueLimit = 1024
	// DefaultConnections is the limit of open connections of an endpoint that states none.
	DefaultConnections = 64
	// DefaultDeadline applies to a request without a deadline whose class has no target.
	DefaultDeadline = 30 * time.Second

	// forgetAfter bounds the memory for agents that do not return; an agent has a new name after a restart.
	forgetAfter = time.Minute
)

// EndpointState is what an agent's report says about the endpoint beside it.
type EndpointState struct {
	// Agent is unique for each run of an agent process.
	Agent   string
	Address string
	// Sequence grows with each report of one Agent; a state that is not newer is dropped unless Sequence is 0.
	Sequence      uint64
	Endpoint      descriptor.EndpointID
	Service       descriptor.ServiceID
	FailureDomain descriptor.FailureDomainID
	Region        descriptor.RegionID
	// Slots is how many requests run at the same time; Busy are in use and Queued requests wait at the agent.
	Slots, Busy, Queued int
	// Connections is the limit of open connections; 0 means DefaultConnections.
	Connections int
	Healthy     bool
	Leaving     bool
	// Revision is the highest of the configuration that the agent knows from a permit.
	Revision descriptor.Revision
}

// Choice is the endpoint selected for one request. Each choice must be returned with Done.
type Choice struct {
	// Number is unique within the router.
	Number    uint64
	Agent     string
	Address   string
	Endpoint  descriptor.EndpointID
	Service   descriptor.ServiceID
	Region    descriptor.RegionID
	Class     descriptor.ClassID
	Workspace descriptor.WorkspaceID
	// Probe marks the single request that tests an ejected endpoint.
	Probe bool
}

// Router selects endpoints and holds the queues of waiting requests. The zero value is usable.
type Router struct {
	// FailureDomain and Region are those of the entry.
	FailureDomain descriptor.FailureDomainID
	Region        descriptor.RegionID
	// Seed of the random source.
	Seed uint64
	// QueueLimit bounds the waiting requests of one service; 0 means DefaultQueueLimit.
	QueueLimit int
	// Now is the clock of Done and Acquire; nil means time.Now.
	Now func() time.Time
	// LinkCost is the time that sending a request with this many bytes to another region adds. Nil means that no request leaves the region.
	LinkCost func(to descriptor.RegionID, bytes int64) time.Duration

	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[string]*endpoint
	services  map[descriptor.ServiceID]*service
	classes   map[descriptor.ClassID]descriptor.Class
	weights   map[descriptor.WorkspaceID]float64
	out       map[descriptor.FailureDomainID]bool
	// returned is the revision at which a failure domain came back. Its agents refuse work until a permit of that
	// revision has reached them.
	returned   map[descriptor.FailureDomainID]descriptor.Revision
	budget     budget
	lastNumber uint64
}

// service holds the endpoints and the queue of one service.
type service struct {
	name      descriptor.ServiceID
	endpoints []*endpoint
	// lastSuccess of any endpoint tells whether failures are particular to one of them.
	lastSuccess time.Time
	queue       queue
	times       map[descriptor.ClassID]*estimate
}

func (r *Router) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

func (r *Router) queueLimit() int {
	if r.QueueLimit > 0 {
		return r.QueueLimit
	}
	return DefaultQueueLimit
}

// Configure takes over classes, workspaces and the failure domains that are out.
func (r *Router) Configure(cfg *descriptor.Configuration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes = make(map[descriptor.ClassID]descriptor.Class, len(cfg.Classes))
	for _, c := range cfg.Classes {
		r.classes[c.Name] = c
	}
	r.weights = weightsOf(cfg.Workspaces)
	before := r.out
	r.out = make(map[descriptor.FailureDomainID]bool)
	if r.returned == nil {
		r.returned = make(map[descriptor.FailureDomainID]descriptor.Revision)
	}
	for _, d := range cfg.FailureDomains {
		switch {
		case d.Out:
			r.out[d.Name] = true
		case before[d.Name]:
			r.returned[d.Name] = cfg.Revision
		}
	}
	for _, s := range r.services {
		r.dispatch(s, now)
	}
}

// Update takes over the state of an endpoint and wakes requests that it can serve.
func (r *Router) Update(st EndpointState, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[st.Agent]
	if e != nil && st.Sequence != 0 && st.Sequence <= e.state.Sequence {
		return
	}
	if e != nil && e.state.Service != st.Service {
		r.remove(e)
		e = nil
	}
	s := r.service(st.Service)
	if e == nil {
		r.removeEarlierRun(st)
		e = r.add(s, st.Agent, now)
	}
	e.update(st, now)
	r.dispatch(s, now)
}

// removeEarlierRun drops the run of an agent that was at the address of a new one: it would refuse every request.
func (r *Router) removeEarlierRun(st EndpointState) {
	for _, e := range r.endpoints {
		if st.Address != "" && e.state.Address == st.Address {
			r.remove(e)
		}
	}
}

// Remove forgets the endpoint of an agent that is gone.
func (r *Router) Remove(agent string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[agent]; e != nil {
		r.remove(e)
	}
}

// Pick selects an endpoint at once or refuses. It refuses with ErrShed while requests wait in the queue, so that they are not overtaken.
func (r *Router) Pick(class descriptor.ClassID, workspace descriptor.WorkspaceID, deadline time.Time, tried []string, now time.Time) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.complete(Ticket{Class: class, Workspace: workspace, Deadline: deadline, Tried: tried}, now)
	s := r.service(r.classes[class].Service)
	if s.tooLate(t, now) {
		return Choice{}, r.refuse(ErrDeadline, s, t, now)
	}
	if !r.anyUsable(s, t.Tried, now) {
		return Choice{}, r.refuse(ErrNoEndpoint, s, t, now)
	}
	if s.queue.size > 0 {
		return Choice{}, r.refuse(ErrShed, s, t, now)
	}
	e := r.selectEndpoint(s, t, now)
	if e == nil {
		return Choice{}, r.refuse(ErrShed, s, t, now)
	}
	s.queue.charge(t.Workspace, s.cost(t.Class, now))
	return r.take(e, t, now), nil
}

// Done returns a choice with the result of the request and wakes the next one. An empty result means that the request was abandoned for reasons that are not the endpoint's. A second Done of the same choice has no effect.
func (r *Router) Done(c Choice, result descriptor.Result, elapsed time.Duration) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(c.Service)
	if e := r.endpoints[c.Agent]; e != nil && e.release(c.Number) {
		r.learn(s, e, c, result, elapsed, now)
	}
	r.dispatch(s, now)
}

func (r *Router) learn(s *service, e *endpoint, c Choice, result descriptor.Result, elapsed time.Duration, now time.Time) {
	switch result {
	case "":
	case descriptor.ResultDone:
		s.learnTime(c.Class, elapsed, now)
		s.lastSuccess = now
		e.succeeded()
	default:
		e.failed(now)
		if e.deservesEjection(s) && r.mayEject(s, now) {
			e.eject(now)
		}
	}
}

// Retry reports whether a retry is within the budget, and spends it.
func (r *Router) Retry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.spend(now)
}

// take counts a request as in flight at e.
func (r *Router) take(e *endpoint, t Ticket, now time.Time) Choice {
	r.lastNumber++
	if len(t.Tried) == 0 {
		r.budget.deposit(now)
	}
	probe := e.ejected()
	e.take(r.lastNumber)
	return Choice{
		Number: r.lastNumber, Agent: e.state.Agent, Address: e.state.Address, Endpoint: e.state.Endpoint,
		Service: e.state.Service, Region: e.state.Region, Class: t.Class, Workspace: t.Workspace, Probe: probe,
	}
}

// complete fills in the deadline.
func (r *Router) complete(t Ticket, now time.Time) Ticket {
	if !t.Deadline.IsZero() {
		return t
	}
	within := r.classes[t.Class].FinishWithin.Std()
	if within <= 0 {
		within = DefaultDeadline
	}
	t.Deadline = now.Add(within)
	return t
}

func (r *Router) service(name descriptor.ServiceID) *service {
	if s := r.services[name]; s != nil {
		return s
	}
	if r.services == nil {
		r.services = make(map[descriptor.ServiceID]*service)
	}
	s := &service{name: name, times: make(map[descriptor.ClassID]*estimate)}
	r.services[name] = s
	return s
}

func (r *Router) add(s *service, agent string, now time.Time) *endpoint {
	for _, e := range r.endpoints {
		if now.Sub(e.heard) > forgetAfter && len(e.inFlight) == 0 {
			r.remove(e)
		}
	}
	if r.endpoints == nil {
		r.endpoints = make(map[string]*endpoint)
	}
	e := &endpoint{inFlight: make(map[uint64]struct{})}
	r.endpoints[agent] = e
	s.endpoints = append(s.endpoints, e)
	return e
}

func (r *Router) remove(e *endpoint) {
	delete(r.endpoints, e.state.Agent)
	s := r.service(e.state.Service)
	for i, other := range s.endpoints {
		if other == e {
			s.endpoints = append(s.endpoints[:i], s.endpoints[i+1:]...)
			return
		}
	}
}
